"""Sends that began to run at endpoints, kept until the fate of the endpoint is known.

A send may end in many ways, and its endpoint may end before or after it.  Whether an
incarnation of an endpoint has ended is known only from signs that say so of the
incarnation: its endpoint started again, another one has its address, its port refuses
connections, or its row went while nothing more came from it.  That a port accepts
connections is no sign that the incarnation lives, since another process may hold it.

So each send is recorded from the moment at which it leaves, under the incarnation, and
for ``KEPT_S`` after it ended without a whole answer, whatever ended it.
"""

import collections
import threading
import typing

from gaprock import (
    clock,
    endpoint_state,
    gateway_attempt,
    gateway_call,
    routes,
    suspicion,
)

# How long a send is kept after its end: a row goes some seconds after its endpoint
# has crashed, and an endpoint that starts again needs as long.
KEPT_S: typing.Final = 10.0
# An endpoint may go on with a request for this long after its send has ended here.
LINGER_S: typing.Final = 1.0
# For this long after it broke an answer off, the port of an endpoint is checked.
CHECKED_S: typing.Final = 2.0
# Maximum number of ended sends; the earliest ones are dropped first.
MAX_ENDED: typing.Final = 2000


class Marks(typing.NamedTuple):
    """What identifies a request in the quarantine, without its body."""

    request: str
    fingerprint: int
    segments: tuple[int, ...]
    families: tuple[int, ...]


class BegunSend:
    """A send that may have begun to run at its endpoint."""

    __slots__ = (
        "attempt",
        "sent_at",
        "weight",
        "counts_shared",
        "ended_at",
        "alive_at",
        "is_broken",
        "_is_stream",
        "_call",
        "_marks",
    )

    def __init__(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        self.attempt = attempt
        self.sent_at = attempt.sent_at
        # Weight against its request if the endpoint has ended, and whether that counts
        # against what it shares with others too; set once the send has ended.
        self.weight = 0
        self.counts_shared = False
        self.ended_at = clock.NEVER
        # When its endpoint was found alive after the request had stopped running there.
        self.alive_at = clock.NEVER
        # Whether the endpoint broke the answer off, or fell silent.
        self.is_broken = False
        self._is_stream = call.route.kind is routes.RouteKind.STREAM
        self._call: gateway_call.Call | None = call
        self._marks: Marks | None = None

    @property
    def endpoint(self) -> endpoint_state.Endpoint:
        """The incarnation to which it was sent."""
        return self.attempt.endpoint

    @property
    def is_open(self) -> bool:
        """Whether it has not ended yet."""
        return self.ended_at == clock.NEVER

    @property
    def marks(self) -> Marks:
        """The marks of its request."""
        if self._marks is None:
            call = self._call
            assert call is not None
            self._marks = Marks(
                call.info.request, call.fingerprint, call.segments, call.families
            )
            # The call has the request's body.
            self._call = None
        return self._marks

    def end(self, now: float) -> None:
        """Record that it has ended without a complete answer."""
        self.set_weight(now)
        self.ended_at = now

    def set_weight(self, now: float) -> None:
        """Set the weight against its request if the endpoint has ended by now."""
        # A plain service answers only once it is done, so the start cannot be seen.
        endpoint = self.endpoint
        may_wait = self._is_stream and endpoint.load > endpoint.row.slots
        begun_s = self.attempt.answer_age_s(now)
        self.weight = suspicion.suspicion_weight(begun_s, may_wait)
        self.counts_shared = begun_s < suspicion.SUSPICION_WINDOW_S

    def was_running_at(self, ended_at: float) -> bool:
        """Whether it may have run when its endpoint ended.

        :param ended_at: the latest time at which the endpoint may have ended.
        """
        return self.sent_at <= ended_at < self.alive_at


class BegunSends:
    """The sends of a gateway by the incarnation of their endpoint; thread-safe."""

    __slots__ = (
        "_clock",
        "_lock",
        "_by_attempt",
        "_by_endpoint",
        "_ended",
        "_silent",
    )

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        self._by_attempt: dict[gateway_attempt.Attempt, BegunSend] = {}
        self._by_endpoint: dict[endpoint_state.Endpoint, dict[BegunSend, None]] = {}
        # The ended ones, the earliest first.
        self._ended: collections.OrderedDict[BegunSend, None] = (
            collections.OrderedDict()
        )
        # The open ones whose calls are being sent elsewhere.
        self._silent: set[BegunSend] = set()

    def begin(self, call: gateway_call.Call, attempt: gateway_attempt.Attempt) -> None:
        """Record a send that leaves now."""
        send = BegunSend(call, attempt)
        with self._lock:
            self._by_attempt[attempt] = send
            self._by_endpoint.setdefault(send.endpoint, {})[send] = None

    def forget(self, attempt: gateway_attempt.Attempt) -> None:
        """Drop a send that never ran, or was answered completely."""
        with self._lock:
            send = self._by_attempt.get(attempt)
            if send is not None:
                self._drop(send)

    def set_broken(self, attempt: gateway_attempt.Attempt) -> None:
        """Record that the endpoint broke an answer off, or fell silent."""
        with self._lock:
            send = self._by_attempt.get(attempt)
            if send is not None:
                send.is_broken = True

    def set_silent(self, attempt: gateway_attempt.Attempt, is_silent: bool) -> None:
        """Record whether an open send counts as broken, as its endpoint is silent."""
        with self._lock:
            send = self._by_attempt.get(attempt)
            if send is None or not send.is_open:
                return
            send.is_broken = is_silent
            if is_silent:
                self._silent.add(send)
            else:
                self._silent.discard(send)

    def end(self, attempt: gateway_attempt.Attempt) -> None:
        """Record the end of a send, whatever ended it."""
        with self._lock:
            send = self._by_attempt.get(attempt)
            if send is None or not send.is_open:
                return
            send.end(self._clock.now())
            self._silent.discard(send)
            self._ended[send] = None
            while len(self._ended) > MAX_ENDED:
                self._drop(next(iter(self._ended)))

    def record_alive(self, endpoint: endpoint_state.Endpoint) -> None:
        """Record that bytes came from an endpoint."""
        if not self._ended:
            return
        now = self._clock.now()
        with self._lock:
            for send in self._by_endpoint.get(endpoint, ()):
                if now >= send.ended_at + LINGER_S:
                    send.alive_at = min(send.alive_at, now)

    def take(self, endpoint: endpoint_state.Endpoint) -> list[BegunSend]:
        """Remove and return the sends at an incarnation that has ended."""
        now = self._clock.now()
        with self._lock:
            taken = list(self._by_endpoint.get(endpoint, ()))
            for send in taken:
                if send.is_open:
                    send.set_weight(now)
                self._drop(send)
        return taken

    def endpoints(self) -> list[endpoint_state.Endpoint]:
        """Return the endpoints with sends on record."""
        with self._lock:
            return list(self._by_endpoint)

    def broken_endpoints(self) -> list[endpoint_state.Endpoint]:
        """Return the endpoints that broke answers off lately, or fell silent."""
        now = self._clock.now()
        with self._lock:
            broken = (
                one.endpoint
                for one in self._ended
                if one.is_broken and now < one.ended_at + CHECKED_S
            )
            return list(dict.fromkeys(broken))

    def count_broken(self, fingerprint: int) -> int:
        """Return how many endpoints broke a request off, and may have ended."""
        if not self._ended and not self._silent:
            return 0
        with self._lock:
            broken = [
                one
                for one in (*self._ended, *self._silent)
                if one.is_broken and one.alive_at == clock.NEVER
            ]
            same = [one for one in broken if one.marks.fingerprint == fingerprint]
        return len({one.endpoint for one in same})

    def expire(self) -> list[BegunSend]:
        """Drop and return the sends that ended long ago.

        The calls of the others, which have their bodies, are released.
        """
        if not self._ended:
            return []
        now = self._clock.now()
        with self._lock:
            old = [one for one in self._ended if now >= one.ended_at + KEPT_S]
            for send in old:
                self._drop(send)
            kept = list(self._ended)
            for send in kept:
                # The marks replace the call.
                _ = send.marks
        return old

    def _drop(self, send: BegunSend) -> None:
        self._ended.pop(send, None)
        self._silent.discard(send)
        self._by_attempt.pop(send.attempt, None)
        sends = self._by_endpoint.get(send.endpoint)
        if sends is not None:
            sends.pop(send, None)
            if not sends:
                del self._by_endpoint[send.endpoint]
