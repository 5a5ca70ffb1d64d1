"""The demonstration: a deployment with every program as a process of its own.

It starts the stand-ins, two entries and three agents, publishes with the
``gaprock`` command, sends a streamed request, a session of three requests and a
call that may not be repeated, prints answers, status codes and bill rows, and stops.
"""

import argparse
import json
import pathlib
import sys
import tempfile

import uuid6

from gaprock.test import processes


def start(fleet: processes.Fleet) -> list[str]:
    """Start all programs and return the addresses of the entries."""
    fleet.start_platform()
    for name in "abc":
        fleet.start_agent(name, service=name == "a")
    entries = [fleet.start_entry(f"entry-{number}") for number in range(2)]
    fleet.wait_ready()
    return entries


def publish(fleet: processes.Fleet, entry: str) -> None:
    """Publish the documents with the command line, as an operator does."""
    for kind, document in processes.demo_documents():
        print(f"$ gaprock {kind} publish -")
        code = fleet.command(entry, kind, "publish", "-", document=document)
        print(f"  exit code {code}\n")


def stream(entry: str) -> None:
    """Send a streamed request."""
    print("\n-- a streamed request")
    resp = processes.post(entry, processes.CHAT, processes.chat(stream=True))
    print(f"status {resp.status}, version {resp.headers.get('X-Gaprock-Version')}")
    print(resp.data.decode())


def hold_session(entries: list[str]) -> None:
    """Open a session and send three requests in it through both entries."""
    print("-- a session of three requests, over both entries")
    resp = processes.post(entries[0], "/v1/sessions", {"template": "explain"})
    token = json.loads(resp.data)["session"]
    for number in range(3):
        resp = processes.post(
            entries[number % 2],
            processes.CHAT,
            processes.chat(),
            X_Gaprock_Session=token,
        )
        print(f"status {resp.status}, version {resp.headers['X-Gaprock-Version']}")


def score(entries: list[str]) -> None:
    """Send the same call through both entries; it may run only once."""
    print("-- a score that may not be repeated, sent through both entries")
    request = str(uuid6.uuid7())
    for entry in entries:
        resp = processes.post(
            entry, "/v1/calls/score", {"points": 7}, Idempotency_Key=request
        )
        replayed = resp.headers.get("X-Gaprock-Replayed", "false")
        print(f"status {resp.status}, replayed {replayed}")


def refusal(entry: str) -> None:
    """Send a request that is refused."""
    print("-- a refusal")
    resp = processes.post(entry, processes.CHAT, processes.chat(model="none"))
    print(f"status {resp.status}: {resp.data.decode()}")


def show_bills(fleet: processes.Fleet, count: int) -> None:
    """Print the bill rows once all are in the platform's table."""
    processes.wait_until(lambda: len(fleet.rows("bill/")) == count, "bills")
    print("-- bill rows")
    for row in fleet.rows("bill/"):
        print(f"{row['key']}: cost {row['value']['cost']}")


def main() -> int:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--logs", help="directory that keeps the logs")
    args = parser.parse_args()
    logs = pathlib.Path(args.logs or tempfile.mkdtemp(prefix="gaprock-demo-"))
    logs.mkdir(parents=True, exist_ok=True)
    with processes.Fleet(logs) as fleet:
        entries = start(fleet)
        publish(fleet, entries[0])
        fleet.command(entries[1], "status")
        stream(entries[0])
        hold_session(entries)
        score(entries)
        refusal(entries[0])
        show_bills(fleet, 5)
        codes = fleet.stop()
    unclean = {name: code for name, code in codes.items() if code != 0}
    print(f"ended with errors: {unclean}" if unclean else "stopped cleanly")
    return 1 if unclean else 0


if __name__ == "__main__":
    sys.exit(main())
