"""Measures the cost of a restore of the store: calls, copies between gateways, time.

    python -m bench.restores [--gateways 3,21,300] [--reads-per-s 2000]

Gateways in three halls follow three tables of a store; one of them has ten endpoints
for each gateway.  The store is restored from a backup and all long polls end.  Printed:
the time until the first, the median and the last gateway has all tables of the new
epoch; the calls until then, how many of them the store's rate limit refused, and the
calls in the second after; the size of copies between gateways, in all and from the
gateway that sent most.

Gossip is the real mesh's, on a virtual clock.  The store answers calls at once, and a
read of a large table takes a call for each 500 rows.
"""

import argparse
import collections
import functools
import random
import typing

from bench import scale
from gaprock import (
    clock,
    followers,
    freshness,
    gateway_api,
    mesh_messages,
    plugin,
    row_exchange,
    store_epochs,
)
from gaprock.test import fleetcase, rowcase

HALLS: typing.Final = 3
SETTLED_S: typing.Final = 6.0
MAX_WAIT_S: typing.Final = 30.0
AFTER_S: typing.Final = 1.0
PAGE_ROWS: typing.Final = 500
# The time within which changes must be in force, by table.
IN_FORCE_S: typing.Final = (7.0, 2.0, 5.0)
# The contents of an endpoint's row.
ROW: typing.Final = b"x" * 160


class Store(gateway_api.SharedStore):
    """A store of three tables that counts calls and limits their rate."""

    __slots__ = (
        "_clock",
        "_sizes",
        "_per_s",
        "_by_second",
        "epoch",
        "calls",
        "refused",
    )

    def __init__(self, time: clock.Clock, endpoints: int, per_s: int) -> None:
        self._clock = time
        self._sizes = (3, endpoints, 2)
        self._per_s = per_s
        self._by_second: dict[int, int] = collections.Counter()
        self.epoch = self.calls = self.refused = 0

    def _call(self, count: int = 1) -> None:
        second = int(self._clock.now())
        self.calls += count
        self._by_second[second] += count
        if self._by_second[second] > self._per_s:
            self.refused += count
            raise gateway_api.StoreError("status 429")

    def read(self, table: str) -> gateway_api.Page:
        size = self._sizes[int(table)]
        self._call(1 + size // PAGE_ROWS)
        rows = [gateway_api.Row(f"i-{n:010x}", ROW, 1 + n) for n in range(size)]
        return gateway_api.Page(rows, 10_000, self._clock.now(), self.epoch)

    def changes(self, table: str, since: int) -> gateway_api.Page:
        self._call()
        return gateway_api.Page([], 10_000, self._clock.now(), self.epoch)


class Reader:
    """A gateway's followers, stepped by the simulation instead of their threads."""

    def __init__(self, member: fleetcase.Member, store: Store) -> None:
        self._time = member.mesh._clock
        self._mesh = member.mesh
        self._store = store
        self.epochs = store_epochs.EpochTracker(self._time)
        store_clock = freshness.StoreClock()
        self.tables = [
            followers.Follower(
                str(number),
                store,
                self._time,
                rowcase.RecordingSink(),
                freshness.Freshness(
                    self._time,
                    store_clock,
                    functools.partial(float, bound),
                    self._mesh.is_first_reader,
                ),
                epochs=self.epochs,
            )
            for number, bound in enumerate(IN_FORCE_S)
        ]
        self._mesh.source = row_exchange.RowExchange(
            self.tables, self._time, self.epochs
        )
        self._pauses = [followers.FIRST_PAUSE_S] * len(self.tables)
        self._retry_at = [0.0] * len(self.tables)
        # Whether the long poll of each table was ended.
        self.poll_ended = [False] * len(self.tables)
        self._rng = random.Random(member.name)

    def step(self) -> None:
        """Make the calls to the store that are due."""
        for number, follower in enumerate(self.tables):
            if self._time.now() < self._retry_at[number]:
                continue
            try:
                self._step(number, follower)
                self._pauses[number] = followers.FIRST_PAUSE_S
            except gateway_api.HistoryGone:
                follower._is_read = False
            except gateway_api.StoreError as exc:
                follower._record_disconnect(exc)
                pause_s = self._pauses[number] * self._rng.uniform(0.5, 1.0)
                self._retry_at[number] = self._time.now() + pause_s
                next_pause_s = 2 * self._pauses[number]
                self._pauses[number] = min(followers.LONGEST_PAUSE_S, next_pause_s)

    def _step(self, number: int, follower: followers.Follower) -> None:
        on_standby = (
            follower._is_read and follower.connected and self._mesh.has_readers()
        )
        follower._set_standby(on_standby)
        is_due = self.poll_ended[number] and not on_standby
        if not follower._is_read or follower._is_outdated and not on_standby:
            self._call(follower._read_table)
            self.poll_ended[number] = False
        elif not follower.connected or follower.fresh.is_check_due or is_due:
            self.poll_ended[number] = False
            self._call(lambda: follower._request_changes(follower.version))

    def _call(self, call: typing.Callable[[], object]) -> None:
        self.epochs.record(self._store.epoch, "store")
        call()

    @property
    def epoch(self) -> int:
        """The lowest epoch of the tables."""
        return min(follower.epoch for follower in self.tables)


class Fleet(scale.CountedFleet):
    """Gateways that follow one store."""

    def __init__(self, gateways: int, per_s: int) -> None:
        super().__init__(HALLS, gateways // HALLS)
        endpoints = scale.ENDPOINTS_EACH * gateways
        self.store = Store(self.time, endpoints, per_s)
        self.readers = [Reader(member, self.store) for member in self.members]
        self.copied: dict[str, int] = collections.Counter()

    def send(self, sender: fleetcase.Member, address: str, data: bytes) -> None:
        if isinstance(mesh_messages.decode(data), mesh_messages.Rows):
            self.copied[sender.name] += len(data)
        super().send(sender, address, data)

    def follow(self, seconds: float, epoch: int = -1) -> list[float]:
        """Let time pass until all gateways have reached an epoch.

        :return: the seconds after which each one had reached it, sorted.
        """
        began, reached_at = self.time.now(), dict[int, float]()
        while self.time.now() < began + seconds and len(reached_at) < len(self.readers):
            self.run(fleetcase.STEP_S)
            for number, reader in enumerate(self.readers):
                reader.step()
                if number not in reached_at and reader.epoch >= epoch >= 0:
                    reached_at[number] = self.time.now() - began
        return sorted(reached_at.values())


def play(gateways: int, per_s: int) -> str:
    """Restore the store of a number of gateways and return the figures."""
    fleet = Fleet(gateways, 1_000_000)
    fleet.follow(SETTLED_S)
    fleet.store._per_s = per_s
    before = fleet.store.calls
    fleet.copied.clear()
    fleet.store.epoch += 1
    for reader in fleet.readers:
        reader.poll_ended = [True] * len(reader.tables)
    times = fleet.follow(MAX_WAIT_S, fleet.store.epoch)
    calls, refused = fleet.store.calls - before, fleet.store.refused
    fleet.follow(AFTER_S)
    after = fleet.store.calls - before - calls
    sizes = sorted(fleet.copied.values()) or [0]
    median = times[len(times) // 2] if times else MAX_WAIT_S
    return (
        f"{gateways:4} gateways, {len(times)} have it after {times[0]:.1f}, "
        f"{median:.1f}, {times[-1]:.1f} s; calls {calls} ({refused} refused), "
        f"{after} in the second after; copies {sum(sizes) / 1e6:.2f} MB, "
        f"busiest {sizes[-1] / 1e6:.2f} MB"
    )


def main() -> None:
    """Run the simulations and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", default="3,21,300")
    parser.add_argument("--reads-per-s", type=int, default=2000)
    args = parser.parse_args()
    plugin.load_all(plugin.GATEWAY_MODULES)
    for text in filter(None, args.gateways.split(",")):
        print(play(int(text), args.reads_per_s), flush=True)


if __name__ == "__main__":
    main()
