"""Who waits at an endpoint, whose turn it is, and when the refused come back."""

import bisect
import typing

from gaprock import policy_api

# How much an older start counts against the next one.
START_MEMORY: typing.Final = 0.98
# A workspace that waits alone is taken to get at least this part of the starts.
ALONE_SHARE: typing.Final = 0.5
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
