"""The shared store's epoch, which rises each time it is restored from a backup.

A restored store lacks its latest writes and gives their version numbers out again, so
versions are compared within one epoch alone.
"""

import threading

from gaprock import clock, eventlog


class EpochBook:
    """The newest epoch that the store or another gateway told; safe for all threads."""

    __slots__ = ("_clock", "_lock", "newest", "raised_at", "restores")

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        # -1 before anybody told one.
        self.newest = -1
        # When the newest one was first heard of.
        self.raised_at = -clock.NEVER
        # How many times it rose since our start.
        self.restores = 0

    def note(self, epoch: int, source: str) -> None:
        """Take an epoch; one that is not newer changes nothing.

        :param source: who told it, for the log.
        """
        if epoch <= self.newest:
            return
        with self._lock:
            old = self.newest
            if epoch <= old:
                return
            self.newest = epoch
            self.raised_at = self._clock.now()
            self.restores += old >= 0
        event = "store-restored" if old >= 0 else "store-epoch"
        eventlog.info(event, epoch=epoch, old=old, source=source)
