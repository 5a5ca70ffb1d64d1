"""The endpoints by their rows: who is there, in which halls, and which are usable.

Membership comes from the shared store: an endpoint is ready, leaving, or gone.  Halls
are emptied by an operator.  A request may look at a few of many endpoints.
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

# A leaving endpoint is used for this share of the time that it may still be sent to.
LEAVING_SHARE: typing.Final = 0.5
# Rows may lapse while the store is away; those of live endpoints are back about two
# seconds after its return.  A row found missing within the first time is taken for such
# a one, and its endpoint is used for this share of the time that a leaving one may be.
LAPSES_SEEN_S: typing.Final = 1.0
LAPSED_SHARE: typing.Final = 0.85
# A service with so many endpoints is looked at as a whole; of a larger one a request
# looks at so many in its own hall, and as many in each other one while those are full:
# a choice among thousands takes longer than a request may wait.
WHOLE_MOST: typing.Final = 100
# Lives that are remembered after they are gone.
GONE_KEPT: typing.Final = 2000
CANDIDATES_PER_HALL: typing.Final = 16
FULL_SHARE: typing.Final = 0.5


class CandidateScope(typing.NamedTuple):
    """Where a request looks for an endpoint in a service that has many.

    :param hall: the own hall.
    :param key: the request's place, a hash of what it is about.
    :param test: what an endpoint has to be, besides usable.
    """

    hall: str
    key: int
    test: endpoint_index.Test


class EndpointBook:
    """The endpoints and their rows; safe for all threads.

    :param drain_s: within which a leaving endpoint gets nothing more, seconds.
    :param slow_starts: what endpoints that are not warm may get.
    :param notices: what endpoints say of themselves in their answers.
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
        # The halls that an operator has emptied.
        self._emptied: frozenset[str] = frozenset()
        self.notices = notices or endpoint_notices.EndpointNotices(clock_)
        # What endpoints that name a rate limit may get.
        self.pacer = self.notices.pacer
        self._drain_s = drain_s
        self._lock = threading.Lock()
        # The present life of each endpoint, by its id and by the life's name.
        self._endpoints: dict[str, endpoint_state.Endpoint] = {}
        self._lives: dict[str, endpoint_state.Endpoint] = {}
        # Whether each new endpoint has a line in the log.
        self._is_told = True
        self._index = endpoint_index.EndpointIndex()
        # Those at which we have requests, those that we find dark, and those that
        # others do, by their lives: few of many, and each beat asks for them.
        self._busy: dict[str, endpoint_state.Endpoint] = {}
        self._dark: dict[str, endpoint_state.Endpoint] = {}
        self._doubted: dict[str, endpoint_state.Endpoint] = {}
        # Until when missing rows are taken for lapsed ones.
        self._lapses_until = 0.0
        # The lives that are gone, the latest ones, and when they stopped being used.
        self._gone: collections.OrderedDict[str, float] = collections.OrderedDict()

    # -- Membership --

    def replace(
        self,
        rows: dict[str, gateway_api.EndpointRow],
        restored_at: float | None = None,
    ) -> None:
        """Take a whole reading of the table.

        :param restored_at: when the store was restored from a backup, if this is the
            first reading since: rows may be older than what is known.
        """
        with self._lock:
            if restored_at is not None:
                self._lapses_until = restored_at + LAPSES_SEEN_S
                self._keep_departures(rows)
            if len(rows) > WHOLE_MOST and not self._endpoints:
                # Not a line each: hundreds of gateways would write thousands.
                eventlog.info("endpoints-read", count=len(rows))
                self._is_told = False
            for name in list(self._endpoints):
                if name not in rows:
                    self._row_gone(self._endpoints[name])
            for name, row in rows.items():
                self._update(name, row)
            self._is_told = True

    def _keep_departures(self, rows: dict[str, gateway_api.EndpointRow]) -> None:
        """Keep the departures that the rows of a restored store do not show."""
        for name, row in rows.items():
            if row.draining:
                continue
            incarnation = endpoint_state.incarnation_id(name, row.born)
            endpoint = self._lives.get(incarnation)
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
        """Note that the store answers again; called before its first rows are taken.

        :param at: when it came back, if not just now.
        """
        now = self._clock.now()
        self._lapses_until = (now if at is None else at) + LAPSES_SEEN_S

    def update(self, name: str, row: gateway_api.EndpointRow | None) -> None:
        """Take one change; ``None`` says that the row is gone."""
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

    def forget_gone(self) -> None:
        """Drop the endpoints that are gone and have nothing of ours."""
        now = self._clock.now()
        with self._lock:
            for name, endpoint in list(self._endpoints.items()):
                idle = endpoint.row_gone and not endpoint.running
                if idle and now > endpoint.row_leave_at + self._drain_s:
                    del self._endpoints[name], self._lives[endpoint.incarnation]
                    self._forget(endpoint)
                    self._remember_gone(endpoint)
            for incarnation in self.notices.departures.end_restore_grace():
                if incarnation in self._lives:
                    self._apply_departure(self._lives[incarnation])
            self.notices.forget_old(self._lives)

    def _remember_gone(self, endpoint: endpoint_state.Endpoint) -> None:
        """Remember a life that is over: a restored store may show it as ready."""
        self._gone[endpoint.incarnation] = endpoint.row_leave_at
        if len(self._gone) > GONE_KEPT:
            self._gone.popitem(last=False)

    def _update(self, name: str, row: gateway_api.EndpointRow) -> None:
        endpoint = self._endpoints.get(name)
        if endpoint is not None and endpoint.row.born != row.born:
            self._end_life(endpoint, row.born)
            endpoint = None
        is_new = endpoint is None
        if endpoint is None:
            endpoint = self._endpoints[name] = endpoint_state.Endpoint(name, row)
            self._lives[endpoint.incarnation] = endpoint
            self._index.add(endpoint)
            self._log_new(name, row)
        was_draining = endpoint.row.draining
        if is_new or endpoint.row != row:
            # One that is merely read again tells nothing new of its start.
            self._index.remove(endpoint)
            endpoint.row = row
            self._index.add(endpoint)
            self._slow_starts.note_row(endpoint)
        endpoint.row_gone = endpoint.lapsed = False
        if row.draining:
            self._leave(endpoint, "draining")
        elif endpoint.row_leave_at != clock.NEVER:
            endpoint.leave_by_row(clock.NEVER)
            if not self.notices.departures.is_row_lost(endpoint.incarnation):
                # A row that lapsed while the store was away is back, or stays.
                eventlog.info("endpoint-back", endpoint=name)
                if was_draining:
                    self.notices.departures.note_row_back(endpoint.incarnation)
        self._apply_departure(endpoint)

    def _log_new(self, name: str, row: gateway_api.EndpointRow) -> None:
        if not self._is_told:
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
        """Forget an endpoint that has started again.

        Sends to it go on with what they have, and end as soon as they look.
        """
        endpoint.is_over = True
        del self._lives[endpoint.incarnation]
        self._forget(endpoint)
        eventlog.info(
            "endpoint-reborn",
            endpoint=endpoint.name,
            born=born,
            before=endpoint.row.born,
            running=endpoint.running,
        )

    def _forget(self, endpoint: endpoint_state.Endpoint) -> None:
        """Drop a life from what is looked up."""
        self._index.remove(endpoint)
        for known in (self._busy, self._dark, self._doubted):
            known.pop(endpoint.incarnation, None)

    def _row_gone(self, endpoint: endpoint_state.Endpoint) -> None:
        if endpoint.row_gone:
            return
        endpoint.row_gone = True
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

    # -- What answers say --

    def note_answer(
        self,
        endpoint: endpoint_state.Endpoint,
        head: gateway_api.AnswerHead,
        sent_at: float,
    ) -> None:
        """Take what an answer says of its endpoint.

        :param sent_at: when the request was sent that it answers.
        """
        self.notices.note_answer(endpoint, head, sent_at)
        if head.notice.is_leaving or endpoint.told_leave_at != clock.NEVER:
            with self._lock:
                self._apply_departure(endpoint)

    def _apply_departure(self, endpoint: endpoint_state.Endpoint) -> None:
        """Stop using an endpoint in time after it first said that it leaves."""
        since = self.notices.departures.since(endpoint.incarnation)
        endpoint.leave_by_answer(since + LEAVING_SHARE * self._drain_s)

    def departure_news(self) -> list[departures.DepartureNews]:
        """Give the endpoints that say they leave, but for those whose rows do too."""

        def is_wanted(incarnation: str) -> bool:
            endpoint = self._lives.get(incarnation)
            return endpoint is not None and endpoint.row_leave_at == clock.NEVER

        return self.notices.departures.news(is_wanted)

    def apply_peer_departures(
        self, sender: str, news: list[departures.DepartureNews], age_s: float = 0.0
    ) -> None:
        """Take the endpoints that others were told leave.

        :param age_s: how long the news were on their way, seconds.
        """
        if not news:
            return
        self.notices.departures.record_news(sender, news, age_s)
        with self._lock:
            for one in news:
                endpoint = self._lives.get(one.endpoint)
                if endpoint is not None:
                    self._apply_departure(endpoint)

    # -- Halls that are emptied --

    def set_cordoned(self, halls: frozenset[str]) -> None:
        """Take the halls to whose endpoints nothing more may go.

        The endpoints of a hall that is taken back stood idle, and may have started
        again without a word that has reached us yet.
        """
        with self._lock:
            added, back = halls - self._emptied, self._emptied - halls
            self._emptied = halls
            counts = collections.Counter(e.row.hall for e in self._endpoints.values())
            for endpoint in self._endpoints.values():
                if endpoint.row.hall in back:
                    self._slow_starts.note_return(endpoint, "hall taken back")
        for hall in sorted(added):
            eventlog.info("hall-emptied", hall=hall, endpoints=counts[hall])
        for hall in sorted(back):
            eventlog.info("hall-back", hall=hall, endpoints=counts[hall])

    @property
    def emptied(self) -> frozenset[str]:
        """The halls that an operator has emptied."""
        return self._emptied

    def halls_of(self, service: str) -> set[str]:
        """Give the halls in which a service has endpoints, emptied ones too."""
        with self._lock:
            return {
                e.row.hall for e in self._index.of_service(service) if not e.row_gone
            }

    def claim_send(self, endpoint: endpoint_state.Endpoint) -> str:
        """Claim a send that goes out now.

        The last look before the request leaves: since it was chosen, another thread may
        have had our next send to an endpoint that warms up or names a rate limit, its
        hall may be emptied, its time to leave come, or a backoff have begun.

        :returns: why it must not go out; empty if it may.
        """
        if self._clock.now() >= endpoint.leave_at:
            return "leaving"
        if not self.notices.backoffs.take(endpoint):
            return "backing off"
        if endpoint.row.hall in self._emptied:
            return "hall emptied"
        if not self._slow_starts.take(endpoint):
            return "warming up"
        return "" if self.pacer.take(endpoint) else "rate limited"

    # -- Choice --

    def usable(
        self,
        service: str,
        excluded: set[str],
        around: CandidateScope | None = None,
        test: endpoint_index.Test = lambda endpoint: True,
    ) -> list[endpoint_state.Endpoint]:
        """Give the endpoints of a service that may get a request now.

        Those that are leaving come in only when no other is fit; one whose row lapsed
        is likely to come back and is used as before for a while.  One that warms up,
        names a rate limit or asked for a backoff is left out until our next send to it
        is due.

        :param around: where to look in a service with many endpoints; ``None`` for all.
        :param test: what an endpoint has to be to be fit.
        """
        now = self._clock.now()
        slow_starts, pacer = self._slow_starts, self.pacer
        is_paced = not pacer.limits.is_empty
        backoffs = self.notices.backoffs
        is_backed_off = not backoffs.is_empty

        def is_live(e: endpoint_state.Endpoint) -> bool:
            return (
                self._is_open(e, excluded, now)
                and (now >= e.warm_at or slow_starts.may_send(e, now))
                and (not is_paced or pacer.may_send(e, now))
                and (not is_backed_off or backoffs.may_send(e, now))
            )

        with self._lock:
            all_of = self._index.of_service(service)
            live: list[endpoint_state.Endpoint] = []
            if around is not None and len(all_of) > WHOLE_MOST:
                live = self._around(service, around, is_live)
            if not live:
                live = [e for e in all_of if is_live(e)]
        staying = [e for e in live if e.stays]
        return staying if any(test(e) for e in staying) else live

    def paced(self, service: str, excluded: set[str]) -> list[endpoint_state.Endpoint]:
        """Give the endpoints that are usable but for the rate limits that they name."""
        now, pacer = self._clock.now(), self.pacer
        if pacer.limits.is_empty:
            return []
        with self._lock:
            limited = [
                self._lives.get(incarnation) for incarnation in pacer.limits.lives()
            ]
            return [
                e
                for e in limited
                if e is not None
                and e.row.service == service
                and e.leave_at == clock.NEVER
                and self._is_open(e, excluded, now)
                and not pacer.may_send(e, now)
            ]

    def turns(
        self, service: str, excluded: set[str]
    ) -> list[tuple[endpoint_state.Endpoint, rate_pacing.Turn]]:
        """Give when each endpoint of a service that is open takes our next sends."""
        now = self._clock.now()
        with self._lock:
            return [
                (e, self._turn(e))
                for e in self._index.of_service(service)
                if self._is_open(e, excluded, now)
            ]

    def _turn(self, endpoint: endpoint_state.Endpoint) -> rate_pacing.Turn:
        """Give when an endpoint takes our next sends: the latest and fewest of all."""
        turns = (
            self._slow_starts.turn(endpoint),
            self.pacer.turn(endpoint),
            self.notices.backoffs.turn(endpoint),
        )
        next_at = max(turn.next_at for turn in turns)
        return rate_pacing.Turn(next_at, min(turn.per_s for turn in turns))

    def _is_open(
        self, endpoint: endpoint_state.Endpoint, excluded: set[str], now: float
    ) -> bool:
        """Whether a request may go to an endpoint, but for what it bears now."""
        is_there = now < endpoint.leave_at and endpoint.incarnation not in excluded
        if not is_there or endpoint.is_unreachable and endpoint.is_known_dark(now):
            return False
        return endpoint.row.hall not in self._emptied

    def living(
        self, service: str, test: endpoint_index.Test
    ) -> tuple[list[endpoint_state.Endpoint], int]:
        """Give a service's endpoints that stay and are not dark, and how many stay.

        :param test: what an endpoint has to be besides.
        """
        with self._lock:
            staying = [
                e
                for e in self._index.of_service(service)
                if e.leave_at == clock.NEVER
                and e.row.hall not in self._emptied
                and test(e)
            ]
        return [e for e in staying if not e.is_unreachable], len(staying)

    def _around(
        self, service: str, around: CandidateScope, is_live: endpoint_index.Test
    ) -> list[endpoint_state.Endpoint]:
        """Look at a few endpoints of the own hall, and of others if those are full."""
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
        if all(e.load >= FULL_SHARE * e.row.slots for e in found):
            for hall in self._index.halls(service):
                if hall != around.hall:
                    found += follow(hall)
        return found
