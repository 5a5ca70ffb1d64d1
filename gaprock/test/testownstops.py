"""Planned stops of the own mode while an endpoint is still at work."""

import pathlib
import signal
import socket
import threading
import time
import typing

import pytest

from gaprock.test import processes, rawserver, testownendless


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("stopped", ["a", "entry-0"])
def test_a_call_that_outlasts_a_planned_stop_gets_its_final_answer(
    tmp_path: pathlib.Path, stopped: str, stream: bool
) -> None:
    called = threading.Event()

    def script(conn: socket.socket, head: bytes) -> None:
        if head.startswith(b"GET /load"):
            testownendless.report_load(conn)
            return
        called.set()
        while conn.recv(65536):
            pass

    answers: list[int] = []

    def call(url: str) -> None:
        more: typing.Any = {"X_Gaprock_Deadline": str(time.time() + 60.0)}
        path, body = "/v1/calls/calls", {}
        if stream:
            path, body = processes.CHAT, processes.chat(model="endless", stream=True)
        answers.append(processes.post(url, path, body, **more).status)

    with rawserver.serve(script) as address, processes.Fleet(tmp_path) as fleet:
        url = testownendless.start(fleet, address, "--drain-s", "1")
        caller = threading.Thread(target=call, args=(url,), daemon=True)
        caller.start()
        processes.wait_until(called.is_set, "the endpoint works")
        fleet.signal(stopped, signal.SIGTERM)
        caller.join(processes.WAIT_S)
        assert answers == [502]
