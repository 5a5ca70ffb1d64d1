"""A small HTTP server for stand-ins; each connection has a thread."""

import argparse
import http.server
import json
import signal
import socket
import threading
import typing


class Reply:
    """A complete answer; ``drop`` closes the connection instead of answering."""

    __slots__ = ("status", "data", "headers", "drop")

    def __init__(
        self,
        status: int,
        data: bytes = b"",
        headers: dict[str, str] | None = None,
        drop: bool = False,
    ) -> None:
        self.status = status
        self.data = data
        self.headers = headers or {}
        self.drop = drop


def json_reply(value: object, status: int = 200) -> Reply:
    """Build an answer with a JSON body."""
    return Reply(status, json.dumps(value).encode())


class Exchange(http.server.BaseHTTPRequestHandler):
    """One connection; passes itself and each request's parts to the stand-in."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    fake: "Fake"

    def setup(self) -> None:
        super().setup()
        self.fake.connections.add(self.connection)

    def finish(self) -> None:
        self.fake.connections.discard(self.connection)
        super().finish()

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        try:
            reply = self.fake.handle(self, self.command, self.path, body)
            if reply is not None:
                self._send(reply)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = _serve

    def _send(self, reply: Reply) -> None:
        if reply.drop:
            self.drop()
            return
        self.send_response(reply.status)
        for key, value in reply.headers.items():
            self.send_header(key, value)
        self.send_header("Content-Length", str(len(reply.data)))
        self.end_headers()
        self.wfile.write(reply.data)

    def start_stream(self, headers: dict[str, str]) -> None:
        """Start an event stream that ends with the connection."""
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Connection", "close")
        for key, value in headers.items():
            self.send_header(key, value)
        self.end_headers()
        self.close_connection = True

    def drop(self) -> None:
        """Cut the connection."""
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""


class Server(http.server.ThreadingHTTPServer):
    """The listening side."""

    daemon_threads = True
    request_queue_size = 1024

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore errors, since tests cut connections on purpose."""


class Fake:
    """Base class of the stand-ins: a server on loopback, usually on a free port."""

    def __init__(self, port: int = 0) -> None:
        handler = type("Handler", (Exchange,), {"fake": self})
        self._server = Server(("127.0.0.1", port), handler)
        self.port = self._server.server_address[1]
        self.url = f"http://127.0.0.1:{self.port}"
        self.faults: dict[str, typing.Any] = {}
        self.connections: set[socket.socket] = set()
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)

    def start(self) -> None:
        """Serve in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and cut open connections, as the end of a process does."""
        self._server.shutdown()
        self._server.server_close()
        self.cut()

    def cut(self) -> None:
        """Cut open connections."""
        for sock in list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def handle(
        self, exchange: Exchange, method: str, path: str, body: bytes
    ) -> Reply | None:
        """Answer a request; return ``None`` when the exchange was answered already."""
        raise NotImplementedError

    def set_faults(self, body: bytes) -> Reply:
        """Set faults by an HTTP request, for stand-ins that run as processes."""
        self.faults.update(json.loads(body))
        return json_reply(self.faults)


def serve(make: typing.Callable[[argparse.Namespace], Fake], **flags: object) -> None:
    """Run a stand-in as a program until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    for name, default in flags.items():
        kind = type(default)
        parser.add_argument("--" + name.replace("_", "-"), type=kind, default=default)
    # Block the signals in every thread, so that ``sigwait`` below receives them.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT})
    fake = make(parser.parse_args())
    fake.start()
    print(fake.url, flush=True)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})
