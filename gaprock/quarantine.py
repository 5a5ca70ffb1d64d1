"""Quarantine of poison requests, which crash the endpoints that run them.

When an endpoint crashes, all of its open requests fail, and at most one of them is the
cause; the others are *bystanders*.  A poison request differs from them in that it is
open at each of several crashes and started to run shortly before each one.  Each crash
therefore adds weight against the requests that were open at that endpoint, identified
by their fingerprints (``request_fingerprint``), and more weight against those that had
just started.  Crashes are reported to other gateways under the endpoint's incarnation,
so that merging reports counts none of them twice.  A request whose weight reaches the
threshold is *held*: it is sent to no endpoint.  A complete answer clears a request.

None of this is stored: a gateway that starts learns what is held from the first
heartbeats of any other gateway.

This keeps one request from crashing a whole service.  Bystanders are not held, as they
had not just started at several crashes.
"""

import collections
import enum
import threading
import typing

import msgspec

from gaprock import clock, eventlog

# A request counts as just started for this long after its answer began.  In a log of
# ten crashes, poison requests crashed their endpoints 0.035 to 0.12 s after that; a
# gateway that runs at half the speed measures the same.  Of 126 bystanders in that log,
# about 15 had started as recently at one crash, and none at two.
JUST_STARTED_S: typing.Final = 0.3
# A request whose answer began at least this long before the crash did not cause it by
# starting to run.
SUSPICION_WINDOW_S: typing.Final = 1.0
# Weight that a crash adds against a request that had just started at the endpoint, and
# against any other request that may have caused it.  A request is held once its sum
# reaches ``HELD_WEIGHT``: three crashes at which it had just started, or six at which
# it was open.
BEGUN_WEIGHT: typing.Final = 2
OPEN_WEIGHT: typing.Final = 1
HELD_WEIGHT: typing.Final = 6
# Where endpoints crash for other reasons too, a request can be open at several crashes
# by chance.  For every ``UNRELATED_CRASHES`` crashes without the request in the last
# ``UNRELATED_CRASHES_S``, holding it takes one more crash at which it had just started.
# This protects bystanders when endpoints crash one after the other.
UNRELATED_CRASHES: typing.Final = 4
UNRELATED_CRASHES_S: typing.Final = 10.0
# How long a request is held after the last endpoint that it crashed.  Then it is tried
# again, and the next crash holds it once more.
HELD_S: typing.Final = 3600.0
# A request that was open at this many crashes may not use the last healthy endpoint of
# a service.
RESERVE_CRASHES: typing.Final = 2
# How long the weight against a request that is not held is kept.
SUSPECT_RETENTION_S: typing.Final = 600.0
# For this long after a complete answer, reports against the request are ignored: peers
# may still be reporting crashes from before the answer.
CLEARED_S: typing.Final = 10.0
# Maximum number of requests on record.  The least recently changed ones are evicted
# first, held ones last.  One takes about 0.4 KB.
MAX_SUSPECTS: typing.Final = 2000
# Maximum number of incarnations recorded against one request; more change nothing.
MAX_INCARNATIONS: typing.Final = 8
# Replaces the incarnations of a request whose hold has expired.
EARLIER: typing.Final = "earlier"
# A change is included in every heartbeat for this long, so that a heartbeat may get
# lost.
CHANGE_RESEND_S: typing.Final = 2.0
# Everything held is sent to each peer at this interval, within the 3 s in which a
# gateway has to know, and at most this many of the newest: 64 of them take 1.2 KB.
HELD_RESEND_S: typing.Final = 1.8
MAX_UPDATES: typing.Final = 64


class SuspectUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What a gateway reports about a request.

    :param incarnations: the weight against the request, by endpoint incarnation.
    :param held_s: how much longer the request is held; 0 if it is not held.
    :param is_cleared: whether the request was answered completely.
    """

    fingerprint: int
    incarnations: dict[str, int]
    held_s: float = 0.0
    is_cleared: bool = False


class Origin(enum.Enum):
    """Where a change came from."""

    OWN = 0
    # A gateway of the same hall, and one of another hall.
    NEAR = 1
    FAR = 2


class _Suspect:
    """The record of one fingerprint."""

    __slots__ = (
        "fingerprint",
        "incarnations",
        "updated_at",
        "held_until",
        "cleared_until",
        "changed_at",
        "origin",
    )

    def __init__(self, fingerprint: int, now: float) -> None:
        self.fingerprint = fingerprint
        self.incarnations: dict[str, int] = {}
        self.updated_at = now
        self.held_until = -clock.NEVER
        self.cleared_until = -clock.NEVER
        # Time and origin of the last change.
        self.changed_at = now
        self.origin = Origin.OWN

    @property
    def weight(self) -> int:
        """The total weight against the request."""
        return sum(self.incarnations.values())

    def merge(self, incarnations: dict[str, int]) -> bool:
        """Merge weights by incarnation; return whether any was new or higher."""
        fresh = {
            incarnation: min(weight, HELD_WEIGHT - 1)
            for incarnation, weight in incarnations.items()
            if weight > self.incarnations.get(incarnation, 0)
            and (
                incarnation in self.incarnations
                or len(self.incarnations) < MAX_INCARNATIONS
            )
        }
        self.incarnations.update(fresh)
        return bool(fresh)

    def to_update(self, now: float) -> SuspectUpdate:
        """Return the update that peers get."""
        held_s = max(0.0, self.held_until - now)
        is_cleared = now < self.cleared_until
        return SuspectUpdate(
            self.fingerprint, dict(self.incarnations), held_s, is_cleared
        )


class Quarantine:
    """The requests suspected or held at a gateway; thread-safe."""

    __slots__ = (
        "_clock",
        "_lock",
        "_suspects",
        "_held",
        "_recent_crashes",
        "is_empty",
        "held_changes",
        "changes",
    )

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        self._suspects: collections.OrderedDict[int, _Suspect] = (
            collections.OrderedDict()
        )
        self._held: set[int] = set()
        # Incarnations that crashed recently, and when this was learned.
        self._recent_crashes: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Whether there are no records, so that no fingerprint has to be computed.
        self.is_empty = True
        # Number of changes to what is held, and to what is suspected, by origin.
        self.held_changes = {origin: 0 for origin in Origin}
        self.changes = {origin: 0 for origin in Origin}

    # -- Queries --

    def held_for_s(self, fingerprint: int) -> float:
        """Return how many more seconds a request is held; 0 if it is not held."""
        if fingerprint not in self._held:
            return 0.0
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            return suspect.to_update(self._clock.now()).held_s if suspect else 0.0

    def is_suspected(self, fingerprint: int) -> bool:
        """Whether there is any weight against a request."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            return suspect is not None and bool(suspect.incarnations)

    def crash_count(self, fingerprint: int) -> int:
        """Return the number of crashes at which a request was open."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            return len(suspect.incarnations) if suspect is not None else 0

    @property
    def held_count(self) -> int:
        """The number of requests held."""
        return len(self._held)

    # -- Observations of this gateway --

    def record_crash(self, fingerprint: int, incarnation: str, weight: int) -> None:
        """Record that a request was open when an endpoint crashed."""
        self._merge(SuspectUpdate(fingerprint, {incarnation: weight}), Origin.OWN)

    def clear(self, fingerprint: int) -> None:
        """Record that a request was answered completely."""
        self._clear(fingerprint, Origin.OWN)

    # -- Exchange with peers --

    def merge(self, updates: typing.Iterable[SuspectUpdate], is_far: bool) -> None:
        """Merge the updates of another gateway.

        :param is_far: whether that gateway is in another hall.
        """
        origin = Origin.FAR if is_far else Origin.NEAR
        for update in updates:
            if update.is_cleared:
                self._clear(update.fingerprint, origin)
            else:
                self._merge(update, origin)

    def updates(
        self, origins: typing.Container[Origin], include_held: bool
    ) -> list[SuspectUpdate]:
        """Return the updates to send.

        :param origins: origins of the changes that the receiver does not know.
        :param include_held: whether to add everything held, whatever its origin.
        """
        if self.is_empty:
            return []
        now = self._clock.now()
        with self._lock:
            fresh = [
                suspect.to_update(now)
                for suspect in reversed(self._suspects.values())
                if now < suspect.changed_at + CHANGE_RESEND_S
                and suspect.origin in origins
            ]
            if include_held:
                known = {update.fingerprint for update in fresh}
                held = [f for f in reversed(self._suspects) if f in self._held - known]
                updates = [
                    self._suspects[fingerprint].to_update(now) for fingerprint in held
                ]
                fresh += [SuspectUpdate(u.fingerprint, {}, u.held_s) for u in updates]
        return fresh[:MAX_UPDATES]

    # -- Changes --

    def forget_old(self) -> None:
        """Drop expired records, and release expired holds."""
        now = self._clock.now()
        with self._lock:
            for suspect in list(self._suspects.values()):
                if suspect.fingerprint in self._held and now >= suspect.held_until:
                    self._release(suspect)
                    suspect.incarnations = {EARLIER: HELD_WEIGHT - 1}
                    suspect.updated_at = now
                if now >= max(
                    suspect.updated_at + SUSPECT_RETENTION_S, suspect.held_until
                ):
                    self._drop(suspect)
            self.is_empty = not self._suspects

    def _merge(self, update: SuspectUpdate, origin: Origin) -> None:
        now = self._clock.now()
        with self._lock:
            suspect = self._suspects.get(update.fingerprint)
            if suspect is None:
                suspect = self._suspects[update.fingerprint] = _Suspect(
                    update.fingerprint, now
                )
                self.is_empty = False
                self._evict()
            if now < suspect.cleared_until:
                return
            is_new = suspect.merge(update.incarnations)
            if is_new:
                suspect.updated_at = now
                self._record_change(suspect, origin)
                self._suspects.move_to_end(update.fingerprint)
            until = now + min(update.held_s, HELD_S)
            self._record_crashes(update.incarnations, now)
            if is_new and suspect.weight >= self._required_weight(suspect, now):
                until = now + HELD_S
            if until > max(now, suspect.held_until):
                self._hold(suspect, until, origin)

    def _record_crashes(self, incarnations: typing.Iterable[str], now: float) -> None:
        for incarnation in incarnations:
            self._recent_crashes.setdefault(incarnation, now)
        while (
            self._recent_crashes
            and next(iter(self._recent_crashes.values())) < now - UNRELATED_CRASHES_S
        ):
            self._recent_crashes.popitem(last=False)

    def _required_weight(self, suspect: _Suspect, now: float) -> int:
        """Return the weight at which a request is held."""
        others = sum(
            incarnation not in suspect.incarnations
            for incarnation in self._recent_crashes
        )
        return HELD_WEIGHT + BEGUN_WEIGHT * (others // UNRELATED_CRASHES)

    def _record_change(self, suspect: _Suspect, origin: Origin) -> None:
        suspect.changed_at, suspect.origin = self._clock.now(), origin
        self.changes[origin] += 1

    def _hold(self, suspect: _Suspect, until: float, origin: Origin) -> None:
        suspect.held_until = until
        if suspect.fingerprint in self._held:
            return
        self._held.add(suspect.fingerprint)
        self._record_change(suspect, origin)
        self.held_changes[origin] += 1
        eventlog.warning(
            "request-held",
            mark=f"{suspect.fingerprint:016x}",
            by=origin.name.lower(),
            weight=suspect.weight,
            lives=",".join(suspect.incarnations) or "not-told",
            held_s=until - suspect.changed_at,
        )

    def _clear(self, fingerprint: int, origin: Origin) -> None:
        now = self._clock.now()
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            if suspect is None or now < suspect.cleared_until:
                return
            eventlog.info(
                "request-cleared",
                mark=f"{fingerprint:016x}",
                by=origin.name.lower(),
                weight=suspect.weight,
                was_held=fingerprint in self._held,
            )
            suspect.incarnations.clear()
            suspect.cleared_until = now + CLEARED_S
            suspect.updated_at = now
            self._record_change(suspect, origin)
            self._release(suspect)

    def _release(self, suspect: _Suspect) -> None:
        suspect.held_until = -clock.NEVER
        self._held.discard(suspect.fingerprint)

    def _drop(self, suspect: _Suspect) -> None:
        self._held.discard(suspect.fingerprint)
        del self._suspects[suspect.fingerprint]

    def _evict(self) -> None:
        """Evict a record if there are more than the maximum."""
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        free = (s for s in self._suspects.values() if s.fingerprint not in self._held)
        self._drop(next(free, next(iter(self._suspects.values()))))


def reserves_last_endpoint(crash_count: int, living: int, all_of: int) -> bool:
    """Whether a request may not use the last healthy endpoint of several.

    If the request crashed the others, it would take the service down for all callers,
    and a bystander that was open beside it at the others would be held with it.

    :param crash_count: number of crashes at which the request was open.
    :param living: number of healthy endpoints.
    :param all_of: number of endpoints in all.
    """
    return crash_count >= RESERVE_CRASHES and living <= 1 < all_of


def suspicion_weight(begun_s: float, may_wait: bool) -> int:
    """Return the weight that a crash adds against a request; 0 for none.

    :param begun_s: seconds since the answer began; -1 before that.
    :param may_wait: whether a request whose answer has not begun is probably queued at
        the endpoint.
    """
    if begun_s < 0:
        return OPEN_WEIGHT if may_wait else BEGUN_WEIGHT
    if begun_s <= JUST_STARTED_S:
        return BEGUN_WEIGHT
    return OPEN_WEIGHT if begun_s < SUSPICION_WINDOW_S else 0
