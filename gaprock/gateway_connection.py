"""Callers' connections: strict headers, and requests that arrive slowly.

The server (``cheroot``) parses heads that have arrived.  Here, headers are kept as
received and ambiguous ones are rejected.
"""

import contextlib
import os
import socket
import threading
import typing

import cheroot.makefile
import cheroot.server

from gaprock import (
    arrivals,
    caller_input,
    caller_output,
    clock,
    digits,
    early_listen,
    eventlog,
    gateway_api,
    held_bytes,
)

# Interval at which a delayed body is judged again, seconds.
DELAY_POLL_S: typing.Final = 0.02
# A caller whose body was not read may go on sending: for this long, and this much, it
# is read and dropped.  Otherwise the connection would be reset, and the answer lost.
LINGER_S: typing.Final = 1.0
LINGER_BYTES: typing.Final = 1024 * 1024
# Receive buffer of a connection whose large body was admitted, bytes.
BODY_RECEIVE_BUFFER: typing.Final = 64 * 1024


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
        # The body has arrived, so the server need not ask for it.
        found.pop(b"Expect", None)
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
    """A caller's connection.

    The server takes it back while a request is still arriving, so that callers that
    send slowly keep no threads.
    """

    RequestHandlerClass = Request
    # Whether a request of it may have been read.
    has_begun = False

    def __init__(
        self, server: typing.Any, sock: socket.socket, makefile: typing.Any = None
    ) -> None:
        self._clock: clock.Clock = server.clock
        self._arrivals: arrivals.Arrivals = server.arrivals
        super().__init__(server, sock, self._make_file)
        # The request that is arriving, if more than one visit is needed for it.  Only
        # the thread that has the connection replaces it.
        self._arrival: arrivals.Arrival | None = None
        self.holding: held_bytes.Holding | None = None
        self.opened_at = self.visited_at = self._clock.now()
        # Whether its last request was answered before all of it was read.
        self._has_unread = False
        # Until when it is read and dropped, and how much at most; 0 before that.
        self.linger_until = 0.0
        self._linger_left = LINGER_BYTES
        # Called when it closes.
        self.on_close: typing.Callable[[typing.Any], object] = lambda conn: None

    def _make_file(self, sock: socket.socket, mode: str, size: int) -> typing.Any:
        if mode == "rb":
            return caller_input.RequestReader(
                sock,
                self._clock,
                self._admit_body,
                self.server.max_body,
                self.server.first_wait_ms,
            )
        return self._make_writer(sock, mode, size)

    def _make_writer(self, sock: socket.socket, mode: str, size: int) -> typing.Any:
        return cheroot.makefile.MakeFile(sock, mode, size)

    @property
    def waiting_since(self) -> float | None:
        """Since when it has had no whole request; ``None`` while it is kept alive."""
        if self.linger_until:
            return 0.0
        if self.rfile.is_waiting:
            return float(self.rfile.began_at)
        return None if self.has_begun and self.rfile.bytes_read else self.opened_at

    def communicate(self) -> bool:
        """Serve the next request if it has arrived; return whether to stay open."""
        if not self.gather() and not self._await_admission():
            # The port closes the one that waits longest, if there are too many.
            return True
        try:
            self._end_arrival()
            return self._serve()
        finally:
            reader = self.rfile
            self._has_unread = reader.is_unframed or reader.refusal is not None
            reader.begin_next()

    def _serve(self) -> bool:
        return bool(super().communicate())  # type: ignore[no-untyped-call]

    def gather(self) -> bool:
        """Read what has arrived; return whether the request need not be waited for."""
        self.visited_at = self._clock.now()
        arrival = self._arrival
        if arrival is not None and arrival.is_given_up:
            self._refuse()
            return True
        if self.rfile.is_ready():
            if arrival is not None and arrival.is_given_up:
                # The end of the input is of our making.
                self._refuse()
            return True
        if self.rfile.size and not self._record_arrived():
            self._refuse()
            return True
        return False

    def give_up_slow(self) -> bool:
        """End a request that was not whole in time; return whether it is answered."""
        if not self.rfile.has_head:
            return False
        self.rfile.refuse(caller_input.Refusal.TOO_SLOW)
        return True

    def _refuse(self) -> None:
        self.rfile.refuse(caller_input.Refusal.NO_MEMORY)

    def _await_admission(self) -> bool:
        """Whether the request became ready by the decision on its delayed body."""
        return False

    def _admit_body(self, length: int | None) -> caller_input.Admission:
        if length is not None and length <= held_bytes.SMALL_BODY:
            return caller_input.Admission.YES
        if not self._arrivals.admit_body(self._open_arrival(), length or 0):
            return caller_input.Admission.NO
        self._set_receive_buffer(BODY_RECEIVE_BUFFER)
        return caller_input.Admission.YES

    def _open_arrival(self) -> arrivals.Arrival:
        if self._arrival is None:
            self._arrival = self._arrivals.open(self._cut_input)
        return self._arrival

    def _record_arrived(self) -> bool:
        return self._arrivals.record(self._open_arrival(), self.rfile.size)

    def _end_arrival(self) -> None:
        arrival, self._arrival = self._arrival, None
        if arrival is not None:
            self._arrivals.close(arrival)
            if arrival.is_large:
                self._set_receive_buffer(early_listen.RECEIVE_BUFFER)

    def _set_receive_buffer(self, size: int) -> None:
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        except OSError as exc:
            eventlog.info("receive-buffer-not-set", size=size, error=exc)

    # -- The end --

    def close(self) -> None:
        """Release what is held, and close the socket, after its unread bytes."""
        self._end_arrival()
        if self._has_unread and not self.linger_until:
            self.linger_until = self._clock.now() + LINGER_S
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)
                self.server.put_conn(self)
                return
        self.on_close(self)
        super().close()

    def drop_unread(self) -> bool:
        """Drop bytes that arrived; return whether more may follow."""
        self.visited_at = self._clock.now()
        try:
            size = len(os.read(self.socket.fileno(), caller_input.READ_BYTES))
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._linger_left -= size
        return bool(size) and self._linger_left > 0

    def _cut_input(self) -> None:
        # The end of the input makes the request ready, and it is refused.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)


class AccountedConnection(Connection):
    """A caller's connection whose bytes are accounted (``held_bytes``)."""

    def __init__(
        self, server: typing.Any, sock: socket.socket, makefile: typing.Any = None
    ) -> None:
        self._account: held_bytes.Account = server.account
        # Guards the holding: the server's own thread closes idle connections.
        self._lock = threading.Lock()
        super().__init__(server, sock, makefile)

    def _make_writer(self, sock: socket.socket, mode: str, size: int) -> typing.Any:
        return caller_output.Outbox(sock, self._account, self._clock)

    def _serve(self) -> bool:
        try:
            if self.holding is not None or self.rfile.size > held_bytes.SMALL_BODY:
                self._record_held(0.0)
            self._hold()
            if self.holding is not None:
                self._account.promise(self.holding, 0, 0.0)
                self.holding.disconnect = self._cut
                self.wfile.holding = self.holding
            return super()._serve()
        finally:
            self.wfile.holding = None
            self._release()

    def gather(self) -> bool:
        """Read what has arrived; return whether the request need not be waited for."""
        reader, is_ready = self.rfile, super().gather()
        # A body whose length is not known was admitted without one.
        has_unknown = (
            reader.has_head and reader.body_length is None and not reader.refusal
        )
        if reader.size and not is_ready:
            self._record_held(reader.began_at)
        elif has_unknown:
            self._record_held(0.0)
        is_cut = self.holding is not None and self.holding.is_cut
        if is_cut and reader.has_head:
            self._refuse()
        elif has_unknown:
            verdict = self._account.judge_body(0, self._clock.now())
            if verdict is held_bytes.Verdict.REFUSE:
                self._refuse()
        return is_ready or reader.refusal is not None

    def close(self) -> None:
        """Release what is held, and close the socket."""
        self._release()
        super().close()

    def _await_admission(self) -> bool:
        """Delay a body if the budget is nearly used, for a bounded time."""
        if not self.rfile.awaits_admission:
            return False
        length = self.rfile.body_length or 0
        if self._judge_delayed(length) is held_bytes.Verdict.REFUSE:
            self._refuse()
            return True
        self._promise(length)
        self.rfile.admit()
        return self.gather()

    def _judge_delayed(self, length: int) -> held_bytes.Verdict:
        account, now = self._account, self._clock.now()
        verdict = account.judge_body(length, now)
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

    def _admit_body(self, length: int | None) -> caller_input.Admission:
        admission = super()._admit_body(length)
        if admission is not caller_input.Admission.YES:
            return admission
        verdict = self._account.judge_body(length or 0, self._clock.now())
        if verdict is held_bytes.Verdict.LATER:
            return caller_input.Admission.LATER
        if verdict is held_bytes.Verdict.REFUSE:
            self._hold()
            return caller_input.Admission.NO
        self._promise(length or 0)
        return caller_input.Admission.YES

    def _promise(self, length: int) -> None:
        self._hold()
        if self.holding is not None:
            self._account.promise(self.holding, length, self._clock.now())

    def _record_held(self, behind_since: float) -> None:
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

    def _cut(self) -> None:
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
