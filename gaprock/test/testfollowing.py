"""Property tests of followers: verified rows match the store and never go back.

A state machine steps a store, two gateways' followers of one table and the messages
between them.  Answers, heartbeats and copies may be lost, delayed or reordered;
gateways restart, and the store drops its history.
"""

import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from gaprock import (
    clock,
    followers,
    freshness,
    gateway_api,
    mesh_messages,
    row_exchange,
)
from gaprock.test import rowcase

# How far the store's clock is behind ours.
BEHIND_S: typing.Final = 70.0
KEYS: typing.Final = ("a", "b")
Rows = dict[str, int]


class ModelStore(gateway_api.SharedStore):
    """A store that answers at once; the state machine delays or drops the answers."""

    __slots__ = ("_clock", "version", "states", "history_start", "times")

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self.version = 0
        # The versions of the table's rows, at each version of the store.
        self.states: list[Rows] = [{}]
        # When each version of the store began, by its clock.
        self.times = [self.now()]
        self.history_start = 0

    def now(self) -> float:
        """Return the time by the store's clock."""
        return self._clock.now() - BEHIND_S

    def change(self, changes: dict[str, bool]) -> None:
        """Write (true) or remove (false) rows in one transaction."""
        self.version += 1
        rows = dict(self.states[-1])
        for key, is_there in changes.items():
            if is_there:
                rows[key] = self.version
            else:
                rows.pop(key, None)
        self.states.append(rows)
        self.times.append(self.now())

    def read(self, table: str) -> gateway_api.Page:
        rows = [_row(key, version) for key, version in self.states[-1].items()]
        return gateway_api.Page(rows, self.version, self.now())

    def changes(self, table: str, since: int) -> gateway_api.Page:
        if since < self.history_start:
            raise gateway_api.HistoryGone
        newest: dict[str, gateway_api.Row] = {}
        for version in range(since + 1, self.version + 1):
            before, after = self.states[version - 1], self.states[version]
            for key in {*before, *after}:
                if before.get(key) != after.get(key):
                    newest[key] = gateway_api.Row(
                        key, b"1" if key in after else None, version
                    )
        rows = sorted(newest.values(), key=lambda row: row.version)
        return gateway_api.Page(rows, self.version, self.now())


def _row(key: str, version: int) -> gateway_api.Row:
    return gateway_api.Row(key, b"1", version)


class Member:
    """One gateway."""

    def __init__(self, store: ModelStore, clock_: clock.Clock) -> None:
        self.told = rowcase.RecordingSink()
        self.fresh = freshness.Freshness(
            clock_, freshness.StoreClock(), lambda: rowcase.BOUND_S
        )
        self.follower = followers.Follower("t", store, clock_, self.told, self.fresh)
        self.exchange = row_exchange.RowExchange([self.follower], clock_)
        # Answers of the store, heartbeats and copies that are in transit to it.
        self.answers: list[gateway_api.Page] = []
        self.beats: list[mesh_messages.TableUpdate] = []
        self.copies: list[mesh_messages.Rows] = []
        # Index of the state of the store that its rows matched last.
        self.shown = 0


MEMBERS: typing.Final = st.integers(0, 1)


class Following(stateful.RuleBasedStateMachine):
    """The state machine."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock.ManualClock(100.0)
        self.store = ModelStore(self.clock)
        self.members = [Member(self.store, self.clock) for _ in range(2)]

    def teardown(self) -> None:
        """A member that asks the store at the end has its present state."""
        for member in self.members:
            self._ask(member)
            assert member.told.versions == self.store.states[-1]

    # -- The store, time and restarts --

    @stateful.rule(
        changes=st.dictionaries(st.sampled_from(KEYS), st.booleans(), max_size=2)
    )
    def change(self, changes: dict[str, bool]) -> None:
        """Change rows, or none, as a transaction on another table does."""
        self.store.change(changes)
        self.clock.advance(0.1)

    @stateful.rule()
    def time_passes(self) -> None:
        self.clock.advance(0.5)

    @stateful.rule()
    def forget(self) -> None:
        """Have the store drop its history."""
        self.store.history_start = self.store.version

    @stateful.rule(which=MEMBERS)
    def start_anew(self, which: int) -> None:
        """Restart a gateway, which then reads the table."""
        self.members[which] = Member(self.store, self.clock)
        self._ask(self.members[which])

    # -- Calls --

    @stateful.rule(which=MEMBERS)
    def ask(self, which: int) -> None:
        self._ask(self.members[which])

    def _ask(self, member: Member) -> None:
        follower = member.follower
        if follower.version < 0:
            follower._read_table()
            return
        try:
            follower._request_changes(follower.version)
        except gateway_api.HistoryGone:
            follower._read_table()

    @stateful.rule(which=MEMBERS, back=st.integers(0, 3))
    def poll_answers(self, which: int, back: int) -> None:
        """Answer a poll that began some versions ago; the answer is in transit."""
        member = self.members[which]
        if member.follower.version < 0:
            return
        since = max(0, member.follower.version - back)
        if since >= self.store.history_start:
            member.answers.append(self.store.changes("t", since))

    @stateful.rule(which=MEMBERS)
    def poll_is_read(self, which: int) -> None:
        member = self.members[which]
        if member.answers:
            member.follower._apply_answer(member.answers.pop(0), None)

    @stateful.rule(which=MEMBERS, back=st.integers(1, 3), is_there=st.booleans())
    def answer_is_overtaken(self, which: int, back: int, is_there: bool) -> None:
        """Deliver a poll's answer after the answer to a later request."""
        self.poll_answers(which, back)
        self.change({KEYS[0]: is_there})
        self.ask(which)
        self.poll_is_read(which)

    @stateful.rule(which=MEMBERS, key=st.sampled_from(KEYS))
    def answer_is_overtaken_by_a_read(self, which: int, key: str) -> None:
        """Deliver a poll's answer with a row after a read without it."""
        self.change({key: True})
        self.poll_answers(which, 0)
        self.change({key: False})
        self.forget()
        self.ask(which)
        self.poll_is_read(which)

    @stateful.rule(which=MEMBERS, key=st.sampled_from(KEYS))
    def answer_is_overtaken_by_a_beat(self, which: int, key: str) -> None:
        """Deliver a poll's answer with a row after a verification without it."""
        self.change({key: True})
        self.poll_answers(which, 0)
        self.change({key: False})
        self.time_passes()
        self.ask(1 - which)
        self.beat(1 - which)
        self.beat_comes(which, last=True)
        self.poll_is_read(which)

    # -- Messages --

    @stateful.rule(sender=MEMBERS)
    def beat(self, sender: int) -> None:
        self.members[1 - sender].beats += self.members[sender].exchange.news()

    @stateful.rule(sender=MEMBERS)
    def beats_at_once(self, sender: int) -> None:
        """Deliver two heartbeats without delay, and the copy that they trigger."""
        for _ in range(2):
            self.beat(sender)
            self.beat_comes(1 - sender, last=True)
            self.clock.advance(followers.MAX_LAG_S)
        self.copy_comes(1 - sender)

    @stateful.rule(which=MEMBERS, last=st.booleans())
    def beat_comes(self, which: int, last: bool) -> None:
        """Deliver a heartbeat, and request a copy if it would help."""
        member, peer = self.members[which], self.members[1 - which]
        if not member.beats:
            return
        news = member.beats.pop(-1 if last else 0)
        if member.exchange.record_news(0, news):
            member.copies.append(peer.exchange.copy(0))

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
            assert member.told.versions in self.store.states[known:]

    @stateful.invariant()
    def rows_never_go_back(self) -> None:
        """Each member passes through the states of the store in their order."""
        for member in self.members:
            later = self.store.states[member.shown :]
            if not member.told.versions and not member.shown:
                continue
            assert member.told.versions in later
            member.shown += later.index(member.told.versions)


TestFollowing = Following.TestCase
TestFollowing.settings = hypothesis.settings(
    derandomize=True, max_examples=300, stateful_step_count=40, deadline=None
)


def test_a_row_that_is_gone_is_not_proved_by_one_who_never_had_it() -> None:
    world = Following()
    world.change({"b": True})
    world.change({"a": True})
    world.ask(0)
    world.ask(1)
    # The second member's poll does not report the removal, and the first member
    # restarts: both know the same newest change, but have different rows.
    world.change({"b": False})
    world.time_passes()
    world.start_anew(0)
    world.beats_at_once(0)
    world.verified_rows_are_true()


def test_a_row_that_is_gone_does_not_come_back_with_an_older_copy() -> None:
    world = Following()
    world.change({"a": True})
    world.change({"b": True})
    world.ask(1)
    world.change({"b": False})
    # The restarted member has read a newer version of the store than member 1 has, but
    # its newest change is older: the removal is not in what it read.
    late = world.members[1].exchange.copy(0)
    world.start_anew(0)
    world.beats_at_once(1)
    assert set(world.members[0].told.versions) == {"a"}
    # A copy that was requested before arrives now.
    world.members[0].exchange.apply_copy(late)
    assert set(world.members[0].told.versions) == {"a"}


def test_a_row_that_is_gone_does_not_come_back_with_an_older_answer() -> None:
    # Guards against judging an answer by the newest change instead of the last read.
    world = Following()
    world.answer_is_overtaken(0, 1, False)
    world.change({"a": True})
    # This answer has the row, and stays in transit.
    world.poll_answers(0, 0)
    world.forget()
    # The row is removed, the member reads the whole table, and then the answer arrives.
    world.answer_is_overtaken(0, 1, False)
    world.verified_rows_are_true()
    world.rows_never_go_back()
    world.teardown()


def test_rows_are_not_verified_for_a_moment_after_the_answer_that_brought_them() -> (
    None
):
    # Guards against a peer's verification counting for rows that were in transit.
    world = Following()
    world.start_anew(0)
    world.change({"a": True})
    # This answer has the row, and stays in transit while the row is removed.
    world.poll_answers(0, 0)
    world.change({"a": False})
    world.time_passes()
    # A peer without the row verifies the same newest change for a later moment.
    world.start_anew(1)
    world.beat(1)
    world.beat_comes(0, True)
    world.poll_is_read(0)
    world.verified_rows_are_true()
