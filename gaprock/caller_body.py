"""Reads the bodies of callers' requests, within the memory for them.

Where slow readers are accounted (``held_bytes``), the account decides; elsewhere a body
counts against the memory of all whole bodies (``body_memory``).
"""

import typing

from gaprock import (
    body_memory,
    caller_chunks,
    caller_input,
    clock,
    eventlog,
    gateway_call,
    held_bytes,
)

# What a body that is not read is answered; 400 if it is malformed.
STATUSES: typing.Final[dict[type, int]] = {
    caller_chunks.TooLarge: 413,
    caller_chunks.TooSlow: 408,
}


class BodyReply(gateway_call.Reply, typing.Protocol):
    """Interface of the reply to a request whose body is read."""

    def abandon(self) -> None:
        """Send nothing more, and close the connection."""


# Refuses a request that was not run, with a detail and a retry time, seconds.
Refuse = typing.Callable[[gateway_call.Reply, str, float], None]


class BodyReader:
    """Reads request bodies; thread-safe.

    :param refuse: refuses a request; ``None`` to close its connection only.
    """

    __slots__ = ("_clock", "refuse", "max_body")

    def __init__(self, clock_: clock.Clock, refuse: Refuse | None) -> None:
        self._clock = clock_
        self.refuse = refuse
        # The largest body that is read; 0 for any.
        self.max_body = 0

    def _refuse_body(
        self,
        req: typing.Any,
        reply: BodyReply,
        holding: held_bytes.Holding | None,
        size: int,
    ) -> None:
        req.close_connection = True
        retry_s = held_bytes.RETRY_S[1]
        if holding is not None:
            retry_s = holding.account.record_refused(size)
            # A caller that was cut as a slow sender still gets this answer.
            req.conn.wfile.holding = None
        if self.refuse is not None:
            self.refuse(reply, "no memory for the body", retry_s)

    def read(
        self,
        req: typing.Any,
        reply: BodyReply,
        holding: held_bytes.Holding | None,
        share: body_memory.Share | None,
    ) -> bytes | None:
        """Read a body; ``None`` if the request was refused or its body broke off."""
        limit = self.max_body or None
        length = int(req.inheaders.get(b"Content-Length", 0))
        if limit is not None and length > limit:
            req.close_connection = True
            reply.whole(413, [], b"")
            return None
        if holding is not None and (length or req.chunked_read):
            # What has arrived is counted already.
            arrived = holding.held.get(held_bytes.Kind.BODY, 0)
            verdict = req.conn.admit_body(max(0, length - arrived))
            if holding.is_cut or verdict is held_bytes.Verdict.REFUSE:
                self._refuse_body(req, reply, holding, length)
                return None
        if req.chunked_read:
            req.rfile = caller_chunks.ChunkedBody(
                req.conn.rfile, self.max_body, self._clock
            )
        try:
            if holding is not None:
                body = self._read_accounted(req, holding, length)
            else:
                body = self._read_admitted(req, share, length)
        except (ValueError, caller_chunks.TooLarge, caller_chunks.TooSlow) as exc:
            req.close_connection = True
            reply.whole(STATUSES.get(type(exc), 400), [], b"")
            eventlog.info("body-refused", error=repr(exc))
            return None
        if body is None:
            self._refuse_body(req, reply, holding, length)
            return None
        if len(body) < length:
            reply.abandon()
            return None
        return body

    @staticmethod
    def _read_admitted(
        req: typing.Any, share: body_memory.Share | None, length: int
    ) -> bytes | None:
        """Read a body where no account is kept; ``None`` if it does not fit."""
        if length <= held_bytes.SMALL_BODY and not req.chunked_read:
            return bytes(req.rfile.read())
        if share is not None and not share.memory.has_room(length):
            return None
        body = bytearray()
        while piece := req.rfile.read(caller_input.READ_BYTES):
            if share is not None and not share.memory.admit_request(share, len(piece)):
                return None
            body += piece
        return bytes(body)

    def _read_accounted(
        self, req: typing.Any, holding: held_bytes.Holding, length: int
    ) -> bytes | None:
        """Read a body; ``None`` if it does not fit into the budget."""
        account, kind = holding.account, held_bytes.Kind.BODY
        if length <= held_bytes.SMALL_BODY and not req.chunked_read:
            small = bytes(req.rfile.read())
            account.set(holding, kind, len(small), self._clock.now())
            return small
        body = bytearray()
        step = max(caller_input.READ_BYTES, req.conn.rfile.size)
        while piece := req.rfile.read(step):
            body += piece
            req.conn.rfile.trim()
            now = self._clock.now()
            account.set(holding, kind, len(body) + req.conn.rfile.size, now)
            if account.judge_body(0, now) is held_bytes.Verdict.REFUSE:
                return None
        account.set(holding, kind, len(body), self._clock.now())
        return bytes(body)
