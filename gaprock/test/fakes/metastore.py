"""A small stand-in for the users' metadata store, over HTTP on loopback.

Tests set faults: ``refuse`` (the status of each answer), ``away`` (all calls get 503),
``lose`` (writes are done but not answered), ``delay`` (seconds before each call is
handled), ``swallow`` (calls are never answered, even after the fault is over),
``refuse_tx`` (number of writes to refuse), ``odd`` (answers are JSON, but not the
store's), ``epoch`` (value of the epoch's header; ``None`` leaves it out).  ``compact``
discards the history, ``restore`` brings back an older copy.
"""

import base64
import json
import threading
import time
import typing
import urllib.parse

from gaprock.test.fakes import httpfake

# Rows on a page; few, so that a test needs a second page.
PAGE_ROWS: typing.Final = 3
Name = tuple[str, str]


class MetaStoreFake(httpfake.Fake):
    """The store's rows, transactions and change feed."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self._changed = threading.Condition()
        self._rows: dict[Name, tuple[bytes, int]] = {}
        self._history: list[tuple[Name, bytes | None, int]] = []
        self.version = 0
        # Names of the rows that were written since the latest restore.
        self._written: set[Name] = set()
        self.history_start = 0
        # Raised by each restore.
        self.epoch = 0
        # Whether long polls stay open over a restore without an answer.
        self.withholds_restores = False
        self.calls: list[str] = []
        # The tables of the long polls that are open now.
        self.open_polls: list[str] = []
        # The tables of the calls that are never answered.
        self.unanswered_calls: list[str] = []
        self._stopping = threading.Event()
        # The store's steady clock.
        self.now_ms: typing.Callable[[], int] = lambda: 51_230

    # -- For tests --

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator or an endpoint does."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            return self._write({(table, key): raw})

    def remove(self, table: str, key: str) -> int:
        """Remove a row."""
        with self._changed:
            return self._write({(table, key): None})

    def value(self, table: str, key: str) -> typing.Any:
        """Return a row's decoded value; ``None`` when there is no such row."""
        found = self._rows.get((table, key))
        return json.loads(found[0]) if found else None

    def compact(self) -> None:
        """Discard the history of changes."""
        with self._changed:
            self.history_start = self.version

    def restore(self, version: int) -> dict[Name, bytes | None]:
        """Restore a copy of an earlier version; open long polls are cut.

        :returns: the last values of the rows that were written since that version.
        """
        with self._changed:
            lost = {name: value for name, value, at in self._history if at > version}
            self._history = [h for h in self._history if h[2] <= version]
            self._rows = {}
            for name, value, changed in self._history:
                self._rows.pop(name, None)
                if value is not None:
                    self._rows[name] = value, changed
            self.version = version
            self._written.clear()
            self.history_start = min(self.history_start, version)
            self.epoch += 1
            self._changed.notify_all()
        return lost

    def rewrite_after_restore(
        self, name: Name, value: bytes | None, epoch: int
    ) -> None:
        """Write a lost row again, unless it was written since the restore.

        :param epoch: the epoch after that restore; nothing is written in another one.
        """
        with self._changed:
            if self.epoch == epoch and name not in self._written:
                self._write({name: value})

    def stop(self) -> None:
        self._stopping.set()
        super().stop()

    # -- The wire --

    def handle(
        self, exchange: httpfake.Exchange, method: str, path: str, body: bytes
    ) -> httpfake.Reply | None:
        reply = self._reply(path, body)
        epoch = self.faults.get("epoch", str(self.epoch))
        if epoch is not None:
            reply.headers["Store-Era"] = epoch
        return reply

    def _reply(self, path: str, body: bytes) -> httpfake.Reply:
        call, _, text = path.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        self.calls.append(call)
        time.sleep(self.faults.get("delay", 0.0))
        if self.faults.get("swallow"):
            self.unanswered_calls.append(query.get("Table", ""))
            self._stopping.wait()
            return httpfake.Reply(0, drop=True)
        if self.faults.get("odd"):
            return httpfake.json_reply({"Rows": [{}]})
        if self.faults.get("away"):
            return httpfake.Reply(503)
        if "refuse" in self.faults:
            return httpfake.Reply(self.faults["refuse"])
        if call == "/-/rows-get":
            return self._get(query)
        if call == "/-/rows-feed":
            return self._feed(query)
        if call == "/-/rows-tx":
            if self.faults.get("refuse_tx"):
                self.faults["refuse_tx"] -= 1
                return httpfake.Reply(503)
            reply = self._commit(json.loads(body))
            return httpfake.Reply(0, drop=True) if self.faults.get("lose") else reply
        return httpfake.Reply(404)

    def _get(self, query: dict[str, str]) -> httpfake.Reply:
        table, start = query["Table"], query.get("From", "")
        with self._changed:
            keys = sorted(k for t, k in self._rows if t == table and k >= start)
            page = [self._row((table, key)) for key in keys[:PAGE_ROWS]]
            return self._answer(page, HasMore=len(keys) > PAGE_ROWS)

    def _feed(self, query: dict[str, str]) -> httpfake.Reply:
        table, since = query["Table"], int(query["SinceRev"])
        wait_s = int(query["WaitMs"]) / 1000
        with self._changed:
            if not self.history_start <= since <= self.version:
                return httpfake.Reply(410)
            epoch = self.epoch
            self.open_polls.append(table)
            self._changed.wait_for(
                lambda: self.epoch != epoch or self._newer(table, since), wait_s
            )
            self.open_polls.remove(table)
            if self.epoch != epoch:
                if self.withholds_restores:
                    self._changed.wait_for(self._stopping.is_set, wait_s)
                return httpfake.Reply(0, drop=True)
            rows = [
                self._row(name, value, version)
                for name, value, version in self._newer(table, since)
            ]
            return self._answer(rows)

    def _newer(self, table: str, since: int) -> list[tuple[Name, bytes | None, int]]:
        return [h for h in self._history if h[0][0] == table and h[2] > since]

    def _commit(self, doc: dict[str, typing.Any]) -> httpfake.Reply:
        with self._changed:
            for want in doc["ExpectRev"]:
                name = want["Table"], want["Key"]
                if self._rows.get(name, (b"", 0))[1] != want["Ver"]:
                    return httpfake.Reply(412, b'{"Rows": []}')
            changes: dict[Name, bytes | None] = {
                (p["Table"], p["Key"]): base64.b64decode(p["Value"])
                for p in doc["Puts"]
            }
            changes.update({(r["Table"], r["Key"]): None for r in doc["Remove"]})
            self._write(changes)
            return self._answer([])

    def _write(self, changes: dict[Name, bytes | None]) -> int:
        self.version += 1
        self._written.update(changes)
        for name, value in changes.items():
            self._history.append((name, value, self.version))
            if value is None:
                self._rows.pop(name, None)
            else:
                self._rows[name] = (value, self.version)
        self._changed.notify_all()
        return self.version

    def _row(
        self, name: Name, value: bytes | None = None, version: int = 0
    ) -> dict[str, typing.Any]:
        if not version:
            value, version = self._rows[name]
        row: dict[str, typing.Any] = {"Table": name[0], "Key": name[1], "Ver": version}
        if value is None:
            row["Tombstone"] = True
        else:
            row["Value"] = base64.b64encode(value).decode()
        return row

    def _answer(self, rows: list[typing.Any], **more: object) -> httpfake.Reply:
        doc = {"Rows": rows, "Ver": self.version, "NowMs": self.now_ms(), **more}
        return httpfake.json_reply(doc)
