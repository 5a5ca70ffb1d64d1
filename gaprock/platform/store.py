"""Client of the platform's metadata store."""

import base64
import http.client
import json
import socket
import threading
import typing
import urllib.parse

import urllib3
import urllib3.connection
import urllib3.util.wait

from gaprock import (
    clock,
    digits,
    eventlog,
    gateway_api,
    http_client,
    plugin,
    retry_after,
)

# Longest wait for a connection and for an ordinary answer, seconds; the store usually
# answers in 4 ms.
CONNECT_WAIT_S: typing.Final = 1.0
ANSWER_WAIT_S: typing.Final = 2.0
# Longest wait for the answer to a read of changes that is no long poll, seconds.  A
# read lost in an outage is thus repeated within a second of the outage's end, while a
# store that is 100 times slower than usual still answers in time, in 0.4 s.
CHANGES_WAIT_S: typing.Final = 1.0
# A long poll may get no data for a long time, so its connection has to show whether
# the store can be reached: TCP sends keep-alive probes after a second of silence, and
# the connection is given up after this many milliseconds.
DEAD_CONNECTION_MS: typing.Final = 2000
SOCKET_OPTIONS: typing.Final[list[tuple[int, int, int | bytes]]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_CONNECTION_MS),
]
MAX_POLL_WAIT_MS: typing.Final = 30_000
# The largest body of an answer, bytes, and the longest time to read it, seconds.  A
# page has at most 1 MB of rows, which are encoded.
MAX_ANSWER_BYTES: typing.Final = 8 * 1024 * 1024
BODY_WAIT_S: typing.Final = 10.0
RETRY_STATUSES: typing.Final = (429, 503)
# A longer Retry-After is cut to this many seconds, as rows would otherwise become older
# than every bound that is promised for them.
MAX_RETRY_AFTER_S: typing.Final = 10.0
CALL_ERRORS: typing.Final = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)
EPOCH_HEADER: typing.Final = "Store-Era"
# Longest text of an epoch, characters, and the largest rise between two answers: after
# an epoch that is too large, every later answer would count as one of an older epoch.
MAX_EPOCH_CHARS: typing.Final = 15
MAX_EPOCH_RISE: typing.Final = 1000
# Idle connections that are kept for the next long polls; each table needs one.
MAX_IDLE_CONNECTIONS: typing.Final = 4


class EpochReader:
    """Reads the epoch in the store's answers; thread-safe."""

    __slots__ = ("listeners", "_newest", "_last_invalid")

    def __init__(self) -> None:
        self.listeners: list[typing.Callable[[int], None]] = []
        # ``None`` until an answer has named an epoch.
        self._newest: int | None = None
        # The last invalid values of the epoch's header, to log them only once.
        self._last_invalid: list[str] = []

    def read(self, answer: urllib3.BaseHTTPResponse) -> int:
        """Return an answer's epoch; the newest known one if that is no valid one."""
        texts = answer.headers.getlist(EPOCH_HEADER)
        epoch, newest = _epoch(texts), self._newest
        if epoch is None or newest is not None and epoch > newest + MAX_EPOCH_RISE:
            self._log_invalid(texts or ["none"])
            return newest or 0
        if newest is not None and epoch < newest:
            eventlog.warning("store-epoch-lower", epoch=epoch, newest=newest)
            return epoch
        self._newest = epoch
        for listener in self.listeners:
            listener(epoch)
        return epoch

    def _log_invalid(self, texts: list[str]) -> None:
        """Log the header's invalid values, unless they equal the last ones."""
        if texts != self._last_invalid:
            self._last_invalid = texts
            eventlog.warning("store-epoch-odd", value=",".join(texts))


def _epoch(texts: list[str]) -> int | None:
    """Decode the values of the epoch's header; ``None`` if they are invalid."""
    if len(texts) != 1 or len(texts[0]) > MAX_EPOCH_CHARS:
        return None
    return digits.parse(texts[0].strip())


class PlatformLongPoll(gateway_api.LongPoll):
    """A long poll of the change feed on its own connection.

    :param release: gets the connection back when the whole answer has been read.
    """

    __slots__ = ("_conn", "_release", "_epochs")

    def __init__(
        self,
        conn: urllib3.connection.HTTPConnection,
        release: typing.Callable[[urllib3.connection.HTTPConnection], None],
        epochs: EpochReader,
    ) -> None:
        self._conn: urllib3.connection.HTTPConnection | None = conn
        self._release = release
        self._epochs = epochs

    def wait(self, wait_s: float) -> bool:
        assert self._conn is not None and self._conn.sock is not None
        return urllib3.util.wait.wait_for_read(self._conn.sock, wait_s)

    def page(self) -> gateway_api.Page:
        assert self._conn is not None
        self._conn.timeout = ANSWER_WAIT_S
        try:
            answer = self._conn.getresponse()
        except CALL_ERRORS as exc:
            raise gateway_api.StoreError(type(exc).__name__) from exc
        epoch = self._epochs.read(answer)
        page = _page(_decode_answer(answer), epoch)
        self._release(self._conn)
        self._conn = None
        return page

    def close(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None


@plugin.register(gateway_api.SharedStore, "platform")
class PlatformStore(gateway_api.SharedStore):
    """The rows of the store over HTTP; a connection is closed when a call on it fails.

    :param address: ``IP:PORT`` of the store.
    """

    __slots__ = ("_pool", "_address", "_idle", "_lock", "_epochs")

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._pool = http_client.Pool(
            host,
            int(port),
            maxsize=8,
            block=False,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )
        self._idle: list[urllib3.connection.HTTPConnection] = []
        self._lock = threading.Lock()
        self._epochs = EpochReader()

    def watch_epoch(self, listener: typing.Callable[[int], None]) -> None:
        self._epochs.listeners.append(listener)

    def read(self, table: str) -> gateway_api.Page:
        query = {"Table": table, "part": ""}
        first, epoch = self._get("/-/rows-get", query, ANSWER_WAIT_S)
        body, rows = first, _rows(first)
        while body.get("HasMore"):
            # The next page begins with the smallest key after the last one.
            query["From"] = rows[-1].key + "\0"
            body, later = self._get("/-/rows-get", query, ANSWER_WAIT_S)
            if later != epoch:
                raise gateway_api.StoreError(
                    "store was restored while a table was read"
                )
            rows += _rows(body)
        # Later pages may be newer than the first.  Only a feed that starts at the first
        # page's version reports changes made to earlier pages in the meantime.
        return gateway_api.Page(rows, _number(first, "Ver"), _store_now(first), epoch)

    def changes(self, table: str, since: int) -> gateway_api.Page:
        return _page(*self._get(*_feed(table, since, 0.0), CHANGES_WAIT_S))

    def poll(self, table: str, since: int, wait_s: float) -> PlatformLongPoll:
        path, query = _feed(table, since, wait_s)
        conn = self._poll_connection()
        conn.timeout = CONNECT_WAIT_S
        try:
            target = f"{path}?{urllib.parse.urlencode(query)}"
            conn.request("GET", target, preload_content=False)
        except CALL_ERRORS as exc:
            conn.close()
            raise gateway_api.StoreError(type(exc).__name__) from exc
        return PlatformLongPoll(conn, self._release, self._epochs)

    def _poll_connection(self) -> urllib3.connection.HTTPConnection:
        """Return a connection for a long poll: an idle one if it is still open."""
        with self._lock:
            conn = self._idle.pop() if self._idle else None
        if conn is not None and conn.is_connected:
            return conn
        if conn is not None:
            conn.close()
        host, port = self._address
        return http_client.Connection(host, port, socket_options=SOCKET_OPTIONS)

    def _release(self, conn: urllib3.connection.HTTPConnection) -> None:
        with self._lock:
            if len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(conn)
                return
        conn.close()

    def commit(self, writes: list[gateway_api.Write]) -> int:
        names = [{"Table": w.table, "part": "", "Key": w.key} for w in writes]
        body = {
            "ExpectRev": [
                {**name, "Ver": w.expect}
                for name, w in zip(names, writes)
                if w.expect is not None
            ],
            "Puts": [
                {**name, "Value": base64.b64encode(w.value).decode()}
                for name, w in zip(names, writes)
                if w.value is not None
            ],
            "Remove": [name for name, w in zip(names, writes) if w.value is None],
        }
        answer = self._call(
            "POST", "/-/rows-tx", ANSWER_WAIT_S, json.dumps(body).encode()
        )
        self._epochs.read(answer)
        if answer.status == 412:
            _read_body(answer)
            return 0
        return _number(_decode_answer(answer), "Ver")

    def _get(
        self, path: str, query: dict[str, str], wait_s: float
    ) -> tuple[dict[str, typing.Any], int]:
        """Return an answer's document and epoch."""
        target = f"{path}?{urllib.parse.urlencode(query)}"
        answer = self._call("GET", target, wait_s)
        epoch = self._epochs.read(answer)
        return _decode_answer(answer), epoch

    def _call(
        self, method: str, target: str, wait_s: float, body: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Make one call.

        :raises gateway_api.StoreError: when there is no answer.
        """
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            # A connection on which no answer came may stay silent: urllib3 closes a
            # connection whose request failed and opens another for the next request.
            return self._pool.urlopen(
                method,
                target,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_WAIT_S, read=wait_s),
                retries=False,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise gateway_api.StoreError(type(exc).__name__) from exc


def _feed(table: str, since: int, wait_s: float) -> tuple[str, dict[str, str]]:
    """Return the path and the query of a request for a table's changes."""
    wait_ms = min(MAX_POLL_WAIT_MS, int(wait_s * 1000))
    query = {"Table": table, "SinceRev": str(since), "WaitMs": str(wait_ms)}
    return "/-/rows-feed", query


def _decode_answer(answer: urllib3.BaseHTTPResponse) -> dict[str, typing.Any]:
    """Return the JSON object of a successful answer.

    :raises gateway_api.HistoryGone: when the store no longer has the changes.
    :raises gateway_api.StoreError: when the answer is a failure, which may name a time
        to wait, or has no JSON object.
    """
    data = _read_body(answer)
    if answer.status == 410:
        raise gateway_api.HistoryGone
    if answer.status in RETRY_STATUSES:
        # 0 leaves the pause to the caller.
        wait, date = (answer.headers.get(n, "") for n in ("Retry-After", "Date"))
        retry_after_s = min(MAX_RETRY_AFTER_S, retry_after.seconds(wait, date) or 0.0)
        raise gateway_api.StoreError(f"status {answer.status}", retry_after_s)
    if answer.status != 200:
        raise gateway_api.StoreError(f"status {answer.status}")
    try:
        body = json.loads(data)
    except ValueError as exc:
        raise gateway_api.StoreError("answer is not JSON") from exc
    if not isinstance(body, dict):
        raise gateway_api.StoreError("answer is not a JSON object")
    return body


def _read_body(answer: urllib3.BaseHTTPResponse) -> bytes:
    """Read an answer's body, and release its connection.

    :raises gateway_api.StoreError: when it broke off, is too large or takes too long.
    """
    clock_ = clock.SteadyClock()
    deadline = clock_.now() + BODY_WAIT_S
    try:
        return http_client.read_body(answer, MAX_ANSWER_BYTES, deadline, clock_)
    except CALL_ERRORS as exc:
        raise gateway_api.StoreError(f"{type(exc).__name__}: {exc}") from exc


def _page(body: dict[str, typing.Any], epoch: int) -> gateway_api.Page:
    """Decode a page of rows.

    :raises gateway_api.StoreError: when the document is not a page of rows.
    """
    return gateway_api.Page(_rows(body), _number(body, "Ver"), _store_now(body), epoch)


def _rows(body: dict[str, typing.Any]) -> list[gateway_api.Row]:
    try:
        return [_row(item) for item in body.get("Rows", ())]
    except (KeyError, TypeError, ValueError) as exc:
        raise gateway_api.StoreError(f"invalid rows: {exc!r}") from exc


def _store_now(body: dict[str, typing.Any]) -> float:
    return _number(body, "NowMs") / 1000


def _number(body: dict[str, typing.Any], name: str) -> int:
    number = body.get(name)
    if not isinstance(number, int | float):
        raise gateway_api.StoreError(f"no number in {name}")
    return int(number)


def _row(item: dict[str, typing.Any]) -> gateway_api.Row:
    value = None
    if not item.get("Tombstone"):
        value = base64.b64decode(item.get("Value") or "")
    return gateway_api.Row(item["Key"], value, item["Ver"])
