"""A rollout gets one final outcome, whichever gateway writes it and writes get lost.

Gateways take turns to write.  A write is applied and answered, applied and not
answered, lost, or applied late if its condition still holds.  Rows and heartbeats
arrive late, gateways are killed and restarted at any moment, and the version may
turn out bad.
"""

import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from gaprock import clock, evidence, gateway_api, gateway_rows, rollout_state, rollouts
from gaprock.platform import wire
from gaprock.test import rolloutcase

SERVICE: typing.Final = "llm"
FINISH_S: typing.Final = 20.0
FINAL: typing.Final = ("completed", "rolled_back")
STEP_S: typing.Final = 0.5


class Member:
    """The parts of a gateway that take part in a rollout."""

    def __init__(self, name: str, world: "Takeover") -> None:
        self.time = world.clock
        book = evidence.EvidenceBook(name)
        self.rollouts = rollouts.Rollouts(self.time, 0.15, book)
        self.mesh, self.writer = rolloutcase.make_writer(
            name, self.time, world.store, self.rollouts, book
        )
        self.on_old = 0
        self.mesh.own_on_old_version = lambda service: self.on_old
        self.rows = gateway_rows.OutcomeRows(
            self.time, wire.PlatformDialect(), self.rollouts, self.writer
        )
        order = gateway_api.RolloutOrder(SERVICE, "v2", FINISH_S)
        self.rollout = self.rollouts.add_order(order, 1, world.started_at)
        self.apply_row(world.store)

    def apply_row(self, store: rolloutcase.ModelStore) -> None:
        """Apply the row as it is now."""
        if store.row is not None:
            page = gateway_api.Page([store.row], store.row.version, 0.0)
            self.rows.apply_page(page, whole=False)


MEMBERS: typing.Final = st.integers(0, 1)


class Takeover(stateful.RuleBasedStateMachine):
    """State machine of two gateways and the store."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock.ManualClock(100.0)
        self.started_at = self.clock.now()
        self.store = rolloutcase.ModelStore()
        self.names = ["g1", "g2"]
        self.members = [Member(name, self) for name in self.names]

    def teardown(self) -> None:
        """Without further faults, both gateways learn a final outcome in time."""
        self.store.write_result = "answered"
        if any(member.rollout.halted for member in self.members):
            # Heartbeats carry the halt to the other gateway.
            for member in self.members:
                member.rollouts.halt(SERVICE, 1, "told")
        while self.clock.now() < self.started_at + FINISH_S:
            self._step_all()
        self._step_all()
        self._step_all()
        assert self.store.history and self.store.history[-1] in FINAL
        shares = [m.rollouts.share(m.rollout) for m in self.members]
        assert shares == [1.0 if self.store.history[-1] == "completed" else 0.0] * 2

    def _step_all(self) -> None:
        self.clock.advance(STEP_S)
        for member in self.members:
            member.apply_row(self.store)
            member.writer.step()
            member.apply_row(self.store)

    @stateful.rule(
        steps=st.integers(1, 12), living=st.sampled_from([(0,), (1,), (0, 1)])
    )
    def time_passes(self, steps: int, living: tuple[int, ...]) -> None:
        """Time passes; the gateways that are not paused run their writers."""
        until = self.started_at + FINISH_S - rollout_state.WRITE_BEFORE_S
        for _ in range(steps):
            if self.clock.now() >= until:
                return
            self.clock.advance(STEP_S)
            for which in living:
                self.members[which].writer.step()

    @stateful.rule(write_result=st.sampled_from(["lost", "unanswered", "late"]))
    def next_write(self, write_result: str) -> None:
        self.store.write_result = write_result

    @stateful.rule()
    def late_write_is_applied(self) -> None:
        if self.store.late:
            self.store.write(self.store.late.pop(0))

    @stateful.rule(which=MEMBERS)
    def row_arrives(self, which: int) -> None:
        self.members[which].apply_row(self.store)

    @stateful.rule(which=MEMBERS, count=st.integers(0, 1))
    def runs_on_old(self, which: int, count: int) -> None:
        self.members[which].on_old = count

    @stateful.rule(which=MEMBERS)
    def turns_out_bad(self, which: int) -> None:
        self.members[which].rollouts.halt(SERVICE, 1, "bad answers")

    @stateful.rule(which=MEMBERS)
    def killed(self, which: int) -> None:
        """The gateway restarts and knows only the rows of the store."""
        self.members[which] = Member(self.names[which], self)

    @stateful.invariant()
    def a_final_outcome_stays(self) -> None:
        finals = [state for state in self.store.history if state in FINAL]
        assert len(finals) <= 1
        assert not finals or self.store.history[-1] == finals[0]

    @stateful.invariant()
    def halted_version_gets_no_share(self) -> None:
        """A version halted at a gateway gets no share, unless its rollout completed."""
        for member in self.members:
            rollout = member.rollout
            if rollout.halted and rollout.state is not rollout_state.State.COMPLETED:
                assert member.rollouts.share(rollout) == 0.0


TestTakeover = Takeover.TestCase
TestTakeover.settings = hypothesis.settings(
    derandomize=True, max_examples=200, stateful_step_count=30, deadline=None
)
