"""Classifies requests that failed or were late, using the gateways' logs.

``gaprock report`` reads log files in two steps: ``collect`` groups the lines by
request, and ``classify`` determines the outcome of each request and the reason for it.
``Report`` holds the totals that ``report_text`` and ``report_html`` render.  Callers
whose connection was refused left no log line; the report lists the downtimes of
processes in their place.
"""

import collections
import enum
import typing

from gaprock import logs, policy_models, report_rollouts

# Interval covered by one row of the table by time.
INTERVAL_S: typing.Final = 2.0
# Interval covered by one column of the table of store calls.
STORE_INTERVAL_S: typing.Final = 10.0
# How many of the longest waits are listed.
MAX_LONGEST_WAITS: typing.Final = 10
# How many of the lines that could not be parsed are shown as examples.
MAX_UNPARSED_EXAMPLES: typing.Final = 3
NONE: typing.Final = "none"
# Lines of several gateways about the same change belong to one change if each follows
# the previous one within this time.  An operator's order on a hall takes effect on all
# gateways well within it.
SAME_CHANGE_S: typing.Final = 8.0
HALL_EVENTS: typing.Final = ("hall-emptied", "hall-back")
LIMIT_EVENTS: typing.Final = ("endpoint-limited", "endpoint-unlimited")
DEPARTURE_EVENTS: typing.Final = ("endpoint-leaving", "endpoint-stays")
BACKOFF_EVENTS: typing.Final = ("endpoint-backoff", "endpoint-backoff-over")
RESTORE_EVENTS: typing.Final = ("store-restored",)
CHANGE_EVENTS: typing.Final = frozenset(
    HALL_EVENTS + LIMIT_EVENTS + DEPARTURE_EVENTS + BACKOFF_EVENTS + RESTORE_EVENTS
)


class Outcome(enum.Enum):
    """Outcome of a request as its caller saw it."""

    IN_TIME = "in time"
    DOUBTFUL = "doubtful"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "caller left"


class ClassifiedRequest(typing.NamedTuple):
    """Outcome of one request.

    :param at: when it arrived or was first logged, seconds since the epoch.
    :param reason: why it was not answered in time; empty if it was.
    :param waited_s: time until its first byte, or until its end if it had none.
    """

    request_id: str
    route: str
    at: float
    outcome: Outcome
    reason: str
    waited_s: float


class Downtime(typing.NamedTuple):
    """Interval in which a process accepted no connections.

    :param planned: whether the process logged a planned stop.
    """

    process: str
    since: float
    until: float
    planned: bool


class Change(typing.NamedTuple):
    """Change of a hall's, an endpoint's or the store's state as gateways learned of it.

    :param name: the hall, endpoint or store epoch that changed.
    :param event: event name of the lines that report it.
    :param first: first line about it, seconds after the start of the logs.
    :param last: last line about it, seconds after the start of the logs.
    :param gateways: number of lines, one for each gateway.
    :param detail: value of a further field of the first line, or empty.
    """

    name: str
    event: str
    first: float
    last: float
    gateways: int
    detail: str


class ParsedLogs:
    """Lines parsed from log files, grouped by request."""

    __slots__ = (
        "by_request",
        "store_calls",
        "changes",
        "rollouts",
        "downtimes",
        "lines",
        "unparsed",
        "first_at",
        "_last_lines",
    )

    def __init__(self) -> None:
        self.by_request: dict[str, list[logs.LogLine]] = collections.defaultdict(list)
        self.store_calls: list[logs.LogLine] = []
        # State changes of halls, endpoints and the store, one line for each gateway.
        self.changes: list[logs.LogLine] = []
        self.rollouts: list[logs.LogLine] = []
        self.downtimes: list[Downtime] = []
        self.lines = 0
        # Lines that are not in the log format: their number, and some examples.
        self.unparsed: tuple[int, list[str]] = (0, [])
        self.first_at = 0.0
        # Last line of each process.
        self._last_lines: dict[str, logs.LogLine] = {}

    def add(self, text: str) -> None:
        """Parse one line of a log and add it."""
        line = logs.parse(text)
        if line is None:
            count, examples = self.unparsed
            more = [text[:120]] if len(examples) < MAX_UNPARSED_EXAMPLES else []
            self.unparsed = (count + 1, examples + more)
            return
        self.first_at = min(self.first_at, line.at) if self.lines else line.at
        self.lines += 1
        last = self._last_lines.get(line.process)
        if line.event == "started" and last is not None:
            planned = last.event == "stopped"
            self.downtimes.append(Downtime(line.process, last.at, line.at, planned))
        self._last_lines[line.process] = line
        if line.event == "store-call":
            self.store_calls.append(line)
        if line.event in CHANGE_EVENTS:
            self.changes.append(line)
        if line.event in report_rollouts.EVENTS:
            self.rollouts.append(line)
        if "request" in line.fields:
            self.by_request[line.fields["request"]].append(line)

    def was_killed(self, process: str, since: float) -> bool:
        """Return whether a process ended after a time without logging a stop."""
        return any(
            d.process == process and d.since >= since and not d.planned
            for d in self.downtimes
        )


def collect(texts: typing.Iterable[str]) -> ParsedLogs:
    """Parse the lines of logs and group them by request."""
    parsed = ParsedLogs()
    for text in texts:
        if text.strip():
            parsed.add(text)
    return parsed


# -- One request --


def classify(lines: list[logs.LogLine], parsed: ParsedLogs) -> ClassifiedRequest | None:
    """Return a request's outcome; ``None`` if the logs hold only part of its lines."""
    end = next((line for line in lines if line.event == "request"), None)
    if end is None:
        return _classify_unfinished(lines, parsed)
    outcome, reason = _classify_end(lines, end)
    waited_s = end.number("first_s") or end.number("took_s")
    at = end.at - end.number("took_s")
    route = end.fields.get("route", NONE)
    return ClassifiedRequest(
        end.fields["request"], route, at, outcome, reason, waited_s
    )


def _classify_unfinished(
    lines: list[logs.LogLine], parsed: ParsedLogs
) -> ClassifiedRequest | None:
    first, last = lines[0], lines[-1]
    if first.event != "route":
        return None
    killed = parsed.was_killed(first.process, last.at)
    reason = "cut: its gateway was killed" if killed else "open when the log ends"
    route = first.fields.get("route", NONE)
    waited_s = last.at - first.at
    return ClassifiedRequest(
        first.fields["request"], route, first.at, Outcome.FAILED, reason, waited_s
    )


def _classify_end(lines: list[logs.LogLine], end: logs.LogLine) -> tuple[Outcome, str]:
    result = end.fields.get("result", NONE)
    if result == "caller-gone":
        return Outcome.LEFT, "caller left"
    if any(line.event == "stream-cut" for line in lines):
        return Outcome.FAILED, "cut: " + _last_failure_detail(lines)
    if result == "answered":
        return _classify_answered(lines, end)
    if end.number("sends") > 0:
        return Outcome.FAILED, f"{result}: {_last_failure_detail(lines)}"
    return Outcome.REFUSED, f"refused: {result}"


def _classify_answered(
    lines: list[logs.LogLine], end: logs.LogLine
) -> tuple[Outcome, str]:
    if end.number("status") >= 500:
        return Outcome.FAILED, "the endpoint's own failure"
    if end.number("goal_s") and end.number("first_s") > end.number("goal_s"):
        return Outcome.LATE, _why_late(lines, end)
    if end.number("gap_goal_s") and end.number("gap_s") > end.number("gap_goal_s"):
        return Outcome.LATE, "a pause between events"
    model_lines = [line for line in lines if line.event == "model"][-1:]
    if model_lines and model_lines[0].fields.get("confidence", NONE) != NONE:
        if model_lines[0].number("confidence") < policy_models.MIN_CONFIDENCE:
            return Outcome.DOUBTFUL, _why_doubtful(model_lines[0])
    return Outcome.IN_TIME, ""


def _why_doubtful(model_line: logs.LogLine) -> str:
    if model_line.number("climbs_left") < 1:
        return "doubtful: no further send allowed"
    return "doubtful: a larger model would be late or hold up others"


def _why_late(lines: list[logs.LogLine], end: logs.LogLine) -> str:
    """Return the reason for the largest part of the time to the first byte."""
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


def _last_failure_detail(lines: list[logs.LogLine]) -> str:
    for line in reversed(lines):
        if line.event in ("send-failed", "stream-cut"):
            return line.fields.get("detail", NONE)
    return "no send failed"


# -- All requests --


class Report:
    """Totals over all requests."""

    __slots__ = ("parsed", "requests")

    def __init__(self, parsed: ParsedLogs) -> None:
        self.parsed = parsed
        classified = [classify(lines, parsed) for lines in parsed.by_request.values()]
        self.requests = sorted((r for r in classified if r), key=lambda r: r.at)

    def by_route(self) -> dict[str, collections.Counter[Outcome]]:
        """Count outcomes by route, the busiest route first."""
        counts: dict[str, collections.Counter[Outcome]] = {}
        for request in self.requests:
            counter = counts.setdefault(request.route, collections.Counter())
            counter[request.outcome] += 1
        return dict(sorted(counts.items(), key=lambda item: -item[1].total()))

    def by_interval(self) -> dict[float, collections.Counter[Outcome]]:
        """Count outcomes by the interval in which the requests arrived.

        The keys are the starts of the intervals, seconds after the start of the logs.
        """
        counts: dict[float, collections.Counter[Outcome]] = {}
        for request in self.requests:
            interval = (request.at - self.parsed.first_at) // INTERVAL_S * INTERVAL_S
            counts.setdefault(interval, collections.Counter())[request.outcome] += 1
        return dict(sorted(counts.items()))

    def by_reason(self) -> list[tuple[str, int]]:
        """Count the reasons of all requests that were not answered in time."""
        reasons = collections.Counter(r.reason for r in self.requests if r.reason)
        return reasons.most_common()

    def store_calls(self) -> dict[str, collections.Counter[float]]:
        """Count the calls to the store by kind and table, and by interval."""
        counts: dict[str, collections.Counter[float]] = {}
        for line in self.parsed.store_calls:
            name = f"{line.fields.get('kind', NONE)} {line.fields.get('table', NONE)}"
            interval = (
                (line.at - self.parsed.first_at) // STORE_INTERVAL_S * STORE_INTERVAL_S
            )
            counts.setdefault(name, collections.Counter())[interval] += 1
        return dict(sorted(counts.items(), key=lambda item: -item[1].total()))

    def halls(self) -> list[Change]:
        """Return when halls were cordoned and uncordoned, over all gateways."""
        return self._changes(HALL_EVENTS, "hall")

    def limits(self) -> list[Change]:
        """Return when endpoints announced rate limits, over all gateways."""
        return self._changes(LIMIT_EVENTS, "endpoint", "per_s")

    def departures(self) -> list[Change]:
        """Return when endpoints were found to be leaving, over all gateways."""
        return self._changes(DEPARTURE_EVENTS, "endpoint")

    def backoffs(self) -> list[Change]:
        """Return when endpoints asked for backoffs, over all gateways."""
        return self._changes(BACKOFF_EVENTS, "endpoint", "for_s")

    def restores(self) -> list[Change]:
        """Return when the store was found to be restored, over all gateways."""
        return self._changes(RESTORE_EVENTS, "epoch", "old")

    def _changes(
        self, events: tuple[str, ...], name: str, detail: str = ""
    ) -> list[Change]:
        """Merge the lines of several gateways about the same change.

        :param events: names of the events to merge.
        :param name: field that names what changed.
        :param detail: field whose value also has to agree, if given.
        """
        merged: list[Change] = []
        latest: dict[tuple[str, str, str], int] = {}
        lines = [line for line in self.parsed.changes if line.event in events]
        for line in sorted(lines, key=lambda item: item.at):
            text = line.fields.get(detail, "")
            key = line.fields.get(name, NONE), line.event, text
            at = line.at - self.parsed.first_at
            known = latest.get(key)
            if known is None or at > merged[known].last + SAME_CHANGE_S:
                latest[key] = len(merged)
                merged.append(Change(key[0], line.event, at, at, 1, text))
            else:
                old = merged[known]
                merged[known] = old._replace(last=at, gateways=old.gateways + 1)
        return merged

    def longest(self) -> list[ClassifiedRequest]:
        """Return the requests that waited longest."""
        return sorted(self.requests, key=lambda r: -r.waited_s)[:MAX_LONGEST_WAITS]
