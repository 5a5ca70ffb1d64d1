"""Renders a report as one self-contained HTML page with plots.

Needs the extra ``plots``.
"""

import html
import io
import typing

from gaprock import report, report_text

COLOURS: typing.Final = {
    report.Outcome.IN_TIME: "#4c9f70",
    report.Outcome.DOUBTFUL: "#d9b44a",
    report.Outcome.LATE: "#e08e45",
    report.Outcome.REFUSED: "#8d6fb8",
    report.Outcome.FAILED: "#c0504d",
    report.Outcome.LEFT: "#9a9a9a",
}
PAGE: typing.Final = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>gaprock report</title>
<style>body {{ font-family: sans-serif; margin: 2em }} pre {{ font-size: 90% }}</style>
</head><body><h1>Requests</h1>{plots}<pre>{text}</pre></body></html>
"""


class PlotsUnavailable(Exception):
    """The plotting library is not installed."""


def render(summary: report.Report) -> str:
    """Return the page.

    :raises PlotsUnavailable: if the extra ``plots`` is not installed.
    """
    plots = [
        _plot(
            "by the second they came", {f"{k:.0f}": v for k, v in _intervals(summary)}
        ),
        _plot("by route", summary.by_route()),
    ]
    return PAGE.format(
        plots="".join(plots), text=html.escape(report_text.render(summary))
    )


def _intervals(summary: report.Report) -> list[tuple[float, typing.Any]]:
    return list(summary.by_interval().items())


def _plot(title: str, rows: dict[str, typing.Any]) -> str:
    """Return a stacked bar chart as SVG."""
    try:
        from matplotlib import figure
    except ImportError as exc:
        raise PlotsUnavailable("pip install 'gaprock[plots]'") from exc
    chart = figure.Figure(figsize=(11, 3.5), layout="constrained")
    axes = chart.subplots()
    names, bottoms = list(rows), [0] * len(rows)
    for outcome, colour in COLOURS.items():
        counts = [rows[name][outcome] for name in names]
        axes.bar(names, counts, bottom=bottoms, color=colour, label=outcome.value)
        bottoms = [bottom + count for bottom, count in zip(bottoms, counts)]
    axes.set_title(f"Requests {title}")
    axes.tick_params(axis="x", labelrotation=60, labelsize=7)
    axes.legend(fontsize=7, ncols=len(COLOURS))
    out = io.StringIO()
    chart.savefig(out, format="svg")
    return out.getvalue().partition("<svg")[1] + out.getvalue().partition("<svg")[2]
