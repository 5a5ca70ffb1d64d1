"""Servers that answer a long upload from its head, and reset the connection."""

import contextlib
import socket
import threading
import time
import typing

import pytest

from gaprock import tcp_reset
from gaprock.test import gatewaysite, rawserver
from gaprock.test.fakes import backend

UPLOAD: typing.Final = b"u" * (4 * 1024 * 1024)
LIMITS: typing.Final = {"BodyBytes": len(UPLOAD), "IdleMs": 15_000}
PART: typing.Final = b"b" * 2800
EVENTS: typing.Final = backend.event(1) + backend.event(2)
# Seconds from the answer to the reset; ``None`` closes the connection at once, with the
# upload unread.
ENDS: typing.Final = [None, 0.0, 0.01, 0.05, 0.2, 1.0]


def answers_and_resets(
    after_s: float | None,
    body: bytes = PART,
    version: bytes = b"1.1",
    status: int = 200,
    **more: str,
) -> backend.Script:
    """Send an answer without a length, and then end the connection."""

    def script(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        start = backend.head(seen, status, None, **more)
        conn.sendall(start.replace(b"1.1", version, 1) + body)
        if after_s is not None:
            time.sleep(after_s)
            rawserver.reset(conn)

    return script


def ends_its_side(*, has_length: bool, reads: bool = True) -> backend.Script:
    """Send a whole answer, end this side, and go on reading the upload."""

    def script(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        body = PART if has_length else None
        conn.sendall(backend.head(seen, body=body) + PART)
        conn.shutdown(socket.SHUT_WR)
        if not reads:
            threading.Event().wait(1.0)
        while more := conn.recv(65536):
            seen.body += more

    return script


@contextlib.contextmanager
def upload_site(
    service: str, script: backend.Script
) -> typing.Iterator[gatewaysite.GatewaySite]:
    """Run a gateway that accepts long uploads, with one endpoint."""
    with gatewaysite.GatewaySite() as site:
        site.store.put("op", "config", gatewaysite.config(2, Limits=LIMITS))
        bodies = site.gateway.port.bodies
        gatewaysite.wait_until(lambda: bodies.max_body == len(UPLOAD), "limits")
        fake = site.add("one", service)
        fake.answers_from_head = True
        fake.default_script = script
        yield site


def upload(site: gatewaysite.GatewaySite, target: str) -> gatewaysite.Answer:
    more = {"X_Model": "*", "X_Token_Counts": "100,20"} if "gen" in target else {}
    return site.call(target, UPLOAD, **more)


@pytest.mark.parametrize("after_s", ENDS)
def test_a_part_of_an_answer_is_not_whole_after_a_reset_beside_the_upload(
    after_s: float | None,
) -> None:
    with upload_site("app", answers_and_resets(after_s)) as site:
        assert upload(site, "/unsafe/x").status == 502


@pytest.mark.parametrize(
    "script",
    [
        answers_and_resets(0.05, b"", b"1.0", Connection="close"),
        answers_and_resets(0.05, PART, status=404),
        answers_and_resets(0.05, b"b" * 300_000),
    ],
    ids=["no byte of a body", "status 404", "a long body"],
)
def test_no_kind_of_answer_is_whole_after_a_reset_beside_the_upload(
    script: backend.Script,
) -> None:
    with upload_site("app", script) as site:
        assert upload(site, "/unsafe/x").status == 502


@pytest.mark.parametrize("after_s", ENDS)
def test_a_stream_does_not_end_as_complete_by_a_reset_beside_the_upload(
    after_s: float | None,
) -> None:
    script = answers_and_resets(
        after_s, EVENTS, Content_Type="text/event-stream", X_Confidence="90"
    )
    with upload_site("llm", script) as site:
        answer = upload(site, "/gen/x")
        assert answer.status != 200 or not answer.whole


@pytest.mark.parametrize("has_length", [False, True])
def test_an_answer_beside_an_upload_that_is_read_to_its_end_is_whole(
    has_length: bool,
) -> None:
    with upload_site("app", ends_its_side(has_length=has_length)) as site:
        answer = upload(site, "/unsafe/x")
        assert answer.status == 200 and answer.body == PART


def test_an_answer_that_ended_in_order_is_delivered_though_the_upload_is_unread() -> (
    None
):
    script = ends_its_side(has_length=False, reads=False)
    with upload_site("app", script) as site:
        began = time.monotonic()
        answer = upload(site, "/unsafe/x")
        assert answer.status == 200 and answer.body == PART
        assert time.monotonic() - began < 1.0


@pytest.mark.parametrize("size", [100, 300_000])
def test_an_answer_without_a_length_to_a_short_upload_is_not_whole_after_a_reset(
    size: int,
) -> None:
    with upload_site("app", answers_and_resets(0.05)) as site:
        assert site.call("/unsafe/x", b"u" * size).status == 502


def test_a_reset_that_follows_the_end_of_an_answer_makes_it_broken() -> None:
    def ends_then_resets(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        conn.sendall(backend.head(seen) + PART)
        conn.shutdown(socket.SHUT_WR)
        time.sleep(tcp_reset.WAIT_S / 5)
        rawserver.reset(conn)

    with upload_site("app", ends_then_resets) as site:
        assert upload(site, "/unsafe/x").status == 502


@pytest.mark.parametrize("after_s", [0.0, 0.05])
def test_an_answer_that_has_no_body_is_whole_though_the_upload_was_reset(
    after_s: float,
) -> None:
    script = answers_and_resets(after_s, b"", status=204)
    with upload_site("app", script) as site:
        assert upload(site, "/unsafe/x").status == 204
