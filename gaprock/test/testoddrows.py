"""Rows of other writers: whatever one row holds, the others hold."""

import typing

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from gaprock import (
    clock,
    directory,
    freshness,
    gateway_api,
    gateway_rows,
    invalid_rows,
    rollout_state,
    rollout_writer,
)
from gaprock.platform import wire
from gaprock.test import gatewaysite, rolloutcase

ENDPOINT: typing.Final[dict[str, typing.Any]] = {
    "Service": "app",
    "Addr": "127.0.0.1:9",
    "Zone": "h1",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "born": 1_790_000_000_000,
}
ORDER: typing.Final = {"Service": "app", "ToVersion": "v2", "FinishByS": 20}
OUTCOME: typing.Final = {"ToVersion": "v2", "State": "rolled_back"}
PEER: typing.Final = {"address": "tcp://10.0.0.1:7", "hall": "h1"}
START: typing.Final = {"revision": 3, "started": 100.0}
DEEP: typing.Final = b'{"Service": ' + b"[" * 200_000
ODD_BYTES: typing.Final = [
    b"",
    b"\xff\xfe",
    b'{"Service": "\xff"}',
    b"[]",
    b"null",
    b"7",
    b"{",
    b"x" * 1_000_000,
    DEEP,
]


class Tables:
    """The sinks of all followed tables, as one gateway has them."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(100.0)
        dialect = wire.PlatformDialect()
        self.case = rolloutcase.WriterCase(self.time)
        book = self.case.book
        self.directory = directory.Directory(self.time, 2.0)
        self.endpoints = gateway_rows.EndpointRows(self.time, dialect, self.directory)
        self.orders = gateway_rows.OrderRows(self.time, dialect, book)
        self.outcomes = gateway_rows.OutcomeRows(
            self.time, dialect, book, self.case.writer
        )

    def usable(self) -> set[str]:
        """Give the endpoints that stay in use."""
        found = self.directory.usable("app", set())
        return {e.name for e in found if e.leave_at == clock.NEVER}

    def state(self) -> tuple[object, ...]:
        """Give all that the rows are to tell."""
        rolls = self.case.book.all()
        return (
            self.usable(),
            self.orders.table and self.orders.table.number,
            [(r.order, r.revision, r.state) for r in rolls],
        )


def page(*rows: tuple[str, object]) -> gateway_api.Page:
    """Write a page; a row's value is a document or bytes."""
    found = [
        gateway_api.Row(
            key,
            value if isinstance(value, bytes) else msgspec.json.encode(value),
            number,
        )
        for number, (key, value) in enumerate(rows, 1)
    ]
    return gateway_api.Page(found, len(found), 0.0)


def lacking(doc: dict[str, typing.Any]) -> list[dict[str, typing.Any]]:
    """Give a document without each of its fields, and with each of another type."""
    without = [{k: v for k, v in doc.items() if k != name} for name in doc]
    wrong: list[typing.Any] = [None, [], {"a": 1}, True]
    others = [{**doc, name: invalid} for name in doc for invalid in wrong]
    return without + others


ODD_ENDPOINTS: typing.Final[list[object]] = [
    *ODD_BYTES,
    # Not all endpoints say when they started.
    *[doc for doc in lacking(ENDPOINT) if "born" in doc],
    *(
        {**ENDPOINT, name: invalid}
        for name, invalid in [
            ("State", "resting"),
            ("State", ""),
            ("Service", ""),
            ("Slots", 0),
            ("Slots", -3),
            ("Slots", 10**9),
            ("Slots", 2.5),
            ("Addr", ""),
            ("Addr", "nowhere"),
            ("Addr", "host:80"),
            ("Addr", "127.0.0.1"),
            ("Addr", "127.0.0.1:"),
            ("Addr", "127.0.0.1:0"),
            ("Addr", "127.0.0.1:70000"),
            ("Addr", "127.0.0.1:-1"),
            ("Addr", "127.0.0.1\x00:9"),
            ("born", 1.5),
            ("born", -1),
            ("born", 0),
            ("born", "1790000000000"),
            ("born", 10**15),
            ("born", 10**30),
        ]
    ),
]


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize(
    "invalid", ODD_ENDPOINTS, ids=lambda invalid: str(invalid)[:40]
)
def test_an_odd_row_names_no_endpoint_and_the_others_hold(
    invalid: object, whole: bool
) -> None:
    tables = Tables()
    good = [("a", ENDPOINT), ("c", ENDPOINT)]
    tables.endpoints.apply_page(page(*good, ("b", ENDPOINT)), whole=True)
    assert tables.usable() == {"a", "b", "c"}
    tables.endpoints.apply_page(
        page(("a", ENDPOINT), ("b", invalid), good[1]), whole=whole
    )
    assert tables.usable() == {"a", "c"}
    assert tables.endpoints.invalid.count == 1
    # Its writer puts it right with its next heartbeat.
    tables.endpoints.apply_page(page(("b", ENDPOINT)), whole=False)
    assert tables.usable() == {"a", "b", "c"}


def test_an_endpoint_that_says_no_start_is_used() -> None:
    tables = Tables()
    doc = {name: value for name, value in ENDPOINT.items() if name != "born"}
    tables.endpoints.apply_page(page(("a", doc)), whole=True)
    assert tables.usable() == {"a"}


ODD_ORDERS: typing.Final[list[object]] = [
    *ODD_BYTES,
    *lacking(ORDER),
    {**ORDER, "FinishByS": 0},
    {**ORDER, "FinishByS": -5},
    {**ORDER, "FinishByS": 1e300},
    {**ORDER, "ToVersion": ""},
]


@pytest.mark.parametrize("invalid", ODD_ORDERS, ids=lambda invalid: str(invalid)[:40])
def test_an_odd_order_changes_nothing(invalid: object) -> None:
    tables = Tables()
    rows = [("config", gatewaysite.config(4)), ("rollout/app", ORDER)]
    tables.orders.apply_page(page(*rows), whole=True)
    before = tables.state()
    tables.orders.apply_page(
        page(("rollout/app", invalid), ("config", b"{")), whole=False
    )
    assert tables.state() == before
    assert tables.orders.invalid.count == 2


ODD_OUTCOMES: typing.Final[list[object]] = [
    *ODD_BYTES,
    *lacking(OUTCOME),
    {**OUTCOME, "State": "halfway"},
    {**OUTCOME, "State": ""},
]


@pytest.mark.parametrize("invalid", ODD_OUTCOMES, ids=lambda invalid: str(invalid)[:40])
def test_an_odd_outcome_changes_nothing(invalid: object) -> None:
    tables = Tables()
    tables.orders.apply_page(page(("rollout/app", ORDER)), whole=True)
    before = tables.state()
    tables.outcomes.apply_page(page(("x", {}), ("rollout/app", invalid)), whole=True)
    assert tables.state() == before
    assert tables.outcomes.invalid.count == 1


@pytest.mark.parametrize(
    "invalid",
    [
        *ODD_BYTES,
        *(
            {**PEER, "address": invalid}
            for invalid in (7, "", "ipc:///x", "tcp://a/b:1")
        ),
        {"hall": "h1"},
    ],
    ids=lambda invalid: str(invalid)[:40],
)
def test_an_odd_peer_is_not_looked_for(invalid: object) -> None:
    time = clock.ManualClock(100.0)
    rows = page(("peer/a", invalid), ("peer/b", PEER), ("rollout/app", invalid))
    own = gateway_rows.OwnRows(time, rows, freshness.StoreClock())
    assert set(own.peers) == {"b"} and own.starts == {}


@pytest.mark.parametrize("change", [{"started": -1e300}, {"started": "now"}, {}])
def test_an_odd_start_dates_nothing(change: dict[str, typing.Any]) -> None:
    time = clock.ManualClock(100.0)
    known = freshness.StoreClock()
    known.record(0.0, 0.0, 0.0)
    key = rollout_writer.START_PREFIX + "app"
    own = gateway_rows.OwnRows(time, page((key, {**START, **change})), known)
    assert own.starts == ({} if change else {("app", 3): 100.0})


def test_a_row_that_stays_odd_is_logged_now_and_then() -> None:
    time = clock.ManualClock(100.0)
    invalid = invalid_rows.InvalidRows("t", time)
    row = gateway_api.Row("a", b"x", 1)
    logged: list[float] = []
    for _ in range(40):
        before = dict(invalid._logged)
        invalid.record(row, ValueError("odd"))
        if invalid._logged != before:
            logged.append(time.now())
        time.advance(1.0)
    assert invalid.count == 40
    assert len(logged) == 40 // invalid_rows.LOG_EVERY_S
    for number in range(2 * invalid_rows.MAX_KNOWN):
        invalid.record(row._replace(key=f"k{number}"), ValueError("odd"))
    assert len(invalid._logged) == invalid_rows.MAX_KNOWN


JSON: typing.Final = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(sorted(ENDPOINT)), inner, max_size=4),
    max_leaves=6,
)
VALUES: typing.Final = st.binary(max_size=60) | st.builds(
    lambda doc, name, invalid: msgspec.json.encode({**doc, name: invalid}),
    st.sampled_from([ENDPOINT, ORDER, OUTCOME]),
    st.sampled_from(["Service", "Addr", "State", "Slots", "born", "FinishByS", "x"]),
    JSON,
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(VALUES, st.integers(0, 2), st.booleans())
def test_whatever_a_row_holds_the_others_have_their_effect(
    value: bytes, place: int, whole: bool
) -> None:
    with_it, without = Tables(), Tables()
    for tables in (with_it, without):
        tables.orders.apply_page(page(("rollout/other", ORDER)), whole=True)
    good: list[tuple[str, object]] = [("a", ENDPOINT), ("c", ENDPOINT)]
    rows = good[:place] + [("z", value)] + good[place:]
    with_it.endpoints.apply_page(page(*rows), whole=whole)
    without.endpoints.apply_page(page(*good), whole=whole)
    assert with_it.usable() - {"z"} == without.usable()
    orders: list[tuple[str, object]] = [("config", gatewaysite.config(4))]
    with_it.orders.apply_page(page(("rollout/z", value), *orders), whole=whole)
    without.orders.apply_page(page(*orders), whole=whole)
    assert with_it.orders.table is not None and without.orders.table is not None
    with_it.outcomes.apply_page(page(("rollout/z", value)), whole=whole)
    ours = [r for r in with_it.case.book.all() if r.revision == 1]
    assert all(r.state is rollout_state.State.RUNNING for r in ours)
