"""Versions that the active sessions run on, at this gateway and at its peers.

When a rollout is ordered, the hashes of some sessions that are active on the old
version fall into the new version's share, and these sessions would change version in
the middle.  They are *pinned* to the old version instead, until they go idle or the
first half of the rollout is over.

The next request of a session may come through any gateway, so each gateway lists in its
heartbeats the sessions of the first share that it saw on the old version.  At the start
of a rollout, until all gateways have reported, every session counts as active.

This keeps an order from moving active sessions, also when their next request comes
through another gateway.
"""

import collections
import threading
import typing
import zlib

# Maximum number of sessions on record; the least recently seen are evicted first.
MAX_SESSIONS: typing.Final = 20_000
# Maximum number of sessions in a heartbeat, the latest ones.  They take 10 KB, and are
# as many as 4,200 requests/s leave in the first share of one service within five
# seconds.
MAX_REPORTED: typing.Final = 2_000
HASH_RANGE: typing.Final = 2**32


def hash_session(session: str, label: str) -> int:
    """Return the hash, below ``HASH_RANGE``, that decides a session's version.

    All gateways compute the same one.
    """
    return zlib.crc32(f"{session}#{label}".encode())


class _SessionRecord:
    """The version of a session, and when the session was last seen."""

    __slots__ = ("version", "seen_at")

    def __init__(self, version: str, seen_at: float) -> None:
        self.version = version
        self.seen_at = seen_at


class RecentSessions:
    """The sessions seen by one gateway; thread-safe.

    :param idle_s: a session is active until it had no request for this many seconds.
    """

    __slots__ = ("idle_s", "_lock", "_seen")

    def __init__(self, idle_s: float) -> None:
        self.idle_s = idle_s
        self._lock = threading.Lock()
        self._seen: collections.OrderedDict[tuple[str, str], _SessionRecord] = (
            collections.OrderedDict()
        )

    def record(self, service: str, session: str, version: str, now: float) -> None:
        """Record that a request of a session is sent to a version."""
        with self._lock:
            self._seen[service, session] = _SessionRecord(version, now)
            self._seen.move_to_end((service, session))
            if len(self._seen) > MAX_SESSIONS:
                self._seen.popitem(last=False)

    def record_end(self, service: str, session: str, now: float) -> None:
        """Record the end of a session's request, from which its idle time counts."""
        with self._lock:
            seen = self._seen.get((service, session))
            if seen is not None:
                seen.seen_at = now
                self._seen.move_to_end((service, session))

    def version(self, service: str, session: str, now: float) -> str | None:
        """Return the version of an active session; ``None`` if it is idle."""
        with self._lock:
            seen = self._seen.get((service, session))
        if seen is None or now > seen.seen_at + self.idle_s:
            return None
        return seen.version

    def active_on_other_versions(
        self, service: str, version: str, now: float
    ) -> dict[str, float]:
        """Return the active sessions on other versions, and when each was last seen."""
        since = now - self.idle_s
        with self._lock:
            return {
                session: seen.seen_at
                for (name, session), seen in self._seen.items()
                if name == service and seen.version != version and seen.seen_at >= since
            }


class PinnedSessions:
    """Active sessions on the old version whose hashes are in a rollout's first share.

    :param idle_s: as for ``RecentSessions``.
    """

    __slots__ = ("_idle_s", "_lock", "_own", "_reported")

    def __init__(self, idle_s: float) -> None:
        self._idle_s = idle_s
        self._lock = threading.Lock()
        # When they were last seen here, and last reported by a peer, by session hash.
        self._own: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._reported: collections.OrderedDict[int, float] = collections.OrderedDict()

    def record(self, session_hash: int, now: float) -> None:
        """Record a session seen by this gateway."""
        with self._lock:
            _touch(self._own, session_hash, now)

    def merge_reported(self, hashes: typing.Iterable[int], now: float) -> None:
        """Record sessions reported by a peer."""
        with self._lock:
            for session_hash in hashes:
                _touch(self._reported, session_hash, now)

    def own(self, now: float) -> list[int]:
        """Return the active sessions seen by this gateway, to report to peers."""
        with self._lock:
            while self._own:
                session_hash, seen_at = next(iter(self._own.items()))
                if seen_at >= now - self._idle_s:
                    break
                del self._own[session_hash]
            return list(self._own)[-MAX_REPORTED:]

    def is_reported(self, session_hash: int, now: float) -> bool:
        """Whether a peer reported a session recently."""
        with self._lock:
            reported_at = self._reported.get(session_hash)
        return reported_at is not None and now <= reported_at + self._idle_s


def _touch(
    hashes: collections.OrderedDict[int, float], session_hash: int, now: float
) -> None:
    hashes[session_hash] = now
    hashes.move_to_end(session_hash)
    if len(hashes) > MAX_SESSIONS:
        hashes.popitem(last=False)
