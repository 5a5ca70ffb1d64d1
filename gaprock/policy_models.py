"""Model choice: which model answers, and when a larger one is asked instead.

A small model is asked first and says how sure it is.  A doubtful answer is dropped
before the caller has any of it, and a larger model is asked: the soonest of those that
will likely be sure, by how much surer they were than the first one so far.
"""

import typing

from gaprock import mechanisms, plugin, policy_api

# Answers with less confidence than this are asked for again, 0 to 100: a model that is
# as likely wrong as right says so much.
DOUBTFUL: typing.Final = 50.0
# How much surer a model in the middle is than a smaller one before any was compared,
# and the comparisons that this counts for.
FIRST_GAIN: typing.Final = 15.0
FIRST_GAIN_WEIGHT: typing.Final = 5.0
# Climbing shrinks from all of it to none between these shares of the time left that the
# larger model's first event would take: second answers of the one make others late.
CALM: typing.Final = 0.3
STRAINED: typing.Final = 0.6
# Time that another answer needs at least, seconds.
CLIMB_S: typing.Final = 0.3


@plugin.register(policy_api.ModelChoice, "confidence")
class Confidence(policy_api.ModelChoice):
    """The smallest model, then one that is likely sure while the answer is doubtful.

    What counts as doubtful shrinks as the engines come under pressure: a second answer
    to one request makes others late, which costs more than it gains.
    """

    __slots__ = ("_gains",)

    def __init__(self) -> None:
        # Sum of the gains in confidence, and their count, by pair of models.
        self._gains: dict[tuple[str, str], tuple[float, float]] = {}

    def learn(
        self, model: str, confidence: float, larger: str, larger_confidence: float
    ) -> None:
        # At the ends of the scale the gain is cut off.
        if 0 < confidence and larger_confidence < 100:
            total, count = self._gain(model, larger)
            gain = larger_confidence - confidence
            self._gains[model, larger] = (total + gain, count + 1)

    def _gain(self, model: str, larger: str) -> tuple[float, float]:
        first = (FIRST_GAIN * FIRST_GAIN_WEIGHT, FIRST_GAIN_WEIGHT)
        return self._gains.get((model, larger), first)

    def first(self, ask: policy_api.ModelAsk) -> str | None:
        if not ask.models:
            return None
        if not ask.climbs_left:
            return ask.models[-1].name
        return ask.models[0].name

    def escalate(
        self, ask: policy_api.ModelAsk, model: str, confidence: float | None
    ) -> str | None:
        names = [m.name for m in ask.models]
        if confidence is None or confidence >= DOUBTFUL or model not in names:
            return None
        if model == names[-1] or not ask.climbs_left or ask.left_s < CLIMB_S:
            return None
        larger = self._likely_sure(ask, names, model, confidence)
        first_s = ask.first_s[names.index(larger)]
        relief = (first_s / ask.left_s - CALM) / (STRAINED - CALM)
        if not mechanisms.STRAIN.on:
            relief = 0.0
        if confidence >= DOUBTFUL * (1.0 - min(1.0, max(0.0, relief))):
            return None
        return larger

    def _likely_sure(
        self, ask: policy_api.ModelAsk, names: list[str], model: str, confidence: float
    ) -> str:
        """Give the soonest of the models above one that will likely be sure.

        A model that has the prompt already goes before a smaller one that has not.
        """
        likely = [names[-1]]
        if not mechanisms.MIDDLE_MODELS.on:
            return names[-1]
        for larger in names[names.index(model) + 1 : -1]:
            total, count = self._gain(model, larger)
            if confidence + total / count >= DOUBTFUL:
                likely.append(larger)
        first_s = dict(zip(names, ask.first_s))
        return min(likely, key=lambda name: (first_s[name], names.index(name)))


@plugin.register(policy_api.ModelChoice, "largest")
class Largest(policy_api.ModelChoice):
    """Baseline: always the largest model."""

    __slots__ = ()

    def first(self, ask: policy_api.ModelAsk) -> str | None:
        return ask.models[-1].name if ask.models else None

    def escalate(
        self, ask: policy_api.ModelAsk, model: str, confidence: float | None
    ) -> str | None:
        return None


@plugin.register(policy_api.ModelChoice, "smallest")
class Smallest(policy_api.ModelChoice):
    """Baseline: always the smallest model."""

    __slots__ = ()

    def first(self, ask: policy_api.ModelAsk) -> str | None:
        return ask.models[0].name if ask.models else None

    def escalate(
        self, ask: policy_api.ModelAsk, model: str, confidence: float | None
    ) -> str | None:
        return None
