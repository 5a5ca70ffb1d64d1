"""The simulation of ``bench.placing``: engines, gateways and callers."""

import collections
import heapq
import itertools
import random
import typing

from bench import placing_paces
from gaprock import (
    clock,
    directory,
    endpoint_state,
    evidence,
    gateway_api,
    gateway_attempt,
    gateway_call,
    gateway_choose,
    gateway_models,
    mesh_halls,
    plugin,
    policy_api,
    policy_models,
    prefix_cache,
    retry_budget,
    rollouts,
    routes,
)

SERVICE: typing.Final = "llm"
# The end of a play's time.
FOREVER: typing.Final = 1e9
# Models: the name, the cost of a token, and the share of requests that it answers well.
MODELS: typing.Final = (
    ("small", 0.05, 0.6),
    ("middle", 0.3, 0.75),
    ("large", 1.0, 0.97),
)
# Pauses between heartbeats within a hall and between halls, and the time in transit.
BEAT_S: typing.Final = 0.2
HALL_BEAT_S: typing.Final = 1.0
TRANSIT_S: typing.Final = 0.001
# Share of its rate that a stream loses while its engine prefills another prompt.
DECODE_SLOWDOWN: typing.Final = 0.9
# The largest size of a prompt, as a multiple of the mean.
MAX_SIZE: typing.Final = 8.0


class Kind(typing.NamedTuple):
    """A kind of request.

    :param share: the share of all requests.
    :param tokens: the mean length of the prompt, with the shared prefix.
    :param spread: the standard deviation of the logarithm of the length.
    :param shared: the length of the prefix that requests of a subject share.
    :param subjects: the number of subjects.
    :param run_s: the time that the answer's events take if no prefill slows them.
    :param is_plain: whether the answer is no stream, which takes ``run_s`` in all.
    """

    name: str
    share: float
    tokens: float
    spread: float
    shared: int
    subjects: int
    run_s: float
    goal_s: float
    gap_s: float
    is_plain: bool = False


class Site(typing.NamedTuple):
    """The machines and the load.

    :param gateways: the number in each hall.
    :param engines: the number in each hall.
    :param tokens_per_s: the prefill rate of an engine for the largest model.
    :param per_s: requests a second at a load of 1.
    :param paces: lasting paces of a hall's engines, in turn; empty if they report none.
    :param burst: when it begins and ends, in seconds, and its multiple of the load.
    """

    halls: int
    gateways: int
    engines: int
    slots: int
    memory: int
    tokens_per_s: float
    per_s: float
    kinds: tuple[Kind, ...]
    burst: tuple[float, float, float] = (4.0, 8.0, 2.0)
    seconds: float = 12.0
    paces: tuple[float, ...] = ()


# Many fast engines with few requests each.
QUICK: typing.Final = Site(
    3,
    3,
    4,
    16,
    586_000,
    40_000.0,
    45.0,
    (
        Kind("cluster", 0.3, 9_000, 1.0, 5_000, 60, 1.2, 2.0, 1.2),
        Kind("digest", 0.17, 800, 0.8, 200, 60, 0.9, 1.5, 1.2),
        Kind("tag", 0.53, 2_300, 0.8, 500, 200, 0.1, 1.5, 1.2),
    ),
)
# Few slow engines, where a long prompt delays many requests.
SLOW: typing.Final = Site(
    3,
    1,
    2,
    64,
    468_000,
    12_000.0,
    12.0,
    (
        Kind("dossier", 0.36, 17_000, 0.5, 13_000, 30, 3.0, 4.0, 0.8),
        Kind("brief", 0.25, 9_000, 0.5, 6_000, 30, 1.5, 3.0, 0.8),
        Kind("reply", 0.39, 1_400, 0.8, 350, 60, 4.0, 2.0, 0.8),
    ),
)
# Engines of different paces with transient slowdowns.
UNEVEN: typing.Final = QUICK._replace(
    per_s=60.0, burst=(4.0, 8.0, 1.0), paces=(0.55, 1.2, 1.2, 1.2)
)
# The same with many gateways, each of which sees few answers.
UNEVEN_MANY: typing.Final = UNEVEN._replace(
    gateways=10, engines=9, slots=64, per_s=140.0, paces=(0.55, 1.0, 1.2)
)
# A plain service with few slots and short calls.
UNEVEN_PLAIN: typing.Final = UNEVEN._replace(
    halls=1,
    gateways=30,
    engines=3,
    slots=6,
    per_s=250.0,
    kinds=(Kind("check", 1.0, 1.0, 0.1, 0, 60, 0.022, 0.16, 1.2, True),),
    paces=(0.55, 1.0, 1.2),
)
SITES: typing.Final = {
    "quick": QUICK,
    "slow": SLOW,
    "uneven": UNEVEN,
    "uneven-many": UNEVEN_MANY,
    "uneven-plain": UNEVEN_PLAIN,
}


class Outcome(typing.NamedTuple):
    """The outcome of a caller's request.

    :param end: ``in time``, ``too small`` (a model) or ``late``.
    :param size: the length of the prompt relative to the mean of its kind.
    :param first_s: the time to the first event; to the end for a plain request.
    """

    kind: str
    end: str
    size: float
    cost: float
    first_s: float = 0.0


class Engine:
    """An engine: a queue of prompts to prefill, and the running streams."""

    def __init__(self, player: "Player", name: str, hall: str, number: int = 0) -> None:
        site = player.site
        self.sends = 0
        # The prefill work of all sends, in tokens of the largest model.
        self.work = 0.0
        self.pace: placing_paces.EnginePace | None = None
        if site.paces:
            now = player.time.now()
            self.pace = placing_paces.EnginePace(
                site.paces[number % len(site.paces)],
                random.Random(f"pace {player.seed} {name}"),
                now,
                now + site.seconds,
            )
        self.row = gateway_api.EndpointRow(
            SERVICE, name, 1, hall, "v1", site.slots, False
        )
        self.name = name
        self._player = player
        self._queue: collections.deque[Send] = collections.deque()
        self._is_prefilling = False
        self._cache = prefix_cache.PrefixCache()
        self.running: set[Send] = set()

    def enqueue(self, send: "Send") -> None:
        """Queue a request."""
        self.sends += 1
        self._queue.append(send)
        self._start_prefill()

    def pace_now(self) -> float:
        """Return the factor on the usual time of work now."""
        return self.pace.at(self._player.time.now()) if self.pace else 1.0

    def report(self) -> gateway_api.LoadReport | None:
        """Return what an answer reports now; ``None`` if the engine reports nothing."""
        if self.pace is None:
            return None
        return self.pace.report(self._player.time.now(), self.row.slots)

    def _record_load(self) -> None:
        if self.pace is not None:
            waiting = len(self._queue) + self._is_prefilling
            self.pace.record_load(self._player.time.now(), len(self.running), waiting)

    def remove(self, send: "Send") -> None:
        """Remove a running request."""
        self.running.discard(send)
        self._start_prefill()

    def _start_prefill(self) -> None:
        self._start_next()
        self._record_load()

    def _start_next(self) -> None:
        if self._is_prefilling or not self._queue:
            return
        if len(self.running) >= self._player.site.slots:
            return
        send = self._queue.popleft()
        if send.job.kind.is_plain:
            self.running.add(send)
            send.start_plain()
            self._start_next()
            return
        hashes = send.attempt.prompt.hashes
        tokens = max(0, send.job.tokens - self._cache.cached(hashes))
        weight = dict((name, cost) for name, cost, _ in MODELS)[send.model]
        seconds = weight * tokens / self._player.site.tokens_per_s + 0.005
        self.work += weight * tokens
        seconds *= self.pace_now()
        self._cache.use(hashes, self._player.site.memory)
        self._is_prefilling = True
        for other in self.running:
            other.slow(seconds)
        self._player.after(seconds, lambda: self._finish_prefill(send))

    def _finish_prefill(self, send: "Send") -> None:
        self._is_prefilling = False
        self.running.add(send)
        send.handle_first_event()
        self._start_prefill()


class Job:
    """A caller's request."""

    def __init__(
        self, player: "Player", kind: Kind, gateway: "Gateway", number: int
    ) -> None:
        # A generator for each request, so that decisions do not change later requests.
        self.rng = rng = random.Random(f"{player.seed}/{number}")
        own_tokens = max(1, kind.tokens - kind.shared)
        size = min(MAX_SIZE, rng.lognormvariate(-(kind.spread**2) / 2, kind.spread))
        self.player, self.kind, self.gateway = player, kind, gateway
        self.tokens = kind.shared + int(own_tokens * size)
        self.size = self.tokens / max(1.0, kind.tokens)
        self.difficulty = rng.random()
        self.cost = 0.0
        subject = f"{kind.name}{rng.randrange(kind.subjects)}"
        parts = [(subject, kind.shared), (f"{number}", self.tokens - kind.shared)]
        info = gateway_api.RequestInfo(
            f"{number}", "h", "", 20.0, True, self.tokens, 300, parts, "", None
        )
        route = routes.Route(
            kind.name,
            "h",
            "/",
            routes.RouteKind.SAFE if kind.is_plain else routes.RouteKind.STREAM,
            [routes.Pool(SERVICE, 1)],
            20.0,
            kind.goal_s,
            kind.gap_s,
            1,
            [] if kind.is_plain else [name for name, _, _ in MODELS],
            3,
            True,
            True,
        )
        inbound = gateway_call.Inbound(b"POST", b"/", [], b"", player.time.now())
        self.call = gateway_call.Call(inbound, info, route, None, 1, SERVICE)

    def start(self) -> None:
        """Choose the first model and send the request."""
        is_plain = self.kind.is_plain
        self.send(MODELS[-1][0] if is_plain else self.gateway.models.first(self.call))

    def send(self, model: str) -> None:
        """Send the request to the endpoint that the gateway chooses."""
        chosen = self.gateway.chooser.endpoint(self.call, model)
        assert chosen is not None
        Send(self, model, *chosen)

    def end(self, send: "Send") -> None:
        """Record the outcome."""
        first_s = self.call.first_write_at - self.call.inbound.arrived_at
        good_share = dict((name, share) for name, _, share in MODELS)[send.model]
        end = "in time"
        if first_s > self.kind.goal_s:
            end = "late"
        elif not self.kind.is_plain and self.difficulty > good_share:
            end = "too small"
        self.player.outcomes.append(
            Outcome(self.kind.name, end, self.size, self.cost, first_s)
        )


class Send:
    """An attempt of a job, from the choice of its endpoint to its end."""

    def __init__(
        self,
        job: Job,
        model: str,
        endpoint: endpoint_state.Endpoint,
        prompt: endpoint_state.Prompt,
    ) -> None:
        self.job, self.model = job, model
        player, gateway = job.player, job.gateway
        self._player = player
        self.engine = player.engines[endpoint.name]
        # In place of an exchange: closing it removes the request from the engine.
        self.attempt: gateway_attempt.Attempt = gateway_attempt.Attempt(
            endpoint, model, typing.cast(typing.Any, self), prompt
        )
        self.attempt.sent_at = player.time.now()
        self.attempt.unread_before = gateway.directory.unread(endpoint)
        gateway.directory.begin(endpoint, prompt)
        job.call.sends += 1
        job.cost += dict((name, cost) for name, cost, _ in MODELS)[model] * job.tokens
        self._ends_at = 0.0
        player.after(TRANSIT_S, lambda: self.engine.enqueue(self))

    def handle_first_event(self) -> None:
        """Handle the first event: accept the answer or ask a larger model."""
        job, gateway = self.job, self.job.gateway
        self.attempt.head = self._head()
        self._note_answer()
        self.attempt.record_prefilled(gateway.directory)
        gateway.models.record_first(job.call, self.attempt)
        larger = gateway.models.larger(job.call, self.attempt)
        until = self._player.time.now()
        charge = gateway.budget.charge(SERVICE, until) if larger else None
        if charge is not None and gateway.budget.send(charge):
            self.attempt.finish(gateway.directory)
            job.send(larger)
            return
        job.call.record_write(self._player.time.now())
        pace = self.engine.pace
        run_s = job.kind.run_s * (pace.lasting if pace else 1.0)
        self._ends_at = self._player.time.now() + run_s
        self._player.after(run_s, self._end_if_due)

    def start_plain(self) -> None:
        """Start a plain request, which runs beside others and has no events."""
        run_s = self.job.kind.run_s * self.engine.pace_now()
        self._player.after(run_s, self._end_plain)

    def _end_plain(self) -> None:
        self.attempt.head = self._head()
        self._note_answer()
        self.job.call.record_write(self._player.time.now())
        self.attempt.finish(self.job.gateway.directory)
        self.job.end(self)

    def _note_answer(self) -> None:
        head, endpoint = self.attempt.head, self.attempt.endpoint
        report = self.engine.report()
        if head is not None and report is not None:
            notice = gateway_api.EndpointNotice(load=report)
            directory_ = self.job.gateway.directory
            directory_.note_answer(
                endpoint, head._replace(notice=notice), self.attempt.sent_at
            )

    def slow(self, seconds: float) -> None:
        """Delay the end, since the engine prefills a prompt between events.

        :param seconds: the duration of the prefill.
        """
        self._ends_at += DECODE_SLOWDOWN * seconds

    def _end_if_due(self) -> None:
        now = self._player.time.now()
        if now < self._ends_at - 1e-6:
            self._player.after(self._ends_at - now, self._end_if_due)
            return
        self.attempt.finish(self.job.gateway.directory)
        self.job.end(self)

    def close(self) -> None:
        """Remove the request from the engine."""
        self.engine.remove(self)

    def _head(self) -> gateway_api.AnswerHead:
        good_share = dict((name, share) for name, _, share in MODELS)[self.model]
        is_right = self.job.difficulty <= good_share
        rng = self.job.rng
        confidence = rng.uniform(0.0, 55.0)
        if is_right:
            confidence = 100.0 if rng.random() < 0.5 else rng.uniform(45.0, 100.0)
        return gateway_api.AnswerHead(
            200, [], True, False, False, "", confidence, False
        )


class Gateway:
    """A gateway's decisions, with its own view of the endpoints."""

    def __init__(self, player: "Player", name: str, hall: str) -> None:
        self.name, self.hall = name, hall
        time, site = player.time, player.site
        self.directory = directory.Directory(time, 2.0)
        self.directory.replace({e.name: e.row for e in player.engines.values()})
        self.directory.set_memory({SERVICE: site.memory})
        book = evidence.EvidenceBook(name)
        rolls = rollouts.Rollouts(time, 0.15, book)
        costs = [routes.ModelCost(model, cost) for model, cost, _ in MODELS]
        if any(kind.is_plain for kind in site.kinds):
            costs = []
        services = {SERVICE: routes.Service(SERVICE, costs, site.memory)}
        self.budget: retry_budget.RetryBudget = retry_budget.RetryBudget(
            0.9, 10.0, time
        )
        part = retry_budget.HeldPart(50, 0.0, FOREVER)
        self.budget.hold(SERVICE, [part])
        routing = plugin.find(policy_api.Routing, "least-filled")()
        self.chooser: gateway_choose.Chooser = gateway_choose.Chooser(
            hall, time, self.directory, rolls, routing, lambda: services
        )
        self.chooser._rng = random.Random(name)
        self.models: gateway_models.ModelPicker = gateway_models.ModelPicker(
            time,
            self.directory,
            rolls,
            policy_models.Confidence(),
            self.budget,
            lambda: services,
        )
        self._prompts_reported = self._paces_reported = 0

    def gossip(self, others: list["Gateway"]) -> None:
        """Report the own loads and prefilled prompts to other gateways of the hall."""
        self._prompts_reported, prompts = self.directory.prompts_since(
            self._prompts_reported
        )
        loads = self.directory.own_loads()
        self._paces_reported, paces = self.directory.paces_since(
            self._paces_reported, False
        )
        for other in others:
            other.directory.apply_peer_paces(self.name, paces)
            other.directory.apply_peer_loads(self.name, loads)
            other.directory.apply_peer_prompts(prompts)


class Player:
    """A simulation: the site, its virtual time, and the outcomes of requests.

    :param load: multiple of the site's usual load.
    """

    def __init__(self, site: Site, seed: int, load: float = 1.0) -> None:
        self.site = site
        self.seed = seed
        self.rng = random.Random(seed)
        self.time = clock.ManualClock(1000.0)
        self.numbers = itertools.count()
        self.outcomes: list[Outcome] = []
        self._load = load
        self._jobs = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        halls = [f"h{n}" for n in range(site.halls)]
        made = [
            Engine(self, f"{h}e{n}", h, n) for h in halls for n in range(site.engines)
        ]
        self.engines = {engine.name: engine for engine in made}
        self.gateways = [
            Gateway(self, f"{h}g{n}", h) for h in halls for n in range(site.gateways)
        ]

    def after(self, seconds: float, call: typing.Callable[[], None]) -> None:
        """Schedule a function call."""
        at = self.time.now() + seconds
        heapq.heappush(self._events, (at, next(self.numbers), call))

    def run(self) -> list[Outcome]:
        """Run until every request has ended, and return the outcomes."""
        self._end_at = self.time.now() + self.site.seconds
        self._began_at = self.time.now()
        self._arrive()
        self._send_heartbeats()
        self._send_summaries()
        while self._events:
            at, _, call = heapq.heappop(self._events)
            self.time.advance(at - self.time.now())
            call()
        return self.outcomes

    def _is_over(self) -> bool:
        return self.time.now() >= self._end_at

    def _arrive(self) -> None:
        if self._is_over():
            return
        kinds = self.site.kinds
        kind = self.rng.choices(kinds, [kind.share for kind in kinds])[0]
        gateway = self.rng.choice(self.gateways)
        gateway.budget.record_first(SERVICE, self.time.now())
        Job(self, kind, gateway, next(self._jobs)).start()
        since, until, factor = self.site.burst
        elapsed_s = self.time.now() - self._began_at
        per_s = self.site.per_s * self._load
        if since <= elapsed_s < until:
            per_s *= factor
        self.after(self.rng.expovariate(per_s), self._arrive)

    def _send_heartbeats(self) -> None:
        for gateway in self.gateways:
            others = [
                g for g in self.gateways if g.hall == gateway.hall and g is not gateway
            ]
            gateway.gossip(others)
        if not self._is_over():
            self.after(BEAT_S, self._send_heartbeats)

    def _send_summaries(self) -> None:
        for hall in sorted({g.hall for g in self.gateways}):
            near = [g for g in self.gateways if g.hall == hall]
            loads = mesh_halls.sum_loads(g.directory.own_loads() for g in near)
            source = mesh_halls.source_name(hall)
            paces = near[0].directory.changed_paces()
            for other in self.gateways:
                if other.hall != hall:
                    other.directory.apply_peer_loads(source, loads)
                    other.directory.apply_peer_paces(source, paces, is_far=True)
        if not self._is_over():
            self.after(HALL_BEAT_S, self._send_summaries)
