"""What gateways tell each other of endpoints: loads, prompts, and which are dark."""

import collections
import typing

from gaprock import (
    clock,
    directory_rows,
    endpoint_notices,
    endpoint_state,
    eventlog,
    mechanisms,
    prefix_cache,
    warm_up,
)

# Share of an engine's memory that is taken as room for parts of prompts; running
# requests have the rest.
CACHE_SHARE: typing.Final = 0.8
# Prompts that are kept to be told to other gateways.
TOLD_PROMPTS: typing.Final = 1000
# A gateway that finds more than this share of a service dark is likely cut off itself.
DARK_SHARE: typing.Final = 0.5


class ToldBook(directory_rows.EndpointBook):
    """What this gateway tells of endpoints, and hears from others."""

    def __init__(
        self,
        clock_: clock.Clock,
        drain_s: float,
        slow_starts: warm_up.SlowStarts | None = None,
        notices: endpoint_notices.EndpointNotices | None = None,
    ) -> None:
        super().__init__(clock_, drain_s, slow_starts, notices)
        # The lives at which each other gateway has requests, as it told last.
        self._told: dict[str, typing.Collection[str]] = {}
        # Memory of a service's engines, in tokens.
        self._memory: dict[str, int] = {}
        # Prompts that were read for us, as (endpoint, marks); how many there ever were.
        self._prompts: collections.deque[tuple[str, list[prefix_cache.PrefixHash]]] = (
            collections.deque(maxlen=TOLD_PROMPTS)
        )
        self._prompt_count = 0

    def set_memory(self, tokens: dict[str, int]) -> None:
        """Take the memory of each service's engines, in tokens."""
        self._memory = tokens

    def has_memory(self, service: str) -> bool:
        """Whether the memory of a service's engines is known."""
        return self._memory.get(service, 0) > 0

    def _use(
        self, endpoint: endpoint_state.Endpoint, hashes: list[prefix_cache.PrefixHash]
    ) -> None:
        room = CACHE_SHARE * self._memory.get(endpoint.row.service, 0)
        endpoint.cache.use(hashes, int(room))

    # -- What other gateways tell --

    def own_loads(self) -> dict[str, endpoint_state.Load]:
        """Give what we have at each endpoint."""
        with self._lock:
            return {
                e.incarnation: endpoint_state.Load(e.running, round(e.backlog.own))
                for e in self._busy.values()
            }

    def prompts_since(
        self, count: int
    ) -> tuple[int, list[tuple[str, list[prefix_cache.PrefixHash]]]]:
        """Give our prompts after the first so many, and how many there are now."""
        with self._lock:
            new = min(len(self._prompts), self._prompt_count - count)
            last = list(self._prompts)[len(self._prompts) - new :] if new else []
            return self._prompt_count, last

    def apply_peer_prompts(
        self, prompts: list[tuple[str, list[prefix_cache.PrefixHash]]]
    ) -> None:
        """Take the prompts that another gateway sent."""
        if not mechanisms.TOLD_PROMPTS.on:
            return
        with self._lock:
            for incarnation, hashes in prompts:
                endpoint = self._lives.get(incarnation)
                if endpoint is not None:
                    self._use(endpoint, hashes)

    def unreachable_endpoints(self) -> list[str]:
        """Give the endpoints that we find dark."""
        with self._lock:
            return sorted(self._dark)

    def found_unreachable(self, gateways: typing.Collection[str]) -> list[str]:
        """Give the endpoints that we or some others, by their names, find dark."""
        with self._lock:
            doubted = [
                incarnation
                for incarnation, e in self._doubted.items()
                if not e.doubters.isdisjoint(gateways)
            ]
            return sorted({*self._dark, *doubted})

    def doubted(self) -> list[str]:
        """Give the endpoints that anybody finds dark."""
        with self._lock:
            return sorted(self._doubted)

    def apply_peer_unreachable(
        self, gateway: str, names: typing.Collection[str]
    ) -> None:
        """Take the endpoints that another gateway finds dark, by their lives."""
        if not mechanisms.DOUBTED.on:
            return
        now = self._clock.now()
        with self._lock:
            told = [
                self._lives[incarnation]
                for incarnation in names
                if incarnation in self._lives
            ]
            found = collections.Counter(e.row.service for e in told)
            for endpoint in list(self._doubted.values()):
                if endpoint.incarnation not in names:
                    self._undoubt(endpoint, gateway)
            for endpoint in told:
                size = len(self._index.of_service(endpoint.row.service))
                if found[endpoint.row.service] > max(1, DARK_SHARE * size):
                    self._undoubt(endpoint, gateway)
                elif gateway not in endpoint.doubters:
                    self._doubt(endpoint, gateway, now)

    def _doubt(
        self, endpoint: endpoint_state.Endpoint, gateway: str, now: float
    ) -> None:
        if not endpoint.doubters:
            endpoint.doubted_at = now
            self._slow_starts.note_return(endpoint, "found dark")
            self._log_doubt(endpoint, gateway, now)
        endpoint.doubters.add(gateway)
        self._doubted[endpoint.incarnation] = endpoint

    def _undoubt(self, endpoint: endpoint_state.Endpoint, gateway: str) -> None:
        if gateway not in endpoint.doubters:
            return
        endpoint.doubters.discard(gateway)
        if not endpoint.doubters:
            self._doubted.pop(endpoint.incarnation, None)
            self._slow_starts.note_return(endpoint, "no longer dark")

    def _log_doubt(
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
        """Take another gateway's requests by the endpoints' lives."""
        if not mechanisms.TOLD_LOADS.on:
            return
        now = self._clock.now()
        with self._lock:
            for incarnation in {*self._told.get(gateway, ()), *loads}:
                endpoint = self._lives.get(incarnation)
                if endpoint is None:
                    continue
                load = loads.get(incarnation)
                endpoint.backlog.take(gateway, load.reading if load else 0.0, now)
                if load is not None:
                    endpoint.others[gateway] = load
                else:
                    endpoint.others.pop(gateway, None)
            self._told[gateway] = tuple(loads)
            if not loads:
                del self._told[gateway]
