"""``gaprock report LOG...``: where requests were lost or late, from the gateways' logs.

Exit codes as the command line's: 1 when the logs have no request, 2 when a file cannot
be read or the library for plots is missing.
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

    :param names: files; none or ``-`` is standard input.
    :param page: a file for the page with plots.
    """
    try:
        found = report.Report(report.collect(_texts(names or ["-"])))
        if not found.verdicts:
            count = found.found.lines
            print(f"gaprock: no request in {count} lines of a log", file=sys.stderr)
            return EXIT_EMPTY
        if page is not None:
            pathlib.Path(page).write_text(report_html.render(found))
    except (OSError, report_html.NoPlots) as exc:
        print(f"gaprock: {exc}", file=sys.stderr)
        return EXIT_USAGE
    print(report_text.render(found), end="")
    return EXIT_DONE


def _texts(names: list[str]) -> typing.Iterator[str]:
    for name in names:
        if name == "-":
            yield from sys.stdin
            continue
        with open(name, encoding="utf-8", errors="replace") as file:
            yield from file
