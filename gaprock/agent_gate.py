"""Admission of requests to an agent's endpoints.

The last check before a request reaches an endpoint is made here, by the newest
configuration that either the entry or this agent knows.  The endpoint's admission
plug-in then starts, queues or refuses the request.  Each running request has a
thread of its own.
"""

import math
import threading
import typing
from concurrent import futures

import msgspec
import urllib3

from gaprock import (
    agent_endpoint,
    agent_ends,
    agent_run,
    answer_memory,
    bills,
    clock,
    config,
    errorcodes,
    errors,
    eventlog,
    messages,
    metrics,
    options,
    plugin,
    policy_api,
    quarantine,
    suspicion,
)

# An endpoint gets no new requests once its load report has failed this often in a row.
MAX_LOAD_FAILURES: typing.Final = 2
LEAVING_RETRY_S: typing.Final = 1.0
# Error detail of a refusal by admission, by the reason of the verdict.
REFUSAL_DETAILS: typing.Final = {
    "deadline": "the time for its first part had passed",
    "too-late": "its turn would come too late",
    "queue": "the queue is full",
}
# Result codes of a run whose answer broke off.
CUT_CODES: typing.Final = frozenset(
    (errorcodes.OUTCOME_UNKNOWN.number, errorcodes.STREAM_CUT.number)
)
# The reported mean time of a run halves each time this long passes without a run's
# end, so that an endpoint that was slow once is tried again.
SERVICE_HALF_LIFE_S: typing.Final = 5.0


class Slot:
    """One endpoint with its admission state and its last load report."""

    __slots__ = (
        "endpoint",
        "admission",
        "lock",
        "load",
        "failures",
        "order_lock",
        "last_ended_at",
        "ends",
    )

    def __init__(
        self,
        endpoint: agent_endpoint.Endpoint,
        admission: policy_api.Admission,
        clock_: clock.Clock,
    ) -> None:
        self.endpoint = endpoint
        self.ends = agent_ends.EndpointEnds(clock_, endpoint)
        self.admission = admission
        self.lock = threading.Lock()
        self.load = agent_endpoint.EngineLoad()
        self.failures = MAX_LOAD_FAILURES
        # When the last run ended; 0 before the first.
        self.last_ended_at = 0.0
        # Serializes the orders to this endpoint.
        self.order_lock = threading.Lock()

    @property
    def versions(self) -> list[str]:
        """The versions that the endpoint can serve now."""
        if self.failures >= MAX_LOAD_FAILURES:
            return []
        if self.endpoint.is_backing_off:
            return []
        return self.endpoint.option.versions or self.load.versions

    def refresh(self) -> None:
        """Update the state from the endpoint's load report."""
        try:
            self.load = self.endpoint.load()
            self.failures = 0
            with self.lock:
                self.admission.hint(self.load.slots)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            self.failures += 1
            if self.failures == MAX_LOAD_FAILURES:
                eventlog.warning("endpoint-down", endpoint=self.endpoint.option.name)


class Gate:
    """Admission and execution at the endpoints of one agent; thread-safe."""

    def __init__(
        self,
        cfg: options.Options,
        clock_: clock.Clock,
        config_: config.Config,
        bills_: bills.BillBuffer,
        metrics_: metrics.Metrics,
        post: agent_run.Post,
        quarantine_: quarantine.Quarantine,
    ) -> None:
        self._cfg = cfg
        self._clock = clock_
        self._config = config_
        self._bills = bills_
        self._metrics = metrics_
        self._post = post
        self._quarantine = quarantine_
        self.leaving = False
        memory = answer_memory.AnswerMemory(cfg.max_answers)
        self.slots = {
            option.name: Slot(
                agent_endpoint.Endpoint(option, cfg, clock_, memory),
                plugin.find(policy_api.Admission, cfg.admission)(
                    cfg.max_running, cfg.max_queued
                ),
                clock_,
            )
            for option in cfg.endpoints
        }
        workers = cfg.max_running * max(1, len(self.slots)) + 8
        self._executor = futures.ThreadPoolExecutor(workers, "run")
        self._active = 0
        self._idle = threading.Condition()

    def submit(self, run: agent_run.Run) -> None:
        """Check a request, then start or queue it, or post its refusal at once."""
        try:
            slot = self._check(run.start)
            self._admit(slot, run)
        except errors.GaprockError as exc:
            self._refuse(run, exc)

    def cancel(self, run: agent_run.Run, is_superseded: bool = False) -> None:
        """Cancel a run whose answer is no longer wanted.

        :param is_superseded: another attempt takes its place, so it is not billed.
        """
        run.is_superseded = run.is_superseded or is_superseded
        run.cancel()
        slot = self.slots.get(run.start.endpoint)
        if slot is None or run.ticket is None:
            return
        with slot.lock:
            dropped = slot.admission.drop(run.ticket)
        if dropped:
            self._decrement_active(run)

    def expire(self) -> None:
        """Refuse the queued requests that cannot start in time any more."""
        for slot in self.slots.values():
            if not slot.admission.queued:
                continue
            with slot.lock:
                self._refuse_expired(slot, self._clock.now())

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return sum(slot.admission.queued for slot in self.slots.values())

    def loads(self) -> list[messages.EndpointLoad]:
        """Return the state of each endpoint for the agent's report."""
        return [self._load(name, slot) for name, slot in self.slots.items()]

    def drain(self, deadline: float) -> bool:
        """Wait until no request is running or queued.

        :returns: whether that was so before the deadline.
        """
        with self._idle:
            return clock.wait_for(
                self._idle, lambda: not self._active, deadline, self._clock
            )

    def _check(self, start: messages.Start) -> Slot:
        """Check a request against the configuration and this agent's state.

        :raises errors.GaprockError: a code of category *not run*.
        """
        now = self._clock.now()
        if self.leaving:
            raise errors.GaprockError(
                errorcodes.LEAVING, self._cfg.vm, now + LEAVING_RETRY_S
            )
        if start.deadline <= now:
            raise errors.GaprockError(errorcodes.DEADLINE_PAST)
        held_s = self._quarantine.held_for_s(start.fingerprint)
        if held_s:
            raise errors.GaprockError(errorcodes.HELD, start.endpoint, now + held_s)
        if not self._config.ready or start.revision > self._config.revision:
            raise errors.GaprockError(errorcodes.BEHIND, self._cfg.vm)
        self._config.check(
            start.workspace, start.template, start.version, start.in_session
        )
        if self._bills.is_full:
            raise errors.GaprockError(errorcodes.BILLS_FULL, self._cfg.vm)
        slot = self.slots.get(start.endpoint)
        if slot is not None:
            slot.endpoint.check_backoff()
        if slot is None or start.version not in slot.versions:
            raise errors.GaprockError(
                errorcodes.NO_ENDPOINT, f"{start.version} on {start.endpoint}"
            )
        return slot

    def _admit(self, slot: Slot, run: agent_run.Run) -> None:
        start = run.start
        workspace = self._config.workspace(start.workspace)
        now = self._clock.now()
        ticket = policy_api.Ticket(
            run,
            start.workspace,
            workspace.share if workspace else 1.0,
            start.priority,
            min(start.first_part_by, start.deadline),
            now,
        )
        run.ticket = ticket
        with self._idle:
            self._active += 1
        with slot.lock:
            verdict = slot.admission.offer(ticket, now)
            if verdict.queued:
                self._refuse_expired(slot, now)
        self._log_verdict(slot, run, verdict)
        if verdict.start:
            self._executor.submit(self._execute, slot, run)
        elif not verdict.queued:
            self._decrement_active(run)
            detail = (
                f"at {start.endpoint} {REFUSAL_DETAILS.get(verdict.reason, 'refused')}"
            )
            raise errors.GaprockError(errorcodes.OVERLOADED, detail, verdict.retry_at)

    def _log_verdict(
        self, slot: Slot, run: agent_run.Run, verdict: policy_api.Verdict
    ) -> None:
        choice = "start" if verdict.start else "queue" if verdict.queued else "refuse"
        self._metrics.incr(f"agent.admission.{choice}")
        eventlog.info(
            "admission",
            request=run.start.request,
            endpoint=run.start.endpoint,
            version=run.start.version,
            choice=choice,
            reason=verdict.reason,
            running=slot.admission.running,
            queued=slot.admission.queued,
            limit=slot.admission.limit,
        )

    def _refuse_expired(self, slot: Slot, now: float) -> None:
        for ticket in slot.admission.expired(now):
            run = typing.cast(agent_run.Run, ticket.attempt)
            detail = f"at {slot.endpoint.option.name} its turn did not come in time"
            retry_at = slot.admission.retry_at(now)
            self._refuse(
                run, errors.GaprockError(errorcodes.OVERLOADED, detail, retry_at)
            )
            self._decrement_active(run)

    def _execute(self, slot: Slot, run: agent_run.Run) -> None:
        """Run one request, then start the queued requests that may run now."""
        relay = agent_run.Relay(run, slot.endpoint, self._clock, self._cfg.max_resumes)
        exposed = slot.ends.begin(run.start.request, run.start.fingerprint)
        try:
            end = relay.execute()
        except Exception as exc:
            # Admission must learn of every end, or the place stays taken.
            eventlog.warning("run-failed", request=run.start.request, error=repr(exc))
            end = self._unknown_end(run)
        if isinstance(end, messages.End):
            end = self._judge_end(slot, run, exposed, end)
        self._finish_run(run, end)
        self._release(slot, run, end.code == errorcodes.ENDPOINT_REFUSED.number)

    def _judge_end(
        self,
        slot: Slot,
        run: agent_run.Run,
        exposed: agent_ends.ExposedRun,
        end: messages.End,
    ) -> messages.End:
        """Add to the end of a run which incarnation of its endpoint ended with it.

        This limits a poison request, which would crash one endpoint after the other,
        through all entries.
        """
        if end.code == errorcodes.OK:
            self._record_complete(slot, exposed)
            return end
        begun_s = -1.0
        if run.first_s >= 0:
            begun_s = self._clock.now() - run.called_at - run.first_s
        # Requests queue here rather than at the endpoint, so it was running this one.
        weight = suspicion.suspicion_weight(begun_s, may_wait=False)
        slot.ends.give_up(exposed, weight, end.code in CUT_CODES)
        if exposed not in self._find_ends(slot):
            return end
        return msgspec.structs.replace(
            end,
            ended_incarnation=exposed.incarnation.name,
            suspicion_weight=weight,
        )

    def _record_complete(self, slot: Slot, exposed: agent_ends.ExposedRun) -> None:
        living = slot.ends.complete(exposed)
        if self._quarantine.is_empty:
            return
        if living:
            self._quarantine.withdraw_crash(living)
        self._quarantine.clear(exposed.fingerprint)

    def check_ends(self) -> None:
        """Look for endpoints that ended after runs had been given up."""
        for slot in self.slots.values():
            self._find_ends(slot)

    def _find_ends(self, slot: Slot) -> list[agent_ends.ExposedRun]:
        """Record and return the runs whose endpoint has ended meanwhile."""
        found = slot.ends.find()
        for one in found:
            eventlog.info(
                "request-suspected",
                request=one.request,
                mark=f"{one.fingerprint:016x}",
                endpoint=slot.endpoint.option.name,
                incarnation=one.incarnation.name,
                ended_s=self._clock.now() - one.ended_at,
                weight=one.weight,
            )
            self._quarantine.record_crash(
                one.fingerprint, one.incarnation.name, one.weight
            )
        return found

    def _finish_run(
        self, run: agent_run.Run, end: messages.End | messages.Refused
    ) -> None:
        if (
            isinstance(end, messages.End)
            and end.bill is not None
            and not run.is_superseded
        ):
            self._bills.hold(end.bill, [run.peer_name], clock.NEVER)
        run.finish(end)
        eventlog.info(
            "run-end",
            request=run.start.request,
            version=run.start.version,
            code=end.code,
            parts=run.count,
            first_ms=run.first_s * 1000,
        )

    def _release(self, slot: Slot, run: agent_run.Run, refused: bool) -> None:
        assert run.ticket is not None
        # The time to an unstreamed answer depends on its length, not the load.
        first_s = run.first_s if run.start.stream else -1.0
        result = policy_api.RunResult(first_s, refused)
        with slot.lock:
            now = slot.last_ended_at = self._clock.now()
            started = slot.admission.finished(run.ticket, result, now)
            self._refuse_expired(slot, now)
        for ticket in started:
            next_run = typing.cast(agent_run.Run, ticket.attempt)
            self._executor.submit(self._execute, slot, next_run)
        self._decrement_active(run)

    def _unknown_end(self, run: agent_run.Run) -> messages.End:
        code = errorcodes.OUTCOME_UNKNOWN.number
        return messages.End(
            run.start.attempt, run.count, code, "agent fault", 0, "", -1.0, None
        )

    def _refuse(self, run: agent_run.Run, exc: errors.GaprockError) -> None:
        run.finish(
            messages.Refused(
                run.start.attempt, exc.code.number, exc.detail, exc.retry_at
            )
        )

    def _decrement_active(self, run: agent_run.Run) -> None:
        with self._idle:
            self._active -= 1
            self._idle.notify_all()

    def _load(self, name: str, slot: Slot) -> messages.EndpointLoad:
        admission = slot.admission
        return messages.EndpointLoad(
            name,
            slot.endpoint.option.kind,
            slot.versions,
            admission.running,
            admission.queued,
            admission.limit,
            slot.load.running,
            self._service_s(slot),
            slot.load.memory_free,
        )

    def _service_s(self, slot: Slot) -> float:
        """Return the mean time of a run; it decays while no run ends.

        An endpoint that has had no run reports 0, so that it gets requests.
        """
        if not slot.last_ended_at:
            return 0.0
        idle_s = self._clock.now() - slot.last_ended_at
        return slot.admission.service_s * math.exp2(-idle_s / SERVICE_HALF_LIFE_S)
