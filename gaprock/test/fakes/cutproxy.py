"""A TCP relay that cuts, resets or delays connections, or lets them go silent."""

import socket
import struct
import threading
import time
import typing

CHUNK: typing.Final = 64 * 1024
TO_TARGET: typing.Final = "to-target"
TO_CALLER: typing.Final = "to-caller"
# Time between two checks whether a direction is still held back, seconds.
HELD_CHECK_S: typing.Final = 0.02


class CutProxy:
    """Relays one port to another."""

    def __init__(self, target: int) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        self.address = f"tcp://127.0.0.1:{self.port}"
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        # Cleared while the relay is silent: it accepts data and passes none on.
        self.data_flows = threading.Event()
        self.data_flows.set()
        # Directions whose data is held back, and the delay of all data, seconds.
        self.held: set[str] = set()
        self.delay_s = 0.0
        # The rate that all connections share, as on a machine's link; 0 for no limit.
        self.bytes_per_s = 0.0
        self._link_free_at = 0.0
        self._link_lock = threading.Lock()
        # Connections that stay open and pass nothing on; new ones are not among them.
        self._silenced: set[socket.socket] = set()
        # Connections that were reset.  They must not be shut down, since the end that
        # this sends would arrive before the reset.
        self._reset: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Close all connections; new ones are accepted."""
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for sock in pair:
                _close(sock)

    def reset(self) -> None:
        """Reset all connections; new ones are accepted."""
        pairs, self._pairs = self._pairs, []
        socks = [sock for pair in pairs for sock in pair]
        self._reset.update(socks)
        for sock in socks:
            _reset(sock)

    def silence_connections(self) -> None:
        """Make the open connections silent for good; new ones work."""
        self._silenced.update(sock for pair in self._pairs for sock in pair)

    def heal(self) -> None:
        """Let all data pass again; if it did not, reset connections, as after a cut."""
        was_silent = bool(self.held) or not self.data_flows.is_set()
        self.held.clear()
        self.delay_s = 0.0
        self.data_flows.set()
        if was_silent:
            self.reset()

    def stop(self) -> None:
        """Close the port and all connections."""
        _close(self._listener)
        self.data_flows.set()
        self.cut()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(("127.0.0.1", self._target))
            except OSError:
                # Nobody listens there; the port goes on accepting connections.
                near.close()
                continue
            self._pairs.append((near, far))
            for way in ((near, far, TO_TARGET), (far, near, TO_CALLER)):
                threading.Thread(target=self._relay, args=way, daemon=True).start()

    def _relay(
        self, source: socket.socket, target: socket.socket, direction: str
    ) -> None:
        try:
            while data := source.recv(CHUNK):
                self.data_flows.wait()
                if source in self._silenced:
                    continue
                while direction in self.held:
                    time.sleep(HELD_CHECK_S)
                time.sleep(self.delay_s + self._transfer_s(len(data)))
                target.sendall(data)
        except OSError:
            pass
        if source in self._silenced:
            # A connection that has gone silent does not pass on its end either.
            return
        for sock in (source, target):
            if sock in self._reset:
                _reset(sock)
            else:
                _close(sock)

    def _transfer_s(self, size: int) -> float:
        """Return how long bytes take over the link, after those before them."""
        if not self.bytes_per_s:
            return 0.0
        now = time.monotonic()
        with self._link_lock:
            begin_at = max(now, self._link_free_at)
            self._link_free_at = begin_at + size / self.bytes_per_s
            return self._link_free_at - now


def _reset(sock: socket.socket) -> None:
    try:
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        # Wakes the thread that reads it, and sends nothing.
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        # The socket is closed already.
        pass
    sock.close()


def _close(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
