"""A small site for the scripts of the review: store, gateways, servers, requesters.

The store and the servers are the project's stand-ins.  The gateways are the program of
the deploy file, each a process on a loopback address of its own.
"""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import types
import typing

from gaprock.test import ports
from gaprock.test.fakes import backend, metastore

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
HOST: typing.Final = "site.example"
KEY: typing.Final = "a-key-of-tenant-t1"
READY_WAIT_S: typing.Final = 20.0


class Record:
    """The lines of ``record.txt``: what was sent, answered, run and done."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w")
        self._lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds since the beginning."""
        return time.monotonic() - self._began

    def add(self, who: str, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {who} {text}\n")
            self._file.flush()


class Gateway:
    """A gateway process of a site."""

    def __init__(
        self,
        name: str,
        ip: str,
        store_port: int,
        folder: pathlib.Path,
        memory_mb: int,
        settings: str = "",
    ) -> None:
        self.name, self.ip, self.memory_mb = name, ip, memory_mb
        self.port, self.ready_port = ports.free_port(), ports.free_port()
        mesh_port = ports.free_port()
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._path.write_text(
            f'Node = "{name}"\nRole = "gateway"\nClass = "front"\n'
            f'Serves = ["front"]\nIp = "{ip}"\nZone = "z1"\nRegion = "r1"\n'
            f"PortRange = [{mesh_port}, {mesh_port + 3}]\nBootstrap = false\n"
            'Contracts = ["base", "drain", "config", "cost", "retry", "recover", '
            '"engine", "stream", "tenants", "platform", "rollout"]\n'
            '[Zones]\nz1 = "r1"\n'
            f'[Listen]\nFront = "{ip}:{self.port}"\nReady = "{ip}:{self.ready_port}"\n'
            f"[Limits]\nCpuShare = 0.817\nCores = 1\nMemoryMb = {memory_mb}\n"
            "MaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n"
            "[TimingBounds]\nContactMs = 3000\nDrainMs = 2000\nGraceS = 8\n"
            "LossSlackMs = 200\nConfigMs = 2000\nBudgetRatio = 0.9\n"
            "BudgetWindowS = 10\nRetrySlack = 54\nCanaryShare = 0.15\n"
            "CanarySlack = 30\nRollbackMs = 5000\nSessionS = 5\n"
            f'[Provider]\nAddr = "127.0.0.1:{store_port}"\nform = "table"\n{settings}'
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program of the deploy file."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GAPROCK_SETTINGS": str(self._path),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gaprock.gateway_main"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def memory_now_mb(self) -> float:
        """Return the resident memory of the process."""
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1024 / 1024

    def is_ready(self) -> bool:
        """Whether it answers the platform's question with 200."""
        try:
            with socket.create_connection((self.ip, self.ready_port), 1.0) as sock:
                sock.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in sock.recv(64)
        except OSError:
            return False


def end_on_sigterm() -> None:
    """Have SIGTERM end the script in order, so that it ends its processes."""

    def end(number: int, frame: types.FrameType | None) -> None:
        sys.exit(2)

    signal.signal(signal.SIGTERM, end)


def wait_ready(gateways: list[Gateway]) -> bool:
    """Wait until all gateways are ready."""
    until = time.monotonic() + READY_WAIT_S
    while time.monotonic() < until:
        if all(gateway.is_ready() for gateway in gateways):
            return True
        time.sleep(0.1)
    return False


def addresses(count: int) -> list[str]:
    """Return loopback addresses that no other run on this machine uses."""
    net = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
    return [f"{net}.{number}" for number in range(1, count + 1)]


def store() -> metastore.MetaStoreFake:
    """Start the platform's store, with a steady clock."""
    made = metastore.MetaStoreFake()
    made.now_ms = lambda: int(time.monotonic() * 1000)
    made.start()
    return made


def config(routes: list[dict[str, object]], services: list[str]) -> dict[str, object]:
    """Return a configuration with one tenant."""
    return {
        "Version": 7,
        "Routes": [{"Host": HOST, "Priority": 2, **route} for route in routes],
        "Services": [{"Name": name} for name in services],
        "Limits": {
            "HeaderBytes": 16384,
            "BodyBytes": 4194304,
            "HeaderMs": 5000,
            "IdleMs": 15000,
        },
        "Tenants": [{"Name": "t1", "ApiKeys": [KEY]}],
    }


def server_row(service: str, port: int, slots: int) -> dict[str, object]:
    """Return a server's row."""
    return {
        "Service": service,
        "Addr": f"127.0.0.1:{port}",
        "Zone": "z1",
        "Version": "v1",
        "Slots": slots,
        "State": "ready",
        "ColdMs": 0,
        "Seq": 1,
    }


class Channel:
    """A requester's channel to a gateway, kept for many requests."""

    def __init__(self, gateway: Gateway) -> None:
        self.sock = socket.create_connection((gateway.ip, gateway.port), 1.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._data = b""

    def send(
        self, method: str, path: str, request: str, body: bytes, wait_ms: int
    ) -> None:
        """Send a request."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
            f"X-Deadline-Ms: {wait_ms}\r\nAuthorization: Bearer {KEY}\r\n"
        )
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.sock.sendall(head.encode() + b"\r\n" + body)

    def answer(self, wait_s: float) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body of an answer with a length.

        :raises OSError: when the channel ended before the answer was whole.
        """
        self.sock.settimeout(wait_s)
        while b"\r\n\r\n" not in self._data:
            self._more()
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = [line.partition(":") for line in lines]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        size = int(headers.get("content-length", "0"))
        while len(self._data) < size:
            self._more()
        body, self._data = self._data[:size], self._data[size:]
        return int(first.split(" ")[1]), headers, body

    def stream(self, wait_s: float) -> tuple[int, list[bytes], bool]:
        """Return status and events of a stream in chunks, and whether it is complete.

        :raises OSError: when the channel ended before the head was whole.
        """
        self.sock.settimeout(wait_s)
        while b"\r\n\r\n" not in self._data:
            self._more()
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        if b"chunked" not in head.lower():
            found = re.search(rb"content-length: *([0-9]+)", head.lower())
            size = int(found.group(1)) if found else 0
            while len(self._data) < size:
                self._more()
            self._data = self._data[size:]
            return status, [], True
        body = b""
        while True:
            try:
                while b"\r\n" not in self._data:
                    self._more()
                line, _, rest = self._data.partition(b"\r\n")
                size = int(line, 16)
                while len(rest) < size + 2:
                    self._more()
                    _, _, rest = self._data.partition(b"\r\n")
            except OSError:
                return status, body.split(b"\n\n")[:-1], False
            body, self._data = body + rest[:size], rest[size + 2 :]
            if not size:
                return status, body.split(b"\n\n")[:-1], True

    def _more(self) -> None:
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("the channel ended")
        self._data += data

    def close(self) -> None:
        """Close the channel."""
        self.sock.close()


def whole_answer(seen: backend.ReceivedRequest, body: bytes) -> bytes:
    """Return a server's whole answer."""
    return backend.head(seen, body=body) + body


def dumps(value: object) -> str:
    """Return a value as JSON, for the record."""
    return json.dumps(value, sort_keys=True)
