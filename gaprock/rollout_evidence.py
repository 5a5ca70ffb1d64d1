"""Evidence on the versions of a rollout, for each route and in total."""

import threading
import typing
import zlib

from gaprock import evidence, messages, policy_api, relative_times, rollout_latency

# The share of sends whose answers must be known.
MIN_ANSWERED_SHARE: typing.Final = 0.5

# What a failed answer holds against its version.
FAILED: typing.Final = "failed"
# Under this route the evidence has failures alone.  Slow endpoints of the old version
# would otherwise hide a new version that fails.
FAILURES: typing.Final = "~failures"
# Endpoints are told apart by this many groups, which bounds the number of counters.
GROUPS: typing.Final = 32
# The group of answers whose endpoint is not known.
NO_GROUP: typing.Final = -1
# Separates the parts of a cell's name; no other name contains it.
SEPARATOR: typing.Final = "\x1f"


class Verdict(typing.NamedTuple):
    """What an answer holds against its version, and how it is counted.

    :param against: ``"failed"``, ``"slow"``, or empty for nothing.
    :param number: its bin, as in ``relative_times``.
    """

    against: str
    number: int


class Cell(typing.NamedTuple):
    """Answers that are counted together.

    :param is_new: whether they are of the new version.
    :param period: the part of the rollout's time in which they came.
    :param group: the group of their endpoint; those of the old version are not told
        apart.
    """

    is_new: bool
    period: int
    group: int
    route: str


def group_of(endpoint: str) -> int:
    """Return the group of an endpoint."""
    return zlib.crc32(endpoint.encode()) % GROUPS if endpoint else NO_GROUP


def _cell_name(label: str, cell: Cell) -> str:
    side = "new" if cell.is_new else "old"
    return SEPARATOR.join((label, side, str(cell.period), str(cell.group), cell.route))


def _parse_cell(name: str) -> Cell:
    _, side, period, group, route = name.split(SEPARATOR, 4)
    return Cell(side == "new", int(period), int(group), route)


class RolloutEvidence:
    """The evidence on all rollouts, by their labels; thread-safe."""

    __slots__ = ("_guard", "_book", "_lock", "_latencies", "_routes")

    def __init__(self, guard: policy_api.Guard, book: evidence.EvidenceBook) -> None:
        self._guard = guard
        self._book = book
        # Protects the records of the guard.
        self._lock = threading.Lock()
        # Latencies of the stable version, by service and kind of answer.
        self._latencies: dict[tuple[str, str], rollout_latency.StableLatency] = {}
        # Routes with evidence of their own, by label.
        self._routes: dict[str, set[str]] = {}

    def weigh(
        self,
        service: str,
        kind: str,
        answer: rollout_latency.VersionSample,
        is_new: bool,
    ) -> Verdict | None:
        """Return what a sample holds against its version.

        :param kind: groups answers whose latencies are comparable.
        :param is_new: whether the sample is of the new version.  Latencies are learned
            from the stable version only.
        :returns: ``None`` for a send that has no answer and is not late yet.
        """
        # Seconds and multiples of the expected time are not comparable.
        unit = "seconds" if answer.expected_s is None else "multiple"
        latency = self._latencies.setdefault(
            (service, f"{kind}/{unit}"), rollout_latency.StableLatency()
        )
        is_slow = answer.is_slow(latency)
        if answer.is_open and not is_slow:
            return None
        if answer.relative_time is not None and not is_new and not answer.failed:
            latency.add(answer.relative_time, answer.pace)
        number = answer.bin(latency)
        if answer.failed:
            return Verdict(FAILED, number)
        return Verdict("slow" if is_slow else "", number)

    def count(self, label: str, cell: Cell, verdict: Verdict) -> None:
        """Count an answer, in total, for its route, as failed or not, and by bin."""
        against, route = verdict.against, cell.route
        side = "new" if cell.is_new else "old"
        name = _cell_name(label, cell)
        self._book.count(name, against == FAILED, False, verdict.number)
        self._book.count(f"{label}/{side}", bool(against), False)
        for part, bad in ((route, bool(against)), (FAILURES, against == FAILED)):
            self._book.count(f"{label}/{side}/{part}", bad, False)
            self._routes.setdefault(label, set()).add(part)

    def rename(self, label: str, new_label: str) -> None:
        """Copy the evidence of a rollout to its new label."""
        self._book.copy(f"{label}/", f"{new_label}/")
        self._book.copy(label + SEPARATOR, new_label + SEPARATOR)
        routes = self._routes.get(label, set())
        self._routes.setdefault(new_label, set()).update(routes)

    def learn_routes(self, counters: list[messages.Evidence]) -> None:
        """Learn from the evidence of peers which routes a rollout has."""
        for counts in counters:
            label, _, rest = counts.version.partition("/")
            route = rest.partition("/")[2]
            if route:
                self._routes.setdefault(label, set()).add(route)

    def reason_to_stop(self, label: str) -> str:
        """Return why the new version must be halted; empty if it need not be."""
        for tail in self._tails(label):
            new = self._book.totals(f"{label}/new{tail}")
            old = self._book.totals(f"{label}/old{tail}")
            with self._lock:
                bad = self._guard.is_bad(
                    f"{label}{tail}",
                    policy_api.Counts(new.answers, new.bad),
                    policy_api.Counts(old.answers, old.bad),
                )
            if bad:
                reason = f"{new.bad} of {new.answers} answers bad{tail}"
                return f"{reason}, stable {old.bad} of {old.answers}"
        return ""

    def is_suspected(self, label: str) -> bool:
        """Whether the latest evidence speaks against the new version."""
        with self._lock:
            return any(
                self._guard.is_suspected(f"{label}{tail}")
                for tail in self._tails(label)
            )

    def counts(self, label: str) -> dict[str, int]:
        """Return the answers on both versions in total, for the log."""
        new, old = (self._book.totals(f"{label}/{side}") for side in ("new", "old"))
        return {
            "new_answers": new.answers,
            "new_bad": new.bad,
            "old_answers": old.answers,
            "old_bad": old.bad,
        }

    def cells(self, label: str) -> dict[Cell, relative_times.Counts]:
        """Return the answers of both versions by bin."""
        found = self._book.binned(label + SEPARATOR)
        return {_parse_cell(name): counts for name, counts in found.items()}

    def by_side(self, label: str) -> dict[str, relative_times.Counts]:
        """Return the answers of each version by bin."""
        sums = {"new": relative_times.EMPTY, "old": relative_times.EMPTY}
        for cell, counts in self.cells(label).items():
            side = "new" if cell.is_new else "old"
            sums[side] = relative_times.add(sums[side], counts)
        return sums

    def times(self, label: str) -> dict[str, str | int]:
        """Return the relative times of the answers on both versions, for the log."""
        sums = self.by_side(label)
        return {
            "new_times": relative_times.text(sums["new"]),
            "old_times": relative_times.text(sums["old"]),
            "new_endpoints": len({c.group for c in self.cells(label) if c.is_new}),
        }

    def is_proved(self, label: str, odds: float) -> bool:
        """Whether the evidence is for the new version, and not only not against it.

        :param odds: as for ``policy_api.Guard.is_proved``.
        """
        new, old = (self._book.totals(f"{label}/{side}") for side in ("new", "old"))
        return self._guard.is_proved(
            policy_api.Counts(new.answers, new.bad),
            policy_api.Counts(old.answers, old.bad),
            odds,
        )

    def is_answered(self, label: str, sends: int) -> bool:
        """Whether most of so many sends to the new version have been answered."""
        answers = self._book.totals(f"{label}/new").answers
        return answers >= sends * MIN_ANSWERED_SHARE

    def is_doubted(self, label: str) -> bool:
        """Whether the latest evidence in total, or that of failures, is against it.

        Weak evidence of single routes would cast doubt on many good versions.
        """
        with self._lock:
            return any(
                self._guard.is_doubted(name) for name in (label, f"{label}/{FAILURES}")
            )

    def _tails(self, label: str) -> list[str]:
        """Return the suffixes under which evidence is kept: in total, and by route."""
        return ["", *(f"/{route}" for route in sorted(self._routes.get(label, ())))]
