"""What a gateway does with its own rows at its start, and after the store lost them.

It reads where the others take messages and when rollouts began, begins to follow the
tables, and writes where it takes messages itself.

Of two gateways that start together, at least one has to find the other one's row.  Each
reads once after its own row is written, so the later of the two readings comes after
both writings.  A gateway whose row still stands from an earlier life need not write it
nor read again, which is a third of the calls of a restart.

A store that is restored from a backup may lack a row that was written just before, so
it is written again.
"""

import random
import threading
import typing

import msgspec

from gaprock import (
    clock,
    eventlog,
    followers,
    freshness,
    gateway_api,
    gateway_rows,
    mesh,
    mesh_members,
    rollout_writer,
    rollouts,
    store_epochs,
)

# Pause before a call that the store did not answer is made again, seconds.
RETRY_S: typing.Final = 0.5
# A row that is older than this is in every copy that a store may be restored from,
# seconds.
COPIED_S: typing.Final = 60.0
# Pause between two looks at the store's epoch, seconds, and how far the writings of
# many gateways are spread after a restore.
EPOCH_LOOK_S: typing.Final = 0.5
SPREAD_S: typing.Final = 2.0


class OwnRowsTask:
    """Runs on a thread of its own.

    :param name: this gateway's name.
    :param table: the table of our own rows.
    """

    __slots__ = (
        "_name",
        "_clock",
        "_store_clock",
        "_store",
        "_table",
        "_mesh",
        "_rollouts",
        "_orders",
        "_writer",
        "_followers",
        "_is_first_start",
        "_is_announced",
        "_announced_at",
        "_epochs",
        "_epoch",
        "_stopped",
        "_retry_s",
    )

    def __init__(
        self,
        name: str,
        clock_: clock.Clock,
        store_clock: freshness.StoreClock,
        store: gateway_api.SharedStore,
        table: str,
        mesh_: mesh.Mesh,
        rollouts_: rollouts.Rollouts,
        orders: gateway_rows.OrderRows,
        writer: rollout_writer.RolloutWriter,
        followers_: list[followers.Follower],
        is_first_start: bool = False,
        epochs: store_epochs.EpochTracker | None = None,
    ) -> None:
        self._name = name
        self._clock = clock_
        self._store_clock = store_clock
        self._store = store
        self._table = table
        self._mesh = mesh_
        self._rollouts = rollouts_
        self._orders = orders
        self._writer = writer
        self._followers = followers_
        self._is_first_start = is_first_start
        # Whether the store was seen to have our row as it should be.
        self._is_announced = not mesh_.address
        # When our row was last written; our start, if it stood there before.
        self._announced_at = clock_.now()
        self._epochs = epochs or store_epochs.EpochTracker(clock_)
        # The store's epoch in which the row was written.
        self._epoch = -1
        self._stopped = threading.Event()
        # Pause after the last call that failed.
        self._retry_s = RETRY_S

    def run(self) -> None:
        """Read the rows, follow the tables, and see that our row stays written.

        The tables are followed at once when the store does not answer: peers' copies
        may come before it does.
        """
        if self._is_first_start:
            # All begin at once and nobody waits for us yet: with the row first, one
            # reading finds the others.
            self._announce()
        is_read = self._read()
        for follower in self._followers:
            follower.start()
        if not is_read:
            self._until_done(self._read)
        if not self._is_announced:
            self._until_done(self._announce)
            self._until_done(self._read)
        while self._mesh.address and not self._stopped.wait(EPOCH_LOOK_S):
            self.look()

    def look(self) -> None:
        """Write our row again if a restore of the store may have lost it."""
        if self._epochs.newest <= self._epoch:
            return
        old, self._epoch = self._epoch, self._epochs.newest
        if self._clock.now() > self._announced_at + COPIED_S:
            return
        eventlog.info("rows-written-again", rows="peer", epoch=self._epoch, old=old)
        self._stopped.wait(random.uniform(0.0, SPREAD_S))
        self._until_done(self._announce)

    def stop(self) -> None:
        """End after the call under way."""
        self._stopped.set()

    def _until_done(self, call: typing.Callable[[], bool]) -> None:
        """Make a call again until it is done."""
        while not self._stopped.is_set() and not call():
            self._stopped.wait(self._retry_s)

    def _read(self) -> bool:
        """Read the rows and take them; give whether the store answered."""
        asked_at = self._clock.now()
        try:
            page = self._store.read(self._table)
        except gateway_api.StoreError as exc:
            self._retry_s = max(RETRY_S, exc.retry_after_s)
            eventlog.warning("own-rows", error=exc)
            return False
        self._store_clock.record(page.store_now, asked_at, self._clock.now())
        own = gateway_rows.OwnRows(self._clock, page, self._store_clock)
        self._is_announced = (
            self._is_announced or own.peers.get(self._name) == self._row
        )
        found = [
            mesh_members.PeerAddress(r.address, r.hall, n) for n, r in own.peers.items()
        ]
        self._mesh.found(found)
        if self._epoch < 0:
            self._epoch = self._epochs.newest
        self._orders.starts.update(own.starts)
        for (service, revision), started_at in own.starts.items():
            self._rollouts.backdate(service, revision, started_at, "own row")
        return True

    @property
    def _row(self) -> gateway_rows.PeerRow:
        return gateway_rows.PeerRow(self._mesh.address, self._mesh.hall)

    def _announce(self) -> bool:
        """Write where we take messages, for gateways that start later.

        Two that start together find each other by these rows alone, so an answer that
        is lost may not pass for a row that is written.

        :returns: whether it is done.
        """
        if not self._mesh.address:
            return True
        # A restore while the answer is under way may lose the row.
        epoch = self._epochs.newest
        key = gateway_rows.PEER_PREFIX + self._name
        value = msgspec.json.encode(self._row)
        try:
            self._store.commit([gateway_api.Write(self._table, key, value)])
        except gateway_api.StoreError as exc:
            self._retry_s = max(RETRY_S, exc.retry_after_s)
            eventlog.warning("announce", error=exc)
            return False
        self._announced_at = self._clock.now()
        self._epoch = epoch if epoch >= 0 else self._epochs.newest
        return True
