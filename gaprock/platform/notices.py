"""What the headers of an answer say of the endpoint that gave it.

A number that is given twice is none.  The headers go on to the caller with the others.
"""

import re
import typing

from gaprock import gateway_api, retry_after

LIMIT: typing.Final = b"server-limit"
LEAVING: typing.Final = b"server-leaving"
RETRY_AFTER: typing.Final = b"retry-after"
DATE: typing.Final = b"date"
# Plain decimal digits, no longer than any number that means something.
NUMBER: typing.Final = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?\Z")
# A refusal with one of these statuses may ask for a backoff.
BACKOFF_STATUSES: typing.Final = (429, 503)
# What is shown of a value that cannot be used, characters.
MAX_INVALID_CHARS: typing.Final = 40


def read_notice(
    status: int, headers: gateway_api.Headers
) -> gateway_api.EndpointNotice:
    """Decode all that an answer says of its endpoint."""
    invalid: list[str] = []
    leaving = _all(headers, LEAVING)
    invalid += [
        _shown(LEAVING, value) for value in leaving if value not in (b"0", b"1")
    ]
    backoff_s: float | None = 0.0
    wait = _one(headers, RETRY_AFTER) if status in BACKOFF_STATUSES else None
    if wait is not None:
        date = _one(headers, DATE) or b""
        backoff_s = retry_after.seconds(wait.decode("latin-1"), date.decode("latin-1"))
        if backoff_s is None:
            invalid.append(_shown(RETRY_AFTER, wait))
    return gateway_api.EndpointNotice(
        _limit(_one(headers, LIMIT)), b"1" in leaving, backoff_s or 0.0, tuple(invalid)
    )


def _all(headers: gateway_api.Headers, name: bytes) -> list[bytes]:
    return [value.strip() for header, value in headers if header.lower() == name]


def _one(headers: gateway_api.Headers, name: bytes) -> bytes | None:
    """Give the value of a header; several are joined, and so are no number."""
    values = _all(headers, name)
    return b", ".join(values) if values else None


def _shown(name: bytes, value: bytes) -> str:
    return f"{name.decode()}: {value[:MAX_INVALID_CHARS].decode('latin-1')}"


def _limit(text: bytes | None) -> gateway_api.LimitNotice:
    if text is None:
        return gateway_api.NO_LIMIT
    if NUMBER.match(text):
        return gateway_api.LimitNotice(float(text))
    return gateway_api.LimitNotice(
        invalid=text[:MAX_INVALID_CHARS].decode("latin-1") or "empty"
    )
