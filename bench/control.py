"""Measures the cost of control by number of peers, and how fast changes spread.

    python -m bench.control [--agents 4,24]

Starts an entry and a number of agents, each as a process, and lets them idle: the slope
of the entry's processor time over the number of agents is the cost of a peer.  Then
publishes changes and measures the time until they are in force in every process.  Also
prints the size of messages.

Not modelled: a network, halls, and more processes than one machine can run.
"""

import argparse
import pathlib
import statistics
import tempfile
import time
import typing

import msgspec

from bench import path
from gaprock import config, documents, messages
from gaprock.test import processes, site

IDLE_S: typing.Final = 8.0
CHANGES: typing.Final = 8
EVIDENCE_LINES: typing.Final = 4


def size_of(value: msgspec.Struct) -> int:
    """Return the encoded size of a message in bytes."""
    return len(msgspec.msgpack.encode(value))


def sizes() -> dict[str, int]:
    """Return the sizes of messages with typical contents, in bytes."""
    evidence = [
        messages.Evidence("entry-17/0123456789abcdef", f"small@{n}/1", 1200, 30, 900)
        for n in range(EVIDENCE_LINES)
    ]
    load = messages.EndpointLoad(
        "engine-17", "engine", ["small@1", "large@1"], 12, 3, 16, 12, 0.41, 2.0
    )
    known = messages.Known("entry-17/0123456789abcdef", 1234, 1.8e9)
    report = messages.Report(
        "agent-17", "0123456789abcdef", "hall-a", 1234, 7, [], False, [load], [], []
    )
    template = site.template("small@1", "large@1")
    delta = messages.ConfigDelta(
        1233,
        1234,
        [
            messages.ConfigEntry(
                config.key_of(template), 1234, documents.to_value(template)
            )
        ],
        [],
    )
    idle = messages.Beat("entry-17/0123456789abcdef", "hall-a", 1234, 7, [], [])
    return {
        "beat, idle": size_of(idle),
        "report of one endpoint, idle": size_of(report),
        "each entry named in a report": size_of(known),
        "each evidence line": size_of(evidence[0]),
        "configuration change, one template": size_of(delta),
    }


def measure(agents: int, logs: pathlib.Path) -> None:
    """Measure with a number of agents and print the figures."""
    with processes.Fleet(logs) as fleet:
        fleet.start_platform()
        for number in range(agents):
            fleet.start_agent(f"g{number}")
        url = fleet.start_entry("entry-0")
        fleet.wait_ready()
        fleet.publish_demo(url)
        entry, agent = path.Meter(fleet, "entry-0"), path.Meter(fleet, "g0")
        time.sleep(IDLE_S)
        used = entry.used_s() / IDLE_S * 100
        path.show(f"{agents} agents: entry's share of a core", used, "%")
        used = agent.used_s() / IDLE_S * 100
        path.show(f"{agents} agents: an agent's share of a core", used, "%")
        path.show(f"{agents} agents: entry's memory", entry.memory_mb(), "MB")
        times = [publish_and_wait(fleet, url, n) for n in range(CHANGES)]
        path.show(f"{agents} agents: in force, median", statistics.median(times), "s")
        path.show(f"{agents} agents: in force, longest", max(times), "s")


def publish_and_wait(fleet: processes.Fleet, url: str, number: int) -> float:
    """Publish a change; return the seconds until all processes have it."""
    template = {**processes.demo_documents()[1][1], "priority": number % 10}
    began_at = time.time()
    fleet.publish(url, "template", template)
    while True:
        status = fleet.status(url)
        if all(p["revision"] >= status["revision"] for p in status["processes"]):
            return time.time() - began_at
        time.sleep(0.02)


def main() -> None:
    """Run the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--agents", default="4,24")
    args = parser.parse_args()
    for name, size in sizes().items():
        path.show(f"bytes: {name}", size, "bytes")
    for count in args.agents.split(","):
        with tempfile.TemporaryDirectory(prefix="gaprock-control-") as logs:
            measure(int(count), pathlib.Path(logs))


if __name__ == "__main__":
    main()
