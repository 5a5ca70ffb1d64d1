"""Answers without a length and without chunks, which end with their connection."""

import socket
import struct
import threading
import time
import typing

import pytest

from gaprock import peer_watch, suspicion
from gaprock.test import gatewaysite
from gaprock.test import site as site_module
from gaprock.test.fakes import backend

WHOLE: typing.Final = 5
RESET: typing.Final = struct.pack("ii", 1, 0)


def unframed(
    last: int,
    incomplete: bytes = b"",
    resets: bool = False,
    crashes: bool = False,
    restarts: bool = False,
) -> backend.Script:
    """Stream events up to a number, then end the connection.

    A stream that is resumed goes on to its last event.

    :param incomplete: the first bytes of a further event.
    :param resets: whether the connection is reset.
    :param crashes: whether the endpoint is gone then.
    :param restarts: whether another process has its port then.
    """

    def script(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        sent = int(seen.headers.get("last-event-id", "0"))
        conn.sendall(
            backend.head(
                seen,
                Content_Type="text/event-stream",
                Connection="close",
                X_Confidence="90",
            )
        )
        for number in range(sent + 1, (last if not sent else WHOLE) + 1):
            conn.sendall(backend.event(number))
            time.sleep(0.01)
        if sent:
            return
        conn.sendall(incomplete)
        time.sleep(0.05)
        if resets:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        if crashes:
            fake.stop()
        if restarts:
            fake.cut()

    return script


def whole_body(
    fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
) -> None:
    """Send a body that ends with the connection."""
    conn.sendall(backend.head(seen, Connection="close") + b"the whole body")


def half_body(
    fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
) -> None:
    """Send a part of such a body, and reset the connection."""
    whole_body(fake, seen, conn)
    time.sleep(0.05)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def answer_of_two(
    site: gatewaysite.GatewaySite, script: backend.Script
) -> tuple[list[backend.Backend], gatewaysite.Answer]:
    """Request a stream from two endpoints that answer alike."""
    fakes = [site.add(name, "llm") for name in ("one", "two")]
    for fake in fakes:
        fake.default_script = script
    return fakes, site.generate(X_Deadline_Ms="8000")


def numbers(answer: gatewaysite.Answer) -> list[int]:
    """Return the ids of the events of an answer."""
    lines = answer.body.splitlines()
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def test_a_stream_that_ends_with_its_connection_is_whole(
    site: gatewaysite.GatewaySite,
) -> None:
    site.add("one", "llm").default_script = unframed(WHOLE)
    answer = site.generate()
    assert answer.whole and numbers(answer) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("incomplete", [b"id: 4", b"id: 4\ndata: half", b"id: 4\n"])
@pytest.mark.parametrize("resets", [False, True])
def test_a_stream_that_ends_inside_an_event_is_resumed_after_the_last_whole_one(
    site: gatewaysite.GatewaySite, incomplete: bytes, resets: bool
) -> None:
    fakes, answer = answer_of_two(site, unframed(3, incomplete, resets))
    sent = [seen.headers.get("last-event-id") for fake in fakes for seen in fake.seen]
    assert answer.whole and numbers(answer) == [1, 2, 3, 4, 5]
    assert sorted(sent, key=str) == ["3", None]


def test_a_stream_that_no_endpoint_resumes_does_not_look_whole(
    site: gatewaysite.GatewaySite,
) -> None:
    site.add("one", "llm").default_script = unframed(3, b"id: 4\ndata: half")
    answer = site.generate()
    assert not answer.whole and numbers(answer) == [1, 2, 3]


def test_a_stream_whose_connection_is_reset_between_events_is_resumed(
    site: gatewaysite.GatewaySite,
) -> None:
    _, answer = answer_of_two(site, unframed(3, resets=True))
    assert answer.whole and numbers(answer) == [1, 2, 3, 4, 5]


def test_a_stream_that_ends_between_events_with_its_endpoint_is_resumed(
    site: gatewaysite.GatewaySite,
) -> None:
    _, answer = answer_of_two(site, unframed(3, crashes=True))
    assert answer.whole and numbers(answer) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("last", [1, 3])
def test_a_stream_cut_by_a_crash_is_resumed_though_its_port_accepts_connections(
    site: gatewaysite.GatewaySite, last: int
) -> None:
    fakes, answer = answer_of_two(site, unframed(last, restarts=True))
    sent = [seen.headers.get("last-event-id") for fake in fakes for seen in fake.seen]
    assert answer.whole and numbers(answer) == [1, 2, 3, 4, 5]
    assert sorted(sent, key=str) == [str(last), None]


def test_a_body_cut_by_a_crash_is_not_whole_though_its_port_accepts_connections(
    site: gatewaysite.GatewaySite,
) -> None:
    def half_body_of_crash(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        whole_body(fake, seen, conn)
        time.sleep(0.05)
        fake.cut()

    site.add("one", "app").default_script = half_body_of_crash
    assert site.call("/unsafe/x").status == 502


def test_answers_that_end_beside_closed_idle_connections_are_whole(
    site: gatewaysite.GatewaySite,
) -> None:
    fake = site.add("one", "llm")

    def close_others(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        conn.sendall(
            backend.head(seen, Content_Type="text/event-stream", X_Confidence="90")
        )
        for number in range(1, WHOLE + 1):
            conn.sendall(backend.event(number))
            time.sleep(0.02)
            fake.cut(conn)

    fake.default_script = close_others
    answer = site.generate()
    assert answer.whole and numbers(answer) == [1, 2, 3, 4, 5]


def test_an_endpoint_that_cannot_be_watched_is_not_taken_for_ended() -> None:
    watch = peer_watch.PeerWatch(("no-such-name.invalid", 80))
    assert watch.ended_too() is None and not watch.is_closed()
    watch.close()


def test_each_stream_of_an_endpoint_that_crashes_is_resumed(
    site: gatewaysite.GatewaySite,
) -> None:
    go_on = threading.Event()

    def wait(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        unframed(3)(fake, seen, conn)
        go_on.wait(site_module.WAIT_S)

    crashes = site.add("one", "llm")
    crashes.default_script = wait
    calls = [
        gatewaysite.PendingCall(lambda: site.generate(X_Deadline_Ms="8000"))
        for _ in range(8)
    ]
    gatewaysite.wait_until(lambda: len(crashes.seen) == 8, "all are begun")
    site.add("two", "llm").default_script = unframed(WHOLE)
    # A check of the endpoint that was made just before says nothing of its end.
    (endpoint, *_) = site.gateway.directory.usable("llm", set())
    time.sleep(0.2)
    site.gateway.directory.claim_connection_check(endpoint)
    crashes.stop()
    go_on.set()
    for call in calls:
        answer = call.get()
        assert answer.whole and numbers(answer) == [1, 2, 3, 4, 5]


def test_a_stream_that_ends_with_its_endpoint_clears_no_segment(
    site: gatewaysite.GatewaySite,
) -> None:
    fake = site.add("one", "llm")
    fake.default_script = unframed(3, crashes=True)
    prefix = "5eed:40,0wn:40"
    site.generate(X_Prompt_Prefix=prefix)
    site.gateway._sender.resolve_breaks()
    (segment,) = [
        one
        for one in site.gateway.quarantine._suspects.values()
        if one.kind == "segment"
    ]
    assert segment.incarnations == {"one": suspicion.BEGUN_WEIGHT}


def test_a_body_that_ends_with_its_connection_is_whole(
    site: gatewaysite.GatewaySite,
) -> None:
    site.add("one", "app").default_script = whole_body
    answer = site.call("/unsafe/x")
    assert answer.status == 200 and answer.body == b"the whole body"


def test_a_body_whose_connection_is_reset_is_not_whole(
    site: gatewaysite.GatewaySite,
) -> None:
    site.add("one", "app").default_script = half_body
    assert site.call("/unsafe/x").status == 502
