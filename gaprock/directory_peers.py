"""Endpoint state in gossip: loads, cached prompts and unreachable endpoints."""

import collections
import typing

from gaprock import (
    clock,
    directory_paces,
    endpoint_held,
    endpoint_notices,
    endpoint_state,
    eventlog,
    mechanisms,
    prefix_cache,
    warm_up,
)

# Share of an engine's memory that is assumed to hold its prefix cache; running requests
# use the rest.
CACHE_SHARE: typing.Final = 0.8
# Number of recent prompts that are kept for gossip.
TOLD_PROMPTS: typing.Final = 1000
# A peer that reports more than this share of a service as unreachable is probably cut
# off itself, and its report is ignored.
MAX_UNREACHABLE_SHARE: typing.Final = 0.5


class GossipDirectory(directory_paces.PaceTable):
    """The endpoints with the state that gateways exchange about them."""

    def __init__(
        self,
        clock_: clock.Clock,
        drain_s: float,
        slow_starts: warm_up.SlowStarts | None = None,
        notices: endpoint_notices.EndpointNotices | None = None,
    ) -> None:
        super().__init__(clock_, drain_s, slow_starts, notices)
        # Endpoint incarnations with requests of each peer, by its last report.
        self._peer_loads: dict[str, typing.Collection[str]] = {}
        # Memory of each service's engines, in tokens.
        self._memory: dict[str, int] = {}
        # Own prompts whose prefill is done, as (endpoint incarnation, prefix hashes),
        # and their total number so far.
        self._prompts: collections.deque[tuple[str, list[prefix_cache.PrefixHash]]] = (
            collections.deque(maxlen=TOLD_PROMPTS)
        )
        self._prompt_count = 0
        # Endpoints with large requests of each peer, by its last report.
        self._peer_held: dict[str, typing.Collection[str]] = {}
        # How much the endpoints of each service may hold.
        self.crash_limits = endpoint_held.CrashLimits()

    def set_memory(self, tokens: dict[str, int]) -> None:
        """Set the memory of each service's engines, in tokens."""
        self._memory = tokens

    def has_memory(self, service: str) -> bool:
        """Whether the memory of a service's engines is known."""
        return self._memory.get(service, 0) > 0

    def _use(
        self, endpoint: endpoint_state.Endpoint, hashes: list[prefix_cache.PrefixHash]
    ) -> None:
        room = CACHE_SHARE * self._memory.get(endpoint.row.service, 0)
        endpoint.cache.use(hashes, int(room))

    @property
    def has_peer_loads(self) -> bool:
        """Whether peers report their loads; those of a large hall do not."""
        return bool(self._peer_loads)

    # -- Gossip --

    def own_loads(self) -> dict[str, endpoint_state.Load]:
        """Return this gateway's load at each endpoint."""
        with self._lock:
            return {
                e.incarnation: endpoint_state.Load(e.running, round(e.backlog.own))
                for e in self._busy.values()
            }

    def prompts_since(
        self, count: int
    ) -> tuple[int, list[tuple[str, list[prefix_cache.PrefixHash]]]]:
        """Return the number of own prompts, and those after the first ``count``."""
        with self._lock:
            new = min(len(self._prompts), self._prompt_count - count)
            last = list(self._prompts)[len(self._prompts) - new :] if new else []
            return self._prompt_count, last

    def apply_peer_prompts(
        self, prompts: list[tuple[str, list[prefix_cache.PrefixHash]]]
    ) -> None:
        """Apply the prompts that a peer reported to the prefix caches."""
        if not mechanisms.TOLD_PROMPTS.on:
            return
        with self._lock:
            for incarnation, hashes in prompts:
                endpoint = self._current.get(incarnation)
                if endpoint is not None:
                    self._use(endpoint, hashes)

    def unreachable_endpoints(self) -> list[str]:
        """Return the incarnations that this gateway finds unreachable."""
        with self._lock:
            return sorted(self._unreachable)

    def found_unreachable(self, gateways: typing.Collection[str]) -> list[str]:
        """Return what is unreachable for this gateway or for any of ``gateways``."""
        with self._lock:
            doubted = [
                incarnation
                for incarnation, e in self._suspected.items()
                if not e.suspected_by.isdisjoint(gateways)
            ]
            return sorted({*self._unreachable, *doubted})

    def suspected_endpoints(self) -> list[str]:
        """Return the incarnations that any peer reports as unreachable."""
        with self._lock:
            return sorted(self._suspected)

    def apply_peer_unreachable(
        self, gateway: str, names: typing.Collection[str]
    ) -> None:
        """Apply the incarnations that a peer reports as unreachable."""
        if not mechanisms.DOUBTED.on:
            return
        now = self._clock.now()
        with self._lock:
            told = [
                self._current[incarnation]
                for incarnation in names
                if incarnation in self._current
            ]
            found = collections.Counter(e.row.service for e in told)
            for endpoint in list(self._suspected.values()):
                if endpoint.incarnation not in names:
                    self._remove_suspicion(endpoint, gateway)
            for endpoint in told:
                size = len(self._index.of_service(endpoint.row.service))
                if found[endpoint.row.service] > max(1, MAX_UNREACHABLE_SHARE * size):
                    self._remove_suspicion(endpoint, gateway)
                elif gateway not in endpoint.suspected_by:
                    self._add_suspicion(endpoint, gateway, now)

    def _add_suspicion(
        self, endpoint: endpoint_state.Endpoint, gateway: str, now: float
    ) -> None:
        if not endpoint.suspected_by:
            endpoint.suspected_at = now
            self._slow_starts.assume_cold(endpoint, "reported unreachable")
            self._log_suspicion(endpoint, gateway, now)
        endpoint.suspected_by.add(gateway)
        self._suspected[endpoint.incarnation] = endpoint

    def _remove_suspicion(
        self, endpoint: endpoint_state.Endpoint, gateway: str
    ) -> None:
        if gateway not in endpoint.suspected_by:
            return
        endpoint.suspected_by.discard(gateway)
        if not endpoint.suspected_by:
            self._suspected.pop(endpoint.incarnation, None)
            self._slow_starts.assume_cold(endpoint, "no longer reported unreachable")

    def _log_suspicion(
        self, endpoint: endpoint_state.Endpoint, gateway: str, now: float
    ) -> None:
        eventlog.info(
            "endpoint-doubted",
            endpoint=endpoint.name,
            by=gateway,
            heard_s=now - endpoint.last_seen_at if endpoint.last_seen_at else "never",
        )

    def apply_peer_loads(
        self, gateway: str, loads: dict[str, endpoint_state.Load]
    ) -> None:
        """Apply a peer's load at each endpoint incarnation."""
        if not mechanisms.TOLD_LOADS.on:
            return
        now = self._clock.now()
        with self._lock:
            for incarnation in {*self._peer_loads.get(gateway, ()), *loads}:
                endpoint = self._current.get(incarnation)
                if endpoint is None:
                    continue
                load = loads.get(incarnation)
                endpoint.backlog.record_peer(
                    gateway, load.reading if load else 0.0, now
                )
                if load is not None:
                    endpoint.others[gateway] = load
                else:
                    endpoint.others.pop(gateway, None)
            self._peer_loads[gateway] = tuple(loads)
            if not loads:
                del self._peer_loads[gateway]

    # -- Bytes held by endpoints --

    def own_held(self) -> dict[str, int]:
        """Return the bytes of own large requests that endpoints hold."""
        with self._lock:
            held = {e.incarnation: e.held.own for e in self._busy.values()}
        return endpoint_held.largest({name: n for name, n in held.items() if n})

    def apply_peer_held(self, gateway: str, held: dict[str, int]) -> None:
        """Apply the bytes that a peer gave each endpoint incarnation."""
        known = self._peer_held.get(gateway, ())
        if not held and not known:
            return
        now = self._clock.now()
        with self._lock:
            for incarnation in {*known, *held}:
                endpoint = self._current.get(incarnation)
                if endpoint is not None:
                    size = max(0, held.get(incarnation, 0))
                    endpoint.held.record_peer(gateway, size, now)
            self._peer_held[gateway] = tuple(held)
            if not held:
                del self._peer_held[gateway]

    def accepting(
        self, endpoints: list[endpoint_state.Endpoint], size: int
    ) -> list[endpoint_state.Endpoint]:
        """Return the endpoints that may be given a large request.

        Those that read slowly come into question only if all do: then the delay is
        probably in this machine's own link.
        """
        now = self._clock.now()
        with self._lock:
            fitting = [
                e
                for e in endpoints
                if endpoint_held.accepts(
                    e.held, size, self.crash_limits.limit(e.row.service, now)
                )
            ]
            return [e for e in fitting if not e.held.reads_slowly(now)] or fitting

    def hold(self, endpoint: endpoint_state.Endpoint, size: int, attempt: int) -> None:
        """Record that a large request is being sent to an endpoint."""
        now = self._clock.now()
        with self._lock:
            endpoint.held.add(size, now)
            endpoint.held.begin_reading(attempt, now)

    def record_read(self, endpoint: endpoint_state.Endpoint, attempt: int) -> None:
        """Record that an endpoint read a large request."""
        with self._lock:
            endpoint.held.end_reading(attempt)

    def release(
        self, endpoint: endpoint_state.Endpoint, size: int, attempt: int
    ) -> None:
        """Record the end of a large request."""
        with self._lock:
            endpoint.held.end_reading(attempt)
            endpoint.held.remove(size, self._clock.now())

    def record_survived(self, endpoint: endpoint_state.Endpoint) -> None:
        """Record that an endpoint answered a large request."""
        with self._lock:
            total = endpoint.held.total
            self.crash_limits.record_survived(endpoint.row.service, total)

    def _record_crash(self, endpoint: endpoint_state.Endpoint, now: float) -> None:
        held = endpoint.held.peak(now)
        if held:
            service, name = endpoint.row.service, endpoint.name
            self.crash_limits.record_crash(service, name, held, now)
