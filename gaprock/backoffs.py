"""Backoffs: endpoints that shed load and ask this gateway to send nothing for a while.

A rejected request ends at once, so an endpoint that sheds load looks the least loaded
and would be chosen first.  Nothing is sent to it until the backoff ends; requests sent
before the refusal arrived may still reach it.  A later refusal can only extend the
backoff.

The end of the backoff does not mean that the endpoint can take its usual load again.
Sends resume with one, and each answer that is not a refusal allows two more.  Gateways
that were asked at the same time resume at different times.  For a while an endpoint is
kept below the load at which it shed, and below its slots: each request too many would
cost a whole backoff, and the load of endpoints in backoff falls on the others.  If an
endpoint shed load while full, the other endpoints of its service are not filled up
either.

Backoffs are not part of gossip: one binds only the gateway that was refused, since
otherwise a short overload would become an outage.
"""

import random
import threading
import typing

from gaprock import clock, endpoint_state, eventlog, rate_pacing

# Longer backoffs are cut to this.
MAX_BACKOFF_S: typing.Final = 3600.0
# The first send is delayed past the end by a random time of up to this share of the
# backoff, and no more than this many seconds.
JITTER_SHARE: typing.Final = 0.2
MAX_JITTER_S: typing.Final = 1.0
# Sends that each answer allows during recovery.
SENDS_PER_ANSWER: typing.Final = 2
# If no send is allowed any more, another one goes out this long after the last one.
RETRY_S: typing.Final = 1.0
# A backoff is forgotten when nothing was sent for this long after its end.
IDLE_S: typing.Final = 10.0
# Assumed rate that an endpoint takes during recovery, requests per second.
RECOVERY_PER_S: typing.Final = 4.0
# For ``CAPPED_S`` after its last refusal an endpoint is filled only to ``CAP_SHARE`` of
# its slots, or of its load at the refusal if that was at least ``MIN_CAP_SHARE`` of
# them.
CAPPED_S: typing.Final = 60.0
CAP_SHARE: typing.Final = 0.9
MIN_CAP_SHARE: typing.Final = 0.5
# When to try again to send to a full endpoint.
FULL_RETRY_S: typing.Final = 0.05


class _Backoff:
    """The backoff of one endpoint incarnation.

    :param until: its end.
    :param resume_at: when the first send may go out.
    :param cap: requests of all gateways up to which the endpoint is filled.
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
        # Sends that may go out after the end, and when the last one did.
        self.sends_left = 1
        self.last_at = -clock.NEVER
        # Answers since the end that were not refusals, and all refused requests.
        self.answers = 0
        self.refused = 0
        self.cap = CAP_SHARE * slots
        # Whether recovery is complete except for the cap.
        self.is_back = False

    def lower_cap(self, load: int, slots: int) -> None:
        """Lower the cap after a refusal under some load.

        An endpoint with little load shed for another reason than that load.
        """
        if load >= MIN_CAP_SHARE * slots:
            self.cap = max(1.0, min(self.cap, CAP_SHARE * load))

    def next_at(self, load: int, now: float) -> float:
        """Return when the next send is due.

        :param load: number of requests at the endpoint.
        """
        if not self.is_back and self.sends_left <= 0:
            next_at = max(self.resume_at, self.last_at + RETRY_S)
        else:
            next_at = self.resume_at
        return max(next_at, now + FULL_RETRY_S) if load >= self.cap else next_at


class Backoffs:
    """The backoffs of all endpoints, by incarnation; thread-safe."""

    __slots__ = (
        "stopped_sends",
        "asked",
        "_clock",
        "_rng",
        "_lock",
        "_known",
        "_service_capped_until",
    )

    def __init__(self, clock_: clock.Clock, rng: random.Random | None = None) -> None:
        # Number of sends stopped at their last check, and of backoffs asked for.
        self.stopped_sends = 0
        self.asked = 0
        self._clock = clock_
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._known: dict[str, _Backoff] = {}
        # Until then no endpoint of a service is filled up, since a full one shed load.
        self._service_capped_until: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is to be checked for any endpoint, as most of the time."""
        return not self._known and not self._service_capped_until

    def note_refusal(
        self, endpoint: endpoint_state.Endpoint, backoff_s: float, sent_at: float
    ) -> None:
        """Record that an endpoint refused a request.

        :param backoff_s: the backoff that it asked for; 0 if none.
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
                self._extend(endpoint, known, min(backoff_s, MAX_BACKOFF_S), sent_at)

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
            spread_s = min(MAX_JITTER_S, JITTER_SHARE * backoff_s)
            known.until = until
            known.resume_at = until + self._rng.random() * spread_s
        known.sends_left, known.answers, known.is_back = 1, 0, False
        if is_new:
            self.asked += 1
            # The refused request is still counted in the load.
            load, slots = endpoint.load - 1, endpoint.row.slots
            known.lower_cap(load, slots)
            if load >= CAP_SHARE * slots:
                self._service_capped_until[endpoint.row.service] = now + CAPPED_S
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
        """Record an answer that is not a refusal.

        :param sent_at: when the answered request was sent.
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
        """Return when the next send to an endpoint is due.

        :param load: number of requests at the endpoint.
        """
        known = self._known.get(endpoint.incarnation)
        if known is not None:
            return known.next_at(load, now)
        is_service_capped = now < self._service_capped_until.get(
            endpoint.row.service, -clock.NEVER
        )
        if is_service_capped and load >= CAP_SHARE * endpoint.row.slots:
            return now + FULL_RETRY_S
        return -clock.NEVER

    def take(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Record a send that goes out now; return whether it is allowed."""
        if self.is_empty:
            return True
        with self._lock:
            now = self._clock.now()
            # The load includes this send already.
            if now < self._next_at(endpoint, endpoint.load - 1, now):
                self.stopped_sends += 1
                return False
            known = self._known.get(endpoint.incarnation)
            if known is not None:
                known.sends_left = max(0, known.sends_left - 1)
                known.last_at = now
            return True

    def turn(self, endpoint: endpoint_state.Endpoint) -> rate_pacing.Turn:
        """Return when this gateway's next sends to an endpoint are due."""
        now = self._clock.now()
        next_at = self._next_at(endpoint, endpoint.load, now)
        if now >= next_at and endpoint.incarnation not in self._known:
            return rate_pacing.ANY_TIME
        return rate_pacing.Turn(next_at, RECOVERY_PER_S)

    def count(self) -> int:
        """Return the number of endpoints in backoff."""
        now = self._clock.now()
        with self._lock:
            return sum(now < known.until for known in self._known.values())

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Remove backoffs that no longer apply, and those of missing endpoints.

        A row may expire and come back, so a backoff that has not ended is kept even if
        its endpoint is missing.

        :param lives: the current endpoint incarnations.
        """
        now = self._clock.now()
        with self._lock:
            for service, until in list(self._service_capped_until.items()):
                if now >= until:
                    del self._service_capped_until[service]
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
