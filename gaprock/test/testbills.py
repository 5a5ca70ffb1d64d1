"""Each request is billed once."""

import typing

import hypothesis
from hypothesis import strategies

from gaprock import bills, clock, messages, services_api
from gaprock.test import site
from gaprock.test.fakes import tables


def bill_of(key: str, *attempts: str) -> messages.Bill:
    lines = [messages.BillLine(name, "a", "small@1", 1, 1.0) for name in attempts]
    return messages.Bill(key, "r", "demo", "explain", 0, lines)


def write_all(*books: bills.BillBuffer) -> None:
    """Write until no buffer holds a bill."""
    for _ in range(50):
        for book in books:
            try:
                book.write_due()
            except services_api.PlatformError:
                continue
    assert not any(len(book) for book in books)


faults = strategies.lists(
    strategies.sampled_from((tables.OK, tables.DOWN, tables.LOST, tables.LATE)),
    max_size=8,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(
    faults=faults,
    order=strategies.lists(strategies.integers(0, 2), max_size=12),
    keys=strategies.integers(1, 4),
)
def test_a_bill_that_three_processes_hold_is_written_once(
    faults: list[str], order: list[int], keys: int
) -> None:
    table = tables.TableFake(faults)
    now = clock.ManualClock()
    entry = bills.BillBuffer(table, bills.ENTRY, 100, now)
    agents = [bills.BillBuffer(table, bills.AGENT, 100, now) for _ in range(2)]
    for number in range(keys):
        key = f"k{number}"
        # A cascade: the first agent has one attempt, the second and the entry both.
        agents[0].hold(bill_of(key, "1"), [], now.now())
        agents[1].hold(bill_of(key, "1", "2"), [], now.now())
        entry.hold(bill_of(key, "1", "2"), [], now.now())
    books = [entry, *agents]
    for who in order:
        try:
            books[who].write_due()
        except services_api.PlatformError:
            table.apply_late()
    table.faults.clear()
    table.apply_late()
    write_all(*books)
    assert sorted(table.rows) == [f"bill/k{number}" for number in range(keys)]
    for row in table.rows.values():
        assert row.value is not None
        assert [line["attempt"] for line in row.value["lines"]] == ["1", "2"]
        assert row.value["cost"] == 2.0


def test_an_entrys_bill_replaces_that_of_an_abandoned_attempt() -> None:
    table, now = tables.TableFake(), clock.Clock()
    agent = bills.BillBuffer(table, bills.AGENT, 10, now)
    entry = bills.BillBuffer(table, bills.ENTRY, 10, now)
    agent.hold(bill_of("k", "given-up"), [], now.now())
    write_all(agent)
    entry.hold(bill_of("k", "delivered"), [], now.now())
    write_all(entry)
    row = table.rows["bill/k"]
    assert row.value is not None
    assert [line["attempt"] for line in row.value["lines"]] == ["delivered"]


def kill(entry: typing.Any) -> None:
    """Stop an entry's tasks and links as a crash would; its bills stay unwritten."""
    for task in entry._tasks:
        task.stop()
    for link in entry.links.all():
        link._stopped = True
        link._mailbox.put(messages.ConfigWanted(0))
        link._thread.join()


def test_the_agent_writes_the_bill_of_an_entry_that_died() -> None:
    with site.Site(parts=7) as s:
        s.start(entries=2)
        s.wait_in_force()
        entry = s.entries.pop(0)
        for task in entry._tasks:
            task.stop()
        s.entries.insert(0, entry)
        answer = s.chat(stream=True)
        site.collect(answer)
        assert len(entry.bills) == 1 and not s.platform.keys("bill/")
        kill(s.entries.pop(0))
        site.wait_until(lambda: s.platform.keys("bill/"), "the agent's write")
        (key,) = s.platform.keys("bill/")
        assert s.platform.value(key)["by"] == bills.AGENT
        assert s.platform.value(key)["cost"] == 7


def test_the_entry_writes_the_bill_of_an_agent_that_died() -> None:
    with site.Site() as s:
        s.start()
        s.platform.faults["down"] = True
        s.chat()
        agent = s.agents.pop("a")
        agent.hub._stopped = True
        for task in agent._tasks:
            task.stop()
        assert not s.platform.keys("bill/")
        s.platform.faults["down"] = False
        site.wait_until(lambda: s.platform.keys("bill/"), "the entry's write")
        (key,) = s.platform.keys("bill/")
        assert s.platform.value(key)["by"] == bills.ENTRY


def test_lost_answers_of_the_table_neither_lose_nor_double_a_bill() -> None:
    with site.Site() as s:
        s.start(agents=2, entries=2)
        s.wait_in_force()
        for number in range(12):
            s.platform.faults["lose_answers"] = 2
            s.chat(number % 2, headers={"idempotency-key": f"r{number}"})
        s.platform.faults.clear()
        site.wait_until(lambda: not any(len(e.bills) for e in s.entries), "settled")
        assert len(s.platform.keys("bill/")) == 12
        written = [op["key"] for ops in s.platform.history for op in ops]
        counts = [written.count(key) for key in s.platform.keys("bill/")]
        assert counts == [1] * 12


def test_a_request_sent_again_with_its_id_is_billed_once() -> None:
    with site.Site() as s:
        s.start(entries=2)
        s.wait_in_force()
        for entry in (0, 1, 0):
            s.chat(entry, headers={"idempotency-key": "same"})
        s.chat(headers={"idempotency-key": "same"}, max_tokens=3)
        site.wait_until(lambda: not any(len(e.bills) for e in s.entries), "settled")
        assert len(s.platform.keys("bill/")) == 2


def test_a_fleet_replaced_during_an_outage_loses_no_bill() -> None:
    with site.Site() as s:
        s.start(agents=2, entries=1)
        s.platform.faults["down"] = True
        s.chat()
        # The entry and the agents are replaced one by one while the table stays down.
        s.start_entry()
        s.wait_linked()
        s.entries.pop(0).stop()
        for name in ("a", "b"):
            s.agents.pop(name).stop()
            s.restart_agent(name)
            s.wait_linked()
        held = len(s.entries[0].bills) + sum(len(a.bills) for a in s.agents.values())
        assert held >= 1
        s.platform.faults["down"] = False
        site.wait_until(lambda: len(s.platform.keys("bill/")) == 1, "written")
