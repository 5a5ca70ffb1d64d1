"""Reads and writes the gateways' own rows at the start, and after the store lost them.

A starting gateway begins to read the tables that it needs to be ready, meanwhile reads
the addresses of its peers and the start times of rollouts, and then writes its own
address.

Of two gateways that start at the same time, at least one must find the other's row.
Each reads once after its own row is written, so the later of the two reads comes after
both writes.  A gateway whose row is still there from an earlier incarnation need not
write it or read again, which saves a third of the calls of a restart.

A store that is restored from a backup may lack a row that was written shortly before,
so the row is written again.
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
    held_rows,
    mesh,
    mesh_members,
    rollout_writer,
    rollouts,
    store_epochs,
)

# Pause before a call that the store did not answer is retried.
RETRY_S: typing.Final = 0.5
# A row that is older than this is contained in every backup that the store may be
# restored from.
BACKUP_LAG_S: typing.Final = 60.0
# Interval at which the store's epoch is checked.
EPOCH_CHECK_INTERVAL_S: typing.Final = 0.5
# After a restore, the writes of many gateways are spread over this time.
REWRITE_SPREAD_S: typing.Final = 2.0


class OwnRowsTask:
    """Maintains this gateway's own row; runs on a thread of its own.

    :param name: this gateway's name.
    :param table: the table of the gateways' own rows.
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
        "_held",
        "_epoch",
        "_stopped",
        "_is_first_read_over",
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
        held: held_rows.HeldRows | None = None,
    ) -> None:
        self._held = held
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
        # Whether the store was seen to hold our row with its present content.
        self._is_announced = not mesh_.address
        # When our row was last written; our start time, if it was there already.
        self._announced_at = clock_.now()
        self._epochs = epochs or store_epochs.EpochTracker(clock_)
        # The store's epoch in which our row was written.
        self._epoch = -1
        self._stopped = threading.Event()
        # Set when the first read of the rows has succeeded or failed.
        self._is_first_read_over = threading.Event()
        # Pause before the next retry, as the last failed call asked for.
        self._retry_s = RETRY_S

    def run(self) -> None:
        """Start the followers, read the rows, and keep our row written.

        The followers come first: on a small machine, a second of the start is the
        transfer of the largest table.  They start even if the store does not answer,
        because copies from peers may arrive before it does.
        """
        if self._is_first_start:
            # All gateways start at once and nobody waits for us yet.  When each writes
            # its row first, a single read finds the others, and those before us by name
            # read the tables for us.
            self._announce()
            is_read = self._first_read()
            self._start_followers()
        else:
            self._start_followers()
            is_read = self._first_read()
        if not is_read:
            self._retry_until_done(self._read)
        if not self._is_announced:
            self._retry_until_done(self._announce)
            self._retry_until_done(self._read)
        while self._mesh.address and not self._stopped.wait(EPOCH_CHECK_INTERVAL_S):
            self.check_epoch()
            if self._held is not None:
                self._held.step()

    def check_epoch(self) -> None:
        """Write our row again if a restore of the store may have lost it."""
        if self._epochs.newest <= self._epoch:
            return
        old, self._epoch = self._epoch, self._epochs.newest
        if self._clock.now() > self._announced_at + BACKUP_LAG_S:
            return
        eventlog.info("rows-written-again", rows="peer", epoch=self._epoch, old=old)
        self._stopped.wait(random.uniform(0.0, REWRITE_SPREAD_S))
        self._retry_until_done(self._announce)

    def stop(self) -> None:
        """Stop the thread after its current call."""
        self._stopped.set()
        self._is_first_read_over.set()

    def await_first_read(self) -> None:
        """Wait until the rows were read once, or could not be read.

        The tables are read meanwhile, but their rows are applied later: a rollout that
        is not dated yet would send sessions back to the old version, and a gateway that
        does not know its peers would poll the store beside them.
        """
        self._is_first_read_over.wait()

    def _first_read(self) -> bool:
        try:
            return self._read()
        finally:
            self._is_first_read_over.set()

    def _start_followers(self) -> None:
        for follower in self._followers:
            follower.start()

    def _retry_until_done(self, call: typing.Callable[[], bool]) -> None:
        """Retry a call until it succeeds."""
        while not self._stopped.is_set() and not call():
            self._stopped.wait(self._retry_s)

    def _read(self) -> bool:
        """Read and apply the rows.

        :returns: whether the store answered.
        """
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
        self._mesh.add_addresses(found)
        if self._epoch < 0:
            self._epoch = self._epochs.newest
        if self._held is not None:
            self._held.apply(page.rows)
        self._orders.starts.update(own.starts)
        for (service, revision), start in own.starts.items():
            self._rollouts.record_stored_start(service, revision, start)
        for service, versions in own.withdrawn.items():
            self._rollouts.record_stored_withdrawn(service, versions)
        for service, roles in own.roles.items():
            self._rollouts.record_stored_roles(service, roles)
        self._writer.knows_stored_roles = True
        return True

    @property
    def _row(self) -> gateway_rows.PeerRow:
        return gateway_rows.PeerRow(self._mesh.address, self._mesh.hall)

    def _announce(self) -> bool:
        """Write our address, for gateways that start later.

        Gateways that start together find each other only by these rows, so a lost
        answer must not count as a written row.

        :returns: whether the row is written.
        """
        if not self._mesh.address:
            return True
        # A restore before the answer arrives may lose the row.
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
