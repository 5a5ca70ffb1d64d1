"""Records the events of a soak test and checks them against the guarantees.

``Ledger`` records what callers, endpoints and the operator do and see; ``Judge`` checks
the record after the run.  A guarantee with a time limit is checked only for calm spans:
those in which, and shortly before which, no unplanned disruption affected the gateway,
the store or the endpoints.
"""

import collections
import math
import threading
import time
import typing

from gaprock.test import budgetcase

# A disruption still counts for this time after its end.
CALM_AFTER_S: typing.Final = 4.0
# Slack of all time limits, since a soak test keeps its machine busy.
SLACK_S: typing.Final = 2.0
# An answer that breaks off after this time may have reached its caller's deadline.
CUT_WITHIN_S: typing.Final = 3.8
# Once the poison request has crashed ``POISON_CRASHES`` endpoints, at most
# ``MAX_LATE_POISON`` further sends of it may arrive later than ``POISON_KNOWN_S``.
POISON_CRASHES: typing.Final = 3
# The same for requests that share a poison segment.
SEGMENT_CRASHES: typing.Final = 5
MAX_LATE_POISON: typing.Final = 3
POISON_KNOWN_S: typing.Final = 3.0
# The kind of requests that are streams; they have a service of their own.
STREAM: typing.Final = "gen"
# Statuses that guarantee that a request has not run and will not run.
NOT_RUN: typing.Final = frozenset((408, 421, 429, 503))
# The target of a disruption that affects all gateways.
ALL: typing.Final = "all"


# A rate limit is checked from this time after it was named on, in windows of this
# length, with a tolerance of a few requests.
LIMIT_KNOWN_S: typing.Final = 3.0
LIMIT_WINDOW_S: typing.Final = 4.0
LIMIT_SLACK: typing.Final = 5
# The number of requests that a gateway may send to an endpoint within its backoff, not
# counting those that were in transit, which arrive within ``IN_TRANSIT_S``.
MAX_IN_BACKOFF: typing.Final = 2
IN_TRANSIT_S: typing.Final = 0.5


class CallResult(typing.NamedTuple):
    """The result of a caller's request.

    :param gateway: the incarnation of the gateway that received it: ``g1#2``.
    :param status: 0 if no response head arrived.
    :param is_complete: whether the response ended as the protocol requires.
    :param is_correct: whether the body is the expected answer.
    :param events: numbers of the events of a stream.
    """

    request: str
    kind: str
    key: str
    gateway: str
    sent_at: float
    ended_at: float
    deadline: float
    status: int
    is_complete: bool
    is_correct: bool
    events: tuple[int, ...]


class Run(typing.NamedTuple):
    """A request that an endpoint ran.

    :param leaked_key: whether the caller's API key reached the endpoint.
    :param body_matches: whether the body arrived unchanged.
    """

    request: str
    kind: str
    endpoint: str
    at: float
    workspace: str
    leaked_key: bool
    body_matches: bool


class Disruption(typing.NamedTuple):
    """A fault or planned work.

    :param planned: whether guarantees hold through it, as for a planned stop.
    :param target: the name of the gateway that it affected, or ``ALL``.
    """

    what: str
    target: str
    planned: bool
    start: float
    end: float


class EndpointStart(typing.NamedTuple):
    """The start of an endpoint, and the end of its warm-up."""

    hall: str
    at: float
    warm_at: float


class Cordon(typing.NamedTuple):
    """A hall that the operator cordoned, and when the order was withdrawn."""

    hall: str
    at: float
    withdrawn_at: float


class LimitPeriod(typing.NamedTuple):
    """A period in which an endpoint named a rate limit.

    :param per_s: the limit, requests a second.
    """

    endpoint: str
    per_s: float
    at: float
    until: float


class Announcement(typing.NamedTuple):
    """An answer in which an endpoint asked for a backoff or announced its departure.

    :param request: the request that it answered.
    :param backoff_s: the backoff; 0 for a departure.
    """

    endpoint: str
    request: str
    at: float
    backoff_s: float


class Arrival(typing.NamedTuple):
    """The arrival of a request at an endpoint."""

    request: str
    at: float


class Ledger:
    """The record of a run; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.results: list[CallResult] = []
        self.runs: list[Run] = []
        self.disruptions: list[Disruption] = []
        # When the operator revoked and added keys, by key, and when endpoints began to
        # leave, by name.
        self.revoked: dict[str, float] = {}
        self.added: dict[str, float] = {}
        self.leaving: dict[str, float] = {}
        self.sent: dict[str, str] = {}
        self.sent_at: dict[str, float] = {}
        self.poison_crashes = POISON_CRASHES
        # When the poison request reached an endpoint, and the id that it had.
        self.poisoned: list[tuple[float, str]] = []

        # Endpoints and arrivals of requests by the endpoint's name, and cordoned halls.
        self.starts: dict[str, EndpointStart] = {}
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self.cordons: list[Cordon] = []
        self.limit_periods: list[LimitPeriod] = []
        # Backoffs and departures, and the requests that arrived at each endpoint.
        self.announcements: list[Announcement] = []
        self.requests: dict[str, list[Arrival]] = collections.defaultdict(list)

    def add_endpoint(self, name: str, hall: str, at: float, warm_at: float) -> None:
        """Record the start of an endpoint."""
        with self._lock:
            self.starts[name] = EndpointStart(hall, at, warm_at)

    def record_arrival(self, endpoint: str, request: str) -> None:
        """Record the arrival of a request at an endpoint."""
        with self._lock:
            self.arrivals[endpoint].append(self.now())
            self.requests[endpoint].append(Arrival(request, self.now()))

    def now(self) -> float:
        """The time of the soak test's clock."""
        return time.monotonic()

    def record_sent(self, request: str, kind: str) -> None:
        """Record a request that is about to be sent."""
        with self._lock:
            self.sent[request] = kind
            self.sent_at[request] = self.now()

    def add(self, item: CallResult | Run | Disruption) -> None:
        """Record a result, a run or a disruption."""
        with self._lock:
            if isinstance(item, CallResult):
                self.results.append(item)
            elif isinstance(item, Run):
                self.runs.append(item)
            else:
                self.disruptions.append(item)

    def summary(self) -> str:
        """Return counts of requests, runs and disruptions for the output."""
        answered = sum(
            result.status == 200 and result.is_complete for result in self.results
        )
        refused = sum(result.status in NOT_RUN for result in self.results)
        names = collections.Counter(d.what for d in self.disruptions)
        faults = ", ".join(f"{name} {count}" for name, count in sorted(names.items()))
        return (
            f"{len(self.results)} requests, {answered} answered, {refused} refused, "
            f"{len(self.runs)} runs; {faults}"
        )

    def was_delayed(self, gateway: str, start: float, end: float) -> bool:
        """Whether a gateway was paused or a proxy delayed its requests in a span."""
        name = gateway.partition("#")[0]
        return any(
            d.start <= end and d.end >= start
            for d in self.disruptions
            if (d.what == "pause" and d.target == name) or d.what.startswith("relay")
        )

    def replace(self, old: Disruption, new: Disruption) -> None:
        """Replace a disruption, to record its end."""
        with self._lock:
            self.disruptions.remove(old)
            self.disruptions.append(new)

    def is_calm(
        self, gateway: str, start: float, end: float, ignored: str = ""
    ) -> bool:
        """Whether no unplanned disruption affected a gateway in or just before a span.

        :param ignored: a kind of disruption that does not count.
        """
        name = gateway.partition("#")[0]
        return not any(
            d.start <= end and d.end + CALM_AFTER_S >= start
            for d in self.disruptions
            if not d.planned and d.target in (ALL, name) and d.what != ignored
        )


class Judge:
    """Checks a record against the guarantees.

    :param drain_s: time after which a leaving endpoint gets no more requests.
    :param config_s: time within which a change is in force.
    :param cordon_s: time after which a cordoned hall gets no more requests.
    :param cold_per_s: most requests a second to an endpoint that warms up; 0 for
        no limit.
    :param budget: the retry budget of each service; ``None`` to leave it unchecked.
    """

    def __init__(
        self,
        ledger: Ledger,
        drain_s: float,
        config_s: float,
        cordon_s: float = math.inf,
        cold_per_s: int = 0,
        budget: budgetcase.Rule | None = None,
    ) -> None:
        self._budget = budget
        self._ledger = ledger
        self._cordon_s = cordon_s
        self._cold_per_s = cold_per_s
        self._drain_s = drain_s
        # Time within which a gateway without faults has a change in force.
        self._known_s = config_s + SLACK_S
        self._results = {t.request: t for t in ledger.results}
        self._runs: dict[str, list[Run]] = {}
        for run in ledger.runs:
            self._runs.setdefault(run.request, []).append(run)

    def violations(self) -> list[str]:
        """Return a line for each violation of a guarantee."""
        checks = (
            self._unrequested_runs,
            self._repeated_runs,
            self._false_refusals,
            self._wrong_answers,
            self._cut_answers,
            self._late_answers,
            self._leaving_endpoints,
            self._revoked_keys,
            self._added_keys,
            self._poison,
            self._cordoned_halls,
            self._warm_ups,
            self._rate_limits,
            self._announcements,
            self._retry_budgets,
        )
        return [line for check in checks for line in check()]

    def _unrequested_runs(self) -> typing.Iterator[str]:
        for run in self._ledger.runs:
            if self._ledger.sent.get(run.request) != run.kind:
                yield f"unasked: {run.endpoint} ran {run.request} as {run.kind}"
            elif run.workspace != "ws" or run.leaked_key or not run.body_matches:
                yield f"changed: {run.endpoint} ran {run}"

    def _repeated_runs(self) -> typing.Iterator[str]:
        for request, runs in self._runs.items():
            if runs[0].kind == "unsafe" and len(runs) > 1:
                yield f"twice: {request} on {[run.endpoint for run in runs]}"

    def _false_refusals(self) -> typing.Iterator[str]:
        for result in self._ledger.results:
            ran = result.request in self._runs
            # A repeatable request may be refused after a run that failed.
            if result.status in NOT_RUN and ran and result.kind == "unsafe":
                yield f"false refusal: {result.request} got {result.status}, and ran"

    def _wrong_answers(self) -> typing.Iterator[str]:
        for result in self._ledger.results:
            if result.status != 200:
                continue
            numbers = list(result.events)
            if numbers != list(range(1, len(numbers) + 1)):
                yield f"out of order: {result.request} got events {numbers}"
            if result.is_complete and not result.is_correct:
                yield f"wrong answer: {result}"

    def _cut_answers(self) -> typing.Iterator[str]:
        for result in self._ledger.results:
            if (
                result.is_complete
                or result.status in NOT_RUN
                or result.request not in self._runs
            ):
                continue
            if result.ended_at - result.sent_at >= CUT_WITHIN_S:
                continue
            if self._ledger.is_calm(result.gateway, result.sent_at, result.ended_at):
                yield f"cut: {result}"

    def _late_answers(self) -> typing.Iterator[str]:
        for result in self._ledger.results:
            if result.ended_at <= result.deadline + SLACK_S:
                continue
            if self._ledger.is_calm(result.gateway, result.sent_at, result.ended_at):
                yield f"late: {result}"

    def _leaving_endpoints(self) -> typing.Iterator[str]:
        for run in self._ledger.runs:
            left = self._ledger.leaving.get(run.endpoint, run.at)
            result = self._results.get(run.request)
            if run.at - left <= self._drain_s + SLACK_S or result is None:
                continue
            if self._ledger.is_calm(result.gateway, left, run.at):
                after_s = run.at - left
                yield f"leaving: {run.endpoint} got {run.request} {after_s:.1f} s on"

    def _revoked_keys(self) -> typing.Iterator[str]:
        """Find revoked keys that were served late, or again after a refusal."""
        refused: dict[tuple[str, str], float] = {}
        for result in sorted(self._ledger.results, key=lambda t: t.sent_at):
            revoked_at = self._ledger.revoked.get(result.key)
            if revoked_at is None:
                continue
            who = result.gateway, result.key
            # A refusal of a key that was added and not yet known is no revocation.
            added_at = self._ledger.added.get(result.key, -math.inf)
            if result.status == 401 and result.sent_at > added_at + self._known_s:
                refused.setdefault(who, result.ended_at)
            elif result.status == 200 and result.sent_at > refused.get(
                who, result.sent_at
            ):
                yield f"went back: {result}"
            if self._is_in_force(result, revoked_at) and result.request in self._runs:
                yield f"revoked key served: {result}"

    def _added_keys(self) -> typing.Iterator[str]:
        """Find new keys that were refused late."""
        for result in self._ledger.results:
            added_at = self._ledger.added.get(result.key)
            if result.status != 401 or added_at is None:
                continue
            if result.key not in self._ledger.revoked and self._is_in_force(
                result, added_at
            ):
                yield f"added key refused: {result}"

    def _poison(self) -> typing.Iterator[str]:
        """Find late sends of a request that crashed three endpoints."""
        sends = self._ledger.poisoned
        crashes = self._ledger.poison_crashes
        if len(sends) < crashes:
            return
        known_at = sends[crashes - 1][0] + POISON_KNOWN_S + SLACK_S
        late = [(at, request) for at, request in sends if at > known_at]
        late = [
            (at, request)
            for at, request in late
            if request in self._results
            and self._ledger.is_calm(
                self._results[request].gateway, at - POISON_KNOWN_S, at, "poison"
            )
        ]
        if len(late) > MAX_LATE_POISON:
            yield f"poison: {len(late)} sends later than 3 s, of {len(sends)}: {late}"

    def _cordoned_halls(self) -> typing.Iterator[str]:
        """Find cordoned halls that got requests late."""
        for run in self._ledger.runs:
            result, start = self._results.get(run.request), self._ledger.starts
            for hall, at, withdrawn_at in self._ledger.cordons:
                is_there = run.endpoint in start and start[run.endpoint].hall == hall
                known_at = at + self._cordon_s + SLACK_S
                if (
                    result is None
                    or not is_there
                    or not known_at < run.at < withdrawn_at
                ):
                    continue
                if self._ledger.is_calm(result.gateway, at, run.at):
                    yield f"emptied: {run.endpoint} in {hall} got {run.request}"

    def _warm_ups(self) -> typing.Iterator[str]:
        """Find endpoints that got more requests than allowed while they warmed up."""
        for name, start in self._ledger.starts.items() if self._cold_per_s else ():
            times = [t for t in self._ledger.arrivals[name] if t < start.warm_at]
            most = max(
                (sum(t <= other < t + 1.0 for other in times) for t in times), default=0
            )
            if most > self._cold_per_s:
                yield f"not warm: {name} got {most} in a second, of {self._cold_per_s}"

    def _rate_limits(self) -> typing.Iterator[str]:
        """Find endpoints that exceeded 1.5 times the named rate and a few requests.

        The requests of all gateways count together.
        """
        for name, per_s, at, until in self._ledger.limit_periods:
            most = 1.5 * per_s * LIMIT_WINDOW_S + LIMIT_SLACK
            known_at = at + LIMIT_KNOWN_S
            times = [t for t in self._ledger.arrivals[name] if known_at <= t < until]
            for first in times:
                count = sum(first <= t < first + LIMIT_WINDOW_S for t in times)
                if count > most:
                    yield f"rate limit: {name} got {count} at {per_s} a second"
                    break

    def _announcements(self) -> typing.Iterator[str]:
        """Find gateways that sent requests during a backoff or after a departure.

        This holds through all disruptions, except those that delay requests.
        """
        for notice in self._ledger.announcements:
            answered = self._results.get(notice.request)
            if answered is None:
                continue
            since, until = notice.at + self._drain_s, math.inf
            allowed = 0
            if notice.backoff_s:
                since, until = (
                    notice.at + IN_TRANSIT_S,
                    notice.at + notice.backoff_s,
                )
                allowed = MAX_IN_BACKOFF
            late = [
                arrival
                for arrival in self._ledger.requests[notice.endpoint]
                if since < arrival.at < until
                and self._gateway_of(arrival.request) == answered.gateway
                and not self._ledger.was_delayed(
                    answered.gateway, notice.at, arrival.at
                )
            ]
            if len(late) > allowed:
                yield f"not heeded: {notice} told {answered.gateway}, which sent {late}"

    def _retry_budgets(self) -> typing.Iterator[str]:
        """Find services that got more repeats than allowed in some window.

        This holds through all disruptions.
        """
        arrivals: dict[str, list[float]] = collections.defaultdict(list)
        for found in self._ledger.requests.values():
            for arrival in found:
                arrivals[arrival.request].append(arrival.at)
        for is_stream in (True, False) if self._budget is not None else ():
            of_service = [
                request
                for request, kind in self._ledger.sent.items()
                if (kind == STREAM) is is_stream
            ]
            requests = [self._ledger.sent_at[request] for request in of_service]
            repeats = [at for r in of_service for at in sorted(arrivals[r])[1:]]
            excess = self._budget.excess(requests, repeats) if self._budget else 0.0
            if excess > 0.0:
                name = "streams" if is_stream else "plain requests"
                yield f"retry budget: {excess:.1f} repeats of {name} too many"

    def _gateway_of(self, request: str) -> str:
        result = self._results.get(request)
        return result.gateway if result is not None else ""

    def _is_in_force(self, result: CallResult, changed_at: float) -> bool:
        """Whether a change must be in force for a request.

        Only disruptions in the time that a gateway has for a change, just before the
        request, are an excuse; earlier ones are not.
        """
        if result.sent_at <= changed_at + self._known_s:
            return False
        since = result.sent_at - self._known_s
        return self._ledger.is_calm(result.gateway, since, result.ended_at)
