"""Signals to real gateway processes, also while these are stopped or starting."""

import pathlib
import signal
import subprocess
import sys
import time
import typing

import pytest

from gaprock.test import gatewaysite, soak_fleet, soak_gateway, soak_ledger

# A signal to a stopped process is handled by any of its threads, by chance; so the test
# is repeated.
REPETITIONS: typing.Final = 3


@pytest.fixture(name="fleet")
def start_fleet(tmp_path: pathlib.Path) -> typing.Iterator[soak_fleet.Fleet]:
    with soak_fleet.Fleet(soak_ledger.Ledger(), tmp_path, gateways=1) as fleet:
        assert fleet.wait_ready()
        yield fleet


def test_a_paused_process_stops_once_it_continues(
    fleet: soak_fleet.Fleet,
) -> None:
    gateway = fleet.gateways[0]
    for _ in range(REPETITIONS):
        gateway.signal(signal.SIGSTOP)
        time.sleep(0.2)
        gateway.signal(signal.SIGTERM)
        gateway.signal(signal.SIGCONT)
        assert gateway.process is not None
        assert gateway.process.wait(soak_gateway.STOP_WAIT_S) == 0
        gateway.start()
        assert fleet.wait_ready()


def test_sighup_during_the_start_does_not_end_the_process(
    fleet: soak_fleet.Fleet,
) -> None:
    gateway = fleet.gateways[0]
    gateway.end(signal.SIGKILL)
    gateway.start()
    assert gateway.process is not None
    # The interpreter runs the program, whose imports are not done yet.
    gatewaysite.wait_until(
        lambda: ignores_or_handles(gateway.process, signal.SIGHUP), "SIGHUP is ignored"
    )
    gateway.signal(signal.SIGHUP)
    assert fleet.wait_ready()
    assert gateway.process.poll() is None


def ignores_or_handles(process: "subprocess.Popen[bytes] | None", number: int) -> bool:
    """Return whether the kernel shows that a process ignores or handles a signal."""
    assert process is not None
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
    ignored = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(ignored >> (number - 1) & 1)


# Prints how SIGHUP is handled when the gateway's program imports its first module.
AT_FIRST_IMPORT: typing.Final = """
import builtins, runpy, signal
load = builtins.__import__
def check(name, globals=None, locals=None, fromlist=(), level=0):
    if globals and globals["__name__"] == "__main__" and name == "gaprock":
        print(signal.getsignal(signal.SIGHUP))
        raise SystemExit
    return load(name, globals, locals, fromlist, level)
builtins.__import__ = check
runpy.run_module("gaprock.gateway_main", run_name="__main__")
"""


def test_sighup_before_the_first_import_of_a_gateway_does_not_end_it() -> None:
    done = subprocess.run(
        [sys.executable, "-c", AT_FIRST_IMPORT], capture_output=True, check=True
    )
    assert done.stdout.decode().strip() == str(signal.SIG_IGN)
