"""Endpoints that say something of themselves, behind several gateways."""

import contextlib
import threading
import time
import typing

from bench import spans
from gaprock.test import gatewayfleet, gatewaysite
from gaprock.test.fakes import backend

# Any span of this length counts, seconds.
WINDOW_S: typing.Final = 4.0
ENDPOINTS: typing.Final = 3
# Pause of a caller between two requests, seconds.
CALLER_PAUSE_S: typing.Final = 0.01


class Endpoint:
    """An endpoint, one in each hall, that says of itself what it is told to."""

    def __init__(
        self, site: gatewaysite.GatewaySite, name: str, service: str, hall: str
    ) -> None:
        self.arrivals: list[float] = []
        # What it says of its limit; empty for nothing.
        self.limit = ""
        self.is_leaving = False
        # Seconds of the backoff with which it sheds all load; empty while it does not.
        self.backoff = ""
        # When it first said so in an answer.
        self.said_at = float("inf")
        self.confidence = "90"
        self.fake = site.backends[name] = backend.Backend(name)
        self.fake.default_script = self._answer
        site.write_row(name, service, Zone=hall)

    def _answer(
        self, fake: backend.Backend, seen: backend.ReceivedRequest, conn: typing.Any
    ) -> None:
        now = time.monotonic()
        self.arrivals.append(now)
        says: dict[str, typing.Any] = {
            "Server_Limit": self.limit,
            "Server_Leaving": "1" if self.is_leaving else "",
        }
        if self.is_leaving or self.backoff:
            self.said_at = min(self.said_at, now)
        if self.backoff:
            says |= {"Retry_After": self.backoff, "X_Not_Run": "1"}
            conn.sendall(backend.head(seen, 503, b"", X_Server_Stamp="", **says))
            return
        if not seen.target.startswith(backend.STREAM_PATH):
            body = fake.name.encode()
            conn.sendall(backend.head(seen, body=body, **says) + body)
            return
        start = backend.head(
            seen,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
            X_Confidence=self.confidence,
            **says,
        )
        conn.sendall(start + backend.chunk(backend.event(1)) + b"0\r\n\r\n")

    def between(self, since: float, until: float) -> int:
        """Give the arrivals between two moments."""
        return sum(since <= at < until for at in self.arrivals)

    def most_since(self, since: float) -> int:
        """Give the most arrivals in a window that begins after a moment."""
        counted = [at for at in self.arrivals if at >= since]
        return spans.most_within(counted, WINDOW_S)


class Fleet(gatewayfleet.Fleet):
    """Gateways and endpoints, one of each in a hall."""

    def start_endpoints(self, stack: contextlib.ExitStack) -> int:
        self.endpoints = [
            Endpoint(self.site, f"e{n}", self.service_name, f"h{n}")
            for n in range(1, ENDPOINTS + 1)
        ]
        return ENDPOINTS

    def send_continuously(
        self, numbers: typing.Iterable[int], seconds: float
    ) -> list[int]:
        """Have callers send to some gateways all the time; give the statuses."""
        until = time.monotonic() + seconds
        statuses: list[int] = []

        def run(number: int) -> None:
            while time.monotonic() < until:
                statuses.append(self.call(number, b"x").status)
                time.sleep(CALLER_PAUSE_S)

        threads = [threading.Thread(target=run, args=(n,)) for n in numbers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses
