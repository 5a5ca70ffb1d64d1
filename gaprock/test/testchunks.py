"""Requests whose bodies come in chunks."""

import contextlib
import socket
import typing

import hypothesis
import pytest
from hypothesis import strategies as st

from gaprock import caller_chunks, caller_input
from gaprock.test import gatewaysite
from gaprock.test.fakes import backend

BODY_BYTES: typing.Final = 4 * 1024 * 1024
EXTENSIONS: typing.Final = [b"", b";a=b", b" ;c"]


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


def test_a_chunk_that_comes_too_slowly_is_given_up(
    site: gatewaysite.GatewaySite, monkeypatch: pytest.MonkeyPatch
) -> None:
    fake = site.add("one", "app")
    monkeypatch.setattr(caller_input, "REQUEST_TIMEOUT_S", 0.5)
    with start(site, b"ff\r\nx") as sock:
        sock.settimeout(0.05)
        with contextlib.suppress(ConnectionError):
            while True:
                try:
                    data = sock.recv(65536)
                    break
                except TimeoutError:
                    sock.sendall(b"x")
    assert b" 408 " in data
    assert not fake.seen


DECODED: typing.Final = 10_000


class Reference:
    """A plain decoder of whole bodies, to compare with."""

    def __init__(self, data: bytes) -> None:
        self.body = b""
        self.rest = data
        while True:
            line, _, self.rest = self.rest.partition(b"\r\n")
            size = int(line.partition(b";")[0], 16)
            self.body, self.rest = self.body + self.rest[:size], self.rest[size:]
            if not size:
                break
            assert self.rest[:2] == b"\r\n"
            self.rest = self.rest[2:]
        while line != b"":
            line, _, self.rest = self.rest.partition(b"\r\n")


@hypothesis.given(
    st.lists(
        st.tuples(st.binary(min_size=1, max_size=40), st.sampled_from(EXTENSIONS))
    ),
    st.lists(st.sampled_from([b"a: b", b"c:" + b"d" * 100]), max_size=5),
    st.binary(max_size=20),
    st.lists(st.integers(1, 30)),
)
def test_bodies_in_any_chunks_and_pieces_are_decoded_like_by_a_reference(
    chunks: list[tuple[bytes, bytes]],
    trailers: list[bytes],
    rest: bytes,
    cuts: list[int],
) -> None:
    data = b"".join(b"%x%b\r\n%b\r\n" % (len(one), ext, one) for one, ext in chunks)
    data += b"0\r\n" + b"".join(line + b"\r\n" for line in trailers) + b"\r\n" + rest
    decoder = caller_chunks.ChunkDecoder(DECODED)
    body, left = b"", b""
    while data_left := data[:]:
        size = cuts.pop() if cuts else len(data_left)
        if decoder.is_complete:
            left += data_left
            break
        pieces, after = decoder.decode(data_left[:size])
        body, left, data = body + b"".join(pieces), left + after, data[size:]
    expected = Reference(
        b"".join(b"%x%b\r\n%b\r\n" % (len(one), ext, one) for one, ext in chunks)
        + b"0\r\n"
        + b"".join(line + b"\r\n" for line in trailers)
        + b"\r\n"
        + rest
    )
    assert (body, left) == (expected.body, expected.rest)
    assert decoder.is_complete


@hypothesis.given(st.binary(max_size=200), st.lists(st.integers(1, 30)))
def test_any_bytes_are_decoded_alike_in_any_pieces(
    data: bytes, cuts: list[int]
) -> None:
    def decode(sizes: list[int]) -> bytes | None:
        decoder, body, left = caller_chunks.ChunkDecoder(DECODED), b"", data
        while left and not decoder.is_complete:
            size = sizes.pop() if sizes else len(left)
            try:
                pieces, _ = decoder.decode(left[:size])
            except (ValueError, caller_chunks.TooLarge):
                return None
            body, left = body + b"".join(pieces), left[size:]
        return body

    assert decode(cuts) == decode([])


@pytest.mark.parametrize("size", [1, 2, 7, 1000, 4096, 65536, BODY_BYTES])
def test_a_body_as_large_as_allowed_is_served_in_chunks_of_any_size(
    site: gatewaysite.GatewaySite, size: int
) -> None:
    limits = {"BodyBytes": BODY_BYTES, "IdleMs": 15_000}
    routes = [gatewaysite.route("/safe/", "safe", "app", TimeoutMs=60_000)]
    site.store.put("op", "config", gatewaysite.config(2, Limits=limits, Routes=routes))
    bodies = site.gateway.port.bodies
    gatewaysite.wait_until(lambda: bodies.max_body == BODY_BYTES, "configuration")
    fake = site.add("one", "app")
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    data = chunk * (BODY_BYTES // size)
    last = BODY_BYTES % size
    data += b"%x\r\n%b\r\n" % (last, b"x" * last) if last else b""
    sock = start(site, b"")
    sock.settimeout(60)
    sock.sendall(data + b"0\r\n\r\n")
    assert answer(sock).status == 200
    assert fake.seen[0].body == b"x" * BODY_BYTES
