"""An agent before endpoints that send bytes without end, and requests beside them."""

import contextlib
import pathlib
import socket
import threading
import time
import typing

import pytest
import urllib3

from gaprock import agent_endpoint, clock, errorcodes, errors
from gaprock.test import crowdcase, processes, rawserver

# The memory that a daemon may take.
MEMORY_MB: typing.Final = crowdcase.ENTRY_MEMORY_MB
CALLERS: typing.Final = 8
CALLS_S: typing.Final = 6.0
DEADLINE_S: typing.Final = 2.0
BLOCK: typing.Final = b"x" * 65536
OK: typing.Final = b"HTTP/1.1 200 OK\r\n"
CHUNKED: typing.Final = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LOAD: typing.Final = b'{"running": 0, "slots": 64, "versions": ["endless@1"]}'
# How reading an endpoint's answer fails.
FAILURES: typing.Final = (errors.GaprockError, urllib3.exceptions.HTTPError)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


# What is sent once, and then again and again.
ENDLESS: typing.Final = {
    "a line of a head": (OK + b"x: ", BLOCK),
    "lines of a head": (OK, b"x: y\r\n" * 10_000),
    "interim heads": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2000),
    "an extension of a chunk": (CHUNKED + b"4;", BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"x: y\r\n" * 10_000),
    "chunks": (CHUNKED, chunk(b"abcd") * 10_000),
    "a body": (OK + b"\r\n", BLOCK),
    "a body of a failure": (b"HTTP/1.1 500 Some\r\n\r\n", BLOCK),
    "a long length": (OK + b"Content-Length: 99999999999\r\n\r\n", BLOCK),
    "a long chunk": (CHUNKED + b"ffffffffff\r\n", BLOCK),
    "an event": (CHUNKED, chunk(BLOCK)),
    "comments": (CHUNKED, chunk(b": x\n\n" * 10_000)),
    "events": (CHUNKED, chunk(b"data: x\n\n" * 4000)),
}


def report_load(conn: socket.socket) -> None:
    """Answer a request for the load report."""
    conn.sendall(OK + b"Content-Length: %d\r\n\r\n" % len(LOAD) + LOAD)


def sends_without_end(first: bytes, again: bytes) -> rawserver.Script:
    """Report the load, and answer everything else without end."""

    def script(conn: socket.socket, head: bytes) -> None:
        if head.startswith(b"GET /load"):
            report_load(conn)
            return
        conn.sendall(first)
        while True:
            conn.sendall(again)

    return script


def read_stream(source: agent_endpoint.EndpointStream) -> None:
    """Read a stream to its end, which is no success."""
    with contextlib.closing(source):
        while source.read_parts():
            pass
    raise errors.GaprockError(errorcodes.STREAM_CUT)


@pytest.mark.timeout(30)
@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("stream", [False, True])
def test_no_call_of_an_endpoint_outlives_its_deadline(name: str, stream: bool) -> None:
    time_ = clock.SteadyClock()
    with rawserver.serve(sends_without_end(*ENDLESS[name])) as address:
        one, deadline = rawserver.endpoint(address), time_.now() + 1.0
        with pytest.raises(FAILURES):
            if stream:
                read_stream(one.stream("/x", b"{}", "r1", deadline))
            else:
                one.call("/x", b"{}", "r1", deadline, True)
        assert one._memory.used == 0


def start(fleet: processes.Fleet, address: str, *flags: str) -> str:
    """Start a site whose agent serves a sound engine and an endless endpoint."""
    fleet.start_platform()
    sound = fleet.start_fake("engine-sound", "engine", "--parts=5")
    endless = f"endless=http://{address},calls=http://{address}"
    endless += ";kind=service;versions=calls@1"
    fleet.start_agent("a", "--endpoints", f"sound={sound},{endless}", *flags)
    url = fleet.start_entry("entry-0", *flags)
    fleet.wait_ready()
    fleet.publish_demo(url)
    stream = {"workspace": "demo", "name": "endless"}
    stream["versions"] = [{"version": "endless@1", "cost": 1}]  # type: ignore
    fleet.publish(url, "template", stream)
    whole = {"workspace": "demo", "name": "calls", "kind": "call", "path": "/x"}
    whole["versions"] = [{"version": "calls@1", "cost": 1}]  # type: ignore
    fleet.publish(url, "template", whole)
    return url


def call_in_turn(url: str, until: float) -> None:
    """Call the endless endpoint again and again, in both ways."""
    while time.monotonic() < until:
        late: typing.Any = {"X_Gaprock_Deadline": str(time.time() + DEADLINE_S)}
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            processes.post(url, "/v1/calls/calls", {}, **late)
            body = processes.chat(model="endless", stream=True)
            resp = processes.post(url, processes.CHAT, body, stream=True, **late)
            while resp.read(1_000_000):
                pass
        time.sleep(0.02)


@pytest.mark.parametrize("name", ENDLESS)
def test_an_agent_and_its_entry_outlive_answers_without_end(
    tmp_path: pathlib.Path, name: str
) -> None:
    script = sends_without_end(*ENDLESS[name])
    with rawserver.serve(script) as address, processes.Fleet(tmp_path) as fleet:
        url = start(fleet, address)
        watched = [
            crowdcase.Watched(fleet.processes[one], []) for one in ("a", "entry-0")
        ]

        def is_served() -> bool:
            body = processes.chat()
            return processes.post(url, processes.CHAT, body).status == 200

        until = time.monotonic() + CALLS_S
        callers = [
            threading.Thread(target=call_in_turn, args=(url, until))
            for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        while time.monotonic() < until - CALLS_S / 2:
            for one in watched:
                one.watch_for(0.1)
        processes.wait_until(is_served, "an answer beside the calls")
        while any(caller.is_alive() for caller in callers):
            for one in watched:
                one.watch_for(0.1)
        processes.wait_until(is_served, "an answer afterwards")
        for one in watched:
            assert one.is_alive
            assert one.peak.memory_mb <= MEMORY_MB, one.peak
