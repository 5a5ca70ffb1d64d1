"""Answers without end of the platform's services and of an entry are given up."""

import socket
import typing

import pytest

from gaprock import ctl_client, errorcodes, errors, options, services_api, services_http
from gaprock.test import rawserver

BLOCK: typing.Final = b" " * 65536
HEADS: typing.Final = {
    "no length": b"HTTP/1.1 200 OK\r\n\r\n",
    "a long length": b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    "a failure": b"HTTP/1.1 503 Busy\r\n\r\n",
}


class Endless:
    """Answers each request without end, up to some times what is allowed."""

    def __init__(self, head: bytes, max_bytes: int) -> None:
        self._head = head
        self._max_bytes = max_bytes
        self.sent = 0

    def __call__(self, conn: socket.socket, head: bytes) -> None:
        conn.sendall(self._head)
        while self.sent < 8 * self._max_bytes:
            conn.sendall(BLOCK)
            self.sent += len(BLOCK)


def sends_a_byte_at_a_time(conn: socket.socket, head: bytes) -> None:
    conn.sendall(HEADS["a long length"])
    conn.settimeout(0.05)
    while True:
        try:
            if not conn.recv(1000):
                return
        except TimeoutError:
            conn.sendall(b" ")


def objects(address: str) -> services_http.HttpObjects:
    cfg = options.Options()
    cfg.platform = f"http://{address}"
    return services_http.HttpObjects(services_http.Http(cfg))


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS.keys())
def test_an_answer_of_a_service_without_end_is_given_up(head: bytes) -> None:
    endless = Endless(head, services_http.MAX_ANSWER_BYTES)
    with rawserver.serve(endless) as address:
        with pytest.raises(services_api.AnswerLost):
            objects(address).put("o", b"data")
    assert endless.sent < 2 * services_http.MAX_ANSWER_BYTES


@pytest.mark.timeout(30)
def test_an_answer_of_a_service_ends_by_the_time_limit_though_bytes_come() -> None:
    with rawserver.serve(sends_a_byte_at_a_time) as address:
        with pytest.raises(services_api.AnswerLost):
            objects(address).get("o")


@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS.keys())
def test_an_answer_of_an_entry_without_end_is_given_up(head: bytes) -> None:
    endless = Endless(head, ctl_client.MAX_ANSWER_BYTES)
    with rawserver.serve(endless) as address:
        cfg = options.Options()
        cfg.entry = f"http://{address}"
        with pytest.raises(errors.GaprockError) as caught:
            ctl_client.Client(cfg).call("PUT", "templates/t", b"{}")
    assert caught.value.code is errorcodes.CHANGE_UNKNOWN
    assert endless.sent < 2 * ctl_client.MAX_ANSWER_BYTES
