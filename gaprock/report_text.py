"""A report as text: tables by route, by reason and by moment, and the longest waits."""

import typing

from gaprock import report

WIDTH: typing.Final = 44


def render(found: report.Report) -> str:
    """Write a report."""
    parts = [
        _head(found),
        _table("route", _by_route(found)),
        _reasons(found),
        _table("second", _by_moment(found)),
        _store_calls(found),
        _longest(found),
        _halls(found),
        _limits(found),
        _departures(found),
        _backoffs(found),
        _restores(found),
        _down(found),
    ]
    return "\n\n".join(part for part in parts if part) + "\n"


def _head(found: report.Report) -> str:
    lines = found.found
    text = f"{len(found.verdicts)} requests in {lines.lines} lines"
    count, some = lines.unread
    if count:
        shown = "".join(f"\n  {example}" for example in some)
        text += f"; {count} lines could not be read, such as{shown}"
    return text


def _by_route(found: report.Report) -> list[tuple[str, list[int]]]:
    return [
        (name, [counts[ended] for ended in report.Ended])
        for name, counts in found.by_route().items()
    ]


def _by_moment(found: report.Report) -> list[tuple[str, list[int]]]:
    return [
        (f"{moment:.0f}", [counts[ended] for ended in report.Ended])
        for moment, counts in found.by_moment().items()
    ]


def _table(name: str, rows: list[tuple[str, list[int]]]) -> str:
    titles = "".join(f"{ended.value:>13}" for ended in report.Ended)
    lines = [f"{name:<20}{titles}"]
    for title, counts in rows:
        lines.append(f"{title[:19]:<20}" + "".join(f"{n:>13}" for n in counts))
    return "\n".join(lines)


def _reasons(found: report.Report) -> str:
    """List the reasons, with the shares that add up to all that was not in time."""
    reasons = found.by_reason()
    if not reasons:
        return "every request was answered in time"
    total = sum(count for _, count in reasons)
    lines = [f"why {total} requests were not answered well in time"]
    for reason, count in reasons:
        lines.append(f"{count:>6} {count / total:>6.1%}  {reason}")
    return "\n".join(lines)


def _store_calls(found: report.Report) -> str:
    """List the calls to the store: all of a kind, and those of each moment."""
    counts = found.store_calls()
    if not counts:
        return ""
    moments = sorted({moment for counter in counts.values() for moment in counter})
    titles = "".join(f"{moment:>7.0f}" for moment in moments)
    lines = [f"{'calls to the store':<20}{'all':>7}{titles}"]
    for name, counter in counts.items():
        cells = "".join(f"{counter[moment]:>7}" for moment in moments)
        lines.append(f"{name[:19]:<20}{counter.total():>7}{cells}")
    return "\n".join(lines)


def _longest(found: report.Report) -> str:
    lines = ["longest waits for a first byte"]
    for verdict in found.longest():
        reason = verdict.reason or verdict.ended.value
        lines.append(f"{verdict.waited_s:>8.2f} s  {verdict.request}  {reason}")
    return "\n".join(lines)


def _halls(found: report.Report) -> str:
    """List when halls were emptied and taken back, and how long that took to spread."""

    def word(change: report.Change) -> str:
        return "emptied" if change.event == "hall-emptied" else "taken back"

    return _spread("halls", found.halls(), word)


def _limits(found: report.Report) -> str:
    """List when endpoints named rate limits, and how long that took to spread."""

    def word(change: report.Change) -> str:
        is_limited = change.event == "endpoint-limited"
        return f"takes {change.detail} a second" if is_limited else "names no limit"

    return _spread("rate limits", found.limits(), word)


def _departures(found: report.Report) -> str:
    """List when endpoints were found to leave."""

    def word(change: report.Change) -> str:
        return "leaves" if change.event == "endpoint-leaving" else "stays after all"

    return _spread("endpoints that leave", found.departures(), word)


def _backoffs(found: report.Report) -> str:
    """List when endpoints shed load and asked for backoffs."""

    def word(change: report.Change) -> str:
        is_over = change.event == "endpoint-backoff-over"
        return "takes load again" if is_over else f"backs off for {change.detail} s"

    return _spread("backoffs", found.backoffs(), word)


def _restores(found: report.Report) -> str:
    """List when the store was restored from a backup, by its epochs."""

    def word(change: report.Change) -> str:
        return f"follows epoch {change.detail}"

    return _spread("restores of the store", found.restores(), word)


def _spread(
    title: str,
    changes: list[report.Change],
    word: typing.Callable[[report.Change], str],
) -> str:
    """List changes of belief, with the time until all gateways had them."""
    lines = []
    for change in changes:
        took_s = change.last - change.first
        lines.append(
            f"{change.first:>8.1f} s  {change.name}  {word(change)}, on "
            f"{change.gateways} gateways within {took_s:.1f} s"
        )
    return "\n".join([title, *lines]) if lines else ""


def _down(found: report.Report) -> str:
    """List when processes took no callers; those who came then left no line."""
    lines = []
    for down in found.found.down:
        since = down.since - found.found.first_at
        word = "planned stop" if down.planned else "killed"
        span_s = down.until - down.since
        lines.append(f"{since:>8.1f} s  {down.process}  {word}, {span_s:.1f} s")
    return "\n".join(["processes that were down", *lines]) if lines else ""
