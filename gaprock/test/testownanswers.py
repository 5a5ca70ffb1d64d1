"""Answers that are none, before the own mode's clients: they never count as answers."""

import socket
import typing

import pytest
import urllib3

from gaprock import (
    agent_endpoint,
    clock,
    ctl_client,
    errorcodes,
    errors,
    gateway_api,
    options,
    services_api,
    services_http,
)
from gaprock.platform import store
from gaprock.test import oddanswers, rawserver

# One answer of each kind, for clients that share their reader with an endpoint's.
SOME: typing.Final = [
    oddanswers.answer(b"HTTP/1.1 000 Some"),
    oddanswers.answer(b"HTTP/1.1 103 Early Hints"),
    oddanswers.answer(fields=b"a name: value\r\nContent-Length: 4"),
    oddanswers.answer(fields=b"Content-Length\x0b: 2\r\nContent-Length: 4"),
    oddanswers.answer(fields=b"Content-Length: 0_4"),
]


def call(data: bytes) -> agent_endpoint.Answer:
    """Call an endpoint that sends an answer as it is."""
    deadline = clock.SteadyClock().now() + 5.0
    with rawserver.serve(rawserver.sends(data)) as address:
        return rawserver.endpoint(address).call("/x", b"{}", "r1", deadline, True)


def check_is_no_answer(data: bytes) -> None:
    """Check that no part of an endpoint's client takes bytes for an answer."""
    with pytest.raises(errors.GaprockError) as caught:
        call(data)
    assert caught.value.code is errorcodes.OUTCOME_UNKNOWN


@pytest.mark.parametrize("line", oddanswers.STATUS_LINES)
def test_an_answer_with_an_odd_status_line_is_none(line: bytes) -> None:
    check_is_no_answer(oddanswers.answer(line))


@pytest.mark.parametrize("line", oddanswers.FIELD_LINES)
def test_an_answer_with_an_odd_field_line_is_none(line: bytes) -> None:
    for fields in oddanswers.beside_length(line):
        check_is_no_answer(oddanswers.answer(fields=fields))


@pytest.mark.parametrize(("fields", "body"), oddanswers.FRAMING)
def test_an_answer_that_does_not_tell_its_end_is_none(
    fields: bytes, body: bytes
) -> None:
    check_is_no_answer(oddanswers.answer(fields=fields, body=body))


@pytest.mark.parametrize("data", oddanswers.ALLOWED)
def test_an_odd_answer_that_the_protocol_allows_is_whole(data: bytes) -> None:
    answer = call(data)
    assert answer.status in (200, 299) and answer.body == oddanswers.BODY


@pytest.mark.parametrize("data", SOME)
def test_no_client_takes_an_odd_answer_for_one(data: bytes) -> None:
    with rawserver.serve(rawserver.sends(data)) as address:
        one, time = rawserver.endpoint(address), clock.SteadyClock()
        for read in (
            lambda: one.stream("/x", b"{}", "r1", time.now() + 5.0).read_parts(),
            lambda: one.resume("s1", 3, time.now() + 5.0).read_parts(),
            lambda: one.order("load", "small@1", 1),
            lambda: one.load(),
        ):
            with pytest.raises((errors.GaprockError, urllib3.exceptions.HTTPError)):
                read()
        cfg = options.Options()
        cfg.platform = cfg.entry = f"http://{address}"
        with pytest.raises(services_api.AnswerLost):
            services_http.HttpObjects(services_http.Http(cfg)).get("o")
        with pytest.raises(errors.GaprockError) as caught:
            ctl_client.Client(cfg).call("PUT", "templates/t", b"{}")
        assert caught.value.code is errorcodes.CHANGE_UNKNOWN
        rows = store.PlatformStore(address)
        for ask in (
            lambda: rows.read("t"),
            lambda: rows.commit([gateway_api.Write("t", "k", b"v", 1)]),
            lambda: rows.poll("t", 3, 1.0).page(),
        ):
            with pytest.raises(gateway_api.StoreError):
                ask()


def test_bytes_after_an_answer_are_not_taken_for_the_next_one() -> None:
    answers = [oddanswers.answer() + oddanswers.answer(b"HTTP/1.1 404 Some")]

    def script(conn: socket.socket, head: bytes) -> None:
        conn.sendall(answers.pop() if answers else oddanswers.answer())
        rawserver.read_head(conn)

    with rawserver.serve(script) as address:
        one, time = rawserver.endpoint(address), clock.SteadyClock()
        for _ in range(2):
            answer = one.call("/x", b"{}", "r1", time.now() + 5.0, True)
            assert answer.status == 200
