"""Connections for urllib3 on which an answer must be complete.

The standard library takes the end of a connection for the end of the head.  An answer
whose server stopped in the middle of its head would then count as one with fewer
headers and an empty body.

urllib3 ignores a reset while a request is being sent, and reads on.  A part of an
answer that has no length would then count as the whole.
"""

import http.client
import io
import socket
import typing

import urllib3
import urllib3.connection

from gaprock import tcp_reset

# The line that ends the head.
EMPTY_LINES: typing.Final = (b"\r\n", b"\n")


class _HeadReader:
    """Reads the lines of a head, and remembers the last one."""

    __slots__ = ("_reader", "last_line")

    def __init__(self, reader: io.BufferedIOBase) -> None:
        self._reader = reader
        self.last_line = b""

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; empty at the end of the connection."""
        self.last_line = self._reader.readline(size)
        return self.last_line

    def flush(self) -> None:
        """Do nothing, as for any reader."""

    def close(self) -> None:
        """Close the connection's reader."""
        self._reader.close()


class _Sending:
    """How a request was sent."""

    __slots__ = ("error",)

    def __init__(self) -> None:
        # Why the rest of the request was not sent.
        self.error: OSError | None = None


class WholeResponse(http.client.HTTPResponse):
    """An answer whose head ends with an empty line, and whose body was not reset.

    :param sending: how its request was sent.
    """

    def __init__(
        self,
        sock: socket.socket,
        method: str | None,
        sending: "_Sending",
    ) -> None:
        super().__init__(sock, method=method)
        self._sock = sock
        self._sending = sending
        self._is_reading = False
        # Why an answer that seemed to be at its end is not whole.
        self._reset: http.client.HTTPException | None = None

    def begin(self) -> None:
        """Read the head.

        :raises http.client.IncompleteRead: if the connection ended in it.
        """
        reader = self.fp
        head = _HeadReader(reader)
        self.fp = typing.cast(io.BufferedReader, head)
        super().begin()
        if head.last_line not in EMPTY_LINES:
            reader.close()
            raise http.client.IncompleteRead(head.last_line)
        if self.fp is not None:
            self.fp = reader

    def read(self, amt: int | None = None) -> bytes:
        """Read bytes of the body, or all of it.

        :raises http.client.HTTPException: if the connection broke off.
        """
        self._is_reading = True
        data = super().read(amt)
        return self._check_end(data)

    def read1(self, n: int = -1) -> bytes:
        """Read bytes of the body that have arrived.

        :raises http.client.HTTPException: if the connection broke off.
        """
        self._is_reading = True
        data = super().read1(n)
        return self._check_end(data)

    def _check_end(self, data: bytes) -> bytes:
        self._is_reading = False
        if self._reset is not None:
            raise self._reset
        return data

    def _close_conn(self) -> None:
        # A body without a length is closed by a read that finds the connection's end.
        if self._is_reading and not self.chunked and self.length is None:
            error = self._sending.error
            if error is not None or tcp_reset.follows(self._sock):
                self._reset = http.client.HTTPException(f"reset: {error}")
        super()._close_conn()  # type: ignore[misc]


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
    ) -> WholeResponse:
        """Build the answer to the request that was sent last."""
        return WholeResponse(sock, method, self._sending)


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
