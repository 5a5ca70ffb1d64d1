"""Versions that answer several times slower are not completed; good ones are."""

import typing

import pytest

from gaprock.test import exposurecase

FINISH_S: typing.Final = 15.0
PLAYS: typing.Final = 8


def completed(rate: float, badness: exposurecase.Badness | None) -> int:
    """Return how many plays of a rollout completed its version."""
    count = 0
    for seed in range(PLAYS):
        play = exposurecase.Play(seed, 3, rate, FINISH_S, badness, endpoints=3)
        play.run()
        assert play.exposed <= play.allowed
        count += play.is_completed
    return count


@pytest.mark.parametrize("rate", [3.0, 7.6, 20.0, 80.0])
@pytest.mark.parametrize("share", [0.3, 0.5, 1.0])
@pytest.mark.parametrize("slow_x", [2.5, 4.0, 8.0])
def test_a_version_that_is_several_times_slower_is_not_completed(
    rate: float, share: float, slow_x: float
) -> None:
    assert not completed(rate, exposurecase.Badness(share, slow_x=slow_x))


@pytest.mark.parametrize("rate", [7.6, 20.0, 80.0, 200.0])
def test_a_good_version_of_a_busy_service_is_completed_in_a_short_rollout(
    rate: float,
) -> None:
    assert completed(rate, None) == PLAYS


@pytest.mark.parametrize("rate", [20.0, 80.0])
def test_a_good_version_with_one_slow_endpoint_is_not_halted(rate: float) -> None:
    halted = 0
    for seed in range(PLAYS):
        play = exposurecase.Play(
            seed, 3, rate, FINISH_S, None, endpoints=9, slow_endpoints=1, slow_x=6.0
        )
        play.run()
        halted += any(r.halted for m in play.members for r in m.rollouts.all())
    assert not halted
