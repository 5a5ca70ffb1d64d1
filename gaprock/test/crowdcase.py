"""A gateway process before a crowd, and what the system counts of it meanwhile."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

from gaprock.test import gatewaysite, ports
from gaprock.test.fakes import backend, metastore

# The machine's limits in the settings, and the crowd.
MEMORY_MB: typing.Final = 96
MAX_FDS: typing.Final = 700
CROWD: typing.Final = 200
# Strangers at the port of peers; and at an entry, with the memory that it may take.
STRANGERS: typing.Final = 60
ENTRY_CROWD: typing.Final = 300
ENTRY_MEMORY_MB: typing.Final = 128
# For how long the crowd sends before an ordinary request joins it, and after.
CROWD_S: typing.Final = 3.0
# Longest wait for an ordinary answer; a refused request is sent again.
ANSWER_WAIT_S: typing.Final = 30.0
BODY_BYTES: typing.Final = 4 * 1024 * 1024
LARGE_ANSWER: typing.Final = b"a" * 300_000
LIMITS: typing.Final = {
    "HeaderBytes": 16384,
    "BodyBytes": BODY_BYTES,
    "HeaderMs": 5000,
    "IdleMs": 15_000,
}


class Peak:
    """The most that a process used."""

    def __init__(self) -> None:
        self.memory_mb = 0.0
        self.resident_mb = 0.0
        self.descriptors = 0
        self.threads = 0

    def __repr__(self) -> str:
        return (
            f"<peak memory_mb={self.memory_mb:.0f} resident_mb={self.resident_mb:.0f} "
            f"descriptors={self.descriptors} threads={self.threads}>"
        )


def unread_bytes(port: int) -> int:
    """Return the bytes that the system holds unread for a port's connections."""
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_open = fields[3] != "0A"
        if is_open and int(fields[1].rpartition(":")[2], 16) == port:
            total += int(fields[4].rpartition(":")[2], 16)
    return total


class Watched:
    """A process of the system and what it used at most."""

    def __init__(
        self, process: subprocess.Popen[typing.Any], ports_: list[int]
    ) -> None:
        self.process = process
        self._ports = ports_
        self.peak = Peak()

    def look(self) -> None:
        """Update the peak."""
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            pages = int((folder / "statm").read_text().split()[1])
            resident_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1024 / 1024
            unread_mb = sum(map(unread_bytes, self._ports)) / 1024 / 1024
            peak = self.peak
            peak.resident_mb = max(peak.resident_mb, resident_mb)
            peak.memory_mb = max(peak.memory_mb, resident_mb + unread_mb)
            count = len(os.listdir(folder / "fd"))
            peak.descriptors = max(peak.descriptors, count)
            peak.threads = max(peak.threads, len(os.listdir(folder / "task")))

    def watch_for(self, seconds: float) -> None:
        """Watch it while a crowd sends."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.is_alive:
            self.look()
            time.sleep(0.05)

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self.process.poll() is None


class CrowdSite:
    """A gateway process with a store and an endpoint, as a context manager."""

    def __init__(
        self,
        logs: pathlib.Path,
        contracts: str,
        memory_mb: int = MEMORY_MB,
        max_fds: int = MAX_FDS,
    ) -> None:
        self._logs = logs
        self._stack = contextlib.ExitStack()
        self.store = metastore.MetaStoreFake()
        self.port, self.ready_port, self.mesh_port = (
            ports.free_port() for _ in range(3)
        )
        self.ip = f"127.{30 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"
        self._path = logs / "settings.toml"
        self._path.write_text(
            f'Node = "gateway-1"\nIp = "{self.ip}"\nZone = "h1"\n'
            f"Contracts = [{contracts}]\n"
            f"PortRange = [{self.mesh_port}, {self.mesh_port}]\n"
            f'[Listen]\nFront = "{self.ip}:{self.port}"\n'
            f'Ready = "{self.ip}:{self.ready_port}"\n'
            f'[Provider]\nAddr = "127.0.0.1:{self.store.port}"\n'
            f"[Limits]\nMemoryMb = {memory_mb}\nMaxFds = {max_fds}\n"
        )
        self.fake = backend.Backend("one")

    def __enter__(self) -> typing.Self:
        self.store.start()
        self._stack.callback(self.store.stop)
        self._stack.callback(self.fake.stop)
        routes = gatewaysite.config(1)["Routes"]
        assert isinstance(routes, list)
        routes.append(gatewaysite.route("/large/", "safe", "app"))
        self.fake.default_script = answer
        self.store.put(
            "op", "config", gatewaysite.config(1, Limits=LIMITS, Routes=routes)
        )
        row = {"Service": "app", "Addr": self.fake.address, "Zone": "h1"}
        more = {"Version": "v1", "Slots": 8, "State": "ready"}
        self.store.put("servers", "one", row | more)
        with (self._logs / "gateway.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "gaprock.gateway_main"],
                stdout=log,
                stderr=log,
                env={**os.environ, "GAPROCK_SETTINGS": str(self._path)},
            )
        self._stack.callback(end, process)
        listened = [self.port, self.ready_port, self.mesh_port]
        self.gateway = Watched(process, listened)
        gatewaysite.wait_until(self.is_ready, "ready")
        return self

    def __exit__(self, *exc: object) -> None:
        self._stack.close()

    def is_ready(self) -> bool:
        """Whether the gateway tells the load balancer that it is ready."""
        return ports.is_ready(self.ip, self.ready_port)

    def is_served(self) -> bool:
        """Whether an ordinary request with a small body is served at this try."""
        data = gatewaysite.build_request(
            "/safe/x", b"y" * 1000, "POST", X_Deadline_Ms="20000"
        )
        try:
            with socket.create_connection((self.ip, self.port), 20.0) as sock:
                sock.sendall(data)
                return gatewaysite.Answer(gatewaysite.read_all(sock)).status == 200
        except OSError:
            return False

    def wait_served(self) -> bool:
        """Send ordinary requests until one is served; return whether one was."""
        return self._wait(self.is_served)

    def wait_ready(self) -> bool:
        """Ask until the gateway is ready; return whether it was."""
        return self._wait(self.is_ready)

    def _wait(self, is_done: typing.Callable[[], bool]) -> bool:
        until = time.monotonic() + ANSWER_WAIT_S
        while time.monotonic() < until and self.gateway.is_alive:
            self.gateway.look()
            if is_done():
                return True
            time.sleep(0.1)
        return False


def answer(
    fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
) -> None:
    """Answer some requests with a large body."""
    if seen.target.startswith("/large/"):
        conn.sendall(backend.head(seen, body=LARGE_ANSWER) + LARGE_ANSWER)
    else:
        backend.answer(fake, seen, conn)


@contextlib.contextmanager
def crowd(
    address: tuple[str, int], pattern: str, count: int = CROWD
) -> typing.Iterator[None]:
    """Run a crowd before a port."""
    host, port = address
    process = subprocess.Popen(
        [sys.executable, "-m", "gaprock.test.crowds", host, str(port), pattern]
        + [str(count)],
        stdin=subprocess.PIPE,
    )
    try:
        yield
    finally:
        end(process)


def end(process: subprocess.Popen[typing.Any]) -> None:
    """Kill a process."""
    process.send_signal(signal.SIGKILL)
    process.wait()
    if process.stdin is not None:
        process.stdin.close()
