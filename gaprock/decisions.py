"""Logs the decisions on requests, and keeps the latest for ``gaprock explain``."""

import collections
import threading
import typing

from gaprock import eventlog

# Number of requests whose decisions are kept.
MAX_REQUESTS: typing.Final = 5000


class Decisions:
    """Logs decisions and keeps those of the latest requests."""

    __slots__ = ("_lock", "_lines")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lines: collections.OrderedDict[str, list[str]] = collections.OrderedDict()

    def log(self, kind: str, request: str, **fields: object) -> None:
        """Log and keep a decision on a request."""
        line = eventlog.line(kind, {"request": request, **fields})
        eventlog.info_line(line)
        with self._lock:
            self._lines.setdefault(request, []).append(line)
            if len(self._lines) > MAX_REQUESTS:
                self._lines.popitem(last=False)

    def explain(self, request: str) -> list[str]:
        """Return the log lines of the decisions on a recent request."""
        with self._lock:
            return list(self._lines.get(request, ()))
