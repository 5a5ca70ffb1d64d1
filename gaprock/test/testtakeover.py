"""A rollout's outcome under chance: who writes it, and what becomes of lost writes.

Gateways take turns to write.  Writes are done and answered, done and not answered,
lost, or done late if their condition still holds; rows and beats come late; gateways
are killed and started anew, at any moment; the version turns out bad, or not.
"""

import typing

import hypothesis
import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from gaprock import (
    clock,
    directory,
    evidence,
    freshness,
    gateway_api,
    gateway_rows,
    mesh,
    policy_guard,
    quarantine,
    rollout_state,
    rollout_writer,
    rollouts,
)
from gaprock.platform import wire

SERVICE: typing.Final = "llm"
FINISH_S: typing.Final = 20.0
TABLE: typing.Final = wire.PlatformDialect.tables.outcomes
FINAL: typing.Final = ("completed", "rolled_back")
STEP_S: typing.Final = 0.5


class ModelStore(gateway_api.SharedStore):
    """Keeps the outcome's row; what becomes of a write is the machine's."""

    __slots__ = ("version", "row", "history", "how", "late")

    def __init__(self) -> None:
        # The order is the first transaction.
        self.version = 1
        self.row: gateway_api.Row | None = None
        self.history: list[str] = []
        # What becomes of the next write.
        self.how = "answered"
        self.late: list[gateway_api.Write] = []

    def commit(self, writes: list[gateway_api.Write]) -> int:
        outcome = next(w for w in writes if w.table == TABLE)
        how, self.how = self.how, "answered"
        if how == "late":
            self.late.append(outcome)
        if how in ("late", "lost"):
            raise gateway_api.StoreError("no answer")
        done = self.write(outcome)
        if how == "unanswered":
            raise gateway_api.StoreError("no answer")
        return done

    def write(self, write: gateway_api.Write) -> int:
        """Do a write whose condition holds."""
        version = self.row.version if self.row else 0
        if write.expect is not None and write.expect != version:
            return 0
        assert write.value is not None
        self.version += 1
        self.row = gateway_api.Row(write.key, write.value, self.version)
        self.history.append(msgspec.json.decode(write.value)["State"])
        return self.version


class Member:
    """One gateway's part in a rollout."""

    def __init__(self, name: str, world: "Takeover") -> None:
        self.time = world.clock
        book = evidence.EvidenceBook(name)
        self.rollouts = rollouts.Rollouts(
            self.time, 0.15, policy_guard.Sequential(), book
        )
        endpoints = directory.Directory(self.time, 2.0)
        self.mesh = mesh.Mesh(
            name,
            "h",
            "",
            self.time,
            endpoints,
            self.rollouts,
            book,
            quarantine.Quarantine(self.time),
        )
        self.on_old = 0
        self.mesh.own_on_old_version = lambda service: self.on_old
        dialect = wire.PlatformDialect()
        store_clock = freshness.StoreClock()
        store_clock.record(0.0, 0.0, 0.0)
        self.writer = rollout_writer.RolloutWriter(
            self.time,
            store_clock,
            world.store,
            dialect,
            self.rollouts,
            self.mesh,
        )
        self.rows = gateway_rows.OutcomeRows(
            self.time, dialect, self.rollouts, self.writer
        )
        order = gateway_api.RolloutOrder(SERVICE, "v2", FINISH_S)
        self.rollout = self.rollouts.add_order(order, 1, world.started_at)
        self.hear(world.store)

    def hear(self, store: ModelStore) -> None:
        """Take the row as it is now."""
        if store.row is not None:
            page = gateway_api.Page([store.row], store.row.version, 0.0)
            self.rows.apply_page(page, whole=False)


MEMBERS: typing.Final = st.integers(0, 1)


class Takeover(stateful.RuleBasedStateMachine):
    """The machine."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock.ManualClock(100.0)
        self.started_at = self.clock.now()
        self.store = ModelStore()
        self.names = ["g1", "g2"]
        self.members = [Member(name, self) for name in self.names]

    def teardown(self) -> None:
        """Without further faults, the outcome stands in time and everywhere."""
        self.store.how = "answered"
        if any(member.rollout.halted for member in self.members):
            # Halts are told in beats.
            for member in self.members:
                member.rollouts.halt(SERVICE, 1, "told")
        while self.clock.now() < self.started_at + FINISH_S:
            self._all_step()
        self._all_step()
        self._all_step()
        assert self.store.history and self.store.history[-1] in FINAL
        shares = [m.rollouts.share(m.rollout) for m in self.members]
        assert shares == [1.0 if self.store.history[-1] == "completed" else 0.0] * 2

    def _all_step(self) -> None:
        self.clock.advance(STEP_S)
        for member in self.members:
            member.hear(self.store)
            member.writer.step()
            member.hear(self.store)

    @stateful.rule(
        steps=st.integers(1, 12), living=st.sampled_from([(0,), (1,), (0, 1)])
    )
    def time_passes(self, steps: int, living: tuple[int, ...]) -> None:
        """Time passes, and those who are not paused look at their duty."""
        until = self.started_at + FINISH_S - rollout_state.WRITE_BEFORE_S
        for _ in range(steps):
            if self.clock.now() >= until:
                return
            self.clock.advance(STEP_S)
            for which in living:
                self.members[which].writer.step()

    @stateful.rule(how=st.sampled_from(["lost", "unanswered", "late"]))
    def next_write(self, how: str) -> None:
        self.store.how = how

    @stateful.rule()
    def late_write_is_done(self) -> None:
        if self.store.late:
            self.store.write(self.store.late.pop(0))

    @stateful.rule(which=MEMBERS)
    def row_comes(self, which: int) -> None:
        self.members[which].hear(self.store)

    @stateful.rule(which=MEMBERS, count=st.integers(0, 1))
    def runs_on_old(self, which: int, count: int) -> None:
        self.members[which].on_old = count

    @stateful.rule(which=MEMBERS)
    def turns_out_bad(self, which: int) -> None:
        self.members[which].rollouts.halt(SERVICE, 1, "bad answers")

    @stateful.rule(which=MEMBERS)
    def killed(self, which: int) -> None:
        """What it knew is gone, but for the rows."""
        self.members[which] = Member(self.names[which], self)

    @stateful.invariant()
    def a_final_outcome_stays(self) -> None:
        finals = [state for state in self.store.history if state in FINAL]
        assert len(finals) <= 1
        assert not finals or self.store.history[-1] == finals[0]

    @stateful.invariant()
    def what_is_stopped_gets_nothing(self) -> None:
        """A version that is halted here gets nothing, unless its outcome stands."""
        for member in self.members:
            rollout = member.rollout
            if rollout.halted and rollout.state is not rollout_state.State.COMPLETED:
                assert member.rollouts.share(rollout) == 0.0


TestTakeover = Takeover.TestCase
TestTakeover.settings = hypothesis.settings(
    derandomize=True, max_examples=200, stateful_step_count=30, deadline=None
)
