"""Signals to real gateway processes, also while these stand still."""

import pathlib
import signal
import time
import typing

import pytest

from gaprock.test import soak_fleet, soak_ledger

# Signals that meet a stopped process are taken by any of its threads, by chance.
TIMES: typing.Final = 3


@pytest.fixture(name="fleet")
def start_fleet(tmp_path: pathlib.Path) -> typing.Iterator[soak_fleet.Fleet]:
    with soak_fleet.Fleet(soak_ledger.Ledger(), tmp_path, gateways=1) as fleet:
        assert fleet.wait_ready()
        yield fleet


def test_a_stop_that_meets_a_paused_process_is_carried_out(
    fleet: soak_fleet.Fleet,
) -> None:
    gateway = fleet.gateways[0]
    for _ in range(TIMES):
        gateway.signal(signal.SIGSTOP)
        time.sleep(0.2)
        gateway.signal(signal.SIGTERM)
        gateway.signal(signal.SIGCONT)
        assert gateway.process is not None
        assert gateway.process.wait(soak_fleet.STOP_WAIT_S) == 0
        gateway.start()
        assert fleet.wait_ready()
