"""Credit for sends: how much of an unused share a gateway may make up for later.

An endpoint with a rate limit tolerates a bounded number of requests above it in any
window of some seconds.  A gateway's credit grows with its share, and each send takes 1,
so that no gateway sends more than its share over time.  A send is due while there is
credit for it.  Credit above that of one send is kept only up to a bound: gateways whose
callers were quiet may all become busy at once, and what all of them keep has to fit
into what the endpoint tolerates.

Where gateways are many and shares are small, few of them may have a send due at the
same time.  A gateway that has kept as much as it may gives up the credit of one send,
and its next one is due later, at a time that differs between gateways.
"""

import math
import typing

from gaprock import clock, demand_rate

# What an endpoint tolerates: in a window of this many seconds, this multiple of its
# limit, and a number of requests more.
WINDOW_S: typing.Final = 4.0
TOLERATED_FACTOR: typing.Final = 1.5
TOLERATED_MORE: typing.Final = 5.0
# Standard deviations by which the number of gateways with a send due may exceed its
# mean.
DEVIATIONS: typing.Final = 2.5
# Part of a window's regular sends that may follow those that are due already, with
# demand of a share or more; all of them without demand.
BUSY_RESERVE: typing.Final = 0.25
# Occasions that are estimated to be up to this many seconds apart count as two in a
# window.
PAIR_S: typing.Final = 4.7
# Most credit above that of one send that is kept because of demand.
MAX_BUSY_CREDIT: typing.Final = 1.25
# How much more a gateway with a borrowed share may keep, as a part of what it borrowed.
BORROWED_CREDIT: typing.Final = 0.25
# Time constant of estimates of demand, in pauses between two sends and in seconds.
DEMAND_WINDOW_PAUSES: typing.Final = 1.5
MIN_DEMAND_WINDOW_S: typing.Final = 2.0
MAX_DEMAND_WINDOW_S: typing.Final = 30.0
# Occasions in a pause that are assumed at first: an endpoint that announces a limit has
# had too many requests.
ASSUMED_OCCASIONS: typing.Final = 1.6
# Requests that come within this part of a pause are one occasion to send.
OCCASION_PAUSES: typing.Final = 0.02
# A gateway is idle when this many pauses have passed since its last request.
IDLE_PAUSES: typing.Final = 1.4
# Tolerance of the comparison of credit with that of one send.
EPSILON: typing.Final = 1e-9


class Share(typing.NamedTuple):
    """A gateway's share of a rate limit.

    :param per_s: requests per second that the gateway may send.
    :param equal_per_s: the same without lending.
    :param limit_per_s: requests per second that the endpoint takes from all gateways.
    :param gateways: the number of gateways that share the limit.
    """

    per_s: float
    equal_per_s: float
    limit_per_s: float
    gateways: int

    @property
    def pause_s(self) -> float:
        """Pause between two sends, in seconds."""
        return 1.0 / self.per_s if self.per_s > 0 else clock.NEVER

    @property
    def demand_window_s(self) -> float:
        """Time constant of estimates of demand, in seconds."""
        if self.equal_per_s <= 0:
            return MAX_DEMAND_WINDOW_S
        window_s = DEMAND_WINDOW_PAUSES / self.equal_per_s
        return min(MAX_DEMAND_WINDOW_S, max(MIN_DEMAND_WINDOW_S, window_s))

    def kept_credit(self, occasions: float) -> float:
        """Return the credit above that of one send that a gateway may keep.

        :param occasions: mean number of occasions to send in a pause between two sends.
        """
        if self.per_s <= 0:
            return 0.0
        tolerated = TOLERATED_FACTOR * self.limit_per_s * WINDOW_S + TOLERATED_MORE
        regular = self.equal_per_s * self.gateways * WINDOW_S
        idle = self._due_share(tolerated - regular)
        idle *= 1.0 + BORROWED_CREDIT * (self.per_s / self.equal_per_s - 1.0)
        # Callers of a busy gateway use up most of the regular sends already.
        reserve = 1.0 - (1.0 - BUSY_RESERVE) * min(1.0, occasions)
        due_share = self._due_share(tolerated - reserve * regular)
        busy = min(MAX_BUSY_CREDIT, _longest_due(due_share, occasions))
        # If occasions come at the same times at all gateways, two of them in a window
        # find the sends that became due since the one before.
        due_s = WINDOW_S * (tolerated / regular - 1.0)
        if due_s < self.pause_s / max(EPSILON, occasions) < PAIR_S:
            busy = min(busy, due_s / self.pause_s)
        return max(idle, busy)

    def _due_share(self, most: float) -> float:
        """Return the share of the gateways that may have a send due at the same time.

        This is the lower bound of the Wilson interval.

        :param most: how many may have one at most.
        """
        count = self.gateways
        square = DEVIATIONS**2
        if most >= count:
            return most / (count + square)
        share = max(0.0, most / count)
        variance = share * (1.0 - share) / count + square / (4.0 * count**2)
        center = share + square / (2.0 * count)
        return (center - DEVIATIONS * math.sqrt(variance)) / (1.0 + square / count)


def _longest_due(due_share: float, occasions: float) -> float:
    """Return for how long a send may stay due, in pauses.

    Occasions at random times end a due send the sooner, the more of them there are.

    :param due_share: the part of the time for which a send may be due.
    :param occasions: mean number of occasions in a pause.
    """
    used = due_share * occasions
    if used >= 1.0:
        return clock.NEVER
    return -math.log1p(-used) / occasions if used > EPSILON else due_share


class SendCredit:
    """A gateway's credit for sends to one endpoint; not thread-safe.

    :param credit: the credit at first.
    :param share: the share at first.
    :param as_of: when that was, on the steady clock.
    """

    __slots__ = (
        "_credit",
        "_as_of",
        "_share",
        "_kept",
        "_occasions",
        "_occasion_at",
    )

    def __init__(self, credit: float, share: Share, as_of: float) -> None:
        self._credit = credit
        self._as_of = as_of
        self._share = share
        self._kept = share.kept_credit(ASSUMED_OCCASIONS)
        self._occasions = demand_rate.DemandRate(
            ASSUMED_OCCASIONS * share.per_s, share.demand_window_s, as_of
        )
        # When the last occasion was.
        self._occasion_at = -clock.NEVER

    @property
    def value(self) -> float:
        """The credit when it was last updated."""
        return self._credit

    @property
    def kept(self) -> float:
        """The credit above that of one send that is kept."""
        return self._kept

    def note_wanted(self, now: float) -> None:
        """Count a request as an occasion to send."""
        if now >= self._occasion_at + OCCASION_PAUSES * self._share.pause_s:
            self._occasion_at = now
            self._occasions.note(now)

    def set_share(self, share: Share, now: float) -> None:
        """Set the share from now on."""
        gave_up = self._advance(now)
        is_idle = now > self._occasion_at + IDLE_PAUSES * self._share.pause_s
        # A lower limit, or one that more gateways share, applies at once.
        is_less = share.equal_per_s < self._share.equal_per_s
        self._share = share
        self._occasions.set_window(share.demand_window_s, now)
        kept = share.kept_credit(self._occasions.per_s(now) * share.pause_s)
        # The wait of a send that is due lowers the estimate of the demand, but is no
        # reason to give the send up.
        if kept > self._kept or gave_up or is_idle or is_less or self._credit < 1.0:
            self._kept = kept
            self._advance(now)

    def next_at(self, now: float) -> float:
        """Return when the next send is due; ``NEVER`` without a share."""
        if self._share.per_s <= 0:
            return clock.NEVER
        self._advance(now)
        return now + (1.0 - EPSILON - self._credit) * self._share.pause_s

    def note_send(self, now: float) -> None:
        """Record a send that goes out now, when one is due."""
        self._advance(now)
        self._credit -= 1.0

    def _advance(self, now: float) -> bool:
        """Add the credit of the time since; return whether any was given up.

        Whole sends are given up: gateways that were idle are due again at different
        times, as they were before.
        """
        self._credit += max(0.0, now - self._as_of) * self._share.per_s
        self._as_of = max(now, self._as_of)
        excess = self._credit - 1.0 - self._kept
        if excess > 0:
            self._credit -= math.ceil(excess)
        return excess > 0
