"""The callers of a soak: they keep their connections until the process is gone."""

import http.client
import random
import re
import socket
import threading
import typing

from gaprock.test import gatewaysite, soak_fleet, soak_ledger

# How long a caller waits for an answer, milliseconds; a route holds it for less.
WAIT_MS: typing.Final = 4000
# Longest a caller's socket waits, seconds: past every time limit and its slack.
SOCKET_S: typing.Final = 12.0
PAUSE_S: typing.Final = 0.05
# Share of requests that carry a key which was taken away.
REVOKED_SHARE: typing.Final = 0.1
# Pause between two tries of the poison request, shortest and longest, seconds.
POISON_PAUSE_S: typing.Final = (0.1, 0.5)
EVENT_ID: typing.Final = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class Caller:
    """One caller on a thread of its own."""

    def __init__(self, fleet: soak_fleet.Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._conn: http.client.HTTPConnection | None = None
        self._gateway = fleet.gateways[0]
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End after the request under way."""
        self._stopped.set()

    def join(self) -> bool:
        """Wait for the end; whether it came."""
        self._thread.join(2 * SOCKET_S)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while not self._stopped.wait(self._rng.uniform(0.0, PAUSE_S)):
            if self._conn is None and not self._connect():
                continue
            kind = self._rng.choice(["gen", "safe", "unsafe"])
            call(self._fleet, self._gateway, self._conn, kind, self._rng)
            if self._conn is not None and self._conn.sock is None:
                self._conn = None

    def _connect(self) -> bool:
        """Connect as the balancer would: to a gateway that says it is ready."""
        self._gateway = self._rng.choice(self._fleet.gateways)
        if not self._gateway.is_ready():
            return False
        self._conn = connect(self._gateway)
        try:
            self._conn.connect()
        except OSError:
            self._conn = None
        return self._conn is not None


class PoisonCaller:
    """Sends one request again and again, to any gateway, until it is stopped."""

    def __init__(self, fleet: soak_fleet.Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(f"poison {seed}")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End after the request under way."""
        self._stopped.set()
        self._thread.join(2 * SOCKET_S)

    def _run(self) -> None:
        kind = self._rng.choice(["gen", "safe", "unsafe"])
        while not self._stopped.wait(self._rng.uniform(*POISON_PAUSE_S)):
            gateway = self._rng.choice(self._fleet.gateways)
            if not gateway.is_ready():
                continue
            conn = connect(gateway)
            poison = soak_fleet.POISON
            # The first key is never taken away while others are left.
            key = self._fleet.keys[0]
            call(self._fleet, gateway, conn, kind, self._rng, key, poison)
            conn.close()


def connect(gateway: soak_fleet.GatewayProcess) -> http.client.HTTPConnection:
    """Prepare a connection to a gateway."""
    return http.client.HTTPConnection(gateway.ip, gateway.port, timeout=SOCKET_S)


def call(
    fleet: soak_fleet.Fleet,
    gateway: soak_fleet.GatewayProcess,
    conn: http.client.HTTPConnection | None,
    kind: str,
    rng: random.Random,
    key: str = "",
    body: bytes = b"",
) -> soak_ledger.Try:
    """Make a request and write it down; a connection that failed is closed.

    :param key: empty for one that chance picks.
    :param body: empty for the request's own.
    """
    assert conn is not None
    request = f"{rng.getrandbits(64):016x}"
    revoked = list(fleet.ledger.revoked)
    use_revoked = revoked and rng.random() < REVOKED_SHARE
    key = key or rng.choice(revoked if use_revoked else fleet.keys)
    label, sent_at = gateway.label, fleet.ledger.now()
    fleet.ledger.note_sent(request, kind)
    status, whole, right, events = 0, False, False, b""
    try:
        body = body or soak_fleet.body_of(request)
        conn.request("POST", f"/{kind}/x", body, _headers(request, key))
        answer = conn.getresponse()
        status = answer.status
        try:
            events = answer.read()
            whole = True
        except http.client.IncompleteRead as exc:
            events = exc.partial
        right = _is_right(kind, request, events, answer)
    except (OSError, http.client.HTTPException, socket.timeout):
        conn.close()
    if not whole:
        conn.close()
    numbers = tuple(int(n) for n in EVENT_ID.findall(events))
    made = soak_ledger.Try(
        request,
        kind,
        key,
        label,
        sent_at,
        fleet.ledger.now(),
        sent_at + WAIT_MS / 1000,
        status,
        whole,
        right,
        numbers if kind == "gen" and status == 200 else (),
    )
    fleet.ledger.add(made)
    return made


def _headers(request: str, key: str) -> dict[str, str]:
    return {
        "Host": gatewaysite.HOST,
        "X-Request-Id": request,
        "X-Deadline-Ms": str(WAIT_MS),
        "Authorization": f"Bearer {key}",
        # Only the system may set this; an endpoint must not see it.
        "X-Tenant": "forged",
        "X-Model": "*",
        "X-Token-Counts": "100,20",
        "X-Prompt-Prefix": f"all:40,{request[:1]}:40,{request}:20",
        "Session": request[:2],
    }


def _is_right(
    kind: str, request: str, body: bytes, answer: http.client.HTTPResponse
) -> bool:
    """Whether a success is the whole answer to its own request."""
    if answer.getheader("X-Server-Stamp") is None:
        return False
    if kind != "gen":
        return body == soak_fleet.answer_of(request)
    texts = body.count(request.encode())
    return texts == soak_fleet.events_of(request) == len(EVENT_ID.findall(body))
