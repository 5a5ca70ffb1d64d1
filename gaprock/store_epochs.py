"""The shared store's epoch, which rises each time it is restored from a backup.

A restored store lacks its latest writes and gives their version numbers out again, so
versions are compared within one epoch alone.
"""

import threading
import typing

from gaprock import clock, eventlog

# Within this time after a restore, seconds, the operator and the endpoints have written
# again what it lost.  Until then a row that contradicts what was known is doubted.
RESTORE_GRACE_S: typing.Final = 10.0


class EpochTracker:
    """The newest epoch that the store or another gateway told; safe for all threads."""

    __slots__ = ("_clock", "_lock", "newest", "raised_at", "restores")

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        # -1 before anybody told one.
        self.newest = -1
        # When it began, as far as is known: when anybody first heard of it.
        self.raised_at = -clock.NEVER
        # How many times it rose since our start.
        self.restores = 0

    def record(self, epoch: int, source: str, age_s: float = 0.0) -> None:
        """Take an epoch; an earlier one changes nothing.

        :param source: who told it, for the log.
        :param age_s: seconds since it was first heard of there.
        """
        if epoch < self.newest:
            return
        began_at = self._clock.now() - max(0.0, age_s)
        with self._lock:
            old = self.newest
            if epoch == old:
                self.raised_at = min(self.raised_at, began_at)
            if epoch <= old:
                return
            self.newest, self.raised_at = epoch, began_at
            self.restores += old >= 0
        event = "store-restored" if old >= 0 else "store-epoch"
        eventlog.info(event, epoch=epoch, old=old, source=source, age_s=age_s)

    @property
    def age_s(self) -> float:
        """Seconds since the newest epoch was first heard of."""
        return self._clock.now() - self.raised_at
