"""Handles a request from its arrival to its final answer.

1. ``Server.serve`` finds route and workspace, and refuses what is not allowed.
2. While capacity is scarce, ``gateway_admission`` lets it wait or refuses it.
3. By the route's kind, ``_run`` collects a whole answer or relays a stream.
4. Each send goes to the endpoint that ``gateway_choose`` picks (``gateway_attempt``).
5. A send that was not run is repeated at another endpoint, and so is a failed one if
   the call may be repeated, within the route's number of sends and the fleet's retry
   budget.
6. The caller gets the endpoint's answer, or at once a final answer of the gateway:
   *not run* with a time to retry, or *outcome unknown*.
"""

import random
import threading
import typing

from gaprock import (
    clock,
    endpoint_state,
    errorcodes,
    errors,
    eventlog,
    gateway_admission,
    gateway_api,
    gateway_attempt,
    gateway_call,
    gateway_choose,
    gateway_find,
    gateway_judge,
    gateway_metrics,
    gateway_quarantine,
    gateway_relay,
    gateway_sender,
    gateway_startup,
    http_exchange,
    retry_budget,
    routes,
    startup_wait,
)

# Shortest and longest time to retry after a refusal for another reason than capacity.
# While this gateway is leaving, another one serves at once; the store or a start needs
# longer.
RETRY_LEAVING_S: typing.Final = (0.02, 0.1)
RETRY_STALE_S: typing.Final = (0.15, 0.6)
RETRY_UNREADY_S: typing.Final = (0.2, 0.6)
# A request that arrives after the port is open but before the tables have been read
# waits for at most ``START_WAIT_S``; longer on a small machine (``startup_wait``).
START_WAIT_S: typing.Final = startup_wait.USUAL_S
# A stream that broke off waits for an endpoint that resumes it, for as long as a first
# event may take by its route's goal, and looks for one at this interval.
RESUME_POLL_S: typing.Final = 0.05
JSON_TYPE: typing.Final = (b"Content-Type", b"application/json")


class ConfigSource(typing.Protocol):
    """Source of the configuration in force."""

    table: routes.RouteTable | None


class Server:
    """Serves requests, each on a thread of its own.

    :param is_stale: returns whether the store has not answered for a while.
    :param is_ready: returns whether the gateway is ready to serve requests.
    """

    def __init__(
        self,
        clock_: clock.Clock,
        dialect: gateway_api.Dialect,
        source: ConfigSource,
        chooser: gateway_choose.Chooser,
        sender: gateway_sender.Sender,
        relay: gateway_relay.Relay,
        judge: gateway_judge.AnswerJudge,
        gate: gateway_quarantine.Gate,
        budget: retry_budget.RetryBudget,
        metrics: gateway_metrics.GatewayMetrics,
        max_calls: int,
        finder: gateway_find.Finder,
        is_stale: typing.Callable[[], bool],
        is_ready: typing.Callable[[], bool],
        start_hold: gateway_startup.StartHold,
        admission: gateway_admission.Admission,
    ) -> None:
        self._clock = clock_
        self._started_at = clock_.now()
        self._dialect = dialect
        self._source = source
        self._chooser = chooser
        self._sender = sender
        self._relay = relay
        self._judge = judge
        self._gate = gate
        self._budget = budget
        self._metrics = metrics
        self._max_calls = max_calls
        self._finder = finder
        self._is_stale = is_stale
        self._is_ready = is_ready
        self.start_hold = start_hold
        self._admission = admission
        self._rng = random.Random()
        self._open = 0
        self._idle = threading.Condition()
        # A process that is being replaced accepts every request until the first time,
        # and then only those whose final answer is due before the second.
        self.accept_all_until = clock.NEVER
        self.stop_deadline = clock.NEVER

    @property
    def open_calls(self) -> int:
        """Number of requests in progress."""
        return self._open

    def end_calls(self) -> None:
        """Give the calls in progress their final answer, though endpoints work."""
        self._sender.stop_at = self._clock.now()

    def wait_idle(self, deadline: float) -> bool:
        """Wait until no request is in progress.

        :returns: whether all ended before the deadline.
        """
        with self._idle:
            return clock.wait_for(
                self._idle, lambda: not self._open, deadline, self._clock
            )

    def serve(self, inbound: gateway_call.Inbound, reply: gateway_call.Reply) -> None:
        """Serve one request, until its caller has a final answer or has left."""
        with self._idle:
            self._open += 1
        self._metrics.open_calls.set(self._open)
        result, call = "answered", None
        try:
            self._await_ready(inbound, reply)
            call = self._check(inbound)
            self._gate.enter(call)
            with self._admission.admitted(call, reply):
                self._run(call, reply)
        except http_exchange.CallerGone:
            result = "caller-gone"
        except gateway_call.CallError as exc:
            result = exc.code.name
            self._reply_error(reply, exc)
        finally:
            if call is not None:
                self._release_charge(call)
                self._gate.leave(call)
                self._chooser.record_end(call)
                self._finder.record_end()
            with self._idle:
                self._open -= 1
                self._idle.notify_all()
            self._log_end(inbound, call, result)

    # -- Checks --

    def _check(self, inbound: gateway_call.Inbound) -> gateway_call.Call:
        """Find the route and the workspace of a request.

        :raises gateway_call.CallError: when it is not allowed, or cannot be served now.
        """
        table = self._source.table
        if table is None or not self._is_ready():
            left_s = self.start_hold.left_s()
            shortest_s, longest_s = RETRY_UNREADY_S
            span_s = left_s + shortest_s, left_s + longest_s
            raise self._retry_later(errorcodes.NOT_READY, span_s)
        try:
            info = self._dialect.read_request(inbound.headers)
        except gateway_api.InvalidDocument as exc:
            raise gateway_call.CallError(errorcodes.BAD_REQUEST, str(exc)) from exc
        route = table.match(info.host, inbound.path)
        if route is None:
            raise self._not_allowed(errorcodes.NOT_FOUND, table)
        workspace = table.workspace_of(info.key) if info.key else None
        if table.requires_key and not route.public and workspace is None:
            raise self._not_allowed(errorcodes.UNAUTHORIZED, table)
        if not info.request:
            raise gateway_call.CallError(errorcodes.BAD_REQUEST, "no request id")
        wait_s = route.timeout_s if info.wait_s is None else info.wait_s
        self._check_room(route, wait_s)
        service = self._chooser.service(route)
        return gateway_call.Call(inbound, info, route, workspace, table.number, service)

    def _await_ready(
        self, inbound: gateway_call.Inbound, reply: gateway_call.Reply
    ) -> None:
        """Hold a request until the start is complete, but not for too long."""
        self.start_hold.hold(inbound, reply, START_WAIT_S)

    def _check_room(self, route: routes.Route, caller_s: float) -> None:
        now = self._clock.now()
        if now >= self.accept_all_until and now + route.timeout_s >= self.stop_deadline:
            raise self._retry_later(errorcodes.LEAVING, RETRY_LEAVING_S)
        if self._open > self._max_calls:
            raise self._finder.overloaded("too many open calls", caller_s)

    def _not_allowed(
        self, code: errorcodes.ErrorCode, table: routes.RouteTable
    ) -> gateway_call.CallError:
        """Build a final refusal, or one to retry if the configuration may be stale."""
        if self._is_stale():
            return self._retry_later(errorcodes.BEHIND, RETRY_STALE_S)
        return gateway_call.CallError(code, f"configuration {table.number}")

    def _retry_later(
        self, code: errorcodes.ErrorCode, span_s: tuple[float, float], detail: str = ""
    ) -> gateway_call.CallError:
        return gateway_call.CallError(code, detail, self._rng.uniform(*span_s))

    # -- Sends --

    def _run(self, call: gateway_call.Call, reply: gateway_call.Reply) -> None:
        self._budget.record_first(call.service, call.inbound.arrived_at)
        if call.route.kind is routes.RouteKind.STREAM:
            self._relay.run(call, reply, self)
        else:
            self._run_whole(call, reply)

    def _run_whole(self, call: gateway_call.Call, reply: gateway_call.Reply) -> None:
        """Get a whole answer; a repeatable call that failed is sent elsewhere."""
        kept: tuple[gateway_api.AnswerHead, bytes] | None = None
        while True:
            try:
                attempt = self.send(call, reply, "", call.info.resume_after)
                call.endpoint = attempt.endpoint.name
                body = self._collect(call, attempt)
            except gateway_attempt.Failed as exc:
                if self.charge_repeat(call, str(exc)):
                    continue
                if kept is None:
                    raise self._finder.unknown(call, str(exc)) from exc
            except gateway_call.CallError:
                # The caller gets an endpoint's error answer rather than our refusal.
                if kept is None:
                    raise
            else:
                kept = (attempt.head, body)
                bad = attempt.head.status >= gateway_attempt.SERVER_ERROR
                if bad and self.charge_repeat(call, f"status {attempt.head.status}"):
                    call.excluded.add(attempt.endpoint.incarnation)
                    continue
                if not bad:
                    self._gate.record_success(call, attempt)
            head, body = kept
            call.status = head.status
            call.record_write(self._clock.now())
            reply.whole(head.status, head.headers, body)
            return

    def send(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        model: str,
        resume_after: int | None,
        repeat: str = "",
    ) -> gateway_attempt.Attempt:
        """Send a call until an endpoint runs it.

        :param repeat: why a stream is resumed. Its first send is charged as a repeat
            once there is an endpoint for it, and not if it never leaves.
        :raises gateway_attempt.Failed: when the last endpoint may have run it.
        :raises gateway_call.CallError: when no endpoint accepts it.
        """
        if not repeat:
            return self._send_until_run(call, reply, model, resume_after, None)
        choice = self._find_to_resume(call, reply, model)
        if not self.charge_repeat(call, repeat):
            raise self._finder.unknown(call, "no repeat left")
        try:
            return self._send_until_run(call, reply, model, resume_after, choice)
        finally:
            self._release_charge(call)

    def _find_to_resume(
        self, call: gateway_call.Call, reply: gateway_call.Reply, model: str
    ) -> gateway_choose.Choice:
        """Choose an endpoint that resumes a stream, and wait while there is none.

        :raises gateway_call.CallError: if none is found in time.
        """
        give_up_at = self._clock.now() + call.route.goal_s
        while True:
            self._refuse_held(call)
            try:
                return self._finder.find(call, reply, model)
            except gateway_call.CallError:
                is_over = self._clock.now() + RESUME_POLL_S >= give_up_at
                if is_over or not self.may_repeat(call):
                    raise
            reply.caller.check()
            threading.Event().wait(RESUME_POLL_S)

    def _send_until_run(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        model: str,
        resume_after: int | None,
        choice: gateway_choose.Choice | None,
    ) -> gateway_attempt.Attempt:
        """Send a call until an endpoint runs it.

        :param choice: the first endpoint, if it has been chosen already.
        """
        while True:
            self._refuse_held(call)
            endpoint, prompt = choice or self._finder.find(call, reply, model)
            choice = None
            sends = call.sends
            try:
                attempt = self._sender.send(
                    call,
                    reply,
                    endpoint,
                    model,
                    resume_after,
                    prompt,
                    lambda: self.may_repeat(call),
                )
            except gateway_attempt.NotRun as exc:
                # An endpoint that accepted no connection was sent nothing, so trying
                # another one is no repeat.
                if call.sends == sends and self._clock.now() < call.deadline:
                    if not call.sends or call.charge is not None:
                        continue
                if not self._charge(call, str(exc)):
                    raise self._finder.refused(call, str(exc)) from exc
                continue
            self._metrics.sends.labels(call.service, "answered").inc()
            self._finder.record_sent(call)
            return attempt

    def _refuse_held(self, call: gateway_call.Call) -> None:
        """End a poison request at once, whether or not it was sent before.

        The answer is no client error, because a harmless request may be held by
        mistake; its caller may retry when the request would be sent again.
        """
        held_s = self._gate.held_s(call)
        if not held_s:
            return
        if call.has_run:
            raise self._finder.unknown(call, gateway_attempt.HELD)
        raise gateway_call.CallError(
            errorcodes.HELD, self._gate.held_mark(call), held_s
        )

    def may_repeat(self, call: gateway_call.Call) -> bool:
        """Return whether a call that may have run may be sent again."""
        return call.route.repeatable and self._may_send_again(call)

    def may_move(
        self, call: gateway_call.Call, endpoint: endpoint_state.Endpoint
    ) -> bool:
        """Return whether another endpoint may be sent a call that has run."""
        return self.may_repeat(call) and self._finder.has_other(call, endpoint)

    def charge_repeat(self, call: gateway_call.Call, reason: str) -> bool:
        """Charge the next send of a call that may have run.

        :returns: whether it may be sent again.
        """
        return call.route.repeatable and self._charge(call, reason)

    def _charge(self, call: gateway_call.Call, reason: str) -> bool:
        """Charge the next send of a call; return whether it may be sent again."""
        if not self._has_sends_left(call):
            return False
        if call.charge is None:
            call.charge = self._budget.charge(call.service, call.deadline)
        if call.charge is None:
            self._record_refused(call, reason)
            return False
        word = reason.partition(":")[0].partition(" ")[0]
        self._metrics.repeats.labels(call.service, word).inc()
        self._log_budget("repeat", call, reason)
        return True

    def _release_charge(self, call: gateway_call.Call) -> None:
        """End the charge of a send that never left."""
        charge, call.charge = call.charge, None
        if charge is not None:
            self._budget.release(charge)
            eventlog.info("repeat-not-sent", request=call.info.request)

    def _log_budget(self, event: str, call: gateway_call.Call, reason: str) -> None:
        """Log a decision on a repeat, with the budget by which it was made."""
        now = self._clock.now()
        state = self._budget.state(call.service)
        eventlog.info(
            event,
            request=call.info.request,
            service=call.service,
            sends=call.sends,
            reason=reason,
            left=state.left,
            depth=state.depth,
            held=state.held,
            spent=state.spent,
            firsts=state.firsts,
            age_s=now - self._started_at,
        )

    def _may_send_again(self, call: gateway_call.Call) -> bool:
        if not self._has_sends_left(call):
            return False
        return self._budget.left(call.service) >= 1.0

    def _has_sends_left(self, call: gateway_call.Call) -> bool:
        """Whether a call may be sent again if the retry budget allows it."""
        now = self._clock.now()
        is_over = now >= call.deadline or now >= self._sender.stop_at
        return call.sends_left > 0 and not is_over and not self._gate.held_s(call)

    def _record_refused(self, call: gateway_call.Call, reason: str) -> None:
        """Count and log, once for each call, that the budget refused a repeat."""
        if call.is_repeat_refused:
            return
        call.is_repeat_refused = True
        self._metrics.repeats_refused.labels(call.service).inc()
        self._log_budget("repeat-refused", call, reason)

    def unknown(self, call: gateway_call.Call, detail: str) -> gateway_call.CallError:
        """Build the error for a call that may have run."""
        return self._finder.unknown(call, detail)

    def _collect(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> bytes:
        """Read a whole answer.

        :raises gateway_attempt.Failed: when it broke off or took too long.
        """
        try:
            body = self._sender.read_whole(call, attempt, lambda: self.may_repeat(call))
        except gateway_attempt.Failed:
            call.excluded.add(attempt.endpoint.incarnation)
            raise
        finally:
            attempt.finish(self._relay.directory)
        failed = attempt.head.status >= gateway_attempt.SERVER_ERROR
        self._judge.record_answer(call, attempt, failed)
        return body

    # -- Ends --

    def refuse(self, reply: gateway_call.Reply, detail: str, retry_s: float) -> None:
        """Refuse a request that was not read as a call."""
        self._metrics.requests.labels("none", errorcodes.OVERLOADED.name).inc()
        self._reply_error(
            reply, gateway_call.CallError(errorcodes.OVERLOADED, detail, retry_s)
        )

    def _reply_error(
        self, reply: gateway_call.Reply, exc: gateway_call.CallError
    ) -> None:
        text = errors.explain(exc.code, exc.detail)
        body = f'{{"code": {exc.code.number}, "message": {eventlog.json_string(text)}}}'
        headers = [JSON_TYPE, *self._dialect.refusal_headers(exc.retry_after_s)]
        try:
            reply.whole(exc.code.http_status, headers, body.encode())
        except http_exchange.CallerGone:
            eventlog.info("caller-gone", code=exc.code.number)

    def _log_end(
        self,
        inbound: gateway_call.Inbound,
        call: gateway_call.Call | None,
        result: str,
    ) -> None:
        took_s = self._clock.now() - inbound.arrived_at
        name = call.route.name if call else "none"
        self._metrics.requests.labels(name, result).inc()
        first_s = (
            call.first_write_at - inbound.arrived_at
            if call and call.first_write_at
            else 0.0
        )
        if call is not None and call.first_write_at:
            self._metrics.first_byte.labels(name).observe(first_s)
            self._metrics.answer_end.labels(name).observe(took_s)
        eventlog.info(
            "request",
            request=call.info.request if call else "unchecked",
            route=name,
            workspace=call.workspace.name if call and call.workspace else "none",
            config=call.config_number if call else 0,
            sends=call.sends if call else 0,
            result=result,
            status=call.status if call else 0,
            endpoint=call.endpoint if call and call.endpoint else "none",
            model=call.model if call and call.model else "none",
            tokens_in=call.info.tokens_in if call else 0,
            first_s=first_s,
            goal_s=call.route.goal_s if call else 0.0,
            gap_s=call.longest_gap_s if call else 0.0,
            gap_goal_s=call.gap_goal_s if call else 0.0,
            took_s=took_s,
        )
