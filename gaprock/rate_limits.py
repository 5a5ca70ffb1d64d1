"""Rate limits that endpoints announce: which ones apply, and who reported them.

An overloaded endpoint announces in its answers how many requests per second it takes
from all gateways together; the limit applies while its answers repeat it.  Answers can
overtake each other, so if their order is unclear the stricter limit applies: a lower
limit applies as soon as it arrives, a higher one or the end of one only if the answered
request was sent after the last announcement arrived.  For the same reason an
announcement is dated by its arrival, and an end by the sending of its request.
"""

import threading
import typing

import msgspec

from gaprock import clock, endpoint_state, eventlog, gateway_api

# How long the end of a limit is remembered, so that older reports do not revive it;
# also how long the limit of a missing endpoint is kept.
KEEP_S: typing.Final = 10.0
# Least interval between log lines about an invalid limit of an endpoint.
INVALID_LOG_INTERVAL_S: typing.Final = 10.0
# Reports whose times differ by no more than this count as simultaneous: heartbeats take
# a while to arrive, and a report must not become newer by being reported back.
SIMULTANEOUS_S: typing.Final = 0.3
# Maximum number of limits in a heartbeat; those with the highest demand are sent.
MAX_GOSSIPED: typing.Final = 40
# Represents the end of a limit in gossip.
ENDED: typing.Final = -1.0


class LimitUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint's limit and the sender's demand there, as reported by a peer.

    :param endpoint: its incarnation.
    :param per_s: limit in requests per second; ``ENDED`` if it no longer applies.
    :param age_s: seconds since the limit was announced or ended.
    :param wanted_per_s: requests per second that the sender wants to send.
    """

    endpoint: str
    per_s: float
    age_s: float
    wanted_per_s: float

    @property
    def urgent(self) -> tuple[str, float]:
        """The part whose change all gateways must learn at once."""
        return self.endpoint, self.per_s


class _Limit:
    """The limit of an endpoint; ``per_s`` is ``None`` once it ended."""

    __slots__ = ("per_s", "as_of", "known_since")

    def __init__(self, per_s: float | None, as_of: float, known_since: float) -> None:
        self.per_s = per_s
        self.as_of = as_of
        # Since when this gateway has known of a limit, whatever it was then.
        self.known_since = known_since


class RateLimits:
    """The limits of all endpoints, by incarnation; thread-safe.

    :param gateways: returns how many gateways share a limit, for the log.
    """

    __slots__ = ("_clock", "_gateways", "_lock", "_known", "_invalid_logged_at")

    def __init__(
        self, clock_: clock.Clock, gateways: typing.Callable[[], int] = lambda: 1
    ) -> None:
        self._clock = clock_
        self._gateways = gateways
        self._lock = threading.Lock()
        self._known: dict[str, _Limit] = {}
        # When an invalid limit was last logged, by incarnation.
        self._invalid_logged_at: dict[str, float] = {}

    def note_answer(
        self,
        endpoint: endpoint_state.Endpoint,
        notice: gateway_api.LimitNotice,
        sent_at: float,
    ) -> None:
        """Apply the limit in the head of an answer, or its absence.

        :param sent_at: when the answered request was sent.
        """
        if notice.invalid:
            self._log_invalid(endpoint, notice.invalid)
            return
        with self._lock:
            known = self._known.get(endpoint.incarnation)
            now, per_s = self._clock.now(), notice.per_s
            if known is None and per_s is None:
                return
            if _relaxes(known, per_s) and known and sent_at <= known.as_of:
                return
            as_of = sent_at if per_s is None else now
            self._set(endpoint.incarnation, per_s, as_of, "answer")

    def _set(
        self, incarnation: str, per_s: float | None, as_of: float, source: str
    ) -> None:
        """Set the limit that applies now."""
        known = self._known.get(incarnation)
        before = known.per_s if known is not None else None
        since = known.known_since if known and before is not None else self._clock.now()
        self._known[incarnation] = _Limit(per_s, as_of, since)
        if per_s == before:
            return
        eventlog.info(
            "endpoint-limited" if per_s is not None else "endpoint-unlimited",
            endpoint=incarnation,
            per_s="none" if per_s is None else per_s,
            before="none" if before is None else before,
            source=source,
            age_s=self._clock.now() - as_of,
            gateways=self._gateways(),
        )

    # -- Gossip --

    def news(self, wanted: dict[str, float]) -> list[LimitUpdate]:
        """Return the limits to report to peers, and those that ended lately.

        :param wanted: demand of this gateway in requests per second, by incarnation.
        """
        if self.is_empty:
            return []
        now = self._clock.now()
        with self._lock:
            news = [
                LimitUpdate(
                    incarnation,
                    ENDED if known.per_s is None else known.per_s,
                    now - known.as_of,
                    wanted.get(incarnation, 0.0),
                )
                for incarnation, known in self._known.items()
            ]
        news.sort(key=lambda one: (-one.wanted_per_s, one.endpoint))
        return news[:MAX_GOSSIPED]

    def record_news(
        self, sender: str, news: list[LimitUpdate], age_s: float = 0.0
    ) -> None:
        """Apply limits that a peer, or a hall's relay, reports.

        :param age_s: time that the message was on its way.
        """
        now = self._clock.now() - age_s
        with self._lock:
            for one in news:
                per_s = one.per_s if one.per_s >= 0 else None
                self._merge(one.endpoint, per_s, now - max(0.0, one.age_s), sender)

    def _merge(
        self, incarnation: str, per_s: float | None, as_of: float, sender: str
    ) -> None:
        """Apply a newer report; of simultaneous ones, the lower limit wins."""
        known = self._known.get(incarnation)
        if known is None:
            if per_s is not None:
                self._set(incarnation, per_s, as_of, sender)
            return
        is_newer = as_of > known.as_of + SIMULTANEOUS_S
        is_same = abs(as_of - known.as_of) <= SIMULTANEOUS_S
        if is_newer:
            self._set(incarnation, per_s, as_of, sender)
        elif is_same and _is_lower(per_s, known.per_s):
            self._set(incarnation, per_s, known.as_of, sender)

    def _log_invalid(self, endpoint: endpoint_state.Endpoint, text: str) -> None:
        now = self._clock.now()
        with self._lock:
            if (
                now
                < self._invalid_logged_at.get(endpoint.incarnation, -clock.NEVER)
                + INVALID_LOG_INTERVAL_S
            ):
                return
            self._invalid_logged_at[endpoint.incarnation] = now
        eventlog.warning("endpoint-limit-odd", endpoint=endpoint.name, text=text)

    def limit(self, incarnation: str) -> float | None:
        """Return the limit in requests per second; ``None`` if there is none."""
        known = self._known.get(incarnation)
        return known.per_s if known is not None else None

    def known_since(self, incarnation: str) -> float:
        """Return since when a limit of an endpoint has been known."""
        known = self._known.get(incarnation)
        return known.known_since if known is not None else self._clock.now()

    @property
    def is_empty(self) -> bool:
        """Whether no limit is known, as most of the time."""
        return not self._known

    def incarnations(self) -> list[str]:
        """Return the incarnations with a limit."""
        with self._lock:
            return [
                incarnation
                for incarnation, k in self._known.items()
                if k.per_s is not None
            ]

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Remove limits that ended, and those of missing endpoints.

        :param lives: the current endpoint incarnations.
        """
        before = self._clock.now() - KEEP_S
        with self._lock:
            for incarnation, known in list(self._known.items()):
                is_over = known.per_s is None or incarnation not in lives
                if is_over and known.as_of < before:
                    del self._known[incarnation]
            for incarnation, at in list(self._invalid_logged_at.items()):
                if at < before:
                    del self._invalid_logged_at[incarnation]


def _is_lower(per_s: float | None, than: float | None) -> bool:
    """Whether a limit is stricter than another one; ``None`` means no limit."""
    return per_s is not None and (than is None or per_s < than)


def _relaxes(known: _Limit | None, per_s: float | None) -> bool:
    """Whether an announcement allows more than the known limit."""
    if known is None or known.per_s is None:
        return per_s is None
    return per_s is None or per_s > known.per_s
