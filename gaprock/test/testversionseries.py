"""Random series of orders, outcomes, kills, restores and endpoint rows keep the roles.

Two gateways follow the rows of a store, or one that was killed starts from them.  With
an endpoint of the stable version there, a withdrawn one gets nothing; a bad version
never gets more than its rollout allows; and a request finds an endpoint.
"""

import copy
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from gaprock import (
    clock,
    evidence,
    freshness,
    gateway_api,
    gateway_rows,
    rollout_state,
    rollouts,
    store_epochs,
)
from gaprock.platform import wire
from gaprock.test import rolloutcase

SERVICE: typing.Final = "llm"
ORDER_KEY: typing.Final = f"rollout/{SERVICE}"
FINISH_S: typing.Final = 16.0
SHARE: typing.Final = 0.15
SLACK: typing.Final = 30.0
VERSIONS: typing.Final = ("v1", "v2", "v3")
DIALECT: typing.Final = wire.PlatformDialect()
TABLES: typing.Final = DIALECT.tables
GATEWAYS: typing.Final = st.integers(0, 1)


class Store(gateway_api.SharedStore):
    """Keeps rows, and comes back from an earlier copy of them."""

    __slots__ = ("version", "epoch", "rows", "copies")

    def __init__(self) -> None:
        self.version, self.epoch = 1, 0
        self.rows: dict[str, dict[str, gateway_api.Row]] = {}
        self.copies: list[tuple[int, dict[str, dict[str, gateway_api.Row]]]] = []

    def read(self, table: str) -> gateway_api.Page:
        rows = list(self.rows.get(table, {}).values())
        return gateway_api.Page(rows, self.version, 0.0, self.epoch)

    def changes(self, table: str, since: int) -> gateway_api.Page:
        return self.read(table)

    def commit(self, writes: list[gateway_api.Write]) -> int:
        for write in writes:
            row = self.rows.get(write.table, {}).get(write.key)
            if write.expect not in (None, row.version if row else 0):
                return 0
        self.version += 1
        for write in writes:
            row = gateway_api.Row(write.key, write.value, self.version)
            self.rows.setdefault(write.table, {})[write.key] = row
        return self.version

    def copy(self) -> None:
        """Make a copy that a restore may come back to."""
        self.copies.append((self.version, copy.deepcopy(self.rows)))

    def restore(self) -> None:
        """Come back from the earliest copy since the last restore."""
        if self.copies:
            self.version, self.rows = self.copies[0]
            self.copies.clear()
        self.epoch += 1


class Gateway:
    """The parts of a gateway that choose versions, started from the store's rows."""

    def __init__(self, name: str, world: "Series") -> None:
        self.world, time = world, world.time
        book = evidence.EvidenceBook(name)
        self.book = rollouts.Rollouts(
            time,
            SHARE,
            book,
            canary_slack=SLACK,
            count_gateways=lambda: 2,
            versions_of=lambda service: set(world.endpoints),
        )
        self.epochs = store_epochs.EpochTracker(time)
        _, self.writer = rolloutcase.make_writer(
            name, time, world.store, self.book, book, self.epochs
        )
        store_clock = freshness.StoreClock()
        store_clock.record(0.0, 0.0, 0.0)
        self.orders = gateway_rows.OrderRows(time, DIALECT, self.book)
        self.outcomes = gateway_rows.OutcomeRows(time, DIALECT, self.book, self.writer)
        own = gateway_rows.OwnRows(time, world.store.read(TABLES.own), store_clock)
        self.orders.starts.update(own.starts)
        for service, roles in own.roles.items():
            self.book.record_stored_roles(service, roles)
        self.writer.knows_stored_roles = True
        self.read(is_first=True)

    def read(self, is_first: bool = False) -> None:
        """Read all rows."""
        store = self.world.store
        self.epochs.record(store.epoch, "store")
        self.outcomes.apply_page(store.read(TABLES.outcomes), whole=True)
        is_restored = store.epoch > self.orders._epoch
        orders = store.read(TABLES.orders)
        self.orders.apply_page(orders, whole=is_first or is_restored)
        self.book.observe_versions(SERVICE)

    def version_for(self, session: str) -> str:
        """Return the version that a request is sent to; empty if it is refused."""
        endpoints = self.world.endpoints
        assignment = self.book.assignment(SERVICE, session)
        if assignment is None:
            return min(endpoints, default="")
        assignment = self.book.fallback.apply(
            assignment, lambda takes: any(map(takes, endpoints)), is_bound=False
        )
        return next(filter(assignment.takes, sorted(endpoints)), "")


class Trial:
    """An order, and the sends since."""

    def __init__(self, version: str, started_at: float) -> None:
        self.version, self.started_at = version, started_at
        self.total = self.exposed = 0


class Series(stateful.RuleBasedStateMachine):
    """State machine of an operator, a store, endpoints and two gateways."""

    def __init__(self) -> None:
        super().__init__()
        self.time = clock.ManualClock(100.0)
        self.store = Store()
        self.endpoints = {"v1"}
        self.stable, self.ordered = "v1", ""
        self.withdrawn: set[str] = set()
        self.trials: list[Trial] = []
        self.sent = 0
        self.gateways = [Gateway("g1", self), Gateway("g2", self)]

    def _settle(self) -> None:
        """Let the gateways read all rows, and write what is due."""
        for _ in range(2):
            for gateway in self.gateways:
                gateway.read()
                gateway.writer.step()
            self.time.advance(0.6)
        for gateway in self.gateways:
            gateway.read()

    def _write_order(self) -> None:
        row = rolloutcase.order_value(SERVICE, self.ordered, FINISH_S)
        self.store.commit([gateway_api.Write(TABLES.orders, ORDER_KEY, row)])

    @property
    def _outcome(self) -> dict[str, str]:
        row = self.store.rows.get(TABLES.outcomes, {}).get(ORDER_KEY)
        return rolloutcase.decode_outcome(row.value if row else None)

    @stateful.rule(version=st.sampled_from(VERSIONS), is_there=st.booleans())
    def order(self, version: str, is_there: bool) -> None:
        """Order a version, whether or not the one before has an outcome."""
        if self.ordered and self.ordered != self.stable:
            self.withdrawn.add(self.ordered)
        self.ordered = version
        self.withdrawn.discard(version)
        if is_there:
            self.endpoints.add(version)
        if version != self.stable:
            self.trials.append(Trial(version, self.time.now()))
        self._write_order()
        self._settle()

    @stateful.rule(which=GATEWAYS)
    def turns_out_bad(self, which: int) -> None:
        """A gateway halts the version, tells the other one, and one of them writes."""
        if self._outcome.get("ToVersion") != self.ordered:
            return
        if self.ordered == self.stable or self._outcome["State"] != "running":
            return
        for gateway in self.gateways:
            for rollout in gateway.book.all():
                gateway.book.halt(SERVICE, rollout.revision, "bad", rollout.epoch)
        self._settle()
        self.time.advance(1.0)
        self._settle()
        self.withdrawn.add(self.ordered)
        assert self._outcome == {"ToVersion": self.ordered, "State": "rolled_back"}

    @stateful.rule()
    def completes(self) -> None:
        """The version is completed, and the endpoints of others stop."""
        row = self.store.rows.get(TABLES.outcomes, {}).get(ORDER_KEY)
        if row is None or self._outcome["ToVersion"] != self.ordered:
            return
        if self._outcome["State"] != "running" or self.ordered not in self.endpoints:
            return
        value = DIALECT.outcome_value(self.ordered, "completed")
        writes = [gateway_api.Write(TABLES.outcomes, ORDER_KEY, value, row.version)]
        assert self.store.commit(writes)
        self.stable, self.endpoints = self.ordered, {self.ordered}
        self.withdrawn.discard(self.ordered)
        # It was sound, so its trials are none of a bad version.
        self.trials = [one for one in self.trials if one.version != self.ordered]
        self._settle()

    @stateful.rule(which=GATEWAYS)
    def killed(self, which: int) -> None:
        """A gateway ends; a new one knows the store's rows only."""
        self.gateways[which] = Gateway(f"g{which + 1}", self)
        self.trials.clear()

    @stateful.rule()
    def all_killed(self) -> None:
        self.gateways = [Gateway("g1", self), Gateway("g2", self)]
        self.trials.clear()

    @stateful.rule()
    def copied(self) -> None:
        self.store.copy()

    @stateful.rule()
    def restored(self) -> None:
        """The store comes back from a copy; the operator writes a lost order again."""
        self.store.restore()
        self._settle()
        row = self.store.rows.get(TABLES.orders, {}).get(ORDER_KEY)
        order = DIALECT.order(ORDER_KEY, row.value or b"") if row else None
        if self.ordered and (order is None or order.to_version != self.ordered):
            self._write_order()
        self._settle()

    @stateful.rule(version=st.sampled_from(VERSIONS), is_there=st.booleans())
    def endpoint_row(self, version: str, is_there: bool) -> None:
        """The row of a version's endpoint is written, or is gone."""
        if not self.ordered and version == self.stable:
            return
        if is_there:
            self.endpoints.add(version)
        else:
            self.endpoints.discard(version)
        for gateway in self.gateways:
            gateway.read()

    @stateful.rule(seconds=st.integers(1, 3))
    def traffic(self, seconds: int) -> None:
        """Requests come for some seconds."""
        for _ in range(5 * seconds):
            self.time.advance(0.2)
            for gateway in self.gateways:
                gateway.writer.step()
                for _ in range(3):
                    self._send(gateway)
        self._settle()

    def _send(self, gateway: Gateway) -> None:
        self.sent += 1
        version = gateway.version_for(f"s{self.sent}")
        if self.stable in self.endpoints:
            assert version and version not in self.withdrawn - {self.stable}
            if self.ordered in ("", self.stable):
                assert version == self.stable
        if not version:
            return
        gateway.book.record_send(SERVICE, version)
        for trial in self.trials:
            if self.time.now() < trial.started_at + FINISH_S:
                trial.total += 1
                trial.exposed += version == trial.version

    @stateful.invariant()
    def none_gets_more_than_its_rollout_allows(self) -> None:
        """Each version may be bad that is not, and never becomes, the stable one."""
        for trial in self.trials:
            if trial.version != self.stable:
                assert trial.exposed <= SHARE * trial.total + SLACK

    @stateful.invariant()
    def the_stable_version_is_known_and_never_rolled_back(self) -> None:
        for gateway in self.gateways:
            assert gateway.book.roles.stable(SERVICE) in (self.stable, "")
        if self._outcome.get("ToVersion") == self.stable:
            assert self._outcome["State"] != "rolled_back"


TestSeries = Series.TestCase
TestSeries.settings = hypothesis.settings(
    derandomize=True, max_examples=80, stateful_step_count=20, deadline=None
)


def test_the_state_machine_reaches_final_states() -> None:
    """A series by hand, through each kind of outcome."""
    series = Series()
    series.order("v2", is_there=True)
    series.traffic(2)
    series.turns_out_bad(0)
    series.order("v1", is_there=True)
    series.traffic(4)
    assert series._outcome == {"ToVersion": "v1", "State": "completed"}
    series.endpoints.discard("v2")
    series.order("v3", is_there=True)
    series.completes()
    assert series.stable == "v3" == series.gateways[0].book.roles.stable(SERVICE)
    series.all_killed()
    series.order("v2", is_there=True)
    assert rollout_state.State.RUNNING in [
        one.state for one in series.gateways[1].book.all()
    ]


def test_a_kill_of_all_before_any_order_does_not_change_the_stable_version() -> None:
    series = Series()
    series.endpoint_row("v2", is_there=True)
    series.all_killed()
    series.order("v1", is_there=True)
    stable = [gateway.book.roles.stable(SERVICE) for gateway in series.gateways]
    assert set(stable) <= {"v1", ""}
