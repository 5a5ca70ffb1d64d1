"""Placement: which versions stand on which endpoint before everyone arrives."""

import typing

from gaprock import plugin, policy_api

# Moves asked for at once; the weight store is rate-limited.
MAX_MOVES: typing.Final = 4
LOAD: typing.Final = "load"
UNLOAD: typing.Final = "unload"


class Board:
    """The placement while it is planned."""

    __slots__ = ("versions", "free", "slots")

    def __init__(self, endpoints: list[policy_api.EndpointState]) -> None:
        self.versions = {e.endpoint: set(e.versions) for e in endpoints}
        self.free = {e.endpoint: e.free for e in endpoints}
        self.slots = {e.endpoint: e.slots for e in endpoints}

    def holders(self, version: str) -> list[str]:
        """List the endpoints that have a version."""
        return [e for e, versions in self.versions.items() if version in versions]

    def apply(self, move: policy_api.Move) -> None:
        """Carry a move out on the board."""
        if move.action == LOAD:
            self.versions[move.endpoint].add(move.version)
            self.free[move.endpoint] -= 1
        else:
            self.versions[move.endpoint].discard(move.version)
            self.free[move.endpoint] += 1


@plugin.register(policy_api.Placement, "planned")
class Planned(policy_api.Placement):
    """Gives each version endpoints in proportion to the work it will bring.

    1. Each version gets a wanted number of endpoints, by largest remainder.
    2. The version that lacks the largest share of them is helped first: by a
       load where memory is free, else by unloading what is spare elsewhere.
    """

    __slots__ = ()

    def plan(
        self,
        endpoints: list[policy_api.EndpointState],
        demands: list[policy_api.Demand],
    ) -> list[policy_api.Move]:
        board = Board(endpoints)
        wanted = self._wanted(len(endpoints), demands)
        moves: list[policy_api.Move] = []
        while len(moves) < MAX_MOVES:
            step = self._next_step(board, wanted)
            if not step or len(moves) + len(step) > MAX_MOVES:
                return moves
            for move in step:
                board.apply(move)
            moves.extend(step)
        return moves

    def _wanted(self, count: int, demands: list[policy_api.Demand]) -> dict[str, int]:
        """Give the wanted number of endpoints of each version."""
        total = sum(d.rate for d in demands)
        wanted = {}
        for demand in demands:
            # A version may share its endpoints, so the numbers are not exclusive:
            # each gets its part of the endpoints, rounded up, and one to spare.
            part = demand.rate / total if total else 0.0
            spare = 1 if demand.rate else 0
            wanted[demand.version] = min(count, max(1, round(part * count) + spare))
        return wanted

    def _next_step(self, board: Board, wanted: dict[str, int]) -> list[policy_api.Move]:
        lacking = [v for v, n in wanted.items() if len(board.holders(v)) < n]
        lacking.sort(key=lambda v: len(board.holders(v)) / wanted[v])
        for version in lacking:
            others = [e for e in board.versions if version not in board.versions[e]]
            roomy = [e for e in others if board.free[e] > 0]
            if roomy:
                target = max(roomy, key=lambda e: (board.free[e], board.slots[e]))
                return [policy_api.Move(target, LOAD, version)]
            step = self._replace(board, wanted, version, others)
            if step:
                return step
        return []

    def _replace(
        self, board: Board, wanted: dict[str, int], version: str, others: list[str]
    ) -> list[policy_api.Move]:
        """Make room by unloading a version that has endpoints to spare."""
        for endpoint in others:
            for held in sorted(board.versions[endpoint]):
                if len(board.holders(held)) > wanted.get(held, 0):
                    return [
                        policy_api.Move(endpoint, UNLOAD, held),
                        policy_api.Move(endpoint, LOAD, version),
                    ]
        return []


@plugin.register(policy_api.Placement, "on-demand")
class OnDemand(policy_api.Placement):
    """Baseline: nothing is loaded ahead."""

    __slots__ = ()

    def plan(
        self,
        endpoints: list[policy_api.EndpointState],
        demands: list[policy_api.Demand],
    ) -> list[policy_api.Move]:
        return []
