"""Tests of gossip between halls, and of the relays that carry it."""

import random
import time
import typing

import msgspec
import pytest

from gaprock import (
    endpoint_state,
    evidence,
    gateway_api,
    mesh_halls,
    mesh_messages,
    mesh_peers,
    mesh_plan,
    messages,
    retry_allowance,
)
from gaprock.test import budgetcase, fleetcase, gatewaysite

# Time within which urgent state reaches all gateways, and within which a failed relay
# is bypassed.
TOLD_S: typing.Final = 0.3
PASSED_S: typing.Final = 1.0
SETTLED_S: typing.Final = 4.0


@pytest.fixture(scope="module")
def large() -> fleetcase.Fleet:
    """Return 70 gateways in five halls that know each other."""
    fleet = fleetcase.Fleet(5, 14)
    fleet.run(SETTLED_S)
    return fleet


def settled(halls: int, each: int) -> fleetcase.Fleet:
    fleet = fleetcase.Fleet(halls, each)
    fleet.run(SETTLED_S)
    return fleet


def count_far(fleet: fleetcase.Fleet, seconds: float = 5.0) -> tuple[float, float]:
    """Return the messages and bytes per second between halls."""
    messages, size = fleet.far_messages, fleet.far_bytes
    fleet.run(seconds)
    return (
        (fleet.far_messages - messages) / seconds,
        (fleet.far_bytes - size) / seconds,
    )


# -- Cost --


def test_two_relays_of_each_hall_speak_to_the_other_halls(
    large: fleetcase.Fleet,
) -> None:
    names = sorted(m.name for m in large.hall_relays())
    assert names == [f"gw-h{hall}-00{n}" for hall in range(5) for n in range(2)]
    assert all(m.mesh.members() == 70 for m in large.members)


def test_traffic_between_halls_grows_with_the_halls_and_not_the_gateways(
    large: fleetcase.Fleet,
) -> None:
    # 80 pairs of relays with one heartbeat a second; between all pairs of gateways of
    # different halls it would be 3,920.
    messages, size = count_far(large)
    assert messages <= 1.1 * 80
    small, small_size = count_far(settled(5, 5))
    assert messages == pytest.approx(small, rel=0.1)
    assert size == pytest.approx(small_size, rel=0.1)


def test_small_fleets_tell_each_other_directly() -> None:
    fleet = settled(3, 2)
    assert len(fleet.hall_relays()) == 6
    names = {m.name for m in fleet.members}
    for member in fleet.members:
        assert {*member.mesh.living(), member.name} == names


# -- The store's return --


def test_a_gateway_that_left_the_store_to_others_knows_when_it_came_back() -> None:
    """Guard against requests to an endpoint 25 ms after its drain time ended.

    A gateway that leaves reading the store to others asks it again up to 5 s after an
    outage.  It took rows removed in between for ones that had expired in the outage,
    whose endpoints are used for longer, counted from that moment.  In one run a gateway
    that asked at 25.8 s took seven rows for expired, and one that asked at 29.2 s took
    another one.
    """
    fleet = settled(2, 3)
    late = fleet.hall("h1")[-1]
    for member in fleet.members:
        member.table.answers = False
    fleet.run(4.0)
    back_at = fleet.time.now()
    assert late.mesh.store_back_at() == back_at
    fleet.hall("h0")[0].table.answers = True
    fleet.run(3.0)
    assert back_at <= late.mesh.store_back_at() <= back_at + 1.5
    add_endpoints(late)
    late.directory.store_returned(late.mesh.store_back_at())
    late.directory.update("e1", None)
    assert not late.directory._endpoints["e1"].lapsed


# -- Delay of urgent state --


def reach(fleet: fleetcase.Fleet, by: fleetcase.Member) -> float:
    """Have a gateway halt the version; return the time until all live ones know."""
    by.book.halt(fleetcase.SERVICE, 1, "bad answers")
    return fleet.run(3.0, lambda: all(m.rollout.halted for m in fleet.living()))


def test_a_halt_reaches_everybody_at_once() -> None:
    fleet = settled(5, 14)
    assert reach(fleet, fleet.members[-1]) <= TOLD_S


@pytest.mark.parametrize("seed", range(4))
def test_a_halt_reaches_everybody_while_a_third_is_frozen(seed: int) -> None:
    fleet = settled(4, 9)
    rng = random.Random(seed)
    for member in rng.sample(fleet.members, len(fleet.members) // 3):
        member.is_frozen = True
    fleet.run(PASSED_S + mesh_peers.BUSY_BEAT_S)
    assert reach(fleet, rng.choice(fleet.living())) <= TOLD_S


def test_an_unreachable_endpoint_is_known_in_all_halls_at_once() -> None:
    fleet = settled(3, 5)
    finder = fleet.members[-1]
    for member in fleet.members:
        add_endpoints(member)
    finder.directory.eject(finder.directory._endpoints["e0"], "no port")

    def is_known() -> bool:
        others = [m for m in fleet.members if m is not finder]
        return all(m.directory._endpoints["e0"].is_suspected for m in others)

    assert fleet.run(2.0, is_known) <= TOLD_S
    # Once it answers again, the report is withdrawn.
    finder.directory.record_seen(finder.directory._endpoints["e0"])

    def is_forgotten() -> bool:
        return not any(m.directory._endpoints["e0"].suspected_by for m in fleet.members)

    assert fleet.run(2.0, is_forgotten) <= TOLD_S


def test_evidence_of_every_gateway_is_counted_by_every_gateway_once() -> None:
    fleet = settled(3, 6)
    for member in fleet.members:
        for _ in range(3):
            member.evidence.count("v2", False, False)
    fleet.run(3.0)
    totals = [m.evidence.totals("v2").answers for m in fleet.members]
    assert totals == [3 * 18] * 18


def test_evidence_costs_as_much_between_halls_whatever_gateways_they_have() -> None:
    sizes = []
    for each in (3, 12):
        fleet = settled(2, each)
        before = fleet.far_bytes
        for _ in range(10):
            for member in fleet.members:
                for label in range(14):
                    member.evidence.count(
                        f"a-service@v2#7/new/route-{label}", False, False
                    )
            fleet.run(0.5)
        sizes.append(fleet.far_bytes - before)
    assert sizes[1] < 1.1 * sizes[0]


def test_sums_of_evidence_are_merged_like_counters() -> None:
    book, far = evidence.EvidenceBook("g1/x"), evidence.EvidenceBook("g9/x")
    book.count("v2", True, False)
    book.merge([messages.Evidence("g2/x", "v2", 5, 2, 0)])
    book.merge([messages.Evidence("g8/x", "v2", 50, 20, 0)])
    tick, _ = book.since(0)
    sums = book.sums_since(0, "hall h0", lambda source: source != "g8/x")
    assert sums == [messages.Evidence("hall h0", "v2", 6, 3, 0)]
    assert far.merge(sums) and not far.merge(sums)
    # Another relay, which knows less, changes nothing.
    assert not far.merge([messages.Evidence("hall h0", "v2", 4, 4, 0)])
    assert far.totals("v2") == evidence.Totals(6, 3, 0)
    assert book.sums_since(tick, "hall h0", lambda source: source != "g8/x") == []


# -- Failed relays --


@pytest.mark.parametrize("how", ["dead", "frozen", "mute"])
def test_failed_relays_are_bypassed(how: str) -> None:
    fleet = settled(4, 6)
    lost = fleet.hall("h1")[:2]
    for member in lost:
        if how == "mute":
            fleet.mute.add(member.name)
        else:
            member.is_dead = how == "dead"
            member.is_frozen = how == "frozen"
    fleet.run(PASSED_S)
    others = {m.name for m in fleet.hall_relays() if m.hall == "h1" and m not in lost}
    assert others == {"gw-h1-002", "gw-h1-003"}
    # In both directions, and before any gateway took the hall for silent.
    assert reach(fleet, fleet.hall("h1")[-1]) <= TOLD_S + mesh_peers.BUSY_BEAT_S
    assert all("h1" in m.mesh.halls.hall_relays() for m in fleet.hall("h0"))


def test_a_relay_that_wakes_sends_no_old_state_and_relays_again() -> None:
    fleet = settled(3, 4)
    first = fleet.hall("h0")[0]
    first.is_frozen = True
    fleet.run(20.0)
    assert fleet.hall("h0")[1].book.all()
    fleet.hall("h1")[3].book.halt(fleetcase.SERVICE, 1, "bad answers")
    fleet.run(2.0)
    assert not first.rollout.halted
    fleet.wake(first)
    fleet.run(PASSED_S, lambda: first.rollout.halted)
    assert first.rollout.halted
    fleet.run(SETTLED_S)
    hall_relays = sorted(m.name for m in fleet.hall_relays() if m.hall == "h0")
    assert hall_relays == ["gw-h0-000", "gw-h0-001"]


def test_halls_that_were_cut_off_for_minutes_find_each_other_again() -> None:
    fleet = settled(2, 3)
    fleet.mute.update(m.name for m in fleet.members)
    fleet.run(120.0)
    assert all(not m.mesh.halls.hall_relays() for m in fleet.members)
    # The former relays do not come back with the connection.
    for hall in ("h0", "h1"):
        for member in fleet.hall(hall)[:2]:
            member.is_dead = True
    fleet.mute.clear()
    fleet.run(5.0)
    assert all(m.mesh.members() == 2 for m in fleet.living())


def test_a_gateway_that_is_no_relay_names_the_relays() -> None:
    fleet = settled(2, 4)
    last = fleet.hall("h1")[-1]
    first = fleet.hall("h0")[0]
    for member in fleet.hall("h0"):
        member.mesh.halls.forget_silent(fleet.time.now() + 60.0)
        for peer in list(member.mesh._far()):
            # All rows but the last one's were lost with the store's answers.
            if peer.address != last.address:
                del member.mesh._peers[peer.address]
    for member in fleet.hall("h1"):
        member.mesh.halls.forget_silent(fleet.time.now() + 60.0)
        for peer in list(member.mesh._far()):
            del member.mesh._peers[peer.address]
    fleet.run(5.0)
    known = [hall_relay.name for hall_relay in first.mesh.halls.hall_relays()["h1"]]
    assert known == ["gw-h1-000", "gw-h1-001"]
    assert last.name not in [m.name for m in fleet.hall_relays()]


# -- Summaries --


def add_endpoints(member: fleetcase.Member) -> None:
    rows = {
        f"e{n}": gateway_api.EndpointRow("llm", "127.0.0.1", n, "h0", "v1", 8, False)
        for n in range(4)
    }
    member.directory.replace(rows)


def test_a_halls_load_is_known_in_other_halls_and_not_past_its_time() -> None:
    fleet = settled(2, 4)
    for member in fleet.members:
        add_endpoints(member)
    prompt = endpoint_state.Prompt(500.0, [])
    for member in fleet.hall("h1"):
        member.directory.begin(member.directory._endpoints["e1"], prompt)
    watcher = fleet.hall("h0")[-1].directory._endpoints["e1"]
    fleet.run(2.0)
    assert watcher.load == 4 and watcher.backlog.outstanding == 2000
    for member in fleet.hall("h1"):
        member.is_dead = True
    fleet.run(mesh_halls.SUMMARY_TIMEOUT_S + PASSED_S)
    assert watcher.load == 0 and watcher.backlog.outstanding == 0


def news(
    age_s: float, running: int, hall: str = "h2", halted: bool = False
) -> mesh_messages.HallNews:
    roll = mesh_messages.RolloutUpdate("llm", 1, 5.0, halted, running)
    load = endpoint_state.Load(running, 0)
    return mesh_messages.HallNews(
        hall, age_s, [], running, True, {"e1": load}, [], [roll]
    )


def test_summaries_are_ordered_by_age_whoever_sends_them() -> None:
    fleet = fleetcase.Fleet(1, 1)
    book, now = fleet.members[0].mesh.halls, fleet.time.now()
    book.record(news(0.5, 3), now, False)
    # An older one that arrives later, by another path.
    book.record(news(1.0, 9), now + 0.1, True)
    assert book.members() == 3 and book.on_old("llm") == 3
    book.record(news(0.1, 4), now + 0.1, True)
    assert book.members() == 4
    book.record(news(mesh_halls.SUMMARY_TIMEOUT_S + 0.1, 7, "h3"), now, False)
    book.record(news(0.0, 8, "h0"), now, False)
    assert book.members() == 4
    book.forget_silent(now + mesh_halls.SUMMARY_TIMEOUT_S + 0.1)
    assert book.members() == 0


@pytest.mark.parametrize("age_s", [0.0, 0.5])
def test_a_summary_that_is_not_the_newest_still_reports_its_paces(age_s: float) -> None:
    fleet = fleetcase.Fleet(1, 1)
    (member,) = fleet.members
    for name in ("e1", "e2"):
        row = gateway_api.EndpointRow("llm", "10.0.0.1", 1, "h2", "v1", 8, False)
        member.directory.update(name, row)
    # Two relays of the hall report different endpoints.
    for name, sent_s in (("e1", 0.0), ("e2", age_s)):
        paces = [mesh_messages.PaceUpdate(name, 120, 120, 0)]
        reported = msgspec.structs.replace(news(sent_s, 3), paces=paces)
        member.mesh.halls.record(reported, fleet.time.now(), False)
    assert member.directory.known_paces() == ["e1", "e2"]


def test_a_summary_goes_around_once_unless_it_changes_what_all_must_know() -> None:
    fleet = fleetcase.Fleet(1, 1)
    book, now = fleet.members[0].mesh.halls, fleet.time.now()
    book.record(news(0.0, 3), now, False)
    assert [n.members for n in book.summaries_to_forward(now + 0.2)] == [3]
    assert [n.age_s for n in book.summaries_to_forward(now + 0.2)] == []
    book.record(news(0.0, 4), now + 0.3, False)
    assert book.summaries_to_forward(now + 0.3) == []
    book.record(news(0.0, 4, halted=True), now + 0.4, False)
    assert [n.members for n in book.summaries_to_forward(now + 0.4)] == [4]
    # Another relay has forwarded a newer one.
    book.record(news(0.0, 5), now + 1.3, True)
    assert book.summaries_to_forward(now + 1.3) == []


def test_silent_halls_are_tried_address_by_address() -> None:
    peers = [mesh_peers.Peer("", f"tcp://{n}", None, 0.0, "h2") for n in range(5)]
    tried = set()
    for second in range(4):
        chosen = set(mesh_plan.targets(peers, set(), 10.0 + 1.1 * second))
        assert len(chosen) == mesh_plan.PROBES
        assert set(mesh_plan.targets(peers, set(), 10.5 + 1.1 * second)) == chosen
        tried |= {peer.address for peer in chosen}
    assert len(tried) == 5
    assert mesh_plan.targets(peers, {"tcp://4"}, 20.0) == [peers[4]]


# -- Bounds for all gateways together --


def test_a_fleet_that_falls_apart_keeps_to_one_allowance_of_repeats() -> None:
    """Guard against each gateway taking the whole allowance, believing itself alone."""
    fleet = fleetcase.Fleet(1, 7)
    fleet.run(2.0)
    for member in fleet.members:
        fleet.mute.add(member.name)
    fleet.run(5.0)
    assert {member.mesh.members() for member in fleet.members} == {1}
    rule = budgetcase.Rule(0.5, 35.0, 10.0)
    store = budgetcase.Store(fleet.time)
    taken = 0
    for member in fleet.members:
        count = member.mesh.members
        gateway = budgetcase.Member(member.name, rule, fleet.time, store, count)
        for _ in range(50):
            taken += gateway.repeat("s")
            gateway.task.step()
    assert 0 < taken <= 35


def test_a_gateways_budget_goes_by_the_most_gateways_that_were_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with gatewaysite.GatewaySite() as site:
        monkeypatch.setattr(site.gateway.mesh, "peak_gateways", lambda: 10)
        site.gateway.budget.left("s")
        gatewaysite.wait_until(
            lambda: site.gateway.budget.state("s").held > 0, "a part is held"
        )
        for _ in range(20):
            site.gateway.allowance.request("s", True)
            time.sleep(retry_allowance.PAUSE_S)
        held = site.gateway.budget.state("s").held
        assert held <= site.cfg.bounds.budget_allowance / 10
