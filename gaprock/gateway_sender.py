"""Sends calls to endpoints, one send at a time, up to the head of its answer."""

import typing

from gaprock import (
    clock,
    directory,
    endpoint_state,
    eventlog,
    gateway_api,
    gateway_attempt,
    gateway_call,
    gateway_judge,
    gateway_metrics,
    gateway_quarantine,
    http_exchange,
    routes,
)

# Longest wait for a connection, seconds: some round trips and one lost packet.
CONNECT_S: typing.Final = 0.45
# Longest wait for a connection that only shows whether a silent endpoint is there.
LOOK_CONNECT_S: typing.Final = 0.25
# Pause between two looks at an endpoint that has not answered, seconds.
LOOK_S: typing.Final = 0.15
# A plain service with free slots may be given up after this share of the goal, but
# never before so many seconds; where all slots are taken the request waits its turn.
PATIENCE_SHARE: typing.Final = 0.6
MIN_PATIENCE_S: typing.Final = 0.25
FREE_FILL: typing.Final = 0.8
# An engine answers late when it is busy; it has lost a request when it goes on
# answering others for this multiple of the goal.
LOST_SHARE: typing.Final = 1.5
# A stream that has begun is lost after this multiple of its longest pause in time.
LOST_GAPS: typing.Final = 2.5


class Sender:
    """Sends calls to endpoints; safe for all threads."""

    def __init__(
        self,
        clock_: clock.Clock,
        dialect: gateway_api.Dialect,
        directory_: directory.Directory,
        metrics: gateway_metrics.GatewayMetrics,
        judge: gateway_judge.AnswerJudge,
        gate: gateway_quarantine.Gate,
    ) -> None:
        self._clock = clock_
        self._dialect = dialect
        self._directory = directory_
        self._metrics = metrics
        self._judge = judge
        self._gate = gate

    def send(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        endpoint: endpoint_state.Endpoint,
        model: str,
        resume_after: int | None,
        prompt: endpoint_state.Prompt,
        may_give_up: typing.Callable[[], bool],
    ) -> gateway_attempt.Attempt:
        """Send a call and wait for the head of its answer.

        :param prompt: what it makes the endpoint read.
        :param may_give_up: whether the call could be sent elsewhere.
        :raises gateway_attempt.NotRun: when the endpoint did not run it.
        :raises gateway_attempt.Failed: when it may have.
        :raises http_exchange.CallerGone: when the caller left.
        """
        reply.caller.check()
        exchange = http_exchange.Exchange(endpoint.address, reply.caller, self._clock)
        attempt = gateway_attempt.Attempt(endpoint, model, exchange, prompt)
        attempt.unread_before = self._directory.unread(endpoint)
        self._directory.begin(endpoint, prompt)
        try:
            self._connect(call, attempt)
            self._hand_over(call, attempt, resume_after)
            self._await_head(call, attempt, may_give_up)
        except (gateway_attempt.NotRun, gateway_attempt.Failed) as exc:
            attempt.finish(self._directory)
            outcome = "not-run" if isinstance(exc, gateway_attempt.NotRun) else "failed"
            self.note_failure(call, attempt, outcome, str(exc))
            raise
        except BaseException:
            self._judge.judge_pending(call, attempt)
            attempt.finish(self._directory)
            raise
        return attempt

    def _connect(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        now = self._clock.now()
        if now >= call.deadline:
            raise gateway_attempt.NotRun("deadline")
        try:
            attempt.exchange.connect(min(call.deadline, now + CONNECT_S))
        except http_exchange.Unreachable as exc:
            self._directory.eject(attempt.endpoint, str(exc))
            call.excluded.add(attempt.endpoint.incarnation)
            raise gateway_attempt.NotRun(f"unreachable: {exc}") from exc

    def _hand_over(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        resume_after: int | None,
    ) -> None:
        if refused := self._directory.claim_send(attempt.endpoint):
            raise gateway_attempt.NotRun(refused)
        now = self._clock.now()
        info = gateway_api.SendInfo(
            attempt.endpoint.name,
            call.workspace.name if call.workspace else "",
            max(0.001, call.deadline - now),
            call.urgency,
            attempt.model,
            resume_after,
        )
        headers = self._dialect.send_headers(call.inbound.headers, info)
        body = call.inbound.body
        if body or call.inbound.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"Content-Length", b"%d" % len(body)))
        call.sends += 1
        attempt.sent_at = now
        attempt.exchange.send(call.inbound.method, call.inbound.target, headers, body)

    def _await_head(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        may_give_up: typing.Callable[[], bool],
    ) -> None:
        endpoint = attempt.endpoint
        while True:
            now = self._clock.now()
            try:
                raw = attempt.exchange.read_head(min(call.deadline, now + LOOK_S))
                break
            except http_exchange.TimedOut:
                self._judge.judge_pending(call, attempt)
                self._look(call, attempt, may_give_up)
            except http_exchange.Broken as exc:
                call.has_run = True
                call.excluded.add(endpoint.incarnation)
                self.note_break(call, attempt)
                raise gateway_attempt.Failed(str(exc)) from exc
        self._directory.heard(endpoint)
        attempt.head_at = self._clock.now()
        attempt.head = self._dialect.read_answer(raw.status, raw.headers)
        self._note_notice(call, attempt)
        self._check_head(call, attempt)
        attempt.record_prefilled(self._directory)

    def read_whole(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        may_give_up: typing.Callable[[], bool],
    ) -> bytes:
        """Read a body to its end.

        A connection may go silent in the middle of it, so the endpoint is looked at as
        before the head; until the route's time such an answer was waited for, and none
        was left for another endpoint.

        :raises gateway_attempt.Failed: when it broke off, is lost or took too long.
        """
        pieces: list[bytes] = []
        heard_at = self._clock.now()
        while True:
            look_at = self._clock.now() + LOOK_S
            try:
                data = attempt.exchange.read_data(min(call.deadline, look_at))
            except http_exchange.Broken as exc:
                self.note_break(call, attempt)
                raise gateway_attempt.Failed(f"body: {exc}") from exc
            except http_exchange.TimedOut as exc:
                self._judge.judge_pending(call, attempt)
                reason = self._give_up_reason(call, attempt, heard_at, may_give_up)
                if reason:
                    if reason != gateway_attempt.HELD:
                        self._directory.answered(attempt.endpoint, failed=True)
                        self._note_end(call, attempt, reason)
                    raise gateway_attempt.Failed(f"body: {reason}") from exc
                continue
            if data is None:
                return b"".join(pieces)
            pieces.append(data)
            heard_at = self._clock.now()

    def _look(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        may_give_up: typing.Callable[[], bool],
    ) -> None:
        """Decide whether to wait on for an endpoint that has not answered."""
        reason = self._give_up_reason(call, attempt, attempt.sent_at, may_give_up)
        if not reason:
            return
        call.has_run = True
        if reason != gateway_attempt.HELD:
            call.excluded.add(attempt.endpoint.incarnation)
            self._directory.answered(attempt.endpoint, failed=True)
            self._note_end(call, attempt, reason)
        raise gateway_attempt.Failed(reason)

    def _give_up_reason(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        heard_at: float,
        may_give_up: typing.Callable[[], bool],
    ) -> str:
        """Say why not to wait on for a silent endpoint; empty to wait on."""
        reason = self.lost_reason(call, attempt, heard_at, self._patience(call))
        is_final = reason in gateway_attempt.FINAL_REASONS
        return reason if is_final or may_give_up() else ""

    def _patience(self, call: gateway_call.Call) -> float:
        """Give the seconds after which a live endpoint has lost a call."""
        goal_s = call.route.goal_s
        if call.route.kind is routes.RouteKind.STREAM:
            return LOST_SHARE * goal_s
        return max(MIN_PATIENCE_S, PATIENCE_SHARE * goal_s)

    def lost_reason(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        heard_at: float,
        patience_s: float,
    ) -> str:
        """Say why an answer is not worth waiting for any more; empty to wait on.

        :param heard_at: when the call's own connection was last heard of.
        """
        now = self._clock.now()
        endpoint = attempt.endpoint
        if now >= call.deadline:
            return gateway_attempt.DEADLINE
        if endpoint.is_over:
            return gateway_attempt.RESTARTED
        if self._gate.should_withdraw(call, attempt):
            return gateway_attempt.HELD
        if endpoint.is_unreachable or self._is_dark_now(attempt):
            return gateway_attempt.UNREACHABLE
        is_full = endpoint.load > FREE_FILL * endpoint.row.slots
        if now - heard_at >= patience_s and not is_full:
            return f"nothing for {now - heard_at:.1f} s"
        return ""

    def note_break(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Take that an answer broke off."""
        endpoint = attempt.endpoint
        weight = self._gate.weight(call, attempt)
        lives = bool(weight) or self._judge.judges_breaks(call)
        lives = lives and self._lives(endpoint)
        self._judge.record_broken_answer(call, attempt, lives)
        if lives:
            self._gate.lives(endpoint)
        elif weight:
            self._gate.record_broken_answer(call, endpoint, weight)

    def _note_end(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt, reason: str
    ) -> None:
        """Take that a send is given up; its endpoint may have ended."""
        if reason not in (gateway_attempt.UNREACHABLE, gateway_attempt.RESTARTED):
            return
        weight = self._gate.weight(call, attempt)
        if weight:
            self._gate.record_broken_answer(call, attempt.endpoint, weight)

    def resolve_breaks(self) -> None:
        """Look at endpoints that broke answers off and were not looked at since."""
        self._gate.resolve_broken(self._connects)

    def _is_dark_now(self, attempt: gateway_attempt.Attempt) -> bool:
        """Look at a silent endpoint: a busy one still takes connections."""
        endpoint = attempt.endpoint
        return self._directory.claim_silence_check(endpoint) and not self._connects(
            endpoint
        )

    def _lives(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Whether an endpoint was just seen to take a connection."""
        return self._directory.claim_connection_check(endpoint) and self._connects(
            endpoint
        )

    def _connects(self, endpoint: endpoint_state.Endpoint) -> bool:
        look = http_exchange.Exchange(
            endpoint.address, http_exchange.Caller(None), self._clock
        )
        try:
            look.connect(self._clock.now() + LOOK_CONNECT_S)
        except http_exchange.Unreachable as exc:
            self._directory.eject(endpoint, f"silent or broke off, and {exc}")
            return False
        finally:
            look.close()
        return True

    def _note_notice(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Take what an answer says of its endpoint.

        Any answer of the endpoint counts, refusals and failures too, whether the caller
        still waits for it or not.  One that is not to this request, or that names
        another endpoint as its own, says nothing of this one.
        """
        head, name = attempt.head, attempt.endpoint.name
        is_stray = bool(head.echo) and head.echo != call.info.request
        if not is_stray and head.instance in ("", name):
            self._directory.note_answer(attempt.endpoint, head, attempt.sent_at)

    def _check_head(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Sort out answers that are refusals, or not answers to this call."""
        head, endpoint = attempt.head, attempt.endpoint
        if head.not_run:
            if not head.notice.backoff_s:
                call.excluded.add(endpoint.incarnation)
            # A model that the caller named may be what the endpoint refuses.
            ours = bool(attempt.model) or not call.route.models
            if head.wrong_endpoint and ours:
                self._directory.eject_replaced(endpoint)
            raise gateway_attempt.NotRun(f"refused with status {head.status}")
        call.has_run = True
        wrong = head.echo and head.echo != call.info.request
        unsigned = head.status < 300 and not head.signed
        if wrong or unsigned or head.encoded:
            call.excluded.add(endpoint.incarnation)
            self._directory.answered(endpoint, failed=True)
            raise gateway_attempt.Failed("not an answer to this request")

    def note_failure(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        outcome: str,
        detail: str,
    ) -> None:
        """Count and log a send that brought no whole answer.

        :param outcome: ``not-run``, ``failed`` before an answer, ``broken`` within one.
        """
        self._metrics.sends.labels(call.service, outcome).inc()
        eventlog.info(
            "send-failed",
            request=call.info.request,
            endpoint=attempt.endpoint.name,
            version=attempt.endpoint.row.version,
            model=attempt.model or "none",
            send=call.sends,
            outcome=outcome,
            detail=detail,
            # What failed sends of one request have in common, and how far this one was.
            mark=f"{call.mark:016x}",
            begun_s=attempt.answer_age_s(self._clock.now()),
        )
