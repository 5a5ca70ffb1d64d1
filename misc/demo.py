"""The demonstration: the whole path, with every program as a process of its own.

It starts the stand-ins, two entries and three agents, publishes with the
``gaprock`` command, sends a streamed request, a session of three requests and a
score that may not be repeated, prints answers, codes and bill rows, and stops.
"""

import argparse
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import urllib3
import uuid6

CALLER_KEY: typing.Final = "demo-caller-key"
OPERATOR_KEY: typing.Final = "demo-operator-key"
START_WAIT_S: typing.Final = 15.0
STOP_WAIT_S: typing.Final = 30.0
HALLS: typing.Final = ("hall-a", "hall-b", "hall-c")

HTTP: typing.Final = urllib3.PoolManager(retries=False, timeout=20.0)


def sha(text: str) -> str:
    """Give a key's stored form."""
    return hashlib.sha256(text.encode()).hexdigest()


def free_port() -> int:
    """Find a free port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Site:
    """The processes of the demonstration."""

    def __init__(self, logs: pathlib.Path) -> None:
        self._logs = logs
        self._processes: list[tuple[str, subprocess.Popen[str]]] = []

    def start(self, name: str, module: str, *flags: str) -> subprocess.Popen[str]:
        """Start one program."""
        log = (self._logs / f"{name}.log").open("w")
        process = subprocess.Popen(
            [sys.executable, "-m", module, *flags],
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
            env={**os.environ, "GAPROCK_SESSION_KEYS": "demo-session-key-1"},
        )
        self._processes.append((name, process))
        return process

    def start_fake(self, name: str, module: str, *flags: str) -> str:
        """Start a stand-in and give its address."""
        process = self.start(name, f"gaprock.test.fakes.{module}", *flags)
        assert process.stdout is not None
        return process.stdout.readline().strip()

    def stop(self) -> bool:
        """Stop everything in reverse order; tell whether all ended cleanly."""
        clean = True
        for name, process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
            try:
                code = process.wait(STOP_WAIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                code = process.wait()
            if code != 0:
                print(f"{name} ended with {code}")
                clean = False
        return clean


def wait_until(what: str, check: typing.Callable[[], bool]) -> None:
    """Wait for a condition, a bounded time."""
    deadline = time.time() + START_WAIT_S
    while time.time() < deadline:
        try:
            if check():
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.1)
    raise SystemExit(f"not in time: {what}")


def command(entry: str, *words: str, document: object = None) -> None:
    """Run the gaprock command as an operator would."""
    print("$ gaprock " + " ".join(words))
    done = subprocess.run(
        [sys.executable, "-m", "gaprock.ctl_main", "--entry", entry, *words],
        input=json.dumps(document) if document is not None else None,
        text=True,
        env={**os.environ, "GAPROCK_OPERATOR_KEY": OPERATOR_KEY},
        check=False,
    )
    print(f"  exit code {done.returncode}")
    if done.returncode != 0:
        raise SystemExit("the command failed")


def post(url: str, body: object, **headers: str) -> urllib3.BaseHTTPResponse:
    """Send a caller's request."""
    given = {key.replace("_", "-"): value for key, value in headers.items()}
    given["Authorization"] = f"Bearer {CALLER_KEY}"
    return HTTP.request("POST", url, json=body, headers=given)


def start_site(site: Site) -> tuple[str, list[str]]:
    """Start all programs; give the addresses of platform and entries."""
    platform = site.start_fake("platform", "platform")
    vms = []
    for number, hall in enumerate(HALLS):
        engine = site.start_fake(
            f"engine-{number}", "engine", "--versions", "small@1+large@1"
        )
        port = free_port()
        endpoints = f"engine-{number}={engine}"
        if number == 0:
            service = site.start_fake("service", "engine", "--versions", "")
            endpoints += f",scores={service};kind=service;versions=scores@1"
        vm = f"agent-{number}"
        flags = ["--vm", vm, "--hall", hall, "--platform", platform]
        flags += ["--agent-port", str(port), "--endpoints", endpoints]
        site.start(vm, "gaprock.agent_main", *flags)
        address = f"tcp://127.0.0.1:{port}"
        vms.append(
            {"vm": vm, "hall": hall, "role": "agent", "address": address}
            | {"state": "live"}
        )
    HTTP.request("PUT", platform + "/vms", json=vms)
    entries = []
    for number in range(2):
        port = free_port()
        flags = ["--vm", f"entry-{number}", "--hall", HALLS[number]]
        flags += ["--platform", platform, "--http-port", str(port)]
        flags += ["--operator-key-hash", sha(OPERATOR_KEY), "--linger-s", "0.2"]
        site.start(f"entry-{number}", "gaprock.entry_main", *flags)
        entries.append(f"http://127.0.0.1:{port}")
    for entry in entries:
        wait_until(entry, lambda: HTTP.request("GET", entry + "/readyz").status == 200)
    return platform, entries


def publish(entry: str) -> None:
    """Publish a workspace and two templates."""
    workspace = {"name": "demo", "key_hashes": [sha(CALLER_KEY)]}
    versions = [{"version": "small@1", "cost": 1}, {"version": "large@1", "cost": 10}]
    explain = {"workspace": "demo", "name": "explain", "versions": versions}
    score = {
        "workspace": "demo",
        "name": "score",
        "kind": "call",
        "repeatable": False,
        "path": "/scores",
        "versions": [{"version": "scores@1", "cost": 0.1}],
    }
    command(entry, "workspace", "publish", "-", document=workspace)
    command(entry, "template", "publish", "-", document=explain)
    command(entry, "template", "publish", "-", document=score)


def send_requests(entries: list[str]) -> None:
    """Send the demonstration's requests and print what comes back."""
    chat = {"model": "explain", "messages": [{"role": "user", "content": "why?"}]}
    print("\n-- a streamed request")
    resp = post(entries[0] + "/v1/chat/completions", {**chat, "stream": True})
    print(f"status {resp.status}, version {resp.headers.get('X-Gaprock-Version')}")
    print(resp.data.decode())
    print("-- a session of three requests, over both entries")
    token = json.loads(post(entries[0] + "/v1/sessions", {"template": "explain"}).data)
    print(f"session opened on {token['version']}")
    for number in range(3):
        entry = entries[number % 2]
        resp = post(
            entry + "/v1/chat/completions", chat, X_Gaprock_Session=token["session"]
        )
        version = resp.headers.get("X-Gaprock-Version")
        print(f"status {resp.status}, version {version}")
    print("-- a score that may not be repeated, sent through both entries")
    once = str(uuid6.uuid7())
    for entry in entries:
        resp = post(entry + "/v1/calls/score", {"points": 7}, Idempotency_Key=once)
        replayed = resp.headers.get("X-Gaprock-Replayed", "false")
        print(f"status {resp.status}, replayed {replayed}")
    print("-- a refusal")
    resp = post(entries[0] + "/v1/chat/completions", {**chat, "model": "none"})
    print(f"status {resp.status}: {resp.data.decode()}")


def bill_rows(platform: str) -> list[typing.Any]:
    """Read the bills in the platform's table."""
    asked = {"prefix": "bill/", "after": "", "limit": 100}
    rows = HTTP.request("POST", platform + "/table/scan", json=asked)
    return list(json.loads(rows.data))


def main() -> int:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--logs", help="directory that keeps the logs")
    args = parser.parse_args()
    logs = pathlib.Path(args.logs or tempfile.mkdtemp(prefix="gaprock-demo-"))
    logs.mkdir(parents=True, exist_ok=True)
    site = Site(logs)
    try:
        platform, entries = start_site(site)
        publish(entries[0])
        command(entries[1], "status")
        send_requests(entries)
        wait_until("bills", lambda: len(bill_rows(platform)) == 5)
        print("-- bill rows")
        for row in bill_rows(platform):
            print(f"{row['key']}: cost {row['value']['cost']}")
    finally:
        clean = site.stop()
    print("stopped cleanly" if clean else "did not stop cleanly")
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
