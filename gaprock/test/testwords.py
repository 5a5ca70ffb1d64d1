"""Each of the platform's words that the adapter reads is listed in the page's table."""

import pathlib
import re
import typing

import msgspec
import pytest

from gaprock.platform import documents, notices, store, wire

PAGE: typing.Final = pathlib.Path(__file__).parents[2] / "docs" / "PLATFORM.md"
TITLE: typing.Final = "## What the platform says, and who heeds it"
WORD: typing.Final = re.compile(r"`([A-Za-z][A-Za-z-]*)`")
# Headers and fields that the platform's pages show in requests, answers and rows.
PLATFORM_WORDS: typing.Final = (
    """
    host x-request-id last-event-id x-model x-token-counts x-prompt-prefix x-deadline-ms
    authorization connection keep-alive transfer-encoding content-length retry-after
    content-encoding session x-server-stamp x-not-run x-instance-id x-server-load
    x-confidence x-expect-instance x-expect-version x-tenant x-request-urgency x-hold
    x-pin-ms x-kv-backup kv-from kv-fetch x-weight-versions server-limit server-leaving
    store-era
    service addr zone version slots state coldms born seq stage models
""".split()
)
# Headers that the adapter reads by literals in its code.
READ_BY_LITERALS: typing.Final = (
    """
    host x-request-id x-model x-token-counts x-prompt-prefix session x-server-stamp
    x-confidence content-encoding
""".split()
)


def rows() -> list[list[str]]:
    """Return the table's rows as cells."""
    section = PAGE.read_text().split(TITLE)[1].split("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("| ")]
    return [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines[1:]]


def listed_words() -> set[str]:
    """Return the table's words in lower case."""
    return {word.lower() for row in rows() for word in WORD.findall(row[1])}


def read_by_adapter() -> set[str]:
    """Return the headers and the fields of endpoints' rows that the adapter reads."""
    headers = (
        wire.CONNECTION_HEADERS | wire.SYSTEM_HEADERS | wire.INTERNAL_ANSWER_HEADERS
    )
    words = (notices.LIMIT, notices.LEAVING, notices.RETRY_AFTER, notices.DATE)
    fields = {field.name for field in msgspec.structs.fields(documents.ServerDoc)}
    named = {name.decode() for name in headers | set(words)}
    named.add(store.EPOCH_HEADER)
    return {name.lower() for name in named | fields | set(READ_BY_LITERALS)}


def test_every_word_that_the_adapter_reads_is_listed() -> None:
    assert read_by_adapter() <= listed_words()


@pytest.mark.parametrize("word", PLATFORM_WORDS)
def test_every_word_that_the_platform_shows_is_listed(word: str) -> None:
    assert word in listed_words()


def test_every_row_says_who_uses_its_words() -> None:
    assert all(len(row) == 5 and row[4] for row in rows())


def test_no_row_claims_a_word_that_the_adapter_does_not_read() -> None:
    claimed = {
        word.lower()
        for row in rows()
        if row[2] and row[2] != "not decoded" and "mesh" not in row[2]
        for word in WORD.findall(row[1])
    }
    assert claimed <= read_by_adapter()
