"""Rollouts and cordoned halls when a restored store lacks orders and outcomes."""

import typing

import hypothesis
import msgspec
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from gaprock import (
    clock,
    gateway_api,
    gateway_rows,
    mesh_messages,
    relative_times,
    rollout_evidence,
    rollout_state,
    store_epochs,
)
from gaprock.platform import wire
from gaprock.test import rolloutcase, testtakeover

SERVICE: typing.Final = "llm"
FINAL: typing.Final = testtakeover.FINAL
ORDER_KEY: typing.Final = f"rollout/{SERVICE}"
STATES = pytest.mark.parametrize("state", FINAL)


def order_value(version: str) -> bytes:
    doc = {"Service": SERVICE, "ToVersion": version, "FinishByS": 20}
    return msgspec.json.encode(doc)


class Gateway:
    """The rollouts of a gateway that reads a store which is restored."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.case = rolloutcase.WriterCase(time)
        self.book, self.writer = self.case.book, self.case.writer
        dialect = wire.PlatformDialect()
        self.halls: frozenset[str] = frozenset()
        self.orders = gateway_rows.OrderRows(time, dialect, self.book, self._empty)
        self.outcomes = gateway_rows.OutcomeRows(time, dialect, self.book, self.writer)

    def _empty(self, halls: frozenset[str]) -> None:
        self.halls = halls

    def order(self, epoch: int, number: int, version: str, whole: bool = False) -> None:
        """Apply an order."""
        row = gateway_api.Row(ORDER_KEY, order_value(version), number)
        self.orders.apply_page(gateway_api.Page([row], number, 0.0, epoch), whole)

    def outcome(self, epoch: int, number: int, state: str, version: str = "v2") -> None:
        """Read the whole table of outcomes; an empty state stands for no row."""
        key = wire.PlatformDialect().outcome_key(SERVICE)
        value = wire.PlatformDialect().outcome_value(version, state)
        rows = [gateway_api.Row(key, value, number)] if state else []
        self.outcomes.apply_page(gateway_api.Page(rows, number, 0.0, epoch), whole=True)

    @property
    def rollout(self) -> rollout_state.Rollout:
        (rollout,) = self.book.all()
        return rollout

    def write(self) -> list[str]:
        """Have the writer write what is due; return the states that it has written."""
        self.case.store.answers = [99]
        self.writer.step()
        return self.case.written()


@pytest.fixture
def one() -> Gateway:
    gateway = Gateway(clock.ManualClock(100.0))
    gateway.order(1, 20, "v2")
    gateway.outcome(1, 22, "running")
    return gateway


@pytest.mark.parametrize("number", [20, 17])
def test_an_order_that_is_read_again_after_a_restore_is_no_new_attempt(
    one: Gateway, number: int
) -> None:
    rollout = one.rollout
    cell = rollout_evidence.Cell(True, 0, rollout_evidence.NO_GROUP, "r")
    failed = rollout_evidence.Verdict("failed", relative_times.FAILED)
    one.book._evidence.count(rollout.label, cell, failed)
    one.book.halt(SERVICE, 20, "bad", 1)
    one.order(2, number, "v2", whole=True)
    assert one.rollout is rollout and one.book.share(rollout) == 0.0
    totals = one.book._evidence._book.totals(f"{rollout.label}/new")
    assert (totals.answers, totals.bad) == (1, 1)
    assert list(one.book._evidence.cells(rollout.label)) == [cell]


def test_a_halt_counts_by_the_name_before_and_after_a_restore(one: Gateway) -> None:
    other = Gateway(one.time)
    other.order(1, 20, "v2")
    # One gateway has the restored store's row, the other does not yet.
    one.order(2, 17, "v2", whole=True)
    for here, there in ((one, other), (other, one)):
        here.rollout.halted, there.rollout.halted = False, True
        roll = there.rollout
        news = mesh_messages.RolloutUpdate(
            SERVICE, roll.revision, 1.0, True, 0, epoch=roll.epoch
        )
        here.book.merge_reported(news, one.time.now(), "there")
    other.order(2, 17, "v2", whole=True)
    assert one.rollout.halted and other.rollout.halted


def test_a_replaced_order_in_an_older_copy_does_not_replace_the_newer(
    one: Gateway,
) -> None:
    one.order(1, 30, "v3")
    rollout = one.rollout
    one.order(2, 20, "v2", whole=True)
    assert one.rollout is rollout
    one.order(2, 23, "v3")
    assert one.rollout is rollout and rollout.revision == 23


def test_an_attempt_that_is_ordered_again_is_not_taken_for_its_lost_follower(
    one: Gateway,
) -> None:
    one.book.halt(SERVICE, 20, "bad", 1)
    one.order(1, 30, "v2")
    second = one.rollout
    assert not second.halted
    one.order(2, 20, "v2", whole=True)
    one.outcome(2, 22, "rolled_back")
    assert one.rollout is second
    assert second.state is rollout_state.State.RUNNING
    one.order(2, 25, "v2")
    assert one.rollout is second
    assert second.state is rollout_state.State.RUNNING


def test_a_new_order_after_a_restore_is_taken_under_a_lower_version(
    one: Gateway,
) -> None:
    one.order(2, 5, "v3")
    assert one.rollout.order.to_version == "v3"
    one.order(2, 6, "v2")
    assert one.rollout.order.to_version == "v2"
    assert one.rollout.revision == 6


@STATES
@pytest.mark.parametrize("copied", ["running", ""])
def test_an_outcome_that_a_restore_lost_is_written_again(
    one: Gateway, state: str, copied: str
) -> None:
    one.outcome(1, 29, state)
    share = one.book.share(one.rollout)
    one.outcome(2, 22, copied)
    assert one.book.share(one.rollout) == share
    # Nothing is written yet: the restore may have replaced the order by another.
    assert one.write() == []
    one.order(2, 20, "v2", whole=True)
    assert one.write() == [state]
    expect = one.case.store.commits[-1][0].expect
    assert expect == (22 if copied else 0)
    one.time.advance(5.0)
    assert one.write() == [state]


@STATES
def test_an_outcome_is_not_written_again_against_a_newer_order(
    one: Gateway, state: str
) -> None:
    one.outcome(1, 29, state)
    one.outcome(2, 22, "running")
    one.order(2, 25, "v3")
    one.write()
    written = [msgspec.json.decode(w[0].value or b"") for w in one.case.store.commits]
    assert all(doc["ToVersion"] == "v3" for doc in written)


def test_nothing_is_written_by_a_version_of_an_earlier_epoch(one: Gateway) -> None:
    epochs = one.writer._epochs
    epochs.record(1, "store")
    one.book.halt(SERVICE, 20, "bad", 1)
    epochs.record(2, "peer")
    assert one.write() == []
    one.order(2, 20, "v2", whole=True)
    one.outcome(2, 22, "running")
    assert one.write() == ["rolled_back"]


# -- Halls --


def hall(name: str, number: int, is_ordered: bool = True) -> gateway_api.Row:
    return gateway_api.Row(f"evacuate/{name}", b"{}" if is_ordered else None, number)


def page(epoch: int, *rows: gateway_api.Row) -> gateway_api.Page:
    return gateway_api.Page(list(rows), 50, 0.0, epoch)


def test_a_hall_stays_emptied_while_a_restored_store_lacks_its_order(
    one: Gateway,
) -> None:
    one.orders.apply_page(page(1, hall("h1", 7)), whole=False)
    one.orders.apply_page(page(2), whole=True)
    one.time.advance(store_epochs.RESTORE_GRACE_S - 0.1)
    one.orders.end_restore_grace()
    assert one.halls == {"h1"}
    # The whole table is read once more in the same epoch.
    one.orders.apply_page(page(2), whole=True)
    assert one.halls == {"h1"}
    one.time.advance(0.2)
    one.orders.end_restore_grace()
    assert one.halls == frozenset()


def test_a_hall_whose_order_is_written_again_stays_emptied(one: Gateway) -> None:
    one.orders.apply_page(page(1, hall("h1", 7)), whole=False)
    one.orders.apply_page(page(2), whole=True)
    one.orders.apply_page(page(2, hall("h1", 5)), whole=False)
    one.time.advance(2 * store_epochs.RESTORE_GRACE_S)
    one.orders.end_restore_grace()
    assert one.halls == {"h1"}
    one.orders.apply_page(page(2, hall("h1", 6, False)), whole=False)
    assert one.halls == frozenset()


# -- Property tests of who writes --


class RestoredStore(rolloutcase.ModelStore):
    """A store of outcomes that can be restored."""

    __slots__ = ("epoch", "before")

    def __init__(self) -> None:
        super().__init__()
        self.epoch = 0
        # The row and version before each write, which a restore returns to.
        self.before: list[tuple[gateway_api.Row | None, int]] = []

    def write(self, write: gateway_api.Write) -> int:
        before = self.row, self.version
        done = super().write(write)
        if done:
            self.before.append(before)
        return done

    def restore(self) -> None:
        """Lose the latest write and all pending ones."""
        self.epoch += 1
        self.late.clear()
        if self.before:
            self.row, self.version = self.before.pop()


class RestoredTakeover(testtakeover.Takeover):
    """Gateways take turns to write while the store loses writes that they have read."""

    store: RestoredStore

    def __init__(self) -> None:
        super().__init__()
        self.store = RestoredStore()
        self.members = [testtakeover.Member(name, self) for name in self.names]

    def _hear(self, which: int) -> None:
        """Read the order and the table of outcomes from the store."""
        member, store = self.members[which], self.store
        order = gateway_api.RolloutOrder(SERVICE, "v2", testtakeover.FINISH_S)
        member.rollouts.add_order(order, 1, self.started_at, store.epoch)
        rows = [store.row] if store.row is not None else []
        found = gateway_api.Page(rows, store.version, 0.0, store.epoch)
        member.rows.apply_page(found, whole=True)

    def _step_all(self) -> None:
        self.clock.advance(testtakeover.STEP_S)
        for which, member in enumerate(self.members):
            self._hear(which)
            member.writer.step()
            self._hear(which)

    @stateful.rule(is_read=st.booleans())
    def restored(self, is_read: bool) -> None:
        for which in range(len(self.members)):
            self._hear(which)
        self.store.restore()
        if is_read:
            self._hear(0)

    @stateful.rule(which=testtakeover.MEMBERS)
    def row_arrives(self, which: int) -> None:
        self._hear(which)

    def killed(self, which: int) -> None:
        """Not a rule here: a lost outcome that only a killed gateway knew is gone."""

    @stateful.invariant()
    def a_final_outcome_stays(self) -> None:
        """A lost outcome is written again unchanged."""
        assert len({s for s in self.store.history if s in FINAL}) <= 1


TestRestoredTakeover = RestoredTakeover.TestCase
TestRestoredTakeover.settings = hypothesis.settings(
    derandomize=True, max_examples=200, stateful_step_count=30, deadline=None
)
