"""Crowds of clients that do not behave, before each port of a real process."""

import contextlib
import pathlib
import socket
import time
import typing

import pytest

from gaprock.test import crowdcase, gatewaysite, processes

CONTRACTS: typing.Final = ["", '"pressure"']
CALLERS: typing.Final = [
    "half-a-head",
    "head-at-the-limit",
    "long-head",
    "endless-head",
    "length-one-short",
    "length-slowly",
    "expect-one-short",
    "large-chunk-one-short",
    "large-chunk-no-route",
    "chunks-of-64-kb-one-short",
    "chunks-of-a-byte",
    "chunks-of-a-byte-then-silence",
    "chunks-with-extensions",
    "chunks-slowly",
    "trailers-without-end",
    "trailer-line-without-end",
    "trailers-slowly",
    "pipelined-unread",
]


def check_bounds(site: crowdcase.CrowdSite) -> None:
    assert site.gateway.is_alive
    assert site.gateway.peak.memory_mb <= crowdcase.MEMORY_MB, site.gateway.peak
    assert site.gateway.peak.descriptors <= crowdcase.MAX_FDS, site.gateway.peak


@pytest.mark.parametrize("contracts", CONTRACTS)
@pytest.mark.parametrize("pattern", CALLERS)
def test_a_gateway_outlives_a_crowd_before_the_callers_port(
    tmp_path: pathlib.Path, pattern: str, contracts: str
) -> None:
    with crowdcase.CrowdSite(tmp_path, contracts) as site:
        with crowdcase.crowd((site.ip, site.port), pattern):
            site.gateway.watch_for(crowdcase.CROWD_S)
            assert site.wait_served(), "not served beside the crowd"
        assert site.wait_served(), "not served afterwards"
        check_bounds(site)


@pytest.mark.parametrize("contracts", CONTRACTS)
def test_a_gateway_outlives_more_silent_connections_than_descriptors(
    tmp_path: pathlib.Path, contracts: str
) -> None:
    with crowdcase.CrowdSite(tmp_path, contracts) as site:
        address = site.ip, site.port
        with crowdcase.crowd(address, "silence", 2 * crowdcase.MAX_FDS):
            site.gateway.watch_for(crowdcase.CROWD_S)
            assert site.wait_served(), "not served beside the crowd"
        assert site.wait_served(), "not served afterwards"
        check_bounds(site)


@pytest.mark.parametrize("count", [4, crowdcase.CROWD, 2 * crowdcase.MAX_FDS])
@pytest.mark.parametrize("pattern", ["silence", "half-a-head", "body-of-400-mb"])
def test_a_gateway_stays_ready_beside_a_crowd_before_its_readiness_port(
    tmp_path: pathlib.Path, pattern: str, count: int
) -> None:
    with crowdcase.CrowdSite(tmp_path, "") as site:
        with crowdcase.crowd((site.ip, site.ready_port), pattern, count):
            site.gateway.watch_for(crowdcase.CROWD_S)
            assert site.wait_ready(), "not ready beside the crowd"
            assert site.wait_served(), "not served beside the crowd"
        assert site.wait_ready(), "not ready afterwards"
        check_bounds(site)


def test_a_question_whose_bytes_come_late_is_answered_beside_open_connections(
    site: gatewaysite.GatewaySite,
) -> None:
    host, _, port = site.cfg.ready_listen.rpartition(":")
    with contextlib.ExitStack() as stack:
        for _ in range(20):
            sock = stack.enter_context(socket.create_connection((host, int(port)), 5))
        time.sleep(0.2)
        sock.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        assert sock.recv(100).startswith(b"HTTP/1.1 ")


@pytest.mark.parametrize("size", [1000, 60_000, 1_000_000])
def test_a_gateway_outlives_strangers_that_push_frames_to_the_port_of_its_peers(
    tmp_path: pathlib.Path, size: int
) -> None:
    with crowdcase.CrowdSite(tmp_path, "") as site:
        address = site.ip, site.mesh_port
        with crowdcase.crowd(address, f"peer-frames-{size}", crowdcase.STRANGERS):
            site.gateway.watch_for(crowdcase.CROWD_S)
            assert site.wait_served(), "not served beside the crowd"
        assert site.wait_ready(), "not ready afterwards"
        check_bounds(site)


@pytest.mark.parametrize("pattern", ["silence", "garbage"])
def test_a_gateway_outlives_more_strangers_at_the_port_of_its_peers_than_descriptors(
    tmp_path: pathlib.Path, pattern: str
) -> None:
    with crowdcase.CrowdSite(tmp_path, "") as site:
        address = site.ip, site.mesh_port
        with crowdcase.crowd(address, pattern, 2 * crowdcase.MAX_FDS):
            site.gateway.watch_for(crowdcase.CROWD_S)
            assert site.wait_served(), "not served beside the crowd"
        assert site.wait_ready(), "not ready afterwards"
        check_bounds(site)


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
