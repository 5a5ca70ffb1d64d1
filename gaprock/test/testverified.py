"""Rows do not count as verified for a moment at which the store had others.

A row is written and removed again.  What brings it is overtaken by a peer's
verification of a later moment, at which the store no longer had the row.
"""

import threading
import time
import typing

import msgspec
import pytest

from gaprock import clock, followers, gateway_api, mesh_messages
from gaprock.platform import store as platform_store
from gaprock.test import gatewaysite, rowcase, testfollowing


class HeldReads(testfollowing.ModelStore):
    """A store whose reads can be answered late, with the rows of an earlier moment."""

    __slots__ = ("late", "started_at")

    def __init__(self, clock_: clock.Clock) -> None:
        self.late: gateway_api.Page | None = None
        # When the store's clock was 0, by ours.
        self.started_at = testfollowing.BEHIND_S
        super().__init__(clock_)

    def now(self) -> float:
        return self._clock.now() - self.started_at

    def read(self, table: str) -> gateway_api.Page:
        page, self.late = self.late, None
        return page or super().read(table)


class Overtaken:
    """A gateway that has row ``b``, and what is in transit to it and brings ``a``.

    Its peer has read the table after ``a`` was removed.
    """

    def __init__(self, is_first_read: bool = False) -> None:
        self.world = testfollowing.Following()
        self.store = store = HeldReads(self.world.clock)
        self.world.store = store
        third = testfollowing.Member(store, self.world.clock)
        self.world.members = [
            testfollowing.Member(store, self.world.clock) for _ in range(2)
        ]
        self.member, self.peer = self.world.members
        self.world.change({"b": True})
        if is_first_read:
            # Other tables were read, so the store's clock is known.
            now = self.world.clock.now()
            self.member.fresh._store_clock.record(store.now(), now, now)
        else:
            self.world.ask(0)
        self.since = store.version
        self.world.change({"a": True})
        self.answer = store.changes("t", self.since)
        self.read = store.read("t")
        self.world._ask(third)
        self.copy = third.exchange.copy(0)
        self.delta = third.exchange.copy(0, self.since)
        self.world.change({"a": False})
        self.world.time_passes()
        self.world.ask(1)

    def receive_beat(self) -> None:
        """Receive a heartbeat of the peer, with its verification."""
        self.world.beat(1)
        self.world.beat_comes(0, True)
        assert self.member.fresh.verified_store_time == self.store.now()

    def read_late(self) -> None:
        """Receive the answer to a read of the whole table."""
        self.store.late = self.read
        self.member.follower._read_table()

    def check(self) -> None:
        """Check the rows, and that nothing that follows is lost."""
        self.world.verified_rows_are_true()
        assert set(self.member.told.versions) == {"b"}
        self.world.change({"c": True})
        self.world.teardown()


ARRIVALS: typing.Final[dict[str, typing.Callable[[Overtaken], None]]] = {
    "poll": lambda case: case.member.follower._apply_answer(case.answer, None),
    "changes": lambda case: case.member.follower._apply_answer(
        case.answer, case.world.clock.now()
    ),
    "read": Overtaken.read_late,
    "copy": lambda case: case.member.exchange.apply_copy(case.copy),
    "delta": lambda case: case.member.exchange.apply_copy(case.delta),
}


@pytest.mark.parametrize("arrival", ARRIVALS)
def test_rows_from_before_a_peers_verification_are_not_verified_by_it(
    arrival: str,
) -> None:
    case = Overtaken()
    case.receive_beat()
    ARRIVALS[arrival](case)
    case.check()


def test_a_first_read_from_before_a_verified_copy_is_not_verified_by_it() -> None:
    case = Overtaken(is_first_read=True)
    case.world.beat(1)
    case.member.exchange.record_news(0, case.member.beats.pop())
    case.member.exchange.apply_copy(case.peer.exchange.copy(0))
    assert case.member.fresh.verified_store_time == case.store.now()
    case.read_late()
    case.check()


def test_a_removal_that_a_verification_overtook_is_sent_to_peers() -> None:
    # A peer that has the removed row learns of the removal with the next change.
    case = Overtaken()
    case.receive_beat()
    behind = testfollowing.Member(case.store, case.world.clock)
    behind.exchange.apply_copy(case.copy)
    case.world.ask(0)
    case.world.change({"c": True})
    case.world.ask(0)
    base = behind.exchange.delta_base(0)
    behind.exchange.apply_copy(case.member.exchange.copy(0, base[1], base[0]))
    assert set(behind.told.versions) == {"b", "c"}


class EarlierTableUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What gateways of the release before send and read."""

    changed: int
    digest: int
    verified_store_time: float
    epoch: int = 0


def test_gateways_of_the_release_before_are_read_but_verify_nothing() -> None:
    case = Overtaken()
    news = case.peer.exchange.news()[0]
    raw = msgspec.msgpack.encode(news)
    earlier = msgspec.msgpack.decode(raw, type=EarlierTableUpdate)
    raw = msgspec.msgpack.encode(earlier)
    old = msgspec.msgpack.decode(raw, type=mesh_messages.TableUpdate)
    assert old == msgspec.structs.replace(news, version=-1)
    before = case.member.fresh.verified_store_time
    case.member.exchange.record_news(0, old)
    assert case.member.fresh.verified_store_time == before
    case.member.exchange.record_news(0, news)
    assert case.member.fresh.verified_store_time > before


def test_rows_after_a_verified_version_are_applied_when_the_stores_clock_restarts() -> (
    None
):
    case = Overtaken()
    case.receive_beat()
    case.store.started_at = case.world.clock.now()
    case.world.change({"c": True})
    case.world.ask(0)
    assert set(case.member.told.versions) == {"b", "c"}


# -- A gateway --


class HeldAnswers:
    """Holds a follower's thread between an answer's receipt and its application."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, follower: followers.Follower
    ) -> None:
        self.received = threading.Event()
        self.released = threading.Event()
        self.applied = threading.Event()
        apply = follower._apply_answer

        def apply_later(page: gateway_api.Page, *args: typing.Any) -> None:
            is_held = bool(page.rows) and not self.received.is_set()
            if is_held:
                self.received.set()
                self.released.wait(10.0)
            apply(page, *args)
            if is_held:
                self.applied.set()

        monkeypatch.setattr(follower, "_apply_answer", apply_later)


def test_callers_are_not_refused_by_an_order_that_ended_before_the_verified_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store falls silent while the answer with the order is read."""
    with gatewaysite.GatewaySite() as site:
        began_at = time.monotonic()
        site.store.now_ms = lambda: int((time.monotonic() - began_at + 50.0) * 1000)
        site.add("e1", "app", Zone="h1")
        gateway, store = site.gateway, site.store
        answers = HeldAnswers(monkeypatch, gateway.followers[0])
        try:
            store.put("op", "evacuate/h1", {})
            assert answers.received.wait(10.0)
            store.remove("op", "evacuate/h1")
            steady = clock.SteadyClock()
            peer = followers.Follower(
                "op",
                platform_store.PlatformStore(site.cfg.store_address),
                steady,
                rowcase.RecordingSink(),
                rowcase.fresh(steady),
            )
            peer._read_table()
            store.faults["swallow"] = True
            source = gateway.mesh.source
            assert source is not None
            source.record_news(mesh_messages.ORDERS, peer.news(), False, 0.0)
        finally:
            answers.released.set()
        assert answers.applied.wait(10.0)
        assert not gateway._is_stale()
        assert site.call("/safe/x").status == 200
