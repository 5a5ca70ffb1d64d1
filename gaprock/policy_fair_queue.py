"""The fair queue of an endpoint, and the retry times of refused callers."""

import bisect
import typing

from gaprock import policy_api

# Weight of earlier starts relative to the next one.
START_DECAY: typing.Final = 0.98
# A workspace that is alone in the queue is expected to get at least this share of the
# starts.
ALONE_SHARE: typing.Final = 0.5
# Longest time after which a refused caller is asked to retry.
MAX_RETRY_S: typing.Final = 30.0
# Shortest time after which a refused caller is asked to retry.
MIN_RETRY_S: typing.Final = 0.05


class RetryTimes:
    """Assigns retry times to refused callers, spaced at a given interval."""

    __slots__ = ("_next_at",)

    def __init__(self) -> None:
        self._next_at = 0.0

    def next(self, free_at: float, spacing_s: float, now: float) -> float:
        """Return the next retry time.

        :param free_at: when the endpoint will have served the requests queued now.
        :param spacing_s: the time that the endpoint needs per request.
        """
        earliest = max(free_at, now + MIN_RETRY_S)
        self._next_at = max(self._next_at + spacing_s, earliest)
        self._next_at = min(self._next_at, now + MAX_RETRY_S)
        return self._next_at


class FairQueue:
    """A weighted fair queue of tickets, with one queue per workspace."""

    __slots__ = ("_queues", "_served", "_virtual_time", "_recent_starts", "count")

    def __init__(self) -> None:
        self._queues: dict[str, list[policy_api.Ticket]] = {}
        # Starts of each workspace divided by its share, as a virtual time. The
        # workspace with the smallest value is next.
        self._served: dict[str, float] = {}
        self._virtual_time = 0.0
        # Starts of each workspace; older ones count less.
        self._recent_starts: dict[str, float] = {}
        self.count = 0

    def add(self, ticket: policy_api.Ticket) -> None:
        """Add a ticket to its workspace's queue."""
        queue = self._queues.setdefault(ticket.workspace, [])
        if not queue:
            # A workspace earns no credit while it is idle.
            served = self._served.get(ticket.workspace, 0.0)
            self._served[ticket.workspace] = max(served, self._virtual_time)
        bisect.insort(queue, ticket, key=_order)
        self.count += 1

    def record_start(self, ticket: policy_api.Ticket) -> None:
        """Count a started ticket against its workspace's share."""
        served = max(self._served.get(ticket.workspace, 0.0), self._virtual_time)
        self._served[ticket.workspace] = served + 1.0 / ticket.share
        for workspace in self._recent_starts:
            self._recent_starts[workspace] *= START_DECAY
        old = self._recent_starts.get(ticket.workspace, 0.0)
        self._recent_starts[ticket.workspace] = old + 1.0

    def pop(self) -> policy_api.Ticket:
        """Remove and return the next ticket; the queue must not be empty."""
        waiting = [w for w, queue in self._queues.items() if queue]
        chosen = min(
            waiting, key=lambda w: (self._queues[w][0].priority, self._served[w])
        )
        self._virtual_time = max(self._virtual_time, self._served[chosen])
        ticket = self._queues[chosen].pop(0)
        self._removed(chosen)
        return ticket

    def remove(self, ticket: policy_api.Ticket) -> bool:
        """Remove a ticket; return whether it was queued."""
        queue = self._queues.get(ticket.workspace, [])
        if ticket not in queue:
            return False
        queue.remove(ticket)
        self._removed(ticket.workspace)
        return True

    def remove_late(self, now: float, spacing_s: float) -> list[policy_api.Ticket]:
        """Remove and return the tickets whose turn will come after their deadline.

        :param now: when the first part of a run that starts now is due.
        :param spacing_s: the time between two starts.
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
        """Estimate how many starts would precede a ticket that is added now."""
        queue = self._queues.get(ticket.workspace, [])
        own = bisect.bisect_right(queue, _order(ticket), key=_order)
        return own / self._share_of(ticket)

    def last_of_largest(self) -> policy_api.Ticket:
        """Return the last ticket of the workspace that queues most for its share."""
        queue = max(
            self._queues.values(), key=lambda q: len(q) / q[0].share if q else 0
        )
        return queue[-1]

    def _share_of(self, ticket: policy_api.Ticket) -> float:
        """Estimate the share of the starts that a ticket's workspace gets.

        That is its fair share among the queued workspaces, or its share of recent
        starts if that is larger because the others use less than theirs. A workspace
        that is alone in the queue is credited with at least half: the others may return
        and claim theirs.
        """
        shares = {w: queue[0].share for w, queue in self._queues.items()}
        shares[ticket.workspace] = ticket.share
        fair = ticket.share / sum(shares.values()) if len(shares) > 1 else ALONE_SHARE
        total = sum(self._recent_starts.values())
        got = self._recent_starts.get(ticket.workspace, 0.0) / total if total else 1.0
        return max(fair, got)

    def _removed(self, workspace: str) -> None:
        self.count -= 1
        if not self._queues[workspace]:
            del self._queues[workspace]


def _order(ticket: policy_api.Ticket) -> tuple[int, float]:
    return ticket.priority, ticket.deadline
