"""Clients of a soak test that do not behave, beside its faults."""

import functools
import threading
import typing

from gaprock.test import crowds, soak_callers, soak_fleet, soak_run

# Connections of a crowd, and for how long it sends one pattern to one gateway.
CONNECTIONS: typing.Final = 5
CROWD_S: typing.Final = (0.5, 3.0)
# Patterns for the callers' port.
PATTERNS: typing.Final = [
    "silence",
    "long-head",
    "length-one-short",
    "large-chunk-one-short",
    "chunks-of-a-byte-then-silence",
    "chunks-slowly",
    "trailers-slowly",
]


def add_crowd(soak: soak_run.Soak, seed: int) -> None:
    """Have a run's gateways meet a crowd."""
    soak.slow_callers.append(functools.partial(CrowdWorker, f"crowd {seed}"))


class CrowdWorker(soak_callers.Worker):
    """Runs one crowd after the other."""

    def __init__(self, seed: str, fleet: soak_fleet.Fleet) -> None:
        super().__init__(fleet, seed)

    def _run(self) -> None:
        while not self._stopped.is_set():
            gateway = self._rng.choice(self._fleet.gateways)
            pattern = self._rng.choice(PATTERNS)
            crowd = crowds.Crowd((gateway.ip, gateway.port), pattern, CONNECTIONS)
            is_over = threading.Event()
            timer = threading.Timer(self._rng.uniform(*CROWD_S), is_over.set)
            timer.start()
            crowd.run(is_over)
            crowd.close()
