"""Memory of a gateway and delay of fast callers beside slow ones.

    python -m bench.slowreaders [--slow 200] [--kinds head,body,stream] [--off]

The gateway is the real program with the memory limit of the smallest machine; the store
and the endpoints are stand-ins in this process.  Slow callers send a head or a body, or
read a stream, at one byte a second.  At the end, those that read a stream read the rest
of it at once, and it must be whole or have an evident end.
"""

import argparse
import os
import pathlib
import socket
import statistics
import tempfile
import threading
import time
import typing

from gaprock.test import (
    gatewaysite,
    soak_callers,
    soak_fleet,
    soak_gateway,
    soak_ledger,
)

MEMORY_MB: typing.Final = 128
BUFFER: typing.Final = 4096
FAST: typing.Final = 4
# Size of an event; larger ones would measure the stand-ins.
EVENT_BYTES: typing.Final = 20_000
# Time in which slow callers connect and streams begin.
SETTLE_S: typing.Final = 4.0
CONTRACT: typing.Final = '["pressure"]'
READ_S: typing.Final = 20.0


class SlowCaller:
    """A slow caller; reads the rest of its answer at once in the end."""

    def __init__(self, gateway: soak_gateway.GatewayProcess, kind: str, n: int) -> None:
        self.kind = kind
        self.request = f"{soak_fleet.LARGE}{n}"
        self.ended = ""
        path = "gen" if kind == "stream" else "safe"
        data = soak_callers.raw_request(path, self.request, gatewaysite.KEY)
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        self.sock.settimeout(READ_S)
        self.sock.connect((gateway.ip, gateway.port))
        sent = {"head": 10, "body": data.index(b"\r\n\r\n") + 50, "stream": len(data)}
        self.sock.sendall(data[: sent[kind]])
        self._rest = data[sent[kind] :]
        self._data = b""

    def step(self) -> None:
        """Send or read one byte."""
        try:
            if self.kind != "stream":
                self.sock.sendall(self._rest[:1])
                self._rest = self._rest[1:]
            else:
                self._data += self.sock.recv(1)
        except OSError as exc:
            self.ended = type(exc).__name__

    def finish(self) -> str:
        """Read the rest of a stream; return how it ended."""
        try:
            while more := self.sock.recv(1 << 16):
                self._data += more
        except OSError as exc:
            self.ended = type(exc).__name__
        answer = gatewaysite.Answer(self._data)
        expected = soak_fleet.events_of(self.request)
        ids = [int(n) for n in soak_callers.EVENT_ID.findall(answer.body)]
        if ids != list(range(1, len(ids) + 1)):
            return "wrong"
        if answer.whole:
            is_all = len(ids) == expected and answer.status == 200
            size = answer.body.count(b"x" * len(soak_fleet.PADDING))
            if answer.status == 200:
                return "whole" if is_all and size == expected else "wrong"
            return f"status {answer.status}"
        return "cut"


def call_fast(
    fleet: soak_fleet.Fleet,
    times: list[float],
    failed: list[int],
    stopped: threading.Event,
) -> None:
    """Send small requests one after the other."""
    gateway = fleet.gateways[0]
    number = threading.get_ident()
    while not stopped.wait(0.05):
        number += 1
        data = soak_callers.raw_request("safe", f"{number:x}", gatewaysite.KEY)
        start = time.monotonic()
        try:
            with socket.create_connection((gateway.ip, gateway.port), 10) as sock:
                sock.sendall(data)
                answer = gatewaysite.Answer(gatewaysite.read_all(sock))
        except (OSError, AssertionError):
            failed.append(0)
            continue
        if answer.status == 200 and answer.whole:
            times.append(time.monotonic() - start)
        else:
            failed.append(answer.status)


def measure(fleet: soak_fleet.Fleet, seconds: float) -> str:
    """Run fast callers for a while and return their figures."""
    times: list[float] = []
    failed: list[int] = []
    stopped = threading.Event()
    args = (fleet, times, failed, stopped)
    begun_s = cpu_s(fleet.gateways[0])
    threads = [threading.Thread(target=call_fast, args=args) for _ in range(FAST)]
    for thread in threads:
        thread.start()
    time.sleep(seconds)
    stopped.set()
    for thread in threads:
        thread.join()
    used_s = cpu_s(fleet.gateways[0]) - begun_s
    if len(times) < 20:
        return f"{len(times)} answered, {len(failed)} failed"
    cuts = statistics.quantiles(times, n=100)
    return (
        f"{len(times)} answered, {len(failed)} failed, median"
        f" {1000 * cuts[49]:.1f} ms, p95 {1000 * cuts[94]:.1f} ms,"
        f" {1000 * used_s / len(times):.1f} ms CPU each"
    )


def cpu_s(gateway: soak_gateway.GatewayProcess) -> float:
    """Return the CPU time that a process has used."""
    assert gateway.process is not None
    text = pathlib.Path(f"/proc/{gateway.process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_mb(gateway: soak_gateway.GatewayProcess) -> float:
    """Return the peak of a process's resident memory."""
    assert gateway.process is not None
    text = pathlib.Path(f"/proc/{gateway.process.pid}/status").read_text()
    return int(text.split("VmHWM:")[1].split()[0]) / 1024


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--slow", type=int, default=200)
    parser.add_argument("--kinds", default="head,body,stream")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--off", action="store_true", help="do not bound held bytes")
    args = parser.parse_args()
    kinds = args.kinds.split(",")
    soak_fleet.PADDING = b"x" * EVENT_BYTES  # type: ignore[misc]
    logs = pathlib.Path(tempfile.mkdtemp(prefix="slowreaders-"))
    fleet = soak_fleet.Fleet(soak_ledger.Ledger(), logs, 1)
    gateway = fleet.gateways[0]
    gateway.memory_mb = MEMORY_MB
    gateway.contracts = "[]" if args.off else CONTRACT
    with fleet:
        if not fleet.wait_ready():
            raise SystemExit(f"not ready, logs in {logs}")
        time.sleep(1.0)
        print(f"alone: {measure(fleet, args.seconds)}; {peak_mb(gateway):.0f} MB peak")
        slow = [SlowCaller(gateway, kinds[n % len(kinds)], n) for n in range(args.slow)]
        stopped = threading.Event()

        def trickle() -> None:
            while not stopped.wait(1.0):
                for one in slow:
                    if not one.ended:
                        one.step()

        thread = threading.Thread(target=trickle, daemon=True)
        thread.start()
        time.sleep(SETTLE_S)
        print(f"beside {args.slow} slow: {measure(fleet, args.seconds)}")
        ready = gateway.is_ready()
        print(f"{peak_mb(gateway):.0f} MB peak, ready {ready}")
        stopped.set()
        thread.join()
        ends: dict[str, int] = {}
        for one in slow:
            end = one.finish() if one.kind == "stream" else one.kind
            ends[end] = ends.get(end, 0) + 1
            one.sock.close()
        print(f"slow callers: {ends}")
        time.sleep(1.0)
        print(f"alone again: {measure(fleet, args.seconds)}")
    print(f"logs in {logs}, load {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    main()
