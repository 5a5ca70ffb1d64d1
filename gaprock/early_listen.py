"""Opens the callers' port before the program's modules are imported.

The imports take 0.7 s on 0.3 cores.  When many gateways start at once, callers find no
open port in that time, and they retry only once.  Connections that are opened meanwhile
wait in the port's backlog until the program serves them.

This module imports little, since the port opens after its imports.
"""

import socket
import typing

from gaprock import clock, startup_wait

BACKLOG: typing.Final = 1024
SETTINGS_FLAG: typing.Final = "--settings"

# Receive buffer of each accepted connection, bytes.
RECEIVE_BUFFER: typing.Final = 16 * 1024

Address = tuple[str, int]


class EarlyPort(typing.NamedTuple):
    """A port that is open and not served yet.

    :param opened_at: when it was opened, by ``clock.SteadyClock``.
    """

    sock: socket.socket
    opened_at: float


_ports: dict[Address, EarlyPort] = {}


def settings_path(argv: list[str], default: str) -> str:
    """Return the path of the settings file on a command line."""
    for number, arg in enumerate(argv):
        if arg == SETTINGS_FLAG and number + 1 < len(argv):
            return argv[number + 1]
        if arg.startswith(f"{SETTINGS_FLAG}="):
            return arg.partition("=")[2]
    return default


def open_port(address: Address, cpu_cores: float) -> bool:
    """Open a port on a small machine; return whether it is open.

    :param cpu_cores: number of cores; 0 if unknown.
    """
    if not 0.0 < cpu_cores < startup_wait.LARGE_CORES:
        # The imports take less than a tenth of a second there, and a caller whose
        # connection is refused retries at another gateway sooner.
        return False
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.bind(address)
        limit_receive_buffers(sock)
        sock.listen(BACKLOG)
    except (OSError, OverflowError):
        # The program opens the port again later, and reports the error.
        sock.close()
        return False
    _ports[address] = EarlyPort(sock, clock.SteadyClock().now())
    return True


def limit_receive_buffers(sock: socket.socket) -> None:
    """Limit what the system keeps unread of each connection of a port.

    What has arrived counts as the process's memory, also before it is accepted.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)


def take_port(address: Address) -> EarlyPort | None:
    """Return a port that was opened early, for the server that will serve it."""
    return _ports.pop(address, None)
