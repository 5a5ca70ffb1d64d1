"""Cost in large fleets: endpoints that a choice considers, and gossip of a gateway."""

import collections
import random
import typing
import zlib

import hypothesis
import hypothesis.strategies as st
import pytest

from bench import herd, scale
from gaprock import (
    clock,
    directory,
    directory_rows,
    endpoint_index,
    endpoint_state,
    followed_table,
    followers,
    gateway_api,
    mesh,
    mesh_halls,
    mesh_messages,
    mesh_peers,
    mesh_plan,
    plugin,
    row_exchange,
)
from gaprock.test import fleetcase, rolloutcase, rowcase

SERVICE: typing.Final = herd.SERVICE
HALLS: typing.Final = 3


def make_directory(count: int) -> directory.Directory:
    book = directory.Directory(clock.ManualClock(100.0), 2.0)
    scale.fill(book, count, HALLS)
    return book


def around(key: int) -> directory_rows.CandidateScope:
    return directory_rows.CandidateScope("h0", key, lambda e: True)


def usable(
    book: directory.Directory, key: int, excluded: typing.Collection[str] = ()
) -> list[str]:
    found = book.usable(SERVICE, set(excluded), around(key))
    return [endpoint.name for endpoint in found]


# -- Endpoints that a request considers --


def test_a_request_considers_a_bounded_number_of_endpoints() -> None:
    """Guards against a choice whose cost grows with the number of endpoints.

    A choice among all of 4,000 took 81 ms of processor time, among these 0.2 ms.
    """
    for count in (400, 4000):
        names = usable(make_directory(count), 12345)
        assert len(names) == directory_rows.CANDIDATES_PER_HALL
    assert len(usable(make_directory(60), 12345)) == 60


def test_a_choice_reads_the_backlog_of_considered_endpoints_only() -> None:
    plugin.load_all(plugin.GATEWAY_MODULES)
    considered: list[str] = []
    steady = clock.ManualClock(100.0)
    gateway = herd.Gateway("gw", steady, 1, "least-filled")
    gateway.chooser._hall = "h0"
    scale.fill(gateway.directory, 4000, HALLS)
    unread_tokens = gateway.directory.unread_tokens

    def record(endpoints: list[endpoint_state.Endpoint]) -> list[float]:
        considered.extend(endpoint.name for endpoint in endpoints)
        return unread_tokens(endpoints)

    gateway.directory.unread_tokens = record  # type: ignore[method-assign]
    assert gateway.chooser.endpoint(herd.call(1, 100.0), "") is not None
    assert len(set(considered)) <= directory_rows.CANDIDATES_PER_HALL


def test_gateways_consider_the_same_endpoints_for_the_same_subject() -> None:
    one, other = make_directory(900), make_directory(900)
    for number in range(20):
        key = zlib.crc32(f"subject {number}".encode())
        assert usable(one, key) == usable(other, key)


def test_all_endpoints_are_considered_about_equally_often() -> None:
    book = make_directory(600)
    seen: collections.Counter[str] = collections.Counter()
    rng = random.Random(1)
    for _ in range(3000):
        seen.update(usable(book, rng.randrange(1 << 32)))
    mean = 3000 * directory_rows.CANDIDATES_PER_HALL / 200
    assert len(seen) == 200
    # Each is considered from the 16 sections of the ring before it.
    assert max(seen.values()) < 2.5 * mean
    assert min(seen.values()) > mean / 4


def test_full_or_excluded_endpoints_are_replaced_by_others() -> None:
    book = make_directory(300)
    first = usable(book, 7)
    again = usable(book, 7, first)
    assert len(again) == directory_rows.CANDIDATES_PER_HALL and not set(first) & set(
        again
    )
    for name in first:
        for _ in range(70):
            endpoint = book._endpoints[name]
            book.begin(endpoint, endpoint_state.Prompt(0.0, []))
    halls = {book._endpoints[name].row.hall for name in usable(book, 7)}
    assert halls == {"h0", "h1", "h2"}


def test_ejected_endpoints_are_skipped() -> None:
    book = make_directory(300)
    first = usable(book, 7)
    for name in first:
        book.eject(book._endpoints[name], "dark")
    assert not set(first) & set(usable(book, 7))


def test_endpoints_of_cordoned_halls_are_skipped() -> None:
    book = make_directory(300)
    book.set_cordoned(frozenset({"h0"}))
    found = usable(book, 7)
    assert found
    assert all(book._endpoints[name].row.hall != "h0" for name in found)


@hypothesis.given(
    changes=st.lists(
        st.tuples(st.integers(0, 20), st.sampled_from(["put", "move", "drop"])),
        max_size=60,
    )
)
def test_the_hash_rings_match_the_rows(changes: list[tuple[int, str]]) -> None:
    index = endpoint_index.EndpointIndex()
    held: dict[str, endpoint_state.Endpoint] = {}
    for number, change in changes:
        name = f"e{number}"
        if name in held:
            index.remove(held.pop(name))
        if change != "drop":
            hall = "h1" if change == "put" else "h2"
            row = gateway_api.EndpointRow(SERVICE, "10.0.0.1", 1, hall, "v1", 8, False)
            held[name] = endpoint_state.Endpoint(name, row)
            index.add(held[name])
    assert {e.name for e in index.of_service(SERVICE)} == set(held)
    for hall in ("h1", "h2"):
        names = [e.name for e in index.following(SERVICE, hall, 99, 50, lambda e: True)]
        assert sorted(names) == sorted(n for n, e in held.items() if e.row.hall == hall)


# -- Loads reported by peers --


def test_loads_no_longer_reported_are_removed() -> None:
    book = make_directory(90)
    names = list(book._endpoints)
    book.apply_peer_loads("a", {names[0]: endpoint_state.Load(3, 0.0)})
    book.apply_peer_loads("b", {names[0]: endpoint_state.Load(2, 0.0)})
    book.apply_peer_loads("a", {names[1]: endpoint_state.Load(1, 0.0)})
    assert [book._endpoints[n].load for n in names[:2]] == [2, 1]
    book.apply_peer_loads("a", {})
    book.apply_peer_loads("b", {})
    assert not any(book._endpoints[n].load for n in names[:2])


def test_only_the_most_loaded_endpoints_are_reported_to_other_halls() -> None:
    loads = {f"e{n}": endpoint_state.Load(n, 0.0) for n in range(500)}
    reported = mesh_halls.most_loaded(loads)
    assert len(reported) == mesh_halls.MAX_REPORTED_LOADS
    assert min(load.running for load in reported.values()) == 460


# -- Copies of changed rows --


class Pair:
    """A gateway that reads the store, and one that applies its copies."""

    def __init__(self) -> None:
        time = clock.ManualClock(100.0)
        self.scripted = rolloutcase.ScriptedStore()
        self.reader, self.kept = self._follower(time, self.scripted)
        self.standby, self.copied = self._follower(time, rolloutcase.ScriptedStore())
        self.reader_exchange = row_exchange.RowExchange([self.reader], time)
        self.standby_exchange = row_exchange.RowExchange([self.standby], time)

    def _follower(
        self, time: clock.ManualClock, store: gateway_api.SharedStore
    ) -> tuple[followers.Follower, rowcase.RecordingSink]:
        kept = rowcase.RecordingSink()
        return followers.Follower("t", store, time, kept, rowcase.fresh(time)), kept

    def read(self, version: int, *rows: tuple[str, bytes | None, int]) -> None:
        page = gateway_api.Page([gateway_api.Row(*r) for r in rows], version, 0.0)
        self.scripted.pages.append(page)
        if self.reader.version < 0:
            self.reader._read_table()
        else:
            self.reader._request_changes(self.reader.version)

    def send_copy(self) -> mesh_messages.Rows:
        """Send the gateway on standby the rows that it lacks, and return them."""
        epoch, since = self.standby_exchange.delta_base(0)
        rows = self.reader_exchange.copy(0, since, epoch)
        decoded = mesh_messages.decode(mesh_messages.encode(rows))
        assert isinstance(decoded, mesh_messages.Rows)
        self.standby_exchange.apply_copy(decoded)
        return decoded

    def agree(self) -> bool:
        same = self.reader.news().digest == self.standby.news().digest
        return same and self.kept.versions == self.copied.versions


def test_a_peer_gets_only_the_changed_rows() -> None:
    pair = Pair()
    pair.read(5, *[(f"k{n}", b"1", 5) for n in range(300)])
    assert len(pair.send_copy().rows) == 300
    pair.read(7, ("k1", b"2", 6), ("k2", None, 7))
    rows = pair.send_copy()
    assert sorted(row.key for row in rows.rows) == ["k1", "k2"]
    assert pair.agree()


def test_a_peer_that_is_too_far_behind_gets_the_whole_table() -> None:
    pair = Pair()
    pair.read(5, ("a", b"1", 5), ("b", b"1", 5))
    pair.send_copy()
    version = 10
    for n in range(followed_table.MAX_TOMBSTONES + 5):
        pair.read(version + 2 * n, (f"k{n}", b"1", version + 2 * n))
        pair.read(version + 2 * n + 1, (f"k{n}", None, version + 2 * n + 1))
    assert pair.send_copy().since == -1
    assert pair.agree()


@hypothesis.given(seed=st.integers(0, 1 << 30))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
def test_tables_agree_whatever_changes_come_between_two_copies(seed: int) -> None:
    rng = random.Random(seed)
    pair, version, live = Pair(), 5, {"a"}
    pair.read(version, ("a", b"1", version))
    for _ in range(rng.randrange(1, 25)):
        rows: list[tuple[str, bytes | None, int]] = []
        for _ in range(rng.randrange(0, 4)):
            version += 1
            key = rng.choice("abcdef")
            gone = key in live and rng.random() < 0.4
            live ^= {key} if gone or key not in live else set()
            rows.append((key, None if gone else b"x", version))
        pair.read(version, *rows)
        if rng.random() < 0.5:
            pair.send_copy()
    pair.send_copy()
    assert pair.agree()


# -- Readers --


@pytest.mark.parametrize(("gateways", "groups"), [(7, 1), (14, 1), (33, 2), (100, 8)])
def test_a_reader_serves_a_bounded_group_of_gateways(
    gateways: int, groups: int
) -> None:
    names = [f"gw-{number:03}" for number in range(gateways)]
    sizes = collections.Counter(mesh_plan.reader_group(n, gateways) for n in names)
    assert len(sizes) == groups
    assert max(sizes.values()) <= 2 * gateways / groups


def test_a_starting_gateway_requests_tables_from_a_few_peers_only() -> None:
    fleet = fleetcase.Fleet(1, 30)
    fleet.run(2.0)
    late = fleet.members[0]
    requested_from: list[str] = []

    class EmptyRowSource(fleetcase.FakeRowSource):
        """Has no rows yet, so that each copy would help."""

        def record_news(
            self, table: int, news: object, is_far: bool, epoch_age_s: float
        ) -> bool:
            return True

    def record(peer: mesh_peers.Peer, message: object) -> bool:
        requested_from.append(peer.name)
        return True

    late.mesh.source = EmptyRowSource()  # type: ignore[assignment]
    late.mesh._send = record  # type: ignore[method-assign]
    news = [mesh_messages.TableUpdate(5, 1, 0.0)]
    for member in fleet.members[1:]:
        member.table.news = lambda: news  # type: ignore[method-assign]
    fleet.run(2.0)
    assert 2 <= len(requested_from) <= 2 * (1 + 2.0 / mesh.ASK_PAUSE_S)


# -- A large hall --


@pytest.fixture(scope="module")
def hall() -> fleetcase.Fleet:
    """100 gateways in two halls."""
    fleet = fleetcase.Fleet(2, 50)
    fleet.run(4.0)
    return fleet


def test_large_halls_know_all_members_and_have_two_relays_each(
    hall: fleetcase.Fleet,
) -> None:
    assert {m.mesh.members() for m in hall.members} == {100}
    assert len(hall.hall_relays()) == 4


def test_a_halt_reaches_all_of_a_large_hall_at_once(hall: fleetcase.Fleet) -> None:
    hall.members[30].book.halt(fleetcase.SERVICE, 1, "bad")
    took_s = hall.run(2.0, until=lambda: all(m.rollout.halted for m in hall.members))
    assert took_s <= 0.3


def test_gossip_in_a_hall_does_not_grow_with_the_square_of_its_gateways(
    hall: fleetcase.Fleet,
) -> None:
    """Guards against gossip that grows with the square of a hall's gateways.

    30 kB/s are allowed for each gateway; each of 33 in a hall sent 82 kB/s while all
    sent everything to all.
    """
    before = hall.near_bytes
    hall.run(3.0)
    assert (hall.near_bytes - before) / 3.0 / 100 <= 30_000
