"""Refused callers retry in order, at the rate at which slots become free."""

import heapq
import random
import typing

import hypothesis
import pytest
from hypothesis import strategies as st

from gaprock import retry_schedule

CALLER_S: typing.Final = 20.0


def test_retries_are_spaced_at_the_rate_of_ended_requests() -> None:
    schedule = retry_schedule.RetrySchedule()
    for number in range(20):
        schedule.record_end(100.0 + 0.2 * number)
    waits = [schedule.next_s(104.0, CALLER_S) for _ in range(10)]
    assert waits[0] == pytest.approx(retry_schedule.MIN_RETRY_S)
    steps = {round(b - a, 6) for a, b in zip(waits, waits[1:])}
    assert steps == {retry_schedule.RATE_WINDOW_S / 20}
    # A caller that is refused later retries after them; an old schedule has no effect.
    pace_s = retry_schedule.RATE_WINDOW_S / 17
    assert schedule.next_s(104.5, CALLER_S) == pytest.approx(waits[-1] - 0.5 + pace_s)
    assert schedule.next_s(150.0, CALLER_S) == pytest.approx(retry_schedule.MIN_RETRY_S)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.lists(st.tuples(st.floats(0.0, 0.5), st.booleans(), st.floats(0.0, 30.0)))
)
def test_no_retry_delay_is_longer_than_callers_obey(
    steps: list[tuple[float, bool, float]],
) -> None:
    schedule, now = retry_schedule.RetrySchedule(), 10.0
    for passed_s, ends, caller_s in steps:
        now += passed_s
        if ends:
            schedule.record_end(now)
            continue
        wait_s = schedule.next_s(now, caller_s)
        longest_s = retry_schedule.CALLER_SHARE * caller_s
        assert wait_s >= retry_schedule.MIN_RETRY_S - 1e-9
        assert wait_s <= max(retry_schedule.MIN_RETRY_S, longest_s) + 1e-9


def play(wait_s: typing.Callable[[float], float], ended: typing.Any) -> float:
    """Simulate 120 callers that arrive at once at 40 slots; each retries at most once.

    :param wait_s: returns the retry delay of a refused caller.
    :param ended: called with the time of each ended request.
    :returns: the share of callers that were served.
    """
    rng = random.Random(7)
    open_calls, served, count = 0, 0, 120
    events: list[tuple[float, int, str]] = []
    for number in range(count):
        heapq.heappush(events, (rng.uniform(0.0, 0.3), number, "first"))
    # Earlier requests end meanwhile.
    for number in range(40):
        heapq.heappush(events, (rng.uniform(0.0, 2.0), number, "end"))
        open_calls += 1
    while events:
        now, number, what = heapq.heappop(events)
        if what == "end":
            open_calls -= 1
            ended(now)
        elif open_calls < 40:
            open_calls += 1
            served += 1
            heapq.heappush(events, (now + rng.uniform(0.5, 2.0), number, "end"))
        elif what == "first":
            heapq.heappush(events, (now + wait_s(now), number, "second"))
    return served / count


def test_more_callers_are_served_than_with_random_retry_times() -> None:
    """Share of callers served: 0.23 with random retry times, 0.64 with the schedule."""
    schedule = retry_schedule.RetrySchedule()
    for number in range(20):
        schedule.record_end(-4.0 + 0.2 * number)
    rng = random.Random(3)
    before = play(lambda now: rng.uniform(0.15, 0.6), lambda now: None)
    after = play(lambda now: schedule.next_s(now, CALLER_S), schedule.record_end)
    assert before < 0.25
    assert after > 0.64
