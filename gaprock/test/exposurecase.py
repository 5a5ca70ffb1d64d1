"""A rollout played by several gateways, whose endpoints, store and links misbehave."""

import collections
import heapq
import random
import typing
import zlib

import msgspec

from gaprock import (
    clock,
    evidence,
    gateway_api,
    gateway_rows,
    rollout_latency,
    rollout_state,
    rollouts,
)
from gaprock.platform import wire
from gaprock.test import rolloutcase

SERVICE: typing.Final = "llm"
REVISION: typing.Final = 1
SHARE: typing.Final = 0.15
SLACK: typing.Final = 30.0
TICK_S: typing.Final = 0.1
BEAT_S: typing.Final = 0.2
# The usual time of an answer, and the spread of the logarithm of times.
ANSWER_S: typing.Final = 0.3
SPREAD: typing.Final = 0.35
OLD_BAD: typing.Final = 0.02
# Traffic before the order, in which gateways know each other and sessions begin.
BEFORE_S: typing.Final = 8.0


class Badness(typing.NamedTuple):
    """How a new version fails.

    :param rate: the share of its answers that are bad.
    :param since_s: when that begins, after the order.
    :param above: the share of the sends above which it fails.
    """

    rate: float
    since_s: float = 0.0
    above: float = 0.0
    #: How many times longer a bad answer takes; with 1.0, it fails instead.
    slow_x: float = 1.0


class Trouble(typing.NamedTuple):
    """A fault.

    :param kind: ``kill``, ``cut``, ``away`` (the store) or ``burst``.
    :param at_s: when it begins, after the order.
    :param for_s: how long it lasts.
    :param gateways: which gateways it hits.
    """

    kind: str
    at_s: float
    for_s: float
    gateways: frozenset[int]


class Member:
    """The parts of one gateway process that take part in a rollout."""

    def __init__(self, name: str, play: "Play") -> None:
        self.book = evidence.EvidenceBook(f"{name}/{play.clock.now()}")
        self.rollouts = rollouts.Rollouts(
            play.clock,
            SHARE,
            self.book,
            canary_slack=SLACK,
            count_gateways=lambda: play.gateways,
        )
        self.mesh, self.writer = rolloutcase.make_writer(
            name, play.clock, play.store, self.rollouts, self.book
        )
        # Some requests run on the old version until the end.
        self.mesh.own_on_old_version = lambda service: 1
        dialect = wire.PlatformDialect()
        self.orders = gateway_rows.OrderRows(
            play.clock, dialect, self.rollouts, lambda halls: None
        )
        self.outcomes = gateway_rows.OutcomeRows(
            play.clock, dialect, self.rollouts, self.writer
        )
        self.has_read = False
        self.started_at = play.clock.now()


class Play:
    """One rollout from before its order to its end.

    :param rate: sends a second to the service.
    :param beat_lag_s: how late heartbeats arrive.
    :param named: the share of requests that belong to a session.
    :param mixed: the share of a session's requests that come through any gateway; the
        others come through one.
    :param endpoints: how many each version has.
    :param slow_endpoints: how many of the new version's endpoints are slow by
        themselves.
    :param slow_x: how many times longer these take.
    """

    def __init__(
        self,
        seed: int,
        gateways: int,
        rate: float,
        finish_s: float,
        badness: Badness | None,
        troubles: typing.Sequence[Trouble] = (),
        beat_lag_s: float = 0.1,
        named: float = 0.5,
        mixed: float = 0.1,
        endpoints: int = 6,
        slow_endpoints: int = 0,
        slow_x: float = 1.0,
    ) -> None:
        self.rng = random.Random(seed)
        self._times = random.Random(seed + 1)
        self._names = [f"e{n}" for n in range(endpoints)]
        slow = self._times.sample(self._names, slow_endpoints)
        self._endpoint_x = dict.fromkeys(slow, slow_x)
        self.clock = clock.ManualClock(100.0)
        self.rate, self.finish_s, self.badness = rate, finish_s, badness
        self.troubles = troubles
        self.beat_lag_s, self.named, self.mixed = beat_lag_s, named, mixed
        self.store = rolloutcase.ModelStore()
        self.ordered_at = self.clock.now() + BEFORE_S
        self.order: gateway_api.Row | None = None
        self.sends = self.exposed = 0
        # Requests of a session that left the new version, or the old one in the first
        # half of the time.
        self.moved_back = 0
        self.moved_early = 0
        self.completed_at = clock.NEVER
        self._versions: dict[str, tuple[str, float]] = {}
        self._recent: collections.deque[bool] = collections.deque(maxlen=40)
        # Answers that are to come: when, a number, the gateway, and the answer.
        self._answers: list[
            tuple[float, int, Member, str, rollout_latency.VersionSample]
        ] = []
        self._beats: collections.deque[tuple[float, int, typing.Any]] = (
            collections.deque()
        )
        self._started: set[Trouble] = set()
        self._sessions = [f"s{n}" for n in range(60)]
        self._numbers = 0
        self.gateways = gateways
        self.members = [Member(f"g{n}", self) for n in range(gateways)]
        for member in self.members:
            self._read(member)

    @property
    def allowed(self) -> float:
        """The exposure that the rollout allowed."""
        return SHARE * self.sends + SLACK

    @property
    def is_completed(self) -> bool:
        return self.completed_at < self.ordered_at + self.finish_s

    def run(self) -> None:
        """Play until the end of the rollout's time."""
        due = 0.0
        tick = 0
        while self.clock.now() < self.ordered_at + self.finish_s:
            self.clock.advance(TICK_S)
            tick += 1
            if self.order is None and self.clock.now() >= self.ordered_at:
                document = {
                    "Service": SERVICE,
                    "ToVersion": "v2",
                    "FinishByS": self.finish_s,
                }
                key = f"rollout/{SERVICE}"
                value = msgspec.json.encode(document)
                self.order = gateway_api.Row(key, value, REVISION)
            self._start_troubles()
            due += self.rate * TICK_S * (3.0 if self._is_on("burst") else 1.0)
            while due >= 1.0:
                due -= 1.0
                self._send()
            self._answer()
            if tick % round(BEAT_S / TICK_S) == 0:
                self._beat()
                for member in self.members:
                    self._read(member)
                    member.rollouts.judge_all()
                    member.writer.step()
            self._receive()

    def _is_on(self, kind: str, gateway: int | None = None) -> bool:
        elapsed_s = self.clock.now() - self.ordered_at
        return any(
            t.kind == kind
            and t.at_s <= elapsed_s < t.at_s + t.for_s
            and (gateway is None or gateway in t.gateways)
            for t in self.troubles
        )

    def _start_troubles(self) -> None:
        elapsed_s = self.clock.now() - self.ordered_at
        self.store.is_away = self._is_on("away")
        for trouble in self.troubles:
            if trouble.at_s <= elapsed_s and trouble not in self._started:
                self._started.add(trouble)
                if trouble.kind == "kill":
                    for n in trouble.gateways:
                        if n < len(self.members):
                            self.members[n] = Member(f"g{n}", self)

    def _read(self, member: Member) -> None:
        """A gateway reads the store."""
        if self.store.is_away:
            return
        whole, member.has_read = not member.has_read, True
        row = self.store.row
        if row is not None:
            member.orders.starts[(SERVICE, REVISION)] = rollout_state.StoredStart(
                self.ordered_at, self.store.has_moved
            )
            page = gateway_api.Page([row], row.version, 0.0)
            member.outcomes.apply_page(page, whole=False)
            state = msgspec.json.decode(row.value or b"")["State"]
            if state == "completed":
                self.completed_at = min(self.completed_at, self.clock.now())
        if self.order is not None:
            page = gateway_api.Page([self.order], REVISION, 0.0)
            member.orders.apply_page(page, whole=whole)

    def _send(self) -> None:
        """A request arrives at a gateway and is sent to an endpoint."""
        now = self.clock.now()
        if self.rng.random() < self.named:
            # Some sessions are much busier than others.
            session = self._sessions[int(len(self._sessions) * self.rng.random() ** 2)]
            is_named = True
        else:
            self._numbers += 1
            session, is_named = f"r{self._numbers}", False
        # The balancer's weights are uneven.
        n = min(self.rng.randrange(len(self.members)) for _ in range(2))
        if is_named and self.rng.random() >= self.mixed:
            n = zlib.crc32(session.encode()) % len(self.members)
        member = self.members[n]
        names: typing.Collection[str] = self._names
        if self.order is None or self.completed_at < clock.NEVER:
            is_new = self.order is not None
        else:
            assignment = member.rollouts.assignment(SERVICE, session, is_named)
            is_new = assignment is not None and assignment.on_new
            if is_new:
                near = self._names[n :: len(self.members)]
                names = member.rollouts.allowed_endpoints(assignment, self._names, near)
        version = "v2" if is_new else "v1"
        if is_named:
            self._record_move(session, version, member)
            member.rollouts.record_session(SERVICE, session, version)
        member.rollouts.record_send(SERVICE, version)
        if self.order is not None:
            self.sends += 1
            self.exposed += is_new
        self._recent.append(is_new)
        endpoint = self._times.choice(sorted(names))
        is_bad = self._is_bad(is_new)
        is_slow = is_bad and self.badness is not None and self.badness.slow_x > 1.0
        took_s = ANSWER_S * self._times.lognormvariate(0.0, SPREAD)
        if is_new:
            took_s *= self._endpoint_x.get(endpoint, 1.0)
        if is_slow and is_new:
            assert self.badness is not None
            took_s *= self.badness.slow_x
        sample = rollout_latency.VersionSample(
            is_bad and not (is_slow and is_new),
            took_s,
            endpoint=endpoint,
            age_s=took_s,
        )
        entry = (now + took_s, self._numbers + self.sends, member, version, sample)
        heapq.heappush(self._answers, entry)

    def _record_move(self, session: str, version: str, member: Member) -> None:
        """Count a move, unless the gateway was killed since the session's last request.

        A session that has been idle for as long as five seconds may move.
        """
        now = self.clock.now()
        before, at = self._versions.get(session, (version, now))
        self._versions[session] = (version, now)
        if before != version and now < at + 5.0 and at > member.started_at:
            self.moved_back += version == "v1"
            half_at = self.ordered_at + self.finish_s / 2
            self.moved_early += version == "v2" and now < half_at

    def _is_bad(self, is_new: bool) -> bool:
        badness, rate = self.badness, OLD_BAD
        if is_new and badness is not None:
            is_due = self.clock.now() >= self.ordered_at + badness.since_s
            share = sum(self._recent) / len(self._recent)
            if is_due and share >= badness.above:
                rate = badness.rate
        return self.rng.random() < rate

    def _answer(self) -> None:
        while self._answers and self._answers[0][0] <= self.clock.now():
            _, _, member, version, sample = heapq.heappop(self._answers)
            if member in self.members:
                member.rollouts.judge_answer(SERVICE, version, "r1", "m", sample)

    def _beat(self) -> None:
        for n, member in enumerate(self.members):
            if self._is_on("cut", n):
                continue
            _, counters = member.book.since(0)
            content = (list(counters), member.mesh._rollout_news())
            self._beats.append((self.clock.now() + self.beat_lag_s, n, content))

    def _receive(self) -> None:
        now = self.clock.now()
        while self._beats and self._beats[0][0] <= now:
            _, sender, (counters, news) = self._beats.popleft()
            for n, member in enumerate(self.members):
                if n == sender or self._is_on("cut", n):
                    continue
                for roll in news:
                    member.rollouts.merge_reported(roll, now, f"g{sender}")
                member.book.merge(counters)
