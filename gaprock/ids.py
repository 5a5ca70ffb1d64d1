"""Ids of requests, processes and transactions.

A caller sends a UUIDv7 with a call that may not be repeated.  Ids older than the
retention time are refused, so the claims of such ids can safely be deleted.
"""

import hashlib
import re
import secrets
import typing
import uuid

import uuid6

from gaprock import errorcodes, errors

# An id is accepted until this long after its timestamp ...
RETENTION_S: typing.Final = 7 * 24 * 3600.0
# ... and its timestamp may be this far in the future, as clocks differ.
MAX_AHEAD_S: typing.Final = 300.0

CALLER_ID: typing.Final = re.compile(r"[A-Za-z0-9_.:-]{1,128}\Z")
UUID7_TIME_SHIFT: typing.Final = 80


def new_uuid7() -> str:
    """Return a new time-ordered id."""
    return str(uuid6.uuid7())


def new_token() -> str:
    """Return a new short random id."""
    return secrets.token_hex(8)


def check_caller_id(text: str) -> str:
    """Check the syntax of an id from a caller.

    :raises errors.GaprockError: ``BAD_REQUEST``.
    """
    if not CALLER_ID.match(text):
        raise errors.GaprockError(
            errorcodes.BAD_REQUEST,
            "Idempotency-Key takes 1 to 128 letters, digits, or any of _ . : -",
        )
    return text


def check_unrepeatable_id(text: str, now: float) -> str:
    """Check the id of a call that may not be repeated.

    :param now: seconds since the Unix epoch.
    :returns: the id in its canonical form.
    :raises errors.GaprockError: ``BAD_REQUEST``, or ``ID_TOO_OLD`` when the
        claim of such an id may have been deleted already, or when the timestamp is
        too far in the future.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError as exc:
        raise errors.GaprockError(
            errorcodes.BAD_REQUEST, "Idempotency-Key takes a UUIDv7 for this template"
        ) from exc
    if parsed.version != 7:
        raise errors.GaprockError(
            errorcodes.BAD_REQUEST, "Idempotency-Key takes a UUIDv7 for this template"
        )
    born = (parsed.int >> UUID7_TIME_SHIFT) / 1000.0
    if not now - RETENTION_S < born < now + MAX_AHEAD_S:
        raise errors.GaprockError(
            errorcodes.ID_TOO_OLD, "an id is good for 7 days from its own time"
        )
    return str(parsed)


def digest(data: bytes) -> str:
    """Return a short digest of a request's body, which binds an id to it."""
    return hashlib.sha256(data).hexdigest()[:16]
