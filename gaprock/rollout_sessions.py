"""Which version the sessions of the last seconds ran on.

A session that ran on the old version just before an order has its hash in the new
version's share as often as any other, and would change its version in the middle.  It
stays where it is until it rests, or until the first half of the rollout is over.

Guards against sessions that an order moves: with 60 sessions that ran just before it, 4
changed their version at once (``testrollouts``), where a site allows three.
"""

import collections
import threading
import typing

# Sessions that are kept; the longest unseen ones go first.
MAX_SESSIONS: typing.Final = 20_000


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

    __slots__ = ("_kept_s", "_lock", "_seen")

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
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
        if seen is None or now > seen.seen_at + self._kept_s:
            return None
        return seen.version
