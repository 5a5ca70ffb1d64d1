"""A server that stops in the middle of its answer's head gave no answer."""

import contextlib
import socket
import threading
import typing

import pytest
import urllib3

from gaprock import (
    agent_endpoint,
    clock,
    ctl_client,
    errorcodes,
    errors,
    gateway_api,
    options,
    services_api,
    services_http,
)
from gaprock.platform import store
from gaprock.test import gatewaysite

BODY: typing.Final = b'{"rows": [], "ok": true}'
WHOLE: typing.Final = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Stream-Id: s1\r\n"
    b"Content-Length: %d\r\n\r\n" % len(BODY)
)
# After the status line, in a header's name and value, and before the empty line.
CUTS: typing.Final = [17, 19, 25, 40, len(WHOLE) - 24, len(WHOLE) - 2, len(WHOLE) - 1]


@contextlib.contextmanager
def server(head: bytes) -> typing.Iterator[str]:
    """Answer each request by a head, and close the connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            with contextlib.suppress(OSError):
                while True:
                    conn, _ = listener.accept()
                    with conn:
                        conn.recv(65536)
                        conn.sendall(head)
                        # Closing with unread bytes would reset the connection.
                        conn.shutdown(socket.SHUT_WR)
                        while conn.recv(65536):
                            pass

        threading.Thread(target=serve, daemon=True).start()
        host, port = listener.getsockname()
        yield f"{host}:{port}"


def endpoint(address: str) -> agent_endpoint.Endpoint:
    option = options.EndpointOption("one", f"http://{address}", "engine", False, [])
    return agent_endpoint.Endpoint(option, options.Options(), clock.SteadyClock())


def deadline() -> float:
    return clock.SteadyClock().now() + 5.0


@pytest.mark.parametrize("cut", CUTS)
def test_an_agent_takes_a_cut_head_for_no_answer(cut: int) -> None:
    with server(WHOLE[:cut]) as address:
        one = endpoint(address)
        until = deadline()
        for call in (
            lambda: one.call("/x", b"{}", "r1", until, True),
            lambda: one.call("/x", b"{}", "r1", until, False),
            lambda: one.stream("/x", b"{}", "r1", until),
            lambda: one.resume("s1", 3, until),
        ):
            with pytest.raises(errors.GaprockError) as caught:
                call()
            assert caught.value.code is errorcodes.OUTCOME_UNKNOWN
        with pytest.raises(errors.GaprockError) as caught:
            one.order("load", "small@1", 1)
        assert caught.value.code is errorcodes.ENDPOINT_UNREACHABLE
        with pytest.raises(urllib3.exceptions.HTTPError):
            one.load()


@pytest.mark.parametrize("cut", CUTS)
def test_a_cut_head_of_the_services_is_a_lost_answer(cut: int) -> None:
    with server(WHOLE[:cut]) as address:
        cfg = options.Options()
        cfg.platform = f"http://{address}"
        objects = services_http.HttpObjects(services_http.Http(cfg))
        with pytest.raises(services_api.AnswerLost):
            objects.get("o")
        with pytest.raises(services_api.AnswerLost):
            objects.put("o", b"data")


def test_a_cut_head_of_404_does_not_mean_that_an_object_is_not_there() -> None:
    with server(b"HTTP/1.1 404 Not Found\r\nContent-Le") as address:
        cfg = options.Options()
        cfg.platform = f"http://{address}"
        with pytest.raises(services_api.AnswerLost):
            services_http.HttpObjects(services_http.Http(cfg)).get("o")


@pytest.mark.parametrize("cut", CUTS)
def test_a_change_whose_answer_has_a_cut_head_is_unknown_to_the_operator(
    cut: int,
) -> None:
    with server(WHOLE[:cut]) as address:
        cfg = options.Options()
        cfg.entry = f"http://{address}"
        client = ctl_client.Client(cfg)
        for method, code in (
            ("PUT", errorcodes.CHANGE_UNKNOWN),
            ("GET", errorcodes.ENTRY_UNREACHABLE),
        ):
            with pytest.raises(errors.GaprockError) as caught:
                client.call(method, "templates/t", b"{}")
            assert caught.value.code is code


@pytest.mark.parametrize("status", [200, 410, 412])
def test_the_store_gave_no_answer_if_its_head_is_cut(status: int) -> None:
    head = b"HTTP/1.1 %d X\r\nStore-Era: 1" % status
    with server(head) as address:
        one = store.PlatformStore(address)
        for call in (
            lambda: one.read("t"),
            lambda: one.changes("t", 3),
            lambda: one.commit([gateway_api.Write("t", "k", b"v", 1)]),
            lambda: one.poll("t", 3, 1.0).page(),
        ):
            with pytest.raises(gateway_api.StoreError):
                call()


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x"])
def test_a_gateways_caller_gets_no_success_by_a_cut_head(cut: int, target: str) -> None:
    with gatewaysite.GatewaySite() as site:
        one = site.add("one", "app")
        one.default_script = lambda server, seen, conn: conn.sendall(WHOLE[:cut])
        assert site.call(target).status == 502
