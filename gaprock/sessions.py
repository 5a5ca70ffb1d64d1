"""Session tokens: the caller carries the session's version, signed by us.

No process keeps sessions, so any entry can go on with one.  Two keys may be
set during a rotation: the first one signs, both are accepted.
"""

import hashlib
import typing

import itsdangerous
import msgspec

from gaprock import errorcodes, errors

SALT: typing.Final = "gaprock-session"


class Session(msgspec.Struct, frozen=True):
    """What a token says."""

    session: str
    workspace: str
    template: str
    version: str


class Signer:
    """Makes and checks tokens.

    :param keys: the secret keys, the signing one first.
    """

    __slots__ = ("_signer",)

    def __init__(self, keys: list[str]) -> None:
        # The library signs with the last key of its list.
        # The keys are long and used for nothing else, so none is derived from them.
        self._signer = itsdangerous.URLSafeSerializer(
            list(reversed(keys)),
            salt=SALT,
            signer_kwargs={
                "key_derivation": "none",
                "digest_method": hashlib.sha256,
            },
        )

    def sign(self, session: Session) -> str:
        """Make the token of a session."""
        return str(self._signer.dumps(msgspec.to_builtins(session)))

    def read(self, token: str, workspace: str, template: str) -> Session:
        """Check a token.

        :raises errors.GaprockError: ``BAD_SESSION`` when it is forged, or belongs
            to another workspace or template.
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
