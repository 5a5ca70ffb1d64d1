"""A gateway inside the test's process, with stand-ins for the store and endpoints."""

import socket
import threading
import time
import typing
import uuid

from gaprock import clock, eventlog, gateway_api, gateway_node, options, plugin
from gaprock.test import ports, site
from gaprock.test.fakes import backend, metastore

KEY: typing.Final = "key-of-ws"
HOST: typing.Final = "host.example"
MODELS: typing.Final = ["small", "large"]
COSTS: typing.Final = [{"Name": "small", "Cost": 0.01}, {"Name": "large", "Cost": 0.2}]

wait_until = site.wait_until


def route(prefix: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Build a route of the configuration."""
    return {
        "Name": f"r{prefix.replace('/', '-')}",
        "Host": HOST,
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": 3000,
        "GoalMs": 600,
        "GapTargetMs": 300,
        "Priority": 1,
        "Service": service,
        "Attempts": 3,
        **more,
    }


def config(version: int, **more: object) -> dict[str, object]:
    """Build a configuration with one route of each kind."""
    return {
        "Version": version,
        "Routes": [
            route("/gen/", "streaming", "llm", Sizes=MODELS, CanResume=True),
            route("/safe/", "safe", "app"),
            route("/unsafe/", "unsafe", "app"),
        ],
        "Services": [
            {"Name": "llm", "Engine": {"Models": COSTS}, "HealthPath": "/health"},
            {"Name": "app", "HealthPath": "/health"},
        ],
        "Limits": {"BodyBytes": 10_000, "IdleMs": 15_000},
        "Tenants": [{"Name": "ws", "ApiKeys": [KEY]}],
        **more,
    }


class Answer:
    """An answer as read by the caller.

    :param whole: whether it is complete by the rules of HTTP.
    """

    __slots__ = ("status", "headers", "body", "whole")

    def __init__(self, raw: bytes) -> None:
        head, _, rest = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split(" ")[1]) if lines[0] else 0
        pairs = [line.partition(":") for line in lines[1:]]
        self.headers = {n.lower(): v.strip() for n, _, v in pairs}
        if self.headers.get("transfer-encoding") == "chunked":
            self.body, self.whole = _unchunk(rest)
        else:
            self.body = rest
            self.whole = len(rest) == int(self.headers.get("content-length", "-1"))


def _unchunk(data: bytes) -> tuple[bytes, bool]:
    body = b""
    while data:
        size_text, _, data = data.partition(b"\r\n")
        size = int(size_text, 16)
        if not size:
            return body, True
        body, data = body + data[:size], data[size + 2 :]
    return body, False


class GatewaySite:
    """A gateway with its store and endpoints, as a context manager."""

    def __init__(self, change: typing.Callable[[options.Options], None] | None = None):
        eventlog.start("gateway-1")
        plugin.load_all(plugin.GATEWAY_MODULES)
        self.store = metastore.MetaStoreFake()
        self.store.start()
        self.backends: dict[str, backend.Backend] = {}
        cfg = options.Options()
        cfg.vm, cfg.hall, cfg.host = "gateway-1", "h1", "127.0.0.1"
        cfg.listen = f"127.0.0.1:{ports.free_port()}"
        cfg.ready_listen = f"127.0.0.1:{ports.free_port()}"
        cfg.metrics_port = ports.free_port()
        cfg.store_address = f"127.0.0.1:{self.store.port}"
        cfg.max_calls = 32
        cfg.bounds.budget_allowance = 50
        cfg.bounds.canary_slack = 200
        if change is not None:
            change(cfg)
        self.cfg = cfg
        store = plugin.find(gateway_api.SharedStore, "platform")
        self.gateway = gateway_node.Gateway(
            cfg,
            clock.SteadyClock(),
            store(cfg.store_address),  # type: ignore[call-arg]
            plugin.find(gateway_api.Dialect, "platform")(),
        )

    def __enter__(self) -> typing.Self:
        self.store.put("op", "config", config(1))
        self.gateway.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self.gateway.close()
        self.store.stop()
        for fake in self.backends.values():
            fake.stop()

    def add(self, name: str, service: str, **more: object) -> backend.Backend:
        """Start an endpoint and write its row."""
        fake = self.backends[name] = backend.Backend(name)
        self.write_row(name, service, **more)
        wait_until(lambda: self.gateway.is_ready, "ready")
        wait_until(lambda: name in self.known(service), f"{name} is known")
        return fake

    def write_row(self, name: str, service: str, **more: object) -> None:
        """Write an endpoint's row."""
        row = {
            "Service": service,
            "Addr": self.backends[name].address,
            "Zone": "h1",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            **more,
        }
        self.store.put("servers", name, row)

    def known(self, service: str) -> set[str]:
        """Return the names of the usable endpoints of a service."""
        return {e.name for e in self.gateway.directory.usable(service, set())}

    @property
    def in_force(self) -> int:
        """The number of the configuration in force."""
        return self.gateway.orders.config_number

    def connect(self) -> socket.socket:
        """Open a caller's connection."""
        host, _, port = self.cfg.listen.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=10)

    def request(
        self, target: str, body: bytes = b"", method: str = "POST", **more: str
    ) -> bytes:
        """Build a caller's request; headers with an empty value are left out."""
        return build_request(target, body, method, **more)

    def call(
        self, target: str, body: bytes = b"", method: str = "POST", **more: str
    ) -> Answer:
        """Send a request and read its answer."""
        return self.exchange(self.request(target, body, method, **more))

    def exchange(self, data: bytes) -> Answer:
        """Send bytes and read until the connection ends."""
        with self.connect() as sock:
            sock.sendall(data)
            return Answer(read_all(sock))

    def generate(self, **more: str) -> Answer:
        """Request a stream, leaving the choice of the model to the gateway."""
        prompt = {
            "X_Model": "*",
            "X_Token_Counts": "100,20",
            "X_Prompt_Prefix": "a:100",
        }
        wanted = prompt | more
        return self.call("/gen/x", b"p", "POST", **wanted)

    def start_call(self, target: str, **more: str) -> "PendingCall":
        """Send a request on a thread of its own."""
        return PendingCall(lambda: self.call(target, b"", "POST", **more))


def build_request(
    target: str, body: bytes = b"", method: str = "POST", **more: str
) -> bytes:
    """Build a caller's request; headers with an empty value are left out."""
    headers = {
        "Host": HOST,
        "X-Request-Id": uuid.uuid4().hex[:16],
        "X-Deadline-Ms": "4000",
        "Authorization": f"Bearer {KEY}",
        "Connection": "close",
        "Content-Length": str(len(body)),
    }
    headers.update({name.replace("_", "-"): text for name, text in more.items()})
    lines = [f"{n}: {v}" for n, v in headers.items() if v]
    start = f"{method} {target} HTTP/1.1"
    return "\r\n".join([start, *lines, "", ""]).encode() + body


class PendingCall:
    """A call in progress on a thread of its own."""

    def __init__(self, call: typing.Callable[[], Answer]) -> None:
        self._call = call
        self.answer: Answer | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        self.answer = self._call()

    def get(self) -> Answer:
        """Wait for the answer."""
        self._thread.join(site.WAIT_S)
        assert self.answer is not None, "no answer in time"
        return self.answer


def read_all(sock: socket.socket) -> bytes:
    """Read until the connection ends."""
    data = b""
    deadline = time.monotonic() + site.WAIT_S
    while time.monotonic() < deadline:
        try:
            more = sock.recv(65536)
        except ConnectionResetError:
            return data
        if not more:
            return data
        data += more
    raise AssertionError("the connection did not end in time")
