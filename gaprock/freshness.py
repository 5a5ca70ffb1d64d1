"""How fresh the known rows of a followed table are, and when to verify them next.

A long poll reports a change at once, but a poll without an answer shows nothing: a call
that the store accepted during an outage, or whose connection went silent, is never
answered.  Only an answer verifies that the known rows match the table, and only for the
moment at which the store gave it.  ``Freshness`` keeps that moment for one table and
tells when the next check is due, well within the time by which a change must take
effect.

The moment is kept in the store's time.  Gateways pass it on in heartbeats, so its age
does not depend on how long a heartbeat takes.  The first of the gateways that read the
store checks on behalf of all; another one asks the store itself if no verification has
reached it.

This prevents requests from being handled with an outdated configuration or sent to
endpoints that have left.  With one change per second and a store that was silent for
six seconds, 140 to 404 requests of a day were handled by an old configuration without
the checks, and none with them (two sites, two seeds each).  The calls cost 0.003 of a
day's worth (three sites, 18 days each).
"""

import random
import typing

from gaprock import clock, eventlog

# Share of the time by which a change must take effect, after which the first gateway
# checks the store.  The others receive the result within another two tenths of a second
# plus the interval of their own check.
LEADER_CHECK_SHARE: typing.Final = 0.4
# The other gateways check at a random share in this range, so that one of them does so
# before the rest.  With five heartbeats a second, the first gateway's verification
# never gets that old.
OTHERS_CHECK_SHARES: typing.Final = (0.7, 0.9)


class StoreClock:
    """Offset between our clock and the store's monotonic clock, for all tables.

    An answer shows only that the store read its clock between our request and our
    receipt of the answer.  The offset is therefore known within bounds, which each
    answer narrows.  The caller chooses the bound that is safe for its purpose: if a
    rollout were dated by the time of the request alone, a late answer would make it
    older than it is, and sessions would move too early.
    """

    __slots__ = ("_bounds",)

    def __init__(self) -> None:
        # The least and the most that our clock may be ahead of the store's, in seconds.
        self._bounds: tuple[float, float] | None = None

    def record(self, store_now: float, asked_at: float, answered_at: float) -> None:
        """Narrow the bounds by an answer to a call that was not a long poll.

        :param store_now: the store's time in the answer.
        :param asked_at: when we sent the request.
        :param answered_at: when the answer had arrived, or later.
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
        """Whether the store has answered at least once."""
        return self._bounds is not None

    def earliest_local(self, store_time: float) -> float | None:
        """Convert a time of the store to our clock, as the earliest it can be.

        :returns: ``None`` before the store's first answer.
        """
        return None if self._bounds is None else store_time + self._bounds[0]

    def latest_local(self, store_time: float) -> float | None:
        """Convert a time of the store to our clock, as the latest it can be.

        :returns: ``None`` before the store's first answer.
        """
        return None if self._bounds is None else store_time + self._bounds[1]

    def latest_store_time(self, at: float) -> float:
        """Convert a time of ours to the store's clock, as the latest it can be.

        :raises ValueError: before the store's first answer.
        """
        if self._bounds is None:
            raise ValueError("the store has not answered yet")
        return at - self._bounds[0]


class Freshness:
    """When one table was last verified; callers hold the lock of its follower.

    :param bound_s: returns the time by which a change must take effect.
    :param is_first_reader: returns whether this gateway checks on behalf of the others.
    """

    __slots__ = (
        "_clock",
        "_store_clock",
        "_bound_s",
        "_leads",
        "_rng",
        "_share",
        "_check_by",
        "verified_store_time",
        "own_verified_store_time",
        "verified_at",
    )

    def __init__(
        self,
        clock_: clock.Clock,
        store_clock: StoreClock,
        bound_s: typing.Callable[[], float],
        is_first_reader: typing.Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock = clock_
        self._store_clock = store_clock
        self._bound_s = bound_s
        self._leads = is_first_reader
        self._rng = random.Random()
        self._share = OTHERS_CHECK_SHARES[0]
        self._check_by = clock.NEVER
        # Store times at which the table was last verified: by any gateway, and by our
        # own calls; 0 before the first time.
        self.verified_store_time = 0.0
        self.own_verified_store_time = 0.0
        # When the table was last verified, by our clock.
        self.verified_at = 0.0

    def record_verification(self, store_time: float) -> None:
        """Record that the table was verified, here or by another gateway.

        :param store_time: when, by the store's clock; 0 for never.
        """
        if not store_time:
            return
        # A verification may appear older than it is, but never newer.
        at = self._store_clock.earliest_local(store_time)
        # A time in the future comes from a store whose clock has started again.
        if at is not None and self.verified_at < at <= self._clock.now():
            self.verified_store_time, self.verified_at = store_time, at
            self._share = self._rng.uniform(*OTHERS_CHECK_SHARES)

    def record_answer(self, store_time: float, asked_at: float | None) -> None:
        """Record an answer of the store to our own call.

        :param store_time: the store's time in the answer.
        :param asked_at: when we sent the request; ``None`` for a long poll.
        """
        if asked_at is not None:
            self._store_clock.record(store_time, asked_at, self._clock.now())
        self.own_verified_store_time = store_time
        self._check_by = clock.NEVER
        self.record_verification(store_time)

    def check_by(self, until: float) -> None:
        """Have the next check due by a time, because a change was announced."""
        self._check_by = min(self._check_by, until)

    @property
    def is_check_due(self) -> bool:
        """Whether the store should be asked now."""
        share = LEADER_CHECK_SHARE if self._leads() else self._share
        due_at = self.verified_at + share * self._bound_s()
        return self._clock.now() >= min(due_at, self._check_by)

    @property
    def is_stale(self) -> bool:
        """Whether a change that must be in effect by now may be unknown to us."""
        return self._clock.now() > self.verified_at + self._bound_s()
