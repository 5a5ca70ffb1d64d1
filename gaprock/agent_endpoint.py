"""Calls to one endpoint: a model engine or a plain service, through ``urllib3``.

The engine's published protocol:

* ``POST /v1/chat/completions``: with ``stream`` it answers with server-sent
  events and an ``X-Stream-Id``;
* ``GET /v1/streams/ID?from=N`` takes a stream up again, ``DELETE`` cancels it;
* ``GET /load`` reports the load with a lag; ``POST /orders`` takes orders.
"""

import socket
import typing

import msgspec
import urllib3

from gaprock import backoffs, clock, errorcodes, errors, eventlog, options, retry_after

EVENT_END: typing.Final = b"\n\n"
DONE_EVENT: typing.Final = b"data: [DONE]"
READ_BYTES: typing.Final = 64 * 1024
POOL_SIZE: typing.Final = 256
ORDER_WAIT_S: typing.Final = 30.0
LOAD_WAIT_S: typing.Final = 1.0
DEFAULT_PORT: typing.Final = 80
MAX_ERROR_CHARS: typing.Final = 200
# When to come back after a refusal that names no time, seconds.
REFUSED_RETRY_S: typing.Final = 1.0


class EngineLoad(msgspec.Struct):
    """What an engine reports of itself."""

    running: int = 0
    slots: int = 0
    versions: list[str] = []
    memory_free: float = 0.0
    epoch: int = 0


class Answer(typing.NamedTuple):
    """A whole answer of an endpoint."""

    status: int
    content_type: str
    body: bytes


class EndpointStream:
    """A streamed answer, one event a part, as raw bytes."""

    __slots__ = ("stream_id", "_resp", "_buffer", "whole")

    def __init__(self, resp: urllib3.BaseHTTPResponse) -> None:
        self.stream_id = resp.headers.get("X-Stream-Id", "")
        self._resp = resp
        self._buffer = b""
        # Whether the end mark has been read.
        self.whole = False

    def read_parts(self) -> list[bytes]:
        """Read the events that are there, waiting for one at least.

        :returns: the events without the end mark; empty at the stream's end.
        :raises urllib3.exceptions.HTTPError: when the connection broke.
        """
        while not self.whole:
            data = self._resp.read1(READ_BYTES)
            if not data:
                return []
            *events, self._buffer = (self._buffer + data).split(EVENT_END)
            if events and events[-1] == DONE_EVENT:
                self.whole = True
                events.pop()
            if events:
                return [event + EVENT_END for event in events]
        return []

    def close(self) -> None:
        """Close the connection."""
        self._resp.close()


class Endpoint:
    """One endpoint; safe for all threads."""

    __slots__ = ("option", "_pool", "_cfg", "_clock", "_backoff_until")

    def __init__(
        self, option: options.EndpointOption, cfg: options.Options, clock_: clock.Clock
    ) -> None:
        self.option = option
        self._cfg = cfg
        self._clock = clock_
        self._pool = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False)
        # Until when the endpoint wants no new requests.
        self._backoff_until = -clock.NEVER

    def call(
        self, path: str, body: bytes, request: str, deadline: float, repeatable: bool
    ) -> Answer:
        """Make one whole call.

        One that may not be repeated gets a connection of its own: a kept one could be
        closed by the other side just as the call is written, and then nobody knows
        whether the call was read.

        :raises errors.GaprockError: *not run* when no connection was made or the
            endpoint refused, *outcome unknown* when its answer did not come.
        """
        self.check_backoff()
        resp = self._open("POST", path, body, request, deadline, keep=repeatable)
        try:
            data = resp.read()
        except urllib3.exceptions.HTTPError as exc:
            raise self._unknown(exc) from exc
        resp.release_conn()
        content_type = resp.headers.get("Content-Type", "application/json")
        return Answer(resp.status, content_type, data)

    def stream(
        self, path: str, body: bytes, request: str, deadline: float
    ) -> EndpointStream:
        """Open a streamed call.

        :raises errors.GaprockError: as ``call``; ``ENDPOINT_ERROR`` when the
            endpoint answered with an error.
        """
        self.check_backoff()
        resp = self._open("POST", path, body, request, deadline, keep=True)
        self._check_stream(resp)
        return EndpointStream(resp)

    def resume(self, stream_id: str, start: int, deadline: float) -> EndpointStream:
        """Take a stream up again from a part's number.

        :raises errors.GaprockError: when the endpoint does not have it any more.
        """
        path = f"/v1/streams/{stream_id}?from={start}"
        resp = self._open("GET", path, None, "", deadline, keep=True)
        self._check_stream(resp)
        return EndpointStream(resp)

    def cancel(self, stream_id: str) -> None:
        """Cancel a stream; the endpoint may have ended it already."""
        try:
            self._pool.request(
                "DELETE",
                f"{self.option.url}/v1/streams/{stream_id}",
                timeout=LOAD_WAIT_S,
            )
        except urllib3.exceptions.HTTPError:
            return

    def load(self) -> EngineLoad:
        """Read the endpoint's load report.

        :raises urllib3.exceptions.HTTPError: when it did not answer.
        :raises msgspec.DecodeError: when the report is unreadable.
        """
        resp = self._pool.request("GET", self.option.url + "/load", timeout=LOAD_WAIT_S)
        return msgspec.json.decode(resp.data, type=EngineLoad)

    def takes_connections(self) -> bool:
        """Whether the endpoint takes a new connection now."""
        parsed = urllib3.util.parse_url(self.option.url)
        address = parsed.host or "", parsed.port or DEFAULT_PORT
        try:
            sock = socket.create_connection(address, self._cfg.connect_wait_s)
        except OSError:
            return False
        sock.close()
        return True

    def order(self, action: str, version: str, epoch: int) -> None:
        """Give an order.

        :raises errors.GaprockError: ``FENCED`` when the endpoint knows a higher
            epoch, ``ENDPOINT_ERROR`` or ``ENDPOINT_UNREACHABLE``.
        """
        body = {"action": action, "version": version, "epoch": epoch}
        try:
            resp = self._pool.request(
                "POST", self.option.url + "/orders", json=body, timeout=ORDER_WAIT_S
            )
        except urllib3.exceptions.HTTPError as exc:
            raise errors.GaprockError(
                errorcodes.ENDPOINT_UNREACHABLE, self.option.name
            ) from exc
        if resp.status == 409:
            raise errors.GaprockError(errorcodes.FENCED, _excerpt(resp.data))
        if resp.status != 200:
            raise errors.GaprockError(errorcodes.ENDPOINT_ERROR, _excerpt(resp.data))

    def _open(
        self,
        method: str,
        path: str,
        body: bytes | None,
        request: str,
        deadline: float,
        keep: bool,
    ) -> urllib3.BaseHTTPResponse:
        headers = {"Content-Type": "application/json", "X-Request-Id": request}
        if not keep:
            headers["Connection"] = "close"
        left = max(0.001, clock.remaining(deadline, self._clock))
        timeout = urllib3.Timeout(
            connect=min(left, self._cfg.connect_wait_s),
            read=min(left, self._cfg.endpoint_silent_s),
        )
        pool = self._pool if keep else urllib3.PoolManager(retries=False)
        try:
            resp = pool.request(
                method,
                self.option.url + path,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise errors.GaprockError(
                errorcodes.ENDPOINT_UNREACHABLE, self.option.name
            ) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise self._unknown(exc) from exc
        if self._was_refused(resp.status):
            resp.close()
            raise self._refused(resp)
        return resp

    def _refused(self, resp: urllib3.BaseHTTPResponse) -> errors.GaprockError:
        """Take a refusal, and how long the endpoint wants nothing more."""
        now = self._clock.now()
        named_s = retry_after.seconds(
            resp.headers.get("Retry-After", ""), resp.headers.get("Date", "")
        )
        if not named_s:
            return self._refusal(now + REFUSED_RETRY_S)
        until = now + min(named_s, backoffs.LONGEST_S)
        if now >= self._backoff_until:
            eventlog.info(
                "endpoint-backoff", endpoint=self.option.name, for_s=until - now
            )
        self._backoff_until = max(self._backoff_until, until)
        return self._refusal(self._backoff_until)

    def _refusal(self, retry_at: float) -> errors.GaprockError:
        name = self.option.name
        return errors.GaprockError(errorcodes.ENDPOINT_REFUSED, name, retry_at)

    @property
    def is_backing_off(self) -> bool:
        """Whether it turned a request away and wants nothing more for now."""
        return self._clock.now() < self._backoff_until

    def check_backoff(self) -> None:
        """Refuse a request that the endpoint does not want now.

        :raises errors.GaprockError: ``ENDPOINT_REFUSED``.
        """
        if self.is_backing_off:
            raise self._refusal(self._backoff_until)

    def _was_refused(self, status: int) -> bool:
        """Whether a status says that the request was surely not run.

        Engines publish that of 429 and 503.  Of a plain service only 429 is
        believed: a 503 may come from something that stands behind it.
        """
        return status == 429 or (status == 503 and self.option.kind == "engine")

    def _check_stream(self, resp: urllib3.BaseHTTPResponse) -> None:
        if resp.status == 200:
            return
        data = resp.read()
        raise errors.GaprockError(
            errorcodes.ENDPOINT_ERROR, f"status {resp.status}: {_excerpt(data)}"
        )

    def _unknown(self, exc: Exception) -> errors.GaprockError:
        return errors.GaprockError(
            errorcodes.OUTCOME_UNKNOWN, f"{self.option.name} gave no answer: {exc}"
        )


def _excerpt(data: bytes) -> str:
    return data[:MAX_ERROR_CHARS].decode("utf-8", "replace")
