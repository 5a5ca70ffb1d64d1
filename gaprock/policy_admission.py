"""Admission: what an agent runs, keeps waiting, or refuses.

``Adaptive`` works in these steps:

1. A ticket starts at once while fewer run than the limit and none waits.
2. Otherwise it waits, unless its turn would come after its deadline.
3. The next one is chosen by priority, then by the fair turn of its workspace,
   then by deadline.
4. A refused caller gets an appointment: the appointments follow each other at
   the rate at which the endpoint finishes requests.
5. The limit follows the measured time to the first part of streams.
"""

import bisect
import typing

from gaprock import plugin, policy_api

INITIAL_LIMIT: typing.Final = 8.0
MIN_LIMIT: typing.Final = 1.0
# The limit shrinks when the first part takes this many times the usual.
SLOW_FACTOR: typing.Final = 2.0
# Differences below this are noise, seconds.
NOISE_S: typing.Final = 0.01
SHRINK: typing.Final = 0.8
SMOOTHING: typing.Final = 0.1
# Weight of one sample in the recent time to the first part.
RECENT_WEIGHT: typing.Final = 0.2
# The limit's effect shows once the runs that began before it are over.
SETTLING_RUNS: typing.Final = 2
# Shrinking is judged from so many times in a row on.
JUDGED_SHRINKS: typing.Final = 2
# Shrinking has helped when the recent time fell below this share of the old one.
HELPED: typing.Final = 0.9
# The limit goes this far beyond what an endpoint says it runs at once.
HINT_FACTOR: typing.Final = 1.25
# How much an older start counts against the next one.
START_MEMORY: typing.Final = 0.98
# A workspace that waits alone is taken to get at least this part of the starts.
ALONE_SHARE: typing.Final = 0.5
# A wait is taken to be this much longer than estimated.
WAIT_MARGIN: typing.Final = 2.5
# Assumed seconds of a run before the first one has ended.
FIRST_SERVICE_S: typing.Final = 0.05
# Appointments are not given further ahead than this, seconds.
MAX_AHEAD_S: typing.Final = 30.0
# A refused caller is not asked back sooner than this, seconds.
MIN_AHEAD_S: typing.Final = 0.05


class Appointments:
    """Gives refused callers the times to come back, spread at a given rate."""

    __slots__ = ("_next_at",)

    def __init__(self) -> None:
        self._next_at = 0.0

    def next(self, free_at: float, spacing_s: float, now: float) -> float:
        """Give the next time.

        :param free_at: when what waits already will have been served.
        :param spacing_s: seconds that the endpoint needs for one request.
        """
        earliest = max(free_at, now + MIN_AHEAD_S)
        self._next_at = max(self._next_at + spacing_s, earliest)
        self._next_at = min(self._next_at, now + MAX_AHEAD_S)
        return self._next_at


class Turns:
    """The tickets that wait, in fair turns over workspaces."""

    __slots__ = ("_queues", "_served", "_floor", "_starts", "count")

    def __init__(self) -> None:
        self._queues: dict[str, list[policy_api.Ticket]] = {}
        # Work given to each workspace over its share; the least goes first.
        self._served: dict[str, float] = {}
        self._floor = 0.0
        # Starts of each workspace, the older ones counting less.
        self._starts: dict[str, float] = {}
        self.count = 0

    def add(self, ticket: policy_api.Ticket) -> None:
        """Put a ticket in its workspace's queue."""
        queue = self._queues.setdefault(ticket.workspace, [])
        if not queue:
            # A workspace that was idle does not save up turns.
            served = self._served.get(ticket.workspace, 0.0)
            self._served[ticket.workspace] = max(served, self._floor)
        bisect.insort(queue, ticket, key=_order)
        self.count += 1

    def note_start(self, ticket: policy_api.Ticket) -> None:
        """Count a started ticket against its workspace's share."""
        served = max(self._served.get(ticket.workspace, 0.0), self._floor)
        self._served[ticket.workspace] = served + 1.0 / ticket.share
        for workspace in self._starts:
            self._starts[workspace] *= START_MEMORY
        old = self._starts.get(ticket.workspace, 0.0)
        self._starts[ticket.workspace] = old + 1.0

    def pop(self) -> policy_api.Ticket:
        """Take the ticket whose turn it is; there must be one."""
        waiting = [w for w, queue in self._queues.items() if queue]
        chosen = min(
            waiting, key=lambda w: (self._queues[w][0].priority, self._served[w])
        )
        self._floor = max(self._floor, self._served[chosen])
        ticket = self._queues[chosen].pop(0)
        self._removed(chosen)
        return ticket

    def remove(self, ticket: policy_api.Ticket) -> bool:
        """Take out one ticket."""
        queue = self._queues.get(ticket.workspace, [])
        if ticket not in queue:
            return False
        queue.remove(ticket)
        self._removed(ticket.workspace)
        return True

    def take_late(self, now: float, spacing_s: float) -> list[policy_api.Ticket]:
        """Take out the tickets whose turn will come after their deadline.

        :param now: when a run that begins now has its first part.
        :param spacing_s: seconds between two starts.
        """
        late: list[policy_api.Ticket] = []
        for queue in list(self._queues.values()):
            pace_s = spacing_s / self._share_of(queue[0])
            kept_ahead = 0
            for ticket in list(queue):
                if now + kept_ahead * pace_s > ticket.deadline:
                    late.append(ticket)
                else:
                    kept_ahead += 1
        for ticket in late:
            self.remove(ticket)
        return late

    def ahead_of(self, ticket: policy_api.Ticket) -> float:
        """Estimate the starts that come before a ticket, were it added now."""
        queue = self._queues.get(ticket.workspace, [])
        own = bisect.bisect_right(queue, _order(ticket), key=_order)
        return own / self._share_of(ticket)

    def last_of_largest(self) -> policy_api.Ticket:
        """Give the last ticket of the workspace that waits most for its share."""
        queue = max(
            self._queues.values(), key=lambda q: len(q) / q[0].share if q else 0
        )
        return queue[-1]

    def _share_of(self, ticket: policy_api.Ticket) -> float:
        """Estimate the part of the starts that a workspace gets.

        That is its fair part among those that wait, or what it got lately if the
        others leave more.  One that waits alone is given at least half: the others
        may come back for their part.
        """
        shares = {w: queue[0].share for w, queue in self._queues.items()}
        shares[ticket.workspace] = ticket.share
        fair = ticket.share / sum(shares.values()) if len(shares) > 1 else ALONE_SHARE
        total = sum(self._starts.values())
        got = self._starts.get(ticket.workspace, 0.0) / total if total else 1.0
        return max(fair, got)

    def _removed(self, workspace: str) -> None:
        self.count -= 1
        if not self._queues[workspace]:
            del self._queues[workspace]


def _order(ticket: policy_api.Ticket) -> tuple[int, float]:
    return ticket.priority, ticket.deadline


class Limit:
    """The number of requests that may run, moved by the time to the first part.

    A first part that takes much longer than usual means that the endpoint queues:
    the limit shrinks.  If that does not help, the endpoint has become slow rather
    than full: the limit comes back, and the longer time is the usual one from then on.
    """

    __slots__ = (
        "_cap",
        "_most",
        "_value",
        "_grows_fast",
        "_usual_s",
        "recent_s",
        "_samples",
        "_before_s",
        "_shrinks",
    )

    def __init__(self, most: int) -> None:
        self._cap = self._most = float(most)
        self._value = min(INITIAL_LIMIT, self._most)
        # Until the first sign of overload the limit grows by one a run.
        self._grows_fast = True
        self._usual_s = 0.0
        # Smoothed seconds to the first part.
        self.recent_s = 0.0
        # Samples since the limit shrank last, and the recent time at that moment.
        self._samples = 0
        self._before_s = 0.0
        # Times in a row that the limit shrank.
        self._shrinks = 0

    @property
    def value(self) -> int:
        """The limit."""
        return int(self._value)

    def hint(self, slots: int) -> None:
        """Do not go far beyond what the endpoint says that it runs at once."""
        if slots <= 0:
            return
        self._most = max(MIN_LIMIT, min(self._cap, slots * HINT_FACTOR))
        if not self._samples:
            # Nothing was measured yet: everyone may arrive in the first minute.
            self._value = min(float(slots), self._most)
        self._value = min(self._value, self._most)

    def grow(self) -> None:
        """Allow more after a run that used the limit up."""
        step = 1.0 if self._grows_fast else 1.0 / self._value
        self._value = min(self._value + step, self._most)

    def shrink(self) -> None:
        """Allow fewer."""
        self._grows_fast = False
        self._before_s = self.recent_s
        self._samples = 1
        self._shrinks += 1
        self._value = max(MIN_LIMIT, self._value * SHRINK)

    def sample(self, first_s: float, saturated: bool) -> None:
        """Take one time to the first part."""
        self.recent_s += RECENT_WEIGHT * (first_s - self.recent_s)
        self._samples += 1
        if not self._usual_s:
            self._usual_s = self.recent_s = first_s
        self._usual_s = min(first_s, self._usual_s)
        if self.recent_s <= SLOW_FACTOR * self._usual_s + NOISE_S:
            # Whatever comes next is a new overload.
            self._shrinks = 0
            if saturated:
                self.grow()
        elif self._samples >= SETTLING_RUNS * self._value:
            self._take_as_slow_or_full()

    def _take_as_slow_or_full(self) -> None:
        """Shrink, or see that shrinking is in vain.

        The first time is not judged: it was taken while the load still changed.
        """
        in_vain = self.recent_s > HELPED * self._before_s
        if self._shrinks < JUDGED_SHRINKS or not in_vain:
            self.shrink()
            return
        self._usual_s = self.recent_s
        self._value = min(self._value / SHRINK**self._shrinks, self._most)
        self._shrinks = 0


@plugin.register(policy_api.Admission, "adaptive")
class Adaptive(policy_api.Admission):
    """Bounded concurrency that follows latency, with a short fair queue."""

    __slots__ = (
        "_max_queued",
        "_limit",
        "_running",
        "_turns",
        "_evicted",
        "_service_s",
        "_appointments",
    )

    def __init__(self, max_running: int, max_queued: int) -> None:
        self._max_queued = max_queued
        self._limit = Limit(max_running)
        self._running = 0
        self._turns = Turns()
        self._evicted: list[policy_api.Ticket] = []
        self._service_s = 0.0
        self._appointments = Appointments()

    def offer(self, ticket: policy_api.Ticket, now: float) -> policy_api.Verdict:
        if ticket.deadline <= now:
            return policy_api.Verdict(reason="deadline", retry_at=self.retry_at(now))
        if self._running < self.limit and not self._turns.count:
            self._start(ticket)
            return policy_api.Verdict(start=True)
        wait_s = (self._turns.ahead_of(ticket) + 1) * self._spacing_s * WAIT_MARGIN
        if now + wait_s + self._limit.recent_s > ticket.deadline:
            return policy_api.Verdict(reason="too-late", retry_at=self.retry_at(now))
        return self._enqueue(ticket, now)

    def finished(
        self, ticket: policy_api.Ticket, result: policy_api.RunResult, now: float
    ) -> list[policy_api.Ticket]:
        saturated = self._running >= self.limit
        self._running -= 1
        if result.refused:
            self._limit.shrink()
        else:
            # A run is as long as its slot was taken, from its start to now.
            self._note_service(now - ticket.offered_at)
            if result.first_s >= 0:
                self._limit.sample(result.first_s, saturated)
            elif saturated:
                self._limit.grow()
        return self._start_waiting(now)

    def hint(self, slots: int) -> None:
        self._limit.hint(slots)

    def expired(self, now: float) -> list[policy_api.Ticket]:
        first_at = now + self._limit.recent_s
        gone = self._evicted + self._turns.take_late(first_at, self._spacing_s)
        self._evicted = []
        return gone

    def drop(self, ticket: policy_api.Ticket) -> bool:
        return self._turns.remove(ticket)

    def retry_at(self, now: float) -> float:
        free_at = now + self._turns.count * self._spacing_s
        return self._appointments.next(free_at, self._spacing_s, now)

    @property
    def running(self) -> int:
        return self._running

    @property
    def queued(self) -> int:
        return self._turns.count

    @property
    def limit(self) -> int:
        return self._limit.value

    @property
    def service_s(self) -> float:
        return self._service_s or FIRST_SERVICE_S

    @property
    def _spacing_s(self) -> float:
        """Seconds between two ends of runs when the limit is used up."""
        return self.service_s / self.limit

    def _enqueue(self, ticket: policy_api.Ticket, now: float) -> policy_api.Verdict:
        if self._turns.count >= self._max_queued:
            last = self._turns.last_of_largest() if self._turns.count else ticket
            if last.workspace == ticket.workspace:
                return policy_api.Verdict(reason="queue", retry_at=self.retry_at(now))
            self._turns.remove(last)
            self._evicted.append(last)
        self._turns.add(ticket)
        return policy_api.Verdict(queued=True)

    def _start(self, ticket: policy_api.Ticket) -> None:
        self._running += 1
        self._turns.note_start(ticket)

    def _start_waiting(self, now: float) -> list[policy_api.Ticket]:
        started = []
        while self._turns.count and self._running < self.limit:
            ticket = self._turns.pop()
            if ticket.deadline < now:
                self._evicted.append(ticket)
                continue
            # From here on the ticket's time is the time of its run.
            ticket.offered_at = now
            self._start(ticket)
            started.append(ticket)
        return started

    def _note_service(self, seconds: float) -> None:
        if not self._service_s:
            self._service_s = seconds
        self._service_s += SMOOTHING * (seconds - self._service_s)


@plugin.register(policy_api.Admission, "unlimited")
class Unlimited(policy_api.Admission):
    """Baseline: everything runs at once."""

    __slots__ = ("_max_running", "_running", "_service_s")

    def __init__(self, max_running: int, max_queued: int) -> None:
        self._max_running = max_running
        self._running = 0
        self._service_s = 0.0

    def offer(self, ticket: policy_api.Ticket, now: float) -> policy_api.Verdict:
        self._running += 1
        return policy_api.Verdict(start=True)

    def finished(
        self, ticket: policy_api.Ticket, result: policy_api.RunResult, now: float
    ) -> list[policy_api.Ticket]:
        self._running -= 1
        seconds = now - ticket.offered_at
        self._service_s += SMOOTHING * (seconds - self._service_s)
        return []

    def expired(self, now: float) -> list[policy_api.Ticket]:
        return []

    def drop(self, ticket: policy_api.Ticket) -> bool:
        return False

    def retry_at(self, now: float) -> float:
        return now + 1.0

    @property
    def running(self) -> int:
        return self._running

    @property
    def queued(self) -> int:
        return 0

    @property
    def limit(self) -> int:
        return self._max_running

    @property
    def service_s(self) -> float:
        return self._service_s or FIRST_SERVICE_S
