"""Which version the sessions of the last seconds ran on, here and at other gateways.

A session that ran on the old version just before an order has its hash in the new
version's share as often as any other, and would change its version in the middle.  It
stays where it is until it rests, or until the first half of the rollout is over.

Its next request may come through any gateway, so each one tells the others the sessions
of the first share that it saw on the old version, in its beats.  For the first moment
of a rollout, until all have told, every session counts as one that goes on.

Guards against sessions that an order moves, also where their next request comes through
another gateway.
"""

import collections
import threading
import typing
import zlib

# Sessions that are kept; the longest unseen ones go first.
MAX_SESSIONS: typing.Final = 20_000
# Sessions that a beat names at most, the latest ones: 10 KB, what 4,200 requests a
# second leave in the first share of a single service within five seconds.
MAX_TOLD: typing.Final = 2_000
HASH_RANGE: typing.Final = 2**32


def mark_of(session: str, label: str) -> int:
    """Give a session's place in a rollout, below ``HASH_RANGE``; all agree on it."""
    return zlib.crc32(f"{session}#{label}".encode())


class _Seen:
    """What a session ran on, and when it was last seen."""

    __slots__ = ("version", "seen_at")

    def __init__(self, version: str, seen_at: float) -> None:
        self.version = version
        self.seen_at = seen_at


class RecentSessions:
    """The sessions of one gateway; safe for all threads.

    :param kept_s: requests of a session that follow one another within this time
        belong together, seconds.
    """

    __slots__ = ("kept_s", "_lock", "_seen")

    def __init__(self, kept_s: float) -> None:
        self.kept_s = kept_s
        self._lock = threading.Lock()
        self._seen: collections.OrderedDict[tuple[str, str], _Seen] = (
            collections.OrderedDict()
        )

    def note(self, service: str, session: str, version: str, now: float) -> None:
        """Note that a request of a session is sent to a version."""
        with self._lock:
            self._seen[service, session] = _Seen(version, now)
            self._seen.move_to_end((service, session))
            if len(self._seen) > MAX_SESSIONS:
                self._seen.popitem(last=False)

    def note_end(self, service: str, session: str, now: float) -> None:
        """Note the end of a session's request; its rest begins now."""
        with self._lock:
            seen = self._seen.get((service, session))
            if seen is not None:
                seen.seen_at = now
                self._seen.move_to_end((service, session))

    def version(self, service: str, session: str, now: float) -> str | None:
        """Give the version of a session that goes on; ``None`` for one that rested."""
        with self._lock:
            seen = self._seen.get((service, session))
        if seen is None or now > seen.seen_at + self.kept_s:
            return None
        return seen.version

    def besides(self, service: str, version: str, now: float) -> dict[str, float]:
        """Give the sessions that go on on other versions, and when they were seen."""
        since = now - self.kept_s
        with self._lock:
            return {
                session: seen.seen_at
                for (name, session), seen in self._seen.items()
                if name == service and seen.version != version and seen.seen_at >= since
            }


class KeptSessions:
    """The sessions of one rollout's first share that go on on the old version.

    :param kept_s: as for ``RecentSessions``.
    """

    __slots__ = ("_kept_s", "_lock", "_own", "_told")

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._lock = threading.Lock()
        # When we saw them last, and when others told of them last, by mark.
        self._own: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._told: collections.OrderedDict[int, float] = collections.OrderedDict()

    def note(self, mark: int, now: float) -> None:
        """Note one that we saw."""
        with self._lock:
            _renew(self._own, mark, now)

    def merge_reported(self, marks: typing.Iterable[int], now: float) -> None:
        """Take those that another gateway saw."""
        with self._lock:
            for mark in marks:
                _renew(self._told, mark, now)

    def own(self, now: float) -> list[int]:
        """Give those that we saw and that go on, to be told."""
        with self._lock:
            while self._own:
                mark, seen_at = next(iter(self._own.items()))
                if seen_at >= now - self._kept_s:
                    break
                del self._own[mark]
            return list(self._own)[-MAX_TOLD:]

    def is_told(self, mark: int, now: float) -> bool:
        """Whether another gateway told of one lately."""
        with self._lock:
            told_at = self._told.get(mark)
        return told_at is not None and now <= told_at + self._kept_s


def _renew(marks: collections.OrderedDict[int, float], mark: int, now: float) -> None:
    marks[mark] = now
    marks.move_to_end(mark)
    if len(marks) > MAX_SESSIONS:
        marks.popitem(last=False)
