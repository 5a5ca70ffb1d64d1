"""Pacing: this gateway's share of the rate that an endpoint takes from all gateways.

An overloaded endpoint announces one rate limit for all gateways together
(``rate_limits``).  Each gateway has an equal *share* of it, whichever peers it hears
from.  Gateways report their demand in gossip.  The unused part of a share is lent to
gateways whose demand exceeds theirs, in proportion to the excess, once they have
reported it for a while: of many that start sending at once, none knows of the others
yet.  A silent gateway lends nothing: it may be sending.  No gateway asks the others
before a send, so when a lender uses its share again, it overlaps with its borrowers for
one heartbeat.

A gateway's share is credit that grows with time, of which each send takes 1
(``send_credit``).  The credit at the time when the limit became known is drawn at
random, so that gateways with small shares are due at different times.

This guards against a limit that each gateway applies on its own, which would be too
high by a factor of the number of gateways, and against shares of it that stay unused.
"""

import random
import threading
import typing

from gaprock import (
    clock,
    demand_rate,
    endpoint_state,
    eventlog,
    rate_limits,
    send_credit,
)

# How long a reported demand is valid: longer than a heartbeat interval plus the way
# through the relays of two halls.
DEMAND_VALID_S: typing.Final = 2.0
# A gateway borrows only after its demand exceeded its share for this long: by then all
# such gateways have learned of each other, also through the relays of two halls.
BORROW_AFTER_S: typing.Final = 1.5
# Share of a limit that is distributed; the rest is a margin for sends that come close
# together.
USED_SHARE: typing.Final = 0.91
# Least rate of all gateways together, requests per second: an endpoint that gets no
# requests cannot answer that its limit has ended.
PROBE_PER_S: typing.Final = 0.1
# Least demand that is reported, in requests per second.
LEAST_REPORTED_PER_S: typing.Final = 0.005
# Interval at which a share is computed again.
SHARE_REFRESH_S: typing.Final = 0.1
# Least interval between log lines about a gateway's share at an endpoint, and the
# relative change that is logged.
SHARE_LOG_INTERVAL_S: typing.Final = 1.0
LOGGED_CHANGE: typing.Final = 0.1


class Turn(typing.NamedTuple):
    """When this gateway's next sends are due.

    :param next_at: the first one; ``NEVER`` for none, in the past if it may go now.
    :param per_s: sends per second from then on.
    """

    next_at: float
    per_s: float

    @property
    def pause_s(self) -> float:
        """Pause between two sends."""
        return 1.0 / self.per_s if self.per_s > 0 else clock.NEVER


ANY_TIME: typing.Final = Turn(-clock.NEVER, clock.NEVER)


class PeerDemand(typing.NamedTuple):
    """Reported demand of a gateway, or of a hall, for an endpoint.

    :param members: number of gateways that it covers.
    :param wanted_per_s: requests per second of all of them.
    """

    members: int
    wanted_per_s: float


def share_per_s(
    per_s: float,
    gateways: int,
    wanted_per_s: float,
    others: typing.Iterable[PeerDemand],
) -> float:
    """Return the requests per second that one gateway may send.

    :param per_s: limit for all gateways together.
    :param gateways: the largest number known lately, including this one.
    :param wanted_per_s: demand of this gateway.
    :param others: demands that peers reported; the shares of silent ones are not lent.
    """
    if gateways <= 0:
        return 0.0
    equal = per_s / gateways
    lack = max(0.0, wanted_per_s - equal)
    if not lack:
        return equal
    spare, lacks = 0.0, lack
    for other in others:
        rest = other.members * equal - other.wanted_per_s
        spare += max(0.0, rest)
        lacks += max(0.0, -rest)
    return equal + spare * lack / lacks


class Pace:
    """Paces this gateway's sends to one endpoint; not thread-safe.

    :param share: this gateway's share at first.
    :param credit: its credit for sends at first.
    :param known_since: when the endpoint's limit became known.
    """

    __slots__ = (
        "_share",
        "_share_until",
        "_credit",
        "_demand",
        "_exceeds_since",
        "_logged_per_s",
        "_log_after",
    )

    def __init__(
        self, share: send_credit.Share, credit: float, known_since: float
    ) -> None:
        # This gateway's share, and until when it applies.
        self._share = share
        self._share_until = -clock.NEVER
        self._credit = send_credit.SendCredit(credit, share, known_since)
        # At first nothing is lent or borrowed.
        self._demand = demand_rate.DemandRate(
            share.per_s, share.demand_window_s, known_since
        )
        # Since when the demand exceeds an equal share; ``NEVER`` while it does not.
        self._exceeds_since = clock.NEVER
        # The share that was logged last, and when the next one may be.
        self._logged_per_s = 0.0
        self._log_after = -clock.NEVER

    def note_wanted(self, now: float) -> None:
        """Count a request that was sent there, or would have been."""
        self._demand.note(now)
        self._credit.note_wanted(now)

    def wanted_per_s(self, now: float) -> float:
        """Return the demand in requests per second."""
        return self._demand.per_s(now)

    def may_borrow(self, equal_per_s: float, now: float) -> bool:
        """Whether the demand has exceeded an equal share for long enough."""
        if self.wanted_per_s(now) <= equal_per_s:
            self._exceeds_since = clock.NEVER
        elif self._exceeds_since == clock.NEVER:
            self._exceeds_since = now
        return now >= self._exceeds_since + BORROW_AFTER_S

    def set_share(self, share: send_credit.Share, now: float) -> None:
        """Set the share, which applies until it is computed again."""
        self._share = share
        self._share_until = now + SHARE_REFRESH_S
        self._demand.set_window(share.demand_window_s, now)
        self._credit.set_share(share, now)

    def log_share(self, incarnation: str, now: float) -> None:
        """Log this gateway's share if it has changed."""
        share = self._share
        change = abs(share.per_s - self._logged_per_s)
        if now < self._log_after or change <= LOGGED_CHANGE * self._logged_per_s:
            return
        self._logged_per_s = share.per_s
        self._log_after = now + SHARE_LOG_INTERVAL_S
        eventlog.info(
            "limit-share",
            endpoint=incarnation,
            limit_per_s=share.limit_per_s,
            gateways=share.gateways,
            share_per_s=share.per_s,
            borrowed_per_s=share.per_s - share.equal_per_s,
            wanted_per_s=self.wanted_per_s(now),
            credit=self._credit.value,
            kept=self._credit.kept,
        )

    def needs_share(self, now: float) -> bool:
        """Whether the share has to be computed again."""
        return now >= self._share_until

    def is_due(self, now: float) -> bool:
        """Whether a send is due."""
        return now >= self._credit.next_at(now)

    def turn(self, now: float) -> Turn:
        """Return when the next sends are due."""
        return Turn(self._credit.next_at(now), self._share.per_s)

    def note_send(self, now: float) -> None:
        """Record a send that goes out now, when one is due."""
        self._credit.note_send(now)


def _rounded(per_s: float) -> float:
    """Round a demand for gossip, whose messages are sent when a figure changes."""
    return float(f"{per_s:.2g}") if per_s >= LEAST_REPORTED_PER_S else 0.0


class Pacer:
    """Enforces the limits that endpoints announce; thread-safe.

    :param limits: the announced limits.
    :param gateways: returns the largest number of gateways known lately, or 0.
    """

    __slots__ = (
        "limits",
        "paced",
        "_clock",
        "_gateways",
        "_rng",
        "_lock",
        "_paces",
        "_claims",
    )

    def __init__(
        self,
        clock_: clock.Clock,
        gateways: typing.Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
    ) -> None:
        self.limits = rate_limits.RateLimits(clock_, gateways)
        # Number of sends that a limit did not allow and that went elsewhere or waited.
        self.paced = 0
        self._clock = clock_
        self._gateways = gateways
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._paces: dict[str, Pace] = {}
        # Demands of peers and halls by name: when reported, and by incarnation.
        self._claims: dict[str, tuple[float, dict[str, PeerDemand]]] = {}

    # -- Sends --

    def may_send(self, endpoint: endpoint_state.Endpoint, now: float) -> bool:
        """Whether a send to an endpoint is within this gateway's share now."""
        per_s = self.limits.limit(endpoint.incarnation)
        if per_s is None:
            return True
        with self._lock:
            return self._due(endpoint.incarnation, per_s, now).is_due(now)

    def take(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Record a send that goes out now; return whether it is allowed."""
        per_s = self.limits.limit(endpoint.incarnation)
        if per_s is None:
            return True
        now = self._clock.now()
        with self._lock:
            pace = self._due(endpoint.incarnation, per_s, now)
            pace.note_wanted(now)
            if not pace.is_due(now):
                self.paced += 1
                return False
            pace.note_send(now)
            return True

    def turn(self, endpoint: endpoint_state.Endpoint) -> Turn:
        """Return when this gateway's next sends to an endpoint are due."""
        per_s = self.limits.limit(endpoint.incarnation)
        if per_s is None:
            return ANY_TIME
        with self._lock:
            now = self._clock.now()
            return self._due(endpoint.incarnation, per_s, now).turn(now)

    def note_wanted(self, endpoint: endpoint_state.Endpoint) -> None:
        """Record a request that would have gone there if the share had allowed it."""
        now = self._clock.now()
        per_s = self.limits.limit(endpoint.incarnation)
        with self._lock:
            self.paced += 1
            if per_s is not None:
                self._due(endpoint.incarnation, per_s, now).note_wanted(now)

    def _due(self, incarnation: str, limit_per_s: float, now: float) -> Pace:
        """Return the pace of an endpoint, with this gateway's current share."""
        pace = self._paces.get(incarnation)
        if pace is not None and not pace.needs_share(now):
            return pace
        gateways = self._gateways()
        used_per_s = max(USED_SHARE * limit_per_s, PROBE_PER_S)
        equal_per_s = used_per_s / gateways if gateways else 0.0
        if pace is None:
            share = send_credit.Share(equal_per_s, equal_per_s, limit_per_s, gateways)
            since = self.limits.known_since(incarnation)
            pace = Pace(share, self._rng.random(), since)
            self._paces[incarnation] = pace
        others: list[PeerDemand] = []
        if gateways and pace.may_borrow(equal_per_s, now):
            others = self._others(incarnation)
        per_s = share_per_s(used_per_s, gateways, pace.wanted_per_s(now), others)
        share = send_credit.Share(per_s, equal_per_s, limit_per_s, gateways)
        pace.set_share(share, now)
        pace.log_share(incarnation, now)
        return pace

    # -- Gossip --

    def _others(self, incarnation: str) -> list[PeerDemand]:
        """Return the demands reported lately; a silent gateway lends nothing."""
        since = self._clock.now() - DEMAND_VALID_S
        return [
            claims[incarnation]
            for told_at, claims in self._claims.values()
            if told_at >= since and incarnation in claims
        ]

    def news(self) -> list[rate_limits.LimitUpdate]:
        """Return the known limits and this gateway's demand, to report to peers."""
        now = self._clock.now()
        with self._lock:
            wanted = {
                incarnation: _rounded(pace.wanted_per_s(now))
                for incarnation, pace in self._paces.items()
            }
        return self.limits.news(wanted)

    def record_news(
        self,
        sender: str,
        members: int,
        news: list[rate_limits.LimitUpdate],
        age_s: float = 0.0,
    ) -> None:
        """Apply limits and demand that a peer or a hall reports.

        :param members: number of gateways that the report covers.
        :param age_s: time that the message was on its way.
        """
        if news:
            self.limits.record_news(sender, news, age_s)
        claims = {one.endpoint: PeerDemand(members, one.wanted_per_s) for one in news}
        with self._lock:
            self._claims[sender] = (self._clock.now(), claims)
            if not claims:
                del self._claims[sender]

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Remove limits that no longer apply, and the pacing state without a limit.

        :param lives: the current endpoint incarnations.
        """
        self.limits.forget_old(lives)
        with self._lock:
            for incarnation in list(self._paces):
                if self.limits.limit(incarnation) is None:
                    del self._paces[incarnation]
