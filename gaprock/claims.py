"""Claims: a call that may not be repeated runs at most once.

A claim is a row in the table, inserted before the call is sent to an endpoint.

1. Only the process that wrote a claim sends the call; claims are never passed on.
2. The outcome is written to the row; a caller that sends the id again gets it.
3. A claim whose call was certainly not run is marked so; the id may be claimed again.
4. A claim without an outcome is *in progress* until its deadline, then *unknown*:
   its holder may have died just after the call.
"""

import math
import threading
import typing

from gaprock import clock, errorcodes, errors, eventlog, ids, services_api, table_batch

KEY: typing.Final = "claim/"
OBJECT_PREFIX: typing.Final = "claims/"
CLAIMED: typing.Final = "claimed"
DONE: typing.Final = "done"
NOT_RUN: typing.Final = "not-run"
UNKNOWN: typing.Final = "unknown"
# Answers of up to this many bytes are kept in the row, larger ones in the object store.
MAX_ROW_ANSWER: typing.Final = 16 * 1024
# Time limit for writing a claim.
CLAIM_TIMEOUT_S: typing.Final = 1.5
# Time limit for writing an outcome in the foreground; a background task then retries.
OUTCOME_TIMEOUT_S: typing.Final = 1.0
# Minimum retry delay for a caller that is refused because the table failed.
RETRY_AFTER_S: typing.Final = 2.0

Value = dict[str, typing.Any]


def deadline_of(row: services_api.Row) -> float:
    """Return the deadline of a claim; infinite if the row is absent or invalid."""
    try:
        return math.inf if row.value is None else float(row.value["deadline"])
    except (KeyError, TypeError, ValueError) as exc:
        eventlog.warning("invalid-row", table="claims", key=row.key, error=repr(exc))
        return math.inf


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
        # The version that the row is expected to have when the outcome is written.
        self.version = version
        self.value = value


class Claims:
    """Inserts claims and writes their outcomes."""

    __slots__ = (
        "_table",
        "_objects",
        "_batcher",
        "_clock",
        "_holder",
        "_lock",
        "_open_outcomes",
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
        # Outcomes that still have to be written to the table, by key.
        self._open_outcomes: dict[str, Claim] = {}

    def claim(
        self, workspace: str, request: str, digest: str, deadline: float
    ) -> Claim | StoredAnswer:
        """Claim a request id.

        :param digest: digest of the request's body, which binds the id to it.
        :param deadline: the call is not sent after this time.
        :returns: a new claim, or the stored answer to the earlier request.
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
                # The row was deleted between the failed write and the read of it.
                expect = row.version
                continue
            self._check_row(row.value, digest)
            if row.value["state"] == DONE:
                return self._stored_answer(key, row.value)
            # The earlier call was certainly not run: claim the id again.
            expect = row.version

    def finish(self, claim: Claim, status: int, content_type: str, body: bytes) -> None:
        """Store the answer of a call that ran."""
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
        self._write_outcome(claim, value)

    def write_state(self, claim: Claim, state: str) -> None:
        """Store that a call was not run, or that its outcome is unknown.

        :param state: ``NOT_RUN`` or ``UNKNOWN``.
        """
        self._write_outcome(
            claim, {**claim.value, "state": state, "txid": ids.new_token()}
        )

    def write_open_outcomes(self) -> int:
        """Retry the writes of the outcomes that are not in the table yet.

        :returns: the number of outcomes that are still not written.
        """
        with self._lock:
            waiting = list(self._open_outcomes.values())
        for claim in waiting:
            if self._retry_outcome(claim):
                with self._lock:
                    self._open_outcomes.pop(claim.key, None)
        return len(self._open_outcomes)

    def _write(
        self, key: str, expect: int, value: Value, deadline: float
    ) -> services_api.Row | None:
        """Write the row of a claim.

        :returns: ``None``, or the conflicting row when the condition failed.
        """
        now = self._clock.now()
        write_by = min(deadline, now + CLAIM_TIMEOUT_S)
        fut = self._batcher.submit(services_api.TableOp(key, expect, value), write_by)
        try:
            return fut.result()
        except services_api.AnswerLost as exc:
            # The write may have taken effect, or may still do so.  The row must not
            # stay *claimed*, as the call is not sent.
            self._queue_outcome(Claim(key, expect, {**value, "state": NOT_RUN}))
            raise self._table_down_error(exc) from exc
        except services_api.PlatformError as exc:
            raise self._table_down_error(exc) from exc

    def _table_down_error(self, exc: services_api.PlatformError) -> errors.GaprockError:
        retry_at = max(exc.retry_at, self._clock.now() + RETRY_AFTER_S)
        return errors.GaprockError(
            errorcodes.TABLE_DOWN, "the request id could not be claimed", retry_at
        )

    def _check_row(self, value: Value, digest: str) -> None:
        """Check whether the row of an earlier request allows a new one with its id.

        :raises errors.GaprockError: ``ID_REUSED``, ``IN_PROGRESS`` or
            ``OUTCOME_UNKNOWN``.
        """
        if value["digest"] != digest:
            raise errors.GaprockError(errorcodes.ID_REUSED)
        deadline = float(value["deadline"])
        if value["state"] == CLAIMED and self._clock.now() < deadline:
            raise errors.GaprockError(errorcodes.IN_PROGRESS, "", deadline)
        if value["state"] in (CLAIMED, UNKNOWN):
            raise errors.GaprockError(
                errorcodes.OUTCOME_UNKNOWN, "an earlier request with this id"
            )

    def _stored_answer(self, key: str, value: Value) -> StoredAnswer:
        status, content_type = int(value["status"]), str(value["content_type"])
        if "answer" in value:
            return StoredAnswer(status, content_type, str(value["answer"]).encode())
        body = None
        if value["object"]:
            try:
                body = self._objects.get(key.replace(KEY, OBJECT_PREFIX, 1))
            except services_api.PlatformError as exc:
                eventlog.warning("claim-answer-unread", key=key, error=exc)
        # Without the body, the status still says that the call ran and how it ended.
        return StoredAnswer(status, content_type, body or b"{}")

    def _store_body(self, key: str, body: bytes) -> bool:
        try:
            self._objects.put(key.replace(KEY, OBJECT_PREFIX, 1), body)
        except services_api.PlatformError as exc:
            eventlog.warning("claim-answer-unstored", key=key, error=exc)
            return False
        return True

    def _write_outcome(self, claim: Claim, value: Value) -> None:
        outcome = Claim(claim.key, claim.version, value)
        write_by = self._clock.now() + OUTCOME_TIMEOUT_S
        fut = self._batcher.submit(
            services_api.TableOp(claim.key, claim.version, value), write_by
        )
        try:
            fut.result()
        except services_api.PlatformError as exc:
            eventlog.warning("claim-outcome-open", key=claim.key, error=exc)
            self._queue_outcome(outcome)

    def _queue_outcome(self, claim: Claim) -> None:
        with self._lock:
            self._open_outcomes[claim.key] = claim

    def _retry_outcome(self, claim: Claim) -> bool:
        """Write an outcome whose earlier writes failed or were not answered.

        :returns: whether the outcome needs no further try.
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
        """Check whether the outcome still has to be written to the row."""
        if row.value is not None and row.value["claim"] == claim.value["claim"]:
            return bool(row.value["state"] == CLAIMED)
        # The claim is not in the row.  While the row still has the version that the
        # claim's write expects, that write may yet take effect: writing the outcome
        # now prevents it.
        return row.version == claim.version
