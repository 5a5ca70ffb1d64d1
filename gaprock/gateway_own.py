"""What a gateway does with its own rows at its start.

It reads where the others take messages and when rollouts began, begins to follow the
tables, and writes where it takes messages itself.

Of two gateways that start together, at least one has to find the other one's row.  Each
reads once after its own row is written, so the later of the two readings comes after
both writings.  A gateway whose row still stands from an earlier life need not write it
nor read again, which is a third of the calls of a restart.
"""

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
)

# Pause before a call that the store did not answer is made again, seconds.
RETRY_S: typing.Final = 0.5


class OwnRowsTask:
    """Runs once, on a thread of its own.

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
        self._stopped = threading.Event()
        # Pause after the last call that failed.
        self._retry_s = RETRY_S

    def run(self) -> None:
        """Read the rows, and follow the tables.

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
            self._retry_s = max(RETRY_S, exc.retry_s)
            eventlog.warning("own-rows", error=exc)
            return False
        self._store_clock.note(page.store_now, asked_at, self._clock.now())
        own = gateway_rows.OwnRows(self._clock, page, self._store_clock)
        self._is_announced = (
            self._is_announced or own.peers.get(self._name) == self._row
        )
        found = [mesh_members.Found(r.address, r.hall, n) for n, r in own.peers.items()]
        self._mesh.found(found)
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
        key = gateway_rows.PEER_PREFIX + self._name
        value = msgspec.json.encode(self._row)
        try:
            self._store.commit([gateway_api.Write(self._table, key, value)])
        except gateway_api.StoreError as exc:
            self._retry_s = max(RETRY_S, exc.retry_s)
            eventlog.warning("announce", error=exc)
            return False
        return True
