"""One request to one endpoint, on a connection of its own.

The bytes are parsed by ``http_answer``.  The waiting is done here, because a thread
that waits for an endpoint must notice two more things at the same time: that the caller
left, and that a deadline passed.  A new connection for each request costs a round trip,
but no answer to another request can ever arrive on it.
"""

import collections
import contextlib
import errno
import select
import socket
import sys
import typing

import h11

from gaprock import caller_output, clock, http_answer, tcp_reset

READ_BYTES: typing.Final = 64 * 1024
# Bodies up to this size are copied, which is cheaper than a second system call.
JOINED_BYTES: typing.Final = 16 * 1024
# A connection is closed when its peer acknowledges nothing for this long; on a lossy
# link, TCP retransmits several times within it.
USER_TIMEOUT_MS: typing.Final = 3000
# Send buffer of a connection with a large request.
SLOW_SEND_BYTES: typing.Final = 64 * 1024
# Keep-alive probes on an idle connection: the delay of the first and the interval of
# the next ones, and how many may go unanswered.
KEEPALIVE_INTERVAL_S: typing.Final = 1
KEEPALIVE_PROBES: typing.Final = 3
HUNG_UP: typing.Final = select.POLLHUP | select.POLLERR | select.POLLNVAL

Headers = list[tuple[bytes, bytes]]


class CallerGone(Exception):
    """The caller closed its connection."""


class Unreachable(Exception):
    """The endpoint accepted no connection; not a byte was sent."""


class Refused(Unreachable):
    """The endpoint's machine refused the connection: its process has ended."""


class ConnectTimedOut(Unreachable):
    """Nothing was heard of the connection in time: neither accepted nor refused."""


class Broken(Exception):
    """The connection ended, or carried something else, before the answer was whole."""


class TimedOut(Exception):
    """The deadline of a wait passed."""


class Caller:
    """The caller's connection, watched while a thread waits for an endpoint.

    :param sock: the connection; ``None`` for a caller that never leaves.
    :param outbox: what the connection has not accepted yet, sent during the wait.
    """

    __slots__ = ("_sock", "_watches_input", "_outbox")

    def __init__(
        self,
        sock: socket.socket | None,
        outbox: caller_output.Outbox | None = None,
    ) -> None:
        self._sock = sock
        self._outbox = outbox
        # False once the caller has sent bytes of its next request.
        self._watches_input = True

    def watch(self, poller: select.poll) -> int:
        """Register the connection with a poller.

        :returns: the file descriptor; -1 without a connection.
        :raises CallerGone: when it has read nothing of what was sent for too long.
        """
        if self._sock is None or self._sock.fileno() < 0:
            return -1
        mask = select.POLLRDHUP
        if self._outbox is not None and self._outbox.size:
            mask |= select.POLLOUT
            try:
                self._outbox.check_progress()
            except OSError as exc:
                raise CallerGone from exc
        if self._watches_input:
            mask |= select.POLLIN
        poller.register(self._sock.fileno(), mask)
        return self._sock.fileno()

    def send_some(self) -> None:
        """Send what the connection accepts now.

        :raises CallerGone: when that fails.
        """
        if self._outbox is not None and self._outbox.size:
            try:
                self._outbox.send_some()
            except OSError as exc:
                raise CallerGone from exc

    def check(self) -> None:
        """Check whether the caller is still connected.

        :raises CallerGone: when it closed its connection.
        """
        if self._sock is None:
            return
        # On a socket with a time-out, ``recv`` waits whatever its flags are.
        poller = select.poll()
        poller.register(self._sock.fileno(), select.POLLIN | select.POLLRDHUP)
        if not poller.poll(0):
            return
        try:
            data = self._sock.recv(1, socket.MSG_PEEK)
        except OSError as exc:
            raise CallerGone from exc
        if not data:
            raise CallerGone
        self._watches_input = False


class Head(typing.NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: Headers


class Exchange:
    """One request and its answer.

    :param address: IP address and port of the endpoint.
    :param caller: watched during every wait.
    """

    __slots__ = (
        "_address",
        "_caller",
        "_clock",
        "_sock",
        "_answer",
        "_out",
        "_send_error",
        "_on_read",
        "_unread",
        "sent",
        "progress_at",
        "_overdue",
    )

    def __init__(
        self, address: tuple[str, int], caller: Caller, clock_: clock.Clock
    ) -> None:
        self._address = address
        self._caller = caller
        self._clock = clock_
        self._sock: socket.socket | None = None
        # ``None`` before the request is sent.
        self._answer: http_answer.Parser | None = None
        # Unsent pieces of the request.
        self._out: collections.deque[memoryview] = collections.deque()
        # Why the rest of the request was not sent.
        self._send_error: OSError | None = None
        # Called once the endpoint has read a large request.
        self._on_read: typing.Callable[[], None] | None = None
        # Bytes that it had not acknowledged at the last check.
        self._unread = sys.maxsize
        # When the endpoint last read a part of a large request; 0 for a small one.
        self.progress_at = 0.0
        # Whether any byte of the request may have reached the endpoint.
        self.sent = False
        # The deadline after which bytes were accepted once.
        self._overdue: float | None = None

    def connect(self, deadline: float) -> None:
        """Open the connection.

        :raises Unreachable: when that fails or takes too long.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock = sock
        sock.setblocking(False)
        _set_options(sock)
        error = sock.connect_ex(self._address)
        if error == errno.EINPROGRESS:
            try:
                self._wait(select.POLLOUT, deadline)
            except TimedOut as exc:
                raise ConnectTimedOut("no connection in time") from exc
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            kind = Refused if error == errno.ECONNREFUSED else Unreachable
            raise kind(errno.errorcode.get(error, str(error)))

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send the request; ``read_head`` sends what the socket did not accept yet."""
        conn = h11.Connection(h11.CLIENT)
        self._answer = http_answer.Parser(conn, method)
        req = h11.Request(method=method, target=target, headers=headers)
        pieces = [conn.send(req)]
        if body:
            pieces.append(conn.send(h11.Data(data=body)))
        pieces.append(conn.send(h11.EndOfMessage()))
        # The body is not copied; a small one is sent together with the head.
        if len(body) <= JOINED_BYTES:
            pieces = [b"".join(piece or b"" for piece in pieces)]
        self._out.extend(memoryview(piece) for piece in pieces if piece)
        self.sent = True
        self._send_some()

    def expect_slow_reader(self, on_read: typing.Callable[[], None]) -> None:
        """Prepare for a large request that the endpoint may read slowly.

        While the endpoint's receive buffer is full, the connection would be closed
        after the usual time-out although the endpoint still acknowledges.  The small
        send buffer makes visible how far the endpoint has read, and bounds the kernel's
        memory.

        :param on_read: called once the endpoint has read the request, or refuses to.
        """
        assert self._sock is not None
        self._on_read = on_read
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SLOW_SEND_BYTES)

    def check_progress(self) -> None:
        """Update ``progress_at`` by what the endpoint has acknowledged so far."""
        if self._on_read is None or self._sock is None:
            return
        unread = self._count_unread()
        if unread < self._unread:
            self._unread, self.progress_at = unread, self._clock.now()
        if not unread:
            self._end_slow_read()

    def _count_unread(self) -> int:
        """Return how many bytes of the request the endpoint has not acknowledged."""
        assert self._sock is not None
        unsent = sum(len(piece) for piece in self._out)
        return unsent + tcp_reset.count_unacknowledged(self._sock)

    def _record_progress(self) -> None:
        if self._on_read is not None:
            self.progress_at = self._clock.now()

    def _end_slow_read(self) -> None:
        """Record that the endpoint has read a large request, or refuses to."""
        on_read, self._on_read = self._on_read, None
        if on_read is None:
            return
        on_read()
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
                )

    def read_head(self, deadline: float) -> Head:
        """Wait for the answer's head.

        :raises Broken: when no answer came.
        :raises TimedOut: when the deadline passed.
        """
        event = self._next_event(deadline)
        if not isinstance(event, h11.Response):
            raise Broken("no answer")
        self._end_slow_read()
        return Head(event.status_code, list(event.headers.raw_items()))

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection marks the end of the answer."""
        return self._answer is not None and self._answer.ends_with_connection

    def read_data(self, deadline: float) -> bytes | None:
        """Wait for bytes of the answer's body; ``None`` at its complete end.

        :raises Broken: when the answer broke off.
        :raises TimedOut: when the deadline passed.
        """
        event = self._next_event(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self.ends_with_connection:
                self._check_reset()
            return None
        raise Broken("the answer broke off")

    def _check_reset(self) -> None:
        """Check that a connection whose end is the end of the answer was not reset.

        :raises Broken: when it was reset while the request was being sent.
        """
        wait_until = self._clock.now() + tcp_reset.WAIT_S
        with contextlib.suppress(TimedOut):
            while self._send_error is None and self._count_unread():
                got = self._wait(select.POLLOUT if self._out else 0, wait_until)
                if got & HUNG_UP:
                    raise Broken("reset after the answer")
                self._send_some()
        if self._send_error is not None:
            raise Broken(f"reset beside the answer: {self._send_error}")

    def close(self) -> None:
        """Close the connection; an endpoint that still runs the request stops it."""
        # What was received and not read is not needed any more.
        self._answer = None
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _next_event(self, deadline: float) -> typing.Any:
        assert self._answer is not None
        while True:
            try:
                event = self._answer.next_event()
            except http_answer.Malformed as exc:
                raise Broken(str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            self._answer.receive(self._receive(deadline))

    def _receive(self, deadline: float) -> bytes:
        """Wait for bytes and return them; send unsent ones meanwhile."""
        assert self._sock is not None
        while True:
            wanted = select.POLLIN | (select.POLLOUT if self._out else 0)
            got = self._wait(wanted, deadline)
            if got & select.POLLOUT and self._out:
                self._send_some()
            if not got & (select.POLLIN | HUNG_UP):
                continue
            try:
                return self._sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except OSError as exc:
                raise Broken(f"connection failed: {exc}") from exc

    def _send_some(self) -> None:
        assert self._sock is not None
        while self._out:
            try:
                count = self._sock.send(self._out[0])
            except BlockingIOError:
                return
            except OSError as exc:
                # The endpoint may have answered before; reading shows it.
                self._send_error = exc
                self._out.clear()
                self._end_slow_read()
                return
            if count < len(self._out[0]):
                self._out[0] = self._out[0][count:]
                self._record_progress()
                return
            self._out.popleft()
        self._record_progress()

    def _wait(self, wanted: int, deadline: float) -> int:
        """Wait until the connection is ready.

        :raises CallerGone: when the caller left in the meantime.
        :raises TimedOut: when the deadline passed.
        """
        assert self._sock is not None
        endpoint_fd = self._sock.fileno()
        while True:
            poller = select.poll()
            poller.register(endpoint_fd, wanted)
            self._caller.watch(poller)
            left = deadline - self._clock.now()
            if left <= 0:
                # Polled once although the deadline has passed: on a busy machine this
                # thread may run late, and the answer may have been there in time.
                if self._overdue == deadline:
                    raise TimedOut
                self._overdue = deadline
            ready = dict(poller.poll(max(0.0, left) * 1000))
            got = ready.pop(endpoint_fd, 0)
            # Also if the endpoint is ready: it may always be.
            for mask in ready.values():
                self._handle_caller(mask)
            if got:
                return got
            if left <= 0:
                raise TimedOut

    def _handle_caller(self, mask: int) -> None:
        """Handle what polling found of the caller's connection.

        :raises CallerGone: when the caller left.
        """
        if mask & (select.POLLRDHUP | HUNG_UP):
            raise CallerGone
        if mask & select.POLLOUT:
            self._caller.send_some()
        if mask & select.POLLIN:
            self._caller.check()


def _set_options(sock: socket.socket) -> None:
    """Set options that send small writes at once and detect a silent peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
