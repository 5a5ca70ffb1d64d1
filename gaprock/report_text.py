"""Renders a report as text: tables of outcomes, reasons, waits and state changes."""

import typing

from gaprock import report, report_rollouts

WIDTH: typing.Final = 44


def render(summary: report.Report) -> str:
    """Return a report as text."""
    parts = [
        _summary_line(summary),
        _table("route", _by_route(summary)),
        _reasons(summary),
        _table("second", _by_interval(summary)),
        _store_calls(summary),
        _longest(summary),
        _halls(summary),
        _limits(summary),
        _departures(summary),
        _backoffs(summary),
        _restores(summary),
        _rollouts(summary),
        _downtimes(summary),
    ]
    return "\n\n".join(part for part in parts if part) + "\n"


def _summary_line(summary: report.Report) -> str:
    parsed = summary.parsed
    text = f"{len(summary.requests)} requests in {parsed.lines} lines"
    count, examples = parsed.unparsed
    if count:
        shown = "".join(f"\n  {example}" for example in examples)
        text += f"; {count} lines could not be read, such as{shown}"
    return text


def _by_route(summary: report.Report) -> list[tuple[str, list[int]]]:
    return [
        (name, [counts[outcome] for outcome in report.Outcome])
        for name, counts in summary.by_route().items()
    ]


def _by_interval(summary: report.Report) -> list[tuple[str, list[int]]]:
    return [
        (f"{interval:.0f}", [counts[outcome] for outcome in report.Outcome])
        for interval, counts in summary.by_interval().items()
    ]


def _table(name: str, rows: list[tuple[str, list[int]]]) -> str:
    titles = "".join(f"{outcome.value:>13}" for outcome in report.Outcome)
    lines = [f"{name:<20}{titles}"]
    for title, counts in rows:
        lines.append(f"{title[:19]:<20}" + "".join(f"{n:>13}" for n in counts))
    return "\n".join(lines)


def _reasons(summary: report.Report) -> str:
    """List the reasons, with their shares of all requests that were not in time."""
    reasons = summary.by_reason()
    if not reasons:
        return "every request was answered in time"
    total = sum(count for _, count in reasons)
    lines = [f"why {total} requests were not answered well in time"]
    for reason, count in reasons:
        lines.append(f"{count:>6} {count / total:>6.1%}  {reason}")
    return "\n".join(lines)


def _store_calls(summary: report.Report) -> str:
    """List the calls to the store by kind and table: in total and by interval."""
    counts = summary.store_calls()
    if not counts:
        return ""
    intervals = sorted(
        {interval for counter in counts.values() for interval in counter}
    )
    titles = "".join(f"{interval:>7.0f}" for interval in intervals)
    lines = [f"{'calls to the store':<20}{'all':>7}{titles}"]
    for name, counter in counts.items():
        cells = "".join(f"{counter[interval]:>7}" for interval in intervals)
        lines.append(f"{name[:19]:<20}{counter.total():>7}{cells}")
    return "\n".join(lines)


def _longest(summary: report.Report) -> str:
    lines = ["longest waits for a first byte"]
    for request in summary.longest():
        reason = request.reason or request.outcome.value
        lines.append(f"{request.waited_s:>8.2f} s  {request.request_id}  {reason}")
    return "\n".join(lines)


def _halls(summary: report.Report) -> str:
    """List when halls were cordoned and uncordoned, and how long it took to spread."""

    def describe(change: report.Change) -> str:
        return "emptied" if change.event == "hall-emptied" else "taken back"

    return _list_changes("halls", summary.halls(), describe)


def _limits(summary: report.Report) -> str:
    """List when endpoints announced rate limits, and how long it took to spread."""

    def describe(change: report.Change) -> str:
        is_limited = change.event == "endpoint-limited"
        return f"takes {change.detail} a second" if is_limited else "names no limit"

    return _list_changes("rate limits", summary.limits(), describe)


def _departures(summary: report.Report) -> str:
    """List when endpoints were found to be leaving."""

    def describe(change: report.Change) -> str:
        return "leaves" if change.event == "endpoint-leaving" else "stays after all"

    return _list_changes("endpoints that leave", summary.departures(), describe)


def _backoffs(summary: report.Report) -> str:
    """List when endpoints shed load and asked for backoffs."""

    def describe(change: report.Change) -> str:
        is_over = change.event == "endpoint-backoff-over"
        return "takes load again" if is_over else f"backs off for {change.detail} s"

    return _list_changes("backoffs", summary.backoffs(), describe)


def _restores(summary: report.Report) -> str:
    """List when the store was restored from a backup, by the store's epochs."""

    def describe(change: report.Change) -> str:
        return f"follows epoch {change.detail}"

    return _list_changes("restores of the store", summary.restores(), describe)


def _rollouts(summary: report.Report) -> str:
    """List the changes of rollouts, and their exposure beside what is allowed."""
    parsed = summary.parsed
    lines = report_rollouts.describe(parsed.rollouts, parsed.first_at)
    return "\n".join(["rollouts", *lines]) if lines else ""


def _list_changes(
    title: str,
    changes: list[report.Change],
    describe: typing.Callable[[report.Change], str],
) -> str:
    """List state changes, with the time until the last gateway logged each."""
    lines = []
    for change in changes:
        took_s = change.last - change.first
        lines.append(
            f"{change.first:>8.1f} s  {change.name}  {describe(change)}, on "
            f"{change.gateways} gateways within {took_s:.1f} s"
        )
    return "\n".join([title, *lines]) if lines else ""


def _downtimes(summary: report.Report) -> str:
    """List when processes accepted no connections.

    Callers that connected then left no log line.
    """
    lines = []
    for downtime in summary.parsed.downtimes:
        since = downtime.since - summary.parsed.first_at
        kind = "planned stop" if downtime.planned else "killed"
        span_s = downtime.until - downtime.since
        lines.append(f"{since:>8.1f} s  {downtime.process}  {kind}, {span_s:.1f} s")
    return "\n".join(["processes that were down", *lines]) if lines else ""
