"""A suspension of the machine for seconds must not make old data look fresh.

The system's waits and ``CLOCK_MONOTONIC`` stand still during a suspension.  The tests
simulate one by moving ahead ``CLOCK_BOOTTIME``, the one clock that counts it, and the
store's clock with it.
"""

import pathlib
import re
import threading
import time
import typing

import pytest

from gaprock import (
    clock,
    entry_attempt,
    errors,
    mesh_messages,
    mesh_peers,
    messages,
    options,
)
from gaprock.test import gatewaysite, ports
from gaprock.test import site as site_module
from gaprock.test.fakes import backend

SOURCES: typing.Final = pathlib.Path(clock.__file__).parent
pytestmark = pytest.mark.skipif(
    not clock.COUNTS_SUSPENSION,
    reason="the system has no clock that counts suspensions",
)


class MachineClocks:
    """The two clocks of a machine, of which a suspension moves only one ahead."""

    def __init__(self) -> None:
        self._real = time.clock_gettime
        self.suspended_s = 0.0

    def gettime(self, which: int) -> float:
        ahead_s = self.suspended_s if which == time.CLOCK_BOOTTIME else 0.0
        return self._real(which) + ahead_s

    def suspend(self, seconds: float) -> None:
        """Simulate a suspension that lasts some seconds."""
        self.suspended_s += seconds


@pytest.fixture
def clocks(monkeypatch: pytest.MonkeyPatch) -> MachineClocks:
    found = MachineClocks()
    monkeypatch.setattr(time, "clock_gettime", found.gettime)
    return found


def make_site(clocks: MachineClocks) -> gatewaysite.GatewaySite:
    """Build a site whose store goes on while the gateway's machine is suspended."""
    made = gatewaysite.GatewaySite()
    steady = clock.SteadyClock()
    made.store.now_ms = lambda: int(steady.now() * 1000)
    return made


def test_the_steady_clock_counts_a_suspension(clocks: MachineClocks) -> None:
    steady, monotonic = clock.SteadyClock(), clock.MonotonicClock()
    detector = clock.GapDetector(steady, 60.0)
    before, before_monotonic = steady.now(), monotonic.now()
    assert detector.find_gaps() == []
    clocks.suspend(20.0)
    assert steady.now() - before >= 20.0 > monotonic.now() - before_monotonic
    (gap,) = detector.find_gaps()
    assert gap.kind == clock.SUSPENDED and gap.length_s == pytest.approx(20.0, abs=0.1)
    assert detector.find_gaps() == []


def test_a_process_that_stood_still_differs_from_a_suspended_machine() -> None:
    steady, monotonic = clock.ManualClock(), clock.ManualClock()
    detector = clock.GapDetector(steady, 1.0, monotonic)
    for one in (steady, monotonic):
        one.advance(5.0)
    assert detector.find_gaps() == [clock.Gap(clock.STOOD_STILL, 4.0)]
    steady.advance(3.0)
    assert detector.find_gaps() == [clock.Gap(clock.SUSPENDED, 3.0)]


@pytest.mark.parametrize(
    "seconds, is_final", [(0.5, True), (3.0, False), (20.0, False)]
)
def test_a_stale_configuration_gives_no_final_refusal_after_a_suspension(
    clocks: MachineClocks, seconds: float, is_final: bool
) -> None:
    """A key may be revoked meanwhile, and the store does not answer afterwards."""
    with make_site(clocks) as site:
        site.add("one", "app")
        assert site.call("/safe/x").status == 200
        site.store.faults["swallow"] = True
        clocks.suspend(seconds)
        answer = site.call("/nowhere/x")
        # Within the time in which changes come into force, 404 is final.  Later, the
        # route may exist by now, so the caller is told to retry.
        assert answer.status == (404 if is_final else 503)
        assert (float(answer.headers.get("retry-after", "0")) > 0) is not is_final


def test_a_key_that_was_revoked_during_a_suspension_is_refused(
    clocks: MachineClocks,
) -> None:
    with make_site(clocks) as site:
        fake = site.add("one", "app")
        assert site.call("/safe/x").status == 200
        site.store.put("op", "config", gatewaysite.config(2, Tenants=[]))
        clocks.suspend(20.0)
        gatewaysite.wait_until(
            lambda: site.call("/safe/x").status == 401, "the change is in force"
        )
        served = len(fake.seen)
        assert site.call("/safe/x").status == 401 and len(fake.seen) == served


def test_an_open_call_ends_at_its_deadline_after_a_suspension(
    clocks: MachineClocks,
) -> None:
    with make_site(clocks) as site:
        fakes = [site.add(f"e{number}", "app") for number in range(2)]
        for fake in fakes:
            fake.default_script = backend.hang
        pending = site.start_call("/safe/x", X_Deadline_Ms="20000")
        gatewaysite.wait_until(
            lambda: any(f.seen for f in fakes), "the request arrived"
        )
        clocks.suspend(20.0)
        answer = pending.get()
        assert answer.status == 504
        assert sum(len(fake.seen) for fake in fakes) == 1


def test_a_send_after_a_suspension_names_the_time_that_is_left(
    clocks: MachineClocks,
) -> None:
    def suspend_first(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: typing.Any
    ) -> None:
        clocks.suspend(0.5)
        backend.refuse(503)(fake, seen, conn)

    with make_site(clocks) as site:
        fakes = [site.add(f"e{number}", "app") for number in range(2)]
        for fake in fakes:
            fake.scripts.append(suspend_first)
        site.call("/safe/x")
        told = [s.headers["x-deadline-ms"] for fake in fakes for s in fake.seen]
        first, second = sorted(map(int, told), reverse=True)[:2]
        assert second <= first - 500


def test_a_planned_stop_ends_in_time_after_a_suspension(clocks: MachineClocks) -> None:
    with make_site(clocks) as site:
        fake = site.add("one", "app")
        fake.default_script = backend.hang
        pending = site.start_call("/unsafe/x", X_Deadline_Ms="60000")
        gatewaysite.wait_until(lambda: bool(fake.seen), "the request runs")
        stop = threading.Thread(target=site.gateway.stop, daemon=True)
        stop.start()
        gatewaysite.wait_until(lambda: site.gateway.leaving, "it leaves")
        clocks.suspend(site.cfg.bounds.grace_s)
        # By the clock that stood still, most of the grace period would be left.
        stop.join(site.cfg.bounds.grace_s / 2)
        assert not stop.is_alive()
        pending.get()


def test_a_peer_is_not_living_after_a_suspension(clocks: MachineClocks) -> None:
    def with_mesh(cfg: options.Options) -> None:
        cfg.mesh_port = ports.free_port()

    with gatewaysite.GatewaySite(with_mesh) as site:
        mesh_ = site.gateway.mesh
        now = site.gateway.clock.now()
        mesh_._peers["tcp://x"] = mesh_peers.Peer("peer", "tcp://x", None, now)
        mesh_._on_beat(
            mesh_messages.Beat(
                "peer", "h1", "tcp://x", "i", [], True, {}, [], [], [], [], False
            )
        )
        assert mesh_.living() == ["peer"]
        clocks.suspend(3.0)
        assert mesh_.living() == []


def test_no_wait_for_an_attempt_outlasts_its_deadline() -> None:
    clock_ = clock.ManualClock()
    attempt = entry_attempt.Attempt(
        1, typing.cast(messages.Start, None), "i", clock_.now()
    )
    caught: list[errors.GaprockError] = []

    def wait() -> None:
        try:
            attempt.wait_first(clock_.now() + 3600.0, clock_)
        except errors.GaprockError as exc:
            caught.append(exc)

    thread = threading.Thread(target=wait, daemon=True)
    thread.start()
    thread.join(0.1)
    assert thread.is_alive()
    clock_.advance(3601.0)
    thread.join(site_module.WAIT_S)
    assert len(caught) == 1


def test_only_the_clock_module_reads_a_steady_clock() -> None:
    reading = re.compile(r"time\.monotonic|CLOCK_MONOTONIC|perf_counter|\.wait_for\(")
    found = [
        f"{path.name}: {line.strip()}"
        for path in sorted(SOURCES.rglob("*.py"))
        if path.relative_to(SOURCES).parts[0] != "test" and path.name != "clock.py"
        for line in path.read_text().splitlines()
        if reading.search(line) and "clock.wait_for(" not in line
    ]
    assert found == []
