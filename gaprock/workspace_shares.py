"""Divides scarce capacity among workspaces: who is admitted, waits or is refused.

Load condition: demand above what a service's endpoints can answer in time.  Workspaces
have equal weights, and shares follow from max-min fairness: small demands are met in
full, the others get equal parts of the rest.  Capacity that others do not use is lent,
and reclaimed as requests end.  Each gateway decides by itself, from its own demand and
from what the others report in heartbeats.  This module makes decisions from its inputs
alone.
"""

import math
import threading
import typing

from gaprock import mesh_messages

# Reports older than this are dropped, as gossip does with silent peers.
REPORT_TIMEOUT_S: typing.Final = 2.5
# Workspaces of a service that a heartbeat names; the others are summed.
MAX_NAMED: typing.Final = 16
# The same in a large hall: 110 peers each get a heartbeat a second, and a name and the
# sum are about 42 bytes, so that a service takes less than 5 KB a second.
MAX_NAMED_LARGE_HALL: typing.Final = 1
# Part of the capacity that is not lent, so that a workspace that was idle finds free
# slots at once.
RESERVE_SHARE: typing.Final = 0.02
# A workspace that runs nothing is always within its share.
MIN_SHARE: typing.Final = 1.0
# All gateways see free capacity at the same time.  Each takes its part of it in this
# share of a request's duration, so that reports of what the others took arrive before
# the next part, and at most in ``MAX_TAKE_S``, the interval of heartbeats.
TAKE_SHARE: typing.Final = 0.05
MAX_TAKE_S: typing.Final = 0.2
# Weight of one request in the mean duration, and the mean before any has ended.
DURATION_WEIGHT: typing.Final = 0.1
FIRST_DURATION_S: typing.Final = 1.0


class Demand(typing.NamedTuple):
    """Requests of a workspace for a service.

    :param running: requests that were admitted and have not ended.
    :param waiting: requests that wait for admission.
    """

    running: int
    waiting: int

    def plus(self, running: int, waiting: int) -> "Demand":
        """Return the sum with another demand."""
        return Demand(self.running + running, self.waiting + waiting)


NO_DEMAND: typing.Final = Demand(0, 0)
# Demand by workspace; the empty name stands for all that are not named.
Demands = dict[str, Demand]


def water_level(demands: typing.Iterable[int], limit: float) -> float:
    """Return the max-min fair share: no workspace gets more than it.

    :returns: infinity if all demands fit into the limit.
    """
    ordered = sorted(demands)
    for number, demand in enumerate(ordered):
        fair = limit / (len(ordered) - number)
        if demand > fair:
            return fair
        limit -= demand
    return math.inf


def to_updates(
    service: str, demands: Demands, max_named: int
) -> list[mesh_messages.DemandUpdate]:
    """Return what a heartbeat reports: the largest demands, and the sum of the rest."""
    named = sorted(
        (name for name in demands if name),
        key=lambda name: (-sum(demands[name]), name),
    )[:max_named]
    rest = NO_DEMAND
    for name, demand in demands.items():
        if name not in named:
            rest = rest.plus(*demand)
    updates = [
        mesh_messages.DemandUpdate(service, name, *demands[name]) for name in named
    ]
    if any(rest):
        updates.append(mesh_messages.DemandUpdate(service, "", *rest))
    return updates


def sum_updates(
    reports: typing.Iterable[list[mesh_messages.DemandUpdate]], max_named: int
) -> list[mesh_messages.DemandUpdate]:
    """Sum the reports of several gateways."""
    totals: dict[str, Demands] = {}
    for report in reports:
        for one in report:
            demands = totals.setdefault(one.service, {})
            known = demands.get(one.workspace, NO_DEMAND)
            demands[one.workspace] = known.plus(one.running, one.waiting)
    return [
        update
        for service, demands in totals.items()
        for update in to_updates(service, demands, max_named)
    ]


class DemandBook:
    """Demand that peers and other halls report; thread-safe."""

    __slots__ = ("_lock", "_reports", "_sums")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # The newest report of each sender, by service, with its time.
        self._reports: dict[str, tuple[float, dict[str, Demands]]] = {}
        # Sums by service, until the next report: a decision needs them several times.
        self._sums: dict[str, _ReportSum] = {}

    def record(
        self, sender: str, updates: list[mesh_messages.DemandUpdate], as_of: float
    ) -> None:
        """Record a report, which replaces the sender's earlier one.

        :param as_of: when it was made, by our clock.
        """
        services: dict[str, Demands] = {}
        for one in updates:
            demand = Demand(max(0, one.running), max(0, one.waiting))
            services.setdefault(one.service, {})[one.workspace] = demand
        with self._lock:
            self._sums.clear()
            if services:
                self._reports[sender] = as_of, services
            else:
                self._reports.pop(sender, None)

    def total(self, service: str, now: float) -> Demand:
        """Return the demand of all workspaces at the other gateways."""
        return self._sum(service, now).total

    def by_workspace(self, service: str, now: float) -> Demands:
        """Return the demand at the other gateways by workspace; not to be changed."""
        return self._sum(service, now).by_workspace

    def _sum(self, service: str, now: float) -> "_ReportSum":
        with self._lock:
            found = self._sums.get(service)
            if found is None or now > found.valid_until:
                found = self._sums[service] = self._sum_reports(service, now)
            return found

    def _sum_reports(self, service: str, now: float) -> "_ReportSum":
        self._reports = {
            sender: report
            for sender, report in self._reports.items()
            if report[0] >= now - REPORT_TIMEOUT_S
        }
        valid_until = math.inf
        total: Demands = {}
        for as_of, services in self._reports.values():
            valid_until = min(valid_until, as_of + REPORT_TIMEOUT_S)
            for name, demand in services.get(service, {}).items():
                total[name] = total.get(name, NO_DEMAND).plus(*demand)
        running = sum(demand.running for demand in total.values())
        waiting = sum(demand.waiting for demand in total.values())
        return _ReportSum(valid_until, Demand(running, waiting), total)


class _ReportSum(typing.NamedTuple):
    """The sum of the reports on a service.

    :param valid_until: when the oldest of them expires.
    """

    valid_until: float
    total: Demand
    by_workspace: Demands


class Shares(typing.NamedTuple):
    """The division of a service's capacity at one moment.

    :param bound: the requests from which on the capacity is used up.
    :param use: requests that run.
    :param level: the most that a workspace gets; infinite while all demand fits.
    :param demands: demand of all gateways by workspace.
    :param gateways: number of gateways that decide at the same time.
    """

    bound: float
    use: int
    level: float
    demands: Demands
    gateways: int

    @property
    def free(self) -> float:
        """Capacity that may be lent."""
        return self.bound * (1.0 - RESERVE_SHARE) - self.use

    def share_use(self, workspace: str) -> float:
        """Return how much of its share a workspace uses; 1 is all of it."""
        return self.demands.get(workspace, NO_DEMAND).running / self.level

    def is_within(self, workspace: str) -> bool:
        """Whether one more request of a workspace is within its share.

        Close to its share, a workspace whose requests wait may be admitted by each of
        the gateways at the same time, so it then has to take free capacity in turn.
        """
        running, waiting = self.demands.get(workspace, NO_DEMAND)
        if math.isinf(self.level):
            # The named demand fits, but that of unnamed workspaces may take the rest.
            return running < 1 or self.use + 1 <= self.bound
        if running + 1 > self.level:
            return False
        return running + waiting <= self.level or self.level - running >= self.gateways


def divide(bound: float, demands: Demands, asking: str, gateways: int) -> Shares:
    """Divide capacity among workspaces.

    :param asking: a workspace whose next request counts as demand already.
    """
    counted = dict(demands)
    counted[asking] = counted.get(asking, NO_DEMAND).plus(0, 1)
    # Unnamed workspaces are the smallest ones, whose demand max-min fairness meets in
    # full; how many there are is not known.  They are never credited with more than
    # half, since reports that name nobody come from gateways that see no shortage.
    unnamed = sum(counted.pop("", NO_DEMAND))
    left = max(bound - unnamed, bound / 2)
    level = water_level((sum(demand) for demand in counted.values()), left)
    use = sum(demand.running for demand in demands.values())
    return Shares(bound, use, max(MIN_SHARE, level), counted, gateways)


class Allowance:
    """How much free capacity this gateway may take now, beside the others."""

    __slots__ = ("_tokens", "_as_of")

    def __init__(self) -> None:
        self._tokens = 0.0
        self._as_of = 0.0

    def take(self, shares: Shares, duration_s: float, now: float) -> bool:
        """Take a slot of the free capacity, if there is one for this gateway now.

        :param duration_s: the mean duration of a request.
        """
        part = max(0.0, shares.free) / shares.gateways
        interval_s = max(1e-3, min(MAX_TAKE_S, TAKE_SHARE * duration_s))
        # Time without requests earns little: how much was free meanwhile is not known.
        passed_s = min(MAX_TAKE_S, max(0.0, now - self._as_of))
        self._tokens += part * passed_s / interval_s
        self._tokens = min(self._tokens, max(1.0, part))
        self._as_of = now
        if shares.free < 1.0 or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class MeanDuration:
    """The mean duration of a service's requests, seconds."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = FIRST_DURATION_S

    def record(self, took_s: float) -> None:
        """Record the duration of a request."""
        self.value += DURATION_WEIGHT * (took_s - self.value)
