"""Whatever a row of the platform's services contains, all others keep their effect."""

import typing

import pytest

from gaprock import (
    claims,
    config,
    config_store,
    digits,
    event_stream,
    gateway_api,
    messages,
    options,
    services_api,
    services_http,
)
from gaprock.platform import documents, wire
from gaprock.test import site, testcutheads
from gaprock.test.fakes import tables

VM: typing.Final = (
    '{"vm": "%s", "hall": "h1", "role": "agent", "address": "%s", "state": "live"}'
)
GOOD: typing.Final = [VM % (f"vm{n}", f"tcp://10.0.0.{n}:7") for n in (1, 2)]
DEEP: typing.Final = '{"vm": "odd", "hall": ' + "[" * 200_000 + "]" * 200_000 + "}"
ODD: typing.Final = [
    DEEP,
    '{"vm": "odd", "hall": 1e400}',
    '{"vm": "odd", "hall": %s}' % ("9" * 400),
    '{"vm": "odd", "hall": "\\ud800"}',
    '{"vm": "od]{\\"d", "hall": 7}',
    "null",
    "[[], {}]",
    '"text"',
]


def answer(body: str) -> bytes:
    """Return a whole answer."""
    data = body.encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data


def http(address: str) -> services_http.Http:
    cfg = options.Options()
    cfg.platform = f"http://{address}"
    return services_http.Http(cfg)


@pytest.mark.parametrize("odd", ODD, ids=range(len(ODD)))
@pytest.mark.parametrize("place", [0, 1, 2])
def test_an_odd_entry_of_the_vm_list_hides_no_other(odd: str, place: int) -> None:
    listed = [*GOOD]
    listed.insert(place, odd)
    with testcutheads.server(answer(f"[{','.join(listed)}]")) as address:
        vms = services_http.HttpVmList(http(address)).vms()
    assert [vm.vm for vm in vms] == ["vm1", "vm2"]


def test_an_odd_entry_is_logged_once_for_many_polls(
    caplog: pytest.LogCaptureFixture,
) -> None:
    listed = answer(f"[{GOOD[0]},{ODD[1]}]")
    with testcutheads.server(listed) as address, caplog.at_level("WARNING"):
        vms = services_http.HttpVmList(http(address))
        for _ in range(5):
            assert len(vms.vms()) == 1
    assert caplog.text.count("invalid-row table=vms key=odd") == 1


@pytest.mark.parametrize("odd", ODD, ids=range(len(ODD)))
def test_an_odd_row_hides_no_other_row_of_a_scan(odd: str) -> None:
    rows = ['{"key": "a", "version": 1, "value": {"x": "]},"}}']
    rows += ['{"key": "b", "version": 1, "value": %s}' % odd.replace("vm", "key")]
    rows += ['{"key": "c", "version": 1, "value": {}}']
    with testcutheads.server(answer(f"[{','.join(rows)}]")) as address:
        found = services_http.HttpTable(http(address)).scan("", "", 10)
    keys = [row.key for row in found]
    assert keys in (["a", "c"], ["a", "b", "c"])


def test_a_read_by_keys_of_an_unreadable_row_is_a_lost_answer() -> None:
    row = '[{"key": "a", "version": 1, "value": %s}]' % DEEP
    with testcutheads.server(answer(row)) as address:
        table = services_http.HttpTable(http(address))
        with pytest.raises(services_api.AnswerLost):
            table.read(["a"])


@pytest.mark.parametrize("value", [{}, {"revision": "x"}, {"revision": 1}, {"key": 3}])
def test_an_odd_document_row_does_not_stop_the_configuration(
    value: dict[str, typing.Any],
) -> None:
    table = tables.TableFake()
    for key, row in (
        (config_store.HEAD, {"revision": 2}),
        (f"{config_store.DOC}workspace/a", value),
        (f"{config_store.DOC}workspace/b", {"revision": 2, "document": None}),
        (config_store.log_key(1), value),
        (
            config_store.log_key(2),
            {"key": "workspace/b", "revision": 2, "document": None},
        ),
    ):
        table.rows[key] = services_api.Row(key, 1, row)
    for ready in (False, True):
        delta = config_store.ConfigStore(table).read_since(0, ready)
        assert delta is not None
        assert "workspace/b" in [entry.key for entry in delta.entries]


def test_an_invalid_document_leaves_the_one_before_it_and_all_others() -> None:
    known = config.Config()
    good = {"name": "a", "key_hashes": ["0" * 64]}
    entries = [
        messages.ConfigEntry("workspace/a", 1, good),
        messages.ConfigEntry("workspace/b", 1, {"name": "b", "key_hashes": ["1" * 64]}),
    ]
    assert known.apply(messages.ConfigDelta(0, 1, entries, []))
    odd = [
        messages.ConfigEntry("workspace/a", 2, {"name": 7}),
        messages.ConfigEntry("workspace/c", 2, {"name": "c", "key_hashes": ["2" * 64]}),
    ]
    assert known.apply(messages.ConfigDelta(1, 2, odd, []))
    names = [key for key in known._documents if key.startswith("workspace/")]
    assert sorted(names) == ["workspace/a", "workspace/b", "workspace/c"]


@pytest.mark.parametrize("value", [None, {}, {"deadline": "x"}, {"deadline": []}])
def test_a_claim_without_a_deadline_is_never_collected(value: typing.Any) -> None:
    row = services_api.Row(f"{claims.KEY}x", 1, value)
    assert claims.deadline_of(row) == float("inf")


NO_NUMBERS: typing.Final = ["\u0661\u0662", "\u00b2", "9" * 5000, "-1", "1_0", "", " 1"]


@pytest.mark.parametrize("text", NO_NUMBERS)
def test_only_ascii_digits_are_a_number(text: str) -> None:
    assert digits.parse(text) is None
    assert digits.parse(text.encode()) is None
    with pytest.raises(gateway_api.InvalidDocument):
        documents._address(f"10.0.0.1:{text}")


def test_an_event_id_of_thousands_of_digits_is_no_number() -> None:
    assert event_stream.event_number(b"id: " + b"9" * 5000 + b"\n\n") is None
    assert wire._number(b"9" * 5000) is None


@pytest.mark.parametrize("odd", ["tcp://10.0.0.1:70000", "nowhere", "", "tcp://x\0:1"])
def test_an_odd_address_of_an_agent_ends_no_other_link(odd: str) -> None:
    with site.Site() as one:
        entry = {"vm": "odd", "hall": "h", "role": "agent", "state": "live"}
        one.platform.vms = [{**entry, "address": odd}]
        one.start()
        links = [link.address for link in one.entries[0].links.all() if link.usable]
        assert odd not in links and len(links) == 1
