"""Signed session tokens, in which the caller carries the version of its session.

Entries keep no session state, so any entry can continue a session.  Two keys may
be set during a key rotation: the first one signs, both are accepted.
"""

import hashlib
import typing

import itsdangerous
import msgspec

from gaprock import errorcodes, errors

SALT: typing.Final = "gaprock-session"


class Session(msgspec.Struct, frozen=True):
    """The content of a session token."""

    session: str
    workspace: str
    template: str
    version: str


class Signer:
    """Signs and verifies session tokens.

    :param keys: the secret keys; the first one signs.
    """

    __slots__ = ("_signer",)

    def __init__(self, keys: list[str]) -> None:
        # The library signs with the last key of its list.
        # Key derivation is off, as the keys are long and used for nothing else.
        self._signer = itsdangerous.URLSafeSerializer(
            list(reversed(keys)),
            salt=SALT,
            signer_kwargs={
                "key_derivation": "none",
                "digest_method": hashlib.sha256,
            },
        )

    def sign(self, session: Session) -> str:
        """Return the signed token of a session."""
        return str(self._signer.dumps(msgspec.to_builtins(session)))

    def read(self, token: str, workspace: str, template: str) -> Session:
        """Verify a token and return its session.

        :raises errors.GaprockError: ``BAD_SESSION`` when the token is not valid, or
            belongs to another workspace or template.
        """
        try:
            found = msgspec.convert(self._signer.loads(token), Session)
        except (itsdangerous.BadData, msgspec.ValidationError) as exc:
            raise errors.GaprockError(
                errorcodes.BAD_SESSION, "it was not issued by this site"
            ) from exc
        if (found.workspace, found.template) != (workspace, template):
            raise errors.GaprockError(
                errorcodes.BAD_SESSION, "it belongs to another workspace or template"
            )
        return found
