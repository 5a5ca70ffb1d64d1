"""A small deployment inside the test's process: stand-ins, agents and entries.

Entries are called through ``Server.serve``, below the HTTP port.  Tests of the port
and of killed or paused processes start real programs (``processes``).
"""

import json
import time
import typing

import uuid6

from gaprock import (
    agent_main,
    answers,
    config,
    documents,
    entry_main,
    options,
    plugin,
    services_api,
)
from gaprock.test.fakes import engine, platform

CALLER_KEY: typing.Final = "caller-key"
WAIT_S: typing.Final = 15.0
# A test's hook that changes a process's settings before it starts.
Change = typing.Callable[[options.Options], None]


def wait_until(check: typing.Callable[[], object], what: str = "") -> None:
    """Wait for a condition; fail the test if it does not hold within ``WAIT_S``."""
    deadline = time.monotonic() + WAIT_S
    while not check():
        assert time.monotonic() < deadline, f"not in time: {what or check}"
        time.sleep(0.005)


def once_id() -> str:
    """Return a new id for a non-repeatable call."""
    return str(uuid6.uuid7())


class Site:
    """The deployment; use it as a context manager."""

    def __init__(self, **engine_flags: typing.Any) -> None:
        plugin.load_all()
        self.platform = platform.PlatformFake()
        self.platform.start()
        self.engines: dict[str, engine.EngineFake] = {}
        self.agents: dict[str, agent_main.Agent] = {}
        self.entries: list[entry_main.Entry] = []
        self._engine_flags = engine_flags

    def __enter__(self) -> "Site":
        return self

    def __exit__(self, *exc: object) -> None:
        self.platform.faults.clear()
        for entry in self.entries:
            entry.stop()
        for agent in self.agents.values():
            agent.stop()
        for fake in self.engines.values():
            fake.stop()
        self.platform.stop()

    # -- Starting --

    def options(self, vm: str) -> options.Options:
        """Return settings with short times for tests."""
        cfg = options.Options()
        cfg.vm = vm
        cfg.hall = "hall-a"
        cfg.platform = self.platform.url
        cfg.beat_s, cfg.silent_s, cfg.stream_silent_s = 0.05, 0.6, 1.0
        cfg.config_poll_s, cfg.vm_poll_s, cfg.bill_write_s = 0.05, 0.05, 0.02
        cfg.bill_patience_s, cfg.platform_wait_s = 0.5, 0.5
        cfg.lease_s, cfg.linger_s, cfg.drain_s = 1.0, 0.0, 5.0
        cfg.session_keys = ["a-session-key-of-the-site"]
        cfg.operator_key_hash = config.key_hash("operator-key")
        return cfg

    def start_agent(
        self,
        name: str = "a",
        change: Change | None = None,
        kind: str = "engine",
        **flags: typing.Any,
    ) -> agent_main.Agent:
        """Start a stand-in engine and an agent for it."""
        fake = self.engines[name] = engine.EngineFake(**{**self._engine_flags, **flags})
        fake.start()
        return self.restart_agent(name, change, kind)

    def restart_agent(
        self, name: str, change: Change | None = None, kind: str = "engine"
    ) -> agent_main.Agent:
        """Start an agent for an engine that is already running."""
        fake = self.engines[name]
        cfg = self.options(f"agent-{name}")
        cfg.agent_port = 0
        versions = ["scores@1"] if kind == "service" else []
        cfg.endpoints = [options.EndpointOption(name, fake.url, kind, False, versions)]
        if change is not None:
            change(cfg)
        agent = agent_main.Agent(cfg, services_api.connect(cfg))
        agent.start()
        self.agents[name] = agent
        self.list_vm(name, "live")
        return agent

    def list_vm(self, name: str, state: str) -> None:
        """Put an agent's VM on the VM list."""
        agent = self.agents[name]
        line = {
            "vm": agent.cfg.vm,
            "hall": agent.cfg.hall,
            "role": "agent",
            "address": f"tcp://127.0.0.1:{agent.hub.port}",
            "state": state,
        }
        others = [vm for vm in self.platform.vms if vm["vm"] != line["vm"]]
        self.platform.vms = [*others, line]

    def start_entry(self, change: Change | None = None) -> entry_main.Entry:
        """Start an entry."""
        cfg = self.options(f"entry-{len(self.entries)}")
        if change is not None:
            change(cfg)
        entry = entry_main.Entry(cfg, services_api.connect(cfg))
        entry.start()
        self.entries.append(entry)
        return entry

    def start(self, agents: int = 1, entries: int = 1, **flags: typing.Any) -> None:
        """Start agents and entries, publish the documents, and wait for all."""
        for number in range(agents):
            self.start_agent("abcdefgh"[number], **flags)
        for _ in range(entries):
            self.start_entry()
        self.wait_linked()
        self.publish(workspace())
        self.publish(template())
        self.wait_in_force()

    def wait_linked(self) -> None:
        """Wait until each entry has a usable link to each agent."""
        for entry in self.entries:
            wait_until(
                lambda: entry.config.ready
                and len([x for x in entry.links.all() if x.usable]) == len(self.agents),
                "links",
            )

    def wait_in_force(self) -> None:
        """Wait until all processes have the newest revision in force."""
        newest = self.platform.value("config/head")["revision"]
        configs = [entry.config for entry in self.entries]
        configs += [agent.config for agent in self.agents.values()]
        for one in configs:
            wait_until(lambda: one.revision >= newest, "revision")

    def publish(self, *docs: documents.Document) -> int:
        """Publish documents through the first entry; return the last revision."""
        revision = 0
        for document in docs:
            publisher = self.entries[0].publisher
            publisher.refresh()
            revision = publisher.publish(
                document, self.entries[0].config.revision
            ).revision
        return revision

    # -- Calling --

    def chat(
        self,
        entry: int = 0,
        stream: bool = False,
        headers: dict[str, str] | None = None,
        **fields: typing.Any,
    ) -> answers.Answer:
        """Send a chat request."""
        body = {
            "model": "explain",
            "messages": [{"role": "user", "content": "why?"}],
            "stream": stream,
            **fields,
        }
        return self.send(json.dumps(body).encode(), entry, headers)

    def send(
        self, raw: bytes, entry: int = 0, headers: dict[str, str] | None = None
    ) -> answers.Answer:
        """Send a chat request with this body."""
        process = self.entries[entry]
        given = {"authorization": f"Bearer {CALLER_KEY}", **(headers or {})}
        return process.server.serve(process.parser.chat(given, raw))

    def score(
        self,
        request: str,
        entry: int = 0,
        body: bytes = b'{"points": 1}',
        **headers: str,
    ) -> answers.Answer:
        """Send a non-repeatable call."""
        process = self.entries[entry]
        given = {"authorization": f"Bearer {CALLER_KEY}", "idempotency-key": request}
        given |= {key.replace("_", "-"): value for key, value in headers.items()}
        call = process.parser.service_call(given, "score", body)
        return process.server.serve(call)

    def ran(self) -> int:
        """Return the number of requests run by all endpoints."""
        return sum(sum(fake.ran.values()) for fake in self.engines.values())


def collect(answer: answers.Answer) -> bytes:
    """Read a streamed answer to its end."""
    assert answer.parts is not None
    return b"".join(answer.parts)


def whole(version: str, parts: int) -> bytes:
    """Return the stream that a caller must get for a complete answer."""
    events = [engine.part_bytes(version, number) for number in range(parts)]
    return b"".join(events) + b"data: [DONE]\n\n"


def workspace(name: str = "demo", key: str = CALLER_KEY) -> documents.Workspace:
    """Return a workspace with one caller key."""
    return documents.Workspace(name, [config.key_hash(key)])


def template(*versions: str, **fields: typing.Any) -> documents.Template:
    """Return a chat template for versions; for ``small@1`` if none are given."""
    choices = [
        documents.VersionChoice(version, 10.0**number)
        for number, version in enumerate(versions or ("small@1",))
    ]
    given = {"workspace": "demo", "name": "explain", "versions": choices, **fields}
    return documents.Template(**given)


def score_template() -> documents.Template:
    """Return a template of non-repeatable calls."""
    return template(
        "scores@1", name="score", kind="call", repeatable=False, path="/scores"
    )
