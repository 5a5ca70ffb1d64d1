"""Admits the requests of one service within its capacity; one gateway's part of it.

Load condition: demand above what a service's endpoints can answer in time.  While all
demand fits into the capacity, each request is admitted at once.  Beyond that, a request
within its workspace's share is admitted as well, one beyond it only into capacity that
nobody else uses.  It waits if its turn comes in time, and is refused otherwise.  This
module makes decisions from its inputs alone.
"""

import enum
import typing

from gaprock import (
    admission_queue,
    mesh_messages,
    retry_schedule,
    service_capacity,
    workspace_shares,
)

# A request waits only for a turn that it gets: this part of the requests that end at
# this gateway is expected to make room for waiting ones.
TURN_SHARE: typing.Final = 0.25
# At the end of its wait, a request is admitted unless the use exceeds the capacity by
# this factor.  A refusal then would be a late one, and so few requests wait that they
# fit into what ends meanwhile.
MAX_EXCESS: typing.Final = 1.05
# A refusal after so short a wait is still an immediate one.
AT_ONCE_S: typing.Final = 0.05
# Interval at which the own use is noted, to estimate what all gateways admitted since
# the others' reports, which are up to two heartbeats old.
GROWTH_STEP_S: typing.Final = 0.2
# Growth of one gateway's use in that time that is chance and says nothing of others.
# With 1, 30 gateways at 0.8 of the capacity refused 75 requests instead of 11.
CHANCE_GROWTH: typing.Final = 3


class Outcome(enum.Enum):
    """What is decided about a request."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


class Situation(typing.NamedTuple):
    """What a decision depends on besides demand.

    :param gateways: gateways in touch, this one included.
    :param peak_gateways: the recent peak number of gateways.
    """

    capacity: service_capacity.Capacity
    gateways: int
    peak_gateways: int

    @property
    def is_isolated(self) -> bool:
        """Whether this gateway hears none of several gateways."""
        return self.gateways <= 1 < self.peak_gateways

    @property
    def bound(self) -> float:
        """The requests from which on the capacity is used up, as far as it is ours."""
        if self.is_isolated:
            return max(1.0, self.capacity.bound / self.peak_gateways)
        return self.capacity.bound


class Request(typing.NamedTuple):
    """A request that asks for admission.

    :param comes_first: whether it was resumed, or came back at its time.
    :param urgency: lower values go first.
    :param latest_at: until when it may wait for admission.
    :param caller_s: the time for which its caller still waits.
    """

    workspace: str
    comes_first: bool
    urgency: int
    latest_at: float
    deadline: float
    caller_s: float


class Ticket:
    """A request's part in the use of a service, from admission to its end.

    :param fill: the share of the service's slots that was taken at its admission.
    """

    __slots__ = ("workspace", "admitted_at", "fill", "is_lent")

    def __init__(
        self, workspace: str, admitted_at: float, fill: float, is_lent: bool
    ) -> None:
        self.workspace = workspace
        self.admitted_at = admitted_at
        self.fill = fill
        self.is_lent = is_lent


class Verdict(typing.NamedTuple):
    """The decision on a request; exactly one of the two objects is set unless refused.

    :param retry_s: time after which a refused caller is to return.
    :param level: the share of the workspace at that moment.
    :param running: requests of the workspace that run.
    """

    outcome: Outcome
    ticket: Ticket | None = None
    waiter: admission_queue.Waiter | None = None
    retry_s: float = 0.0
    level: float = 0.0
    running: int = 0


class ServiceAdmission:
    """The admission of one service at one gateway; not thread-safe.

    :param book: demand at the other gateways.
    """

    __slots__ = (
        "service",
        "fill_limit",
        "own",
        "queue",
        "lent",
        "refused",
        "_book",
        "_allowance",
        "_duration",
        "_retry_schedule",
        "_running",
        "_noted",
        "_noted_at",
    )

    def __init__(self, service: str, book: workspace_shares.DemandBook) -> None:
        self.service = service
        self.fill_limit = service_capacity.FillLimit()
        # Demand at this gateway, by workspace.
        self.own: workspace_shares.Demands = {}
        self.queue = admission_queue.Queue()
        # Requests that run in capacity lent to them, and all that were refused.
        self.lent = self.refused = 0
        self._book = book
        self._allowance = workspace_shares.Allowance()
        self._duration = workspace_shares.MeanDuration()
        self._retry_schedule = retry_schedule.RetrySchedule()
        # Own requests that run: now, and at the last two notes.
        self._running = 0
        self._noted = (0, 0)
        self._noted_at = 0.0

    # -- Requests --

    def admit(
        self, workspace: str, fill: float, now: float, is_lent: bool = False
    ) -> Ticket:
        """Admit a request without a decision, as where capacity is not controlled."""
        self._count(workspace, 1, 0)
        self.lent += is_lent
        return Ticket(workspace, now, fill, is_lent)

    def offer(self, request: Request, situation: Situation, now: float) -> Verdict:
        """Decide about a request that arrives."""
        waiter = admission_queue.Waiter(
            request.workspace,
            request.comes_first,
            request.urgency,
            request.deadline,
        )
        shares = self._admit_within(request.workspace, situation, now)
        if isinstance(shares, Verdict):
            return shares
        waiter.set_share_use(shares.share_use(request.workspace))
        ahead = self.queue.count_ahead(waiter)
        if not ahead and self._allowance.take(shares, self._duration.value, now):
            return self._admit(request.workspace, situation, now, is_lent=True)
        if not self._gets_turn(ahead, shares, request.latest_at - now, now):
            return self._refuse(request, shares, now)
        self.queue.add(waiter)
        self._count(request.workspace, 0, 1)
        return Verdict(Outcome.WAIT, waiter=waiter)

    def check(
        self,
        request: Request,
        waiter: admission_queue.Waiter,
        situation: Situation,
        now: float,
    ) -> Verdict:
        """Decide again about a request that waits."""
        workspace = request.workspace
        self._count(workspace, 0, -1)
        shares = self._admit_within(workspace, situation, now)
        if isinstance(shares, Verdict):
            self.queue.remove(waiter)
            return shares
        if self.queue.next() is waiter:
            if self._allowance.take(shares, self._duration.value, now):
                self.queue.remove(waiter)
                self.queue.record_admitted()
                return self._admit(workspace, situation, now, is_lent=True)
        if now >= request.latest_at:
            self.queue.remove(waiter)
            if shares.use + 1 <= MAX_EXCESS * shares.bound:
                return self._admit(workspace, situation, now, is_lent=True)
            return self._refuse(request, shares, now)
        self._count(workspace, 0, 1)
        return Verdict(Outcome.WAIT, waiter=waiter)

    def give_up(self, waiter: admission_queue.Waiter) -> None:
        """Remove a request that waits and whose caller has left."""
        self.queue.remove(waiter)
        self._count(waiter.workspace, 0, -1)

    def end(self, ticket: Ticket, now: float) -> None:
        """Release what a request took."""
        self._count(ticket.workspace, -1, 0)
        self.lent -= ticket.is_lent
        self._duration.record(now - ticket.admitted_at)
        self._retry_schedule.record_end(now)

    # -- State --

    def demand(self, situation: Situation, now: float) -> workspace_shares.Demand:
        """Return the demand of all workspaces at all gateways that are heard."""
        waiting = len(self.queue)
        if situation.is_isolated:
            return workspace_shares.Demand(self._running, waiting)
        told = self._book.total(self.service, now)
        return told.plus(self._running, waiting)

    def by_workspace(
        self, situation: Situation, now: float
    ) -> workspace_shares.Demands:
        """Return the demand at all gateways that are heard, by workspace."""
        if situation.is_isolated:
            return dict(self.own)
        total = dict(self._book.by_workspace(self.service, now))
        for name, demand in self.own.items():
            known = total.get(name, workspace_shares.NO_DEMAND)
            total[name] = known.plus(*demand)
        return total

    def is_used_up(self, situation: Situation, now: float) -> bool:
        """Whether one more request would exceed the capacity, or some wait for it."""
        demand = self.demand(situation, now)
        capacity = situation.capacity
        if not capacity.slots:
            return False
        if demand.running < capacity.floor and not situation.is_isolated:
            # Half of the slots are free, though requests may still wait for admission.
            return False
        return sum(demand) + 1 > self._present_bound(situation, now)

    def updates(
        self, situation: Situation, max_named: int, now: float
    ) -> list[mesh_messages.DemandUpdate]:
        """Return what a heartbeat reports of this gateway's demand.

        Workspaces are named once half of the capacity is used; below, shares are not
        needed and the sum is enough.
        """
        if 2 * sum(self.demand(situation, now)) < situation.bound:
            max_named = 0
        return workspace_shares.to_updates(self.service, self.own, max_named)

    # -- Parts of the decision --

    def _admit_within(
        self, workspace: str, situation: Situation, now: float
    ) -> Verdict | workspace_shares.Shares:
        """Admit a request if all demand fits, or if it is within its share.

        :returns: the shares at this moment if it is not admitted.
        """
        # Without a reachable endpoint there is nothing to divide, and the request is
        # refused for that reason where an endpoint is looked for.
        if not self.is_used_up(situation, now):
            return self._admit(workspace, situation, now)
        shares = self._divide(workspace, situation, now)
        if shares.is_within(workspace):
            return self._admit(workspace, situation, now)
        return shares

    def _admit(
        self,
        workspace: str,
        situation: Situation,
        now: float,
        is_lent: bool = False,
    ) -> Verdict:
        # With this request.  At the limit the fill is at least the limit, also where
        # slow endpoints count for fewer requests than they have slots.
        use = self.demand(situation, now).running + 1
        capacity = situation.capacity
        fill = max(
            use / max(1, capacity.slots),
            self.fill_limit.value * use / max(1, int(capacity.bound)),
        )
        ticket = self.admit(workspace, fill, now, is_lent)
        return Verdict(Outcome.ADMIT, ticket=ticket)

    def _refuse(
        self, request: Request, shares: workspace_shares.Shares, now: float
    ) -> Verdict:
        self.refused += 1
        retry_s = self._retry_schedule.next_s(now, request.caller_s)
        running = shares.demands[request.workspace].running
        return Verdict(
            Outcome.REFUSE, retry_s=retry_s, level=shares.level, running=running
        )

    def _divide(
        self, workspace: str, situation: Situation, now: float
    ) -> workspace_shares.Shares:
        demands = self.by_workspace(situation, now)
        bound = self._present_bound(situation, now)
        gateways = 1 if situation.is_isolated else max(1, situation.gateways)
        return workspace_shares.divide(bound, demands, workspace, gateways)

    def _present_bound(self, situation: Situation, now: float) -> float:
        """Return the capacity without what others probably admitted since reports.

        All gateways see the same free capacity, and would fill it several times before
        they hear of each other.  Each takes the others to grow as it does itself.
        """
        if situation.is_isolated:
            return situation.bound
        if now >= self._noted_at + GROWTH_STEP_S:
            self._noted_at, self._noted = now, (self._noted[1], self._running)
        growth = max(0, self._running - self._noted[0] - CHANCE_GROWTH)
        grown = growth * (situation.gateways - 1)
        return max(situation.capacity.floor, situation.bound - grown)

    def _gets_turn(
        self,
        ahead: int,
        shares: workspace_shares.Shares,
        wait_s: float,
        now: float,
    ) -> bool:
        """Whether the turn of a request comes within ``wait_s``."""
        if wait_s <= 0.0 or shares.use > MAX_EXCESS * shares.bound:
            return False
        ends_per_s = self._retry_schedule.ends_per_s(now)
        return ahead + 1 <= TURN_SHARE * ends_per_s * wait_s or wait_s <= AT_ONCE_S

    def _count(self, workspace: str, running: int, waiting: int) -> None:
        self._running += running
        demand = self.own.get(workspace, workspace_shares.NO_DEMAND)
        demand = demand.plus(running, waiting)
        if any(demand):
            self.own[workspace] = demand
        else:
            self.own.pop(workspace, None)
