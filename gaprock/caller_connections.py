"""The connections of a port that wait for callers: a bounded number, read in turn.

Load condition: crowds of callers that connect and send nothing, that send parts of
requests, or whose bytes take much processor time.  One thread reads all requests that
are arriving.  It reads for a short time, those first that were read longest ago, and
then accepts new connections and passes on those with a new request.
"""

import errno
import selectors
import socket
import threading
import time
import typing

import cheroot.connections

from gaprock import clock, eventlog

# Connections that are accepted between two readings.
MAX_ACCEPTS: typing.Final = 64
# For how long arriving requests are read at a time, and the pause after that if there
# is more to read, in which other threads run; seconds.
READ_SLICE_S: typing.Final = 0.005
READ_PAUSE_S: typing.Final = 0.005
# Pause after no descriptor was left, seconds.
ACCEPT_PAUSE_S: typing.Final = 0.01
# Interval between two log lines on connections that were closed to make room, seconds.
LOG_INTERVAL_S: typing.Final = 1.0


class Connections(cheroot.connections.ConnectionManager):
    """The connections of a port."""

    # What the class of the server has besides its documented interface.
    _selector: typing.Any
    _stop_requested: bool
    _remove_invalid_sockets: typing.Callable[[], None]
    _from_server_socket: typing.Callable[[socket.socket], typing.Any]

    def __init__(self, server: typing.Any) -> None:
        super().__init__(server)
        server.socket.settimeout(0)
        self._clock: clock.Clock = server.clock
        # All open ones, also those that are being served.
        self._open: set[typing.Any] = set()
        # Connections closed to make room since the start, and since the last log line.
        self.closed_count = 0
        self._unlogged = 0
        self._log_at = -clock.NEVER

    def put(self, conn: typing.Any) -> None:
        """Wait for bytes of a connection."""
        if conn.linger_until:
            conn.last_used = time.time()
            self._register(conn)
        else:
            super().put(conn)

    def _register(self, conn: typing.Any) -> None:
        fd = conn.socket.fileno()
        self._selector.register(fd, selectors.EVENT_READ, data=conn)

    def _run(self, expiration_interval: float) -> None:
        """Serve the connections until the port stops; one thread."""
        expire_at = self._clock.now() + expiration_interval
        while not self._stop_requested:
            try:
                ready = list(self._selector.select(timeout=expiration_interval))
            except OSError:
                self._remove_invalid_sockets()
                continue
            self._serve_ready(ready)
            if self._clock.now() >= expire_at:
                expire_at = self._clock.now() + expiration_interval
                self._expire(time.time() - self.server.timeout)

    def _serve_ready(self, ready: list[tuple[int, typing.Any]]) -> None:
        arriving = []
        for fd, conn in ready:
            if conn is self.server:
                self._accept_some()
            elif conn not in self._open:
                # Closed a moment ago, to make room for another one.
                continue
            elif conn.linger_until or conn.rfile.is_waiting:
                arriving.append((fd, conn))
            else:
                self._pass_on(fd, conn)
        arriving.sort(key=lambda one: one[1].visited_at)
        until = self._clock.now() + READ_SLICE_S
        for number, (fd, conn) in enumerate(arriving):
            if number and self._clock.now() >= until:
                threading.Event().wait(READ_PAUSE_S)
                return
            try:
                self._read(fd, conn)
            except Exception as exc:
                # An exception would end the reading of all others.
                eventlog.warning("handler-failed", error=repr(exc))
                self._close(fd, conn)

    def _read(self, fd: int, conn: typing.Any) -> None:
        if conn.linger_until:
            if not conn.drop_unread():
                self._close(fd, conn)
        elif conn.gather() or conn.rfile.awaits_admission:
            self._pass_on(fd, conn)

    def _pass_on(self, fd: int, conn: typing.Any) -> None:
        """Have a thread serve a connection."""
        self._selector.unregister(fd)
        self.server.process_conn(conn)

    def _close(self, fd: int, conn: typing.Any) -> None:
        self._selector.unregister(fd)
        # Without waiting for what its caller still sends.
        conn.linger_until = conn.linger_until or self._clock.now()
        conn.close()

    # -- New connections --

    def _accept_some(self) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                conn = self._from_server_socket(self.server.socket)
            except OSError as exc:
                if exc.errno not in (errno.EMFILE, errno.ENFILE):
                    raise
                eventlog.warning("no-descriptors", open=len(self._open))
                self._make_room()
                threading.Event().wait(ACCEPT_PAUSE_S)
                return
            if conn is None:
                return
            self._add(conn)

    def _add(self, conn: typing.Any) -> None:
        if len(self._open) >= self.server.max_connections and not self._make_room():
            # Its caller may try elsewhere at once, as nothing of it was read.
            self._count_closed()
            conn.close()
            return
        conn.on_close = self._open.discard
        self._open.add(conn)
        self.server.process_conn(conn)

    def _make_room(self) -> bool:
        """Close the connection that has waited longest without a whole request."""
        waiting = [
            (conn.waiting_since, fd, conn)
            for fd, conn in self._selector.connections
            if conn is not self.server and conn.waiting_since is not None
        ]
        if not waiting:
            return False
        _, fd, conn = min(waiting, key=lambda one: one[:2])
        self._close(fd, conn)
        self._count_closed()
        return True

    def _count_closed(self) -> None:
        self.closed_count += 1
        self._unlogged += 1
        now = self._clock.now()
        if now >= self._log_at:
            eventlog.warning(
                "connections-closed",
                count=self._unlogged,
                open=len(self._open),
                max=self.server.max_connections,
            )
            self._unlogged, self._log_at = 0, now + LOG_INTERVAL_S

    # -- Time limits --

    def _expire(self, threshold: float) -> None:
        """Close connections whose time is over.

        :param threshold: time of day; kept-alive ones that were last used before it
            are closed.
        """
        now = self._clock.now()
        for fd, conn in list(self._selector.connections):
            if conn is self.server:
                continue
            if conn.linger_until:
                if now >= conn.linger_until:
                    self._close(fd, conn)
            elif conn.rfile.is_waiting:
                if conn.rfile.has_expired():
                    if conn.give_up_slow():
                        self._pass_on(fd, conn)
                    else:
                        self._close(fd, conn)
            elif conn.last_used < threshold:
                self._close(fd, conn)
