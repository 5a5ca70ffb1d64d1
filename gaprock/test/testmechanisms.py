"""Mechanisms are switched off by name: names are checked, and switches have effect."""

import random

import pytest

from gaprock import (
    clock,
    directory,
    endpoint_state,
    errors,
    gateway_program,
    mechanisms,
    policy_models,
    policy_routing,
    prefix_cache,
)
from gaprock.test import testfollowing, testrouting


@pytest.fixture(autouse=True)
def all_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Switch all mechanisms on for each test, and restore them after it."""
    for mechanism in mechanisms.by_name.values():
        monkeypatch.setattr(mechanism, "on", True)


def test_an_unknown_name_is_refused_and_nothing_is_switched() -> None:
    with pytest.raises(errors.GaprockError, match="no mechanism nothing"):
        mechanisms.switch_off(["hall", "nothing"])
    assert mechanisms.HALL.on


def test_the_program_refuses_an_unknown_name(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(gateway_program, "load_options", lambda path: None)
    argv = ["--settings", "x", "--without", "nothing"]
    assert gateway_program.main(argv) == gateway_program.EXIT_SETTINGS
    assert "no mechanism nothing" in capsys.readouterr().err


def test_without_the_hall_the_emptier_endpoint_goes_first() -> None:
    policy = policy_routing.LeastFilled()
    near = testrouting.candidate("near", 4, True)
    far = testrouting.candidate("far", 3, False)
    rng = random.Random(1)
    assert policy.choose([near, far], rng) is near
    mechanisms.switch_off(["hall"])
    assert policy.choose([near, far], rng) is far


def test_without_the_middle_models_the_largest_is_asked() -> None:
    policy = policy_models.Confidence()
    mechanisms.switch_off(["middle-models"])
    assert policy.escalate(testrouting.ask_three(), "small", 45) == "large"


def test_without_strain_a_slow_model_is_asked_as_well() -> None:
    policy = policy_models.Confidence()
    assert policy.escalate(testrouting.ask(0.8), "small", 5) is None
    mechanisms.switch_off(["strain"])
    assert policy.escalate(testrouting.ask(0.8), "small", 5) == "large"


def test_without_told_proofs_a_peers_counts_nothing() -> None:
    world = testfollowing.Following()
    world.change({"a": True})
    world.ask(0)
    world.ask(1)
    verified_at = world.members[1].fresh.verified_at
    mechanisms.switch_off(["told-proofs"])
    world.time_passes()
    world.ask(0)
    world.beats_at_once(0)
    assert world.members[1].fresh.verified_at == verified_at
    mechanisms.TOLD_PROOFS.on = True
    world.beats_at_once(0)
    assert world.members[1].fresh.verified_at > verified_at


def test_without_told_loads_and_prompts_only_our_own_count() -> None:
    book = directory.Directory(clock.ManualClock(100.0), 2.0)
    book.replace({"a": testrouting.row()})
    book.set_memory({"app": 1000})
    endpoint = book.usable("app", set())[0]
    hashes = prefix_cache.prefix_hashes("m", [("a", 10)])
    mechanisms.switch_off(["told-loads", "told-prompts"])
    book.apply_peer_loads("other", {"a": endpoint_state.Load(2, 300.0)})
    book.apply_peer_prompts([("a", hashes)])
    assert (endpoint.load, endpoint.backlog.outstanding) == (0, 0.0)
    assert endpoint.cache.cached(hashes) == 0
