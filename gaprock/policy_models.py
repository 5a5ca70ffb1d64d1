"""Model choice: which model answers, and when a larger one is asked instead.

A small model is asked first and says how sure it is.  A doubtful answer is dropped
before the caller has any of it, and the largest model is asked, if the second answer is
expected to be worth enough more than the first: it takes time, and the engines'.
"""

import math
import typing

from gaprock import plugin, policy_api

# Answers with less confidence than this are asked for again; the trials on the
# users' bench found 70 the best of the fixed ones.
DOUBTFUL: typing.Final = 70.0
# Climbing shrinks from all of it to none between these shares of the time left that the
# largest model's first event would take; the first form of the rule was measured with
# them on hsg-fault (score 0.865 to 0.921).
CALM: typing.Final = 0.2
STRAINED: typing.Final = 0.7
# Time that another answer needs at least, seconds.
CLIMB_S: typing.Final = 0.3
# Worth against a good answer in time: of a good one that is late (the users' sheets),
# and of one that a too small model made (their site files).
LATE_WORTH: typing.Final = 0.3
POOR_WORTH: typing.Final = 0.05
# A second answer must be expected to gain this much.  With free engines that is what
# an answer of 70 % confidence loses, the best of the fixed thresholds in the trials.
CALM_GAIN: typing.Final = 0.285
# The largest model's answer is surely in time below the first of these shares of the
# time left, and surely late above the second.
SURE_SHARE: typing.Final = 0.85
LATE_SHARE: typing.Final = 1.3


@plugin.register(policy_api.ModelChoice, "expected-gain")
class ExpectedGain(policy_api.ModelChoice):
    """The smallest model, then the largest where that is expected to gain enough.

    A long prompt takes the largest model long even on an idle engine.  That makes its
    answer late at worst, and late and good is worth more than poor.  But it holds up
    all that runs beside it, so on busy engines long prompts give way first: strain is
    the geometric mean of what this prompt takes and what a usual one does.
    """

    __slots__ = ()

    def first(self, ask: policy_api.ModelAsk) -> str | None:
        return _smallest_that_may_climb(ask)

    def climb(
        self, ask: policy_api.ModelAsk, model: str, confidence: float | None
    ) -> str | None:
        largest = ask.models[-1].name
        if model == largest or not ask.climbs_left or confidence is None:
            return None
        if ask.left_s < CLIMB_S:
            return None
        good = min(1.0, max(0.0, confidence / 100))
        kept = good + (1.0 - good) * POOR_WORTH
        late = _ramp(ask.largest_s / ask.left_s, SURE_SHARE, LATE_SHARE)
        asked = 1.0 - late * (1.0 - LATE_WORTH)
        held_s = math.sqrt(ask.usual_s * ask.largest_s)
        strain = _ramp(held_s / ask.left_s, CALM, STRAINED)
        wanted = CALM_GAIN + strain * (1.0 - CALM_GAIN)
        return largest if asked - kept > wanted else None


def _smallest_that_may_climb(ask: policy_api.ModelAsk) -> str | None:
    """Give the smallest model, or the largest where no second answer is allowed."""
    if not ask.models:
        return None
    return ask.models[0 if ask.climbs_left else -1].name


def _ramp(value: float, start: float, end: float) -> float:
    """Give 0 up to the start, 1 from the end on, and a line between them."""
    return min(1.0, max(0.0, (value - start) / (end - start)))


@plugin.register(policy_api.ModelChoice, "confidence")
class Confidence(policy_api.ModelChoice):
    """Baseline: the smallest model, then the largest below a threshold.

    What counts as doubtful shrinks as the engines come under pressure: a second answer
    to one request makes others late, which costs more than it gains.
    """

    __slots__ = ()

    def first(self, ask: policy_api.ModelAsk) -> str | None:
        return _smallest_that_may_climb(ask)

    def climb(
        self, ask: policy_api.ModelAsk, model: str, confidence: float | None
    ) -> str | None:
        largest = ask.models[-1].name
        if model == largest or not ask.climbs_left or ask.left_s < CLIMB_S:
            return None
        relief = _ramp(ask.largest_s / ask.left_s, CALM, STRAINED)
        doubtful = DOUBTFUL * (1.0 - relief)
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
