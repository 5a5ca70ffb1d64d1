"""A server that reads the head of each request, and answers by a script."""

import contextlib
import socket
import struct
import threading
import typing

from gaprock import agent_endpoint, clock, options

Script = typing.Callable[[socket.socket, bytes], None]

RESET: typing.Final = struct.pack("ii", 1, 0)


def reset(conn: socket.socket) -> None:
    """Reset a connection."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    conn.close()


def read_head(conn: socket.socket) -> bytes:
    """Read to the end of a head, byte by byte; what follows is left to the system."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        more = conn.recv(1)
        if not more:
            break
        head += more
    return head


@contextlib.contextmanager
def serve(script: Script) -> typing.Iterator[str]:
    """Run a server; gives its address.

    :param script: gets each connection and the head of its request.
    """
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:

        def run(conn: socket.socket) -> None:
            with conn, contextlib.suppress(OSError):
                script(conn, read_head(conn))

        def accept() -> None:
            with contextlib.suppress(OSError):
                while True:
                    conn, _ = listener.accept()
                    threading.Thread(target=run, args=(conn,), daemon=True).start()

        threading.Thread(target=accept, daemon=True).start()
        host, port = listener.getsockname()
        try:
            yield f"{host}:{port}"
        finally:
            # Without this, the thread that accepts would keep it open.
            listener.shutdown(socket.SHUT_RDWR)


def sends(data: bytes) -> Script:
    """Send bytes as they are, end this side and read what comes."""

    def script(conn: socket.socket, head: bytes) -> None:
        conn.sendall(data)
        conn.shutdown(socket.SHUT_WR)
        while conn.recv(65536):
            pass

    return script


def endpoint(address: str) -> agent_endpoint.Endpoint:
    """Build the own mode's client of a server."""
    option = options.EndpointOption("one", f"http://{address}", "engine", False, [])
    return agent_endpoint.Endpoint(option, options.Options(), clock.SteadyClock())
