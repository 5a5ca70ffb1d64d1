"""The order of requests that wait for admission, and the places of refused callers.

Load condition: demand above what a service's endpoints can answer in time.  Requests
that a caller resumes, or brings back at the time that it was told, come first; then the
order is by urgency, by use of the workspace's share and by deadline.  This module makes
decisions from its inputs alone.
"""

import collections
import typing

# One admission in this many goes to the request that the order puts last, so that less
# urgent routes and large workspaces keep a part.
LAST_EVERY: typing.Final = 8
# A refused caller keeps its place if it returns within this range around the time that
# it was told: clocks and networks are not exact.
EARLY_S: typing.Final = 0.05
LATE_S: typing.Final = 2.0
# Places that are kept for refused callers.
MAX_PLACES: typing.Final = 1000


class Waiter:
    """A request that waits for admission.

    :param comes_first: whether it was resumed, or came back at its time.
    :param urgency: lower values go first.
    """

    __slots__ = ("rank", "workspace")

    def __init__(
        self,
        workspace: str,
        comes_first: bool,
        urgency: int,
        deadline: float,
    ) -> None:
        self.workspace = workspace
        self.rank = (not comes_first, urgency, 0.0, deadline)

    def set_share_use(self, share_use: float) -> None:
        """Set how much of its share its workspace uses."""
        comes_later, urgency, _, deadline = self.rank
        self.rank = (comes_later, urgency, share_use, deadline)


class Queue:
    """The requests of one service that wait for admission; not thread-safe."""

    __slots__ = ("_waiters", "_admitted")

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._admitted = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that was admitted or gave up."""
        self._waiters.remove(waiter)

    def next(self) -> Waiter | None:
        """Return the request whose turn is next; ``None`` if none waits."""
        if not self._waiters:
            return None
        is_last_turn = self._admitted % LAST_EVERY == LAST_EVERY - 1
        choose = max if is_last_turn else min
        return choose(self._waiters, key=lambda waiter: waiter.rank)

    def count_ahead(self, waiter: Waiter) -> int:
        """Count the requests that go before one, in the queue or not."""
        return sum(other.rank <= waiter.rank for other in self._waiters)

    def record_admitted(self) -> None:
        """Record that the request whose turn it was is admitted."""
        self._admitted += 1


class Places:
    """The retry times that refused callers were told; not thread-safe."""

    __slots__ = ("_due_at",)

    def __init__(self) -> None:
        # When each refused request is to return, by fingerprint, the oldest first.
        self._due_at: collections.OrderedDict[int, float] = collections.OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no place is kept."""
        return not self._due_at

    def keep(self, fingerprint: int, due_at: float) -> None:
        """Keep the place of a request that is refused."""
        self._due_at[fingerprint] = due_at
        self._due_at.move_to_end(fingerprint)
        if len(self._due_at) > MAX_PLACES:
            self._due_at.popitem(last=False)

    def due_at(self, fingerprint: int, now: float) -> float | None:
        """Return when a request is to return, if that is later than now."""
        due_at = self._due_at.get(fingerprint)
        return due_at if due_at is not None and now < due_at - EARLY_S else None

    def claim(self, fingerprint: int, now: float) -> bool:
        """Whether a request returns at its time; its place is then used up.

        One that returns early gains nothing, and keeps its place.
        """
        due_at = self._due_at.get(fingerprint)
        if due_at is None or now < due_at - EARLY_S:
            return False
        del self._due_at[fingerprint]
        return now <= due_at + LATE_S
