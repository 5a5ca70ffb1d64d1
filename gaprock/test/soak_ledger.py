"""What callers, endpoints and the operator of a soak saw, held against promises.

Everything is written down as it happens; ``judge`` looks at it when the run is over.
A promise with a time in it holds only for calm spans: those in which nothing unplanned
touched the gateway, the store or the endpoints, nor shortly before.
"""

import collections
import math
import threading
import time
import typing

# A disturbance still counts for this long after its end, seconds.
CALM_AFTER_S: typing.Final = 4.0
# Slack of all promises with a time in them, seconds: the machine of a soak is busy.
SLACK_S: typing.Final = 2.0
# An answer that breaks off later may have run into its caller's time, seconds.
CUT_WITHIN_S: typing.Final = 3.8
# A request that ended so many endpoints gets to no more than so many, from so long
# after on, seconds.
POISON_ENDS: typing.Final = 3
POISON_LATE: typing.Final = 3
CONTACT_S: typing.Final = 3.0
# Statuses which say that a request has not run and never will.
NOT_RUN: typing.Final = frozenset((408, 421, 429, 503))
# Who a disturbance touches when it touches everybody.
ALL: typing.Final = "all"


# A rate limit counts after this time, seconds, in spans of this length, with so many
# requests besides.
LIMIT_KNOWN_S: typing.Final = 3.0
LIMIT_WINDOW_S: typing.Final = 4.0
LIMIT_SLACK: typing.Final = 5
# In a backoff so many requests of a gateway may come, but for those that were on their
# way, which come within this time, seconds.
BACKOFF_MOST: typing.Final = 2
ON_WAY_S: typing.Final = 0.5


class Try(typing.NamedTuple):
    """A caller's request, as it ended.

    :param gateway: the process it went to, with its life: ``g1#2``.
    :param status: 0 when no head of an answer came.
    :param whole: whether the answer came to its end by the protocol.
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
    whole: bool
    right: bool
    events: tuple[int, ...]


class Run(typing.NamedTuple):
    """A request that an endpoint ran."""

    request: str
    kind: str
    endpoint: str
    at: float
    workspace: str
    leaked_key: bool
    body_right: bool


class Disturbance(typing.NamedTuple):
    """Something that the soak did.

    :param planned: whether promises hold through it, as for a planned stop.
    :param target: the name of what it touched, or ``ALL``.
    """

    what: str
    target: str
    planned: bool
    start: float
    end: float


class Start(typing.NamedTuple):
    """An endpoint's start, and from when on it is warm."""

    hall: str
    at: float
    warm_at: float


class Emptied(typing.NamedTuple):
    """A hall that the operator emptied, and when it was taken back."""

    hall: str
    at: float
    back_at: float


class Limited(typing.NamedTuple):
    """An endpoint that named a rate limit, requests a second, in a span."""

    endpoint: str
    per_s: float
    at: float
    until: float


class Word(typing.NamedTuple):
    """An endpoint's answer that says something of it.

    :param request: that it answers.
    :param backoff_s: for which the endpoint wants nothing more; 0 where it leaves.
    """

    endpoint: str
    request: str
    at: float
    backoff_s: float


class Arrival(typing.NamedTuple):
    """A request that came to an endpoint."""

    request: str
    at: float


class Ledger:
    """The record; safe for all threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.tries: list[Try] = []
        self.runs: list[Run] = []
        self.disturbances: list[Disturbance] = []
        # When the operator took keys away and added some, by key, and endpoints began
        # to leave.
        self.revoked: dict[str, float] = {}
        self.added: dict[str, float] = {}
        self.leaving: dict[str, float] = {}
        self.sent: dict[str, str] = {}
        # When the poison request came to an endpoint, and the id that it came under.
        self.poisoned: list[tuple[float, str]] = []

        # Endpoints by their names, when requests came there, and emptied halls.
        self.starts: dict[str, Start] = {}
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self.emptied: list[Emptied] = []
        self.limited: list[Limited] = []
        # What endpoints said of themselves, and what came there, by name.
        self.words: list[Word] = []
        self.requests: dict[str, list[Arrival]] = collections.defaultdict(list)

    def add_endpoint(self, name: str, hall: str, at: float, warm_at: float) -> None:
        """Write down that an endpoint starts."""
        with self._lock:
            self.starts[name] = Start(hall, at, warm_at)

    def note_arrival(self, endpoint: str, request: str) -> None:
        """Write down that a request came to an endpoint."""
        with self._lock:
            self.arrivals[endpoint].append(self.now())
            self.requests[endpoint].append(Arrival(request, self.now()))

    def now(self) -> float:
        """The soak's clock."""
        return time.monotonic()

    def note_sent(self, request: str, kind: str) -> None:
        """Write down that a request is about to be sent."""
        with self._lock:
            self.sent[request] = kind

    def add(self, item: Try | Run | Disturbance) -> None:
        """Write something down."""
        with self._lock:
            if isinstance(item, Try):
                self.tries.append(item)
            elif isinstance(item, Run):
                self.runs.append(item)
            else:
                self.disturbances.append(item)

    def summary(self) -> str:
        """Tell how much was tried, for the output of a run."""
        answered = sum(made.status == 200 and made.whole for made in self.tries)
        refused = sum(made.status in NOT_RUN for made in self.tries)
        names = collections.Counter(d.what for d in self.disturbances)
        faults = ", ".join(f"{name} {count}" for name, count in sorted(names.items()))
        return (
            f"{len(self.tries)} requests, {answered} answered, {refused} refused, "
            f"{len(self.runs)} runs; {faults}"
        )

    def is_held_up(self, gateway: str, start: float, end: float) -> bool:
        """Whether a gateway stood still, or the way to endpoints held requests up."""
        name = gateway.partition("#")[0]
        return any(
            d.start <= end and d.end >= start
            for d in self.disturbances
            if (d.what == "pause" and d.target == name) or d.what.startswith("relay")
        )

    def replace(self, old: Disturbance, new: Disturbance) -> None:
        """Write down the end of a disturbance."""
        with self._lock:
            self.disturbances.remove(old)
            self.disturbances.append(new)

    def is_calm(
        self, gateway: str, start: float, end: float, besides: str = ""
    ) -> bool:
        """Whether nothing unplanned touched a gateway in a span, or shortly before.

        :param besides: what counts as nothing.
        """
        name = gateway.partition("#")[0]
        return not any(
            d.start <= end and d.end + CALM_AFTER_S >= start
            for d in self.disturbances
            if not d.planned and d.target in (ALL, name) and d.what != besides
        )


class Judge:
    """Holds a record against the promises."""

    def __init__(
        self,
        ledger: Ledger,
        drain_s: float,
        config_s: float,
        emptied_s: float = math.inf,
        bears: int = 0,
    ) -> None:
        self._ledger = ledger
        # Within which a hall gets nothing more, and what an endpoint that is not warm
        # may get in a second; 0 where it may get all.
        self._emptied_s = emptied_s
        self._bears = bears
        self._drain_s = drain_s
        # Within which a gateway that nothing disturbs has a change in force, seconds.
        self._known_s = config_s + SLACK_S
        self._tries = {t.request: t for t in ledger.tries}
        self._runs: dict[str, list[Run]] = {}
        for run in ledger.runs:
            self._runs.setdefault(run.request, []).append(run)

    def broken(self) -> list[str]:
        """Give a line for each promise that was not kept."""
        checks = (
            self._unasked,
            self._at_most_once,
            self._refusals_are_true,
            self._answers_are_whole,
            self._stops_cut_nothing,
            self._final_in_time,
            self._leaving_endpoints,
            self._revoked_keys,
            self._added_keys,
            self._poison,
            self._emptied_halls,
            self._not_warm,
            self._rate_limits,
            self._words,
        )
        return [line for check in checks for line in check()]

    def _unasked(self) -> typing.Iterator[str]:
        for run in self._ledger.runs:
            if self._ledger.sent.get(run.request) != run.kind:
                yield f"unasked: {run.endpoint} ran {run.request} as {run.kind}"
            elif run.workspace != "ws" or run.leaked_key or not run.body_right:
                yield f"changed: {run.endpoint} ran {run}"

    def _at_most_once(self) -> typing.Iterator[str]:
        for request, runs in self._runs.items():
            if runs[0].kind == "unsafe" and len(runs) > 1:
                yield f"twice: {request} on {[run.endpoint for run in runs]}"

    def _refusals_are_true(self) -> typing.Iterator[str]:
        for made in self._ledger.tries:
            ran = made.request in self._runs
            # A failed run of what may be repeated may end in a refusal.
            if made.status in NOT_RUN and ran and made.kind == "unsafe":
                yield f"false refusal: {made.request} got {made.status}, and ran"

    def _answers_are_whole(self) -> typing.Iterator[str]:
        for made in self._ledger.tries:
            if made.status != 200:
                continue
            numbers = list(made.events)
            if numbers != list(range(1, len(numbers) + 1)):
                yield f"out of order: {made.request} got events {numbers}"
            if made.whole and not made.right:
                yield f"wrong answer: {made}"

    def _stops_cut_nothing(self) -> typing.Iterator[str]:
        for made in self._ledger.tries:
            if made.whole or made.status in NOT_RUN or made.request not in self._runs:
                continue
            if made.ended_at - made.sent_at >= CUT_WITHIN_S:
                continue
            if self._ledger.is_calm(made.gateway, made.sent_at, made.ended_at):
                yield f"cut: {made}"

    def _final_in_time(self) -> typing.Iterator[str]:
        for made in self._ledger.tries:
            if made.ended_at <= made.deadline + SLACK_S:
                continue
            if self._ledger.is_calm(made.gateway, made.sent_at, made.ended_at):
                yield f"late: {made}"

    def _leaving_endpoints(self) -> typing.Iterator[str]:
        for run in self._ledger.runs:
            left = self._ledger.leaving.get(run.endpoint, run.at)
            made = self._tries.get(run.request)
            if run.at - left <= self._drain_s + SLACK_S or made is None:
                continue
            if self._ledger.is_calm(made.gateway, left, run.at):
                after_s = run.at - left
                yield f"leaving: {run.endpoint} got {run.request} {after_s:.1f} s on"

    def _revoked_keys(self) -> typing.Iterator[str]:
        """No revoked key is served late, nor served again by a process that knew."""
        refused: dict[tuple[str, str], float] = {}
        for made in sorted(self._ledger.tries, key=lambda t: t.sent_at):
            taken_at = self._ledger.revoked.get(made.key)
            if taken_at is None:
                continue
            who = made.gateway, made.key
            # A new key that was not known yet was not refused as one taken away.
            added_at = self._ledger.added.get(made.key, -math.inf)
            if made.status == 401 and made.sent_at > added_at + self._known_s:
                refused.setdefault(who, made.ended_at)
            elif made.status == 200 and made.sent_at > refused.get(who, made.sent_at):
                yield f"went back: {made}"
            if self._is_in_force(made, taken_at) and made.request in self._runs:
                yield f"revoked key served: {made}"

    def _added_keys(self) -> typing.Iterator[str]:
        """No key that was added is refused late."""
        for made in self._ledger.tries:
            added_at = self._ledger.added.get(made.key)
            if made.status != 401 or added_at is None:
                continue
            if made.key not in self._ledger.revoked and self._is_in_force(
                made, added_at
            ):
                yield f"added key refused: {made}"

    def _poison(self) -> typing.Iterator[str]:
        """A request that ended three endpoints reaches few more."""
        came = self._ledger.poisoned
        if len(came) < POISON_ENDS:
            return
        known_at = came[POISON_ENDS - 1][0] + CONTACT_S + SLACK_S
        late = [(at, request) for at, request in came if at > known_at]
        late = [
            (at, request)
            for at, request in late
            if request in self._tries
            and self._ledger.is_calm(
                self._tries[request].gateway, at - CONTACT_S, at, "poison"
            )
        ]
        if len(late) > POISON_LATE:
            yield f"poison: {len(late)} sends later than 3 s, of {len(came)}: {late}"

    def _emptied_halls(self) -> typing.Iterator[str]:
        """No emptied hall gets requests late."""
        for run in self._ledger.runs:
            made, start = self._tries.get(run.request), self._ledger.starts
            for hall, at, back_at in self._ledger.emptied:
                is_there = run.endpoint in start and start[run.endpoint].hall == hall
                known_at = at + self._emptied_s + SLACK_S
                if made is None or not is_there or not known_at < run.at < back_at:
                    continue
                if self._ledger.is_calm(made.gateway, at, run.at):
                    yield f"emptied: {run.endpoint} in {hall} got {run.request}"

    def _not_warm(self) -> typing.Iterator[str]:
        """No endpoint gets more than it bears while it is not warm, from anybody."""
        for name, start in self._ledger.starts.items() if self._bears else ():
            came = [t for t in self._ledger.arrivals[name] if t < start.warm_at]
            worst = max((sum(t <= o < t + 1.0 for o in came) for t in came), default=0)
            if worst > self._bears:
                yield f"not warm: {name} got {worst} in a second, of {self._bears}"

    def _rate_limits(self) -> typing.Iterator[str]:
        """No endpoint gets half as much again as it names, and a few, from anybody."""
        for name, per_s, at, until in self._ledger.limited:
            most = 1.5 * per_s * LIMIT_WINDOW_S + LIMIT_SLACK
            known_at = at + LIMIT_KNOWN_S
            came = [t for t in self._ledger.arrivals[name] if known_at <= t < until]
            for first in came:
                got = sum(first <= t < first + LIMIT_WINDOW_S for t in came)
                if got > most:
                    yield f"rate limit: {name} got {got} at {per_s} a second"
                    break

    def _words(self) -> typing.Iterator[str]:
        """No gateway sends where an endpoint told it not to, whatever else happens."""
        for word in self._ledger.words:
            told = self._tries.get(word.request)
            if told is None:
                continue
            first_at, until = word.at + self._drain_s, math.inf
            most = 0
            if word.backoff_s:
                first_at, until = word.at + ON_WAY_S, word.at + word.backoff_s
                most = BACKOFF_MOST
            late = [
                came
                for came in self._ledger.requests[word.endpoint]
                if first_at < came.at < until
                and self._gateway_of(came.request) == told.gateway
                and not self._ledger.is_held_up(told.gateway, word.at, came.at)
            ]
            if len(late) > most:
                yield f"not heeded: {word} told {told.gateway}, which sent {late}"

    def _gateway_of(self, request: str) -> str:
        made = self._tries.get(request)
        return made.gateway if made is not None else ""

    def _is_in_force(self, made: Try, changed_at: float) -> bool:
        """Whether a request has to be handled as a change says.

        What disturbed the gateway before it had the time for a change excuses nothing.
        """
        if made.sent_at <= changed_at + self._known_s:
            return False
        since = made.sent_at - self._known_s
        return self._ledger.is_calm(made.gateway, since, made.ended_at)
