"""Clients of the platform services over HTTP and JSON."""

import functools
import re
import time
import typing

import msgspec
import pybreaker
import urllib3

from gaprock import (
    clock,
    eventlog,
    gateway_api,
    http_client,
    invalid_rows,
    options,
    plugin,
    retry_after,
    services_api,
)

DEFAULT_RETRY_S: typing.Final = 1.0
POOL_SIZE: typing.Final = 16
# The largest answer of a service, bytes.
MAX_ANSWER_BYTES: typing.Final = 16 * 1024 * 1024
# After this many consecutive failures the circuit breaker opens: table calls fail at
# once ...
BREAKER_FAILURES: typing.Final = 2
# ... until this time has passed; then one call is let through as a test.
BREAKER_RESET_S: typing.Final = 1.0
# A string, or a character that structures a JSON document.
TOKEN: typing.Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)


class Http:
    """HTTP client that the clients of all services share; thread-safe."""

    __slots__ = ("_base", "_pool", "_headers", "_wait_s")

    def __init__(self, cfg: options.Options) -> None:
        self._base = cfg.platform.rstrip("/")
        self._pool = http_client.PoolManager(maxsize=POOL_SIZE, retries=False)
        self._headers = {"Content-Type": "application/json"}
        if cfg.platform_token:
            self._headers["Authorization"] = f"Bearer {cfg.platform_token}"
        self._wait_s = cfg.platform_wait_s

    def call(self, method: str, path: str, body: bytes | None) -> bytes:
        """Make one call.

        :returns: the body of the response; empty for status 404.
        :raises services_api.AnswerLost: when the call may have been carried out.
        :raises services_api.RateLimited: when the service limits the rate of calls.
        :raises services_api.PlatformError: when it was not carried out.
        """
        try:
            resp, data = self._request(method, path, body)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise services_api.PlatformError(str(exc)) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise services_api.AnswerLost(str(exc)) from exc
        retry_after_s = retry_after.seconds(
            resp.headers.get("Retry-After", ""), resp.headers.get("Date", "")
        )
        seconds = DEFAULT_RETRY_S if retry_after_s is None else retry_after_s
        if resp.status == 429:
            raise services_api.RateLimited("status 429", time.time() + seconds)
        if resp.status == 503:
            raise services_api.PlatformError("status 503", time.time() + seconds)
        if resp.status >= 500:
            raise services_api.AnswerLost(f"status {resp.status}")
        if resp.status == 404:
            return b""
        if resp.status not in (200, 409):
            raise services_api.PlatformError(f"status {resp.status}")
        return data

    def _request(
        self, method: str, path: str, body: bytes | None
    ) -> tuple[urllib3.BaseHTTPResponse, bytes]:
        """Send a request; a read is sent again if its kept connection was closed.

        :returns: the answer and its body.
        """
        send = functools.partial(self._send, method, path, body)
        try:
            return send()
        except urllib3.exceptions.ProtocolError as exc:
            if method != "GET":
                raise
            eventlog.info("service-read-again", path=path, error=exc)
        return send()

    def _send(
        self, method: str, path: str, body: bytes | None
    ) -> tuple[urllib3.BaseHTTPResponse, bytes]:
        clock_ = clock.SteadyClock()
        deadline = clock_.now() + self._wait_s
        resp = self._pool.request(
            method,
            self._base + path,
            body=body,
            headers=self._headers,
            timeout=urllib3.Timeout(total=self._wait_s),
            preload_content=False,
        )
        data = http_client.read_body(resp, MAX_ANSWER_BYTES, deadline, clock_)
        return resp, data


T = typing.TypeVar("T")


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except invalid_rows.DECODE_ERRORS as exc:
        raise services_api.AnswerLost(f"unreadable answer: {exc}") from exc


class _ListDecoder:
    """Decodes arrays; an element that another writer made unreadable is left out.

    :param key_field: names an element in the log.
    """

    __slots__ = ("_key", "_invalid")

    def __init__(self, table: str, key_field: str) -> None:
        self._key = re.compile(rb'"%s"\s*:\s*"([^"\\]*)"' % key_field.encode())
        self._invalid = invalid_rows.InvalidRows(table, clock.SteadyClock())

    def decode(self, data: bytes, kind: type[T]) -> list[T]:
        """Decode an array of elements of a kind."""
        try:
            listed: type[list[T]] = list[kind]  # type: ignore[valid-type]
            return msgspec.json.decode(data, type=listed)
        except invalid_rows.DECODE_ERRORS:
            return list(self._decode_each(data, kind))

    def _decode_each(self, data: bytes, kind: type[T]) -> typing.Iterator[T]:
        for element in _elements(data):
            try:
                yield invalid_rows.decode(kind, element)
            except gateway_api.InvalidDocument as exc:
                named = self._key.search(element)
                key = named.group(1).decode("utf-8", "replace") if named else ""
                self._invalid.record(gateway_api.Row(key, element, 0), exc)


def _elements(data: bytes) -> typing.Iterator[bytes]:
    """Split a JSON array into its elements, whatever they contain."""
    depth, begin = 0, 0
    for token in TOKEN.finditer(data):
        text = token.group()
        if text in (b"[", b"{"):
            depth += 1
            begin = token.end() if depth == 1 else begin
        elif text in (b"]", b"}"):
            depth -= 1
        if depth == 0 or (depth == 1 and text == b","):
            if data[begin : token.start()].strip():
                yield data[begin : token.start()]
            begin = token.end()
        if depth == 0:
            return


class ReadRequest(msgspec.Struct):
    """Request for rows by key."""

    keys: list[str]


class ScanRequest(msgspec.Struct):
    """Request for rows by key prefix."""

    prefix: str
    after: str
    limit: int


class TxRequest(msgspec.Struct):
    """Request for a transaction."""

    ops: list[services_api.TableOp]


class RateRequest(msgspec.Struct):
    """Request for a rating."""

    workspace: str
    body: str
    answer: str


class RateAnswer(msgspec.Struct):
    """A rating from 0 to 1."""

    rating: float


class HttpTable(services_api.Table):
    """The table service, behind a circuit breaker."""

    __slots__ = ("_http", "_breaker", "_rows")

    def __init__(self, http: Http) -> None:
        self._http = http
        self._rows = _ListDecoder("table", "key")
        self._breaker = pybreaker.CircuitBreaker(
            fail_max=BREAKER_FAILURES,
            reset_timeout=BREAKER_RESET_S,
            exclude=[services_api.RateLimited],
            throw_new_error_on_trip=False,
        )

    def _call(self, path: str, body: bytes) -> bytes:
        try:
            return self._breaker.call(self._http.call, "POST", path, body)
        except pybreaker.CircuitBreakerError as exc:
            raise services_api.PlatformError(
                "the table did not answer just now", time.time() + BREAKER_RESET_S
            ) from exc

    def transact(self, ops: list[services_api.TableOp]) -> services_api.TxResult:
        body = msgspec.json.encode(TxRequest(ops))
        data = self._call("/table/transact", body)
        return _decode(data, services_api.TxResult)

    def read(self, keys: list[str]) -> list[services_api.Row]:
        body = msgspec.json.encode(ReadRequest(keys))
        data = self._call("/table/read", body)
        rows = _decode(data, list[services_api.Row])
        if len(rows) != len(keys):
            raise services_api.AnswerLost("answer has another number of rows")
        return rows

    def scan(self, prefix: str, after: str, limit: int) -> list[services_api.Row]:
        body = msgspec.json.encode(ScanRequest(prefix, after, limit))
        data = self._call("/table/scan", body)
        return self._rows.decode(data, services_api.Row)


class HttpObjects(services_api.Objects):
    """The object store."""

    __slots__ = ("_http",)

    def __init__(self, http: Http) -> None:
        self._http = http

    def put(self, name: str, data: bytes) -> None:
        self._http.call("PUT", f"/objects/{name}", data)

    def get(self, name: str) -> bytes | None:
        return self._http.call("GET", f"/objects/{name}", None) or None


class HttpRater(services_api.Rater):
    """The rating service."""

    __slots__ = ("_http",)

    def __init__(self, http: Http) -> None:
        self._http = http

    def rate(self, workspace: str, body: bytes, answer: bytes) -> float | None:
        req = RateRequest(
            workspace,
            body.decode("utf-8", "replace"),
            answer.decode("utf-8", "replace"),
        )
        try:
            data = self._http.call("POST", "/rating", msgspec.json.encode(req))
            return _decode(data, RateAnswer).rating
        except services_api.PlatformError:
            return None


class HttpVmList(services_api.VmList):
    """The VM list."""

    __slots__ = ("_http", "_entries")

    def __init__(self, http: Http) -> None:
        self._http = http
        self._entries = _ListDecoder("vms", "vm")

    def vms(self) -> list[services_api.Vm]:
        data = self._http.call("GET", "/vms", None)
        return self._entries.decode(data, services_api.Vm)


@plugin.register(services_api.Connector, "http")
class HttpConnector(services_api.Connector):
    """Creates clients of all services at one base URL."""

    __slots__ = ()

    def connect(self, cfg: options.Options) -> services_api.Platform:
        http = Http(cfg)
        return services_api.Platform(
            HttpTable(http), HttpObjects(http), HttpRater(http), HttpVmList(http)
        )
