"""One send of a call to one endpoint, up to the head of its answer.

What can go wrong is sorted into two exceptions, by what it means for another send:
``NotRun`` leaves the call as if it had not been sent, ``Failed`` does not.
"""

import typing

from gaprock import (
    clock,
    directory,
    endpoint_state,
    eventlog,
    gateway_api,
    gateway_call,
    gateway_metrics,
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


DEADLINE: typing.Final = "deadline"
# Statuses from here on are no success, and from there on the endpoint's own failures.
SUCCESS_END: typing.Final = 300
SERVER_ERROR: typing.Final = 500


class NotRun(Exception):
    """The endpoint did not run the call, and never will."""


class Failed(Exception):
    """The endpoint may have run the call, and there is no whole answer."""


class Attempt:
    """A send whose answer's head is there."""

    __slots__ = (
        "endpoint",
        "model",
        "exchange",
        "head",
        "sent_at",
        "ahead",
        "prompt",
        "_is_waiting",
        "_done",
    )

    def __init__(
        self,
        endpoint: endpoint_state.Endpoint,
        model: str,
        exchange: http_exchange.Exchange,
        prompt: endpoint_state.Prompt,
    ) -> None:
        self.endpoint = endpoint
        self.model = model
        self.exchange = exchange
        # Unread tokens at the endpoint when it was sent.
        self.ahead = 0.0
        self.prompt = prompt
        # Whether the prompt still counts as unread.
        self._is_waiting = True
        self.head: gateway_api.AnswerHead
        self.sent_at = 0.0
        self._done = False

    def note_read(self, directory_: directory.Directory) -> None:
        """Note that the endpoint has read the prompt; again does nothing."""
        if self._is_waiting:
            self._is_waiting = False
            directory_.read(self.endpoint, self.prompt)

    @property
    def tokens_ahead(self) -> float:
        """Unread tokens when it was sent, its own prompt included."""
        return self.ahead + self.prompt.reading

    def finish(self, directory_: directory.Directory) -> None:
        """Close the connection and count the request out; again does nothing."""
        if self._done:
            return
        self._done = True
        if self._is_waiting:
            self._is_waiting = False
            directory_.drop(self.endpoint, self.prompt)
        self.exchange.close()
        directory_.end(self.endpoint)


class Sender:
    """Sends calls to endpoints; safe for all threads."""

    def __init__(
        self,
        clock_: clock.Clock,
        dialect: gateway_api.Dialect,
        directory_: directory.Directory,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._clock = clock_
        self._dialect = dialect
        self._directory = directory_
        self._metrics = metrics

    def send(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        endpoint: endpoint_state.Endpoint,
        model: str,
        resume_after: int | None,
        prompt: endpoint_state.Prompt,
        may_give_up: typing.Callable[[], bool],
    ) -> Attempt:
        """Send a call and wait for the head of its answer.

        :param prompt: what it makes the endpoint read.
        :param may_give_up: whether the call could be sent elsewhere.
        :raises NotRun: when the endpoint did not run it.
        :raises Failed: when it may have.
        :raises http_exchange.CallerGone: when the caller left.
        """
        reply.caller.check()
        exchange = http_exchange.Exchange(endpoint.address, reply.caller, self._clock)
        attempt = Attempt(endpoint, model, exchange, prompt)
        attempt.ahead = self._directory.unread(endpoint)
        self._directory.begin(endpoint, prompt)
        try:
            self._connect(call, attempt)
            self._hand_over(call, attempt, resume_after)
            self._await_head(call, attempt, may_give_up)
        except (NotRun, Failed) as exc:
            attempt.finish(self._directory)
            outcome = "not-run" if isinstance(exc, NotRun) else "failed"
            self.note_failure(call, attempt, outcome, str(exc))
            raise
        except BaseException:
            attempt.finish(self._directory)
            raise
        return attempt

    def _connect(self, call: gateway_call.Call, attempt: Attempt) -> None:
        now = self._clock.now()
        if now >= call.deadline:
            raise NotRun("deadline")
        try:
            attempt.exchange.connect(min(call.deadline, now + CONNECT_S))
        except http_exchange.Unreachable as exc:
            self._directory.unreachable(attempt.endpoint, str(exc))
            call.excluded.add(attempt.endpoint.name)
            raise NotRun(f"unreachable: {exc}") from exc

    def _hand_over(
        self, call: gateway_call.Call, attempt: Attempt, resume_after: int | None
    ) -> None:
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
        attempt: Attempt,
        may_give_up: typing.Callable[[], bool],
    ) -> None:
        endpoint = attempt.endpoint
        while True:
            now = self._clock.now()
            try:
                raw = attempt.exchange.read_head(min(call.deadline, now + LOOK_S))
                break
            except http_exchange.TimedOut:
                self._look(call, attempt, may_give_up)
            except http_exchange.Broken as exc:
                call.has_run = True
                call.excluded.add(endpoint.name)
                self._directory.answered(endpoint, failed=True)
                raise Failed(str(exc)) from exc
        self._directory.heard(endpoint)
        attempt.head = self._dialect.read_answer(raw.status, raw.headers)
        self._check_head(call, attempt)
        attempt.note_read(self._directory)

    def read_whole(
        self,
        call: gateway_call.Call,
        attempt: Attempt,
        may_give_up: typing.Callable[[], bool],
    ) -> bytes:
        """Read a body to its end.

        A connection may go silent in the middle of it, so the endpoint is looked at as
        before the head; until the route's time such an answer was waited for, and none
        was left for another endpoint.

        :raises Failed: when it broke off, is lost or took too long.
        """
        pieces: list[bytes] = []
        heard_at = self._clock.now()
        while True:
            look_at = self._clock.now() + LOOK_S
            try:
                data = attempt.exchange.read_data(min(call.deadline, look_at))
            except http_exchange.Broken as exc:
                raise Failed(f"body: {exc}") from exc
            except http_exchange.TimedOut as exc:
                reason = self._give_up_reason(call, attempt, heard_at, may_give_up)
                if reason:
                    raise Failed(f"body: {reason}") from exc
                continue
            if data is None:
                return b"".join(pieces)
            pieces.append(data)
            heard_at = self._clock.now()

    def _look(
        self,
        call: gateway_call.Call,
        attempt: Attempt,
        may_give_up: typing.Callable[[], bool],
    ) -> None:
        """Decide whether to wait on for an endpoint that has not answered."""
        reason = self._give_up_reason(call, attempt, attempt.sent_at, may_give_up)
        if not reason:
            return
        call.has_run = True
        call.excluded.add(attempt.endpoint.name)
        self._directory.answered(attempt.endpoint, failed=True)
        raise Failed(reason)

    def _give_up_reason(
        self,
        call: gateway_call.Call,
        attempt: Attempt,
        heard_at: float,
        may_give_up: typing.Callable[[], bool],
    ) -> str:
        """Say why not to wait on for a silent endpoint; empty to wait on."""
        reason = self.lost_reason(call, attempt, heard_at, self._patience(call))
        if reason != DEADLINE and not may_give_up():
            return ""
        return reason

    def _patience(self, call: gateway_call.Call) -> float:
        """Give the seconds after which a live endpoint has lost a call."""
        goal_s = call.route.goal_s
        if call.route.kind is routes.RouteKind.STREAM:
            return LOST_SHARE * goal_s
        return max(MIN_PATIENCE_S, PATIENCE_SHARE * goal_s)

    def lost_reason(
        self,
        call: gateway_call.Call,
        attempt: Attempt,
        heard_at: float,
        patience_s: float,
    ) -> str:
        """Say why an answer is not worth waiting for any more; empty to wait on.

        :param heard_at: when the call's own connection was last heard of.
        """
        now = self._clock.now()
        endpoint = attempt.endpoint
        if now >= call.deadline:
            return DEADLINE
        if endpoint.is_dark or self._is_dark_now(attempt):
            return "endpoint unreachable"
        is_full = endpoint.load > FREE_FILL * endpoint.row.slots
        if now - heard_at >= patience_s and not is_full:
            return f"nothing for {now - heard_at:.1f} s"
        return ""

    def _is_dark_now(self, attempt: Attempt) -> bool:
        """Look at a silent endpoint: a busy one still takes connections."""
        endpoint = attempt.endpoint
        if not self._directory.claim_look(endpoint):
            return False
        look = http_exchange.Exchange(
            endpoint.address, http_exchange.Caller(None), self._clock
        )
        try:
            look.connect(self._clock.now() + LOOK_CONNECT_S)
        except http_exchange.Unreachable as exc:
            self._directory.unreachable(endpoint, f"silent, and {exc}")
            return True
        finally:
            look.close()
        return False

    def _check_head(self, call: gateway_call.Call, attempt: Attempt) -> None:
        """Sort out answers that are refusals, or not answers to this call."""
        head, endpoint = attempt.head, attempt.endpoint
        if head.not_run:
            call.excluded.add(endpoint.name)
            # A model that the caller named may be what the endpoint refuses.
            ours = bool(attempt.model) or not call.route.models
            if head.wrong_endpoint and ours:
                self._directory.replaced(endpoint)
            raise NotRun(f"refused with status {head.status}")
        call.has_run = True
        wrong = head.echo and head.echo != call.info.request
        unsigned = head.status < 300 and not head.signed
        if wrong or unsigned or head.encoded:
            call.excluded.add(endpoint.name)
            self._directory.answered(endpoint, failed=True)
            raise Failed("not an answer to this request")

    def note_failure(
        self, call: gateway_call.Call, attempt: Attempt, outcome: str, detail: str
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
        )
