"""The gateway processes of a soak test."""

import os
import pathlib
import subprocess
import sys
import threading
import typing

from gaprock.test import budgetcase, ports
from gaprock.test.fakes import cutproxy

DRAIN_S: typing.Final = 2.0
# Time after which a cordoned hall gets no more requests.
CORDON_S: typing.Final = 2.0
# As on the users' sites: a gateway that stops accepts streams for 2.8 s, and the
# longest stream of a soak test (``soak_fleet.LONG_EVENT_S``) ends within the rest.
GRACE_S: typing.Final = 8.0
# Longest wait for a process to stop.
STOP_WAIT_S: typing.Final = 20.0
# The retry budget of each service.
BUDGET: typing.Final = budgetcase.Rule(0.9, 50.0, 10.0)


class GatewayProcess:
    """A gateway process, and the proxy for its connections to the store."""

    def __init__(self, name: str, ip: str, store_port: int, logs: pathlib.Path):
        self.name = name
        self.ip = ip
        self.incarnation = 0
        self.store_proxy = cutproxy.CutProxy(store_port)
        self._logs = logs
        self.port = ports.free_port()
        self.ready_port = ports.free_port()
        self.mesh_port = ports.free_port()
        self.process: subprocess.Popen[bytes] | None = None
        # The machine's limits in the settings file, as text.
        self.limits = ""
        # Contracts and memory in its settings.
        self.contracts = "[]"
        self.memory_mb = 256
        # Held while the process is being restarted.
        self.lock = threading.Lock()

    @property
    def label(self) -> str:
        """The gateway's name and the number of its incarnation."""
        return f"{self.name}#{self.incarnation}"

    @property
    def log(self) -> pathlib.Path:
        """The log file."""
        return self._logs / f"{self.name}.log"

    def write_settings(self, grace_s: float = GRACE_S) -> pathlib.Path:
        """Write the settings file, as the platform does."""
        path = self._logs / f"{self.name}.toml"
        limits = self.limits or f"[Limits]\nMemoryMb = {self.memory_mb}\n"
        path.write_text(
            f'Node = "{self.name}"\nIp = "{self.ip}"\nZone = "h1"\n'
            f"Contracts = {self.contracts}\n"
            f"PortRange = [{self.mesh_port}, {self.mesh_port}]\n"
            f'[Listen]\nFront = "{self.ip}:{self.port}"\n'
            f'Ready = "{self.ip}:{self.ready_port}"\n'
            f'[Provider]\nAddr = "127.0.0.1:{self.store_proxy.port}"\n'
            f"[TimingBounds]\nDrainMs = {DRAIN_S * 1000:.0f}\nGraceS = {grace_s}\n"
            f"BudgetRatio = {BUDGET.ratio}\nRetrySlack = {BUDGET.allowance}\n"
            f"BudgetWindowS = {BUDGET.window_s}\nCanaryShare = 0.15\nCanarySlack = 30\n"
            f"EvacMs = {CORDON_S * 1000:.0f}\n"
            f"{limits}"
        )
        return path

    def start(self) -> None:
        """Start the process."""
        path = self.write_settings()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gaprock.gateway_main"],
                stdout=log,
                stderr=log,
                env={**os.environ, "GAPROCK_SETTINGS": str(path)},
            )
        self.incarnation += 1

    def signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def exit_code(self) -> int | None:
        """Return the exit code of the process; ``None`` while it runs."""
        return self.process.poll() if self.process is not None else None

    def end(self, number: int) -> None:
        """Send a signal and wait for the exit; a process that hangs is killed."""
        self.signal(number)
        assert self.process is not None
        try:
            self.process.wait(STOP_WAIT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Whether the gateway tells the load balancer that it is ready."""
        return ports.is_ready(self.ip, self.ready_port)
