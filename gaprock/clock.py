"""Points in time.

Every limit in gaprock is stored as a deadline: seconds since the epoch, UTC.
A deadline travels from process to process, so the VMs' clocks must agree to
within a fraction of a second, as they do under the platform's time service.
"""

import threading
import time
import typing

# Stands for "no deadline" where one is required by type.
NEVER: typing.Final = float("inf")
# Whether the system has a steady clock that counts the time of a suspension.
COUNTS_SUSPENSION: typing.Final = hasattr(time, "CLOCK_BOOTTIME")
# Longest wait at a time where a deadline is waited for, seconds: so late it is noticed
# after a suspension.
SLICE_S: typing.Final = 0.5
# Shorter gaps are the scheduler's, seconds.
LEAST_GAP_S: typing.Final = 0.1
# Kinds of gaps.
SUSPENDED: typing.Final = "suspended"
STOOD_STILL: typing.Final = "stood-still"


class Clock:
    """The time source; tests put a settable one in its place."""

    __slots__ = ()

    def now(self) -> float:
        """Give the current time.

        :returns: seconds since the epoch.
        """
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when it is told to."""

    __slots__ = ("_now",)

    def __init__(self, now: float = 1_800_000_000.0) -> None:
        self._now = now

    def now(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._now += seconds


def remaining(deadline: float, clock: Clock) -> float:
    """Give the seconds left until ``deadline``, never below zero."""
    return max(0.0, deadline - clock.now())


class SteadyClock(Clock):
    """A clock that no change of the time of day moves, and no suspension stops.

    For a process whose deadlines stay inside it.  The usual steady clock stands still
    while a machine is suspended, so that everything known looks fresh afterwards.
    """

    __slots__ = ()

    def now(self) -> float:
        """Give the time.

        :returns: seconds since an arbitrary point.
        """
        if COUNTS_SUSPENSION:
            return time.clock_gettime(time.CLOCK_BOOTTIME)
        return time.monotonic()


class MonotonicClock(Clock):
    """The clock of all waits of the system: it stands while a machine is suspended."""

    __slots__ = ()

    def now(self) -> float:
        return time.monotonic()


class GapDetector:
    """Notices that this process did nothing for a while; ``look`` is called often.

    :param most_s: between two looks, if nothing holds the process up, seconds.
    """

    __slots__ = ("_clock", "_standing", "_most_s", "_looked_at", "_ahead_s")

    def __init__(
        self, clock_: Clock, most_s: float, standing: Clock | None = None
    ) -> None:
        self._clock = clock_
        self._standing = standing or MonotonicClock()
        self._most_s = most_s
        self._looked_at = clock_.now()
        self._ahead_s = self._looked_at - self._standing.now()

    def look(self) -> list["Gap"]:
        """Give the gaps since the last look."""
        now = self._clock.now()
        ahead_s = now - self._standing.now()
        suspended_s = ahead_s - self._ahead_s
        stood_s = now - self._looked_at - max(0.0, suspended_s) - self._most_s
        self._looked_at, self._ahead_s = now, ahead_s
        found = []
        if suspended_s > LEAST_GAP_S:
            found.append(Gap(SUSPENDED, suspended_s))
        if stood_s > LEAST_GAP_S:
            found.append(Gap(STOOD_STILL, stood_s))
        return found


class Gap(typing.NamedTuple):
    """A time in which a process did nothing.

    :param kind: ``SUSPENDED`` where the two clocks parted, else ``STOOD_STILL``.
    """

    kind: str
    length_s: float


def wait_for(
    cond: threading.Condition,
    holds: typing.Callable[[], bool],
    deadline: float,
    clock_: Clock,
) -> bool:
    """Wait with a condition's lock held until something holds or a deadline passed.

    One long wait would outlive its deadline by as much as the machine is suspended.

    :returns: whether it holds.
    """
    while not holds():
        left = deadline - clock_.now()
        if left <= 0:
            return False
        cond.wait(min(left, SLICE_S))
    return True


def sleep_until(deadline: float, clock_: Clock) -> None:
    """Wait until a deadline; no longer where the machine was suspended meanwhile."""
    while (left := deadline - clock_.now()) > 0:
        threading.Event().wait(min(left, SLICE_S))
