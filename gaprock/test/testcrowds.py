"""Crowds of clients that do not behave, before each port of a real process."""

import pathlib

import pytest

from gaprock.test import crowdcase, processes


@pytest.mark.parametrize("pattern", ["entry-no-key", "entry-key", "entry-operators"])
def test_an_entry_outlives_a_crowd(tmp_path: pathlib.Path, pattern: str) -> None:
    with processes.Fleet(tmp_path) as fleet:
        fleet.start_platform()
        fleet.start_agent("a")
        url = fleet.start_entry("entry-0")
        fleet.wait_ready()
        fleet.publish_demo(url)
        host, _, port = url.removeprefix("http://").rpartition(":")
        entry = crowdcase.Watched(fleet.processes["entry-0"], [int(port)])

        def is_served() -> bool:
            body = processes.chat()
            return processes.post(url, processes.CHAT, body).status == 200

        with crowdcase.crowd((host, int(port)), pattern, crowdcase.ENTRY_CROWD):
            entry.watch_for(crowdcase.CROWD_S)
            processes.wait_until(is_served, "an answer beside the crowd")
        processes.wait_until(is_served, "an answer afterwards")
        assert entry.is_alive
        assert entry.peak.memory_mb <= crowdcase.ENTRY_MEMORY_MB, entry.peak
