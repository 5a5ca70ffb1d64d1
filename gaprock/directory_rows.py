"""Endpoint membership: which endpoints exist, in which halls, and which are usable.

Membership comes from rows of the shared store: an endpoint is ready, leaving, or gone.
An operator can cordon halls.  In a service with many endpoints a request considers only
a few of them.
"""

import collections
import threading
import typing

from gaprock import (
    clock,
    departures,
    endpoint_index,
    endpoint_notices,
    endpoint_state,
    eventlog,
    gateway_api,
    rate_pacing,
    warm_up,
)

# A leaving endpoint is used for this share of the drain time.
LEAVING_SHARE: typing.Final = 0.5
# Rows may expire while the store is unavailable; live endpoints write theirs again
# about two seconds after its return.  A row that is found missing within
# ``LAPSE_GRACE_S`` of the return is taken for an expired one, and its endpoint is used
# for ``LAPSED_SHARE`` of the drain time.
LAPSE_GRACE_S: typing.Final = 1.0
LAPSED_SHARE: typing.Final = 0.85
# Up to ``FULL_SCAN_LIMIT`` endpoints of a service are all considered.  In a larger one
# a request considers ``CANDIDATES_PER_HALL`` of its own hall, and as many of each other
# hall if those of its own are filled to ``SPILL_LOAD_SHARE`` of their slots: a choice
# among thousands takes longer than a request may wait.
FULL_SCAN_LIMIT: typing.Final = 100
# Number of incarnations that are remembered after they are gone.
MAX_REMEMBERED_GONE: typing.Final = 2000
CANDIDATES_PER_HALL: typing.Final = 16
SPILL_LOAD_SHARE: typing.Final = 0.5


class CandidateScope(typing.NamedTuple):
    """Which endpoints a request considers in a service that has many.

    :param hall: the gateway's own hall.
    :param key: the request's position on the rings, a hash of its subject.
    :param test: condition that a candidate must meet besides being usable.
    """

    hall: str
    key: int
    test: endpoint_index.Test


class EndpointTable:
    """The endpoints and their rows; thread-safe.

    :param drain_s: time after which a leaving endpoint must get no more requests.
    :param slow_starts: limits sends to endpoints that are warming up.
    :param notices: notices that endpoints send in their answers.
    """

    def __init__(
        self,
        clock_: clock.Clock,
        drain_s: float,
        slow_starts: warm_up.SlowStarts | None = None,
        notices: endpoint_notices.EndpointNotices | None = None,
    ) -> None:
        self._clock = clock_
        self._slow_starts = slow_starts or warm_up.SlowStarts(clock_)
        # The halls that an operator has cordoned.
        self._cordoned: frozenset[str] = frozenset()
        self.notices = notices or endpoint_notices.EndpointNotices(clock_)
        # Paces sends to endpoints that announce a rate limit.
        self.pacer = self.notices.pacer
        self._drain_s = drain_s
        self._lock = threading.Lock()
        # The current incarnation of each endpoint, by endpoint and by incarnation id.
        self._endpoints: dict[str, endpoint_state.Endpoint] = {}
        self._current: dict[str, endpoint_state.Endpoint] = {}
        # Whether each new endpoint is logged.
        self._logs_new = True
        self._index = endpoint_index.EndpointIndex()
        # Endpoints with own requests, those unreachable for this gateway, and those
        # unreachable for peers, by incarnation.  They are kept apart since each
        # heartbeat needs these few of many endpoints.
        self._busy: dict[str, endpoint_state.Endpoint] = {}
        self._unreachable: dict[str, endpoint_state.Endpoint] = {}
        self._suspected: dict[str, endpoint_state.Endpoint] = {}
        # Until then a missing row is taken for one that expired.
        self._lapses_until = 0.0
        # Incarnations whose rows were gone and are back.
        self._rows_back: list[str] = []
        # The latest incarnations that are gone, with the time they stopped being used.
        self._gone: collections.OrderedDict[str, float] = collections.OrderedDict()

    # -- Membership --

    def replace(
        self,
        rows: dict[str, gateway_api.EndpointRow],
        restored_at: float | None = None,
    ) -> None:
        """Replace all rows by a full read of the table.

        :param restored_at: when the store was restored from a backup, if this is the
            first read since: rows may be older than what is known.
        """
        with self._lock:
            if restored_at is not None:
                self._lapses_until = restored_at + LAPSE_GRACE_S
                self._keep_departures(rows)
            if len(rows) > FULL_SCAN_LIMIT and not self._endpoints:
                # One line for all: hundreds of gateways would log thousands of lines.
                eventlog.info("endpoints-read", count=len(rows))
                self._logs_new = False
            for name in list(self._endpoints):
                if name not in rows:
                    self._row_gone(self._endpoints[name])
            for name, row in rows.items():
                self._update(name, row)
            self._logs_new = True

    def _keep_departures(self, rows: dict[str, gateway_api.EndpointRow]) -> None:
        """Keep departures that are missing from the rows of a restored store."""
        for name, row in rows.items():
            if row.draining:
                continue
            incarnation = endpoint_state.incarnation_id(name, row.born)
            endpoint = self._current.get(incarnation)
            departures_ = self.notices.departures
            if endpoint is not None and endpoint.lapsed:
                continue
            if endpoint is not None and endpoint.row_leave_at != clock.NEVER:
                since = endpoint.row_leave_at - LEAVING_SHARE * self._drain_s
                departures_.note_lost_row(incarnation, since)
            elif endpoint is None and incarnation in self._gone:
                departures_.note_lost_row(incarnation, self._gone[incarnation])
            elif departures_.is_row_lost(incarnation):
                departures_.note_lost_row(incarnation, departures_.since(incarnation))

    def store_returned(self, at: float | None = None) -> None:
        """Record that the store answers again; called before its rows are applied.

        :param at: when it came back, if not just now.
        """
        now = self._clock.now()
        self._lapses_until = (now if at is None else at) + LAPSE_GRACE_S

    def update(self, name: str, row: gateway_api.EndpointRow | None) -> None:
        """Apply one changed row; ``None`` if the row is gone."""
        with self._lock:
            if row is not None:
                incarnation = endpoint_state.incarnation_id(name, row.born)
                if not row.draining and self.notices.departures.is_row_lost(
                    incarnation
                ):
                    # Written since the store was restored.
                    self.notices.departures.note_row_back(incarnation)
                self._update(name, row)
            elif name in self._endpoints:
                self._row_gone(self._endpoints[name])

    def take_rows_back(self) -> list[str]:
        """Return, once, the incarnations whose rows were gone and are back."""
        with self._lock:
            found, self._rows_back = self._rows_back, []
        return found

    def forget_gone(self) -> None:
        """Remove endpoints that are gone and have no requests of this gateway."""
        now = self._clock.now()
        with self._lock:
            for name, endpoint in list(self._endpoints.items()):
                idle = endpoint.row_gone and not endpoint.running
                if idle and now > endpoint.row_leave_at + self._drain_s:
                    del self._endpoints[name], self._current[endpoint.incarnation]
                    self._forget(endpoint)
                    self._remember_gone(endpoint)
            for incarnation in self.notices.departures.end_restore_grace():
                if incarnation in self._current:
                    self._apply_departure(self._current[incarnation])
            self.notices.forget_old(self._current)

    def _remember_gone(self, endpoint: endpoint_state.Endpoint) -> None:
        """Remember an ended incarnation: a restored store may show it as ready."""
        self._gone[endpoint.incarnation] = endpoint.row_leave_at
        if len(self._gone) > MAX_REMEMBERED_GONE:
            self._gone.popitem(last=False)

    def _update(self, name: str, row: gateway_api.EndpointRow) -> None:
        endpoint = self._endpoints.get(name)
        if endpoint is not None and endpoint.row.born != row.born:
            self._end_life(endpoint, row.born)
            endpoint = None
        incarnation = endpoint_state.incarnation_id(name, row.born)
        was_gone = incarnation in self._gone if endpoint is None else endpoint.row_gone
        if was_gone and not self.notices.departures.is_row_lost(incarnation):
            self._rows_back.append(incarnation)
        is_new = endpoint is None
        if endpoint is None:
            endpoint = self._endpoints[name] = endpoint_state.Endpoint(name, row)
            self._current[endpoint.incarnation] = endpoint
            self._index.add(endpoint)
            self._log_new(name, row)
        was_draining = endpoint.row.draining
        if is_new or endpoint.row != row:
            # A row that is merely read again says nothing new about warm-up.
            self._index.remove(endpoint)
            endpoint.row = row
            self._index.add(endpoint)
            self._slow_starts.apply_row(endpoint)
        endpoint.row_gone = endpoint.lapsed = False
        if row.draining:
            self._leave(endpoint, "draining")
        elif endpoint.row_leave_at != clock.NEVER:
            endpoint.leave_by_row(clock.NEVER)
            if not self.notices.departures.is_row_lost(endpoint.incarnation):
                # An expired row is back, or the endpoint no longer leaves.
                eventlog.info("endpoint-back", endpoint=name)
                if was_draining:
                    self.notices.departures.note_row_back(endpoint.incarnation)
        self._apply_departure(endpoint)

    def _log_new(self, name: str, row: gateway_api.EndpointRow) -> None:
        if not self._logs_new:
            return
        eventlog.info(
            "endpoint-new",
            endpoint=name,
            service=row.service,
            version=row.version,
            hall=row.hall,
            address=f"{row.host}:{row.port}",
            slots=row.slots,
            draining=row.draining,
        )

    def _end_life(self, endpoint: endpoint_state.Endpoint, born: int) -> None:
        """Forget an incarnation whose endpoint has started again.

        Sends to it go on, and end as soon as they check its state.
        """
        endpoint.successor_born = born
        endpoint.has_ended = True
        del self._current[endpoint.incarnation]
        self._forget(endpoint)
        eventlog.info(
            "endpoint-reborn",
            endpoint=endpoint.name,
            born=born,
            before=endpoint.row.born,
            running=endpoint.running,
        )

    def _forget(self, endpoint: endpoint_state.Endpoint) -> None:
        """Remove an incarnation from the look-up tables."""
        self._index.remove(endpoint)
        for known in (self._busy, self._unreachable, self._suspected):
            known.pop(endpoint.incarnation, None)

    def _row_gone(self, endpoint: endpoint_state.Endpoint) -> None:
        if endpoint.row_gone:
            return
        endpoint.row_gone, endpoint.row_gone_at = True, self._clock.now()
        is_new = endpoint.row_leave_at == clock.NEVER
        endpoint.lapsed = is_new and self._clock.now() < self._lapses_until
        if endpoint.lapsed:
            self._leave(endpoint, "row-lapsed", LAPSED_SHARE)
        else:
            self._leave(endpoint, "row-gone")

    def _leave(
        self,
        endpoint: endpoint_state.Endpoint,
        reason: str,
        share: float = LEAVING_SHARE,
    ) -> None:
        if endpoint.row_leave_at != clock.NEVER:
            return
        endpoint.leave_by_row(self._clock.now() + share * self._drain_s)
        eventlog.info(
            "endpoint-leaving", endpoint=endpoint.name, source="row", reason=reason
        )

    # -- Notices in answers --

    def note_answer(
        self,
        endpoint: endpoint_state.Endpoint,
        head: gateway_api.AnswerHead,
        sent_at: float,
    ) -> None:
        """Apply the notices in an answer to its endpoint.

        :param sent_at: when the answered request was sent.
        """
        self.notices.note_answer(endpoint, head, sent_at)
        if head.notice.is_leaving or endpoint.answer_leave_at != clock.NEVER:
            with self._lock:
                self._apply_departure(endpoint)

    def _apply_departure(self, endpoint: endpoint_state.Endpoint) -> None:
        """Set when to stop using an endpoint, counted from its first leaving notice."""
        since = self.notices.departures.since(endpoint.incarnation)
        endpoint.leave_by_answer(since + LEAVING_SHARE * self._drain_s)

    def departure_news(self) -> list[departures.DepartureUpdate]:
        """Return the departures known from answers that rows do not show too."""

        def is_wanted(incarnation: str) -> bool:
            endpoint = self._current.get(incarnation)
            return endpoint is not None and endpoint.row_leave_at == clock.NEVER

        return self.notices.departures.news(is_wanted)

    def apply_peer_departures(
        self, sender: str, news: list[departures.DepartureUpdate], age_s: float = 0.0
    ) -> None:
        """Apply departures that a peer reports.

        :param age_s: time that the message was on its way.
        """
        if not news:
            return
        self.notices.departures.record_news(sender, news, age_s)
        with self._lock:
            for one in news:
                endpoint = self._current.get(one.endpoint)
                if endpoint is not None:
                    self._apply_departure(endpoint)

    # -- Cordoned halls --

    def set_cordoned(self, halls: frozenset[str]) -> None:
        """Set the halls whose endpoints must get no new requests.

        Endpoints of a hall that is no longer cordoned were idle, and may have restarted
        without their new rows having been read yet, so they are treated as cold.
        """
        with self._lock:
            added, back = halls - self._cordoned, self._cordoned - halls
            self._cordoned = halls
            counts = collections.Counter(e.row.hall for e in self._endpoints.values())
            for endpoint in self._endpoints.values():
                if endpoint.row.hall in back:
                    self._slow_starts.assume_cold(endpoint, "hall uncordoned")
        for hall in sorted(added):
            eventlog.info("hall-emptied", hall=hall, endpoints=counts[hall])
        for hall in sorted(back):
            eventlog.info("hall-back", hall=hall, endpoints=counts[hall])

    @property
    def cordoned(self) -> frozenset[str]:
        """The halls that an operator has cordoned."""
        return self._cordoned

    def halls_of(self, service: str) -> set[str]:
        """Return the halls in which a service has endpoints, cordoned ones too."""
        with self._lock:
            return {
                e.row.hall for e in self._index.of_service(service) if not e.row_gone
            }

    def claim_send(self, endpoint: endpoint_state.Endpoint) -> str:
        """Claim a send that goes out now.

        This is the last check before the request is sent.  Since the endpoint was
        chosen, another thread may have used the next send that its warm-up or rate
        limit allows, its hall may have been cordoned, its time to leave may have come,
        or a backoff may have begun.

        :returns: why the request must not be sent; empty if it may.
        """
        if self._clock.now() >= endpoint.leave_at:
            return "leaving"
        if not self.notices.backoffs.take(endpoint):
            return "backing off"
        if endpoint.row.hall in self._cordoned:
            return "hall emptied"
        if not self._slow_starts.take(endpoint):
            return "warming up"
        return "" if self.pacer.take(endpoint) else "rate limited"

    # -- Selection --

    def usable(
        self,
        service: str,
        excluded: set[str],
        around: CandidateScope | None = None,
        test: endpoint_index.Test = lambda endpoint: True,
    ) -> list[endpoint_state.Endpoint]:
        """Return the endpoints of a service that may get a request now.

        Leaving endpoints are included only if no other one meets the condition.  An
        endpoint whose row expired will probably write it again and is used as before
        for a while.  One that warms up, announces a rate limit or asked for a backoff
        is left out until this gateway's next send to it is due.

        :param around: candidates in a service with many endpoints; ``None`` for all.
        :param test: condition that an endpoint must meet.
        """
        now = self._clock.now()
        slow_starts, pacer = self._slow_starts, self.pacer
        is_paced = not pacer.limits.is_empty
        backoffs = self.notices.backoffs
        is_backed_off = not backoffs.is_empty

        def is_live(e: endpoint_state.Endpoint) -> bool:
            return (
                self._accepts_requests(e, excluded, now)
                and (now >= e.warm_at or slow_starts.may_send(e, now))
                and (not is_paced or pacer.may_send(e, now))
                and (not is_backed_off or backoffs.may_send(e, now))
            )

        with self._lock:
            all_of = self._index.of_service(service)
            live: list[endpoint_state.Endpoint] = []
            if around is not None and len(all_of) > FULL_SCAN_LIMIT:
                live = self._nearby_candidates(service, around, is_live)
            if not live:
                live = [e for e in all_of if is_live(e)]
        staying = [e for e in live if e.stays]
        return staying if any(test(e) for e in staying) else live

    def paced(self, service: str, excluded: set[str]) -> list[endpoint_state.Endpoint]:
        """Return the endpoints that only their rate limits make unusable now."""
        now, pacer = self._clock.now(), self.pacer
        if pacer.limits.is_empty:
            return []
        with self._lock:
            limited = [
                self._current.get(incarnation)
                for incarnation in pacer.limits.incarnations()
            ]
            return [
                e
                for e in limited
                if e is not None
                and e.row.service == service
                and e.leave_at == clock.NEVER
                and self._accepts_requests(e, excluded, now)
                and not pacer.may_send(e, now)
            ]

    def turns(
        self, service: str, excluded: set[str]
    ) -> list[tuple[endpoint_state.Endpoint, rate_pacing.Turn]]:
        """Return the endpoints that accept sends, and when the next ones are due."""
        now = self._clock.now()
        with self._lock:
            return [
                (e, self._turn(e))
                for e in self._index.of_service(service)
                if self._accepts_requests(e, excluded, now)
            ]

    def _turn(self, endpoint: endpoint_state.Endpoint) -> rate_pacing.Turn:
        """Return the latest time and lowest rate of all limits of an endpoint."""
        turns = (
            self._slow_starts.turn(endpoint),
            self.pacer.turn(endpoint),
            self.notices.backoffs.turn(endpoint),
        )
        next_at = max(turn.next_at for turn in turns)
        return rate_pacing.Turn(next_at, min(turn.per_s for turn in turns))

    def _accepts_requests(
        self, endpoint: endpoint_state.Endpoint, excluded: set[str], now: float
    ) -> bool:
        """Whether an endpoint accepts requests, regardless of limits on their rate."""
        is_there = now < endpoint.leave_at and endpoint.incarnation not in excluded
        if not is_there or endpoint.is_unreachable and endpoint.refused_lately(now):
            return False
        return endpoint.row.hall not in self._cordoned

    def of_service(self, service: str) -> list[endpoint_state.Endpoint]:
        """Return all endpoints of a service, whatever their state."""
        with self._lock:
            return list(self._index.of_service(service))

    def living(
        self, service: str, test: endpoint_index.Test
    ) -> tuple[list[endpoint_state.Endpoint], int]:
        """Return a service's reachable endpoints, and the count with unreachable ones.

        Leaving endpoints and those in cordoned halls are not counted.

        :param test: further condition that an endpoint must meet.
        """
        with self._lock:
            staying = [e for e in self._staying(service) if test(e)]
        return [e for e in staying if not e.is_unreachable], len(staying)

    def versions(self, service: str) -> set[str]:
        """Return the versions that a service's endpoints run, but leaving ones."""
        with self._lock:
            return {e.row.version for e in self._staying(service)}

    def has_version(self, service: str, test: typing.Callable[[str], bool]) -> bool:
        """Whether a service has an endpoint of a version that passes a test."""
        with self._lock:
            return any(test(e.row.version) for e in self._staying(service))

    def _staying(self, service: str) -> typing.Iterator[endpoint_state.Endpoint]:
        """Return the endpoints that neither leave nor are in a cordoned hall."""
        for e in self._index.of_service(service):
            if e.leave_at == clock.NEVER and e.row.hall not in self._cordoned:
                yield e

    def _nearby_candidates(
        self, service: str, around: CandidateScope, is_live: endpoint_index.Test
    ) -> list[endpoint_state.Endpoint]:
        """Return a few endpoints of the own hall, and of others if those are full."""
        now = self._clock.now()

        def stays(e: endpoint_state.Endpoint) -> bool:
            is_well = (
                now >= e.ejected_until and not e.probe_in_flight and not e.is_suspected
            )
            return e.stays and is_well and is_live(e)

        def follow(hall: str) -> list[endpoint_state.Endpoint]:
            test = around.test
            return self._index.following(
                service,
                hall,
                around.key,
                CANDIDATES_PER_HALL,
                lambda e: stays(e) and test(e),
            )

        found = follow(around.hall)
        if all(e.load >= SPILL_LOAD_SHARE * e.row.slots for e in found):
            for hall in self._index.halls(service):
                if hall != around.hall:
                    found += follow(hall)
        return found
