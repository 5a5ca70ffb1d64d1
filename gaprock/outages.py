"""How long a service's endpoints stay away when all of them are gone.

The load that this answers: all endpoints of a service take no connection, so nobody can
run its requests.  Each is refused at once, with a time to come back that fits how long
such an absence lasted before, spread, so that the callers find endpoints and do not all
come in the moment at which the first of these is back.
"""

import random
import threading
import typing

# What an absence is taken to last before one was seen, seconds.
FIRST_S: typing.Final = 1.0
# Weight of the newest absence in what the next one is taken to last.
NEWEST_WEIGHT: typing.Final = 0.5
# Callers are told to come back no sooner, seconds, and are spread over this time and
# this share of an absence at least.
SHORTEST_S: typing.Final = 0.15
SPREAD_S: typing.Final = 0.3
SPREAD_SHARE: typing.Final = 0.5
# Share of the time for which a caller waits that it may be told to stay away.
CALLER_SHARE: typing.Final = 0.3


class Outages:
    """The outages of all services; safe for all threads."""

    __slots__ = ("_lock", "_since", "_lasted_s", "_rng")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._lock = threading.Lock()
        # Since when a service is gone, and how long it was before.
        self._since: dict[str, float] = {}
        self._lasted_s: dict[str, float] = {}
        self._rng = rng or random.Random()

    def record_outage(self, service: str, now: float) -> None:
        """Note that no endpoint of a service takes a connection."""
        with self._lock:
            self._since.setdefault(service, now)

    def record_recovery(self, service: str, now: float) -> None:
        """Note that an endpoint of a service took a request."""
        if service not in self._since:
            return
        with self._lock:
            since = self._since.pop(service, now)
            before = self._lasted_s.get(service, now - since)
            change = NEWEST_WEIGHT * (now - since - before)
            self._lasted_s[service] = before + change

    def retry_after_s(self, service: str, now: float, caller_s: float) -> float:
        """Give the seconds after which a refused caller is to come back.

        :param caller_s: for which the caller still waits.
        """
        with self._lock:
            gone_s = now - self._since.get(service, now)
            lasts_s = self._lasted_s.get(service, FIRST_S)
        left_s = max(SHORTEST_S, lasts_s - gone_s)
        spread_s = max(SPREAD_S, SPREAD_SHARE * lasts_s)
        wait_s = left_s + self._rng.uniform(0.0, spread_s)
        return max(SHORTEST_S, min(wait_s, CALLER_SHARE * caller_s))
