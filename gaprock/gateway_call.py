"""A request in progress in a gateway, and the interface of the reply to its caller."""

import typing
import zlib

from gaprock import (
    body_memory,
    errorcodes,
    gateway_api,
    held_bytes,
    http_exchange,
    request_fingerprint,
    retry_budget,
    routes,
)

Headers = gateway_api.Headers
# Number of leading prompt parts that identify the subject; later ones differ from
# request to request.
SUBJECT_PARTS: typing.Final = 2


class Inbound:
    """A request as read from the caller.

    :param target: path and query exactly as the caller sent them.
    :param arrived_at: when its head was read.
    :param holding: the account of its bytes beside slow readers; ``None`` if there is
        none.
    :param memory: the memory of all whole bodies; ``None`` if it is not bounded.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "arrived_at",
        "holding",
        "memory",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        arrived_at: float,
        holding: held_bytes.Holding | None = None,
        memory: body_memory.Share | None = None,
    ) -> None:
        self.holding = holding
        self.memory = memory
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_at = arrived_at

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class Reply(typing.Protocol):
    """Interface of the reply to the caller.

    Every method raises ``http_exchange.CallerGone`` when the caller has left.
    """

    caller: http_exchange.Caller

    def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a stream."""

    def write(self, data: bytes) -> None:
        """Send a piece of a stream."""

    def end(self) -> None:
        """Mark a stream as complete."""

    def cut(self) -> None:
        """Break off a stream, so that it cannot be taken for complete."""


class Call:
    """A checked request and its progress so far.

    :param deadline: when its final answer is due.
    :param wait_until: until when the caller waits.
    :param session: requests with the same value stay on one version.
    """

    __slots__ = (
        "inbound",
        "info",
        "route",
        "workspace",
        "config_number",
        "deadline",
        "wait_until",
        "session",
        "urgency",
        "sends",
        "excluded",
        "has_run",
        "runs_well",
        "failed_versions",
        "service",
        "model",
        "endpoint",
        "last_answer",
        "status",
        "first_write_at",
        "last_write_at",
        "longest_gap_s",
        "events",
        "charge",
        "is_repeat_refused",
        "_fingerprint",
        "_families",
        "_segments",
    )

    def __init__(
        self,
        inbound: Inbound,
        info: gateway_api.RequestInfo,
        route: routes.Route,
        workspace: routes.Workspace | None,
        config_number: int,
        service: str,
    ) -> None:
        self.inbound = inbound
        self.info = info
        self.route = route
        self.workspace = workspace
        self.config_number = config_number
        self.service = service
        now = inbound.arrived_at
        wait_s = route.timeout_s if info.wait_s is None else info.wait_s
        self.wait_until = now + wait_s
        self.deadline = now + min(wait_s, route.timeout_s)
        self.session = info.session or _last_part(info) or info.request
        own = workspace.priority if workspace else None
        self.urgency = route.priority if own is None else own
        # Number of sends so far, and the incarnations of endpoints to which it is not
        # sent again.
        self.sends = 0
        self.excluded: set[str] = set()
        # Whether an endpoint may have begun to run it.
        self.has_run = False
        # Whether its present send has run for longer than a poison request would.
        self.runs_well = False
        # Versions whose answers to this call were failures.
        self.failed_versions: set[str] = set()
        # Model and endpoint that the answer came from, for the log.
        self.model = ""
        self.endpoint = ""
        # Status of the endpoint's answer that the caller gets; 0 for none.
        self.status = 0
        # The model that was asked last, and its confidence in its answer.
        self.last_answer: tuple[str, float | None] = ("", None)
        # When the first and the last bytes were written to the caller, and the longest
        # gap between two writes.
        self.first_write_at = 0.0
        self.last_write_at = 0.0
        self.longest_gap_s = 0.0
        # Number of events written to the caller.
        self.events = 0
        # The charge of its next send to the retry budget, if that is a repeat.
        self.charge: retry_budget.Charge | None = None
        # Whether the retry budget refused a repeat of it.
        self.is_repeat_refused = False
        self._fingerprint: int | None = None
        self._families: tuple[int, ...] | None = None
        self._segments: tuple[int, ...] | None = None
        if inbound.holding is not None:
            owner = workspace.name if workspace else "none"
            inbound.holding.name(info.request, owner)

    @property
    def fingerprint(self) -> int:
        """The request's fingerprint."""
        if self._fingerprint is None:
            self._fingerprint = request_fingerprint.fingerprint_of(
                self._content, self.families[0]
            )
        return self._fingerprint

    @property
    def families(self) -> tuple[int, ...]:
        """Fingerprints of its families, the widest first.

        The body is hashed on first use.
        """
        if self._families is None:
            content = self._content
            self._families = request_fingerprint.families_of(
                content, request_fingerprint.family_of(content)
            )
        return self._families

    @property
    def _content(self) -> request_fingerprint.Content:
        path, _, query = self.inbound.target.partition(b"?")
        info = self.info
        counts = (str(info.tokens_in), str(info.tokens_out))
        parts = (f"{name}:{tokens}" for name, tokens in info.parts)
        return request_fingerprint.Content(
            self.workspace.name if self.workspace else info.key,
            info.host,
            self.inbound.method,
            path,
            query,
            (info.model, *counts, *parts),
            self.inbound.body,
        )

    @property
    def segments(self) -> tuple[int, ...]:
        """Fingerprints of its prompt's shared segments, which are all but the last."""
        if self._segments is None:
            self._segments = tuple(
                request_fingerprint.segment_fingerprint(self.service, name)
                for name, _ in self.info.parts[:-1]
            )
        return self._segments

    @property
    def shared(self) -> tuple[int, ...]:
        """Fingerprints of all that it may share with other requests."""
        return (*self.segments, *self.families)

    def is_same_request(self, other: "Call") -> bool:
        """Return whether two calls are attempts at the same request.

        The bodies are hashed only if the targets and the sizes are the same.
        """
        if self.inbound.target != other.inbound.target:
            return False
        is_same_size = len(self.inbound.body) == len(other.inbound.body)
        return is_same_size and self.fingerprint == other.fingerprint

    def record_write(self, now: float) -> None:
        """Record a write to the caller."""
        if self.first_write_at:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_write_at)
        else:
            self.first_write_at = now
        self.last_write_at = now

    @property
    def place(self) -> int:
        """A hash of its subject, equal for requests that share long prompt parts."""
        names = [name for name, _ in self.info.parts[:SUBJECT_PARTS]]
        text = "/".join(names) if len(names) == SUBJECT_PARTS else self.session
        return zlib.crc32(text.encode())

    @property
    def sends_left(self) -> int:
        """Number of sends that are left."""
        return self.route.attempts - self.sends

    @property
    def is_in_session(self) -> bool:
        """Whether the caller named a session that the request belongs to."""
        return bool(self.info.session)

    @property
    def gap_goal_s(self) -> float:
        """The longest event gap that is in time; 0 if the answer is no stream."""
        return self.route.gap_s if self.route.kind is routes.RouteKind.STREAM else 0.0

    @property
    def goal_at(self) -> float:
        """Time until which an answer has its full value."""
        return self.inbound.arrived_at + self.route.goal_s


class CallError(Exception):
    """Ends a call with a final answer of the gateway itself.

    :param code: the registered result code.
    :param retry_after_s: time after which to retry a call that was not run.
    """

    def __init__(
        self,
        code: errorcodes.ErrorCode,
        detail: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(code, detail, retry_after_s)
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s


def session_hash(call: Call) -> str:
    """Return a short hash of a call's session for the log; ``none`` without one."""
    if not call.is_in_session:
        return "none"
    return f"{zlib.crc32(call.session.encode()):08x}"


def _last_part(info: gateway_api.RequestInfo) -> str:
    return info.parts[-1][0] if info.parts else ""
