"""Processes that are killed, paused or stopped while they serve requests."""

import json
import pathlib
import signal
import threading
import time
import typing

import pytest
import urllib3
import uuid6

from gaprock.test import processes
from gaprock.test.fakes import engine

SLOW_STREAM: typing.Final = "--parts=40 --part-s=0.05"
QUICK: typing.Final = ("--stream-silent-s", "2.0", "--silent-s", "1.2")


def whole(parts: int) -> bytes:
    events = [engine.part_bytes("small@1", number) for number in range(parts)]
    return b"".join(events) + b"data: [DONE]\n\n"


class Reader(threading.Thread):
    """Sends a streamed request and reads the answer until it ends or breaks off."""

    def __init__(self, url: str) -> None:
        super().__init__()
        self._url = url
        self.first_data = threading.Event()
        self.data = b""
        self.was_cut = False
        self.start()
        assert self.first_data.wait(processes.WAIT_S)

    def run(self) -> None:
        body = processes.chat(stream=True)
        resp = processes.post(self._url, processes.CHAT, body, stream=True)
        try:
            while data := resp.read1(65536):
                self.data += data
                self.first_data.set()
        except urllib3.exceptions.HTTPError:
            self.was_cut = True
        self.first_data.set()


def start_fleet(
    logs: pathlib.Path, entries: int = 1, agents: str = "a"
) -> processes.Fleet:
    fleet = processes.Fleet(logs)
    fleet.start_platform()
    for name in agents:
        fleet.start_agent(name, *QUICK, engine=SLOW_STREAM, service=name == "a")
    for number in range(entries):
        fleet.start_entry(f"entry-{number}", *QUICK)
    fleet.wait_ready()
    fleet.publish_demo(fleet.urls["entry-0"])
    return fleet


def test_the_bill_of_an_entry_killed_in_the_middle_of_a_stream_is_written(
    tmp_path: pathlib.Path,
) -> None:
    with start_fleet(tmp_path) as fleet:
        reader = Reader(fleet.urls["entry-0"])
        fleet.kill("entry-0")
        reader.join()
        assert reader.was_cut and b"[DONE]" not in reader.data
        processes.wait_until(lambda: fleet.rows("bill/"), "the agent's write")
        assert len(fleet.rows("bill/")) == 1


def test_a_stream_whose_agent_is_killed_ends_in_an_error_event(
    tmp_path: pathlib.Path,
) -> None:
    with start_fleet(tmp_path, agents="ab") as fleet:
        url = fleet.urls["entry-0"]
        readers = [Reader(url) for _ in range(6)]
        fleet.kill("a")
        for reader in readers:
            reader.join()
        cut = [r for r in readers if r.data != whole(40)]
        for reader in cut:
            assert b"event: error" in reader.data and b"[DONE]" not in reader.data
        # New requests go to the other agent.
        assert processes.post(url, processes.CHAT, processes.chat()).status == 200


@pytest.mark.parametrize("process", ["a", "entry-0"])
def test_a_short_pause_of_a_process_loses_no_part(
    tmp_path: pathlib.Path, process: str
) -> None:
    with start_fleet(tmp_path) as fleet:
        reader = Reader(fleet.urls["entry-0"])
        fleet.signal(process, signal.SIGSTOP)
        time.sleep(0.8)
        fleet.signal(process, signal.SIGCONT)
        reader.join()
        assert reader.data == whole(40)


def test_a_long_pause_of_an_agent_ends_its_streams_and_doubles_no_bill(
    tmp_path: pathlib.Path,
) -> None:
    with start_fleet(tmp_path) as fleet:
        reader = Reader(fleet.urls["entry-0"])
        fleet.signal("a", signal.SIGSTOP)
        reader.join()
        assert b"event: error" in reader.data and b"[DONE]" not in reader.data
        fleet.signal("a", signal.SIGCONT)
        processes.wait_until(lambda: len(fleet.rows("bill/")) == 1, "the bill")
        url = fleet.urls["entry-0"]

        def answers() -> bool:
            resp = processes.post(url, processes.CHAT, processes.chat())
            return resp.status == 200

        processes.wait_until(answers, "the agent is back")
        processes.wait_until(lambda: len(fleet.rows("bill/")) == 2, "one bill each")


def test_a_non_repeatable_call_runs_once_despite_a_killed_entry_and_a_table_outage(
    tmp_path: pathlib.Path,
) -> None:
    with start_fleet(tmp_path, entries=2) as fleet:
        request = str(uuid6.uuid7())

        def send(entry: str) -> int:
            resp = processes.post(
                fleet.urls[entry],
                "/v1/calls/score",
                {"points": 1},
                Idempotency_Key=request,
            )
            return resp.status

        assert send("entry-0") == 200
        fleet.kill("entry-0")
        fleet.faults("platform", down=True)
        assert send("entry-1") == 503
        fleet.faults("platform", down=False)
        processes.wait_until(lambda: send("entry-1") == 200, "the table is back")
        ran = processes.HTTP.request("GET", fleet.urls["service-a"] + "/_ran")
        assert json.loads(ran.data)[request] == 1


def test_a_paused_lease_holder_is_replaced_at_a_higher_epoch(
    tmp_path: pathlib.Path,
) -> None:
    with start_fleet(tmp_path, entries=2) as fleet:
        names = ("entry-0", "entry-1")

        def holders() -> list[str]:
            return [n for n in names if fleet.status(fleet.urls[n])["holds_lease"]]

        processes.wait_until(lambda: len(holders()) == 1, "a holder")
        (first,) = holders()
        (second,) = set(names) - {first}
        epoch = fleet.status(fleet.urls[first])["epoch"]
        fleet.signal(first, signal.SIGSTOP)
        status = fleet.urls[second]
        processes.wait_until(lambda: fleet.status(status)["holds_lease"], "the next")
        assert fleet.status(status)["epoch"] == epoch + 1
        fleet.signal(first, signal.SIGCONT)
        processes.wait_until(lambda: holders() == [second], "one holder")


@pytest.mark.parametrize("process", ["a", "entry-0"])
def test_a_planned_stop_cuts_no_stream_and_exits_cleanly(
    tmp_path: pathlib.Path, process: str
) -> None:
    with start_fleet(tmp_path, agents="ab") as fleet:
        readers = [Reader(fleet.urls["entry-0"]) for _ in range(4)]
        assert fleet.end(process) == 0
        for reader in readers:
            reader.join()
        assert [r.data for r in readers] == [whole(40)] * 4
        processes.wait_until(lambda: len(fleet.rows("bill/")) == 4, "all billed")
