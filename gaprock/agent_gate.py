"""The gate before an agent's endpoints: what may run there, and when.

The last check before an endpoint is made here, by the newest configuration that
either the entry or this agent knows.  What passes is admitted, queued or refused
by the endpoint's admission plug-in, and run on a thread of its own.
"""

import math
import threading
import typing
from concurrent import futures

import msgspec
import urllib3

from gaprock import (
    agent_endpoint,
    agent_run,
    bills,
    clock,
    config,
    errorcodes,
    errors,
    eventlog,
    ids,
    messages,
    metrics,
    options,
    plugin,
    policy_api,
    quarantine,
)

# An endpoint whose load report failed so often takes nothing new.
MAX_LOAD_FAILURES: typing.Final = 2
LEAVING_RETRY_S: typing.Final = 1.0
# What a refusal by admission says to the caller, by the verdict's reason.
REASONS: typing.Final = {
    "deadline": "the time for its first part had passed",
    "too-late": "its turn would come too late",
    "queue": "the queue is full",
}
# Ends of a run whose answer broke off.
CUT_CODES: typing.Final = frozenset(
    (errorcodes.OUTCOME_UNKNOWN.number, errorcodes.STREAM_CUT.number)
)
# Tells the lives that this process saw from those that an earlier one did.
_START: typing.Final = ids.new_token()
# The reported time of a run halves for each such time without a run, seconds, so
# that an endpoint that was slow once is tried again.
SERVICE_HALF_LIFE_S: typing.Final = 5.0


class Slot:
    """One endpoint with its admission and its last reported load."""

    __slots__ = (
        "endpoint",
        "admission",
        "lock",
        "load",
        "failures",
        "order_lock",
        "ended_at",
        "_lives",
        "_is_gone",
    )

    def __init__(
        self, endpoint: agent_endpoint.Endpoint, admission: policy_api.Admission
    ) -> None:
        self.endpoint = endpoint
        self.admission = admission
        self.lock = threading.Lock()
        self.load = agent_endpoint.EngineLoad()
        self.failures = MAX_LOAD_FAILURES
        # When a run ended last; 0 before the first one.
        self.ended_at = 0.0
        # The present life of the endpoint, and whether it was seen to have ended.
        self._lives = 0
        self._is_gone = False
        # Orders to one endpoint are carried out one after the other.
        self.order_lock = threading.Lock()

    @property
    def versions(self) -> list[str]:
        """The versions that the endpoint answers for now."""
        if self.failures >= MAX_LOAD_FAILURES:
            return []
        if self.endpoint.is_backing_off:
            return []
        return self.endpoint.option.versions or self.load.versions

    def refresh(self) -> None:
        """Read the endpoint's load report."""
        try:
            self.load = self.endpoint.load()
            self.failures = 0
            self._is_gone = False
            with self.lock:
                self.admission.hint(self.load.slots)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            self.failures += 1
            if self.failures == MAX_LOAD_FAILURES:
                eventlog.warning("endpoint-down", endpoint=self.endpoint.option.name)

    def ended_incarnation(self) -> str:
        """Look whether the endpoint has ended, and name the life that did; or empty."""
        if not self._is_gone:
            if self.endpoint.takes_connections():
                return ""
            with self.lock:
                if not self._is_gone:
                    self._is_gone = True
                    self._lives += 1
        return f"{self.endpoint.option.name}@{_START}.{self._lives}"


class Gate:
    """The endpoints of one agent; safe for all threads."""

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
        self.slots = {
            option.name: Slot(
                agent_endpoint.Endpoint(option, cfg, clock_),
                plugin.find(policy_api.Admission, cfg.admission)(
                    cfg.max_running, cfg.max_queued
                ),
            )
            for option in cfg.endpoints
        }
        workers = cfg.max_running * max(1, len(self.slots)) + 8
        self._executor = futures.ThreadPoolExecutor(workers, "run")
        self._active = 0
        self._idle = threading.Condition()

    def take(self, run: agent_run.Run) -> None:
        """Check and admit a request; a refusal is posted at once."""
        try:
            slot = self._check(run.start)
            self._offer(slot, run)
        except errors.GaprockError as exc:
            self._refuse(run, exc)

    def cancel(self, run: agent_run.Run, is_superseded: bool = False) -> None:
        """Nobody waits for the run any more."""
        run.is_superseded = run.is_superseded or is_superseded
        run.cancel()
        slot = self.slots.get(run.start.endpoint)
        if slot is None or run.ticket is None:
            return
        with slot.lock:
            dropped = slot.admission.drop(run.ticket)
        if dropped:
            self._ended(run)

    def expire(self) -> None:
        """Refuse the queued requests that can no longer be in time."""
        for slot in self.slots.values():
            if not slot.admission.queued:
                continue
            with slot.lock:
                self._refuse_expired(slot, self._clock.now())

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return sum(slot.admission.queued for slot in self.slots.values())

    def loads(self) -> list[messages.EndpointLoad]:
        """Give the state of each endpoint for the heartbeat."""
        return [self._load(name, slot) for name, slot in self.slots.items()]

    def drain(self, deadline: float) -> bool:
        """Wait until nothing runs.

        :returns: whether everything ended before the deadline.
        """
        with self._idle:
            return clock.wait_for(
                self._idle, lambda: not self._active, deadline, self._clock
            )

    def _check(self, start: messages.Start) -> Slot:
        """Check a request against everything known here.

        :raises errors.GaprockError: a code of category *not run*.
        """
        now = self._clock.now()
        if self.leaving:
            raise errors.GaprockError(
                errorcodes.LEAVING, self._cfg.vm, now + LEAVING_RETRY_S
            )
        if start.deadline <= now:
            raise errors.GaprockError(errorcodes.DEADLINE_PAST)
        held_s = self._quarantine.held_for_s(start.mark)
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

    def _offer(self, slot: Slot, run: agent_run.Run) -> None:
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
            self._ended(run)
            detail = f"at {start.endpoint} {REASONS.get(verdict.reason, 'refused')}"
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
            self._ended(run)

    def _execute(self, slot: Slot, run: agent_run.Run) -> None:
        """Run one request, then start those whose turn it is."""
        relay = agent_run.Relay(run, slot.endpoint, self._clock, self._cfg.max_resumes)
        try:
            end = relay.execute()
        except Exception as exc:
            # The run's slot must come free whatever happens.
            eventlog.warning("run-failed", request=run.start.request, error=repr(exc))
            end = self._unknown_end(run)
        if isinstance(end, messages.End):
            end = self._blame(slot, run, end)
        self._conclude(run, end)
        self._free(slot, run, end.code == errorcodes.ENDPOINT_REFUSED.number)

    def _blame(self, slot: Slot, run: agent_run.Run, end: messages.End) -> messages.End:
        """Say in the end of a run whether its endpoint ended under it.

        Guards against a request that ends each endpoint that runs it, one after the
        other, through all entries.
        """
        if end.code not in CUT_CODES:
            return end
        begun_s = -1.0
        if run.first_s >= 0:
            begun_s = self._clock.now() - run.called_at - run.first_s
        # What has to wait does so here, so that what an endpoint has, it runs.
        weight = quarantine.suspicion_weight(begun_s, may_wait=False)
        life = slot.ended_incarnation() if weight else ""
        if not life:
            return end
        eventlog.info(
            "request-suspected",
            request=run.start.request,
            mark=f"{run.start.mark:016x}",
            endpoint=run.start.endpoint,
            weight=weight,
        )
        return msgspec.structs.replace(end, ended_incarnation=life, weight=weight)

    def _conclude(
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

    def _free(self, slot: Slot, run: agent_run.Run, refused: bool) -> None:
        assert run.ticket is not None
        # A whole answer's time tells of its length rather than of the load.
        first_s = run.first_s if run.start.stream else -1.0
        result = policy_api.RunResult(first_s, refused)
        with slot.lock:
            now = slot.ended_at = self._clock.now()
            started = slot.admission.finished(run.ticket, result, now)
            self._refuse_expired(slot, now)
        for ticket in started:
            next_run = typing.cast(agent_run.Run, ticket.attempt)
            self._executor.submit(self._execute, slot, next_run)
        self._ended(run)

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

    def _ended(self, run: agent_run.Run) -> None:
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
        """Give the mean time of a run, forgotten while none ends.

        An endpoint without runs reports 0, so that it gets some.
        """
        if not slot.ended_at:
            return 0.0
        idle_s = self._clock.now() - slot.ended_at
        return slot.admission.service_s * math.exp2(-idle_s / SERVICE_HALF_LIFE_S)
