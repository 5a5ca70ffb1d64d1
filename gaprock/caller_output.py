"""Bytes on their way to a caller, beyond what its connection accepts at once.

An ``Outbox`` takes the place of the server's buffered writer on a connection.  Usually
a write returns once the connection has accepted all bytes.  While a stream is buffered,
it returns as soon as what is left is within the stream's part of the budget, and the
thread sends the rest while it waits for the endpoint.  Bytes are sent in the order in
which they were written.
"""

import collections
import errno
import os
import select
import socket
import typing

from gaprock import clock, held_bytes

# Small writes are joined into pieces of up to this size.
JOINED_BYTES: typing.Final = 16 * 1024
# ``POLLRDHUP`` is not among them: a caller that closed only its sending side may still
# read.
GONE: typing.Final = select.POLLHUP | select.POLLERR | select.POLLNVAL


class Cut(ConnectionError):
    """The caller was disconnected to make room."""


class Outbox:
    """What a caller's connection has not accepted yet; used by one thread at a time.

    :param sock: a connection with a time-out, so its descriptor does not block.
    """

    def __init__(
        self, sock: socket.socket, account: held_bytes.Account, clock_: clock.Clock
    ) -> None:
        self._sock = sock
        self._account = account
        self._clock = clock_
        # Unsent pieces, and when each was queued.
        self._pieces: collections.deque[tuple[memoryview, float]] = collections.deque()
        self._progress_at = 0.0
        self.size = 0
        self.bytes_written = 0
        # The holding of the request that is being answered.
        self.holding: held_bytes.Holding | None = None
        self._kind: held_bytes.Kind | None = None

    def count_as(self, kind: held_bytes.Kind | None) -> None:
        """Count unsent bytes as a kind; those of a stream need not be sent at once."""
        self._kind = kind

    def write(self, data: bytes) -> int:
        """Send bytes after all that were written before.

        :raises OSError: when the caller has left, was cut or reads nothing.
        """
        now = self._clock.now()
        if not self._pieces:
            self._progress_at = now
        if data:
            self._append(data, now)
            self.size += len(data)
            self.bytes_written += len(data)
        self.send_some()
        if self._kind is held_bytes.Kind.STREAM:
            self._wait_until(lambda: self.size <= self._account.part())
        else:
            self._wait_until(lambda: not self.size)
        return len(data)

    def _append(self, data: bytes, now: float) -> None:
        """Queue bytes; small writes are joined, as each piece takes 0.4 KB besides."""
        if self._pieces:
            last, queued_at = self._pieces[-1]
            if len(last) + len(data) <= JOINED_BYTES:
                self._pieces[-1] = (memoryview(bytes(last) + data), queued_at)
                return
        self._pieces.append((memoryview(data), now))

    def drain(self) -> None:
        """Wait until the connection has accepted all bytes.

        :raises OSError: when the caller has left, was cut or reads nothing.
        """
        self._wait_until(lambda: not self.size)

    def send_some(self) -> None:
        """Send what the connection accepts without waiting.

        :raises OSError: when the caller has left or was cut.
        """
        if self.holding is not None and self.holding.is_cut:
            raise Cut(errno.EPIPE, "the caller was cut")
        while self._pieces:
            piece, queued_at = self._pieces[0]
            try:
                count = os.write(self._sock.fileno(), piece)
            except BlockingIOError:
                break
            self._progress_at = self._clock.now()
            self.size -= count
            if count == len(piece):
                self._pieces.popleft()
            else:
                self._pieces[0] = (piece[count:], queued_at)
        self._record()

    def check_progress(self) -> None:
        """Check that the caller still reads.

        :raises OSError: when it was cut, or has read nothing for the time-out.
        """
        if self.holding is not None and self.holding.is_cut:
            raise Cut(errno.EPIPE, "the caller was cut")
        timeout_s = self._sock.gettimeout()
        if timeout_s is None or not self._pieces:
            return
        if self._clock.now() - self._progress_at >= timeout_s:
            raise TimeoutError("timed out")

    def discard(self) -> None:
        """Drop what was not sent, since its caller is not to get it."""
        self._pieces.clear()
        self.size = 0
        self._record()

    def close(self) -> None:
        """Nothing to do: the connection itself closes its socket."""

    def _record(self) -> None:
        holding, kind = self.holding, self._kind
        if holding is None or kind is None:
            return
        if self.size == holding.held.get(kind, 0) == 0:
            return
        since = self._pieces[0][1] if self._pieces else 0.0
        self._account.set(holding, kind, self.size, self._clock.now(), since)

    def _wait_until(self, is_done: typing.Callable[[], bool]) -> None:
        while not is_done():
            self.check_progress()
            timeout_s = self._sock.gettimeout()
            left_s = 1.0
            if timeout_s is not None:
                left_s = max(0.0, self._progress_at + timeout_s - self._clock.now())
            poller = select.poll()
            poller.register(self._sock.fileno(), select.POLLOUT)
            ready = poller.poll(1000 * min(1.0, left_s) + 1)
            if ready and ready[0][1] & GONE:
                self.check_progress()
                raise ConnectionResetError(errno.ECONNRESET, "the caller left")
            self.send_some()
