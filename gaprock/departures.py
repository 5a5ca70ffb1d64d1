"""Endpoints that leave though the shared store's rows do not say so, and since when.

They say it in their answers, or their rows did before the store was restored from a
backup.

An answer tells it before the shared store does, which may be silent or read late.  So
the store's row does not take it back: nothing tells a row that is older than the answer
from a newer one, unless it was seen to say ``draining`` before.  What does is an answer
to a request that was sent after the last such answer had come, since answers overtake
each other.  Another life of the endpoint begins without.

A departure whose row was lost in a restore ends by a row that is written after it, or
when the endpoint has had time to write it again.
"""

import threading
import typing

import msgspec

from gaprock import clock, eventlog, store_epochs

# How long the end of a departure is remembered, so that older word does not bring it
# back, seconds.
KEEP_S: typing.Final = 10.0
# How long one is kept whose endpoint is not there, seconds: its row may be back after
# an outage of the store.
KEEP_GONE_S: typing.Final = 600.0
# Word of two gateways that is not further apart is of the same moment, seconds: beats
# take a while, and what was told must not grow newer by being told back.
SAME_S: typing.Final = 0.3
# Departures that a beat tells, the newest.
MOST_TOLD: typing.Final = 40


class DepartureNews(msgspec.Struct, array_like=True, frozen=True):
    """Whether an endpoint leaves, as the sender knows.

    :param endpoint: its life.
    :param since_s: seconds since it first said so.
    :param age_s: seconds since that was last said, or found to be over.
    :param lost_row_s: seconds for which a row of a restored store that does not say so
        is still doubted; 0 where there was no such row.
    """

    endpoint: str
    is_leaving: bool
    since_s: float
    age_s: float
    lost_row_s: float = 0.0

    @property
    def urgent(self) -> tuple[str, bool]:
        """What everybody must know at once."""
        return self.endpoint, self.is_leaving


class _Departure:
    """What is known of an endpoint; ``since`` is ``NEVER`` once it is over.

    :param is_answered: whether an answer said so.
    :param doubted_until: until when a row that does not say so is doubted, since the
        store was restored; 0 where it was not.
    """

    __slots__ = ("since", "as_of", "is_answered", "doubted_until")

    def __init__(
        self,
        since: float,
        as_of: float,
        is_answered: bool = True,
        doubted_until: float = 0.0,
    ) -> None:
        self.since = since
        self.as_of = as_of
        self.is_answered = is_answered
        self.doubted_until = doubted_until


class Departures:
    """The departures of all endpoints by their lives; safe for all threads."""

    __slots__ = ("_clock", "_lock", "_known")

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        self._known: dict[str, _Departure] = {}

    def note_answer(self, incarnation: str, is_leaving: bool, sent_at: float) -> None:
        """Take what the head of an answer says, or that it says nothing.

        :param sent_at: when the request was sent that it answers.
        """
        known = self._known.get(incarnation)
        if known is None and not is_leaving:
            return
        with self._lock:
            known = self._known.get(incarnation)
            now = self._clock.now()
            if is_leaving:
                since = known.since if known is not None else clock.NEVER
                until = known.doubted_until if known is not None else 0.0
                departure = _Departure(min(since, now), now, doubted_until=until)
                self._set(incarnation, departure, "answer")
            elif known is not None and known.doubted_until:
                # An endpoint that leaves need not say so in its answers.
                return
            elif known is not None and sent_at > known.as_of:
                self._set(incarnation, _Departure(clock.NEVER, sent_at), "answer")

    def note_lost_row(self, incarnation: str, since: float) -> None:
        """Record that a restored store lost the row by which an endpoint leaves."""
        now = self._clock.now()
        with self._lock:
            known = self._known.get(incarnation)
            is_answered = False
            if known is not None and known.since < clock.NEVER:
                since, is_answered = min(since, known.since), known.is_answered
            until = now + store_epochs.RESTORE_GRACE_S
            self._set(
                incarnation, _Departure(since, now, is_answered, until), "lost-row"
            )

    def is_row_lost(self, incarnation: str) -> bool:
        """Whether an endpoint leaves by a row that a restored store lost."""
        known = self._known.get(incarnation)
        return known is not None and known.doubted_until > 0.0

    def end_restore_grace(self) -> list[str]:
        """Take rows as they are once a restore is long enough ago.

        :returns: the endpoints whose rows were doubted.
        """
        if not self._known:
            return []
        now = self._clock.now()
        with self._lock:
            found = [
                (incarnation, known)
                for incarnation, known in self._known.items()
                if 0.0 < known.doubted_until < now
            ]
            for incarnation, known in found:
                since = known.since if known.is_answered else clock.NEVER
                as_of = known.as_of if known.is_answered else now
                self._set(incarnation, _Departure(since, as_of), "row")
        return [incarnation for incarnation, _ in found]

    def note_row_back(self, incarnation: str) -> None:
        """Take that a row which said ``draining`` no longer does."""
        with self._lock:
            if incarnation in self._known:
                departure = _Departure(clock.NEVER, self._clock.now())
                self._set(incarnation, departure, "row")

    def _set(self, incarnation: str, departure: _Departure, source: str) -> None:
        known = self._known.get(incarnation)
        was_leaving = known is not None and known.since < clock.NEVER
        self._known[incarnation] = departure
        since, as_of = departure.since, departure.as_of
        is_leaving = since < clock.NEVER
        if is_leaving is was_leaving:
            return
        eventlog.info(
            "endpoint-leaving" if is_leaving else "endpoint-stays",
            endpoint=incarnation,
            source=source,
            age_s=self._clock.now() - (since if is_leaving else as_of),
        )

    def since(self, incarnation: str) -> float:
        """Give since when an endpoint says that it leaves; ``NEVER`` if it does not."""
        known = self._known.get(incarnation)
        return known.since if known is not None else clock.NEVER

    # -- What gateways tell each other --

    def news(
        self, is_wanted: typing.Callable[[str], bool] = lambda incarnation: True
    ) -> list[DepartureNews]:
        """Give what is known.

        :param is_wanted: whether a departure is worth telling, by the endpoint's life.
        """
        if not self._known:
            return []
        now = self._clock.now()
        with self._lock:
            news = [
                DepartureNews(
                    incarnation,
                    known.since < clock.NEVER,
                    now - min(now, known.since),
                    now - known.as_of,
                    max(0.0, known.doubted_until - now),
                )
                for incarnation, known in self._known.items()
                if known.since == clock.NEVER or is_wanted(incarnation)
            ]
        news.sort(key=lambda one: (one.age_s, one.endpoint))
        return news[:MOST_TOLD]

    def record_news(
        self, sender: str, news: list[DepartureNews], age_s: float = 0.0
    ) -> None:
        """Take what another gateway, or a hall's carrier, tells.

        :param age_s: how long the news were on their way, seconds.
        """
        now = self._clock.now() - age_s
        with self._lock:
            for one in news:
                as_of = now - max(0.0, one.age_s)
                since = now - max(0.0, one.since_s) if one.is_leaving else clock.NEVER
                until = now + one.lost_row_s if one.lost_row_s > 0.0 else 0.0
                # Whoever has it from an answer tells it without a lost row.
                told = _Departure(since, as_of, not until, until)
                self._merge(one.endpoint, told, sender)

    def _merge(self, incarnation: str, told: _Departure, sender: str) -> None:
        """Take what is newer, and of word of the same moment that it leaves."""
        known = self._known.get(incarnation)
        if known is None:
            if told.since < clock.NEVER:
                self._set(incarnation, told, sender)
            return
        if told.as_of > known.as_of + SAME_S:
            if told.since < clock.NEVER:
                told.since = min(told.since, known.since)
                told.is_answered |= known.is_answered and known.since < clock.NEVER
                told.doubted_until = max(told.doubted_until, known.doubted_until)
            self._set(incarnation, told, sender)
        elif told.since < known.since and told.as_of >= known.as_of - SAME_S:
            told.as_of = known.as_of
            self._set(incarnation, told, sender)

    def lives(self) -> list[str]:
        """Give the endpoints that say that they leave."""
        with self._lock:
            return [k for k, one in self._known.items() if one.since < clock.NEVER]

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Drop what is over, and endpoints that are not there.

        :param lives: those that are there.
        """
        now = self._clock.now()
        with self._lock:
            for incarnation, known in list(self._known.items()):
                is_over = known.since == clock.NEVER
                if incarnation in lives and not is_over:
                    continue
                if now > known.as_of + (KEEP_S if is_over else KEEP_GONE_S):
                    del self._known[incarnation]
