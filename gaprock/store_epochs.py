"""The shared store's epoch, which is raised whenever it is restored from a backup.

A restored store lacks its latest writes and assigns their version numbers again, so
versions may be compared only within one epoch.
"""

import threading
import typing

from gaprock import clock, eventlog

# Grace period after a restore, in which the operator and the endpoints write lost rows
# again.  Until it ends, a row that contradicts earlier knowledge is not relied on.
RESTORE_GRACE_S: typing.Final = 10.0


class EpochTracker:
    """The newest epoch that the store or a peer has reported; thread-safe."""

    __slots__ = ("_clock", "_lock", "newest", "raised_at", "restores")

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        # -1 before the first report.
        self.newest = -1
        # When the epoch began, as far as is known: when any gateway first saw it.
        self.raised_at = -clock.NEVER
        # How many times the epoch was raised since this process started.
        self.restores = 0

    def record(self, epoch: int, source: str, age_s: float = 0.0) -> None:
        """Record a reported epoch; one older than the newest is ignored.

        :param source: who reported it, for the log.
        :param age_s: how long ago it was first seen there.
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
        """Seconds since the newest epoch was first seen."""
        return self._clock.now() - self.raised_at
