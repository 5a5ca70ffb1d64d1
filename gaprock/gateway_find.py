"""Finds an endpoint for a send, or refuses the call with a reason and a retry time.

A call that can be served in time waits: for a short time for an endpoint to become
usable, or in the queue for rate-limited endpoints. Any other call is refused at once.
"""

import random
import threading
import typing

from gaprock import (
    clock,
    endpoint_state,
    errorcodes,
    gateway_call,
    gateway_choose,
    gateway_quarantine,
    outages,
    paced_queue,
    rate_pacing,
    retry_schedule,
)

# A call without a usable endpoint is tried again at this interval. It is refused after
# this share of its latency goal.
POLL_INTERVAL_S: typing.Final = 0.03
WAIT_SHARE: typing.Final = 0.2
# If all endpoints that may run a call are rate-limited, it is queued if its turn comes
# within this share of its latency goal.
QUEUE_SHARE: typing.Final = 0.6
# Range of the retry delay if all halls that may run a call are cordoned. That state
# lasts until an operator ends it.
NO_HALL_RETRY_S: typing.Final = (1.0, 3.0)


class Finder:
    """Finds endpoints; thread-safe.

    :param queue: the queues for rate-limited endpoints.
    """

    __slots__ = (
        "_clock",
        "_chooser",
        "_gate",
        "_queue",
        "_rng",
        "_retry_schedule",
        "_outages",
    )

    def __init__(
        self,
        clock_: clock.Clock,
        chooser: gateway_choose.Chooser,
        gate: gateway_quarantine.Gate,
        queue: paced_queue.PacedQueue,
    ) -> None:
        self._clock = clock_
        self._chooser = chooser
        self._gate = gate
        self._queue = queue
        self._rng = random.Random()
        self._retry_schedule = retry_schedule.RetrySchedule()
        self._outages = outages.Outages()

    def record_sent(self, call: gateway_call.Call) -> None:
        """Record that an endpoint accepted a call."""
        self._outages.record_recovery(call.service, self._clock.now())

    def record_end(self) -> None:
        """Record that a request ended and freed a slot."""
        self._retry_schedule.record_end(self._clock.now())

    def find(
        self, call: gateway_call.Call, reply: gateway_call.Reply, model: str
    ) -> gateway_choose.Choice:
        """Choose an endpoint, waiting for a short time if there is none.

        :raises gateway_call.CallError: if no endpoint is found.
        """
        give_up_at = self._clock.now() + WAIT_SHARE * call.route.goal_s
        give_up_at = min(give_up_at, call.deadline)
        while True:
            if not self._must_wait(call):
                chosen = self._choose(call, reply, model)
                if chosen is not None:
                    return chosen
                self._refuse_unservable(call)
            now = self._clock.now()
            if now >= give_up_at:
                raise self.refused(call, "no usable endpoint")
            reply.caller.check()
            if (
                call.excluded
                and not call.has_run
                and now + POLL_INTERVAL_S >= give_up_at
            ):
                # All endpoints were tried once; try them again rather than refuse.
                call.excluded.clear()
            threading.Event().wait(POLL_INTERVAL_S)

    def has_other(
        self, call: gateway_call.Call, endpoint: endpoint_state.Endpoint
    ) -> bool:
        """Whether another endpoint than the one that runs a call takes it now."""
        if self._must_wait(call):
            return False
        is_queue_empty = self._queue.is_empty(call.service)
        if not is_queue_empty and self._chooser.turn(call) is not None:
            return False
        return self._chooser.has_other(call, endpoint)

    def _must_wait(self, call: gateway_call.Call) -> bool:
        """Whether a suspected request must wait for an earlier try or for endpoints."""
        gate = self._gate
        return gate.must_wait(call) or gate.must_reserve_last(
            call, self._chooser.count_reachable
        )

    def _refuse_unservable(self, call: gateway_call.Call) -> None:
        """Refuse a call at once if no endpoint can run it now.

        :raises gateway_call.CallError: if its halls are cordoned, or every endpoint
            that may run it is gone or did not accept a connection a moment ago.
        """
        if self._chooser.has_no_permitted_hall(call):
            raise self._no_permitted_hall(call)
        living, _ = self._chooser.count_reachable(call)
        if not living:
            raise self._all_down(call)

    def _choose(
        self, call: gateway_call.Call, reply: gateway_call.Reply, model: str
    ) -> gateway_choose.Choice | None:
        """Choose an endpoint; requests that are already queued go first."""
        if self._queue.is_empty(call.service):
            chosen = self._chooser.endpoint(call, model)
            if chosen is not None:
                return chosen
        turn = self._chooser.turn(call)
        if turn is None:
            return self._chooser.endpoint(call, model)
        return self._await_turn(call, reply, model, turn)

    def _await_turn(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        model: str,
        turn: rate_pacing.Turn | None,
    ) -> gateway_choose.Choice | None:
        """Wait in the queue for rate-limited endpoints.

        :returns: ``None`` if the rate limits no longer apply, or if endpoints that
            refused the call should be tried again.
        :raises gateway_call.CallError: as soon as the call's turn would come too late.
        """
        latest_at = call.inbound.arrived_at + QUEUE_SHARE * call.route.goal_s
        latest_at = min(latest_at, call.deadline)
        position = self._queue.enter(call)
        try:
            while turn is not None:
                if self._queue.is_first(call, position):
                    chosen = self._chooser.endpoint(call, model)
                    if chosen is not None:
                        return chosen
                if self._queue.expected_send_at(call, position, turn) > latest_at:
                    if call.excluded and not call.has_run:
                        # An endpoint that refused the call may have a free slot by now.
                        call.excluded.clear()
                        return None
                    raise self._rate_limited(call, turn)
                reply.caller.check()
                threading.Event().wait(POLL_INTERVAL_S)
                turn = self._chooser.turn(call)
            return None
        finally:
            self._queue.leave(call, position)

    def _rate_limited(
        self, call: gateway_call.Call, turn: rate_pacing.Turn
    ) -> gateway_call.CallError:
        """Return the refusal of a call whose turn does not come in time."""
        if call.has_run:
            return self.unknown(call, "endpoints take no more")
        now = self._clock.now()
        caller_s = call.wait_until - now
        retry_s = self._queue.retry_after_s(call, turn, now, caller_s)
        detail = f"{turn.per_s:.2g} a second, next in {turn.next_at - now:.2g} s"
        return gateway_call.CallError(errorcodes.PACED, detail, retry_s)

    def refused(self, call: gateway_call.Call, detail: str) -> gateway_call.CallError:
        """Return the refusal of a call that no endpoint accepted."""
        if call.has_run:
            return self.unknown(call, detail)
        if self._clock.now() >= call.deadline:
            return gateway_call.CallError(errorcodes.DEADLINE_PAST, detail, 0.0)
        turn = self._chooser.turn(call)
        if turn is not None and turn.next_at > self._clock.now():
            return self._rate_limited(call, turn)
        return self.overloaded(detail, call.wait_until - self._clock.now())

    def _all_down(self, call: gateway_call.Call) -> gateway_call.CallError:
        """Return the refusal of a call for which all endpoints are down."""
        if call.has_run:
            return self.unknown(call, "all endpoints are dark")
        now = self._clock.now()
        self._outages.record_outage(call.service, now)
        caller_s = call.wait_until - now
        retry_s = self._outages.retry_after_s(call.service, now, caller_s)
        return gateway_call.CallError(errorcodes.NO_ENDPOINT, "all are dark", retry_s)

    def _no_permitted_hall(self, call: gateway_call.Call) -> gateway_call.CallError:
        """Return the refusal of a call whose permitted halls are all cordoned."""
        if call.has_run:
            return self.unknown(call, "halls emptied")
        retry_s = self._rng.uniform(*NO_HALL_RETRY_S)
        return gateway_call.CallError(errorcodes.NO_HALL, "", retry_s)

    def overloaded(self, detail: str, caller_s: float) -> gateway_call.CallError:
        """Return a refusal due to overload, with the caller's turn as the retry time.

        :param caller_s: the time for which the caller still waits.
        """
        retry_s = self._retry_schedule.next_s(self._clock.now(), caller_s)
        return gateway_call.CallError(errorcodes.OVERLOADED, detail, retry_s)

    def unknown(self, call: gateway_call.Call, detail: str) -> gateway_call.CallError:
        """Return the error for a call that may have run."""
        if self._clock.now() >= call.deadline:
            return gateway_call.CallError(errorcodes.DEADLINE_RUNNING, detail)
        return gateway_call.CallError(errorcodes.OUTCOME_UNKNOWN, detail)
