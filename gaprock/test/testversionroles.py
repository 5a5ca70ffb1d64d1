"""What each version of a service counts as, whatever orders, outcomes and rows come."""

import typing

import pytest

from gaprock import (
    clock,
    gateway_api,
    rollout_latency,
    rollout_state,
    rollouts,
    version_roles,
    version_sends,
)
from gaprock.test import gatewaysite, rolloutcase

OUTCOME_KEY: typing.Final = "rollout/app"


def test_sends_are_logged_by_what_their_version_counted_as(
    caplog: pytest.LogCaptureFixture,
) -> None:
    sends = version_sends.VersionSends()
    with caplog.at_level("INFO"):
        for _ in range(2):
            sends.record("llm", "v1", "other")
            sends.log()
        assert "version-sends" not in caplog.text
        sends.record("llm", "v1", "ordered")
        sends.record("llm", "v2", "withdrawn")
        sends.log()
    assert "v1=ordered:1 v2=withdrawn:1" in caplog.text
    assert sends.totals() == {
        ("llm", "other"): 2,
        ("llm", "ordered"): 1,
        ("llm", "withdrawn"): 1,
    }


class VersionSite(gatewaysite.GatewaySite):
    """A gateway before a service ``app`` with an endpoint for each version."""

    def __enter__(self) -> typing.Self:
        super().__enter__()
        self.add("v1", "app")
        gatewaysite.wait_until(
            lambda: self.gateway.rollouts.roles.stable("app") == "v1", "v1 is stable"
        )
        return self

    def add_version(self, version: str) -> None:
        """Start the endpoint of a version."""
        super().add(version, "app", Version=version)

    def order(self, version: str) -> None:
        """Order a rollout, and wait until the gateway knows of it."""
        row = {"Service": "app", "ToVersion": version, "FinishByS": 4.0}
        self.store.put("op", OUTCOME_KEY, row)
        gatewaysite.wait_until(
            lambda: version in [r.order.to_version for r in self.rollouts()],
            f"{version} is ordered",
        )

    def rollouts(self) -> list[rollout_state.Rollout]:
        """Return the rollouts that the gateway knows."""
        return self.gateway.rollouts.all()

    def wait_for(self, version: str, state: str) -> None:
        """Wait until an outcome is written."""
        wanted = {"ToVersion": version, "State": state}
        gatewaysite.wait_until(
            lambda: self.store.value("status", OUTCOME_KEY) == wanted,
            f"{version} is {state}",
        )

    def roll_back(self) -> None:
        """Halt the rollout under way, and wait for its outcome."""
        (rollout,) = self.rollouts()
        self.gateway.rollouts.halt("app", rollout.revision, "test")
        self.wait_for(rollout.order.to_version, "rolled_back")

    def call_often(self) -> list[int]:
        """Send some requests, and return the statuses of their answers."""
        return [self.call("/safe/x").status for _ in range(20)]

    def count(self, version: str) -> int:
        """Return the number of requests that a version has got."""
        return len(self.backends[version].seen)


@pytest.mark.parametrize("is_rolled_back", [True, False])
def test_an_order_back_to_the_stable_version_gives_the_withdrawn_one_nothing(
    is_rolled_back: bool,
) -> None:
    with VersionSite() as site:
        site.add_version("v2")
        site.order("v2")
        if is_rolled_back:
            site.roll_back()
        site.order("v1")
        before = site.count("v2")
        assert site.call_often() == [200] * 20
        assert site.count("v2") == before
        site.wait_for("v1", "completed")


def test_an_order_for_the_version_that_runs_refuses_no_request() -> None:
    with VersionSite() as site:
        site.order("v1")
        assert site.call_often() == [200] * 20
        site.wait_for("v1", "completed")


@pytest.mark.parametrize("is_running", [True, False])
def test_a_rolled_back_version_gets_nothing_while_the_stable_one_is_gone_briefly(
    is_running: bool,
) -> None:
    with VersionSite() as site:
        site.add_version("v2")
        site.order("v2")
        site.roll_back()
        site.order("v3")
        if not is_running:
            site.roll_back()
        assert site.call("/safe/x").status == 200
        before = site.count("v2")
        site.store.remove("servers", "v1")
        gatewaysite.wait_until(lambda: "v1" not in site.known("app"), "v1 is gone")
        site.start_call("/safe/x", X_Deadline_Ms="300").get()
        assert site.count("v2") == before


def test_a_version_without_an_endpoint_is_not_completed_for_want_of_traffic() -> None:
    with VersionSite() as site:
        site.order("v2")
        site.wait_for("v2", "rolled_back")


@pytest.mark.parametrize("is_named", [True, False])
def test_a_canary_without_an_endpoint_refuses_no_request(is_named: bool) -> None:
    with VersionSite() as site:
        site.order("v2")
        (rollout,) = site.rollouts()
        now = site.gateway.clock.now
        gatewaysite.wait_until(lambda: not rollout.awaits_peers(now()), "it is known")
        for number in range(40):
            session = f"s{number}" if is_named else ""
            assert site.call("/safe/x", Session=session).status == 200


@pytest.fixture
def went_back() -> rollouts.Rollouts:
    """Rollouts in which v2 was completed after v1, and v1 is ordered again."""
    book = rolloutcase.make_rollouts(clock.ManualClock(100.0))
    done = rollout_state.State.COMPLETED
    for number, version in enumerate(("v1", "v2", "v1"), 1):
        order = gateway_api.RolloutOrder("llm", version, 20.0)
        book.add_order(order, 10 * number, 100.0)
        if number < 3:
            outcome = rollout_state.Outcome(version, done, 10 * number + 1)
            book.apply_outcome("llm", outcome)
    return book


def judge(book: rollouts.Rollouts, version: str, bad: int, good: int) -> None:
    for number in range(bad + good):
        answer = rollout_latency.VersionSample(number < bad, 0.1)
        book.judge_answer("llm", version, "r", "m", answer)
    book._clock.advance(1.0)  # type: ignore[attr-defined]
    book.judge_all()


def test_going_back_from_a_completed_version_that_fails_takes_no_canary(
    went_back: rollouts.Rollouts,
) -> None:
    judge(went_back, "v2", 35, 65)
    (rollout,) = went_back.all()
    assert went_back.share(rollout) < 1.0
    judge(went_back, "v1", 0, 5)
    assert went_back.roles.stable("llm") == "v1"
    assert went_back.share(rollout) == 1.0


@pytest.mark.parametrize("bad_before,bad_now", [(3, 0), (35, 2), (0, 0), (20, 5)])
def test_going_back_without_need_takes_a_canary(
    went_back: rollouts.Rollouts, bad_before: int, bad_now: int
) -> None:
    judge(went_back, "v2", bad_before, 100 - bad_before)
    judge(went_back, "v1", bad_now, 5 - bad_now)
    (rollout,) = went_back.all()
    assert went_back.roles.stable("llm") == "v2"
    assert went_back.share(rollout) < 1.0


@pytest.mark.parametrize("roles", [(), ("v2",)])
def test_no_version_but_the_stable_one_gets_requests_without_an_order(
    roles: tuple[str, ...],
) -> None:
    book = rolloutcase.make_rollouts(clock.ManualClock(100.0))
    since = version_roles.BEFORE_ORDERS
    stored = [version_roles.VersionRole("v1", version_roles.Role.STABLE, since)]
    withdrawn = version_roles.Role.WITHDRAWN
    stored += [version_roles.VersionRole(one, withdrawn, (0, 7)) for one in roles]
    book.record_stored_roles("llm", stored)
    assert book.fits("llm", "v1", "session")
    assert not book.fits("llm", "v2", "session")
