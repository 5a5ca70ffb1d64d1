"""Departures: endpoints that leave although their rows in the store do not say so.

They said so in their answers, or their rows did before the store was restored from a
backup.

An answer announces a departure before the shared store does, which may be unavailable
or read late.  So a row that does not say ``draining`` does not cancel it: whether the
row is older or newer than the answer is unknown, unless an earlier row did say
``draining``.  What cancels it is an answer without the notice to a request that was
sent after the last answer with the notice arrived, since answers can overtake each
other.  A new incarnation of the endpoint starts without a departure.

A departure whose row was lost in a restore ends when a row is written after the
restore, or when the endpoint has had time to write its row again.
"""

import threading
import typing

import msgspec

from gaprock import clock, eventlog, store_epochs

# How long the end of a departure is remembered, so that older reports do not revive it.
KEEP_S: typing.Final = 10.0
# How long the departure of a missing endpoint is kept: its row may come back after an
# outage of the store.
KEEP_GONE_S: typing.Final = 600.0
# Reports whose times differ by no more than this count as simultaneous: heartbeats take
# a while to arrive, and a report must not become newer by being reported back.
SIMULTANEOUS_S: typing.Final = 0.3
# Maximum number of departures in a heartbeat; the newest are sent.
MAX_GOSSIPED: typing.Final = 40


class DepartureUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Whether an endpoint leaves, as reported by a peer.

    :param endpoint: its incarnation.
    :param since_s: seconds since it first announced its departure.
    :param age_s: seconds since the last notice, or since the departure ended.
    :param lost_row_s: seconds for which a row of a restored store that does not show
        the departure is still distrusted; 0 if no row was lost.
    """

    endpoint: str
    is_leaving: bool
    since_s: float
    age_s: float
    lost_row_s: float = 0.0

    @property
    def urgent(self) -> tuple[str, bool]:
        """The part whose change all gateways must learn at once."""
        return self.endpoint, self.is_leaving


class _Departure:
    """The departure of an endpoint; ``since`` is ``NEVER`` once it is over.

    :param is_answered: whether an answer announced it.
    :param distrust_row_until: until then a row that does not show the departure is
        distrusted, since the store was restored; 0 if no row was lost.
    """

    __slots__ = ("since", "as_of", "is_answered", "distrust_row_until")

    def __init__(
        self,
        since: float,
        as_of: float,
        is_answered: bool = True,
        distrust_row_until: float = 0.0,
    ) -> None:
        self.since = since
        self.as_of = as_of
        self.is_answered = is_answered
        self.distrust_row_until = distrust_row_until


class Departures:
    """The departures of all endpoints, by incarnation; thread-safe."""

    __slots__ = ("_clock", "_lock", "_known")

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        self._known: dict[str, _Departure] = {}

    def note_answer(self, incarnation: str, is_leaving: bool, sent_at: float) -> None:
        """Apply the leaving notice in the head of an answer, or its absence.

        :param sent_at: when the answered request was sent.
        """
        known = self._known.get(incarnation)
        if known is None and not is_leaving:
            return
        with self._lock:
            known = self._known.get(incarnation)
            now = self._clock.now()
            if is_leaving:
                since = known.since if known is not None else clock.NEVER
                until = known.distrust_row_until if known is not None else 0.0
                departure = _Departure(min(since, now), now, distrust_row_until=until)
                self._set(incarnation, departure, "answer")
            elif known is not None and known.distrust_row_until:
                # An endpoint that leaves by its row need not say so in its answers.
                return
            elif known is not None and sent_at > known.as_of:
                self._set(incarnation, _Departure(clock.NEVER, sent_at), "answer")

    def note_lost_row(self, incarnation: str, since: float) -> None:
        """Record that a restored store lost the row that announced a departure."""
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
        """Whether a departure was announced by a row that a restore lost."""
        known = self._known.get(incarnation)
        return known is not None and known.distrust_row_until > 0.0

    def end_restore_grace(self) -> list[str]:
        """Trust rows again once endpoints had time to rewrite them after a restore.

        :returns: the incarnations whose rows were distrusted.
        """
        if not self._known:
            return []
        now = self._clock.now()
        with self._lock:
            found = [
                (incarnation, known)
                for incarnation, known in self._known.items()
                if 0.0 < known.distrust_row_until < now
            ]
            for incarnation, known in found:
                since = known.since if known.is_answered else clock.NEVER
                as_of = known.as_of if known.is_answered else now
                self._set(incarnation, _Departure(since, as_of), "row")
        return [incarnation for incarnation, _ in found]

    def note_row_back(self, incarnation: str) -> None:
        """End a departure, since a row that said ``draining`` no longer does."""
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
        """Return since when an endpoint leaves; ``NEVER`` if it does not."""
        known = self._known.get(incarnation)
        return known.since if known is not None else clock.NEVER

    # -- Gossip --

    def news(
        self, is_wanted: typing.Callable[[str], bool] = lambda incarnation: True
    ) -> list[DepartureUpdate]:
        """Return the departures to report to peers, and those that ended lately.

        :param is_wanted: whether to report the departure of an incarnation.
        """
        if not self._known:
            return []
        now = self._clock.now()
        with self._lock:
            news = [
                DepartureUpdate(
                    incarnation,
                    known.since < clock.NEVER,
                    now - min(now, known.since),
                    now - known.as_of,
                    max(0.0, known.distrust_row_until - now),
                )
                for incarnation, known in self._known.items()
                if known.since == clock.NEVER or is_wanted(incarnation)
            ]
        news.sort(key=lambda one: (one.age_s, one.endpoint))
        return news[:MAX_GOSSIPED]

    def record_news(
        self, sender: str, news: list[DepartureUpdate], age_s: float = 0.0
    ) -> None:
        """Apply departures that a peer, or a hall's relay, reports.

        :param age_s: time that the message was on its way.
        """
        now = self._clock.now() - age_s
        with self._lock:
            for one in news:
                as_of = now - max(0.0, one.age_s)
                since = now - max(0.0, one.since_s) if one.is_leaving else clock.NEVER
                until = now + one.lost_row_s if one.lost_row_s > 0.0 else 0.0
                # Whoever learned it from an answer reports it without a lost row.
                told = _Departure(since, as_of, not until, until)
                self._merge(one.endpoint, told, sender)

    def _merge(self, incarnation: str, told: _Departure, sender: str) -> None:
        """Apply a newer report; of simultaneous ones, the one of a departure wins."""
        known = self._known.get(incarnation)
        if known is None:
            if told.since < clock.NEVER:
                self._set(incarnation, told, sender)
            return
        if told.as_of > known.as_of + SIMULTANEOUS_S:
            if told.since < clock.NEVER:
                told.since = min(told.since, known.since)
                told.is_answered |= known.is_answered and known.since < clock.NEVER
                told.distrust_row_until = max(
                    told.distrust_row_until, known.distrust_row_until
                )
            self._set(incarnation, told, sender)
        elif told.since < known.since and told.as_of >= known.as_of - SIMULTANEOUS_S:
            told.as_of = known.as_of
            self._set(incarnation, told, sender)

    def incarnations(self) -> list[str]:
        """Return the incarnations that leave."""
        with self._lock:
            return [k for k, one in self._known.items() if one.since < clock.NEVER]

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Remove departures that ended, and those of missing endpoints.

        :param lives: the current endpoint incarnations.
        """
        now = self._clock.now()
        with self._lock:
            for incarnation, known in list(self._known.items()):
                is_over = known.since == clock.NEVER
                if incarnation in lives and not is_over:
                    continue
                if now > known.as_of + (KEEP_S if is_over else KEEP_GONE_S):
                    del self._known[incarnation]
