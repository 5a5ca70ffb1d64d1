"""What an endpoint that names a rate limit gets, by the way in which it is divided.

    python -m bench.limits [--gateways 1,3,21,68,300] [--limits 0.3,2.4,20,200]
                           [--way by-wants,equal,owners] [--load even,one,turns]

Gateways in halls send whenever their part of the limit allows it, for callers that
would send three times the limit, and three requests a second at least.  They tell
each other as beats do: in the hall each fifth of a second, or slower in a large one,
between halls through carriers.  Printed: the worst span of four seconds against the
limit, and the use of it.

* ``by-wants``: the product's way, equal parts that are lent by what each one wants;
* ``equal``: equal parts that nobody lends;
* ``owners``: a few gateways, picked by a hash, have it all, the others send nothing.

Not modelled: the choice among endpoints, and answers that are late.
"""

import argparse
import functools
import random
import typing
import zlib

from bench import events, spans
from gaprock import (
    endpoint_state,
    gateway_api,
    mesh_halls,
    mesh_peers,
    rate_limits,
    rate_pacing,
)

WINDOW_S: typing.Final = 4.0
# Callers would send so many times the limit.
PRESS: typing.Final = 3.0
# The endpoint names its limit from then on; what it gets counts a while later.
NAMED_AT: typing.Final = 2.0
COUNTED_AT: typing.Final = 5.0
END_AT: typing.Final = 25.0
# An answer comes after this time, seconds.
ANSWER_S: typing.Final = 0.1
# A summary of a hall is so old where it comes, seconds: its carrier's pause, its way,
# and the pause in which it is passed on.
FAR_S: typing.Final = (0.1, 1.0)
# The one gateway that all callers come to changes this often, seconds.
TURN_S: typing.Final = 3.0
LIFE: typing.Final = "e@1"


class Equal(rate_pacing.Pacer):
    """Nobody lends."""

    __slots__ = ()

    def _others(self, incarnation: str) -> list[rate_pacing.PeerDemand]:
        return []


class Gateway:
    """One gateway's sends to the endpoint."""

    def __init__(self, number: int, play: "Play") -> None:
        self.name = f"gw-{number:03}"
        self.number = number
        self.hall = number % play.halls
        kind = Equal if play.way == "equal" else rate_pacing.Pacer
        rng = random.Random(f"{play.seed} {self.name}")
        self.pacer = kind(play.time, lambda: play.known, rng)
        # Nothing comes from it or to it; it does nothing and hears nothing; it is gone.
        self.is_cut = self.is_frozen = self.is_dead = False

    @property
    def talks(self) -> bool:
        """Whether it tells others and hears them."""
        return not (self.is_cut or self.is_frozen or self.is_dead)


class Play(events.Events):
    """One play; afterwards ``sends`` has the moments of the sends."""

    def __init__(
        self, gateways: int, per_s: float, way: str, load: str, seed: int = 0
    ) -> None:
        super().__init__()
        self.per_s = per_s
        self.way = way
        self.load = load
        self.seed = seed
        self.rng = random.Random(seed)
        self.halls = 1 if gateways < 3 else 5 if gateways == 68 else 3
        # The gateways that everybody knows of.
        self.known = gateways
        self.gateways = [Gateway(n, self) for n in range(gateways)]
        row = gateway_api.EndpointRow("s", "10.0.0.1", 1, "h", "v1", 8, False, 1)
        self.endpoint = endpoint_state.Endpoint("e", row)
        self.sends: list[float] = []

    def run(self) -> None:
        """Play to the end."""
        for gateway in self.gateways:
            first_at = self.rng.uniform(0.0, 1.0)
            self.at(first_at, functools.partial(self._tell, gateway))
        for hall in range(self.halls):
            first_at = self.rng.uniform(0.0, 1.0)
            self.at(first_at, functools.partial(self._tell_far, hall))
        self.at(0.0, self._ask)
        self.run_until(END_AT)

    def join(self, gateway: Gateway) -> None:
        """Take a gateway in that starts late, of which nobody else knows."""
        self.gateways.append(gateway)
        self._tell(gateway)

    # -- What comes out --

    def worst(self) -> int:
        """Give the most sends in a window."""
        counted = [at for at in self.sends if at >= COUNTED_AT]
        return spans.most_within(counted, WINDOW_S)

    def use(self) -> float:
        """Give the share of the limit that was used."""
        counted = sum(at >= COUNTED_AT for at in self.sends)
        assert self.per_s > 0
        return counted / (self.per_s * (END_AT - COUNTED_AT))

    # -- Requests --

    def _ask(self) -> None:
        now = self.time.now()
        self._send(self._asked(now))
        pause_s = self.rng.expovariate(PRESS * max(1.0, self.per_s))
        self.at(now + pause_s, self._ask)

    def _asked(self, now: float) -> Gateway:
        """Give the gateway that the next caller comes to."""
        if self.load == "even":
            return self.rng.choice(self.gateways)
        turn = int(now / TURN_S) if self.load == "turns" else 0
        return self.gateways[turn % len(self.gateways)]

    def _send(self, gateway: Gateway) -> None:
        if gateway.is_dead or gateway.is_frozen:
            return
        now = self.time.now()
        if not self._may_own(gateway) or not gateway.pacer.may_send(self.endpoint, now):
            gateway.pacer.note_wanted(self.endpoint)
            return
        gateway.pacer.take(self.endpoint)
        self.sends.append(now)
        if now >= NAMED_AT:
            self.at(now + ANSWER_S, lambda: self._answer(gateway, now))

    def _answer(self, gateway: Gateway, sent_at: float) -> None:
        if gateway.is_dead or gateway.is_frozen:
            return
        notice = gateway_api.LimitNotice(self.per_s)
        is_news = gateway.pacer.limits.limit(LIFE) is None
        gateway.pacer.limits.note_answer(self.endpoint, notice, sent_at)
        if is_news:
            self._tell(gateway, again=False)

    def _may_own(self, gateway: Gateway) -> bool:
        """Whether a gateway is one of the few that send, where there are such."""
        if self.way != "owners" or self.time.now() < NAMED_AT:
            return True
        count = max(1, min(len(self.gateways), int(self.per_s)))
        order = sorted(self.gateways, key=lambda g: zlib.crc32(g.name.encode()))
        self.known = count
        return gateway in order[:count]

    # -- Beats --

    def _tell(self, gateway: Gateway, again: bool = True) -> None:
        """Have a gateway tell its hall."""
        near = [g for g in self.gateways if g.hall == gateway.hall and g is not gateway]
        news = gateway.pacer.news()
        if gateway.talks:
            for other in near:
                if other.talks:
                    other.pacer.record_news(gateway.name, 1, news)
        if again:
            pause_s = mesh_peers.near_pause(len(near))
            self.at(self.time.now() + pause_s, lambda: self._tell(gateway))

    def _tell_far(self, hall: int) -> None:
        """Have a hall's carrier sum it up for the other halls."""
        near = [g for g in self.gateways if g.hall == hall and g.talks]
        age_s = self.rng.uniform(*FAR_S)
        if near:
            own, *others = [g.pacer.news() for g in near]
            summary = mesh_halls.sum_wanted_rates(own, others)
            members = len(near)
            for other in self.gateways:
                if other.hall != hall:
                    hear = functools.partial(
                        self._hear, other, hall, members, summary, age_s
                    )
                    self.at(self.time.now() + age_s, hear)
        self.at(self.time.now() + 1.0, lambda: self._tell_far(hall))

    def _hear(
        self,
        gateway: Gateway,
        hall: int,
        members: int,
        summary: list[rate_limits.LimitUpdate],
        age_s: float,
    ) -> None:
        if gateway.talks:
            gateway.pacer.record_news(f"hall {hall}", members, summary, age_s)


def main() -> None:
    """Play, and print what the endpoint got."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", default="1,3,21,68,300")
    parser.add_argument("--limits", default="0.3,2.4,20,200")
    parser.add_argument("--way", default="by-wants,equal,owners")
    parser.add_argument("--load", default="even,one,turns")
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    print("way load gateways: worst 4 s / limit (and use), for limits of", args.limits)
    for way in args.way.split(","):
        for load in args.load.split(","):
            for gateways in map(int, args.gateways.split(",")):
                cells = []
                for per_s in map(float, args.limits.split(",")):
                    plays = [
                        Play(gateways, per_s, way, load, seed)
                        for seed in range(args.seeds)
                    ]
                    for play in plays:
                        play.run()
                    worst = max(play.worst() for play in plays)
                    use = sum(play.use() for play in plays) / len(plays)
                    cells.append(f"{worst:4}/{per_s * WINDOW_S:<5.1f}({use:.2f})")
                print(f"{way:9} {load:6} {gateways:4}: {'  '.join(cells)}")


if __name__ == "__main__":
    main()
