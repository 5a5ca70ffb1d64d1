"""Requests that wait until endpoints which take only so many a second take them.

The load that this answers: all endpoints that may run a request name a rate limit,
warm up or asked for a backoff, and more comes than they take.  What is due in time
waits, the most urgent first; what would not be sent in time is refused at once, with a
time to come back at the pace at which sends fall due.  Without a line each waits a
while for nothing, and whoever looks in the right moment is sent, however little it is
worth.
"""

import bisect
import itertools
import threading
import typing

from gaprock import gateway_call, rate_pacing, retry_schedule


class Place(typing.NamedTuple):
    """Where a request stands in its service's line: by urgency, then as it came."""

    urgency: int
    number: int


class PacedQueue:
    """The lines of all services; safe for all threads."""

    __slots__ = ("_lock", "_numbers", "_places", "_returns")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self._places: dict[str, list[Place]] = {}
        # When those come back that are refused, by service.
        self._returns: dict[str, retry_schedule.RetrySchedule] = {}

    def enter(self, call: gateway_call.Call) -> Place:
        """Put a request in the line of its service."""
        place = Place(call.urgency, next(self._numbers))
        with self._lock:
            bisect.insort(self._places.setdefault(call.service, []), place)
        return place

    def leave(self, call: gateway_call.Call, place: Place) -> None:
        """Take a request out of the line."""
        with self._lock:
            places = self._places[call.service]
            places.remove(place)
            if not places:
                del self._places[call.service]

    def is_first(self, call: gateway_call.Call, place: Place) -> bool:
        """Whether nobody in the line goes before a request."""
        return self._before(call, place) == 0

    def sent_at(
        self, call: gateway_call.Call, place: Place, turn: rate_pacing.Turn
    ) -> float:
        """Give when a request in the line will likely be sent."""
        before = self._before(call, place)
        return turn.next_at + (before * turn.pause_s if before else 0.0)

    def _before(self, call: gateway_call.Call, place: Place) -> int:
        with self._lock:
            return bisect.bisect_left(self._places.get(call.service, []), place)

    def is_empty(self, service: str) -> bool:
        """Whether nobody waits for a service's endpoints."""
        return service not in self._places

    def retry_after_s(
        self,
        call: gateway_call.Call,
        turn: rate_pacing.Turn,
        now: float,
        caller_s: float,
    ) -> float:
        """Give the seconds after which a refused caller is to come back.

        :param caller_s: for which the caller still waits.
        """
        with self._lock:
            returns = self._returns.setdefault(
                call.service, retry_schedule.RetrySchedule()
            )
        return returns.next_s(now, caller_s, turn.pause_s, turn.next_at)
