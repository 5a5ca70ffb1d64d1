"""HTTP client of one endpoint: a model engine or a plain service.

The engine's published protocol:

* ``POST /v1/chat/completions``: with ``stream`` the response is a stream of
  server-sent events and has an ``X-Stream-Id`` header;
* ``GET /v1/streams/ID?from=N`` resumes a stream at part N, ``DELETE`` cancels it;
* ``GET /load`` reports the load, with a lag; ``POST /orders`` loads or unloads
  a version.
"""

import socket
import typing

import msgspec
import urllib3

from gaprock import (
    answer_memory,
    backoffs,
    clock,
    errorcodes,
    errors,
    eventlog,
    http_client,
    options,
    retry_after,
)

EVENT_END: typing.Final = b"\n\n"
DONE_EVENT: typing.Final = b"data: [DONE]"
POOL_SIZE: typing.Final = 256
ORDER_TIMEOUT_S: typing.Final = 30.0
LOAD_TIMEOUT_S: typing.Final = 1.0
# The largest load report, or answer to an order, bytes.
MAX_REPORT_BYTES: typing.Final = 1024 * 1024
DEFAULT_PORT: typing.Final = 80
MAX_ERROR_CHARS: typing.Final = 200
# Retry delay after a refusal whose ``Retry-After`` is missing, invalid or zero.
REFUSED_RETRY_S: typing.Final = 1.0


class EngineLoad(msgspec.Struct):
    """The load report of an engine."""

    running: int = 0
    slots: int = 0
    versions: list[str] = []
    memory_free: float = 0.0
    epoch: int = 0


class Answer(typing.NamedTuple):
    """A complete, unstreamed answer of an endpoint."""

    status: int
    content_type: str
    body: bytes


class EndpointStream:
    """A streamed answer; each server-sent event is one part, kept as raw bytes.

    :param deadline: the time after which nothing is read.
    :param max_event: the largest event, bytes.
    :param memory: counts the event that is incomplete.
    """

    __slots__ = (
        "stream_id",
        "_resp",
        "_buffer",
        "_deadline",
        "_max_event",
        "_memory",
        "_clock",
        "is_complete",
    )

    def __init__(
        self,
        resp: urllib3.BaseHTTPResponse,
        deadline: float,
        max_event: int,
        memory: answer_memory.AnswerMemory,
        clock_: clock.Clock,
    ) -> None:
        self.stream_id = resp.headers.get("X-Stream-Id", "")
        self._resp = resp
        self._buffer = b""
        self._deadline = deadline
        self._max_event = max_event
        self._memory = memory
        self._clock = clock_
        # Whether the ``[DONE]`` event has been read.
        self.is_complete = False

    def read_parts(self) -> list[bytes]:
        """Read the events that have arrived; block until there is at least one.

        :returns: the events except ``[DONE]``; empty once the stream has ended.
        :raises urllib3.exceptions.HTTPError: when the connection broke.
        :raises errors.GaprockError: ``DEADLINE_RUNNING`` after the deadline, and
            ``STREAM_CUT`` when an event is too large.
        """
        while not self.is_complete:
            try:
                data = http_client.read_some(self._resp, self._deadline, self._clock)
            except http_client.TooLong as exc:
                raise errors.GaprockError(errorcodes.DEADLINE_RUNNING) from exc
            if not data:
                return []
            *events, rest = (self._buffer + data).split(EVENT_END)
            self._keep(rest)
            if events and events[-1] == DONE_EVENT:
                self.is_complete = True
                events.pop()
            if events:
                return [event + EVENT_END for event in events]
        return []

    def _keep(self, rest: bytes) -> None:
        """Keep the beginning of an event that is incomplete."""
        size = len(rest)
        reason = ""
        if size > self._max_event:
            reason = "too large"
        elif not self._memory.change(len(self._buffer), size):
            reason = "without memory"
        if reason:
            detail = f"an event is {reason} after {size} bytes"
            raise errors.GaprockError(errorcodes.STREAM_CUT, detail)
        self._buffer = rest

    def close(self) -> None:
        """Close the connection."""
        self._resp.close()
        self._memory.change(len(self._buffer), 0)
        self._buffer = b""


class Endpoint:
    """Client of one endpoint; thread-safe."""

    __slots__ = ("option", "_pool", "_cfg", "_clock", "_memory", "_backoff_until")

    def __init__(
        self,
        option: options.EndpointOption,
        cfg: options.Options,
        clock_: clock.Clock,
        memory: answer_memory.AnswerMemory | None = None,
    ) -> None:
        self.option = option
        self._memory = memory or answer_memory.AnswerMemory(cfg.max_answers)
        self._cfg = cfg
        self._clock = clock_
        self._pool = http_client.PoolManager(maxsize=POOL_SIZE, retries=False)
        # The endpoint asked for no new requests before this time.
        self._backoff_until = -clock.NEVER

    def call(
        self, path: str, body: bytes, request: str, deadline: float, repeatable: bool
    ) -> Answer:
        """Make one unstreamed call.

        A call that may not be repeated gets a new connection: the endpoint could
        close a pooled one just as the call is written, and then it is unknown
        whether the call was read.

        :raises errors.GaprockError: *not run* when no connection was made or the
            endpoint refused, *outcome unknown* when no complete answer arrived.
        """
        self.check_backoff()
        resp = self._open("POST", path, body, request, deadline, keep=repeatable)
        try:
            data = http_client.read_body(
                resp, self._cfg.max_answer, deadline, self._clock, self._memory
            )
        except urllib3.exceptions.HTTPError as exc:
            raise self._unknown_outcome(exc) from exc
        content_type = resp.headers.get("Content-Type", "application/json")
        return Answer(resp.status, content_type, data)

    def stream(
        self, path: str, body: bytes, request: str, deadline: float
    ) -> EndpointStream:
        """Open a streamed call.

        :raises errors.GaprockError: as ``call``, and ``ENDPOINT_ERROR`` when the
            response has another status than 200.
        """
        self.check_backoff()
        resp = self._open("POST", path, body, request, deadline, keep=True)
        return self._new_stream(resp, deadline)

    def resume(self, stream_id: str, start: int, deadline: float) -> EndpointStream:
        """Resume a stream.

        :param start: number of the first part to read.
        :raises errors.GaprockError: when the endpoint no longer has the stream, or
            as ``call``.
        """
        path = f"/v1/streams/{stream_id}?from={start}"
        resp = self._open("GET", path, None, "", deadline, keep=True)
        return self._new_stream(resp, deadline)

    def _new_stream(
        self, resp: urllib3.BaseHTTPResponse, deadline: float
    ) -> EndpointStream:
        self._check_stream(resp, deadline)
        max_event = self._cfg.max_event
        return EndpointStream(resp, deadline, max_event, self._memory, self._clock)

    def cancel(self, stream_id: str) -> None:
        """Cancel a stream, as far as possible: errors are ignored.

        The stream may have ended already.
        """
        try:
            self._ask("DELETE", f"/v1/streams/{stream_id}", LOAD_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as exc:
            eventlog.info("cancel-failed", stream=stream_id, error=exc)

    def load(self) -> EngineLoad:
        """Read the endpoint's load report.

        :raises urllib3.exceptions.HTTPError: when the endpoint did not answer.
        :raises msgspec.DecodeError: when the report cannot be decoded.
        """
        _, data = self._ask("GET", "/load", LOAD_TIMEOUT_S)
        return msgspec.json.decode(data, type=EngineLoad)

    def _ask(
        self, method: str, path: str, wait_s: float, **more: typing.Any
    ) -> tuple[int, bytes]:
        """Return status and body of a small answer.

        :raises urllib3.exceptions.HTTPError: when there was none in time.
        """
        deadline = self._clock.now() + wait_s
        resp = self._pool.request(
            method,
            self.option.url + path,
            timeout=wait_s,
            preload_content=False,
            **more,
        )
        return resp.status, http_client.read_body(
            resp, MAX_REPORT_BYTES, deadline, self._clock
        )

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        parsed = urllib3.util.parse_url(self.option.url)
        return parsed.host or "", parsed.port or DEFAULT_PORT

    def accepts_connections(self) -> bool:
        """Check whether the endpoint accepts a new TCP connection."""
        try:
            sock = socket.create_connection(self.address, self._cfg.connect_wait_s)
        except OSError:
            return False
        sock.close()
        return True

    def order(self, action: str, version: str, epoch: int) -> None:
        """Send an order.

        :raises errors.GaprockError: ``FENCED`` when the endpoint answers 409, as it
            does when it has seen a higher epoch; ``ENDPOINT_ERROR`` when it answers
            with another status than 200; ``ENDPOINT_UNREACHABLE`` when it does not
            answer.
        """
        body = {"action": action, "version": version, "epoch": epoch}
        try:
            status, data = self._ask("POST", "/orders", ORDER_TIMEOUT_S, json=body)
        except urllib3.exceptions.HTTPError as exc:
            raise errors.GaprockError(
                errorcodes.ENDPOINT_UNREACHABLE, self.option.name
            ) from exc
        if status == 409:
            raise errors.GaprockError(errorcodes.FENCED, _excerpt(data))
        if status != 200:
            raise errors.GaprockError(errorcodes.ENDPOINT_ERROR, _excerpt(data))

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
        pool = self._pool if keep else http_client.PoolManager(retries=False)
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
            raise self._unknown_outcome(exc) from exc
        if self._is_refusal(resp.status):
            resp.close()
            raise self._record_refusal(resp)
        return resp

    def _record_refusal(self, resp: urllib3.BaseHTTPResponse) -> errors.GaprockError:
        """Record the backoff that a refusal asks for, and return the error to raise."""
        now = self._clock.now()
        retry_after_s = retry_after.seconds(
            resp.headers.get("Retry-After", ""), resp.headers.get("Date", "")
        )
        if not retry_after_s:
            return self._refusal_error(now + REFUSED_RETRY_S)
        until = now + min(retry_after_s, backoffs.MAX_BACKOFF_S)
        if now >= self._backoff_until:
            eventlog.info(
                "endpoint-backoff", endpoint=self.option.name, for_s=until - now
            )
        self._backoff_until = max(self._backoff_until, until)
        return self._refusal_error(self._backoff_until)

    def _refusal_error(self, retry_at: float) -> errors.GaprockError:
        name = self.option.name
        return errors.GaprockError(errorcodes.ENDPOINT_REFUSED, name, retry_at)

    @property
    def is_backing_off(self) -> bool:
        """Whether the backoff that the endpoint asked for is still running."""
        return self._clock.now() < self._backoff_until

    def check_backoff(self) -> None:
        """Check that the endpoint is not backing off.

        :raises errors.GaprockError: ``ENDPOINT_REFUSED`` while it is.
        """
        if self.is_backing_off:
            raise self._refusal_error(self._backoff_until)

    def _is_refusal(self, status: int) -> bool:
        """Check whether a status means that the request was certainly not run.

        The engines' protocol guarantees this for 429 and 503.  For a plain service
        only 429 counts: a 503 may come from a server that the service itself calls.
        """
        return status == 429 or (status == 503 and self.option.kind == "engine")

    def _check_stream(self, resp: urllib3.BaseHTTPResponse, deadline: float) -> None:
        if resp.status == 200:
            return
        try:
            data = http_client.read_some(resp, deadline, self._clock)
        except urllib3.exceptions.HTTPError as exc:
            data = repr(exc).encode()
        resp.close()
        raise errors.GaprockError(
            errorcodes.ENDPOINT_ERROR, f"status {resp.status}: {_excerpt(data)}"
        )

    def _unknown_outcome(self, exc: Exception) -> errors.GaprockError:
        return errors.GaprockError(
            errorcodes.OUTCOME_UNKNOWN, f"{self.option.name} gave no answer: {exc}"
        )


def _excerpt(data: bytes) -> str:
    return data[:MAX_ERROR_CHARS].decode("utf-8", "replace")
