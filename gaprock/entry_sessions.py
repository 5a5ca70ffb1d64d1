"""Opening sessions.

The session's token holds its whole state, so the entry stores nothing.  Only if the
caller names the session with an ``Idempotency-Key`` is there a row in the table: when
two requests open a session of the same name at once, the row written first decides
the version for both.
"""

import typing

from gaprock import (
    answers,
    clock,
    entry_call,
    entry_serve,
    errorcodes,
    errors,
    ids,
    services_api,
    sessions,
    table_batch,
)

KEY: typing.Final = "session/"
CLAIM_TIMEOUT_S: typing.Final = 1.5
RETRY_AFTER_S: typing.Final = 2.0


class SessionApi:
    """Answers ``POST /v1/sessions``."""

    __slots__ = ("_clock", "_parser", "_server", "_signer", "_batcher")

    def __init__(
        self,
        clock_: clock.Clock,
        parser: entry_call.Parser,
        server: entry_serve.Server,
        signer: sessions.Signer,
        batcher: table_batch.Batcher,
    ) -> None:
        self._clock = clock_
        self._parser = parser
        self._server = server
        self._signer = signer
        self._batcher = batcher

    def open(self, headers: entry_call.Headers, raw: bytes) -> answers.Answer:
        """Open a session.

        :raises errors.GaprockError: a code of category *not run*.
        """
        template = self._parser.session_request(headers, raw)
        given = headers.get("idempotency-key", "")
        name = ids.check_caller_id(given) if given else ids.new_token()
        session = self._server.open_session(template, name)
        if given:
            session = self._claim_name(session)
        answer = answers.json_answer(
            {"session": self._signer.sign(session), "version": session.version}
        )
        answer.headers["X-Gaprock-Version"] = session.version
        return answer

    def _claim_name(self, session: sessions.Session) -> sessions.Session:
        """Claim the session's name; return the session that was opened first."""
        value = {
            "template": session.template,
            "version": session.version,
            "txid": ids.new_token(),
        }
        op = services_api.TableOp(
            f"{KEY}{session.workspace}/{session.session}", services_api.ABSENT, value
        )
        now = self._clock.now()
        try:
            row = self._batcher.submit(op, now + CLAIM_TIMEOUT_S).result()
        except services_api.PlatformError as exc:
            raise errors.GaprockError(
                errorcodes.TABLE_DOWN,
                "the session's name could not be claimed",
                max(exc.retry_at, now + RETRY_AFTER_S),
            ) from exc
        if row is None or row.value is None:
            return session
        if row.value["template"] != session.template:
            raise errors.GaprockError(errorcodes.ID_REUSED, "of another template")
        return sessions.Session(
            session.session, session.workspace, session.template, row.value["version"]
        )
