"""Endpoints that a request ends as it begins to run, behind several gateways.

An endpoint that ended is back soon, at its address, under a new id.
"""

import contextlib
import socket
import threading
import time
import typing

from gaprock import gateway_node, options
from gaprock.test import gatewaysite
from gaprock.test.fakes import backend

POISON: typing.Final = b"the body that ends whatever runs it"
# What it runs for before its endpoint ends, and until that is back, seconds.
RUNS_S: typing.Final = 0.05
BACK_S: typing.Final = 0.5
ENDPOINTS: typing.Final = 8
# Beats of every other gateway after which one has what they knew before.
TELLING_BEATS: typing.Final = 3

Call = typing.Callable[[int, bytes], gatewaysite.Answer]


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
            self._start(0)

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
        fake.usual = self._answer
        self._site.backends[name] = fake
        self._site.write_row(name, self._name)

    def _answer(
        self, fake: backend.Backend, seen: backend.Seen, conn: socket.socket
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


class Fleet:
    """Gateways in halls of their own that tell each other; use it as a context."""

    def __init__(self, count: int, kind: str) -> None:
        self._kind = kind
        self._stack = contextlib.ExitStack()
        self.site = gatewaysite.GatewaySite(_with_mesh)
        self.gateways = [self.site.gateway]
        for number in range(2, count + 1):
            self.gateways.append(self._make(number))

    def _make(self, number: int) -> gateway_node.Gateway:
        cfg = options.Options()
        cfg.vm, cfg.hall, cfg.host = f"gateway-{number}", f"h{number}", "127.0.0.1"
        cfg.listen = f"127.0.0.1:{gatewaysite.free_port()}"
        cfg.ready_listen = f"127.0.0.1:{gatewaysite.free_port()}"
        cfg.store_address = self.site.cfg.store_address
        cfg.metrics_port, cfg.max_calls = 0, 32
        cfg.bounds.budget_allowance = 50
        _with_mesh(cfg)
        first = self.site.gateway
        return gateway_node.Gateway(cfg, first.clock, first.store, first.dialect)

    def __enter__(self) -> "Fleet":
        with contextlib.ExitStack() as stack:
            self._start(stack)
            self._stack = stack.pop_all()
        return self

    def _start(self, stack: contextlib.ExitStack) -> None:
        stack.enter_context(self.site)
        for other in self.gateways[1:]:
            stack.callback(other.close)
            other.start()
        self.service = Service(self.site, "llm" if self._kind == "gen" else "app")
        stack.callback(self.service.close)
        names = {gateway.cfg.vm for gateway in self.gateways}
        for gateway in self.gateways:
            gatewaysite.wait_until(
                lambda: len(self._usable(gateway)) == ENDPOINTS, "all are known"
            )
            gatewaysite.wait_until(
                lambda: len(gateway.mesh.living()) == len(names) - 1, "all are heard"
            )

    def __exit__(self, *exc: object) -> None:
        self._stack.close()

    def _usable(self, gateway: gateway_node.Gateway) -> list[typing.Any]:
        service = "llm" if self._kind == "gen" else "app"
        return gateway.directory.usable(service, set())

    def call(self, number: int, body: bytes) -> gatewaysite.Answer:
        """Make a request at a gateway."""
        prompt: dict[str, str] = {}
        if self._kind == "gen":
            prompt = {
                "X_Model": "*",
                "X_Token_Counts": "100,20",
                "X_Prompt_Prefix": "a:100",
            }
        data = self.site.request(f"/{self._kind}/x", body, "POST", **prompt)
        host, _, port = self.gateways[number].cfg.listen.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(data)
            return gatewaysite.Answer(gatewaysite.read_all(sock))

    def let_tell(self) -> None:
        """Wait until each gateway has told the others what it knows now."""
        for _ in range(TELLING_BEATS):
            before = [self._heard(gateway) for gateway in self.gateways]
            for gateway, heard in zip(self.gateways, before, strict=True):
                gatewaysite.wait_until(
                    lambda: all(
                        at > heard[name] for name, at in self._heard(gateway).items()
                    ),
                    "a beat of each other gateway",
                )

    def _heard(self, gateway: gateway_node.Gateway) -> dict[str, float]:
        peers = list(gateway.mesh._peers.values())
        return {peer.name: peer.spoke_at for peer in peers}


def _with_mesh(cfg: options.Options) -> None:
    cfg.mesh_port = gatewaysite.free_port()
