"""Backoffs: endpoints that shed load and want nothing from this gateway for a while.

What an endpoint rejects is over at once, so one that sheds has the least to do and
would be chosen first.  Until the end of the time that it asks for nothing is sent
there; what was sent before the word came may still arrive.  A later word can move the
end only further away.

The end is no signal that the load fits again.  Sends then begin with one, and each
answer that is no refusal allows two more; gateways that were asked in the same moment
begin at different ones.  For a while an endpoint is not filled again beyond what it
had when it shed, nor beyond its slots: each request too many would cost a whole
backoff, and the load of those in backoff falls upon the rest.  Where one shed that was
full, no other of its service is filled up either.

The word is not told to other gateways: it binds the one that was turned away, and one
bad moment would become an outage.
"""

import random
import threading
import typing

from gaprock import clock, endpoint_state, eventlog, rate_pacing

# A longer backoff is taken for one of so many seconds.
LONGEST_S: typing.Final = 3600.0
# The first send is up to this share of the backoff after its end, and no later than so
# many seconds.
SPREAD_SHARE: typing.Final = 0.2
SPREAD_MOST_S: typing.Final = 1.0
# Sends that an answer allows while the load comes back.
SENDS_PER_ANSWER: typing.Final = 2
# Where nothing was answered for so long, one more is sent, seconds.
RETRY_S: typing.Final = 1.0
# The load is back where nobody has sent for so long after the end, seconds.
IDLE_S: typing.Final = 10.0
# Requests a second that an endpoint is reckoned to take as its load comes back.
RESUMED_PER_S: typing.Final = 4.0
# For so long after its last refusal an endpoint is filled to this share of its slots,
# seconds, or of what it had then, if that was this share of them at least.
CAPPED_S: typing.Final = 60.0
CAP_SHARE: typing.Final = 0.9
LEAST_SHARE: typing.Final = 0.5
# When a full one is looked at again, seconds.
FULL_LOOK_S: typing.Final = 0.05


class _Backoff:
    """The backoff of one life.

    :param until: its end.
    :param resume_at: when the first send may go out.
    :param cap: requests of all gateways up to which it is filled.
    """

    __slots__ = (
        "until",
        "resume_at",
        "refused_at",
        "sends_left",
        "last_at",
        "answers",
        "refused",
        "cap",
        "is_back",
    )

    def __init__(self, slots: int) -> None:
        self.until = -clock.NEVER
        self.resume_at = -clock.NEVER
        self.refused_at = -clock.NEVER
        # Sends that may go out once it has ended, and when the last one did.
        self.sends_left = 1
        self.last_at = -clock.NEVER
        # Answers since its end that were no refusals, and all requests turned away.
        self.answers = 0
        self.refused = 0
        self.cap = CAP_SHARE * slots
        # Whether its load is back but for the cap.
        self.is_back = False

    def lower_cap(self, load: int, slots: int) -> None:
        """Take that it shed with so many requests there.

        With few of them it shed for another reason than what it had of us.
        """
        if load >= LEAST_SHARE * slots:
            self.cap = max(1.0, min(self.cap, CAP_SHARE * load))

    def next_at(self, load: int, now: float) -> float:
        """Give when the next send is due.

        :param load: the requests that it has.
        """
        if not self.is_back and self.sends_left <= 0:
            next_at = max(self.resume_at, self.last_at + RETRY_S)
        else:
            next_at = self.resume_at
        return max(next_at, now + FULL_LOOK_S) if load >= self.cap else next_at


class Backoffs:
    """The backoffs of all endpoints by their lives; safe for all threads."""

    __slots__ = (
        "stopped_sends",
        "asked",
        "_clock",
        "_rng",
        "_lock",
        "_known",
        "_wary_until",
    )

    def __init__(self, clock_: clock.Clock, rng: random.Random | None = None) -> None:
        # Sends that were stopped as they left, and backoffs that were asked for.
        self.stopped_sends = 0
        self.asked = 0
        self._clock = clock_
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._known: dict[str, _Backoff] = {}
        # Until when no endpoint of a service is filled up, since a full one shed.
        self._wary_until: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint backs us off, as most of the time."""
        return not self._known and not self._wary_until

    def note_refusal(
        self, endpoint: endpoint_state.Endpoint, backoff_s: float, sent_at: float
    ) -> None:
        """Take that an endpoint turned a request away.

        :param backoff_s: for which it wants no more of them; 0 if it does not say.
        :param sent_at: when the request was sent.
        """
        if not backoff_s and endpoint.incarnation not in self._known:
            return
        with self._lock:
            known = self._known.setdefault(
                endpoint.incarnation, _Backoff(endpoint.row.slots)
            )
            known.refused += 1
            known.refused_at = self._clock.now()
            if backoff_s:
                self._extend(endpoint, known, min(backoff_s, LONGEST_S), sent_at)

    def _extend(
        self,
        endpoint: endpoint_state.Endpoint,
        known: _Backoff,
        backoff_s: float,
        sent_at: float,
    ) -> None:
        now = self._clock.now()
        is_new = now >= known.until
        until = now + backoff_s
        if until > known.until:
            spread_s = min(SPREAD_MOST_S, SPREAD_SHARE * backoff_s)
            known.until = until
            known.resume_at = until + self._rng.random() * spread_s
        known.sends_left, known.answers, known.is_back = 1, 0, False
        if is_new:
            self.asked += 1
            # The one that it turned away still counts.
            load, slots = endpoint.load - 1, endpoint.row.slots
            known.lower_cap(load, slots)
            if load >= CAP_SHARE * slots:
                self._wary_until[endpoint.row.service] = now + CAPPED_S
            eventlog.info(
                "endpoint-backoff",
                endpoint=endpoint.name,
                for_s=backoff_s,
                took_s=now - sent_at,
                running=endpoint.running,
                load=endpoint.load,
                cap=known.cap,
                refused=known.refused,
            )

    def note_answer(self, endpoint: endpoint_state.Endpoint, sent_at: float) -> None:
        """Take an answer that is no refusal.

        :param sent_at: when the request was sent that it answers.
        """
        if endpoint.incarnation not in self._known:
            return
        with self._lock:
            known = self._known.get(endpoint.incarnation)
            if known is None or sent_at < known.resume_at:
                return
            known.answers += 1
            known.sends_left += SENDS_PER_ANSWER
            if known.answers >= endpoint.row.slots and not known.is_back:
                known.is_back = True
                self._log_back(endpoint.incarnation, known, "answered")

    def _log_back(self, incarnation: str, known: _Backoff, reason: str) -> None:
        eventlog.info(
            "endpoint-backoff-over",
            endpoint=incarnation,
            reason=reason,
            refused=known.refused,
            cap=known.cap,
            after_s=self._clock.now() - known.until,
        )

    # -- Sends --

    def may_send(self, endpoint: endpoint_state.Endpoint, now: float) -> bool:
        """Whether a send to an endpoint may go out now."""
        return now >= self._next_at(endpoint, endpoint.load, now)

    def _next_at(
        self, endpoint: endpoint_state.Endpoint, load: int, now: float
    ) -> float:
        """Give when the next send to an endpoint is due.

        :param load: the requests that it has.
        """
        known = self._known.get(endpoint.incarnation)
        if known is not None:
            return known.next_at(load, now)
        is_wary = now < self._wary_until.get(endpoint.row.service, -clock.NEVER)
        if is_wary and load >= CAP_SHARE * endpoint.row.slots:
            return now + FULL_LOOK_S
        return -clock.NEVER

    def take(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Count a send that goes out now; give whether it may."""
        if self.is_empty:
            return True
        with self._lock:
            now = self._clock.now()
            # This send counts as running already.
            if now < self._next_at(endpoint, endpoint.load - 1, now):
                self.stopped_sends += 1
                return False
            known = self._known.get(endpoint.incarnation)
            if known is not None:
                known.sends_left = max(0, known.sends_left - 1)
                known.last_at = now
            return True

    def turn(self, endpoint: endpoint_state.Endpoint) -> rate_pacing.Turn:
        """Give when our next sends to an endpoint are due."""
        now = self._clock.now()
        next_at = self._next_at(endpoint, endpoint.load, now)
        if now >= next_at and endpoint.incarnation not in self._known:
            return rate_pacing.ANY_TIME
        return rate_pacing.Turn(next_at, RESUMED_PER_S)

    def count(self) -> int:
        """Give how many endpoints want nothing now."""
        now = self._clock.now()
        with self._lock:
            return sum(now < known.until for known in self._known.values())

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Drop what is over, and endpoints that are not there.

        A row may lapse and come back meanwhile, so a time that is not over is kept.

        :param lives: those that are there.
        """
        now = self._clock.now()
        with self._lock:
            for service, until in list(self._wary_until.items()):
                if now >= until:
                    del self._wary_until[service]
            for incarnation, known in list(self._known.items()):
                if incarnation not in lives and now >= known.until:
                    self._drop(incarnation, known, "gone")
                elif now >= max(known.resume_at, known.last_at) + IDLE_S:
                    self._drop(incarnation, known, "idle")
                elif now >= max(known.until, known.refused_at + CAPPED_S):
                    if known.is_back:
                        self._drop(incarnation, known, "uncapped")

    def _drop(self, incarnation: str, known: _Backoff, reason: str) -> None:
        del self._known[incarnation]
        self._log_back(incarnation, known, reason)
