"""The bodies of callers' requests: taken once they have arrived, or refused.

Where slow readers are accounted (``held_bytes``), the account decides; elsewhere a body
counts against the memory of all whole bodies (``body_memory``).
"""

import sys
import typing

from gaprock import body_memory, caller_input, clock, eventlog, gateway_call, held_bytes

# What a body that is not read is answered.
STATUSES: typing.Final[dict[caller_input.Refusal, int]] = {
    caller_input.Refusal.MALFORMED: 400,
    caller_input.Refusal.TOO_LARGE: 413,
    caller_input.Refusal.TOO_SLOW: 408,
}


class BodyReply(gateway_call.Reply, typing.Protocol):
    """Interface of the reply to a request whose body is read."""

    def abandon(self) -> None:
        """Send nothing more, and close the connection."""


# Refuses a request that was not run, with a detail and a retry time, seconds.
Refuse = typing.Callable[[gateway_call.Reply, str, float], None]


class BodyReader:
    """Takes request bodies from connections, or refuses them; thread-safe.

    :param refuse: refuses a request; ``None`` to close its connection only.
    """

    __slots__ = ("_clock", "refuse", "max_body")

    def __init__(self, clock_: clock.Clock, refuse: Refuse | None) -> None:
        self._clock = clock_
        self.refuse = refuse
        # The largest body that is read; 0 for any.
        self.max_body = 0

    @property
    def limit(self) -> int:
        """The largest body that is read, bytes."""
        return self.max_body or sys.maxsize

    def read(
        self,
        req: typing.Any,
        reply: BodyReply,
        holding: held_bytes.Holding | None,
        share: body_memory.Share | None,
    ) -> bytes | None:
        """Take a body; ``None`` if the request was refused or its body broke off."""
        reader = req.conn.rfile
        refusal = reader.refusal
        if reader.is_unframed:
            refusal = caller_input.Refusal.MALFORMED
        if refusal is None:
            body: bytes = reader.take_body()
            if self._count(body, holding, share):
                # The server would read what is left of a body.
                req.rfile.remaining = 0
                return body
            refusal = caller_input.Refusal.NO_MEMORY
        self._refuse_body(req, reply, refusal, holding, reader.size)
        return None

    def _count(
        self,
        body: bytes,
        holding: held_bytes.Holding | None,
        share: body_memory.Share | None,
    ) -> bool:
        """Count a body that is whole; return whether it fits."""
        if holding is not None:
            kind, now = held_bytes.Kind.BODY, self._clock.now()
            holding.account.set(holding, kind, len(body), now)
            return True
        if share is None or len(body) <= held_bytes.SMALL_BODY:
            return True
        return share.memory.admit_request(share, len(body))

    def _refuse_body(
        self,
        req: typing.Any,
        reply: BodyReply,
        refusal: caller_input.Refusal,
        holding: held_bytes.Holding | None,
        size: int,
    ) -> None:
        req.close_connection = True
        if refusal is caller_input.Refusal.BROKEN_OFF:
            reply.abandon()
            return
        if refusal is not caller_input.Refusal.NO_MEMORY:
            reply.whole(STATUSES[refusal], [], b"")
            eventlog.info("body-refused", reason=refusal.name.lower())
            return
        retry_s = held_bytes.RETRY_S[1]
        if holding is not None:
            retry_s = holding.account.record_refused(size)
            # A caller that was cut as a slow sender still gets this answer.
            req.conn.wfile.holding = None
        if self.refuse is not None:
            self.refuse(reply, "no memory for the body", retry_s)
