"""What endpoints were given to hold, and where they were observed to crash under it.

Load condition: endpoints with little memory, and endpoints that read requests slowly.
Without network and threads; the directory guards this state by its lock.
"""

import math
import typing

from gaprock import eventlog

# Bodies from this size on are large.  Smaller ones are not counted, always proceed, and
# fit into the buffers of a connection.
LARGE_BODY: typing.Final = 64 * 1024
# An endpoint that has not read a large body for this long reads slowly, seconds.  A
# megabyte takes a tenth of this on a link of 100 Mbit/s.
SLOW_READ_S: typing.Final = 0.8
# A crash is attributed to the most that an endpoint held within this time before it was
# noticed, seconds: heartbeats and the check of a connection take up to a second.
PEAK_WINDOW_S: typing.Final = 2.0
# Share of the bytes under which an endpoint crashed that others are given.
LIMIT_SHARE: typing.Final = 0.8
# A limit is dropped this long after the last crash, seconds, since endpoints with more
# memory may have replaced those that crashed.
FORGET_S: typing.Final = 120.0
# Number of endpoints that a gateway reports to its hall, and a hall to others: those
# that hold most.
MAX_REPORTED: typing.Final = 24


class EndpointHeld:
    """Bytes of large requests that one incarnation of an endpoint holds."""

    __slots__ = ("own", "others", "_reading", "_peak", "_before", "_window_at")

    def __init__(self) -> None:
        # Given by this gateway, and by each peer according to its last report.
        self.own = 0
        self.others: dict[str, int] = {}
        # When each large body that it is still reading was sent, by attempt.
        self._reading: dict[int, float] = {}
        # The most it held in the current window and in the one before.
        self._peak = 0
        self._before = 0
        self._window_at = 0.0

    @property
    def total(self) -> int:
        """Bytes given by all gateways."""
        return self.own + sum(self.others.values())

    def add(self, size: int, now: float) -> None:
        """Record a request that is being sent."""
        self.own += size
        self.record_peak(now)

    def remove(self, size: int, now: float) -> None:
        """Record that a request ended."""
        self.record_peak(now)
        self.own -= size

    def record_peer(self, gateway: str, size: int, now: float) -> None:
        """Record what a peer gave it."""
        self.record_peak(now)
        if size:
            self.others[gateway] = size
        else:
            self.others.pop(gateway, None)
        self.record_peak(now)

    def record_peak(self, now: float) -> None:
        """Include what it holds now in the peaks."""
        if now >= self._window_at + PEAK_WINDOW_S:
            is_next = now < self._window_at + 2 * PEAK_WINDOW_S
            self._before = self._peak if is_next else 0
            self._peak, self._window_at = 0, now
        self._peak = max(self._peak, self.total)

    def peak(self, now: float) -> int:
        """Return the most that it held recently."""
        self.record_peak(now)
        return max(self._peak, self._before)

    def begin_reading(self, attempt: int, now: float) -> None:
        """Record that a large body is being sent."""
        self._reading[attempt] = now

    def end_reading(self, attempt: int) -> None:
        """Record that a large body was read, or its send ended."""
        self._reading.pop(attempt, None)

    def reads_slowly(self, now: float) -> bool:
        """Whether it has not read a large body in time."""
        return any(now >= since + SLOW_READ_S for since in self._reading.values())


class _Limit:
    """What is known of the endpoints of a service."""

    __slots__ = ("survived", "crashed_at", "limit")

    def __init__(self) -> None:
        # The most under which an endpoint answered.
        self.survived = 0
        self.crashed_at = -math.inf
        self.limit = math.inf


class CrashLimits:
    """How much the endpoints of each service may hold; learned from crashes.

    A crash ends the endpoint's incarnation and all its state, so this is kept for the
    service.
    """

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}

    def record_survived(self, service: str, total: int) -> None:
        """Record that an endpoint answered while it held an amount."""
        if total:
            known = self._limits.setdefault(service, _Limit())
            known.survived = max(known.survived, total)

    def record_crash(self, service: str, endpoint: str, held: int, now: float) -> None:
        """Record that an endpoint crashed while it held an amount.

        A crash under no more than other endpoints survived has another cause.
        """
        known = self._limits.setdefault(service, _Limit())
        if held < LARGE_BODY or held <= known.survived:
            return
        limit = max(known.survived, int(LIMIT_SHARE * held))
        known.crashed_at = now
        if limit < known.limit:
            known.limit = limit
            eventlog.warning(
                "endpoint-crashed-full",
                service=service,
                endpoint=endpoint,
                held=held,
                survived=known.survived,
                limit=limit,
            )

    def limit(self, service: str, now: float) -> float:
        """Return how much an endpoint of a service may hold; infinite if unknown."""
        known = self._limits.get(service)
        if known is None:
            return math.inf
        if now >= known.crashed_at + FORGET_S and known.limit != math.inf:
            # What was survived is forgotten too: it may have been at other endpoints.
            known.limit, known.survived = math.inf, 0
        return known.limit


def accepts(held: EndpointHeld, size: int, limit: float) -> bool:
    """Whether an endpoint may be given a large request.

    One that holds nothing may: a request that crashes endpoints by itself is held back
    by the quarantine.
    """
    return not held.total or held.total + size <= limit


def largest(held: dict[str, int]) -> dict[str, int]:
    """Return the largest amounts, as many as are reported."""
    if len(held) <= MAX_REPORTED:
        return held
    names = sorted(held, key=lambda name: held[name], reverse=True)
    return {name: held[name] for name in names[:MAX_REPORTED]}
