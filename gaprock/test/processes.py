"""Runs the real programs as separate processes, for tests and the demonstration."""

import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

import urllib3

from gaprock.test import ports

CALLER_KEY: typing.Final = "a-caller-key"
OPERATOR_KEY: typing.Final = "an-operator-key"
SESSION_KEY: typing.Final = "a-session-key-of-the-site"
WAIT_S: typing.Final = 20.0
STOP_WAIT_S: typing.Final = 30.0

HTTP: typing.Final = urllib3.PoolManager(retries=False, timeout=WAIT_S, maxsize=16)
Json = typing.Any


def sha(text: str) -> str:
    """Return the hash under which a key is stored."""
    return hashlib.sha256(text.encode()).hexdigest()


def wait_until(check: typing.Callable[[], object], what: str) -> None:
    """Wait for a condition; fail if it does not hold within ``WAIT_S``."""
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        try:
            if check():
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"not in time: {what}")


class Fleet:
    """Processes of stand-ins, agents and entries; use it as a context manager."""

    def __init__(self, logs: pathlib.Path) -> None:
        self.logs = logs
        self.processes: dict[str, subprocess.Popen[str]] = {}
        self.platform = ""
        # URLs of the stand-ins and entries, by name.
        self.urls: dict[str, str] = {}
        self._vms: list[dict[str, str]] = []
        # Environment variables added for each process.
        self.env = {"GAPROCK_SESSION_KEYS": SESSION_KEY}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    # -- Starting and stopping --

    def run(self, name: str, module: str, *flags: str) -> subprocess.Popen[str]:
        """Start a module as a process, with its log in a file."""
        with (self.logs / f"{name}.log").open("a") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *flags],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                env={**os.environ, **self.env},
            )
        self.processes[name] = process
        return process

    def start_fake(self, name: str, module: str, *flags: str) -> str:
        """Start a stand-in and return its URL."""
        process = self.run(name, f"gaprock.test.fakes.{module}", *flags)
        assert process.stdout is not None
        self.urls[name] = process.stdout.readline().strip()
        return self.urls[name]

    def start_platform(self) -> None:
        """Start the stand-in of the platform."""
        self.platform = self.start_fake("platform", "platform")

    def start_agent(
        self, name: str, *flags: str, engine: str = "--parts=5", service: bool = False
    ) -> None:
        """Start an engine, with ``service`` also a plain service, and their agent."""
        url = self.start_fake(f"engine-{name}", "engine", *engine.split())
        endpoints = f"engine-{name}={url}"
        if service:
            url = self.start_fake(f"service-{name}", "engine", "--versions", "")
            endpoints += f",scores={url};kind=service;versions=scores@1"
        port = ports.free_port()
        self.run(
            name,
            "gaprock.agent_main",
            *("--vm", name, "--hall", f"hall-{name}", "--platform", self.platform),
            *("--agent-port", str(port), "--endpoints", endpoints, *flags),
        )
        address = f"tcp://127.0.0.1:{port}"
        self._vms.append(
            {"vm": name, "hall": f"hall-{name}", "role": "agent", "state": "live"}
            | {"address": address}
        )
        HTTP.request("PUT", self.platform + "/vms", json=self._vms)

    def start_entry(self, name: str, *flags: str, scheme: str = "http") -> str:
        """Start an entry and return its URL."""
        port = ports.free_port()
        self.urls[name] = f"{scheme}://127.0.0.1:{port}"
        self.run(
            name,
            "gaprock.entry_main",
            *("--vm", name, "--hall", "hall-a", "--platform", self.platform),
            *("--http-port", str(port), "--linger-s", "0.2"),
            *("--operator-key-hash", sha(OPERATOR_KEY), *flags),
        )
        return self.urls[name]

    def wait_ready(self) -> None:
        """Wait until each entry is ready and has a live link to each agent."""
        for name, url in self.urls.items():
            if name.startswith("entry"):
                wait_until(lambda: self._is_ready(url), name)

    def _is_ready(self, url: str) -> bool:
        if HTTP.request("GET", url + "/readyz").status != 200:
            return False
        agents = [p for p in self.status(url)["processes"] if p["role"] == "agent"]
        return len(agents) == len(self._vms)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def end(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(STOP_WAIT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop(self) -> dict[str, int]:
        """Stop all processes, the last started first; return their exit codes."""
        return {name: self.end(name) for name in reversed(list(self.processes))}

    # -- Requests --

    def faults(self, name: str, **faults: Json) -> None:
        """Set the faults of a stand-in."""
        HTTP.request("POST", self.urls[name] + "/_faults", json=faults)

    def rows(self, prefix: str) -> list[Json]:
        """Read up to 500 rows of the platform's table; none while it is down."""
        asked = {"prefix": prefix, "after": "", "limit": 500}
        resp = HTTP.request("POST", self.platform + "/table/scan", json=asked)
        return list(json.loads(resp.data)) if resp.status == 200 else []

    def status(self, url: str) -> Json:
        """Read an entry's status through the operators' API."""
        return json.loads(self.operate(url, "GET", "status").data)

    def operate(
        self, url: str, method: str, path: str, body: Json = None, **headers: str
    ) -> urllib3.BaseHTTPResponse:
        """Call the operators' API."""
        given = {"Authorization": f"Bearer {OPERATOR_KEY}", **headers}
        target = f"{url}/operator/{path}"
        return HTTP.request(method, target, json=body, headers=given)

    def command(self, url: str, *words: str, document: Json = None) -> int:
        """Run the ``gaprock`` command; its output is shown, its exit code returned."""
        done = subprocess.run(
            [sys.executable, "-m", "gaprock.ctl_main", "--entry", url, *words],
            input=json.dumps(document) if document is not None else None,
            text=True,
            env={**os.environ, "GAPROCK_OPERATOR_KEY": OPERATOR_KEY},
            check=False,
        )
        return done.returncode

    def publish(self, url: str, kind: str, document: Json) -> None:
        """Publish a document based on the newest revision."""
        revision = str(self.status(url)["revision"])
        resp = self.operate(url, "PUT", kind, document, **{"If-Match": revision})
        assert resp.status == 200, resp.data

    def publish_demo(self, url: str) -> None:
        """Publish a workspace, a chat template and a non-repeatable call template."""
        for kind, document in demo_documents():
            self.publish(url, kind, document)
        wait_until(lambda: self._in_force(url), "in force")

    def _in_force(self, url: str) -> bool:
        status = self.status(url)
        return all(p["revision"] == status["revision"] for p in status["processes"])


def demo_documents() -> list[tuple[str, Json]]:
    """Return the kind and content of a workspace and two templates."""
    versions = [{"version": "small@1", "cost": 1}]
    explain = {"workspace": "demo", "name": "explain", "versions": versions}
    score = {
        "workspace": "demo",
        "name": "score",
        "kind": "call",
        "repeatable": False,
        "path": "/scores",
        "versions": [{"version": "scores@1", "cost": 0.1}],
    }
    workspace = {"name": "demo", "key_hashes": [sha(CALLER_KEY)]}
    return [("workspace", workspace), ("template", explain), ("template", score)]


def post(
    url: str, path: str, body: Json, stream: bool = False, **headers: str
) -> urllib3.BaseHTTPResponse:
    """Send a caller's request."""
    given = {key.replace("_", "-"): value for key, value in headers.items()}
    given.setdefault("Authorization", f"Bearer {CALLER_KEY}")
    return HTTP.request(
        "POST", url + path, json=body, headers=given, preload_content=not stream
    )


def chat(**fields: Json) -> Json:
    """Return the body of a chat request."""
    messages = [{"role": "user", "content": "why?"}]
    return {"model": "explain", "messages": messages, **fields}


CHAT: typing.Final = "/v1/chat/completions"
