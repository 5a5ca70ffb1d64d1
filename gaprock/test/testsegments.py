"""Poison segments are held at all gateways, and what sound requests share is not."""

import functools
import heapq
import random
import typing

import pytest

from gaprock import clock, quarantine, suspect_evidence, suspicion

POISON: typing.Final = 1
REQUEST: typing.Final = 1 << 40
# First segments, of which a route has few, and second ones, of which it has hundreds.
FIRSTS: typing.Final = range(10, 14)
SECONDS: typing.Final = range(1000, 1350)
BEGUN: typing.Final = suspicion.BEGUN_WEIGHT


@pytest.fixture
def time() -> clock.ManualClock:
    return clock.ManualClock(100.0)


@pytest.fixture
def book(time: clock.ManualClock) -> quarantine.Quarantine:
    return quarantine.Quarantine(time)


def crash(
    book: quarantine.Quarantine, numbers: typing.Iterable[int], *segments: int
) -> None:
    """Record a crash at which a new request had just started, for each number."""
    for number in numbers:
        book.record_crash(REQUEST + number, f"life-{number}", BEGUN, segments)


def test_a_segment_is_held_after_three_crashes_with_two_requests(
    book: quarantine.Quarantine,
) -> None:
    crash(book, range(2), POISON)
    assert not book.held_for_s(POISON)
    crash(book, [2], POISON)
    assert book.held_for_s(POISON) and book.held_segments == 1


def test_the_segments_of_one_request_that_is_sent_again_are_not_held(
    book: quarantine.Quarantine,
) -> None:
    for number in range(5):
        book.record_crash(REQUEST, f"life-{number}", BEGUN, (POISON,))
    assert book.held_for_s(REQUEST) and not book.held_for_s(POISON)


def test_a_segment_with_which_requests_run_well_is_not_held_beside_a_poison_one(
    book: quarantine.Quarantine, time: clock.ManualClock
) -> None:
    for segments in ((10, POISON), (POISON, 10)):
        book.record_ran_well([10], time.now())
        time.advance(60.0)
        crash(book, range(4), *segments)
        assert book.held_for_s(POISON) and not book.held_for_s(10)


def test_crashes_that_a_held_segment_explains_hold_no_bystander(
    book: quarantine.Quarantine,
) -> None:
    crash(book, range(4), POISON)
    for number in range(4):
        for _ in range(3):
            book.record_crash(REQUEST + 100, f"life-{number}", BEGUN, (1000,))
    assert not book.held_for_s(REQUEST + 100) and not book.held_for_s(1000)
    assert not book.is_suspected(1000)


def test_a_segment_that_begins_to_crash_endpoints_is_held(
    book: quarantine.Quarantine, time: clock.ManualClock
) -> None:
    book.record_ran_well([10], time.now())
    crash(book, range(3), 10)
    assert not book.held_for_s(10)
    time.advance(suspect_evidence.HEALTHY_S)
    crash(book, range(3, 8), 10)
    assert not book.held_for_s(10)
    crash(book, [8], 10)
    assert book.held_for_s(10)
    # A stream that began before does not speak for it.
    book.record_ran_well([10], time.now() - suspect_evidence.HEALTHY_S)
    assert book.held_for_s(10)


def test_a_request_that_runs_well_anywhere_releases_a_segment_everywhere(
    time: clock.ManualClock,
) -> None:
    books = [quarantine.Quarantine(time) for _ in range(2)]
    crash(books[0], range(3), 10)
    gossip(books)
    assert all(book.held_for_s(10) for book in books)
    books[1].record_ran_well([10], time.now())
    gossip(books)
    assert not any(book.held_for_s(10) for book in books)


def test_gateways_do_not_release_a_segment_at_the_same_time(
    time: clock.ManualClock,
) -> None:
    books = [quarantine.Quarantine(time) for _ in range(30)]
    crash(books[0], range(3), POISON)
    gossip(books)
    time.advance(quarantine.FIRST_DOUBTFUL_HELD_S)
    probes = 0
    end_at = time.now() + 2 * quarantine.RELEASE_SPREAD_S
    while time.now() < end_at:
        for number, one in enumerate(books):
            one.forget_old()
            if not one.held_for_s(POISON):
                crash(one, [1000 + number], POISON)
                probes += 1
        gossip(books)
        time.advance(1.0)
    assert 1 <= probes <= 3
    assert all(
        book.held_for_s(POISON) > quarantine.FIRST_DOUBTFUL_HELD_S for book in books
    )


def gossip(books: list[quarantine.Quarantine]) -> None:
    """Let each gateway tell all others what it knows."""
    updates = [book.updates(tuple(suspicion.Origin), True) for book in books]
    for book in books:
        for update in updates:
            book.merge(update, is_far=False)


class Request(typing.NamedTuple):
    """A request in the simulation.

    :param runs_s: how long its answer takes.
    """

    fingerprint: int
    segments: tuple[int, ...]
    runs_s: float
    gateway: int
    tries: int


class Simulation:
    """Event simulation of gateways and endpoints under requests that share segments.

    :param poison: the segments of poison requests, each unlike the others; ``None`` in
        place of a segment stands for one that sound requests have, too.
    :param crash_every_s: pause between crashes for other reasons.
    """

    ENDPOINTS: typing.Final = 9
    PER_S: typing.Final = 55.0
    POISON_PER_S: typing.Final = 2.5
    BACK_S: typing.Final = 2.0
    GOSSIP_S: typing.Final = 0.4
    SECONDS: typing.Final = 30.0
    POISON_AT: typing.Final = 5.0

    def __init__(
        self,
        seed: int,
        poison: tuple[int | None, ...] = (),
        crash_every_s: float = 1000.0,
        gateways: int = 3,
    ) -> None:
        self.rng = random.Random(seed)
        self.time = clock.ManualClock(0.0)
        self.poison = poison
        self.crash_every_s = crash_every_s
        self.books = [quarantine.Quarantine(self.time) for _ in range(gateways)]
        # By endpoint: its incarnation, when it is back, and (start, request).
        self.lives = [0] * self.ENDPOINTS
        self.back_at = [0.0] * self.ENDPOINTS
        self.open: list[dict[int, tuple[float, Request]]] = [
            {} for _ in range(self.ENDPOINTS)
        ]
        self.poison_sent: list[float] = []
        self.crashes: list[float] = []
        # Sound segments that were held at any time, and sound requests that were
        # refused, later than twice the time in which every gateway has to know.
        self.held_sound: set[int] = set()
        self.refused = 0
        self.served = 0
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._count = 0

    def run(self) -> typing.Self:
        """Run the simulation."""
        self._later(0.0, self._arrive)
        self._later(self.GOSSIP_S, self._gossip)
        self._later(3.0, self._crash_one)
        if self.poison:
            self._later(self.POISON_AT, self._poison)
        while self._events and self._events[0][0] < self.SECONDS:
            at, _, act = heapq.heappop(self._events)
            self.time.advance(at - self.time.now())
            act()
        return self

    @property
    def late_poison(self) -> int:
        """Sends of poison requests later than 3 s after the fifth crash."""
        if len(self.crashes) < 5:
            return 0
        return sum(at > self.crashes[4] + 3.0 for at in self.poison_sent)

    def _later(self, after_s: float, act: typing.Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.time.now() + after_s, self._count, act))

    def _segments(self) -> tuple[int, ...]:
        return self.rng.choice(FIRSTS), self.rng.choice(SECONDS)

    def _arrive(self) -> None:
        runs_s = self.rng.choice((0.05, 1.5, 3.0))
        self._send(self._new(self._segments(), runs_s))
        self._later(self.rng.expovariate(self.PER_S), self._arrive)

    def _new(self, segments: tuple[int, ...], runs_s: float) -> Request:
        gateway = self.rng.randrange(len(self.books))
        return Request(REQUEST + self._count, segments, runs_s, gateway, 1)

    def _poison(self) -> None:
        segments = tuple(
            self.rng.choice(FIRSTS if one == 0 else SECONDS) if one != POISON else one
            for one in self.poison
            if one is not None
        )
        self._send(self._new(segments, 1.0))
        self._later(self.rng.expovariate(self.POISON_PER_S), self._poison)

    def _gossip(self) -> None:
        gossip(self.books)
        for book in self.books:
            self.held_sound |= {s for s in book._held if s != POISON and s < REQUEST}
        self._later(self.GOSSIP_S, self._gossip)

    def _send(self, request: Request) -> None:
        book, now = self.books[request.gateway], self.time.now()
        is_poison = POISON in request.segments
        if any(map(book.held_for_s, (*request.segments, request.fingerprint))):
            is_late = self.crashes and now > self.crashes[0] + 6.0
            self.refused += bool(is_late and not is_poison)
            return
        up = [n for n, at in enumerate(self.back_at) if at <= now]
        if not up:
            self._later(0.1, lambda: self._send(request))
            return
        where = self.rng.choice(up)
        if is_poison:
            self.poison_sent.append(now)
        self._later(
            self.rng.expovariate(1 / 0.1),
            lambda: self._begin(request, where, self.lives[where]),
        )

    def _begin(self, request: Request, where: int, life: int) -> None:
        if self.lives[where] != life:
            self._send_again(request)
            return
        now = self.time.now()
        self.open[where][request.fingerprint] = now, request
        if POISON in request.segments:
            after_s = self.rng.uniform(0.03, 0.12)
            self._later(after_s, lambda: self._crash(where, life))
        else:
            for after_s in (1.0, request.runs_s):
                if after_s <= request.runs_s:
                    is_end = after_s == request.runs_s
                    go_on = functools.partial(self._go_on, request, where, life, is_end)
                    self._later(after_s, go_on)

    def _go_on(self, request: Request, where: int, life: int, is_end: bool) -> None:
        if self.lives[where] != life or request.fingerprint not in self.open[where]:
            return
        began_at, _ = self.open[where][request.fingerprint]
        book = self.books[request.gateway]
        book.record_ran_well(request.segments, began_at)
        if is_end:
            book.clear(request.fingerprint)
            del self.open[where][request.fingerprint]
            self.served += 1

    def _crash_one(self) -> None:
        where = self.rng.randrange(self.ENDPOINTS)
        if self.crash_every_s < self.SECONDS:
            self._crash(where, self.lives[where])
            self._later(self.rng.expovariate(1 / self.crash_every_s), self._crash_one)

    def _crash(self, where: int, life: int) -> None:
        if self.lives[where] != life:
            return
        now = self.time.now()
        self.lives[where] += 1
        self.back_at[where] = now + self.BACK_S
        self.crashes.append(now)
        cut, self.open[where] = self.open[where], {}
        for began_at, request in cut.values():
            weight = suspicion.suspicion_weight(now - began_at, may_wait=True)
            if weight:
                self.books[request.gateway].record_crash(
                    request.fingerprint, f"{where}@{life}", weight, request.segments
                )
        for _, request in cut.values():
            self._send_again(request)

    def _send_again(self, request: Request) -> None:
        if request.tries < 3:
            self._send(request._replace(tries=request.tries + 1))


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    "poison", [(0, POISON), (POISON, 2), (0, 2, POISON), (POISON,)]
)
@pytest.mark.parametrize("gateways", [1, 3, 12])
def test_a_poison_segment_crashes_few_endpoints_and_no_sound_one_is_held(
    seed: int, poison: tuple[int | None, ...], gateways: int
) -> None:
    simulation = Simulation(seed, poison, gateways=gateways).run()
    assert simulation.late_poison <= 3
    assert not simulation.held_sound
    assert simulation.refused == 0


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("gateways", [1, 3, 12])
@pytest.mark.parametrize("crash_every_s", [0.3, 1.0])
def test_no_segment_is_held_where_endpoints_crash_by_themselves(
    seed: int, gateways: int, crash_every_s: float
) -> None:
    simulation = Simulation(seed, (), crash_every_s, gateways).run()
    assert len(simulation.crashes) > 15
    assert not simulation.held_sound
