"""How long an engine takes to the first event, learned from what it had to read.

A new prompt waits for the prompts ahead of it, so the time to the first event grows
with the tokens that an endpoint has not read yet.  The slope is learned for each
service from our own requests; all counts are in tokens of the largest model.
"""

import threading
import typing

# Weight of an older observation when a new one comes in.
DECAY: typing.Final = 0.98
# Taken of a service without observations, seconds per token: a slow engine's.
FIRST_SLOPE_S: typing.Final = 3e-5


class _Sums:
    """Decayed sums of times and tokens."""

    __slots__ = ("time_s", "tokens")

    def __init__(self) -> None:
        # The start counts like a few prompts.
        self.tokens = 20_000.0
        self.time_s = self.tokens * FIRST_SLOPE_S


class ReadingPace:
    """The slopes of all services; safe for all threads."""

    __slots__ = ("_lock", "_sums")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sums: dict[str, _Sums] = {}

    def observe(self, service: str, tokens: float, took_s: float) -> None:
        """Take the time that a first event took.

        :param tokens: unread at the endpoint when the request was sent, its own
            prompt included.
        """
        if tokens <= 0:
            return
        with self._lock:
            sums = self._sums.setdefault(service, _Sums())
            sums.tokens = DECAY * sums.tokens + tokens
            sums.time_s = DECAY * sums.time_s + took_s

    def expect(self, service: str, tokens: float) -> float:
        """Give the seconds that a first event will take."""
        with self._lock:
            sums = self._sums.get(service)
            if sums is None:
                return tokens * FIRST_SLOPE_S
            return tokens * sums.time_s / sums.tokens
