"""Model choice: which model is asked first, and when to escalate to a larger one.

A small model is asked first and reports its confidence in its answer. A doubtful answer
is dropped before any of it is sent to the caller, and a larger model is asked: the one
with the shortest expected time to the first event among those likely to be confident.
That likelihood comes from how much more confident each larger model was than the
smaller one so far.
"""

import typing

from gaprock import mechanisms, plugin, policy_api

# Answers with a lower confidence, on a scale of 0 to 100, are doubtful. A model that is
# as likely to be wrong as right reports this value.
MIN_CONFIDENCE: typing.Final = 50.0
# Prior for the gain in confidence of a middle model over a smaller one, and the number
# of comparisons that the prior counts as.
PRIOR_GAIN: typing.Final = 15.0
PRIOR_GAIN_WEIGHT: typing.Final = 5.0
# Escalation is reduced as the larger model's expected time to the first event rises
# from the first to the second of these shares of the time left, where it ends: a second
# answer for one request makes others late.
REDUCE_FROM_SHARE: typing.Final = 0.3
REDUCE_TO_SHARE: typing.Final = 0.6
# There is no escalation with less time left than this.
MIN_ESCALATION_S: typing.Final = 0.3


@plugin.register(policy_api.ModelChoice, "confidence")
class Confidence(policy_api.ModelChoice):
    """Asks the smallest model first, and escalates while the answer is doubtful.

    The threshold for doubtful answers falls as the engines come under pressure: a
    second answer for one request makes others late, which costs more than it gains.
    """

    __slots__ = ("_gains",)

    def __init__(self) -> None:
        # Sum and number of the gains in confidence, by pair of models.
        self._gains: dict[tuple[str, str], tuple[float, float]] = {}

    def learn(
        self, model: str, confidence: float, larger: str, larger_confidence: float
    ) -> None:
        # At the ends of the scale, the gain is truncated.
        if 0 < confidence and larger_confidence < 100:
            total, count = self._gain(model, larger)
            gain = larger_confidence - confidence
            self._gains[model, larger] = (total + gain, count + 1)

    def _gain(self, model: str, larger: str) -> tuple[float, float]:
        first = (PRIOR_GAIN * PRIOR_GAIN_WEIGHT, PRIOR_GAIN_WEIGHT)
        return self._gains.get((model, larger), first)

    def first(self, query: policy_api.ModelQuery) -> str | None:
        if not query.models:
            return None
        if not query.escalations_left:
            return query.models[-1].name
        return query.models[0].name

    def escalate(
        self, query: policy_api.ModelQuery, model: str, confidence: float | None
    ) -> str | None:
        names = [m.name for m in query.models]
        if confidence is None or confidence >= MIN_CONFIDENCE or model not in names:
            return None
        if (
            model == names[-1]
            or not query.escalations_left
            or query.left_s < MIN_ESCALATION_S
        ):
            return None
        larger = self._likely_confident(query, names, model, confidence)
        first_s = query.first_s[names.index(larger)]
        reduction = (first_s / query.left_s - REDUCE_FROM_SHARE) / (
            REDUCE_TO_SHARE - REDUCE_FROM_SHARE
        )
        if not mechanisms.STRAIN.on:
            reduction = 0.0
        if confidence >= MIN_CONFIDENCE * (1.0 - min(1.0, max(0.0, reduction))):
            return None
        return larger

    def _likely_confident(
        self,
        query: policy_api.ModelQuery,
        names: list[str],
        model: str,
        confidence: float,
    ) -> str:
        """Return the larger model to ask, among those likely to be confident.

        That is the one with the shortest expected time to the first event. So a model
        with the prompt in its cache may go before a smaller one without it. The largest
        model always counts as likely to be confident.
        """
        likely = [names[-1]]
        if not mechanisms.MIDDLE_MODELS.on:
            return names[-1]
        for larger in names[names.index(model) + 1 : -1]:
            total, count = self._gain(model, larger)
            if confidence + total / count >= MIN_CONFIDENCE:
                likely.append(larger)
        first_s = dict(zip(names, query.first_s))
        return min(likely, key=lambda name: (first_s[name], names.index(name)))


@plugin.register(policy_api.ModelChoice, "largest")
class Largest(policy_api.ModelChoice):
    """Baseline: always the largest model."""

    __slots__ = ()

    def first(self, query: policy_api.ModelQuery) -> str | None:
        return query.models[-1].name if query.models else None

    def escalate(
        self, query: policy_api.ModelQuery, model: str, confidence: float | None
    ) -> str | None:
        return None


@plugin.register(policy_api.ModelChoice, "smallest")
class Smallest(policy_api.ModelChoice):
    """Baseline: always the smallest model."""

    __slots__ = ()

    def first(self, query: policy_api.ModelQuery) -> str | None:
        return query.models[0].name if query.models else None

    def escalate(
        self, query: policy_api.ModelQuery, model: str, confidence: float | None
    ) -> str | None:
        return None
