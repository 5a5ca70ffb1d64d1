"""Which runs were open at an endpoint of an agent when its process ended.

As behind the gateways (``begun_sends``), the way in which a run ended says little: its
process may have ended later, and a port that accepts connections may be another
process's by then.  A second connection, kept open beside the runs, ends with the
process, so each of these stands for one incarnation.
"""

import threading
import typing

from gaprock import agent_endpoint, clock, eventlog, ids, peer_watch

# An endpoint may go on with a run for this long after the agent has given it up.
LINGER_S: typing.Final = 1.0
# Part of an incarnation's name: distinguishes the incarnations counted by this process
# from those counted by an earlier agent process.
_PROCESS_TOKEN: typing.Final = ids.new_token()


class Incarnation:
    """A process of an endpoint, and the connection that ends with it."""

    __slots__ = ("name", "watch", "ended_at")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name = name
        self.watch = peer_watch.PeerWatch(address)
        # When it was found to have ended.
        self.ended_at = clock.NEVER

    def has_ended(self, now: float) -> bool:
        """Whether the process has ended."""
        if self.ended_at == clock.NEVER and self.watch.is_closed():
            self.ended_at = now
            self.watch.close()
        return self.ended_at != clock.NEVER


class ExposedRun:
    """A run that ended without a complete answer, or has not ended yet."""

    __slots__ = ("incarnation", "request", "fingerprint", "weight", "ended_at")

    def __init__(
        self, incarnation: Incarnation, request: str, fingerprint: int
    ) -> None:
        self.incarnation = incarnation
        self.request = request
        self.fingerprint = fingerprint
        # Weight against its request if the process has ended; set at the run's end.
        self.weight = 0
        self.ended_at = clock.NEVER


class EndpointEnds:
    """The runs at one endpoint, by incarnation; thread-safe."""

    __slots__ = ("_clock", "_endpoint", "_lock", "_count", "_now", "_runs", "_is_on")

    def __init__(self, clock_: clock.Clock, endpoint: agent_endpoint.Endpoint) -> None:
        self._clock = clock_
        self._endpoint = endpoint
        self._lock = threading.Lock()
        # Number of incarnations so far, and the one that runs now.
        self._count = 0
        self._now: Incarnation | None = None
        # Runs that ended without a complete answer lately.
        self._runs: list[ExposedRun] = []
        # False once the endpoint has closed an idle connection although it lived.
        self._is_on = True

    def begin(self, request: str, fingerprint: int) -> ExposedRun:
        """Record that a run is called now."""
        with self._lock:
            if self._now is None or self._now.has_ended(self._clock.now()):
                self._now = self._next()
            return ExposedRun(self._now, request, fingerprint)

    def _next(self) -> Incarnation:
        self._count += 1
        name = f"{self._endpoint.option.name}@{_PROCESS_TOKEN}.{self._count}"
        return Incarnation(name, self._endpoint.address)

    def complete(self, run: ExposedRun) -> str:
        """Record a complete answer.

        :returns: the incarnation that was taken for ended by mistake; empty for none.
        """
        with self._lock:
            if run.incarnation.ended_at == clock.NEVER or not self._is_on:
                return ""
            self._is_on = False
            self._runs.clear()
        name = run.incarnation.name
        eventlog.warning("idle-connection-closed", endpoint=self._endpoint.option.name)
        return name

    def give_up(self, run: ExposedRun, weight: int, is_cut: bool) -> None:
        """Record that a run ended without a complete answer.

        :param is_cut: whether its endpoint cut it, and may have ended with it.
        """
        if is_cut:
            run.incarnation.watch.is_closed(peer_watch.GRACE_S)
        with self._lock:
            run.weight, run.ended_at = weight, self._clock.now()
            self._runs.append(run)

    def find(self) -> list[ExposedRun]:
        """Return the runs whose process has ended meanwhile, each once."""
        now = self._clock.now()
        found: list[ExposedRun] = []
        with self._lock:
            kept: list[ExposedRun] = []
            for run in self._runs:
                if self._has_ended(run.incarnation, now):
                    found.append(run)
                elif now < run.ended_at + LINGER_S:
                    kept.append(run)
            self._runs = kept
        return found

    def _has_ended(self, incarnation: Incarnation, now: float) -> bool:
        if self._is_on:
            return incarnation.has_ended(now)
        return not self._endpoint.accepts_connections()
