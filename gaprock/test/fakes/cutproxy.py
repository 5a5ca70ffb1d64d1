"""A TCP relay that cuts connections, or lets them go silent."""

import socket
import threading
import typing

CHUNK: typing.Final = 64 * 1024


class CutProxy:
    """Relays one port to another."""

    def __init__(self, target: int) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        self.address = f"tcp://127.0.0.1:{self.port}"
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        # Cleared while the relay is silent: it takes bytes and passes none on.
        self.flowing = threading.Event()
        self.flowing.set()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Close all connections; new ones are taken."""
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for sock in pair:
                _close(sock)

    def stop(self) -> None:
        """Close everything."""
        _close(self._listener)
        self.flowing.set()
        self.cut()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection(("127.0.0.1", self._target))
            except OSError:
                return
            self._pairs.append((near, far))
            for pair in ((near, far), (far, near)):
                threading.Thread(target=self._relay, args=pair, daemon=True).start()

    def _relay(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK):
                self.flowing.wait()
                target.sendall(data)
        except OSError:
            pass
        _close(source)
        _close(target)


def _close(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
