"""The configuration in the platform's table.

Rows:

* ``config/head``: the newest revision;
* ``config/doc/KEY``: a key's document with the revision that last changed it;
* ``config/log/REVISION``: what a revision changed, so that a reader can catch up
  without reading all documents.

A publication is one transaction on all three, conditional on the head that the
operator's change is based on.
"""

import typing

import tenacity

from gaprock import errorcodes, errors, eventlog, ids, messages, services_api

HEAD: typing.Final = "config/head"
DOC: typing.Final = "config/doc/"
LOG: typing.Final = "config/log/"
# Rows of one scan of the table.
PAGE_ROWS: typing.Final = 500
# Log rows kept before the head.
LOG_LENGTH: typing.Final = 2000
# Attempts to commit a publication, or to find out its outcome if an answer was lost.
MAX_COMMIT_ATTEMPTS: typing.Final = 6

Value = dict[str, typing.Any]


def log_key(revision: int) -> str:
    """Return the key of a revision's log row."""
    return f"{LOG}{revision:012d}"


def revision_of(row: services_api.Row) -> int:
    """Return the revision in the head row; 0 if the row is absent."""
    return int(row.value["revision"]) if row.value else 0


def _entries(row: services_api.Row, key: str) -> list[messages.ConfigEntry]:
    """Return a row's entry; nothing if the row is absent or invalid.

    :param key: empty if the row names it.
    """
    if row.value is None:
        return []
    try:
        key = key or str(row.value["key"])
        revision = int(row.value["revision"])
        return [messages.ConfigEntry(key, revision, row.value["document"])]
    except (KeyError, TypeError, ValueError) as exc:
        eventlog.warning("invalid-row", table="config", key=row.key, error=repr(exc))
        return []


class ConfigStore:
    """Reads and publishes the configuration."""

    __slots__ = ("_table",)

    def __init__(self, table: services_api.Table) -> None:
        self._table = table

    def read_since(self, revision: int, ready: bool) -> messages.ConfigDelta | None:
        """Read what changed after ``revision``.

        :param ready: whether the reader has a configuration; if not, all is read.
        :returns: ``None`` if there is nothing new.
        :raises services_api.PlatformError: if the table did not answer.
        """
        head = revision_of(self._table.read([HEAD])[0])
        if ready and head <= revision:
            return None
        if ready:
            delta = self._read_log(revision, head)
            if delta is not None:
                return delta
        return self._read_all()

    def publish(
        self,
        key: str,
        document: Value | None,
        expected: int,
        conditions: typing.Sequence[services_api.TableOp] = (),
    ) -> int:
        """Publish one change on condition that ``expected`` is the newest revision.

        :param document: the new document; ``None`` deletes the key.
        :param conditions: further conditions, such as that of the control lease.
        :returns: the new revision.
        :raises errors.GaprockError: ``CONFLICT`` with the current revision,
            ``FENCED``, ``TABLE_DOWN``, or ``CHANGE_UNKNOWN``.
        """
        txid = ids.new_token()
        try:
            head = self._table.read([HEAD])[0]
        except services_api.PlatformError as exc:
            raise errors.GaprockError(
                errorcodes.TABLE_DOWN, str(exc), exc.retry_at
            ) from exc
        if revision_of(head) != expected:
            raise _conflict(revision_of(head))
        revision = expected + 1
        ops = [
            services_api.TableOp(
                HEAD, head.version, {"revision": revision, "txid": txid}
            ),
            services_api.TableOp(
                DOC + key,
                services_api.ANY_VERSION,
                {"revision": revision, "document": document},
            ),
            services_api.TableOp(
                log_key(revision),
                services_api.ABSENT,
                {"revision": revision, "key": key, "document": document, "txid": txid},
            ),
            *conditions,
        ]
        self._commit(ops, revision, txid)
        return revision

    def trim_log(self, head: int) -> int:
        """Delete one page of the log rows that are ``LOG_LENGTH`` or more behind.

        :returns: the number of rows deleted.
        :raises services_api.PlatformError: if the table did not answer.
        """
        last = log_key(max(0, head - LOG_LENGTH))
        rows = self._table.scan(LOG, "", PAGE_ROWS)
        old = [row for row in rows if row.key < last]
        if old:
            self._table.transact(
                [services_api.TableOp(row.key, row.version, delete=True) for row in old]
            )
        return len(old)

    def _commit(
        self, ops: list[services_api.TableOp], revision: int, txid: str
    ) -> None:
        """Commit a publication, and find out its outcome if an answer is lost.

        The transaction can safely be sent again: its conditions hold only once, and
        the transaction id in the log row shows whether this publisher's transaction
        was the one that took effect.
        """
        retrying = tenacity.Retrying(
            stop=tenacity.stop_after_attempt(MAX_COMMIT_ATTEMPTS),
            wait=tenacity.wait_random_exponential(0.05, max=0.5),
            retry=tenacity.retry_if_exception_type(services_api.PlatformError),
            reraise=True,
        )
        may_be_applied = False
        try:
            for attempt in retrying:
                with attempt:
                    if may_be_applied and self._is_own(revision, txid):
                        return
                    try:
                        result = self._table.transact(ops)
                    except services_api.AnswerLost:
                        may_be_applied = True
                        raise
                    self._check_result(result, may_be_applied, revision, txid)
        except services_api.PlatformError as exc:
            code = (
                errorcodes.CHANGE_UNKNOWN if may_be_applied else errorcodes.TABLE_DOWN
            )
            raise errors.GaprockError(code, str(exc), exc.retry_at) from exc

    def _check_result(
        self,
        result: services_api.TxResult,
        may_be_applied: bool,
        revision: int,
        txid: str,
    ) -> None:
        """Raise the error of a rejected transaction.

        :param may_be_applied: whether an earlier attempt may have taken effect.
        """
        if result.ok or (may_be_applied and self._is_own(revision, txid)):
            return
        for row in result.failed:
            if row.key == HEAD:
                raise _conflict(revision_of(row))
        raise errors.GaprockError(errorcodes.FENCED, result.failed[0].key)

    def _is_own(self, revision: int, txid: str) -> bool:
        """Return whether a revision was written by this transaction.

        :raises errors.GaprockError: ``CONFLICT`` if another one wrote it.
        """
        row = self._table.read([log_key(revision)])[0]
        if row.value is None:
            return False
        if row.value["txid"] != txid:
            raise _conflict(revision)
        return True

    def _read_log(self, revision: int, head: int) -> messages.ConfigDelta | None:
        """Read the changes after a revision; ``None`` if the log starts later."""
        if head - revision > PAGE_ROWS:
            return None
        rows = self._table.scan(LOG, log_key(revision), PAGE_ROWS)
        if not rows or rows[0].key != log_key(revision + 1):
            return None
        # Of several changes to a key, the latest one counts.
        newest = {}
        for row in rows:
            for entry in _entries(row, ""):
                newest[entry.key] = entry
        last = int(rows[-1].key[len(LOG) :])
        return messages.ConfigDelta(revision, last, list(newest.values()), [])

    def _read_all(self) -> messages.ConfigDelta:
        """Read all documents as of one revision, again if it changes meanwhile."""
        while True:
            before = revision_of(self._table.read([HEAD])[0])
            entries = []
            after = ""
            while rows := self._table.scan(DOC, after, PAGE_ROWS):
                for row in rows:
                    entries += _entries(row, row.key[len(DOC) :])
                after = rows[-1].key
            if revision_of(self._table.read([HEAD])[0]) == before:
                return messages.ConfigDelta(0, before, entries, [])


def _conflict(revision: int) -> errors.GaprockError:
    return errors.GaprockError(
        errorcodes.CONFLICT, f"the newest revision is {revision}"
    )
