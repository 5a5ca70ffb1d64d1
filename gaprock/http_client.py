"""Connections for urllib3 on which the head of an answer must be complete.

The standard library takes the end of a connection for the end of the head.  An answer
whose server stopped in the middle of its head would then count as one with fewer
headers and an empty body.
"""

import http.client
import io
import typing

import urllib3
import urllib3.connection

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


class WholeHeadResponse(http.client.HTTPResponse):
    """An answer whose head ends with an empty line."""

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


class Connection(urllib3.connection.HTTPConnection):
    """A connection for plain HTTP."""

    response_class = WholeHeadResponse


class SecureConnection(urllib3.connection.HTTPSConnection):
    """A connection with TLS."""

    response_class = WholeHeadResponse


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
