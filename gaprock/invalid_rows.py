"""Rows of the shared store that cannot be used: decoding, a bounded log, a count.

Other writers may put a row under any key: fields missing or of another type, numbers
out of range, bytes that are no document.  Such a row names nothing to use, and all
other rows hold.
"""

import collections
import typing

import msgspec

from gaprock import clock, eventlog, gateway_api

# A row that stays odd is logged again after this time, seconds, and so many are known.
LOG_EVERY_S: typing.Final = 10.0
MAX_KNOWN: typing.Final = 1000
# What is shown of an error, characters.
MAX_ERROR: typing.Final = 200
D = typing.TypeVar("D")


def decode(kind: type[D], value: bytes) -> D:
    """Decode a JSON document.

    :raises gateway_api.InvalidDocument: naming the field.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise gateway_api.InvalidDocument(str(exc)[:MAX_ERROR]) from exc


class InvalidRows:
    """The odd rows of one table, as its one follower meets them."""

    __slots__ = ("table", "count", "_clock", "_logged")

    def __init__(self, table: str, clock_: clock.Clock) -> None:
        self.table = table
        # How many were met.
        self.count = 0
        self._clock = clock_
        # When each key was last logged, the longest ago first.
        self._logged: collections.OrderedDict[str, float] = collections.OrderedDict()

    def record(self, row: gateway_api.Row, exc: Exception) -> None:
        """Count an odd row, and log it if it was not logged lately."""
        self.count += 1
        now = self._clock.now()
        logged_at = self._logged.get(row.key)
        if logged_at is not None and now < logged_at + LOG_EVERY_S:
            return
        self._logged[row.key] = now
        self._logged.move_to_end(row.key)
        if len(self._logged) > MAX_KNOWN:
            self._logged.popitem(last=False)
        eventlog.warning(
            "invalid-row",
            table=self.table,
            key=row.key,
            version=row.version,
            size=len(row.value or b""),
            error=exc,
        )
