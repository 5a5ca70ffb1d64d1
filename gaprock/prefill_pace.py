"""How long an engine takes to the first event, learned from what it had to read.

A new prompt waits for the prompts ahead of it, so the time to the first event grows
with the tokens that an endpoint has not read yet.  A line through our own observations,
older ones counting less, is kept for each service.  Its counts are in tokens of the
largest model; what a smaller model's token weighs is learned from the prompts that had
nothing ahead of them.
"""

import threading
import typing

from gaprock import mechanisms, routes

# Weight of an older observation when a new one comes in.
DECAY: typing.Final = 0.99
# The line that a service starts with: seconds for no token and for each, and the tokens
# between which it counts like so many observations.
FIRST_BASE_S: typing.Final = 0.1
FIRST_SLOPE_S: typing.Final = 4e-5
FIRST_TOKENS: typing.Final = 20_000.0
FIRST_WEIGHT: typing.Final = 5.0
# Engines are never taken to read faster than this many times the first line.
MOST_TIMES: typing.Final = 4.0
# A prompt tells its model's own pace if it has so many tokens to be read, and what is
# ahead of it is below this share of its own.
MIN_TOKENS: typing.Final = 1000
AHEAD_SHARE: typing.Final = 0.25
# Time of a first event that is not for reading, seconds: ways and the first token.
OTHER_S: typing.Final = 0.03
# Weight of older tokens when new ones come in, by tokens, as a mean over this many.
MEAN_TOKENS: typing.Final = 200_000.0


class _Line:
    """A least-squares line through decayed sums."""

    __slots__ = ("count", "tokens", "time_s", "squares", "products")

    def __init__(self) -> None:
        self.count = self.tokens = self.time_s = self.squares = self.products = 0.0
        for tokens in (0.0, FIRST_TOKENS):
            took_s = FIRST_BASE_S + FIRST_SLOPE_S * tokens
            self.add(tokens, took_s, FIRST_WEIGHT, 1.0)

    def add(self, tokens: float, took_s: float, weight: float, decay: float) -> None:
        """Take an observation."""
        self.count = decay * self.count + weight
        self.tokens = decay * self.tokens + weight * tokens
        self.time_s = decay * self.time_s + weight * took_s
        self.squares = decay * self.squares + weight * tokens * tokens
        self.products = decay * self.products + weight * tokens * took_s

    @property
    def slope_s(self) -> float:
        """Seconds a token, never below zero."""
        spread = self.count * self.squares - self.tokens**2
        if spread <= 0:
            return 0.0
        common = self.count * self.products - self.tokens * self.time_s
        return max(0.0, common / spread)

    def at(self, tokens: float) -> float:
        """Give the line's time, never below zero and never falling with the tokens."""
        slope_s = self.slope_s
        base_s = (self.time_s - slope_s * self.tokens) / self.count
        return max(0.0, base_s + slope_s * tokens)


class _ModelPace:
    """The mean time of a model's token, over the latest ones."""

    __slots__ = ("seconds", "tokens")

    def __init__(self, token_s: float) -> None:
        self.tokens = FIRST_TOKENS
        self.seconds = token_s * FIRST_TOKENS

    def add(self, tokens: float, took_s: float) -> None:
        """Take a prompt that had nothing ahead of it."""
        older = max(0.0, 1.0 - tokens / MEAN_TOKENS)
        self.tokens = older * self.tokens + tokens
        self.seconds = older * self.seconds + max(0.0, took_s)

    @property
    def token_s(self) -> float:
        """Seconds a token."""
        return self.seconds / self.tokens


class PrefillPace:
    """The lines and models of all services; safe for all threads."""

    __slots__ = ("_lock", "_lines", "_models")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lines: dict[str, _Line] = {}
        self._models: dict[tuple[str, str], _ModelPace] = {}

    def observe(self, service: str, tokens: float, took_s: float) -> None:
        """Take the time that a first event took.

        :param tokens: unread at the endpoint when the request was sent, its own
            prompt included.
        """
        if tokens <= 0:
            return
        with self._lock:
            self._line(service).add(tokens, took_s, 1.0, DECAY)

    def expect(self, service: str, tokens: float) -> float:
        """Give the seconds that a first event will take."""
        with self._lock:
            return self._line(service).at(tokens)

    def tokens_per_s(self, service: str) -> float:
        """Give how fast an engine reads, in tokens of the largest model."""
        with self._lock:
            slope_s = self._line(service).slope_s
        return 1.0 / max(FIRST_SLOPE_S / MOST_TIMES, slope_s)

    def _line(self, service: str) -> _Line:
        # A line is costly to make, so none is made to be thrown away.
        found = self._lines.get(service)
        if found is None:
            found = self._lines[service] = _Line()
        return found

    # -- What a model's token weighs --

    def observe_model(
        self,
        service: routes.Service,
        model: str,
        tokens: int,
        ahead_share: float,
        took_s: float,
    ) -> None:
        """Take the time that a prompt took, if that tells the model's own pace.

        :param tokens: of the model, that were to be read.
        :param ahead_share: what was ahead of it, as a share of its own.
        """
        if tokens < MIN_TOKENS or ahead_share > AHEAD_SHARE:
            return
        if not mechanisms.MODEL_WEIGHTS.on:
            return
        with self._lock:
            self._model(service, model).add(tokens, took_s - OTHER_S)

    def weight(self, service: routes.Service, model: str) -> float:
        """Give the work of a model's token, that of the largest being 1.

        Until prompts tell, it is the share of the price.
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
            dearest = _largest(service).cost
            share = service.cost_of(model) / dearest if dearest else 1.0
            found = _ModelPace(FIRST_SLOPE_S * share)
            self._models[service.name, model] = found
        return found


def _largest(service: routes.Service) -> routes.ModelCost:
    """Give the model that costs the most."""
    return max(service.models, key=lambda model: model.cost)
