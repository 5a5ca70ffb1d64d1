"""Where requests were lost or late, and why, from the gateways' own logs.

``gaprock report`` reads log files in two steps: ``collect`` groups the lines by
request, and ``judge`` says of each how it ended and for what reason.  ``Report`` holds
the sums that ``report_text`` and ``report_html`` show.  Callers that met a closed
port left no line; the spans in which a process was down stand for them.
"""

import collections
import enum
import typing

from gaprock import logs, policy_models

# Width of a row of the table by time, seconds.
MOMENT_S: typing.Final = 2.0
# Width of a column of the table of calls to the store, seconds.
STORE_MOMENT_S: typing.Final = 10.0
# Longest waits that are listed.
LONGEST: typing.Final = 10
# Lines that could not be read, as examples.
UNREAD_SHOWN: typing.Final = 3
NONE: typing.Final = "none"
# Lines of gateways that take an operator's word on a hall into force, closer than this
# together, are of one order, seconds: it is in force everywhere well within that.
ORDER_S: typing.Final = 8.0
HALL_EVENTS: typing.Final = ("hall-emptied", "hall-back")
LIMIT_EVENTS: typing.Final = ("endpoint-limited", "endpoint-unlimited")
LEAVING_EVENTS: typing.Final = ("endpoint-leaving", "endpoint-stays")
BACKOFF_EVENTS: typing.Final = ("endpoint-backoff", "endpoint-backoff-over")
RESTORE_EVENTS: typing.Final = ("store-restored",)
CHANGE_EVENTS: typing.Final = frozenset(
    HALL_EVENTS + LIMIT_EVENTS + LEAVING_EVENTS + BACKOFF_EVENTS + RESTORE_EVENTS
)


class Ended(enum.Enum):
    """How a request ended, as its caller saw it."""

    IN_TIME = "in time"
    DOUBTFUL = "doubtful"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "caller left"


class Verdict(typing.NamedTuple):
    """What became of a request.

    :param reason: why it was not in time; empty where it was.
    :param waited_s: seconds until its first byte or its end.
    """

    request: str
    route: str
    at: float
    ended: Ended
    reason: str
    waited_s: float


class Down(typing.NamedTuple):
    """A span in which a process took no callers.

    :param planned: whether it said that it stopped.
    """

    process: str
    since: float
    until: float
    planned: bool


class Change(typing.NamedTuple):
    """A change of belief that spread over the gateways.

    :param name: of the hall or the endpoint that it is about.
    :param event: of the lines that tell it.
    :param detail: what the first line says besides.
    """

    name: str
    event: str
    first: float
    last: float
    gateways: int
    detail: str


class Collected:
    """The lines of some logs, by request."""

    __slots__ = (
        "by_request",
        "store_calls",
        "changes",
        "down",
        "lines",
        "unread",
        "first_at",
        "_last",
    )

    def __init__(self) -> None:
        self.by_request: dict[str, list[logs.LogLine]] = collections.defaultdict(list)
        # Calls to the shared store.
        self.store_calls: list[logs.LogLine] = []
        # Changes of what is believed of halls and endpoints, a line for each gateway.
        self.changes: list[logs.LogLine] = []
        self.down: list[Down] = []
        self.lines = 0
        # Texts that are no lines of ours: how many, and some of them.
        self.unread: tuple[int, list[str]] = (0, [])
        self.first_at = 0.0
        # The last line of each process.
        self._last: dict[str, logs.LogLine] = {}

    def take(self, text: str) -> None:
        """Take one line of a log."""
        line = logs.parse(text)
        if line is None:
            count, some = self.unread
            more = [text[:120]] if len(some) < UNREAD_SHOWN else []
            self.unread = (count + 1, some + more)
            return
        self.first_at = min(self.first_at, line.at) if self.lines else line.at
        self.lines += 1
        last = self._last.get(line.process)
        if line.event == "started" and last is not None:
            planned = last.event == "stopped"
            self.down.append(Down(line.process, last.at, line.at, planned))
        self._last[line.process] = line
        if line.event == "store-call":
            self.store_calls.append(line)
        if line.event in CHANGE_EVENTS:
            self.changes.append(line)
        if "request" in line.fields:
            self.by_request[line.fields["request"]].append(line)

    def was_killed(self, process: str, since: float) -> bool:
        """Whether a process went down without a word after a time."""
        return any(
            d.process == process and d.since >= since and not d.planned
            for d in self.down
        )


def collect(texts: typing.Iterable[str]) -> Collected:
    """Group the lines of logs by request."""
    found = Collected()
    for text in texts:
        if text.strip():
            found.take(text)
    return found


# -- One request --


def judge(lines: list[logs.LogLine], found: Collected) -> Verdict | None:
    """Say how a request ended; ``None`` where only a part of its lines is there."""
    end = next((line for line in lines if line.event == "request"), None)
    if end is None:
        return _without_end(lines, found)
    ended, reason = _end_of(lines, end)
    waited_s = end.number("first_s") or end.number("took_s")
    at = end.at - end.number("took_s")
    route = end.fields.get("route", NONE)
    return Verdict(end.fields["request"], route, at, ended, reason, waited_s)


def _without_end(lines: list[logs.LogLine], found: Collected) -> Verdict | None:
    first, last = lines[0], lines[-1]
    if first.event != "route":
        return None
    killed = found.was_killed(first.process, last.at)
    reason = "cut: its gateway was killed" if killed else "open when the log ends"
    route = first.fields.get("route", NONE)
    waited_s = last.at - first.at
    return Verdict(
        first.fields["request"], route, first.at, Ended.FAILED, reason, waited_s
    )


def _end_of(lines: list[logs.LogLine], end: logs.LogLine) -> tuple[Ended, str]:
    result = end.fields.get("result", NONE)
    if result == "caller-gone":
        return Ended.LEFT, "caller left"
    if any(line.event == "stream-cut" for line in lines):
        return Ended.FAILED, "cut: " + _last_failure(lines)
    if result == "answered":
        return _answered(lines, end)
    if end.number("sends") > 0:
        return Ended.FAILED, f"{result}: {_last_failure(lines)}"
    return Ended.REFUSED, f"refused: {result}"


def _answered(lines: list[logs.LogLine], end: logs.LogLine) -> tuple[Ended, str]:
    if end.number("status") >= 500:
        return Ended.FAILED, "the endpoint's own failure"
    if end.number("goal_s") and end.number("first_s") > end.number("goal_s"):
        return Ended.LATE, _why_late(lines, end)
    if end.number("gap_goal_s") and end.number("gap_s") > end.number("gap_goal_s"):
        return Ended.LATE, "a pause between events"
    kept = [line for line in lines if line.event == "model"][-1:]
    if kept and kept[0].fields.get("confidence", NONE) != NONE:
        if kept[0].number("confidence") < policy_models.DOUBTFUL:
            return Ended.DOUBTFUL, _why_doubtful(kept[0])
    return Ended.IN_TIME, ""


def _why_doubtful(kept: logs.LogLine) -> str:
    if kept.number("climbs_left") < 1:
        return "doubtful: no further send allowed"
    return "doubtful: a larger model would be late or hold up others"


def _why_late(lines: list[logs.LogLine], end: logs.LogLine) -> str:
    """Name the largest part of the time to the first byte."""
    start = end.at - end.number("took_s")
    spent: dict[str, float] = collections.defaultdict(float)
    since, waiting_for = start, "no usable endpoint"
    for line in lines:
        if line.event in ("route", "model", "send-failed"):
            spent[waiting_for] += line.at - since
            since = line.at
        if line.event == "route":
            waiting_for = "the engine's queue"
            if line.number("unread") <= line.number("reading"):
                waiting_for = "reading its own prompt"
        elif line.event == "send-failed":
            waiting_for = "another endpoint after " + line.fields.get("detail", NONE)
    longest = max(spent, key=lambda reason: spent[reason], default="nothing known")
    if any(line.event == "repeat" for line in lines) and "queue" in longest:
        longest += ", more than once"
    return "late: " + longest


def _last_failure(lines: list[logs.LogLine]) -> str:
    for line in reversed(lines):
        if line.event in ("send-failed", "stream-cut"):
            return line.fields.get("detail", NONE)
    return "no send failed"


# -- All of them --


class Report:
    """The sums over all requests."""

    __slots__ = ("found", "verdicts")

    def __init__(self, found: Collected) -> None:
        self.found = found
        judged = [judge(lines, found) for lines in found.by_request.values()]
        self.verdicts = sorted((v for v in judged if v), key=lambda v: v.at)

    def by_route(self) -> dict[str, collections.Counter[Ended]]:
        """Count how requests ended, by route."""
        counts: dict[str, collections.Counter[Ended]] = {}
        for verdict in self.verdicts:
            counter = counts.setdefault(verdict.route, collections.Counter())
            counter[verdict.ended] += 1
        return dict(sorted(counts.items(), key=lambda item: -item[1].total()))

    def by_moment(self) -> dict[float, collections.Counter[Ended]]:
        """Count how requests ended, by the moment at which they came."""
        counts: dict[float, collections.Counter[Ended]] = {}
        for verdict in self.verdicts:
            moment = (verdict.at - self.found.first_at) // MOMENT_S * MOMENT_S
            counts.setdefault(moment, collections.Counter())[verdict.ended] += 1
        return dict(sorted(counts.items()))

    def by_reason(self) -> list[tuple[str, int]]:
        """Count the reasons of all requests that were not in time."""
        reasons = collections.Counter(v.reason for v in self.verdicts if v.reason)
        return reasons.most_common()

    def store_calls(self) -> dict[str, collections.Counter[float]]:
        """Count the calls to the store by kind and table, and by moment."""
        counts: dict[str, collections.Counter[float]] = {}
        for line in self.found.store_calls:
            name = f"{line.fields.get('kind', NONE)} {line.fields.get('table', NONE)}"
            moment = (line.at - self.found.first_at) // STORE_MOMENT_S * STORE_MOMENT_S
            counts.setdefault(name, collections.Counter())[moment] += 1
        return dict(sorted(counts.items(), key=lambda item: -item[1].total()))

    def halls(self) -> list[Change]:
        """Give when halls were emptied and taken back, over all gateways."""
        return self._changes(HALL_EVENTS, "hall")

    def limits(self) -> list[Change]:
        """Give when endpoints named rate limits, over all gateways."""
        return self._changes(LIMIT_EVENTS, "endpoint", "per_s")

    def departures(self) -> list[Change]:
        """Give when endpoints were found to leave, by which word, over all gateways."""
        return self._changes(LEAVING_EVENTS, "endpoint")

    def backoffs(self) -> list[Change]:
        """Give when endpoints asked for backoffs, over all gateways."""
        return self._changes(BACKOFF_EVENTS, "endpoint", "for_s")

    def restores(self) -> list[Change]:
        """Give when the store was found to be restored, over all gateways."""
        return self._changes(RESTORE_EVENTS, "epoch", "old")

    def _changes(
        self, events: tuple[str, ...], name: str, detail: str = ""
    ) -> list[Change]:
        """Put together what several gateways tell of the same change.

        :param name: the field that says what it is about.
        """
        found: list[Change] = []
        latest: dict[tuple[str, str, str], int] = {}
        lines = [line for line in self.found.changes if line.event in events]
        for line in sorted(lines, key=lambda one: one.at):
            text = line.fields.get(detail, "")
            key = line.fields.get(name, NONE), line.event, text
            at = line.at - self.found.first_at
            known = latest.get(key)
            if known is None or at > found[known].last + ORDER_S:
                latest[key] = len(found)
                found.append(Change(key[0], line.event, at, at, 1, text))
            else:
                old = found[known]
                found[known] = old._replace(last=at, gateways=old.gateways + 1)
        return found

    def longest(self) -> list[Verdict]:
        """Give the longest waits."""
        return sorted(self.verdicts, key=lambda v: -v.waited_s)[:LONGEST]
