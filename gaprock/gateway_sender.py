"""Sends a call to one endpoint, and reads the head and the body of its answer."""

import typing

from gaprock import (
    body_memory,
    byte_pieces,
    clock,
    directory,
    endpoint_held,
    endpoint_state,
    eventlog,
    gateway_api,
    gateway_attempt,
    gateway_call,
    gateway_judge,
    gateway_metrics,
    gateway_quarantine,
    held_bytes,
    http_exchange,
    own_delays,
    peer_watch,
    retry_budget,
    routes,
)

# Time-out of a connection attempt: some round trips and one lost packet.
CONNECT_TIMEOUT_S: typing.Final = 0.45
# Time-out of a connection that only checks whether a silent endpoint is there.
CHECK_TIMEOUT_S: typing.Final = 0.25
# Time-out of a health check.
HEALTH_TIMEOUT_S: typing.Final = 0.5
# Interval between two checks of an endpoint that has not answered.
CHECK_INTERVAL_S: typing.Final = 0.15
# The wait for a whole answer may be given up after a silence of this share of the
# route's goal, but not before ``MIN_SILENCE_S``.  That holds while the endpoint has
# free slots, which means a load of at most ``FREE_LOAD_SHARE`` of its slots; where all
# are taken, the request is queued at the endpoint.
SILENCE_GOAL_SHARE: typing.Final = 0.6
MIN_SILENCE_S: typing.Final = 0.25
FREE_LOAD_SHARE: typing.Final = 0.8
# A busy engine begins a stream late.  It is taken to have lost the request if it goes
# on answering others for this multiple of the route's goal.
STREAM_SILENCE_GOALS: typing.Final = 1.5
# A stream that has begun counts as lost after a silence of this multiple of the longest
# event gap that is in time.
STREAM_SILENCE_GAPS: typing.Final = 2.5


class Sender:
    """Sends calls to endpoints; thread-safe."""

    def __init__(
        self,
        clock_: clock.Clock,
        dialect: gateway_api.Dialect,
        directory_: directory.Directory,
        metrics: gateway_metrics.GatewayMetrics,
        judge: gateway_judge.AnswerJudge,
        gate: gateway_quarantine.Gate,
        budget: retry_budget.RetryBudget,
        delays: own_delays.OwnDelays | None = None,
    ) -> None:
        self._budget = budget
        self._delays = delays or own_delays.OwnDelays(clock_.now(), is_on=False)
        self._clock = clock_
        self._dialect = dialect
        self._directory = directory_
        self._metrics = metrics
        self._judge = judge
        self._gate = gate
        # When the gateway ends: calls get their final answer from then on.
        self.stop_at = clock.NEVER

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

        :param prompt: what the endpoint has to prefill for it.
        :param may_give_up: returns whether the call could be sent elsewhere.
        :raises gateway_attempt.NotRun: when the endpoint did not run it.
        :raises gateway_attempt.Failed: when it may have run it.
        :raises http_exchange.CallerGone: when the caller left.
        """
        reply.caller.check()
        exchange = http_exchange.Exchange(endpoint.address, reply.caller, self._clock)
        attempt = gateway_attempt.Attempt(endpoint, model, exchange, prompt)
        attempt.unread_before = self._directory.unread(endpoint)
        self._directory.begin(endpoint, prompt)
        try:
            self._connect(call, attempt)
            self._send_request(call, attempt, resume_after)
            self._await_head(call, attempt, may_give_up)
        except (gateway_attempt.NotRun, gateway_attempt.Failed) as exc:
            is_not_run = isinstance(exc, gateway_attempt.NotRun)
            if is_not_run:
                self._gate.record_not_run(attempt)
            attempt.finish(self._directory)
            outcome = "not-run" if is_not_run else "failed"
            self.record_failure(call, attempt, outcome, str(exc))
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
            self._open(
                attempt.endpoint,
                attempt.exchange,
                min(call.deadline, now + CONNECT_TIMEOUT_S),
            )
        except _NotConnected as exc:
            call.excluded.add(attempt.endpoint.incarnation)
            raise gateway_attempt.NotRun(f"unreachable: {exc}") from exc

    def _open(
        self,
        endpoint: endpoint_state.Endpoint,
        exchange: http_exchange.Exchange,
        deadline: float,
        detail: str = "",
    ) -> None:
        """Connect to an endpoint; eject it if that fails and the failure is its own.

        :param detail: why the connection is opened, for the log.
        :raises _NotConnected: when there is no connection.
        """
        began_at = self._clock.now()
        try:
            exchange.connect(deadline)
        except http_exchange.Unreachable as exc:
            timed_out = isinstance(exc, http_exchange.ConnectTimedOut)
            now = self._clock.now()
            self._delays.record_connection(endpoint.name, timed_out, now)
            is_own = timed_out and self._delays.was_delayed(began_at, now)
            if is_own:
                self._excuse(endpoint, began_at, now)
            else:
                has_ended = isinstance(exc, http_exchange.Refused)
                self._directory.eject(endpoint, f"{detail}{exc}", has_ended)
                if has_ended:
                    self._gate.record_end(endpoint, "refuses connections", now)
            raise _NotConnected(str(exc), is_own, timed_out) from exc
        self._delays.record_connection(endpoint.name, False, self._clock.now())

    def _excuse(
        self, endpoint: endpoint_state.Endpoint, began_at: float, now: float
    ) -> None:
        """Blame this process for a time-out, and for those just before it."""
        doubtful = self._delays.doubtful_endpoints(now)
        resumed = self._directory.take_back_ejections(doubtful - {endpoint.name})
        self._metrics.own_delays.labels("connection").inc()
        eventlog.warning(
            "own-delay",
            endpoint=endpoint.name,
            took_s=now - began_at,
            link_busy_s=self._delays.link_busy_s(now),
            timed_out=len(doubtful),
            resumed=resumed,
        )

    def _send_request(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        resume_after: int | None,
    ) -> None:
        if refused := self._directory.claim_send(attempt.endpoint):
            raise gateway_attempt.NotRun(refused)
        now = self._clock.now()
        if call.sends and not self._spend_charge(call):
            raise gateway_attempt.NotRun("retry budget")
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
        call.runs_well = False
        self._delays.record_sent(len(body), now)
        attempt.sent_at = now
        if call.inbound.holding is not None and len(body) >= endpoint_held.LARGE_BODY:
            self._hold(attempt, len(body))
        self._judge.record_sent(call, attempt)
        self._gate.record_sent(call, attempt)
        attempt.exchange.send(call.inbound.method, call.inbound.target, headers, body)

    def _spend_charge(self, call: gateway_call.Call) -> bool:
        """Date the charge of a repeat to now; return whether it may be sent."""
        charge, call.charge = call.charge, None
        return charge is not None and self._budget.send(charge)

    def _hold(self, attempt: gateway_attempt.Attempt, size: int) -> None:
        """Account a large body at its endpoint, which may read it slowly."""
        directory_, endpoint = self._directory, attempt.endpoint
        attempt.held = size
        directory_.hold(endpoint, size, id(attempt))
        attempt.exchange.expect_slow_reader(
            lambda: directory_.record_read(endpoint, id(attempt))
        )

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
                raw = attempt.exchange.read_head(
                    min(call.deadline, now + CHECK_INTERVAL_S)
                )
                break
            except http_exchange.TimedOut:
                self._judge.judge_pending(call, attempt)
                self._check_silence(call, attempt, may_give_up)
            except http_exchange.Broken as exc:
                call.has_run = True
                call.excluded.add(endpoint.incarnation)
                self.record_break(call, attempt)
                raise gateway_attempt.Failed(str(exc)) from exc
        self._directory.record_seen(endpoint)
        if attempt.held:
            self._directory.record_survived(endpoint)
        attempt.head_at = self._clock.now()
        attempt.head = self._dialect.read_answer(raw.status, raw.headers)
        self._record_notice(call, attempt)
        self._check_head(call, attempt)
        if attempt.exchange.ends_with_connection:
            attempt.watch = peer_watch.PeerWatch(endpoint.address)
        attempt.record_prefilled(self._directory)

    def read_whole(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        may_give_up: typing.Callable[[], bool],
    ) -> bytes:
        """Read a body to its end.

        A connection may go silent within the body, so the endpoint is checked as it is
        before the head.  Otherwise the wait would last until the route's time is over,
        and no time would be left for another endpoint.

        :raises gateway_attempt.Failed: when it broke off, is lost or took too long.
        """
        share = call.inbound.memory
        body = byte_pieces.BytePieces()
        is_whole = False
        try:
            self._read_into(body, call, attempt, may_give_up)
            is_whole = True
            return body.join()
        finally:
            # The exception of a failure would keep it for as long as it is handled.
            body.clear()
            if share is not None:
                share.memory.end_answer(share, is_kept=is_whole)

    def _read_into(
        self,
        body: byte_pieces.BytePieces,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        may_give_up: typing.Callable[[], bool],
    ) -> None:
        """Read a body to its end, within the memory for bodies."""
        last_data_at = self._clock.now()
        while True:
            check_at = self._clock.now() + CHECK_INTERVAL_S
            try:
                data = attempt.exchange.read_data(min(call.deadline, check_at))
            except http_exchange.Broken as exc:
                self.record_break(call, attempt)
                raise gateway_attempt.Failed(f"body: {exc}") from exc
            except http_exchange.TimedOut as exc:
                self._judge.judge_pending(call, attempt)
                self._check_size(call, attempt, body.size)
                reason = self._give_up_reason(call, attempt, last_data_at, may_give_up)
                if reason:
                    if reason not in gateway_attempt.OWN_REASONS:
                        self.record_lost(attempt)
                        self._gate.record_broken(attempt)
                    raise gateway_attempt.Failed(f"body: {reason}") from exc
                continue
            if data is None:
                if self.ended_with_endpoint(attempt):
                    self.record_break(call, attempt)
                    raise gateway_attempt.Failed(f"body: {gateway_attempt.ENDED}")
                return
            attempt.record_data()
            body.add(data)
            last_data_at = self._clock.now()
            self._check_size(call, attempt, body.size)
            self._record_held(call, body.size)

    def _check_size(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        size: int,
    ) -> None:
        """Check that a body may be read on.

        :raises gateway_attempt.Failed: when it is too large, or there is no room.
        """
        share = call.inbound.memory
        limit = body_memory.MAX_ANSWER_BYTES
        if share is not None:
            limit = share.memory.max_answer
        if size > limit:
            self.record_break(call, attempt)
            raise gateway_attempt.Failed(f"body: over {limit} bytes")
        if share is not None and not share.memory.set_answer(share, size):
            # That other bodies take the memory is no fault of the endpoint.
            raise gateway_attempt.Failed(f"body: no memory after {size} bytes")

    def _record_held(self, call: gateway_call.Call, count: int) -> None:
        """Record how much of a whole answer is held."""
        holding = call.inbound.holding
        if holding is not None:
            kind = held_bytes.Kind.ANSWER
            holding.account.set(holding, kind, count, self._clock.now())

    def _check_silence(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        may_give_up: typing.Callable[[], bool],
    ) -> None:
        """Stop waiting for an endpoint that has not answered, if it is not worthwhile.

        :raises gateway_attempt.Failed: when the wait ends.
        """
        # An endpoint that still reads a large body is not silent.
        attempt.exchange.check_progress()
        since = max(attempt.sent_at, attempt.exchange.progress_at)
        reason = self._give_up_reason(call, attempt, since, may_give_up)
        if not reason:
            return
        call.has_run = True
        if reason not in gateway_attempt.OWN_REASONS:
            call.excluded.add(attempt.endpoint.incarnation)
            self.record_lost(attempt)
            self._gate.record_broken(attempt)
        raise gateway_attempt.Failed(reason)

    def _give_up_reason(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        last_data_at: float,
        may_give_up: typing.Callable[[], bool],
    ) -> str:
        """Return why to give up a silent endpoint; empty to wait on.

        Reasons that are not final count only if the call could be sent elsewhere.
        """
        reason = self.lost_reason(
            call, attempt, last_data_at, self._silence_limit(call)
        )
        is_final = reason in gateway_attempt.FINAL_REASONS
        return reason if is_final or may_give_up() else ""

    def _silence_limit(self, call: gateway_call.Call) -> float:
        """Return after how many seconds of silence a live endpoint has lost a call."""
        goal_s = call.route.goal_s
        if call.route.kind is routes.RouteKind.STREAM:
            return STREAM_SILENCE_GOALS * goal_s
        return max(MIN_SILENCE_S, SILENCE_GOAL_SHARE * goal_s)

    def lost_reason(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        last_data_at: float,
        silence_limit_s: float,
    ) -> str:
        """Return why an answer is no longer worth waiting for; empty to wait on.

        :param last_data_at: when data last came on the call's own connection.
        :param silence_limit_s: silence after which an endpoint that is not full has
            lost the call, at a pace of 1.0.
        """
        now = self._clock.now()
        endpoint = attempt.endpoint
        allowed_s = self._directory.allowance_s(endpoint, silence_limit_s)
        if now >= call.deadline:
            # Counted from the send: the time to complete a stream is not known, so
            # streams that go on until the deadline count as without a pace.
            is_slow = allowed_s > silence_limit_s
            attempt.is_excused = is_slow and now - attempt.sent_at < allowed_s
            return gateway_attempt.DEADLINE
        if now >= self.stop_at:
            return gateway_attempt.STOPPED
        if endpoint.has_ended:
            return gateway_attempt.RESTARTED
        if self._gate.should_withdraw(call, attempt):
            return gateway_attempt.HELD
        if endpoint.is_unreachable or self._is_unreachable_now(attempt):
            return gateway_attempt.UNREACHABLE
        is_full = endpoint.load > FREE_LOAD_SHARE * endpoint.row.slots
        silent_s = now - last_data_at
        if silent_s >= allowed_s and not is_full:
            return f"nothing for {silent_s:.1f} s"
        if silent_s >= silence_limit_s and not is_full:
            self._record_given_time(call, attempt, silence_limit_s, allowed_s)
        return ""

    def _record_given_time(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        usual_s: float,
        allowed_s: float,
    ) -> None:
        """Count and log, once for each send, that an endpoint gets more time."""
        if attempt.is_given_time:
            return
        attempt.is_given_time = True
        self._metrics.waits_extended.labels(call.service).inc()
        eventlog.info(
            "wait-extended",
            request=call.info.request,
            endpoint=attempt.endpoint.name,
            usual_s=usual_s,
            allowed_s=allowed_s,
        )

    def record_lost(self, attempt: gateway_attempt.Attempt) -> None:
        """Record that an endpoint did not answer in time.

        It is not ejected for a deadline of the caller that came before the time that
        it needs at the pace that it reports.
        """
        if not attempt.is_excused:
            self._directory.record_answer(attempt.endpoint, failed=True)

    def record_break(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Record that an answer broke off.

        A refused connection shows at once that its endpoint has ended.
        """
        self._gate.record_broken(attempt)
        accepts = self._accepts_connections(attempt.endpoint)
        self._judge.record_broken_answer(call, attempt, accepts)

    def ended_with_endpoint(self, attempt: gateway_attempt.Attempt) -> bool:
        """Return whether an answer ended since its endpoint crashed.

        Where only the end of the connection marks the end of an answer, it looks whole
        then.
        """
        if attempt.watch is None:
            return False
        endpoint = attempt.endpoint
        if endpoint.is_unreachable or endpoint.has_ended:
            return True
        ended = attempt.watch.ended_too()
        if ended is False:
            return False
        # Each answer is checked, although a crash ends many at once: it is judged now
        # or never.  A time-out may be due to a lost packet.
        failure = self._check_connection(endpoint)
        return ended is True or failure is not None and not failure.has_timed_out

    def resolve_breaks(self) -> None:
        """Check endpoints that broke off answers and have not been checked since."""
        self._gate.resolve_broken(self._connects)

    def check_ends(self, health_path: typing.Callable[[str], bytes]) -> None:
        """Look for endpoints that have ended, for the quarantine.

        :param health_path: returns the path of a service's health check, or nothing.
        """

        def answers(endpoint: endpoint_state.Endpoint) -> bool | None:
            path = health_path(endpoint.row.service)
            return self._answers(endpoint, path) if path else None

        self._gate.check_ends(answers)

    def _answers(self, endpoint: endpoint_state.Endpoint, path: bytes) -> bool:
        """Ask an endpoint for its health; return whether it answers, well or not."""
        caller = http_exchange.Caller(None)
        exchange = http_exchange.Exchange(endpoint.address, caller, self._clock)
        deadline = self._clock.now() + HEALTH_TIMEOUT_S
        try:
            exchange.connect(deadline)
            exchange.send(b"GET", path, [(b"Host", endpoint.row.host.encode())], b"")
            raw = exchange.read_head(deadline)
        except (
            http_exchange.Unreachable,
            http_exchange.Broken,
            http_exchange.TimedOut,
        ) as exc:
            eventlog.info("endpoint-asked", endpoint=endpoint.name, error=exc)
            return False
        finally:
            exchange.close()
        head = self._dialect.read_answer(raw.status, raw.headers)
        eventlog.info("endpoint-asked", endpoint=endpoint.name, status=raw.status)
        return not head.wrong_endpoint and head.instance in ("", endpoint.name)

    def _is_unreachable_now(self, attempt: gateway_attempt.Attempt) -> bool:
        """Return whether a check finds a silent endpoint unreachable.

        An endpoint that is only busy still accepts connections.
        """
        endpoint = attempt.endpoint
        return self._directory.claim_silence_check(endpoint) and not self._connects(
            endpoint
        )

    def _accepts_connections(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Return whether an endpoint just accepted a connection that checks it."""
        return self._directory.claim_connection_check(endpoint) and self._connects(
            endpoint
        )

    def _connects(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Return whether a check finds nothing wrong with an endpoint."""
        failure = self._check_connection(endpoint)
        return failure is None or failure.is_own_fault

    def _check_connection(
        self, endpoint: endpoint_state.Endpoint
    ) -> "_NotConnected | None":
        """Connect to an endpoint; return why that failed, if it did."""
        connection_check = http_exchange.Exchange(
            endpoint.address, http_exchange.Caller(None), self._clock
        )
        deadline = self._clock.now() + CHECK_TIMEOUT_S
        try:
            self._open(
                endpoint, connection_check, deadline, "silent or broke off, and "
            )
        except _NotConnected as exc:
            return exc
        finally:
            connection_check.close()
        return None

    def _record_notice(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Record what an answer says about its endpoint.

        Every answer of the endpoint counts, also a refusal or a failure, and whether or
        not the caller still waits for it.  An answer to another request, or one that
        names another endpoint as its sender, says nothing about this one.
        """
        head, name = attempt.head, attempt.endpoint.name
        is_misdirected = bool(head.echo) and head.echo != call.info.request
        if not is_misdirected and head.instance in ("", name):
            self._directory.note_answer(attempt.endpoint, head, attempt.sent_at)

    def _check_head(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Check that an answer is no refusal, and that it is one to this call.

        :raises gateway_attempt.NotRun: when the endpoint refused the call.
        :raises gateway_attempt.Failed: when it is no answer to this call.
        """
        head, endpoint = attempt.head, attempt.endpoint
        if head.not_run:
            if not head.notice.backoff_s:
                call.excluded.add(endpoint.incarnation)
            # If the caller named the model, the endpoint may refuse just that model.
            is_own_model = bool(attempt.model) or not call.route.models
            if head.wrong_endpoint and is_own_model:
                self._directory.eject_replaced(endpoint)
                now = self._clock.now()
                self._gate.record_end(endpoint, "another endpoint answers", now)
            raise gateway_attempt.NotRun(f"refused with status {head.status}")
        call.has_run = True
        self._gate.record_alive(endpoint)
        is_mismatched = head.echo and head.echo != call.info.request
        unsigned = head.status < 300 and not head.signed
        if is_mismatched or unsigned or head.encoded:
            call.excluded.add(endpoint.incarnation)
            self._directory.record_answer(endpoint, failed=True)
            raise gateway_attempt.Failed("not an answer to this request")

    def record_failure(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        outcome: str,
        detail: str,
    ) -> None:
        """Count and log a send that got no whole answer.

        :param outcome: ``not-run``; ``failed`` before an answer; ``broken`` within one.
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
            # The fingerprint that failed sends of one request share, and how long ago
            # the head of this one's answer came.
            mark=f"{call.fingerprint:016x}",
            begun_s=attempt.answer_age_s(self._clock.now()),
            excused=attempt.is_excused,
        )


class _NotConnected(Exception):
    """There is no connection to an endpoint.

    :param is_own_fault: whether that is due to a delay of this process.
    :param has_timed_out: whether nothing was heard, neither a refusal.
    """

    def __init__(self, detail: str, is_own_fault: bool, has_timed_out: bool) -> None:
        super().__init__(detail)
        self.is_own_fault = is_own_fault
        self.has_timed_out = has_timed_out
