"""Sends to the versions of each service, by what the version counted as at the time."""

import collections
import threading
import typing

from gaprock import eventlog


class SentVersion(typing.NamedTuple):
    """A version that got sends.

    :param role: what it counted as: ordered, withdrawn, ...
    """

    version: str
    role: str


class VersionSends:
    """Counts this gateway's sends, and logs them while they matter; thread-safe."""

    __slots__ = ("_lock", "_totals", "_recent", "_logged")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._totals: collections.Counter[tuple[str, str]] = collections.Counter()
        # Sends since the last line, by service.
        self._recent: dict[str, collections.Counter[SentVersion]] = {}
        # What got sends according to the last line, or to the last interval without
        # one, by service.
        self._logged: dict[str, frozenset[SentVersion]] = {}

    def record(self, service: str, version: str, role: str) -> None:
        """Count a send."""
        with self._lock:
            self._totals[service, role] += 1
            recent = self._recent.setdefault(service, collections.Counter())
            recent[SentVersion(version, role)] += 1

    def totals(self) -> dict[tuple[str, str], int]:
        """Return the sends by service and role."""
        with self._lock:
            return dict(self._totals)

    def log(self) -> None:
        """Log the sends since the last call, but not those to the same version only."""
        with self._lock:
            recent, self._recent = self._recent, {}
        for service, counts in recent.items():
            sent = frozenset(counts)
            before = self._logged.get(service, sent)
            self._logged[service] = sent
            if len(sent) == 1 and sent == before:
                continue
            eventlog.info(
                "version-sends",
                service=service,
                sends=" ".join(
                    f"{one.version}={one.role}:{count}"
                    for one, count in sorted(counts.items())
                ),
            )
