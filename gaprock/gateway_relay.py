"""Streams: the choice of the model, the relay of events, and going on after a failure.

The caller gets nothing before the first event is there and the answer is accepted, so
until then another model or endpoint may be asked.  After that the stream goes on at
another endpoint after the last event that the caller has, if its route allows that.
"""

import typing

from gaprock import (
    clock,
    directory,
    errorcodes,
    event_stream,
    eventlog,
    gateway_attempt,
    gateway_call,
    gateway_metrics,
    http_exchange,
    policy_api,
    reading_pace,
    retry_window,
    rollouts,
    routes,
)

# Repeats that are left to failures before models are climbed, per service.
CLIMB_RESERVE: typing.Final = 4.0
# Events of a stream that show its pace.
MIN_PACE_EVENTS: typing.Final = 5
SUCCESS_END: typing.Final = 300
SERVER_ERROR: typing.Final = 500


class Sends(typing.Protocol):
    """What a relay needs of the server: sends and the budget."""

    def send(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        model: str,
        resume_after: int | None,
    ) -> gateway_attempt.Attempt:
        """Send a call until an endpoint runs it."""

    def may_repeat(self, call: gateway_call.Call) -> bool:
        """Whether a call that may have run may be sent again."""

    def take_repeat(self, call: gateway_call.Call, reason: str) -> None:
        """Take a repeat out of the budget."""

    def unknown(self, call: gateway_call.Call, detail: str) -> gateway_call.GivenUp:
        """Give a call up that may have run."""


class Broken(Exception):
    """A stream ended before it was whole."""


class Source:
    """The events of one send."""

    __slots__ = ("attempt", "_splitter", "_events", "_ended", "_clock", "_directory")

    def __init__(
        self,
        attempt: gateway_attempt.Attempt,
        clock_: clock.Clock,
        directory_: directory.Directory,
    ) -> None:
        self.attempt = attempt
        self._clock = clock_
        self._directory = directory_
        self._splitter = event_stream.Splitter()
        self._events: list[event_stream.Event] = []
        self._ended = False

    def next_events(self, deadline: float) -> list[event_stream.Event]:
        """Wait for events; none is the stream's whole end.

        :raises Broken: when it broke off.
        :raises http_exchange.TimedOut: when the deadline passed.
        """
        while True:
            try:
                data = self.attempt.exchange.read_data(deadline)
            except http_exchange.Broken as exc:
                raise Broken(str(exc)) from exc
            if data is None:
                if self._splitter.torn:
                    raise Broken("ended in the middle of an event")
                return []
            self._directory.heard(self.attempt.endpoint)
            events = self._splitter.feed(data)
            if events:
                return events


class Relay:
    """Runs streams; safe for all threads."""

    def __init__(
        self,
        clock_: clock.Clock,
        directory_: directory.Directory,
        sender: gateway_attempt.Sender,
        rollouts_: rollouts.Rollouts,
        choice: policy_api.ModelChoice,
        budget: retry_window.RetryWindow,
        metrics: gateway_metrics.GatewayMetrics,
        services: typing.Callable[[], dict[str, routes.Service]],
    ) -> None:
        self._clock = clock_
        self.directory = directory_
        self._sender = sender
        self._rollouts = rollouts_
        self._choice = choice
        self._budget = budget
        self._metrics = metrics
        self._services = services
        self._pace = reading_pace.ReadingPace()

    def run(
        self, call: gateway_call.Call, reply: gateway_call.Reply, sends: Sends
    ) -> None:
        """Serve a stream."""
        resume_after = call.info.resume_after
        model = self._first_model(call)
        source, events = self._open(call, reply, sends, model, resume_after)
        try:
            head = source.attempt.head
            if events is None:
                self._give_whole(call, reply, source)
                return
            reply.begin(head.status, head.headers)
            if self._relay_all(call, reply, sends, source, events):
                reply.end()
        finally:
            source.attempt.finish(self.directory)

    # -- Before the caller has anything --

    def _open(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        sends: Sends,
        model: str,
        resume_after: int | None,
    ) -> tuple[Source, list[event_stream.Event] | None]:
        """Get an answer that is accepted, with its first events.

        :returns: the source, and ``None`` instead of events for an answer that is no
            stream.
        """
        while True:
            try:
                attempt = sends.send(call, reply, model, resume_after)
            except gateway_attempt.Failed as exc:
                if not sends.may_repeat(call):
                    raise sends.unknown(call, str(exc)) from exc
                sends.take_repeat(call, str(exc))
                continue
            source = Source(attempt, self._clock, self.directory)
            self._note_first(call, attempt)
            try:
                larger = self._judge_head(call, attempt, resume_after)
                if larger:
                    attempt.finish(self.directory)
                    sends.take_repeat(call, "climb")
                    model = larger
                    continue
                if attempt.head.status >= SUCCESS_END:
                    if self._fails_over(call, attempt, sends):
                        continue
                    return source, None
                events = source.next_events(call.deadline)
                self.note_answer(call, attempt, failed=False, blame_version=True)
                return source, events
            except (Broken, http_exchange.TimedOut) as exc:
                attempt.finish(self.directory)
                detail = str(exc) or "no event in time"
                self._note_broken(call, attempt, detail)
                if not sends.may_repeat(call):
                    raise sends.unknown(call, detail) from exc
                sends.take_repeat(call, detail)
            except BaseException:
                attempt.finish(self.directory)
                raise

    def _fails_over(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        sends: Sends,
    ) -> bool:
        """Whether an endpoint's failure is tried elsewhere."""
        failed = attempt.head.status >= SERVER_ERROR
        self.note_answer(call, attempt, failed, blame_version=True)
        if not failed or not sends.may_repeat(call):
            return False
        call.excluded.add(attempt.endpoint.name)
        attempt.finish(self.directory)
        sends.take_repeat(call, f"status {attempt.head.status}")
        return True

    def _give_whole(
        self, call: gateway_call.Call, reply: gateway_call.Reply, source: Source
    ) -> None:
        """Give an answer that is no stream as it is."""
        head, pieces = source.attempt.head, []
        try:
            while (
                data := source.attempt.exchange.read_data(call.deadline)
            ) is not None:
                pieces.append(data)
        except (http_exchange.Broken, http_exchange.TimedOut) as exc:
            detail = str(exc) or "deadline"
            raise gateway_call.GivenUp(errorcodes.OUTCOME_UNKNOWN, detail) from exc
        reply.whole(head.status, head.headers, b"".join(pieces))

    # -- Models --

    def _ask(self, call: gateway_call.Call) -> policy_api.ModelAsk:
        service = self._services().get(call.service)
        known = {m.name: m for m in service.models} if service else {}
        models = [
            known.get(name, routes.ModelCost(name, 0.0)) for name in call.route.models
        ]
        now = self._clock.now()
        ahead = self._least_unread(call)
        budget_left = int(self._budget.left(call.service, now) - CLIMB_RESERVE)
        # Before the first send, that send itself is not a climb.
        sends_left = call.sends_left if call.sends else call.sends_left - 1
        return policy_api.ModelAsk(
            models,
            call.info.tokens_in,
            call.info.tokens_out,
            call.goal_at - now,
            max(0, min(sends_left, budget_left)),
            self._pace.expect(call.service, ahead + call.info.tokens_in),
        )

    def _least_unread(self, call: gateway_call.Call) -> float:
        """Give the unread tokens at the endpoint that has the least of them."""
        usable = self.directory.usable(call.service, call.excluded)
        return min((endpoint.unread for endpoint in usable), default=0.0)

    def _note_first(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Learn from the time to a first event."""
        took_s = self._clock.now() - attempt.sent_at
        if not self._rollouts.is_unproved(call.service, attempt.endpoint.row.version):
            self._pace.observe(call.service, attempt.tokens_ahead, took_s)

    def _first_model(self, call: gateway_call.Call) -> str:
        """Choose the model; empty where the caller named it."""
        if not call.info.any_model or not call.route.models:
            return ""
        if call.info.resume_after is not None:
            # Which model made the first part is not known here; the largest is never
            # too small.
            return call.route.models[-1]
        return self._choice.first(self._ask(call)) or call.route.models[-1]

    def _judge_head(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        resume_after: int | None,
    ) -> str:
        """Give the model to ask instead, or an empty text to keep the answer."""
        head = attempt.head
        if not attempt.model or resume_after is not None:
            return ""
        if head.status >= SUCCESS_END or not call.route.repeatable:
            return ""
        ask = self._ask(call)
        larger = self._choice.climb(ask, attempt.model, head.confidence)
        eventlog.info(
            "model",
            request=call.info.request,
            model=attempt.model,
            confidence="none" if head.confidence is None else head.confidence,
            left_s=ask.left_s,
            largest_s=ask.largest_s,
            climbs_left=ask.climbs_left,
            choice=larger or "keep",
        )
        if larger:
            self.note_answer(call, attempt, failed=False, blame_version=True)
        return larger or ""

    # -- After the caller has the head --

    def _relay_all(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        sends: Sends,
        first: Source,
        events: list[event_stream.Event],
    ) -> bool:
        """Relay events to the whole end, going on elsewhere after a failure.

        :returns: whether the caller has all; otherwise its answer was broken off.
        """
        last = call.info.resume_after
        source: Source | None = first
        while source is not None:
            try:
                self._relay_one(call, reply, sends, source, events, last)
                if source is first:
                    self._note_pace(call, source.attempt)
                return True
            except _Stopped as exc:
                last, detail = exc.last, exc.detail
            finally:
                source.attempt.finish(self.directory)
            self._note_broken(call, source.attempt, detail)
            events = []
            model = source.attempt.model
            source = self._resume(call, reply, sends, model, last, detail)
        eventlog.warning(
            "stream-cut",
            request=call.info.request,
            after="none" if last is None else last,
            sends=call.sends,
            detail=detail,
        )
        reply.cut()
        return False

    def _relay_one(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        sends: Sends,
        source: Source,
        events: list[event_stream.Event],
        last: int | None,
    ) -> None:
        """Relay one source to its end.

        :raises _Stopped: when it did not come to its end.
        """
        heard_at = self._clock.now()
        call.model, call.endpoint = source.attempt.model, source.attempt.endpoint.name
        while True:
            fresh = [e for e in events if not _is_old(e, last)]
            if fresh:
                call.note_write(self._clock.now())
                call.events += len(fresh)
                reply.write(b"".join(e.raw for e in fresh))
                numbers = [e.number for e in fresh if e.number is not None]
                last = numbers[-1] if numbers else last
            look_at = self._clock.now() + gateway_attempt.LOOK_S
            try:
                events = source.next_events(min(call.deadline, look_at))
            except Broken as exc:
                raise _Stopped(str(exc), last) from exc
            except http_exchange.TimedOut as exc:
                self._look(call, sends, source, heard_at, last, exc)
                events = []
                continue
            heard_at = self._clock.now()
            if not events:
                return

    def _look(
        self,
        call: gateway_call.Call,
        sends: Sends,
        source: Source,
        heard_at: float,
        last: int | None,
        exc: Exception,
    ) -> None:
        """Stop a stream that is past its deadline, or lost and can go on elsewhere."""
        patience_s = gateway_attempt.LOST_GAPS * call.route.gap_s
        reason = self._sender.lost_reason(call, source.attempt, heard_at, patience_s)
        if not reason:
            return
        if reason == gateway_attempt.DEADLINE:
            raise _Stopped(reason, last) from exc
        if last is not None and sends.may_repeat(call):
            raise _Stopped(reason, last) from exc

    def _resume(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        sends: Sends,
        model: str,
        last: int | None,
        detail: str,
    ) -> Source | None:
        """Open the rest of a stream at another endpoint, with the same model."""
        while last is not None and sends.may_repeat(call):
            sends.take_repeat(call, f"resume after {last}: {detail}")
            try:
                attempt = sends.send(call, reply, model, last)
            except (gateway_attempt.Failed, gateway_call.GivenUp) as exc:
                detail = str(exc)
                continue
            if attempt.head.status < SUCCESS_END:
                eventlog.info(
                    "resumed",
                    request=call.info.request,
                    endpoint=attempt.endpoint.name,
                    after=last,
                )
                return Source(attempt, self._clock, self.directory)
            attempt.finish(self.directory)
            call.excluded.add(attempt.endpoint.name)
            detail = f"status {attempt.head.status}"
        return None

    # -- What answers tell --

    def note_answer(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        failed: bool,
        blame_version: bool,
    ) -> None:
        """Take an answer as evidence on its endpoint, and on its version."""
        self.directory.answered(attempt.endpoint, failed)
        if not blame_version:
            return
        took_s = self._clock.now() - attempt.sent_at
        resumed = call.info.resume_after is not None
        expected_s = None
        if attempt.tokens_ahead:
            # The endpoints of an unproved version have fuller queues than others.
            expected_s = self._pace.expect(call.service, attempt.tokens_ahead)
        self._rollouts.judge_answer(
            call.service,
            attempt.endpoint.row.version,
            call.route.name,
            attempt.model,
            rollouts.Judged(failed, None if resumed else took_s, expected_s),
        )

    def _note_pace(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Take the time between events as evidence on the version."""
        if call.events < MIN_PACE_EVENTS:
            return
        pace_s = (call.wrote_at - call.first_at) / (call.events - 1)
        self._rollouts.judge_answer(
            call.service,
            attempt.endpoint.row.version,
            f"{call.route.name}~pace",
            attempt.model,
            rollouts.Judged(False, pace_s),
        )

    def _note_broken(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt, detail: str
    ) -> None:
        if detail != "deadline":
            call.excluded.add(attempt.endpoint.name)
        self.directory.answered(attempt.endpoint, failed=True)
        self._metrics.sends.labels(call.service, "broken").inc()
        eventlog.info(
            "send-broken",
            request=call.info.request,
            endpoint=attempt.endpoint.name,
            model=attempt.model or "none",
            send=call.sends,
            detail=detail,
        )


class _Stopped(Exception):
    """A source did not come to its end.

    :param last: the last event that the caller has.
    """

    def __init__(self, detail: str, last: int | None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.last = last


def _is_old(event: event_stream.Event, last: int | None) -> bool:
    """Whether the caller has an event already."""
    return event.number is not None and last is not None and event.number <= last
