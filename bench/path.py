"""Measures the overhead of entry and agent: added time, processor time and memory.

    python -m bench.path

One entry, and agents with stand-in engines, each a process, on loopback.  Processor
time is that which the operating system accounts to the process.  Prints

* the added time of a complete answer, compared with calling the same stand-in directly,
  with one caller and half loaded;
* processor time per request and per streamed part, in entry and agent;
* memory per open stream;
* the cost of control without requests: processor time and memory of each daemon.

Not modelled: a network, TLS, engines whose parts differ in size.
"""

import pathlib
import tempfile
import threading
import time
import typing

import psutil

from bench import clients
from gaprock.test import processes

ENGINES: typing.Final = "abcd"
WHOLE_CALLS: typing.Final = 400
LOADED_CALLERS: typing.Final = 4
CPU_CALLS: typing.Final = 2000
CPU_CALLERS: typing.Final = 12
STREAMS: typing.Final = 80
STREAM_PARTS: typing.Final = 1500
PACED_STREAMS: typing.Final = 120
PACED_PARTS: typing.Final = 150
PACE_S: typing.Final = 0.033
OPEN_STREAMS: typing.Final = 200
IDLE_S: typing.Final = 10.0


class Meter:
    """Processor time and memory of a process."""

    def __init__(self, fleet: processes.Fleet, name: str) -> None:
        self._process = psutil.Process(fleet.processes[name].pid)
        self._began = self.cpu_s()

    def cpu_s(self) -> float:
        """Return the processor time so far, in seconds."""
        times = self._process.cpu_times()
        return float(times.user + times.system)

    def used_s(self) -> float:
        """Return the processor time since the last call, in seconds."""
        now = self.cpu_s()
        used, self._began = now - self._began, now
        return used

    def memory_mb(self) -> float:
        """Return the resident memory, in MB."""
        return float(self._process.memory_info().rss) / 1e6


def call_many(
    send: typing.Callable[[], object], callers: int, calls: int
) -> list[float]:
    """Make calls from several threads; return the duration of each in seconds."""
    times: list[float] = []

    def work() -> None:
        for _ in range(calls // callers):
            began_at = time.perf_counter()
            send()
            times.append(time.perf_counter() - began_at)

    threads = [threading.Thread(target=work) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return times


def show(name: str, value: float, unit: str) -> None:
    """Print a figure."""
    print(f"{name:52}{value:12.3f} {unit}")


def added_time(url: str, engine: str) -> None:
    """Compare complete answers through entry and agent with direct calls."""
    body = {**processes.chat(), "model": "small@1"}

    def through() -> None:
        assert processes.post(url, processes.CHAT, processes.chat()).status == 200

    def direct() -> None:
        assert processes.post(engine, processes.CHAT, body).status == 200

    for callers, label in ((1, "one caller"), (LOADED_CALLERS, "half loaded")):
        call_many(through, callers, 50)
        direct_times = call_many(direct, callers, WHOLE_CALLS)
        path = call_many(through, callers, WHOLE_CALLS)
        for share, point in ((0.5, "p50"), (0.99, "p99")):
            added_s = clients.percentile(path, share) - clients.percentile(
                direct_times, share
            )
            show(f"added time, {label}, {point}", added_s * 1000, "ms")


def cost_per_request(fleet: processes.Fleet, url: str) -> None:
    """Measure the processor time of complete answers."""
    meters = {name: Meter(fleet, name) for name in ("entry-0", *ENGINES)}
    body = processes.chat()
    began_at = time.time()
    call_many(lambda: processes.post(url, processes.CHAT, body), CPU_CALLERS, CPU_CALLS)
    took_s = time.time() - began_at
    used = {name: meter.used_s() for name, meter in meters.items()}
    agents = sum(used[name] for name in ENGINES)
    show("requests a second, saturated", CPU_CALLS / took_s, "1/s")
    show("entry: processor time per request", used["entry-0"] / CPU_CALLS * 1e3, "ms")
    show("entry: requests a second a core", CPU_CALLS / used["entry-0"], "1/s")
    show("agent: processor time per request", agents / CPU_CALLS * 1e3, "ms")


def read_stream(url: str, parts: int) -> int:
    """Read one stream; return its size in bytes."""
    body = processes.chat(stream=True, max_tokens=parts)
    resp = processes.post(url, processes.CHAT, body, stream=True)
    size = 0
    last = b""
    while data := resp.read1(1 << 16):
        size += len(data)
        last = data
    resp.release_conn()
    assert last.endswith(b"[DONE]\n\n"), last[-200:]
    return size


def cost_per_part(
    fleet: processes.Fleet, url: str, label: str, streams: int, parts_each: int
) -> None:
    """Measure the processor time of streamed parts."""
    meters = {name: Meter(fleet, name) for name in ("entry-0", *ENGINES)}
    began_at = time.time()
    call_many(lambda: read_stream(url, parts_each), streams, streams)
    took_s = time.time() - began_at
    parts = streams * parts_each
    used = {name: meter.used_s() for name, meter in meters.items()}
    agents = sum(used[name] for name in ENGINES)
    show(f"parts a second, {label}", parts / took_s, "1/s")
    show(
        f"entry: processor time per part, {label}", used["entry-0"] / parts * 1e6, "us"
    )
    show(f"entry: parts a second a core, {label}", parts / used["entry-0"], "1/s")
    show(f"agent: processor time per part, {label}", agents / parts * 1e6, "us")


def memory_per_stream(fleet: processes.Fleet, url: str) -> None:
    """Measure the memory of open streams whose callers do not read."""
    meters = {name: Meter(fleet, name) for name in ("entry-0", *ENGINES)}
    before = {name: meter.memory_mb() for name, meter in meters.items()}
    body = processes.chat(stream=True, max_tokens=3000)
    opened = [
        processes.post(url, processes.CHAT, body, stream=True)
        for _ in range(OPEN_STREAMS)
    ]
    time.sleep(1.0)
    after = {name: meter.memory_mb() for name, meter in meters.items()}
    for resp in opened:
        resp.close()
    entry = (after["entry-0"] - before["entry-0"]) / OPEN_STREAMS
    agents = sum(after[name] - before[name] for name in ENGINES) / OPEN_STREAMS
    show("entry: memory per open stream", entry * 1000, "kB")
    show("agent: memory per open stream", agents * 1000, "kB")


def cost_of_control(fleet: processes.Fleet) -> None:
    """Measure the processor time and memory of the daemons without requests."""
    meters = {name: Meter(fleet, name) for name in ("entry-0", "a")}
    time.sleep(IDLE_S)
    for name, meter in meters.items():
        kind = "entry" if name == "entry-0" else "agent"
        show(f"{kind}: control, share of a core", meter.used_s() / IDLE_S * 100, "%")
        show(f"{kind}: memory", meter.memory_mb(), "MB")


def main() -> None:
    """Run the measurements."""
    with tempfile.TemporaryDirectory(prefix="gaprock-path-") as logs:
        with processes.Fleet(pathlib.Path(logs)) as fleet:
            fleet.start_platform()
            for name in ENGINES:
                fleet.start_agent(
                    name, "--max-running", "128", engine="--slots=128 --memory=4"
                )
            url = fleet.start_entry("entry-0", "--rating-share", "0")
            fleet.wait_ready()
            fleet.publish_demo(url)
            cost_of_control(fleet)
            added_time(url, fleet.urls["engine-a"])
            cost_per_request(fleet, url)
            cost_per_part(fleet, url, "at once", STREAMS, STREAM_PARTS)
            memory_per_stream(fleet, url)
            for name in ENGINES:
                fleet.faults(f"engine-{name}", pace_s=PACE_S)
            cost_per_part(fleet, url, "paced", PACED_STREAMS, PACED_PARTS)


if __name__ == "__main__":
    main()
