"""What endpoints get in a second as a third of them comes back empty under load.

    python -m bench.herd [--gateways 21] [--endpoints 40] [--per-s 230]
                         [--routing NAME,...] [--seeds 3] [--without slow-start]

Gateways choose by the product's own modules and know each other's loads as of the last
beat.  At 4 s a third of the endpoints goes, and five seconds later it is back, empty
and with rows that say how long it warms up.  Printed for each way of choosing: the
sends of all gateways to one endpoint within its worst second while it warms up, and the
mean.

Not modelled: halls, prompts that are kept, failures, and the way between machines.
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
RULE: typing.Final = routes.WarmUp(3.0, 18.0)
BEAT_S: typing.Final = 0.2
# Rows are read this much later at most, seconds.
ROW_LAG_S: typing.Final = 0.8
# Mean time of a request at an endpoint, seconds.
WORK_S: typing.Final = 0.9
GONE_AT: typing.Final = 4.0
BACK_AT: typing.Final = 9.0
END_AT: typing.Final = 13.0
AWAY_SHARE: typing.Final = 3
# Gateways that are cut off hear no beats from before the return on: one in so many.
CUT_OFF: typing.Final = 5
SLOTS: typing.Final = 128


class Gateway:
    """One gateway's decisions, with its own view of the endpoints."""

    def __init__(
        self, name: str, time: clock.Clock, fleet: int, routing: str, seed: int = 0
    ) -> None:
        self.name = name
        cfg = options.Options()
        services = {SERVICE: routes.Service(SERVICE, [], 0, RULE)}
        self.directory = directory.Directory(
            time,
            2.0,
            warm_up.SlowStarts(
                time, name, lambda: cfg.bounds, lambda: services, lambda: fleet
            ),
        )
        guard = plugin.find(policy_api.Guard, cfg.guard)()
        book = rollouts.Rollouts(time, 0.1, guard, evidence.EvidenceBook(name))
        self.chooser = gateway_choose.Chooser(
            "h1",
            time,
            self.directory,
            book,
            plugin.find(policy_api.Routing, routing)(),
            lambda: services,
        )

        # A play repeats: its choices are drawn from its seed.
        self.chooser._rng = random.Random(f"choice {seed} {name}")
        self.directory._rng = random.Random(f"pause {seed} {name}")

    def send(self, call: gateway_call.Call) -> str:
        """Choose, and count the send; give the endpoint's name, or empty for none."""
        found = self.chooser.endpoint(call, "")
        if found is None or self.directory.claim_send(found[0]):
            return ""
        self.directory.begin(*found)
        return found[0].name

    def end(self, name: str) -> None:
        """Take that a request at an endpoint is over."""
        self.directory.end(self.directory._endpoints[name])


class Play:
    """One play; afterwards ``sends`` has the moments of the sends, by endpoint."""

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
        self.away = self.names[: endpoints // AWAY_SHARE]
        self.per_s = per_s
        self.sends: dict[str, list[float]] = collections.defaultdict(list)
        self.refused = self.asked = 0
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._count = 0
        for gateway in self.gateways:
            self._put_rows(gateway, self.names, 0)
        self._plan()

    def run(self) -> None:
        """Play to the end."""
        while self._events:
            at, _, act = heapq.heappop(self._events)
            self.time.advance(max(0.0, 100.0 + at - self.time.now()))
            act()

    def worst(self) -> int:
        """Give the most sends to one endpoint in a second while it warms up."""
        return max(
            (spans.most_within(self._cold(n), 1.0) for n in self.away), default=0
        )

    def mean(self) -> float:
        """Give the mean of sends a second to an endpoint while it warms up."""
        total = sum(len(self._cold(name)) for name in self.away)
        return total / (len(self.away) * RULE.lasts_s)

    def _cold(self, name: str) -> list[float]:
        return [t for t in self.sends[name] if BACK_AT <= t < BACK_AT + RULE.lasts_s]

    def _at(self, at: float, act: typing.Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, act))

    def _plan(self) -> None:
        for gateway in self.gateways:
            gone_at = GONE_AT + self.rng.uniform(0.0, ROW_LAG_S)
            self._at(gone_at, functools.partial(self._drop_rows, gateway))
            back_at = BACK_AT + self.rng.uniform(0.0, ROW_LAG_S)
            come_back = functools.partial(self._put_rows, gateway, self.away, 1)
            self._at(back_at, come_back)
        at = 0.0
        while at < END_AT:
            self._at(at, self._beat)
            at += BEAT_S
        at = 0.0
        while at < END_AT:
            at += self.rng.expovariate(self.per_s)
            self._at(at, functools.partial(self._ask, at))

    def _put_rows(self, gateway: Gateway, names: list[str], born: int) -> None:
        warming_s = RULE.lasts_s if born else 0.0
        for name in names:
            row = gateway_api.EndpointRow(
                SERVICE, name, 1, "h1", "v1", SLOTS, False, born, warming_s
            )
            gateway.directory.update(name, row)

    def _drop_rows(self, gateway: Gateway) -> None:
        for name in self.away:
            gateway.directory.update(name, None)

    def _beat(self) -> None:
        told = [gateway.directory.own_loads() for gateway in self.gateways]
        total: dict[str, int] = collections.Counter()
        for loads in told:
            for life, load in loads.items():
                total[life] += load.running
        cut_off = self.time.now() >= 100.0 + BACK_AT - 1.0
        for number, gateway in enumerate(self.gateways):
            if cut_off and number % CUT_OFF == 0:
                continue
            own = told[number]
            others = {
                life: endpoint_state.Load(
                    count - (own[life].running if life in own else 0), 0.0
                )
                for life, count in total.items()
            }
            gateway.directory.apply_peer_loads("others", others)

    def _ask(self, now: float) -> None:
        gateway = self.rng.choice(self.gateways)
        self.asked += 1
        name = gateway.send(call(self.asked, self.time.now()))
        if not name:
            self.refused += 1
            return
        self.sends[name].append(now)
        ends_at = now + self.rng.expovariate(1 / WORK_S)
        is_lost = name in self.away and now < BACK_AT
        if not is_lost:
            self._at(ends_at, lambda: gateway.end(name))


def call(number: int, now: float) -> gateway_call.Call:
    """Make a call of its own session."""
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
    """Play, and print what endpoints got."""
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
