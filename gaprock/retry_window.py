"""The fleet's retry budget over a sliding window.

Repeats, which are the sends of a request to a service after its first, are limited to
``ratio`` times the number of requests plus a fixed allowance.  Each process applies the
ratio to its own requests and uses only its share of the allowance, so the fleet stays
within the budget without communication between the processes.
"""

import collections
import threading
import typing

# Share of the ratio and the allowance that is used.  The rest covers requests that the
# receiver counts in another window, and processes that are not known yet.
USED_SHARE: typing.Final = 0.85


class BudgetState(typing.NamedTuple):
    """A service's retry budget at one moment.

    :param firsts: requests of the last window.
    :param allowed: repeats that this process may send for them in a window.
    :param spent: repeats that were charged in the last window.
    :param members: processes that share the allowance; 0 if unknown.
    """

    firsts: int
    allowed: float
    spent: int
    members: int


class _Window:
    """Times of the first sends and the repeats to one service."""

    __slots__ = ("firsts", "repeats")

    def __init__(self) -> None:
        self.firsts: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def expire(self, since: float) -> None:
        for times in (self.firsts, self.repeats):
            while times and times[0] < since:
                times.popleft()


class RetryWindow:
    """The retry budget of one process, per service; thread-safe.

    :param ratio: repeats allowed for each request.
    :param allowance: repeats allowed beyond that, for the whole fleet.
    :param window_s: length of the window.
    :param members: returns the number of processes that share the allowance, as the
        highest number known recently, so that a process that is cut off or has just
        started uses no more than its share.  0 if unknown; the process then uses none
        of the allowance.
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
        """Apply changed settings."""
        with self._lock:
            self._ratio = ratio
            self._allowance = allowance
            self._window_s = window_s

    def record_first(self, service: str, now: float) -> None:
        """Count the first send of a request."""
        with self._lock:
            self._windows[service].firsts.append(now)

    def left(self, service: str, now: float) -> float:
        """Return the number of repeats that may still be sent now."""
        with self._lock:
            return self._left(service, now)

    def spend(self, service: str, now: float) -> bool:
        """Count a repeat if the budget allows it.

        :returns: whether the repeat may be sent.
        """
        with self._lock:
            if self._left(service, now) < 1.0:
                return False
            self._windows[service].repeats.append(now)
            return True

    def give_back(self, service: str) -> None:
        """Take back the latest repeat that was counted, since it was not sent."""
        with self._lock:
            repeats = self._windows[service].repeats
            if repeats:
                repeats.pop()

    def state(self, service: str, now: float) -> BudgetState:
        """Return a service's budget now."""
        with self._lock:
            return self._state(service, now)

    def services(self) -> list[str]:
        """Return the services that were sent requests."""
        with self._lock:
            return list(self._windows)

    def _left(self, service: str, now: float) -> float:
        state = self._state(service, now)
        return state.allowed - state.spent

    def _state(self, service: str, now: float) -> BudgetState:
        window = self._windows[service]
        window.expire(now - self._window_s)
        firsts, members = len(window.firsts), self._members()
        share = self._allowance / members if members else 0.0
        allowed = USED_SHARE * (self._ratio * firsts + share)
        return BudgetState(firsts, allowed, len(window.repeats), members)
