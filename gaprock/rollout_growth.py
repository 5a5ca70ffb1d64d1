"""How the share of a new version in its service's requests grows.

At first it has a small share, the *canary*: as large as is needed to judge it, and as
the allowed exposure admits.  It gets all requests once the rest of
the rollout's time fits into the exposure that is still allowed (``rollout_exposure``),
and not before half of the time.  Exposure is therefore bounded by a count, whatever the
evidence says or lacks: a version may fail only under load, only from some time on, or
its evidence may have been lost.

A version in doubt gets a part of its service's requests at that time instead, which
shows sooner whether the doubt is justified.
"""

import collections
import math
import typing

from gaprock import clock, eventlog, rollout_exposure

# In this first share of the time no session changes its version.
PINNED_SHARE: typing.Final = 0.5
# A canary gets about so many sends if the allowance has room for them: as many as show
# whether the version is good.
CANARY_SENDS: typing.Final = 60
# After this share of the time the canary does not grow.
CANARY_TIME: typing.Final = 0.75
# The largest share of sessions of a canary; the other version's answers are needed too.
MAX_CANARY: typing.Final = 0.5
# The canary leaves room for all sends from the move to the end: during this share of
# the time, within bounds.
FULL_SHARE: typing.Final = 0.12
MIN_FULL_S: typing.Final = 1.8
MAX_FULL_S: typing.Final = 2.5
# But it gets this part of the allowance, if that is less.
MIN_CANARY_PART: typing.Final = 0.3
# The rate of sends is not used before this time after the order: peers report theirs
# late.
RATE_KNOWN_S: typing.Final = 2.5
# The share of sessions that a version in doubt gets at the end.
DOUBT_SHARE: typing.Final = 0.3
# All requests must have gone to the new version this long before it is the only one.
MIN_SETTLE_S: typing.Final = 0.5
# Time that the write of an outcome may take.
WRITE_S: typing.Final = 0.3
# With less time left, a version could no longer be completed.
MIN_LEFT_S: typing.Final = MIN_SETTLE_S + WRITE_S
# A version is rolled back this long before the end of the rollout's time if something
# is against its completion.
LAST_WRITE_S: typing.Final = 0.5
# The rate of sends is taken over this time, and from at least this much of it.
RATE_WINDOW_S: typing.Final = 4.0
MIN_RATE_S: typing.Final = 1.0
# Factor on that rate in forecasts.
RATE_MARGIN: typing.Final = 1.1
# How late peers in other halls report their sends.
REPORT_LAG_S: typing.Final = 0.5
# The state is computed at most this often.
UPDATE_S: typing.Final = 0.1


class SendRate:
    """The recent rate of a count that only grows."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, int]] = collections.deque()

    def add(self, now: float, total: int) -> None:
        """Add the count at a time."""
        self._samples.append((now, total))
        while len(self._samples) > 2 and self._samples[1][0] <= now - RATE_WINDOW_S:
            self._samples.popleft()

    @property
    def per_s(self) -> float | None:
        """The rate per second; ``None`` while it is not known."""
        samples = tuple(self._samples)
        return _rate(samples[0], samples[-1]) if samples else None

    @property
    def peak_per_s(self) -> float | None:
        """The rate, or the latest one if that is higher, as in a burst."""
        # Another thread may add a sample meanwhile.
        samples = tuple(self._samples)
        rate = _rate(samples[0], samples[-1]) if samples else None
        if rate is None:
            return None
        since = samples[-1][0] - MIN_RATE_S
        first = next((s for s in reversed(samples) if s[0] <= since), samples[0])
        return max(rate, _rate(first, samples[-1]) or 0.0)


def _rate(first: tuple[float, int], last: tuple[float, int]) -> float | None:
    """Return the rate between two samples; ``None`` if they are too close."""
    if last[0] < first[0] + MIN_RATE_S:
        return None
    return (last[1] - first[1]) / (last[0] - first[0])


class Forecast(typing.NamedTuple):
    """Whether all sends until the end of a rollout may go to the new version.

    :param sends: the sends up to now.
    :param limit: the exposure that these allow.
    :param needed: further exposure until the end, less what the further sends allow;
        infinite while the rate is not known.
    """

    sends: rollout_exposure.Sends
    limit: float
    needed: float

    @property
    def fits(self) -> bool:
        """Whether the allowance suffices."""
        return self.sends.exposed + self.needed <= self.limit


def forecast(
    allowance: rollout_exposure.Allowance,
    sends: rollout_exposure.Sends,
    per_s: float | None,
    left_s: float,
) -> Forecast:
    """Forecast the exposure if the new version gets all sends from now on.

    :param per_s: the rate of sends; ``None`` if it is not known.
    :param left_s: seconds until the end of the rollout's time.
    """
    if per_s is None:
        needed = math.inf
    else:
        needed = RATE_MARGIN * per_s * max(0.0, left_s) * (1.0 - allowance.share)
    return Forecast(sends, allowance.limit(sends.total), needed)


def full_time_s(finish_s: float) -> float:
    """Return for how long all requests are to go to the new version, seconds."""
    return max(MIN_FULL_S, min(MAX_FULL_S, FULL_SHARE * finish_s))


def canary_room(
    allowance: rollout_exposure.Allowance,
    sends: rollout_exposure.Sends,
    per_s: float,
    finish_s: float,
    left_s: float,
) -> float:
    """Return how many more sends a canary may get until the end.

    :param allowance: what may be exposed until the end.
    :param per_s: the rate of sends.
    :param finish_s: the rollout's time, and what is left of it, seconds.
    """
    limit = allowance.limit(sends.total + per_s * left_s)
    at_end = RATE_MARGIN * per_s * full_time_s(finish_s) * (1.0 - allowance.share)
    return max(limit - at_end, MIN_CANARY_PART * limit) - sends.exposed


def canary_share(
    allowance: rollout_exposure.Allowance,
    sends: rollout_exposure.Sends,
    per_s: float,
    finish_s: float,
    left_s: float,
    is_pinned: bool,
) -> float:
    """Return the share of sessions that gives the canary the sends that it needs.

    The parameters are those of ``canary_room``.

    :param is_pinned: whether active sessions stay on the old version. The sends that
        the canary lacks for that reason are not made up for by a larger share: all of
        these sessions would move at once.
    """
    if per_s <= 0.0:
        return 0.0
    if left_s < (1.0 - CANARY_TIME) * finish_s:
        return 0.0
    room = canary_room(allowance, sends, per_s, finish_s, left_s)
    wanted = min(CANARY_SENDS - sends.exposed, room)
    until_full_s = left_s - full_time_s(finish_s)
    if is_pinned:
        wanted += sends.exposed
        until_full_s = finish_s - full_time_s(finish_s)
    share = wanted / (per_s * max(1.0, until_full_s))
    return min(MAX_CANARY, max(0.0, share))


class Growth:
    """The share of one rollout's new version; it never shrinks.

    Each gateway decides by what it knows.  The others follow one that has reached a
    larger share, so that no session goes back to the old version.

    :param service: for the log.
    :param version: for the log.
    """

    __slots__ = (
        "_service",
        "_version",
        "reached",
        "moved_at",
        "own_rate",
        "fleet_rate",
        "_updated_at",
        "is_due",
    )

    def __init__(self, service: str, version: str) -> None:
        self._service = service
        self._version = version
        # The largest share that this gateway, or a peer, has given the version; 0 while
        # that is not known.
        self.reached = 0.0
        # When this gateway gave it all requests; ``NEVER`` before.
        self.moved_at = clock.NEVER
        self.own_rate = SendRate()
        self.fleet_rate = SendRate()
        self._updated_at = -clock.NEVER
        # Whether it is time to give it all requests.
        self.is_due = False

    def begin_update(self, now: float) -> bool:
        """Return whether it is time to update; it is not for a while afterwards."""
        if now < self._updated_at + UPDATE_S:
            return False
        self._updated_at = now
        return True

    def raise_canary(self, share: float) -> None:
        """Give the version a share of sessions, unless it has a larger one."""
        self.reached = max(self.reached, share)

    def plan(
        self,
        now: float,
        left_s: float,
        forecasts: typing.Sequence[Forecast],
        is_doubted: bool,
        facts: typing.Mapping[str, float],
    ) -> None:
        """Decide whether the allowance suffices for all requests until the end.

        All requests move only once that is recorded in the store (``move``): a process
        that starts later must know that the slack may be used up.

        :param left_s: seconds until the end of the rollout's time.
        :param forecasts: those of the fleet and of this gateway alone.
        :param facts: the evidence, for the log.
        """
        if self.reached >= 1.0:
            self.moved_at = min(self.moved_at, now)
            return
        if left_s < MIN_LEFT_S or not all(one.fits for one in forecasts):
            self.is_due = False
            return
        was_due = self.is_due
        self.is_due = not is_doubted
        if was_due if self.is_due else self.reached >= DOUBT_SHARE:
            return
        fleet, own = forecasts
        eventlog.info(
            "rollout-step",
            service=self._service,
            version=self._version,
            doubted=is_doubted,
            share=self.reached,
            wanted=1.0 if self.is_due else DOUBT_SHARE,
            left_s=left_s,
            sends=fleet.sends.total,
            exposed=fleet.sends.exposed,
            limit=fleet.limit,
            needed=fleet.needed,
            own_exposed=own.sends.exposed,
            own_limit=own.limit,
            own_needed=own.needed,
            **facts,
        )
        if is_doubted:
            self.reached = max(self.reached, DOUBT_SHARE)

    def move(self, now: float) -> None:
        """Give the version all requests."""
        self.reached = 1.0
        self.moved_at = min(self.moved_at, now)

    def record_peer(self, reached: float) -> None:
        """Record the share that a peer has reached."""
        self.reached = max(self.reached, min(1.0, reached))
