"""Callers' connections: strict headers, and requests that arrive slowly.

The server (``cheroot``) reads heads and bodies.  Here, headers are kept as received and
ambiguous ones are rejected.
"""

import contextlib
import socket
import threading
import typing

import cheroot.server

from gaprock import (
    caller_input,
    caller_output,
    clock,
    digits,
    eventlog,
    gateway_api,
    held_bytes,
)

# Interval at which a delayed body is judged again, seconds.
DELAY_POLL_S: typing.Final = 0.02


class HeaderReader(cheroot.server.HeaderReader):
    """Keeps all headers as received, and rejects ambiguous ones."""

    def __call__(
        self, rfile: typing.Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read headers.

        :raises ValueError: when they are malformed or ambiguous.
        """
        found: dict[bytes, bytes] = {} if hdict is None else hdict
        raw: gateway_api.Headers = []
        while (line := rfile.readline()) != b"\r\n":
            raw.append(_split_header(line))
        _check_framing(raw)
        for name, value in raw:
            key = name.title()
            both = [found[key], value] if key in found else [value]
            found[key] = b", ".join(both)
        # The server passes only this dictionary to the request, so the raw headers are
        # passed inside it.
        found[RAW_HEADERS] = typing.cast("bytes", raw)
        return found


RAW_HEADERS: typing.Final = b"\0raw"


def _split_header(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(b"\r\n"):
        raise ValueError("A header line has no end.")
    name, colon, value = line[:-2].partition(b":")
    if not colon or not name or name != name.strip() or b" " in name:
        raise ValueError("Illegal header line.")
    if b"\0" in value or b"\r" in value or b"\n" in value:
        raise ValueError("Illegal header value.")
    return name, value.strip()


def _check_framing(raw: gateway_api.Headers) -> None:
    """Reject a request whose end another parser could see at a different place."""
    hosts = [v for n, v in raw if n.lower() == b"host"]
    if len(hosts) > 1:
        raise ValueError("The host is given twice.")
    lengths = [v for n, v in raw if n.lower() == b"content-length"]
    codings = [v for n, v in raw if n.lower() == b"transfer-encoding"]
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        raise ValueError("The length of the body is given twice.")
    if lengths and digits.parse(lengths[0]) is None:
        raise ValueError("Malformed Content-Length.")
    if codings and codings[0].strip().lower() != b"chunked":
        raise ValueError("Unknown Transfer-Encoding.")


class Request(cheroot.server.HTTPRequest):
    """A request that keeps its headers as received."""

    header_reader = HeaderReader()


class Connection(cheroot.server.HTTPConnection):
    """A caller's connection."""

    RequestHandlerClass = Request
    # Whether a request of it may have been read.
    has_begun = False


class AccountedConnection(Connection):
    """A caller's connection whose bytes are accounted (``held_bytes``).

    The server takes it back while a request is still arriving, so that callers that
    send slowly keep no threads.
    """

    def __init__(self, server: typing.Any, sock: socket.socket, *args: object) -> None:
        super().__init__(server, sock, *args)
        self._account: held_bytes.Account = server.account
        self._clock: clock.Clock = server.clock
        self.rfile: typing.Any = caller_input.RequestReader(
            sock, self._clock, self._may_gather
        )
        self.wfile: typing.Any = caller_output.Outbox(sock, self._account, self._clock)
        self.holding: held_bytes.Holding | None = None
        # Guards the holding: the server's own thread closes idle connections.
        self._lock = threading.Lock()

    def communicate(self) -> bool:
        """Serve the next request if it has arrived; return whether to stay open."""
        if not self.gather():
            return self.rfile.size > 0 or bool(self.server.can_add_keepalive_connection)
        if self.rfile.has_expired():
            return False
        try:
            if self.holding is not None or self.rfile.size > held_bytes.SMALL_BODY:
                self._record_arrived(0.0)
            self._hold()
            if self.holding is not None:
                self._account.promise(self.holding, 0, 0.0)
                self.holding.disconnect = self._cut
                self.wfile.holding = self.holding
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            self.wfile.holding = None
            self._release()
            self.rfile.begin_next()

    def gather(self) -> bool:
        """Read what has arrived; return whether the request need not be waited for."""
        if self.rfile.is_ready():
            return True
        if self.rfile.size:
            self._record_arrived(self.rfile.began_at)
        return False

    def close(self) -> None:
        """Release what is held, and close the socket."""
        self._release()
        super().close()

    def admit_body(self, length: int) -> held_bytes.Verdict:
        """Decide whether to read a body, after a delay if the budget is nearly used."""
        account, now = self._account, self._clock.now()
        verdict = account.judge_body(length, now)
        if verdict is held_bytes.Verdict.READ and self.holding is not None:
            arrived = self.holding.held.get(held_bytes.Kind.BODY, 0)
            account.promise(self.holding, arrived + length, now)
        if verdict is not held_bytes.Verdict.LATER:
            return verdict
        eventlog.info("body-delayed", bytes=length, budget=account.budget)
        give_up_at = now + held_bytes.READ_LATER_S
        account.record_delay(1)
        try:
            while verdict is held_bytes.Verdict.LATER and now < give_up_at:
                threading.Event().wait(DELAY_POLL_S)
                now = self._clock.now()
                verdict = account.judge_body(length, now)
        finally:
            account.record_delay(-1)
        return verdict

    def _may_gather(self, length: int) -> bool:
        verdict = self._account.judge_body(length, self._clock.now())
        if length > self.server.max_body() or verdict is not held_bytes.Verdict.READ:
            return False
        self._hold()
        if self.holding is not None:
            self._account.promise(self.holding, length, self._clock.now())
        return True

    def _record_arrived(self, behind_since: float) -> None:
        self._hold()
        if self.holding is not None:
            kind, now = held_bytes.Kind.BODY, self._clock.now()
            size = self.rfile.size
            self._account.set(self.holding, kind, size, now, behind_since)

    def _hold(self) -> None:
        with self._lock:
            if self.holding is None:
                now = self._clock.now()
                self.holding = self._account.open(self._cut_input, now)

    def _release(self) -> None:
        with self._lock:
            if self.holding is not None:
                self._account.close(self.holding)
                self.holding = None

    def _cut_input(self) -> None:
        # The end of the input makes the request ready, and it is refused.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def _cut(self) -> None:
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
