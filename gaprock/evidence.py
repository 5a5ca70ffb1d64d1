"""Evidence on versions: counters that only grow, summed over processes.

Each process counts its own answers under its own source name.  Heartbeats carry the
counters that changed, and a newer counter of a source replaces the older one, so
duplicate and late heartbeats do no harm.  The sum over all sources is the evidence of
the fleet; no store is needed.
"""

import threading
import typing

import msgspec

from gaprock import messages

# Maximum number of records; the least recently changed are evicted first.
MAX_RECORDS: typing.Final = 20_000

Key = tuple[str, str]


class Record:
    """One source's counters of one version, and the tick of their last change."""

    __slots__ = ("counts", "tick")

    def __init__(self, counts: messages.Evidence, tick: int) -> None:
        self.counts = counts
        self.tick = tick


class Totals(typing.NamedTuple):
    """A version's counters, summed over all sources."""

    answers: int
    bad: int
    rated: int


class EvidenceBook:
    """The counters known to one process; thread-safe."""

    __slots__ = ("_lock", "_source", "_records", "_tick")

    def __init__(self, source: str) -> None:
        self._lock = threading.Lock()
        self._source = source
        self._records: dict[Key, Record] = {}
        self._tick = 0

    @property
    def source(self) -> str:
        """The source name of this process."""
        return self._source

    def count(self, version: str, bad: bool, rated: bool) -> None:
        """Count one judged answer of this process."""
        with self._lock:
            old = self._records.get((self._source, version))
            answers, bads, rates = 0, 0, 0
            if old is not None:
                answers, bads = old.counts.answers, old.counts.bad
                rates = old.counts.rated
            self._store(
                messages.Evidence(
                    self._source, version, answers + 1, bads + bad, rates + rated
                )
            )

    def copy(self, prefix: str, new_prefix: str) -> None:
        """Copy the counters of versions with one prefix to another prefix."""
        with self._lock:
            found = [
                msgspec.structs.replace(
                    r.counts, version=new_prefix + r.counts.version[len(prefix) :]
                )
                for r in self._records.values()
                if r.counts.version.startswith(prefix)
            ]
        self.merge(found)

    def merge(self, counters: list[messages.Evidence]) -> bool:
        """Merge counters from a heartbeat.

        :returns: whether any of them was newer.
        """
        changed = False
        with self._lock:
            for counts in counters:
                old = self._records.get((counts.source, counts.version))
                if old is None or counts.answers > old.counts.answers:
                    self._store(counts)
                    changed = True
        return changed

    def since(self, tick: int) -> tuple[int, list[messages.Evidence]]:
        """Return the current tick, and the counters that changed after ``tick``."""
        with self._lock:
            changed = [r.counts for r in self._records.values() if r.tick > tick]
            return self._tick, changed

    def sums_since(
        self, tick: int, name: str, is_member: typing.Callable[[str], bool]
    ) -> list[messages.Evidence]:
        """Return the sums over some sources of counters that changed after ``tick``.

        A sum of counters that only grow only grows itself, so it is sent like any other
        counter.  If two processes send a sum, the one with more answers is used.

        :param name: the source name of the sums.
        :param is_member: whether a source is included.
        """
        with self._lock:
            members = [r for r in self._records.values() if is_member(r.counts.source)]
        changed = {r.counts.version for r in members if r.tick > tick}
        sums: dict[str, messages.Evidence] = {}
        for record in members:
            counts = record.counts
            if counts.version not in changed:
                continue
            old = sums.get(counts.version)
            answers, bad, rated = counts.answers, counts.bad, counts.rated
            if old is not None:
                answers, bad = answers + old.answers, bad + old.bad
                rated += old.rated
            sums[counts.version] = messages.Evidence(
                name, counts.version, answers, bad, rated
            )
        return list(sums.values())

    def totals(self, version: str) -> Totals:
        """Sum a version's counters over all sources."""
        with self._lock:
            found = [r.counts for (_, v), r in self._records.items() if v == version]
        return Totals(
            sum(c.answers for c in found),
            sum(c.bad for c in found),
            sum(c.rated for c in found),
        )

    def own_totals(self, version: str) -> Totals:
        """Return a version's counters of this process."""
        with self._lock:
            record = self._records.get((self._source, version))
        if record is None:
            return Totals(0, 0, 0)
        return Totals(record.counts.answers, record.counts.bad, record.counts.rated)

    def _store(self, counts: messages.Evidence) -> None:
        self._tick += 1
        self._records[(counts.source, counts.version)] = Record(counts, self._tick)
        if len(self._records) > MAX_RECORDS:
            oldest = min(self._records, key=lambda key: self._records[key].tick)
            del self._records[oldest]
