"""Cascades: which versions a request is tried on, learned from ratings.

An answer is good if its rating reaches the template's ``quality``. The target is met if
at most ``under_target`` of the answers are not good. ``Learned`` counts, for each
template and version, the rated answers and the good ones among them. It chooses as
follows:

1. For a request that can escalate, it takes the order of versions with the lowest
   expected cost. A cheap version comes first only where that saves more than it wastes,
   given how often a rating is available by which to accept its answer.
2. For a stream, which cannot escalate, it takes the cheapest version that meets the
   target by itself with enough confidence. A version for which this is still open is
   tried on a small share of streams.
3. Without ratings, it takes the safest version and assumes nothing about the others.
"""

import itertools
import math
import random
import typing

from gaprock import documents, plugin, policy_api

# Width of the confidence bounds, in standard deviations.
CONFIDENCE_SIGMAS: typing.Final = 1.64
# The same for ruling a version out. Wider, since it is evaluated after every rating.
RULE_OUT_SIGMAS: typing.Final = 3.0
# Number of ratings from which a version counts as known.
MIN_RATINGS: typing.Final = 20
# Counts are halved above this number of ratings, to follow changes in the request mix.
MAX_RATINGS: typing.Final = 2000
# Share of choices that try a cheaper version, to learn about it or about whether
# ratings are available again.
EXPLORE_SHARE: typing.Final = 0.02
# The same for streams, while a cheaper version may still prove to meet the target.
EXPLORE_OPEN_SHARE: typing.Final = 0.05
# Weight of one answer in the moving average of the share of answers that are rated.
RATED_SHARE_WEIGHT: typing.Final = 0.02
# Maximum number of versions in an order.
MAX_ORDER: typing.Final = 3


class Score:
    """The rated answers of one version under one template."""

    __slots__ = ("rated", "good")

    def __init__(self) -> None:
        self.rated = 0.0
        self.good = 0.0

    def add(self, good: bool) -> None:
        """Record a rated answer."""
        self.rated += 1
        self.good += good
        if self.rated > MAX_RATINGS:
            self.rated /= 2
            self.good /= 2

    @property
    def mean(self) -> float:
        """The estimated probability of a good answer."""
        return (self.good + 1) / (self.rated + 2)

    def bound(self, sign: int, width: float = CONFIDENCE_SIGMAS) -> float:
        """Return a bound of the Wilson score interval of that probability.

        :param sign: -1 for the lower bound, 1 for the upper one.
        :param width: the width of the interval, in standard deviations.
        """
        if not self.rated:
            return 0.0 if sign < 0 else 1.0
        n, p, z = self.rated, self.good / self.rated, width
        middle = p + z * z / (2 * n)
        spread = z * math.sqrt(p * (1 - p) / n + z * z / (4 * n * n))
        return (middle + sign * spread) / (1 + z * z / n)


@plugin.register(policy_api.Cascade, "learned")
class Learned(policy_api.Cascade):
    """Minimizes the expected cost within the target, by confidence bounds."""

    __slots__ = ("_scores", "_rng", "_rated_share")

    def __init__(self) -> None:
        self._scores: dict[tuple[str, str, str], Score] = {}
        # The share of answers that are rated in time to decide on escalation.
        self._rated_share = 1.0
        self._rng = random.Random(1)

    def choose(
        self, template: documents.Template, allowed: list[str], can_escalate: bool
    ) -> policy_api.Choice | None:
        if not allowed:
            return None
        if can_escalate:
            return self._cheapest_order(template, allowed)
        return self._single_version(template, allowed)

    def accept(
        self, template: documents.Template, version: str, rating: float | None
    ) -> bool:
        seen = 0.0 if rating is None else 1.0
        self._rated_share += RATED_SHARE_WEIGHT * (seen - self._rated_share)
        if rating is not None:
            return rating >= template.quality
        return self._meets_target(template, version)

    def learn(self, template: documents.Template, version: str, rating: float) -> None:
        key = (template.workspace, template.name, version)
        score = self._scores.setdefault(key, Score())
        score.add(rating >= template.quality)

    def _score(self, template: documents.Template, version: str) -> Score:
        key = (template.workspace, template.name, version)
        return self._scores.get(key) or Score()

    def _meets_target(self, template: documents.Template, version: str) -> bool:
        score = self._score(template, version)
        bound = score.bound(-1)
        return score.rated >= MIN_RATINGS and bound >= 1 - template.under_target

    def _single_version(
        self, template: documents.Template, allowed: list[str]
    ) -> policy_api.Choice:
        for version in allowed[:-1]:
            if self._meets_target(template, version):
                return policy_api.Choice([version], "confident")
        for version in allowed[:-1]:
            if self._may_meet_target(template, version):
                if self._rng.random() < EXPLORE_OPEN_SHARE:
                    return policy_api.Choice([version], "explore")
        return policy_api.Choice([allowed[-1]], "safest")

    def _may_meet_target(self, template: documents.Template, version: str) -> bool:
        """Whether more ratings could still show that a version meets the target."""
        score = self._score(template, version)
        bound = score.bound(1, RULE_OUT_SIGMAS)
        return score.rated < MIN_RATINGS or bound >= 1 - template.under_target

    def _cheapest_order(
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
        """Generate the orders from cheap to safe that end with the safest version."""
        cheaper = allowed[:-1]
        for length in range(1, min(MAX_ORDER, len(allowed))):
            for chosen in itertools.combinations(cheaper, length):
                yield [*chosen, allowed[-1]]

    def _expected_cost(
        self, template: documents.Template, order: list[str], costs: dict[str, float]
    ) -> float:
        cost, reached = 0.0, 1.0
        for version in order:
            cost += reached * costs[version]
            score = self._score(template, version)
            # Be optimistic about unknown versions: trying one costs little, since a
            # poor answer only leads to an escalation.
            chance = score.mean if score.rated >= MIN_RATINGS else score.bound(1)
            unrated = 1.0 if self._meets_target(template, version) else 0.0
            accepted = self._rated_share * chance + (1 - self._rated_share) * unrated
            reached *= 1 - accepted
        return cost


@plugin.register(policy_api.Cascade, "always-best")
class AlwaysBest(policy_api.Cascade):
    """Baseline: always the safest version."""

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
    """Baseline: always the cheapest version."""

    __slots__ = ()

    def choose(
        self, template: documents.Template, allowed: list[str], can_escalate: bool
    ) -> policy_api.Choice | None:
        return policy_api.Choice(allowed[:1], "always-cheapest") if allowed else None


@plugin.register(policy_api.Cascade, "fixed")
class Fixed(AlwaysBest):
    """Baseline: each version in turn from the cheapest, until a rating is good."""

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
