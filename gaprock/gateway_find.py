"""Finds an endpoint for a send, or says why there is none and when to come back.

What can be served in time waits: a moment for an endpoint that may come, in line for
endpoints that take only so many requests a second.  What cannot is refused at once.
"""

import random
import threading
import typing

from gaprock import (
    clock,
    errorcodes,
    gateway_call,
    gateway_choose,
    gateway_quarantine,
    outages,
    paced_queue,
    rate_pacing,
    retry_schedule,
)

# A call for which no endpoint is usable is looked at again after this long, and
# refused after this share of its goal.
WAIT_LOOK_S: typing.Final = 0.03
WAIT_SHARE: typing.Final = 0.2
# Where all that may run a call take only so many a second, it waits for its turn until
# this share of its goal, if that comes by then.
TURN_SHARE: typing.Final = 0.6
# When to come back where all halls that may run it are emptied, which takes an operator
# to end, seconds.
COME_BACK_NO_HALL_S: typing.Final = (1.0, 3.0)


class Finder:
    """Finds endpoints; safe for all threads.

    :param queue: who waits for endpoints that take only so many requests a second.
    """

    __slots__ = (
        "_clock",
        "_chooser",
        "_gate",
        "_queue",
        "_rng",
        "_returns",
        "_absences",
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
        self._returns = retry_schedule.RetrySchedule()
        self._absences = outages.Outages()

    def note_sent(self, call: gateway_call.Call) -> None:
        """Note that an endpoint took a call."""
        self._absences.record_recovery(call.service, self._clock.now())

    def note_end(self) -> None:
        """Note that a request ended and left room."""
        self._returns.note_end(self._clock.now())

    def find(
        self, call: gateway_call.Call, reply: gateway_call.Reply, model: str
    ) -> gateway_choose.Choice:
        """Choose an endpoint, waiting a moment for one when there is none."""
        give_up_at = self._clock.now() + WAIT_SHARE * call.route.goal_s
        give_up_at = min(give_up_at, call.deadline)
        while True:
            if not self._must_wait(call):
                chosen = self._choose(call, reply, model)
                if chosen is not None:
                    return chosen
                self._refuse_hopeless(call)
            now = self._clock.now()
            if now >= give_up_at:
                raise self.refused(call, "no usable endpoint")
            reply.caller.check()
            if call.excluded and not call.has_run and now + WAIT_LOOK_S >= give_up_at:
                # All were asked once: ask again rather than refuse.
                call.excluded.clear()
            threading.Event().wait(WAIT_LOOK_S)

    def _must_wait(self, call: gateway_call.Call) -> bool:
        """Whether a suspected request waits for an earlier try, or for endpoints."""
        gate = self._gate
        return gate.must_wait(call) or gate.must_spare(call, self._chooser.living)

    def _refuse_hopeless(self, call: gateway_call.Call) -> None:
        """Give a call up at once that nobody can run now.

        :raises gateway_call.CallError: when its halls are emptied, or each endpoint
            that may run it is gone or took no connection a moment ago.
        """
        if self._chooser.has_no_permitted_hall(call):
            raise self._shut_out(call)
        living, _ = self._chooser.living(call)
        if not living:
            raise self._gone(call)

    def _choose(
        self, call: gateway_call.Call, reply: gateway_call.Reply, model: str
    ) -> gateway_choose.Choice | None:
        """Choose an endpoint; whoever waits for one already goes first."""
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
        """Wait in line for endpoints that take only so many requests a second.

        :returns: ``None`` when there are none of these any more.
        :raises gateway_call.CallError: as soon as the turn will come too late.
        """
        latest_at = call.inbound.arrived_at + TURN_SHARE * call.route.goal_s
        latest_at = min(latest_at, call.deadline)
        place = self._queue.enter(call)
        try:
            while turn is not None:
                if self._queue.is_first(call, place):
                    chosen = self._chooser.endpoint(call, model)
                    if chosen is not None:
                        return chosen
                if self._queue.sent_at(call, place, turn) > latest_at:
                    if call.excluded and not call.has_run:
                        # One that refused it may have room by now.
                        call.excluded.clear()
                        return None
                    raise self._paced_out(call, turn)
                reply.caller.check()
                threading.Event().wait(WAIT_LOOK_S)
                turn = self._chooser.turn(call)
            return None
        finally:
            self._queue.leave(call, place)

    def _paced_out(
        self, call: gateway_call.Call, turn: rate_pacing.Turn
    ) -> gateway_call.CallError:
        """Give a call up whose turn does not come in time."""
        if call.has_run:
            return self.unknown(call, "endpoints take no more")
        now = self._clock.now()
        caller_s = call.wait_until - now
        retry_s = self._queue.retry_after_s(call, turn, now, caller_s)
        detail = f"{turn.per_s:.2g} a second, next in {turn.next_at - now:.2g} s"
        return gateway_call.CallError(errorcodes.PACED, detail, retry_s)

    def refused(self, call: gateway_call.Call, detail: str) -> gateway_call.CallError:
        """Give a call up that no endpoint took."""
        if call.has_run:
            return self.unknown(call, detail)
        if self._clock.now() >= call.deadline:
            return gateway_call.CallError(errorcodes.DEADLINE_PAST, detail, 0.0)
        turn = self._chooser.turn(call)
        if turn is not None and turn.next_at > self._clock.now():
            return self._paced_out(call, turn)
        return self.overloaded(detail, call.wait_until - self._clock.now())

    def _gone(self, call: gateway_call.Call) -> gateway_call.CallError:
        """Give a call up whose service is wholly gone."""
        if call.has_run:
            return self.unknown(call, "all endpoints are dark")
        now = self._clock.now()
        self._absences.record_outage(call.service, now)
        caller_s = call.wait_until - now
        retry_s = self._absences.retry_after_s(call.service, now, caller_s)
        return gateway_call.CallError(errorcodes.NO_ENDPOINT, "all are dark", retry_s)

    def _shut_out(self, call: gateway_call.Call) -> gateway_call.CallError:
        """Give a call up at once that may run nowhere while its halls are emptied."""
        if call.has_run:
            return self.unknown(call, "halls emptied")
        retry_s = self._rng.uniform(*COME_BACK_NO_HALL_S)
        return gateway_call.CallError(errorcodes.NO_HALL, "", retry_s)

    def overloaded(self, detail: str, caller_s: float) -> gateway_call.CallError:
        """Refuse for want of room; the caller comes back in its turn."""
        retry_s = self._returns.next_s(self._clock.now(), caller_s)
        return gateway_call.CallError(errorcodes.OVERLOADED, detail, retry_s)

    def unknown(self, call: gateway_call.Call, detail: str) -> gateway_call.CallError:
        """Give a call up that may have run."""
        if self._clock.now() >= call.deadline:
            return gateway_call.CallError(errorcodes.DEADLINE_RUNNING, detail)
        return gateway_call.CallError(errorcodes.OUTCOME_UNKNOWN, detail)
