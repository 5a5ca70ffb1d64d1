"""Tests of a stream that breaks off and is to go on at another endpoint."""

import time
import typing

import pytest

from gaprock import (
    endpoint_state,
    errorcodes,
    gateway_attempt,
    gateway_call,
    gateway_relay,
)
from gaprock.test import callcase, gatewaysite
from gaprock.test.fakes import backend


class FullEndpoints:
    """Sends of a gateway whose endpoints take no more; nothing is ever sent.

    :param left: the repeats that the retry budget allows.
    """

    def __init__(self, left: int) -> None:
        self.left = left

    def may_repeat(self, call: gateway_call.Call) -> bool:
        return self.left > 0

    def may_move(
        self, call: gateway_call.Call, endpoint: endpoint_state.Endpoint
    ) -> bool:
        return False

    def charge_repeat(self, call: gateway_call.Call, reason: str) -> bool:
        self.left -= 1
        return self.left >= 0

    def send(self, *args: object) -> gateway_attempt.Attempt:
        raise gateway_call.CallError(errorcodes.OUTCOME_UNKNOWN, "take no more")

    def unknown(self, call: gateway_call.Call, detail: str) -> gateway_call.CallError:
        return gateway_call.CallError(errorcodes.OUTCOME_UNKNOWN, detail)


def test_a_stream_that_no_endpoint_can_resume_leaves_the_retry_budget_to_others(
    site: gatewaysite.GatewaySite,
) -> None:
    # Guards against charging repeats that are never sent, in a loop without a pause.
    sends = FullEndpoints(20)
    relay = site.gateway.server._relay
    reply = typing.cast(gateway_call.Reply, None)
    call = callcase.call(1)
    interrupted = gateway_relay._Interrupted("silent", 1)
    assert relay._resume(call, reply, sends, "small", interrupted) is None
    assert sends.left == 20


def repeats_charged(site: gatewaysite.GatewaySite) -> int:
    """Return the number of repeats that count against the retry budget."""
    return site.gateway.budget.state("llm").spent


def break_off_once(
    site: gatewaysite.GatewaySite, then: typing.Callable[[str], None]
) -> None:
    """Add two endpoints, of which the first to get a stream breaks it off.

    :param then: called before that with the name of the other endpoint.
    """
    fakes = {name: site.add(name, "llm") for name in ("a", "b")}
    has_broken: list[str] = []

    def script(fake: backend.Backend, *args: typing.Any) -> None:
        if has_broken:
            backend.stream_to(5)(fake, *args)
            return
        has_broken.append(fake.name)
        then("b" if fake.name == "a" else "a")
        backend.stream_to(2, whole=False)(fake, *args)

    for fake in fakes.values():
        fake.default_script = script


def test_a_stream_is_resumed_by_an_endpoint_that_is_usable_a_moment_later(
    site: gatewaysite.GatewaySite,
) -> None:
    # Guards against a cut at once, and against a charge for each look. A single look
    # takes 0.3 s here, and the endpoint is set aside for 0.5 s.
    directory_ = site.gateway.directory
    by_name: dict[str, endpoint_state.Endpoint] = {}

    def set_aside(name: str) -> None:
        directory_.eject(by_name[name], "test")

    routes = [gatewaysite.route("/gen/", "streaming", "llm", Sizes=gatewaysite.MODELS)]
    routes[0] |= {"CanResume": True, "GoalMs": 1500}
    site.store.put("op", "config", gatewaysite.config(2, Routes=routes))
    gatewaysite.wait_until(lambda: site.in_force == 2, "configuration 2")
    break_off_once(site, set_aside)
    by_name.update({e.name: e for e in directory_.usable("llm", set())})
    answer = site.generate()
    assert answer.body == b"".join(backend.event(n) for n in range(1, 6))
    assert answer.whole
    assert repeats_charged(site) == 1


def test_a_resumption_that_never_left_is_not_charged(
    site: gatewaysite.GatewaySite,
) -> None:
    break_off_once(site, lambda name: site.backends[name].stop())
    assert not site.generate().whole
    assert repeats_charged(site) == 0


def pausing_stream(pause_s: float) -> backend.Script:
    """Stream five events, with a pause after the second one."""

    def script(fake: backend.Backend, *args: typing.Any) -> None:
        seen, conn = args
        backend.stream_to(2, whole=False)(fake, seen, conn)
        time.sleep(pause_s)
        rest = (backend.chunk(backend.event(n)) for n in range(3, 6))
        conn.sendall(b"".join(rest) + b"0\r\n\r\n")

    return script


@pytest.mark.parametrize("backs_off", [False, True])
def test_a_silent_stream_is_not_cut_while_no_other_endpoint_takes_it(
    backs_off: bool, site: gatewaysite.GatewaySite
) -> None:
    # Guards against a cut of what would go on: the pause is above the limit, 0.75 s.
    site.add("a", "llm").default_script = pausing_stream(1.2)
    if backs_off:
        site.add("b", "llm")
        directory_ = site.gateway.directory
        (b,) = [e for e in directory_.usable("llm", set()) if e.name == "b"]
        now = site.gateway.clock.now()
        directory_.notices.backoffs.note_refusal(b, 5.0, now)
    answer = site.generate()
    assert answer.whole
    assert answer.body == b"".join(backend.event(n) for n in range(1, 6))
    assert repeats_charged(site) == 0


def test_a_silent_stream_is_not_cut_when_another_endpoint_refuses_it(
    site: gatewaysite.GatewaySite,
) -> None:
    # Guards against leaving an endpoint before another one has accepted the rest.
    a = site.add("a", "llm")
    a.default_script = pausing_stream(2.0)
    pending = gatewaysite.PendingCall(site.generate)
    gatewaysite.wait_until(lambda: bool(a.seen), "sent to a")
    b = site.add("b", "llm")
    b.default_script = backend.refuse()
    answer = pending.get()
    assert b.seen and answer.whole
    assert answer.body == b"".join(backend.event(n) for n in range(1, 6))


def test_a_silent_stream_counts_as_broken_while_another_endpoint_is_asked(
    site: gatewaysite.GatewaySite,
) -> None:
    # Guards the last healthy endpoint against a request that silences endpoints.
    begun = site.gateway.server._gate._sends
    counts: list[int] = []

    def refuse(fake: backend.Backend, *args: typing.Any) -> None:
        counts.append(begun.count_broken(sent[0].fingerprint))
        backend.refuse()(fake, *args)

    a = site.add("a", "llm")
    a.default_script = pausing_stream(2.0)
    pending = gatewaysite.PendingCall(site.generate)
    gatewaysite.wait_until(lambda: bool(a.seen), "sent to a")
    sent = [send.marks for send in begun._by_attempt.values()]
    site.add("b", "llm").default_script = refuse
    pending.get()
    assert counts and set(counts) == {1}
    assert begun.count_broken(sent[0].fingerprint) == 0


def test_a_silent_stream_goes_on_at_an_endpoint_that_takes_it(
    site: gatewaysite.GatewaySite,
) -> None:
    fakes = [site.add(name, "llm") for name in ("a", "b")]
    has_paused: list[str] = []

    def script(fake: backend.Backend, *args: typing.Any) -> None:
        if not has_paused:
            has_paused.append(fake.name)
            pausing_stream(10.0)(fake, *args)
        else:
            backend.stream_to(5)(fake, *args)

    for fake in fakes:
        fake.default_script = script
    assert site.generate().whole
    assert repeats_charged(site) == 1
