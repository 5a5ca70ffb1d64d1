"""Routing: which endpoint gets a request.

Load reports lag, so an endpoint's load is estimated as what was reported plus
what this entry has sent there since.
"""

import random
import typing

from gaprock import mechanisms, plugin, policy_api

# An endpoint that likely holds the prompt's prefix may be this much more loaded.
PREFIX_TOLERANCE: typing.Final = 1.25
MIN_SERVICE_S: typing.Final = 0.001
# An endpoint in another hall is used when the own hall's are this much fuller: bytes
# between halls are priced, and they take longer.
HALL_FILL: typing.Final = 0.5
# A prompt of mean length that is not read yet holds up all that runs beside it; it
# counts as this much of an endpoint's slots.
UNREAD_FILL: typing.Final = 0.15
# An endpoint that holds the prompt's prefix may be this much fuller.
PREFIX_FILL: typing.Final = 0.1
# Endpoints that are drawn and compared.
FEW: typing.Final = 2
# An endpoint that keeps so much of the prompt is compared as well.
KEPT_SHARE: typing.Final = 0.25


def expected_wait(candidate: policy_api.Candidate) -> float:
    """Estimate the seconds until a new request there would be done."""
    load = candidate.load
    ahead = load.running + load.queued + candidate.sent_since + 1
    rounds = ahead / max(1, load.limit)
    return max(1.0, rounds) * max(MIN_SERVICE_S, load.service_s)


def expected_fill(candidate: policy_api.Candidate) -> float:
    """Estimate the requests there for each one that may run."""
    load = candidate.load
    ahead = load.running + load.queued + candidate.sent_since
    return ahead / max(1, load.limit)


@plugin.register(policy_api.Routing, "two-choices")
class TwoChoices(policy_api.Routing):
    """The better of two random endpoints, the own hall's first.

    Two random ones rather than the best of all: entries that see the same lagging
    reports would otherwise all send to the same endpoint.
    """

    __slots__ = ()

    def choose(
        self, candidates: list[policy_api.Candidate], rng: random.Random
    ) -> policy_api.Candidate | None:
        if not candidates:
            return None
        near = [c for c in candidates if c.same_hall and expected_fill(c) < 1.0]
        pool = near or candidates
        pair = rng.sample(pool, min(2, len(pool)))
        best = min(pair, key=lambda c: (expected_wait(c), expected_fill(c)))
        return self._prefer_prefix(best, pool)

    def _prefer_prefix(
        self, best: policy_api.Candidate, pool: list[policy_api.Candidate]
    ) -> policy_api.Candidate:
        """Prefer a holder of the prompt's prefix while it is not hot."""
        bound = expected_wait(best) * PREFIX_TOLERANCE
        for candidate in pool:
            if candidate.holds_prefix and expected_wait(candidate) <= bound:
                return candidate
        return best


@plugin.register(policy_api.Routing, "least-filled")
class LeastFilled(policy_api.Routing):
    """The emptiest endpoint, where the own hall and a kept prefix count as room.

    For gateways, which tell each other their loads several times a second, so that
    the best of all is better than the better of two.
    """

    __slots__ = ()

    def choose(
        self, candidates: list[policy_api.Candidate], rng: random.Random
    ) -> policy_api.Candidate | None:
        if not candidates:
            return None
        return min(candidates, key=lambda c: (self._cost(c), rng.random()))

    def _cost(self, candidate: policy_api.Candidate) -> float:
        fill = expected_fill(candidate)
        if mechanisms.UNREAD.on:
            fill += UNREAD_FILL * candidate.unread
        if not candidate.same_hall and mechanisms.HALL.on:
            fill += HALL_FILL
        if candidate.holds_prefix:
            fill -= PREFIX_FILL
        return fill


@plugin.register(policy_api.Routing, "better-of-few")
class BetterOfFew(LeastFilled):
    """The emptiest of a few random endpoints of the hall, and what keeps the prompt.

    What others send is known a beat later, so an endpoint that was just relieved, or is
    new, is the emptiest of all for every gateway at once; a few drawn ones go where the
    room is without the whole fleet going to one endpoint.  Not the default: where a
    hall has few endpoints, a drawn one is often the wrong one.
    """

    __slots__ = ()

    def choose(
        self, candidates: list[policy_api.Candidate], rng: random.Random
    ) -> policy_api.Candidate | None:
        near = [c for c in candidates if c.same_hall]
        few = rng.sample(near, min(FEW, len(near)))
        few += [c for c in near if c.cached >= KEPT_SHARE]
        best = super().choose(few, rng)
        if best is None or self._cost(best) >= HALL_FILL:
            # An empty one in another hall would be better.
            return super().choose(candidates, rng)
        return best


@plugin.register(policy_api.Routing, "random")
class Random(policy_api.Routing):
    """Baseline: any live endpoint."""

    __slots__ = ()

    def choose(
        self, candidates: list[policy_api.Candidate], rng: random.Random
    ) -> policy_api.Candidate | None:
        return rng.choice(candidates) if candidates else None


@plugin.register(policy_api.Routing, "least-reported")
class LeastReported(policy_api.Routing):
    """Baseline: the least load as the endpoints reported it."""

    __slots__ = ()

    def choose(
        self, candidates: list[policy_api.Candidate], rng: random.Random
    ) -> policy_api.Candidate | None:
        if not candidates:
            return None
        return min(candidates, key=lambda c: c.load.reported)
