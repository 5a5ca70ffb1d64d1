"""A machine that is suspended for seconds: what was known before is as old as it is.

The system's waits, and the usual steady clock, stand still meanwhile.  A suspension is
played by the one clock that counts it, which jumps ahead; the store's does, too.
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
    not clock.COUNTS_SUSPENSION, reason="the system has no clock that counts it"
)


class Hands:
    """The two clocks of a machine; ``suspend`` lets one stand."""

    def __init__(self) -> None:
        self._real = time.clock_gettime
        self.suspended_s = 0.0

    def gettime(self, which: int) -> float:
        ahead_s = self.suspended_s if which == time.CLOCK_BOOTTIME else 0.0
        return self._real(which) + ahead_s

    def suspend(self, seconds: float) -> None:
        """Have the machine wake after so long."""
        self.suspended_s += seconds


@pytest.fixture
def hands(monkeypatch: pytest.MonkeyPatch) -> Hands:
    found = Hands()
    monkeypatch.setattr(time, "clock_gettime", found.gettime)
    return found


def make_site(hands: Hands) -> gatewaysite.GatewaySite:
    """Make a site whose store goes on while the gateway's machine is suspended."""
    made = gatewaysite.GatewaySite()
    steady = clock.SteadyClock()
    made.store.now_ms = lambda: int(steady.now() * 1000)
    return made


def test_a_suspension_is_counted(hands: Hands) -> None:
    steady, standing = clock.SteadyClock(), clock.MonotonicClock()
    watch = clock.GapDetector(steady, 60.0)
    before, before_standing = steady.now(), standing.now()
    assert watch.look() == []
    hands.suspend(20.0)
    assert steady.now() - before >= 20.0 > standing.now() - before_standing
    (gap,) = watch.look()
    assert gap.kind == clock.SUSPENDED and gap.length_s == pytest.approx(20.0, abs=0.1)
    assert watch.look() == []


def test_a_process_that_stood_still_is_told_from_a_machine_that_was_suspended() -> None:
    steady, standing = clock.ManualClock(), clock.ManualClock()
    watch = clock.GapDetector(steady, 1.0, standing)
    for one in (steady, standing):
        one.advance(5.0)
    assert watch.look() == [clock.Gap(clock.STOOD_STILL, 4.0)]
    steady.advance(3.0)
    assert watch.look() == [clock.Gap(clock.SUSPENDED, 3.0)]


@pytest.mark.parametrize(
    "seconds, is_served", [(0.5, True), (3.0, False), (20.0, False)]
)
def test_what_was_allowed_before_a_suspension_is_not_allowed_by_it(
    hands: Hands, seconds: float, is_served: bool
) -> None:
    """A key is taken away meanwhile, and the store says nothing when we wake."""
    with make_site(hands) as site:
        site.add("one", "app")
        assert site.call("/safe/x").status == 200
        site.store.faults["swallow"] = True
        hands.suspend(seconds)
        answer = site.call("/nowhere/x")
        # Within the bound of a change it is said for good; later it may be there now.
        assert answer.status == (404 if is_served else 503)
        assert (float(answer.headers.get("retry-after", "0")) > 0) is not is_served


def test_a_key_that_was_taken_away_while_suspended_serves_nobody(hands: Hands) -> None:
    with make_site(hands) as site:
        fake = site.add("one", "app")
        assert site.call("/safe/x").status == 200
        site.store.put("op", "config", gatewaysite.config(2, Tenants=[]))
        hands.suspend(20.0)
        gatewaysite.wait_until(
            lambda: site.call("/safe/x").status == 401, "the change is in force"
        )
        served = len(fake.seen)
        assert site.call("/safe/x").status == 401 and len(fake.seen) == served


def test_an_open_call_ends_at_its_callers_time_not_later(hands: Hands) -> None:
    with make_site(hands) as site:
        fakes = [site.add(f"e{number}", "app") for number in range(2)]
        for fake in fakes:
            fake.default_script = backend.hang
        later = site.start_call("/safe/x", X_Deadline_Ms="20000")
        gatewaysite.wait_until(lambda: any(f.seen for f in fakes), "it waits")
        hands.suspend(20.0)
        answer = later.get()
        assert answer.status == 504
        assert sum(len(fake.seen) for fake in fakes) == 1


def test_a_send_after_a_suspension_says_what_time_is_left(hands: Hands) -> None:
    def suspend_first(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: typing.Any
    ) -> None:
        hands.suspend(0.5)
        backend.refuse(503)(fake, seen, conn)

    with make_site(hands) as site:
        fakes = [site.add(f"e{number}", "app") for number in range(2)]
        for fake in fakes:
            fake.scripts.append(suspend_first)
        site.call("/safe/x")
        told = [s.headers["x-deadline-ms"] for fake in fakes for s in fake.seen]
        first, second = sorted(map(int, told), reverse=True)[:2]
        assert second <= first - 500


def test_a_planned_stop_ends_in_time_after_a_suspension(hands: Hands) -> None:
    with make_site(hands) as site:
        fake = site.add("one", "app")
        fake.default_script = backend.hang
        later = site.start_call("/unsafe/x", X_Deadline_Ms="60000")
        gatewaysite.wait_until(lambda: bool(fake.seen), "it runs")
        stop = threading.Thread(target=site.gateway.stop, daemon=True)
        stop.start()
        gatewaysite.wait_until(lambda: site.gateway.leaving, "it leaves")
        hands.suspend(site.cfg.bounds.grace_s)
        # Most of its grace time would still have to pass by the clock that stood.
        stop.join(site.cfg.bounds.grace_s / 2)
        assert not stop.is_alive()
        later.get()


def test_peers_and_endpoints_marks_are_as_old_as_they_are(hands: Hands) -> None:
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
        hands.suspend(3.0)
        assert mesh_.living() == []


def test_an_attempt_of_the_own_mode_is_not_waited_for_past_its_deadline() -> None:
    day = clock.ManualClock()
    attempt = entry_attempt.Attempt(
        1, typing.cast(messages.Start, None), "i", day.now()
    )
    caught: list[errors.GaprockError] = []

    def wait() -> None:
        try:
            attempt.wait_first(day.now() + 3600.0, day)
        except errors.GaprockError as exc:
            caught.append(exc)

    thread = threading.Thread(target=wait, daemon=True)
    thread.start()
    thread.join(0.1)
    assert thread.is_alive()
    day.advance(3601.0)
    thread.join(site_module.WAIT_S)
    assert len(caught) == 1


def test_no_other_reading_of_a_steady_clock_stands_in_the_code() -> None:
    reading = re.compile(r"time\.monotonic|CLOCK_MONOTONIC|perf_counter|\.wait_for\(")
    found = [
        f"{path.name}: {line.strip()}"
        for path in sorted(SOURCES.rglob("*.py"))
        if path.relative_to(SOURCES).parts[0] != "test" and path.name != "clock.py"
        for line in path.read_text().splitlines()
        if reading.search(line) and "clock.wait_for(" not in line
    ]
    assert found == []
