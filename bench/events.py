"""A discrete-event simulation on a virtual clock."""

import heapq
import typing

from gaprock import clock


class Events:
    """A queue of events, and the clock that they advance."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(0.0)
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._count = 0

    def at(self, due_at: float, action: typing.Callable[[], None]) -> None:
        """Schedule a function call."""
        self._count += 1
        heapq.heappush(self._events, (due_at, self._count, action))

    def run_until(self, end_at: float) -> None:
        """Run the events up to a time, in their order."""
        while self._events:
            due_at, _, action = heapq.heappop(self._events)
            if due_at > end_at:
                return
            self.time.advance(max(0.0, due_at - self.time.now()))
            action()
