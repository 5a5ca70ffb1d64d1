"""A scripted endpoint: answers each request as a test says, down to single bytes."""

import collections
import socket
import threading
import time
import typing

STAMP: typing.Final = "stamp-1"
STREAM_PATH: typing.Final = "/gen/"


class ReceivedRequest:
    """A request as received by the endpoint."""

    __slots__ = ("method", "target", "headers", "names", "body", "closed")

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ")
        pairs = [line.partition(":") for line in lines[1:] if line]
        self.names = [name.lower() for name, _, _ in pairs]
        self.headers = {n.lower(): v.strip() for n, _, v in pairs}
        self.body = body
        # Set when the caller closed the connection while the request ran.
        self.closed = threading.Event()

    def __repr__(self) -> str:
        return f"<{self.method} {self.target} {self.headers.get('x-request-id')}>"


Script = typing.Callable[["Backend", ReceivedRequest, socket.socket], None]


class Backend:
    """The endpoint; scripts are used up one by one, then ``default_script``."""

    def __init__(self, name: str, events: int = 5, port: int = 0) -> None:
        self.name = name
        self.events = events
        self.seen: list[ReceivedRequest] = []
        self.scripts: collections.deque[Script] = collections.deque()
        self.default_script: Script = answer
        # Cleared while it reads heads but no bodies, and its pause before each read.
        self.reads_bodies = threading.Event()
        self.reads_bodies.set()
        self.read_pause_s = 0.0
        # Whether its scripts run when a head was read, and have to read the body.
        self.answers_from_head = False
        self._listener = socket.create_server(("127.0.0.1", port), backlog=64)
        self.port = self._listener.getsockname()[1]
        self._open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        """Stop listening and close open connections, as the end of a process does."""
        if self._listener.fileno() >= 0:
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
        self.cut()

    def cut(self, kept: socket.socket | None = None) -> None:
        """Close the open connections but one."""
        for conn in self._open - {kept}:
            try:
                # Without this, a thread that reads it would keep it open.
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The connection is closed already.
                pass
            conn.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self._open.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        try:
            seen = self._read(conn)
            if seen is not None:
                self.seen.append(seen)
                script = self.scripts.popleft() if self.scripts else self.default_script
                script(self, seen, conn)
        except OSError:
            # The caller went away; ``ReceivedRequest.closed`` tells where a test cares.
            pass
        finally:
            self._open.discard(conn)
            conn.close()

    def _read(self, conn: socket.socket) -> ReceivedRequest | None:
        data = b""
        # Byte by byte, the body is left to the system.
        size = 1 if self.answers_from_head else 65536
        while b"\r\n\r\n" not in data:
            more = conn.recv(size)
            if not more:
                return None
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        seen = ReceivedRequest(head, body)
        if self.answers_from_head:
            return seen
        self.reads_bodies.wait(10)
        while len(seen.body) < int(seen.headers.get("content-length", "0")):
            time.sleep(self.read_pause_s)
            more = conn.recv(65536)
            if not more:
                return None
            seen.body += more
        return seen


def head(
    seen: ReceivedRequest, status: int = 200, body: bytes | None = None, **more: str
) -> bytes:
    """Build the head of an answer; header names have ``_`` for ``-``."""
    headers = {"X-Request-Id": seen.headers.get("x-request-id", "")}
    if 200 <= status < 600:
        headers["X-Server-Stamp"] = STAMP
    headers.update({name.replace("_", "-"): value for name, value in more.items()})
    if body is not None:
        headers["Content-Length"] = str(len(body))
    lines = [f"HTTP/1.1 {status} Some", *(f"{n}: {v}" for n, v in headers.items() if v)]
    return "\r\n".join([*lines, "", ""]).encode()


def event(number: int, text: str = "token") -> bytes:
    """Build one event of a stream."""
    return f"id: {number}\ndata: {text}-{number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Build one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def answer(backend: Backend, seen: ReceivedRequest, conn: socket.socket) -> None:
    """Send the default answer: a stream on the stream's path, else a short body."""
    if seen.target.startswith(STREAM_PATH):
        stream_to(backend.events)(backend, seen, conn)
        return
    body = f"{backend.name} {seen.target}".encode()
    conn.sendall(head(seen, body=body) + body)


def refuse(status: int = 503) -> Script:
    """Refuse the request as not run."""

    def script(backend: Backend, seen: ReceivedRequest, conn: socket.socket) -> None:
        conn.sendall(head(seen, status, b"", X_Not_Run="1", X_Server_Stamp=""))

    return script


def fail(status: int = 500) -> Script:
    """Answer with a failure, as after running the request."""

    def script(backend: Backend, seen: ReceivedRequest, conn: socket.socket) -> None:
        conn.sendall(head(seen, status, b"bad") + b"bad")

    return script


def reset(backend: Backend, seen: ReceivedRequest, conn: socket.socket) -> None:
    """Read the request and close the connection without an answer."""


def raw(data: bytes) -> Script:
    """Send bytes as they are, then close the connection."""

    def script(backend: Backend, seen: ReceivedRequest, conn: socket.socket) -> None:
        conn.sendall(data)

    return script


def hang(backend: Backend, seen: ReceivedRequest, conn: socket.socket) -> None:
    """Never answer; record when the caller closes the connection."""
    conn.settimeout(10)
    if not conn.recv(1):
        seen.closed.set()


def stream_to(
    last: int,
    whole: bool = True,
    incomplete: bytes = b"",
    confidence: str = "90",
    silent: bool = False,
    gap_s: float = 0.002,
) -> Script:
    """Stream events after ``Last-Event-Id`` up to a number.

    :param whole: whether the stream is then complete, or breaks off.
    :param incomplete: the first bytes of an event that breaks off.
    :param silent: whether the connection then stays open without any data.
    :param gap_s: the time between two events.
    """

    def script(backend: Backend, seen: ReceivedRequest, conn: socket.socket) -> None:
        first = int(seen.headers.get("last-event-id", "0")) + 1
        start = head(
            seen,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
            X_Confidence=confidence,
        )
        conn.sendall(start)
        for number in range(first, last + 1):
            conn.sendall(chunk(event(number)))
            time.sleep(gap_s)
        if incomplete:
            conn.sendall(chunk(incomplete))
        if whole:
            conn.sendall(b"0\r\n\r\n")
        elif silent:
            hang(backend, seen, conn)

    return script
