"""Measures the load on a third of the endpoints when they return idle under load.

    python -m bench.herd [--gateways 21] [--endpoints 40] [--per-s 230]
                         [--routing NAME,...] [--seeds 3] [--without slow-start]

Gateways choose endpoints with gaprock's own modules and know each other's loads as of
the last heartbeat.  At 4 s a third of the endpoints goes away, and five seconds later
they return, idle and with rows that say how long they warm up.  Printed for each
routing policy: the most sends of all gateways to one endpoint within a second of its
warm-up, and the mean.

Not modelled: halls, prefix caches, failures, and the network.
"""

import argparse
import collections
import functools
import heapq
import random
import typing

from bench import spans
from gaprock import (
    clock,
    directory,
    endpoint_state,
    evidence,
    gateway_api,
    gateway_call,
    gateway_choose,
    mechanisms,
    options,
    plugin,
    policy_api,
    rollouts,
    routes,
    warm_up,
)

SERVICE: typing.Final = "llm"
WARM_UP: typing.Final = routes.WarmUp(3.0, 18.0)
BEAT_S: typing.Final = 0.2
# The longest delay after which a gateway reads a changed row.
ROW_LAG_S: typing.Final = 0.8
# Mean duration of a request at an endpoint.
MEAN_DURATION_S: typing.Final = 0.9
GONE_AT: typing.Final = 4.0
BACK_AT: typing.Final = 9.0
END_AT: typing.Final = 13.0
AWAY_EVERY: typing.Final = 3
# One gateway in ``CUT_OFF_EVERY`` gets no heartbeats from shortly before the return on.
CUT_OFF_EVERY: typing.Final = 5
SLOTS: typing.Final = 128


class Gateway:
    """A gateway's decisions, with its own view of the endpoints."""

    def __init__(
        self, name: str, time: clock.Clock, fleet: int, routing: str, seed: int = 0
    ) -> None:
        self.name = name
        cfg = options.Options()
        services = {SERVICE: routes.Service(SERVICE, [], 0, WARM_UP)}
        self.directory = directory.Directory(
            time,
            2.0,
            warm_up.SlowStarts(
                time, name, lambda: cfg.bounds, lambda: services, lambda: fleet
            ),
        )
        book = rollouts.Rollouts(time, 0.1, evidence.EvidenceBook(name))
        self.chooser = gateway_choose.Chooser(
            "h1",
            time,
            self.directory,
            book,
            plugin.find(policy_api.Routing, routing)(),
            lambda: services,
        )

        # Drawn from the seed, so that a run can be repeated.
        self.chooser._rng = random.Random(f"choice {seed} {name}")
        self.directory._rng = random.Random(f"pause {seed} {name}")

    def send(self, call: gateway_call.Call) -> str:
        """Choose an endpoint and count the send; return its name, empty for none."""
        chosen = self.chooser.endpoint(call, "")
        if chosen is None or self.directory.claim_send(chosen[0]):
            return ""
        self.directory.begin(*chosen)
        return chosen[0].name

    def end(self, name: str) -> None:
        """Record the end of a request at an endpoint."""
        self.directory.end(self.directory._endpoints[name])


class Play:
    """One simulation; afterwards ``sends`` has the times of sends, by endpoint."""

    def __init__(
        self, gateways: int, endpoints: int, per_s: float, routing: str, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.time = clock.ManualClock(100.0)
        self.gateways = [
            Gateway(f"gw-{n}", self.time, gateways, routing, seed)
            for n in range(gateways)
        ]
        self.names = [f"e{n:04}" for n in range(endpoints)]
        self.away = self.names[: endpoints // AWAY_EVERY]
        self.per_s = per_s
        self.sends: dict[str, list[float]] = collections.defaultdict(list)
        self.refused = self.asked = 0
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._count = 0
        for gateway in self.gateways:
            self._put_rows(gateway, self.names, 0)
        self._plan()

    def run(self) -> None:
        """Run the simulation."""
        while self._events:
            at, _, action = heapq.heappop(self._events)
            self.time.advance(max(0.0, 100.0 + at - self.time.now()))
            action()

    def worst(self) -> int:
        """Return the most sends to one endpoint in a second while it warms up."""
        return max(
            (spans.most_within(self._warm_up_sends(n), 1.0) for n in self.away),
            default=0,
        )

    def mean(self) -> float:
        """Return the mean of sends a second to an endpoint while it warms up."""
        total = sum(len(self._warm_up_sends(name)) for name in self.away)
        return total / (len(self.away) * WARM_UP.lasts_s)

    def _warm_up_sends(self, name: str) -> list[float]:
        return [t for t in self.sends[name] if BACK_AT <= t < BACK_AT + WARM_UP.lasts_s]

    def _at(self, at: float, action: typing.Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def _plan(self) -> None:
        for gateway in self.gateways:
            gone_at = GONE_AT + self.rng.uniform(0.0, ROW_LAG_S)
            self._at(gone_at, functools.partial(self._drop_rows, gateway))
            back_at = BACK_AT + self.rng.uniform(0.0, ROW_LAG_S)
            return_rows = functools.partial(self._put_rows, gateway, self.away, 1)
            self._at(back_at, return_rows)
        at = 0.0
        while at < END_AT:
            self._at(at, self._exchange_loads)
            at += BEAT_S
        at = 0.0
        while at < END_AT:
            at += self.rng.expovariate(self.per_s)
            self._at(at, functools.partial(self._arrive, at))

    def _put_rows(self, gateway: Gateway, names: list[str], born: int) -> None:
        warming_s = WARM_UP.lasts_s if born else 0.0
        for name in names:
            row = gateway_api.EndpointRow(
                SERVICE, name, 1, "h1", "v1", SLOTS, False, born, warming_s
            )
            gateway.directory.update(name, row)

    def _drop_rows(self, gateway: Gateway) -> None:
        for name in self.away:
            gateway.directory.update(name, None)

    def _exchange_loads(self) -> None:
        loads_by_gateway = [gateway.directory.own_loads() for gateway in self.gateways]
        total: dict[str, int] = collections.Counter()
        for loads in loads_by_gateway:
            for incarnation, load in loads.items():
                total[incarnation] += load.running
        cut_off = self.time.now() >= 100.0 + BACK_AT - 1.0
        for number, gateway in enumerate(self.gateways):
            if cut_off and number % CUT_OFF_EVERY == 0:
                continue
            own = loads_by_gateway[number]
            others = {
                incarnation: endpoint_state.Load(
                    count - (own[incarnation].running if incarnation in own else 0), 0.0
                )
                for incarnation, count in total.items()
            }
            gateway.directory.apply_peer_loads("others", others)

    def _arrive(self, now: float) -> None:
        gateway = self.rng.choice(self.gateways)
        self.asked += 1
        name = gateway.send(call(self.asked, self.time.now()))
        if not name:
            self.refused += 1
            return
        self.sends[name].append(now)
        ends_at = now + self.rng.expovariate(1 / MEAN_DURATION_S)
        is_lost = name in self.away and now < BACK_AT
        if not is_lost:
            self._at(ends_at, lambda: gateway.end(name))


def call(number: int, now: float) -> gateway_call.Call:
    """Return a call that is its own session."""
    route = routes.Route(
        "r",
        "h",
        "/",
        routes.RouteKind.STREAM,
        [routes.Pool(SERVICE, 1)],
        20.0,
        2.0,
        1.0,
        1,
        [],
        3,
        True,
        True,
    )
    info = gateway_api.RequestInfo(
        f"{number}", "h", "", 20.0, False, 0, 0, [], "", None
    )
    inbound = gateway_call.Inbound(b"POST", b"/", [], b"", now)
    return gateway_call.Call(inbound, info, route, None, 1, SERVICE)


def main() -> None:
    """Run the simulations and print the sends to endpoints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, default=21)
    parser.add_argument("--endpoints", type=int, default=40)
    parser.add_argument("--per-s", type=float, default=230.0)
    parser.add_argument("--routing", default="least-filled,two-choices")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--without", default="")
    args = parser.parse_args()
    plugin.load_all(plugin.GATEWAY_MODULES)
    mechanisms.switch_off([name for name in args.without.split(",") if name])
    for routing in args.routing.split(","):
        plays = [
            Play(args.gateways, args.endpoints, args.per_s, routing, seed)
            for seed in range(args.seeds)
        ]
        for play in plays:
            play.run()
        worst = max(play.worst() for play in plays)
        mean = sum(play.mean() for play in plays) / len(plays)
        refused = sum(p.refused for p in plays) / sum(p.asked for p in plays)
        print(f"{routing:16} worst {worst:4}  mean {mean:5.1f}  refused {refused:.4f}")


if __name__ == "__main__":
    main()
