"""Claims: a call that may not be repeated runs at most once.

A claim is a row in the table, inserted before the call is sent to an endpoint.

1. Only the writer of a claim sends the call; a claim never passes to another.
2. Its outcome is written to the row; whoever sends the id again gets that.
3. A claim whose call was surely not run is marked so, and may be taken anew.
4. A claim without outcome is *in progress* until its deadline, then *unknown*:
   its holder may have died just after the call.
"""

import threading
import typing

from gaprock import clock, errorcodes, errors, eventlog, ids, services_api, table_batch

KEY: typing.Final = "claim/"
OBJECT: typing.Final = "claims/"
CLAIMED: typing.Final = "claimed"
DONE: typing.Final = "done"
NOT_RUN: typing.Final = "not-run"
UNKNOWN: typing.Final = "unknown"
# Answers up to this size stand in the row; larger ones in the object store.
MAX_ROW_ANSWER: typing.Final = 16 * 1024
# A claim must be written within this time, seconds.
CLAIM_PATIENCE_S: typing.Final = 1.5
# The outcome is tried for this long, seconds; then the background goes on.
OUTCOME_PATIENCE_S: typing.Final = 1.0
# A refusal for the table's sake asks the caller back after this, seconds.
RETRY_AFTER_S: typing.Final = 2.0

Value = dict[str, typing.Any]


class StoredAnswer(typing.NamedTuple):
    """The stored outcome of an earlier request with the same id."""

    status: int
    content_type: str
    body: bytes


class Claim:
    """A claim that this process holds."""

    __slots__ = ("key", "version", "value")

    def __init__(self, key: str, version: int, value: Value) -> None:
        self.key = key
        # The row's version as we wrote it.
        self.version = version
        self.value = value


class Claims:
    """Takes claims and writes their outcomes."""

    __slots__ = (
        "_table",
        "_objects",
        "_batcher",
        "_clock",
        "_holder",
        "_lock",
        "_open",
    )

    def __init__(
        self,
        table: services_api.Table,
        objects: services_api.Objects,
        batcher: table_batch.Batcher,
        clock_: clock.Clock,
        holder: str,
    ) -> None:
        self._table = table
        self._objects = objects
        self._batcher = batcher
        self._clock = clock_
        self._holder = holder
        self._lock = threading.Lock()
        # Outcomes that are not in the table yet, by key.
        self._open: dict[str, Claim] = {}

    def take(
        self, workspace: str, request: str, digest: str, deadline: float
    ) -> Claim | StoredAnswer:
        """Claim a request id.

        :param digest: binds the id to the request's body.
        :param deadline: the call is not sent after this.
        :returns: a new claim, or the stored outcome of the id.
        :raises errors.GaprockError: ``TABLE_DOWN`` (not run), ``IN_PROGRESS``,
            ``OUTCOME_UNKNOWN``, or ``ID_REUSED``.
        """
        key = f"{KEY}{workspace}/{request}"
        value: Value = {
            "claim": ids.new_token(),
            "txid": ids.new_token(),
            "holder": self._holder,
            "digest": digest,
            "state": CLAIMED,
            "deadline": deadline,
        }
        expect = services_api.ABSENT
        while True:
            row = self._write(key, expect, value, deadline)
            if row is None:
                return Claim(key, expect + 1, value)
            if row.value is None:
                # Gone again between the write and its answer.
                expect = row.version
                continue
            self._check_row(row.value, digest)
            if row.value["state"] == DONE:
                return self._stored(key, row.value)
            # Surely not run: the id may be claimed anew.
            expect = row.version

    def finish(self, claim: Claim, status: int, content_type: str, body: bytes) -> None:
        """Write the outcome of a call that ran."""
        value: Value = {
            **claim.value,
            "state": DONE,
            "status": status,
            "content_type": content_type,
            "txid": ids.new_token(),
        }
        if len(body) <= MAX_ROW_ANSWER:
            value["answer"] = body.decode("utf-8", "replace")
        else:
            value["object"] = self._store_body(claim.key, body)
        self._outcome(claim, value)

    def mark(self, claim: Claim, state: str) -> None:
        """Write that a call was not run, or that its outcome is unknown."""
        self._outcome(claim, {**claim.value, "state": state, "txid": ids.new_token()})

    def write_open_outcomes(self) -> int:
        """Try again to write the outcomes that are not in the table yet.

        :returns: the number of outcomes that are still open.
        """
        with self._lock:
            waiting = list(self._open.values())
        for claim in waiting:
            if self._try_outcome(claim):
                with self._lock:
                    self._open.pop(claim.key, None)
        return len(self._open)

    def _write(
        self, key: str, expect: int, value: Value, deadline: float
    ) -> services_api.Row | None:
        """Write the claim's row; give the row in its way, if there is one."""
        now = self._clock.now()
        patience = min(deadline, now + CLAIM_PATIENCE_S)
        fut = self._batcher.submit(services_api.TableOp(key, expect, value), patience)
        try:
            return fut.result()
        except services_api.AnswerLost as exc:
            # The row may be there, or come yet; it must not stay a claim.
            self._remember(Claim(key, expect, {**value, "state": NOT_RUN}))
            raise self._table_down(exc) from exc
        except services_api.PlatformError as exc:
            raise self._table_down(exc) from exc

    def _table_down(self, exc: services_api.PlatformError) -> errors.GaprockError:
        retry_at = max(exc.retry_at, self._clock.now() + RETRY_AFTER_S)
        return errors.GaprockError(
            errorcodes.TABLE_DOWN, "the request id could not be claimed", retry_at
        )

    def _check_row(self, value: Value, digest: str) -> None:
        """Raise what an earlier claim with this id means for a new request."""
        if value["digest"] != digest:
            raise errors.GaprockError(errorcodes.ID_REUSED)
        deadline = float(value["deadline"])
        if value["state"] == CLAIMED and self._clock.now() < deadline:
            raise errors.GaprockError(errorcodes.IN_PROGRESS, "", deadline)
        if value["state"] in (CLAIMED, UNKNOWN):
            raise errors.GaprockError(
                errorcodes.OUTCOME_UNKNOWN, "an earlier request with this id"
            )

    def _stored(self, key: str, value: Value) -> StoredAnswer:
        status, content_type = int(value["status"]), str(value["content_type"])
        if "answer" in value:
            return StoredAnswer(status, content_type, str(value["answer"]).encode())
        body = None
        if value["object"]:
            try:
                body = self._objects.get(key.replace(KEY, OBJECT, 1))
            except services_api.PlatformError as exc:
                eventlog.warning("claim-answer-unread", key=key, error=exc)
        # Without its body the outcome still says that it ran, and how it ended.
        return StoredAnswer(status, content_type, body or b"{}")

    def _store_body(self, key: str, body: bytes) -> bool:
        try:
            self._objects.put(key.replace(KEY, OBJECT, 1), body)
        except services_api.PlatformError as exc:
            eventlog.warning("claim-answer-unstored", key=key, error=exc)
            return False
        return True

    def _outcome(self, claim: Claim, value: Value) -> None:
        outcome = Claim(claim.key, claim.version, value)
        patience = self._clock.now() + OUTCOME_PATIENCE_S
        fut = self._batcher.submit(
            services_api.TableOp(claim.key, claim.version, value), patience
        )
        try:
            fut.result()
        except services_api.PlatformError as exc:
            eventlog.warning("claim-outcome-open", key=claim.key, error=exc)
            self._remember(outcome)

    def _remember(self, claim: Claim) -> None:
        with self._lock:
            self._open[claim.key] = claim

    def _try_outcome(self, claim: Claim) -> bool:
        """Write an open outcome, whatever became of the earlier tries.

        :returns: whether nothing is left to do.
        """
        try:
            row = self._table.read([claim.key])[0]
            if not self._needs_write(claim, row):
                return True
            op = services_api.TableOp(claim.key, row.version, claim.value)
            return self._table.transact([op]).ok
        except services_api.PlatformError:
            return False

    def _needs_write(self, claim: Claim, row: services_api.Row) -> bool:
        """Whether the outcome is still missing from the row."""
        if row.value is not None and row.value["claim"] == claim.value["claim"]:
            return bool(row.value["state"] == CLAIMED)
        # Our write is not there, but while the row is as that write expects it,
        # it may still come: then the outcome takes its place.
        return row.version == claim.version
