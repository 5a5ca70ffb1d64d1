"""Dispatch of a call to an endpoint, with retries on others.

A call that an endpoint refused as *not run* is retried on another endpoint within the
retry budget.  An attempt whose outcome is unknown is retried only if the call is
repeatable.
"""

import random
import threading
import typing

from gaprock import (
    answers,
    clock,
    config,
    decisions,
    entry_attempt,
    entry_budget,
    entry_call,
    entry_judge,
    entry_link,
    entry_links,
    errorcodes,
    errors,
    messages,
    metrics,
    options,
    policy_api,
    quarantine,
)

NO_ENDPOINT_RETRY_S: typing.Final = 1.0
# Refusals that do not indicate load; retrying after them costs no retry budget.
UNBUDGETED_CODES: typing.Final = (
    errorcodes.LEAVING,
    errorcodes.BEHIND,
    errorcodes.ENDPOINT_UNREACHABLE,
)
MAX_UNBUDGETED_RETRIES: typing.Final = 8
# How long, and at which interval, an endpoint whose agent lacks a revision is tried
# again; the agent gets the missing delta within a few milliseconds.
BEHIND_WAIT_S: typing.Final = 1.0
BEHIND_RECHECK_S: typing.Final = 0.02
# Refusals after which another endpoint may still run the call.
RETRIABLE_CODES: typing.Final = (
    *UNBUDGETED_CODES,
    errorcodes.OVERLOADED,
    errorcodes.ENDPOINT_REFUSED,
    errorcodes.NO_ENDPOINT,
    errorcodes.BILLS_FULL,
    errorcodes.NOT_READY,
)
# Waited beyond a deadline, so that the agent's own answer about it arrives first.
DEADLINE_GRACE_S: typing.Final = 0.25


class StartedAttempt(typing.NamedTuple):
    """An attempt whose first part or end has arrived, and its link."""

    link: entry_link.AgentLink
    attempt: entry_attempt.Attempt


class Progress:
    """The state of a request over all its attempts."""

    __slots__ = ("lines", "owners", "last_answer", "version")

    def __init__(self) -> None:
        self.lines: list[messages.BillLine] = []
        # Addresses of the agents that keep a copy of the bill.
        self.owners: list[str] = []
        # The last complete answer, and the version that gave it.
        self.last_answer: answers.Answer | None = None
        self.version = ""

    def record_bill(self, bill: messages.Bill | None, owner: str) -> None:
        """Record an attempt's bill, which includes the lines of earlier attempts."""
        if bill is not None:
            self.lines = bill.lines
            self.owners.append(owner)


class Dispatcher:
    """Sends calls to endpoints; thread-safe."""

    __slots__ = (
        "_cfg",
        "_clock",
        "_config",
        "_links",
        "_judge",
        "_routing",
        "_decisions",
        "_metrics",
        "_quarantine",
        "_rng",
        "budget",
    )

    def __init__(
        self,
        cfg: options.Options,
        clock_: clock.Clock,
        config_: config.Config,
        links: entry_links.Links,
        judge: entry_judge.Judge,
        routing: policy_api.Routing,
        decisions_: decisions.Decisions,
        metrics_: metrics.Metrics,
        quarantine_: quarantine.Quarantine,
    ) -> None:
        self._cfg = cfg
        self._clock = clock_
        self._config = config_
        self._links = links
        self._judge = judge
        self._routing = routing
        self._decisions = decisions_
        self._metrics = metrics_
        self._quarantine = quarantine_
        self._rng = random.Random()
        self.budget = entry_budget.RetryBudget(cfg.retry_share)

    def start(
        self, call: entry_call.Call, version: str, progress: Progress
    ) -> StartedAttempt:
        """Start the call on an endpoint; after *not run*, retry it on others.

        :raises errors.GaprockError: the refusal to report, or a failure that leaves
            the outcome unknown and allows no retry.
        """
        self.budget.record_first()
        excluded: set[str] = set()
        behind: set[str] = set()
        behind_until = min(call.deadline, self._clock.now() + BEHIND_WAIT_S)
        unbudgeted_retries = 0
        refusal: errors.GaprockError | None = None
        while True:
            self._refuse_held(call, refusal)
            candidate = self._route(call, version, excluded)
            if candidate is None and behind and self._clock.now() < behind_until:
                # The endpoints left lack only a revision that is on its way to them.
                # Without this wait, each change in a deployment with one agent would
                # refuse the requests that arrive at that moment.
                threading.Event().wait(BEHIND_RECHECK_S)
                excluded -= behind
                behind.clear()
                continue
            if candidate is None:
                raise refusal or self.no_endpoint(version)
            try:
                return self._attempt(call, version, candidate, progress)
            except errors.GaprockError as exc:
                excluded.add(candidate.name)
                refusal = _refusal_to_report(refusal, exc)
                if exc.code is errorcodes.BEHIND:
                    behind.add(candidate.name)
                elif (
                    exc.code in UNBUDGETED_CODES
                    and unbudgeted_retries < MAX_UNBUDGETED_RETRIES
                ):
                    unbudgeted_retries += 1
                elif not self._may_retry(call, exc):
                    raise refusal
                self._metrics.incr("entry.retries")

    def _refuse_held(
        self, call: entry_call.Call, refusal: errors.GaprockError | None
    ) -> None:
        """Refuse a call whose request is in quarantine for ending its endpoints.

        :param refusal: the refusal to report for its sends so far, if any.
        """
        if self._quarantine.is_empty:
            return
        held_s = self._quarantine.held_for_s(call.fingerprint)
        if held_s:
            held = errors.GaprockError(
                errorcodes.HELD,
                f"mark {call.fingerprint:016x}",
                self._clock.now() + held_s,
            )
            raise _refusal_to_report(refusal, held)

    def _route(
        self,
        call: entry_call.Call,
        version: str,
        excluded: set[str],
    ) -> policy_api.Candidate | None:
        candidates = self._links.candidates(version, call.prefix, excluded)
        chosen = self._routing.choose(candidates, self._rng)
        self._decisions.log(
            "route",
            call.request,
            version=version,
            candidates=",".join(c.name for c in candidates),
            ruled_out=",".join(f"{name}:refused" for name in sorted(excluded)),
            choice=chosen.name if chosen else "none",
        )
        return chosen

    def _attempt(
        self,
        call: entry_call.Call,
        version: str,
        candidate: policy_api.Candidate,
        progress: Progress,
    ) -> StartedAttempt:
        """Send the call to one endpoint and wait for the first part or the end."""
        link = self._links.get(candidate.agent)
        if link is None:
            raise errors.GaprockError(errorcodes.ENDPOINT_UNREACHABLE, candidate.name)
        # A suspended process may resume here long after the endpoint was chosen.
        if call.deadline <= self._clock.now():
            raise errors.GaprockError(errorcodes.DEADLINE_PAST)
        attempt = link.open(self._message(call, version, candidate, progress))
        self._links.record_prefix(call.prefix, candidate.name)
        try:
            attempt.wait_first(call.deadline + DEADLINE_GRACE_S, self._clock)
        except errors.GaprockError as exc:
            self._record_failure(call, version, attempt, progress, link)
            link.close(attempt, is_superseded=self._is_retriable(call, exc))
            raise
        return StartedAttempt(link, attempt)

    def _record_failure(
        self,
        call: entry_call.Call,
        version: str,
        attempt: entry_attempt.Attempt,
        progress: Progress,
        link: entry_link.AgentLink,
    ) -> None:
        end = attempt.outcome
        if end is not None:
            self._judge.record_outcome(call.template, version, end, call.raw, None)
            progress.record_bill(end.bill, link.address)

    def _message(
        self,
        call: entry_call.Call,
        version: str,
        candidate: policy_api.Candidate,
        progress: Progress,
    ) -> messages.Start:
        costs = {c.version: c.cost for c in call.template.versions}
        return messages.Start(
            attempt=0,
            request=call.request,
            workspace=call.workspace,
            template=call.template.name,
            version=version,
            endpoint=candidate.name,
            revision=self._config.revision,
            in_session=call.session is not None,
            deadline=call.deadline,
            first_part_by=call.first_part_by,
            priority=call.template.priority,
            stream=call.stream,
            repeatable=call.template.repeatable,
            bill_key=call.bill_key,
            cost=costs.get(version, 0.0),
            earlier_lines=progress.lines,
            window=self._cfg.window,
            path=call.path,
            body=call.body_for(version),
            fingerprint=call.fingerprint,
        )

    def _is_retriable(self, call: entry_call.Call, exc: errors.GaprockError) -> bool:
        """Whether this kind of failure allows a retry."""
        if exc.not_run:
            return exc.code in RETRIABLE_CODES
        lost = exc.code is errorcodes.OUTCOME_UNKNOWN
        return lost and call.template.repeatable

    def _may_retry(self, call: entry_call.Call, exc: errors.GaprockError) -> bool:
        in_time = self._clock.now() < call.deadline
        return in_time and self._is_retriable(call, exc) and self.budget.spend_retry()

    def no_endpoint(self, detail: str) -> errors.GaprockError:
        retry_at = self._clock.now() + NO_ENDPOINT_RETRY_S * (1 + self._rng.random())
        return errors.GaprockError(errorcodes.NO_ENDPOINT, detail, retry_at)


def _refusal_to_report(
    old: errors.GaprockError | None, new: errors.GaprockError
) -> errors.GaprockError:
    """Return the refusal to report.

    An unknown outcome takes precedence; of two refusals the one with the earlier
    retry time, else the newer one.
    """
    if old is None or not new.not_run:
        return new
    if not old.not_run:
        return old
    if old.retry_at and (not new.retry_at or old.retry_at < new.retry_at):
        return old
    return new
