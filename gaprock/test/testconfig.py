"""Configuration: permissions, withdrawals, publications, the lease and rollouts."""

import threading
import typing

import hypothesis
import pytest
from hypothesis import strategies

from gaprock import (
    agent_gate,
    agent_run,
    bills,
    clock,
    config,
    config_store,
    documents,
    entry_publish,
    errorcodes,
    errors,
    lease,
    messages,
    metrics,
    options,
    plugin,
    quarantine,
    services_api,
)
from gaprock.test import site
from gaprock.test.fakes import tables

VERSIONS: typing.Final = ("small@1", "large@1")


def delta_of(
    revision: int, base: int, *docs: documents.Document
) -> messages.ConfigDelta:
    entries = [
        messages.ConfigEntry(config.key_of(d), revision, documents.to_value(d))
        for d in docs
    ]
    return messages.ConfigDelta(base, revision, entries, [])


def start_message(version: str, revision: int, **fields: typing.Any) -> messages.Start:
    given: dict[str, typing.Any] = {
        "attempt": 1,
        "request": "r",
        "workspace": "demo",
        "template": "explain",
        "version": version,
        "endpoint": "a",
        "revision": revision,
        "in_session": False,
        "deadline": clock.Clock().now() + 5,
        "first_part_by": clock.Clock().now() + 5,
        "priority": 5,
        "stream": False,
        "repeatable": True,
        "bill_key": "k",
        "cost": 1.0,
        "earlier_lines": [],
        "window": 16,
        "path": "/",
        "body": b"{}",
    }
    return messages.Start(**{**given, **fields})


class GateCase:
    """An agent's gate whose endpoint serves all versions and only records the runs."""

    def __init__(self) -> None:
        plugin.load_all()
        cfg = options.Options()
        cfg.endpoints = [
            options.EndpointOption("a", "http://127.0.0.1:9", "engine", False, [])
        ]
        self.config = config.Config()
        self.posted: list[typing.Any] = []
        self.ran: list[str] = []
        buffer = bills.BillBuffer(tables.TableFake(), bills.AGENT, 10, clock.Clock())
        self.gate = agent_gate.Gate(
            cfg,
            clock.Clock(),
            self.config,
            buffer,
            metrics.Metrics(),
            lambda peer, msg: self.posted.append(msg),
            quarantine.Quarantine(clock.Clock()),
        )
        slot = self.gate.slots["a"]
        slot.failures = 0
        slot.load.versions = list(VERSIONS)
        setattr(self.gate, "_execute", self._record_run)

    def _record_run(self, slot: agent_gate.Slot, run: agent_run.Run) -> None:
        self.ran.append(run.start.version)

    def offer(self, start: messages.Start) -> list[str]:
        """Offer a request and return the versions that ran."""
        self.ran.clear()
        self.posted.clear()
        run = agent_run.Run(
            b"e", start, lambda p, m: self.posted.append(m), clock.Clock()
        )
        self.gate.submit(run)
        executor = getattr(self.gate, "_executor")
        executor.submit(lambda: None).result()
        site.wait_until(lambda: self.ran or self.posted, "an outcome")
        return self.ran


# History of a template: the versions that each revision allows.
histories = strategies.lists(
    strategies.sets(strategies.sampled_from(VERSIONS), min_size=1),
    min_size=1,
    max_size=5,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
@hypothesis.given(
    history=histories,
    entry_at=strategies.integers(0, 5),
    agent_at=strategies.integers(0, 5),
    version=strategies.sampled_from(VERSIONS),
)
def test_a_request_runs_only_if_the_newest_revision_either_knows_allows_it(
    history: list[set[str]], entry_at: int, agent_at: int, version: str
) -> None:
    entry_at, agent_at = min(entry_at, len(history)), min(agent_at, len(history))
    case = GateCase()
    for revision in range(1, agent_at + 1):
        allowed = site.template(*sorted(history[revision - 1]))
        case.config.apply(delta_of(revision, revision - 1, site.workspace(), allowed))
    newest = max(entry_at, agent_at)
    may_run = newest > 0 and version in history[newest - 1] and agent_at >= entry_at
    ran = case.offer(start_message(version, entry_at))
    assert (ran == [version]) == may_run
    if not may_run:
        (refused,) = case.posted
        assert errorcodes.get(refused.code).category is errorcodes.Category.NOT_RUN


def test_an_entry_refuses_a_version_that_the_template_does_not_allow() -> None:
    with site.Site(versions="small@1+large@1") as s:
        s.start()
        session = s.entries[0].server.open_session(site.template("large@1"), "x")
        signer = s.entries[0].sessions._signer
        headers = {"x-gaprock-session": signer.sign(session)}
        with pytest.raises(errors.GaprockError) as caught:
            s.chat(headers=headers)
        assert caught.value.not_run and s.ran() == 0


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(strategies.data())
def test_revisions_never_go_back_and_all_processes_converge(
    data: strategies.DataObject,
) -> None:
    source = config.Config()
    deltas = []
    for revision in range(1, 7):
        name = data.draw(strategies.sampled_from(("x", "y")))
        document = documents.Drain(f"{name}{revision % 3}")
        source.apply(delta_of(revision, revision - 1, document))
        base = data.draw(strategies.integers(0, revision - 1))
        deltas.append(source.delta_since(base))
    reader = config.Config()
    seen = [0]
    for delta in data.draw(strategies.permutations(deltas * 2)):
        reader.apply(delta)
        seen.append(reader.revision)
    assert seen == sorted(seen)
    reader.apply(source.delta_since(reader.revision))
    assert reader.revision == source.revision
    assert reader.delta_since(0) == source.delta_since(0)


def test_a_withdrawal_is_in_force_everywhere_while_the_table_is_down() -> None:
    with site.Site(versions="small@1+large@1") as s:
        s.start(agents=2, entries=2)
        s.publish(site.template("small@1", "large@1"))
        s.wait_in_force()
        session = s.entries[1].server.open_session(site.template("small@1"), "x")
        token = s.entries[1].sessions._signer.sign(session)
        s.platform.faults["down"] = True
        done = s.entries[0].publisher.publish_urgent(documents.Withdrawal("small@1"))
        assert not done.accepted
        site.wait_until(lambda: s.entries[1].config.withdrawn("small@1"), "entry 1")
        # An entry that starts now can learn of the withdrawal only from the agents.
        s.start_entry()
        s.wait_linked()
        site.wait_until(lambda: s.entries[2].config.withdrawn("small@1"), "entry 2")
        for entry in (1, 2):
            answer = s.chat(entry)
            assert answer.headers["X-Gaprock-Version"] == "large@1"
            with pytest.raises(errors.GaprockError) as caught:
                s.chat(entry, headers={"x-gaprock-session": token})
            assert caught.value.code is errorcodes.SESSION_ENDED
        for fake in s.engines.values():
            assert fake.ran_versions["small@1"] == 0
        s.platform.faults["down"] = False
        key = "config/doc/withdrawn/small@1"
        site.wait_until(lambda: s.platform.value(key), "accepted")
        site.wait_until(lambda: not s.entries[2].config.urgent, "settled")


def test_an_entry_cut_off_from_the_table_learns_of_a_withdrawal() -> None:
    with site.Site(versions="small@1+large@1") as s:
        s.start(agents=1, entries=1)
        s.publish(site.template("small@1", "large@1"))

        def cut_off(cfg: options.Options) -> None:
            cfg.platform = "http://127.0.0.1:9"
            cfg.agents = [f"tcp://127.0.0.1:{s.agents['a'].hub.port}"]

        s.start_entry(cut_off)
        s.wait_linked()
        s.wait_in_force()
        s.entries[0].publisher.publish_urgent(documents.Withdrawal("small@1"))
        site.wait_until(lambda: s.entries[1].config.withdrawn("small@1"), "gossip")
        assert s.chat(1).headers["X-Gaprock-Version"] == "large@1"


def test_an_entry_without_configuration_admits_nothing() -> None:
    with site.Site() as s:
        s.platform.faults["down"] = True
        s.start_entry()
        with pytest.raises(errors.GaprockError) as caught:
            s.chat()
        assert caught.value.code is errorcodes.NOT_READY
        assert caught.value.retry_at > 0


def test_of_two_operators_exactly_one_wins() -> None:
    with site.Site() as s:
        s.start(entries=2)
        s.wait_in_force()
        revision = s.entries[0].config.revision
        outcomes: list[str] = []

        def publish(number: int) -> None:
            changed = site.template("small@1", priority=number)
            try:
                s.entries[number].publisher.publish(changed, revision)
                outcomes.append("won")
            except errors.GaprockError as exc:
                outcomes.append(exc.code.name)
                assert str(revision + 1) in exc.detail

        threads = [threading.Thread(target=publish, args=(n,)) for n in (0, 1)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sorted(outcomes) == ["conflict", "won"]


faults = strategies.lists(
    strategies.sampled_from((tables.OK, tables.DOWN, tables.LOST, tables.LATE)),
    max_size=4,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(faults=faults)
def test_a_publication_says_accepted_only_if_it_is_in_the_table_once(
    faults: list[str],
) -> None:
    table = tables.TableFake(faults)
    store = config_store.ConfigStore(table)
    try:
        outcome = store.publish("drain/x", {"endpoint": "x"}, 0)
    except errors.GaprockError as exc:
        outcome = 0
        unknown = exc.code is errorcodes.CHANGE_UNKNOWN
    else:
        unknown = False
    in_table = table.row(config_store.HEAD).version
    if not unknown:
        assert in_table == outcome
    table.faults.clear()
    table.apply_late()
    # A delayed attempt must not take effect in addition to an earlier one.
    assert table.row(config_store.HEAD).version <= 1
    if not unknown:
        assert table.row(config_store.HEAD).version == outcome


def test_a_paused_lease_holder_cannot_write() -> None:
    table = tables.TableFake()
    now = clock.ManualClock()
    store = config_store.ConfigStore(table)
    first = lease.Lease(table, "first", now, 5.0)
    second = lease.Lease(table, "second", now, 5.0)
    assert first.refresh() and not second.refresh()
    paused = first.condition()
    now.advance(6)
    assert second.refresh() and second.epoch == first.epoch + 1
    # The first holder resumes and still assumes that it holds the lease.
    with pytest.raises(errors.GaprockError) as caught:
        store.publish("drain/x", {"endpoint": "x"}, 0, [paused])
    assert caught.value.code is errorcodes.FENCED
    assert table.row(config_store.HEAD).version == 0
    assert store.publish("drain/x", {"endpoint": "x"}, 0, [second.condition()]) == 1


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.sampled_from(("refresh", "pause", "lost")),
        ),
        max_size=25,
    )
)
def test_two_processes_never_hold_the_lease_at_one_time(
    steps: list[tuple[int, str]],
) -> None:
    table = tables.TableFake()
    now = clock.ManualClock()
    holders = [lease.Lease(table, f"p{n}", now, 5.0) for n in range(3)]
    epochs = []
    for who, step in steps:
        if step == "pause":
            now.advance(3)
            continue
        if step == "lost":
            table.faults = [tables.LOST]
        holders[who].refresh()
        held = [h for h in holders if h.held]
        assert len(held) <= 1
        epochs += [h.epoch for h in held]
    assert epochs == sorted(epochs)


def test_an_agent_refuses_orders_of_a_lapsed_holder() -> None:
    with site.Site() as s:
        s.start()
        orders = s.agents["a"].hub.orders
        site.wait_until(lambda: s.entries[0].lease.held, "lease")
        epoch = s.entries[0].lease.epoch
        done = orders.carry_out(messages.Order("1", epoch, "a", "load", "new@1"))
        assert done.code == errorcodes.OK
        stale = messages.Order("2", epoch - 1, "a", "unload", "new@1")
        assert orders.carry_out(stale).code == errorcodes.FENCED.number
        assert "new@1" in s.engines["a"].versions


def test_a_new_agent_carries_out_no_order_while_the_epoch_is_unknown() -> None:
    with site.Site() as s:
        s.start()
        site.wait_until(lambda: s.entries[0].lease.held, "lease")
        s.platform.faults["down"] = True
        s.agents.pop("a").stop()
        agent = s.restart_agent("a")
        order = messages.Order("1", 99, "a", "load", "new@1")
        assert agent.hub.orders.carry_out(order).code == errorcodes.NOT_READY.number
        assert s.engines["a"].orders == []


def test_a_rollout_goes_on_under_the_next_holder() -> None:
    with site.Site(versions="small@1+small@2") as s:
        s.start(entries=2)
        site.wait_until(
            lambda: any(e.lease.held for e in s.entries), "a control holder"
        )
        s.publish(site.template("small@1", "small@2"))
        steps = documents.Rollout(
            "small@2", "small@1", [0.2, 0.6, 1.0], answers_per_step=3
        )
        s.publish(steps)
        s.wait_in_force()
        holder = next(e for e in s.entries if e.lease.held)
        other = next(e for e in s.entries if e is not holder)
        for _ in range(3):
            other.evidence.count("small@2/1", False, True)

        def step_in_table() -> int:
            return int(
                s.platform.value("config/doc/rollout/small@2")["document"]["step"]
            )

        site.wait_until(lambda: step_in_table() == 1, "first step")
        # The holder fails in the middle of the rollout: its tasks stop and its lease
        # expires.
        for task in holder._tasks:
            task.stop()
        site.wait_until(lambda: other.lease.held, "next holder")
        assert step_in_table() == 1
        for _ in range(3):
            other.evidence.count("small@2/1", False, True)
        site.wait_until(lambda: step_in_table() == 2, "second step")


def test_a_publication_that_names_a_withdrawn_version_changes_nothing() -> None:
    with site.Site() as s:
        s.start()
        s.entries[0].publisher.publish_urgent(documents.Withdrawal("old@1"))
        s.wait_in_force()
        before = s.entries[0].config.revision
        for bad in (
            site.template("small@1", "old@1"),
            documents.Rollout("old@1", "small@1"),
            site.template("small@1", workspace="nobody"),
        ):
            with pytest.raises(errors.GaprockError) as caught:
                s.publish(bad)
            assert caught.value.code is errorcodes.INVALID_CHANGE
        with pytest.raises(errors.GaprockError):
            s.entries[0].publisher.delete("withdrawn/old@1", before)
        assert s.platform.value("config/head")["revision"] == before


def test_reading_the_log_gives_the_same_configuration_as_reading_all() -> None:
    table = tables.TableFake()
    store = config_store.ConfigStore(table)
    follower = config.Config()
    for revision in range(8):
        name = f"x{revision % 3}"
        value = {"endpoint": name} if revision != 5 else None
        store.publish(f"drain/{name}", value, revision)
        if revision % 2:
            found = store.read_since(follower.revision, follower.ready)
            assert found is not None and follower.apply(found)
    fresh = config.Config()
    everything = store.read_since(0, False)
    assert everything is not None and fresh.apply(everything)
    key = lambda e: e.key  # noqa: E731
    assert sorted(fresh.delta_since(0).entries, key=key) == sorted(
        follower.delta_since(0).entries, key=key
    )


def test_publisher_reports_a_table_outage_as_not_run() -> None:
    with site.Site() as s:
        s.start()
        s.platform.faults["down"] = True
        with pytest.raises(errors.GaprockError) as caught:
            publisher: entry_publish.Publisher = s.entries[0].publisher
            publisher.publish(site.workspace("other"), s.entries[0].config.revision)
        assert caught.value.code is errorcodes.TABLE_DOWN
        assert isinstance(caught.value.__cause__, services_api.PlatformError)
