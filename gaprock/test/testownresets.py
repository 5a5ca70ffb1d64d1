"""The own mode's clients before servers that reset the connection beside an upload."""

import socket
import time
import typing

import pytest
import urllib3

from gaprock import (
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
from gaprock.test import rawserver

UPLOAD: typing.Final = b"u" * (4 * 1024 * 1024)
PART: typing.Final = b'{"rows": []}'
HEAD: typing.Final = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nX-Stream-Id: s1\r\n\r\n"
NOT_FOUND: typing.Final = b"HTTP/1.1 404 Not Found\r\n\r\n"
# Seconds from the answer to the reset; ``None`` closes the connection at once, with the
# upload unread.
ENDS: typing.Final = [None, 0.0, 0.01, 0.05, 0.2, 1.0]
ANSWERS: typing.Final = {
    "a part": HEAD + PART,
    "no byte of a body": b"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n",
    "status 404": NOT_FOUND + PART,
    "a long body": HEAD + b"b" * 300_000,
}


def resets(answer: bytes, after_s: float | None) -> rawserver.Script:
    """Answer from the head alone, and end the connection."""

    def script(conn: socket.socket, head: bytes) -> None:
        conn.sendall(answer)
        if after_s is not None:
            time.sleep(after_s)
            rawserver.reset(conn)

    return script


def deadline() -> float:
    return clock.SteadyClock().now() + 5.0


def platform(address: str) -> services_http.Http:
    cfg = options.Options()
    cfg.platform = f"http://{address}"
    return services_http.Http(cfg)


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize("after_s", ENDS)
def test_a_part_of_an_endpoints_answer_is_not_whole_after_a_reset_beside_the_upload(
    after_s: float | None, repeatable: bool
) -> None:
    with rawserver.serve(resets(HEAD + PART, after_s)) as address:
        with pytest.raises(errors.GaprockError) as caught:
            rawserver.endpoint(address).call("/x", UPLOAD, "r1", deadline(), repeatable)
    assert caught.value.code is errorcodes.OUTCOME_UNKNOWN


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
def test_no_kind_of_answer_of_an_endpoint_is_whole_after_a_reset_beside_the_upload(
    answer: bytes,
) -> None:
    with rawserver.serve(resets(answer, 0.05)) as address:
        with pytest.raises(errors.GaprockError) as caught:
            rawserver.endpoint(address).call("/x", UPLOAD, "r1", deadline(), False)
    assert caught.value.code is errorcodes.OUTCOME_UNKNOWN


@pytest.mark.parametrize("after_s", ENDS)
def test_a_stream_of_an_endpoint_is_not_complete_after_a_reset_beside_the_upload(
    after_s: float | None,
) -> None:
    answer = HEAD + b"data: 1\n\ndata: 2\n\n"
    with rawserver.serve(resets(answer, after_s)) as address:
        stream = None
        try:
            stream = rawserver.endpoint(address).stream("/x", UPLOAD, "r1", deadline())
            while stream.read_parts():
                pass
        except (errors.GaprockError, urllib3.exceptions.HTTPError):
            return
        assert stream is not None and not stream.is_complete


@pytest.mark.parametrize("length", [b"", b"Content-Length: 12\r\n"])
def test_an_endpoints_answer_beside_an_upload_that_is_read_to_its_end_is_whole(
    length: bytes,
) -> None:
    answer = b"HTTP/1.1 200 OK\r\n" + length + b"\r\n" + PART
    with rawserver.serve(rawserver.sends(answer)) as address:
        got = rawserver.endpoint(address).call("/x", UPLOAD, "r1", deadline(), False)
    assert (got.status, got.body) == (200, PART)


def test_an_endpoints_answer_without_a_body_is_whole_though_the_upload_was_reset() -> (
    None
):
    answer = b"HTTP/1.1 204 No Content\r\n\r\n"
    with rawserver.serve(resets(answer, 0.05)) as address:
        got = rawserver.endpoint(address).call("/x", UPLOAD, "r1", deadline(), False)
    assert (got.status, got.body) == (204, b"")


@pytest.mark.parametrize("answer", [HEAD + PART, NOT_FOUND])
def test_an_object_is_not_written_or_missing_by_an_answer_that_was_reset(
    answer: bytes,
) -> None:
    with rawserver.serve(resets(answer, 0.05)) as address:
        objects = services_http.HttpObjects(platform(address))
        with pytest.raises(services_api.AnswerLost):
            objects.put("o", UPLOAD)


def test_a_part_of_a_services_answer_is_lost_after_a_reset_beside_the_upload() -> None:
    with rawserver.serve(resets(HEAD + b'{"rating": 1}', 0.05)) as address:
        rater = services_http.HttpRater(platform(address))
        assert rater.rate("ws", UPLOAD, b"answer") is None


def test_a_change_is_unknown_to_the_operator_after_a_reset_beside_the_upload() -> None:
    with rawserver.serve(resets(HEAD + PART, 0.05)) as address:
        cfg = options.Options()
        cfg.entry = f"http://{address}"
        with pytest.raises(errors.GaprockError) as caught:
            ctl_client.Client(cfg).call("PUT", "templates/t", UPLOAD)
    assert caught.value.code is errorcodes.CHANGE_UNKNOWN


@pytest.mark.parametrize("status", [200, 412])
def test_the_store_gave_no_answer_after_a_reset_beside_a_commit(status: int) -> None:
    answer = b'HTTP/1.1 %d X\r\nStore-Era: 1\r\n\r\n{"Ver": 7}' % status
    with rawserver.serve(resets(answer, 0.05)) as address:
        write = gateway_api.Write("t", "k", UPLOAD, 1)
        with pytest.raises(gateway_api.StoreError):
            store.PlatformStore(address).commit([write])
