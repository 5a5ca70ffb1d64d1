"""Client of the platform's metadata store."""

import base64
import json
import socket
import typing
import urllib.parse

import urllib3

from gaprock import gateway_api, plugin

# Longest wait for an ordinary answer, seconds; the store's usual answer takes 4 ms.
ANSWER_WAIT_S: typing.Final = 2.0
# A long poll is given up this long after the store should have answered, seconds.
POLL_SLACK_S: typing.Final = 2.0
# A long poll says nothing for long, so the connection itself has to show that the store
# is still there: probes after a second, given up after these milliseconds.
SILENT_MS: typing.Final = 2000
SOCKET_OPTIONS: typing.Final = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS),
]
MAX_WAIT_MS: typing.Final = 30_000
RETRY_STATUSES: typing.Final = (429, 503)


@plugin.register(gateway_api.SharedStore, "platform")
class PlatformStore(gateway_api.SharedStore):
    """Rows over HTTP; each call uses a connection that is dropped when it fails.

    :param address: ``IP:PORT`` of the store.
    """

    __slots__ = ("_pool",)

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=8,
            block=False,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )

    def read(self, table: str) -> gateway_api.Page:
        rows: list[gateway_api.Row] = []
        start = ""
        while True:
            query = {"Table": table, "part": ""}
            if start:
                query["From"] = start
            body = self._get("/-/rows-get", query, ANSWER_WAIT_S)
            rows += [_row(item) for item in body.get("Rows", ())]
            if not body.get("HasMore"):
                return gateway_api.Page(rows, body["Ver"], body["NowMs"] / 1000)
            # The next page begins at the smallest key after the last one.
            start = rows[-1].key + "\0"

    def follow(self, table: str, since: int, wait_s: float) -> gateway_api.Page:
        wait_ms = min(MAX_WAIT_MS, int(wait_s * 1000))
        query = {"Table": table, "SinceRev": str(since), "WaitMs": str(wait_ms)}
        body = self._get("/-/rows-feed", query, wait_s + POLL_SLACK_S)
        rows = [_row(item) for item in body.get("Rows", ())]
        return gateway_api.Page(rows, body["Ver"], body["NowMs"] / 1000)

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
        status, answer = self._call(
            "POST", "/-/rows-tx", ANSWER_WAIT_S, json.dumps(body).encode()
        )
        if status == 412:
            return 0
        return int(_body(status, answer)["Ver"])

    def _get(
        self, path: str, query: dict[str, str], wait_s: float
    ) -> dict[str, typing.Any]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        status, body = self._call("GET", target, wait_s)
        if status == 410:
            raise gateway_api.HistoryGone
        return _body(status, body)

    def _call(
        self, method: str, target: str, wait_s: float, body: bytes | None = None
    ) -> tuple[int, bytes]:
        """Make one call.

        :raises gateway_api.StoreError: without an answer, or when told to wait.
        """
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            # An answer that did not come leaves its connection mute: urllib3 closes
            # a connection whose request failed and opens another for the next one.
            answer = self._pool.urlopen(
                method,
                target,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=1.0, read=wait_s),
                retries=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise gateway_api.StoreError(type(exc).__name__) from exc
        if answer.status in RETRY_STATUSES:
            retry_s = _seconds(answer.headers.get("Retry-After", ""))
            raise gateway_api.StoreError(f"status {answer.status}", retry_s)
        return answer.status, answer.data


def _body(status: int, body: bytes) -> dict[str, typing.Any]:
    """Decode an answer.

    :raises gateway_api.StoreError: when it is no success.
    """
    if status != 200:
        raise gateway_api.StoreError(f"status {status}")
    try:
        return typing.cast("dict[str, typing.Any]", json.loads(body))
    except ValueError as exc:
        raise gateway_api.StoreError("no JSON") from exc


def _row(item: dict[str, typing.Any]) -> gateway_api.Row:
    value = None
    if not item.get("Tombstone"):
        value = base64.b64decode(item.get("Value") or "")
    return gateway_api.Row(item["Key"], value, item["Ver"])


def _seconds(text: str) -> float:
    """Read a Retry-After; 0 for none, which leaves the pause to the caller."""
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0
