"""Fingerprints of a request, of its families, and of the segments of its prompt.

The tries of a request differ in id, deadline and other headers, and may come through
different gateways.  Two tries are known to be the same request if all that makes a
request is equal: caller, host, method, path, query, body, and the properties of the
work that are sent beside the body.  The fingerprint of a request covers these.

A caller may count its tries in the query, so that no two of them have the same
fingerprint.  Such tries share a *family*: the requests that have everything but the
query and the properties in common, and, of these, the ones with the same names of
parameters or with one equal parameter.  Different requests are also in one family, so
the evidence against it differs from that against a request (``quarantine``).
"""

import hashlib
import typing

# Two requests of one caller collide by chance once in 2**64 pairs.  As an integer, a
# fingerprint takes nine bytes in a message.
FINGERPRINT_BYTES: typing.Final = 8
# Longest key that the hash accepts.
KEY_BYTES: typing.Final = hashlib.blake2b.MAX_KEY_SIZE
# Keep the fingerprints of segments and of families apart from those of requests.
SEGMENT_PERSON: typing.Final = b"segment"
FAMILY_PERSON: typing.Final = b"family"
# Maximum number of a query's parameters that make families of their own.
MAX_PARAMETERS: typing.Final = 4


class Content(typing.NamedTuple):
    """What makes a request.

    :param caller: the workspace, or the key of a caller without one; may be empty.
    :param query: the query as sent, without the question mark.
    :param properties: other properties of the work, such as the named model.
    """

    caller: str
    host: str
    method: bytes
    path: bytes
    query: bytes
    properties: tuple[str, ...]
    body: bytes


def family_of(content: Content) -> int:
    """Return the fingerprint of the widest family of a request.

    The hash is keyed with the caller, so that no caller can construct a request with
    the fingerprint of another caller's.
    """
    name = content.caller.encode()
    if len(name) > KEY_BYTES:
        name = hashlib.blake2b(name).digest()
    digest = hashlib.blake2b(
        digest_size=FINGERPRINT_BYTES, key=name, person=FAMILY_PERSON
    )
    for field in (content.host.encode(), content.method, content.path):
        digest.update(_delimited(field))
    digest.update(content.body)
    return int.from_bytes(digest.digest(), "big")


def fingerprint_of(content: Content, family: int) -> int:
    """Return the fingerprint of a request.

    :param family: its widest family; the body is hashed for that alone.
    """
    fields = (content.query, *map(str.encode, content.properties))
    return _within(family, b"", *fields)


def families_of(content: Content, family: int) -> tuple[int, ...]:
    """Return the families of a request, the widest first.

    :param family: the widest family.
    """
    if not content.query:
        return (family,)
    parameters = sorted(set(content.query.split(b"&")))
    names = sorted({parameter.partition(b"=")[0] for parameter in parameters})
    return (
        family,
        _within(family, b"names", *names),
        *(
            _within(family, b"parameter", parameter)
            for parameter in parameters[:MAX_PARAMETERS]
        ),
    )


def segment_fingerprint(service: str, segment: str) -> int:
    """Return the fingerprint of a prompt segment at the service that runs it.

    Callers share segments, so it does not depend on the caller.

    :param segment: the segment's id.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=SEGMENT_PERSON)
    digest.update(f"{service}/{segment}".encode())
    return int.from_bytes(digest.digest(), "big")


def _within(family: int, kind: bytes, *fields: bytes) -> int:
    """Return the fingerprint of a request or of a narrower family."""
    digest = hashlib.blake2b(
        digest_size=FINGERPRINT_BYTES,
        key=family.to_bytes(FINGERPRINT_BYTES, "big"),
        person=kind,
    )
    for field in fields:
        digest.update(_delimited(field))
    return int.from_bytes(digest.digest(), "big")


def _delimited(field: bytes) -> bytes:
    """Return a field after its length, so that no two lists of fields are equal."""
    return len(field).to_bytes(4, "big") + field
