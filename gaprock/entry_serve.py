"""How an entry serves a request.

1. ``Server.serve`` gets a checked call and excludes versions by configuration.
2. The cascade plug-in orders the remaining ones; a session has only its own version.
3. Each version is tried on an endpoint (``entry_dispatch``).
4. A whole answer is rated, and the call may be escalated to the next version.  A
   stream is passed on as it arrives.
5. The bill is in the bill buffer before the caller gets the end of the answer.

A non-repeatable call is claimed first (``claims``); its outcome is stored afterwards.
"""

import random
import threading
import typing

from gaprock import (
    answers,
    bills,
    claims,
    clock,
    config,
    decisions,
    documents,
    entry_call,
    entry_dispatch,
    entry_judge,
    entry_links,
    entry_versions,
    errorcodes,
    errors,
    ids,
    messages,
    metrics,
    options,
    policy_api,
    sessions,
)

ADMISSION_RETRY_S: typing.Final = 1.0
# Acknowledgements sent while the caller reads as many parts as a window holds.
ACKS_PER_WINDOW: typing.Final = 4
STREAM_TYPE: typing.Final = "text/event-stream"
DONE_EVENT: typing.Final = b"data: [DONE]\n\n"


class Server:
    """Serves checked calls, each on a thread of its own."""

    def __init__(
        self,
        cfg: options.Options,
        clock_: clock.Clock,
        config_: config.Config,
        links: entry_links.Links,
        claims_: claims.Claims,
        bills_: bills.BillBuffer,
        judge: entry_judge.Judge,
        cascade: policy_api.Cascade,
        dispatcher: entry_dispatch.Dispatcher,
        signer: sessions.Signer,
        decisions_: decisions.Decisions,
        metrics_: metrics.Metrics,
    ) -> None:
        self._cfg = cfg
        self._clock = clock_
        self._config = config_
        self._links = links
        self._claims = claims_
        self._bills = bills_
        self._judge = judge
        self._cascade = cascade
        self._dispatcher = dispatcher
        self._signer = signer
        self._decisions = decisions_
        self._metrics = metrics_
        self._rng = random.Random()
        # Set during a planned stop, when the entry refuses new requests.
        self.leaving = False
        self._open_count = 0
        self._count_changed = threading.Condition()

    def serve(self, call: entry_call.Call) -> answers.Answer:
        """Serve one call.

        :raises errors.GaprockError: with the code to be sent to the caller.
        """
        self._admit()
        is_streaming = False
        try:
            answer = self._serve_open(call)
            # A stream counts as open until its body is closed.
            is_streaming = answer.parts is not None
            return answer
        finally:
            if not is_streaming:
                self._release()

    def open_session(self, template: documents.Template, name: str) -> sessions.Session:
        """Choose the version of a new session.

        :param name: the session's id.  An id gets the same version each time, as
            long as the configuration does not change.
        """
        allowed = self._reachable_versions(
            entry_versions.allowed_versions(self._config, template, name)
        )
        choice = self._cascade.choose(template, allowed, can_escalate=False)
        version = choice.versions[0] if choice else allowed[-1]
        return sessions.Session(name, template.workspace, template.name, version)

    def drain(self, deadline: float) -> bool:
        """Wait until no request is open.

        :returns: whether all requests ended before the deadline.
        """
        with self._count_changed:
            return clock.wait_for(
                self._count_changed, lambda: not self._open_count, deadline, self._clock
            )

    @property
    def open_requests(self) -> int:
        """The number of requests being served."""
        return self._open_count

    # -- Admission --

    def _admit(self) -> None:
        retry_at = self._clock.now() + ADMISSION_RETRY_S * (1 + self._rng.random())
        if self.leaving:
            raise errors.GaprockError(errorcodes.LEAVING, self._cfg.vm, retry_at)
        if self._bills.is_full:
            raise errors.GaprockError(errorcodes.BILLS_FULL, self._cfg.vm, retry_at)
        with self._count_changed:
            if self._open_count >= self._cfg.max_open:
                raise errors.GaprockError(
                    errorcodes.OVERLOADED, "the entry is full", retry_at
                )
            self._open_count += 1

    def _release(self) -> None:
        with self._count_changed:
            self._open_count -= 1
            self._count_changed.notify_all()

    # -- Choice of versions --

    def _serve_open(self, call: entry_call.Call) -> answers.Answer:
        self._metrics.incr("entry.requests")
        if not call.template.repeatable:
            return self._serve_once(call)
        choice = self._choose_versions(call)
        if call.stream:
            return self._serve_stream(call, choice.versions[0])
        return self._serve_whole(call, choice.versions)

    def _choose_versions(self, call: entry_call.Call) -> policy_api.Choice:
        """Choose the versions to try, in this order."""
        if call.session is not None:
            self._check_session(call.session)
            version = call.session.version
            choice = policy_api.Choice([version], "session")
            self._decisions.log(
                "versions", call.request, choice=version, reason="session"
            )
            return choice
        filtered = entry_versions.allowed_versions(
            self._config, call.template, call.request
        )
        allowed = self._reachable_versions(filtered)
        choice = self._cascade.choose(
            call.template, allowed, can_escalate=not call.stream
        ) or policy_api.Choice(allowed[-1:], "default")
        self._decisions.log(
            "versions",
            call.request,
            workspace=call.workspace,
            template=call.template.name,
            candidates=",".join(c.version for c in call.template.versions),
            ruled_out=",".join(f"{v}:{why}" for v, why in filtered.rejected.items()),
            choice=",".join(choice.versions),
            reason=choice.reason,
        )
        return choice

    def _check_session(self, session: sessions.Session) -> None:
        """Check that a session's version, which never changes, may still be used."""
        try:
            self._config.check(
                session.workspace, session.template, session.version, True
            )
        except errors.GaprockError as exc:
            raise errors.GaprockError(errorcodes.SESSION_ENDED, str(exc)) from exc

    def _reachable_versions(
        self, filtered: entry_versions.AllowedVersions
    ) -> list[str]:
        """Return the allowed versions that an endpoint in service has.

        The others are added to ``filtered.rejected``.

        :raises errors.GaprockError: when none is left.
        """
        reachable = {v for load in self._links.endpoints() for v in load.versions}
        available = [v for v in filtered.versions if v in reachable]
        for version in filtered.versions:
            if version not in reachable:
                filtered.rejected[version] = "no-endpoint"
        if not available:
            raise self._dispatcher.no_endpoint(",".join(filtered.versions))
        return available

    # -- Whole answers --

    def _serve_whole(
        self, call: entry_call.Call, versions: list[str]
    ) -> answers.Answer:
        """Try the versions in order until an answer is good enough."""
        progress = entry_dispatch.Progress()
        try:
            for version in versions:
                self._try_version(call, version, progress)
                last = version == versions[-1]
                if self._is_accepted(call, version, progress, last):
                    break
        except errors.GaprockError:
            # An earlier version's answer is better than a later version's error.
            if progress.last_answer is None:
                raise
        finally:
            self._hold_bill(call, progress)
        assert progress.last_answer is not None
        self._add_headers(progress.last_answer, call, progress.version)
        return progress.last_answer

    def _try_version(
        self, call: entry_call.Call, version: str, progress: entry_dispatch.Progress
    ) -> None:
        """Get the whole answer of one version."""
        started = self._dispatcher.start(call, version, progress)
        answer = None
        try:
            answer = self._read_whole(call, started)
        finally:
            end = started.attempt.outcome
            if end is not None:
                progress.record_bill(end.bill, started.link.address)
                if answer is None:
                    self._judge.record_outcome(
                        call.template, version, end, call.raw, None
                    )
            started.link.close(started.attempt)
        progress.last_answer, progress.version = answer, version

    def _read_whole(
        self, call: entry_call.Call, started: entry_dispatch.StartedAttempt
    ) -> answers.Answer:
        deadline = call.deadline + entry_dispatch.DEADLINE_GRACE_S
        body = b""
        while data := started.attempt.read(deadline, self._clock):
            body += data
        end = started.attempt.end
        return answers.Answer(end.status, end.content_type, body)

    def _is_accepted(
        self,
        call: entry_call.Call,
        version: str,
        progress: entry_dispatch.Progress,
        last: bool,
    ) -> bool:
        """Whether to return the last answer to the caller.

        Either way the answer counts as evidence for or against its version.
        """
        assert progress.last_answer is not None
        body = progress.last_answer.body
        if call.template.kind == documents.CALL:
            return True
        if last:
            end = messages.End(0, 0, errorcodes.OK, "", 200, "", -1.0, None)
            to_rate = body if self._judge.should_rate() else None
            self._judge.record_outcome(call.template, version, end, call.raw, to_rate)
            return True
        rating = self._judge.rate_now(call.template, version, call.raw, body)
        accepted = self._cascade.accept(call.template, version, rating)
        self._decisions.log(
            "cascade",
            call.request,
            version=version,
            rating="none" if rating is None else rating,
            choice="accept" if accepted else "climb",
        )
        return accepted

    def _hold_bill(
        self, call: entry_call.Call, progress: entry_dispatch.Progress
    ) -> None:
        if not progress.lines:
            return
        bill = messages.Bill(
            call.bill_key,
            call.request,
            call.workspace,
            call.template.name,
            errorcodes.OK,
            progress.lines,
        )
        self._bills.hold(bill, progress.owners, self._clock.now())

    # -- Non-repeatable calls --

    def _serve_once(self, call: entry_call.Call) -> answers.Answer:
        """Run a call at most once, across all entries and over all time.

        The claim precedes the choice of a version: for an id that has run, the stored
        outcome is returned even if no version could run the call now.
        """
        claim = self._claims.claim(
            call.workspace, call.request, call.digest, call.deadline
        )
        if isinstance(claim, claims.StoredAnswer):
            answer = answers.Answer(claim.status, claim.content_type, claim.body)
            answer.headers["X-Gaprock-Replayed"] = "true"
            return answer
        try:
            choice = self._choose_versions(call)
            answer = self._serve_whole(call, choice.versions[:1])
        except errors.GaprockError as exc:
            state = claims.NOT_RUN if exc.not_run else claims.UNKNOWN
            self._claims.write_state(claim, state)
            raise
        except BaseException:
            self._claims.write_state(claim, claims.UNKNOWN)
            raise
        self._claims.finish(claim, answer.status, answer.content_type, answer.body)
        return answer

    # -- Streams --

    def _serve_stream(self, call: entry_call.Call, version: str) -> answers.Answer:
        """Open a stream.

        Return when the first part is there, so the caller gets no headers before it.
        """
        started = self._dispatcher.start(call, version, entry_dispatch.Progress())
        answer = answers.Answer(200, STREAM_TYPE, b"")
        answer.parts = self._stream_body(call, version, started)
        self._add_headers(answer, call, version)
        return answer

    def _stream_body(
        self,
        call: entry_call.Call,
        version: str,
        started: entry_dispatch.StartedAttempt,
    ) -> answers.StreamBody:
        to_rate: list[bytes] | None = [] if self._judge.should_rate() else None

        def on_close() -> None:
            self._hold_stream_bill(call, started)
            end = started.attempt.outcome
            if end is not None:
                body = b"".join(to_rate) if to_rate else None
                self._judge.record_outcome(call.template, version, end, call.raw, body)
            started.link.close(started.attempt)
            self._release()

        return answers.StreamBody(self._stream_parts(call, started, to_rate), on_close)

    def _stream_parts(
        self,
        call: entry_call.Call,
        started: entry_dispatch.StartedAttempt,
        to_rate: list[bytes] | None,
    ) -> typing.Generator[bytes, None, None]:
        """Yield the parts as they arrive, then the end marker or an error event."""
        attempt = started.attempt
        deadline = call.deadline + entry_dispatch.DEADLINE_GRACE_S
        acked = 0
        try:
            while data := attempt.read(deadline, self._clock):
                if to_rate is not None:
                    to_rate.append(data)
                yield data
                # Only parts written to the caller's connection open the window.
                if attempt.taken - acked >= attempt.start.window // ACKS_PER_WINDOW:
                    acked = attempt.taken
                    started.link.ack(attempt)
        except errors.GaprockError as exc:
            self._metrics.incr("entry.streams_cut")
            yield answers.error_event(exc)
            return
        # The bill is buffered before the caller can see that the answer is complete.
        self._hold_stream_bill(call, started)
        yield DONE_EVENT

    def _hold_stream_bill(
        self, call: entry_call.Call, started: entry_dispatch.StartedAttempt
    ) -> None:
        end = started.attempt.outcome
        if end is not None and end.bill is not None:
            now = self._clock.now()
            self._bills.hold(end.bill, [started.link.address], now)

    # -- Headers --

    def _add_headers(
        self, answer: answers.Answer, call: entry_call.Call, version: str
    ) -> None:
        answer.headers["X-Gaprock-Request"] = call.request
        answer.headers["X-Gaprock-Version"] = version
        if call.template.kind == documents.CALL:
            return
        answer.headers["X-Gaprock-Session"] = call.token or self._signer.sign(
            sessions.Session(
                ids.new_token(), call.workspace, call.template.name, version
            )
        )
