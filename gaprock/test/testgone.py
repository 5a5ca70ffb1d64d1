"""Tests of services of which all endpoints, or all but one, are gone."""

import random
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from gaprock import (
    clock,
    directory,
    errorcodes,
    gateway_attempt,
    gateway_call,
    gateway_choose,
    gateway_find,
    gateway_quarantine,
    gateway_serve,
    outages,
    paced_queue,
    quarantine,
    rate_pacing,
    retry_budget,
    routes,
    suspicion,
)
from gaprock.test import callcase, gatewaysite

# -- End to end --


@pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x"])
def test_a_service_that_is_wholly_gone_is_refused_as_not_run(target: str) -> None:
    with gatewaysite.GatewaySite() as site:
        for number in range(3):
            site.add(f"e{number}", "app").stop()
        for _ in range(3):
            answer = site.call(target)
            assert answer.status == 503
            assert f'"code": {errorcodes.NO_ENDPOINT.number}'.encode() in answer.body
            assert float(answer.headers["retry-after"]) > 0


def test_a_service_that_is_back_is_served_again() -> None:
    with gatewaysite.GatewaySite() as site:
        gone = site.add("e0", "app")
        gone.stop()
        assert site.call("/safe/x").status == 503
        site.add("e1", "app")
        assert site.call("/safe/x").status == 200


# -- Final error --


class Sends:
    """A sender whose sends end as scripted."""

    def __init__(self, ends: list[str]) -> None:
        self.ends = ends
        self.may_have_run = False
        self.stop_at = clock.NEVER

    def send(self, call: gateway_call.Call, *more: object) -> typing.NoReturn:
        end = self.ends.pop(0) if self.ends else "refused"
        if end == "unsent":
            raise gateway_attempt.NotRun("unreachable")
        charge, call.charge = call.charge, None
        assert (charge is not None) == (call.sends > 0)
        call.sends += 1
        if end == "refused":
            raise gateway_attempt.NotRun("refused with status 503")
        call.has_run = self.may_have_run = True
        raise gateway_attempt.Failed("broke off")


class Turns:
    """All endpoints back off until a time; without one, sends are unlimited."""

    def __init__(self, next_at: float | None) -> None:
        self._next_at = next_at

    def turn(self, call: gateway_call.Call) -> rate_pacing.Turn | None:
        if self._next_at is None:
            return None
        return rate_pacing.Turn(self._next_at, 4.0)


class Finds(gateway_find.Finder):
    """Finds an endpoint a given number of times, then refuses as in production."""

    def __init__(
        self, time: clock.ManualClock, finds: int, next_at: float | None
    ) -> None:
        self._time = self._clock = time
        self._finds = finds
        self._chooser = typing.cast(gateway_choose.Chooser, Turns(next_at))
        self._queue = paced_queue.PacedQueue()

    def find(self, call: gateway_call.Call, *more: object) -> typing.Any:
        self._time.advance(0.01)
        self._finds -= 1
        if self._finds < 0:
            raise self.refused(call, "none")
        return None, None

    def overloaded(self, detail: str, caller_s: float) -> gateway_call.CallError:
        return gateway_call.CallError(errorcodes.OVERLOADED, detail, 0.1)


class Gate:
    """A quarantine that holds no request."""

    def held_s(self, call: gateway_call.Call) -> float:
        return 0.0


class Counts:
    """Metrics that count nothing."""

    def __getattr__(self, name: str) -> typing.Any:
        return self

    def labels(self, *names: str) -> "Counts":
        return self

    def inc(self) -> None:
        pass


@hypothesis.given(
    ends=st.lists(st.sampled_from(["unsent", "refused", "failed"]), max_size=8),
    finds=st.integers(0, 8),
    is_safe=st.booleans(),
    next_at=st.one_of(st.none(), st.floats(90.0, 110.0)),
)
def test_what_never_ran_ends_as_not_run_and_nothing_else_does(
    ends: list[str], finds: int, is_safe: bool, next_at: float | None
) -> None:
    """Only a request never sent, or refused by all endpoints, may be retried."""
    time = clock.ManualClock(100.0)
    server = object.__new__(gateway_serve.Server)
    sends = Sends(list(ends))
    budget = retry_budget.RetryBudget(1.0, 10.0, time)
    budget.hold(callcase.SERVICE, [retry_budget.HeldPart(50, 0.0, 1e9)])
    parts: dict[str, object] = {
        "_clock": time,
        "_finder": Finds(time, finds, next_at),
        "_sender": sends,
        "_gate": Gate(),
        "_budget": budget,
        "_started_at": time.now(),
        "_metrics": Counts(),
    }
    for name, part in parts.items():
        setattr(server, name, part)
    kind = routes.RouteKind.SAFE if is_safe else routes.RouteKind.UNSAFE
    call = callcase.call(1, kind=kind)
    with pytest.raises(gateway_call.CallError) as caught:
        server._run_whole(call, typing.cast(gateway_call.Reply, None))
    code = caught.value.code
    is_not_run = code.category is errorcodes.Category.NOT_RUN
    assert is_not_run == (not sends.may_have_run)
    assert (code.http_status == 503) == is_not_run


# -- The last endpoint --


@pytest.mark.parametrize(
    "ends, left, count, is_spared",
    [
        (2, 1, 3, True),
        (2, 0, 3, True),
        (1, 1, 3, False),
        (2, 2, 3, False),
        (2, 1, 1, False),
    ],
)
def test_a_suspected_request_does_not_get_the_last_endpoint(
    ends: int, left: int, count: int, is_spared: bool
) -> None:
    """A service with one endpoint is exempt, since nobody would be served there."""
    time = clock.ManualClock(100.0)
    book = quarantine.Quarantine(time)
    gate = gateway_quarantine.Gate(time, directory.Directory(time, 2.0), book)
    call = callcase.call(1)
    for number in range(ends):
        book.record_crash(call.fingerprint, f"life-{number}", suspicion.BEGUN_WEIGHT)
    assert gate.must_reserve_last(call, lambda one: (left, count)) is is_spared
    assert (
        not gate.must_reserve_last(callcase.call(1, "other"), lambda one: (1, 3))
        or ends
    )


# -- Retry time --


def test_callers_come_back_when_such_an_absence_is_usually_over() -> None:
    book = outages.Outages(random.Random(1))
    for gone_at in (100.0, 200.0):
        book.record_outage("s", gone_at)
        book.record_recovery("s", gone_at + 3.0)
    book.record_outage("s", 300.0)
    first = [book.retry_after_s("s", 300.0, 60.0) for _ in range(20)]
    later = [book.retry_after_s("s", 302.0, 60.0) for _ in range(20)]
    assert all(3.0 <= wait <= 4.5 for wait in first)
    assert all(1.0 <= wait <= 2.5 for wait in later)
    assert len(set(first)) > 10


def test_nobody_is_told_to_stay_away_for_longer_than_callers_heed() -> None:
    book = outages.Outages()
    book.record_outage("s", 100.0)
    for caller_s in (0.1, 1.0, 4.0):
        longest = max(outages.SHORTEST_S, outages.CALLER_SHARE * caller_s)
        assert book.retry_after_s("s", 100.0, caller_s) <= longest
