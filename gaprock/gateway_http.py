"""The gateway's HTTP port: CherryPy's server with a gateway class of our own.

The server (``cheroot``) reads heads and bodies, keeps connections open and runs the
threads.  CherryPy's bus and tree are not used: their import takes a large part of the
start on a small vm, and the bus checks a port by connecting to it.  Requests are served
directly on their connection instead of through WSGI, because a router needs what WSGI
hides: the target and the headers exactly as received, the caller's socket to notice
that the caller left, and a way to break off a stream.
"""

import contextlib
import http
import sys
import threading
import traceback as traceback_
import typing

import cheroot.errors
import cheroot.server

from gaprock import (
    arrivals,
    body_memory,
    caller_body,
    caller_connections,
    caller_input,
    caller_output,
    clock,
    early_listen,
    eventlog,
    gateway_api,
    gateway_call,
    gateway_connection,
    held_bytes,
    http_exchange,
)

LISTEN_BACKLOG: typing.Final = 1024
# Idle connections are kept this much longer than promised.  Otherwise a caller that
# sends at the last moment, or after a jump of the wall clock, finds its connection
# closed.
KEEP_ALIVE_SLACK_S: typing.Final = 5.0
# A caller that reads nothing of its answer for this long is disconnected.
CALLER_TIMEOUT_S: typing.Final = 20.0
# A port starts with ``START_THREADS`` and adds ``GROW_BY`` whenever fewer than
# ``LOW_IDLE`` are idle: most gateways of a large fleet have few calls open at a time.
START_THREADS: typing.Final = 32
LOW_IDLE: typing.Final = 12
GROW_BY: typing.Final = 24
# Requests that are read within this time after the port began to be served may have
# waited in its backlog since it was opened.
BACKLOG_READ_S: typing.Final = 0.25
# Where a port is used by itself.
MAX_CONNECTIONS: typing.Final = 1024
DEFAULT_MEMORY_MB: typing.Final = 256.0
# Threads and connections of a port for texts, and the memory for their requests, bytes.
TEXT_THREADS: typing.Final = 2
TEXT_CONNECTIONS: typing.Final = 64
TEXT_REQUEST_BYTES: typing.Final = 256 * 1024
TEXT_TYPE: typing.Final = (b"Content-Type", b"text/plain; version=0.0.4")
BODILESS: typing.Final = (204, 304)
REASONS: typing.Final = {int(s): s.phrase for s in http.HTTPStatus}

Serve = typing.Callable[[gateway_call.Inbound, gateway_call.Reply], None]


class HttpReply:
    """The reply to a caller, on the server's connection."""

    __slots__ = ("_req", "caller", "_closing", "begun", "_outbox", "is_whole")

    def __init__(self, req: typing.Any, closing: bool) -> None:
        self._req = req
        wfile = req.conn.wfile
        self._outbox = wfile if isinstance(wfile, caller_output.Outbox) else None
        self.caller = http_exchange.Caller(req.conn.socket, self._outbox)
        self._closing = closing
        self.begun = False
        # Whether the caller has the end of the answer, or evidence that it lacks it.
        self.is_whole = False

    def whole(self, status: int, headers: gateway_api.Headers, body: bytes) -> None:
        """Send a whole answer."""
        self._head(status, headers)
        if status not in BODILESS:
            self._req.outheaders.append((b"Content-Length", b"%d" % len(body)))
        if self._outbox is not None:
            self._outbox.count_as(held_bytes.Kind.ANSWER)
        self._send(body, with_head=True)
        self.is_whole = True

    def begin(self, status: int, headers: gateway_api.Headers) -> None:
        """Set the head of a stream; without a length, the server sends chunks."""
        self._head(status, headers)
        if self._outbox is not None:
            self._outbox.count_as(held_bytes.Kind.STREAM)

    def write(self, data: bytes) -> None:
        """Send a piece of a stream; the head is sent with the first one."""
        self._send(data, with_head=not self._req.sent_headers)

    def end(self) -> None:
        """Mark a stream as complete; the server writes the last chunk."""
        if self._outbox is not None:
            try:
                self._outbox.drain()
            except OSError as exc:
                self.abandon()
                raise http_exchange.CallerGone from exc
            self._outbox.count_as(None)
        self.is_whole = True

    def cut(self) -> None:
        """Break off a stream: no last chunk is sent, and the connection is closed."""
        if self._outbox is not None:
            # The caller gets the events that were written before.
            with contextlib.suppress(OSError):
                self._outbox.drain()
            self._outbox.discard()
        self.is_whole = True
        # Otherwise the server would send the head now, and the last chunk with it.
        self._req.sent_headers = True
        self._req.chunked_write = False
        self._req.close_connection = True

    def abandon(self) -> None:
        """Send nothing more to a caller that has left, and close its connection."""
        self._req.sent_headers = True
        if self._outbox is not None:
            self._outbox.discard()
        self.cut()

    def _head(self, status: int, headers: gateway_api.Headers) -> None:
        self.begun = True
        self._req.status = f"{status} {http_reason(status)}".encode()
        self._req.outheaders = list(headers)
        if self._closing:
            self._req.close_connection = True

    def _send(self, data: bytes, with_head: bool) -> None:
        try:
            if with_head:
                self._req.ensure_headers_sent()
            if data:
                self._req.write(data)
        except OSError as exc:
            self.abandon()
            raise http_exchange.CallerGone from exc


def http_reason(status: int) -> str:
    """Return the reason phrase of a status."""
    return REASONS.get(status, "Other")


class CallPort:
    """The port for callers.

    :param threads: maximum number of threads that serve callers.
    :param is_closing: returns whether answers should ask callers to reconnect.
    :param max_idle: maximum number of idle connections.
    :param account: the account of bytes held for callers; ``None`` if not bounded.
    :param refuse: refuses a request that was not run, with a detail and a retry time.
    :param memory: the memory for whole bodies.
    :param max_connections: maximum number of open connections.
    """

    def __init__(
        self,
        address: tuple[str, int],
        threads: int,
        serve: Serve,
        clock_: clock.Clock,
        is_closing: typing.Callable[[], bool],
        max_idle: int,
        account: held_bytes.Account | None = None,
        refuse: caller_body.Refuse | None = None,
        memory: body_memory.BodyMemory | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        memory = memory or body_memory.BodyMemory(clock_, DEFAULT_MEMORY_MB)
        self._memory = memory
        self._account = account
        self.bodies = caller_body.BodyReader(clock_, refuse)
        self._serve = serve
        self._clock = clock_
        self._is_closing = is_closing
        self._server = _server(address, START_THREADS, self._handle, clock_)
        self._server.requests.max = threads
        self._server.max_connections = max_connections
        self._server.arrivals = memory.arrivals
        self._server.max_body = lambda: self.bodies.limit
        self._is_idle_low = threading.Event()
        if account is not None:
            self._server.ConnectionClass = gateway_connection.AccountedConnection
            self._server.account = account
        self._dispatch = self._server.process_conn
        self._server.process_conn = self._process
        self._server.keep_alive_conn_limit = max_idle
        # Returns whether to close new connections without reading their requests.
        self.is_overfull: typing.Callable[[], bool] = lambda: False
        self.closed_unread = 0
        self._served_at = clock.NEVER
        self._accepting: threading.Thread | None = None
        self._growing: threading.Thread | None = None
        self._is_stopped = False

    @property
    def is_accepting(self) -> bool:
        """Whether new connections are accepted.

        When the thread that accepts them has ended, the kernel's backlog still takes
        connections, and callers wait for an answer that never comes.
        """
        return self._accepting is not None and self._accepting.is_alive()

    @property
    def closed_count(self) -> int:
        """Connections closed since the start, to make room for others."""
        connections = self._server._connections
        return connections.closed_count if connections is not None else 0

    def start(self) -> None:
        """Start listening."""
        self._accepting = _start(self._server)
        self._served_at = self._clock.now()
        self._growing = threading.Thread(target=self._grow, name="grow", daemon=True)
        self._growing.start()

    def _grow(self) -> None:
        """Add threads when few are idle.

        The pool waits until new threads have started, so this is not left to a thread
        that serves a caller.
        """
        while True:
            self._is_idle_low.wait()
            self._is_idle_low.clear()
            if self._is_stopped:
                return
            self._server.requests.grow(GROW_BY)

    def stop(self) -> None:
        """Stop listening, and close idle connections.

        The thread that grows the pool is ended first.  Otherwise threads that are still
        starting would consume the stop signals of busy threads that the pool knows, and
        the pool would wait for these forever.
        """
        self._is_stopped = True
        self._is_idle_low.set()
        if self._growing is not None:
            self._growing.join()
        self._server.stop()

    def set_limits(self, body_bytes: int, idle_s: float) -> None:
        """Apply the limits of the configuration in force."""
        self.bodies.max_body = body_bytes
        self._server.timeout = idle_s + KEEP_ALIVE_SLACK_S

    def _process(self, conn: typing.Any) -> None:
        """Have a thread serve a connection.

        A new one is closed if no call of it could be served: its caller may try another
        gateway at once, as nothing of the request was read.
        """
        if not conn.has_begun and self.is_overfull():
            self.closed_unread += 1
            conn.close()
            return
        conn.has_begun = True
        self._dispatch(conn)

    def _handle(self, req: typing.Any) -> None:
        share = self._memory.open()
        try:
            self._handle_within(req, share)
        finally:
            self._memory.close(share)

    def _handle_within(self, req: typing.Any, share: body_memory.Share) -> None:
        """Read a request and serve it.

        :param share: its share of the memory for bodies.
        """
        holding = req.conn.holding
        # A body that arrived slowly took part of the caller's time.
        arrived_at = self._clock.now() - self._backlog_wait_s()
        arrived_at = min(arrived_at, req.conn.rfile.head_at or arrived_at)
        if self._server.requests.idle < LOW_IDLE:
            self._is_idle_low.set()
        reply = HttpReply(req, self._is_closing())
        raw = typing.cast(
            "gateway_api.Headers", req.inheaders.pop(gateway_connection.RAW_HEADERS)
        )
        connection_options = req.inheaders.get(b"Connection", b"").lower().split(b",")
        if b"close" in [name.strip() for name in connection_options]:
            # The server itself recognizes ``close`` only as the header's sole value.
            req.close_connection = True
        body = self.bodies.read(req, reply, holding, share)
        if body is None:
            return
        inbound = gateway_call.Inbound(
            req.method, req.uri, raw, body, arrived_at, holding, share
        )
        try:
            self._serve(inbound, reply)
        except Exception as exc:
            # The gateway's own fault: the caller must not take it for "not run".
            eventlog.warning("handler-failed", error=repr(exc))
            if reply.begun:
                reply.cut()
            else:
                reply.whole(500, [], b"")
            return
        if not reply.begun or not reply.is_whole:
            reply.abandon()

    def _backlog_wait_s(self) -> float:
        """Return for how long a request that is read now has likely waited before.

        Nothing tells when it arrived, so it is half of the time for which the port was
        open and not served.
        """
        if self._clock.now() >= self._served_at + BACKLOG_READ_S:
            return 0.0
        return float(self._server.unserved_s) / 2


class TextPort:
    """A small port that answers each path with a status and a text.

    Bodies are not read.

    :param paths: function that answers each path.
    """

    def __init__(
        self,
        address: tuple[str, int],
        paths: dict[str, typing.Callable[[], tuple[int, bytes]]],
        clock_: clock.Clock,
    ) -> None:
        self._paths = {path.encode(): answer for path, answer in paths.items()}
        self._server = _server(address, TEXT_THREADS, self._handle, clock_)
        self._server.max_connections = TEXT_CONNECTIONS
        self._server.arrivals = arrivals.Arrivals(
            clock_, lambda: TEXT_REQUEST_BYTES, lambda: 0
        )
        self._server.max_body = lambda: 0
        # Its few threads wait for nobody.
        self._server.first_wait_ms = 0

    def start(self) -> None:
        """Start listening."""
        _start(self._server)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _handle(self, req: typing.Any) -> None:
        answer = self._paths.get(req.uri.partition(b"?")[0])
        status, text = answer() if answer else (404, b"")
        has_body = req.conn.rfile.refusal is not None or req.conn.rfile.is_unframed
        HttpReply(req, closing=has_body).whole(status, [TEXT_TYPE], text)


class _HttpServer(cheroot.server.HTTPServer):
    """A server that takes over a port that is open already."""

    # For how long its port was open and not served, seconds.
    unserved_s = 0.0
    _connections: typing.Any = None

    def prepare(self) -> None:
        """Open the port; its connections are bounded."""
        super().prepare()
        self._connections._selector.close()
        self._connections = caller_connections.Connections(self)

    def bind(self, family: int, type: int, proto: int = 0) -> typing.Any:
        """Use the port that was opened early, or open one."""
        port = early_listen.take_port(self.bind_addr)
        if port is None:
            sock = super().bind(family, type, proto)
            early_listen.limit_receive_buffers(self.socket)
            return sock
        self.socket = port.sock
        self.unserved_s = clock.SteadyClock().now() - port.opened_at
        eventlog.info("port-taken-over", unserved_s=self.unserved_s)
        return port.sock


def _server(
    address: tuple[str, int],
    threads: int,
    handle: typing.Callable[[typing.Any], None],
    clock_: clock.Clock,
) -> typing.Any:
    """Build one of CherryPy's HTTP servers with a handler of our own."""

    class Gateway(cheroot.server.Gateway):
        def respond(self) -> None:
            handle(self.req)

    # ``Any``, because the server's types allow its attributes only their defaults.
    server: typing.Any = _HttpServer(
        address, Gateway, minthreads=threads, maxthreads=threads
    )
    server.clock = clock_
    server.first_wait_ms = caller_input.FIRST_WAIT_MS
    server.ConnectionClass = gateway_connection.Connection
    server.request_queue_size = LISTEN_BACKLOG
    server.max_request_header_size = caller_input.MAX_HEAD_BYTES
    server.timeout = CALLER_TIMEOUT_S
    server.shutdown_timeout = 0.2
    server.error_log = _log_server_error
    return server


def _log_server_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    where = sys.exc_info()[2]
    frames = traceback_.extract_tb(where)[-3:] if traceback else []
    place = " < ".join(f"{f.name}:{f.lineno}" for f in reversed(frames))
    eventlog.warning("http-server", detail=msg, place=place or "none")


def _start(server: typing.Any) -> threading.Thread:
    """Open the port, and start to serve it.

    :returns: the thread that accepts new connections.
    """
    server.prepare()
    name = f"http-{server.bind_addr[1]}"
    thread = threading.Thread(target=server.serve, name=name, daemon=True)
    thread.start()
    return thread


def parse_address(text: str) -> tuple[str, int]:
    """Split ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)
