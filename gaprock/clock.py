"""Clocks, deadlines, and detection of suspensions.

Time limits are stored as deadlines in seconds since the epoch, UTC.  Deadlines are
passed between processes, so the VMs' clocks must agree to within a fraction of a
second, as the platform's time service ensures.
"""

import threading
import time
import typing

# A deadline that never passes.
NEVER: typing.Final = float("inf")
# Whether the system has a steady clock that also runs while it is suspended.
COUNTS_SUSPENSION: typing.Final = hasattr(time, "CLOCK_BOOTTIME")
# Longest single wait while waiting for a deadline.  After a suspension, a deadline that
# passed meanwhile is noticed this late at most.
SLICE_S: typing.Final = 0.5
# Shorter gaps are ascribed to the scheduler and not reported.
MIN_GAP_S: typing.Final = 0.1
# Kinds of gaps; the log names them.
SUSPENDED: typing.Final = "suspended"
STOOD_STILL: typing.Final = "stood-still"


class Clock:
    """Time source; tests replace it by a ``ManualClock``."""

    __slots__ = ()

    def now(self) -> float:
        """Return the current time.

        :returns: seconds since the epoch.
        """
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when ``advance`` is called."""

    __slots__ = ("_now",)

    def __init__(self, now: float = 1_800_000_000.0) -> None:
        self._now = now

    def now(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._now += seconds


def remaining(deadline: float, clock: Clock) -> float:
    """Return the seconds left until ``deadline``, or zero if it has passed."""
    return max(0.0, deadline - clock.now())


class SteadyClock(Clock):
    """A clock that ignores changes of the system time and runs during a suspension.

    For processes that do not pass their deadlines to others.  The usual monotonic clock
    stands still while a machine is suspended, so that stale state would look fresh
    afterwards.
    """

    __slots__ = ()

    def now(self) -> float:
        """Return the current time.

        :returns: seconds since an arbitrary point.
        """
        if COUNTS_SUSPENSION:
            return time.clock_gettime(time.CLOCK_BOOTTIME)
        return time.monotonic()


class MonotonicClock(Clock):
    """The clock that system waits use; it stands still while a machine is suspended."""

    __slots__ = ()

    def now(self) -> float:
        return time.monotonic()


class GapDetector:
    """Detects that this process did not run for a while.

    :param clock_: a clock that runs during a suspension.
    :param max_interval_s: longest time between two calls of ``find_gaps`` in a process
        that is not held up.
    :param monotonic: a clock that stands still during a suspension.
    """

    __slots__ = ("_clock", "_monotonic", "_max_interval_s", "_checked_at", "_offset_s")

    def __init__(
        self, clock_: Clock, max_interval_s: float, monotonic: Clock | None = None
    ) -> None:
        self._clock = clock_
        self._monotonic = monotonic or MonotonicClock()
        self._max_interval_s = max_interval_s
        self._checked_at = clock_.now()
        self._offset_s = self._checked_at - self._monotonic.now()

    def find_gaps(self) -> list["Gap"]:
        """Return the gaps since the last call."""
        now = self._clock.now()
        offset_s = now - self._monotonic.now()
        suspended_s = offset_s - self._offset_s
        stalled_s = (
            now - self._checked_at - max(0.0, suspended_s) - self._max_interval_s
        )
        self._checked_at, self._offset_s = now, offset_s
        found = []
        if suspended_s > MIN_GAP_S:
            found.append(Gap(SUSPENDED, suspended_s))
        if stalled_s > MIN_GAP_S:
            found.append(Gap(STOOD_STILL, stalled_s))
        return found


class Gap(typing.NamedTuple):
    """Time in which a process did not run.

    :param kind: ``SUSPENDED`` if the two clocks diverged, otherwise ``STOOD_STILL``.
    """

    kind: str
    length_s: float


def wait_for(
    cond: threading.Condition,
    holds: typing.Callable[[], bool],
    deadline: float,
    clock_: Clock,
) -> bool:
    """Wait on a condition until a predicate holds or a deadline passes.

    The caller holds the condition's lock.  Waits in slices, because a single long wait
    would overrun its deadline by the time for which the machine is suspended.

    :param holds: the predicate.
    :returns: whether the predicate holds.
    """
    while not holds():
        left = deadline - clock_.now()
        if left <= 0:
            return False
        cond.wait(min(left, SLICE_S))
    return True


def sleep_until(deadline: float, clock_: Clock) -> None:
    """Wait until a deadline, without overrunning it after a suspension."""
    while (left := deadline - clock_.now()) > 0:
        threading.Event().wait(min(left, SLICE_S))
