"""How long an engine takes to the first event, learned from what it had to read.

A new prompt waits for the prompts ahead of it, so the time to the first event grows
with the tokens that an endpoint has not read yet.  A line through our own observations,
older ones counting less, is kept for each service; all counts are in tokens of the
largest model.
"""

import threading
import typing

# Weight of an older observation when a new one comes in.
DECAY: typing.Final = 0.99
# The line that a service starts with: seconds for no token and for each, and the tokens
# between which it counts like so many observations.
FIRST_BASE_S: typing.Final = 0.1
FIRST_SLOPE_S: typing.Final = 4e-5
FIRST_TOKENS: typing.Final = 20_000.0
FIRST_WEIGHT: typing.Final = 5.0


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

    def at(self, tokens: float) -> float:
        """Give the line's time, never below zero and never falling with the tokens."""
        spread = self.count * self.squares - self.tokens**2
        slope = 0.0
        if spread > 0:
            common = self.count * self.products - self.tokens * self.time_s
            slope = max(0.0, common / spread)
        base_s = (self.time_s - slope * self.tokens) / self.count
        return max(0.0, base_s + slope * tokens)


class ReadingPace:
    """The lines of all services; safe for all threads."""

    __slots__ = ("_lock", "_lines")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lines: dict[str, _Line] = {}

    def observe(self, service: str, tokens: float, took_s: float) -> None:
        """Take the time that a first event took.

        :param tokens: unread at the endpoint when the request was sent, its own
            prompt included.
        """
        if tokens <= 0:
            return
        with self._lock:
            line = self._lines.setdefault(service, _Line())
            line.add(tokens, took_s, 1.0, DECAY)

    def expect(self, service: str, tokens: float) -> float:
        """Give the seconds that a first event will take."""
        with self._lock:
            return self._lines.setdefault(service, _Line()).at(tokens)
