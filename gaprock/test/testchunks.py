"""Requests whose bodies come in chunks."""

import io
import socket
import typing

import pytest

from gaprock import caller_chunks, clock
from gaprock.test import gatewaysite
from gaprock.test.fakes import backend


def start(site: gatewaysite.GatewaySite, data: bytes) -> socket.socket:
    """Send the head of a request in chunks, and some bytes of its body."""
    head = site.request(
        "/safe/x", Content_Length="", Transfer_Encoding="chunked", Connection="close"
    )
    sock = site.connect()
    sock.sendall(head + data)
    return sock


def answer(sock: socket.socket) -> gatewaysite.Answer:
    with sock:
        return gatewaysite.Answer(gatewaysite.read_all(sock))


def test_a_chunk_that_is_too_large_is_refused_before_it_is_read(
    site: gatewaysite.GatewaySite,
) -> None:
    site.add("one", "app")
    assert answer(start(site, b"bebc200\r\n" + b"x" * 100)).status == 413
    assert (
        answer(start(site, b"1fff\r\n" + b"x" * 0x1FFF + b"\r\n1000\r\n")).status == 413
    )
    assert answer(start(site, b"f" * 40 + b"\r\n")).status == 413


@pytest.mark.parametrize(
    "data",
    [
        b"5\r\nhello\r\n0\r\n\r\n",
        b"1\r\nh\r\n04;name=value\r\nello\r\n0\r\nTrailer: x\r\n\r\n",
        b"".join(b"1\r\n%c\r\n" % byte for byte in b"hello") + b"000\r\n\r\n",
    ],
)
def test_chunks_are_joined(site: gatewaysite.GatewaySite, data: bytes) -> None:
    fake = site.add("one", "app")
    fake.default_script = backend.answer
    assert answer(start(site, data)).status == 200
    assert fake.seen[0].body == b"hello"


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\nhello\r\n0\r\n\r\n",
        b"-1\r\n0\r\n\r\n",
        b"\r\n",
        b"5\nhello\r\n0\r\n\r\n",
        b"5\r\nhello0\r\n\r\n",
        b"0\r\n" + b"a: b\r\n" * 100 + b"\r\n",
        b"0" * 5000,
    ],
)
def test_malformed_chunks_are_refused(
    site: gatewaysite.GatewaySite, data: bytes
) -> None:
    fake = site.add("one", "app")
    assert answer(start(site, data)).status == 400
    assert not fake.seen


class SlowSource(io.BytesIO):
    """A caller that sends a byte a second."""

    def __init__(self, data: bytes, time: clock.ManualClock) -> None:
        super().__init__(data)
        self._time = time

    def read1(self, size: int | None = -1, /) -> bytes:
        self._time.advance(1.0)
        return super().read1(1)


def test_a_chunk_that_comes_too_slowly_is_given_up() -> None:
    time = clock.ManualClock(100.0)
    source = typing.cast(caller_chunks.Source, SlowSource(b"ff\r\n" + b"x" * 255, time))
    body = caller_chunks.ChunkedBody(source, 0, time)
    with pytest.raises(caller_chunks.TooSlow):
        while body.read(100):
            pass
    assert time.now() <= 101.0 + caller_chunks.BODY_TIMEOUT_S
