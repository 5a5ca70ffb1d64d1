"""Tests of slow start: what all gateways together send to endpoints not yet warm."""

import random
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from bench import herd
from gaprock import (
    clock,
    directory,
    endpoint_state,
    gateway_api,
    mechanisms,
    mesh_members,
    options,
    plugin,
    routes,
    warm_up,
)
from gaprock.platform import wire
from gaprock.test import fleetcase, gatewaysite

SERVICE: typing.Final = "llm"
RULE: typing.Final = routes.WarmUp(3.0, 18.0)
# Sends that an endpoint may get in a second while it warms up: 18 x 1.5 + 5.
MOST: typing.Final = 32


def row(born: int = 1, warming_s: float = 0.0, hall: str = "h1") -> typing.Any:
    return gateway_api.EndpointRow(
        SERVICE, "10.0.0.1", 1, hall, "v1", 8, False, born, warming_s
    )


class Book:
    """One gateway's directory, with a warm-up rule for the service."""

    def __init__(
        self, time: clock.ManualClock, name: str = "gw", gateways: int = 21
    ) -> None:
        self.time = time
        services = {SERVICE: routes.Service(SERVICE, [], 0, RULE)}
        self.slow_starts = warm_up.SlowStarts(
            time, name, options.SiteBounds, lambda: services, lambda: gateways
        )
        self.directory = directory.Directory(time, 2.0, self.slow_starts)

    @property
    def endpoint(self) -> endpoint_state.Endpoint:
        return self.directory._endpoints["e"]

    def sends(self, seconds: float) -> int:
        """Count the sends that go out when one is tried every hundredth of a second."""
        done = 0
        for _ in range(round(100 * seconds)):
            if self.directory.usable(SERVICE, set()):
                done += not self.directory.claim_send(self.endpoint)
            self.time.advance(0.01)
        return done


# -- The bound --


@hypothesis.given(
    known=st.integers(1, 400),
    more=st.floats(1.0, warm_up.UNKNOWN_FACTOR),
    per_s=st.floats(1.0, 40.0),
    seed=st.integers(0, 1 << 30),
)
def test_no_second_holds_more_sends_of_all_gateways_than_the_bound(
    known: int, more: float, per_s: float, seed: int
) -> None:
    """Each gateway sends whenever it may, at the worst time for all together."""
    bounds = options.SiteBounds()
    rule = routes.WarmUp(3.0, per_s)
    most = int(per_s * bounds.warm_excess + bounds.warm_slack)
    rng = random.Random(seed)
    total = 0
    for _ in range(int(known * more)):
        pause = warm_up.pause_s(rule, bounds, known, rng.random())
        if pause < clock.NEVER:
            total += 1 + int(1.0 / pause)
    assert total <= most


def test_a_gateway_that_knows_of_no_others_sends_nothing() -> None:
    pause = warm_up.pause_s(RULE, options.SiteBounds(), 0, 0.0)
    assert pause == clock.NEVER


@pytest.mark.parametrize("gateways", [1, 3, 7, 21])
def test_small_fleets_use_what_an_endpoint_bears(gateways: int) -> None:
    pause = warm_up.pause_s(RULE, options.SiteBounds(), gateways, 0.5)
    assert gateways / pause >= 0.5 * RULE.per_s


@pytest.mark.parametrize("gateways", [21, 300])
@pytest.mark.parametrize("routing", ["least-filled", "better-of-few"])
def test_endpoints_that_come_back_under_load_get_what_they_bear(
    gateways: int, routing: str
) -> None:
    """A third of the endpoints comes back idle; one gateway in five is cut off.

    ``bench.herd`` prints the worst second without shares.
    """
    plugin.load_all(plugin.GATEWAY_MODULES)
    endpoints = 40 if gateways == 21 else 120
    play = herd.Play(gateways, endpoints, 5.75 * endpoints, routing, 0)
    play.run()
    assert play.worst() <= MOST
    assert play.mean() > 0.0
    assert play.refused <= 0.01 * play.asked


def test_without_shares_the_fleet_overloads_an_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without shares a larger fleet at twice the load exceeds the bound."""
    plugin.load_all(plugin.GATEWAY_MODULES)
    monkeypatch.setattr(mechanisms.SLOW_START, "on", False)
    play = herd.Play(100, 60, 600.0, "least-filled", 0)
    play.run()
    assert play.worst() > MOST


# -- Endpoints that are not warm --


def test_an_endpoint_says_how_long_it_warms_up() -> None:
    book = Book(clock.ManualClock(100.0))
    book.directory.update("e", row(warming_s=3.0))
    assert book.sends(2.9) <= 3
    book.time.advance(0.2)
    assert book.sends(1.0) == 100


def test_reading_a_row_again_does_not_begin_anew() -> None:
    book = Book(clock.ManualClock(100.0))
    book.directory.update("e", row(warming_s=3.0))
    book.time.advance(2.0)
    book.directory.replace({"e": row(warming_s=3.0)})
    book.time.advance(1.1)
    assert book.sends(1.0) == 100


def test_an_endpoint_that_turns_cold_again_is_limited() -> None:
    book = Book(clock.ManualClock(100.0))
    book.directory.update("e", row())
    assert book.sends(1.0) == 100
    book.directory.update("e", row(warming_s=2.0))
    assert book.sends(1.0) <= 1


@pytest.mark.parametrize("by", ["us", "others", "hall"])
def test_an_endpoint_that_was_away_is_limited_before_its_row_says_so(by: str) -> None:
    book = Book(clock.ManualClock(100.0))
    book.directory.update("e", row())
    if by == "us":
        book.directory.eject(book.endpoint, "dark")
        book.time.advance(6.0)
        book.directory.record_answer(book.endpoint, failed=False)
    elif by == "others":
        book.directory.apply_peer_unreachable("gw-2", {book.endpoint.incarnation})
        book.time.advance(6.0)
        book.directory.apply_peer_unreachable("gw-2", ())
    else:
        book.directory.set_cordoned(frozenset({"h1"}))
        book.time.advance(6.0)
        book.directory.set_cordoned(frozenset())
    assert book.sends(RULE.lasts_s) <= 3
    book.time.advance(warm_up.ROW_LAG_S)
    assert book.sends(1.0) == 100


def test_services_without_a_rule_are_not_held_back() -> None:
    book = directory.Directory(clock.ManualClock(100.0), 2.0)
    book.update("e", row(warming_s=3.0))
    endpoint = book._endpoints["e"]
    assert not any(book.claim_send(endpoint) for _ in range(50))


# -- Number of gateways --


def test_the_most_that_were_seen_are_remembered_and_forgotten() -> None:
    most = mesh_members.RecentPeak(600.0)
    most.record(21, 100.0)
    most.record(3, 800.0)
    assert most.value == 21
    most.record(3, 1500.0)
    assert most.value == 3


def test_a_fleet_that_falls_apart_goes_by_what_it_was() -> None:
    fleet = fleetcase.Fleet(3, 7)
    fleet.run(4.0)
    assert {m.mesh.peak_gateways() for m in fleet.members} == {21}
    for member in fleet.members[1:]:
        member.is_dead = True
    fleet.run(5.0)
    assert fleet.members[0].mesh.members() == 1
    assert fleet.members[0].mesh.peak_gateways() == 21


def test_a_gateway_that_starts_without_the_store_learns_the_peak_from_peers() -> None:
    fleet = fleetcase.Fleet(1, 7)
    fleet.run(4.0)
    late = fleetcase.Member(fleet, "h0", 99)
    assert late.mesh.peak_gateways() == 0
    fleet.join(late)
    # It knows of one gateway; all others may be silent.
    for member in fleet.members[1:-1]:
        member.is_dead = True
    late.mesh._new_addresses.append(
        mesh_members.PeerAddress(fleet.members[0].address, "h0")
    )
    fleet.run(1.0, until=lambda: late.mesh.peak_gateways() > 0)
    assert late.mesh.peak_gateways() == 7


# -- End to end --


def test_a_gateway_limits_sends_to_an_endpoint_that_warms_up() -> None:
    """A second send, such as an escalation, counts like a first one."""
    services = [
        {
            "Name": "llm",
            "Engine": {"Models": gatewaysite.COSTS},
            "WarmupS": 3.0,
            "ColdPerS": 2.0,
        },
        {"Name": "app"},
    ]
    with gatewaysite.GatewaySite() as site:
        site.store.put("op", "config", gatewaysite.config(2, Services=services))
        gatewaysite.wait_until(
            lambda: (
                site.gateway._services()["llm"].warm_up is not None
                if site.gateway._services()
                else False
            ),
            "configuration",
        )
        fake = site.add("cold", "llm", ColdMs=60_000)
        answers = [site.start_call("/gen/x") for _ in range(6)]
        statuses = [later.get().status for later in answers]
        assert statuses.count(200) >= 1
        assert set(statuses) <= {200, 503}
        # 2 x 1.5 + 5 within a second; they took less than two seconds.
        assert len(fake.seen) <= 4


def test_the_adapter_reads_how_endpoints_start() -> None:
    dialect = wire.PlatformDialect()
    found = dialect.endpoint(
        "e",
        b'{"Service":"s","Addr":"10.0.0.1:1","Zone":"h","Version":"v1","Slots":1,'
        b'"State":"ready","ColdMs":1500}',
    )
    assert found.warming_s == 1.5
    table = dialect.route_table(
        "config",
        b'{"Version":1,"Routes":[],"Services":[{"Name":"s","WarmupS":3.0,'
        b'"ColdPerS":18.0},{"Name":"t","WarmupS":0.0,"ColdPerS":0.0}]}',
    )
    assert table is not None
    assert table.services["s"].warm_up == routes.WarmUp(3.0, 18.0)
    assert table.services["t"].warm_up is None
