"""Fake of a model engine and of a plain service.

The engine streams server-sent events with a fixed delay before the first part and
between parts, runs ``slots`` requests at a time and queues the rest, resumes and
cancels streams, reports its load with a lag of ``lag_s``, loads as many versions as
fit its memory, and carries out orders; with ``checks_orders`` it refuses those with
an old epoch.

Faults:

* ``cut_after``: cut each stream once, after this many parts;
* ``fail``: answer 500;
* ``refuse``: answer 503, with ``retry_after`` as its ``Retry-After``;
* ``stall_after``: send nothing for ``stall_s`` after this many parts;
* ``slow``: factor of all delays;
* ``bad``: versions whose requests fail with status 500;
* ``die_after_run``: run an unstreamed request, then close the connection unanswered;
* ``pace_s``: delay between parts, instead of ``part_s``.
"""

import collections
import json
import threading
import time
import typing

from gaprock.test.fakes import httpfake


class Stream:
    """A stream that can be resumed."""

    def __init__(self, version: str, parts: int) -> None:
        self.version = version
        self.parts = parts
        self.cancelled = False
        self.cut = False


class EngineFake(httpfake.Fake):
    """One engine, or one plain service."""

    def __init__(
        self,
        port: int = 0,
        versions: str = "small@1",
        slots: int = 8,
        first_s: float = 0.0,
        part_s: float = 0.0,
        parts: int = 5,
        memory: int = 4,
        lag_s: float = 0.0,
        checks_orders: bool = False,
    ) -> None:
        super().__init__(port)
        self.versions = versions.split("+") if versions else []
        self.slots = threading.BoundedSemaphore(slots)
        self.slot_count = slots
        self.first_s, self.part_s, self.parts = first_s, part_s, parts
        self.memory = memory
        self.lag_s = lag_s
        self.checks_orders = checks_orders
        self.epoch = 0
        self.orders: list[dict[str, typing.Any]] = []
        self.lock = threading.Lock()
        self.streams: dict[str, Stream] = {}
        # How often each request ran, by its ``X-Request-Id``.
        self.ran: collections.Counter[str] = collections.Counter()
        self.ran_versions: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.refused = 0
        self.load_s = 0.0
        self._history: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=10_000
        )

    def handle(
        self, exchange: httpfake.Exchange, method: str, path: str, body: bytes
    ) -> httpfake.Reply | None:
        if path == "/_faults":
            return self.set_faults(body)
        if path == "/_ran":
            return httpfake.json_reply(dict(self.ran))
        if path == "/load":
            return self._load()
        if path == "/orders":
            return self._order(json.loads(body))
        if path.startswith("/v1/streams/"):
            return self._stream_call(exchange, method, path)
        return self._run(exchange, body)

    def _load(self) -> httpfake.Reply:
        seen_at = time.monotonic() - self.lag_s
        load = 0
        for at, running in list(self._history):
            if at <= seen_at:
                load = running
        return httpfake.json_reply(
            {
                "running": load,
                "slots": self.slot_count,
                "versions": self.versions,
                "memory_free": self.memory - len(self.versions),
                "epoch": self.epoch,
            }
        )

    def _order(self, order: dict[str, typing.Any]) -> httpfake.Reply:
        with self.lock:
            if self.checks_orders and order["epoch"] < self.epoch:
                return httpfake.json_reply({"error": "old epoch"}, 409)
            self.epoch = max(self.epoch, order["epoch"])
            self.orders.append(order)
            version = order["version"]
            if order["action"] == "unload" and version in self.versions:
                self.versions.remove(version)
        if order["action"] == "load" and version not in self.versions:
            if len(self.versions) >= self.memory:
                return httpfake.json_reply({"error": "no memory"}, 409)
            time.sleep(self.load_s)
            self.versions.append(version)
        return httpfake.json_reply({"ok": True})

    def _run(self, exchange: httpfake.Exchange, body: bytes) -> httpfake.Reply | None:
        if self.faults.get("refuse"):
            self.refused += 1
            wait = str(self.faults.get("retry_after", "1"))
            return httpfake.Reply(503, headers={"Retry-After": wait})
        params = json.loads(body or b"{}")
        version = str(params.get("model", ""))
        request = exchange.headers.get("X-Request-Id", "")
        with self.slots:
            with self.lock:
                self.ran[request] += 1
                self.ran_versions[version] += 1
            self._count(1)
            try:
                return self._answer(exchange, params, version)
            finally:
                self._count(-1)

    def _answer(
        self, exchange: httpfake.Exchange, params: typing.Any, version: str
    ) -> httpfake.Reply | None:
        if self.faults.get("fail") or version in self.faults.get("bad", ()):
            return httpfake.json_reply({"error": "broken"}, 500)
        parts = int(params.get("max_tokens") or self.parts)
        if not params.get("stream"):
            self._sleep(self.first_s + self.part_s * parts)
            if self.faults.get("die_after_run"):
                return httpfake.Reply(0, drop=True)
            text = f"answer of {version}"
            choice = {
                "index": 0,
                "finish_reason": "stop",
                "message": {"role": "assistant", "content": text},
            }
            return httpfake.json_reply(
                {
                    "id": "1",
                    "object": "chat.completion",
                    "created": 1,
                    "model": version,
                    "choices": [choice],
                    "usage": {
                        "prompt_tokens": 1,
                        "completion_tokens": parts,
                        "total_tokens": parts + 1,
                    },
                }
            )
        name = f"s{id(params)}-{time.monotonic_ns()}"
        stream = self.streams[name] = Stream(version, parts)
        exchange.start_stream({"X-Stream-Id": name})
        self._sleep(self.first_s)
        self._send_parts(exchange, stream, 0)
        return None

    def _send_parts(
        self, exchange: httpfake.Exchange, stream: Stream, start: int
    ) -> None:
        for number in range(start, stream.parts):
            if stream.cancelled:
                exchange.drop()
                return
            if number == self.faults.get("cut_after") and not stream.cut:
                stream.cut = True
                exchange.drop()
                return
            if number == self.faults.get("stall_after"):
                time.sleep(float(self.faults.get("stall_s", 60)))
            exchange.wfile.write(part_bytes(stream.version, number))
            self._sleep(self.faults.get("pace_s", self.part_s))
        exchange.wfile.write(b"data: [DONE]\n\n")

    def _stream_call(
        self, exchange: httpfake.Exchange, method: str, path: str
    ) -> httpfake.Reply | None:
        name, _, query = path.rpartition("/")[2].partition("?from=")
        stream = self.streams.get(name)
        if stream is None:
            return httpfake.Reply(404)
        if method == "DELETE":
            stream.cancelled = True
            return httpfake.Reply(200)
        exchange.start_stream({"X-Stream-Id": name})
        self._send_parts(exchange, stream, int(query))
        return None

    def _sleep(self, seconds: float) -> None:
        if seconds:
            time.sleep(seconds * float(self.faults.get("slow", 1)))

    def _count(self, change: int) -> None:
        with self.lock:
            self.running += change
            self._history.append((time.monotonic(), self.running))


def part_bytes(version: str, number: int) -> bytes:
    """Return one part of a streamed answer."""
    delta = {"role": "assistant", "content": f"{version}:{number} "}
    chunk = {
        "id": "1",
        "object": "chat.completion.chunk",
        "created": 1,
        "model": version,
        "choices": [{"index": 0, "delta": delta, "finish_reason": None}],
    }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


if __name__ == "__main__":
    httpfake.serve(
        lambda args: EngineFake(**vars(args)),
        versions="small@1",
        slots=8,
        first_s=0.0,
        part_s=0.0,
        parts=5,
        memory=4,
        lag_s=0.0,
    )
