"""Estimates the rate at which requests arrive."""

import math


class DemandRate:
    """An exponentially weighted average of requests per second; not thread-safe.

    :param per_s: what is assumed for the time before, in requests per second.
    :param window_s: time constant of the average, in seconds.
    :param as_of: the time that it refers to, on the steady clock.
    """

    __slots__ = ("_per_s", "_as_of", "_window_s")

    def __init__(self, per_s: float, window_s: float, as_of: float) -> None:
        self._per_s = per_s
        self._as_of = as_of
        self._window_s = window_s

    def note(self, now: float) -> None:
        """Count a request."""
        self._advance(now)
        self._per_s += 1.0 / self._window_s

    def per_s(self, now: float) -> float:
        """Return the requests per second."""
        self._advance(now)
        return self._per_s

    def set_window(self, window_s: float, now: float) -> None:
        """Set the time constant from now on."""
        self._advance(now)
        self._window_s = window_s

    def _advance(self, now: float) -> None:
        decay = math.exp(min(0.0, self._as_of - now) / self._window_s)
        self._per_s *= decay
        self._as_of = max(now, self._as_of)
