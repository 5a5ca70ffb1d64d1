"""Evidence on versions: counters that only grow, summed over processes.

Each process counts its own answers under its own source name.  Heartbeats carry the
counters that changed, and a newer counter of a source replaces the older one, so
duplicate and late heartbeats do no harm.  The sum over all sources is the evidence of
the fleet; no store is needed.
"""

import threading
import typing

import msgspec

from gaprock import messages, relative_times

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

    def count(
        self, version: str, bad: bool, rated: bool, number: int | None = None
    ) -> None:
        """Count one judged answer of this process.

        :param number: its bin, as in ``relative_times``.
        """
        with self._lock:
            old = self._records.get((self._source, version))
            answers, bads, rates = 0, 0, 0
            bins: relative_times.Counts = ()
            if old is not None:
                answers, bads = old.counts.answers, old.counts.bad
                rates, bins = old.counts.rated, old.counts.bins
            if number is not None:
                one = [0] * relative_times.COUNT
                one[number] = 1
                bins = relative_times.add(bins, tuple(one))
            self._store(
                messages.Evidence(
                    self._source, version, answers + 1, bads + bad, rates + rated, bins
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
            bins = counts.bins
            if old is not None:
                answers, bad = answers + old.answers, bad + old.bad
                rated += old.rated
                bins = relative_times.add(bins, old.bins)
            sums[counts.version] = messages.Evidence(
                name, counts.version, answers, bad, rated, bins
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

    def binned(self, prefix: str) -> dict[str, relative_times.Counts]:
        """Sum the answers by bin of all versions with a prefix over all sources."""
        with self._lock:
            found = [
                r.counts for (_, v), r in self._records.items() if v.startswith(prefix)
            ]
        sums: dict[str, relative_times.Counts] = {}
        for counts in found:
            before = sums.get(counts.version, ())
            sums[counts.version] = relative_times.add(before, counts.bins)
        return sums

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
