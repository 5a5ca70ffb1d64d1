"""Fake of the platform services: table, objects, rating, VM list.

Faults, set as ``faults`` or by ``POST /_faults``:

* ``down``: table calls are refused; ``hang``: they get no answer, and their
  connection is closed after this many seconds;
* ``slow_s``: delay of each table answer; ``rate``: limit of table calls per second;
* ``lose_answers``: this many table changes take effect but are not answered;
* ``objects_down``: the object store refuses calls;
* ``rating_down``: the rating service refuses calls; ``rating_slow_s``: its delay.
"""

import json
import threading
import time
import typing

from gaprock.test.fakes import httpfake

Row = dict[str, typing.Any]


class PlatformFake(httpfake.Fake):
    """All platform services on one port."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.lock = threading.Lock()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.vms: list[dict[str, str]] = []
        # Rating of each version's answers, whose text names the version.
        self.ratings: dict[str, float] = {}
        self.calls = 0
        self.history: list[list[Row]] = []
        self._tokens = 0.0
        self._filled_at = time.monotonic()

    def handle(
        self, exchange: httpfake.Exchange, method: str, path: str, body: bytes
    ) -> httpfake.Reply | None:
        if path == "/_faults":
            return self.set_faults(body)
        if path.startswith("/table/"):
            return self._table(path, body)
        if path.startswith("/objects/"):
            return self._object(method, path, body)
        if path == "/rating":
            return self._rate(body)
        if path == "/vms" and method == "PUT":
            self.vms = json.loads(body)
        if path == "/vms":
            return httpfake.json_reply(self.vms)
        return httpfake.Reply(404)

    def value(self, key: str) -> typing.Any:
        """Return the value of a row, or ``None``."""
        with self.lock:
            row = self.rows.get(key)
            return row["value"] if row else None

    def keys(self, prefix: str) -> list[str]:
        """List the keys with a prefix."""
        with self.lock:
            return sorted(key for key in self.rows if key.startswith(prefix))

    def _table(self, path: str, body: bytes) -> httpfake.Reply:
        self.calls += 1
        if self.faults.get("hang"):
            time.sleep(float(self.faults["hang"]))
            return httpfake.Reply(0, drop=True)
        if self.faults.get("down"):
            return httpfake.Reply(503, headers={"Retry-After": "1"})
        if not self._within_rate():
            return httpfake.Reply(429, headers={"Retry-After": "1"})
        time.sleep(float(self.faults.get("slow_s", 0)))
        query = json.loads(body)
        with self.lock:
            answer, changed = self._answer(path, query)
            lost = int(self.faults.get("lose_answers", 0))
            if changed and lost:
                self.faults["lose_answers"] = lost - 1
                return httpfake.Reply(0, drop=True)
        return httpfake.json_reply(answer)

    def _answer(self, path: str, query: typing.Any) -> tuple[object, bool]:
        if path == "/table/read":
            return [self._row(key) for key in query["keys"]], False
        if path == "/table/scan":
            keys = sorted(k for k in self.rows if k.startswith(query["prefix"]))
            following = [k for k in keys if k > query["after"]]
            return [self._row(key) for key in following[: query["limit"]]], False
        return self._transact(query["ops"])

    def _transact(self, ops: list[Row]) -> tuple[object, bool]:
        failed = [
            self._row(op["key"])
            for op in ops
            if op["expect"] not in (-1, self._row(op["key"])["version"])
        ]
        if failed:
            return {"ok": False, "failed": failed}, False
        self.history.append(ops)
        for op in ops:
            version = self._row(op["key"])["version"]
            if op["delete"]:
                self.rows.pop(op["key"], None)
            elif not op["check_only"]:
                self.rows[op["key"]] = {"version": version + 1, "value": op["value"]}
        return {"ok": True, "failed": []}, True

    def _row(self, key: str) -> Row:
        row = self.rows.get(key)
        if row is None:
            return {"key": key, "version": 0, "value": None}
        return {"key": key, **row}

    def _within_rate(self) -> bool:
        rate = float(self.faults.get("rate", 0))
        if not rate:
            return True
        with self.lock:
            now = time.monotonic()
            self._tokens = min(rate, self._tokens + rate * (now - self._filled_at))
            self._filled_at = now
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

    def _object(self, method: str, path: str, body: bytes) -> httpfake.Reply:
        if self.faults.get("objects_down"):
            return httpfake.Reply(503)
        if method == "PUT":
            self.objects[path] = body
            return httpfake.Reply(200)
        found = self.objects.get(path)
        return httpfake.Reply(200 if found else 404, found or b"")

    def _rate(self, body: bytes) -> httpfake.Reply:
        time.sleep(float(self.faults.get("rating_slow_s", 0)))
        if self.faults.get("rating_down"):
            return httpfake.Reply(503)
        answer = json.loads(body)["answer"]
        for version, rating in self.ratings.items():
            if version in answer:
                return httpfake.json_reply({"rating": rating})
        return httpfake.json_reply({"rating": 1.0})


if __name__ == "__main__":
    httpfake.serve(lambda args: PlatformFake(args.port))
