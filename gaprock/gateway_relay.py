"""Serves streams: chooses the model, relays events and resumes after a failure.

The caller gets nothing until the answer is accepted and its first event has come, so
until then another model or endpoint may be asked.  From then on, a stream that fails
is resumed at another endpoint after the last event that the caller has, if its route
allows that.
"""

import typing

from gaprock import (
    clock,
    directory,
    endpoint_state,
    errorcodes,
    event_source,
    event_stream,
    eventlog,
    gateway_attempt,
    gateway_call,
    gateway_judge,
    gateway_models,
    gateway_quarantine,
    gateway_sender,
    http_exchange,
)


class SendService(typing.Protocol):
    """What a relay needs from the server: sends and the retry budget."""

    def send(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        model: str,
        resume_after: int | None,
        repeat: str = "",
    ) -> gateway_attempt.Attempt:
        """Send a call until an endpoint runs it.

        :param repeat: why a stream is resumed, which is charged if the call is sent.
        """

    def may_repeat(self, call: gateway_call.Call) -> bool:
        """Return whether a call that may have run may be sent again."""

    def may_move(
        self, call: gateway_call.Call, endpoint: endpoint_state.Endpoint
    ) -> bool:
        """Return whether another endpoint may be sent a call that has run."""

    def charge_repeat(self, call: gateway_call.Call, reason: str) -> bool:
        """Charge the next send of a call that may have run.

        :returns: whether it may be sent again.
        """

    def unknown(self, call: gateway_call.Call, detail: str) -> gateway_call.CallError:
        """Build the error for a call that may have run."""


class Relay:
    """Serves streams; thread-safe."""

    def __init__(
        self,
        clock_: clock.Clock,
        directory_: directory.Directory,
        sender: gateway_sender.Sender,
        judge: gateway_judge.AnswerJudge,
        models: gateway_models.ModelPicker,
        gate: gateway_quarantine.Gate,
    ) -> None:
        self._clock = clock_
        self.directory = directory_
        self._sender = sender
        self._judge = judge
        self._models = models
        self._gate = gate

    def run(
        self, call: gateway_call.Call, reply: gateway_call.Reply, sends: SendService
    ) -> None:
        """Serve a stream."""
        resume_after = call.info.resume_after
        model = self._models.first(call)
        source, events = self._open(call, reply, sends, model, resume_after)
        try:
            head = source.attempt.head
            call.status = head.status
            if events is None:
                self._reply_whole(call, reply, source)
                return
            reply.begin(head.status, head.headers)
            if not events or self._relay_all(call, reply, sends, source, events):
                reply.end()
        finally:
            source.attempt.finish(self.directory)

    # -- Before anything is written to the caller --

    def _open(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        sends: SendService,
        model: str,
        resume_after: int | None,
    ) -> tuple[event_source.EventSource, list[event_stream.Event] | None]:
        """Get an accepted answer and its first events.

        :returns: the source and the events; ``None`` instead of the events if the
            answer is no stream.
        """
        while True:
            try:
                attempt = sends.send(call, reply, model, resume_after)
            except gateway_attempt.Failed as exc:
                if not sends.charge_repeat(call, str(exc)):
                    raise sends.unknown(call, str(exc)) from exc
                continue
            source = event_source.EventSource(
                attempt, self._clock, self.directory, call.inbound.memory
            )
            self._models.record_first(call, attempt)
            try:
                larger = self._models.larger(call, attempt)
                if larger and sends.charge_repeat(call, "climb"):
                    self._judge.record_answer(call, attempt, failed=False)
                    attempt.finish(self.directory)
                    model = larger
                    continue
                if attempt.head.status >= gateway_attempt.SUCCESS_END:
                    if self._fails_over(call, attempt, sends):
                        continue
                    return source, None
                events = self._first_events(call, sends, source)
                self._judge.record_answer(call, attempt, failed=False)
                return source, events
            except event_source.Broken as exc:
                detail = str(exc)
                self._end_broken(call, attempt, detail)
                if not sends.charge_repeat(call, detail):
                    raise sends.unknown(call, detail) from exc
            except BaseException:
                attempt.finish(self.directory)
                raise

    def _first_events(
        self,
        call: gateway_call.Call,
        sends: SendService,
        source: event_source.EventSource,
    ) -> list[event_stream.Event]:
        """Wait for the first events; an empty list means that the stream has ended.

        :raises event_source.Broken: when none came, and there is no reason to wait on.
        """
        last_data_at = self._clock.now()
        silence_limit_s = gateway_sender.STREAM_SILENCE_GAPS * call.route.gap_s
        while True:
            check_at = self._clock.now() + gateway_sender.CHECK_INTERVAL_S
            try:
                return self._next_events(source, min(call.deadline, check_at))
            except http_exchange.TimedOut as exc:
                self._judge.judge_pending(call, source.attempt)
                reason = self._sender.lost_reason(
                    call, source.attempt, last_data_at, silence_limit_s
                )
                is_final = reason in gateway_attempt.FINAL_REASONS
                if is_final or reason and sends.may_repeat(call):
                    raise event_source.Broken(reason) from exc

    def _next_events(
        self, source: event_source.EventSource, deadline: float
    ) -> list[event_stream.Event]:
        """Wait for events; an empty list is the end of a whole stream.

        :raises event_source.Broken: when the stream broke off.
        :raises http_exchange.TimedOut: when the deadline passed.
        """
        events = source.next_events(deadline)
        if not events and self._sender.ended_with_endpoint(source.attempt):
            raise event_source.Broken(gateway_attempt.ENDED)
        return events

    def _fails_over(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        sends: SendService,
    ) -> bool:
        """Record an answer without success, and decide whether to send the call again.

        Only a failure of the endpoint is repeated elsewhere, if the call may be.
        """
        failed = attempt.head.status >= gateway_attempt.SERVER_ERROR
        self._judge.record_answer(call, attempt, failed)
        reason = f"status {attempt.head.status}"
        if not failed or not sends.charge_repeat(call, reason):
            return False
        call.excluded.add(attempt.endpoint.incarnation)
        attempt.finish(self.directory)
        return True

    def _reply_whole(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        source: event_source.EventSource,
    ) -> None:
        """Pass on an answer that is no stream."""
        head = source.attempt.head
        try:
            body = self._sender.read_whole(call, source.attempt, lambda: False)
        except gateway_attempt.Failed as exc:
            raise gateway_call.CallError(errorcodes.OUTCOME_UNKNOWN, str(exc)) from exc
        reply.whole(head.status, head.headers, body)

    # -- After the head is written to the caller --

    def _relay_all(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        sends: SendService,
        first: event_source.EventSource,
        events: list[event_stream.Event],
    ) -> bool:
        """Relay events to the end of the stream, resuming elsewhere after a failure.

        :returns: whether the caller has the whole stream; otherwise it was cut.
        """
        last = call.info.resume_after
        source: event_source.EventSource | None = first
        try:
            while source is not None:
                try:
                    self._relay_one(call, reply, sends, source, events, last)
                    self._gate.record_success(call, source.attempt)
                    return True
                except _Interrupted as exc:
                    last, detail = exc.last, exc.detail
                    source = self._next_source(call, reply, sends, source, exc)
                events = []
        finally:
            if source is not None:
                source.attempt.finish(self.directory)
        eventlog.warning(
            "stream-cut",
            request=call.info.request,
            after="none" if last is None else last,
            sends=call.sends,
            detail=detail,
        )
        reply.cut()
        return False

    def _next_source(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        sends: SendService,
        source: event_source.EventSource,
        exc: "_Interrupted",
    ) -> event_source.EventSource | None:
        """Return the source of the rest of a stream; ``None`` if there is none.

        A silent endpoint may go on later, so its source is kept until another endpoint
        has accepted the stream.
        """
        attempt = source.attempt
        if not exc.may_go_on:
            self._end_broken(call, attempt, exc.detail)
            return self._resume(call, reply, sends, attempt.model, exc)
        call.excluded.add(attempt.endpoint.incarnation)
        # It may have crashed its endpoint, which counts when another one is chosen.
        self._gate.record_silent(attempt, True)
        other = self._resume(call, reply, sends, attempt.model, exc)
        if other is None:
            call.excluded.discard(attempt.endpoint.incarnation)
            self._gate.record_silent(attempt, False)
            self._record_kept(call, attempt, exc.last, exc.detail)
            return source
        self._end_broken(call, attempt, exc.detail)
        return other

    def _relay_one(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        sends: SendService,
        source: event_source.EventSource,
        events: list[event_stream.Event],
        last: int | None,
    ) -> None:
        """Relay one source to its end.

        :raises _Interrupted: when it broke off or was given up before its end.
        """
        last_data_at = self._clock.now()
        call.model, call.endpoint = source.attempt.model, source.attempt.endpoint.name
        while True:
            undelivered = [e for e in events if not _is_delivered(e, last)]
            if undelivered:
                call.record_write(self._clock.now())
                call.events += len(undelivered)
                reply.write(b"".join(e.raw for e in undelivered))
                numbers = [e.number for e in undelivered if e.number is not None]
                last = numbers[-1] if numbers else last
                if not source.is_resumed:
                    self._judge.judge_event_gaps(call, source.attempt)
            waited_since = self._clock.now()
            check_at = waited_since + gateway_sender.CHECK_INTERVAL_S
            try:
                events = self._next_events(source, min(call.deadline, check_at))
            except event_source.Broken as exc:
                raise _Interrupted(str(exc), last) from exc
            except http_exchange.TimedOut as exc:
                self._check_silence(call, sends, source, last_data_at, last, exc)
                events = []
                continue
            self._gate.record_data(call, source.attempt, waited_since)
            last_data_at = self._clock.now()
            if not events:
                return

    def _check_silence(
        self,
        call: gateway_call.Call,
        sends: SendService,
        source: event_source.EventSource,
        last_data_at: float,
        last: int | None,
        exc: Exception,
    ) -> None:
        """Stop a source that is past its deadline, or lost and can be resumed.

        :raises _Interrupted: when it is stopped.
        """
        silence_limit_s = gateway_sender.STREAM_SILENCE_GAPS * call.route.gap_s
        reason = self._sender.lost_reason(
            call, source.attempt, last_data_at, silence_limit_s
        )
        if not reason:
            return
        if reason in gateway_attempt.FINAL_REASONS:
            raise _Interrupted(reason, last) from exc
        if last is not None and sends.may_move(call, source.attempt.endpoint):
            raise _Interrupted(reason, last, may_go_on=True) from exc
        self._record_kept(call, source.attempt, last, reason)

    def _record_kept(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        last: int | None,
        reason: str,
    ) -> None:
        """Log, once for each send, that a silent stream is kept."""
        if attempt.is_kept:
            return
        attempt.is_kept = True
        eventlog.info(
            "stream-kept",
            request=call.info.request,
            endpoint=attempt.endpoint.name,
            after="none" if last is None else last,
            detail=reason,
        )

    def _resume(
        self,
        call: gateway_call.Call,
        reply: gateway_call.Reply,
        sends: SendService,
        model: str,
        interrupted: "_Interrupted",
    ) -> event_source.EventSource | None:
        """Open the rest of a stream at another endpoint, with the same model.

        :returns: the new source; ``None`` if no endpoint resumed the stream.
        """
        last, detail = interrupted.last, interrupted.detail
        while last is not None and sends.may_repeat(call):
            reason = f"resume after {last}: {detail}"
            try:
                attempt = sends.send(call, reply, model, last, reason)
            except gateway_attempt.Failed as exc:
                detail = str(exc)
                continue
            except gateway_call.CallError:
                # The send has waited for an endpoint already.
                return None
            if attempt.head.status < gateway_attempt.SUCCESS_END:
                eventlog.info(
                    "resumed",
                    request=call.info.request,
                    endpoint=attempt.endpoint.name,
                    after=last,
                )
                return event_source.EventSource(
                    attempt,
                    self._clock,
                    self.directory,
                    call.inbound.memory,
                    is_resumed=True,
                )
            attempt.finish(self.directory)
            call.excluded.add(attempt.endpoint.incarnation)
            detail = f"status {attempt.head.status}"
        return None

    def _end_broken(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt, detail: str
    ) -> None:
        """End a send whose stream broke off or was given up, and record why."""
        attempt.finish(self.directory)
        is_own = detail in gateway_attempt.OWN_REASONS
        if not is_own and detail != gateway_attempt.DEADLINE:
            call.excluded.add(attempt.endpoint.incarnation)
        if is_own:
            # The gateway gave up the request; its endpoint is not at fault.
            pass
        elif detail == gateway_attempt.DEADLINE:
            self._judge.judge_pending(call, attempt)
            self._sender.record_lost(attempt)
        else:
            self._sender.record_break(call, attempt)
        self._sender.record_failure(call, attempt, "broken", detail)


class _Interrupted(Exception):
    """A source broke off or was given up before its end.

    :param last: number of the last event that the caller has.
    :param may_go_on: whether it was only silent.
    """

    def __init__(self, detail: str, last: int | None, may_go_on: bool = False) -> None:
        super().__init__(detail)
        self.detail = detail
        self.last = last
        self.may_go_on = may_go_on


def _is_delivered(event: event_stream.Event, last: int | None) -> bool:
    """Return whether the caller has an event already."""
    return event.number is not None and last is not None and event.number <= last
