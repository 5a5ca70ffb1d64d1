"""Points in time.

Every limit in gaprock is stored as a deadline: seconds since the epoch, UTC.
A deadline travels from process to process, so the VMs' clocks must agree to
within a fraction of a second, as they do under the platform's time service.
"""

import time
import typing

# Stands for "no deadline" where one is required by type.
NEVER: typing.Final = float("inf")


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


class MonotonicClock(Clock):
    """A clock that no change of the time of day moves.

    For a process whose deadlines stay inside it.
    """

    __slots__ = ()

    def now(self) -> float:
        """Give the time.

        :returns: seconds since an arbitrary point.
        """
        return time.monotonic()
