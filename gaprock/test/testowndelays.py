"""Delays of a gateway that look like endpoints that do not answer."""

import socket
import time
import typing

import pytest

from gaprock import (
    clock,
    directory,
    endpoint_state,
    gateway_api,
    gateway_attempt,
    gateway_judge,
    gateway_metrics,
    gateway_quarantine,
    gateway_sender,
    http_exchange,
    options,
    own_delays,
    quarantine,
    retry_budget,
    rollouts,
)
from gaprock.test import callcase


class Site:
    """A sender with endpoints whose connections end as the test decides."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        is_on: bool = True,
        link_mbps: float = 5.0,
    ) -> None:
        self.time = clock.ManualClock(100.0)
        self.directory = directory.Directory(self.time, 2.0)
        rows = {
            f"e{n}": gateway_api.EndpointRow("llm", "10.0.0.1", n, "h", "v", 4, False)
            for n in range(1, 9)
        }
        self.directory.replace(rows)
        self.delays = own_delays.OwnDelays(self.time.now(), is_on, link_mbps)
        judge = gateway_judge.AnswerJudge(
            self.time, self.directory, typing.cast(rollouts.Rollouts, None)
        )
        gate = gateway_quarantine.Gate(
            self.time, self.directory, quarantine.Quarantine(self.time)
        )
        self.sender = gateway_sender.Sender(
            self.time,
            typing.cast(gateway_api.Dialect, None),
            self.directory,
            gateway_metrics.GatewayMetrics(),
            judge,
            gate,
            retry_budget.RetryBudget(0.5, 10.0, self.time),
            self.delays,
        )
        self.error: http_exchange.Unreachable | None = None
        self.takes_s = 0.0
        monkeypatch.setattr(http_exchange.Exchange, "connect", self._connect)

    def _connect(self, deadline: float) -> None:
        self.time.advance(self.takes_s)
        if self.error is not None:
            raise self.error

    def endpoint(self, name: str) -> endpoint_state.Endpoint:
        return self.directory._endpoints[name]

    def connect(self, name: str, error: http_exchange.Unreachable | None) -> bool:
        """Connect to an endpoint; return whether it was ejected for that."""
        self.error = error
        endpoint = self.endpoint(name)
        call = callcase.call(1)
        call.deadline = self.time.now() + 10.0
        exchange = http_exchange.Exchange(
            endpoint.address, http_exchange.Caller(None), self.time
        )
        prompt = endpoint_state.Prompt(0.0, [])
        attempt = gateway_attempt.Attempt(endpoint, "", exchange, prompt)
        try:
            self.sender._connect(call, attempt)
        except gateway_attempt.NotRun:
            pass
        return endpoint.is_unreachable

    def tick(self, after_s: float) -> float:
        """Let the periodic task run after some seconds."""
        self.time.advance(after_s)
        return self.delays.record_check(self.time.now())


def timeout() -> http_exchange.ConnectTimedOut:
    return http_exchange.ConnectTimedOut("no connection in time")


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Site:
    return Site(monkeypatch)


def test_an_endpoint_is_not_ejected_for_a_time_out_in_a_delay_of_ours(
    site: Site,
) -> None:
    # A gateway out of processor time ejected every endpoint that it tried.
    site.tick(0.1)
    site.takes_s = 0.45
    assert not site.connect("e1", timeout())


def test_an_endpoint_that_times_out_on_an_idle_machine_is_ejected(site: Site) -> None:
    for _ in range(5):
        site.tick(0.1)
    assert site.connect("e1", timeout())


def test_a_delay_that_ended_before_the_connection_excuses_nothing(site: Site) -> None:
    assert site.tick(0.6) == pytest.approx(0.5)
    for _ in range(3):
        site.tick(0.1)
    assert site.connect("e1", timeout())


def test_a_refused_connection_ejects_its_endpoint_in_a_delay_as_well(
    site: Site,
) -> None:
    site.takes_s = 0.45
    assert site.connect("e1", http_exchange.Unreachable("ECONNREFUSED"))


def test_endpoints_that_all_time_out_at_once_are_used_again(site: Site) -> None:
    # Peers took over the unreachable endpoints of a gateway whose link was full.
    assert site.connect("e1", timeout())
    assert site.connect("e2", timeout())
    assert not site.connect("e3", timeout())
    assert site.directory.unreachable_endpoints() == []


def test_dark_endpoints_are_ejected_while_others_accept_connections(
    site: Site,
) -> None:
    for name in ("e4", "e5"):
        assert not site.connect(name, None)
    for name in ("e1", "e2", "e3"):
        assert site.connect(name, timeout())


def test_refused_connections_do_not_make_time_outs_our_fault(site: Site) -> None:
    for name in ("e4", "e5", "e6"):
        site.connect(name, http_exchange.Unreachable("ECONNREFUSED"))
    for name in ("e1", "e2", "e3"):
        assert site.connect(name, timeout())


def test_old_time_outs_do_not_excuse_an_endpoint(site: Site) -> None:
    for name in ("e1", "e2"):
        site.connect(name, timeout())
    for _ in range(12):
        site.tick(0.1)
    assert site.connect("e3", timeout())


def test_an_endpoint_is_not_ejected_for_a_time_out_behind_large_bodies(
    site: Site,
) -> None:
    # Two prompts of 72 KB take 0.23 s of a link of 5 Mbit/s, three take 0.35 s.
    for _ in range(3):
        site.delays.record_sent(72_000, site.time.now())
    assert not site.connect("e1", timeout())


def test_bodies_that_left_the_link_idle_excuse_no_time_out(site: Site) -> None:
    site.delays.record_sent(72_000, site.time.now())
    site.delays.record_received(72_000, site.time.now())
    assert site.connect("e1", timeout())
    for _ in range(3):
        site.delays.record_sent(72_000, site.time.now())
    for _ in range(7):
        site.tick(0.1)
    assert site.connect("e2", timeout())


def test_a_fast_link_is_not_full_after_large_bodies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site(monkeypatch, link_mbps=100.0)
    for _ in range(10):
        site.delays.record_received(72_000, site.time.now())
    assert site.connect("e1", timeout())


def test_a_check_of_a_silent_endpoint_ends_no_streams_in_a_delay_of_ours(
    site: Site,
) -> None:
    site.takes_s, site.error = 0.25, timeout()
    assert site.sender._connects(site.endpoint("e1"))
    site.tick(0.1)
    for _ in range(3):
        site.tick(0.1)
    site.takes_s = 0.0
    assert not site.sender._connects(site.endpoint("e1"))


def test_a_machine_with_enough_cores_and_link_excuses_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cfg = options.Options()
    assert not own_delays.is_small_machine(cfg.cpu_cores, cfg.link_mbps)
    assert not own_delays.is_small_machine(1.0, 100.0)
    assert own_delays.is_small_machine(0.3, 100.0)
    assert own_delays.is_small_machine(2.0, 5.0)
    site = Site(monkeypatch, is_on=False)
    site.takes_s = 0.45
    assert all(site.connect(name, timeout()) for name in ("e1", "e2", "e3"))


class LateClock(clock.SteadyClock):
    """A clock of a thread that is delayed between connecting and waiting."""

    def now(self) -> float:
        return super().now() + 60.0


def test_a_connection_that_was_accepted_in_time_counts_though_we_run_late() -> None:
    # A late thread raised the time-out without looking at the connection.
    with socket.create_server(("127.0.0.1", 0)) as server:
        exchange = http_exchange.Exchange(
            server.getsockname(), http_exchange.Caller(None), LateClock()
        )
        try:
            exchange.connect(time.monotonic())
        finally:
            exchange.close()
