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

from gaprock import clock, endpoint_state, eventlog, gateway_api

# How long an end is remembered, so that older word of a limit does not bring it back,
# seconds; also how long the limit of an endpoint that is not there is kept.
KEEP_S: typing.Final = 10.0
# What stands in place of a limit and is none is logged so often, seconds.
LOG_ODD_S: typing.Final = 10.0


class _Limit:
    """What is known of an endpoint's limit; ``per_s`` is ``None`` once it ended."""

    __slots__ = ("per_s", "as_of")

    def __init__(self, per_s: float | None, as_of: float) -> None:
        self.per_s = per_s
        self.as_of = as_of


class RateLimits:
    """The limits of all endpoints by their lives; safe for all threads."""

    __slots__ = ("_clock", "_lock", "_known", "_odd_at")

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
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
        if notice.odd:
            self._note_odd(endpoint, notice.odd)
            return
        with self._lock:
            known = self._known.get(endpoint.life)
            now, per_s = self._clock.now(), notice.per_s
            if known is None and per_s is None:
                return
            if _relaxes(known, per_s) and known and sent_at <= known.as_of:
                return
            as_of = sent_at if per_s is None else now
            self._set(endpoint.life, per_s, as_of, "answer")

    def _set(self, life: str, per_s: float | None, as_of: float, source: str) -> None:
        """Take what holds now."""
        known = self._known.get(life)
        before = known.per_s if known is not None else None
        self._known[life] = _Limit(per_s, as_of)
        if per_s == before:
            return
        eventlog.info(
            "endpoint-limited" if per_s is not None else "endpoint-unlimited",
            endpoint=life,
            per_s="none" if per_s is None else per_s,
            before="none" if before is None else before,
            source=source,
            age_s=self._clock.now() - as_of,
        )

    def _note_odd(self, endpoint: endpoint_state.Endpoint, text: str) -> None:
        now = self._clock.now()
        with self._lock:
            if now < self._odd_at.get(endpoint.life, -clock.NEVER) + LOG_ODD_S:
                return
            self._odd_at[endpoint.life] = now
        eventlog.warning("endpoint-limit-odd", endpoint=endpoint.name, text=text)

    def limit(self, life: str) -> float | None:
        """Give the requests a second that an endpoint takes; ``None`` for any."""
        known = self._known.get(life)
        return known.per_s if known is not None else None

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Drop what has ended, and endpoints that are not there.

        :param lives: those that are there.
        """
        before = self._clock.now() - KEEP_S
        with self._lock:
            for life, known in list(self._known.items()):
                is_over = known.per_s is None or life not in lives
                if is_over and known.as_of < before:
                    del self._known[life]
            for life, at in list(self._odd_at.items()):
                if at < before:
                    del self._odd_at[life]


def _relaxes(known: _Limit | None, per_s: float | None) -> bool:
    """Whether a naming allows more than what is known."""
    if known is None or known.per_s is None:
        return per_s is None
    return per_s is None or per_s > known.per_s
