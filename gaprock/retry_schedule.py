"""Schedules the retries of refused callers, one by one as capacity becomes free.

This is for many callers that are refused at once because all slots are taken. If their
retry times were drawn from one interval, they would all return within it, whatever
capacity became free meanwhile. Most would be refused for good, since callers retry only
once. Here each caller gets a later time than the one before, spaced at the rate at
which requests of this process end. Callers that were refused first return first, and
find a free slot.
"""

import collections
import threading
import typing

from gaprock import clock

# Window over which the rate of ended requests is measured.
RATE_WINDOW_S: typing.Final = 4.0
# Number of ended requests below which the rate is not known.
MIN_ENDS: typing.Final = 4
# Time between two retries while the rate is not known.
DEFAULT_PACE_S: typing.Final = 0.05
# Shortest retry delay. It is short, since another gateway may have free slots already.
MIN_RETRY_S: typing.Final = 0.15
# Longest retry delay, as a share of the time for which the caller still waits. Callers
# retry at once if they are told more than a third of it.
CALLER_SHARE: typing.Final = 0.3


class RetrySchedule:
    """The retry times of refused callers; thread-safe."""

    __slots__ = ("_lock", "_ends", "_last_retry_at")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ends: collections.deque[float] = collections.deque()
        # The latest retry time that was assigned.
        self._last_retry_at = 0.0

    def record_end(self, now: float) -> None:
        """Record that a request ended and freed a slot."""
        with self._lock:
            self._ends.append(now)
            self._expire(now)

    def ends_per_s(self, now: float) -> float:
        """Return the measured rate of ended requests."""
        with self._lock:
            self._expire(now)
            return len(self._ends) / RATE_WINDOW_S

    def next_s(
        self,
        now: float,
        caller_s: float,
        pace_s: float | None = None,
        free_at: float = -clock.NEVER,
    ) -> float:
        """Return the delay in seconds after which the next refused caller should retry.

        :param caller_s: the time for which the caller still waits.
        :param pace_s: the time between two retries; ``None`` uses the measured rate of
            ended requests.
        :param free_at: the time before which no slot becomes free.
        """
        with self._lock:
            self._expire(now)
            first_at = max(now + MIN_RETRY_S, free_at)
            pace_s = self._measured_pace_s() if pace_s is None else pace_s
            self._last_retry_at = max(self._last_retry_at + pace_s, first_at)
            # A caller that cannot wait for its turn retries while it still can.
            latest_at = max(now + MIN_RETRY_S, now + CALLER_SHARE * caller_s)
            self._last_retry_at = min(self._last_retry_at, latest_at)
            return self._last_retry_at - now

    def _measured_pace_s(self) -> float:
        if len(self._ends) < MIN_ENDS:
            return DEFAULT_PACE_S
        return RATE_WINDOW_S / len(self._ends)

    def _expire(self, now: float) -> None:
        while self._ends and self._ends[0] < now - RATE_WINDOW_S:
            self._ends.popleft()
