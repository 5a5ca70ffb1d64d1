"""A gateway's start, readiness and planned stop, its port, and two side by side."""

import contextlib
import socket
import threading
import typing

import pytest

from gaprock import gateway_http, gateway_node, gateway_serve, options
from gaprock.test import gatewaysite, ports
from gaprock.test import site as site_module
from gaprock.test.fakes import backend

# Open calls that have a port take more threads.
LOW_CALLS: typing.Final = gateway_http.START_THREADS - gateway_http.LOW_IDLE + 2


# -- Stops --


def short_grace(cfg: options.Options) -> None:
    cfg.bounds.grace_s = 2.0


def test_a_planned_stop_ends_what_is_under_way() -> None:
    with gatewaysite.GatewaySite(short_grace) as site:
        fake = site.add("a", "app")
        go_on = threading.Event()

        def slow(
            own: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
        ) -> None:
            go_on.wait(5)
            backend.answer(own, seen, conn)

        fake.default_script = slow
        later = site.start_call("/safe/x")
        gatewaysite.wait_until(lambda: fake.seen, "the request arrived")
        stopping = threading.Thread(target=site.gateway.stop, daemon=True)
        stopping.start()
        gatewaysite.wait_until(lambda: site.gateway.leaving, "leaving")
        go_on.set()
        assert later.get().status == 200
        stopping.join(10)
        assert not stopping.is_alive()
        assert site.gateway.server.open_calls == 0
        answer = site.call("/safe/x")
        assert answer.status == 503
        assert answer.headers["connection"] == "close"


def test_a_process_at_its_end_takes_nothing_more() -> None:
    with gatewaysite.GatewaySite(short_grace) as site:
        site.add("a", "app")
        routes = [gatewaysite.route("/safe/", "safe", "app", TimeoutMs=100)]
        site.store.put("op", "config", gatewaysite.config(2, Routes=routes))
        gatewaysite.wait_until(lambda: site.in_force == 2)
        site.gateway.stop()
        # Its answer would still be due before the process is killed.
        assert site.call("/safe/x").status == 503


def ready_status(site: gatewaysite.GatewaySite) -> int:
    host, _, port = site.cfg.ready_listen.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(
            b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        return gatewaysite.Answer(gatewaysite.read_all(sock)).status


def test_a_request_that_comes_during_the_start_is_held_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = gatewaysite.GatewaySite()
    try:
        site.gateway.start()
        # Nothing is known yet, and nothing comes: refused with a time to come back.
        answer = site.call("/unsafe/x")
        assert (answer.status, "retry-after" in answer.headers) == (503, True)
        monkeypatch.setattr(gateway_serve, "START_WAIT_S", site_module.WAIT_S)
        later = site.start_call("/unsafe/x")
        site.backends["a"] = backend.Backend("a")
        site.write_row("a", "app")
        site.store.put("op", "config", gatewaysite.config(1))
        assert later.get().status == 200
    finally:
        site.__exit__()


def test_a_gateway_that_takes_no_connection_is_not_ready(
    site: gatewaysite.GatewaySite,
) -> None:
    gatewaysite.wait_until(lambda: ready_status(site) == 200, "ready")
    site.gateway.port.stop()
    gatewaysite.wait_until(lambda: ready_status(site) == 503, "not ready")


def test_readiness_follows_what_is_known_and_a_stop() -> None:
    site = gatewaysite.GatewaySite(short_grace)
    site.gateway.start()
    try:
        assert ready_status(site) == 503
        site.store.put("op", "config", gatewaysite.config(1))
        gatewaysite.wait_until(lambda: ready_status(site) == 200, "ready")
        site.gateway.leaving = True
        assert ready_status(site) == 503
    finally:
        site.__exit__()


def test_metrics_are_served_as_text(site: gatewaysite.GatewaySite) -> None:
    site.add("a", "app")
    site.call("/safe/x")
    with socket.create_connection(("127.0.0.1", site.cfg.metrics_port)) as sock:
        sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        text = gatewaysite.Answer(gatewaysite.read_all(sock)).body.decode()
    assert 'gaprock_requests_total{result="answered",route="r-safe-"} 1.0' in text
    assert "gaprock_first_byte_seconds_bucket" in text


def test_threads_come_with_the_calls_that_are_open() -> None:
    def many(cfg: options.Options) -> None:
        cfg.max_calls = 100

    with gatewaysite.GatewaySite(many) as site:
        site.add("a", "app", Slots=100).default_script = backend.hang
        laters = [site.start_call("/unsafe/x") for _ in range(60)]
        gatewaysite.wait_until(lambda: len(site.backends["a"].seen) == 60, "all sent")
        site.backends["a"].stop()
        for later in laters:
            assert later.get().status in (502, 504)


def test_a_port_that_is_closed_while_its_threads_come_ends(
    site: gatewaysite.GatewaySite,
) -> None:
    # Threads that the pool did not know yet took the word to end from busy ones that it
    # knew, and these were waited for, for ever.
    site.add("a", "app").default_script = backend.hang
    port = site.gateway.port
    pool = port._server.requests
    spawn, is_growing, go_on = pool._spawn_worker, threading.Event(), threading.Event()

    def spawn_slowly() -> typing.Any:
        worker = spawn()
        is_growing.set()
        go_on.wait(1.0)
        return worker

    pool._spawn_worker = spawn_slowly
    laters = [site.start_call("/unsafe/x") for _ in range(LOW_CALLS)]
    assert is_growing.wait(site_module.WAIT_S)
    stop = threading.Thread(target=port.stop, daemon=True)
    stop.start()
    go_on.wait(0.5)
    go_on.set()
    for later in laters:
        later.get()
    stop.join(site_module.WAIT_S)
    assert not stop.is_alive()


def test_two_gateways_find_each_other_and_tell_their_loads() -> None:
    def with_mesh(cfg: options.Options) -> None:
        cfg.mesh_port = ports.free_port()

    with gatewaysite.GatewaySite(with_mesh) as first, contextlib.ExitStack() as stack:
        second = gateway_node.Gateway(
            other_options(first.cfg),
            first.gateway.clock,
            first.gateway.store,
            first.gateway.dialect,
        )
        second.start()
        stack.callback(second.close)
        fake = first.add("a", "app")
        fake.default_script = backend.hang
        gatewaysite.wait_until(lambda: second.mesh.living() == ["gateway-1"])
        later = first.start_call("/unsafe/x")
        gatewaysite.wait_until(
            lambda: second.directory.usable("app", set())[0].load == 1, "load is told"
        )
        fake.stop()
        later.get()


def test_gateways_that_rest_get_the_configuration_from_readers() -> None:
    def with_mesh(cfg: options.Options) -> None:
        cfg.mesh_port = ports.free_port()

    with gatewaysite.GatewaySite(with_mesh) as first, contextlib.ExitStack() as stack:
        others = [
            gateway_node.Gateway(
                other_options(first.cfg, f"gateway-{n}", first.cfg.hall),
                first.gateway.clock,
                first.gateway.store,
                first.gateway.dialect,
            )
            for n in (2, 3, 4)
        ]
        for other in others:
            other.start()
            stack.callback(other.close)
        last = others[-1]
        gatewaysite.wait_until(lambda: last.is_ready, "it is ready")
        gatewaysite.wait_until(last.mesh.has_readers, "it hears two readers")
        for number in range(2, 30):
            # Its poll that is under way ends with the first change; then it rests.
            first.store.put("op", "config", gatewaysite.config(number))
            first.store.put("servers", f"e{number}", {})
            first.store.put("status", f"s{number}", {})
            gatewaysite.wait_until(
                lambda: last.orders.table is not None
                and last.orders.table.number == number,
                f"configuration {number}",
            )
            if all(follower.on_standby for follower in last.followers):
                break
        assert all(follower.on_standby for follower in last.followers)
        first.store.put("op", "config", gatewaysite.config(50))
        gatewaysite.wait_until(
            lambda: last.orders.table is not None and last.orders.table.number == 50,
            "the configuration by way of a reader",
        )


def other_options(
    cfg: options.Options, name: str = "gateway-2", hall: str = "h2"
) -> options.Options:
    other = options.Options()
    other.vm, other.hall, other.host = name, hall, cfg.host
    other.listen = f"127.0.0.1:{ports.free_port()}"
    other.ready_listen = f"127.0.0.1:{ports.free_port()}"
    other.store_address = cfg.store_address
    other.mesh_port = ports.free_port()
    other.metrics_port = 0
    other.max_calls = 8
    return other
