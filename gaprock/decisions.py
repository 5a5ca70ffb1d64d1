"""Decisions: a log line for each, and a short memory for ``gaprock explain``."""

import collections
import threading
import typing

from gaprock import eventlog

# Requests whose decisions are remembered.
MAX_REQUESTS: typing.Final = 5000


class Decisions:
    """Logs decisions and keeps those of the last requests."""

    __slots__ = ("_lock", "_lines")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lines: collections.OrderedDict[str, list[str]] = collections.OrderedDict()

    def log(self, kind: str, request: str, **fields: object) -> None:
        """Log one decision of a request."""
        line = eventlog.line(kind, {"request": request, **fields})
        eventlog.info_line(line)
        with self._lock:
            self._lines.setdefault(request, []).append(line)
            if len(self._lines) > MAX_REQUESTS:
                self._lines.popitem(last=False)

    def explain(self, request: str) -> list[str]:
        """Give the decision lines of a request that was here lately."""
        with self._lock:
            return list(self._lines.get(request, ()))
