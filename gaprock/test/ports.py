"""Allocates ports for programs that bind them later, distinct for each test process."""

import os
import socket
import threading
import typing

# Above the ports of common services, and below the range from which the system
# allocates ports for outgoing connections (32768 to 60999 by default).
FIRST_PORT: typing.Final = 10_240
END_PORT: typing.Final = 32_768
BLOCK_PORTS: typing.Final = 1_024

_lock = threading.Lock()


class PortBlock:
    """A range of ports that one process owns.

    A process claims a range by listening at its first port.  The claim lasts until the
    process ends; other processes skip the range.
    """

    __slots__ = ("_claim", "_first", "_next")

    def __init__(self) -> None:
        count = (END_PORT - FIRST_PORT) // BLOCK_PORTS
        for number in range(count):
            first = FIRST_PORT + (os.getpid() + number) % count * BLOCK_PORTS
            claim = _listen(first)
            if claim is not None:
                self._claim, self._first, self._next = claim, first, 1
                return
        raise OSError(f"all {count} ranges of test ports are claimed")

    def take(self) -> int:
        """Return a port at which nothing listens, the one given out longest ago first.

        :raises OSError: if something listens at every port of the range.
        """
        for _ in range(BLOCK_PORTS):
            port, self._next = self._first + self._next, self._next + 1
            if self._next == BLOCK_PORTS:
                self._next = 1
            sock = _listen(port)
            if sock is not None:
                sock.close()
                return port
        raise OSError(f"no free port from {self._first}")


def _listen(port: int) -> socket.socket | None:
    """Listen at a port on all addresses; return ``None`` if it is in use on any."""
    try:
        return socket.create_server(("", port))
    except OSError:
        return None


_block: PortBlock | None = None


def free_port() -> int:
    """Return a free port that no other test process is given."""
    global _block
    with _lock:
        if _block is None:
            _block = PortBlock()
        return _block.take()


def is_ready(ip: str, port: int) -> bool:
    """Whether a gateway's readiness port tells the load balancer that it is ready."""
    try:
        with socket.create_connection((ip, port), 1.0) as sock:
            sock.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in sock.recv(64)
    except OSError:
        return False
