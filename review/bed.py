"""A small deployment for the scripts of the second review.

The gateways are the project's own program, each a process with the command of the
deploy file.  The store is the project's stand-in; servers and clients are small ones
of this module, which do what the users' pages say and no more.
"""

import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import typing
import uuid

from gaprock.test import ports
from gaprock.test.fakes import cutproxy, metastore

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
HOST: typing.Final = "host.example"
KEY: typing.Final = "key-of-tenant"
TENANT: typing.Final = "tenant-a"
STAMP: typing.Final = "3e1b.07.5a2.600.0.c9f2a4d1"
# The bounds of the users' site ``hsg-fault``, as their DEPLOY.md shows them.
BOUNDS: typing.Final = {
    "ContactMs": 3000,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigMs": 2000,
    "DowngradeMs": 250,
    "SkewMaxMs": 5000,
    "BudgetRatio": 0.9,
    "BudgetWindowS": 10,
    "RetrySlack": 52,
    "CanaryShare": 0.15,
    "CanarySlack": 30,
    "RollbackMs": 5000,
    "RecoverS": 12,
    "SessionS": 5,
}
EXIT_HELD: typing.Final = 0
EXIT_BROKEN: typing.Final = 1
EXIT_FAILED: typing.Final = 2


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port below the system's own range that is free on loopback."""
    while True:
        port = random.randrange(10_240, 32_768)
        if port in _given_ports:
            continue
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        _given_ports.add(port)
        return port


class Record:
    """What was sent, answered and run, with times since the start; thread-safe."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def add(self, who: str, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {who:10} {text}\n")
            self._file.flush()


class Run(typing.NamedTuple):
    """A request that a server began to run."""

    at: float
    server: str
    request: str
    tenant: str
    target: str
    body: bytes


Answer = typing.Callable[["Server", "Request", socket.socket], None]


class Request:
    """A request as a server read it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers: dict[str, str] = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.lower()] = value.strip()
        self.body = body

    @property
    def name(self) -> str:
        """The request's id."""
        return self.headers.get("x-request-id", "")


class Server:
    """A server of a service; one request on a channel, which it then closes.

    :param answer: writes the answer to a request that it runs.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        answer: Answer | None = None,
        port: int = 0,
        version: str = "v1",
        slots: int = 32,
    ) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.answer: Answer = answer or plain
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        # Each request that arrived, run or not: when, its id, and the gateway's socket.
        self.arrived: list[tuple[float, str]] = []
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self.port = port or free_port()
        self._listener = self._listen()

    def _listen(self) -> socket.socket:
        listener = socket.create_server(("127.0.0.1", self.port), backlog=256)
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return listener

    def row(self, **more: object) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "Service": self.service,
            "Addr": f"127.0.0.1:{self.port}",
            "Zone": "zone-a",
            "Version": self.version,
            "Slots": self.slots,
            "State": "ready",
            "ColdMs": 0,
            "Seq": 1,
            "born": self.born,
            **more,
        }

    def crash(self) -> None:
        """End like a killed process: the port refuses, all channels are reset."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            conns, self._open = self._open, set()
        for conn in conns:
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.record.add(self.name, "crashed")

    def start_again(self) -> None:
        """Start again under the same id, as a new lifetime."""
        self.born = int(time.time() * 1000)
        self._listener = self._listen()
        self.record.add(self.name, f"started again, born {self.born}")

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                self._open.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        try:
            req = read_request(conn)
            if req is not None:
                self._run(req, conn)
        except OSError:
            pass
        finally:
            with self._lock:
                self._open.discard(conn)
            conn.close()

    def _run(self, req: Request, conn: socket.socket) -> None:
        if req.target == "/health":
            head = f"X-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n"
            conn.sendall(b"HTTP/1.1 200 OK\r\n" + head.encode())
            return
        self.arrived.append((self.record.now(), req.name))
        wanted = req.headers.get("x-expect-instance", self.name)
        if wanted != self.name:
            self.record.add(self.name, f"421 {req.name}")
            conn.sendall(answer_head(req, 421, 0, stamp=False, not_run=True))
            return
        self.runs.append(
            Run(
                self.record.now(),
                self.name,
                req.name,
                req.headers.get("x-tenant", ""),
                f"{req.method} {req.target}",
                req.body,
            )
        )
        self.record.add(self.name, f"runs {req.name} {req.method} {req.target}")
        self.answer(self, req, conn)


def read_request(conn: socket.socket) -> Request | None:
    """Read a request with a length, or none."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = conn.recv(65536)
        if not more:
            return None
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    req = Request(head, b"")
    length = int(req.headers.get("content-length", "0"))
    while len(body) < length:
        more = conn.recv(65536)
        if not more:
            return None
        body += more
    req.body = body
    return req


def answer_head(
    req: Request,
    status: int,
    length: int | None,
    stamp: bool = True,
    not_run: bool = False,
    **more: str,
) -> bytes:
    """Build the head of an answer."""
    headers = {"X-Request-Id": req.name}
    if stamp:
        headers["X-Server-Stamp"] = STAMP
    if not_run:
        headers["X-Not-Run"] = "1"
    if length is not None:
        headers["Content-Length"] = str(length)
    headers.update({name.replace("_", "-"): value for name, value in more.items()})
    lines = [f"HTTP/1.1 {status} Some", *(f"{n}: {v}" for n, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def plain(server: Server, req: Request, conn: socket.socket) -> None:
    """Answer with a short body."""
    body = f"{server.name} ran {req.name}".encode()
    sent = b"" if req.method == "HEAD" else body
    conn.sendall(answer_head(req, 200, len(body)) + sent)


class Gateway:
    """A gateway process, and the relay between it and the store."""

    def __init__(self, folder: pathlib.Path, name: str, ip: str, store: int) -> None:
        self.name = name
        self.ip = ip
        self.zone = "zone-a"
        self.relay = cutproxy.CutProxy(store)
        self.port = free_port()
        self.ready_port = free_port()
        self.mesh_port = free_port()
        self.metrics_port = 0
        self.memory_mb = 300
        self.max_fds = 4200
        self.contracts: list[str] = ["base"]
        self.bounds: dict[str, float] = dict(BOUNDS)
        self.bootstrap = False
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = folder
        self.log = folder / f"{name}.log"

    def write_settings(self) -> pathlib.Path:
        """Write the settings file, as the platform does."""
        lines = [
            f'Node = "{self.name}"',
            'Role = "gateway"',
            'Class = "front"',
            'Serves = ["front"]',
            f'Ip = "{self.ip}"',
            f'Zone = "{self.zone}"',
            'Region = "region-a"',
            f"PortRange = [{self.mesh_port},{self.mesh_port}]",
            f"Bootstrap = {str(self.bootstrap).lower()}",
            f"Contracts = {json.dumps(self.contracts)}",
            "[Zones]",
            f'{self.zone} = "region-a"',
            "[Listen]",
            f'Front = "{self.ip}:{self.port}"',
            f'Ready = "{self.ip}:{self.ready_port}"',
            "[Limits]",
            "CpuShare = 0.817",
            "Cores = 1",
            f"MemoryMb = {self.memory_mb}",
            f"MaxFds = {self.max_fds}",
            "LinkMbps = 1000.0",
            "[TimingBounds]",
            *(f"{name} = {value}" for name, value in self.bounds.items()),
            "[Provider]",
            f'Addr = "127.0.0.1:{self.relay.port}"',
        ]
        path = self._folder / f"{self.name}.toml"
        path.write_text("\n".join([*lines, ""]))
        return path

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}",
                    "GAPROCK_SETTINGS": str(self.write_settings()),
                },
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Whether it tells the platform that it is ready."""
        return ports.is_ready(self.ip, self.ready_port)

    def memory_mb_used(self) -> tuple[float, float]:
        """Return its resident memory now and at its peak, in MB."""
        assert self.process is not None
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        found = dict(line.partition(":")[::2] for line in text.splitlines())
        return (
            int(found["VmRSS"].split()[0]) / 1024,
            int(found["VmHWM"].split()[0]) / 1024,
        )


class Bed:
    """The store, the servers and the gateways of one run."""

    def __init__(self, folder: pathlib.Path, gateways: int = 1) -> None:
        self.record = Record(folder)
        self.store = metastore.MetaStoreFake()
        self.store.now_ms = lambda: int(time.monotonic() * 1000)
        self.servers: dict[str, Server] = {}
        self._temporary = tempfile.TemporaryDirectory()
        logs = pathlib.Path(os.environ.get("LOGS") or self._temporary.name)
        logs.mkdir(parents=True, exist_ok=True)
        net = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.gateways = [
            Gateway(logs, f"g{n}", f"{net}.{n}", self.store.port)
            for n in range(1, gateways + 1)
        ]

    def __enter__(self) -> "Bed":
        self.store.start()
        return self

    def __exit__(self, *exc: object) -> None:
        for gateway in self.gateways:
            gateway.end()
            gateway.relay.stop()
        for server in self.servers.values():
            server.crash()
        self.store.stop()
        self._temporary.cleanup()

    def add(self, name: str, service: str, **more: typing.Any) -> Server:
        """Start a server and write its entry."""
        server = Server(self.record, name, service, **more)
        self.servers[name] = server
        self.store.put("servers", name, server.row())
        return server

    def start_gateways(self, bootstrap: bool = True) -> None:
        """Start all gateways, and wait until they are ready."""
        for gateway in self.gateways:
            gateway.bootstrap = bootstrap
            gateway.start()
        for gateway in self.gateways:
            wait_until(gateway.is_ready, f"{gateway.name} is ready")
            gateway.bootstrap = False


def wait_until(
    holds: typing.Callable[[], object], what: str, longest_s: float = 15.0
) -> None:
    """Wait until something holds.

    :raises RuntimeError: when it does not in time.
    """
    until = time.monotonic() + longest_s
    while not holds():
        if time.monotonic() > until:
            raise RuntimeError(f"not in time: {what}")
        time.sleep(0.02)


def route(prefix: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Build a route of a configuration."""
    return {
        "Name": f"route{prefix.replace('/', '-')}",
        "Host": HOST,
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": 4000,
        "GoalMs": 400,
        "GapTargetMs": 1200,
        "Priority": 2,
        "Service": service,
        "Attempts": 3,
        **more,
    }


def config(version: int, **more: object) -> dict[str, object]:
    """Build a configuration with a route of each kind."""
    return {
        "Version": version,
        "Routes": [
            route("/gen/", "streaming", "llm", TimeoutMs=20000, GoalMs=2000),
            route("/safe/", "safe", "app"),
            route("/unsafe/", "unsafe", "app"),
        ],
        "Services": [
            {"Name": "llm", "HealthPath": "/health"},
            {"Name": "app", "HealthPath": "/health"},
        ],
        "Limits": {
            "HeaderBytes": 16384,
            "BodyBytes": 4194304,
            "HeaderMs": 5000,
            "IdleMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
        **more,
    }


def new_id() -> str:
    """Return the id of a new request."""
    return uuid.uuid4().hex[:16]


def request(
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str | None] | None = None,
) -> bytes:
    """Build a client's request; a header of ``None`` is left out."""
    found: dict[str, str | None] = {
        "Host": HOST,
        "X-Request-Id": new_id(),
        "X-Deadline-Ms": "4000",
        "Authorization": f"Bearer {KEY}",
    }
    if body or method in ("POST", "PUT"):
        found["Content-Length"] = str(len(body))
    found.update(headers or {})
    lines = [f"{n}: {v}" for n, v in found.items() if v is not None]
    start = f"{method} {target} HTTP/1.1"
    return "\r\n".join([start, *lines, "", ""]).encode("latin-1") + body


def read_answer(sock: socket.socket) -> tuple[int, bytes, bool]:
    """Read one answer of a kept channel.

    :returns: the status, the body, and whether the channel stays open.
    :raises OSError: when the channel ends, or bytes come that are no answer.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            raise ConnectionError("the channel ended")
        data += more
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    if not lines[0].startswith("HTTP/1.1 "):
        raise ConnectionError(f"no answer in the protocol: {data[:60]!r}")
    status = int(lines[0].split(" ")[1])
    pairs = [line.partition(":") for line in lines[1:]]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        more = sock.recv(65536)
        if not more:
            raise ConnectionError("the answer broke off")
        rest += more
    is_kept = headers.get("connection", "").lower() != "close"
    return status, rest, is_kept


def guarded(main: typing.Callable[[], int]) -> int:
    """Run a case; one that cannot run, or is stopped, ends with ``EXIT_FAILED``."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_FAILED))
    try:
        return main()
    except Exception as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        return EXIT_FAILED
