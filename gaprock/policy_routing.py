"""Routing: which endpoint gets a request.

Load reports lag behind, so an endpoint's load is estimated as the reported load plus
the requests that this process has sent there since.
"""

import math
import random
import typing

from gaprock import mechanisms, plugin, policy_api

# The expected wait at an endpoint that likely has the prompt's prefix in its cache may
# be longer by this factor.
PREFIX_TOLERANCE: typing.Final = 1.25
# Lower bound of the mean run time in estimates.
MIN_SERVICE_S: typing.Final = 0.001
# An endpoint in another hall is used if those of the local hall are fuller by this
# much: traffic between halls costs money and takes longer.
HALL_FILL: typing.Final = 0.5
# A prompt of mean length that awaits prefill delays all requests that run beside it. It
# counts as this share of an endpoint's slots.
UNREAD_FILL: typing.Final = 0.15
# An endpoint that likely has the prompt's prefix in its cache may be fuller by this
# much.
PREFIX_FILL: typing.Final = 0.1
# Number of random endpoints that are compared.
SAMPLE_SIZE: typing.Final = 2
# An endpoint whose cache has at least this share of the prompt is compared as well.
CACHED_SHARE: typing.Final = 0.25


def expected_wait(candidate: policy_api.Candidate) -> float:
    """Estimate the time until a new request would be finished there, in seconds."""
    load = candidate.load
    ahead = load.running + load.queued + candidate.sent_since + 1
    rounds = ahead / max(1, load.limit)
    return max(1.0, rounds) * max(MIN_SERVICE_S, load.service_s)


def expected_fill(candidate: policy_api.Candidate) -> float:
    """Estimate the number of requests there per slot."""
    load = candidate.load
    ahead = load.running + load.queued + candidate.sent_since
    return ahead / max(1, load.limit)


@plugin.register(policy_api.Routing, "two-choices")
class TwoChoices(policy_api.Routing):
    """The better of two random endpoints, preferably in the local hall.

    Two random endpoints are compared rather than all: entries that see the same stale
    reports would otherwise all send to the same endpoint.
    """

    __slots__ = ()

    def choose(
        self, candidates: list[policy_api.Candidate], rng: random.Random
    ) -> policy_api.Candidate | None:
        if not candidates:
            return None
        local = [c for c in candidates if c.same_hall and expected_fill(c) < 1.0]
        pool = local or candidates
        pair = rng.sample(pool, min(2, len(pool)))
        best = min(pair, key=lambda c: (expected_wait(c), expected_fill(c)))
        return self._prefer_prefix(best, pool)

    def _prefer_prefix(
        self, best: policy_api.Candidate, pool: list[policy_api.Candidate]
    ) -> policy_api.Candidate:
        """Prefer an endpoint that has the prompt's prefix cached, unless it is busy."""
        bound = expected_wait(best) * PREFIX_TOLERANCE
        for candidate in pool:
            if candidate.holds_prefix and expected_wait(candidate) <= bound:
                return candidate
        return best


@plugin.register(policy_api.Routing, "least-filled")
class LeastFilled(policy_api.Routing):
    """The endpoint where the answer is expected first, preferably in the local hall.

    The expected time is that of the work there, including this request's own, at the
    endpoint's pace. Without reported paces this is the least filled endpoint.

    For gateways, which exchange their loads several times a second. With such fresh
    loads, the best of all endpoints is better than the better of two.
    """

    __slots__ = ()

    def choose(
        self, candidates: list[policy_api.Candidate], rng: random.Random
    ) -> policy_api.Candidate | None:
        if not candidates:
            return None
        return min(candidates, key=lambda c: (self._cost(c), _draw(c, rng)))

    def _cost(self, candidate: policy_api.Candidate) -> float:
        # Sums that are exactly those of the fill alone at the usual pace.
        fill = expected_fill(candidate) * candidate.pace
        if mechanisms.UNREAD.on:
            fill += UNREAD_FILL * candidate.unread * candidate.first_pace
        # The request itself: an idle slow endpoint is no better than a fast one with
        # a few requests.
        own_fill = candidate.own_load / max(1, candidate.load.limit)
        fill += own_fill * (candidate.pace - 1.0)
        if not candidate.same_hall and mechanisms.HALL.on:
            fill += HALL_FILL
        if candidate.holds_prefix:
            fill -= PREFIX_FILL
        return fill


def _draw(candidate: policy_api.Candidate, rng: random.Random) -> float:
    """Draw a number; the smallest of several belongs to each in proportion to speed."""
    return -math.log(1.0 - rng.random()) * candidate.pace


@plugin.register(policy_api.Routing, "better-of-few")
class BetterOfFew(LeastFilled):
    """The least filled among a few random endpoints of the hall and the cache holders.

    What other gateways send is known only one heartbeat later. An endpoint that is new
    or has just become free is therefore the least filled for all gateways at once. With
    a random sample, gateways use free capacity without all of them choosing the same
    endpoint. This is not the default: in a hall with few endpoints, a sampled endpoint
    is often the wrong one.
    """

    __slots__ = ()

    def choose(
        self, candidates: list[policy_api.Candidate], rng: random.Random
    ) -> policy_api.Candidate | None:
        local = [c for c in candidates if c.same_hall]
        sampled = rng.sample(local, min(SAMPLE_SIZE, len(local)))
        sampled += [c for c in local if c.cached >= CACHED_SHARE]
        best = super().choose(sampled, rng)
        if best is None or self._cost(best) >= HALL_FILL:
            # An empty endpoint in another hall would be at least as good.
            return super().choose(candidates, rng)
        return best


@plugin.register(policy_api.Routing, "random")
class Random(policy_api.Routing):
    """Baseline: a random live endpoint."""

    __slots__ = ()

    def choose(
        self, candidates: list[policy_api.Candidate], rng: random.Random
    ) -> policy_api.Candidate | None:
        return rng.choice(candidates) if candidates else None


@plugin.register(policy_api.Routing, "least-reported")
class LeastReported(policy_api.Routing):
    """Baseline: the endpoint with the lowest reported load."""

    __slots__ = ()

    def choose(
        self, candidates: list[policy_api.Candidate], rng: random.Random
    ) -> policy_api.Candidate | None:
        if not candidates:
            return None
        return min(candidates, key=lambda c: c.load.reported)
