"""What a gateway does about poison requests: whom it blames, and whom it holds back.

An answer that broke off speaks against its request if its endpoint is gone, which a new
connection shows.  One endpoint's end breaks many answers off at once, and one of them
looks for all.
"""

import threading
import typing

from gaprock import (
    clock,
    directory,
    endpoint_state,
    eventlog,
    gateway_attempt,
    gateway_call,
    quarantine,
    routes,
)


class Cut(typing.NamedTuple):
    """A send whose answer broke off, for a reason that is not known yet."""

    call: gateway_call.Call
    weight: int


class Gate:
    """Holds poison requests back; safe for all threads."""

    __slots__ = ("_clock", "_directory", "_book", "_lock", "_cuts", "_open")

    def __init__(
        self,
        clock_: clock.Clock,
        directory_: directory.Directory,
        book: quarantine.Quarantine,
    ) -> None:
        self._clock = clock_
        self._directory = directory_
        self._book = book
        self._lock = threading.Lock()
        # Sends that broke off at an endpoint of which more is to be known.
        self._cuts: dict[endpoint_state.Endpoint, list[Cut]] = {}
        # The open calls, in the order in which they came.
        self._open: dict[gateway_call.Call, None] = {}

    # -- Calls --

    def enter(self, call: gateway_call.Call) -> None:
        """Take a call that begins."""
        with self._lock:
            self._open[call] = None

    def leave(self, call: gateway_call.Call) -> None:
        """Take the end of a call."""
        with self._lock:
            self._open.pop(call, None)

    def held_s(self, call: gateway_call.Call) -> float:
        """Give for how much longer a call is held back, seconds; 0 if it is not."""
        return 0.0 if self._book.is_empty else self._book.held_for_s(call.mark)

    def should_withdraw(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> bool:
        """Whether a send is taken back: its request is held, and may not have begun.

        A send that waits in an endpoint's queue would run whatever became known since.
        """
        if not self.held_s(call):
            return False
        return attempt.answer_age_s(self._clock.now()) < quarantine.JUST_BEGUN_S

    def must_wait(self, call: gateway_call.Call) -> bool:
        """Whether a suspected request waits for an earlier try of the same one.

        Of tries that run side by side each ends an endpoint before any of them is known
        to.
        """
        if self._book.is_empty or not self._book.is_suspected(call.mark):
            return False
        with self._lock:
            before = list(self._open)
        for other in before:
            if other is call:
                return False
            if other.is_same_request(call):
                return True
        return False

    def must_spare(
        self,
        call: gateway_call.Call,
        living: typing.Callable[[gateway_call.Call], tuple[int, int]],
    ) -> bool:
        """Whether a request waits, since only the last endpoint is left.

        :param living: counts the endpoints that live, and all, that may run a call.
        """
        if self._book.is_empty:
            return False
        ends = self._book.ends(call.mark)
        return bool(ends) and quarantine.spares(ends, *living(call))

    def record_success(self, call: gateway_call.Call) -> None:
        """Take that a call was answered whole."""
        if not self._book.is_empty:
            self._book.clear(call.mark)

    # -- Blame --

    def weight(self, call: gateway_call.Call, attempt: gateway_attempt.Attempt) -> int:
        """Give what its endpoint's end would say against a call; 0 for nothing."""
        if attempt.endpoint.leave_at != clock.NEVER:
            return 0
        # A plain service answers when it is done, so nothing shows when it began.
        may_wait = call.route.kind is routes.RouteKind.STREAM
        return quarantine.suspicion_weight(
            attempt.answer_age_s(self._clock.now()), may_wait
        )

    def record_broken_answer(
        self, call: gateway_call.Call, endpoint: endpoint_state.Endpoint, weight: int
    ) -> None:
        """Take that an answer broke off; whether its endpoint ended may show later."""
        with self._lock:
            self._cuts.setdefault(endpoint, []).append(Cut(call, weight))
        if endpoint.is_unreachable or endpoint.is_over:
            self._blame(endpoint)

    def lives(self, endpoint: endpoint_state.Endpoint) -> None:
        """Take that an endpoint takes connections: nothing that broke off ended it."""
        with self._lock:
            self._cuts.pop(endpoint, None)

    def resolve_broken(
        self, connects: typing.Callable[[endpoint_state.Endpoint], bool]
    ) -> None:
        """Look at the endpoints of which it is not known whether they ended."""
        with self._lock:
            waiting = list(self._cuts)
        for endpoint in waiting:
            if endpoint.is_unreachable or endpoint.is_over:
                self._blame(endpoint)
            elif self._directory.claim_connection_check(endpoint):
                if connects(endpoint):
                    self.lives(endpoint)
                else:
                    self._blame(endpoint)

    def _blame(self, endpoint: endpoint_state.Endpoint) -> None:
        """Hold the end of an endpoint's life against what was open there."""
        with self._lock:
            cuts = self._cuts.pop(endpoint, [])
        for cut in cuts:
            eventlog.info(
                "request-suspected",
                request=cut.call.info.request,
                mark=f"{cut.call.mark:016x}",
                endpoint=endpoint.name,
                weight=cut.weight,
            )
            self._book.note(cut.call.mark, endpoint.incarnation, cut.weight)
