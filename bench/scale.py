"""Measures the cost of a gateway's work by the number of endpoints and gateways.

    python -m bench.scale [--endpoints 40,400,4000] [--gateways 7,33,100]

Printed, for each number of endpoints in three halls: the processor time of a choice of
an endpoint, of applying a peer's loads, and of collecting the own loads.  Then, for
each number of gateways in each of three halls, with ten endpoints a gateway: the bytes
and messages a second that the median and the busiest gateway send, by the gossip of the
test fleet on a virtual clock.

Not modelled: requests, and the cost of sockets.
"""

import argparse
import collections
import random
import statistics
import time
import typing

from bench import herd
from gaprock import clock, endpoint_state, gateway_api, plugin
from gaprock.test import fleetcase

HALLS: typing.Final = 3
# Endpoints at which a gateway has running requests.
BUSY_ENDPOINTS: typing.Final = 30
ROUNDS: typing.Final = 200
FLEET_S: typing.Final = 4.0
MEASURED_S: typing.Final = 5.0
ENDPOINTS_EACH: typing.Final = 10


def fill(endpoint_directory: typing.Any, count: int, halls: int = HALLS) -> list[str]:
    """Add a number of endpoints to a directory; return their names."""
    names = [f"i-{number:010x}" for number in range(count)]
    for number, name in enumerate(names):
        hall = f"h{number % halls}"
        row = gateway_api.EndpointRow(
            herd.SERVICE, "10.0.0.1", 1, hall, "v1", 128, False
        )
        endpoint_directory.update(name, row)
    return names


def median_us(act: typing.Callable[[], object]) -> float:
    """Return the median processor time of a call, in microseconds."""
    times_us = []
    for _ in range(ROUNDS):
        began_ns = time.process_time_ns()
        act()
        times_us.append((time.process_time_ns() - began_ns) / 1000)
    return statistics.median(times_us)


def own_costs(endpoints: int) -> dict[str, float]:
    """Measure the work of one gateway, in microseconds."""
    steady = clock.ManualClock(100.0)
    gateway = herd.Gateway("gw", steady, 1, "better-of-few")
    gateway.chooser._hall = "h0"
    names = fill(gateway.directory, endpoints)
    rng = random.Random(1)
    hall_endpoints = names[::HALLS]
    busy = rng.sample(hall_endpoints, min(BUSY_ENDPOINTS, len(hall_endpoints)))
    for name in busy:
        endpoint = gateway.directory._endpoints[name]
        gateway.directory.begin(endpoint, endpoint_state.Prompt(100.0, []))
    loads = {name: endpoint_state.Load(1, 100.0) for name in busy}
    call = herd.call(1, 100.0)
    return {
        "choice": median_us(lambda: gateway.chooser.endpoint(call, "")),
        "loads taken": median_us(
            lambda: gateway.directory.apply_peer_loads("gw-2", loads)
        ),
        "loads told": median_us(gateway.directory.own_loads),
    }


class CountedFleet(fleetcase.Fleet):
    """A fleet that counts the bytes and messages that each gateway sends."""

    def __init__(self, halls: int, each: int) -> None:
        super().__init__(halls, each)
        self.bytes: dict[str, int] = collections.Counter()
        self.messages: dict[str, int] = collections.Counter()
        for member in self.members:
            fill(member.directory, ENDPOINTS_EACH * halls * each, halls)

    def send(self, sender: fleetcase.Member, address: str, data: bytes) -> None:
        self.bytes[sender.name] += len(data)
        self.messages[sender.name] += 1
        super().send(sender, address, data)


def gossip_rates(each: int) -> tuple[list[float], list[float]]:
    """Return the bytes and messages a second of each gateway, each sorted.

    Each gateway continually begins and ends requests at random endpoints of its hall.
    """
    fleet = CountedFleet(HALLS, each)
    fleet.run(FLEET_S)
    fleet.bytes.clear()
    fleet.messages.clear()
    rng = random.Random(1)

    def change_loads() -> bool:
        for member in fleet.members:
            hall_endpoints = [
                e
                for e in member.directory._endpoints.values()
                if e.row.hall == member.hall
            ]
            endpoint = rng.choice(hall_endpoints)
            prompt = endpoint_state.Prompt(100.0, [])
            member.directory.begin(endpoint, prompt)
            if endpoint.running > 3:
                member.directory.end(endpoint)
        return False

    for _ in range(int(MEASURED_S / 0.1)):
        change_loads()
        fleet.run(0.1)
    names = [member.name for member in fleet.members]
    sizes = sorted(fleet.bytes[name] / MEASURED_S for name in names)
    return sizes, sorted(fleet.messages[name] / MEASURED_S for name in names)


def main() -> None:
    """Run the measurements and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", default="40,400,4000")
    parser.add_argument("--gateways", default="7,33")
    args = parser.parse_args()
    plugin.load_all(plugin.GATEWAY_MODULES)
    for text in filter(None, args.endpoints.split(",")):
        costs = own_costs(int(text))
        parts = "  ".join(f"{name} {cost:8.0f} us" for name, cost in costs.items())
        print(f"{text:>6} endpoints: {parts}")
    for text in filter(None, args.gateways.split(",")):
        sizes, messages = gossip_rates(int(text))
        middle = len(sizes) // 2
        print(
            f"{HALLS * int(text):6} gateways: kB/s {sizes[middle] / 1e3:8.1f} middle"
            f" {sizes[-1] / 1e3:8.1f} busiest; messages/s {messages[middle]:6.0f}"
            f" {messages[-1]:6.0f}"
        )


if __name__ == "__main__":
    main()
