"""The decisions, each by itself."""

import random
import typing

import hypothesis
import pytest
from hypothesis import strategies

from gaprock import (
    config,
    documents,
    entry_budget,
    entry_duties,
    entry_versions,
    errors,
    evidence,
    messages,
    plugin,
    policy_admission,
    policy_api,
    policy_cascade,
    policy_guard,
    policy_placement,
    policy_routing,
)
from gaprock.test import site, testconfig

NOW: typing.Final = 1000.0


def ticket_of(
    workspace: str = "w",
    deadline: float = NOW + 10,
    priority: int = 5,
    share: float = 1,
) -> policy_api.Ticket:
    return policy_api.Ticket(object(), workspace, share, priority, deadline, NOW)


def busy(limit: int = 1, queued: int = 100) -> policy_admission.Adaptive:
    """Give an admission that runs all it may."""
    admission = policy_admission.Adaptive(limit, queued)
    for _ in range(limit):
        assert admission.offer(ticket_of("other"), NOW).start
    return admission


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("offer", "finish", "drop", "expire")),
            strategies.sampled_from(("a", "b", "c")),
            strategies.floats(0.01, 5),
        ),
        max_size=80,
    )
)
def test_every_ticket_is_started_refused_or_dropped_exactly_once(
    steps: list[tuple[str, str, float]],
) -> None:
    admission = policy_admission.Adaptive(4, 6)
    now = NOW
    running: list[policy_api.Ticket] = []
    waiting: list[policy_api.Ticket] = []
    for step, workspace, seconds in steps:
        now += seconds / 10
        if step == "offer":
            ticket = ticket_of(workspace, now + seconds)
            verdict = admission.offer(ticket, now)
            if verdict.start:
                running.append(ticket)
            elif verdict.queued:
                waiting.append(ticket)
            else:
                assert verdict.retry_at > now
        elif step == "finish" and running:
            started = admission.finished(
                running.pop(0), policy_api.RunResult(seconds / 100), now
            )
            for ticket in started:
                waiting.remove(ticket)
                running.append(ticket)
        elif step == "drop" and waiting:
            assert admission.drop(waiting.pop())
        for ticket in admission.expired(now):
            waiting.remove(ticket)
        assert admission.running == len(running)
        assert admission.queued == len(waiting) <= 6
        assert 1 <= admission.limit <= 4
    assert sorted(map(id, admission.expired(now + 100))) == sorted(map(id, waiting))


def test_a_small_workspace_gets_its_turn_before_a_large_ones_backlog() -> None:
    admission = busy()
    for _ in range(20):
        assert admission.offer(ticket_of("large"), NOW).queued
    small = ticket_of("small")
    assert admission.offer(small, NOW).queued
    order = []
    current = ticket_of("other")
    for _ in range(4):
        (current,) = admission.finished(current, policy_api.RunResult(0.01), NOW)
        order.append(current.workspace)
    assert "small" in order[:2]


def test_a_full_queue_gives_way_to_a_workspace_below_its_share() -> None:
    admission = busy(queued=3)
    large = [ticket_of("large") for _ in range(3)]
    for ticket in large:
        assert admission.offer(ticket, NOW).queued
    assert not admission.offer(ticket_of("large"), NOW).queued
    assert admission.offer(ticket_of("small"), NOW).queued
    assert admission.expired(NOW) == [large[-1]]


def test_priority_goes_before_turns_and_deadlines() -> None:
    admission = busy()
    late, soon = ticket_of("w", NOW + 9), ticket_of("w", NOW + 3)
    urgent = ticket_of("w", NOW + 9, priority=0)
    for ticket in (late, soon, urgent):
        assert admission.offer(ticket, NOW).queued
    order = []
    current = ticket_of("other")
    for _ in range(3):
        (current,) = admission.finished(current, policy_api.RunResult(0.01), NOW)
        order.append(current)
    assert order == [urgent, soon, late]


def test_what_cannot_be_in_time_is_refused_at_once() -> None:
    admission = busy()
    setattr(admission, "_service_s", 2.0)
    assert admission.offer(ticket_of(deadline=NOW + 6), NOW).queued
    verdict = admission.offer(ticket_of(deadline=NOW + 6), NOW)
    assert not verdict.queued and verdict.reason == "too-late"


def test_refused_callers_come_back_spread_at_the_rate_of_service() -> None:
    admission = busy(limit=4)
    setattr(admission, "_service_s", 0.4)
    times = [admission.retry_at(NOW) for _ in range(50)]
    gaps = [b - a for a, b in zip(times, times[1:])]
    assert min(gaps) == pytest.approx(0.1) == max(gaps)


class Engine:
    """An endpoint whose first part takes longer the more it is given at once."""

    def __init__(self, slots: int, first_s: float) -> None:
        self.slots, self.first_s = slots, first_s
        self.admission = policy_admission.Adaptive(64, 100)
        self.now = NOW
        self._running: list[policy_api.Ticket] = []

    def work(self, runs: int) -> None:
        """Keep it as full as admission allows for so many runs."""
        for _ in range(runs):
            while self.admission.running < self.admission.limit:
                self._running.append(ticket_of(deadline=self.now + 100))
                assert self.admission.offer(self._running[-1], self.now).start
            rounds = max(1.0, self.admission.running / self.slots)
            self.now += self.first_s / self.slots
            result = policy_api.RunResult(self.first_s * rounds)
            self.admission.finished(self._running.pop(0), result, self.now)


def test_the_limit_finds_what_an_endpoint_can_run_at_once() -> None:
    engine = Engine(slots=12, first_s=0.2)
    engine.work(600)
    assert 9 <= engine.admission.limit <= 30


def test_an_endpoint_that_turns_slow_keeps_its_limit() -> None:
    engine = Engine(slots=12, first_s=0.2)
    engine.work(600)
    engine.first_s = 0.8
    engine.work(600)
    assert engine.admission.limit >= 9


def test_an_endpoint_that_loses_slots_gets_a_lower_limit() -> None:
    engine = Engine(slots=24, first_s=0.2)
    engine.work(800)
    before = engine.admission.limit
    engine.slots = 6
    engine.work(800)
    assert engine.admission.limit < before * 0.7


def test_the_limit_goes_little_beyond_what_the_endpoint_says() -> None:
    admission = policy_admission.Adaptive(64, 100)
    admission.hint(40)
    assert admission.limit == 40
    ticket = ticket_of()
    assert admission.offer(ticket, NOW).start
    admission.finished(ticket, policy_api.RunResult(0.1), NOW)
    admission.hint(4)
    assert admission.limit == 5
    admission.hint(0)
    assert admission.limit == 5


def test_a_refusal_by_the_endpoint_shrinks_the_limit() -> None:
    admission = policy_admission.Adaptive(64, 100)
    before = admission.limit
    ticket = ticket_of()
    admission.offer(ticket, NOW)
    admission.finished(ticket, policy_api.RunResult(-1.0, refused=True), NOW)
    assert admission.limit < before


def candidate_of(
    name: str, running: int = 0, sent: int = 0, near: bool = True, prefix: bool = False
) -> policy_api.Candidate:
    load = messages.EndpointLoad(name, "engine", ["v@1"], running, 0, 8, running, 0.1)
    return policy_api.Candidate(name, load, sent, near, prefix)


def choose(*candidates: policy_api.Candidate) -> str:
    chosen = policy_routing.TwoChoices().choose(list(candidates), random.Random(1))
    assert chosen is not None
    return chosen.name


def test_routing_counts_what_was_sent_since_the_report() -> None:
    assert choose(candidate_of("a", 9, 20), candidate_of("b", 12)) == "b"


def test_routing_prefers_the_own_hall_until_it_is_full() -> None:
    far = candidate_of("far", near=False)
    assert choose(candidate_of("near", 5), far) == "near"
    assert choose(candidate_of("near", 9, 9), far) == "far"


def test_routing_prefers_the_holder_of_the_prefix_unless_it_is_hot() -> None:
    assert choose(candidate_of("a"), candidate_of("b", prefix=True)) == "b"
    assert choose(candidate_of("a"), candidate_of("b", 30, prefix=True)) == "a"


def test_second_tries_stay_within_their_share() -> None:
    budget = entry_budget.RetryBudget(0.1)
    granted = 0
    for _ in range(1000):
        budget.record_first()
        granted += budget.spend_retry()
    assert 99 <= granted <= 101


def learned(**rates: float) -> tuple[policy_cascade.Learned, documents.Template]:
    """Give a cascade that has seen 200 ratings of each version."""
    cascade = policy_cascade.Learned()
    names = [name.replace("_", "@") for name in rates]
    template = site.template(*names)
    for name, rate in zip(names, rates.values()):
        for number in range(200):
            good = number < rate * 200
            cascade.learn(template, name, 1.0 if good else 0.0)
    return cascade, template


def versions_of(choice: policy_api.Choice | None) -> list[str]:
    assert choice is not None
    return choice.versions


def test_a_cascade_tries_the_cheap_version_where_that_saves() -> None:
    cascade, template = learned(cheap_1=0.6, best_1=0.99)
    allowed = ["cheap@1", "best@1"]
    assert versions_of(cascade.choose(template, allowed, True)) == allowed
    cascade, template = learned(cheap_1=0.02, best_1=0.99)
    assert versions_of(cascade.choose(template, allowed, True)) == ["best@1"]


def test_a_stream_gets_the_cheap_version_only_with_confidence() -> None:
    allowed = ["cheap@1", "best@1"]
    cascade, template = learned(cheap_1=1.0, best_1=1.0)
    assert versions_of(cascade.choose(template, allowed, False)) == ["cheap@1"]
    cascade, template = learned(cheap_1=0.9, best_1=1.0)
    firsts = [versions_of(cascade.choose(template, allowed, False)) for _ in range(200)]
    assert firsts.count(["best@1"]) > 180


def test_without_ratings_a_stream_gets_the_safest_version() -> None:
    cascade = policy_cascade.Learned()
    template = site.template("cheap@1", "best@1")
    firsts = [
        versions_of(cascade.choose(template, ["cheap@1", "best@1"], False))
        for _ in range(200)
    ]
    assert firsts.count(["best@1"]) > 180
    assert not cascade.accept(template, "cheap@1", None)


@pytest.mark.parametrize("stable_bad, rate", [(0, 0.3), (20, 0.5)])
def test_the_guard_stops_a_version_that_is_worse(stable_bad: int, rate: float) -> None:
    guard = policy_guard.Sequential()
    rng = random.Random(2)
    answers = bad = 0
    stable = policy_api.Counts(400, stable_bad)
    while not guard.is_bad("v/1", policy_api.Counts(answers, bad), stable):
        answers += 1
        bad += rng.random() < rate
        assert answers < 200


def test_the_guard_stops_a_version_that_turns_bad_after_a_long_good_time() -> None:
    guard = policy_guard.Sequential()
    stable = policy_api.Counts(10_000, 100)
    assert not guard.is_bad("v/1", policy_api.Counts(20_000, 200), stable)
    for bad in range(1, 60):
        seen = policy_api.Counts(20_000 + bad, 200 + bad)
        if guard.is_bad("v/1", seen, stable):
            return
    raise AssertionError("not stopped")


def test_a_rollout_puts_its_share_of_requests_on_the_new_version() -> None:
    config_ = config.Config()
    rollout = documents.Rollout("b@1", "a@1", [0.2, 1.0])
    template = site.template("a@1", "b@1")
    config_.apply(testconfig.delta_of(1, 0, site.workspace(), template, rollout))
    chosen = [
        entry_versions.allowed_versions(config_, template, f"r{n}").versions
        for n in range(2000)
    ]
    assert 300 < chosen.count(["b@1"]) < 500
    config_.add_urgent([config.halt_key("b@1", 1)])
    assert entry_versions.allowed_versions(config_, template, "r1").versions == ["a@1"]
    config_.add_urgent([config.WITHDRAWN + "a@1"])
    with pytest.raises(errors.GaprockError):
        entry_versions.allowed_versions(config_, template, "r1")


def test_evidence_is_summed_over_sources_and_counted_once() -> None:
    first, second = evidence.EvidenceBook("a"), evidence.EvidenceBook("b")
    for number in range(5):
        first.count("v", number == 0, True)
        second.count("v", False, False)
    for _ in range(3):
        second.merge(first.since(0)[1])
        first.merge(second.since(0)[1])
    assert first.totals("v") == second.totals("v") == (10, 1, 5)


def test_placement_loads_what_a_planned_start_needs_and_unloads_what_is_spare() -> None:
    planned = policy_placement.Planned()
    states = [
        policy_api.EndpointState(name, frozenset({"old@1"}), 0, 8) for name in "abcd"
    ]
    demands = [policy_api.Demand("old@1", 1.0), policy_api.Demand("new@1", 9.0)]
    board = policy_placement.Board(states)
    for _ in range(10):
        moves = planned.plan(
            [
                policy_api.EndpointState(e, frozenset(v), board.free[e], 8)
                for e, v in board.versions.items()
            ],
            demands,
        )
        assert len(moves) <= policy_placement.MAX_MOVES
        for move in moves:
            board.apply(move)
    assert len(board.holders("new@1")) >= 2
    assert len(board.holders("old@1")) >= 1
    assert min(board.free.values()) >= 0


def test_a_planned_start_counts_from_ten_minutes_before() -> None:
    config_ = config.Config()
    template = site.template("a@1", planned_start=NOW + 100, expected_rate=50.0)
    config_.apply(testconfig.delta_of(1, 0, site.workspace(), template))
    assert entry_duties.expected_demands(config_, NOW) == [
        policy_api.Demand("a@1", 50.0)
    ]
    assert entry_duties.expected_demands(config_, NOW - 9e5) == [
        policy_api.Demand("a@1", 0.0)
    ]


def test_every_policy_is_found_by_its_name() -> None:
    plugin.load_all()
    assert "two-choices" in plugin.names(policy_api.Routing)
    assert "adaptive" in plugin.names(policy_api.Admission)
    assert "learned" in plugin.names(policy_api.Cascade)
    assert "sequential" in plugin.names(policy_api.Guard)
    assert "planned" in plugin.names(policy_api.Placement)
