"""Whatever a row of another writer contains, all other rows keep their effect."""

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
INVALID_BYTES: typing.Final = [
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
    """The sinks of all tables that a gateway follows."""

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
        """Return the usable endpoints that are not leaving."""
        found = self.directory.usable("app", set())
        return {e.name for e in found if e.leave_at == clock.NEVER}

    def state(self) -> tuple[object, ...]:
        """Return everything that the rows determine."""
        rolls = self.case.book.all()
        return (
            self.usable(),
            self.orders.table and self.orders.table.number,
            [(r.order, r.revision, r.state) for r in rolls],
        )


def page(*rows: tuple[str, object]) -> gateway_api.Page:
    """Build a page; the value of a row is a document or bytes."""
    found = [
        gateway_api.Row(
            key,
            value if isinstance(value, bytes) else msgspec.json.encode(value),
            number,
        )
        for number, (key, value) in enumerate(rows, 1)
    ]
    return gateway_api.Page(found, len(found), 0.0)


def damaged_documents(doc: dict[str, typing.Any]) -> list[dict[str, typing.Any]]:
    """Return a document without each field in turn, and with wrong types in each."""
    without = [{k: v for k, v in doc.items() if k != name} for name in doc]
    wrong: list[typing.Any] = [None, [], {"a": 1}, True]
    others = [{**doc, name: invalid} for name in doc for invalid in wrong]
    return without + others


INVALID_ENDPOINTS: typing.Final[list[object]] = [
    *INVALID_BYTES,
    # Not all endpoints report when they started.
    *[doc for doc in damaged_documents(ENDPOINT) if "born" in doc],
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
    "invalid", INVALID_ENDPOINTS, ids=lambda invalid: str(invalid)[:40]
)
def test_an_invalid_row_names_no_endpoint_and_the_others_stay(
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
    # Its writer corrects the row with its next heartbeat.
    tables.endpoints.apply_page(page(("b", ENDPOINT)), whole=False)
    assert tables.usable() == {"a", "b", "c"}


def test_an_endpoint_that_says_no_start_is_used() -> None:
    tables = Tables()
    doc = {name: value for name, value in ENDPOINT.items() if name != "born"}
    tables.endpoints.apply_page(page(("a", doc)), whole=True)
    assert tables.usable() == {"a"}


INVALID_ORDERS: typing.Final[list[object]] = [
    *INVALID_BYTES,
    *damaged_documents(ORDER),
    {**ORDER, "FinishByS": 0},
    {**ORDER, "FinishByS": -5},
    {**ORDER, "FinishByS": 1e300},
    {**ORDER, "ToVersion": ""},
]


@pytest.mark.parametrize(
    "invalid", INVALID_ORDERS, ids=lambda invalid: str(invalid)[:40]
)
def test_an_invalid_order_changes_nothing(invalid: object) -> None:
    tables = Tables()
    rows = [("config", gatewaysite.config(4)), ("rollout/app", ORDER)]
    tables.orders.apply_page(page(*rows), whole=True)
    before = tables.state()
    tables.orders.apply_page(
        page(("rollout/app", invalid), ("config", b"{")), whole=False
    )
    assert tables.state() == before
    assert tables.orders.invalid.count == 2


INVALID_OUTCOMES: typing.Final[list[object]] = [
    *INVALID_BYTES,
    *damaged_documents(OUTCOME),
    {**OUTCOME, "State": "halfway"},
    {**OUTCOME, "State": ""},
]


@pytest.mark.parametrize(
    "invalid", INVALID_OUTCOMES, ids=lambda invalid: str(invalid)[:40]
)
def test_an_invalid_outcome_changes_nothing(invalid: object) -> None:
    tables = Tables()
    tables.orders.apply_page(page(("rollout/app", ORDER)), whole=True)
    before = tables.state()
    tables.outcomes.apply_page(page(("x", {}), ("rollout/app", invalid)), whole=True)
    assert tables.state() == before
    assert tables.outcomes.invalid.count == 1


@pytest.mark.parametrize(
    "invalid",
    [
        *INVALID_BYTES,
        *(
            {**PEER, "address": invalid}
            for invalid in (7, "", "ipc:///x", "tcp://a/b:1")
        ),
        {"hall": "h1"},
    ],
    ids=lambda invalid: str(invalid)[:40],
)
def test_an_invalid_peer_row_is_ignored(invalid: object) -> None:
    time = clock.ManualClock(100.0)
    rows = page(("peer/a", invalid), ("peer/b", PEER), ("rollout/app", invalid))
    own = gateway_rows.OwnRows(time, rows, freshness.StoreClock())
    assert set(own.peers) == {"b"} and own.starts == {}


@pytest.mark.parametrize("change", [{"started": -1e300}, {"started": "now"}, {}])
def test_an_invalid_start_is_ignored(change: dict[str, typing.Any]) -> None:
    time = clock.ManualClock(100.0)
    known = freshness.StoreClock()
    known.record(0.0, 0.0, 0.0)
    key = rollout_writer.START_PREFIX + "app"
    own = gateway_rows.OwnRows(time, page((key, {**START, **change})), known)
    start = rollout_state.StoredStart(100.0, moved=False)
    assert own.starts == ({} if change else {("app", 3): start})


def test_a_row_that_stays_invalid_is_logged_at_intervals() -> None:
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
    for number in range(2 * invalid_rows.MAX_LOGGED_KEYS):
        invalid.record(row._replace(key=f"k{number}"), ValueError("odd"))
    assert len(invalid._logged) == invalid_rows.MAX_LOGGED_KEYS


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
