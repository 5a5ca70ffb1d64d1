"""Connections for urllib3 on which an answer is read strictly, and must be complete.

The standard library accepts heads that are none, and takes the end of a connection for
the end of a head.  Its reader is replaced by ``http_answer``.

urllib3 ignores a reset while a request is being sent, and reads on.  A part of an
answer that has no length would then count as the whole.
"""

import contextlib
import http.client
import socket
import typing

import h11
import urllib3
import urllib3.connection

from gaprock import answer_memory, byte_pieces, clock, http_answer, tcp_reset

READ_BYTES: typing.Final = 64 * 1024
# Shortest time-out of a read; 0 would mean not to wait at all.
MIN_TIMEOUT_S: typing.Final = 0.001


class TooLong(urllib3.exceptions.HTTPError):
    """An answer is larger than allowed, or takes longer."""


def read_some(
    resp: urllib3.BaseHTTPResponse, deadline: float, clock_: clock.Clock
) -> bytes:
    """Read bytes of a body that have arrived, or wait for some; none at its end.

    :raises TooLong: when the deadline has passed.
    :raises urllib3.exceptions.HTTPError: when the connection broke or was silent.
    """
    left = deadline - clock_.now()
    if left <= 0:
        raise TooLong("the answer goes on after the deadline")
    answer = getattr(resp, "_original_response", None)
    if isinstance(answer, StrictResponse):
        answer.limit_timeout(left)
    return resp.read1(READ_BYTES)


def read_body(
    resp: urllib3.BaseHTTPResponse,
    max_bytes: int,
    deadline: float,
    clock_: clock.Clock,
    memory: answer_memory.AnswerMemory | None = None,
) -> bytes:
    """Read a body to its end, and release its connection.

    :param memory: counts its bytes while it is being read.
    :raises TooLong: when it is larger than allowed, or the deadline has passed.
    :raises urllib3.exceptions.HTTPError: when it broke off.
    """
    body = byte_pieces.BytePieces()
    try:
        while piece := read_some(resp, deadline, clock_):
            size = body.size + len(piece)
            if size > max_bytes:
                raise TooLong(f"the answer is larger than {max_bytes} bytes")
            if memory is not None and not memory.change(body.size, size):
                raise TooLong(f"no memory after {body.size} bytes")
            body.add(piece)
        resp.release_conn()
        return body.join()
    except BaseException:
        resp.close()
        raise
    finally:
        if memory is not None:
            memory.change(body.size, 0)
        # The exception of a failure would keep it for as long as it is handled.
        body.clear()


class _Sending:
    """How a request was sent."""

    __slots__ = ("error",)

    def __init__(self) -> None:
        # Why the rest of the request was not sent.
        self.error: OSError | None = None


class StrictResponse(http.client.HTTPResponse):
    """An answer that is read strictly.

    :param sending: how its request was sent.
    """

    def __init__(
        self, sock: socket.socket, method: str | None, sending: "_Sending"
    ) -> None:
        super().__init__(sock, method=method)
        self._sock = sock
        self._sending = sending
        self._answer = _new_parser(method or "GET")
        # Bytes of the body that were parsed and not read.
        self._parsed = b""
        # When the wait for the head ends.
        self._head_until = clock.NEVER

    def begin(self) -> None:
        """Read the head.

        :raises http.client.HTTPException: if there is no whole head.
        """
        # The time-out of a read is that of the whole head.
        time, timeout_s = clock.SteadyClock(), self._sock.gettimeout()
        if timeout_s is not None:
            self._head_until = time.now() + timeout_s
        event = self._next_event()
        self._head_until = clock.NEVER
        self._sock.settimeout(timeout_s)
        if not isinstance(event, h11.Response):
            raise http.client.BadStatusLine("no answer")
        self.code = self.status = event.status_code
        self.reason = event.reason.decode("latin-1")
        self.version = 10 if event.http_version == b"1.0" else 11
        self.headers = self.msg = http.client.HTTPMessage()
        for name, value in event.headers.raw_items():
            self.headers[name.decode()] = value.decode("latin-1")
        self.chunked = False
        self.length = None
        self.will_close = (
            self._check_close()  # type: ignore[attr-defined]
            or self._answer.ends_with_connection
        )

    def limit_timeout(self, seconds: float) -> None:
        """Let no read that follows wait for longer."""
        if self.fp is None:
            return
        timeout_s = self._sock.gettimeout()
        if timeout_s is None or seconds < timeout_s:
            self._sock.settimeout(max(MIN_TIMEOUT_S, seconds))

    def read(self, amt: int | None = None) -> bytes:
        """Read bytes of the body that have arrived, or all of it.

        :raises http.client.HTTPException: if the connection broke off.
        """
        if amt is not None:
            return self.read1(amt)
        pieces = []
        while piece := self.read1(READ_BYTES):
            pieces.append(piece)
        return b"".join(pieces)

    def read1(self, n: int = -1) -> bytes:
        """Read bytes of the body that have arrived; none at its end.

        :raises http.client.HTTPException: if the connection broke off.
        """
        if not self._parsed and self.fp is not None:
            event = self._next_event()
            if isinstance(event, h11.Data):
                self._parsed = bytes(event.data)
            else:
                self._end()
        size = len(self._parsed) if n < 0 else n
        data, self._parsed = self._parsed[:size], self._parsed[size:]
        return data

    def _next_event(self) -> typing.Any:
        assert self.fp is not None
        try:
            while (event := self._answer.next_event()) is h11.NEED_DATA:
                if self._head_until != clock.NEVER:
                    self.limit_timeout(self._head_until - clock.SteadyClock().now())
                self._answer.receive(self.fp.read1(READ_BYTES))
        except http_answer.Malformed as exc:
            raise http.client.HTTPException(str(exc)) from exc
        return event

    def _end(self) -> None:
        """Close the answer, whose end was read.

        :raises http.client.HTTPException: if its connection was reset.
        """
        if self._answer.ends_with_connection:
            error = self._sending.error
            if error is not None or tcp_reset.follows(self._sock):
                raise http.client.HTTPException(f"reset: {error}")
        self._close_conn()

    def _close_conn(self) -> None:
        if self._answer.has_excess:
            # What is left would be taken for the answer to the next request.
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
        super()._close_conn()  # type: ignore[misc]


def _new_parser(method: str) -> http_answer.Parser:
    """Build a parser for the answer to a request."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method=method, target="/", headers=[("Host", "x")]))
    conn.send(h11.EndOfMessage())
    return http_answer.Parser(conn, method.encode())


class _Tracked(urllib3.connection.HTTPConnection):
    """A connection that remembers why a request was not sent to its end."""

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self._sending = _Sending()

    def request(self, *args: typing.Any, **options: typing.Any) -> None:
        """Send a request."""
        self._sending = _Sending()
        super().request(*args, **options)

    def send(self, data: typing.Any) -> None:
        """Send bytes of a request.

        :raises OSError: when that fails; urllib3 ignores some of these errors.
        """
        try:
            super().send(data)
        except OSError as exc:
            self._sending.error = exc
            raise

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, method: str | None = None
    ) -> StrictResponse:
        """Build the answer to the request that was sent last."""
        return StrictResponse(sock, method, self._sending)


class Connection(_Tracked):
    """A connection for plain HTTP."""


class SecureConnection(_Tracked, urllib3.connection.HTTPSConnection):
    """A connection with TLS."""


class Pool(urllib3.HTTPConnectionPool):
    """Connections to one host."""

    ConnectionCls = Connection


class SecurePool(urllib3.HTTPSConnectionPool):
    """Connections with TLS to one host."""

    ConnectionCls = SecureConnection


class PoolManager(urllib3.PoolManager):
    """Connections to any host."""

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": Pool, "https": SecurePool}
