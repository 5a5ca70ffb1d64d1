"""The way of a request through an entry.

1. ``Server.serve`` takes a checked call, and rules out versions by configuration.
2. The cascade plug-in orders the rest; a session has just its own version.
3. Each version is tried on an endpoint (``entry_dispatch``).
4. A whole answer is rated and perhaps climbed over; a stream is relayed as it comes.
5. The bill is held before the caller has the end of the answer.

A call that may not be repeated is claimed first (``claims``), and its outcome is
written after.
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

OPEN_RETRY_S: typing.Final = 1.0
# Parts are acknowledged whenever this part of the window was taken.
ACK_SHARE: typing.Final = 4
STREAM_TYPE: typing.Final = "text/event-stream"
DONE_EVENT: typing.Final = b"data: [DONE]\n\n"


class Server:
    """Serves checked calls; one thread each."""

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
        # Set while the entry refuses new requests because it is being replaced.
        self.leaving = False
        self._open = 0
        self._idle = threading.Condition()

    def serve(self, call: entry_call.Call) -> answers.Answer:
        """Serve one call.

        :raises errors.GaprockError: with the code that the caller gets.
        """
        self._enter()
        handed_on = False
        try:
            answer = self._serve_open(call)
            # An open stream leaves when its body is closed.
            handed_on = answer.parts is not None
            return answer
        finally:
            if not handed_on:
                self._leave()

    def open_session(self, template: documents.Template, name: str) -> sessions.Session:
        """Choose the version of a new session.

        :param name: the session's id; the same id gives the same choice while
            the configuration stays the same.
        """
        allowed = self._available(
            entry_versions.allowed_versions(self._config, template, name)
        )
        choice = self._cascade.choose(template, allowed, can_escalate=False)
        version = choice.versions[0] if choice else allowed[-1]
        return sessions.Session(name, template.workspace, template.name, version)

    def drain(self, deadline: float) -> bool:
        """Wait until no request is open.

        :returns: whether all ended before the deadline.
        """
        with self._idle:
            return clock.wait_for(
                self._idle, lambda: not self._open, deadline, self._clock
            )

    @property
    def open_requests(self) -> int:
        """Requests that are being served."""
        return self._open

    # -- Limits of the entry itself --

    def _enter(self) -> None:
        retry_at = self._clock.now() + OPEN_RETRY_S * (1 + self._rng.random())
        if self.leaving:
            raise errors.GaprockError(errorcodes.LEAVING, self._cfg.vm, retry_at)
        if self._bills.is_full:
            raise errors.GaprockError(errorcodes.BILLS_FULL, self._cfg.vm, retry_at)
        with self._idle:
            if self._open >= self._cfg.max_open:
                raise errors.GaprockError(
                    errorcodes.OVERLOADED, "the entry is full", retry_at
                )
            self._open += 1

    def _leave(self) -> None:
        with self._idle:
            self._open -= 1
            self._idle.notify_all()

    # -- Which versions --

    def _serve_open(self, call: entry_call.Call) -> answers.Answer:
        self._metrics.incr("entry.requests")
        if not call.template.repeatable:
            return self._serve_once(call)
        choice = self._choose(call)
        if call.stream:
            return self._serve_stream(call, choice.versions[0])
        return self._serve_whole(call, choice.versions)

    def _choose(self, call: entry_call.Call) -> policy_api.Choice:
        """Choose the versions to try, in order."""
        if call.session is not None:
            self._check_session(call.session)
            version = call.session.version
            choice = policy_api.Choice([version], "session")
            self._decisions.log(
                "versions", call.request, choice=version, reason="session"
            )
            return choice
        ruled = entry_versions.allowed_versions(
            self._config, call.template, call.request
        )
        allowed = self._available(ruled)
        choice = self._cascade.choose(
            call.template, allowed, can_escalate=not call.stream
        ) or policy_api.Choice(allowed[-1:], "default")
        self._decisions.log(
            "versions",
            call.request,
            workspace=call.workspace,
            template=call.template.name,
            candidates=",".join(c.version for c in call.template.versions),
            ruled_out=",".join(f"{v}:{why}" for v, why in ruled.out.items()),
            choice=",".join(choice.versions),
            reason=choice.reason,
        )
        return choice

    def _check_session(self, session: sessions.Session) -> None:
        """Check that a session can go on; it never changes its version."""
        try:
            self._config.check(
                session.workspace, session.template, session.version, True
            )
        except errors.GaprockError as exc:
            raise errors.GaprockError(errorcodes.SESSION_ENDED, str(exc)) from exc

    def _available(self, ruled: entry_versions.Ruled) -> list[str]:
        """Keep the versions that a live endpoint has."""
        standing = {v for load in self._links.endpoints() for v in load.versions}
        available = [v for v in ruled.versions if v in standing]
        for version in ruled.versions:
            if version not in standing:
                ruled.out[version] = "no-endpoint"
        if not available:
            raise self._dispatcher.no_endpoint(",".join(ruled.versions))
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
            # An answer of an earlier version goes before an error of a later one.
            if progress.best is None:
                raise
        finally:
            self._hold_bill(call, progress)
        assert progress.best is not None
        self._add_headers(progress.best, call, progress.version)
        return progress.best

    def _try_version(
        self, call: entry_call.Call, version: str, progress: entry_dispatch.Progress
    ) -> None:
        """Get one version's whole answer."""
        tried = self._dispatcher.start(call, version, progress)
        answer = None
        try:
            answer = self._collect(call, tried)
        finally:
            end = tried.attempt.outcome
            if end is not None:
                progress.note_bill(end.bill, tried.link.address)
                if answer is None:
                    self._judge.conclude(call.template, version, end, call.raw, None)
            tried.link.close(tried.attempt)
        progress.best, progress.version = answer, version

    def _collect(
        self, call: entry_call.Call, tried: entry_dispatch.Tried
    ) -> answers.Answer:
        deadline = call.deadline + entry_dispatch.DEADLINE_GRACE_S
        body = b""
        while data := tried.attempt.take(deadline, self._clock):
            body += data
        end = tried.attempt.end
        return answers.Answer(end.status, end.content_type, body)

    def _is_accepted(
        self,
        call: entry_call.Call,
        version: str,
        progress: entry_dispatch.Progress,
        last: bool,
    ) -> bool:
        """Whether an answer is given; it is evidence on its version either way."""
        assert progress.best is not None
        body = progress.best.body
        if call.template.kind == documents.CALL:
            return True
        if last:
            end = messages.End(0, 0, errorcodes.OK, "", 200, "", -1.0, None)
            kept = body if self._judge.wants_rating() else None
            self._judge.conclude(call.template, version, end, call.raw, kept)
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

    # -- Calls that may not be repeated --

    def _serve_once(self, call: entry_call.Call) -> answers.Answer:
        """Run a call at most once, over all entries and all time.

        The claim comes before any choice: an id that ran gives its outcome, also
        when nothing could run it now.
        """
        claim = self._claims.take(
            call.workspace, call.request, call.digest, call.deadline
        )
        if isinstance(claim, claims.StoredAnswer):
            answer = answers.Answer(claim.status, claim.content_type, claim.body)
            answer.headers["X-Gaprock-Replayed"] = "true"
            return answer
        try:
            choice = self._choose(call)
            answer = self._serve_whole(call, choice.versions[:1])
        except errors.GaprockError as exc:
            state = claims.NOT_RUN if exc.not_run else claims.UNKNOWN
            self._claims.mark(claim, state)
            raise
        except BaseException:
            self._claims.mark(claim, claims.UNKNOWN)
            raise
        self._claims.finish(claim, answer.status, answer.content_type, answer.body)
        return answer

    # -- Streams --

    def _serve_stream(self, call: entry_call.Call, version: str) -> answers.Answer:
        """Open a stream; the caller's headers wait for the first part."""
        tried = self._dispatcher.start(call, version, entry_dispatch.Progress())
        answer = answers.Answer(200, STREAM_TYPE, b"")
        answer.parts = self._stream_body(call, version, tried)
        self._add_headers(answer, call, version)
        return answer

    def _stream_body(
        self, call: entry_call.Call, version: str, tried: entry_dispatch.Tried
    ) -> answers.StreamBody:
        kept: list[bytes] | None = [] if self._judge.wants_rating() else None

        def closed() -> None:
            self._hold_stream_bill(call, tried)
            end = tried.attempt.outcome
            if end is not None:
                body = b"".join(kept) if kept else None
                self._judge.conclude(call.template, version, end, call.raw, body)
            tried.link.close(tried.attempt)
            self._leave()

        return answers.StreamBody(self._relay(call, tried, kept), closed)

    def _relay(
        self,
        call: entry_call.Call,
        tried: entry_dispatch.Tried,
        kept: list[bytes] | None,
    ) -> typing.Generator[bytes, None, None]:
        """Give the parts as they come, then a mark of the end or an error event."""
        attempt = tried.attempt
        deadline = call.deadline + entry_dispatch.DEADLINE_GRACE_S
        acked = 0
        try:
            while data := attempt.take(deadline, self._clock):
                if kept is not None:
                    kept.append(data)
                yield data
                # Only what the caller's connection took opens the window.
                if attempt.taken - acked >= attempt.start.window // ACK_SHARE:
                    acked = attempt.taken
                    tried.link.ack(attempt)
        except errors.GaprockError as exc:
            self._metrics.incr("entry.streams_cut")
            yield answers.error_event(exc)
            return
        # The bill is held before the caller can know that the answer is whole.
        self._hold_stream_bill(call, tried)
        yield DONE_EVENT

    def _hold_stream_bill(
        self, call: entry_call.Call, tried: entry_dispatch.Tried
    ) -> None:
        end = tried.attempt.outcome
        if end is not None and end.bill is not None:
            now = self._clock.now()
            self._bills.hold(end.bill, [tried.link.address], now)

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
