"""Active sessions keep their version during the first half of a rollout."""

import typing

import pytest

from gaprock import (
    clock,
    freshness,
    gateway_api,
    gateway_own_rows,
    gateway_rows,
    rollout_state,
)
from gaprock.platform import wire
from gaprock.test import fleetcase, rolloutcase

SERVICE: typing.Final = fleetcase.SERVICE
SESSIONS: typing.Final = [f"s{number}" for number in range(400)]
# Accuracy with which the start of a rollout has to be known.
DATED_S: typing.Final = 0.05


def run_request(member: fleetcase.Member, session: str) -> str:
    """Choose the version for a request of a session, as the gateway does."""
    assignment = member.book.assignment(SERVICE, session, is_named=True)
    version = "v2" if assignment is not None and assignment.on_new else "v1"
    member.book.record_session(SERVICE, session, version)
    return version


@pytest.mark.parametrize("halls, each", [(1, 3), (3, 1), (3, 3)])
def test_a_session_keeps_its_version_whichever_gateway_it_comes_through(
    halls: int, each: int
) -> None:
    fleet = fleetcase.Fleet(halls, each)
    members = fleet.members
    fleet.run(4.0)
    for number, session in enumerate(SESSIONS):
        run_request(members[number % len(members)], session)
    order = gateway_api.RolloutOrder(SERVICE, "v2", 40.0)
    for member in members:
        member.book.add_order(order, 2, fleet.time.now())
    moved = set()
    fresh: dict[str, str] = {}
    for turn in range(1, 9):
        fleet.run(2.0)
        for number, session in enumerate(SESSIONS):
            member = members[(number + turn) % len(members)]
            if run_request(member, session) == "v2":
                moved.add(session)
        for number in range(100):
            name = f"fresh{turn}-{number}"
            fresh[name] = run_request(members[number % len(members)], name)
    assert moved == set()
    # Sessions that start later do get the new version, in about the expected share.
    share = sum(version == "v2" for version in fresh.values()) / len(fresh)
    assert 0.06 < share < 0.15


def test_no_session_moves_before_all_have_told() -> None:
    fleet = fleetcase.Fleet(2, 2)
    fleet.run(4.0)
    first, last = fleet.members[0], fleet.members[-1]
    for session in SESSIONS:
        run_request(first, session)
    order = gateway_api.RolloutOrder(SERVICE, "v2", 40.0)
    for member in fleet.members:
        member.book.add_order(order, 2, fleet.time.now())
    # No gateway has reported its sessions yet.
    assert {run_request(last, session) for session in SESSIONS} == {"v1"}


class LateStore(rolloutcase.ScriptedStore):
    """A store that answers late, and whose clock is 1,000 s ahead of the local one.

    :param before_s: delay before the store handles a call.
    :param after_s: delay of the answer.
    """

    def __init__(
        self, time: clock.ManualClock, before_s: float, after_s: float
    ) -> None:
        super().__init__()
        self._time = time
        self._before_s = before_s
        self._after_s = after_s
        self.rows: dict[str, gateway_api.Row] = {}

    def read(self, table: str) -> gateway_api.Page:
        self._time.advance(self._before_s)
        store_now = self._time.now() + 1000.0
        self._time.advance(self._after_s)
        return gateway_api.Page(list(self.rows.values()), 9, store_now)

    def commit(self, writes: list[gateway_api.Write]) -> int:
        for write in writes:
            self.rows[write.key] = gateway_api.Row(write.key, write.value, 9)
        return 9


def read_own_rows(
    time: clock.ManualClock, store: LateStore
) -> tuple[rolloutcase.WriterCase, gateway_rows.OrderRows]:
    """Start a gateway with a store, up to reading its own rows."""
    case = rolloutcase.WriterCase(time)
    store_clock = freshness.StoreClock()
    case.writer._store, case.writer._store_clock = store, store_clock
    orders = gateway_rows.OrderRows(time, wire.PlatformDialect(), case.book)
    task = gateway_own_rows.OwnRowsTask(
        "me", time, store_clock, store, "own", case.mesh, case.book, orders,
        case.writer, [],
    )  # fmt: skip
    task.run()
    return case, orders


def late_start(writer: tuple[float, float], reader: tuple[float, float]) -> float:
    """Return by how many seconds a gateway started later dates a rollout too late.

    :param writer: delays before and after the store handles a call, for the gateway
        that has the order and writes its start.
    :param reader: the same for the gateway started later.
    """
    time = clock.ManualClock(100.0)
    to_writer, to_reader = LateStore(time, *writer), LateStore(time, *reader)
    to_reader.rows = to_writer.rows
    first, _ = read_own_rows(time, to_writer)
    began = time.now()
    first.book.add_order(rolloutcase.order(), 7, began)
    first.writer.step()
    _, orders = read_own_rows(time, to_reader)
    return orders.starts[("llm", 7)].started_at - began


@pytest.mark.parametrize("reader", [(2.0, 0.0), (1.0, 1.0)])
def test_a_store_that_answers_late_makes_no_rollout_older(
    reader: tuple[float, float],
) -> None:
    assert late_start((0.0, 0.0), reader) >= -DATED_S


@pytest.mark.parametrize("writer", [(2.0, 0.0), (0.0, 2.0), (1.0, 1.0)])
def test_a_writer_whose_answers_are_late_makes_no_rollout_older(
    writer: tuple[float, float],
) -> None:
    assert late_start(writer, (0.0, 0.0)) >= -DATED_S


def test_a_start_is_not_written_by_a_clock_that_is_not_known() -> None:
    time = clock.ManualClock(100.0)
    store = LateStore(time, 0.0, 0.0)
    case = rolloutcase.WriterCase(time)
    # Rows came as a copy from a peer; the store has not answered this gateway yet.
    store_clock = freshness.StoreClock()
    case.writer._store, case.writer._store_clock = store, store_clock
    began = time.now()
    case.book.add_order(rolloutcase.order(), 7, began)
    case.writer.step()
    _, orders = read_own_rows(time, store)
    start = orders.starts.get(("llm", 7))
    assert start is None or start.started_at >= began - DATED_S
    assert case.book.all()[0].state is rollout_state.State.RUNNING
    # Once it has answered, the start is written.
    store_clock.record(time.now() + 1000.0, time.now(), time.now())
    case.writer.step()
    assert "rollout/llm" in store.rows
