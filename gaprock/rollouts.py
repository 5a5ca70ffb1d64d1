"""Rollouts that an operator orders: who gets the new version, and when it is judged.

How a rollout runs, by the share of its time that has passed:

1. Until the first of ``STEPS`` a fixed share of sessions gets the new version.  A
   session's side follows from a hash of its name, so that every gateway agrees without
   a word, and no session changes sides.
2. Then the share grows in steps; sessions only ever move to the new version.
3. When all traffic has moved and nothing runs on the old version anywhere, the outcome
   *completed* is written.  Evidence against the new version at any time stops it here
   at once, everywhere as the word spreads, and is written as *rolled back*.

Whatever a process forgets when it is killed is in the store's rows (order, outcome,
start) or comes with the others' next beat (evidence, halts).
"""

import enum
import threading
import typing

from gaprock import (
    clock,
    eventlog,
    evidence,
    gateway_api,
    mechanisms,
    mesh_messages,
    messages,
    policy_api,
    rollout_pace,
    rollout_sessions,
)

# Share of the allowed exposure that is used while a version is unproved.
CANARY_USE: typing.Final = 0.8
# Shares of sessions on the new version, each from this share of the time on.  In the
# first half no session changes its version.
STEPS: typing.Final = ((0.5, 0.25), (0.56, 0.5), (0.62, 1.0))
# All traffic must have moved for this long before a rollout completes, seconds.
SETTLE_S: typing.Final = 2.0
# The outcome is written at the latest this long before the operator's time, seconds.
WRITE_BEFORE_S: typing.Final = 2.0
# So long after the order every session stays on the old version, as a share of the
# rollout's time and at most, seconds: beats between halls take up to two seconds to
# tell everybody which sessions go on.
HOLD_SHARE: typing.Final = 0.1
HOLD_S: typing.Final = 2.0
# A start that is corrected by less is not told in the log, seconds: beats take as long.
DATED_S: typing.Final = 0.05


class State(enum.Enum):
    """What became of a rollout; the names are those of the outcome rows."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


STATES: typing.Final = {state.value: state for state in State}


class Outcome(typing.NamedTuple):
    """What a row says became of a rollout.

    :param row_version: the store's version of the row; one older than the order's
        tells of an earlier order for the same version.
    """

    version: str
    state: State
    row_version: int


class Rollout:
    """One order and what we know of it.

    :param revision: the store's version of the order's row; names the attempt.
    :param started_at: when the order was given, by this process's clock.
    """

    __slots__ = (
        "order",
        "revision",
        "started_at",
        "kept",
        "state",
        "halted",
        "written",
    )

    def __init__(
        self,
        order: gateway_api.RolloutOrder,
        revision: int,
        started_at: float,
        session_s: float,
    ) -> None:
        self.order = order
        self.revision = revision
        self.started_at = started_at
        self.kept = rollout_sessions.KeptSessions(session_s)
        self.state = State.RUNNING
        # Stopped by evidence, here or elsewhere, whatever the rows say yet.
        self.halted = False
        # The state that the outcome's row shows; ``None`` while there is no row.
        self.written: State | None = None

    @property
    def label(self) -> str:
        """The name of this attempt in the evidence."""
        return f"{self.order.service}@{self.order.to_version}#{self.revision}"

    def passed(self, now: float) -> float:
        """Give the share of the rollout's time that has passed."""
        return (now - self.started_at) / max(0.001, self.order.finish_s)

    def keeps_sessions(self, now: float) -> bool:
        """Whether sessions that go on stay where they are."""
        return self.state is State.RUNNING and self.passed(now) < STEPS[0][0]

    def is_held(self, now: float) -> bool:
        """Whether not everybody has told yet which sessions go on."""
        return now < self.started_at + min(HOLD_S, HOLD_SHARE * self.order.finish_s)


class Side(typing.NamedTuple):
    """Where a session stands in a rollout.

    :param on_new: whether it gets the new version.
    """

    rollout: Rollout
    on_new: bool

    def takes(self, version: str) -> bool:
        """Whether the session's requests may run on a version."""
        return (version == self.rollout.order.to_version) == self.on_new


class _Told:
    """What other gateways told of an order that has not come here yet."""

    __slots__ = ("revision", "started_at", "halt_reason")

    def __init__(self, revision: int) -> None:
        self.revision = revision
        self.started_at = clock.NEVER
        # Empty while nobody told of a halt.
        self.halt_reason = ""


class Rollouts:
    """All rollouts, by service; safe for all threads.

    :param canary_share: the share of requests that an unproved version may get.
    :param session_s: the longest rest within a session, seconds.
    """

    def __init__(
        self,
        clock_: clock.Clock,
        canary_share: float,
        guard: policy_api.Guard,
        evidence_: evidence.EvidenceBook,
        session_s: float = 5.0,
    ) -> None:
        self._clock = clock_
        self._sessions = rollout_sessions.RecentSessions(session_s)
        self._canary = canary_share * CANARY_USE
        self._guard = guard
        self._evidence = evidence_
        self._lock = threading.Lock()
        self._by_service: dict[str, Rollout] = {}
        # Outcomes read before their orders: (version, state) by service.
        self._outcomes: dict[str, Outcome] = {}
        # A gateway that the store does not answer hears of an order by beats before it
        # has a copy of it; until the next beat it sent sessions back that had moved,
        # and requests to a version that was halted.
        self._told: dict[str, _Told] = {}
        self._paces: dict[tuple[str, str], rollout_pace.Pace] = {}
        # Labels with evidence of their own, per route, by rollout label.
        self._routes: dict[str, set[str]] = {}

    # -- Orders and outcomes --

    def take_order(
        self, order: gateway_api.RolloutOrder, revision: int, started_at: float
    ) -> Rollout:
        """Take an operator's order; the same one again changes nothing."""
        with self._lock:
            old = self._by_service.get(order.service)
            if old is not None and old.revision >= revision:
                return old
            rollout = Rollout(order, revision, started_at, self._sessions.kept_s)
            self._keep_sessions(rollout)
            self._by_service[order.service] = rollout
            outcome = self._outcomes.get(order.service)
            told = self._told.get(order.service)
        eventlog.info(
            "rollout-ordered",
            service=order.service,
            version=order.to_version,
            revision=revision,
            finish_s=order.finish_s,
            age_s=self._clock.now() - started_at,
        )
        if told is not None and told.revision == revision:
            self.backdate(order.service, revision, told.started_at, "told before")
            if told.halt_reason:
                self.halt(order.service, revision, told.halt_reason)
        if outcome is not None:
            self._apply_outcome(rollout, outcome)
        return rollout

    def take_outcome(self, service: str, outcome: "Outcome") -> None:
        """Take what a row says became of a rollout."""
        with self._lock:
            self._outcomes[service] = outcome
            rollout = self._by_service.get(service)
        if rollout is not None:
            self._apply_outcome(rollout, outcome)

    def halt(self, service: str, revision: int, reason: str) -> None:
        """Stop a version; more than once changes nothing."""
        rollout = self._by_service.get(service)
        if rollout is None or rollout.revision < revision:
            self._note_told(service, revision, halt_reason=reason)
            return
        if rollout.revision != revision or rollout.halted:
            return
        if rollout.state is State.COMPLETED:
            return
        rollout.halted = True
        eventlog.warning(
            "rollout-halted",
            service=service,
            version=rollout.order.to_version,
            revision=revision,
            reason=reason,
        )

    def backdate(self, service: str, revision: int, started_at: float, by: str) -> None:
        """Correct the start of a rollout that another process saw earlier.

        :param by: whose word it is, for the log.
        """
        rollout = self._by_service.get(service)
        if rollout is None or rollout.revision < revision:
            self._note_told(service, revision, started_at)
            return
        if rollout.revision != revision or rollout.started_at <= started_at:
            return
        earlier_s = rollout.started_at - started_at
        rollout.started_at = started_at
        if earlier_s > DATED_S:
            eventlog.info(
                "rollout-dated",
                service=service,
                revision=revision,
                age_s=self._clock.now() - started_at,
                earlier_s=earlier_s,
                by=by,
            )

    def take_told(self, news: mesh_messages.RolloutNews, now: float, by: str) -> None:
        """Take what another gateway tells of a rollout.

        :param now: when it was told.
        :param by: who tells it, for the log.
        """
        self.backdate(news.service, news.revision, now - news.age_s, by)
        if news.halted:
            self.halt(news.service, news.revision, f"told by {by}")
        rollout = self._by_service.get(news.service)
        if rollout is not None and rollout.revision == news.revision:
            rollout.kept.take_told(news.kept, now)

    def _note_told(
        self,
        service: str,
        revision: int,
        started_at: float = clock.NEVER,
        halt_reason: str = "",
    ) -> None:
        """Keep what was told of an order that has not come; the newest one's alone."""
        with self._lock:
            told = self._told.get(service)
            if told is None or told.revision < revision:
                told = self._told[service] = _Told(revision)
            if told.revision == revision:
                told.started_at = min(told.started_at, started_at)
                told.halt_reason = told.halt_reason or halt_reason

    def all(self) -> list[Rollout]:
        """Give all rollouts."""
        with self._lock:
            return list(self._by_service.values())

    def _apply_outcome(self, rollout: Rollout, outcome: "Outcome") -> None:
        same = outcome.version == rollout.order.to_version
        if not same or outcome.row_version < rollout.revision:
            # It tells of an earlier order.
            return
        rollout.written = outcome.state
        if outcome.state is not rollout.state:
            rollout.state = outcome.state
            eventlog.info(
                "rollout-state",
                service=rollout.order.service,
                version=outcome.version,
                state=outcome.state.value,
            )

    # -- Which version a request gets --

    def share(self, rollout: Rollout) -> float:
        """Give the share of sessions that the new version gets now."""
        if rollout.state is State.COMPLETED:
            return 1.0
        if rollout.halted or rollout.state is State.ROLLED_BACK:
            return 0.0
        passed = rollout.passed(self._clock.now())
        share = self._canary
        for since, wanted in STEPS:
            if passed >= since:
                share = wanted
        return share

    def side(self, service: str, session: str, is_named: bool = False) -> Side | None:
        """Give where a session stands; ``None`` without a rollout of the service.

        :param is_named: whether the caller named it, so that requests belong together.
        """
        rollout = self._by_service.get(service)
        if rollout is None:
            return None
        mark = rollout_sessions.mark_of(session, rollout.label)
        on_new = mark < self.share(rollout) * rollout_sessions.HASH_RANGE
        if on_new and is_named:
            on_new = not self._stays_on_old(rollout, session, mark)
        return Side(rollout, on_new)

    def _stays_on_old(self, rollout: Rollout, session: str, mark: int) -> bool:
        """Whether a session that goes on stays where it was, in the first half."""
        now = self._clock.now()
        if not rollout.keeps_sessions(now):
            return False
        version = self._sessions.version(rollout.order.service, session, now)
        if version is not None:
            return version != rollout.order.to_version
        return rollout.is_held(now) or rollout.kept.is_told(mark, now)

    def note_session(self, service: str, session: str, version: str) -> None:
        """Note that a request of a session is sent to a version."""
        now = self._clock.now()
        self._sessions.note(service, session, version, now)
        self._note_kept(service, session, version, now)

    def note_session_end(self, service: str, session: str) -> None:
        """Note the end of a session's request; its rest begins now."""
        now = self._clock.now()
        self._sessions.note_end(service, session, now)
        version = self._sessions.version(service, session, now)
        if version is not None:
            self._note_kept(service, session, version, now)

    def _note_kept(self, service: str, session: str, version: str, now: float) -> None:
        """Note a session that other gateways have to keep on the old version too."""
        rollout = self._by_service.get(service)
        if rollout is None or version == rollout.order.to_version:
            return
        if rollout.keeps_sessions(now):
            self._keep(rollout, session, now)

    def _keep_sessions(self, rollout: Rollout) -> None:
        """Note the sessions that go on as an order comes."""
        order, now = rollout.order, self._clock.now()
        recent = self._sessions.besides(order.service, order.to_version, now)
        for session, seen_at in recent.items():
            self._keep(rollout, session, seen_at)

    def _keep(self, rollout: Rollout, session: str, seen_at: float) -> None:
        mark = rollout_sessions.mark_of(session, rollout.label)
        if mark < self._canary * rollout_sessions.HASH_RANGE:
            rollout.kept.note(mark, seen_at)

    def kept_sessions(self, rollout: Rollout) -> list[int]:
        """Give the sessions to tell others of, which go on on the old version."""
        now = self._clock.now()
        return rollout.kept.own(now) if rollout.keeps_sessions(now) else []

    def fits(self, service: str, version: str, session: str) -> bool:
        """Whether a request on its own may run on a version of a service."""
        side = self.side(service, session)
        return side is None or side.takes(version)

    def narrow(
        self, side: Side | None, names: list[str], near: list[str]
    ) -> typing.Collection[str]:
        """Give the endpoints that a request may go to.

        The share of an unproved version goes to the same share of its endpoints, so
        that each of them is about as loaded as all of them will be; a version that
        fails only under load shows it while few requests are exposed.  Where the own
        hall has enough of them, it is a share of those: what others have there is known
        best, and the wait behind that is no fault of the version.

        :param side: where the request's session stands.
        :param names: the usable endpoints of the session's version.
        :param near: those of them in the own hall.
        """
        if side is None or not side.on_new:
            return names
        share = self.share(side.rollout)
        if share >= 1.0 or not mechanisms.CANARY_PLACE.on:
            return names
        if in_hall := round(share * len(near)):
            return sorted(near)[:in_hall]
        return sorted(names)[: max(1, int(share * len(names)))]

    # -- Evidence --

    def judge_answer(
        self,
        service: str,
        version: str,
        route: str,
        pace: str,
        answer: rollout_pace.Judged,
    ) -> str:
        """Count an answer for or against its version.

        :param pace: the answers whose times are alike, such as a route and a model.
        :returns: what it holds against its version; empty for nothing.
        """
        rollout = self._by_service.get(service)
        # Times and multiples of what was expected are not to be compared.
        kind = "multiple" if answer.expected_s is not None else "seconds"
        key = service, f"{route}/{pace}/{kind}"
        times = self._paces.setdefault(key, rollout_pace.Pace())
        is_new = rollout is not None and version == rollout.order.to_version
        slow = answer.slow(times)
        if answer.is_open and not slow:
            return ""
        if answer.took is not None and not is_new and not answer.failed:
            times.add(answer.took)
        against = "failed" if answer.failed else "slow" if slow else ""
        if rollout is not None and rollout.state is State.RUNNING:
            self._count(rollout, route, is_new, bool(against))
            if is_new:
                self._judge(rollout)
        return against

    def is_judged(self, service: str) -> bool:
        """Whether answers of a service are evidence now."""
        rollout = self._by_service.get(service)
        return rollout is not None and rollout.state is State.RUNNING

    def is_unproved(self, service: str, version: str) -> bool:
        """Whether a version is being brought in."""
        rollout = self._by_service.get(service)
        if rollout is None or rollout.state is not State.RUNNING:
            return False
        return version == rollout.order.to_version

    def look(self) -> None:
        """Judge again, after evidence came from others."""
        for rollout in self.all():
            self._judge(rollout)

    def _count(self, rollout: Rollout, route: str, is_new: bool, bad: bool) -> None:
        side = "new" if is_new else "old"
        self._evidence.count(f"{rollout.label}/{side}", bad, False)
        self._evidence.count(f"{rollout.label}/{side}/{route}", bad, False)
        self._routes.setdefault(rollout.label, set()).add(route)

    def note_routes(self, counters: list[messages.Evidence]) -> None:
        """Learn from others' evidence which routes a rollout has."""
        for counts in counters:
            label, _, rest = counts.version.partition("/")
            route = rest.partition("/")[2]
            if route:
                self._routes.setdefault(label, set()).add(route)

    def is_doubted(self, rollout: Rollout) -> bool:
        """Whether the latest evidence speaks against a version, as of the last look."""
        with self._lock:
            return any(
                self._guard.is_doubted(f"{rollout.label}{tail}")
                for tail in self._tails(rollout)
            )

    def _tails(self, rollout: Rollout) -> list[str]:
        """Give what evidence is kept under: the whole, and each route."""
        return ["", *(f"/{r}" for r in sorted(self._routes.get(rollout.label, ())))]

    def _judge(self, rollout: Rollout) -> None:
        if rollout.state is not State.RUNNING or rollout.halted:
            return
        for tail in self._tails(rollout):
            new = self._evidence.totals(f"{rollout.label}/new{tail}")
            old = self._evidence.totals(f"{rollout.label}/old{tail}")
            with self._lock:
                bad = self._guard.is_bad(
                    f"{rollout.label}{tail}",
                    policy_api.Counts(new.answers, new.bad),
                    policy_api.Counts(old.answers, old.bad),
                )
            if bad:
                reason = f"{new.bad} of {new.answers} answers bad{tail}"
                reason += f", stable {old.bad} of {old.answers}"
                self.halt(rollout.order.service, rollout.revision, reason)
                return
