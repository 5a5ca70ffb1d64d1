"""Predicts the time to the first event from the tokens that an engine has to prefill.

A new prompt waits for the prompts ahead of it, so the time to the first event grows
with the tokens that an endpoint has not read yet. For each service, a line is fitted
through this gateway's own observations, with less weight on older ones. Token counts
are in tokens of the largest model. The weight of a smaller model's token is learned
from prompts that had almost nothing ahead of them.

All times are at a pace of 1.0 (``endpoint_pace``): observations are divided by the pace
that held at their endpoint, and callers apply an endpoint's pace to expectations. The
network's part of a time is scaled as well; within a site it is some milliseconds.
"""

import threading
import typing

from gaprock import mechanisms, routes

# Factor on the weight of older observations when a new one is added.
DECAY: typing.Final = 0.99
# Prior of the line: the time without tokens, and the time per token. The prior consists
# of two points, at zero and at ``PRIOR_TOKENS``; each weighs as much as
# ``PRIOR_WEIGHT`` observations.
PRIOR_BASE_S: typing.Final = 0.1
PRIOR_SLOPE_S: typing.Final = 4e-5
PRIOR_TOKENS: typing.Final = 20_000.0
PRIOR_WEIGHT: typing.Final = 5.0
# Upper bound of the estimated prefill rate, as a multiple of the prior's.
MAX_SPEEDUP: typing.Final = 4.0
# A prompt counts for its model's token time only if it has at least this many tokens to
# be read, and the tokens ahead of it are at most this share of its own.
MIN_TOKENS: typing.Final = 1000
MAX_AHEAD_SHARE: typing.Final = 0.25
# Part of the time to the first event that is not prefill: network, and decoding the
# first token.
OVERHEAD_S: typing.Final = 0.03
# Number of tokens over which the moving average of a model's token time is taken.
MEAN_TOKENS: typing.Final = 200_000.0


class _LineFit:
    """A least-squares fit of a line, from exponentially decayed sums."""

    __slots__ = ("count", "tokens", "time_s", "squares", "products")

    def __init__(self) -> None:
        self.count = self.tokens = self.time_s = self.squares = self.products = 0.0
        for tokens in (0.0, PRIOR_TOKENS):
            took_s = PRIOR_BASE_S + PRIOR_SLOPE_S * tokens
            self.add(tokens, took_s, PRIOR_WEIGHT, 1.0)

    def add(self, tokens: float, took_s: float, weight: float, decay: float) -> None:
        """Add an observation.

        :param decay: the factor on the weight of all earlier observations.
        """
        self.count = decay * self.count + weight
        self.tokens = decay * self.tokens + weight * tokens
        self.time_s = decay * self.time_s + weight * took_s
        self.squares = decay * self.squares + weight * tokens * tokens
        self.products = decay * self.products + weight * tokens * took_s

    @property
    def slope_s(self) -> float:
        """The time per token in seconds, at least zero."""
        spread = self.count * self.squares - self.tokens**2
        if spread <= 0:
            return 0.0
        common = self.count * self.products - self.tokens * self.time_s
        return max(0.0, common / spread)

    def at(self, tokens: float) -> float:
        """Return the predicted time in seconds.

        The value is never negative and never falls as the number of tokens grows.
        """
        slope_s = self.slope_s
        base_s = (self.time_s - slope_s * self.tokens) / self.count
        return max(0.0, base_s + slope_s * tokens)


class _ModelPace:
    """The moving average of the time per token of one model."""

    __slots__ = ("seconds", "tokens")

    def __init__(self, token_s: float) -> None:
        self.tokens = PRIOR_TOKENS
        self.seconds = token_s * PRIOR_TOKENS

    def add(self, tokens: float, took_s: float) -> None:
        """Add a prompt that had almost nothing ahead of it."""
        older = max(0.0, 1.0 - tokens / MEAN_TOKENS)
        self.tokens = older * self.tokens + tokens
        self.seconds = older * self.seconds + max(0.0, took_s)

    @property
    def token_s(self) -> float:
        """The time per token in seconds."""
        return self.seconds / self.tokens


class PrefillPace:
    """The prefill times of all services and their models; thread-safe."""

    __slots__ = ("_lock", "_fits", "_models")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._fits: dict[str, _LineFit] = {}
        self._models: dict[tuple[str, str], _ModelPace] = {}

    def observe(
        self, service: str, tokens: float, took_s: float, pace: float = 1.0
    ) -> None:
        """Record the time to a first event.

        :param tokens: the unread tokens at the endpoint when the request was sent,
            including its own prompt.
        :param pace: the pace of the endpoint during that time.
        """
        if tokens <= 0:
            return
        with self._lock:
            self._fit(service).add(tokens, took_s / pace, 1.0, DECAY)

    def expect(self, service: str, tokens: float) -> float:
        """Return the expected time to the first event at pace 1.0, in seconds."""
        with self._lock:
            return self._fit(service).at(tokens)

    def tokens_per_s(self, service: str) -> float:
        """Return the prefill rate at pace 1.0, in tokens of the largest model."""
        with self._lock:
            slope_s = self._fit(service).slope_s
        return 1.0 / max(PRIOR_SLOPE_S / MAX_SPEEDUP, slope_s)

    def _fit(self, service: str) -> _LineFit:
        # Not ``setdefault``, which would build a costly line on each call.
        found = self._fits.get(service)
        if found is None:
            found = self._fits[service] = _LineFit()
        return found

    # -- Token weights of models --

    def observe_model(
        self,
        service: routes.Service,
        model: str,
        tokens: int,
        ahead_share: float,
        took_s: float,
        pace: float = 1.0,
    ) -> None:
        """Record a prompt's time to the first event if it shows the model's token time.

        :param tokens: the prompt's unread tokens, counted in the model's own tokens.
        :param ahead_share: the tokens ahead of the prompt, as a share of its own.
        :param pace: the pace of the endpoint during that time.
        """
        if tokens < MIN_TOKENS or ahead_share > MAX_AHEAD_SHARE:
            return
        if not mechanisms.MODEL_WEIGHTS.on:
            return
        with self._lock:
            self._model(service, model).add(tokens, took_s / pace - OVERHEAD_S)

    def weight(self, service: routes.Service, model: str) -> float:
        """Return the work per token of a model, relative to the largest model.

        It is the ratio of their prices until it has been learned from prompts.
        """
        if not service.models:
            return 0.0
        largest = _largest(service).name
        with self._lock:
            whole_s = self._model(service, largest).token_s
            own_s = self._model(service, model or largest).token_s
        return min(1.0, own_s / whole_s) if whole_s else 1.0

    def _model(self, service: routes.Service, model: str) -> _ModelPace:
        found = self._models.get((service.name, model))
        if found is None:
            highest_cost = _largest(service).cost
            share = service.cost_of(model) / highest_cost if highest_cost else 1.0
            found = _ModelPace(PRIOR_SLOPE_S * share)
            self._models[service.name, model] = found
        return found


def _largest(service: routes.Service) -> routes.ModelCost:
    """Return the model that costs the most."""
    return max(service.models, key=lambda model: model.cost)
