"""Model choice: which model answers, and when a larger one is asked instead.

A small model is asked first and says how sure it is.  A doubtful answer is dropped
before the caller has any of it, and the largest model is asked.
"""

import typing

from gaprock import plugin, policy_api

# Answers with less confidence than this are asked for again; the trials on the
# users' bench found 70 the best of the fixed ones.
DOUBTFUL: typing.Final = 70.0
# Climbing shrinks from all of it to none between these shares of the time left that the
# largest model's first event would take.
CALM: typing.Final = 0.2
STRAINED: typing.Final = 0.7
# Time that another answer needs at least, seconds.
CLIMB_S: typing.Final = 0.3


@plugin.register(policy_api.ModelChoice, "confidence")
class Confidence(policy_api.ModelChoice):
    """The smallest model, then the largest while the answer is doubtful.

    What counts as doubtful shrinks as the engines come under pressure: a second answer
    to one request makes others late, which costs more than it gains.
    """

    __slots__ = ()

    def first(self, ask: policy_api.ModelAsk) -> str | None:
        if not ask.models:
            return None
        if not ask.climbs_left:
            return ask.models[-1].name
        return ask.models[0].name

    def climb(
        self, ask: policy_api.ModelAsk, model: str, confidence: float | None
    ) -> str | None:
        largest = ask.models[-1].name
        if model == largest or not ask.climbs_left or ask.left_s < CLIMB_S:
            return None
        relief = (ask.largest_s / ask.left_s - CALM) / (STRAINED - CALM)
        doubtful = DOUBTFUL * (1.0 - min(1.0, max(0.0, relief)))
        if confidence is None or confidence >= doubtful:
            return None
        return largest


@plugin.register(policy_api.ModelChoice, "largest")
class Largest(policy_api.ModelChoice):
    """Baseline: always the largest model."""

    __slots__ = ()

    def first(self, ask: policy_api.ModelAsk) -> str | None:
        return ask.models[-1].name if ask.models else None

    def climb(
        self, ask: policy_api.ModelAsk, model: str, confidence: float | None
    ) -> str | None:
        return None


@plugin.register(policy_api.ModelChoice, "smallest")
class Smallest(policy_api.ModelChoice):
    """Baseline: always the smallest model."""

    __slots__ = ()

    def first(self, ask: policy_api.ModelAsk) -> str | None:
        return ask.models[0].name if ask.models else None

    def climb(
        self, ask: policy_api.ModelAsk, model: str, confidence: float | None
    ) -> str | None:
        return None
