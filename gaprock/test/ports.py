"""Ports for programs that bind them later, which no other test run is given."""

import os
import socket
import threading
import typing

# Below the range from which the machine gives ports to outgoing connections
# (32768 to 60999 by default), above the ports of common services.
FIRST: typing.Final = 10_240
END: typing.Final = 32_768
BLOCK_PORTS: typing.Final = 1_024

_lock = threading.Lock()


class PortBlock:
    """A range of ports that one process owns.

    Listening at the first port of the range is the claim; it lasts until the process
    ends, and every other process passes such a range over.
    """

    __slots__ = ("_claim", "_first", "_next")

    def __init__(self) -> None:
        count = (END - FIRST) // BLOCK_PORTS
        for number in range(count):
            first = FIRST + (os.getpid() + number) % count * BLOCK_PORTS
            claim = _listen(first)
            if claim is not None:
                self._claim, self._first, self._next = claim, first, 1
                return
        raise OSError(f"all {count} ranges of test ports are claimed")

    def take(self) -> int:
        """Return the next port at which nothing listens, the oldest one first.

        :raises OSError: when something listens at each port of the range.
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
    """Listen at a port on all addresses, if nothing else does on any of them."""
    try:
        return socket.create_server(("", port))
    except OSError:
        return None


_block: PortBlock | None = None


def free_port() -> int:
    """Return a port that is free and that no other process of the tests is given."""
    global _block
    with _lock:
        if _block is None:
            _block = PortBlock()
        return _block.take()
