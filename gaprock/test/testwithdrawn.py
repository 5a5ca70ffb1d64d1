"""A version that was rolled back gets no requests until it is ordered again."""

import typing

import msgspec
import pytest

from gaprock import (
    clock,
    freshness,
    gateway_api,
    gateway_rows,
    rollout_latency,
    rollout_state,
    rollout_writer,
    rollouts,
    version_roles,
)
from gaprock.test import gatewaysite, rolloutcase

COMPLETED: typing.Final = rollout_state.State.COMPLETED
ROLLED_BACK: typing.Final = rollout_state.State.ROLLED_BACK
VERSIONS: typing.Final = ("v1", "v2", "v3")


@pytest.fixture
def time() -> clock.ManualClock:
    return clock.ManualClock(100.0)


@pytest.fixture
def book(time: clock.ManualClock) -> rollouts.Rollouts:
    return rolloutcase.make_rollouts(time)


def order(book: rollouts.Rollouts, version: str, revision: int) -> None:
    """Add an operator's order; its time of 20 s begins now."""
    time = book._clock.now()
    book.add_order(gateway_api.RolloutOrder("llm", version, 20.0), revision, time)


def end(
    book: rollouts.Rollouts, version: str, state: rollout_state.State, row: int
) -> None:
    """Apply the row of an outcome."""
    book.apply_outcome("llm", rollout_state.Outcome(version, state, row))


def used(book: rollouts.Rollouts) -> set[str]:
    """Return the versions that any session gets."""
    sessions = [f"s{number}" for number in range(500)]
    return {v for v in VERSIONS if any(book.fits("llm", v, s) for s in sessions)}


def test_a_rolled_back_version_gets_nothing_after_the_next_order(
    book: rollouts.Rollouts,
) -> None:
    order(book, "v2", 7)
    end(book, "v2", ROLLED_BACK, 8)
    order(book, "v3", 9)
    assert used(book) == {"v1", "v3"}
    end(book, "v3", COMPLETED, 10)
    assert used(book) == {"v3"}


@pytest.mark.parametrize("is_order_first", [True, False])
def test_a_process_that_sees_the_next_order_only_knows_it_by_the_outcome(
    book: rollouts.Rollouts, is_order_first: bool
) -> None:
    if is_order_first:
        order(book, "v3", 9)
    end(book, "v2", ROLLED_BACK, 8)
    if not is_order_first:
        order(book, "v3", 9)
    assert used(book) == {"v1", "v3"}


def test_a_version_whose_order_is_replaced_before_its_outcome_gets_nothing(
    book: rollouts.Rollouts,
) -> None:
    order(book, "v2", 7)
    order(book, "v3", 9)
    assert used(book) == {"v1", "v3"}
    # A late row shows that it was completed, so that the endpoints of v1 are to stop.
    end(book, "v2", COMPLETED, 8)
    assert used(book) == {"v2", "v3"}


def test_a_version_that_is_ordered_again_gets_its_share(
    book: rollouts.Rollouts,
) -> None:
    order(book, "v2", 7)
    end(book, "v2", ROLLED_BACK, 8)
    order(book, "v3", 9)
    order(book, "v2", 11)
    assert used(book) == {"v1", "v2"}
    end(book, "v2", COMPLETED, 12)
    # The store comes back from a copy in which it was rolled back.
    order(book, "v1", 13)
    end(book, "v2", ROLLED_BACK, 8)
    assert used(book) == {"v1", "v2"}


def test_a_version_rolled_back_after_many_others_gets_nothing(
    book: rollouts.Rollouts,
) -> None:
    count = version_roles.MAX_VERSIONS + 1
    for number in range(count):
        order(book, f"bad{number}", 10 + number)
        book.halt("llm", 10 + number, "test")
    order(book, "v3", 10 + count)
    assert f"bad{count - 1}" in book.roles.withdrawn("llm")
    assert len(book.roles.withdrawn("llm")) == version_roles.MAX_VERSIONS


def test_answers_of_a_withdrawn_version_do_not_stand_for_the_old_one(
    book: rollouts.Rollouts,
) -> None:
    order(book, "v2", 7)
    end(book, "v2", ROLLED_BACK, 8)
    order(book, "v3", 9)
    failed = rollout_latency.VersionSample(True, None)
    for version in ("v1", "v2"):
        for _ in range(5):
            book.judge_answer("llm", version, "r", "m", failed)
    (rollout,) = book.all()
    counts = book._evidence.counts(rollout.label)
    assert counts["old_answers"] == 5


def test_what_is_withdrawn_is_stored_for_processes_that_start_later(
    time: clock.ManualClock,
) -> None:
    case = rolloutcase.WriterCase(time)
    case.store.answers = [8, 9, 11]
    order(case.book, "v2", 7)
    case.writer.step()
    case.book.halt("llm", 7, "test")
    time.advance(1.0)
    case.writer.step()
    order(case.book, "v3", 10)
    time.advance(1.0)
    case.writer.step()
    assert case.written() == ["running", "rolled_back", "running"]
    start = case.store.commits[-1][1]
    assert start.value is not None
    row = msgspec.json.decode(start.value, type=rollout_writer.StartRow)
    assert row.withdrawn == ["v2"]
    later = rolloutcase.make_rollouts(time)
    order(later, "v3", 10)
    page = gateway_api.Page([gateway_api.Row(start.key, start.value, 11)], 11, 0.0)
    store_clock = freshness.StoreClock()
    store_clock.record(0.0, 0.0, 0.0)
    own = gateway_rows.OwnRows(time, page, store_clock)
    for service, versions in own.withdrawn.items():
        later.record_stored_withdrawn(service, versions)
    assert used(later) == {"v1", "v3"}


def test_a_withdrawn_version_serves_where_all_endpoints_of_others_are_gone() -> None:
    with gatewaysite.GatewaySite() as site:
        rollouts_ = site.gateway.rollouts
        for version, revision in (("v2", 10**6), ("v3", 10**6 + 1)):
            ordered = gateway_api.RolloutOrder("app", version, 20.0)
            rollouts_.add_order(ordered, revision, site.gateway.clock.now())
            rollouts_.halt("app", revision, "test")
        site.add("one", "app", Version="v2")
        assert rollouts_.roles.withdrawn("app") == ("v2",)
        assert site.call("/safe/x").status == 200
        other = site.add("two", "app")
        for _ in range(5):
            assert site.call("/safe/x").status == 200
        assert len(other.seen) == 5
