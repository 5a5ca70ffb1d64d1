"""Quarantine of what crashes the endpoints that run it: requests and what they share.

When an endpoint crashes, all of its open requests fail, and at most one of them is the
cause; the others are *bystanders*.  A *poison request* differs from them in that it is
open at each of several crashes and started to run shortly before each one.  Each crash
therefore adds weight against the requests that were open at that endpoint, identified
by their fingerprints (``request_fingerprint``), and more weight against those that had
just started.

The cause may also be something that different requests share: a *poison segment* of
their prompts, or what the tries of a poison request have in common if each has another
query.  A crash therefore adds the same weight against each shared segment and each
family of those requests.  Other requests tell the cause from the rest: a segment or
family with which a request ran well at about that time is not suspected, and once one
is held, the crashes that it explains no longer count against anything else.

Crashes are reported to other gateways under the endpoint's incarnation, so that merging
reports counts none of them twice.  A suspect whose weight reaches the threshold is
*held*: requests with it are sent to no endpoint.  A complete answer clears the request
that was answered, and no other one.

A gateway that starts learns all of this from heartbeats, and what is held from rows of
the store as well (``held_rows``).

Bystanders are not held, as they had not just started at several crashes.  Where nothing
else crashes, three crashes suffice whatever their weight; the first hold is a short one
then.
"""

import random
import threading
import typing

import msgspec

from gaprock import clock, eventlog, suspect_evidence, suspicion

# How long a suspect is held after the last endpoint that it crashed.  Then it is tried
# again, and the next crash holds it once more.
HELD_S: typing.Final = 3600.0
# A segment or family may be held by mistake, and all requests with it are refused
# meanwhile; so may a request that had not just started at its crashes.  The first hold
# is shorter then, and each further one is twice as long.
FIRST_DOUBTFUL_HELD_S: typing.Final = 300.0
# Each gateway adds a random part of this, so that one of them tries first and the
# others learn how it went.
RELEASE_SPREAD_S: typing.Final = 120.0
# Requests with a segment or family run one at a time once this weight is against it.
IN_TURN_WEIGHT: typing.Final = 2 * suspicion.BEGUN_WEIGHT
# A crash adds a smaller weight against a segment or family with which a request has run
# well in this time: most of these are those of bystanders.
KNOWN_HEALTHY_S: typing.Final = 60.0
# How long the weight against a suspect that is not held is kept.
SUSPECT_RETENTION_S: typing.Final = 600.0
# For this long after a complete answer, reports of peers against what it cleared are
# ignored, as they may be of crashes from before the answer.
CLEARED_S: typing.Final = 10.0
SHARED_CLEARED_S: typing.Final = 3.0
# Maximum number of suspects on record.  The least recently changed ones are evicted
# first, held ones last.  One takes about 0.4 KB.
MAX_SUSPECTS: typing.Final = 2000
# Replaces the incarnations of a suspect whose hold has expired.
EARLIER: typing.Final = "earlier"
# A change is included in every heartbeat for this long, so that a heartbeat may get
# lost.
CHANGE_RESEND_S: typing.Final = 2.0
# Everything held is sent to each peer at this interval, within the 3 s in which a
# gateway has to know, and at most this many of the newest: 64 of them take 1.4 KB.
HELD_RESEND_S: typing.Final = 1.8
MAX_UPDATES: typing.Final = 64


class Quarantine:
    """The suspects at a gateway, held or not; thread-safe."""

    __slots__ = (
        "_clock",
        "_lock",
        "_evidence",
        "_suspects",
        "_held",
        "_causes",
        "_health",
        "_alive_until",
        "_release_delay_s",
        "is_empty",
        "held_changes",
        "changes",
    )

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        self._evidence = suspect_evidence.Evidence()
        self._suspects = self._evidence.suspects
        self._held = self._evidence.held
        self._causes = self._evidence.causes
        self._health = self._evidence.health
        # Until when peers may still report the crash of an incarnation that lives.
        self._alive_until: dict[str, float] = {}
        self._release_delay_s = random.uniform(0.0, RELEASE_SPREAD_S)
        # Whether there are no records, so that no fingerprint has to be computed.
        self.is_empty = True
        # Number of changes to what is held, and to what is suspected, by origin.
        self.held_changes = {origin: 0 for origin in suspicion.Origin}
        self.changes = {origin: 0 for origin in suspicion.Origin}

    # -- Queries --

    def held_for_s(self, fingerprint: int) -> float:
        """Return how many more seconds a suspect is held; 0 if it is not held."""
        if fingerprint not in self._held:
            return 0.0
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                return 0.0
            return max(0.0, self._release_at(suspect) - self._clock.now())

    def is_suspected(self, fingerprint: int) -> bool:
        """Whether there is any weight against a suspect."""
        return self.crash_count(fingerprint) > 0

    def crash_count(self, fingerprint: int) -> int:
        """Return the number of crashes at which a suspect was open.

        Crashes that a held segment or family explains do not count.
        """
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                return 0
            return sum(
                self._evidence.counts(suspect, one) for one in suspect.incarnations
            )

    def must_run_in_turn(self, shared: int) -> bool:
        """Whether requests with a segment or family have to run one at a time.

        Those of a family need not before different ones were open at crashes: until
        then, only the tries of one request wait for each other.
        """
        with self._lock:
            suspect = self._suspects.get(shared)
            if suspect is None or self._evidence.weight(suspect) < IN_TURN_WEIGHT:
                return False
            return not suspect.is_family or suspect.has_enough_requests

    @property
    def held_count(self) -> int:
        """The number of requests held."""
        return self._count_held("request")

    @property
    def held_segments(self) -> int:
        """The number of segments held."""
        return self._count_held("segment")

    @property
    def held_families(self) -> int:
        """The number of families held."""
        return self._count_held("family")

    def _count_held(self, kind: str) -> int:
        with self._lock:
            return sum(self._suspects[one].kind == kind for one in self._held)

    # -- Observations of this gateway --

    def record_crash(
        self,
        fingerprint: int,
        incarnation: str,
        weight: int,
        segments: typing.Sequence[int] = (),
        families: typing.Sequence[int] = (),
        broke_at: float | None = None,
    ) -> None:
        """Record that a request was open when an endpoint crashed.

        :param segments: the shared segments of its prompt, in order.
        :param families: its families, the widest first.
        :param broke_at: when its answer broke off, which may be before the endpoint was
            found crashed; ``None`` for now.
        """
        if broke_at is None:
            broke_at = self._clock.now()
        request = fingerprint & suspicion.REQUEST_MASK
        self._record_shared(segments, False, request, incarnation, weight, broke_at)
        if self._held.isdisjoint((*segments, *families)):
            update = suspicion.SuspectUpdate(fingerprint, {incarnation: weight})
            self._merge(update, suspicion.Origin.OWN, broke_at)
        # A request that is held explains the crash; its families need not.
        if fingerprint not in self._held:
            self._record_shared(families, True, request, incarnation, weight, broke_at)

    def _record_shared(
        self,
        all_shared: typing.Sequence[int],
        is_family: bool,
        request: int,
        incarnation: str,
        weight: int,
        broke_at: float,
    ) -> None:
        """Record a crash against what a request shares with others.

        Where the evidence is the same, that goes first which ran well longest ago or
        never, and of several of these the last, which fewer requests have.
        """
        for shared in sorted(reversed(all_shared), key=self._health.last):
            reduced = self._reduced_weight(shared, weight)
            if reduced:
                update = suspicion.SuspectUpdate(
                    shared,
                    {incarnation: reduced},
                    requests=[request],
                    is_family=is_family,
                )
                self._merge(update, suspicion.Origin.OWN, broke_at)

    def _reduced_weight(self, shared: int, weight: int) -> int:
        """Return the weight that a crash adds against what its requests share."""
        is_known = self._clock.now() < self._health.last(shared) + KNOWN_HEALTHY_S
        return weight - suspicion.OPEN_WEIGHT if is_known else weight

    def clear(self, fingerprint: int) -> None:
        """Record that a request was answered completely."""
        with self._lock:
            self._clear(fingerprint, suspicion.Origin.OWN)

    def withdraw_crash(self, incarnation: str) -> None:
        """Drop the evidence of a crash: the endpoint turned out to be alive."""
        now = self._clock.now()
        with self._lock:
            self._alive_until = {
                known: until
                for known, until in self._alive_until.items()
                if now < until
            }
            self._alive_until[incarnation] = now + CLEARED_S
            self._causes.withdraw(incarnation)
            for suspect in self._suspects.values():
                if suspect.incarnations.pop(incarnation, 0):
                    is_held = suspect.fingerprint in self._held
                    if is_held and not self._evidence.has_enough(suspect):
                        self._release(suspect, "endpoint lives")

    def record_ran_well(
        self,
        segments: typing.Iterable[int],
        began_at: float,
        families: typing.Iterable[int] = (),
    ) -> None:
        """Record that a request ran well at its endpoint.

        :param segments: the shared segments of its prompt.
        :param began_at: when its answer began.
        :param families: its families; those on record are enough, since nearly every
            request has one of its own.
        """
        with self._lock:
            is_recent = self._clock.now() < began_at + suspect_evidence.HEALTHY_S
            for shared in (*segments, *filter(self._suspects.__contains__, families)):
                self._health.record(shared, began_at)
                suspect = self._suspects.get(shared)
                if suspect is not None and is_recent:
                    if suspect.incarnations or shared in self._held:
                        self._clear(shared, suspicion.Origin.OWN)

    # -- Exchange with peers --

    def held_by_own_evidence(self) -> list[suspicion.SuspectUpdate]:
        """Return what is held, also because of crashes that this gateway saw."""
        now = self._clock.now()
        with self._lock:
            held = map(self._suspects.__getitem__, self._held)
            return [one.to_update(now) for one in held if one.has_own_evidence]

    def merge(
        self, updates: typing.Iterable[suspicion.SuspectUpdate], is_far: bool
    ) -> None:
        """Merge the updates of another gateway.

        :param is_far: whether that gateway is in another hall.
        """
        origin = suspicion.Origin.FAR if is_far else suspicion.Origin.NEAR
        # What that gateway holds goes first, since it explains crashes.
        for update in sorted(updates, key=lambda one: not one.held_s):
            if update.is_cleared:
                with self._lock:
                    self._clear(update.fingerprint, origin)
            else:
                self._merge(self._without_living(update), origin)

    def updates(
        self, origins: typing.Container[suspicion.Origin], include_held: bool
    ) -> list[suspicion.SuspectUpdate]:
        """Return the updates to send, what is held first.

        :param origins: origins of the changes that the receiver does not know.
        :param include_held: whether to add everything held, whatever its origin.
        """
        if self.is_empty:
            return []
        now = self._clock.now()
        with self._lock:
            fresh = [
                suspect
                for suspect in reversed(self._suspects.values())
                if now < suspect.changed_at + CHANGE_RESEND_S
                and suspect.origin in origins
            ]
            fresh.sort(key=self._urgency)
            updates = [suspect.to_update(now) for suspect in fresh]
            if include_held:
                known = {update.fingerprint for update in updates}
                held = [f for f in reversed(self._suspects) if f in self._held - known]
                for fingerprint in held:
                    suspect = self._suspects[fingerprint]
                    update = suspect.to_update(now)
                    updates.append(msgspec.structs.replace(update, incarnations={}))
                updates.sort(key=lambda update: not update.held_s)
        return updates[:MAX_UPDATES]

    def _urgency(self, suspect: suspicion.Suspect) -> tuple[bool, int]:
        """Return the sort key of updates: held ones first, then by crashes."""
        return suspect.fingerprint not in self._held, -len(suspect.incarnations)

    # -- Changes --

    def forget_old(self) -> None:
        """Drop expired records, and release expired holds."""
        now = self._clock.now()
        with self._lock:
            for suspect in list(self._suspects.values()):
                is_held = suspect.fingerprint in self._held
                if is_held and now >= self._release_at(suspect):
                    suspect.reset()
                    self._release(suspect, "expired")
                    suspect.expired_holds += 1
                    suspect.incarnations[EARLIER] = suspicion.HELD_WEIGHT - 1
                    suspect.updated_at = now
                if now >= max(
                    suspect.updated_at + SUSPECT_RETENTION_S, self._release_at(suspect)
                ):
                    self._drop(suspect)
            self.is_empty = not self._suspects

    def _merge(
        self,
        update: suspicion.SuspectUpdate,
        origin: suspicion.Origin,
        broke_at: float = -clock.NEVER,
    ) -> None:
        """Merge an update.

        :param broke_at: when the endpoint crashed; ``-NEVER`` if that is not known.
        """
        now = self._clock.now()
        with self._lock:
            if update.is_shared and self._evidence.ran_well(update.fingerprint, now):
                if update.held_s:
                    self._add(update, now)
                    self._clear(update.fingerprint, suspicion.Origin.OWN)
                return
            suspect = self._add(update, now)
            if now < suspect.cleared_until and broke_at <= suspect.cleared_at:
                return
            is_new = suspect.merge(update)
            if is_new:
                suspect.has_own_evidence |= origin is suspicion.Origin.OWN
                suspect.updated_at = now
                self._record_change(suspect, origin)
                self._suspects.move_to_end(update.fingerprint)
            until = now + min(update.held_s, HELD_S)
            self._causes.record(update.incarnations, now)
            if is_new and self._evidence.has_enough(suspect):
                suspect.is_doubtful = self._is_doubtful(suspect)
                until = now + self._hold_s(suspect)
            is_held = until > max(now, suspect.held_until)
            if is_held and not self._evidence.is_explained(suspect):
                self._hold(suspect, until, origin)
            elif update.fingerprint in self._held:
                self._explain(suspect)
            if is_new:
                self._release_explained()

    def _without_living(
        self, update: suspicion.SuspectUpdate
    ) -> suspicion.SuspectUpdate:
        """Return a peer's update without crashes that turned out to be none."""
        now = self._clock.now()
        living = {one for one, until in self._alive_until.items() if now < until}
        if living.isdisjoint(update.incarnations):
            return update
        left = {
            incarnation: weight
            for incarnation, weight in update.incarnations.items()
            if incarnation not in living
        }
        return msgspec.structs.replace(update, incarnations=left, held_s=0.0)

    def _add(self, update: suspicion.SuspectUpdate, now: float) -> suspicion.Suspect:
        """Return the record of a suspect, which is added if there is none."""
        suspect = self._suspects.get(update.fingerprint)
        if suspect is None:
            suspect = suspicion.Suspect(
                update.fingerprint, update.is_shared, update.is_family, now
            )
            self._suspects[update.fingerprint] = suspect
            self.is_empty = False
            self._evict()
        return suspect

    def _record_change(
        self, suspect: suspicion.Suspect, origin: suspicion.Origin
    ) -> None:
        suspect.changed_at, suspect.origin = self._clock.now(), origin
        self.changes[origin] += 1

    def _hold(
        self, suspect: suspicion.Suspect, until: float, origin: suspicion.Origin
    ) -> None:
        suspect.held_until = until
        is_new = suspect.fingerprint not in self._held
        self._held.add(suspect.fingerprint)
        self._explain(suspect)
        if not is_new:
            return
        self._record_change(suspect, origin)
        self.held_changes[origin] += 1
        eventlog.warning(
            f"{suspect.kind}-held",
            mark=f"{suspect.fingerprint:016x}",
            by=origin.name.lower(),
            weight=self._evidence.weight(suspect),
            lives=",".join(suspect.incarnations) or "not-told",
            requests=len(suspect.requests),
            ran_well_s=self._clock.now() - self._health.last(suspect.fingerprint),
            held_s=until - suspect.changed_at,
        )

    def _explain(self, suspect: suspicion.Suspect) -> None:
        """Record that what is held explains the crashes at which it was open.

        What was held for these crashes alone is released if it is less likely their
        cause; a request explains those of families and of requests.
        """
        for incarnation in suspect.incarnations if suspect.is_shared else ():
            if incarnation != EARLIER and self._evidence.counts(suspect, incarnation):
                self._causes.explain(incarnation, suspect.fingerprint)
        self._release_explained(suspect)

    def _release_explained(self, kept: suspicion.Suspect | None = None) -> None:
        """Release what is held for crashes of which others are the likely cause."""
        for fingerprint in list(self._held):
            suspect = self._suspects[fingerprint]
            if suspect is not kept and self._evidence.is_explained(suspect):
                self._release(suspect, "explained")

    def _clear(self, fingerprint: int, origin: suspicion.Origin) -> None:
        now = self._clock.now()
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        is_own = origin is suspicion.Origin.OWN
        if now < suspect.cleared_until and not (is_own and suspect.incarnations):
            # Peers repeat that it was cleared.
            return
        eventlog.info(
            f"{suspect.kind}-cleared",
            mark=f"{fingerprint:016x}",
            by=origin.name.lower(),
            weight=self._evidence.weight(suspect),
            lives=",".join(suspect.incarnations) or "none",
            was_held=fingerprint in self._held,
        )
        suspect.reset()
        pause_s = SHARED_CLEARED_S if suspect.is_shared else CLEARED_S
        suspect.cleared_at = now
        suspect.cleared_until = now + pause_s
        suspect.updated_at = now
        self._record_change(suspect, origin)
        if fingerprint in self._held:
            self._release(suspect, "cleared")

    def _release(self, suspect: suspicion.Suspect, reason: str) -> None:
        """End a hold; crashes that it explained count against others again."""
        suspect.held_until = -clock.NEVER
        suspect.is_doubtful = False
        self._held.discard(suspect.fingerprint)
        explained = self._causes.forget(suspect.fingerprint)
        eventlog.info(
            f"{suspect.kind}-released",
            mark=f"{suspect.fingerprint:016x}",
            reason=reason,
            explained=explained,
        )
        if explained:
            self._hold_others()

    def _hold_others(self) -> None:
        """Hold the suspects against which crashes count that were explained before."""
        now = self._clock.now()
        for suspect in list(self._suspects.values()):
            if suspect.fingerprint in self._held or now < suspect.cleared_until:
                continue
            if self._evidence.has_enough(suspect):
                suspect.is_doubtful = self._is_doubtful(suspect)
                self._hold(suspect, now + self._hold_s(suspect), suspect.origin)

    def _is_doubtful(self, suspect: suspicion.Suspect) -> bool:
        """Whether the number of its crashes alone holds a suspect from now on."""
        was_sure = suspect.fingerprint in self._held and not suspect.is_doubtful
        return not was_sure and not self._evidence.is_heavy(suspect)

    def _hold_s(self, suspect: suspicion.Suspect) -> float:
        """Return for how many seconds a suspect is held from now on."""
        if not suspect.is_shared and not suspect.is_doubtful:
            return HELD_S
        return min(HELD_S, FIRST_DOUBTFUL_HELD_S * 2.0**suspect.expired_holds)

    def _release_at(self, suspect: suspicion.Suspect) -> float:
        """Return when a hold ends here."""
        delay_s = self._release_delay_s if suspect.is_shared else 0.0
        return suspect.held_until + delay_s

    def _drop(self, suspect: suspicion.Suspect) -> None:
        self._held.discard(suspect.fingerprint)
        del self._suspects[suspect.fingerprint]

    def _evict(self) -> None:
        """Evict a record if there are more than the maximum."""
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        free = (s for s in self._suspects.values() if s.fingerprint not in self._held)
        self._drop(next(free, next(iter(self._suspects.values()))))
