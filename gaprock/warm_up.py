"""Slow start: what a gateway may send to an endpoint that is not warm yet.

An endpoint that started under traffic, or was idle, handles only a part of its usual
load for some seconds and fails under more.  It also has the least load of all, for
every gateway at the same time, so that the next sends of the whole fleet go there.

All gateways together must stay within what the endpoint can handle, without asking each
other before a send: a gateway may be cut off, frozen, just started, or late to learn
that an endpoint is not warm.  So each gateway has a share of the bound that it may use
on its own.  The share is computed from the largest number of gateways known over a long
time, plus a margin.  In a fleet too large for a share each, a hash of gateway and
endpoint selects the few that send there.  The hash needs no list of gateways, so they
need not agree on one.

This guards against endpoints that fail as they come back, and against exceeding the
bounds that the site sets.
"""

import functools
import math
import threading
import typing
import zlib

from gaprock import (
    clock,
    endpoint_state,
    eventlog,
    mechanisms,
    options,
    rate_pacing,
    routes,
)

# Assumed gateways per known one: there may be more than were ever known, such as those
# that were just added.
UNKNOWN_FACTOR: typing.Final = 1.25
# With this pause no second holds more than one send of a gateway: one second, plus the
# delay with which sends may leave.
SINGLE_SEND_PAUSE_S: typing.Final = 1.05
# Accepted probability that more gateways are selected for an endpoint than its bound
# allows sends.
EXCESS_RISK: typing.Final = 1e-6
# An endpoint that was unreachable or idle may be cold though its row does not say so
# yet: rows are written every 1.2 s and read up to 0.8 s later.
ROW_LAG_S: typing.Final = 2.0
HASH_RANGE: typing.Final = 1 << 32


def pause_s(
    rule: routes.WarmUp, bounds: options.SiteBounds, gateways: int, place: float
) -> float:
    """Return the pause between two sends of one gateway to one endpoint.

    Whenever the other gateways send, no second holds more sends of all of them than the
    bound: a gateway sends at most ``1 / pause + 1`` times in a second, and one with a
    pause of a second once.

    :param gateways: the largest number known lately; 0 if unknown.
    :param place: hash of this gateway and endpoint, scaled to 0 to 1.
    :returns: seconds; ``NEVER`` for a gateway that may not send there.
    """
    if gateways <= 0 or rule.per_s <= 0:
        return clock.NEVER
    most = int(rule.per_s * bounds.warm_excess + bounds.warm_slack)
    sharers = math.ceil(UNKNOWN_FACTOR * gateways)
    if sharers > most:
        selected = selected_mean(most)
        if place * sharers >= selected:
            return clock.NEVER
        return max(SINGLE_SEND_PAUSE_S, selected / rule.per_s)
    pause = sharers / rule.per_s
    if sharers + rule.per_s > most:
        return max(SINGLE_SEND_PAUSE_S, pause)
    return pause


@functools.lru_cache(maxsize=64)
def selected_mean(most: int) -> float:
    """Return the mean number of gateways to select to hardly ever exceed ``most``.

    Each gateway is selected independently, so their number has a Poisson distribution.
    """
    mean = float(most)
    while mean > 0.01 and _poisson_tail(most, mean) > EXCESS_RISK:
        mean *= 0.97
    return mean


def _poisson_tail(most: int, mean: float) -> float:
    """Return the probability that a Poisson variable exceeds ``most``."""
    term = total = math.exp(-mean)
    for count in range(1, most + 1):
        term *= mean / count
        total += term
    return max(0.0, 1.0 - total)


class SlowStarts:
    """Limits this gateway's sends to endpoints that are not warm; thread-safe.

    :param gateway: name of this gateway.
    :param bounds: returns the bounds that the site sets.
    :param services: returns the services of the configuration in force, by name.
    :param gateways: returns the largest number of gateways known lately, or 0.
    """

    __slots__ = ("_clock", "_gateway", "_bounds", "_services", "_gateways", "_lock")

    def __init__(
        self,
        clock_: clock.Clock,
        gateway: str = "",
        bounds: typing.Callable[[], options.SiteBounds] = options.SiteBounds,
        services: typing.Callable[[], dict[str, routes.Service]] = dict,
        gateways: typing.Callable[[], int] = lambda: 1,
    ) -> None:
        self._clock = clock_
        self._gateway = gateway
        self._bounds = bounds
        self._services = services
        self._gateways = gateways
        self._lock = threading.Lock()

    def apply_row(self, endpoint: endpoint_state.Endpoint) -> None:
        """Apply the warm-up time in an endpoint's row."""
        if endpoint.row.warming_s > 0:
            self._start_warm_up(endpoint, endpoint.row.warming_s, "its row")

    def assume_cold(self, endpoint: endpoint_state.Endpoint, reason: str) -> None:
        """Treat an endpoint that was unreachable or idle as cold for a while."""
        rule = self._rule(endpoint)
        if rule is not None and rule.lasts_s > 0:
            self._start_warm_up(endpoint, rule.lasts_s + ROW_LAG_S, reason)

    def _start_warm_up(
        self, endpoint: endpoint_state.Endpoint, lasts_s: float, reason: str
    ) -> None:
        now = self._clock.now()
        was_warm = now >= endpoint.warm_at
        endpoint.warm_at = max(endpoint.warm_at, now + lasts_s)
        if was_warm:
            eventlog.info(
                "endpoint-warming",
                endpoint=endpoint.name,
                reason=reason,
                lasts_s=lasts_s,
                gateways=self._gateways(),
            )

    def may_send(self, endpoint: endpoint_state.Endpoint, now: float) -> bool:
        """Whether a send to an endpoint is within this gateway's share now."""
        if now >= endpoint.warm_at or not mechanisms.SLOW_START.on:
            return True
        return now >= endpoint.next_send_at and self._pause_s(endpoint) < clock.NEVER

    def take(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Record a send that goes out now; return whether it is allowed."""
        now = self._clock.now()
        if now >= endpoint.warm_at or not mechanisms.SLOW_START.on:
            return True
        with self._lock:
            pause = self._pause_s(endpoint)
            if now < endpoint.next_send_at or pause >= clock.NEVER:
                return False
            endpoint.next_send_at = now + pause
            return True

    def turn(self, endpoint: endpoint_state.Endpoint) -> rate_pacing.Turn:
        """Return when this gateway's next sends to an endpoint are due."""
        now = self._clock.now()
        if now >= endpoint.warm_at or not mechanisms.SLOW_START.on:
            return rate_pacing.ANY_TIME
        pause_s = self._pause_s(endpoint)
        if pause_s <= 0:
            return rate_pacing.ANY_TIME
        next_at = clock.NEVER if pause_s >= clock.NEVER else endpoint.next_send_at
        return rate_pacing.Turn(min(next_at, endpoint.warm_at), 1.0 / pause_s)

    def _pause_s(self, endpoint: endpoint_state.Endpoint) -> float:
        rule = self._rule(endpoint)
        if rule is None:
            return 0.0
        text = f"{self._gateway}>{endpoint.incarnation}"
        place = zlib.crc32(text.encode()) / HASH_RANGE
        return pause_s(rule, self._bounds(), self._gateways(), place)

    def _rule(self, endpoint: endpoint_state.Endpoint) -> routes.WarmUp | None:
        service = self._services().get(endpoint.row.service)
        return service.warm_up if service else None
