"""Tells whether a connection was reset after its peer had ended its side.

The system reports the error of a socket once.  If a send got it, reading finds an end
as if the peer had closed its side in order.
"""

import contextlib
import fcntl
import select
import socket
import sys
import termios
import typing

# How long after the end of the peer's side a reset may follow, seconds.
WAIT_S: typing.Final = 0.05


def count_unacknowledged(sock: socket.socket) -> int:
    """Return how many bytes that were sent the peer has not acknowledged.

    Where the system does not tell, all that it has accepted counts as acknowledged.
    """
    queued = b""
    with contextlib.suppress(OSError):
        queued = fcntl.ioctl(sock, termios.TIOCOUTQ, b"\0\0\0\0")
    return int.from_bytes(queued, sys.byteorder)


def follows(sock: socket.socket) -> bool:
    """Whether the end of a connection is followed by a reset.

    Waits for a moment if the peer has not acknowledged all that was sent.
    """
    poller = select.poll()
    poller.register(sock, 0)
    return bool(count_unacknowledged(sock) and poller.poll(WAIT_S * 1000))
