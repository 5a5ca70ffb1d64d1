"""When refused callers come back: one after another, as room comes free.

The load that this answers: many callers are refused in the same moment, because every
place is taken.  With times drawn from one span they all come back within that span,
whatever has come free meanwhile, and most are refused for good, since callers try once
more.  Here each gets a later time than the one before it, at the pace at which requests
of this process end: those who were refused first come first, and find room.
"""

import collections
import threading
import typing

from gaprock import clock

# The ends of requests over this time tell how many callers can come back, seconds.
RATE_WINDOW_S: typing.Final = 4.0
# Before that many requests have ended, their pace says nothing.
MIN_ENDS: typing.Final = 4
# Pause between two callers until the pace is known, seconds.
FIRST_PACE_S: typing.Final = 0.05
# Shortest time to come back, seconds: another gateway may have room already.
SHORTEST_S: typing.Final = 0.15
# Share of the time for which a caller waits that it may be told to stay away; callers
# come back at once when they are told more than a third.
CALLER_SHARE: typing.Final = 0.3


class RetrySchedule:
    """The line of those who come back; safe for all threads."""

    __slots__ = ("_lock", "_ends", "_last_at")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ends: collections.deque[float] = collections.deque()
        # When the last one in the line comes back.
        self._last_at = 0.0

    def note_end(self, now: float) -> None:
        """Note that a request ended and left room."""
        with self._lock:
            self._ends.append(now)
            self._expire(now)

    def next_s(
        self,
        now: float,
        caller_s: float,
        pace_s: float | None = None,
        room_at: float = -clock.NEVER,
    ) -> float:
        """Give the seconds after which the next refused caller is to come back.

        :param caller_s: for which the caller still waits.
        :param pace_s: between two that find room; ``None`` takes it from the ends.
        :param room_at: before which there is none.
        """
        with self._lock:
            self._expire(now)
            first_at = max(now + SHORTEST_S, room_at)
            pace_s = self._pace_s() if pace_s is None else pace_s
            self._last_at = max(self._last_at + pace_s, first_at)
            # Whoever cannot wait for its place comes while it still can.
            latest_at = max(now + SHORTEST_S, now + CALLER_SHARE * caller_s)
            self._last_at = min(self._last_at, latest_at)
            return self._last_at - now

    def _pace_s(self) -> float:
        if len(self._ends) < MIN_ENDS:
            return FIRST_PACE_S
        return RATE_WINDOW_S / len(self._ends)

    def _expire(self, now: float) -> None:
        while self._ends and self._ends[0] < now - RATE_WINDOW_S:
            self._ends.popleft()
