"""Measures admission and routing when three times the capacity arrives at once.

    python -m bench.rush [--policies ours,random,least-reported]

Real entries and agents run as processes, with stand-in engines, on loopback.  Callers
of three times the capacity arrive within seconds; refused ones retry when the refusal
says.  Load reports lag by a second; one engine becomes slow, one is killed.

An answer is useful if it is complete, its first part came within 1.5 s and it ended
before its deadline.  Useful answers are counted over a time window in which more
callers wait than can be served, relative to the capacity of the engines that run.

Not modelled: a network between halls, batching engines, prompts of unequal length.
"""

import argparse
import pathlib
import random
import tempfile
import time
import typing

from bench import clients
from gaprock.test import processes

ENGINES: typing.Final = "abcd"
SLOTS: typing.Final = 4
ENGINE: typing.Final = (
    f"--slots={SLOTS} --first-s=0.2 --part-s=0.02 --parts=10 --lag-s=1.0"
)
RUSH_S: typing.Final = 5.0
TIMES_CAPACITY: typing.Final = 3.0
SLOW_AT_S: typing.Final = 5.0
SLOW_FACTOR: typing.Final = 4.0
DEAD_AT_S: typing.Final = 8.0
WINDOW: typing.Final = (1.0, 13.0)
END_S: typing.Final = 20.0
FIRST_PART_S: typing.Final = 1.5
TIME_LIMIT_S: typing.Final = 4.0
THREADS: typing.Final = 500
# The small workspace's share of the requests.
SMALL_SHARE: typing.Final = 0.1
LARGE, SMALL = "large-key", "small-key"

# Flags of entries and of agents, by the name of the policy.
POLICIES: typing.Final = {
    "ours": (["--routing", "two-choices"], ["--admission", "adaptive"]),
    "random": (
        ["--routing", "random"],
        ["--admission", "unlimited", "--max-running", "2000"],
    ),
    "least-reported": (
        ["--routing", "least-reported"],
        ["--admission", "unlimited", "--max-running", "2000"],
    ),
}


def publish(fleet: processes.Fleet, url: str) -> None:
    """Publish a large and a small workspace with equal shares."""
    for key in (LARGE, SMALL):
        name = key.partition("-")[0]
        fleet.publish(
            url, "workspace", {"name": name, "key_hashes": [processes.sha(key)]}
        )
        template = {
            "workspace": name,
            "name": "explain",
            "versions": [{"version": "small@1"}],
            "first_part_s": FIRST_PART_S,
            "time_limit_s": TIME_LIMIT_S,
        }
        fleet.publish(url, "template", template)


def measure_service(url: str) -> float:
    """Return the duration of an answer without load, in seconds."""
    times = []
    for _ in range(6):
        began_at = time.time()
        body = processes.chat(stream=True)
        processes.post(url, processes.CHAT, body, Authorization=f"Bearer {LARGE}")
        times.append(time.time() - began_at)
    return min(times)


def capacity_between(start_s: float, end_s: float, service_s: float) -> float:
    """Return how many answers the engines could serve between two times."""
    rate = SLOTS / service_s
    healthy = max(0.0, len(ENGINES) - 2) * (end_s - start_s)
    until_slow = max(0.0, min(end_s, SLOW_AT_S) - start_s)
    slow = max(0.0, end_s - max(start_s, SLOW_AT_S)) / SLOW_FACTOR
    until_dead = max(0.0, min(end_s, DEAD_AT_S) - start_s)
    return rate * (healthy + until_slow + slow + until_dead)


def is_useful(outcome: clients.Outcome) -> bool:
    """Whether an answer was complete and its first part in time."""
    is_first_in_time = outcome.first_at - outcome.sent_at <= FIRST_PART_S
    return outcome.is_complete and is_first_in_time


def run(name: str, seed: int, logs: pathlib.Path) -> dict[str, float]:
    """Run one policy and return its figures."""
    entry_flags, agent_flags = POLICIES[name]
    with processes.Fleet(logs) as fleet:
        fleet.start_platform()
        for agent in ENGINES:
            fleet.start_agent(agent, *agent_flags, engine=ENGINE)
        urls = [
            fleet.start_entry(
                f"entry-{n}", "--max-open", "800", "--rating-share", "0", *entry_flags
            )
            for n in range(2)
        ]
        fleet.wait_ready()
        publish(fleet, urls[0])
        service_s = measure_service(urls[0])
        figures = rush(fleet, urls, service_s, seed)
        figures["service_s"] = service_s
        tries = [fleet.status(url) for url in urls]
    first = sum(t["first_tries"] for t in tries)
    second = sum(t["second_tries"] for t in tries)
    figures["second_per_first"] = second / max(1, first)
    return figures


def rush(
    fleet: processes.Fleet, urls: list[str], service_s: float, seed: int
) -> dict[str, float]:
    """Start the callers, inject the faults, and return the figures."""
    rng = random.Random(seed)
    rate = len(ENGINES) * SLOTS / service_s
    callers = int(TIMES_CAPACITY * rate * RUSH_S)
    keys = [SMALL if rng.random() < SMALL_SHARE else LARGE for _ in range(callers)]
    began_at = time.time() + 0.5

    def make(caller: int) -> tuple[str, str, typing.Any]:
        return urls[caller % len(urls)], keys[caller], processes.chat(stream=True)

    pool = clients.CallerPool(make, THREADS, began_at + END_S, TIME_LIMIT_S)
    for caller in range(callers):
        pool.schedule.add(began_at + rng.random() * RUSH_S, caller)
    pool.start()
    time.sleep(max(0.0, began_at + SLOW_AT_S - time.time()))
    fleet.faults("engine-c", slow=SLOW_FACTOR)
    time.sleep(max(0.0, began_at + DEAD_AT_S - time.time()))
    fleet.kill("engine-d")
    time.sleep(max(0.0, began_at + END_S - time.time()))
    pool.stop()
    return figures_of(pool.outcomes, began_at, service_s, callers)


def figures_of(
    outcomes: list[clients.Outcome], began_at: float, service_s: float, callers: int
) -> dict[str, float]:
    """Compute the figures of a run."""
    start_s, end_s = WINDOW
    useful = [o for o in outcomes if is_useful(o)]
    inside = [o for o in useful if start_s <= o.ended_at - began_at < end_s]
    capacity = capacity_between(start_s, end_s, service_s)
    first = [o.first_at - o.sent_at for o in outcomes if o.is_complete]
    refusals = [o.ended_at - o.sent_at for o in outcomes if o.status == 503]
    small = [o.first_at - o.sent_at for o in outcomes if o.is_complete and is_small(o)]
    served = {o.caller for o in useful}
    small_tries = [o for o in outcomes if is_small(o)]
    return {
        "callers": callers,
        "tries": len(outcomes),
        "useful_per_capacity": len(inside) / capacity,
        "callers_served": len(served) / callers,
        "first_p50_s": clients.percentile(first, 0.5),
        "first_p95_s": clients.percentile(first, 0.95),
        "refusals": len(refusals),
        "refused_after_waiting": sum("did not come" in o.detail for o in outcomes),
        "refusal_p50_ms": clients.percentile(refusals, 0.5) * 1000,
        "refusal_p99_ms": clients.percentile(refusals, 0.99) * 1000,
        "small_first_p95_s": clients.percentile(small, 0.95),
        "small_useful_tries": sum(map(is_useful, small_tries)) / len(small_tries),
        "cut_or_failed": sum(o.status in (200, 502, 504, 599) for o in outcomes)
        - sum(o.is_complete for o in outcomes),
    }


def is_small(outcome: clients.Outcome) -> bool:
    """Whether a request was the small workspace's."""
    return outcome.workspace == SMALL


def show(results: dict[str, dict[str, float]]) -> None:
    """Print the figures of the policies side by side."""
    names = list(results)
    print(f"{'':22}" + "".join(f"{name:>16}" for name in names))
    for key in results[names[0]]:
        row = "".join(f"{results[name][key]:16.3f}" for name in names)
        print(f"{key:22}{row}")


def main() -> None:
    """Run the policies one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    results = {}
    for name in args.policies.split(","):
        with tempfile.TemporaryDirectory(prefix="gaprock-rush-") as logs:
            results[name] = run(name, args.seed, pathlib.Path(logs))
    show(results)


if __name__ == "__main__":
    main()
