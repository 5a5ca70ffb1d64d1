"""The callers of a soak test.

A caller keeps its connection to a gateway until that fails or is closed.
"""

import http.client
import random
import re
import socket
import threading
import typing

from gaprock.test import gatewaysite, soak_fleet, soak_gateway, soak_ledger

# The deadline that callers set, shorter than the routes' time limit (``ROUTE_MS``).
WAIT_MS: typing.Final = 4000
# Timeout of a caller's socket, longer than every time limit with its slack.
SOCKET_S: typing.Final = 12.0
PAUSE_S: typing.Final = 0.05
# Share of requests that use a revoked key.
REVOKED_SHARE: typing.Final = 0.1
# Shortest and longest pause between two sends of the poison request.
POISON_PAUSE_S: typing.Final = (0.1, 0.5)
# Shortest and longest time for which one gateway gets all new connections.
SKEW_S: typing.Final = (0.5, 3.0)
EVENT_ID: typing.Final = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class Worker:
    """Does its work on its own thread until it is stopped.

    :param seed: of its random numbers.
    """

    def __init__(self, fleet: soak_fleet.Fleet, seed: int | str) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End after the current step."""
        self._stopped.set()

    def join(self) -> bool:
        """Wait for the thread; return whether it has ended."""
        self._thread.join(2 * SOCKET_S)
        return not self._thread.is_alive()

    def _run(self) -> None:
        raise NotImplementedError


class Caller(Worker):
    """A caller that sends requests."""

    def __init__(self, fleet: soak_fleet.Fleet, seed: int) -> None:
        self._conn: http.client.HTTPConnection | None = None
        self._gateway = fleet.gateways[0]
        super().__init__(fleet, seed)

    def _run(self) -> None:
        while not self._stopped.wait(self._rng.uniform(0.0, PAUSE_S)):
            if self._conn is None and not self._connect():
                continue
            kind = self._rng.choice(["gen", "safe", "unsafe"])
            call(self._fleet, self._gateway, self._conn, kind, self._rng)
            preferred = self._fleet.preferred
            if preferred not in (None, self._gateway) and self._conn is not None:
                self._conn.close()
            if self._conn is not None and self._conn.sock is None:
                self._conn = None

    def _connect(self) -> bool:
        """Connect to a random gateway if it is ready, as the load balancer does."""
        self._gateway = self._rng.choice(self._fleet.gateways)
        preferred = self._fleet.preferred
        if preferred is not None and preferred.is_ready():
            self._gateway = preferred
        if not self._gateway.is_ready():
            return False
        self._conn = connect(self._gateway)
        try:
            self._conn.connect()
        except OSError:
            self._conn = None
        return self._conn is not None


class SkewedBalancer(Worker):
    """Hands all new connections to one gateway for some seconds, then to another."""

    def __init__(self, fleet: soak_fleet.Fleet, seed: int) -> None:
        super().__init__(fleet, f"skew {seed}")

    def join(self) -> bool:
        """Wait for the thread, and spread connections again."""
        has_ended = super().join()
        self._fleet.preferred = None
        return has_ended

    def _run(self) -> None:
        while not self._stopped.wait(self._rng.uniform(*SKEW_S)):
            is_skewed = self._fleet.preferred is None
            gateway = self._rng.choice(self._fleet.gateways)
            self._fleet.preferred = gateway if is_skewed else None


class PoisonCaller(Worker):
    """Sends poison requests to random gateways again and again.

    They are the same request each time, or share a segment and nothing else.
    """

    def __init__(self, fleet: soak_fleet.Fleet, seed: int) -> None:
        self._shares_segment = random.Random(f"segment {seed}").random() < 0.5
        if self._shares_segment:
            fleet.ledger.poison_crashes = soak_ledger.SEGMENT_CRASHES
        super().__init__(fleet, f"poison {seed}")

    def _run(self) -> None:
        kind = self._rng.choice(["gen", "safe", "unsafe"])
        while not self._stopped.wait(self._rng.uniform(*POISON_PAUSE_S)):
            gateway = self._rng.choice(self._fleet.gateways)
            if not gateway.is_ready():
                continue
            conn = connect(gateway)
            # The first key is never revoked.
            key = self._fleet.keys[0]
            if self._shares_segment:
                segments = ("all", soak_fleet.POISON_SEGMENT)
                call(self._fleet, gateway, conn, "gen", self._rng, key, b"", segments)
            else:
                poison = soak_fleet.POISON
                call(self._fleet, gateway, conn, kind, self._rng, key, poison)
            conn.close()


def connect(gateway: soak_gateway.GatewayProcess) -> http.client.HTTPConnection:
    """Create a connection to a gateway, which connects with the first request."""
    return http.client.HTTPConnection(gateway.ip, gateway.port, timeout=SOCKET_S)


def call(
    fleet: soak_fleet.Fleet,
    gateway: soak_gateway.GatewayProcess,
    conn: http.client.HTTPConnection | None,
    kind: str,
    rng: random.Random,
    key: str = "",
    body: bytes = b"",
    segments: tuple[str, ...] = (),
) -> soak_ledger.CallResult:
    """Send a request and record the result; a connection that failed is closed.

    :param key: the API key; empty for a random one.
    :param body: empty for the usual body of the request.
    :param segments: shared segments of its prompt; empty for the usual ones.
    """
    assert conn is not None
    request = f"{rng.getrandbits(64):016x}"
    revoked = list(fleet.ledger.revoked)
    use_revoked = revoked and rng.random() < REVOKED_SHARE
    key = key or rng.choice(revoked if use_revoked else fleet.keys)
    label, sent_at = gateway.label, fleet.ledger.now()
    fleet.ledger.record_sent(request, kind)
    status, is_complete, is_correct, events = 0, False, False, b""
    try:
        body = body or soak_fleet.body_of(request)
        conn.request("POST", f"/{kind}/x", body, _headers(request, key, segments))
        answer = conn.getresponse()
        status = answer.status
        try:
            events = answer.read()
            is_complete = True
        except http.client.IncompleteRead as exc:
            events = exc.partial
        is_correct = _is_correct(kind, request, events, answer)
    except (OSError, http.client.HTTPException, socket.timeout):
        conn.close()
    if not is_complete:
        conn.close()
    event_ids = tuple(int(n) for n in EVENT_ID.findall(events))
    result = soak_ledger.CallResult(
        request,
        kind,
        key,
        label,
        sent_at,
        fleet.ledger.now(),
        sent_at + WAIT_MS / 1000,
        status,
        is_complete,
        is_correct,
        event_ids if kind == "gen" and status == 200 else (),
    )
    fleet.ledger.add(result)
    return result


def _headers(request: str, key: str, segments: tuple[str, ...] = ()) -> dict[str, str]:
    segments = segments or ("all", request[:1])
    shared = ",".join(f"{segment}:40" for segment in segments)
    return {
        "Host": gatewaysite.HOST,
        "X-Request-Id": request,
        "X-Deadline-Ms": str(WAIT_MS),
        "Authorization": f"Bearer {key}",
        # Only the system may set this header; it must not reach an endpoint.
        "X-Tenant": "forged",
        "X-Model": "*",
        "X-Token-Counts": "100,20",
        "X-Prompt-Prefix": f"{shared},{request}:20",
        "Session": request[:2],
    }


def raw_request(kind: str, request: str, key: str) -> bytes:
    """Build a request that closes its connection."""
    body = soak_fleet.body_of(request)
    headers = _headers(request, key)
    headers |= {"Connection": "close", "Content-Length": str(len(body))}
    lines = [f"POST /{kind}/x HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


def _is_correct(
    kind: str, request: str, body: bytes, answer: http.client.HTTPResponse
) -> bool:
    """Whether the body of a success is the complete answer to its request."""
    if answer.getheader("X-Server-Stamp") is None:
        return False
    return is_correct_body(kind, request, body)


def is_correct_body(kind: str, request: str, body: bytes) -> bool:
    """Whether a body is the complete answer to its request."""
    if kind != "gen":
        return body == soak_fleet.answer_of(request)
    texts = body.count(request.encode())
    return texts == soak_fleet.events_of(request) == len(EVENT_ID.findall(body))
