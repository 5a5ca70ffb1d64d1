"""What a gateway does with its own rows at its start.

It reads where the others take messages and when rollouts began, begins to follow the
tables, and writes where it takes messages itself.
"""

import threading
import typing

import msgspec

from gaprock import (
    clock,
    eventlog,
    followers,
    gateway_api,
    gateway_rows,
    mesh,
    rollout_writer,
    rollouts,
)

# Pause before the rows are read again while the store does not answer, seconds.
RETRY_S: typing.Final = 0.5
# Peers that start with us have their rows in the store by then, seconds.
PEERS_AGAIN_S: typing.Final = 2.0


class OwnRowsTask:
    """Runs once, on a thread of its own.

    :param name: this gateway's name.
    :param table: the table of our own rows.
    """

    __slots__ = (
        "_name",
        "_clock",
        "_store",
        "_table",
        "_mesh",
        "_rollouts",
        "_orders",
        "_writer",
        "_followers",
    )

    def __init__(
        self,
        name: str,
        clock_: clock.Clock,
        store: gateway_api.SharedStore,
        table: str,
        mesh_: mesh.Mesh,
        rollouts_: rollouts.Rollouts,
        orders: gateway_rows.OrderRows,
        writer: rollout_writer.RolloutWriter,
        followers_: list[followers.Follower],
    ) -> None:
        self._name = name
        self._clock = clock_
        self._store = store
        self._table = table
        self._mesh = mesh_
        self._rollouts = rollouts_
        self._orders = orders
        self._writer = writer
        self._followers = followers_

    def run(self) -> None:
        """Read the rows, and follow the tables.

        The tables are followed at once when the store does not answer: peers' copies
        may come before it does.
        """
        page = self._read()
        for follower in self._followers:
            follower.start()
        while page is None:
            threading.Event().wait(RETRY_S)
            page = self._read()
        self._announce()
        threading.Event().wait(PEERS_AGAIN_S)
        self._read()

    def _read(self) -> gateway_api.Page | None:
        """Read the rows and take them; ``None`` when the store did not answer."""
        try:
            page = self._store.read(self._table)
        except gateway_api.StoreError as exc:
            eventlog.warning("own-rows", error=exc)
            return None
        own = gateway_rows.OwnRows(page, self._clock.now())
        self._writer.store_offset = page.store_now - self._clock.now()
        self._mesh.found(own.peers)
        self._orders.starts.update(own.starts)
        for (service, revision), started_at in own.starts.items():
            self._rollouts.backdate(service, revision, started_at)
        return page

    def _announce(self) -> None:
        """Write where we take messages, for gateways that start later."""
        if not self._mesh.address:
            return
        key = gateway_rows.PEER_PREFIX + self._name
        value = msgspec.json.encode(gateway_rows.PeerRow(self._mesh.address))
        try:
            self._store.commit([gateway_api.Write(self._table, key, value)])
        except gateway_api.StoreError as exc:
            # Peers that are in the store hear of us by our beats.
            eventlog.warning("announce", error=exc)
