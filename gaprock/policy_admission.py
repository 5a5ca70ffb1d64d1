"""Admission: what an agent runs, keeps waiting, or refuses.

``Adaptive`` works in these steps:

1. A ticket starts at once while fewer run than the limit and none waits.
2. Otherwise it waits, unless its turn would come after its deadline.
3. The next one is chosen by priority, then by the fair turn of its workspace,
   then by deadline.
4. A refused caller gets an appointment: the appointments follow each other at
   the rate at which the endpoint finishes requests.
5. The limit follows the measured time to the first part.
"""

import typing

from gaprock import plugin, policy_api

INITIAL_LIMIT: typing.Final = 8.0
MIN_LIMIT: typing.Final = 1.0
# The limit shrinks when the first part takes this many times the usual.
SLOW_FACTOR: typing.Final = 2.0
# Differences below this are noise, seconds.
NOISE_S: typing.Final = 0.01
SHRINK: typing.Final = 0.85
# The usual time creeps up by this share a sample, so that it can be unlearned.
USUAL_CREEP: typing.Final = 0.002
SMOOTHING: typing.Final = 0.1
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

    __slots__ = ("_queues", "_served", "_floor", "count")

    def __init__(self) -> None:
        self._queues: dict[str, list[policy_api.Ticket]] = {}
        # Work given to each workspace over its share; the least goes first.
        self._served: dict[str, float] = {}
        self._floor = 0.0
        self.count = 0

    def add(self, ticket: policy_api.Ticket) -> None:
        """Put a ticket in its workspace's queue."""
        queue = self._queues.setdefault(ticket.workspace, [])
        if not queue:
            # A workspace that was idle does not save up turns.
            served = self._served.get(ticket.workspace, 0.0)
            self._served[ticket.workspace] = max(served, self._floor)
        queue.append(ticket)
        queue.sort(key=_order)
        self.count += 1

    def note_start(self, ticket: policy_api.Ticket) -> None:
        """Count a started ticket against its workspace's share."""
        served = max(self._served.get(ticket.workspace, 0.0), self._floor)
        self._served[ticket.workspace] = served + 1.0 / ticket.share

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

    def take_late(self, now: float) -> list[policy_api.Ticket]:
        """Take out the tickets whose deadline has passed."""
        late = [t for queue in self._queues.values() for t in queue if t.deadline < now]
        for ticket in late:
            self.remove(ticket)
        return late

    def ahead_of(self, ticket: policy_api.Ticket) -> float:
        """Estimate the starts that come before a ticket, were it added now."""
        own = len(self._queues.get(ticket.workspace, ())) + 1
        ahead = 0.0
        for workspace, queue in self._queues.items():
            if workspace == ticket.workspace or not queue:
                continue
            fair = own * queue[0].share / ticket.share
            ahead += min(len(queue), fair)
        return ahead + own - 1

    def last_of_largest(self) -> policy_api.Ticket:
        """Give the last ticket of the workspace that waits most for its share."""
        queue = max(
            self._queues.values(), key=lambda q: len(q) / q[0].share if q else 0
        )
        return queue[-1]

    def _removed(self, workspace: str) -> None:
        self.count -= 1
        if not self._queues[workspace]:
            del self._queues[workspace]


def _order(ticket: policy_api.Ticket) -> tuple[int, float]:
    return ticket.priority, ticket.deadline


@plugin.register(policy_api.Admission, "adaptive")
class Adaptive(policy_api.Admission):
    """Bounded concurrency that follows latency, with a short fair queue."""

    __slots__ = (
        "_max_running",
        "_max_queued",
        "_limit",
        "_growing_fast",
        "_running",
        "_turns",
        "_evicted",
        "_service_s",
        "_usual_s",
        "_shrunk_at",
        "_appointments",
    )

    def __init__(self, max_running: int, max_queued: int) -> None:
        self._max_running = max_running
        self._max_queued = max_queued
        self._limit = min(INITIAL_LIMIT, float(max_running))
        # Until the first sign of overload the limit grows by one a run.
        self._growing_fast = True
        self._running = 0
        self._turns = Turns()
        self._evicted: list[policy_api.Ticket] = []
        self._service_s = 0.0
        self._usual_s = 0.0
        self._shrunk_at = 0.0
        self._appointments = Appointments()

    def offer(self, ticket: policy_api.Ticket, now: float) -> policy_api.Verdict:
        if ticket.deadline <= now:
            return policy_api.Verdict(reason="deadline", retry_at=self.retry_at(now))
        if self._running < self.limit and not self._turns.count:
            self._start(ticket)
            return policy_api.Verdict(start=True)
        wait_s = (self._turns.ahead_of(ticket) + 1) * self._spacing_s
        if now + wait_s > ticket.deadline:
            return policy_api.Verdict(reason="too-late", retry_at=self.retry_at(now))
        return self._enqueue(ticket, now)

    def finished(
        self, ticket: policy_api.Ticket, first_s: float, now: float
    ) -> list[policy_api.Ticket]:
        self._running -= 1
        # A run is as long as its slot was taken, from its start to now.
        self._note_service(now - ticket.offered_at)
        if first_s >= 0:
            self._adapt(first_s, now)
        return self._start_waiting(now)

    def expired(self, now: float) -> list[policy_api.Ticket]:
        gone = self._evicted + self._turns.take_late(now)
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
        return int(self._limit)

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

    def _adapt(self, first_s: float, now: float) -> None:
        """Move the limit by one sample of the time to the first part."""
        if not self._usual_s:
            self._usual_s = first_s
        self._usual_s = min(first_s, self._usual_s * (1 + USUAL_CREEP))
        if first_s > SLOW_FACTOR * self._usual_s + NOISE_S:
            self._shrink(first_s, now)
        elif self._running + 1 >= self.limit:
            step = 1.0 if self._growing_fast else 1.0 / self._limit
            self._limit = min(self._limit + step, float(self._max_running))

    def _shrink(self, first_s: float, now: float) -> None:
        """Shrink the limit, once for all the samples of one overload."""
        self._growing_fast = False
        if now - self._shrunk_at < first_s:
            return
        self._shrunk_at = now
        self._limit = max(MIN_LIMIT, self._limit * SHRINK)


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
        self, ticket: policy_api.Ticket, first_s: float, now: float
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
