"""Clients that do not behave, as a process: many connections that send one pattern.

A client whose connection ends connects again.  The arguments are HOST, PORT, PATTERN
and COUNT; the process runs until its standard input ends.
"""

import collections.abc
import contextlib
import itertools
import selectors
import socket
import sys
import threading
import time
import typing
import uuid

import zmq

HOST: typing.Final = "host.example"
KEY: typing.Final = "key-of-ws"
BODY_BYTES: typing.Final = 4 * 1024 * 1024
BLOCK: typing.Final = b"x" * 65536
SEND_BYTES: typing.Final = 256 * 1024
# Pause before a client connects again, and between two bytes of one that sends slowly.
RECONNECT_S: typing.Final = 0.05
DRIP_S: typing.Final = 0.3

# Pieces to send; an empty one is a pause.  The connection stays open after the last.
Pieces = collections.abc.Iterable[bytes]


def head(target: str = "/safe/x", host: str = HOST, **headers: object) -> bytes:
    """Build the head of a request."""
    lines = [f"POST {target} HTTP/1.1", f"Host: {host}", f"Authorization: Bearer {KEY}"]
    lines += [f"X-Request-Id: {uuid.uuid4().hex}", "X-Deadline-Ms: 55000"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def chunked(**more: str) -> bytes:
    """Build the head of a request in chunks."""
    return head(**more, Transfer_Encoding="chunked")


def one_short(size: int) -> Pieces:
    """Send all but one byte of a size."""
    blocks, rest = divmod(size - 1, len(BLOCK))
    return itertools.chain(itertools.repeat(BLOCK, blocks), [b"x" * rest])


def large_chunk(start: bytes) -> Pieces:
    """Send one chunk as large as a body may be, less a byte."""
    return itertools.chain([start, b"%x\r\n" % BODY_BYTES], one_short(BODY_BYTES))


def chunks_of_64_kb() -> Pieces:
    whole = b"10000\r\n" + BLOCK + b"\r\n"
    yield chunked()
    yield from itertools.repeat(whole, BODY_BYTES // len(BLOCK) - 1)
    yield whole[:-3]


def drip(start: bytes, piece: bytes) -> Pieces:
    yield start
    while True:
        yield b""
        yield piece


def long_head(size: int) -> Pieces:
    return [head()[:-2] + b"X-Long: " + b"x" * size]


def entry_body(path: str, key: str) -> Pieces:
    """Send a body as large as an entry reads, less a byte."""
    size = 1024 * 1024
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {size}"]
    lines += [f"Authorization: Bearer {key}"] if key else []
    return itertools.chain(["\r\n".join([*lines, "", ""]).encode()], one_short(size))


def endless(start: bytes, piece: bytes) -> Pieces:
    block = piece * max(1, len(BLOCK) // len(piece))
    return itertools.chain([start], itertools.repeat(block))


BYTE: typing.Final = b"1\r\nx\r\n"

PATTERNS: typing.Final[dict[str, typing.Callable[[], Pieces]]] = {
    "silence": lambda: [],
    "half-a-head": lambda: [b"GET / HTTP/1.1\r\nHost: x\r\n"],
    "long-head": lambda: long_head(60_000),
    "head-at-the-limit": lambda: long_head(16_000),
    "endless-head": lambda: endless(head()[:-2], b"X-Long: x\r\n"),
    "length-one-short": lambda: itertools.chain(
        [head(Content_Length=BODY_BYTES)], one_short(BODY_BYTES)
    ),
    "expect-one-short": lambda: itertools.chain(
        [head(Content_Length=BODY_BYTES, Expect="100-continue")], one_short(BODY_BYTES)
    ),
    "large-chunk-one-short": lambda: large_chunk(chunked()),
    "large-chunk-no-route": lambda: large_chunk(chunked(host="no.example")),
    "chunks-of-64-kb-one-short": chunks_of_64_kb,
    "chunks-of-a-byte": lambda: endless(chunked(), BYTE),
    "chunks-of-a-byte-then-silence": lambda: [chunked(), BYTE * 60_000],
    "chunks-with-extensions": lambda: endless(
        chunked(), b"1;" + b"e" * 4000 + b"\r\nx\r\n"
    ),
    "chunks-slowly": lambda: drip(chunked(), BYTE),
    "trailers-without-end": lambda: endless(
        chunked() + b"1\r\nx\r\n0\r\n", b"a: b\r\n"
    ),
    "trailer-line-without-end": lambda: endless(chunked() + b"0\r\na: ", b"b"),
    "trailers-slowly": lambda: drip(chunked() + b"0\r\na: ", b"b"),
    "length-slowly": lambda: drip(head(Content_Length=1000), b"x"),
    "body-of-400-mb": lambda: itertools.chain(
        [
            b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 400000000\r\n\r\n"
        ],
        one_short(400_000_000),
    ),
    # Requests of which no answer is read.
    "pipelined-unread": lambda: endless(b"", head("/large/x", Content_Length=0)),
    "garbage": lambda: endless(b"", b"\xff\x00garbage"),
    "entry-no-key": lambda: entry_body("/v1/chat/completions", ""),
    "entry-key": lambda: entry_body("/v1/chat/completions", "a-caller-key"),
    "entry-operators": lambda: entry_body("/operator/template", ""),
}
# Frames of this size from clients of ZeroMQ.
PEER_PREFIX: typing.Final = "peer-frames-"


class Client:
    """One connection of the crowd."""

    def __init__(self, address: tuple[str, int], pattern: str) -> None:
        self._address = address
        self._pattern = PATTERNS[pattern]
        self.reads = pattern != "pipelined-unread"
        self._rest = b""
        self.sock: socket.socket | None = None
        self.wake_at = 0.0
        self._pieces: collections.abc.Iterator[bytes] = iter([])
        self.has_more = False

    def connect(self) -> None:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.sock.connect(self._address)
        self._pieces, self._rest, self.has_more = iter(self._pattern()), b"", True

    def send(self) -> None:
        """Send until the connection takes no more, or a pause is due."""
        assert self.sock is not None
        sent = 0
        with contextlib.suppress(BlockingIOError):
            while sent < SEND_BYTES:
                if not self._rest:
                    piece = next(self._pieces, None)
                    if piece is None:
                        self.has_more = False
                        return
                    if not piece:
                        self.wake_at = time.monotonic() + DRIP_S
                        return
                    self._rest = piece
                count = self.sock.send(self._rest)
                self._rest = self._rest[count:]
                sent += count


class Crowd:
    """All connections of a process."""

    def __init__(self, address: tuple[str, int], pattern: str, count: int) -> None:
        self._selector = selectors.DefaultSelector()
        self._clients = [Client(address, pattern) for _ in range(count)]

    def run(self, is_over: threading.Event) -> None:
        """Send until the event is set."""
        while not is_over.is_set():
            now = time.monotonic()
            for client in self._clients:
                if client.wake_at <= now:
                    self._wake(client)
            for key, events in self._selector.select(0.05):
                self._serve(key.data, events)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            if client.sock is not None:
                client.sock.close()
        self._selector.close()

    def _wake(self, client: Client) -> None:
        client.wake_at = float("inf")
        if client.sock is None:
            client.connect()
            assert client.sock is not None
            self._selector.register(client.sock, self._events(client), client)
        else:
            self._selector.modify(client.sock, self._events(client), client)

    @staticmethod
    def _events(client: Client) -> int:
        is_sending = client.has_more and client.wake_at == float("inf")
        reading = selectors.EVENT_READ if client.reads else 0
        # An event is needed to register; errors are reported with any.
        return reading | (selectors.EVENT_WRITE if is_sending else 0) or 1

    def _serve(self, client: Client, events: int) -> None:
        assert client.sock is not None
        try:
            if events & selectors.EVENT_WRITE:
                client.send()
                self._selector.modify(client.sock, self._events(client), client)
            if events & selectors.EVENT_READ and client.reads:
                with contextlib.suppress(BlockingIOError):
                    if not client.sock.recv(65536):
                        raise ConnectionError("closed")
        except OSError:
            self._selector.unregister(client.sock)
            client.sock.close()
            client.sock, client.wake_at = None, time.monotonic() + RECONNECT_S


def push_frames(address: str, size: int, count: int, is_over: threading.Event) -> None:
    """Send messages as a peer would, on many connections."""
    context = zmq.Context()
    socks = [context.socket(zmq.PUSH) for _ in range(count)]
    for sock in socks:
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.SNDHWM, 2)
        sock.connect(address)
    frame = b"x" * size
    while not is_over.wait(0.001):
        for sock in socks:
            with contextlib.suppress(zmq.Again):
                for _ in range(50):
                    sock.send(frame, zmq.NOBLOCK)


def main(argv: list[str]) -> int:
    """Run a crowd and return the exit code."""
    host, port, pattern, count = argv
    is_over = threading.Event()

    def wait() -> None:
        sys.stdin.read()
        is_over.set()

    threading.Thread(target=wait, daemon=True).start()
    if pattern.startswith(PEER_PREFIX):
        size = int(pattern.removeprefix(PEER_PREFIX))
        push_frames(f"tcp://{host}:{port}", size, int(count), is_over)
    else:
        Crowd((host, int(port)), pattern, int(count)).run(is_over)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
