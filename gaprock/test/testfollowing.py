"""Followers under chance: what they say of a table is true, and never goes back.

A store, two gateways' followers of one table and the messages between them are moved
step by step.  Answers, beats and copies may be lost, come late and overtake each other;
gateways start anew, and the store forgets its history.
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

# The store's clock is this far behind ours, seconds.
BEHIND_S: typing.Final = 70.0
KEYS: typing.Final = ("a", "b")
Rows = dict[str, int]


class ModelStore(gateway_api.SharedStore):
    """A store that answers at once; what becomes of an answer is the machine's."""

    __slots__ = ("_clock", "version", "states", "history_start", "times")

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self.version = 0
        # The table's rows as versions, by the version of the store.
        self.states: list[Rows] = [{}]
        # When each version began, by the store's clock.
        self.times = [self.now()]
        self.history_start = 0

    def now(self) -> float:
        """The store's clock."""
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
    """One gateway's side."""

    def __init__(self, store: ModelStore, clock_: clock.Clock) -> None:
        self.told = rowcase.RecordingSink()
        self.fresh = freshness.Freshness(
            clock_, freshness.StoreClock(), lambda: rowcase.BOUND_S
        )
        self.follower = followers.Follower("t", store, clock_, self.told, self.fresh)
        self.exchange = row_exchange.RowExchange([self.follower], clock_)
        # Answers of the store, beats and copies that are under way to it.
        self.answers: list[gateway_api.Page] = []
        self.beats: list[mesh_messages.TableNews] = []
        self.copies: list[mesh_messages.Rows] = []
        # The state of the store that it showed last.
        self.shown = 0


MEMBERS: typing.Final = st.integers(0, 1)


class Following(stateful.RuleBasedStateMachine):
    """The machine."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock.ManualClock(100.0)
        self.store = ModelStore(self.clock)
        self.members = [Member(self.store, self.clock) for _ in range(2)]

    def teardown(self) -> None:
        """A member that asks at the end knows all."""
        for member in self.members:
            self._ask(member)
            assert member.told.versions == self.store.states[-1]

    # -- The world --

    @stateful.rule(
        changes=st.dictionaries(st.sampled_from(KEYS), st.booleans(), max_size=2)
    )
    def change(self, changes: dict[str, bool]) -> None:
        """Rows change, or none: another table has a transaction."""
        self.store.change(changes)
        self.clock.advance(0.1)

    @stateful.rule()
    def time_passes(self) -> None:
        self.clock.advance(0.5)

    @stateful.rule()
    def forget(self) -> None:
        """The store forgets its history."""
        self.store.history_start = self.store.version

    @stateful.rule(which=MEMBERS)
    def start_anew(self, which: int) -> None:
        """A gateway is another process now, and has read the table."""
        self.members[which] = Member(self.store, self.clock)
        self._ask(self.members[which])

    # -- Calls --

    @stateful.rule(which=MEMBERS)
    def ask(self, which: int) -> None:
        self._ask(self.members[which])

    def _ask(self, member: Member) -> None:
        follower = member.follower
        if follower.version < 0:
            follower._read()
            return
        try:
            follower._ask(follower.version)
        except gateway_api.HistoryGone:
            follower._read()

    @stateful.rule(which=MEMBERS, back=st.integers(0, 3))
    def poll_answers(self, which: int, back: int) -> None:
        """A poll that began some versions ago is answered; the answer is under way."""
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
            member.follower._take_answer(member.answers.pop(0), None)

    @stateful.rule(which=MEMBERS, back=st.integers(1, 3), is_there=st.booleans())
    def answer_is_overtaken(self, which: int, back: int, is_there: bool) -> None:
        """A poll's answer comes after that to a later question."""
        self.poll_answers(which, back)
        self.change({KEYS[0]: is_there})
        self.ask(which)
        self.poll_is_read(which)

    # -- Messages --

    @stateful.rule(sender=MEMBERS)
    def beat(self, sender: int) -> None:
        self.members[1 - sender].beats += self.members[sender].exchange.news()

    @stateful.rule(sender=MEMBERS)
    def beats_at_once(self, sender: int) -> None:
        """Two beats come without delay, and what they bring about."""
        for _ in range(2):
            self.beat(sender)
            self.beat_comes(1 - sender, last=True)
            self.clock.advance(followers.BEHIND_S)
        self.copy_comes(1 - sender)

    @stateful.rule(which=MEMBERS, last=st.booleans())
    def beat_comes(self, which: int, last: bool) -> None:
        """A beat comes, and a copy is asked for where that helps."""
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

    # -- What holds --

    @stateful.invariant()
    def a_proof_is_true(self) -> None:
        """What is proved for a moment shows the store of that moment or a later one."""
        for member in self.members:
            stamp = member.fresh.stamp
            if not stamp:
                continue
            known = sum(at <= stamp for at in self.store.times) - 1
            # Changes at the very moment of the proof may be on either side of it.
            while known > 0 and self.store.times[known] == stamp:
                known -= 1
            assert member.told.versions in self.store.states[known:]

    @stateful.invariant()
    def nothing_goes_back(self) -> None:
        """Each member shows states of the store in their order."""
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
    # The second one's poll is deaf, and the first one starts anew: its newest change is
    # the same, and its rows are not.
    world.change({"b": False})
    world.time_passes()
    world.start_anew(0)
    world.beats_at_once(0)
    world.a_proof_is_true()


def test_a_row_that_is_gone_does_not_come_back_with_an_older_copy() -> None:
    world = Following()
    world.change({"a": True})
    world.change({"b": True})
    world.ask(1)
    world.change({"b": False})
    # What it has read is newer than the other one's newest change, which it lacks.
    late = world.members[1].exchange.copy(0)
    world.start_anew(0)
    world.beats_at_once(1)
    assert set(world.members[0].told.versions) == {"a"}
    # One that was asked for before comes now.
    world.members[0].exchange.apply_copy(late)
    assert set(world.members[0].told.versions) == {"a"}
