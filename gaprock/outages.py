"""Estimates how long an outage of a service lasts, to set retry times.

In an outage, no endpoint of a service accepts connections, so no request of it can run.
Each request is refused at once. Its retry time is based on how long earlier outages
lasted. Retry times are spread, so that callers find running endpoints and do not all
return at the moment at which the first endpoint is back.
"""

import random
import threading
import typing

# Expected duration of an outage before one has been seen.
PRIOR_OUTAGE_S: typing.Final = 1.0
# Weight of the latest outage in the expected duration of the next one.
LATEST_WEIGHT: typing.Final = 0.5
# Shortest retry delay.
SHORTEST_S: typing.Final = 0.15
# Retries are spread over at least this time, and at least this share of the expected
# duration.
SPREAD_S: typing.Final = 0.3
SPREAD_SHARE: typing.Final = 0.5
# Longest retry delay, as a share of the time for which the caller still waits.
CALLER_SHARE: typing.Final = 0.3


class Outages:
    """The outages of all services; thread-safe."""

    __slots__ = ("_lock", "_down_since", "_expected_s", "_rng")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._lock = threading.Lock()
        # Start of the current outage, and expected duration of the next, by service.
        self._down_since: dict[str, float] = {}
        self._expected_s: dict[str, float] = {}
        self._rng = rng or random.Random()

    def record_outage(self, service: str, now: float) -> None:
        """Record that no endpoint of a service accepts connections."""
        with self._lock:
            self._down_since.setdefault(service, now)

    def record_recovery(self, service: str, now: float) -> None:
        """Record that an endpoint of a service accepted a request."""
        if service not in self._down_since:
            return
        with self._lock:
            since = self._down_since.pop(service, now)
            before = self._expected_s.get(service, now - since)
            change = LATEST_WEIGHT * (now - since - before)
            self._expected_s[service] = before + change

    def retry_after_s(self, service: str, now: float, caller_s: float) -> float:
        """Return the delay in seconds after which a refused caller should retry.

        :param caller_s: the time for which the caller still waits.
        """
        with self._lock:
            down_s = now - self._down_since.get(service, now)
            lasts_s = self._expected_s.get(service, PRIOR_OUTAGE_S)
        left_s = max(SHORTEST_S, lasts_s - down_s)
        spread_s = max(SPREAD_S, SPREAD_SHARE * lasts_s)
        wait_s = left_s + self._rng.uniform(0.0, spread_s)
        return max(SHORTEST_S, min(wait_s, CALLER_SHARE * caller_s))
