"""Tells delays of this process from endpoints that do not answer.

A time-out shows that an endpoint does not answer only if this process could have
noticed an answer.  On a small vm that is out of processor time or whose network link is
full, connections time out at whichever endpoint is tried.  Such a gateway would eject
one endpoint after another, end their running streams, and report them to its peers as
unreachable, so that the whole fleet avoids them in the middle of a rush.

There are three signs.  A periodic task runs late; the bodies of requests kept the
network link busy; or most of the latest connections to several endpoints timed out.
"""

import collections
import threading
import typing

from gaprock import mechanisms, startup_wait

# Interval of the periodic task.
CHECK_INTERVAL_S: typing.Final = 0.1
# A check that is late by this much is a delay.  Connections time out after 0.25 s or
# 0.45 s, so a delay of this length makes a time-out doubtful, while shorter ones are
# common on a busy machine.
MIN_DELAY_S: typing.Final = 0.15
# The latest connections are those of this many seconds.  It is the time in which the
# endpoints of a crashed machine all time out.
CONNECTIONS_S: typing.Final = 1.0
# Time over which the use of the network link is measured: a packet that waited behind
# the bodies of this time is late.  A connection is checked for 0.25 s, so the link is
# full if these bodies took that long.
LINK_WINDOW_S: typing.Final = 0.6
LINK_FULL_S: typing.Final = 0.25
# Number of endpoints that have to time out for the time-outs to count as our own fault,
# and how many times as many have to time out as connected.
MIN_ENDPOINTS: typing.Final = 3
MIN_RATIO: typing.Final = 2


def is_small_machine(cpu_cores: float, link_mbps: float) -> bool:
    """Whether a machine may run out of processor time or of its link in a rush.

    :param cpu_cores: number of cores; 0 if unknown.
    :param link_mbps: speed of the network link; 0 if unknown.
    """
    has_few_cores = 0 < cpu_cores < startup_wait.LARGE_CORES
    return has_few_cores or 0 < link_mbps < startup_wait.LARGE_LINK_MBPS


class _LinkUse:
    """The use of the network link in one direction."""

    __slots__ = ("_bytes_per_s", "_bodies")

    def __init__(self, link_mbps: float) -> None:
        self._bytes_per_s = link_mbps * 1e6 / 8
        self._bodies: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, size: int, now: float) -> None:
        """Record a body that was read or is sent now."""
        self._bodies.append((now, size))
        self._expire(now)

    def busy_s(self, now: float) -> float:
        """Return how long the link needs for the latest bodies, in seconds."""
        self._expire(now)
        if not self._bytes_per_s:
            return 0.0
        return sum(size for _, size in self._bodies) / self._bytes_per_s

    def _expire(self, now: float) -> None:
        while self._bodies and self._bodies[0][0] < now - LINK_WINDOW_S:
            self._bodies.popleft()


class _Connection(typing.NamedTuple):
    """The result of an attempt to connect to an endpoint."""

    at: float
    endpoint: str
    timed_out: bool


class OwnDelays:
    """The latest delays of this process; thread-safe.

    :param is_on: whether delays are looked for; otherwise none is ever found.
    :param link_mbps: speed of the network link; 0 if unknown.
    """

    __slots__ = (
        "_lock",
        "_is_on",
        "_checked_at",
        "_delayed_at",
        "_connections",
        "_received",
        "_sent",
    )

    def __init__(self, now: float, is_on: bool, link_mbps: float = 0.0) -> None:
        self._received = _LinkUse(link_mbps)
        self._sent = _LinkUse(link_mbps)
        self._lock = threading.Lock()
        self._is_on = is_on
        self._checked_at = now
        # When the latest delay ended.
        self._delayed_at = -float("inf")
        self._connections: collections.deque[_Connection] = collections.deque()

    @property
    def is_on(self) -> bool:
        """Whether delays are looked for."""
        return self._is_on

    def record_check(self, now: float) -> float:
        """Record a call of the periodic task.

        :returns: by how many seconds it is late, if that is a delay; 0 otherwise.
        """
        late_s = now - self._checked_at - CHECK_INTERVAL_S
        self._checked_at = now
        if late_s < MIN_DELAY_S:
            return 0.0
        self._delayed_at = now
        return late_s

    def record_connection(self, endpoint: str, timed_out: bool, now: float) -> None:
        """Record whether a connection to an endpoint timed out or was accepted.

        A connection that an endpoint refused counts as accepted, since its answer
        arrived.
        """
        if not self._is_on:
            return
        with self._lock:
            self._connections.append(_Connection(now, endpoint, timed_out))
            self._expire(now)

    def record_received(self, size: int, now: float) -> None:
        """Record a request's body that was read from its caller."""
        if self._is_on and size:
            with self._lock:
                self._received.record(size, now)

    def record_sent(self, size: int, now: float) -> None:
        """Record a request's body that is sent to an endpoint."""
        if self._is_on and size:
            with self._lock:
                self._sent.record(size, now)

    def link_busy_s(self, now: float) -> float:
        """Return how long the link needs for the latest bodies, in seconds."""
        with self._lock:
            return max(self._received.busy_s(now), self._sent.busy_s(now))

    def was_delayed(self, since: float, now: float) -> bool:
        """Whether a time-out may be due to this process.

        :param since: when the connection that timed out was begun.
        """
        if not self._is_on or not mechanisms.OWN_DELAYS.on:
            return False
        is_overdue = now - self._checked_at >= CHECK_INTERVAL_S + MIN_DELAY_S
        if is_overdue or self._delayed_at >= since:
            return True
        if self.link_busy_s(now) >= LINK_FULL_S:
            return True
        return bool(self.doubtful_endpoints(now))

    def doubtful_endpoints(self, now: float) -> set[str]:
        """Return the endpoints that timed out lately, if that shows a fault of ours."""
        if not self._is_on:
            return set()
        with self._lock:
            self._expire(now)
            timed_out = [c.endpoint for c in self._connections if c.timed_out]
            connected = len(self._connections) - len(timed_out)
        found = set(timed_out)
        if len(found) < MIN_ENDPOINTS or len(timed_out) < MIN_RATIO * connected:
            return set()
        return found

    def _expire(self, now: float) -> None:
        while self._connections and self._connections[0].at < now - CONNECTIONS_S:
            self._connections.popleft()
