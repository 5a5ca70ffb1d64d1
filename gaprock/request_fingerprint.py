"""The mark of a request: the same for each try of it, whoever takes it.

A caller's tries differ in id, deadline and other headers, and each comes to whichever
gateway is next.  Host, path, caller and body stay.  The query is left out, so that a
request is known again when its caller counts its tries there.
"""

import hashlib
import typing

# Two requests of one caller share a mark by chance once in 2**64 pairs; as an integer
# it is nine bytes in a message.
MARK_BYTES: typing.Final = 8
# Longest key that the hash takes, bytes.
KEY_BYTES: typing.Final = hashlib.blake2b.MAX_KEY_SIZE


def fingerprint_of(caller: str, host: str, path: str, body: bytes) -> int:
    """Give a request's mark.

    The caller is the hash's key, so that no caller can make a request with the mark of
    another one's.

    :param caller: the workspace, or the key of a caller without one; may be empty.
    """
    name = caller.encode()
    if len(name) > KEY_BYTES:
        name = hashlib.blake2b(name).digest()
    digest = hashlib.blake2b(digest_size=MARK_BYTES, key=name)
    for text in (host, path):
        encoded = text.encode()
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")
