"""Placement: which versions to load on which endpoints ahead of demand."""

import typing

from gaprock import plugin, policy_api

# Maximum number of moves per plan, since the weight store is rate-limited.
MAX_MOVES: typing.Final = 4
LOAD: typing.Final = "load"
UNLOAD: typing.Final = "unload"


class PlannedState:
    """The placement that results from the moves planned so far."""

    __slots__ = ("versions", "free", "slots")

    def __init__(self, endpoints: list[policy_api.EndpointState]) -> None:
        self.versions = {e.endpoint: set(e.versions) for e in endpoints}
        self.free = {e.endpoint: e.free for e in endpoints}
        self.slots = {e.endpoint: e.slots for e in endpoints}

    def holders(self, version: str) -> list[str]:
        """Return the endpoints that have a version loaded."""
        return [e for e, versions in self.versions.items() if version in versions]

    def apply(self, move: policy_api.Move) -> None:
        """Apply a move to the planned placement."""
        if move.action == LOAD:
            self.versions[move.endpoint].add(move.version)
            self.free[move.endpoint] -= 1
        else:
            self.versions[move.endpoint].discard(move.version)
            self.free[move.endpoint] += 1


@plugin.register(policy_api.Placement, "planned")
class Planned(policy_api.Placement):
    """Assigns endpoints to versions in proportion to their expected demand.

    1. Each version gets a wanted number of endpoints: its share of the demand, rounded
       to the nearest number, plus one; at least one.
    2. The version that lacks the largest share of its wanted endpoints goes first. It
       is loaded where memory is free, or else in place of a version that has more
       endpoints than wanted.
    """

    __slots__ = ()

    def plan(
        self,
        endpoints: list[policy_api.EndpointState],
        demands: list[policy_api.Demand],
    ) -> list[policy_api.Move]:
        state = PlannedState(endpoints)
        wanted = self._wanted(len(endpoints), demands)
        moves: list[policy_api.Move] = []
        while len(moves) < MAX_MOVES:
            step = self._next_step(state, wanted)
            if not step or len(moves) + len(step) > MAX_MOVES:
                return moves
            for move in step:
                state.apply(move)
            moves.extend(step)
        return moves

    def _wanted(self, count: int, demands: list[policy_api.Demand]) -> dict[str, int]:
        """Return the wanted number of endpoints of each version."""
        total = sum(d.rate for d in demands)
        wanted = {}
        for demand in demands:
            # Versions may share endpoints, so the numbers may add up to more than the
            # total. Each version gets its share of the endpoints, rounded, and a spare.
            part = demand.rate / total if total else 0.0
            spare = 1 if demand.rate else 0
            wanted[demand.version] = min(count, max(1, round(part * count) + spare))
        return wanted

    def _next_step(
        self, state: PlannedState, wanted: dict[str, int]
    ) -> list[policy_api.Move]:
        lacking = [v for v, n in wanted.items() if len(state.holders(v)) < n]
        lacking.sort(key=lambda v: len(state.holders(v)) / wanted[v])
        for version in lacking:
            others = [e for e in state.versions if version not in state.versions[e]]
            with_space = [e for e in others if state.free[e] > 0]
            if with_space:
                target = max(with_space, key=lambda e: (state.free[e], state.slots[e]))
                return [policy_api.Move(target, LOAD, version)]
            step = self._replace(state, wanted, version, others)
            if step:
                return step
        return []

    def _replace(
        self,
        state: PlannedState,
        wanted: dict[str, int],
        version: str,
        others: list[str],
    ) -> list[policy_api.Move]:
        """Return moves that replace a version which has more endpoints than wanted."""
        for endpoint in others:
            for held in sorted(state.versions[endpoint]):
                if len(state.holders(held)) > wanted.get(held, 0):
                    return [
                        policy_api.Move(endpoint, UNLOAD, held),
                        policy_api.Move(endpoint, LOAD, version),
                    ]
        return []


@plugin.register(policy_api.Placement, "on-demand")
class OnDemand(policy_api.Placement):
    """Baseline: no version is loaded ahead of demand."""

    __slots__ = ()

    def plan(
        self,
        endpoints: list[policy_api.EndpointState],
        demands: list[policy_api.Demand],
    ) -> list[policy_api.Move]:
        return []
