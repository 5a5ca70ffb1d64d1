"""Command ``gaprock report LOG...``: reports on failed and late requests from logs.

The exit codes follow those of ``ctl_main``: 1 if the logs hold no request, 2 if a file
cannot be read or the plotting library is missing.
"""

import pathlib
import sys
import typing

from gaprock import report, report_html, report_text

EXIT_DONE: typing.Final = 0
EXIT_EMPTY: typing.Final = 1
EXIT_USAGE: typing.Final = 2


def run(names: list[str], page: str | None) -> int:
    """Report on log files.

    :param names: log files; ``-`` is standard input, as is an empty list.
    :param page: file to write the HTML page with plots to, if any.
    :returns: the exit code.
    """
    try:
        summary = report.Report(report.collect(_texts(names or ["-"])))
        if not summary.requests:
            count = summary.parsed.lines
            print(f"gaprock: no request in {count} lines of a log", file=sys.stderr)
            return EXIT_EMPTY
        if page is not None:
            pathlib.Path(page).write_text(report_html.render(summary))
    except (OSError, report_html.PlotsUnavailable) as exc:
        print(f"gaprock: {exc}", file=sys.stderr)
        return EXIT_USAGE
    print(report_text.render(summary), end="")
    return EXIT_DONE


def _texts(names: list[str]) -> typing.Iterator[str]:
    for name in names:
        if name == "-":
            yield from sys.stdin
            continue
        with open(name, encoding="utf-8", errors="replace") as file:
            yield from file
