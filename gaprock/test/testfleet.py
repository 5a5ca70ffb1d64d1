"""What gateways keep together: rows, rollouts and their outcome, under faults."""

import pathlib

import msgspec
import pytest
import zmq

from gaprock import (
    clock,
    directory,
    errors,
    evidence,
    followers,
    freshness,
    gateway_api,
    gateway_program,
    mesh,
    mesh_messages,
    mesh_peers,
    policy_guard,
    rollout_writer,
    rollouts,
    row_exchange,
)
from gaprock.platform import store, wire
from gaprock.test import gatewaysite
from gaprock.test.fakes import cutproxy, metastore


@pytest.fixture
def time() -> clock.ManualClock:
    return clock.ManualClock(100.0)


class Kept:
    """A sink that keeps what it was given."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.order: list[str] = []

    def take_page(self, page: gateway_api.Page, whole: bool) -> None:
        if whole:
            self.rows.clear()
        for row in page.rows:
            self.order.append(row.key)
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row.value


class Scripted(gateway_api.SharedStore):
    """A store whose answers a test lays out."""

    __slots__ = ("pages", "commits", "answers")

    def __init__(self) -> None:
        self.pages: list[gateway_api.Page | Exception] = []
        self.commits: list[list[gateway_api.Write]] = []
        self.answers: list[int | Exception] = []

    def _next(self) -> gateway_api.Page:
        page = self.pages.pop(0)
        if isinstance(page, Exception):
            raise page
        return page

    def read(self, table: str) -> gateway_api.Page:
        return self._next()

    def changes(self, table: str, since: int) -> gateway_api.Page:
        return self._next()

    def commit(self, writes: list[gateway_api.Write]) -> int:
        self.commits.append(writes)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def page(version: int, *rows: tuple[str, bytes | None, int]) -> gateway_api.Page:
    return gateway_api.Page([gateway_api.Row(*row) for row in rows], version, 0.0)


def fresh(time: clock.Clock) -> freshness.Freshness:
    return freshness.Freshness(time, freshness.StoreClock(), lambda: 2.0)


def news(changed: int) -> mesh_messages.TableNews:
    return mesh_messages.TableNews(changed, 0, 0.0)


def follower(
    time: clock.ManualClock,
) -> tuple[followers.Follower, Scripted, Kept]:
    kept, scripted = Kept(), Scripted()
    return followers.Follower("t", scripted, time, kept, fresh(time)), scripted, kept


# -- Rows --


def test_a_copy_of_a_peer_is_not_undone_by_an_older_answer(
    time: clock.ManualClock,
) -> None:
    one, scripted, kept = follower(time)
    scripted.pages = [page(5, ("a", b"1", 5), ("b", b"1", 5))]
    one._read()
    one.take_copy(page(9, ("a", b"2", 9)))
    assert kept.rows == {"a": b"2"}
    # The poll that was under way tells older changes, one of a row that is gone again.
    scripted.pages = [page(8, ("a", b"old", 7), ("b", None, 8), ("c", b"1", 8))]
    one._ask(one.version)
    assert kept.rows == {"a": b"2"}
    one.take_copy(page(8, ("a", b"old", 7)))
    assert kept.rows == {"a": b"2"}


def test_rows_of_one_transaction_are_all_taken(time: clock.ManualClock) -> None:
    one, scripted, kept = follower(time)
    scripted.pages = [page(5), page(6, ("a", b"1", 6), ("b", b"1", 6))]
    one._read()
    one._ask(one.version)
    assert kept.rows == {"a": b"1", "b": b"1"}


def test_a_peer_that_stays_ahead_is_asked_though_the_store_says_nothing(
    time: clock.ManualClock,
) -> None:
    one, scripted, _ = follower(time)
    scripted.pages = [page(5, ("a", b"1", 5))]
    one._read()
    one.lost_at = clock.NEVER
    exchange = row_exchange.RowExchange([one], time)
    assert not exchange.take_news(0, news(6))
    time.advance(followers.BEHIND_S + 0.1)
    # Another one that is as far behind says nothing against it.
    assert not exchange.take_news(0, news(5))
    assert exchange.take_news(0, news(6))
    assert not exchange.take_news(0, news(5))
    one.lost_at = time.now()
    assert exchange.take_news(0, news(6))


def test_a_follower_that_rests_takes_copies_and_polls_again() -> None:
    fake = metastore.MetaStoreFake()
    fake.start()
    kept, rests = Kept(), [True]
    client = store.PlatformStore(f"127.0.0.1:{fake.port}")
    steady = clock.MonotonicClock()
    one = followers.Follower(
        "t", client, steady, kept, fresh(steady), 0.0, lambda: rests[0]
    )
    exchange = row_exchange.RowExchange([one], steady)
    fake.put("t", "a", 1)
    one.start()
    gatewaysite.wait_until(lambda: one.resting, "it rests once it has read the table")
    assert not exchange.reads()
    calls = len(fake.calls)
    version = fake.put("t", "b", 2)
    assert exchange.take_news(0, news(version)) and not exchange.take_news(
        0, news(version), is_far=True
    )
    one.take_copy(page(version, ("a", b"1", 1), ("b", b"2", version)))
    assert sorted(kept.rows) == ["a", "b"] and len(fake.calls) == calls
    fake.put("t", "c", 3)
    rests[0] = False
    gatewaysite.wait_until(lambda: sorted(kept.rows) == ["a", "b", "c"], "polls")
    assert not one.resting
    one.stop()
    fake.stop()


def test_the_first_two_of_a_hall_read_for_the_others(time: clock.ManualClock) -> None:
    case = WriterCase(time)

    def hear(name: str, hall: str = "h1", reads: bool = True) -> None:
        beat = mesh_messages.Beat(
            name, hall, name, "i", [], reads, {}, [], [], [], [], False
        )
        case.mesh._peers[name] = mesh_peers.Peer(name, name, None, time.now())
        case.mesh._on_beat(beat)

    hear("a")
    hear("b", hall="h2")
    hear("c", reads=False)
    # After us by name: it may count on us, so we may not count on it.
    hear("z")
    assert not case.mesh.has_readers()
    hear("c")
    assert case.mesh.has_readers()
    time.advance(mesh.READER_HEARD_S + 0.1)
    assert not case.mesh.has_readers()


def test_the_store_is_followed_through_lost_history_and_outages() -> None:
    fake = metastore.MetaStoreFake()
    fake.start()
    kept = Kept()
    client = store.PlatformStore(f"127.0.0.1:{fake.port}")
    steady = clock.MonotonicClock()
    one = followers.Follower("t", client, steady, kept, fresh(steady))
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


def test_a_commit_tells_done_refused_and_unknown() -> None:
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


# -- Rollouts --


def order(finish_s: float = 20.0) -> gateway_api.RolloutOrder:
    return gateway_api.RolloutOrder("llm", "v2", finish_s)


def make_rollouts(time: clock.Clock) -> rollouts.Rollouts:
    book = evidence.EvidenceBook("me")
    return rollouts.Rollouts(time, 0.15, policy_guard.Sequential(), book)


def on_new(book: rollouts.Rollouts) -> set[str]:
    sessions = [f"s{number}" for number in range(2000)]
    return {s for s in sessions if book.fits("llm", "v2", s)}


def test_no_session_changes_its_version_in_the_first_half(
    time: clock.ManualClock,
) -> None:
    book = make_rollouts(time)
    assert book.fits("llm", "v1", "s") and book.fits("llm", "v2", "s")
    book.take_order(order(), 7, time.now())
    first = on_new(book)
    assert 0 < len(first) < 0.15 * 2000
    time.advance(9.9)
    assert on_new(book) == first
    seen = first
    for _ in range(20):
        time.advance(0.5)
        assert seen <= on_new(book)
        seen = on_new(book)
    assert len(seen) == 2000


def test_a_process_that_starts_later_agrees_on_every_session(
    time: clock.ManualClock,
) -> None:
    one, two = make_rollouts(time), make_rollouts(time)
    one.take_order(order(), 7, time.now())
    time.advance(3.0)
    two.take_order(order(), 7, time.now())
    two.backdate("llm", 7, time.now() - 3.0)
    assert on_new(one) == on_new(two)


def test_what_peers_told_of_an_order_holds_as_soon_as_it_comes(
    time: clock.ManualClock,
) -> None:
    one, two = make_rollouts(time), make_rollouts(time)
    one.take_order(order(), 7, time.now())
    time.advance(11.5)
    # A gateway that was added and has no store hears of the order before it has it.
    two.backdate("llm", 7, time.now() - 11.5)
    two.backdate("llm", 6, time.now() - 99.0)
    two.take_order(order(), 7, time.now())
    # No session that has moved is sent back.
    assert on_new(one) == on_new(two)
    one.halt("llm", 7, "test")
    three = make_rollouts(time)
    three.halt("llm", 7, "told")
    three.take_order(order(), 7, time.now())
    assert on_new(three) == set()
    three.take_order(order(), 8, time.now())
    assert on_new(three)


def test_an_unproved_version_is_as_loaded_as_it_will_be(
    time: clock.ManualClock,
) -> None:
    book = make_rollouts(time)
    book.take_order(order(), 7, time.now())
    session = sorted(on_new(book))[0]
    names = [f"e{number}" for number in range(20)]
    assert len(book.narrow("llm", session, names, names[:2])) == 2
    # With enough of them in the own hall, its own share of those.
    assert list(book.narrow("llm", session, names, names[13:])) == names[13:14]
    old = next(f"s{n}" for n in range(99) if not book.fits("llm", "v2", f"s{n}"))
    assert list(book.narrow("llm", old, names, names)) == names
    time.advance(19.0)
    assert list(book.narrow("llm", session, names, names)) == names


def judged(failed: bool, took_s: float = 0.1) -> rollouts.Judged:
    return rollouts.Judged(failed, took_s)


def answers(book: rollouts.Rollouts, version: str, bad: int, good: int) -> None:
    for number in range(bad + good):
        book.judge_answer("llm", version, "r1", "m", judged(number < bad))


def test_a_version_that_fails_is_stopped_and_a_good_one_is_not(
    time: clock.ManualClock,
) -> None:
    book = make_rollouts(time)
    rollout = book.take_order(order(), 7, time.now())
    answers(book, "v1", 2, 100)
    answers(book, "v2", 2, 100)
    assert not rollout.halted
    answers(book, "v2", 12, 0)
    assert rollout.halted
    assert on_new(book) == set()


def test_a_version_that_is_slow_is_stopped(time: clock.ManualClock) -> None:
    book = make_rollouts(time)
    rollout = book.take_order(order(), 7, time.now())
    for _ in range(50):
        book.judge_answer("llm", "v1", "r1", "m", judged(False, 0.2))
    for _ in range(12):
        book.judge_answer("llm", "v2", "r1", "m", judged(False, 1.6))
    assert rollout.halted


def test_a_long_queue_is_no_fault_of_the_version(time: clock.ManualClock) -> None:
    book = make_rollouts(time)
    rollout = book.take_order(order(), 7, time.now())
    for _ in range(50):
        book.judge_answer("llm", "v1", "r1", "m", rollouts.Judged(False, 0.2, 0.2))
    for _ in range(30):
        book.judge_answer("llm", "v2", "r1", "m", rollouts.Judged(False, 1.6, 1.2))
    assert not rollout.halted
    for _ in range(20):
        book.judge_answer("llm", "v2", "r1", "m", rollouts.Judged(False, 1.6, 0.2))
    assert rollout.halted


def test_a_version_that_fails_on_one_route_is_stopped(
    time: clock.ManualClock,
) -> None:
    book = make_rollouts(time)
    rollout = book.take_order(order(), 7, time.now())
    for _ in range(200):
        book.judge_answer("llm", "v1", "r1", "m", judged(False))
        book.judge_answer("llm", "v1", "r2", "m", judged(False))
    for _ in range(10):
        # Among all answers the bad ones are rare.
        for _ in range(60):
            book.judge_answer("llm", "v2", "r1", "m", judged(False))
        book.judge_answer("llm", "v2", "r2", "m", judged(True))
    assert rollout.halted


def test_an_outcome_of_an_earlier_order_says_nothing_of_a_later_one(
    time: clock.ManualClock,
) -> None:
    book = make_rollouts(time)
    book.take_outcome("llm", rollouts.Outcome("v2", rollouts.State.ROLLED_BACK, 5))
    rollout = book.take_order(order(), 7, time.now())
    assert rollout.state is rollouts.State.RUNNING
    book.take_outcome("llm", rollouts.Outcome("v2", rollouts.State.ROLLED_BACK, 8))
    assert on_new(book) == set()


class WriterCase:
    """A writer without peers, before a scripted store."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.store = Scripted()
        self.book = make_rollouts(time)
        self.directory = directory.Directory(time, 2.0)
        self.mesh = mesh.Mesh(
            "me", "h1", "", time, self.directory, self.book, evidence.EvidenceBook("me")
        )
        self.on_old = 0
        self.mesh.on_old_here = lambda service: self.on_old
        self.writer = rollout_writer.RolloutWriter(
            "me",
            time,
            freshness.StoreClock(),
            self.store,
            wire.PlatformDialect(),
            self.book,
            self.mesh,
        )

    def written(self) -> list[str]:
        first = [writes[0] for writes in self.store.commits]
        return [msgspec.json.decode(w.value or b"")["State"] for w in first]


def test_a_rollout_completes_when_nothing_runs_on_the_old_version(
    time: clock.ManualClock,
) -> None:
    case = WriterCase(time)
    case.store.answers = [8, 9]
    case.book.take_order(order(), 7, time.now())
    case.writer.step()
    assert case.written() == ["running"]
    time.advance(13.0)
    case.on_old = 1
    case.writer.step()
    time.advance(2.0)
    case.writer.step()
    assert case.written() == ["running"]
    case.on_old = 0
    case.writer.step()
    assert case.written() == ["running", "completed"]
    assert case.store.commits[1][0].expect == 8


def test_a_rollout_completes_before_its_time_whatever_still_runs(
    time: clock.ManualClock,
) -> None:
    case = WriterCase(time)
    case.store.answers = [8, 9]
    case.book.take_order(order(), 7, time.now())
    case.writer.step()
    case.on_old = 1
    for _ in range(40):
        time.advance(0.5)
        case.writer.step()
    assert case.written() == ["running", "completed"]


def test_a_halt_is_written_again_until_the_store_takes_it(
    time: clock.ManualClock,
) -> None:
    case = WriterCase(time)
    lost = gateway_api.StoreError("lost")
    case.store.answers = [8, lost, 0, 12]
    case.book.take_order(order(), 7, time.now())
    case.writer.step()
    case.book.halt("llm", 7, "test")
    for _ in range(10):
        time.advance(0.3)
        case.writer.step()
    assert case.written() == ["running"] + ["rolled_back"] * 3


def test_a_peers_word_halts_a_version(time: clock.ManualClock) -> None:
    case = WriterCase(time)
    case.store.answers = [8]
    rollout = case.book.take_order(order(), 7, time.now())
    news = mesh_messages.RolloutNews("llm", 7, 4.0, True, 0)
    beat = mesh_messages.Beat(
        "other", "h2", "tcp://x", "i", [], True, {}, [], [], [news], [], False
    )
    again = mesh_messages.decode(mesh_messages.encode(beat))
    case.mesh._peers["tcp://x"] = mesh_peers.Peer("other", "tcp://x", None, time.now())
    case.mesh._on_beat(again)  # type: ignore[arg-type]
    assert rollout.halted
    assert rollout.started_at == time.now() - 4.0


def test_far_peers_get_fewer_beats_and_halts_at_once() -> None:
    peer = mesh_peers.Peer("other", "tcp://x", None, 0.0)
    peer.beat_at, peer.told = 10.0, mesh_peers.News("a", 1)
    near, few, many = (
        mesh_peers.beat_pause(False, 20),
        mesh_peers.beat_pause(True, 2),
        mesh_peers.beat_pause(True, 14),
    )
    assert near == few == mesh_peers.BUSY_BEAT_S < many <= mesh_peers.IDLE_BEAT_S
    assert mesh_peers.is_due(peer, 10.3, mesh_peers.News("a", 2), near)
    assert not mesh_peers.is_due(peer, 10.3, mesh_peers.News("a", 2), many)
    assert mesh_peers.is_due(peer, 10.01, mesh_peers.News("b", 1), many)
    assert not mesh_peers.is_due(peer, 10.9, mesh_peers.News("a", 1), near)
    assert mesh_peers.is_due(peer, 11.0, mesh_peers.News("a", 1), near)


# -- Settings --


def test_a_wrong_setting_is_named(tmp_path: pathlib.Path) -> None:
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
            # Not connected, or too much waits: the next try tells.
            return False
        return bool(inbox.poll(20)) and bool(inbox.recv())

    try:
        gatewaysite.wait_until(is_heard, "the first beat")
        proxy.mute()
        while inbox.poll(100):
            inbox.recv()
        gatewaysite.wait_until(is_heard, "a beat on a new connection")
    finally:
        for each in (sock, inbox):
            each.close(linger=0)
        context.term()
        proxy.stop()


def test_a_peer_that_was_heard_is_tried_for_an_hour_and_another_is_not(
    time: clock.ManualClock,
) -> None:
    case = WriterCase(time)
    context = zmq.Context()
    try:
        for _ in range(2):
            case.mesh._add(context, f"tcp://127.0.0.1:{gatewaysite.free_port()}")
        heard, _ = case.mesh._peers
        beat = mesh_messages.Beat(
            "peer", "h2", heard, "i", [], True, {}, [], [], [], [], False
        )
        case.mesh._on_beat(beat)
        # A cut between regions lasts minutes, and nobody reads the peers' rows again.
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
