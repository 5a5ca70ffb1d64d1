"""Tells whether the process that sends an answer lives when the answer ends.

Where only the end of the connection marks the end of an answer, an answer that a crash
cut short looks whole.  A port that accepts connections afterwards does not tell, since
another process may have it by then.  A second connection, opened while the answer was
on its way, does: when a process ends, all of its connections end with it.
"""

import errno
import select
import socket
import typing

from gaprock import eventlog

# How long after the end of an answer the second connection may end with it.
GRACE_S: typing.Final = 0.05
CLOSED: typing.Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class PeerWatch:
    """A second connection to an endpoint, on which nothing is sent.

    :param address: IP address and port of the endpoint.
    """

    __slots__ = ("_address", "_sock", "is_unreliable")

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        # Whether the endpoint closes such connections while it goes on answering.
        self.is_unreliable = False
        self._sock: socket.socket | None = None
        self._open()

    def _open(self) -> None:
        try:
            self._sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            error = sock.connect_ex(self._address)
        except OSError as exc:
            # No descriptor is left, or the name has no address: nothing is watched.
            eventlog.warning("not-watched", address=self._address, error=exc)
            self.is_unreliable = True
            return
        if error not in (0, errno.EINPROGRESS):
            self.close()

    def record_data(self) -> None:
        """Record that data of the answer came: its process still lives."""
        if not self.is_unreliable and self.is_closed(0.0):
            self.is_unreliable = True

    def ended_too(self) -> bool | None:
        """Whether the process ended with the answer; ``None`` if that is unknown.

        Waits for a moment, in which the second connection would end as well.
        """
        if self.is_unreliable:
            return None
        if self.is_closed(GRACE_S):
            return True
        return False if self._is_connected() else None

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def is_closed(self, wait_s: float = 0.0) -> bool:
        """Whether the connection has ended, or ends within a time."""
        if self.is_unreliable:
            return False
        if self._sock is None:
            return True
        poller = select.poll()
        poller.register(self._sock, CLOSED)
        return bool(poller.poll(wait_s * 1000))

    def _is_connected(self) -> bool:
        assert self._sock is not None
        poller = select.poll()
        poller.register(self._sock, select.POLLOUT)
        return bool(poller.poll(0))
