"""Reads the lines that ``eventlog`` writes, for the tools that explain a failure."""

import calendar
import json
import re
import time
import typing

# A field: a bare value, or one in quotes as JSON writes it.
FIELD: typing.Final = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
START: typing.Final = "ts="
TIME_CHARS: typing.Final = len("2026-01-01T00:00:00")


class LogLine(typing.NamedTuple):
    """One event.

    :param at: seconds since the epoch, by the clock of the process that wrote it.
    :param fields: all others, as texts.
    """

    at: float
    process: str
    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float:
        """Give a field as a number; 0 where it is missing or none."""
        try:
            return float(self.fields.get(name, ""))
        except ValueError:
            return 0.0


def parse(text: str) -> LogLine | None:
    """Read a line; whatever a collector wrote before it is passed over.

    :returns: ``None`` for a text that is no line of ours.
    """
    start = text.find(START)
    if start < 0:
        return None
    try:
        fields = {n: _value(v) for n, v in FIELD.findall(text[start:])}
        at = _seconds(fields.pop("ts"))
        return LogLine(at, fields.pop("proc"), fields.pop("event"), fields)
    except (KeyError, ValueError):
        return None


def _value(text: str) -> str:
    return str(json.loads(text)) if text.startswith('"') else text


def _seconds(stamp: str) -> float:
    """Read ``2026-01-01T00:00:00.123Z``.

    :raises ValueError: when it is none.
    """
    whole = time.strptime(stamp[:TIME_CHARS], "%Y-%m-%dT%H:%M:%S")
    return calendar.timegm(whole) + float("0" + stamp[TIME_CHARS:].rstrip("Z"))
