"""Translates between the platform's headers and tables and the gateway's types."""

import typing

import msgspec

from gaprock import digits, gateway_api, invalid_rows, plugin, routes
from gaprock.platform import documents, notices

# Headers that concern one connection only and are not forwarded.
CONNECTION_HEADERS: typing.Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Headers that only the system may set, or that must not be forwarded.
SYSTEM_HEADERS: typing.Final = frozenset(
    (
        b"authorization",
        b"x-tenant",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-deadline-ms",
        b"x-request-urgency",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"last-event-id",
    )
)
# Headers of answers that are meant for the system and not for callers.
INTERNAL_ANSWER_HEADERS: typing.Final = frozenset(
    (b"x-not-run", b"x-instance-id", b"x-server-load")
)
WRONG_ENDPOINT: typing.Final = 421
ANY_MODEL: typing.Final = b"*"
BEARER: typing.Final = b"bearer "
MAX_URGENCY: typing.Final = 9

HeadersByName = dict[bytes, bytes]


@plugin.register(gateway_api.Dialect, "platform")
class PlatformDialect(gateway_api.Dialect):
    """The platform's wire format."""

    __slots__ = ()

    tables = gateway_api.Tables(
        "op", "servers", "status", "gaprock", "gaprock-allowances"
    )
    ready_path = "/-/readiness"

    def read_request(self, headers: gateway_api.Headers) -> gateway_api.RequestInfo:
        by_name = _by_lower_name(headers)
        tokens_in, tokens_out = _token_counts(by_name.get(b"x-token-counts", b""))
        model = by_name.get(b"x-model", b"").strip()
        return gateway_api.RequestInfo(
            by_name.get(b"x-request-id", b"").decode("latin-1"),
            _host(by_name.get(b"host", b"")),
            _api_key(by_name.get(b"authorization", b"")),
            _wait_s(by_name.get(b"x-deadline-ms")),
            model == ANY_MODEL,
            tokens_in,
            tokens_out,
            _prompt_parts(by_name.get(b"x-prompt-prefix", b"")),
            by_name.get(b"session", b"").decode("latin-1"),
            _number(by_name.get(b"last-event-id", b"")),
            model.decode("latin-1"),
        )

    def send_headers(
        self, headers: gateway_api.Headers, info: gateway_api.SendInfo
    ) -> gateway_api.Headers:
        dropped = CONNECTION_HEADERS | SYSTEM_HEADERS | _named_by_connection(headers)
        if info.model:
            dropped |= {b"x-model"}
        sent = [(n, v) for n, v in headers if n.lower() not in dropped]
        sent.append((b"X-Deadline-Ms", b"%d" % max(1, int(info.left_s * 1000))))
        sent.append((b"X-Expect-Instance", info.endpoint.encode("latin-1")))
        if info.workspace:
            sent.append((b"X-Tenant", info.workspace.encode("latin-1")))
        if info.model:
            sent.append((b"X-Model", info.model.encode("latin-1")))
        if info.resume_after is not None:
            sent.append((b"Last-Event-Id", b"%d" % info.resume_after))
        urgency = min(MAX_URGENCY, max(0, info.urgency))
        sent.append((b"X-Request-Urgency", b"%d" % urgency))
        return sent

    def read_answer(
        self, status: int, headers: gateway_api.Headers
    ) -> gateway_api.AnswerHead:
        by_name = _by_lower_name(headers)
        dropped = CONNECTION_HEADERS | INTERNAL_ANSWER_HEADERS
        dropped |= _named_by_connection(headers)
        is_wrong_endpoint = status == WRONG_ENDPOINT
        return gateway_api.AnswerHead(
            status,
            [(n, v) for n, v in headers if n.lower() not in dropped],
            b"x-server-stamp" in by_name,
            is_wrong_endpoint or b"x-not-run" in by_name,
            is_wrong_endpoint,
            by_name.get(b"x-request-id", b"").decode("latin-1"),
            _float(by_name.get(b"x-confidence")),
            by_name.get(b"content-encoding", b"identity").lower() != b"identity",
            by_name.get(b"x-instance-id", b"").decode("latin-1"),
            notices.read_notice(status, headers),
        )

    def refusal_headers(self, retry_after_s: float | None) -> gateway_api.Headers:
        if retry_after_s is None:
            return []
        return [(b"Retry-After", b"%.3f" % retry_after_s)]

    def route_table(self, key: str, value: bytes) -> routes.RouteTable | None:
        return documents.route_table(value) if key == documents.CONFIG_KEY else None

    def order(self, key: str, value: bytes) -> gateway_api.RolloutOrder | None:
        if not key.startswith(documents.ROLLOUT_PREFIX):
            return None
        doc = invalid_rows.decode(documents.RolloutDoc, value)
        return gateway_api.RolloutOrder(doc.Service, doc.ToVersion, doc.FinishByS)

    def cordoned_hall(self, key: str) -> str | None:
        if not key.startswith(documents.EVACUATION_PREFIX):
            return None
        return key[len(documents.EVACUATION_PREFIX) :] or None

    def endpoint(self, key: str, value: bytes) -> gateway_api.EndpointRow:
        return documents.endpoint(value)

    def outcome_key(self, service: str) -> str:
        return documents.ROLLOUT_PREFIX + service

    def outcome(self, key: str, value: bytes) -> tuple[str, str, str] | None:
        if not key.startswith(documents.ROLLOUT_PREFIX):
            return None
        doc = invalid_rows.decode(documents.OutcomeDoc, value)
        return key[len(documents.ROLLOUT_PREFIX) :], doc.ToVersion, doc.State

    def outcome_value(self, to_version: str, state: str) -> bytes:
        return msgspec.json.encode(documents.OutcomeDoc(to_version, state))


def _by_lower_name(headers: gateway_api.Headers) -> HeadersByName:
    return {name.lower(): value for name, value in headers}


def _named_by_connection(headers: gateway_api.Headers) -> frozenset[bytes]:
    """Return the names that ``Connection`` lists as headers of one connection only."""
    named = _by_lower_name(headers).get(b"connection", b"")
    return frozenset(item.strip().lower() for item in named.split(b","))


def _host(value: bytes) -> str:
    return value.decode("latin-1").partition(":")[0].strip()


def _api_key(value: bytes) -> str:
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return value[len(BEARER) :].strip().decode("latin-1")


def _float(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return float(value)
    except ValueError:
        return None


def _wait_s(value: bytes | None) -> float | None:
    number = _float(value)
    if value is not None and number is None:
        raise gateway_api.InvalidDocument("X-Deadline-Ms is not a number")
    return None if number is None else number / 1000


def _number(value: bytes) -> int | None:
    return digits.parse(value.strip())


def _token_counts(value: bytes) -> tuple[int, int]:
    """Parse the prompt's token count and the output's maximum; 0 and 0 if malformed."""
    fields = [_number(item) for item in value.split(b",")]
    if len(fields) != 2 or fields[0] is None or fields[1] is None:
        return 0, 0
    return fields[0], fields[1]


def _prompt_parts(value: bytes) -> list[tuple[str, int]]:
    """Parse ``ID:TOKENS,ID:TOKENS``; malformed items are left out."""
    found = []
    for item in value.split(b","):
        name, _, tokens = item.strip().partition(b":")
        count = _number(tokens)
        if name and count is not None:
            found.append((name.decode("latin-1"), count))
    return found
