"""Slow start: what a gateway may send to an endpoint that is not warm yet.

An endpoint that has started while there is traffic, or that stood idle, bears a part
of its usual load for some seconds and falls over under more.  It is also the emptiest
of all, for every gateway in the same moment, so that the whole fleet's next sends go
there.

All gateways together keep within what it bears, though nobody can be asked: a gateway
may be cut off, frozen, just started, or late to hear that an endpoint is not warm.  So
each has a part of the bound that it may use by itself.  The part is worked out from the
most gateways that were known for a long while, and more than that are reckoned with.
In a fleet too large for a part each, a hash of gateway and endpoint picks the few that
send there; it needs no list of gateways, so they need not agree on one.

Guards against endpoints that fall over as they come back, and against overrunning what
the site allows.
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

# More gateways may be there than were ever heard of, such as those that were just
# added: so many for each one that is known.
UNHEARD: typing.Final = 1.25
# A pause after which one second holds a single send of a gateway, seconds: a second and
# what sends are late to leave.
WHOLE_WINDOW_S: typing.Final = 1.05
# Chance that more gateways are picked for an endpoint than its bound has sends.
PICKED_RISK: typing.Final = 1e-6
# An endpoint that was out of sight may not be warm though its row does not say so yet:
# rows are written each 1.2 s and read up to 0.8 s later, seconds.
ROW_LAG_S: typing.Final = 2.0
HASH_RANGE: typing.Final = 1 << 32


def pause_s(
    rule: routes.WarmUp, bounds: options.SiteBounds, gateways: int, place: float
) -> float:
    """Give the pause between two sends of one gateway to one endpoint.

    Whatever moments the others choose, no second holds more sends of all of them than
    the bound: a gateway sends ``1 / pause + 1`` times in a second at most, one with a
    pause of a second once.

    :param gateways: the most that were known lately; 0 if that is not known.
    :param place: of this gateway for this endpoint, 0 to 1, drawn by a hash.
    :returns: seconds; ``NEVER`` for a gateway that may not send there.
    """
    if gateways <= 0 or rule.per_s <= 0:
        return clock.NEVER
    most = int(rule.per_s * bounds.warm_excess + bounds.warm_slack)
    sharers = math.ceil(UNHEARD * gateways)
    if sharers > most:
        picked = picked_mean(most)
        if place * sharers >= picked:
            return clock.NEVER
        return max(WHOLE_WINDOW_S, picked / rule.per_s)
    pause = sharers / rule.per_s
    if sharers + rule.per_s > most:
        return max(WHOLE_WINDOW_S, pause)
    return pause


@functools.lru_cache(maxsize=64)
def picked_mean(most: int) -> float:
    """Give how many gateways to pick in the mean for hardly ever more than ``most``.

    Each gateway is picked by itself, so their number is spread as a Poisson one.
    """
    mean = float(most)
    while mean > 0.01 and _more_than(most, mean) > PICKED_RISK:
        mean *= 0.97
    return mean


def _more_than(most: int, mean: float) -> float:
    """Give the chance that a Poisson number is larger than ``most``."""
    term = total = math.exp(-mean)
    for count in range(1, most + 1):
        term *= mean / count
        total += term
    return max(0.0, 1.0 - total)


class SlowStarts:
    """The endpoints that are not warm, and what we may send them; for all threads.

    :param gateway: our own name.
    :param bounds: gives what the site promises.
    :param services: the services of the configuration in force, by name.
    :param gateways: gives the most gateways that were known lately, or 0.
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

    def note_row(self, endpoint: endpoint_state.Endpoint) -> None:
        """Take what an endpoint says of itself."""
        if endpoint.row.warming_s > 0:
            self._note(endpoint, endpoint.row.warming_s, "its row")

    def note_return(self, endpoint: endpoint_state.Endpoint, reason: str) -> None:
        """Spare an endpoint that was out of sight until it must be warm."""
        rule = self._rule(endpoint)
        if rule is not None and rule.lasts_s > 0:
            self._note(endpoint, rule.lasts_s + ROW_LAG_S, reason)

    def _note(
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
        """Whether a send to an endpoint is within our part now."""
        if now >= endpoint.warm_at or not mechanisms.SLOW_START.on:
            return True
        return now >= endpoint.next_send_at and self._pause_s(endpoint) < clock.NEVER

    def take(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Count a send that goes out now; give whether it may."""
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
        """Give when our next sends to an endpoint are due."""
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
