"""Slow readers of a soak test: callers that read and send slowly, and endpoints."""

import functools
import signal
import socket
import time
import typing

from gaprock.test import (
    gatewaysite,
    soak_callers,
    soak_fleet,
    soak_gateway,
    soak_ledger,
    soak_run,
)

# One seed in this many has slow readers: those with this remainder, which none of the
# seeds has that once found another fault.
SEEDS: typing.Final = 5
REMAINDER: typing.Final = 4
CALLERS: typing.Final = 3
BUFFER: typing.Final = 4096
# Bytes that a slow caller sends or reads at a time, and its pause after each.
PIECE: typing.Final = 16 * 1024
PIECE_PAUSE_S: typing.Final = (0.0, 0.02)
# How long it stops in the middle; longer than an endpoint lets a stream stay unread.
STOP_S: typing.Final = 1.3 * soak_fleet.UNREAD_S
# Pause of an endpoint before each read of a body, and for how long it reads so.
READ_PAUSE_S: typing.Final = 0.1
READS_SLOWLY_FOR_S: typing.Final = (1.0, 4.0)


def is_slow(seed: int) -> bool:
    """Whether a seed has slow readers."""
    return seed % SEEDS == REMAINDER


def add_slow_readers(soak: soak_run.Soak) -> None:
    """Have a run's site bound held bytes, and its callers and endpoints be slow."""
    soak.has_slow_readers = True
    for gateway in soak.fleet.gateways:
        gateway.contracts = '["pressure"]'
    for number in range(CALLERS):
        soak.slow_callers.append(functools.partial(SlowCaller, number))


class SlowCaller(soak_callers.Worker):
    """A caller that sends and reads slowly, and now and then leaves."""

    def __init__(self, seed: int, fleet: soak_fleet.Fleet) -> None:
        super().__init__(fleet, f"slow caller {seed}")

    def _run(self) -> None:
        while not self._stopped.wait(self._rng.uniform(0.0, 0.2)):
            gateway = self._rng.choice(self._fleet.gateways)
            if gateway.is_ready():
                self._call(gateway)

    def _call(self, gateway: soak_gateway.GatewayProcess) -> None:
        kind = self._rng.choice(["gen", "safe"])
        request = f"{soak_fleet.LARGE}{self._rng.getrandbits(48):012x}"
        # The first key is never revoked.
        key, label = self._fleet.keys[0], gateway.label
        ledger = self._fleet.ledger
        sent_at = ledger.now()
        ledger.record_sent(request, kind)
        leaves = self._rng.random() < 0.1
        data = b""
        try:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
                sock.settimeout(soak_callers.SOCKET_S)
                sock.connect((gateway.ip, gateway.port))
                self._send(sock, soak_callers.raw_request(kind, request, key))
                if leaves:
                    return
                data = self._read(sock)
        except OSError:
            # The connection was refused or broke; the result shows what was read.
            pass
        answer = gatewaysite.Answer(data)
        is_correct = soak_callers.is_correct_body(kind, request, answer.body)
        ids = tuple(int(n) for n in soak_callers.EVENT_ID.findall(answer.body))
        result = soak_ledger.CallResult(
            request,
            kind,
            key,
            label,
            sent_at,
            ledger.now(),
            sent_at + soak_callers.WAIT_MS / 1000 + STOP_S,
            answer.status,
            answer.whole,
            is_correct or answer.status != 200,
            ids if kind == "gen" and answer.status == 200 else (),
        )
        ledger.add(result)

    def _send(self, sock: socket.socket, data: bytes) -> None:
        for start in range(0, len(data), PIECE):
            sock.sendall(data[start : start + PIECE])
            time.sleep(self._rng.uniform(*PIECE_PAUSE_S))

    def _read(self, sock: socket.socket) -> bytes:
        data = sock.recv(PIECE)
        if self._rng.random() < 0.5:
            time.sleep(STOP_S)
        while more := sock.recv(PIECE):
            data += more
            time.sleep(self._rng.uniform(*PIECE_PAUSE_S) / 4)
        return data


@soak_run.slow_work
def endpoint_reads_slowly(soak: soak_run.Soak) -> None:
    """An endpoint reads bodies slowly for a while."""
    endpoint = soak.rng_slow.choice(list(soak.fleet.endpoints.values()))
    duration_s = soak.rng_slow.uniform(*READS_SLOWLY_FOR_S)

    def work() -> None:
        endpoint.fake.read_pause_s = READ_PAUSE_S
        time.sleep(duration_s)
        endpoint.fake.read_pause_s = 0.0

    soak.run_in_thread(work)


@soak_run.slow_work
def memory_halved(soak: soak_run.Soak) -> None:
    """A gateway's memory is halved, or is back, by a change of its settings."""
    gateway = soak.rng_slow.choice(soak.fleet.gateways)
    gateway.memory_mb = 384 - gateway.memory_mb
    gateway.write_settings()
    gateway.signal(signal.SIGHUP)
