"""Admission control at an agent: which requests run, queue, or are refused.

``Adaptive`` works as follows:

1. A ticket starts at once while fewer tickets run than the limit allows and the queue
   is empty.
2. Otherwise it is queued, unless its turn would come after its deadline.
3. The next ticket is chosen by priority, then by fair queueing over workspaces, then by
   deadline.
4. A refused caller is told when to retry. The retry times are spaced at the rate at
   which the endpoint finishes requests.
5. The limit adapts to the measured time to the first part of streams.
"""

import typing

from gaprock import plugin, policy_api, policy_fair_queue, policy_limit

# Weight of one run in the moving average of run times.
SMOOTHING: typing.Final = 0.1
# Safety factor on the estimated queueing time.
WAIT_MARGIN: typing.Final = 2.5
# Assumed duration of a run until the first one has ended.
FIRST_SERVICE_S: typing.Final = 0.05


@plugin.register(policy_api.Admission, "adaptive")
class Adaptive(policy_api.Admission):
    """An adaptive concurrency limit based on latency, with a short fair queue."""

    __slots__ = (
        "_max_queued",
        "_limit",
        "_running",
        "_queue",
        "_evicted",
        "_service_s",
        "_retry_times",
    )

    def __init__(self, max_running: int, max_queued: int) -> None:
        self._max_queued = max_queued
        self._limit = policy_limit.Limit(max_running)
        self._running = 0
        self._queue = policy_fair_queue.FairQueue()
        self._evicted: list[policy_api.Ticket] = []
        self._service_s = 0.0
        self._retry_times = policy_fair_queue.RetryTimes()

    def offer(self, ticket: policy_api.Ticket, now: float) -> policy_api.Verdict:
        if ticket.deadline <= now:
            return policy_api.Verdict(reason="deadline", retry_at=self.retry_at(now))
        if self._running < self.limit and not self._queue.count:
            self._start(ticket)
            return policy_api.Verdict(start=True)
        wait_s = (self._queue.ahead_of(ticket) + 1) * self._spacing_s * WAIT_MARGIN
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
            # ``offered_at`` is the start of the run, so this is how long it held its
            # slot.
            self._record_service_s(now - ticket.offered_at)
            if result.first_s >= 0:
                self._limit.sample(result.first_s, saturated)
            elif saturated:
                self._limit.grow()
        return self._start_waiting(now)

    def hint(self, slots: int) -> None:
        self._limit.hint(slots)

    def expired(self, now: float) -> list[policy_api.Ticket]:
        first_at = now + self._limit.recent_s
        gone = self._evicted + self._queue.remove_late(first_at, self._spacing_s)
        self._evicted = []
        return gone

    def drop(self, ticket: policy_api.Ticket) -> bool:
        return self._queue.remove(ticket)

    def retry_at(self, now: float) -> float:
        free_at = now + self._queue.count * self._spacing_s
        return self._retry_times.next(free_at, self._spacing_s, now)

    @property
    def running(self) -> int:
        return self._running

    @property
    def queued(self) -> int:
        return self._queue.count

    @property
    def limit(self) -> int:
        return self._limit.value

    @property
    def service_s(self) -> float:
        return self._service_s or FIRST_SERVICE_S

    @property
    def _spacing_s(self) -> float:
        """Mean time between completed runs while the limit is reached."""
        return self.service_s / self.limit

    def _enqueue(self, ticket: policy_api.Ticket, now: float) -> policy_api.Verdict:
        if self._queue.count >= self._max_queued:
            last = self._queue.last_of_largest() if self._queue.count else ticket
            if last.workspace == ticket.workspace:
                return policy_api.Verdict(reason="queue", retry_at=self.retry_at(now))
            self._queue.remove(last)
            self._evicted.append(last)
        self._queue.add(ticket)
        return policy_api.Verdict(queued=True)

    def _start(self, ticket: policy_api.Ticket) -> None:
        self._running += 1
        self._queue.record_start(ticket)

    def _start_waiting(self, now: float) -> list[policy_api.Ticket]:
        started = []
        while self._queue.count and self._running < self.limit:
            ticket = self._queue.pop()
            if ticket.deadline < now:
                self._evicted.append(ticket)
                continue
            # From here on ``offered_at`` is the start of the run.
            ticket.offered_at = now
            self._start(ticket)
            started.append(ticket)
        return started

    def _record_service_s(self, seconds: float) -> None:
        if not self._service_s:
            self._service_s = seconds
        self._service_s += SMOOTHING * (seconds - self._service_s)


@plugin.register(policy_api.Admission, "unlimited")
class Unlimited(policy_api.Admission):
    """Baseline: every request starts at once."""

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
