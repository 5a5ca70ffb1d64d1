"""Endpoints that a request ends as it begins to run, behind several gateways.

An endpoint that ended is back soon, at its address, under a new id.
"""

import contextlib
import socket
import threading
import time
import typing

from gaprock.test import gatewayfleet, gatewaysite, ports
from gaprock.test.fakes import backend

POISON: typing.Final = b"the body that ends whatever runs it"
# What it runs for before its endpoint ends, and until that is back, seconds.
RUNS_S: typing.Final = 0.05
BACK_S: typing.Final = 0.5
ENDPOINTS: typing.Final = 8


class Service:
    """Endpoints of a service, each at an address of its own."""

    def __init__(self, site: gatewaysite.GatewaySite, name: str) -> None:
        self._site = site
        self._name = name
        self._lock = threading.Lock()
        self._lives = 0
        # When a request with the body came to an endpoint, by the endpoint's id.
        self.arrivals: list[tuple[float, str]] = []
        # The endpoints that ended.
        self.ended: list[str] = []
        self._stopped = threading.Event()
        self._restarts: list[threading.Thread] = []
        for _ in range(ENDPOINTS):
            self._start(ports.free_port())

    def close(self) -> None:
        """Start no endpoint again."""
        self._stopped.set()
        for thread in self._restarts:
            thread.join()

    def _start(self, port: int) -> None:
        with self._lock:
            self._lives += 1
            name = f"{self._name}-{self._lives}"
        fake = backend.Backend(name, port=port)
        fake.default_script = self._answer
        self._site.backends[name] = fake
        self._site.write_row(name, self._name)

    def _answer(
        self, fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        if seen.headers.get("x-expect-instance") != fake.name:
            backend.refuse(421)(fake, seen, conn)
            return
        if seen.body != POISON:
            backend.answer(fake, seen, conn)
            return
        with self._lock:
            self.arrivals.append((time.monotonic(), fake.name))
        if seen.target.startswith(backend.STREAM_PATH):
            conn.sendall(
                backend.head(
                    seen,
                    Content_Type="text/event-stream",
                    Transfer_Encoding="chunked",
                    X_Confidence="90",
                )
            )
        time.sleep(RUNS_S)
        self._end(fake)

    def _end(self, fake: backend.Backend) -> None:
        with self._lock:
            if fake.name in self.ended:
                return
            self.ended.append(fake.name)
            restart = threading.Thread(target=self._restart, args=(fake,))
            self._restarts.append(restart)
        fake.stop()
        restart.start()

    def _restart(self, fake: backend.Backend) -> None:
        if not self._stopped.wait(BACK_S):
            self._start(fake.port)
            self._site.store.remove("servers", fake.name)


class Fleet(gatewayfleet.Fleet):
    """Gateways before such endpoints."""

    def start_endpoints(self, stack: contextlib.ExitStack) -> int:
        self.service = Service(self.site, self.service_name)
        stack.callback(self.service.close)
        return ENDPOINTS
