"""A report as one self-contained page with plots; needs the extra ``plots``."""

import html
import io
import typing

from gaprock import report, report_text

COLOURS: typing.Final = {
    report.Ended.IN_TIME: "#4c9f70",
    report.Ended.DOUBTFUL: "#d9b44a",
    report.Ended.LATE: "#e08e45",
    report.Ended.REFUSED: "#8d6fb8",
    report.Ended.FAILED: "#c0504d",
    report.Ended.LEFT: "#9a9a9a",
}
PAGE: typing.Final = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>gaprock report</title>
<style>body {{ font-family: sans-serif; margin: 2em }} pre {{ font-size: 90% }}</style>
</head><body><h1>Requests</h1>{plots}<pre>{text}</pre></body></html>
"""


class NoPlots(Exception):
    """The library for plots is not installed."""


def render(found: report.Report) -> str:
    """Write the page.

    :raises NoPlots: without the extra ``plots``.
    """
    plots = [
        _plot("by the second they came", {f"{k:.0f}": v for k, v in _moments(found)}),
        _plot("by route", found.by_route()),
    ]
    return PAGE.format(
        plots="".join(plots), text=html.escape(report_text.render(found))
    )


def _moments(found: report.Report) -> list[tuple[float, typing.Any]]:
    return list(found.by_moment().items())


def _plot(title: str, rows: dict[str, typing.Any]) -> str:
    """Draw stacked bars as SVG."""
    try:
        from matplotlib import figure
    except ImportError as exc:
        raise NoPlots("pip install 'gaprock[plots]'") from exc
    drawn = figure.Figure(figsize=(11, 3.5), layout="constrained")
    axes = drawn.subplots()
    names, below = list(rows), [0] * len(rows)
    for ended, colour in COLOURS.items():
        counts = [rows[name][ended] for name in names]
        axes.bar(names, counts, bottom=below, color=colour, label=ended.value)
        below = [low + count for low, count in zip(below, counts)]
    axes.set_title(f"Requests {title}")
    axes.tick_params(axis="x", labelrotation=60, labelsize=7)
    axes.legend(fontsize=7, ncols=len(COLOURS))
    out = io.StringIO()
    drawn.savefig(out, format="svg")
    return out.getvalue().partition("<svg")[1] + out.getvalue().partition("<svg")[2]
