"""Rollouts that an operator orders: who gets the new version, and when it is judged.

How a rollout runs, by the share of its time that has passed:

1. Until the first of ``rollout_state.STEPS`` a fixed share of sessions gets the new
   version.  A session's side follows from a hash of its name, so that every gateway
   agrees without a word, and no session changes sides; one that ran on the old version
   already stays there (``rollout_sessions``).
2. Then the share grows in steps; sessions only ever move to the new version.
3. When all traffic has moved and nothing runs on the old version anywhere, the outcome
   *completed* is written.  Evidence against the new version at any time stops it here
   at once, everywhere as the word spreads, and is written as *rolled back*.

Whatever a process forgets when it is killed is in the store's rows (order, outcome,
start) or comes with the others' next beat (evidence, halts).
"""

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
    rollout_evidence,
    rollout_latency,
    rollout_sessions,
    rollout_state,
)

# Share of the allowed exposure that is used while a version is unproved.
CANARY_USE: typing.Final = 0.8
# Orders of a service that are remembered after they were replaced.
REPLACED_KEPT: typing.Final = 8
# A start that is corrected by less is not told in the log, seconds: beats take as long.
DATED_S: typing.Final = 0.05


class _Told:
    """What other gateways told of an order that has not come here yet.

    :param point: the epoch and version of the order's row.
    """

    __slots__ = ("point", "started_at", "halt_reason")

    def __init__(self, point: tuple[int, int]) -> None:
        self.point = point
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
        self._evidence = rollout_evidence.RolloutEvidence(guard, evidence_)
        self._lock = threading.Lock()
        self._by_service: dict[str, rollout_state.Rollout] = {}
        # Outcomes read before their orders: (version, state) by service.
        self._outcomes: dict[str, rollout_state.Outcome] = {}
        # A gateway that the store does not answer hears of an order by beats before it
        # has a copy of it; until the next beat it sent sessions back that had moved,
        # and requests to a version that was halted.
        self._told: dict[str, _Told] = {}
        # Orders that were replaced, with their versions, the latest ones by service.
        self._replaced: dict[str, list[tuple[int, gateway_api.RolloutOrder]]] = {}

    # -- Orders and outcomes --

    def add_order(
        self,
        order: gateway_api.RolloutOrder,
        revision: int,
        started_at: float,
        epoch: int = 0,
    ) -> rollout_state.Rollout:
        """Take an operator's order; the same one again changes nothing.

        After a restore of the store an order is read again, or written again under
        another version; both name the attempt that there is already.

        :param epoch: the store's epoch in which the revision holds.
        """
        with self._lock:
            old = self._by_service.get(order.service)
            if old is not None and old.point >= (epoch, revision):
                return old
            if old is not None and epoch > old.epoch:
                if (revision, order) in self._replaced.get(order.service, ()):
                    return old
                if order == old.order:
                    self._rename(old, epoch, revision)
                    return old
            rollout = rollout_state.Rollout(
                order, revision, started_at, self._sessions.kept_s, epoch
            )
            if old is not None:
                replaced = self._replaced.setdefault(order.service, [])
                replaced.append((old.revision, old.order))
                del replaced[:-REPLACED_KEPT]
            self._keep_sessions(rollout)
            self._by_service[order.service] = rollout
            outcome = self._outcomes.get(order.service)
            told = self._told.get(order.service)
        eventlog.info(
            "rollout-ordered",
            service=order.service,
            version=order.to_version,
            revision=revision,
            epoch=epoch,
            finish_s=order.finish_s,
            age_s=self._clock.now() - started_at,
        )
        if told is not None:
            self._apply_told(rollout, told)
        if outcome is not None:
            self._apply_outcome(rollout, outcome)
        return rollout

    def _rename(
        self, rollout: rollout_state.Rollout, epoch: int, revision: int
    ) -> None:
        """Rename an attempt after its order's row in the restored store."""
        service, old, label = rollout.order.service, rollout.point, rollout.label
        rollout.rename(epoch, revision)
        if rollout.label != label:
            self._evidence.rename(label, rollout.label)
        eventlog.info(
            "rollout-renamed",
            service=service,
            version=rollout.order.to_version,
            revision=revision,
            epoch=epoch,
            old_revision=old[1],
            old_epoch=old[0],
        )
        if service in self._told:
            self._apply_told(rollout, self._told[service])
        if service in self._outcomes:
            self._apply_outcome(rollout, self._outcomes[service])

    def _apply_told(self, rollout: rollout_state.Rollout, told: _Told) -> None:
        """Take what was told of an order before it came."""
        if not rollout.is_named(*told.point):
            return
        epoch, revision = told.point
        service = rollout.order.service
        self.backdate(service, revision, told.started_at, "told before", epoch)
        if told.halt_reason:
            self.halt(service, revision, told.halt_reason, epoch)

    def apply_outcome(self, service: str, outcome: rollout_state.Outcome) -> None:
        """Take what a row says became of a rollout."""
        with self._lock:
            self._outcomes[service] = outcome
            rollout = self._by_service.get(service)
        if rollout is not None:
            self._apply_outcome(rollout, outcome)

    def forget_outcome(self, service: str) -> None:
        """Record that a restored store lost the outcome of a rollout."""
        with self._lock:
            self._outcomes.pop(service, None)
            rollout = self._by_service.get(service)
        if rollout is not None and rollout.written is not None:
            rollout.written = None
            eventlog.info("rollout-outcome-lost", service=service)

    def halt(self, service: str, revision: int, reason: str, epoch: int = 0) -> None:
        """Stop a version; more than once changes nothing."""
        rollout = self._by_service.get(service)
        if rollout is None or not rollout.is_named(epoch, revision):
            self._note_told(service, (epoch, revision), halt_reason=reason)
            return
        if rollout.halted:
            return
        if rollout.state is rollout_state.State.COMPLETED:
            return
        rollout.halted = True
        eventlog.warning(
            "rollout-halted",
            service=service,
            version=rollout.order.to_version,
            revision=revision,
            reason=reason,
        )

    def backdate(
        self, service: str, revision: int, started_at: float, by: str, epoch: int = 0
    ) -> None:
        """Correct the start of a rollout that another process saw earlier.

        :param by: whose word it is, for the log.
        """
        rollout = self._by_service.get(service)
        if rollout is None or not rollout.is_named(epoch, revision):
            self._note_told(service, (epoch, revision), started_at)
            return
        if rollout.started_at <= started_at:
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

    def merge_reported(
        self, news: mesh_messages.RolloutNews, now: float, by: str
    ) -> None:
        """Take what another gateway tells of a rollout.

        :param now: when it was told.
        :param by: who tells it, for the log.
        """
        epoch, revision = news.epoch, news.revision
        self.backdate(news.service, revision, now - news.age_s, by, epoch)
        if news.halted:
            self.halt(news.service, revision, f"told by {by}", epoch)
        rollout = self._by_service.get(news.service)
        if rollout is not None and rollout.is_named(epoch, revision):
            rollout.kept.merge_reported(news.kept, now)

    def _note_told(
        self,
        service: str,
        point: tuple[int, int],
        started_at: float = clock.NEVER,
        halt_reason: str = "",
    ) -> None:
        """Keep what was told of an order that has not come; the newest one's alone."""
        with self._lock:
            rollout = self._by_service.get(service)
            if rollout is not None and rollout.point >= point:
                return
            told = self._told.get(service)
            if told is None or told.point < point:
                told = self._told[service] = _Told(point)
            if told.point == point:
                told.started_at = min(told.started_at, started_at)
                told.halt_reason = told.halt_reason or halt_reason

    def all(self) -> list[rollout_state.Rollout]:
        """Give all rollouts."""
        with self._lock:
            return list(self._by_service.values())

    def _apply_outcome(
        self, rollout: rollout_state.Rollout, outcome: rollout_state.Outcome
    ) -> None:
        same = outcome.version == rollout.order.to_version
        if not same or (outcome.epoch, outcome.row_version) < rollout.point:
            # It tells of an earlier order.
            return
        if outcome.epoch > rollout.epoch:
            # Compared with the order once that has been read in the same epoch.
            return
        rollout.written = outcome.state
        if outcome.state is rollout_state.State.RUNNING:
            # A final state stands, though the restored store has lost it.
            return
        if outcome.state is not rollout.state:
            rollout.state = outcome.state
            eventlog.info(
                "rollout-state",
                service=rollout.order.service,
                version=outcome.version,
                state=outcome.state.value,
            )

    # -- Which version a request gets --

    def share(self, rollout: rollout_state.Rollout) -> float:
        """Give the share of sessions that the new version gets now."""
        if rollout.state is rollout_state.State.COMPLETED:
            return 1.0
        if rollout.halted or rollout.state is rollout_state.State.ROLLED_BACK:
            return 0.0
        passed = rollout.passed(self._clock.now())
        share = self._canary
        for since, wanted in rollout_state.STEPS:
            if passed >= since:
                share = wanted
        return share

    def assignment(
        self, service: str, session: str, is_named: bool = False
    ) -> rollout_state.Assignment | None:
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
        return rollout_state.Assignment(rollout, on_new)

    def _stays_on_old(
        self, rollout: rollout_state.Rollout, session: str, mark: int
    ) -> bool:
        """Whether a session that goes on stays where it was, in the first half."""
        now = self._clock.now()
        if not rollout.keeps_sessions(now):
            return False
        version = self._sessions.version(rollout.order.service, session, now)
        if version is not None:
            return version != rollout.order.to_version
        return rollout.is_held(now) or rollout.kept.is_told(mark, now)

    def record_session(self, service: str, session: str, version: str) -> None:
        """Note that a request of a session is sent to a version."""
        now = self._clock.now()
        self._sessions.note(service, session, version, now)
        self._note_kept(service, session, version, now)

    def record_session_end(self, service: str, session: str) -> None:
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

    def _keep_sessions(self, rollout: rollout_state.Rollout) -> None:
        """Note the sessions that go on as an order comes."""
        order, now = rollout.order, self._clock.now()
        recent = self._sessions.besides(order.service, order.to_version, now)
        for session, seen_at in recent.items():
            self._keep(rollout, session, seen_at)

    def _keep(
        self, rollout: rollout_state.Rollout, session: str, seen_at: float
    ) -> None:
        mark = rollout_sessions.mark_of(session, rollout.label)
        if mark < self._canary * rollout_sessions.HASH_RANGE:
            rollout.kept.note(mark, seen_at)

    def pinned_sessions(self, rollout: rollout_state.Rollout) -> list[int]:
        """Give the sessions to tell others of, which go on on the old version."""
        now = self._clock.now()
        return rollout.kept.own(now) if rollout.keeps_sessions(now) else []

    def fits(self, service: str, version: str, session: str) -> bool:
        """Whether a request on its own may run on a version of a service."""
        assignment = self.assignment(service, session)
        return assignment is None or assignment.takes(version)

    def is_canary_limited(self, assignment: rollout_state.Assignment) -> bool:
        """Whether a side may use a share of its endpoints alone."""
        if not assignment.on_new or not mechanisms.CANARY_PLACE.on:
            return False
        return self.share(assignment.rollout) < 1.0

    def allowed_endpoints(
        self,
        assignment: rollout_state.Assignment | None,
        names: list[str],
        near: list[str],
    ) -> typing.Collection[str]:
        """Give the endpoints that a request may go to.

        The share of an unproved version goes to the same share of its endpoints, so
        that each of them is about as loaded as all of them will be; a version that
        fails only under load shows it while few requests are exposed.  Where the own
        hall has enough of them, it is a share of those: what others have there is known
        best, and the wait behind that is no fault of the version.

        :param assignment: where the request's session stands.
        :param names: the usable endpoints of the session's version.
        :param near: those of them in the own hall.
        """
        if assignment is None or not self.is_canary_limited(assignment):
            return names
        share = self.share(assignment.rollout)
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
        answer: rollout_latency.VersionSample,
    ) -> str:
        """Count an answer for or against its version.

        :param pace: the answers whose times are alike, such as a route and a model.
        :returns: what it holds against its version; empty for nothing.
        """
        rollout = self._by_service.get(service)
        is_new = rollout is not None and version == rollout.order.to_version
        against = self._evidence.weigh(service, f"{route}/{pace}", answer, is_new)
        if against is None:
            return ""
        if rollout is not None and rollout.state is rollout_state.State.RUNNING:
            self._evidence.count(rollout.label, route, is_new, bool(against))
            if is_new:
                self._judge(rollout)
        return against

    def is_judged(self, service: str) -> bool:
        """Whether answers of a service are evidence now."""
        rollout = self._by_service.get(service)
        return rollout is not None and rollout.state is rollout_state.State.RUNNING

    def is_canary(self, service: str, version: str) -> bool:
        """Whether a version is being brought in."""
        rollout = self._by_service.get(service)
        if rollout is None or rollout.state is not rollout_state.State.RUNNING:
            return False
        return version == rollout.order.to_version

    def look(self) -> None:
        """Judge again, after evidence came from others."""
        for rollout in self.all():
            self._judge(rollout)

    def learn_routes(self, counters: list[messages.Evidence]) -> None:
        """Learn from others' evidence which routes a rollout has."""
        self._evidence.learn_routes(counters)

    def is_suspected(self, rollout: rollout_state.Rollout) -> bool:
        """Whether the latest evidence speaks against a version, as of the last look."""
        return self._evidence.is_suspected(rollout.label)

    def _judge(self, rollout: rollout_state.Rollout) -> None:
        if rollout.state is not rollout_state.State.RUNNING or rollout.halted:
            return
        reason = self._evidence.reason_to_stop(rollout.label)
        if reason:
            self.halt(rollout.order.service, rollout.revision, reason)
