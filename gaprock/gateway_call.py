"""A request on its way through a gateway, and the way back to its caller."""

import typing
import zlib

from gaprock import errorcodes, gateway_api, http_exchange, request_fingerprint, routes

Headers = gateway_api.Headers
# The first parts of a prompt name its subject; what follows is a request's own.
SUBJECT_PARTS: typing.Final = 2


class Inbound:
    """A request as it was read from the caller.

    :param target: path and query as the caller wrote them.
    :param arrived_at: when its head was read.
    """

    __slots__ = ("method", "target", "headers", "body", "arrived_at")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        arrived_at: float,
    ) -> None:
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
    """The way back to the caller.

    Every method raises ``http_exchange.CallerGone`` when the caller left.
    """

    caller: http_exchange.Caller

    def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Give a whole answer."""

    def begin(self, status: int, headers: Headers) -> None:
        """Give the head of a stream."""

    def write(self, data: bytes) -> None:
        """Give a piece of a stream."""

    def end(self) -> None:
        """Mark a stream as whole."""

    def cut(self) -> None:
        """Break a stream off, so that it cannot be taken for whole."""


class Call:
    """A checked request and what was done for it so far.

    :param deadline: when its final answer is due.
    :param wait_until: until when the caller waits.
    :param session: requests with the same text stay on one version.
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
        "_mark",
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
        # Sends so far, and the lives of endpoints that are not asked again.
        self.sends = 0
        self.excluded: set[str] = set()
        # Whether an endpoint may have begun to run it.
        self.has_run = False
        # Versions whose answers to it were failures.
        self.failed_versions: set[str] = set()
        # What the answer came from, for the log.
        self.model = ""
        self.endpoint = ""
        # The status that the caller got from an endpoint; 0 for none.
        self.status = 0
        # The model that was asked last, and its confidence.
        self.last_answer: tuple[str, float | None] = ("", None)
        # When the caller got the first and the last bytes, and the longest pause
        # between two writes, seconds.
        self.first_write_at = 0.0
        self.last_write_at = 0.0
        self.longest_gap_s = 0.0
        # Events that the caller got.
        self.events = 0
        self._mark: int | None = None

    @property
    def mark(self) -> int:
        """The request's mark; hashes the body when it is first asked for."""
        if self._mark is None:
            caller = self.workspace.name if self.workspace else self.info.key
            self._mark = request_fingerprint.fingerprint_of(
                caller, self.info.host, self.inbound.path, self.inbound.body
            )
        return self._mark

    def is_same_request(self, other: "Call") -> bool:
        """Whether two calls are tries of one request; hashes likely ones alone."""
        if self.inbound.path != other.inbound.path:
            return False
        is_same_size = len(self.inbound.body) == len(other.inbound.body)
        return is_same_size and self.mark == other.mark

    def record_write(self, now: float) -> None:
        """Note that the caller is given bytes."""
        if self.first_write_at:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_write_at)
        else:
            self.first_write_at = now
        self.last_write_at = now

    @property
    def place(self) -> int:
        """A hash of what it is about, alike for requests that share long parts."""
        names = [name for name, _ in self.info.parts[:SUBJECT_PARTS]]
        text = "/".join(names) if len(names) == SUBJECT_PARTS else self.session
        return zlib.crc32(text.encode())

    @property
    def sends_left(self) -> int:
        """Endpoints that it may still be sent to."""
        return self.route.attempts - self.sends

    @property
    def is_in_session(self) -> bool:
        """Whether the caller named a session that the request belongs to."""
        return bool(self.info.session)

    @property
    def gap_goal_s(self) -> float:
        """The longest pause between events in time; 0 for what is no stream."""
        return self.route.gap_s if self.route.kind is routes.RouteKind.STREAM else 0.0

    @property
    def goal_at(self) -> float:
        """Until when an answer has its full value."""
        return self.inbound.arrived_at + self.route.goal_s


class CallError(Exception):
    """A call gets a final answer of our own.

    :param code: the registered result code.
    :param retry_after_s: seconds after which to come back, for one that was not run.
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
    """Give a short name of a call's session for the log; ``none`` if it names none."""
    if not call.is_in_session:
        return "none"
    return f"{zlib.crc32(call.session.encode()):08x}"


def _last_part(info: gateway_api.RequestInfo) -> str:
    return info.parts[-1][0] if info.parts else ""
