"""How old our knowledge of the shared store's tables is, and when to prove it anew.

A poll that waits at the store tells of a change at once, but its silence proves
nothing: a call that the store took while it was away, or whose connection went silent,
is never answered.  Only an answer proves that a table is as we know it, and only for
the moment at which the store gave it.  ``Freshness`` keeps that moment for one table
and says when the next proof is due, well within the time in which a change has to be in
force.

A proof is the store's own time, so gateways hand it on in beats and it keeps its age
however long a beat takes.  The first of the gateways that read the store proves for
all; another one asks itself when no proof has reached it.

Guards against old configurations and endpoints that have left.  With a change a second
and a store that was silent for six seconds, 140 to 404 requests of a day were handled
by an old configuration without proofs, none with them (two sites, two seeds each).  The
calls cost 0.003 of a day's worth (three sites, 18 days each).
"""

import random
import typing

from gaprock import clock, eventlog

# The first gateway asks after this share of the time in which a change has to be in
# force.  Others then have it within another two tenths of a second and their own look.
LEAD_SHARE: typing.Final = 0.4
# The others ask between these shares, so that one of them asks before the rest.  The
# first one's proof is never as old where beats come five times a second.
OTHER_SHARES: typing.Final = (0.7, 0.9)


class StoreClock:
    """The store's steady clock beside ours; one for all tables.

    An answer tells only that the store's time fell between the question and the answer,
    so the difference of the clocks is known within bounds, which every answer narrows.
    Whoever hands a time on says which bound is safe there: with the question's moment
    alone a late answer makes a rollout older than it is, and moves sessions.
    """

    __slots__ = ("_bounds",)

    def __init__(self) -> None:
        # The least and the most that our clock may be ahead, seconds.
        self._bounds: tuple[float, float] | None = None

    def record(self, store_now: float, asked_at: float, answered_at: float) -> None:
        """Take an answer that the store did not hold.

        :param store_now: the store's time in the answer, seconds.
        :param asked_at: when we asked.
        :param answered_at: when the answer was there, or later.
        """
        least, most = asked_at - store_now, answered_at - store_now
        if self._bounds is not None:
            narrowed = max(least, self._bounds[0]), min(most, self._bounds[1])
            if narrowed[0] <= narrowed[1]:
                self._bounds = narrowed
                return
            eventlog.info("store-clock-anew", least_s=least, before_s=self._bounds[0])
        self._bounds = least, most

    @property
    def is_known(self) -> bool:
        """Whether the store answered once."""
        return self._bounds is not None

    def earliest(self, stamp: float) -> float | None:
        """Give the earliest that a time of the store can be by our clock.

        :returns: ``None`` before the store's first answer.
        """
        return None if self._bounds is None else stamp + self._bounds[0]

    def latest(self, stamp: float) -> float | None:
        """Give the latest that a time of the store can be by our clock."""
        return None if self._bounds is None else stamp + self._bounds[1]

    def latest_store_time(self, at: float) -> float:
        """Give the latest that a time of ours can be by the store's clock.

        :raises ValueError: before the store's first answer.
        """
        if self._bounds is None:
            raise ValueError("the store has not answered yet")
        return at - self._bounds[0]


class Freshness:
    """The newest proof of one table; the follower that owns it holds its lock.

    :param bound_s: within which a change has to be in force, seconds.
    :param leads: whether we prove for the others.
    """

    __slots__ = (
        "_clock",
        "_store_clock",
        "_bound_s",
        "_leads",
        "_rng",
        "_share",
        "_hurry_at",
        "stamp",
        "own_stamp",
        "verified_at",
    )

    def __init__(
        self,
        clock_: clock.Clock,
        store_clock: StoreClock,
        bound_s: typing.Callable[[], float],
        leads: typing.Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock = clock_
        self._store_clock = store_clock
        self._bound_s = bound_s
        self._leads = leads
        self._rng = random.Random()
        self._share = OTHER_SHARES[0]
        self._hurry_at = clock.NEVER
        # The newest proof, from whomever, and the newest of our own calls; by the
        # store's clock, 0 for none.
        self.stamp = 0.0
        self.own_stamp = 0.0
        # The newest proof by our clock.
        self.verified_at = 0.0

    def prove(self, stamp: float) -> None:
        """Take a proof that another gateway handed on."""
        # A proof may look older than it is, never newer.
        at = self._store_clock.earliest(stamp)
        # One from the future is of a store that counts anew.
        if at is not None and self.verified_at < at <= self._clock.now():
            self.stamp, self.verified_at = stamp, at
            self._share = self._rng.uniform(*OTHER_SHARES)

    def prove_by_answer(self, stamp: float, asked_at: float | None) -> None:
        """Take the store's own answer.

        :param asked_at: when it was asked for; ``None`` if the store held the call.
        """
        if asked_at is not None:
            self._store_clock.record(stamp, asked_at, self._clock.now())
        self.own_stamp = stamp
        self._hurry_at = clock.NEVER
        self.prove(stamp)

    def hurry(self, until: float) -> None:
        """Have the next proof due earlier, because a change was told of."""
        self._hurry_at = min(self._hurry_at, until)

    @property
    def is_check_due(self) -> bool:
        """Whether to ask the store now."""
        share = LEAD_SHARE if self._leads() else self._share
        due_at = self.verified_at + share * self._bound_s()
        return self._clock.now() >= min(due_at, self._hurry_at)

    @property
    def is_stale(self) -> bool:
        """Whether a change that has to be in force may be unknown to us."""
        return self._clock.now() > self.verified_at + self._bound_s()
