"""The configuration in the platform's table.

Rows:

* ``config/head``: the newest revision;
* ``config/doc/KEY``: each key's document with the revision that changed it;
* ``config/log/REVISION``: what each revision changed, for cheap reading on.

A publication is one transaction on all three, on condition that the head is
still the one that the operator saw.
"""

import typing

import tenacity

from gaprock import errorcodes, errors, ids, messages, services_api

HEAD: typing.Final = "config/head"
DOC: typing.Final = "config/doc/"
LOG: typing.Final = "config/log/"
PAGE: typing.Final = 500
# Log rows kept behind the head.
LOG_LENGTH: typing.Final = 2000
# Tries to settle a publication whose answer was lost.
SETTLE_TRIES: typing.Final = 6

Value = dict[str, typing.Any]


def log_key(revision: int) -> str:
    """Give the log row's key of a revision."""
    return f"{LOG}{revision:012d}"


def revision_of(row: services_api.Row) -> int:
    """Give the revision in the head's row."""
    return int(row.value["revision"]) if row.value else 0


def _entry(key: str, value: Value) -> messages.ConfigEntry:
    return messages.ConfigEntry(key, int(value["revision"]), value["document"])


class ConfigStore:
    """Reads and publishes the configuration."""

    __slots__ = ("_table",)

    def __init__(self, table: services_api.Table) -> None:
        self._table = table

    def read_since(self, revision: int, ready: bool) -> messages.ConfigDelta | None:
        """Read what changed after ``revision``.

        :param ready: false when the reader has nothing yet and needs all.
        :returns: ``None`` when there is nothing new.
        :raises services_api.PlatformError: when the table did not answer.
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

        :param conditions: further conditions, such as the control lease's.
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
        """Delete old log rows.

        :returns: the number of rows deleted.
        :raises services_api.PlatformError: when the table did not answer.
        """
        last = log_key(max(0, head - LOG_LENGTH))
        rows = self._table.scan(LOG, "", PAGE)
        old = [row for row in rows if row.key < last]
        if old:
            self._table.transact(
                [services_api.TableOp(row.key, row.version, delete=True) for row in old]
            )
        return len(old)

    def _commit(
        self, ops: list[services_api.TableOp], revision: int, txid: str
    ) -> None:
        """Carry out a publication, and settle it when an answer is lost.

        The steps may be sent again: their conditions hold for one time only, and
        the log row tells by the transaction id whether that time was ours.
        """
        retrying = tenacity.Retrying(
            stop=tenacity.stop_after_attempt(SETTLE_TRIES),
            wait=tenacity.wait_random_exponential(0.05, max=0.5),
            retry=tenacity.retry_if_exception_type(services_api.PlatformError),
            reraise=True,
        )
        sent = False
        try:
            for attempt in retrying:
                with attempt:
                    if sent and self._is_ours(revision, txid):
                        return
                    try:
                        result = self._table.transact(ops)
                    except services_api.AnswerLost:
                        sent = True
                        raise
                    self._judge(result, sent, revision, txid)
        except services_api.PlatformError as exc:
            code = errorcodes.CHANGE_UNKNOWN if sent else errorcodes.TABLE_DOWN
            raise errors.GaprockError(code, str(exc), exc.retry_at) from exc

    def _judge(
        self, result: services_api.TxResult, sent: bool, revision: int, txid: str
    ) -> None:
        if result.ok or (sent and self._is_ours(revision, txid)):
            return
        for row in result.failed:
            if row.key == HEAD:
                raise _conflict(revision_of(row))
        raise errors.GaprockError(errorcodes.FENCED, result.failed[0].key)

    def _is_ours(self, revision: int, txid: str) -> bool:
        """Whether a revision was written by our transaction.

        :raises errors.GaprockError: ``CONFLICT`` when it was another's.
        """
        row = self._table.read([log_key(revision)])[0]
        if row.value is None:
            return False
        if row.value["txid"] != txid:
            raise _conflict(revision)
        return True

    def _read_log(self, revision: int, head: int) -> messages.ConfigDelta | None:
        """Read on from a revision; ``None`` when the log no longer reaches back."""
        if head - revision > PAGE:
            return None
        rows = self._table.scan(LOG, log_key(revision), PAGE)
        if not rows or rows[0].key != log_key(revision + 1):
            return None
        # A later revision of the same key goes before an earlier one.
        newest = {}
        for row in rows:
            if row.value is not None:
                newest[row.value["key"]] = _entry(row.value["key"], row.value)
        last = int(rows[-1].key[len(LOG) :])
        return messages.ConfigDelta(revision, last, list(newest.values()), [])

    def _read_all(self) -> messages.ConfigDelta:
        """Read all documents at one revision."""
        while True:
            before = revision_of(self._table.read([HEAD])[0])
            entries = []
            after = ""
            while rows := self._table.scan(DOC, after, PAGE):
                for row in rows:
                    if row.value is not None:
                        entries.append(_entry(row.key[len(DOC) :], row.value))
                after = rows[-1].key
            if revision_of(self._table.read([HEAD])[0]) == before:
                return messages.ConfigDelta(0, before, entries, [])


def _conflict(revision: int) -> errors.GaprockError:
    return errors.GaprockError(
        errorcodes.CONFLICT, f"the newest revision is {revision}"
    )
