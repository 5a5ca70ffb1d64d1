"""Endpoints that are leaving or gone when the store is restored from an older copy."""

import typing

import pytest

from gaprock import (
    clock,
    departures,
    directory,
    endpoint_state,
    followers,
    gateway_api,
    gateway_rows,
    store_epochs,
)
from gaprock.platform import wire
from gaprock.test import callcase, rowcase

SERVICE: typing.Final = "llm"
DRAIN_S: typing.Final = 2.0
LEFT = pytest.mark.parametrize("left", ["draining", "gone", "forgotten"])
# An endpoint's row; only its state changes.
ROW: typing.Final = (
    b'{"Service":"llm","Addr":"10.0.0.1:1","Zone":"h1","Version":"v1","Slots":8,'
    b'"State":"%s"}'
)


class Reader:
    """The endpoints of a gateway that reads a store which is restored."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.epochs = store_epochs.EpochTracker(time)
        self.directory = directory.Directory(time, DRAIN_S)
        self.rows = gateway_rows.EndpointRows(
            time, wire.PlatformDialect(), self.directory, self.epochs
        )

    def read(self, epoch: int, **states: str) -> None:
        """Read the whole table.

        :param states: the endpoints' states, by name.
        """
        self.epochs.record(epoch, "store")
        self._take(epoch, states, whole=True)

    def hear(self, epoch: int, **states: str) -> None:
        """Apply changes.

        :param states: the states by endpoint; an empty one is a removed row.
        """
        self._take(epoch, states, whole=False)

    def _take(self, epoch: int, states: dict[str, str], whole: bool) -> None:
        rows = [
            gateway_api.Row(name, ROW % state.encode() if state else None, 1)
            for name, state in states.items()
        ]
        self.rows.apply_page(gateway_api.Page(rows, 1, 0.0, epoch), whole)

    def leave(self, name: str, how: str) -> None:
        """Have an endpoint leave, until nothing more is sent to it."""
        self.hear(1, **{name: "draining" if how == "draining" else ""})
        self.time.advance(DRAIN_S)
        if how == "forgotten":
            self.time.advance(DRAIN_S)
            self.directory.forget_gone()
            assert name not in self.directory._endpoints

    @property
    def usable(self) -> set[str]:
        return {e.name for e in self.directory.usable(SERVICE, set())}

    def pass_time(self, seconds: float) -> None:
        self.time.advance(seconds)
        self.directory.forget_gone()


@pytest.fixture
def reader() -> Reader:
    one = Reader(clock.ManualClock(100.0))
    one.read(1, a="ready", b="ready")
    return one


@LEFT
def test_an_older_copy_does_not_bring_back_an_endpoint_that_left(
    reader: Reader, left: str
) -> None:
    reader.leave("b", left)
    reader.read(2, a="ready", b="ready")
    assert reader.usable == {"a"}
    # A second restore within the grace period of the first.
    reader.pass_time(1.0)
    reader.read(3, a="ready", b="ready")
    reader.pass_time(store_epochs.RESTORE_GRACE_S - 1.0)
    assert reader.usable == {"a"}


@LEFT
def test_an_endpoint_that_left_before_a_restore_is_back_by_its_own_new_row(
    reader: Reader, left: str
) -> None:
    reader.leave("b", left)
    reader.read(2, a="ready", b="ready")
    reader.hear(2, b="ready")
    assert reader.usable == {"a", "b"}


@LEFT
def test_a_row_that_stays_ready_long_after_a_restore_is_believed(
    reader: Reader, left: str
) -> None:
    reader.leave("b", left)
    reader.read(2, a="ready", b="ready")
    reader.pass_time(store_epochs.RESTORE_GRACE_S + 0.1)
    assert reader.usable == {"a", "b"}


def test_the_drain_time_goes_on_over_a_restore(reader: Reader) -> None:
    reader.hear(1, b="draining")
    reader.time.advance(0.4 * DRAIN_S)
    reader.read(2, a="ready", b="ready")
    assert reader.usable == {"a"}
    b = reader.directory._endpoints["b"]
    assert not reader.directory.claim_send(b)
    reader.time.advance(0.2 * DRAIN_S)
    assert reader.directory.claim_send(b) == "leaving"


def test_an_endpoint_whose_row_a_restore_lost_serves_until_it_is_written_again(
    reader: Reader,
) -> None:
    reader.read(2, a="ready")
    assert reader.usable == {"a", "b"}
    reader.pass_time(0.8 * DRAIN_S)
    assert reader.usable == {"a", "b"}
    reader.hear(2, b="ready")
    reader.pass_time(DRAIN_S)
    assert reader.usable == {"a", "b"}


def test_a_peers_copy_of_a_restored_store_takes_no_endpoint_out_of_use(
    reader: Reader,
) -> None:
    # Guards against a new epoch that a copy brings, and that nothing else has reported.
    one = followers.Follower(
        "servers",
        gateway_api.SharedStore(),
        reader.time,
        reader.rows,
        rowcase.fresh(reader.time),
        epochs=reader.epochs,
    )
    reader.pass_time(60.0)
    row = gateway_api.Row("a", ROW % b"ready", 1)
    one.apply_copy(gateway_api.Page([row], 1, 0.0, 2))
    assert reader.usable == {"a", "b"}
    assert (reader.epochs.newest, reader.epochs.age_s) == (2, 0.0)
    reader.pass_time(store_epochs.RESTORE_GRACE_S)
    assert reader.usable == {"a"}


def test_a_row_missing_long_after_a_restore_is_a_departure(reader: Reader) -> None:
    reader.epochs.record(2, "peer", age_s=5.0)
    reader.read(2, a="ready")
    reader.time.advance(0.6 * DRAIN_S)
    assert reader.usable == {"a"}


def test_answers_do_not_take_back_a_departure_that_a_restore_lost(
    reader: Reader,
) -> None:
    reader.leave("b", "draining")
    reader.read(2, a="ready", b="ready")
    b = reader.directory._endpoints["b"]
    reader.time.advance(0.1)
    reader.directory.note_answer(b, callcase.head(200), reader.time.now())
    assert reader.usable == {"a"}


def test_a_gateway_that_starts_after_a_restore_hears_of_lost_departures(
    reader: Reader,
) -> None:
    reader.leave("b", "draining")
    reader.read(2, a="ready", b="ready")
    late = Reader(reader.time)
    late.read(2, a="ready", b="ready")
    late.directory.apply_peer_departures("peer", reader.directory.departure_news())
    assert late.usable == {"a"}
    late.pass_time(store_epochs.RESTORE_GRACE_S + 0.1)
    assert late.usable == {"a", "b"}


def test_a_departure_by_row_and_by_answer_outlives_the_doubt_in_the_copy(
    reader: Reader,
) -> None:
    b = reader.directory._endpoints["b"]
    leaving = gateway_api.EndpointNotice(is_leaving=True)
    reader.directory.note_answer(
        b, callcase.head(200, notice=leaving), reader.time.now()
    )
    reader.leave("b", "draining")
    reader.read(2, a="ready", b="ready")
    reader.pass_time(store_epochs.RESTORE_GRACE_S + 0.1)
    assert reader.usable == {"a"}


def test_the_word_of_a_lost_departure_survives_the_wire() -> None:
    time = clock.ManualClock(100.0)
    book = departures.Departures(time)
    book.note_lost_row("b@1", 97.0)
    (news,) = book.news()
    assert news.is_leaving and news.lost_row_s == store_epochs.RESTORE_GRACE_S
    assert endpoint_state.incarnation_id("b", 1) == news.endpoint


def test_a_row_from_an_older_copy_does_not_show_that_its_endpoint_lives(
    reader: Reader,
) -> None:
    reader.hear(1, a="")
    reader.hear(1, a="ready")
    assert reader.directory.take_rows_back() == ["a"]
    reader.leave("b", "forgotten")
    reader.read(2, a="ready", b="ready")
    assert reader.directory.take_rows_back() == []
