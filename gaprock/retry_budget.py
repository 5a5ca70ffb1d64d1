"""The retry budget of a fleet, over a sliding window.

Repeats are the sends of a request to a service after its first one.  The fleet may send
``ratio`` of them for each request, and a fixed allowance besides.  Each of the two
parts holds by itself, whatever is killed or started, and whatever a process knows of
the others:

* *Earned* repeats are paid by the requests of the same process.  Those that it sends in
  a window never exceed a fixed mix of its requests in that window and in the one half a
  window before it.  Such bounds add up: the fleet's repeats never exceed the same mix
  of the fleet's requests.  A process that starts has earned nothing.
* The allowance belongs to the fleet.  A process exceeds what it earned only by the
  parts of the allowance that it holds in the shared store (``retry_allowance``).  One
  that takes over the part of the process before it may have used the part up, so the
  part counts in windows that begin after its start only.

A repeat is charged in one step, which may refuse it, and counts from the charge on: at
first as if it were sent at any moment, and once it is sent, at that time.
"""

import collections
import threading
import typing

from gaprock import clock

# Share of the ratio that is used.  The rest covers repeats that arrive later than they
# were sent, and requests that were sent earlier than they arrived here.
USED_SHARE: typing.Final = 0.95
# The part of the earned repeats that is paid by the window half a window before.
BEFORE_SHARE: typing.Final = 0.15
# Counts are kept for fractions of the window: a window covers this many whole ones.
BUCKETS: typing.Final = 80
HALF: typing.Final = BUCKETS // 2
# With fewer repeats than this left, a part of the allowance is asked for.  A repeat
# that lacks it waits for it for a moment.
LOW_LEFT: typing.Final = 4.0
PART_WAIT_S: typing.Final = 0.2


class Allowance(typing.Protocol):
    """The source of parts of the allowance."""

    def request(self, service: str, is_short: bool) -> None:
        """Ask for a part for a service.

        :param is_short: whether no repeat is left.
        """

    def await_part(self, service: str, deadline: float) -> bool:
        """Wait for a part that was asked for; return whether there is an answer."""


class NoAllowance:
    """An allowance of which nothing is held."""

    __slots__ = ()

    def request(self, service: str, is_short: bool) -> None:
        """Do nothing."""

    def await_part(self, service: str, deadline: float) -> bool:
        """Return at once."""
        return False


NO_ALLOWANCE: typing.Final = NoAllowance()


class BudgetState(typing.NamedTuple):
    """A service's retry budget at one moment, in this process.

    :param firsts: requests of the last window.
    :param spent: repeats sent in the last window, or charged and not sent yet.
    :param left: repeats that may be charged now.
    :param held: the part of the allowance that this process holds.
    :param depth: repeats that could be charged now if none had been charged lately.
    """

    firsts: int
    spent: int
    left: float
    held: int
    depth: float


class Charge:
    """A repeat that the budget allowed and that is not sent yet."""

    __slots__ = ("service",)

    def __init__(self, service: str) -> None:
        self.service = service


class HeldPart:
    """A part of the allowance that this process holds.

    :param since: it counts in windows that begin later than this.
    :param deadline: it counts in windows that begin before this.
    """

    __slots__ = ("number", "since", "deadline")

    def __init__(self, number: int, since: float, deadline: float) -> None:
        self.number = number
        self.since = since
        self.deadline = deadline


class _Service:
    """Counts of one service, by fractions of the window; the last one is the newest."""

    __slots__ = ("firsts", "sent", "pending", "parts", "newest")

    def __init__(self, pending: int = 0) -> None:
        size = BUCKETS + HALF + 1
        self.firsts = collections.deque([0] * size, maxlen=size)
        self.sent = collections.deque([0] * size, maxlen=size)
        # Repeats that are charged and not sent yet.
        self.pending = pending
        # The parts of the allowance, with the first and the last bucket in which a
        # window may begin for which they count.
        self.parts: list[tuple[int, int, int]] = []
        self.newest = 0

    def advance(self, bucket: int) -> None:
        """Begin a new bucket, unless a later one has begun."""
        for _ in range(min(bucket - self.newest, len(self.sent))):
            self.firsts.append(0)
            self.sent.append(0)
        self.newest = max(self.newest, bucket)

    def add_first(self, bucket: int) -> None:
        """Count a request in a bucket that may have ended already."""
        index = min(-1, bucket - self.newest - 1)
        if index >= -len(self.firsts):
            self.firsts[index] += 1

    def held(self, bucket: int) -> int:
        """Return what the parts add to windows that begin in a bucket."""
        return sum(n for n, first, last in self.parts if first <= bucket <= last)

    def left(self, ratio: float) -> float:
        """Return how many repeats may be charged now.

        Each window that holds this moment has to keep to the bound.  It covers parts of
        its first and its last bucket: all repeats of these count, but no requests.
        """
        firsts, sent = list(self.firsts), list(self.sent)
        now = len(firsts) - 1
        repeats, during = self.pending, 0
        before = sum(firsts[now + 1 - HALF :])
        least = float("inf")
        for start in range(now, now - BUCKETS - 1, -1):
            repeats += sent[start]
            if start == now - BUCKETS:
                # That window ends within the newest bucket.
                during -= firsts[now]
            mix = (1.0 - BEFORE_SHARE) * during + BEFORE_SHARE * before
            held = self.held(self.newest - now + start) if self.parts else 0
            least = min(least, ratio * mix + held - repeats)
            during += firsts[start]
            before += firsts[start - HALF]
            if start + HALF - 1 <= now:
                before -= firsts[start + HALF - 1]
        return least

    def depth(self, ratio: float) -> float:
        """Return how many repeats could be charged now if none had been lately."""
        recent = sum(list(self.firsts)[-HALF:])
        return ratio * BEFORE_SHARE * recent + self.held(self.newest)


class RetryBudget:
    """The retry budget of one process, per service; thread-safe.

    :param ratio: repeats allowed for each request.
    :param window_s: length of the window.
    :param allowance: is asked for a part once few repeats are left to a service.
    """

    __slots__ = ("_clock", "_ratio", "_window_s", "_allowance", "_lock", "_services")

    def __init__(
        self,
        ratio: float,
        window_s: float,
        clock_: clock.Clock,
        allowance: Allowance = NO_ALLOWANCE,
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._clock = clock_
        self._allowance = allowance
        self._lock = threading.Lock()
        self._services: dict[str, _Service] = collections.defaultdict(_Service)

    def set_bounds(self, ratio: float, window_s: float) -> None:
        """Apply changed settings; with another window, counts begin anew."""
        with self._lock:
            self._ratio = ratio
            if window_s == self._window_s:
                return
            self._window_s = window_s
            for service, counts in self._services.items():
                self._services[service] = _Service(counts.pending)

    def record_first(self, service: str, at: float) -> None:
        """Count a request.

        :param at: when it arrived.
        """
        with self._lock:
            counts = self._services[service]
            bucket = self._bucket(at)
            counts.advance(bucket)
            counts.add_first(bucket)

    def left(self, service: str) -> float:
        """Return how many repeats may be charged now."""
        left = self.state(service).left
        self._ask_if_low(service, left)
        return left

    def await_left(self, service: str, deadline: float) -> float:
        """Return how many repeats may be charged, waiting for a part if none may be."""
        left = self.left(service)
        if left < 1.0 and self._await_part(service, deadline):
            left = self.state(service).left
        return left

    def charge(self, service: str, deadline: float) -> Charge | None:
        """Charge a repeat, waiting for a part of the allowance if it is lacking.

        :returns: the charge; ``None`` if the budget refuses it.
        """
        if self._charge(service):
            return Charge(service)
        if self._await_part(service, deadline) and self._charge(service):
            return Charge(service)
        return None

    def _charge(self, service: str) -> bool:
        with self._lock:
            counts = self._counts(service)
            left = self._left(counts)
            counts.pending += left >= 1.0
        self._ask_if_low(service, left - 1.0 if left >= 1.0 else left)
        return left >= 1.0

    def _ask_if_low(self, service: str, left: float) -> None:
        if left < LOW_LEFT:
            self._allowance.request(service, left < 1.0)

    def _await_part(self, service: str, deadline: float) -> bool:
        until = min(deadline, self._clock.now() + PART_WAIT_S)
        return self._allowance.await_part(service, until)

    def send(self, charge: Charge) -> bool:
        """Date a charge to now, as the repeat is sent.

        The requests that earned it may have left the window since it was charged.

        :returns: whether it may be sent; if not, the charge has ended.
        """
        with self._lock:
            counts = self._counts(charge.service)
            counts.pending -= 1
            if self._left(counts) < 1.0:
                return False
            counts.sent[-1] += 1
            return True

    def release(self, charge: Charge) -> None:
        """End a charge whose repeat was not sent."""
        with self._lock:
            self._services[charge.service].pending -= 1

    def hold(self, service: str, parts: list[HeldPart]) -> None:
        """Set the parts of the allowance that this process holds, or held lately."""
        with self._lock:
            counts = self._services[service]
            counts.parts = [
                (p.number, self._bucket(p.since) + 1, self._bucket(p.deadline) - 1)
                for p in parts
            ]

    def state(self, service: str) -> BudgetState:
        """Return a service's budget now."""
        with self._lock:
            counts = self._counts(service)
            firsts = sum(list(counts.firsts)[-BUCKETS:])
            spent = counts.pending + sum(list(counts.sent)[-BUCKETS:])
            held, depth = counts.held(counts.newest), counts.depth(self._used_ratio)
            return BudgetState(firsts, spent, self._left(counts), held, depth)

    def services(self) -> list[str]:
        """Return the services that were sent requests."""
        with self._lock:
            return list(self._services)

    @property
    def _used_ratio(self) -> float:
        return USED_SHARE * self._ratio

    def _bucket(self, at: float) -> int:
        return int(at * BUCKETS / self._window_s)

    def _counts(self, service: str) -> _Service:
        counts = self._services[service]
        counts.advance(self._bucket(self._clock.now()))
        return counts

    def _left(self, counts: _Service) -> float:
        return counts.left(self._used_ratio)
