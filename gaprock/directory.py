"""The endpoints that a gateway knows, and how they fare.

Membership comes from the shared store: an endpoint is ready, leaving, or gone.  Load is
counted by ourselves and told by other gateways.  Health is learned from our own
requests: an endpoint that takes no connection, falls silent or fails more than its
peers is set aside for a while, then tried with one request that may be repeated.  An
endpoint that another gateway found dark is avoided until we hear from it ourselves.
"""

import collections
import random
import threading
import typing

from gaprock import (
    clock,
    endpoint_index,
    endpoint_state,
    eventlog,
    gateway_api,
    mechanisms,
    prefix_cache,
    reading_pace,
    warm_up,
)

# A leaving endpoint is used for this share of the time that it may still be sent to.
LEAVING_SHARE: typing.Final = 0.5
# Rows may lapse while the store is away; those of live endpoints are back about two
# seconds after its return.  A row found missing within the first time is taken for such
# a one, and its endpoint is used for this share of the time that a leaving one may be.
LAPSES_SEEN_S: typing.Final = 1.0
LAPSED_SHARE: typing.Final = 0.85
# Longest pause of an endpoint that took no connection, seconds.
LONGEST_PAUSE_S: typing.Final = 4.0
# Weight of a new observation in the running means.
MEAN_WEIGHT: typing.Final = 0.15
# An endpoint whose share of failures is this far above the others' is set aside.
FAILURE_EXCESS: typing.Final = 0.25
# Answers before the share of failures counts.
MIN_ANSWERS: typing.Final = 4
# A silent endpoint is looked at with a new connection at most so often, seconds.
LOOK_EVERY_S: typing.Final = 0.5
# Share of an engine's memory that is taken as room for parts of prompts; running
# requests have the rest.  Choosing by what is kept is worth 0.013 (+- 0.007, 12 paired
# days of the further site); with a share of 0.55 it is 0.007 (+- 0.004) less, with 1.1
# 0.004 (+- 0.006) more.
CACHE_SHARE: typing.Final = 0.8
# Prompts that are kept to be told to other gateways.
TOLD_PROMPTS: typing.Final = 1000
# A service with so many endpoints is looked at as a whole; of a larger one a request
# looks at so many in its own hall, and as many in each other one while those are full.
# A choice among 4,000 took 81 ms of processor time, among those that a request looks
# at 0.1 ms (``bench.scale``).
WHOLE_MOST: typing.Final = 100
LOOKED_AT: typing.Final = 16
FULL_SHARE: typing.Final = 0.5
# A gateway that finds more than this share of a service dark is likely cut off itself.
DARK_SHARE: typing.Final = 0.5


class Around(typing.NamedTuple):
    """Where a request looks for an endpoint in a service that has many.

    :param hall: the own hall.
    :param key: the request's place, a hash of what it is about.
    :param test: what an endpoint has to be, besides usable.
    """

    hall: str
    key: int
    test: endpoint_index.Test


class Directory:
    """All endpoints; safe for all threads.

    :param slow_starts: what endpoints that are not warm may get.
    """

    def __init__(
        self,
        clock_: clock.Clock,
        drain_s: float,
        slow_starts: warm_up.SlowStarts | None = None,
    ) -> None:
        self._clock = clock_
        self._slow_starts = slow_starts or warm_up.SlowStarts(clock_)
        # The halls that an operator has emptied.
        self._emptied: frozenset[str] = frozenset()
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
        # The lives at which each other gateway has requests, as it told last.
        self._told: dict[str, typing.Collection[str]] = {}
        # Until when missing rows are taken for lapsed ones.
        self._lapses_until = 0.0
        self._rng = random.Random()
        # How fast the engines read.
        self.pace = reading_pace.ReadingPace()
        # Memory of a service's engines, in tokens.
        self._memory: dict[str, int] = {}
        # Prompts that were read for us, as (endpoint, marks); how many there ever were.
        self._prompts: collections.deque[tuple[str, list[prefix_cache.Mark]]] = (
            collections.deque(maxlen=TOLD_PROMPTS)
        )
        self._prompt_count = 0

    def set_memory(self, tokens: dict[str, int]) -> None:
        """Take the memory of each service's engines, in tokens."""
        self._memory = tokens

    def has_memory(self, service: str) -> bool:
        """Whether the memory of a service's engines is known."""
        return self._memory.get(service, 0) > 0

    # -- Membership --

    def replace(self, rows: dict[str, gateway_api.EndpointRow]) -> None:
        """Take a whole reading of the table."""
        with self._lock:
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

    def store_returned(self) -> None:
        """Note that the store answers again; called before its first rows are taken."""
        self._lapses_until = self._clock.now() + LAPSES_SEEN_S

    def update(self, name: str, row: gateway_api.EndpointRow | None) -> None:
        """Take one change; ``None`` says that the row is gone."""
        with self._lock:
            if row is not None:
                self._update(name, row)
            elif name in self._endpoints:
                self._row_gone(self._endpoints[name])

    def forget_gone(self) -> None:
        """Drop the endpoints that are gone and have nothing of ours."""
        now = self._clock.now()
        with self._lock:
            for name, endpoint in list(self._endpoints.items()):
                idle = endpoint.row_gone and not endpoint.running
                if idle and now > endpoint.leave_at + self._drain_s:
                    del self._endpoints[name], self._lives[endpoint.life]
                    self._forget(endpoint)

    def _update(self, name: str, row: gateway_api.EndpointRow) -> None:
        endpoint = self._endpoints.get(name)
        if endpoint is not None and endpoint.row.born != row.born:
            self._end_life(endpoint, row.born)
            endpoint = None
        is_new = endpoint is None
        if endpoint is None:
            endpoint = self._endpoints[name] = endpoint_state.Endpoint(name, row)
            self._lives[endpoint.life] = endpoint
            self._index.add(endpoint)
            self._log_new(name, row)
        if is_new or endpoint.row != row:
            # One that is merely read again tells nothing new of its start.
            self._index.remove(endpoint)
            endpoint.row = row
            self._index.add(endpoint)
            self._slow_starts.note_row(endpoint)
        endpoint.row_gone = endpoint.lapsed = False
        if row.draining:
            self._leave(endpoint, "draining")
        elif endpoint.leave_at != clock.NEVER:
            # A row that lapsed while the store was away is back.
            endpoint.leave_at = clock.NEVER
            eventlog.info("endpoint-back", endpoint=name)

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
        del self._lives[endpoint.life]
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
            known.pop(endpoint.life, None)

    def _row_gone(self, endpoint: endpoint_state.Endpoint) -> None:
        if endpoint.row_gone:
            return
        endpoint.row_gone = True
        is_new = endpoint.leave_at == clock.NEVER
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
        if endpoint.leave_at != clock.NEVER:
            return
        endpoint.leave_at = self._clock.now() + share * self._drain_s
        eventlog.info("endpoint-leaving", endpoint=endpoint.name, reason=reason)

    # -- Halls that are emptied --

    def set_emptied(self, halls: frozenset[str]) -> None:
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
        have had our next send to an endpoint that warms up, or its hall was emptied.

        :returns: why it must not go out; empty if it may.
        """
        if endpoint.row.hall in self._emptied:
            return "hall emptied"
        return "" if self._slow_starts.take(endpoint) else "warming up"

    # -- Choice --

    def usable(
        self,
        service: str,
        excluded: set[str],
        around: Around | None = None,
    ) -> list[endpoint_state.Endpoint]:
        """Give the endpoints of a service that may get a request now.

        Those that are leaving come in only when there is no other; one whose row
        lapsed is likely to come back and is used as before for a while.  One that warms
        up is left out until our next send to it is due.

        :param around: where to look in a service with many endpoints; ``None`` for all.
        """
        now = self._clock.now()
        emptied, slow_starts = self._emptied, self._slow_starts

        def is_live(e: endpoint_state.Endpoint) -> bool:
            return (
                now < e.leave_at
                and e.life not in excluded
                and e.row.hall not in emptied
                and (now >= e.warm_at or slow_starts.may_send(e, now))
            )

        with self._lock:
            all_of = self._index.of_service(service)
            live: list[endpoint_state.Endpoint] = []
            if around is not None and len(all_of) > WHOLE_MOST:
                live = self._around(service, around, is_live)
            if not live:
                live = [e for e in all_of if is_live(e)]
        staying = [e for e in live if e.leave_at == clock.NEVER or e.lapsed]
        return staying or live

    def _around(
        self, service: str, around: Around, is_live: endpoint_index.Test
    ) -> list[endpoint_state.Endpoint]:
        """Look at a few endpoints of the own hall, and of others if those are full."""
        now = self._clock.now()

        def stays(e: endpoint_state.Endpoint) -> bool:
            is_staying = e.leave_at == clock.NEVER or e.lapsed
            is_well = now >= e.paused_until and not e.on_trial and not e.is_doubted
            return is_staying and is_well and is_live(e)

        def follow(hall: str) -> list[endpoint_state.Endpoint]:
            test = around.test
            return self._index.following(
                service, hall, around.key, LOOKED_AT, lambda e: stays(e) and test(e)
            )

        found = follow(around.hall)
        if all(e.load >= FULL_SHARE * e.row.slots for e in found):
            for hall in self._index.halls(service):
                if hall != around.hall:
                    found += follow(hall)
        return found

    def is_set_aside(self, endpoint: endpoint_state.Endpoint, now: float) -> bool:
        """Whether an endpoint is paused, or its trial request is not back yet."""
        if not mechanisms.SET_ASIDE.on:
            return False
        if now < endpoint.paused_until or endpoint.on_trial:
            return True
        return self.fails_often(endpoint)

    def fails_often(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Whether it fails clearly more often than the others of its service."""
        if endpoint.answers < MIN_ANSWERS or endpoint.failure_rate < FAILURE_EXCESS:
            return False
        with self._lock:
            others = [
                e.failure_rate
                for e in self._index.of_service(endpoint.row.service)
                if e is not endpoint
            ]
        usual = sum(others) / len(others) if others else endpoint.failure_rate
        return endpoint.failure_rate - usual > FAILURE_EXCESS

    # -- What our requests tell --

    def begin(
        self, endpoint: endpoint_state.Endpoint, prompt: endpoint_state.Prompt
    ) -> None:
        """Count a request that is about to be sent."""
        now = self._clock.now()
        with self._lock:
            if not endpoint.running:
                endpoint.sent_at = now
            endpoint.running += 1
            if not endpoint.is_over:
                self._busy[endpoint.life] = endpoint
            endpoint.backlog.add(prompt.reading, now)
            if endpoint.paused_until and now >= endpoint.paused_until:
                endpoint.on_trial = True
                self._note_dark(endpoint, False)

    def _use(
        self, endpoint: endpoint_state.Endpoint, marks: list[prefix_cache.Mark]
    ) -> None:
        room = CACHE_SHARE * self._memory.get(endpoint.row.service, 0)
        endpoint.cache.use(marks, int(room))

    def read(
        self, endpoint: endpoint_state.Endpoint, prompt: endpoint_state.Prompt
    ) -> None:
        """Note that a prompt was read, since its answer has begun.

        Only now is it kept: a prompt that comes while another of the same subject is
        being read is read as well.
        """
        with self._lock:
            endpoint.backlog.remove(prompt.reading, self._clock.now())
            if prompt.marks:
                self._use(endpoint, prompt.marks)
                self._prompts.append((endpoint.life, prompt.marks))
                self._prompt_count += 1

    def drop(
        self, endpoint: endpoint_state.Endpoint, prompt: endpoint_state.Prompt
    ) -> None:
        """Note that a prompt will not be read, since its send is over."""
        with self._lock:
            endpoint.backlog.remove(prompt.reading, self._clock.now())

    def unread(self, endpoint: endpoint_state.Endpoint) -> float:
        """Give what an endpoint likely has to read, in tokens of the largest model."""
        return self.unread_at([endpoint])[0]

    def unread_at(self, endpoints: list[endpoint_state.Endpoint]) -> list[float]:
        """Give the same for some endpoints of one service."""
        if not endpoints:
            return []
        now = self._clock.now()
        tokens_per_s = self.pace.tokens_per_s(endpoints[0].row.service)
        with self._lock:
            if not mechanisms.BACKLOG_FALLS.on:
                return [e.backlog.told for e in endpoints]
            return [e.backlog.left(now, tokens_per_s) for e in endpoints]

    def end(self, endpoint: endpoint_state.Endpoint) -> None:
        """Count a request that is done with."""
        with self._lock:
            endpoint.running -= 1
            if not endpoint.running:
                self._busy.pop(endpoint.life, None)
                # A trial request that ended without a word on the endpoint.
                endpoint.on_trial = False

    def heard(self, endpoint: endpoint_state.Endpoint) -> None:
        """Note bytes from an endpoint."""
        endpoint.heard_at = self._clock.now()
        if endpoint.is_dark:
            with self._lock:
                self._note_dark(endpoint, False)

    def _note_dark(self, endpoint: endpoint_state.Endpoint, is_dark: bool) -> None:
        endpoint.is_dark = is_dark
        if is_dark and not endpoint.is_over:
            self._dark[endpoint.life] = endpoint
        else:
            self._dark.pop(endpoint.life, None)

    def claim_look(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Whether a silent endpoint is to be looked at now, by this caller."""
        if not mechanisms.LOOKS.on:
            return False
        now = self._clock.now()
        with self._lock:
            if not endpoint.silent(now) or now < endpoint.looked_at + LOOK_EVERY_S:
                return False
            endpoint.looked_at = now
            return True

    def claim_check(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Whether an endpoint that broke an answer off is to be looked at now."""
        now = self._clock.now()
        with self._lock:
            if now < endpoint.looked_at + LOOK_EVERY_S:
                return False
            endpoint.looked_at = now
            return True

    def answered(self, endpoint: endpoint_state.Endpoint, failed: bool) -> None:
        """Note an answer, or the lack of one that the endpoint is to blame for."""
        with self._lock:
            endpoint.answers += 1
            change = MEAN_WEIGHT * (failed - endpoint.failure_rate)
            endpoint.failure_rate += change
            if not failed:
                self._resume(endpoint)

    def replaced(self, endpoint: endpoint_state.Endpoint) -> None:
        """Set an endpoint aside for long: another one answers at its address."""
        endpoint.pause_s = LONGEST_PAUSE_S
        self.unreachable(endpoint, "another endpoint answers")

    def unreachable(self, endpoint: endpoint_state.Endpoint, reason: str) -> None:
        """Set an endpoint aside, longer each time."""
        with self._lock:
            now = self._clock.now()
            endpoint.on_trial = False
            self._note_dark(endpoint, True)
            self._slow_starts.note_return(endpoint, "took no connection")
            if now < endpoint.paused_until:
                return
            pause_s = endpoint.pause_s * self._rng.uniform(0.8, 1.2)
            endpoint.paused_until = now + pause_s
            endpoint.pause_s = min(LONGEST_PAUSE_S, endpoint.pause_s * 2)
        eventlog.info(
            "endpoint-paused", endpoint=endpoint.name, reason=reason, pause_s=pause_s
        )

    def _resume(self, endpoint: endpoint_state.Endpoint) -> None:
        endpoint.on_trial = False
        if endpoint.paused_until:
            endpoint.paused_until = 0.0
            endpoint.pause_s = endpoint_state.FIRST_PAUSE_S
            self._slow_starts.note_return(endpoint, "answers again")
            eventlog.info("endpoint-resumed", endpoint=endpoint.name)

    def running_besides(self, service: str, version: str) -> int:
        """Give our requests at a service's endpoints of other versions."""
        with self._lock:
            return sum(
                e.running
                for e in self._busy.values()
                if e.row.service == service and e.row.version != version
            )

    # -- What other gateways tell --

    def own_loads(self) -> dict[str, endpoint_state.Load]:
        """Give what we have at each endpoint."""
        with self._lock:
            return {
                e.life: endpoint_state.Load(e.running, round(e.backlog.own))
                for e in self._busy.values()
            }

    def prompts_since(
        self, count: int
    ) -> tuple[int, list[tuple[str, list[prefix_cache.Mark]]]]:
        """Give our prompts after the first so many, and how many there are now."""
        with self._lock:
            new = min(len(self._prompts), self._prompt_count - count)
            last = list(self._prompts)[len(self._prompts) - new :] if new else []
            return self._prompt_count, last

    def take_prompts(self, prompts: list[tuple[str, list[prefix_cache.Mark]]]) -> None:
        """Take the prompts that another gateway sent."""
        if not mechanisms.TOLD_PROMPTS.on:
            return
        with self._lock:
            for life, marks in prompts:
                endpoint = self._lives.get(life)
                if endpoint is not None:
                    self._use(endpoint, marks)

    def dark(self) -> list[str]:
        """Give the endpoints that we find dark."""
        with self._lock:
            return sorted(self._dark)

    def found_dark(self, gateways: typing.Collection[str]) -> list[str]:
        """Give the endpoints that we or some others, by their names, find dark."""
        with self._lock:
            doubted = [
                life
                for life, e in self._doubted.items()
                if not e.doubters.isdisjoint(gateways)
            ]
            return sorted({*self._dark, *doubted})

    def doubted(self) -> list[str]:
        """Give the endpoints that anybody finds dark."""
        with self._lock:
            return sorted(self._doubted)

    def take_dark(self, gateway: str, names: typing.Collection[str]) -> None:
        """Take the endpoints that another gateway finds dark, by their lives."""
        if not mechanisms.DOUBTED.on:
            return
        now = self._clock.now()
        with self._lock:
            told = [self._lives[life] for life in names if life in self._lives]
            found = collections.Counter(e.row.service for e in told)
            for endpoint in list(self._doubted.values()):
                if endpoint.life not in names:
                    self._undoubt(endpoint, gateway)
            for endpoint in told:
                size = len(self._index.of_service(endpoint.row.service))
                if found[endpoint.row.service] > max(1, DARK_SHARE * size):
                    self._undoubt(endpoint, gateway)
                elif gateway not in endpoint.doubters:
                    self._doubt(endpoint, gateway, now)

    def _doubt(
        self, endpoint: endpoint_state.Endpoint, gateway: str, now: float
    ) -> None:
        if not endpoint.doubters:
            endpoint.doubted_at = now
            self._slow_starts.note_return(endpoint, "found dark")
            self._log_doubt(endpoint, gateway, now)
        endpoint.doubters.add(gateway)
        self._doubted[endpoint.life] = endpoint

    def _undoubt(self, endpoint: endpoint_state.Endpoint, gateway: str) -> None:
        if gateway not in endpoint.doubters:
            return
        endpoint.doubters.discard(gateway)
        if not endpoint.doubters:
            self._doubted.pop(endpoint.life, None)
            self._slow_starts.note_return(endpoint, "no longer dark")

    def _log_doubt(
        self, endpoint: endpoint_state.Endpoint, gateway: str, now: float
    ) -> None:
        eventlog.info(
            "endpoint-doubted",
            endpoint=endpoint.name,
            by=gateway,
            heard_s=now - endpoint.heard_at if endpoint.heard_at else "never",
        )

    def take_loads(self, gateway: str, loads: dict[str, endpoint_state.Load]) -> None:
        """Take another gateway's requests by the endpoints' lives."""
        if not mechanisms.TOLD_LOADS.on:
            return
        now = self._clock.now()
        with self._lock:
            for life in {*self._told.get(gateway, ()), *loads}:
                endpoint = self._lives.get(life)
                if endpoint is None:
                    continue
                load = loads.get(life)
                endpoint.backlog.take(gateway, load.reading if load else 0.0, now)
                if load is not None:
                    endpoint.others[gateway] = load
                else:
                    endpoint.others.pop(gateway, None)
            self._told[gateway] = tuple(loads)
            if not loads:
                del self._told[gateway]
