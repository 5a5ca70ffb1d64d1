"""Unit tests of the gateway: routes, events, budget, endpoints, model choice."""

import random

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from gaprock import (
    backlog,
    clock,
    directory,
    endpoint_state,
    event_stream,
    gateway_api,
    messages,
    policy_api,
    policy_models,
    policy_routing,
    prefill_pace,
    routes,
)
from gaprock.platform import documents, wire
from gaprock.test import gatewaysite

LIMITS = routes.CallerLimits(1000, 15.0)


def make_route(name: str, prefix: str) -> routes.Route:
    pools = [routes.Pool("app", 1)]
    kind = routes.RouteKind.SAFE
    return routes.Route(
        name, "h.example", prefix, kind, pools, 1, 1, 1, 0, [], 2, True, False
    )


def test_the_longest_prefix_of_the_host_wins() -> None:
    found = [make_route("short", "/a/"), make_route("long", "/a/b/")]
    table = routes.RouteTable(1, found, [], None, LIMITS)
    names = [
        getattr(table.match(host, path), "name", None)
        for host, path in (
            ("h.example", "/a/b/c"),
            ("H.Example", "/a/x"),
            ("h.example", "/a"),
            ("other", "/a/x"),
        )
    ]
    assert names == ["long", "short", None, None]


@hypothesis.settings(derandomize=True, max_examples=100)
@hypothesis.given(
    st.lists(st.integers(1, 40), max_size=30), st.integers(0, 12), st.booleans()
)
def test_events_come_whole_however_the_bytes_are_cut(
    cuts: list[int], torn: int, crlf: bool
) -> None:
    end = b"\r\n" if crlf else b"\n"
    raws = [b"id: %d%sdata: x%s%s" % (n, end, end, end) for n in range(1, 8)]
    data = b"".join(raws) + b"id: 8\ndata"[:torn]
    splitter = event_stream.EventSplitter()
    found = []
    for size in cuts:
        found += splitter.feed(data[:size])
        data = data[size:]
    found += splitter.feed(data)
    assert [e.raw for e in found] == raws
    assert [e.number for e in found] == list(range(1, 8))
    assert splitter.is_incomplete == (torn > 0)


def row(version: str = "v1", draining: bool = False) -> gateway_api.EndpointRow:
    return gateway_api.EndpointRow("app", "127.0.0.1", 1, "h1", version, 4, draining)


@pytest.fixture
def time() -> clock.ManualClock:
    return clock.ManualClock(100.0)


def names(directory_: directory.Directory) -> set[str]:
    return {e.name for e in directory_.usable("app", set())}


def test_a_draining_endpoint_is_used_only_if_alone_and_for_a_short_time(
    time: clock.ManualClock,
) -> None:
    directory_ = directory.Directory(time, drain_s=2.0)
    directory_.replace({"a": row(), "b": row()})
    directory_.update("a", row(draining=True))
    assert names(directory_) == {"b"}
    directory_.update("b", None)
    assert names(directory_) == {"a", "b"}
    time.advance(1.1)
    assert names(directory_) == set()
    # A row that expired during a store outage is used again once it is back.
    directory_.update("b", row())
    assert names(directory_) == {"b"}


def test_rows_that_expired_in_a_store_outage_are_used_until_they_are_back(
    time: clock.ManualClock,
) -> None:
    directory_ = directory.Directory(time, drain_s=2.0)
    directory_.replace({"a": row(), "b": row(), "c": row()})
    time.advance(10.0)
    directory_.store_returned()
    directory_.replace({"c": row()})
    assert {e.name for e in directory_.usable("app", set())} == {"a", "b", "c"}
    time.advance(1.5)
    directory_.update("a", row())
    assert {e.name for e in directory_.usable("app", set())} == {"a", "b", "c"}
    # A row that stays away counts as removed before its time as a draining endpoint
    # is over.
    time.advance(0.4)
    assert {e.name for e in directory_.usable("app", set())} == {"a", "c"}
    # Without a store outage, a missing row means that its endpoint is leaving.
    directory_.update("a", None)
    assert {e.name for e in directory_.usable("app", set())} == {"c"}


def test_an_ejected_endpoint_is_probed_by_one_request_after_a_pause(
    time: clock.ManualClock,
) -> None:
    directory_ = directory.Directory(time, drain_s=2.0)
    directory_.replace({"a": row()})
    endpoint = directory_.usable("app", set())[0]
    directory_.eject(endpoint, "refused")
    assert directory_.is_ejected(endpoint, time.now())
    time.advance(1.0)
    assert not directory_.is_ejected(endpoint, time.now())
    directory_.begin(endpoint, endpoint_state.Prompt(0.0, []))
    assert directory_.is_ejected(endpoint, time.now())
    # The probe ended without a result; the next request may probe again.
    directory_.end(endpoint)
    assert not directory_.is_ejected(endpoint, time.now())
    directory_.begin(endpoint, endpoint_state.Prompt(0.0, []))
    directory_.record_answer(endpoint, failed=False)
    assert not endpoint.ejected_until


def test_an_endpoint_that_fails_more_than_its_service_is_ejected(
    time: clock.ManualClock,
) -> None:
    directory_ = directory.Directory(time, drain_s=2.0)
    directory_.replace({"a": row(), "b": row()})
    failing, healthy = directory_.usable("app", set())
    for step in range(30):
        directory_.record_answer(failing, failed=step % 2 == 0)
        directory_.record_answer(healthy, failed=False)
    assert directory_.is_ejected(failing, time.now())
    assert not directory_.is_ejected(healthy, time.now())


def test_an_endpoint_that_peers_find_unreachable_is_suspected_until_heard(
    time: clock.ManualClock,
) -> None:
    directory_ = directory.Directory(time, 2.0)
    directory_.replace({f"e{n}": row() for n in range(6)})
    first, second, *_ = directory_.usable("app", set())
    time.advance(1.0)
    directory_.apply_peer_unreachable("other", [first.name, second.name])
    assert first.is_suspected and second.is_suspected
    time.advance(0.1)
    directory_.record_seen(first)
    directory_.apply_peer_unreachable("other", [first.name, second.name])
    assert not first.is_suspected and second.is_suspected
    directory_.apply_peer_unreachable("other", [])
    assert not second.is_suspected
    # A peer that finds most endpoints unreachable is cut off itself, so it is ignored.
    time.advance(1.0)
    directory_.apply_peer_unreachable("other", [f"e{n}" for n in range(4)])
    assert not any(e.is_suspected for e in directory_.usable("app", set()))


def test_unread_prompts_are_counted_in_and_out(time: clock.ManualClock) -> None:
    directory_ = directory.Directory(time, drain_s=2.0)
    directory_.replace({"a": row()})
    endpoint = directory_.usable("app", set())[0]
    directory_.begin(endpoint, endpoint_state.Prompt(500.0, []))
    directory_.apply_peer_loads("other", {"a": endpoint_state.Load(2, 300.0)})
    assert (endpoint.load, endpoint.backlog.outstanding) == (3, 800.0)
    assert directory_.unread(endpoint) == 800.0
    directory_.record_prefilled(endpoint, endpoint_state.Prompt(500.0, []))
    directory_.end(endpoint)
    directory_.apply_peer_loads("other", {})
    assert (endpoint.load, endpoint.backlog.outstanding) == (0, 0.0)
    assert directory_.unread(endpoint) == 0.0


def candidate(
    name: str, running: int, near: bool, unread: float = 0.0
) -> policy_api.Candidate:
    load = messages.EndpointLoad(name, "", [], running, 0, 10, running, 0.0)
    return policy_api.Candidate("", load, 0, near, False, unread)


def test_the_local_hall_is_preferred_until_it_is_clearly_fuller() -> None:
    policy = policy_routing.LeastFilled()
    rng = random.Random(1)
    near, far = candidate("near", 4, True), candidate("far", 0, False)
    assert policy.choose([near, far], rng) is near
    assert policy.choose([candidate("near", 6, True), far], rng) is far
    busy = candidate("near", 4, True, unread=2.0)
    assert policy.choose([busy, far], rng) is far
    assert policy.choose([], rng) is None


def ask(largest_s: float, escalations_left: int = 2) -> policy_api.ModelQuery:
    models = [routes.ModelCost("small", 0.01), routes.ModelCost("large", 0.2)]
    first_s = [0.05, largest_s]
    return policy_api.ModelQuery(models, 1000, 100, 1.0, escalations_left, first_s)


def ask_three(middle_s: float = 0.1, largest_s: float = 0.1) -> policy_api.ModelQuery:
    costs = {"small": 0.01, "middle": 0.1, "large": 0.2}
    models = [routes.ModelCost(name, cost) for name, cost in costs.items()]
    first_s = [0.05, middle_s, largest_s]
    return policy_api.ModelQuery(models, 1000, 100, 1.0, 2, first_s)


def test_doubtful_answers_escalate_while_the_larger_model_is_in_time() -> None:
    policy = policy_models.Confidence()
    assert policy.first(ask(0.1)) == "small"
    assert policy.escalate(ask(0.1), "small", 45) == "large"
    assert policy.escalate(ask(0.1), "small", 55) is None
    assert policy.escalate(ask(0.1), "large", 5) is None
    assert policy.escalate(ask(0.1, escalations_left=0), "small", 5) is None
    # As the larger model's time nears the goal, the threshold falls to zero.
    assert policy.escalate(ask(0.45), "small", 45) is None
    assert policy.escalate(ask(0.45), "small", 20) == "large"
    assert policy.escalate(ask(0.8), "small", 5) is None


def test_the_smallest_model_that_is_likely_confident_is_asked() -> None:
    policy = policy_models.Confidence()
    assert policy.escalate(ask_three(), "small", 45) == "middle"
    assert policy.escalate(ask_three(), "small", 10) == "large"
    assert policy.escalate(ask_three(), "middle", 45) == "large"
    # The middle model is in time although the largest one is not.
    assert policy.escalate(ask_three(largest_s=0.9), "small", 40) == "middle"
    assert policy.escalate(ask_three(largest_s=0.9), "small", 10) is None


def test_confidence_gains_are_learned_from_escalations() -> None:
    policy = policy_models.Confidence()
    for _ in range(100):
        policy.learn("small", 20.0, "middle", 55.0)
        # Values at the ends of the scale don't show the gain.
        policy.learn("small", 0.0, "middle", 0.0)
    assert policy.escalate(ask_three(), "small", 18) == "middle"
    for _ in range(1000):
        policy.learn("small", 20.0, "middle", 22.0)
    assert policy.escalate(ask_three(), "small", 40) == "large"


def test_a_backlog_falls_with_time_but_not_to_zero() -> None:
    waiting = backlog.Backlog()
    waiting.add(1000.0, 10.0)
    waiting.record_peer("other", 500.0, 10.0)
    read_s = backlog.READING_SHARE * 100.0
    assert waiting.left(10.0, 100.0) == 1500.0
    assert waiting.left(15.0, 100.0) == 1500.0 - 5.0 * read_s
    assert waiting.left(99.0, 100.0) == backlog.LEFT_SHARE * 1500.0
    # Once a prompt was read, the others count as unread in full again.
    waiting.remove(1000.0, 99.0)
    assert waiting.left(99.0, 100.0) == 500.0
    waiting.record_peer("other", 0.0, 100.0)
    assert waiting.left(100.0, 100.0) == 0.0


SERVICE = routes.Service(
    "llm", [routes.ModelCost("small", 0.01), routes.ModelCost("large", 0.2)]
)


def test_token_weights_are_learned_from_prompts_without_queueing() -> None:
    pace = prefill_pace.PrefillPace()
    assert pace.weight(SERVICE, "small") == pytest.approx(0.05)
    assert pace.weight(SERVICE, "") == 1.0
    for _ in range(100):
        pace.observe_model(SERVICE, "small", 10_000, 0.0, 0.1 + prefill_pace.OVERHEAD_S)
        pace.observe_model(SERVICE, "large", 10_000, 0.0, 0.5 + prefill_pace.OVERHEAD_S)
        # Behind other prompts, or too short: not used for the model's token time.
        pace.observe_model(SERVICE, "small", 10_000, 2.0, 9.0)
        pace.observe_model(SERVICE, "small", 10, 0.0, 9.0)
    assert pace.weight(SERVICE, "small") == pytest.approx(0.2, rel=0.01)


def test_the_prefill_rate_estimate_is_bounded() -> None:
    pace = prefill_pace.PrefillPace()
    for _ in range(1000):
        pace.observe("s", 1000.0, 0.1)
        pace.observe("s", 9000.0, 0.1)
    most = prefill_pace.MAX_SPEEDUP / prefill_pace.PRIOR_SLOPE_S
    assert pace.tokens_per_s("s") == pytest.approx(most)


def test_the_time_of_a_token_is_learned() -> None:
    pace = prefill_pace.PrefillPace()
    for number in range(1000):
        tokens = 1000.0 * (number % 7)
        pace.observe("s", tokens, 0.2 + tokens * 1e-4)
    assert pace.expect("s", 20_000.0) == pytest.approx(2.2, rel=0.1)
    assert pace.expect("s", 100.0) == pytest.approx(0.21, rel=0.1)


# -- Documents and headers --


def test_a_wrong_field_is_named() -> None:
    doc = gatewaysite.config(1)
    bad = msgspec.json.encode({**doc, "Version": "new"})
    with pytest.raises(gateway_api.InvalidDocument, match="Version"):
        documents.route_table(bad)
    with pytest.raises(gateway_api.InvalidDocument, match="Addr"):
        row = {"Service": "s", "Addr": "nowhere", "Zone": "z", "Version": "v"}
        more = {"Slots": 1, "State": "ready"}
        documents.endpoint(msgspec.json.encode({**row, **more}))


def test_a_configuration_without_tenants_needs_no_key() -> None:
    doc = gatewaysite.config(1)
    del doc["Tenants"]
    table = documents.route_table(msgspec.json.encode(doc))
    assert not table.requires_key
    doc["Tenants"] = []
    assert documents.route_table(msgspec.json.encode(doc)).requires_key


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(st.binary(max_size=40), st.binary(max_size=40), st.binary(max_size=9))
def test_any_header_value_is_parsed_without_an_error(
    counts: bytes, parts: bytes, last: bytes
) -> None:
    dialect = wire.PlatformDialect()
    info = dialect.read_request(
        [
            (b"X-Token-Counts", counts),
            (b"X-Prompt-Prefix", parts),
            (b"Last-Event-Id", last),
        ]
    )
    assert info.tokens_in >= 0
    dialect.read_answer(200, [(b"X-Server-Load", counts), (b"X-Confidence", parts)])
