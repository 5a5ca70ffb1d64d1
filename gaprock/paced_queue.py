"""Queues of requests that wait for rate-limited endpoints.

This is for the case that all endpoints that may run a request have a rate limit, are
warming up or asked for a backoff, and more requests arrive than they accept. A request
that can be sent in time is queued, with the most urgent first. A request that cannot is
refused at once; its retry time is spaced at the rate at which requests are sent.
Without a queue, refused requests would wait in vain first, and the next slot would go
to whichever request happens to poll at the right moment, however low its urgency.
"""

import bisect
import itertools
import threading
import typing

from gaprock import gateway_call, rate_pacing, retry_schedule


class Position(typing.NamedTuple):
    """A request's position in the queue of its service: by urgency, then by arrival.

    :param urgency: lower values are sent first.
    """

    urgency: int
    number: int


class PacedQueue:
    """The queues of all services; thread-safe."""

    __slots__ = ("_lock", "_numbers", "_positions", "_retry_schedules")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self._positions: dict[str, list[Position]] = {}
        # Retry times of refused callers, by service.
        self._retry_schedules: dict[str, retry_schedule.RetrySchedule] = {}

    def enter(self, call: gateway_call.Call) -> Position:
        """Add a request to the queue of its service."""
        position = Position(call.urgency, next(self._numbers))
        with self._lock:
            bisect.insort(self._positions.setdefault(call.service, []), position)
        return position

    def leave(self, call: gateway_call.Call, position: Position) -> None:
        """Remove a request from the queue."""
        with self._lock:
            positions = self._positions[call.service]
            positions.remove(position)
            if not positions:
                del self._positions[call.service]

    def is_first(self, call: gateway_call.Call, position: Position) -> bool:
        """Whether a request is the first one in its queue."""
        return self._ahead_of(call, position) == 0

    def expected_send_at(
        self, call: gateway_call.Call, position: Position, turn: rate_pacing.Turn
    ) -> float:
        """Estimate when a queued request will be sent."""
        ahead = self._ahead_of(call, position)
        return turn.next_at + (ahead * turn.pause_s if ahead else 0.0)

    def _ahead_of(self, call: gateway_call.Call, position: Position) -> int:
        with self._lock:
            return bisect.bisect_left(self._positions.get(call.service, []), position)

    def is_empty(self, service: str) -> bool:
        """Whether no request is queued for a service's endpoints."""
        return service not in self._positions

    def retry_after_s(
        self,
        call: gateway_call.Call,
        turn: rate_pacing.Turn,
        now: float,
        caller_s: float,
    ) -> float:
        """Return the delay in seconds after which a refused caller should retry.

        :param caller_s: the time for which the caller still waits.
        """
        with self._lock:
            schedule = self._retry_schedules.setdefault(
                call.service, retry_schedule.RetrySchedule()
            )
        return schedule.next_s(now, caller_s, turn.pause_s, turn.next_at)
