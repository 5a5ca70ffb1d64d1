"""Parses the lines that ``eventlog`` writes, for diagnostic tools."""

import calendar
import json
import re
import time
import typing

# A field with a bare value or a JSON string.
FIELD: typing.Final = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
START: typing.Final = "ts="
TIME_CHARS: typing.Final = len("2026-01-01T00:00:00")


class LogLine(typing.NamedTuple):
    """One event.

    :param at: seconds since the epoch, by the clock of the process that logged it.
    :param fields: all other fields, as texts.
    """

    at: float
    process: str
    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float:
        """Return a field as a number; 0 if it is missing or not a number."""
        try:
            return float(self.fields.get(name, ""))
        except ValueError:
            return 0.0


def parse(text: str) -> LogLine | None:
    """Parse a line; a prefix that a log collector wrote before it is ignored.

    :returns: ``None`` if the text is not a line in the log format.
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
    """Convert ``2026-01-01T00:00:00.123Z`` to seconds since the epoch.

    :raises ValueError: if it is not a time stamp in this format.
    """
    whole = time.strptime(stamp[:TIME_CHARS], "%Y-%m-%dT%H:%M:%S")
    return calendar.timegm(whole) + float("0" + stamp[TIME_CHARS:].rstrip("Z"))
