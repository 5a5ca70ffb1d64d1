"""Followed rows, the mesh's connections and the settings of gateways, under faults."""

import pathlib
import typing

import pytest
import zmq

from gaprock import (
    clock,
    errors,
    followers,
    gateway_api,
    gateway_metrics,
    gateway_program,
    gateway_store,
    mesh,
    mesh_members,
    mesh_messages,
    mesh_peers,
    row_exchange,
)
from gaprock.platform import store
from gaprock.test import gatewaysite, ports, rolloutcase, rowcase
from gaprock.test.fakes import cutproxy, metastore


@pytest.fixture
def time() -> clock.ManualClock:
    return clock.ManualClock(100.0)


def page(version: int, *rows: tuple[str, bytes | None, int]) -> gateway_api.Page:
    return gateway_api.Page([gateway_api.Row(*row) for row in rows], version, 0.0)


def news(changed: int) -> mesh_messages.TableUpdate:
    return mesh_messages.TableUpdate(changed, 0, 0.0)


def follower(
    time: clock.ManualClock,
) -> tuple[followers.Follower, rolloutcase.ScriptedStore, rowcase.RecordingSink]:
    kept, scripted = rowcase.RecordingSink(), rolloutcase.ScriptedStore()
    return (
        followers.Follower("t", scripted, time, kept, rowcase.fresh(time)),
        scripted,
        kept,
    )


# -- Rows --


def test_a_copy_of_a_peer_is_not_undone_by_an_older_answer(
    time: clock.ManualClock,
) -> None:
    one, scripted, kept = follower(time)
    scripted.pages = [page(5, ("a", b"1", 5), ("b", b"1", 5))]
    one._read_table()
    one.apply_copy(page(9, ("a", b"2", 9)))
    assert kept.values == {"a": b"2"}
    # The poll that was under way returns older changes, and the removal of a row.
    scripted.pages = [page(8, ("a", b"old", 7), ("b", None, 8), ("c", b"1", 8))]
    one._request_changes(one.version)
    assert kept.values == {"a": b"2"}
    one.apply_copy(page(8, ("a", b"old", 7)))
    assert kept.values == {"a": b"2"}


def test_a_change_between_the_pages_of_a_read_is_applied(
    time: clock.ManualClock,
) -> None:
    one, scripted, kept = follower(time)
    # The last page was read at version 12, the first one at version 10.
    scripted.pages = [page(10, ("a", b"1", 5), ("z", b"1", 12))]
    one._read_table()
    assert one.version == 10
    scripted.pages = [page(12, ("b", b"1", 11), ("c", None, 11), ("z", b"1", 12))]
    one._request_changes(one.version)
    assert kept.values == {"a": b"1", "b": b"1", "z": b"1"}


def test_rows_of_one_transaction_are_all_applied(time: clock.ManualClock) -> None:
    one, scripted, kept = follower(time)
    scripted.pages = [page(5), page(6, ("a", b"1", 6), ("b", b"1", 6))]
    one._read_table()
    one._request_changes(one.version)
    assert kept.values == {"a": b"1", "b": b"1"}


@pytest.mark.parametrize("since", [-1, 5])
def test_a_copy_is_of_the_version_of_its_rows(
    time: clock.ManualClock, monkeypatch: pytest.MonkeyPatch, since: int
) -> None:
    # Guards against a change that arrives while a copy is made: its receiver would
    # never request it.
    one, scripted, _ = follower(time)
    scripted.pages = [page(5, ("a", b"1", 5)), page(6, ("a", b"2", 6))]
    one._read_table()
    one._request_changes(one.version)
    make = mesh_messages.RowCopy

    def make_after_change(*args: typing.Any) -> mesh_messages.RowCopy:
        if scripted.pages:
            one._request_changes(one.version)
        return make(*args)

    scripted.pages = [page(7, ("b", b"1", 7))]
    monkeypatch.setattr(mesh_messages, "RowCopy", make_after_change)
    copy = row_exchange.RowExchange([one], time).copy(0, since)
    assert one.version == 7
    assert (copy.version, [row.key for row in copy.rows]) == (6, ["a"])


def test_a_peer_that_stays_ahead_is_asked_though_the_store_says_nothing(
    time: clock.ManualClock,
) -> None:
    one, scripted, _ = follower(time)
    scripted.pages = [page(5, ("a", b"1", 5))]
    one._read_table()
    one.disconnected_at = clock.NEVER
    exchange = row_exchange.RowExchange([one], time)
    assert not exchange.record_news(0, news(6))
    time.advance(followers.MAX_LAG_S + 0.1)
    # Another peer that is as far behind as we are does not end the wait.
    assert not exchange.record_news(0, news(5))
    assert exchange.record_news(0, news(6))
    assert not exchange.record_news(0, news(5))
    one.disconnected_at = time.now()
    assert exchange.record_news(0, news(6))


def test_a_follower_on_standby_applies_copies_and_polls_again_when_needed() -> None:
    fake = metastore.MetaStoreFake()
    fake.start()
    kept, rests = rowcase.RecordingSink(), [True]
    client = store.PlatformStore(f"127.0.0.1:{fake.port}")
    steady = clock.SteadyClock()
    one = followers.Follower(
        "t", client, steady, kept, rowcase.fresh(steady), 0.0, lambda: rests[0]
    )
    exchange = row_exchange.RowExchange([one], steady)
    fake.put("t", "a", 1)
    one.start()
    gatewaysite.wait_until(
        lambda: one.on_standby, "it rests once it has read the table"
    )
    assert not exchange.reads_store()
    calls = len(fake.calls)
    version = fake.put("t", "b", 2)
    assert exchange.record_news(0, news(version)) and not exchange.record_news(
        0, news(version), is_far=True
    )
    one.apply_copy(page(version, ("a", b"1", 1), ("b", b"2", version)))
    assert sorted(kept.rows) == ["a", "b"] and len(fake.calls) == calls
    fake.put("t", "c", 3)
    rests[0] = False
    gatewaysite.wait_until(lambda: sorted(kept.rows) == ["a", "b", "c"], "polls")
    assert not one.on_standby
    one.stop()
    fake.stop()


def test_the_first_of_a_hall_reads_for_the_others(time: clock.ManualClock) -> None:
    case = rolloutcase.WriterCase(time)

    def hear_from(name: str, hall: str = "h1", has_store: bool = True) -> None:
        beat = mesh_messages.Beat(
            name, hall, name, "i", [], has_store, {}, [], [], [], [], False
        )
        case.mesh._peers[name] = mesh_peers.Peer(name, name, None, time.now())
        case.mesh._on_beat(beat)

    hear_from("b", hall="h2")
    hear_from("c", has_store=False)
    # It comes after us by name: it may rely on us, so we must not rely on it.
    hear_from("z")
    assert not case.mesh.has_readers()
    hear_from("c")
    assert case.mesh.has_readers()
    # It loses the store, or goes silent.
    hear_from("c", has_store=False)
    assert not case.mesh.has_readers()
    hear_from("c")
    time.advance(mesh_members.READER_TIMEOUT_S + 0.1)
    assert not case.mesh.has_readers()


def test_the_store_is_followed_through_lost_history_and_outages() -> None:
    fake = metastore.MetaStoreFake()
    fake.start()
    kept = rowcase.RecordingSink()
    client = store.PlatformStore(f"127.0.0.1:{fake.port}")
    steady = clock.SteadyClock()
    one = followers.Follower("t", client, steady, kept, rowcase.fresh(steady))
    for number in range(metastore.PAGE_ROWS + 2):
        fake.put("t", f"k{number}", number)
    one.start()
    gatewaysite.wait_until(lambda: len(kept.rows) == metastore.PAGE_ROWS + 2, "pages")
    fake.remove("t", "k0")
    gatewaysite.wait_until(lambda: "k0" not in kept.rows, "removed")
    fake.faults["refuse"] = 503
    fake.put("t", "wakes", 1)
    gatewaysite.wait_until(lambda: not one.connected, "lost")
    fake.remove("t", "k1")
    fake.compact()
    del fake.faults["refuse"]
    gatewaysite.wait_until(lambda: "k1" not in kept.rows, "read anew")
    gatewaysite.wait_until(lambda: one.connected, "back")
    one.stop()
    fake.stop()


def test_a_commit_distinguishes_done_refused_and_unknown() -> None:
    fake = metastore.MetaStoreFake()
    fake.start()
    client = store.PlatformStore(f"127.0.0.1:{fake.port}")
    write = gateway_api.Write("t", "k", b"1", expect=0)
    version = client.commit([write])
    assert version > 0
    assert client.commit([write]) == 0
    fake.faults["lose"] = True
    with pytest.raises(gateway_api.StoreError):
        client.commit([gateway_api.Write("t", "k", b"2", expect=version)])
    assert fake.value("t", "k") == 2
    fake.stop()


def test_each_call_to_the_store_is_counted_also_one_that_fails() -> None:
    scripted = rolloutcase.ScriptedStore()
    counts = gateway_metrics.GatewayMetrics()
    counted = gateway_store.CountedStore(scripted, counts)
    scripted.pages = [page(1), gateway_api.StoreError("no answer")]
    scripted.answers = [2]
    counted.read("op")
    with pytest.raises(gateway_api.StoreError):
        counted.changes("op", 1)
    assert counted.commit([gateway_api.Write("t", "k", b"1")]) == 2
    text = counts.render().decode()
    for kind, table in (("read", "op"), ("changes", "op"), ("commit", "t")):
        labels = f'kind="{kind}",table="{table}"'
        assert f"gaprock_store_calls_total{{{labels}}} 1.0" in text


# -- Mesh --


def test_far_peers_get_fewer_heartbeats_but_halts_at_once() -> None:
    peer = mesh_peers.Peer("other", "tcp://x", None, 0.0)
    peer.last_sent_at, peer.last_sent = 10.0, mesh_peers.BeatContent("a", 1)
    near, few, many = (
        mesh_peers.near_pause(13),
        mesh_peers.far_pause(2),
        mesh_peers.far_pause(14),
    )
    assert near == few == mesh_peers.BUSY_BEAT_S < many <= mesh_peers.IDLE_BEAT_S
    assert mesh_peers.is_due(peer, 10.3, mesh_peers.BeatContent("a", 2), near)
    assert not mesh_peers.is_due(peer, 10.3, mesh_peers.BeatContent("a", 2), many)
    assert mesh_peers.is_due(peer, 10.01, mesh_peers.BeatContent("b", 1), many)
    assert not mesh_peers.is_due(peer, 10.9, mesh_peers.BeatContent("a", 1), near)
    assert mesh_peers.is_due(peer, 11.0, mesh_peers.BeatContent("a", 1), near)


def test_a_connection_between_gateways_that_went_silent_is_opened_anew() -> None:
    context = zmq.Context()
    inbox = context.socket(zmq.PULL)
    port = inbox.bind_to_random_port("tcp://127.0.0.1")
    proxy = cutproxy.CutProxy(port)
    sock = mesh.push_socket(context)
    sock.connect(proxy.address)

    def is_heard() -> bool:
        try:
            sock.send(b"beat", zmq.NOBLOCK)
        except zmq.Again:
            # Not connected, or the queue is full: wait for the next try.
            return False
        return bool(inbox.poll(20)) and bool(inbox.recv())

    try:
        gatewaysite.wait_until(is_heard, "the first heartbeat")
        proxy.silence_connections()
        while inbox.poll(100):
            inbox.recv()
        gatewaysite.wait_until(is_heard, "a heartbeat on a new connection")
    finally:
        for each in (sock, inbox):
            each.close(linger=0)
        context.term()
        proxy.stop()


def test_a_peer_that_was_heard_is_tried_for_an_hour_and_another_is_not(
    time: clock.ManualClock,
) -> None:
    case = rolloutcase.WriterCase(time)
    context = zmq.Context()
    try:
        for _ in range(2):
            case.mesh._add(context, f"tcp://127.0.0.1:{ports.free_port()}")
        heard, _ = case.mesh._peers
        beat = mesh_messages.Beat(
            "peer", "h2", heard, "i", [], True, {}, [], [], [], [], False
        )
        case.mesh._on_beat(beat)
        # A partition between regions lasts minutes, and the peers' rows are not read
        # again.
        time.advance(mesh.FORGET_S + 600.0)
        case.mesh._forget_silent()
        assert list(case.mesh._peers) == [heard]
        assert case.mesh.living() == []
        time.advance(mesh.FORGET_HEARD_S)
        case.mesh._forget_silent()
        assert not case.mesh._peers
    finally:
        for peer in case.mesh._peers.values():
            peer.sock.close(linger=0)
        context.term()


# -- Settings --


def test_the_error_for_a_missing_setting_names_it(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text('Node = "n"\nIp = "10.0.0.1"\nZone = "z"\n[Provider]\nAddr = "x"\n')
    with pytest.raises(errors.GaprockError, match="Listen"):
        gateway_program.load_options(str(path))
    path.write_text(
        'Node = "n"\nIp = "10.0.0.1"\nZone = "z"\nNew = 1\n'
        '[Provider]\nAddr = "1.1.1.1:2"\n'
        '[Listen]\nFront = "1.1.1.1:3"\nReady = "1.1.1.1:4"\n'
        "[TimingBounds]\nDrainMs = 1500\nConfigMs = 3000\nRollbackMs = 4000\n"
    )
    bounds = gateway_program.load_options(str(path)).bounds
    assert (bounds.drain_s, bounds.config_s, bounds.rollback_s) == (1.5, 3.0, 4.0)
