"""Requests as they arrive, so that no thread waits for a caller that sends slowly.

A ``RequestReader`` takes the place of the server's reader of a connection.  While a
head or a body is incomplete, the connection stays with the server's selector instead
of keeping a thread.  The server parses a request once all of it has arrived.
"""

import enum
import io
import os
import re
import select
import socket
import typing

from gaprock import caller_chunks, clock, eventlog

# Longest head of a request; the server refuses a longer one, so it is not waited for.
MAX_HEAD_BYTES: typing.Final = 64 * 1024
READ_BYTES: typing.Final = 64 * 1024
# Reads of one visit, so that a fast sender does not keep a thread from others.
MAX_READS: typing.Final = 16
# Longest wait for the first bytes of a new connection, ms.  They usually arrive within
# it, which saves a second visit of the connection.
FIRST_WAIT_MS: typing.Final = 5
# A request that is not whole after this long is given up, seconds.  It is several times
# the longest time that a route allows for a whole answer.
REQUEST_TIMEOUT_S: typing.Final = 60.0
HEAD_END: typing.Final = b"\r\n\r\n"
# The server refuses a head with such a line, so it is not waited for.
BARE_LINE_END: typing.Final = re.compile(rb"(?<!\r)\n")
LENGTH: typing.Final = re.compile(
    rb"\r\ncontent-length:[ \t]*([0-9]{1,18})[ \t]*\r\n", re.I
)
FRAMED: typing.Final = re.compile(rb"\r\n(?:content-length|transfer-encoding):", re.I)
CHUNKED: typing.Final = re.compile(
    rb"\r\ntransfer-encoding:[ \t]*chunked[ \t]*\r\n", re.I
)
EXPECT: typing.Final = re.compile(rb"\r\nexpect:[ \t]*100-continue[ \t]*\r\n", re.I)
OLD_PROTOCOL: typing.Final = re.compile(rb"^(?:\r\n)?[^\r\n]* HTTP/1\.0\r\n")
CONTINUE: typing.Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class Refusal(enum.Enum):
    """Why a body is not read to its end."""

    MALFORMED = enum.auto()
    TOO_LARGE = enum.auto()
    TOO_SLOW = enum.auto()
    NO_MEMORY = enum.auto()
    BROKEN_OFF = enum.auto()


class Admission(enum.Enum):
    """Whether a body may be read."""

    YES = enum.auto()
    LATER = enum.auto()
    NO = enum.auto()


class Admit(typing.Protocol):
    """Decides whether a body may be read; it is asked once its request's head is whole.

    :param length: its length; ``None`` if that is not known.
    """

    def __call__(self, length: int | None, /) -> Admission:
        """Decide."""


class RequestReader:
    """Reads a connection, one request after the other.

    The server reads the head from here like from a file.

    :param sock: a connection with a time-out, so its descriptor does not block.
    :param max_body: returns the largest body that is read.
    :param first_wait_ms: longest wait for the first bytes.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock_: clock.Clock,
        admit: Admit,
        max_body: typing.Callable[[], int],
        first_wait_ms: int = FIRST_WAIT_MS,
    ) -> None:
        self._sock = sock
        self._clock = clock_
        self._admit = admit
        self._max_body = max_body
        # For the server's statistics.
        self.bytes_read = 0
        self.closed = False
        # Bytes that belong to no whole head yet, and how many were searched for its
        # end.  Behind a whole request, they are the beginning of the next one.
        self._arrived = bytearray()
        self._searched = 0
        self._head = io.BytesIO()
        self._head_size = 0
        # The body so far; its buffer becomes the body without a copy.
        self._body: io.BytesIO | None = None
        self._body_size = 0
        # Bytes left of a body with a length, or else the decoder of its chunks.
        self._left = 0
        self._chunks: caller_chunks.ChunkDecoder | None = None
        # Whether the request waits until its body may be read.
        self.awaits_admission = False
        self.refusal: Refusal | None = None
        self._is_ready = False
        # Whether the request has a body that is not read, so that nothing after its
        # head is a request.
        self.is_unframed = False
        self._first_wait_ms = first_wait_ms
        self.began_at = 0.0
        # When the head was whole; 0 before.
        self.head_at = 0.0

    # -- For the server --

    def readline(self, size: int = -1) -> bytes:
        """Read a line of the head."""
        return self._head.readline(size)

    def read(self, size: int = -1) -> bytes:
        """Read bytes of the head."""
        return self._head.read(size)

    def close(self) -> None:
        """Release all bytes."""
        self.closed = True
        self.drop_body()
        self._arrived = bytearray()

    def has_data(self) -> bool:
        """Whether a request, or its beginning, arrived with the one before it."""
        return not self.began_at and bool(self._arrived)

    # -- For the connection --

    @property
    def is_waiting(self) -> bool:
        """Whether a part of a request has arrived and more is awaited."""
        return bool(self.began_at) and not self._is_ready

    @property
    def has_head(self) -> bool:
        """Whether the head of the request is whole."""
        return bool(self.head_at)

    @property
    def size(self) -> int:
        """Bytes held of the request, and of those after it."""
        return self._head_size + self._body_size + len(self._arrived)

    @property
    def body_length(self) -> int | None:
        """The length of the body; ``None`` if it is not known in advance."""
        return None if self._chunks is not None else self._body_size + self._left

    def has_expired(self) -> bool:
        """Whether the request did not become whole in time."""
        return (
            self.is_waiting and self._clock.now() >= self.began_at + REQUEST_TIMEOUT_S
        )

    def refuse(self, refusal: Refusal) -> None:
        """Read no more of the body; the request is ready to be answered so."""
        self.refusal, self._is_ready = refusal, True
        self.awaits_admission = False
        self.drop_body()

    def drop_body(self) -> None:
        """Release the body."""
        self._body, self._body_size, self._left = None, 0, 0
        if self.refusal is not None:
            self._arrived = bytearray()

    def take_body(self) -> bytes:
        """Return the body."""
        body, self._body = self._body, None
        return body.getvalue() if body is not None else b""

    def is_ready(self) -> bool:
        """Read what has arrived; return whether the request need not be waited for.

        Malformed requests are ready as soon as that is known.
        """
        if self._is_ready or (self._arrived and not self.head_at and self._find_head()):
            return True
        for _ in range(MAX_READS):
            data = self._read_arrived()
            if data is None:
                return self._is_ready
            if not self.began_at:
                self.began_at = self._clock.now()
            if not data:
                # The caller closed its sending side.
                self._end_input()
                return True
            self._take(data)
            # Chunks take much more time than other bytes, and are counted only after
            # each visit.
            if self._is_ready or self.awaits_admission or self._chunks is not None:
                return self._is_ready
        return self._is_ready

    def admit(self) -> None:
        """Read the body, which may be read now."""
        self.awaits_admission = False
        self._begin_body()

    def begin_next(self) -> None:
        """Expect the next request."""
        self.drop_body()
        self._head, self._head_size = io.BytesIO(), 0
        self._chunks, self._searched = None, 0
        self._is_ready, self.refusal, self.is_unframed = False, None, False
        self.began_at = self.head_at = 0.0

    # -- The head --

    def _take(self, data: bytes) -> None:
        if self._body is not None:
            self._take_body(data)
        else:
            self._arrived += data
            if not self.head_at:
                self._find_head()

    def _find_head(self) -> bool:
        """Look for the end of the head; return whether the request is ready."""
        now = self._clock.now()
        if not self.began_at:
            self.began_at = now
        start = max(0, self._searched - len(HEAD_END) + 1)
        end = self._arrived.find(HEAD_END, start)
        if end < 0:
            is_malformed = BARE_LINE_END.search(self._arrived, start) is not None
            self._searched = len(self._arrived)
            if self._searched > MAX_HEAD_BYTES:
                self._shorten_head()
                is_malformed = True
            if is_malformed:
                self._end_head(len(self._arrived))
                self._is_ready = self.is_unframed = True
            return self._is_ready
        self.head_at = now
        self._end_head(end + len(HEAD_END))
        self._judge_framing(self._head.getvalue())
        return self._is_ready

    def _shorten_head(self) -> None:
        """Replace the lines of a head that is too long by one line that is too long.

        The server takes much longer to refuse thousands of short lines.
        """
        line_end = self._arrived.find(b"\r\n", len(b"\r\n")) + len(b"\r\n")
        size = len(self._arrived) - line_end
        self._arrived[line_end:] = b"x" * size

    def _end_head(self, size: int) -> None:
        """Move the head to where the server reads it."""
        self._head = io.BytesIO(bytes(self._arrived[:size]))
        self._head_size = size
        del self._arrived[:size]

    def _judge_framing(self, head: bytes) -> None:
        """Find out how long the body is, and whether to read it."""
        length = LENGTH.search(head)
        if length is not None and not int(length.group(1)):
            length = None
        elif FRAMED.search(head) is None:
            self._is_ready = True
            return
        if length is not None:
            self._left = int(length.group(1))
        elif CHUNKED.search(head) and not OLD_PROTOCOL.match(head):
            self._chunks = caller_chunks.ChunkDecoder(self._max_body())
        else:
            # Without a body, or refused by the server.
            self.is_unframed = LENGTH.search(head) is None
            self._is_ready = True
            return
        if self._left > self._max_body():
            self.refuse(Refusal.TOO_LARGE)
            return
        admission = self._admit(None if self._chunks else self._left)
        if admission is Admission.NO:
            self.refuse(Refusal.NO_MEMORY)
        elif admission is Admission.LATER:
            self.awaits_admission = True
        else:
            self._begin_body()

    # -- The body --

    def _begin_body(self) -> None:
        self._body = io.BytesIO()
        data, self._arrived = bytes(self._arrived), bytearray()
        if data:
            self._take_body(data)
        if not self._is_ready and EXPECT.search(self._head.getvalue()):
            self._send_continue()

    def _take_body(self, data: bytes) -> None:
        assert self._body is not None
        if self._chunks is None:
            piece, rest = data[: self._left], data[self._left :]
            self._left -= len(piece)
            self._body_size += self._body.write(piece)
            is_whole = not self._left
        else:
            try:
                pieces, rest = self._chunks.decode(data)
            except caller_chunks.TooLarge:
                self.refuse(Refusal.TOO_LARGE)
                return
            except ValueError as exc:
                eventlog.info("body-malformed", error=exc)
                self.refuse(Refusal.MALFORMED)
                return
            self._body_size += self._body.write(b"".join(pieces))
            is_whole = self._chunks.is_complete
        if is_whole:
            self._arrived += rest
            self._is_ready = True

    def _send_continue(self) -> None:
        try:
            os.write(self._sock.fileno(), CONTINUE)
        except OSError as exc:
            # The caller sends its body also without it, or has left.
            eventlog.info("continue-not-sent", error=exc)

    # -- The connection --

    def _read_arrived(self) -> bytes | None:
        """Return arrived bytes; empty at the connection's end, ``None`` if none are."""
        wait_ms, self._first_wait_ms = self._first_wait_ms, 0
        if wait_ms:
            poller = select.poll()
            poller.register(self._sock.fileno(), select.POLLIN)
            if not poller.poll(wait_ms):
                return None
        try:
            data = os.read(self._sock.fileno(), READ_BYTES)
        except BlockingIOError:
            return None
        except OSError:
            return b""
        self.bytes_read += len(data)
        return data

    def _end_input(self) -> None:
        if self.head_at:
            self.refuse(Refusal.BROKEN_OFF)
        else:
            self._end_head(len(self._arrived))
            self._is_ready = self.is_unframed = True
