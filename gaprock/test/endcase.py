"""Endpoints that end or live on in several ways, behind two gateways.

A poison request ends each endpoint that begins to run it.  What gateways can see of an
end differs, and so does what has become of the send by then.
"""

import contextlib
import enum
import socket
import threading
import time
import typing
import uuid

from gaprock.test import gatewayfleet, gatewaysite, ports
from gaprock.test import site as site_module
from gaprock.test.fakes import backend

POISON: typing.Final = b"the body that ends whatever runs it"
POISON_SEGMENT: typing.Final = "b4d"
# Time from the start of a request to the end of its endpoint, and from there until the
# endpoint is back.
RUNS_S: typing.Final = 0.06
BACK_S: typing.Final = 0.5
PAUSE_S: typing.Final = 0.25
ENDPOINTS: typing.Final = 4
# The bound within which a request is held after the third end, and how many ends hold
# it.
HELD_IN_S: typing.Final = 3.0
ENDS: typing.Final = 3
SEGMENT_ENDS: typing.Final = 5


class End(enum.Enum):
    """What can be seen of the end of an endpoint."""

    # Its connections are cut and its port refuses new ones until it is back.
    REFUSES = "refuses"
    # Another process holds its port: it accepts connections and closes them unanswered.
    ACCEPTS = "accepts"
    # It is back at once.
    AT_ONCE = "at-once"
    # Its connections stay open, without data; it is back at another port.
    SILENT = "silent"
    # The same as another endpoint, while its row goes.
    SILENT_ROW_GONE = "silent-row-gone"
    # Another endpoint is back at its port, while its row goes.
    REPLACED = "replaced"


class Fate(enum.Enum):
    """What has become of a send when its endpoint ends."""

    WAITS = "waits"
    CALLER_LEFT = "caller-left"
    TIMED_OUT = "timed-out"
    # The answer began a while ago.
    BEGUN = "begun"
    BEGUN_LONG_AGO = "begun-long-ago"


class Cause(enum.Enum):
    """What the requests that end endpoints have in common."""

    REQUEST = "request"
    # Each try has other token counts.
    FAMILY = "family"
    # A segment of their prompts, and nothing else.
    SEGMENT = "segment"


# How long after the head of a stream its endpoint ends.
BEGUN_S: typing.Final = {Fate.BEGUN: 0.5, Fate.BEGUN_LONG_AGO: 1.3}


class Service:
    """The endpoints of a service.

    :param end: what can be seen of their ends.
    :param fate: what has become of the sends of poison requests by then.
    """

    def __init__(
        self, site: gatewaysite.GatewaySite, name: str, end: End, fate: Fate
    ) -> None:
        self._site = site
        self._name = name
        self._end_kind = end
        self._fate = fate
        self._lock = threading.Lock()
        self._ports: list[int] = []
        self._ended: set[backend.Backend] = set()
        self._closers: list[socket.socket] = []
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        # When poison requests arrived, and when endpoints ended.
        self.arrivals: list[float] = []
        self.ends: list[float] = []
        for number in range(ENDPOINTS):
            self._start(f"{name}-{number}", ports.free_port())

    def close(self) -> None:
        """Stop restarting endpoints."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _start(self, name: str, port: int) -> None:
        fake = backend.Backend(name, port=port)
        fake.default_script = self._answer
        self._site.backends[name] = fake
        self._write_row(name)

    def _write_row(self, name: str) -> None:
        self._site.write_row(name, self._name, born=int(time.time() * 1000))

    def _answer(
        self, fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        if fake in self._ended:
            if self._end_kind is not End.ACCEPTS:
                self._stopped.wait(site_module.WAIT_S)
            return
        if seen.headers.get("x-expect-instance") != fake.name:
            backend.refuse(421)(fake, seen, conn)
            return
        is_segment = f"{POISON_SEGMENT}:" in seen.headers.get("x-prompt-prefix", "")
        if seen.body != POISON and not is_segment:
            backend.answer(fake, seen, conn)
            return
        with self._lock:
            self.arrivals.append(time.monotonic())
        begun_s = BEGUN_S.get(self._fate)
        if begun_s is None:
            time.sleep(RUNS_S)
        else:
            conn.sendall(_stream_head(seen))
            for number in range(1, 5):
                conn.sendall(backend.chunk(backend.event(number)))
                time.sleep(begun_s / 4)
        self._end(fake)
        if self._end_kind in (End.SILENT, End.SILENT_ROW_GONE):
            self._stopped.wait(site_module.WAIT_S)

    def _end(self, fake: backend.Backend) -> None:
        with self._lock:
            if fake in self._ended or self._stopped.is_set():
                return
            self.ends.append(time.monotonic())
            if self._end_kind is End.AT_ONCE:
                fake.cut()
                self._write_row(fake.name)
                return
            self._ended.add(fake)
            thread = threading.Thread(target=self._restart, args=(fake,))
            self._threads.append(thread)
        if self._end_kind is End.ACCEPTS:
            fake.cut()
        elif self._end_kind not in (End.SILENT, End.SILENT_ROW_GONE):
            fake.stop()
        thread.start()

    def _restart(self, fake: backend.Backend) -> None:
        name, port, kind = fake.name, fake.port, self._end_kind
        if self._stopped.wait(BACK_S):
            return
        if kind is End.ACCEPTS:
            fake.stop()
        if kind in (End.SILENT, End.SILENT_ROW_GONE):
            port = ports.free_port()
        if kind in (End.SILENT_ROW_GONE, End.REPLACED):
            name = f"{self._name}-{uuid.uuid4().hex[:6]}"
            self._site.store.remove("servers", fake.name)
        self._start(name, port)


class Fleet(gatewayfleet.Fleet):
    """Two gateways in front of such endpoints."""

    def __init__(
        self, kind: str, end: End, fate: Fate, cause: Cause = Cause.REQUEST
    ) -> None:
        super().__init__(2, kind)
        self._end, self._fate, self._cause = end, fate, cause
        self._number = 0

    def start_endpoints(self, stack: contextlib.ExitStack) -> int:
        args = self.site, self.service_name, self._end, self._fate
        self.service = Service(*args)
        stack.callback(self.service.close)
        return ENDPOINTS

    def send_poison(self) -> None:
        """Send a poison request to one of the gateways, as its fate says."""
        self._number += 1
        number = self._number % 2
        body, more = POISON, {"X_Model": "*", "X_Token_Counts": "100,20"}
        if self._cause is Cause.FAMILY:
            more["X_Token_Counts"] = f"100,{self._number}"
        elif self._cause is Cause.SEGMENT:
            body = uuid.uuid4().hex.encode()
            more["X_Prompt_Prefix"] = f"{POISON_SEGMENT}:40,{body.decode()}:40"
        if self._fate is Fate.TIMED_OUT:
            more["X_Deadline_Ms"] = "40"
        if self._fate is not Fate.CALLER_LEFT:
            self.call(number, body, **more)
            return
        data = self.site.request(f"/{self.kind}/x", body, "POST", **more)
        host, _, port = self.gateways[number].cfg.listen.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(data)
            time.sleep(RUNS_S / 3)

    def arrivals_too_late(self) -> int:
        """Send poison requests again and again; count those that should be held.

        :returns: the arrivals later than ``HELD_IN_S`` after the end that holds them.
        """
        needed = SEGMENT_ENDS if self._cause is Cause.SEGMENT else ENDS
        give_up_at = time.monotonic() + 4 * site_module.WAIT_S
        ends, arrivals = self.service.ends, self.service.arrivals
        while time.monotonic() < give_up_at:
            self.send_poison()
            time.sleep(PAUSE_S)
            if len(ends) < ENDS:
                continue
            due = ends[needed - 1] if len(ends) >= needed else arrivals[-1]
            if time.monotonic() > due + HELD_IN_S:
                break
        since = time.monotonic()
        for _ in range(4):
            self.send_poison()
            time.sleep(2 * RUNS_S)
        assert len(ends) >= ENDS
        return sum(at >= since for at in arrivals)


def _stream_head(seen: backend.ReceivedRequest) -> bytes:
    return backend.head(
        seen,
        Content_Type="text/event-stream",
        Transfer_Encoding="chunked",
        X_Confidence="90",
    )


class Trouble(enum.Enum):
    """What an endpoint that lives does with the requests that it gets."""

    # It answers after the caller's time.
    SLOW = "slow"
    RESETS = "resets"
    # Its callers leave.
    CALLER_LEFT = "caller-left"
    # It does nothing for a while, and its row goes meanwhile.
    PAUSED = "paused"
    # Its row goes for a moment, and it serves on.
    ROW_GONE = "row-gone"
    # Its row goes for good and it serves on for a while.
    LEAVES_UNSAID = "leaves-unsaid"


class LivingFleet(gatewayfleet.Fleet):
    """Two gateways in front of endpoints that live."""

    PAUSED_S: typing.Final = 2.0
    ROUNDS: typing.Final = 10

    def __init__(self, kind: str, trouble: Trouble) -> None:
        super().__init__(2, kind)
        self._trouble = trouble
        self._go_on = threading.Event()
        self._go_on.set()

    def start_endpoints(self, stack: contextlib.ExitStack) -> int:
        for number in range(ENDPOINTS):
            name = f"{self.service_name}-{number}"
            fake = backend.Backend(name)
            fake.default_script = self._answer
            self.site.backends[name] = fake
            self._write_row(name)
        return ENDPOINTS

    def _write_row(self, name: str) -> None:
        self.site.write_row(name, self.service_name, born=1_700_000_000_000)

    def _answer(
        self, fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        self._go_on.wait(site_module.WAIT_S)
        if self._trouble is Trouble.RESETS:
            return
        if self._trouble is not Trouble.ROW_GONE:
            time.sleep(2 * RUNS_S)
        backend.answer(fake, seen, conn)

    def send_again_and_again(self) -> None:
        """Send one request again and again while the endpoints have their trouble."""
        if self._trouble is Trouble.PAUSED:
            self._pause()
            return
        names = [f"{self.service_name}-{number}" for number in range(ENDPOINTS)]
        for number in range(self.ROUNDS):
            if self._trouble in (Trouble.ROW_GONE, Trouble.LEAVES_UNSAID):
                name = names[number % ENDPOINTS]
                if number < ENDPOINTS - 1 or self._trouble is Trouble.ROW_GONE:
                    self.site.store.remove("servers", name)
            self._send(number)
            time.sleep(PAUSE_S)
            if self._trouble is Trouble.ROW_GONE:
                self._write_row(name)
        time.sleep(2.0)

    def _send(self, number: int) -> None:
        data = self.site.request(f"/{self.kind}/x", POISON, X_Deadline_Ms="80")
        if self._trouble is not Trouble.CALLER_LEFT:
            self.exchange(number % 2, data)
            return
        host, _, port = self.gateways[number % 2].cfg.listen.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(data)
            time.sleep(RUNS_S / 3)

    def _pause(self) -> None:
        """Pause all endpoints for so long that their rows go."""
        names = [f"{self.service_name}-{number}" for number in range(ENDPOINTS)]
        self._go_on.clear()
        for number in range(self.ROUNDS):
            self._send(number)
        for name in names:
            self.site.store.remove("servers", name)
        time.sleep(self.PAUSED_S)
        self._go_on.set()
        for name in names:
            self._write_row(name)
        time.sleep(1.0)
