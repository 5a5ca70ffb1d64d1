"""Endpoints that send bytes without end: memory, and requests beside them."""

import contextlib
import pathlib
import socket
import threading
import time
import typing

import pytest

from gaprock.test import crowdcase, gatewaysite
from gaprock.test.fakes import backend

# The machine's memory in the settings, and the callers of the endpoint.
MEMORY_MB: typing.Final = 128
CALLERS: typing.Final = 40
CALLS_S: typing.Final = 6.0
BLOCK: typing.Final = b"x" * 65536
CHUNKED: typing.Final[typing.Any] = {"Transfer_Encoding": "chunked"}
EVENTS: typing.Final[typing.Any] = {**CHUNKED, "Content_Type": "text/event-stream"}

# What is sent once, by the request, and then again and again.
Endless = tuple[typing.Callable[[backend.ReceivedRequest], bytes], bytes]


def head(
    status: int = 200, data: bytes = b"", **more: typing.Any
) -> typing.Callable[[backend.ReceivedRequest], bytes]:
    """Send the head of an answer, and the beginning of its body."""

    def first(seen: backend.ReceivedRequest) -> bytes:
        return backend.head(seen, status, None, X_Confidence="90", **more) + data

    return first


WHOLE: typing.Final[dict[str, Endless]] = {
    "a line of a head": (lambda seen: b"HTTP/1.1 200 OK\r\nx: ", BLOCK),
    "lines of a head": (lambda seen: b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 10_000),
    "no line": (lambda seen: b"", BLOCK),
    "interim heads": (lambda seen: b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2000),
    "an extension of a chunk": (head(data=b"4;", **CHUNKED), BLOCK),
    "trailers": (head(data=b"0\r\n", **CHUNKED), b"x: y\r\n" * 10_000),
    "chunks": (head(**CHUNKED), backend.chunk(b"abcd") * 10_000),
    "a body": (head(), BLOCK),
    "a body of a failure": (head(500), BLOCK),
    "a long length": (head(Content_Length=str(10**12)), BLOCK),
    "a long chunk": (head(data=b"ffffffffff\r\n", **CHUNKED), BLOCK),
}
STREAMS: typing.Final[dict[str, Endless]] = {
    "an event": (head(**EVENTS), backend.chunk(BLOCK)),
    "comments": (head(**EVENTS), backend.chunk(b": x\n\n" * 10_000)),
    "events": (head(**EVENTS), backend.chunk(backend.event(1) * 4000)),
    "a body of a failure": (head(500, **EVENTS), backend.chunk(BLOCK)),
}


def sends_without_end(endless: Endless) -> backend.Script:
    """Send bytes until the caller closes its connection."""
    first, again = endless

    def script(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        conn.sendall(first(seen))
        while True:
            conn.sendall(again)

    return script


def add_endless(site: crowdcase.CrowdSite, kind: str, fake: backend.Backend) -> None:
    """Add a service with one endpoint, and a route to it."""
    doc = gatewaysite.config(2, Limits=crowdcase.LIMITS)
    routes, services = doc["Routes"], doc["Services"]
    assert isinstance(routes, list) and isinstance(services, list)
    routes.append(gatewaysite.route("/endless/", kind, "endless"))
    services.append({"Name": "endless", "HealthPath": "/health"})
    row = {"Service": "endless", "Addr": fake.address, "Zone": "h1", "State": "ready"}
    site.store.put("servers", "two", row | {"Version": "v1", "Slots": 2 * CALLERS})
    site.store.put("op", "config", doc)


def call_in_turn(site: crowdcase.CrowdSite, until: float) -> None:
    """Call the endless endpoint again and again."""
    while time.monotonic() < until:
        data = gatewaysite.build_request("/endless/x", b"y", X_Deadline_Ms="2000")
        with contextlib.suppress(OSError):
            with socket.create_connection((site.ip, site.port), 20.0) as sock:
                sock.sendall(data)
                while sock.recv(1_000_000):
                    pass
        time.sleep(0.02)


def play(tmp_path: pathlib.Path, kind: str, endless: Endless) -> None:
    """Call an endless endpoint, and check memory and ordinary requests."""
    fake = backend.Backend("two")
    fake.default_script = sends_without_end(endless)
    with crowdcase.CrowdSite(tmp_path, "", MEMORY_MB) as site:
        add_endless(site, kind, fake)
        until = time.monotonic() + CALLS_S
        callers = [
            threading.Thread(target=call_in_turn, args=(site, until))
            for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        site.gateway.watch_for(CALLS_S / 2)
        assert site.wait_served(), "not served beside the calls"
        site.gateway.watch_for(until - time.monotonic())
        for caller in callers:
            caller.join()
        assert fake.seen, "the endpoint was called"
        assert site.wait_served(), "not served afterwards"
        assert site.gateway.is_alive
        assert site.gateway.peak.memory_mb <= MEMORY_MB, site.gateway.peak
    fake.stop()


@pytest.mark.parametrize("endless", WHOLE.values(), ids=WHOLE.keys())
def test_a_gateway_outlives_answers_without_end(
    tmp_path: pathlib.Path, endless: Endless
) -> None:
    play(tmp_path, "unsafe", endless)


@pytest.mark.parametrize("endless", STREAMS.values(), ids=STREAMS.keys())
def test_a_gateway_outlives_streams_without_end(
    tmp_path: pathlib.Path, endless: Endless
) -> None:
    play(tmp_path, "streaming", endless)
