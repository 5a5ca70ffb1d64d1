"""Compares strategies for endpoints that shed load and ask for a backoff.

    python -m bench.shed [--endpoints 3,9,40] [--gateways 1,3,21,68] [--loads 0.8,1.2,2]
                         [--backoff 3] [--way none,own,told,all]

Endpoints run as many requests as they have slots and refuse others, asking for a
backoff.  Requests arrive at half of the total capacity, then for some seconds at the
given load, then at half again; a refused caller retries once, at the time that the
refusal says.  A gateway knows its own requests and, one heartbeat late, those of all
others.

* ``none``: gateways ignore backoffs;
* ``own``: as in gaprock, the gateway that was refused honors the backoff;
* ``told``: the others learn of it and choose that endpoint last;
* ``all``: the others do not send there either.

Printed for the time of the given load: requests served relative to the capacity,
requests refused within 50 ms and later, sends for each request served, and sends that
reached an endpoint in a backoff that it had asked the sender for.  Also printed: how
long callers are still refused after the load has fallen.

Not modelled: models, prompts, sessions, and late answers.
"""

import argparse
import functools
import random
import typing

from bench import events
from gaprock import directory, endpoint_state, gateway_api

SERVICE: typing.Final = "s"
SLOTS: typing.Final = 8
# Shortest and longest duration of a request, and the duration of a refusal.
RUN_S: typing.Final = (0.2, 0.6)
REFUSAL_S: typing.Final = 0.002
BEAT_S: typing.Final = 0.2
# When the given load begins and ends, and when the simulation ends.
LOAD_AT: typing.Final = 3.0
CALM_AT: typing.Final = 11.0
END_AT: typing.Final = 20.0
CALM_LOAD: typing.Final = 0.5
# Most sends of a request, and the longest time that it may wait for a send.
ATTEMPTS: typing.Final = 3
WAIT_S: typing.Final = 0.9
AT_ONCE_S: typing.Final = 0.05
RECHECK_S: typing.Final = 0.03
# Sends this soon after a refusal may have been in transit and do not count.
IN_TRANSIT_S: typing.Final = 0.5
STRATEGIES: typing.Final = ("none", "own", "told", "all")


class Endpoint:
    """An endpoint.

    ``asked`` holds, by gateway, when the endpoint asked for a backoff, and its end.
    """

    __slots__ = ("name", "running", "asked")

    def __init__(self, name: str) -> None:
        self.name = name
        self.running = 0
        self.asked: dict[int, tuple[float, float]] = {}


class Request:
    """A caller's request.

    :param is_retry: whether it is a retry after a refusal.
    """

    __slots__ = ("arrived_at", "sends", "is_retry", "excluded")

    def __init__(self, arrived_at: float, is_retry: bool) -> None:
        self.arrived_at = arrived_at
        self.sends = 0
        self.is_retry = is_retry
        self.excluded: set[str] = set()


class Gateway:
    """A gateway with its view of the endpoints."""

    __slots__ = ("number", "directory", "known", "peer_backoff")

    def __init__(self, number: int, play: "Play") -> None:
        self.number = number
        self.directory = directory.Directory(play.time, 2.0)
        rng = random.Random(f"{play.seed} {number}")
        self.directory.notices.backoffs._rng = rng
        # The end of the backoff that peers reported, by endpoint.
        self.peer_backoff: dict[str, float] = {}
        row = gateway_api.EndpointRow(
            SERVICE, "10.0.0.1", 1, "h", "v1", SLOTS, False, 1
        )
        for endpoint in play.endpoints.values():
            self.directory.update(endpoint.name, row)
        self.known = self.directory.usable(SERVICE, set())


class Play(events.Events):
    """One simulation; afterwards it has the counts."""

    def __init__(
        self,
        endpoints: int,
        gateways: int,
        load: float,
        strategy: str,
        backoff_s: float = 3.0,
        seed: int = 0,
    ) -> None:
        super().__init__()
        self.load = load
        self.strategy = strategy
        self.backoff_s = backoff_s
        self.seed = seed
        self.rng = random.Random(seed)
        self.endpoints = {f"e{n}": Endpoint(f"e{n}") for n in range(endpoints)}
        self.gateways = [Gateway(n, self) for n in range(gateways)]
        self.capacity_per_s = endpoints * SLOTS / (sum(RUN_S) / 2)
        self.served = self.sends = self.at_once = self.late = self.unheeded = 0
        self.last_refusal = 0.0

    def run(self) -> None:
        """Run the simulation."""
        self.at(0.0, self._generate_request)
        self.at(0.0, self._gossip)
        self.run_until(END_AT)

    # -- Results --

    @property
    def use(self) -> float:
        """Requests served during the given load, relative to the capacity."""
        return self.served / (self.capacity_per_s * (CALM_AT - LOAD_AT))

    @property
    def sends_each(self) -> float:
        """Sends for each request served during the given load."""
        return self.sends / max(1, self.served)

    @property
    def recovers_s(self) -> float:
        """How long callers are still refused after the load has fallen."""
        return max(0.0, self.last_refusal - CALM_AT)

    @property
    def _is_counted(self) -> bool:
        return LOAD_AT <= self.time.now() < CALM_AT

    # -- Requests --

    def _generate_request(self) -> None:
        now = self.time.now()
        load = self.load if LOAD_AT <= now < CALM_AT else CALM_LOAD
        self._submit(Request(now, False))
        pause_s = self.rng.expovariate(load * self.capacity_per_s)
        self.at(now + pause_s, self._generate_request)

    def _submit(self, request: Request) -> None:
        self._send(self.rng.choice(self.gateways), request)

    def _gossip(self) -> None:
        running = {e.name: e.running for e in self.endpoints.values()}
        for gateway in self.gateways:
            for known in gateway.known:
                others = max(0, running[known.name] - known.running)
                known.others["all"] = endpoint_state.Load(others, 0)
        self.at(self.time.now() + BEAT_S, self._gossip)

    def _send(self, gateway: Gateway, request: Request) -> None:
        now = self.time.now()
        chosen = self._choose(gateway, request)
        if chosen is None:
            turn = self._next_at(gateway)
            if turn is None and request.excluded and request.sends < ATTEMPTS:
                request.excluded.clear()
                turn = now + RECHECK_S
            if turn is None or turn > request.arrived_at + WAIT_S:
                self._refuse(gateway, request, turn)
            else:
                again_at = max(now + RECHECK_S, turn)
                self.at(again_at, functools.partial(self._send, gateway, request))
            return
        chosen.running += 1
        if gateway.directory.claim_send(chosen):
            chosen.running -= 1
            self.at(now + RECHECK_S, functools.partial(self._send, gateway, request))
            return
        self._arrive(gateway, request, chosen)

    def _choose(
        self, gateway: Gateway, request: Request
    ) -> endpoint_state.Endpoint | None:
        """Choose the endpoint with the lowest known load; ``None`` if there is none."""
        usable = gateway.directory.usable(SERVICE, request.excluded)
        if self.strategy == "all":
            usable = [e for e in usable if not self._has_peer_backoff(gateway, e)]
        if not usable:
            return None
        return min(
            usable,
            key=lambda e: (
                self.strategy == "told" and self._has_peer_backoff(gateway, e),
                e.load,
                self.rng.random(),
            ),
        )

    def _has_peer_backoff(
        self, gateway: Gateway, endpoint: endpoint_state.Endpoint
    ) -> bool:
        return self.time.now() < gateway.peer_backoff.get(endpoint.name, 0.0)

    def _next_at(self, gateway: Gateway) -> float | None:
        """Return when a gateway may send next; ``None`` if it may now."""
        turns = [turn for _, turn in gateway.directory.turns(SERVICE, set())]
        next_at = min((turn.next_at for turn in turns), default=0.0)
        if self.strategy == "all":
            next_at = max(next_at, min(gateway.peer_backoff.values(), default=0.0))
        return next_at if next_at > self.time.now() else None

    def _arrive(
        self, gateway: Gateway, request: Request, known: endpoint_state.Endpoint
    ) -> None:
        now, endpoint = self.time.now(), self.endpoints[known.name]
        request.sends += 1
        self.sends += self._is_counted
        asked_at, until = endpoint.asked.get(gateway.number, (0.0, 0.0))
        self.unheeded += asked_at + IN_TRANSIT_S < now < until
        is_run = endpoint.running < SLOTS
        endpoint.running += is_run
        if not is_run:
            endpoint.asked[gateway.number] = now, now + self.backoff_s
        took_s = self.rng.uniform(*RUN_S) if is_run else REFUSAL_S
        answer = functools.partial(
            self._answer, gateway, request, known, is_run, self.time.now()
        )
        self.at(now + took_s, answer)

    def _answer(
        self,
        gateway: Gateway,
        request: Request,
        known: endpoint_state.Endpoint,
        is_run: bool,
        sent_at: float,
    ) -> None:
        backoffs = gateway.directory.notices.backoffs
        if is_run:
            known.running -= 1
            self.endpoints[known.name].running -= 1
            self.served += self._is_counted
            backoffs.note_answer(known, sent_at)
            return
        if self.strategy == "none":
            request.excluded.add(known.incarnation)
        else:
            backoffs.note_refusal(known, self.backoff_s, sent_at)
            self._report_backoff(gateway, known.name)
        known.running -= 1
        if request.sends < ATTEMPTS:
            self._send(gateway, request)
        else:
            self._refuse(gateway, request, self._next_at(gateway))

    def _report_backoff(self, gateway: Gateway, name: str) -> None:
        """Report a backoff to the other gateways, one heartbeat later."""
        if self.strategy in ("told", "all"):
            until = self.time.now() + self.backoff_s
            report = functools.partial(self._learn_backoff, gateway, name, until)
            self.at(self.time.now() + BEAT_S, report)

    def _learn_backoff(self, sender: Gateway, name: str, until: float) -> None:
        for gateway in self.gateways:
            if gateway is not sender:
                known = gateway.peer_backoff.get(name, 0.0)
                gateway.peer_backoff[name] = max(known, until)

    def _refuse(
        self, gateway: Gateway, request: Request, next_at: float | None
    ) -> None:
        now = self.time.now()
        if self._is_counted:
            is_immediate = now <= request.arrived_at + AT_ONCE_S
            self.at_once += is_immediate
            self.late += not is_immediate
        self.last_refusal = now
        if request.is_retry:
            return
        retry_at = max(now + 0.15, next_at or now) + self.rng.uniform(0.0, 1.0)
        self.at(min(retry_at, now + 2.0), lambda: self._submit(Request(retry_at, True)))


def main() -> None:
    """Run the simulations and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", default="3,9,40")
    parser.add_argument("--gateways", default="1,3,21,68")
    parser.add_argument("--loads", default="0.8,1.2,2")
    parser.add_argument("--backoff", type=float, default=3.0)
    parser.add_argument("--way", default=",".join(STRATEGIES))
    args = parser.parse_args()
    print("ends gates load way    used at-once late  sends/served unheeded recovers")
    for endpoints in map(int, args.endpoints.split(",")):
        for gateways in map(int, args.gateways.split(",")):
            for load in map(float, args.loads.split(",")):
                for strategy in args.way.split(","):
                    play = Play(endpoints, gateways, load, strategy, args.backoff)
                    play.run()
                    print(
                        f"{endpoints:4} {gateways:5} {load:4} {strategy:5} "
                        f"{play.use:6.2f} "
                        f"{play.at_once:7} {play.late:4} {play.sends_each:13.2f} "
                        f"{play.unheeded:8} {play.recovers_s:8.1f}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
