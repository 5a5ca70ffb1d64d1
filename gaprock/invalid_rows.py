"""Invalid rows of other writers: decoding, rate-limited logging, counting.

Other writers may put anything into a row: fields missing or of the wrong type, numbers
out of range, bytes that are not a document.  Such a row is ignored, and all other rows
keep their effect.
"""

import collections
import threading
import typing

import msgspec

from gaprock import clock, eventlog, gateway_api

# A row that stays invalid is logged again after this time.
LOG_EVERY_S: typing.Final = 10.0
# Keys whose last log time is remembered.
MAX_LOGGED_KEYS: typing.Final = 1000
# Longest part of an error message that is shown, in characters.
MAX_ERROR_CHARS: typing.Final = 200
# What the decoder raises for bytes that are not the wanted document.
DECODE_ERRORS: typing.Final = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
D = typing.TypeVar("D")


def decode(kind: type[D], value: bytes) -> D:
    """Decode a JSON document.

    :raises gateway_api.InvalidDocument: with a message that names the field.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except DECODE_ERRORS as exc:
        raise gateway_api.InvalidDocument(str(exc)[:MAX_ERROR_CHARS]) from exc


class InvalidRows:
    """Counts and logs the invalid rows of one table; thread-safe."""

    __slots__ = ("table", "count", "_clock", "_lock", "_logged")

    def __init__(self, table: str, clock_: clock.Clock) -> None:
        self.table = table
        # How many invalid rows were read.
        self.count = 0
        self._clock = clock_
        self._lock = threading.Lock()
        # When each key was last logged, oldest first.
        self._logged: collections.OrderedDict[str, float] = collections.OrderedDict()

    def record(self, row: gateway_api.Row, exc: Exception) -> None:
        """Count an invalid row, and log it unless it was logged recently."""
        with self._lock:
            self.count += 1
            if not self._is_log_due(row.key):
                return
        eventlog.warning(
            "invalid-row",
            table=self.table,
            key=row.key,
            version=row.version,
            size=len(row.value or b""),
            error=exc,
        )

    def _is_log_due(self, key: str) -> bool:
        """Whether a key was not logged recently; then it counts as logged now."""
        now = self._clock.now()
        logged_at = self._logged.get(key)
        if logged_at is not None and now < logged_at + LOG_EVERY_S:
            return False
        self._logged[key] = now
        self._logged.move_to_end(key)
        if len(self._logged) > MAX_LOGGED_KEYS:
            self._logged.popitem(last=False)
        return True
