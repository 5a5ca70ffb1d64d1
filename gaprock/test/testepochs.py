"""Followers of a store that is restored from a backup: property tests and examples.

A state machine steps a store, several gateways' followers of one table and the messages
between them.  Answers, heartbeats and copies may be lost, delayed or reordered;
gateways restart, and the store is restored from an older copy of itself.
"""

import typing

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from gaprock import (
    clock,
    followers,
    freshness,
    gateway_api,
    mesh_messages,
    row_exchange,
    store_epochs,
)
from gaprock.platform import store as platform_store
from gaprock.test import gatewaysite, rowcase
from gaprock.test.fakes import httpfake, metastore

# How far the store's clock is behind ours.
BEHIND_S: typing.Final = 70.0
KEYS: typing.Final = ("a", "b")
COUNT: typing.Final = 3
MEMBERS: typing.Final = st.integers(0, COUNT - 1)


class Change(typing.NamedTuple):
    """A row that was written or removed."""

    version: int
    key: str
    value: bytes | None


class ModelStore(gateway_api.SharedStore):
    """A store that answers at once; the state machine delays or drops the answers."""

    __slots__ = ("_clock", "_serial", "epoch", "version", "history", "shown", "times")

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._serial = 0
        self.epoch = self.version = 0
        self.history: list[Change] = []
        # The successive states of the table, as values by key, and when each began.
        self.shown: list[dict[str, bytes]] = [{}]
        self.times = [self.now()]

    def now(self) -> float:
        """Return the time by the store's clock."""
        return self._clock.now() - BEHIND_S

    def rows(self) -> dict[str, gateway_api.Row]:
        """Return the present rows of the table."""
        found: dict[str, gateway_api.Row] = {}
        for version, key, value in self.history:
            found.pop(key, None)
            if value is not None:
                found[key] = gateway_api.Row(key, value, version)
        return found

    def change(self, key: str, is_there: bool) -> None:
        """Write or remove a row; no value is written twice."""
        self.version += 1
        self._serial += 1
        value = str(self._serial).encode() if is_there else None
        self.history.append(Change(self.version, key, value))
        self._show()

    def restore(self, back: int) -> None:
        """Restore a copy that lacks the latest versions."""
        self.epoch += 1
        self.version = max(0, self.version - back)
        self.history = [one for one in self.history if one.version <= self.version]
        self._show()

    def _show(self) -> None:
        rows = self.rows().values()
        self.shown.append({row.key: row.value or b"" for row in rows})
        self.times.append(self.now())

    def read(self, table: str) -> gateway_api.Page:
        rows = list(self.rows().values())
        return gateway_api.Page(rows, self.version, self.now(), self.epoch)

    def changes(self, table: str, since: int) -> gateway_api.Page:
        if since > self.version:
            raise gateway_api.HistoryGone
        newest = {one.key: one for one in self.history if one.version > since}
        rows = sorted(newest.values(), key=lambda one: one.version)
        found = [gateway_api.Row(one.key, one.value, one.version) for one in rows]
        return gateway_api.Page(found, self.version, self.now(), self.epoch)


class Member:
    """One gateway."""

    def __init__(self, store: ModelStore, clock_: clock.Clock) -> None:
        self.store = store
        self.told = rowcase.RecordingSink()
        self.epochs = store_epochs.EpochTracker(clock_)
        self.fresh = freshness.Freshness(
            clock_, freshness.StoreClock(), lambda: rowcase.BOUND_S
        )
        self.follower = followers.Follower(
            "t", store, clock_, self.told, self.fresh, epochs=self.epochs
        )
        self.exchange = row_exchange.RowExchange([self.follower], clock_, self.epochs)
        # Answers of the store, heartbeats and copies that are in transit to it.
        self.answers: list[gateway_api.Page] = []
        self.beats: list[mesh_messages.TableUpdate] = []
        self.copies: list[mesh_messages.Rows] = []
        # Index of the state of the store that its rows matched last.
        self.shown = 0

    def ask(self) -> None:
        """Make the next call as the follower's thread would."""
        follower = self.follower
        self.epochs.record(self.store.epoch, "store")
        if follower.version < 0 or follower._is_outdated:
            follower._read_table()
            return
        try:
            follower._request_changes(follower.version)
        except gateway_api.HistoryGone:
            follower._read_table()

    def take_answer(self, page: gateway_api.Page, asked_in: int | None = None) -> None:
        """Apply the answer to a poll, which may belong to an earlier epoch.

        :param asked_in: the epoch in which it was asked; the answer's own if ``None``.
        """
        self.epochs.record(page.epoch, "store")
        try:
            self.follower._apply_answer(page, None, asked_in)
        except (gateway_api.HistoryGone, gateway_api.StoreError):
            # The next call reads the whole table.
            return


class Restoring(stateful.RuleBasedStateMachine):
    """The state machine."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock.ManualClock(100.0)
        self.store = ModelStore(self.clock)
        self.members = [Member(self.store, self.clock) for _ in range(COUNT)]

    def teardown(self) -> None:
        """A member that asks the store at the end has its present state."""
        for member in self.members:
            member.ask()
            assert member.told.values == self.store.shown[-1]

    # -- The store, time and restarts --

    @stateful.rule(key=st.sampled_from(KEYS), is_there=st.booleans())
    def change(self, key: str, is_there: bool) -> None:
        self.store.change(key, is_there)
        self.clock.advance(0.1)

    @stateful.rule(
        back=st.integers(0, 4), since=st.lists(st.sampled_from(KEYS), max_size=5)
    )
    def restore(self, back: int, since: list[str]) -> None:
        """Restore the store, and write rows before any gateway calls."""
        self.store.restore(back)
        self.clock.advance(0.1)
        for key in since:
            self.change(key, True)

    @stateful.rule()
    def time_passes(self) -> None:
        self.clock.advance(0.5)

    @stateful.rule(which=MEMBERS)
    def start_anew(self, which: int) -> None:
        """Restart a gateway, which then reads the table."""
        self.members[which] = Member(self.store, self.clock)
        self.members[which].ask()

    # -- Calls --

    @stateful.rule(which=MEMBERS)
    def ask(self, which: int) -> None:
        self.members[which].ask()

    @stateful.rule(which=MEMBERS)
    def poll_is_answered(self, which: int) -> None:
        """Have the store answer a poll; the answer is in transit."""
        member = self.members[which]
        since = member.follower.version
        if 0 <= since <= self.store.version:
            member.answers.append(self.store.changes("t", since))

    @stateful.rule(which=MEMBERS)
    def answer_comes(self, which: int) -> None:
        member = self.members[which]
        if member.answers:
            member.take_answer(member.answers.pop(0))

    @stateful.rule(
        which=MEMBERS,
        peer=MEMBERS,
        back=st.integers(1, 4),
        since=st.lists(st.sampled_from(KEYS), max_size=5),
    )
    def poll_outlives_a_restore(
        self, which: int, peer: int, back: int, since: list[str]
    ) -> None:
        """Answer a poll of the epoch before, after a copy has brought the new one."""
        member = self.members[which]
        version, epoch = member.follower._position()
        self.restore(back, [])
        self.members[peer].ask()
        member.exchange.apply_copy(self.members[peer].exchange.copy(0))
        for key in since:
            self.change(key, True)
        if 0 <= version <= self.store.version:
            member.take_answer(self.store.changes("t", version), epoch)

    # -- Messages --

    @stateful.rule(sender=MEMBERS, to=MEMBERS)
    def beat(self, sender: int, to: int) -> None:
        self.members[to].beats += self.members[sender].exchange.news()

    @stateful.rule(which=MEMBERS, peer=MEMBERS, last=st.booleans())
    def beat_comes(self, which: int, peer: int, last: bool) -> None:
        """Deliver a heartbeat, and request a copy if it would help."""
        member, other = self.members[which], self.members[peer]
        if not member.beats:
            return
        news = member.beats.pop(-1 if last else 0)
        if member.exchange.record_news(0, news):
            epoch, since = member.exchange.delta_base(0)
            member.copies.append(other.exchange.copy(0, since, epoch))

    @stateful.rule(which=MEMBERS, peer=MEMBERS)
    def beats_at_once(self, which: int, peer: int) -> None:
        """Deliver two heartbeats without delay, and the copy that they trigger."""
        for _ in range(2):
            self.beat(peer, which)
            self.beat_comes(which, peer, last=True)
            self.clock.advance(followers.MAX_LAG_S)
        self.copy_comes(which)

    @stateful.rule(which=MEMBERS)
    def copy_comes(self, which: int) -> None:
        member = self.members[which]
        if member.copies:
            member.exchange.apply_copy(member.copies.pop(0))

    # -- Invariants --

    @stateful.invariant()
    def verified_rows_are_true(self) -> None:
        """Rows verified for a moment match the store at that moment or later."""
        for member in self.members:
            store_time = member.fresh.verified_store_time
            if not store_time:
                continue
            known = sum(at <= store_time for at in self.store.times) - 1
            # Changes at exactly the verified moment may be included or not.
            while known > 0 and self.store.times[known] == store_time:
                known -= 1
            assert member.told.values in self.store.shown[known:]

    @stateful.invariant()
    def rows_never_go_back(self) -> None:
        """Each member passes through the states of the store in their order."""
        for member in self.members:
            later = self.store.shown[member.shown :]
            if not member.told.values and not member.shown:
                continue
            assert member.told.values in later
            shows = [values == member.told.values for values in later]
            member.shown += shows.index(True)


TestRestoring = Restoring.TestCase
TestRestoring.settings = hypothesis.settings(
    derandomize=True, max_examples=300, stateful_step_count=40, deadline=None
)


# -- Examples --


class LoneMember(Member):
    """A member without peers that has a store of its own."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(100.0)
        super().__init__(ModelStore(self.time), self.time)
        self.store.change("a", True)
        self.ask()


def test_a_verification_of_another_epoch_is_ignored() -> None:
    one = LoneMember()
    verified_at = one.fresh.verified_at
    one.time.advance(1.0)
    news = one.follower.news()
    other = mesh_messages.TableUpdate(
        news.changed, news.digest, one.store.now(), news.epoch + 1, news.version
    )
    one.follower.record_verification(other)
    assert one.fresh.verified_at == verified_at


def test_an_answer_of_a_new_epoch_causes_a_full_read() -> None:
    # Guards against changes missed under versions that a restored store reuses.
    one = LoneMember()
    for _ in range(4):
        one.store.change("a", True)
    one.ask()
    told = dict(one.told.values)
    since = one.follower.version
    one.store.restore(3)
    one.store.change("b", True)
    for _ in range(3):
        one.store.change("a", True)
    with pytest.raises(gateway_api.HistoryGone):
        one.follower._apply_answer(one.store.changes("t", since), None)
    assert one.told.values == told
    one.ask()
    assert one.told.values == one.store.shown[-1]


def test_an_answer_of_an_earlier_epoch_is_dropped() -> None:
    one = LoneMember()
    late = one.store.read("t")
    one.store.restore(0)
    one.store.change("a", True)
    one.ask()
    told = dict(one.told.values)
    with pytest.raises(gateway_api.StoreError):
        one.follower._apply_answer(late, None)
    assert one.told.values == told


class RestoredMeanwhile(ModelStore):
    """A store that is restored while it answers a request for changes."""

    __slots__ = ("on_request",)

    def __init__(self, clock_: clock.Clock) -> None:
        self.on_request: typing.Callable[[], None] | None = None
        super().__init__(clock_)

    def changes(self, table: str, since: int) -> gateway_api.Page:
        call, self.on_request = self.on_request, None
        if call is not None:
            call()
        return super().changes(table, since)


def test_an_answer_to_a_request_of_an_earlier_epoch_loses_no_changes() -> None:
    # Guards against an answer that starts at a version of the epoch before.
    time = clock.ManualClock(100.0)
    store = RestoredMeanwhile(time)
    one = Member(store, time)
    for _ in range(5):
        store.change("a", True)
    one.ask()

    def restore() -> None:
        store.restore(3)
        # A peer that has read the restored store sends its copy.
        one.follower.apply_copy(store.read("t"))
        store.change("b", True)
        for _ in range(3):
            store.change("a", True)

    store.on_request = restore
    one.ask()
    for _ in range(2):
        one.ask()
    assert one.told.values == store.shown[-1]


class NeverChecks(freshness.Freshness):
    """Has no check due, so only a poll brings changes."""

    __slots__ = ()

    @property
    def is_check_due(self) -> bool:
        return False


@pytest.mark.parametrize("kind", [freshness.Freshness, NeverChecks])
def test_a_poll_that_outlives_a_restore_is_abandoned(
    kind: type[freshness.Freshness],
) -> None:
    # Guards against polling on from a version of the epoch before.
    with rowcase.FollowedStore(kind=kind) as one:
        store = one.store
        for number in range(2, 6):
            store.put(rowcase.TABLE, "a", number)
        gatewaysite.wait_until(lambda: one.kept.values == {"a": b"5"}, "it is read")
        gatewaysite.wait_until(lambda: bool(store.open_polls), "a poll waits")
        store.withholds_restores = True
        store.restore(2)
        copy = [gateway_api.Row("a", b"2", 2)]
        one.follower.apply_copy(gateway_api.Page(copy, 2, 0.0, store.epoch))
        # These reuse the version from which the poll was started, and pass it.
        for key in "bcdef":
            store.put(rowcase.TABLE, key, 1)
        gatewaysite.wait_until(lambda: one.kept.keys == set("abcdef"), "all are known")


def test_a_peer_of_an_earlier_epoch_gets_the_whole_table() -> None:
    one = LoneMember()
    for _ in range(3):
        one.store.change("b", True)
    one.ask()
    epoch, since = one.exchange.delta_base(0)
    one.store.restore(2)
    one.ask()
    assert one.exchange.copy(0, since, epoch).since == -1


def test_a_table_is_read_anew_when_a_peer_tells_a_restore_of_another() -> None:
    with rowcase.FollowedStore(metastore.MetaStoreFake()) as one:
        store, follower = one.store, one.follower
        for number in range(2, 30):
            store.put(rowcase.TABLE, "a", number)
        gatewaysite.wait_until(
            lambda: one.kept.values == {"a": b"29"}, "the table is known"
        )
        gatewaysite.wait_until(
            lambda: rowcase.TABLE in store.open_polls, "a poll waits"
        )
        exchange = row_exchange.RowExchange(
            [LoneMember().follower, follower], follower._clock, follower._epochs
        )
        # No call of ours is due, so only the report of a peer can cause the read.
        one.fresh.verified_at = clock.NEVER
        store.withholds_restores = True
        store.restore(3)
        store.put(rowcase.TABLE, "b", 1)
        exchange.record_news(0, mesh_messages.TableUpdate(4, 0, 0.0, store.epoch))
        gatewaysite.wait_until(lambda: "b" in one.kept.keys, "it is read again")


class WithoutHistory(ModelStore):
    """A store that answers reads but has no history of changes."""

    __slots__ = ()

    def changes(self, table: str, since: int) -> gateway_api.Page:
        raise gateway_api.HistoryGone


class PauseRecorder(followers.Follower):
    """A follower that records its pauses, and stops after six."""

    pauses: list[float]

    def _wait_before_retry(self, pause_s: float, retry_after_s: float = 0.0) -> None:
        self.pauses.append(pause_s)
        if len(self.pauses) == 6:
            self.stop()


def test_a_store_that_answers_410_for_long_is_asked_with_pauses() -> None:
    time = clock.ManualClock(100.0)
    fresh = freshness.Freshness(time, freshness.StoreClock(), lambda: 0.0)
    one = PauseRecorder("t", WithoutHistory(time), time, rowcase.RecordingSink(), fresh)
    one.pauses = []
    # Each verification is stale at once, so changes are requested.
    one.disconnected_at = 1.0
    one._run()
    assert one.pauses[0] == followers.FIRST_PAUSE_S
    assert one.pauses[-1] == followers.LONGEST_PAUSE_S
    assert one.pauses == sorted(one.pauses)


# -- How the adapter reads epochs --


class Client:
    """The adapter with a fake store, and the epochs that it reports."""

    def __init__(self) -> None:
        self.fake = metastore.MetaStoreFake()
        self.fake.start()
        self.store = platform_store.PlatformStore(f"127.0.0.1:{self.fake.port}")
        self.told: list[int] = []
        self.store.watch_epoch(self.told.append)


@pytest.fixture
def client() -> typing.Iterator[Client]:
    made = Client()
    yield made
    made.fake.stop()


@pytest.mark.parametrize("odd", ["", "x", "-1", "1e9", "1000000000", "1, 2", "9" * 40])
def test_what_is_no_epoch_changes_none_and_the_rows_are_read(
    client: Client, odd: str
) -> None:
    client.fake.epoch = 7
    client.fake.put("t", "a", 1)
    assert client.store.read("t").epoch == 7
    for text, expected in ((odd, 7), (None, 7), ("6", 6), ("9", 9)):
        client.fake.faults["epoch"] = text
        page = client.store.read("t")
        assert page.epoch == expected
        assert [row.key for row in page.rows] == ["a"]
    assert client.told == [7, 9]


@pytest.mark.parametrize("status", [410, 412, 429, 503])
def test_the_epoch_is_read_from_answers_of_every_status(
    client: Client, status: int
) -> None:
    client.fake.epoch, client.fake.faults["refuse"] = 3, status
    try:
        client.store.commit([gateway_api.Write("t", "a", b"1")])
    except (gateway_api.StoreError, gateway_api.HistoryGone):
        pass
    assert client.told == [3]


def test_a_reading_of_several_pages_is_of_one_epoch(client: Client) -> None:
    for number in range(2 * metastore.PAGE_ROWS):
        client.fake.put("t", f"k{number}", 1)
    pages = client.fake._get

    def restored_between(query: dict[str, str]) -> httpfake.Reply:
        client.fake.epoch += 1
        return pages(query)

    client.fake._get = restored_between  # type: ignore[method-assign]
    with pytest.raises(gateway_api.StoreError):
        client.store.read("t")
