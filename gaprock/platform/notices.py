"""What the headers of an answer say of the endpoint that gave it.

A number that is given twice is none.  The headers go on to the caller with the others.
"""

import datetime
import email.utils
import re
import typing

from gaprock import gateway_api

LIMIT: typing.Final = b"server-limit"
LEAVING: typing.Final = b"server-leaving"
RETRY_AFTER: typing.Final = b"retry-after"
DATE: typing.Final = b"date"
# Plain decimal digits, no longer than any number that means something.
NUMBER: typing.Final = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?\Z")
# A refusal with one of these statuses may ask for a backoff.
BACKOFF_STATUSES: typing.Final = (429, 503)
# An HTTP date is no longer, bytes.
MAX_DATE: typing.Final = 40
# What is shown of a value that cannot be used, characters.
MAX_ODD: typing.Final = 40


def read_notice(
    status: int, headers: gateway_api.Headers
) -> gateway_api.EndpointNotice:
    """Decode all that an answer says of its endpoint."""
    odd: list[str] = []
    leaving = _all(headers, LEAVING)
    odd += [_shown(LEAVING, value) for value in leaving if value not in (b"0", b"1")]
    backoff_s: float | None = 0.0
    retry_after = _one(headers, RETRY_AFTER) if status in BACKOFF_STATUSES else None
    if retry_after is not None:
        backoff_s = _seconds(retry_after, _one(headers, DATE))
        if backoff_s is None:
            odd.append(_shown(RETRY_AFTER, retry_after))
    return gateway_api.EndpointNotice(
        _limit(_one(headers, LIMIT)), b"1" in leaving, backoff_s or 0.0, tuple(odd)
    )


def _all(headers: gateway_api.Headers, name: bytes) -> list[bytes]:
    return [value.strip() for header, value in headers if header.lower() == name]


def _one(headers: gateway_api.Headers, name: bytes) -> bytes | None:
    """Give the value of a header; several are joined, and so are no number."""
    values = _all(headers, name)
    return b", ".join(values) if values else None


def _shown(name: bytes, value: bytes) -> str:
    return f"{name.decode()}: {value[:MAX_ODD].decode('latin-1')}"


def _limit(text: bytes | None) -> gateway_api.LimitNotice:
    if text is None:
        return gateway_api.NO_LIMIT
    if NUMBER.match(text):
        return gateway_api.LimitNotice(float(text))
    return gateway_api.LimitNotice(odd=text[:MAX_ODD].decode("latin-1") or "empty")


def _seconds(text: bytes, date: bytes | None) -> float | None:
    """Read a time to wait: seconds, or a date.

    :param date: the answer's own date, by the same clock as the one to wait for.
    :returns: seconds; ``None`` for what is neither.
    """
    if NUMBER.match(text):
        return float(text)
    until = _date(text)
    if until is None:
        return None
    since = _date(date) if date is not None else None
    since = since or datetime.datetime.now(datetime.timezone.utc)
    return max(0.0, (until - since).total_seconds())


def _date(text: bytes) -> datetime.datetime | None:
    if len(text) > MAX_DATE:
        return None
    try:
        date = email.utils.parsedate_to_datetime(text.decode("latin-1"))
    except ValueError:
        # The caller reports the header as odd.
        return None
    return date if date.tzinfo is not None else None
