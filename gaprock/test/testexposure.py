"""A bad version never gets more sends than its rollout allows; a good one completes."""

import typing

import hypothesis
import pytest
from hypothesis import strategies as st

from gaprock import clock, rollout_state
from gaprock.test import exposurecase, rolloutcase

FINISH_S: typing.Final = 24.0
ALL: typing.Final = frozenset(range(4))

BAD: typing.Final = st.builds(
    exposurecase.Badness,
    rate=st.sampled_from([0.1, 0.2, 0.35, 0.5, 1.0]),
    since_s=st.sampled_from([0.0, 0.0, 8.0, 15.0, 18.0, 21.0, 22.5]),
    above=st.sampled_from([0.0, 0.0, 0.5, 0.9]),
)
TROUBLES: typing.Final = st.lists(
    st.builds(
        exposurecase.Trouble,
        kind=st.sampled_from(["kill", "kill", "cut", "away", "burst"]),
        at_s=st.integers(0, 115).map(lambda tenths: 0.2 * tenths),
        for_s=st.sampled_from([0.5, 2.0, 5.0, 12.0]),
        gateways=st.sampled_from([frozenset({0}), frozenset({0, 1}), ALL]),
    ),
    max_size=4,
)


@hypothesis.settings(derandomize=True, max_examples=120, deadline=None)
@hypothesis.given(
    seed=st.integers(0, 2**32),
    gateways=st.integers(1, 4),
    rate=st.sampled_from([2.0, 8.0, 20.0, 50.0]),
    badness=BAD,
    troubles=TROUBLES,
    beat_lag_s=st.sampled_from([0.1, 0.3, 2.0]),
    named=st.sampled_from([0.0, 0.5, 1.0]),
    mixed=st.sampled_from([0.1, 1.0]),
)
def test_no_bad_version_gets_more_sends_than_its_rollout_allows(
    seed: int,
    gateways: int,
    rate: float,
    badness: exposurecase.Badness,
    troubles: list[exposurecase.Trouble],
    beat_lag_s: float,
    named: float,
    mixed: float,
) -> None:
    play = exposurecase.Play(
        seed, gateways, rate, FINISH_S, badness, troubles, beat_lag_s, named, mixed
    )
    play.run()
    assert play.exposed <= play.allowed


@pytest.mark.parametrize("rate", [8.0, 20.0, 50.0])
def test_a_version_that_fails_only_under_load_stays_within_its_allowance(
    rate: float,
) -> None:
    badness = exposurecase.Badness(0.5, above=0.9)
    play = exposurecase.Play(7, 3, rate, FINISH_S, badness)
    play.run()
    assert play.exposed <= play.allowed


@pytest.mark.parametrize("at_s", [9.0, 16.0, 19.0, 21.0])
def test_a_halt_that_all_forgot_is_not_followed_by_a_completion(
    at_s: float,
) -> None:
    badness = exposurecase.Badness(0.35)
    away = exposurecase.Trouble("away", 3.0, at_s, ALL)
    kill = exposurecase.Trouble("kill", at_s, 0.0, ALL)
    play = exposurecase.Play(7, 3, 20.0, FINISH_S, badness, [away, kill])
    play.run()
    assert play.exposed <= play.allowed and not play.is_completed


def test_a_version_whose_bad_answers_were_forgotten_is_rarely_completed() -> None:
    completed = 0
    for seed in range(20):
        troubles = [
            exposurecase.Trouble("away", 6.0, 15.0, ALL),
            exposurecase.Trouble("kill", 19.0, 0.0, ALL),
        ]
        badness = exposurecase.Badness(0.35)
        play = exposurecase.Play(seed, 3, 8.0, FINISH_S, badness, troubles)
        play.run()
        assert play.exposed <= play.allowed
        completed += play.is_completed
    assert completed <= 2


@pytest.mark.parametrize("moved", [False, True])
def test_a_process_that_starts_after_the_order_does_not_use_slack_again(
    moved: bool,
) -> None:
    """Four processes follow each other, the first one from before the order."""
    time = clock.ManualClock(100.0)
    exposed = 0
    for number in range(4):
        book = rolloutcase.make_rollouts(time)
        rollout = book.add_order(rolloutcase.order(), 7, 100.0, is_new=not number)
        if number:
            start = rollout_state.StoredStart(100.0, moved)
            book.record_stored_start("llm", 7, start)
        time.advance(0.5)
        for request in range(400):
            if moved and not number and request == 200:
                rollout.growth.move(time.now())
            assignment = book.assignment("llm", f"s{number}/{request}")
            if assignment is not None and assignment.on_new:
                book.record_send("llm", "v2")
                exposed += 1
    assert 0 < exposed <= 0.15 * exposed + rolloutcase.SLACK


@pytest.mark.parametrize("rate", [4.0, 8.0, 20.0, 50.0])
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("killed", [None, 5.0, 11.0, 17.0])
def test_a_good_version_completes_in_time_and_no_session_goes_back(
    rate: float, seed: int, killed: float | None
) -> None:
    troubles = []
    if killed is not None:
        one = frozenset({0})
        troubles = [exposurecase.Trouble("kill", killed, 0.0, one)]
    play = exposurecase.Play(seed, 3, rate, FINISH_S, None, troubles)
    play.run()
    assert play.is_completed
    assert play.moved_back <= 3 and play.moved_early <= 3
