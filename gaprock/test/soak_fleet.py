"""The processes and stand-ins of a soak: gateways, store, endpoints behind relays.

Gateways are the real program, each on a loopback address of its own.  The store and the
endpoints are stand-ins in the soak's process; each gateway has a relay before the store
and each endpoint one before itself, so that faults come from outside of all of them.
"""

import hashlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import typing

from gaprock.test import gatewaysite, ports, soak_ledger
from gaprock.test.fakes import backend, cutproxy, metastore

DRAIN_S: typing.Final = 2.0
CONFIG_S: typing.Final = 2.0
# A hall that is emptied gets nothing more after this time, seconds.
EMPTIED_S: typing.Final = 2.0
# Endpoints that start during the run are not warm for so long, seconds, and bear so
# many requests a second; one endpoint in so many stands in the second hall.
WARM_UP_S: typing.Final = 2.0
BEARS_PER_S: typing.Final = 10.0
HALLS: typing.Final = ("h1", "h2")
SECOND_HALL_EVERY: typing.Final = 3
# As on the users' sites: a stop takes streams for 2.8 s, and the longest one of a soak
# (LONG_EVENT_S) ends before the rest of this is over.
GRACE_S: typing.Final = 8.0
# Wait for a process that was told to stop, and for a ready one, seconds.
STOP_WAIT_S: typing.Final = 20.0
READY_WAIT_S: typing.Final = 30.0
# Longest that a route holds a request, milliseconds.
ROUTE_MS: typing.Final = 4500
MAX_EVENTS: typing.Final = 12
# Pause between two events, and that of one stream in so many, seconds: some outlast the
# first part of a planned stop.
EVENT_S: typing.Final = 0.02
LONG_EVENT_S: typing.Final = 0.3
LONG_EVERY: typing.Final = 6
SLOTS: typing.Final = 16
# A request with this body ends the endpoint that runs it, which is back under another
# id after so long, seconds.
POISON: typing.Final = b"poison"
BACK_S: typing.Final = 1.0


def events_of(request: str) -> int:
    """Give the length of a request's stream; every endpoint agrees on it."""
    return 1 + hashlib.sha256(request.encode()).digest()[0] % MAX_EVENTS


def pause_of(request: str) -> float:
    """Give the pause between the events of a request's stream."""
    mark = hashlib.sha256(request.encode()).digest()[1]
    return EVENT_S if mark % LONG_EVERY else LONG_EVENT_S


def body_of(request: str) -> bytes:
    """Give a request's body, so that an endpoint can tell a changed one."""
    return f"body of {request}".encode()


def answer_of(request: str) -> bytes:
    """Give a whole answer to a request."""
    return f"answer to {request}".encode()


class Endpoint:
    """A stand-in behind a relay."""

    def __init__(
        self,
        name: str,
        service: str,
        ledger: soak_ledger.Ledger,
        hall: str,
        warm_at: float,
    ) -> None:
        self.name = name
        self.hall = hall
        self.warm_at = warm_at
        self.service = service
        # Shares of the requests that it runs and fails, and that it does not run.
        self.failing = 0.0
        self.refusing = 0.0
        self.slow_s = 0.0
        # The rate limit that it names, empty for none; held while it does.
        self.limit = ""
        self.limit_lock = threading.Lock()
        # Whether its answers say that it leaves, and the seconds of the backoff with
        # which it sheds all load; 0 while it does not.
        self.says_leaving = False
        self.backoff_s = 0.0
        self._ledger = ledger
        self.fake = backend.Backend(name)
        self.fake.default_script = self._answer
        self.relay = cutproxy.CutProxy(self.fake.port)
        self.row_s = "ready"
        # Called when a request ends it.
        self.on_poison: typing.Callable[[], object] = self.stop
        self.born = int(time.time() * 1000)

    def row(self) -> dict[str, object]:
        """Write its row of the store."""
        return {
            "Service": self.service,
            "Addr": f"127.0.0.1:{self.relay.port}",
            "Zone": self.hall,
            "Version": "v1",
            "Slots": SLOTS,
            "State": self.row_s,
            "ColdMs": max(0.0, self.warm_at - self._ledger.now()) * 1000,
            "born": self.born,
        }

    def stop(self) -> None:
        """End at once, as a crash does."""
        self.fake.stop()
        self.relay.stop()

    def _answer(
        self, fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        if seen.headers.get("x-expect-instance") != self.name:
            backend.refuse(421)(fake, seen, conn)
            return
        request = seen.headers.get("x-request-id", "")
        self._ledger.note_arrival(self.name, request)
        if seen.body == POISON:
            self._ledger.poisoned.append((self._ledger.now(), request))
            self.on_poison()
            return
        if self.says_leaving or self.backoff_s:
            now, backoff_s = self._ledger.now(), self.backoff_s
            self._ledger.words.append(
                soak_ledger.Word(self.name, request, now, backoff_s)
            )
            if backoff_s:
                self._shed(seen, conn, backoff_s)
                return
        kind = seen.target.split("/")[1]
        mark = hashlib.sha256(f"{request}{self.name}".encode()).digest()
        if mark[0] < 256 * self.refusing:
            backend.refuse(503)(fake, seen, conn)
            return
        run = soak_ledger.Run(
            request,
            kind,
            self.name,
            self._ledger.now(),
            seen.headers.get("x-tenant", ""),
            "authorization" in seen.headers,
            seen.body == body_of(request),
        )
        self._ledger.add(run)
        time.sleep(self.slow_s)
        if mark[1] < 256 * self.failing:
            self._fail(seen, conn, mark[2])
        elif kind == "gen":
            self._stream(seen, conn, request, events_of(request), whole=True)
        else:
            body = answer_of(request)
            head = backend.head(seen, body=body, **self._says())
            conn.sendall(head + body)

    def _says(self) -> dict[str, typing.Any]:
        """Give what its answers say of it."""
        leaving = "1" if self.says_leaving else ""
        return {"Server_Limit": self.limit, "Server_Leaving": leaving}

    def _shed(
        self, seen: backend.ReceivedRequest, conn: socket.socket, backoff_s: float
    ) -> None:
        refused = {"X_Not_Run": "1", "X_Server_Stamp": ""}
        wait = f"{backoff_s:.3f}"
        conn.sendall(backend.head(seen, 503, b"", Retry_After=wait, **refused))

    def _fail(
        self, seen: backend.ReceivedRequest, conn: socket.socket, mark: int
    ) -> None:
        if mark < 100:
            backend.fail()(self.fake, seen, conn)
        elif mark < 180 and seen.target.startswith("/gen/"):
            request = seen.headers.get("x-request-id", "")
            self._stream(seen, conn, request, events_of(request) // 2, whole=False)
        # Otherwise the connection is closed without a word.

    def _stream(
        self,
        seen: backend.ReceivedRequest,
        conn: socket.socket,
        request: str,
        last: int,
        whole: bool,
    ) -> None:
        mark = hashlib.sha256(f"{request}{seen.headers.get('x-model')}".encode())
        start = backend.head(
            seen,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
            X_Confidence=str(mark.digest()[0] % 101),
            **self._says(),
        )
        conn.sendall(start)
        for number in range(int(seen.headers.get("last-event-id", "0")) + 1, last + 1):
            conn.sendall(backend.chunk(backend.event(number, request)))
            time.sleep(pause_of(request))
        if whole:
            conn.sendall(b"0\r\n\r\n")


class GatewayProcess:
    """A gateway as a process of its own, and its relay before the store."""

    def __init__(self, name: str, ip: str, store_port: int, logs: pathlib.Path):
        self.name = name
        self.ip = ip
        self.life = 0
        self.store_relay = cutproxy.CutProxy(store_port)
        self._logs = logs
        self.port = ports.free_port()
        self.ready_port = ports.free_port()
        self.mesh_port = ports.free_port()
        self.process: subprocess.Popen[bytes] | None = None
        # Held while the process is stopped and started.
        self.lock = threading.Lock()

    @property
    def label(self) -> str:
        """The name of the process with its life."""
        return f"{self.name}#{self.life}"

    @property
    def log(self) -> pathlib.Path:
        """Where it writes."""
        return self._logs / f"{self.name}.log"

    def write_settings(self, grace_s: float = GRACE_S) -> pathlib.Path:
        """Write the settings file as the platform does."""
        path = self._logs / f"{self.name}.toml"
        path.write_text(
            f'Node = "{self.name}"\nIp = "{self.ip}"\nZone = "h1"\n'
            f"PortRange = [{self.mesh_port}, {self.mesh_port}]\n"
            f'[Listen]\nFront = "{self.ip}:{self.port}"\n'
            f'Ready = "{self.ip}:{self.ready_port}"\n'
            f'[Provider]\nAddr = "127.0.0.1:{self.store_relay.port}"\n'
            f"[TimingBounds]\nDrainMs = {DRAIN_S * 1000:.0f}\nGraceS = {grace_s}\n"
            "BudgetRatio = 0.9\nRetrySlack = 50\nCanaryShare = 0.15\n"
            f"EvacMs = {EMPTIED_S * 1000:.0f}\n"
        )
        return path

    def start(self) -> None:
        """Start the program."""
        path = self.write_settings()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gaprock.gateway_main"],
                stdout=log,
                stderr=log,
                env={**os.environ, "GAPROCK_SETTINGS": str(path)},
            )
        self.life += 1

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def exit_code(self) -> int | None:
        """Give the code that the process ended with; ``None`` while it runs."""
        return self.process.poll() if self.process is not None else None

    def end(self, number: int) -> None:
        """Send a signal and wait for the end; a process that hangs is killed."""
        self.signal(number)
        assert self.process is not None
        try:
            self.process.wait(STOP_WAIT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Ask what the platform's balancer asks."""
        try:
            with socket.create_connection((self.ip, self.ready_port), 1.0) as sock:
                sock.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in sock.recv(64)
        except OSError:
            return False


class Fleet:
    """All of it; use it as a context."""

    def __init__(
        self, ledger: soak_ledger.Ledger, logs: pathlib.Path, gateways: int
    ) -> None:
        self.ledger = ledger
        self.store = metastore.MetaStoreFake()
        self.store.now_ms = lambda: int(time.monotonic() * 1000)
        self.endpoints: dict[str, Endpoint] = {}
        self.config_number = 0
        self.keys = [gatewaysite.KEY, "key-1", "key-2", "key-3"]
        self._made = 0
        # Endpoints that start from then on do so while there is traffic.
        self._is_started = False
        # Loopback addresses of this run; another run beside it has others.
        net = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.gateways = [
            GatewayProcess(f"g{n}", f"{net}.{n}", self.store.port, logs)
            for n in range(1, gateways + 1)
        ]

    def __enter__(self) -> "Fleet":
        self.store.start()
        self.publish()
        for service in ("llm", "app"):
            for _ in range(3):
                self.add_endpoint(service)
        self._is_started = True
        for gateway in self.gateways:
            gateway.start()
        return self

    def __exit__(self, *exc: object) -> None:
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.end(signal.SIGKILL)
            gateway.store_relay.stop()
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.store.stop()

    def publish(self) -> None:
        """Write a newer configuration, as the operator does."""
        self.config_number += 3
        tenants = [{"Name": "ws", "ApiKeys": self.keys}]
        document = gatewaysite.config(self.config_number, Tenants=tenants)
        for item in typing.cast(list[dict[str, object]], document["Routes"]):
            item["TimeoutMs"] = ROUTE_MS
        for item in typing.cast(list[dict[str, object]], document["Services"]):
            item.update(WarmupS=WARM_UP_S, ColdPerS=BEARS_PER_S)
        self.store.put("op", "config", document)

    def add_key(self) -> str:
        """Write a configuration with a new key, and have callers use it."""
        key = f"key-{self.config_number}-new"
        # Callers that take it before it is published may be refused in that instant.
        self.keys.append(key)
        self.publish()
        self.ledger.added[key] = self.ledger.now()
        return key

    def add_endpoint(self, service: str) -> Endpoint:
        """Start an endpoint and write its row."""
        self._made += 1
        hall = HALLS[self._made % SECOND_HALL_EVERY == 0]
        now = self.ledger.now()
        warm_at = now + WARM_UP_S if self._is_started else now
        name = f"e{self._made}"
        self.ledger.add_endpoint(name, hall, now, warm_at)
        endpoint = Endpoint(name, service, self.ledger, hall, warm_at)
        endpoint.on_poison = lambda: self._end(endpoint)
        self.endpoints[endpoint.name] = endpoint
        self.write_row(endpoint)
        return endpoint

    def _end(self, endpoint: Endpoint) -> None:
        """Have a request end an endpoint; another one comes a moment later."""
        if self.endpoints.pop(endpoint.name, None) is None:
            return
        start = self.ledger.now()
        all_ = soak_ledger.ALL
        mark = soak_ledger.Disturbance("poison", all_, False, start, start + BACK_S)
        self.ledger.add(mark)
        endpoint.stop()

        def back() -> None:
            self.add_endpoint(endpoint.service)
            self.store.remove("servers", endpoint.name)

        timer = threading.Timer(BACK_S, back)
        timer.daemon = True
        timer.start()

    def write_row(self, endpoint: Endpoint) -> None:
        """Write an endpoint's row, as the endpoint does."""
        self.store.put("servers", endpoint.name, endpoint.row())

    def beat_row(self, endpoint: Endpoint) -> None:
        """Write the row of an endpoint that is still there, as its heartbeat does."""
        if endpoint.name in self.endpoints:
            self.write_row(endpoint)

    def write_odd_row(self, key: str, rng: random.Random) -> None:
        """Write a row that names no endpoint."""
        good: dict[str, object] = {
            "Service": "app",
            "Addr": "127.0.0.1:9",
            "Zone": "h1",
            "Version": "v1",
            "Slots": SLOTS,
            "State": "ready",
        }
        name = rng.choice(sorted(good))
        wrong: list[object] = [7.5, None, [], {"a": 1}]
        odd = rng.choice(wrong)
        self.store.put("servers", key, rng.choice([{**good, name: odd}, [], "odd"]))

    def heal(self) -> None:
        """End all disturbances."""
        self.store.faults.clear()
        for gateway in self.gateways:
            gateway.store_relay.heal()
        for endpoint in list(self.endpoints.values()):
            endpoint.relay.heal()
            endpoint.failing = endpoint.refusing = endpoint.slow_s = 0.0

    def wait_ready(self) -> bool:
        """Wait until every gateway is ready; a bounded time."""
        deadline = time.monotonic() + READY_WAIT_S
        while time.monotonic() < deadline:
            if all(gateway.is_ready() for gateway in self.gateways):
                return True
            time.sleep(0.1)
        return False
