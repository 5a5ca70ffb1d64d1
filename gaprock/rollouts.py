"""Rollouts ordered by an operator: which sessions get the new version, and its outcome.

The phases of a rollout, by the share of its time that has passed:

1. At first a fixed share of sessions gets the new version, the *canary*.  A session is
   assigned by a hash of its name, so that all gateways agree without communication and
   no session changes its version.  Sessions that are already active on the old version
   stay there in the first half (``rollout_sessions``).
2. In the second half it gets all requests, once the exposure that is still allowed
   suffices until the end (``rollout_growth``).  Sessions only ever move to the new
   version.  No gateway sends it more than its part of the allowed exposure
   (``rollout_exposure``): what is above that goes to the old version.
3. When the new version has had all requests for a while, nothing is held against it,
   and nothing runs on the old version at any gateway or the end is near, the outcome
   *completed* is written.  Evidence against the new version halts it at any time, at
   this gateway at once and at the others by gossip, and *rolled back* is written.  So
   it is if the version cannot be completed in time.

A process that was killed recovers its state from the store's rows (order, outcome,
start) and from the next heartbeats of its peers (evidence, sends, shares, halts).  What
no peer reports is not assumed: the share is the first one, and nothing is left of the
allowed exposure but what new sends add.
"""

import typing

from gaprock import (
    clock,
    eventlog,
    evidence,
    gateway_api,
    mechanisms,
    rollout_exposure,
    rollout_growth,
    rollout_judge,
    rollout_sessions,
    rollout_state,
)

# A canary begins with this part of the allowed share, until the rate of sends is known.
FIRST_USED_SHARE: typing.Final = 0.5
# A service with fewer sends than this during a rollout cannot prove a version.
MIN_SENDS: typing.Final = 20
# How much likelier the evidence must be with a good version than with a slow one:
# where all of it is known, and where a part may have been lost.
WHOLE_ODDS: typing.Final = 5.0
PARTIAL_ODDS: typing.Final = 10.0


class Rollouts(rollout_judge.JudgedOrders):
    """All rollouts, and which version each request gets; thread-safe.

    :param canary_share: the share of requests that a canary may get.
    :param session_s: the longest pause between requests of one session.
    :param canary_slack: sends to a canary that are allowed on top of its share.
    :param count_gateways: returns the number of gateways, including missing ones.
    :param versions_of: returns the versions that a service's endpoints run; ``None`` if
        that cannot be known.
    """

    def __init__(
        self,
        clock_: clock.Clock,
        canary_share: float,
        evidence_: evidence.EvidenceBook,
        session_s: float = 5.0,
        canary_slack: float = 0.0,
        count_gateways: typing.Callable[[], int] = lambda: 1,
        versions_of: typing.Callable[[str], set[str]] | None = None,
    ) -> None:
        super().__init__(
            clock_,
            session_s,
            evidence_,
            rollout_exposure.Allowance(canary_share, canary_slack),
            versions_of,
        )
        self._sessions = rollout_sessions.RecentSessions(session_s)
        self._canary = canary_share * FIRST_USED_SHARE
        self._count_gateways = count_gateways
        # Stand for the orders of stable versions that no order is known of.
        self._unordered: dict[str, rollout_state.Rollout] = {}

    # -- Which version a request gets --

    def share(self, rollout: rollout_state.Rollout) -> float:
        """Return the share of sessions that the new version gets now."""
        if rollout.state is rollout_state.State.COMPLETED:
            return 1.0
        now = self._clock.now()
        if self.is_return(rollout):
            rollout.growth.move(now)
            return 1.0
        if rollout.halted or rollout.state is rollout_state.State.ROLLED_BACK:
            return 0.0
        if rollout.growth.begin_update(now):
            self._grow(rollout, now)
        return rollout.growth.reached

    def _grow(self, rollout: rollout_state.Rollout, now: float) -> None:
        """Update the share of a rollout under way."""
        growth, label = rollout.growth, rollout.label
        growth.raise_canary(self._canary)
        rollout.gateways = max(rollout.gateways, self._count_gateways())
        growth.fleet_rate.add(now, self._sends.fleet(label).total)
        growth.own_rate.add(now, self._sends.own(label).total)
        if growth.reached < 1.0 and not self.is_doubted(rollout):
            self._raise_canary(rollout, now)
        if rollout.elapsed_share(now) < rollout_growth.PINNED_SHARE:
            return
        left_s = rollout.ends_at - now
        planned = rollout.planned_slack(is_moved=True)
        own = self._sends.own(label)
        own_allowance = self._allowance.with_slack(planned / rollout.gateways)
        forecasts = (
            self._forecast(rollout, now, planned, growth.fleet_rate.per_s),
            rollout_growth.forecast(own_allowance, own, growth.own_rate.per_s, left_s),
        )
        is_doubted = self.is_doubted(rollout) or self.is_suspected(rollout)
        growth.plan(now, left_s, forecasts, is_doubted, self._evidence.counts(label))

    def _raise_canary(self, rollout: rollout_state.Rollout, now: float) -> None:
        """Give the canary the share that its evidence needs, once that is known."""
        per_s = rollout.growth.fleet_rate.per_s
        if per_s is None or not rollout.is_rate_known(now):
            return
        planned = rollout.planned_slack(is_moved=True)
        share = rollout_growth.canary_share(
            self._allowance.with_slack(planned),
            self._sends.fleet(rollout.label),
            per_s,
            rollout.order.finish_s,
            rollout.ends_at - now,
            rollout.pins_sessions(now),
        )
        rollout.growth.raise_canary(share)

    def _forecast(
        self,
        rollout: rollout_state.Rollout,
        now: float,
        used_slack: float,
        per_s: float | None,
    ) -> rollout_growth.Forecast:
        """Forecast the fleet's exposure if all requests go to the new version.

        :param used_slack: the share of the slack that may be used.
        :param per_s: the fleet's rate of sends.
        """
        return rollout_growth.forecast(
            self._allowance.with_slack(used_slack),
            self._sends.fleet(rollout.label),
            per_s,
            rollout.ends_at - now,
        )

    def reason_against(self, rollout: rollout_state.Rollout) -> str:
        """Return why a rollout must not be completed now; empty if it may be."""
        now = self._clock.now()
        if self.share(rollout) < 1.0:
            return "not at the full share"
        if not self._has_endpoint(rollout):
            return "it has no endpoint"
        if self.is_return(rollout):
            return ""
        self._judge(rollout)
        if self.is_suspected(rollout) or self.is_doubted(rollout):
            return "in doubt"
        sends, label = self.exposure(rollout), rollout.label
        if not rollout.is_known_whole or sends.total >= MIN_SENDS:
            odds = WHOLE_ODDS if rollout.is_known_whole else PARTIAL_ODDS
            if not self._evidence.is_proved(label, odds, rollout.answered_periods(now)):
                return "too little evidence for it"
        elif not self._evidence.is_answered(label, sends.exposed):
            return "too few answers"
        if rollout.is_over(now):
            return ""
        per_s = rollout.growth.fleet_rate.per_s
        fleet = self._forecast(rollout, now, self._session_slack(rollout), per_s)
        return "" if fleet.fits else "the allowed exposure does not suffice"

    def assignment(
        self, service: str, session: str, is_named: bool = False
    ) -> rollout_state.Assignment | None:
        """Return the assignment of a session; ``None`` if any version may be used.

        :param is_named: whether the caller named the session, so that its requests
            belong together.
        """
        rollout = self._by_service.get(service)
        if rollout is None:
            return self._assign_unordered(service)
        share = self.share(rollout)
        if self.is_return(rollout):
            return self._assign(rollout, on_new=True)
        session_hash = rollout_sessions.hash_session(session, rollout.label)
        on_new = session_hash < share * rollout_sessions.HASH_RANGE
        if on_new and is_named:
            on_new = not self._stays_on_old(rollout, session, session_hash)
        if on_new:
            on_new = self._is_admitted(rollout, session if is_named else "")
        return self._assign(rollout, on_new)

    def _assign_unordered(self, service: str) -> rollout_state.Assignment | None:
        """Return the assignment of all sessions of a service without an order."""
        stable = self.roles.stable(service)
        if not stable:
            return None
        rollout = self._unordered.get(service)
        if rollout is None or rollout.order.to_version != stable:
            order = gateway_api.RolloutOrder(service, stable, 0.0)
            rollout = rollout_state.Rollout(order, 0, -clock.NEVER, 0.0)
            rollout.state = rollout_state.State.COMPLETED
            self._unordered[service] = rollout
        return self._assign(rollout, on_new=True)

    def _assign(
        self, rollout: rollout_state.Rollout, on_new: bool
    ) -> rollout_state.Assignment:
        order = rollout.order
        stable = self.roles.stable(order.service)
        if stable == order.to_version:
            stable = ""
        withdrawn = self.roles.withdrawn(order.service)
        return rollout_state.Assignment(rollout, on_new, stable, withdrawn)

    def _is_admitted(self, rollout: rollout_state.Rollout, session: str) -> bool:
        """Whether the allowed exposure has room for one more send.

        :param session: the session's name; empty if the caller did not name it.
        """
        now = self._clock.now()
        if rollout.state is rollout_state.State.COMPLETED or rollout.is_over(now):
            return True
        own = self._sends.own(rollout.label)
        planned = rollout.planned_slack(rollout.growth.reached >= 1.0)
        allowance = self._allowance.with_slack(planned / rollout.gateways)
        # A session may be on the new version at another gateway; it is not sent back.
        if session or self._has_canary_room(rollout, own, now):
            if allowance.admits(own, self._reserve(rollout, now)):
                return True
        order = rollout.order
        version = self._sessions.version(order.service, session, now)
        if not session or version != order.to_version:
            return False
        used_slack = self._session_slack(rollout)
        allowance = self._allowance.with_slack(used_slack)
        if allowance.admits(self.exposure(rollout), self._unreported(rollout)):
            return True
        if used_slack:
            # Its sessions would need more, and none of them may move back.
            self.halt(
                order.service,
                rollout.revision,
                "the allowed exposure is used up",
                rollout.epoch,
            )
        return False

    def _has_canary_room(
        self, rollout: rollout_state.Rollout, own: rollout_exposure.Sends, now: float
    ) -> bool:
        """Whether this gateway keeps enough of its part for the move at the end."""
        per_s = rollout.growth.own_rate.per_s
        if rollout.growth.reached >= 1.0 or per_s is None:
            return True
        planned = rollout.planned_slack(is_moved=True)
        room = rollout_growth.canary_room(
            self._allowance.with_slack(planned / rollout.gateways),
            own,
            per_s,
            rollout.order.finish_s,
            rollout.ends_at - now,
        )
        return room >= 1.0

    def _unreported(self, rollout: rollout_state.Rollout) -> float:
        """Return the exposure that peers may not have reported yet."""
        growth = rollout.growth
        if growth.reached < 1.0:
            return 0.0
        per_s = growth.fleet_rate.per_s or 0.0
        return per_s * rollout_growth.REPORT_LAG_S * (1.0 - self._allowance.share)

    def _session_slack(self, rollout: rollout_state.Rollout) -> float:
        """Return the share of the slack that may be used by sessions on the version."""
        planned = rollout.planned_slack(is_moved=True)
        return planned + rollout_state.SESSION_SLACK if planned else 0.0

    def _reserve(self, rollout: rollout_state.Rollout, now: float) -> float:
        """Return the exposure to leave for the time after the outcome is written.

        Then the new version gets everything, and a burst may have begun meanwhile.
        """
        growth = rollout.growth
        if growth.reached < 1.0:
            return 0.0
        reserved_s = min(rollout.ends_at - now, rollout_state.WRITE_BEFORE_S)
        per_s = growth.own_rate.peak_per_s
        share = self._allowance.share
        return 0.0 if per_s is None else per_s * reserved_s * (1.0 - share)

    def _stays_on_old(
        self, rollout: rollout_state.Rollout, session: str, session_hash: int
    ) -> bool:
        """Whether a session stays on the old version, as active ones do at first."""
        now = self._clock.now()
        if not rollout.pins_sessions(now):
            return False
        version = self._sessions.version(rollout.order.service, session, now)
        if version is not None:
            return version != rollout.order.to_version
        return rollout.awaits_peers(now) or rollout.pinned.is_reported(
            session_hash, now
        )

    def record_session(self, service: str, session: str, version: str) -> None:
        """Record that a request of a session is sent to a version."""
        now = self._clock.now()
        self._sessions.record(service, session, version, now)
        self._record_pinned(service, session, version, now)

    def is_on_ordered(self, service: str, session: str) -> bool:
        """Whether an active session was last sent to the ordered version."""
        rollout = self._by_service.get(service)
        version = self._sessions.version(service, session, self._clock.now())
        return rollout is not None and version == rollout.order.to_version

    def record_session_end(self, service: str, session: str) -> None:
        """Record the end of a session's request, from which its idle time counts."""
        now = self._clock.now()
        self._sessions.record_end(service, session, now)
        version = self._sessions.version(service, session, now)
        if version is not None:
            self._record_pinned(service, session, version, now)

    def _record_pinned(
        self, service: str, session: str, version: str, now: float
    ) -> None:
        """Pin a session on the old version, for peers to pin it as well."""
        rollout = self._by_service.get(service)
        if rollout is None or version == rollout.order.to_version:
            return
        if rollout.pins_sessions(now):
            self._pin(rollout, session, now)

    def _on_ordered(self, rollout: rollout_state.Rollout) -> None:
        """Pin the sessions that are active on other versions when an order comes."""
        order, now = rollout.order, self._clock.now()
        recent = self._sessions.active_on_other_versions(
            order.service, order.to_version, now
        )
        for session, seen_at in recent.items():
            self._pin(rollout, session, seen_at)

    def _pin(
        self, rollout: rollout_state.Rollout, session: str, seen_at: float
    ) -> None:
        session_hash = rollout_sessions.hash_session(session, rollout.label)
        if session_hash < rollout_growth.MAX_CANARY * rollout_sessions.HASH_RANGE:
            rollout.pinned.record(session_hash, seen_at)

    def pinned_sessions(self, rollout: rollout_state.Rollout) -> list[int]:
        """Return the hashes of pinned sessions to report to peers."""
        now = self._clock.now()
        return rollout.pinned.own(now) if rollout.pins_sessions(now) else []

    def fits(self, service: str, version: str, session: str) -> bool:
        """Whether a request outside any session may run on a version of a service."""
        assignment = self.assignment(service, session)
        return assignment is None or assignment.takes(version)

    def is_canary_limited(self, assignment: rollout_state.Assignment) -> bool:
        """Whether an assignment is limited to a share of the canary's endpoints."""
        if not assignment.on_new or not mechanisms.CANARY_PLACE.on:
            return False
        return self.share(assignment.rollout) < 1.0

    def allowed_endpoints(
        self,
        assignment: rollout_state.Assignment | None,
        names: list[str],
        near: list[str],
    ) -> typing.Collection[str]:
        """Return the endpoints that a request may be sent to.

        The canary's share of requests goes to the same share of its endpoints, so that
        each of them is about as loaded as all of them will be later.  A version that
        fails only under load then shows it while few requests are exposed.  If this
        hall has enough of the endpoints, a share of those is used: the load that peers
        put on them is known best, and waiting behind it is no fault of the version.
        The endpoints take turns, so that none of them stands for the version.

        :param assignment: assignment of the request's session.
        :param names: the usable endpoints of the session's version.
        :param near: those of them in this hall.
        """
        if assignment is None or not names:
            return names
        if assignment.on_new:
            rollout = assignment.rollout
            rollout.endpoints = max(rollout.endpoints, len(names))
        if not self.is_canary_limited(assignment):
            return names
        rollout = assignment.rollout
        share = self.share(rollout)
        turn = rollout.endpoint_turn(self._clock.now())
        if in_hall := round(share * len(near)):
            return _in_turn(sorted(near), in_hall, turn)
        return _in_turn(sorted(names), max(1, int(share * len(names))), turn)

    # -- Log --

    def log_exposure(self) -> None:
        """Log the exposure of each rollout under way, and the sends by version."""
        self.version_sends.log()
        now = self._clock.now()
        for rollout in self.all():
            if rollout.is_over(now):
                continue
            fleet, own = self.exposure(rollout), self._sends.own(rollout.label)
            eventlog.info(
                "rollout-exposure",
                service=rollout.order.service,
                version=rollout.order.to_version,
                state=rollout.state.value,
                halted=rollout.halted,
                age_s=now - rollout.started_at,
                share=self.share(rollout),
                sends=fleet.total,
                exposed=fleet.exposed,
                allowed=self._allowance.limit(fleet.total),
                own_sends=own.total,
                own_exposed=own.exposed,
                **self._evidence.counts(rollout.label),
                **self._evidence.times(rollout.label),
            )


def _in_turn(names: list[str], count: int, turn: int) -> list[str]:
    """Return so many of the names, others in each turn."""
    first = turn * count % len(names)
    return (names[first:] + names[:first])[:count]
