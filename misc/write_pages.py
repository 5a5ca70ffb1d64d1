"""Writes the pages and files that are generated from the code.

    python -m misc.write_pages

These are the tables in ``docs/RESULT-CODES.md``, ``docs/PROOFS.md`` and
``docs/SETTINGS.md``, and the JSON schema of templates.  A test checks that each is up
to date.
"""

import json
import pathlib
import typing

import msgspec

from gaprock import documents, errorcodes, options, options_flags, plugin
from misc import proofs_gateway

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
BEGIN: typing.Final = "<!-- table begins -->\n"
END: typing.Final = "<!-- table ends -->\n"

# Returns a page's new text, given its old one.
MakePage = typing.Callable[[str], str]


def _replace_table(old: str, table: str) -> str:
    """Return a page with the table between its marker comments replaced."""
    before, _, rest = old.partition(BEGIN)
    after = rest.partition(END)[2]
    return before + BEGIN + table + END + after


def _table(*rows: tuple[object, ...]) -> str:
    """Return a Markdown table whose first row is the header."""
    lines = ["| " + " | ".join(str(cell) for cell in row) + " |\n" for row in rows]
    rule = "|" + "---|" * len(rows[0]) + "\n"
    return lines[0] + rule + "".join(lines[1:])


def result_codes(old: str) -> str:
    """Return the page of result codes."""
    head = ("number", "name", "HTTP", "category", "text")
    rows = [
        (c.number, c.name, c.http_status, c.category.value, c.description)
        for _, c in sorted(errorcodes.by_number.items())
    ]
    return _replace_table(old, _table(head, *rows))


def proofs_page(old: str) -> str:
    """Return the page of proofs."""
    head = ("row", "mechanism", "test", "turned off in")
    rows = [
        (
            p.row,
            p.mechanism,
            f"`{p.test}`",
            ", ".join(sorted({e.file for e in p.edits})),
        )
        for p in proofs_gateway.ALL
    ]
    return _replace_table(old, _table(head, *rows))


def settings(old: str) -> str:
    """Return the page of settings."""
    plugin.load_all()
    defaults = options.Options()
    head = ("flag", "variable", "programs", "default", "meaning")
    rows = []
    for flag in options_flags.FLAGS:
        default = getattr(defaults, flag.attr)
        shown = "secret" if flag.secret else f"`{default}`" if default else "none"
        programs = ", ".join(flag.programs)
        rows.append((f"`{flag.name}`", f"`{flag.env}`", programs, shown, flag.text))
    return _replace_table(old, _table(head, *rows).replace("|engine", "\\|engine"))


def schema(old: str) -> str:
    """Return the JSON schema of templates."""
    return json.dumps(msgspec.json.schema(documents.Template), indent=2) + "\n"


PAGES: typing.Final[dict[str, MakePage]] = {
    "docs/RESULT-CODES.md": result_codes,
    "docs/PROOFS.md": proofs_page,
    "docs/SETTINGS.md": settings,
    "gaprock/template.schema.json": schema,
}


def main() -> None:
    """Write all pages."""
    for name, make in PAGES.items():
        path = ROOT / name
        path.write_text(make(path.read_text()))


if __name__ == "__main__":
    main()
