"""Decodes the headers of an answer that describe the endpoint that gave it.

A number that is given twice is invalid.  The headers are also passed on to the caller.
"""

import re
import typing

from gaprock import gateway_api, retry_after

LIMIT: typing.Final = b"server-limit"
LEAVING: typing.Final = b"server-leaving"
RETRY_AFTER: typing.Final = b"retry-after"
DATE: typing.Final = b"date"
LOAD: typing.Final = b"x-server-load"
# Plain decimal digits; a longer number has no use here.
NUMBER: typing.Final = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?\Z")
# ``RUNNING,WAITING,SLOTS`` or ``RUNNING,WAITING,SLOTS,PACE``, whole numbers.
LOAD_FIGURES: typing.Final = re.compile(rb"([0-9]{1,7}[ \t]*,[ \t]*){2,3}[0-9]{1,7}\Z")
MAX_LOAD_FIGURE: typing.Final = 1_000_000
# Bounds of the pace, percent of the usual time.
MIN_PACE_PERCENT: typing.Final = 1
MAX_PACE_PERCENT: typing.Final = 10_000
# A refusal with one of these statuses may ask for a backoff.
BACKOFF_STATUSES: typing.Final = (429, 503)
# Longest shown part of an invalid value, characters.
MAX_INVALID_CHARS: typing.Final = 40


def read_notice(
    status: int, headers: gateway_api.Headers
) -> gateway_api.EndpointNotice:
    """Decode what the headers of an answer say about its endpoint."""
    invalid: list[str] = []
    leaving = _values(headers, LEAVING)
    invalid += [
        _describe(LEAVING, value) for value in leaving if value not in (b"0", b"1")
    ]
    backoff_s: float | None = 0.0
    wait = _joined_value(headers, RETRY_AFTER) if status in BACKOFF_STATUSES else None
    if wait is not None:
        date = _joined_value(headers, DATE) or b""
        backoff_s = retry_after.seconds(wait.decode("latin-1"), date.decode("latin-1"))
        if backoff_s is None:
            invalid.append(_describe(RETRY_AFTER, wait))
    load = None
    load_text = _joined_value(headers, LOAD)
    if load_text is not None:
        load = _load(load_text)
        if load is None:
            invalid.append(_describe(LOAD, load_text))
    return gateway_api.EndpointNotice(
        _limit(_joined_value(headers, LIMIT)),
        b"1" in leaving,
        backoff_s or 0.0,
        tuple(invalid),
        load,
    )


def _values(headers: gateway_api.Headers, name: bytes) -> list[bytes]:
    return [value.strip() for header, value in headers if header.lower() == name]


def _joined_value(headers: gateway_api.Headers, name: bytes) -> bytes | None:
    """Return the value of a header; several are joined and so never form a number."""
    values = _values(headers, name)
    return b", ".join(values) if values else None


def _describe(name: bytes, value: bytes) -> str:
    return f"{name.decode()}: {value[:MAX_INVALID_CHARS].decode('latin-1')}"


def _limit(text: bytes | None) -> gateway_api.LimitNotice:
    if text is None:
        return gateway_api.NO_LIMIT
    if NUMBER.match(text):
        return gateway_api.LimitNotice(float(text))
    return gateway_api.LimitNotice(
        invalid=text[:MAX_INVALID_CHARS].decode("latin-1") or "empty"
    )


def _load(text: bytes) -> gateway_api.LoadReport | None:
    """Decode a load report; ``None`` if it is invalid."""
    if not LOAD_FIGURES.match(text):
        return None
    running, waiting, slots, *rest = (int(figure) for figure in text.split(b","))
    if max(running, waiting, slots) > MAX_LOAD_FIGURE:
        return None
    if not rest:
        return gateway_api.LoadReport(running, waiting, slots)
    if not MIN_PACE_PERCENT <= rest[0] <= MAX_PACE_PERCENT:
        return None
    return gateway_api.LoadReport(running, waiting, slots, rest[0] / 100)
