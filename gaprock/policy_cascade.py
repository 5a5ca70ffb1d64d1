"""Cascades: which versions a request is tried on, learned from ratings.

An answer is good when its rating reaches the template's ``quality``; the target
is held when at most ``under_target`` of the answers are not good.  ``Learned``
keeps, for each template and version, how many rated answers were good, and

1. for a request that can climb, takes the order of versions with the least
   expected cost: a cheap version first only where it saves more than it wastes,
   counting how often there is a rating to accept it by;
2. for a stream, which chooses once, takes the cheapest version of which it is
   confident that it holds the target by itself, and tries one now and then while
   that is open;
3. without ratings, takes the safest version: nothing is assumed.
"""

import itertools
import math
import random
import typing

from gaprock import documents, plugin, policy_api

# Width of the confidence bounds, in standard deviations.
CONFIDENCE: typing.Final = 1.64
# The same for ruling a version out: it is asked after every rating.
RULED_OUT: typing.Final = 3.0
# Ratings before a version counts as known.
MIN_RATINGS: typing.Final = 20
# Ratings are halved beyond this, so that a change of mix is learned.
MAX_RATINGS: typing.Final = 2000
# Share of choices that try a cheaper version to learn about it, or about whether
# there are ratings again.
EXPLORE_SHARE: typing.Final = 0.02
# The same for streams while a cheaper version may yet prove to hold the target.
EXPLORE_OPEN_SHARE: typing.Final = 0.05
# Weight of one answer in the share of answers that get a rating.
AVAILABLE_WEIGHT: typing.Final = 0.02
# Longest order of versions that a request climbs.
MAX_CLIMB: typing.Final = 3


class Score:
    """The rated answers of one version under one template."""

    __slots__ = ("rated", "good")

    def __init__(self) -> None:
        self.rated = 0.0
        self.good = 0.0

    def add(self, good: bool) -> None:
        """Count one rated answer."""
        self.rated += 1
        self.good += good
        if self.rated > MAX_RATINGS:
            self.rated /= 2
            self.good /= 2

    @property
    def mean(self) -> float:
        """The estimated chance of a good answer."""
        return (self.good + 1) / (self.rated + 2)

    def bound(self, sign: int, width: float = CONFIDENCE) -> float:
        """The Wilson bound of the chance, the lower one for -1."""
        if not self.rated:
            return 0.0 if sign < 0 else 1.0
        n, p, z = self.rated, self.good / self.rated, width
        middle = p + z * z / (2 * n)
        spread = z * math.sqrt(p * (1 - p) / n + z * z / (4 * n * n))
        return (middle + sign * spread) / (1 + z * z / n)


@plugin.register(policy_api.Cascade, "learned")
class Learned(policy_api.Cascade):
    """The least expected cost that holds the target, by confidence bounds."""

    __slots__ = ("_scores", "_rng", "_available")

    def __init__(self) -> None:
        self._scores: dict[tuple[str, str, str], Score] = {}
        # The share of answers that got a rating in time for a cascade.
        self._available = 1.0
        self._rng = random.Random(1)

    def choose(
        self, template: documents.Template, allowed: list[str], can_escalate: bool
    ) -> policy_api.Choice | None:
        if not allowed:
            return None
        if can_escalate:
            return self._climb(template, allowed)
        return self._direct(template, allowed)

    def accept(
        self, template: documents.Template, version: str, rating: float | None
    ) -> bool:
        seen = 0.0 if rating is None else 1.0
        self._available += AVAILABLE_WEIGHT * (seen - self._available)
        if rating is not None:
            return rating >= template.quality
        return self._holds_target(template, version)

    def learn(self, template: documents.Template, version: str, rating: float) -> None:
        key = (template.workspace, template.name, version)
        score = self._scores.setdefault(key, Score())
        score.add(rating >= template.quality)

    def _score(self, template: documents.Template, version: str) -> Score:
        key = (template.workspace, template.name, version)
        return self._scores.get(key) or Score()

    def _holds_target(self, template: documents.Template, version: str) -> bool:
        score = self._score(template, version)
        bound = score.bound(-1)
        return score.rated >= MIN_RATINGS and bound >= 1 - template.under_target

    def _direct(
        self, template: documents.Template, allowed: list[str]
    ) -> policy_api.Choice:
        for version in allowed[:-1]:
            if self._holds_target(template, version):
                return policy_api.Choice([version], "confident")
        for version in allowed[:-1]:
            if self._may_hold_target(template, version):
                if self._rng.random() < EXPLORE_OPEN_SHARE:
                    return policy_api.Choice([version], "explore")
        return policy_api.Choice([allowed[-1]], "safest")

    def _may_hold_target(self, template: documents.Template, version: str) -> bool:
        """Whether more ratings could still show that a version holds the target."""
        score = self._score(template, version)
        bound = score.bound(1, RULED_OUT)
        return score.rated < MIN_RATINGS or bound >= 1 - template.under_target

    def _climb(
        self, template: documents.Template, allowed: list[str]
    ) -> policy_api.Choice:
        if len(allowed) > 1 and self._rng.random() < EXPLORE_SHARE:
            return policy_api.Choice([allowed[0], allowed[-1]], "explore")
        costs = {choice.version: choice.cost for choice in template.versions}
        best, best_cost = [allowed[-1]], costs[allowed[-1]]
        for order in self._orders(allowed):
            cost = self._expected_cost(template, order, costs)
            if cost < best_cost:
                best, best_cost = order, cost
        return policy_api.Choice(best, f"expected-cost-{best_cost:.3g}")

    def _orders(self, allowed: list[str]) -> typing.Iterator[list[str]]:
        """Give each order from cheap to safe that ends with the safest."""
        cheaper = allowed[:-1]
        for length in range(1, min(MAX_CLIMB, len(allowed))):
            for chosen in itertools.combinations(cheaper, length):
                yield [*chosen, allowed[-1]]

    def _expected_cost(
        self, template: documents.Template, order: list[str], costs: dict[str, float]
    ) -> float:
        cost, reached = 0.0, 1.0
        for version in order:
            cost += reached * costs[version]
            score = self._score(template, version)
            # Unknown versions are given the benefit of the doubt: trying one
            # costs little, since a poor answer is climbed over.
            chance = score.mean if score.rated >= MIN_RATINGS else score.bound(1)
            unrated = 1.0 if self._holds_target(template, version) else 0.0
            accepted = self._available * chance + (1 - self._available) * unrated
            reached *= 1 - accepted
        return cost


@plugin.register(policy_api.Cascade, "always-best")
class AlwaysBest(policy_api.Cascade):
    """Baseline: the safest version."""

    __slots__ = ()

    def choose(
        self, template: documents.Template, allowed: list[str], can_escalate: bool
    ) -> policy_api.Choice | None:
        return policy_api.Choice(allowed[-1:], "always-best") if allowed else None

    def accept(
        self, template: documents.Template, version: str, rating: float | None
    ) -> bool:
        return True

    def learn(self, template: documents.Template, version: str, rating: float) -> None:
        """Learn nothing."""


@plugin.register(policy_api.Cascade, "always-cheapest")
class AlwaysCheapest(AlwaysBest):
    """Baseline: the cheapest version."""

    __slots__ = ()

    def choose(
        self, template: documents.Template, allowed: list[str], can_escalate: bool
    ) -> policy_api.Choice | None:
        return policy_api.Choice(allowed[:1], "always-cheapest") if allowed else None


@plugin.register(policy_api.Cascade, "fixed")
class Fixed(AlwaysBest):
    """Baseline: each version from the cheapest on, until a rating is good."""

    __slots__ = ()

    def choose(
        self, template: documents.Template, allowed: list[str], can_escalate: bool
    ) -> policy_api.Choice | None:
        if not allowed:
            return None
        return policy_api.Choice(allowed if can_escalate else allowed[:1], "fixed")

    def accept(
        self, template: documents.Template, version: str, rating: float | None
    ) -> bool:
        return rating is None or rating >= template.quality
