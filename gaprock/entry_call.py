"""Parsing and checking of callers' requests, before anything is run."""

import typing

import msgspec

from gaprock import (
    bills,
    clock,
    config,
    documents,
    errorcodes,
    errors,
    ids,
    options,
    request_fingerprint,
    sessions,
)

CHAT_PATH: typing.Final = "/v1/chat/completions"
# Characters of the first message whose hash identifies the prompt's prefix.
PREFIX_CHARS: typing.Final = 512
MAX_TOKENS: typing.Final = 1_000_000

Headers = typing.Mapping[str, str]
JsonObject = dict[str, typing.Any]


class ChatFields(msgspec.Struct):
    """The fields of a chat request that are checked; others are passed on unchecked."""

    model: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    messages: typing.Annotated[list[JsonObject], msgspec.Meta(min_length=1)]
    stream: bool = False
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] | None = None
    max_completion_tokens: (
        typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] | None
    ) = None
    temperature: typing.Annotated[float, msgspec.Meta(ge=0, le=2)] | None = None
    top_p: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None
    n: typing.Annotated[int, msgspec.Meta(ge=1, le=1)] | None = None


class SessionFields(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /v1/sessions``."""

    template: str


class Call:
    """A checked request."""

    __slots__ = (
        "request",
        "template",
        "workspace",
        "stream",
        "fields",
        "raw",
        "deadline",
        "first_part_by",
        "session",
        "token",
        "digest",
        "prefix",
    )

    def __init__(
        self,
        request: str,
        template: documents.Template,
        fields: JsonObject,
        raw: bytes,
        stream: bool,
        deadline: float,
        now: float,
    ) -> None:
        self.request = request
        self.template = template
        self.workspace = template.workspace
        # The decoded body; only a chat is encoded again, with its version as model.
        self.fields = fields
        self.raw = raw
        self.stream = stream
        self.deadline = deadline
        self.first_part_by = min(deadline, now + template.first_part_s)
        if not stream:
            # Without a stream, only the deadline limits how long the call may queue.
            self.first_part_by = deadline
        self.session: sessions.Session | None = None
        # The session's token as the caller sent it.
        self.token = ""
        self.digest = ids.digest(raw)
        self.prefix = ""

    @property
    def fingerprint(self) -> int:
        """The request's fingerprint."""
        content = request_fingerprint.Content(
            self.workspace,
            "",
            b"POST",
            self.template.name.encode(),
            b"",
            (),
            self.digest.encode(),
        )
        family = request_fingerprint.family_of(content)
        return request_fingerprint.fingerprint_of(content, family)

    @property
    def bill_key(self) -> str:
        """The key under which the request's bill is stored."""
        return bills.key_of(self.workspace, self.request, self.digest)

    def body_for(self, version: str) -> bytes:
        """Return the body to send to an endpoint for a version."""
        if self.template.kind == documents.CALL:
            return self.raw
        return msgspec.json.encode({**self.fields, "model": version})

    @property
    def path(self) -> str:
        """The path to call at the endpoint."""
        is_call = self.template.kind == documents.CALL
        return self.template.path if is_call else CHAT_PATH


class Parser:
    """Parses requests and checks them against the configuration."""

    __slots__ = ("_cfg", "_clock", "_config", "_signer")

    def __init__(
        self,
        cfg: options.Options,
        clock_: clock.Clock,
        config_: config.Config,
        signer: sessions.Signer,
    ) -> None:
        self._cfg = cfg
        self._clock = clock_
        self._config = config_
        self._signer = signer

    def workspace(self, headers: Headers) -> str:
        """Return the caller's workspace.

        :raises errors.GaprockError: ``NOT_READY`` or ``UNAUTHORIZED``.
        """
        if not self._config.ready:
            raise errors.GaprockError(errorcodes.NOT_READY, "", self._clock.now() + 1.0)
        workspace = self._config.workspace_of(bearer_key(headers))
        if workspace is None:
            raise errors.GaprockError(errorcodes.UNAUTHORIZED)
        return workspace

    def chat(self, headers: Headers, raw: bytes) -> Call:
        """Parse and check a chat request.

        :raises errors.GaprockError: a code of category *not run*.
        """
        workspace = self.workspace(headers)
        fields = decode_object(raw)
        chat = _check_fields(fields)
        template = self._template(workspace, chat.model, documents.CHAT)
        call = self._call(headers, template, fields, raw, chat.stream)
        call.prefix = _prefix_digest(workspace, chat)
        return call

    def service_call(self, headers: Headers, name: str, raw: bytes) -> Call:
        """Parse and check a call to a plain service.

        :raises errors.GaprockError: a code of category *not run*.
        """
        workspace = self.workspace(headers)
        fields = decode_object(raw)
        template = self._template(workspace, name, documents.CALL)
        return self._call(headers, template, fields, raw, False)

    def session_request(self, headers: Headers, raw: bytes) -> documents.Template:
        """Parse and check a request to open a session; return its template.

        :raises errors.GaprockError: a code of category *not run*.
        """
        workspace = self.workspace(headers)
        try:
            fields = msgspec.json.decode(raw, type=SessionFields)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise errors.GaprockError(errorcodes.BAD_REQUEST, str(exc)) from exc
        return self._template(workspace, fields.template, documents.CHAT)

    def request_id(self, headers: Headers, template: documents.Template) -> str:
        """Return the caller's request id, or a new one if there is none.

        :raises errors.GaprockError: when the caller's id is missing for a
            non-repeatable template, or is invalid.
        """
        given = headers.get("idempotency-key", "")
        if not template.repeatable:
            return ids.check_unrepeatable_id(given, self._clock.now())
        return ids.check_caller_id(given) if given else ids.new_uuid7()

    def _call(
        self,
        headers: Headers,
        template: documents.Template,
        fields: JsonObject,
        raw: bytes,
        stream: bool,
    ) -> Call:
        now = self._clock.now()
        request = self.request_id(headers, template)
        deadline = self._deadline(headers, template, now)
        call = Call(request, template, fields, raw, stream, deadline, now)
        token = headers.get("x-gaprock-session", "")
        if token:
            call.session = self._signer.read(token, call.workspace, template.name)
            call.token = token
        return call

    def _template(self, workspace: str, name: str, kind: str) -> documents.Template:
        template = self._config.template(workspace, name)
        if template is None or template.kind != kind:
            raise errors.GaprockError(
                errorcodes.UNKNOWN_TEMPLATE, f"{name!r} of kind {kind!r}"
            )
        return template

    def _deadline(
        self, headers: Headers, template: documents.Template, now: float
    ) -> float:
        """Return the earlier of the caller's deadline and the template's time limit."""
        latest = now + template.time_limit_s
        given = headers.get("x-gaprock-deadline", "")
        if not given:
            return latest
        try:
            deadline = float(given)
        except ValueError as exc:
            raise errors.GaprockError(
                errorcodes.BAD_REQUEST,
                "X-Gaprock-Deadline takes seconds since the epoch",
            ) from exc
        # Negated so that a NaN is rejected as well.
        if not deadline > now:
            raise errors.GaprockError(errorcodes.DEADLINE_PAST)
        return min(deadline, latest)


def bearer_key(headers: Headers) -> str:
    """Return the bearer key of a request, or an empty string."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def decode_object(raw: bytes) -> JsonObject:
    """Decode a JSON object.

    :raises errors.GaprockError: ``BAD_REQUEST``.
    """
    try:
        return msgspec.json.decode(raw, type=JsonObject)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise errors.GaprockError(errorcodes.BAD_REQUEST, str(exc)) from exc


def _check_fields(fields: JsonObject) -> ChatFields:
    try:
        return msgspec.convert(fields, ChatFields)
    except msgspec.ValidationError as exc:
        raise errors.GaprockError(errorcodes.BAD_REQUEST, str(exc)) from exc


def _prefix_digest(workspace: str, chat: ChatFields) -> str:
    """Return a digest of the workspace and the prompt's first characters."""
    first = str(chat.messages[0].get("content", ""))[:PREFIX_CHARS]
    return ids.digest(f"{workspace}\0{first}".encode("utf-8", "surrogatepass"))
