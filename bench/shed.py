"""What callers get while endpoints shed load, by who heeds a backoff.

    python -m bench.shed [--endpoints 3,9,40] [--gateways 1,3,21,68] [--loads 0.8,1.2,2]
                         [--backoff 3] [--way none,own,told,all]

Endpoints run as many requests as they have slots and turn others away, asking for a
backoff.  Callers come at half of what all bear, then for some seconds at the load that
is played, then at half again; one that is refused comes back once, as it is told.  A
gateway knows its own requests and, a beat late, those of all others.

* ``none``: backoffs are not heeded;
* ``own``: the product's way, the gateway that was turned away heeds it;
* ``told``: the others learn of it and choose such an endpoint last;
* ``all``: the others send nothing there either.

Printed for the seconds of the load: requests served of what all bear, refused within
50 ms and later, sends for each that was served, sends that reached an endpoint in a
backoff that it had asked the sender for; and how long after the load's fall callers are
still refused.

Not modelled: models, prompts, sessions, and answers that are late.
"""

import argparse
import functools
import random
import typing

from bench import events
from gaprock import directory, endpoint_state, gateway_api

SERVICE: typing.Final = "s"
SLOTS: typing.Final = 8
# A run lasts so long, and a refusal takes so long, seconds.
RUN_S: typing.Final = (0.2, 0.6)
REFUSAL_S: typing.Final = 0.002
BEAT_S: typing.Final = 0.2
# The load begins and ends, and so does the play.
LOAD_AT: typing.Final = 3.0
CALM_AT: typing.Final = 11.0
END_AT: typing.Final = 20.0
CALM_LOAD: typing.Final = 0.5
# Sends of a request, and for how long it may wait for a turn, seconds.
ATTEMPTS: typing.Final = 3
WAIT_S: typing.Final = 0.9
AT_ONCE_S: typing.Final = 0.05
LOOK_S: typing.Final = 0.03
# What was on its way when the refusal came, seconds.
ON_WAY_S: typing.Final = 0.5
WAYS: typing.Final = ("none", "own", "told", "all")


class Endpoint:
    """An endpoint, and who was asked to send nothing until when."""

    __slots__ = ("name", "running", "asked")

    def __init__(self, name: str) -> None:
        self.name = name
        self.running = 0
        self.asked: dict[int, tuple[float, float]] = {}


class Request:
    """A caller's request."""

    __slots__ = ("came_at", "sends", "is_back", "excluded")

    def __init__(self, came_at: float, is_back: bool) -> None:
        self.came_at = came_at
        self.sends = 0
        self.is_back = is_back
        self.excluded: set[str] = set()


class Gateway:
    """One gateway with what it knows."""

    __slots__ = ("number", "directory", "known", "told_until")

    def __init__(self, number: int, play: "Play") -> None:
        self.number = number
        self.directory = directory.Directory(play.time, 2.0)
        rng = random.Random(f"{play.seed} {number}")
        self.directory.notices.backoffs._rng = rng
        # Until when others were asked to send nothing, by endpoint.
        self.told_until: dict[str, float] = {}
        row = gateway_api.EndpointRow(
            SERVICE, "10.0.0.1", 1, "h", "v1", SLOTS, False, 1
        )
        for endpoint in play.endpoints.values():
            self.directory.update(endpoint.name, row)
        self.known = self.directory.usable(SERVICE, set())


class Play(events.Events):
    """One play; afterwards its counts are there."""

    def __init__(
        self,
        endpoints: int,
        gateways: int,
        load: float,
        way: str,
        backoff_s: float = 3.0,
        seed: int = 0,
    ) -> None:
        super().__init__()
        self.load = load
        self.way = way
        self.backoff_s = backoff_s
        self.seed = seed
        self.rng = random.Random(seed)
        self.endpoints = {f"e{n}": Endpoint(f"e{n}") for n in range(endpoints)}
        self.gateways = [Gateway(n, self) for n in range(gateways)]
        self.bears_per_s = endpoints * SLOTS / (sum(RUN_S) / 2)
        self.served = self.sends = self.at_once = self.late = self.unheeded = 0
        self.last_refusal = 0.0

    def run(self) -> None:
        """Play to the end."""
        self.at(0.0, self._ask)
        self.at(0.0, self._tell)
        self.run_until(END_AT)

    # -- What comes out --

    @property
    def use(self) -> float:
        """Requests that were served while the load lasted, of what all bear."""
        return self.served / (self.bears_per_s * (CALM_AT - LOAD_AT))

    @property
    def sends_each(self) -> float:
        """Sends for each request that was served while the load lasted."""
        return self.sends / max(1, self.served)

    @property
    def recovers_s(self) -> float:
        """How long after the load's fall callers are still refused, seconds."""
        return max(0.0, self.last_refusal - CALM_AT)

    @property
    def _is_counted(self) -> bool:
        return LOAD_AT <= self.time.now() < CALM_AT

    # -- Requests --

    def _ask(self) -> None:
        now = self.time.now()
        load = self.load if LOAD_AT <= now < CALM_AT else CALM_LOAD
        self._come(Request(now, False))
        pause_s = self.rng.expovariate(load * self.bears_per_s)
        self.at(now + pause_s, self._ask)

    def _come(self, request: Request) -> None:
        self._send(self.rng.choice(self.gateways), request)

    def _tell(self) -> None:
        running = {e.name: e.running for e in self.endpoints.values()}
        for gateway in self.gateways:
            for known in gateway.known:
                others = max(0, running[known.name] - known.running)
                known.others["all"] = endpoint_state.Load(others, 0)
        self.at(self.time.now() + BEAT_S, self._tell)

    def _send(self, gateway: Gateway, request: Request) -> None:
        now = self.time.now()
        chosen = self._choose(gateway, request)
        if chosen is None:
            turn = self._next_at(gateway)
            if turn is None and request.excluded and request.sends < ATTEMPTS:
                request.excluded.clear()
                turn = now + LOOK_S
            if turn is None or turn > request.came_at + WAIT_S:
                self._refuse(gateway, request, turn)
            else:
                again_at = max(now + LOOK_S, turn)
                self.at(again_at, functools.partial(self._send, gateway, request))
            return
        chosen.running += 1
        if gateway.directory.claim_send(chosen):
            chosen.running -= 1
            self.at(now + LOOK_S, functools.partial(self._send, gateway, request))
            return
        self._arrive(gateway, request, chosen)

    def _choose(
        self, gateway: Gateway, request: Request
    ) -> endpoint_state.Endpoint | None:
        """Choose the emptiest endpoint, as far as is known."""
        usable = gateway.directory.usable(SERVICE, request.excluded)
        if self.way == "all":
            usable = [e for e in usable if not self._is_told(gateway, e)]
        if not usable:
            return None
        return min(
            usable,
            key=lambda e: (
                self.way == "told" and self._is_told(gateway, e),
                e.load,
                self.rng.random(),
            ),
        )

    def _is_told(self, gateway: Gateway, endpoint: endpoint_state.Endpoint) -> bool:
        return self.time.now() < gateway.told_until.get(endpoint.name, 0.0)

    def _next_at(self, gateway: Gateway) -> float | None:
        """Give when a gateway's next send is due; ``None`` if that is now."""
        turns = [turn for _, turn in gateway.directory.turns(SERVICE, set())]
        next_at = min((turn.next_at for turn in turns), default=0.0)
        if self.way == "all":
            next_at = max(next_at, min(gateway.told_until.values(), default=0.0))
        return next_at if next_at > self.time.now() else None

    def _arrive(
        self, gateway: Gateway, request: Request, known: endpoint_state.Endpoint
    ) -> None:
        now, endpoint = self.time.now(), self.endpoints[known.name]
        request.sends += 1
        self.sends += self._is_counted
        asked_at, until = endpoint.asked.get(gateway.number, (0.0, 0.0))
        self.unheeded += asked_at + ON_WAY_S < now < until
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
        if self.way == "none":
            request.excluded.add(known.incarnation)
        else:
            backoffs.note_refusal(known, self.backoff_s, sent_at)
            self._spread(gateway, known.name)
        known.running -= 1
        if request.sends < ATTEMPTS:
            self._send(gateway, request)
        else:
            self._refuse(gateway, request, self._next_at(gateway))

    def _spread(self, gateway: Gateway, name: str) -> None:
        """Have the others hear of a backoff, a beat later."""
        if self.way in ("told", "all"):
            until = self.time.now() + self.backoff_s
            told = functools.partial(self._hear, gateway, name, until)
            self.at(self.time.now() + BEAT_S, told)

    def _hear(self, teller: Gateway, name: str, until: float) -> None:
        for gateway in self.gateways:
            if gateway is not teller:
                known = gateway.told_until.get(name, 0.0)
                gateway.told_until[name] = max(known, until)

    def _refuse(
        self, gateway: Gateway, request: Request, next_at: float | None
    ) -> None:
        now = self.time.now()
        if self._is_counted:
            is_at_once = now <= request.came_at + AT_ONCE_S
            self.at_once += is_at_once
            self.late += not is_at_once
        self.last_refusal = now
        if request.is_back:
            return
        back_at = max(now + 0.15, next_at or now) + self.rng.uniform(0.0, 1.0)
        self.at(min(back_at, now + 2.0), lambda: self._come(Request(back_at, True)))


def main() -> None:
    """Print a line for each play."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", default="3,9,40")
    parser.add_argument("--gateways", default="1,3,21,68")
    parser.add_argument("--loads", default="0.8,1.2,2")
    parser.add_argument("--backoff", type=float, default=3.0)
    parser.add_argument("--way", default=",".join(WAYS))
    args = parser.parse_args()
    print("ends gates load way    used at-once late  sends/served unheeded recovers")
    for endpoints in map(int, args.endpoints.split(",")):
        for gateways in map(int, args.gateways.split(",")):
            for load in map(float, args.loads.split(",")):
                for way in args.way.split(","):
                    play = Play(endpoints, gateways, load, way, args.backoff)
                    play.run()
                    print(
                        f"{endpoints:4} {gateways:5} {load:4} {way:5} {play.use:6.2f} "
                        f"{play.at_once:7} {play.late:4} {play.sends_each:13.2f} "
                        f"{play.unheeded:8} {play.recovers_s:8.1f}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
