"""Tests of departures: endpoints that announce in answers that they leave."""

import socket
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from gaprock import (
    clock,
    departures,
    directory,
    directory_rows,
    endpoint_state,
    gateway_api,
    mesh_members,
)
from gaprock.test import callcase, fleetcase, gatewaysite, limitcase
from gaprock.test.fakes import backend

KINDS = pytest.mark.parametrize("kind", ["safe", "gen"])
SERVICE: typing.Final = "llm"
DRAIN_S: typing.Final = 2.0
USED_S: typing.Final = directory_rows.LEAVING_SHARE * DRAIN_S
LEAVING: typing.Final = gateway_api.EndpointNotice(is_leaving=True)


def row(
    draining: bool = False, version: str = "v1", born: int = 1, slots: int = 8
) -> gateway_api.EndpointRow:
    return gateway_api.EndpointRow(
        SERVICE, "10.0.0.1", 1, "h1", version, slots, draining, born
    )


class Book:
    """A gateway's endpoints, with answers at times that a test chooses."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(100.0)
        self.directory = directory.Directory(self.time, DRAIN_S)
        self.directory.update("e", row())

    @property
    def one(self) -> endpoint_state.Endpoint:
        return self.directory._endpoints["e"]

    def answer(
        self,
        is_leaving: bool,
        sent_s: float = 0.0,
        status: int = 200,
        **more: typing.Any,
    ) -> None:
        """Apply an answer to a request that was sent ``sent_s`` ago."""
        notice = LEAVING if is_leaving else gateway_api.NO_NOTICE
        head = callcase.head(status, notice=notice, **more)
        self.directory.note_answer(self.one, head, self.time.now() - sent_s)

    @property
    def is_usable(self) -> bool:
        return self.one in self.directory.usable(SERVICE, set())

    @property
    def may_send(self) -> bool:
        return not self.directory.claim_send(self.one)


# -- Use of a leaving endpoint --


def test_an_endpoint_that_leaves_gets_nothing_after_half_of_the_drain_time() -> None:
    book = Book()
    book.answer(True)
    book.time.advance(0.99 * USED_S)
    assert book.is_usable and book.may_send
    book.time.advance(0.02 * USED_S)
    assert not book.is_usable and not book.may_send


def test_a_send_chosen_in_time_is_stopped_at_its_last_check() -> None:
    book = Book()
    book.answer(True)
    chosen = book.directory.usable(SERVICE, set())[0]
    book.time.advance(USED_S)
    assert book.directory.claim_send(chosen) == "leaving"


def test_later_answers_that_say_so_again_prolong_nothing() -> None:
    book = Book()
    for _ in range(10):
        book.answer(True)
        book.time.advance(USED_S / 8)
    assert not book.may_send


def test_an_endpoint_that_stays_is_preferred_to_one_that_leaves() -> None:
    book = Book()
    book.directory.update("other", row())
    book.answer(True)
    assert [e.name for e in book.directory.usable(SERVICE, set())] == ["other"]


def test_the_last_one_that_fits_is_used_though_others_stay() -> None:
    """It may be the only one of a session's version, or of a permitted region."""
    book = Book()
    book.directory.update("other", row(version="v2"))
    book.answer(True)

    def fits(e: endpoint_state.Endpoint) -> bool:
        return e.row.version == "v1"

    usable = book.directory.usable(SERVICE, set(), None, fits)
    assert book.one in usable
    book.time.advance(USED_S)
    assert book.one not in book.directory.usable(SERVICE, set(), None, fits)


# -- End of a departure --


@pytest.mark.parametrize("is_whole", [False, True])
def test_a_row_that_does_not_say_so_takes_no_departure_back(is_whole: bool) -> None:
    book = Book()
    book.answer(True)
    if is_whole:
        book.directory.replace({"e": row(slots=9)})
    else:
        book.directory.update("e", row(slots=9))
    book.time.advance(USED_S)
    assert not book.may_send


def test_a_row_that_lapsed_and_is_back_takes_no_departure_back() -> None:
    book = Book()
    book.answer(True)
    book.directory.update("e", None)
    book.directory.update("e", row())
    book.time.advance(USED_S)
    assert not book.may_send


def test_a_departure_outlives_an_endpoint_whose_row_is_away_for_long() -> None:
    book = Book()
    book.answer(True)
    book.directory.update("e", None)
    book.time.advance(60.0)
    book.directory.forget_gone()
    assert not book.directory._endpoints
    book.directory.update("e", row())
    assert not book.may_send


def test_a_row_that_stops_draining_takes_a_departure_back() -> None:
    book = Book()
    book.answer(True)
    book.directory.update("e", row(draining=True))
    book.directory.update("e", row())
    book.time.advance(USED_S)
    assert book.may_send


def test_a_new_incarnation_starts_without_a_departure() -> None:
    book = Book()
    book.answer(True)
    book.directory.update("e", row(born=2))
    book.time.advance(USED_S)
    assert book.may_send


def test_an_answer_to_a_later_request_takes_a_departure_back() -> None:
    book = Book()
    book.answer(True)
    book.time.advance(0.2)
    book.answer(False, sent_s=0.3)
    assert book.one.leave_at < clock.NEVER
    book.answer(False, sent_s=0.1)
    assert book.one.leave_at == clock.NEVER


def test_another_endpoint_at_the_address_does_not_cancel_a_departure() -> None:
    book = Book()
    book.answer(True)
    book.time.advance(0.2)
    book.answer(False, status=callcase.WRONG_ENDPOINT)
    assert book.one.leave_at < clock.NEVER


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0.0, 0.3), st.floats(0.0, 1.0), st.booleans()), max_size=20
    )
)
def test_nothing_sent_before_the_last_word_takes_it_back(
    answers: list[tuple[float, float, bool]],
) -> None:
    book = Book()
    word_at = -clock.NEVER
    for pause_s, took_s, is_leaving in answers:
        book.time.advance(pause_s)
        now = book.time.now()
        was_leaving = book.one.leave_at < clock.NEVER
        book.answer(is_leaving, took_s)
        leaves = book.one.leave_at < clock.NEVER
        if is_leaving:
            word_at = now
            assert leaves
        elif was_leaving and not leaves:
            assert now - took_s > word_at


# -- Gossip --


def leaving_at(fleet: fleetcase.Fleet) -> set[float]:
    return {m.directory._endpoints["e"].leave_at for m in fleet.living()}


def start_fleet(halls: int, each: int) -> fleetcase.Fleet:
    fleet = fleetcase.Fleet(halls, each)
    for member in fleet.members:
        member.directory.update("e", row())
    fleet.run(4.0)
    return fleet


def say_leaving(member: fleetcase.Member, is_leaving: bool = True) -> None:
    one = member.directory._endpoints["e"]
    notice = LEAVING if is_leaving else gateway_api.NO_NOTICE
    now = member.mesh._clock.now()
    member.directory.note_answer(one, callcase.head(200, notice=notice), now)


@pytest.mark.parametrize("halls, each", [(1, 3), (3, 7), (1, 50)])
def test_all_gateways_hear_of_a_departure_as_old_as_it_is(
    halls: int, each: int
) -> None:
    fleet = start_fleet(halls, each)
    told_at = fleet.time.now()
    say_leaving(fleet.members[-1])
    took_s = fleet.run(3.0, until=lambda: clock.NEVER not in leaving_at(fleet))
    assert took_s <= USED_S
    fleet.run(10.0)
    # Ages in heartbeats do not include the time that the heartbeat was on its way.
    late_s = departures.SIMULTANEOUS_S
    assert all(
        told_at + USED_S <= at <= told_at + USED_S + late_s for at in leaving_at(fleet)
    )


def test_all_gateways_hear_that_an_endpoint_stays_after_all() -> None:
    fleet = start_fleet(3, 3)
    say_leaving(fleet.members[0])
    fleet.run(1.0)
    say_leaving(fleet.members[0], False)
    fleet.run(3.0)
    assert leaving_at(fleet) == {clock.NEVER}
    fleet.run(departures.KEEP_S + 2.0)
    assert leaving_at(fleet) == {clock.NEVER}


def test_one_that_starts_while_the_store_is_silent_hears_of_a_departure() -> None:
    fleet = start_fleet(1, 3)
    say_leaving(fleet.members[0])
    fleet.run(20.0)
    late = fleetcase.Member(fleet, "h0", 99)
    late.directory.update("e", row())
    fleet.join(late)
    late.mesh.add_addresses(
        [mesh_members.PeerAddress(m.address, m.hall) for m in fleet.members[:-1]]
    )
    one = late.directory._endpoints["e"]
    fleet.run(2.0, until=lambda: one.leave_at < clock.NEVER)
    assert late.directory.claim_send(one) == "leaving"


def test_a_gateway_that_was_frozen_stops_sending_at_once() -> None:
    fleet = start_fleet(1, 3)
    frozen = fleet.members[0]
    say_leaving(frozen)
    frozen.is_frozen = True
    fleet.run(USED_S + 0.5)
    fleet.wake(frozen)
    assert frozen.directory.claim_send(frozen.directory._endpoints["e"]) == "leaving"


def test_departures_that_rows_show_are_not_gossiped() -> None:
    fleet = start_fleet(1, 2)
    say_leaving(fleet.members[0])
    assert len(fleet.members[0].directory.departure_news()) == 1
    fleet.members[0].directory.update("e", row(draining=True))
    assert fleet.members[0].directory.departure_news() == []


# -- End to end --


@KINDS
def test_no_request_reaches_an_endpoint_that_said_it_leaves_while_its_row_does_not(
    kind: str,
) -> None:
    with limitcase.Fleet(3, kind) as fleet:
        # Low confidence escalates: each request is two sends.
        fleet.endpoints[0].confidence = "5"
        fleet.send_continuously([0, 1, 2], 0.3)
        leaving = fleet.endpoints[0]
        leaving.is_leaving = True
        drain_s = fleet.site.cfg.bounds.drain_s
        statuses = fleet.send_continuously([0, 0, 1, 2], drain_s + 1.5)
        told_at = leaving.announced_at
        assert told_at < float("inf")
        assert leaving.between(told_at + drain_s, float("inf")) == 0
        assert set(statuses) == {200}


def says_it_leaves(
    status: int, body: bytes | None = b"bad", **more: str
) -> backend.Script:
    def script(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        head = backend.head(seen, status, body, Server_Leaving="1", **more)
        conn.sendall(head + (body or b""))

    return script


SPEAKING: typing.Final = {
    "whole": says_it_leaves(200),
    "refused": says_it_leaves(503, X_Not_Run="1", X_Server_Stamp=""),
    "too-many": says_it_leaves(429, X_Not_Run="1", X_Server_Stamp=""),
    "elsewhere": says_it_leaves(421, X_Server_Stamp=""),
    "failed": says_it_leaves(500),
    "cut": says_it_leaves(200, None, Content_Length="100"),
    "stream": says_it_leaves(200, None, Transfer_Encoding="chunked"),
}
SILENT: typing.Final = {
    "stray": says_it_leaves(200, X_Request_Id="another-request"),
    "by-another": says_it_leaves(421, X_Server_Stamp="", X_Instance_Id="another"),
}


@pytest.fixture(scope="module")
def site() -> typing.Iterator[gatewaysite.GatewaySite]:
    with gatewaysite.GatewaySite() as made:
        yield made


@pytest.mark.parametrize("name", [*SPEAKING, *SILENT])
def test_which_answers_announce_a_departure(
    site: gatewaysite.GatewaySite, name: str
) -> None:
    fake = site.add(name, "app")
    fake.scripts.append((SPEAKING | SILENT)[name])
    site.call("/unsafe/x")
    one = site.gateway.directory._endpoints[name]
    assert (one.answer_leave_at < clock.NEVER) is (name in SPEAKING)
    site.store.remove("servers", name)
    gatewaysite.wait_until(lambda: name not in site.known("app"), "it is gone")


def test_the_last_endpoint_of_a_service_is_refused_at_once_when_it_has_left() -> None:
    def shorten(cfg: typing.Any) -> None:
        cfg.bounds.drain_s = 0.4

    with gatewaysite.GatewaySite(shorten) as site:
        fake = site.add("last", "app")
        fake.default_script = says_it_leaves(200)
        assert site.call("/unsafe/x").status == 200
        gatewaysite.wait_until(lambda: not site.known("app"), "its time is over")
        seen = len(fake.seen)
        answer = site.call("/unsafe/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert len(fake.seen) == seen
