"""Rate limits that endpoints name: which hold, and by whose word.

An endpoint in need names in its answers how many requests a second it takes from all
gateways together, for as long as it says so.  Answers overtake each other, so a doubt
about their order falls in the endpoint's favour: a lower limit counts as soon as it is
heard, a higher one or the end of one only where the request that it answers was sent
after the last naming had come.  For the same reason a naming is as old as its coming,
and an end as old as the sending of its request.
"""

import threading
import typing

import msgspec

from gaprock import clock, endpoint_state, eventlog, gateway_api

# How long an end is remembered, so that older word of a limit does not bring it back,
# seconds; also how long the limit of an endpoint that is not there is kept.
KEEP_S: typing.Final = 10.0
# What stands in place of a limit and is none is logged so often, seconds.
LOG_ODD_S: typing.Final = 10.0
# Word of two gateways that is not further apart is of the same moment, seconds: beats
# take a while, and what was told must not grow newer by being told back.
SAME_S: typing.Final = 0.3
# Limits that a beat tells, those that are wanted most.
MOST_TOLD: typing.Final = 40
# Stands for an end in what is told.
ENDED: typing.Final = -1.0


class LimitNews(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint's limit, and what the sender wants to send there.

    :param endpoint: its life.
    :param per_s: requests a second; ``ENDED`` for a limit that is over.
    :param age_s: seconds since that was said.
    :param wanted_per_s: requests a second.
    """

    endpoint: str
    per_s: float
    age_s: float
    wanted_per_s: float

    @property
    def urgent(self) -> tuple[str, float]:
        """What everybody must know at once."""
        return self.endpoint, self.per_s


class _Limit:
    """What is known of an endpoint's limit; ``per_s`` is ``None`` once it ended."""

    __slots__ = ("per_s", "as_of")

    def __init__(self, per_s: float | None, as_of: float) -> None:
        self.per_s = per_s
        self.as_of = as_of


class RateLimits:
    """The limits of all endpoints by their lives; safe for all threads.

    :param gateways: gives how many share a limit, for the log.
    """

    __slots__ = ("_clock", "_gateways", "_lock", "_known", "_odd_at")

    def __init__(
        self, clock_: clock.Clock, gateways: typing.Callable[[], int] = lambda: 1
    ) -> None:
        self._clock = clock_
        self._gateways = gateways
        self._lock = threading.Lock()
        self._known: dict[str, _Limit] = {}
        # When an odd limit of an endpoint was last logged, by its life.
        self._odd_at: dict[str, float] = {}

    def note_answer(
        self,
        endpoint: endpoint_state.Endpoint,
        notice: gateway_api.LimitNotice,
        sent_at: float,
    ) -> None:
        """Take what the head of an answer says, or that it says nothing.

        :param sent_at: when the request was sent that it answers.
        """
        if notice.invalid:
            self._note_odd(endpoint, notice.invalid)
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
        """Take what holds now."""
        known = self._known.get(incarnation)
        before = known.per_s if known is not None else None
        self._known[incarnation] = _Limit(per_s, as_of)
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

    # -- What gateways tell each other --

    def news(self, wanted: dict[str, float]) -> list[LimitNews]:
        """Give what is known.

        :param wanted: requests a second that we want to send, by endpoint.
        """
        if self.is_empty:
            return []
        now = self._clock.now()
        with self._lock:
            news = [
                LimitNews(
                    incarnation,
                    ENDED if known.per_s is None else known.per_s,
                    now - known.as_of,
                    wanted.get(incarnation, 0.0),
                )
                for incarnation, known in self._known.items()
            ]
        news.sort(key=lambda one: (-one.wanted_per_s, one.endpoint))
        return news[:MOST_TOLD]

    def record_news(
        self, sender: str, news: list[LimitNews], age_s: float = 0.0
    ) -> None:
        """Take what another gateway, or a hall's carrier, tells.

        :param age_s: how long the news were on their way, seconds.
        """
        now = self._clock.now() - age_s
        with self._lock:
            for one in news:
                per_s = one.per_s if one.per_s >= 0 else None
                self._merge(one.endpoint, per_s, now - max(0.0, one.age_s), sender)

    def _merge(
        self, incarnation: str, per_s: float | None, as_of: float, sender: str
    ) -> None:
        """Take what is newer, and of word of the same moment the lower limit."""
        known = self._known.get(incarnation)
        if known is None:
            if per_s is not None:
                self._set(incarnation, per_s, as_of, sender)
            return
        is_newer = as_of > known.as_of + SAME_S
        is_same = abs(as_of - known.as_of) <= SAME_S
        if is_newer:
            self._set(incarnation, per_s, as_of, sender)
        elif is_same and _is_lower(per_s, known.per_s):
            self._set(incarnation, per_s, known.as_of, sender)

    def _note_odd(self, endpoint: endpoint_state.Endpoint, text: str) -> None:
        now = self._clock.now()
        with self._lock:
            if now < self._odd_at.get(endpoint.incarnation, -clock.NEVER) + LOG_ODD_S:
                return
            self._odd_at[endpoint.incarnation] = now
        eventlog.warning("endpoint-limit-odd", endpoint=endpoint.name, text=text)

    def limit(self, incarnation: str) -> float | None:
        """Give the requests a second that an endpoint takes; ``None`` for any."""
        known = self._known.get(incarnation)
        return known.per_s if known is not None else None

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint names a limit, as on most days."""
        return not self._known

    def lives(self) -> list[str]:
        """Give the endpoints that name a limit."""
        with self._lock:
            return [
                incarnation
                for incarnation, k in self._known.items()
                if k.per_s is not None
            ]

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Drop what has ended, and endpoints that are not there.

        :param lives: those that are there.
        """
        before = self._clock.now() - KEEP_S
        with self._lock:
            for incarnation, known in list(self._known.items()):
                is_over = known.per_s is None or incarnation not in lives
                if is_over and known.as_of < before:
                    del self._known[incarnation]
            for incarnation, at in list(self._odd_at.items()):
                if at < before:
                    del self._odd_at[incarnation]


def _is_lower(per_s: float | None, than: float | None) -> bool:
    """Whether a limit allows less than another one; ``None`` allows all."""
    return per_s is not None and (than is None or per_s < than)


def _relaxes(known: _Limit | None, per_s: float | None) -> bool:
    """Whether a naming allows more than what is known."""
    if known is None or known.per_s is None:
        return per_s is None
    return per_s is None or per_s > known.per_s
