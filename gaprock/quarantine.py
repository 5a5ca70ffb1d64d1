"""Poison requests, which end what runs them: who is suspected, and who is held back.

An endpoint that ends cuts off all of its requests, and at most one of them is to blame;
the others are *bystanders*.  What tells them apart: a poison request is open at each of
several ends, and has begun to run just before.  So each end of an endpoint's life
speaks against the requests that were open there, by their marks
(``request_fingerprint``), and more against one that had just begun.  Ends are told to
other gateways by the endpoint's life, so that a set of them joins without counting one
twice.  A request that has enough against it is *held*: no endpoint gets it.  An answer
that comes whole clears it.

Nothing of it is stored: a gateway that starts hears what is held in the first beats of
any other one.

Guards against a request that ends a whole service, and spares those that were open
beside it: they had not just begun at one end after the other.
"""

import collections
import enum
import threading
import typing

import msgspec

from gaprock import clock, eventlog

# A request had just begun when its answer did so within this time, seconds.  Poison
# requests ended their endpoints 0.035 to 0.12 s after that, by ten ends in a log; a
# gateway that runs twice as slowly sees the same.  Of 126 bystanders there some 15 had
# begun as lately at one end, none at two.
JUST_BEGUN_S: typing.Final = 0.3
# One whose answer began before that did not end its endpoint as it began to run.
SPARED_S: typing.Final = 1.0
# What the end of an endpoint's life says against a request that had just begun there,
# and against another one that may have ended it.  A request is held from this sum on:
# three ends at which it had just begun, or six at which it was there.
BEGUN_WEIGHT: typing.Final = 2
OPEN_WEIGHT: typing.Final = 1
HELD_WEIGHT: typing.Final = 6
# Where endpoints end without it as well, chance puts a request at several ends: for
# each so many ends of the last seconds at which it was not, one more end at which it
# had just begun is asked for.  Guards bystanders of endpoints that end by turns.
OTHER_ENDS: typing.Final = 4
OTHER_ENDS_S: typing.Final = 10.0
# A request is held for so long after the last endpoint that it ended, seconds; then it
# is tried again, and the next end holds it anew.
HELD_S: typing.Final = 3600.0
# A request that was open at so many ends may not have a service's last endpoint.
SPARED_ENDS: typing.Final = 2
# What speaks against a request that is not held is kept for so long, seconds.
SUSPECT_S: typing.Final = 600.0
# What speaks against a request counts for nothing so long after it was answered whole,
# seconds: others may tell of earlier ends meanwhile.
CLEARED_S: typing.Final = 10.0
# Marks that are kept; the longest unchanged ones go first, those that are held last.
# One is about 0.4 KB.
MAX_MARKS: typing.Final = 2000
# Lives that speak against one request; more change nothing.
MAX_LIVES: typing.Final = 8
# Stands for the lives of a request that was held for its time.
EARLIER: typing.Final = "earlier"
# A change is told in all beats for so long, seconds, so that a beat may be lost.
TOLD_S: typing.Final = 2.0
# All that is held is told to each peer so often, seconds, and so many at most, the
# newest: 64 of them are 1.2 KB.  Within the 3 s in which a gateway has to know.
HELD_RESEND_S: typing.Final = 1.8
MAX_TOLD: typing.Final = 64


class SuspectUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What a gateway tells of a request.

    :param lives: what the ends of endpoints' lives say against it, by life.
    :param held_s: for how much longer it is held, seconds; 0 for one that is not.
    :param is_cleared: whether it was answered whole.
    """

    mark: int
    lives: dict[str, int]
    held_s: float = 0.0
    is_cleared: bool = False


class Origin(enum.Enum):
    """Where a change of what is known came from."""

    OWN = 0
    # A gateway of the own hall, or of another one.
    NEAR = 1
    FAR = 2


class _Suspect:
    """What is known of one mark."""

    __slots__ = (
        "mark",
        "lives",
        "noted_at",
        "held_until",
        "cleared_until",
        "changed_at",
        "origin",
    )

    def __init__(self, mark: int, now: float) -> None:
        self.mark = mark
        self.lives: dict[str, int] = {}
        self.noted_at = now
        self.held_until = -clock.NEVER
        self.cleared_until = -clock.NEVER
        # When the last change came, and from where.
        self.changed_at = now
        self.origin = Origin.OWN

    @property
    def weight(self) -> int:
        """What speaks against it in all."""
        return sum(self.lives.values())

    def join(self, lives: dict[str, int]) -> bool:
        """Take ends of lives; give whether any says more than is known."""
        fresh = {
            life: min(weight, HELD_WEIGHT - 1)
            for life, weight in lives.items()
            if weight > self.lives.get(life, 0)
            and (life in self.lives or len(self.lives) < MAX_LIVES)
        }
        self.lives.update(fresh)
        return bool(fresh)

    def news(self, now: float) -> SuspectUpdate:
        """Give it to be told."""
        held_s = max(0.0, self.held_until - now)
        is_cleared = now < self.cleared_until
        return SuspectUpdate(self.mark, dict(self.lives), held_s, is_cleared)


class Quarantine:
    """The marks that a gateway knows something against; safe for all threads."""

    __slots__ = (
        "_clock",
        "_lock",
        "_marks",
        "_held",
        "_ends",
        "is_empty",
        "held_changes",
        "changes",
    )

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        self._marks: collections.OrderedDict[int, _Suspect] = collections.OrderedDict()
        self._held: set[int] = set()
        # The lives that ended of late, and when that was heard.
        self._ends: collections.OrderedDict[str, float] = collections.OrderedDict()
        # Whether nothing is known, so that no mark has to be hashed.
        self.is_empty = True
        # Changes of what is held, and of what is suspected, by where they came from.
        self.held_changes = {origin: 0 for origin in Origin}
        self.changes = {origin: 0 for origin in Origin}

    # -- Questions --

    def held_for_s(self, mark: int) -> float:
        """Give for how much longer a request is held, seconds; 0 if it is not."""
        if mark not in self._held:
            return 0.0
        with self._lock:
            suspect = self._marks.get(mark)
            return suspect.news(self._clock.now()).held_s if suspect else 0.0

    def is_suspected(self, mark: int) -> bool:
        """Whether anything speaks against a request."""
        with self._lock:
            suspect = self._marks.get(mark)
            return suspect is not None and bool(suspect.lives)

    def ends(self, mark: int) -> int:
        """Give at how many endpoints' ends a request was open."""
        with self._lock:
            suspect = self._marks.get(mark)
            return len(suspect.lives) if suspect is not None else 0

    @property
    def held_count(self) -> int:
        """Requests that are held."""
        return len(self._held)

    # -- What we see --

    def note(self, mark: int, life: str, weight: int) -> None:
        """Take that a request was open at the end of an endpoint's life."""
        self._join(SuspectUpdate(mark, {life: weight}), Origin.OWN)

    def clear(self, mark: int) -> None:
        """Take that a request was answered whole."""
        self._clear(mark, Origin.OWN)

    # -- What others tell --

    def take(self, told: typing.Iterable[SuspectUpdate], is_far: bool) -> None:
        """Take what another gateway tells."""
        origin = Origin.FAR if is_far else Origin.NEAR
        for news in told:
            if news.is_cleared:
                self._clear(news.mark, origin)
            else:
                self._join(news, origin)

    def news(
        self, origins: typing.Container[Origin], include_held: bool
    ) -> list[SuspectUpdate]:
        """Give what is to be told.

        :param origins: where the changes came from that the hearer lacks.
        :param include_held: whether all that is held is due, wherever it came from.
        """
        if self.is_empty:
            return []
        now = self._clock.now()
        with self._lock:
            fresh = [
                suspect.news(now)
                for suspect in reversed(self._marks.values())
                if now < suspect.changed_at + TOLD_S and suspect.origin in origins
            ]
            if include_held:
                known = {news.mark for news in fresh}
                held = [m for m in reversed(self._marks) if m in self._held - known]
                told = [self._marks[mark].news(now) for mark in held]
                fresh += [SuspectUpdate(n.mark, {}, n.held_s) for n in told]
        return fresh[:MAX_TOLD]

    # -- Changes --

    def forget_old(self) -> None:
        """Drop what counts no more."""
        now = self._clock.now()
        with self._lock:
            for suspect in list(self._marks.values()):
                if suspect.mark in self._held and now >= suspect.held_until:
                    self._release(suspect)
                    suspect.lives = {EARLIER: HELD_WEIGHT - 1}
                    suspect.noted_at = now
                if now >= max(suspect.noted_at + SUSPECT_S, suspect.held_until):
                    self._drop(suspect)
            self.is_empty = not self._marks

    def _join(self, news: SuspectUpdate, origin: Origin) -> None:
        now = self._clock.now()
        with self._lock:
            suspect = self._marks.get(news.mark)
            if suspect is None:
                suspect = self._marks[news.mark] = _Suspect(news.mark, now)
                self.is_empty = False
                self._bound()
            if now < suspect.cleared_until:
                return
            is_new = suspect.join(news.lives)
            if is_new:
                suspect.noted_at = now
                self._note_change(suspect, origin)
                self._marks.move_to_end(news.mark)
            until = now + min(news.held_s, HELD_S)
            self._note_ends(news.lives, now)
            if is_new and suspect.weight >= self._needed(suspect, now):
                until = now + HELD_S
            if until > max(now, suspect.held_until):
                self._hold(suspect, until, origin)

    def _note_ends(self, lives: typing.Iterable[str], now: float) -> None:
        for life in lives:
            self._ends.setdefault(life, now)
        while self._ends and next(iter(self._ends.values())) < now - OTHER_ENDS_S:
            self._ends.popitem(last=False)

    def _needed(self, suspect: _Suspect, now: float) -> int:
        """Give the weight from which on a request is held."""
        others = sum(life not in suspect.lives for life in self._ends)
        return HELD_WEIGHT + BEGUN_WEIGHT * (others // OTHER_ENDS)

    def _note_change(self, suspect: _Suspect, origin: Origin) -> None:
        suspect.changed_at, suspect.origin = self._clock.now(), origin
        self.changes[origin] += 1

    def _hold(self, suspect: _Suspect, until: float, origin: Origin) -> None:
        suspect.held_until = until
        if suspect.mark in self._held:
            return
        self._held.add(suspect.mark)
        self._note_change(suspect, origin)
        self.held_changes[origin] += 1
        eventlog.warning(
            "request-held",
            mark=f"{suspect.mark:016x}",
            by=origin.name.lower(),
            weight=suspect.weight,
            lives=",".join(suspect.lives) or "not-told",
            held_s=until - suspect.changed_at,
        )

    def _clear(self, mark: int, origin: Origin) -> None:
        now = self._clock.now()
        with self._lock:
            suspect = self._marks.get(mark)
            if suspect is None or now < suspect.cleared_until:
                return
            eventlog.info(
                "request-cleared",
                mark=f"{mark:016x}",
                by=origin.name.lower(),
                weight=suspect.weight,
                was_held=mark in self._held,
            )
            suspect.lives.clear()
            suspect.cleared_until = now + CLEARED_S
            suspect.noted_at = now
            self._note_change(suspect, origin)
            self._release(suspect)

    def _release(self, suspect: _Suspect) -> None:
        suspect.held_until = -clock.NEVER
        self._held.discard(suspect.mark)

    def _drop(self, suspect: _Suspect) -> None:
        self._held.discard(suspect.mark)
        del self._marks[suspect.mark]

    def _bound(self) -> None:
        """Keep the number of marks in bounds."""
        if len(self._marks) <= MAX_MARKS:
            return
        free = (m for m in self._marks.values() if m.mark not in self._held)
        self._drop(next(free, next(iter(self._marks.values()))))


def spares(ends: int, living: int, all_of: int) -> bool:
    """Whether a request may not have the last endpoint of several that lives.

    Should it be what ended the others, its service would be gone for all callers; and a
    bystander that was open beside it at the others would be held with it.

    :param ends: at which the request was open.
    """
    return ends >= SPARED_ENDS and living <= 1 < all_of


def suspicion_weight(begun_s: float, may_wait: bool) -> int:
    """Give what an endpoint's end says against a request; 0 for nothing.

    :param begun_s: seconds since its answer began; -1 before that.
    :param may_wait: whether one whose answer has not begun likely waits there.
    """
    if begun_s < 0:
        return OPEN_WEIGHT if may_wait else BEGUN_WEIGHT
    if begun_s <= JUST_BEGUN_S:
        return BEGUN_WEIGHT
    return OPEN_WEIGHT if begun_s < SPARED_S else 0
