"""Requests that arrive while a gateway starts are held, counted and answered."""

import contextlib
import functools
import os
import pathlib
import signal
import socket
import threading
import time
import typing

import pytest

from gaprock import gateway_api, mechanisms, options, startup_wait
from gaprock.platform import store as platform_store
from gaprock.test import gatewaysite, ports, site, soak_gateway, testgatewaystops
from gaprock.test.fakes import backend, httpfake, metastore

# The smallest machine of the sites: cores, and megabits per second of its link.
SMALL: typing.Final = (0.29, 5.0)
# Callers with this time are held for as long as the start is expected to take.
PATIENT: typing.Final = "600000"


def be_small(cfg: options.Options) -> None:
    cfg.cpu_cores, cfg.link_mbps = SMALL
    cfg.max_calls = 4


@pytest.fixture
def slow_start(
    monkeypatch: pytest.MonkeyPatch,
) -> typing.Iterator[gatewaysite.GatewaySite]:
    """A small gateway whose start does not end before the configuration is written."""
    monkeypatch.setattr(startup_wait, "START_MBIT", 1e6)
    monkeypatch.setattr(startup_wait, "MAX_START_S", 10 * site.WAIT_S)
    made = gatewaysite.GatewaySite(be_small)
    made.backends["a"] = backend.Backend("a")
    made.write_row("a", "app")
    made.gateway.start()
    try:
        yield made
    finally:
        made.__exit__()


def held(made: gatewaysite.GatewaySite) -> int:
    return made.gateway.server.start_hold.held


def await_held(made: gatewaysite.GatewaySite, count: int) -> None:
    gatewaysite.wait_until(lambda: held(made) == count, f"{count} held")


def finish(made: gatewaysite.GatewaySite) -> None:
    made.store.put("op", "config", gatewaysite.config(1))


@pytest.mark.parametrize("size", [(0.0, 0.0), (1.0, 100.0), (2.15, 0.0), (0.0, 1000.0)])
def test_a_large_or_unknown_machine_holds_as_before(size: tuple[float, float]) -> None:
    expected_s = startup_wait.expected_start_s(*size)
    assert expected_s == startup_wait.USUAL_S
    assert startup_wait.is_usual(expected_s)


def test_a_start_is_expected_to_take_longer_the_smaller_the_machine() -> None:
    sizes = [(1.0, 100.0), (0.99, 99.0), (0.5, 40.0), SMALL, (0.01, 0.1)]
    times = [startup_wait.expected_start_s(*size) for size in sizes]
    assert times == sorted(times)
    assert len(set(times)) == len(times)
    assert times[-1] == startup_wait.MAX_START_S


def test_a_request_is_not_held_for_most_of_its_callers_time() -> None:
    expected_s = startup_wait.expected_start_s(*SMALL)
    assert startup_wait.hold_until(10.0, 2.0, 10.0, expected_s) == 10.5
    assert startup_wait.hold_until(10.0, 60.0, 10.0, expected_s) == 10.0 + expected_s
    assert startup_wait.hold_until(10.0, None, 10.0, expected_s) == 10.3


def test_a_start_that_is_overdue_does_not_hold_requests_for_longer() -> None:
    until = startup_wait.hold_until(100.0, 60.0, 10.0, 1.8)
    assert until == 100.0 + startup_wait.USUAL_S
    assert startup_wait.start_left_s(100.0, 10.0, 1.8) == 0.0


def test_a_small_machine_serves_a_request_that_came_long_before_its_tables(
    slow_start: gatewaysite.GatewaySite,
) -> None:
    pending = slow_start.start_call("/unsafe/x", X_Deadline_Ms=PATIENT)
    await_held(slow_start, 1)
    finish(slow_start)
    assert pending.get().status == 200
    assert len(slow_start.backends["a"].seen) == 1
    assert 'start_held_total{result="served"} 1.0' in metrics(slow_start)


def metrics(made: gatewaysite.GatewaySite) -> str:
    return made.gateway.metrics.render().decode()


def test_held_requests_leave_threads_for_refusals_and_readiness(
    slow_start: gatewaysite.GatewaySite,
) -> None:
    some = [slow_start.start_call("/safe/x", X_Deadline_Ms=PATIENT) for _ in range(2)]
    await_held(slow_start, 2)
    for _ in range(40):
        answer = slow_start.call("/safe/x", X_Deadline_Ms=PATIENT)
        assert (answer.status, "retry-after" in answer.headers) == (503, True)
    assert testgatewaystops.ready_status(slow_start) == 503
    assert held(slow_start) == 2
    finish(slow_start)
    assert [pending.get().status for pending in some] == [200, 200]


def test_a_caller_that_cannot_wait_gets_the_time_that_the_start_still_takes(
    slow_start: gatewaysite.GatewaySite,
) -> None:
    answer = slow_start.call("/safe/x", X_Deadline_Ms="40")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > site.WAIT_S
    assert 'start_held_total{result="refused"} 1.0' in metrics(slow_start)


def test_a_caller_that_leaves_is_held_no_longer(
    slow_start: gatewaysite.GatewaySite,
) -> None:
    request = slow_start.request("/safe/x", X_Deadline_Ms=PATIENT)
    with slow_start.connect() as sock:
        sock.sendall(request)
        await_held(slow_start, 1)
    await_held(slow_start, 0)
    gatewaysite.wait_until(lambda: slow_start.gateway.server.open_calls == 0, "ended")


def test_without_the_mechanism_requests_are_held_as_on_a_large_machine(
    slow_start: gatewaysite.GatewaySite, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(mechanisms.START_WAIT, "on", False)
    answer = slow_start.call("/safe/x", X_Deadline_Ms=PATIENT)
    assert (answer.status, held(slow_start)) == (503, 0)
    assert float(answer.headers["retry-after"]) < 1.0


def test_a_reload_changes_the_machine_for_the_requests_after_it(
    slow_start: gatewaysite.GatewaySite,
) -> None:
    cfg = options.Options()
    slow_start.gateway.reload(cfg)
    answer = slow_start.call("/safe/x", X_Deadline_Ms=PATIENT)
    assert float(answer.headers["retry-after"]) < 1.0
    be_small(cfg)
    slow_start.gateway.reload(cfg)
    pending = slow_start.start_call("/safe/x", X_Deadline_Ms=PATIENT)
    await_held(slow_start, 1)
    finish(slow_start)
    assert pending.get().status == 200


# -- Reading --

TABLES: typing.Final = ("op", "servers", "status")


class StoreGate:
    """Holds back the store's answers about the gateways' own rows."""

    def __init__(self, store: metastore.MetaStoreFake, *calls: str) -> None:
        self._store = store
        self._reply = store._reply
        self._calls = calls
        self.open = threading.Event()
        self.asked: list[str] = []
        setattr(store, "_reply", self._handle)

    def _handle(self, path: str, body: bytes) -> httpfake.Reply:
        call, _, query = path.partition("?")
        if call in self._calls and ("Table=gaprock" in query or not query):
            self.asked.append(call)
            self.open.wait(2 * site.WAIT_S)
        return self._reply(path, body)


@pytest.fixture
def patient_store(monkeypatch: pytest.MonkeyPatch) -> None:
    """A gateway waits for an answer of the store for as long as a test does."""
    monkeypatch.setattr(platform_store, "ANSWER_WAIT_S", 2 * site.WAIT_S)


def reads(store: metastore.MetaStoreFake) -> int:
    return store.calls.count("/-/rows-get")


def test_the_tables_are_read_while_the_own_rows_are_and_applied_after_them(
    patient_store: None,
) -> None:
    made = gatewaysite.GatewaySite(with_mesh)
    gate = StoreGate(made.store, "/-/rows-get")
    try:
        made.store.put("op", "config", gatewaysite.config(1))
        made.gateway.start()
        gatewaysite.wait_until(lambda: reads(made.store) == len(TABLES), "all read")
        # A rollout that is not dated yet would send sessions back to the old version.
        assert gate.asked and not made.gateway.is_ready
        gate.open.set()
        gatewaysite.wait_until(lambda: made.gateway.is_ready, "ready")
    finally:
        gate.open.set()
        made.__exit__()


def with_mesh(cfg: options.Options) -> None:
    cfg.mesh_port = ports.free_port()


def test_the_write_of_the_own_row_does_not_delay_the_start(
    patient_store: None,
) -> None:
    made = gatewaysite.GatewaySite(with_mesh)
    gate = StoreGate(made.store, "/-/rows-tx")
    try:
        made.store.put("op", "config", gatewaysite.config(1))
        made.gateway.start()
        gatewaysite.wait_until(lambda: gate.asked, "written")
        gatewaysite.wait_until(lambda: made.gateway.is_ready, "ready")
        assert not gate.open.is_set()
    finally:
        gate.open.set()
        made.__exit__()


def test_own_rows_that_cannot_be_read_do_not_hold_up_the_start() -> None:
    made = gatewaysite.GatewaySite(with_mesh)
    read = made.gateway.own_rows._store.read

    def fail_own(table: str) -> typing.Any:
        if table not in TABLES:
            raise gateway_api.StoreError("no own rows")
        return read(table)

    try:
        setattr(made.gateway.own_rows, "_store", Reader(fail_own))
        made.store.put("op", "config", gatewaysite.config(1))
        made.gateway.start()
        gatewaysite.wait_until(lambda: made.gateway.is_ready, "ready")
    finally:
        made.__exit__()


class Reader:
    """A store of which only the reading is used."""

    def __init__(self, read: typing.Callable[[str], typing.Any]) -> None:
        self.read = read


# -- A restart of all gateways --

CORES, LINK_MBPS = SMALL
ROUTES: typing.Final = 2000
# The processor is given to a process for a part of each of these periods.
PERIOD_S: typing.Final = 0.02


class SmallMachine:
    """A gateway process with a part of a core and a slow link to the store."""

    def __init__(self, number: int, store_port: int, logs: pathlib.Path) -> None:
        net = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        ip = f"{net}.{100 + number}"
        self.process = soak_gateway.GatewayProcess(f"g{number}", ip, store_port, logs)
        self.process.limits = (
            f"[Limits]\nMemoryMb = 128\nCpuShare = {CORES}\n"
            f"LinkMbps = {LINK_MBPS}\n"
        )
        self.process.store_proxy.bytes_per_s = LINK_MBPS * 1e6 / 8
        self._is_stopped = False
        self._limiter = threading.Thread(target=self._limit, daemon=True)

    def start(self) -> None:
        self.process.start()
        if not self._limiter.is_alive():
            self._limiter.start()

    def _limit(self) -> None:
        while not self._is_stopped:
            time.sleep(PERIOD_S * CORES)
            self.process.signal(signal.SIGSTOP)
            time.sleep(PERIOD_S * (1 - CORES))
            self.process.signal(signal.SIGCONT)

    def stop(self) -> None:
        self._is_stopped = True
        self._limiter.join()
        self.process.end(signal.SIGKILL)
        self.process.store_proxy.stop()

    def call(self, data: bytes) -> gatewaysite.Answer | None:
        """Send a request; ``None`` without an answer, as from a closed port."""
        address = (self.process.ip, self.process.port)
        try:
            with socket.create_connection(address, timeout=site.WAIT_S) as sock:
                sock.sendall(data)
                raw = gatewaysite.read_all(sock)
        except OSError:
            return None
        return gatewaysite.Answer(raw) if raw else None


def publish_routes(store: metastore.MetaStoreFake, fake: backend.Backend) -> None:
    config = gatewaysite.config(1)
    config["Routes"] = [
        gatewaysite.route("/unsafe/", "unsafe", "app", TimeoutMs=10_000),
        *(
            gatewaysite.route(f"/{n:04d}/some/longer/path/", "safe", "app")
            for n in range(ROUTES)
        ),
    ]
    store.put("op", "config", config)
    row = {"Service": "app", "Addr": fake.address, "Zone": "h1", "Version": "v1"}
    store.put("servers", "a", {**row, "Slots": 64, "State": "ready"})


def test_requests_that_come_as_all_killed_gateways_start_are_served_once(
    tmp_path: pathlib.Path,
) -> None:
    with contextlib.ExitStack() as stack:
        store, fake = metastore.MetaStoreFake(), backend.Backend("a")
        store.start()
        stack.callback(store.stop)
        stack.callback(fake.stop)
        publish_routes(store, fake)
        machines = [SmallMachine(n, store.port, tmp_path) for n in (1, 2)]
        for machine in machines:
            machine.start()
            stack.callback(machine.stop)
        for machine in machines:
            gatewaysite.wait_until(machine.process.is_ready, "ready")
        for machine in machines:
            machine.process.signal(signal.SIGKILL)
            assert machine.process.process is not None
            machine.process.process.wait()
        for machine in machines:
            machine.start()
        requests = [
            gatewaysite.build_request("/unsafe/x", X_Deadline_Ms="16000")
            for _ in range(12)
        ]
        calls = [
            gatewaysite.PendingCall(functools.partial(served, machines[n % 2], data))
            for n, data in enumerate(requests)
        ]
        assert {call.get().status for call in calls} == {200}
        ids = [seen.headers["x-request-id"] for seen in fake.seen]
        assert len(ids) == len(set(ids)) == len(requests)
        logs = "".join(machine.process.log.read_text() for machine in machines)
        assert "event=start-held result=served" in logs


def served(machine: SmallMachine, data: bytes) -> gatewaysite.Answer:
    """Return the answer; a refusal that says when to come back is followed."""
    deadline = time.monotonic() + site.WAIT_S
    while time.monotonic() < deadline:
        answer = machine.call(data)
        if answer is None:
            time.sleep(PERIOD_S)
        elif answer.status == 503:
            time.sleep(float(answer.headers["retry-after"]))
        else:
            return answer
    raise AssertionError("not served in time")
