"""Pacing: what this gateway may send of the rate that an endpoint takes from all.

An endpoint in need names one rate for all gateways together (``rate_limits``).  Each
gateway has an equal *share* of it by itself, whomever it hears.  Gateways tell each
other how much each of them wants to send there; what one does not want of its share is
lent to those that want more than theirs, in proportion to what they lack, once they
have told so for a while: of many that begin at once none knows of the others yet.  One
that is silent lends nothing: it may be sending.  Nobody is asked before a send, so a
lender that takes its share back overlaps with its borrowers for a beat.

Sends of a gateway are spread evenly.  One that has not sent for a while draws the
moment of its first send from a whole pause: of many gateways that begin at once, each
with one request, just so many send in any second as the endpoint takes.

Guards against a limit that each gateway keeps by itself, which is as many times too
high as there are gateways, and against parts of it that nobody uses.
"""

import math
import random
import threading
import typing

from gaprock import clock, endpoint_state, rate_limits

# What somebody told of its wants holds for so long, seconds; longer than a beat and its
# way through the carriers of two halls.
CLAIM_S: typing.Final = 2.0
# A gateway borrows once it has lacked for so long, seconds: by then all that lack have
# told each other, through the carriers of two halls too.
BORROW_AFTER_S: typing.Final = 1.5
# Over which wants are averaged, seconds.
WANTED_S: typing.Final = 2.0
# A pause between two sends is shorter by the time until the next request comes, which
# would be lost otherwise; by so many seconds, and this share of it, at most.
SHORTER_MOST_S: typing.Final = 4.0
SHORTER_SHARE: typing.Final = 0.5
# So many seconds' worth of sends may go out at once when all gateways begin together;
# with more gateways each draws the moment at which it begins.
BEGIN_S: typing.Final = 1.0
# Share of a limit that is planned for; the rest is for sends that come close together.
USED_SHARE: typing.Final = 0.9
# All gateways together send so much at least, requests a second: an endpoint that
# nobody asks cannot say that it is well again.
TRIAL_PER_S: typing.Final = 0.1
# A share is worked out anew after this time, seconds.
SHARE_S: typing.Final = 0.1


class Turn(typing.NamedTuple):
    """When our next sends are due.

    :param next_at: the first one; ``NEVER`` for none, the past for one that may go now.
    :param per_s: how many a second from then on.
    """

    next_at: float
    per_s: float

    @property
    def pause_s(self) -> float:
        """The seconds between two of them."""
        return 1.0 / self.per_s if self.per_s > 0 else clock.NEVER


ANY_TIME: typing.Final = Turn(-clock.NEVER, clock.NEVER)


class Claim(typing.NamedTuple):
    """What a gateway, or a hall, wants to send to an endpoint.

    :param members: how many gateways it stands for.
    :param wanted_per_s: requests a second.
    """

    members: int
    wanted_per_s: float


def share(
    per_s: float, gateways: int, wanted_per_s: float, others: typing.Iterable[Claim]
) -> float:
    """Give the requests a second that one gateway may send.

    :param per_s: that all may send together.
    :param gateways: the most that were known lately, this one among them.
    :param wanted_per_s: what this one wants to send.
    :param others: those that were heard; what the rest has is not lent.
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
    """Our sends to one endpoint; not safe for threads by itself."""

    __slots__ = (
        "_last_at",
        "_wanted",
        "_wanted_at",
        "_lacks_since",
        "_per_s",
        "_pause_s",
        "_share_until",
    )

    def __init__(self) -> None:
        # When the last send was, or where we stand in our first pause.
        self._last_at = -clock.NEVER
        # Wants, the older ones counting less, as of a moment.
        self._wanted = 0.0
        self._wanted_at = 0.0
        # Since when we want more than an equal share; ``NEVER`` while we do not.
        self._lacks_since = clock.NEVER
        # Our share, and until when it is used.
        self._per_s = 0.0
        self._pause_s = 0.0
        self._share_until = -clock.NEVER

    def note_wanted(self, now: float) -> None:
        """Count a request that was sent there, or would have been."""
        self._wanted = 1.0 + self._wanted * self._faded(now)
        self._wanted_at = now

    def wanted_per_s(self, now: float) -> float:
        """Give the requests a second that we want to send, to one digit."""
        value = self._wanted * self._faded(now) / WANTED_S
        return float(f"{value:.1g}") if value >= 0.05 else 0.0

    def _faded(self, now: float) -> float:
        return math.exp(min(0.0, self._wanted_at - now) / WANTED_S)

    def may_borrow(self, equal_per_s: float, now: float) -> bool:
        """Whether we have wanted more than an equal share for long enough."""
        if self.wanted_per_s(now) <= equal_per_s:
            self._lacks_since = clock.NEVER
        elif self._lacks_since == clock.NEVER:
            self._lacks_since = now
        return now >= self._lacks_since + BORROW_AFTER_S

    def set_share(self, per_s: float, now: float) -> None:
        """Take our share, to be used for a moment."""
        self._per_s = per_s
        self._share_until = now + SHARE_S
        if per_s > 0:
            wait_s = 1.0 / max(self.wanted_per_s(now), per_s)
            shorter_s = min(SHORTER_MOST_S, SHORTER_SHARE / per_s, wait_s)
            self._pause_s = 1.0 / per_s - shorter_s

    def needs_share(self, now: float) -> bool:
        """Whether our share has to be worked out anew."""
        return now >= self._share_until

    @property
    def per_s(self) -> float:
        """Our share, requests a second."""
        return self._per_s

    @property
    def next_at(self) -> float:
        """When our next send is due; ``NEVER`` where we have no share."""
        return self._last_at + self._pause_s if self._per_s > 0 else clock.NEVER

    def begin(self, now: float, draw: float) -> None:
        """Draw the moment of the first send, if there was none for two whole pauses.

        :param draw: 0 to 1; where in a pause we begin.
        """
        if self._per_s > 0 and now - self._last_at > 2.0 / self._per_s:
            self._last_at = now - draw / self._per_s

    def note_send(self, now: float) -> None:
        """Count a send that goes out now, when one is due."""
        self._last_at = now


class Pacer:
    """Keeps to the limits that endpoints name; safe for all threads.

    :param limits: what endpoints named.
    :param gateways: gives the most gateways that were known lately, or 0.
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
        # Sends that went elsewhere, or waited, since a limit did not allow them.
        self.paced = 0
        self._clock = clock_
        self._gateways = gateways
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._paces: dict[str, Pace] = {}
        # What others want, by their names: when it was told, and by endpoint.
        self._claims: dict[str, tuple[float, dict[str, Claim]]] = {}

    # -- Sends --

    def may_send(self, endpoint: endpoint_state.Endpoint, now: float) -> bool:
        """Whether a send to an endpoint is within our share now."""
        per_s = self.limits.limit(endpoint.incarnation)
        if per_s is None:
            return True
        with self._lock:
            return now >= self._due(endpoint.incarnation, per_s, now).next_at

    def take(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Count a send that goes out now; give whether it may."""
        per_s = self.limits.limit(endpoint.incarnation)
        if per_s is None:
            return True
        now = self._clock.now()
        with self._lock:
            pace = self._due(endpoint.incarnation, per_s, now)
            pace.note_wanted(now)
            if now < pace.next_at:
                self.paced += 1
                return False
            pace.note_send(now)
            return True

    def turn(self, endpoint: endpoint_state.Endpoint) -> Turn:
        """Give when our next sends to an endpoint are due."""
        per_s = self.limits.limit(endpoint.incarnation)
        if per_s is None:
            return ANY_TIME
        with self._lock:
            pace = self._due(endpoint.incarnation, per_s, self._clock.now())
            return Turn(pace.next_at, pace.per_s)

    def note_wanted(self, endpoint: endpoint_state.Endpoint) -> None:
        """Note a request that would have gone there, had our share allowed it."""
        with self._lock:
            self.paced += 1
            self._pace(endpoint.incarnation).note_wanted(self._clock.now())

    def _pace(self, incarnation: str) -> Pace:
        return self._paces.setdefault(incarnation, Pace())

    def _due(self, incarnation: str, per_s: float, now: float) -> Pace:
        """Give the pace of an endpoint with the share that is ours now."""
        pace = self._pace(incarnation)
        if not pace.needs_share(now):
            return pace
        per_s = max(USED_SHARE * per_s, TRIAL_PER_S)
        gateways = self._gateways()
        others: list[Claim] = []
        if gateways and pace.may_borrow(per_s / gateways, now):
            others = self._others(incarnation)
        pace.set_share(share(per_s, gateways, pace.wanted_per_s(now), others), now)
        if gateways > BEGIN_S * per_s:
            pace.begin(now, self._rng.random())
        return pace

    # -- What gateways tell each other --

    def _others(self, incarnation: str) -> list[Claim]:
        """Give what those want that told it lately; silence lends nothing."""
        since = self._clock.now() - CLAIM_S
        return [
            claims[incarnation]
            for told_at, claims in self._claims.values()
            if told_at >= since and incarnation in claims
        ]

    def news(self) -> list[rate_limits.LimitNews]:
        """Give what is known of limits, and what we want to send."""
        now = self._clock.now()
        with self._lock:
            wanted = {
                incarnation: pace.wanted_per_s(now)
                for incarnation, pace in self._paces.items()
            }
        return self.limits.news(wanted)

    def record_news(
        self,
        sender: str,
        members: int,
        news: list[rate_limits.LimitNews],
        age_s: float = 0.0,
    ) -> None:
        """Take what a gateway or a hall tells.

        :param members: how many gateways it speaks for.
        :param age_s: how long the news were on their way, seconds.
        """
        if news:
            self.limits.record_news(sender, news, age_s)
        claims = {one.endpoint: Claim(members, one.wanted_per_s) for one in news}
        with self._lock:
            self._claims[sender] = (self._clock.now(), claims)
            if not claims:
                del self._claims[sender]

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Drop what no limit holds for any more.

        :param lives: the endpoints that are there.
        """
        self.limits.forget_old(lives)
        with self._lock:
            for incarnation in list(self._paces):
                if self.limits.limit(incarnation) is None:
                    del self._paces[incarnation]
