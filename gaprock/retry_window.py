"""The fleet's retry budget over a sliding window.

Sends to a service beyond the first of each request may be at most ``ratio`` times the
requests, plus a fixed allowance.  Each process keeps to the ratio for its own requests
and to its share of the allowance, so the sum over the fleet keeps to the whole without
a word between the processes.
"""

import collections
import threading
import typing

# Share of the allowed ratio and allowance that is used.  The rest covers requests that
# the other side counts in another window, and processes that are not known yet.
USED_SHARE: typing.Final = 0.85


class _Window:
    """Times of first sends and of repeats to one service."""

    __slots__ = ("firsts", "repeats")

    def __init__(self) -> None:
        self.firsts: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def expire(self, since: float) -> None:
        for times in (self.firsts, self.repeats):
            while times and times[0] < since:
                times.popleft()


class RetryWindow:
    """The budget of one process, per service; safe for all threads.

    :param ratio: repeats allowed for each request.
    :param allowance: repeats allowed beyond that, for the whole fleet.
    :param window_s: length of the window, seconds.
    :param members: gives how many processes share the allowance, the most that were
        known lately: one that is cut off, or has just started, has no more than its
        part of it.  0 where that is not known; it has none of it then.
    """

    __slots__ = ("_ratio", "_allowance", "_window_s", "_members", "_lock", "_windows")

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_s: float,
        members: typing.Callable[[], int] = lambda: 1,
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._members = members
        self._lock = threading.Lock()
        self._windows: dict[str, _Window] = collections.defaultdict(_Window)

    def set_bounds(self, ratio: float, allowance: float, window_s: float) -> None:
        """Take changed settings."""
        with self._lock:
            self._ratio = ratio
            self._allowance = allowance
            self._window_s = window_s

    def record_first(self, service: str, now: float) -> None:
        """Count a request."""
        with self._lock:
            self._windows[service].firsts.append(now)

    def left(self, service: str, now: float) -> float:
        """Give the repeats that may still be sent now."""
        with self._lock:
            return self._left(service, now)

    def take(self, service: str, now: float) -> bool:
        """Ask for a repeat.

        :returns: whether it may be sent; it is counted then.
        """
        with self._lock:
            if self._left(service, now) < 1.0:
                return False
            self._windows[service].repeats.append(now)
            return True

    def _left(self, service: str, now: float) -> float:
        window = self._windows[service]
        window.expire(now - self._window_s)
        allowed = self._ratio * len(window.firsts)
        members = self._members()
        allowed += self._allowance / members if members else 0.0
        return USED_SHARE * allowed - len(window.repeats)
