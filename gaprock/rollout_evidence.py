"""Evidence on the versions of a rollout: answers by outcome, and what they show."""

import math
import threading
import typing
import zlib

from gaprock import evidence, relative_times, rollout_latency, rollout_odds

# The share of sends whose answers must be known.
MIN_ANSWERED_SHARE: typing.Final = 0.5

# What a failed answer holds against its version.
FAILED: typing.Final = "failed"
# Logs of the odds (``rollout_odds``) by all answers from which a version is halted, and
# from which it is in doubt and does not get all requests.
HALT_ODDS: typing.Final = math.log(200)
DOUBT_ODDS: typing.Final = math.log(2)
# The same for the odds by the latest answers, which are weighed from many beginnings.
RECENT_HALT_ODDS: typing.Final = math.log(1e7)
SUSPICION_ODDS: typing.Final = math.log(20)
# Ends the name under which a route's times between events are counted.
GAPS: typing.Final = "~pace"
# How much likelier the answers must be with a good version than with a failing one.
PROOF_OF_SUCCESS: typing.Final = 2.0
# Stands for the first parts of answers on all routes; ``GAPS`` stands for the times
# between events on all of them.
FIRST_PARTS: typing.Final = ""
TOTALS: typing.Final = (FIRST_PARTS, GAPS)
# With so many answers of one endpoint, others are not waited for.
MAX_OF_ONE: typing.Final = 20
# The old version is compared with so many answers of the new one on a route, or more.
MIN_COMPARED: typing.Final = 5
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
    :param period: the part of the rollout's time in which their requests were sent.
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

    __slots__ = ("_book", "_lock", "_latencies", "_monitors")

    def __init__(self, book: evidence.EvidenceBook) -> None:
        self._book = book
        # Protects the monitors' records.
        self._lock = threading.Lock()
        # Latencies of the stable version, by service and kind of answer.
        self._latencies: dict[tuple[str, str], rollout_latency.StableLatency] = {}
        # By label and route.
        self._monitors: dict[tuple[str, str], rollout_odds.Monitor] = {}

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
        """Count an answer, in total and by bin."""
        side = "new" if cell.is_new else "old"
        name = _cell_name(label, cell)
        self._book.count(name, verdict.against == FAILED, False, verdict.number)
        self._book.count(f"{label}/{side}", bool(verdict.against), False)

    def rename(self, label: str, new_label: str) -> None:
        """Copy the evidence of a rollout to its new label."""
        self._book.copy(f"{label}/", f"{new_label}/")
        self._book.copy(label + SEPARATOR, new_label + SEPARATOR)

    def judge(self, label: str, is_alone: bool) -> str:
        """Judge the new version by all answers known now.

        :param is_alone: whether it has a single endpoint.
        :returns: why it must be halted; empty if it need not be.
        """
        judged = []
        # A thread with older counts must not be weighed after one with newer ones.
        with self._lock:
            cells = self.cells(label)
            routes = {cell.route for cell in cells if cell.is_new}
            for route in (FIRST_PARTS, GAPS, *sorted(routes)):
                monitor = self._monitors.setdefault(
                    (label, route), rollout_odds.Monitor()
                )
                odds = monitor.update(*_by_side(cells, route), is_alone)
                judged.append((route, odds))
        for route, odds in judged:
            if odds.from_start > HALT_ODDS or odds.recent > RECENT_HALT_ODDS:
                return self._reason(label, odds, route)
            if route in TOTALS and _is_of_one(odds) and odds.strongest > DOUBT_ODDS:
                return self._reason(label, odds, route)
        return ""

    def is_old_worse(self, label: str) -> bool:
        """Whether the old version fails more than the new one, on any route."""
        cells = self.cells(label)
        routes = {c.route for c in cells if c.is_new and not c.route.endswith(GAPS)}
        for route in (FIRST_PARTS, *sorted(routes)):
            new, old = _by_side(cells, route)
            if not old or sum(map(sum, new.values())) < MIN_COMPARED:
                continue
            by_period: dict[int, relative_times.Counts] = {}
            for (_, period), counts in new.items():
                of_period = by_period.get(period, ())
                by_period[period] = relative_times.add(of_period, counts)
            judged: dict[tuple[int | None, int], relative_times.Counts] = {
                (None, period): counts for period, counts in old.items()
            }
            _, failing = rollout_odds.measure(judged, by_period)
            if failing > HALT_ODDS:
                return True
        return False

    def _reason(self, label: str, odds: rollout_odds.Odds, route: str) -> str:
        sums = self.by_side(label)
        return (
            f"log odds {odds.from_start:.1f}, of the latest answers {odds.recent:.1f};"
            f" {odds.answers} answers at {odds.endpoints} endpoints"
            f"{f' on route {route}' if route else ''};"
            f" new {relative_times.text(sums['new'])};"
            f" old {relative_times.text(sums['old'])}"
        )

    def odds(self, label: str, route: str = FIRST_PARTS) -> rollout_odds.Odds:
        """Return the odds by the answers on a route, as last judged."""
        monitor = self._monitors.get((label, route))
        return rollout_odds.NO_ODDS if monitor is None else monitor.odds

    def is_suspected(self, label: str) -> bool:
        """Whether the latest answers were against it when last judged, on any route."""
        return any(
            monitor.odds.recent > SUSPICION_ODDS
            for (name, _), monitor in list(self._monitors.items())
            if name == label
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

    def is_proved(self, label: str, odds: float, periods: int) -> bool:
        """Whether the evidence is for the new version, and not only not against it.

        :param odds: how much likelier its answers must be with a good version than with
            a slow one.
        :param periods: only sends in so many periods count. Of later sends the fast
            answers alone would be known.
        """
        new, stable = _by_side(self.cells(label), FIRST_PARTS)
        known = {key: counts for key, counts in new.items() if key[1] < periods}
        slow, failing = rollout_odds.measure(known, stable)
        return slow < -math.log(odds) and failing < -math.log(PROOF_OF_SUCCESS)

    def is_answered(self, label: str, sends: int) -> bool:
        """Whether most of so many sends to the new version have been answered."""
        answers = self._book.totals(f"{label}/new").answers
        return answers >= sends * MIN_ANSWERED_SHARE

    def is_doubted(self, label: str) -> bool:
        """Whether all evidence was against it when last judged, even weakly.

        Weak evidence of single routes would cast doubt on many good versions.
        """
        return any(self.odds(label, t).strongest > DOUBT_ODDS for t in TOTALS)


def _by_side(
    cells: typing.Mapping[Cell, relative_times.Counts], route: str
) -> tuple[rollout_odds.Cells, dict[int, relative_times.Counts]]:
    """Return the answers of the new version, and those of the stable one by period.

    :param route: the route whose answers are included, or one of ``TOTALS``.
    """
    new: dict[tuple[int | None, int], relative_times.Counts] = {}
    stable: dict[int, relative_times.Counts] = {}
    for cell, counts in cells.items():
        total = GAPS if cell.route.endswith(GAPS) else FIRST_PARTS
        if route not in (total, cell.route):
            continue
        if cell.is_new:
            group = None if cell.group == NO_GROUP else cell.group
            key = (group, cell.period)
            new[key] = relative_times.add(new.get(key, ()), counts)
        else:
            of_period = stable.get(cell.period, ())
            stable[cell.period] = relative_times.add(of_period, counts)
    return new, stable


def _is_of_one(odds: rollout_odds.Odds) -> bool:
    """Whether all answers are of one endpoint, and too many to wait for others."""
    return odds.endpoints == 1 and odds.answers >= MAX_OF_ONE
