"""Answers that are none, before a gateway: they never reach a caller."""

import gc
import socket
import typing

import h11
import pytest

from gaprock import clock, http_exchange
from gaprock.test import gatewaysite, oddanswers, rawserver
from gaprock.test.fakes import backend

TARGETS: typing.Final = ["/safe/x", "/unsafe/x", "/gen/x"]


def answers(
    status_line: bytes = b"HTTP/1.1 200 OK", fields: bytes = b"Content-Length: 4"
) -> backend.Script:
    """Answer the request, with a status line and field lines as they are."""

    def script(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        head = backend.head(seen, X_Confidence="90")
        _, sound = head.removesuffix(b"\r\n\r\n").split(b"\r\n", 1)
        conn.sendall(oddanswers.answer(status_line, fields + b"\r\n" + sound))

    return script


def read_exchange(data: bytes) -> tuple[int, bytes]:
    """Read an answer from an endpoint as a gateway does.

    :raises http_exchange.Broken: when it is none.
    """
    time = clock.SteadyClock()
    deadline = time.now() + 5.0
    with rawserver.serve(rawserver.sends(data)) as address:
        host, _, port = address.rpartition(":")
        caller = http_exchange.Caller(None)
        exchange = http_exchange.Exchange((host, int(port)), caller, time)
        try:
            exchange.connect(deadline)
            exchange.send(b"GET", b"/", [(b"host", b"x")], b"")
            head, body = exchange.read_head(deadline), b""
            while (more := exchange.read_data(deadline)) is not None:
                body += more
            return head.status, body
        finally:
            exchange.close()


def call(target: str, script: backend.Script) -> gatewaysite.Answer:
    """Call a gateway whose only endpoint answers by a script."""
    with gatewaysite.GatewaySite() as site:
        service = "llm" if target == "/gen/x" else "app"
        site.add("one", service).default_script = script
        more = {"X_Model": "large"} if service == "llm" else {}
        return site.call(target, b"p", "POST", **more)


@pytest.mark.parametrize("line", oddanswers.STATUS_LINES)
def test_an_answer_with_an_odd_status_line_is_none(line: bytes) -> None:
    with pytest.raises(http_exchange.Broken):
        read_exchange(oddanswers.answer(line))


@pytest.mark.parametrize("line", oddanswers.FIELD_LINES)
def test_an_answer_with_an_odd_field_line_is_none(line: bytes) -> None:
    for fields in oddanswers.beside_length(line):
        with pytest.raises(http_exchange.Broken):
            read_exchange(oddanswers.answer(fields=fields))


@pytest.mark.parametrize(("fields", "body"), oddanswers.FRAMING)
def test_an_answer_that_does_not_tell_its_end_is_none(
    fields: bytes, body: bytes
) -> None:
    with pytest.raises(http_exchange.Broken):
        read_exchange(oddanswers.answer(fields=fields, body=body))


@pytest.mark.parametrize("data", oddanswers.ALLOWED)
def test_an_odd_answer_that_the_protocol_allows_is_whole(data: bytes) -> None:
    status, body = read_exchange(data)
    assert status in (200, 299) and body == oddanswers.BODY


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
def test_an_answer_with_an_odd_status_reaches_no_caller(
    target: str, status: bytes
) -> None:
    answer = call(target, answers(b"HTTP/1.1 %s Some" % status))
    assert answer.status in (502, 503) and oddanswers.BODY not in answer.body


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("line", [b"a name: value", b"Content-Length\x0b: 2"])
def test_an_answer_with_an_odd_field_line_reaches_no_caller(
    target: str, line: bytes
) -> None:
    answer = call(target, answers(fields=line + b"\r\nContent-Length: 4"))
    assert answer.status in (502, 503) and oddanswers.BODY not in answer.body


@pytest.mark.parametrize("line", [b"a name: value", b"name: " + b"x" * 100_000])
def test_the_bytes_of_a_refused_answer_are_freed_without_the_collector(
    line: bytes,
) -> None:
    def parsers() -> set[int]:
        return {id(one) for one in gc.get_objects() if isinstance(one, h11.Connection)}

    gc.collect()
    gc.disable()
    try:
        before = parsers()
        with pytest.raises(http_exchange.Broken):
            read_exchange(oddanswers.answer(fields=line))
        assert not parsers() - before
    finally:
        gc.enable()
