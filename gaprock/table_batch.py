"""Group commit: single-row writes of many threads in one transaction.

The table is rate-limited, and most writes come within the same minute.  A write is
conditional and stores a transaction id in its row, so if the answer is lost, reading
the row shows whether the write took effect.
"""

import queue
import threading
import typing
from concurrent import futures

from gaprock import clock, services_api

MAX_BATCH: typing.Final = 100
# Longest pause before a retry that the table asks for.
MAX_PAUSE_S: typing.Final = 0.25

# ``None`` if the write took effect, else the row that failed its condition.
Outcome = services_api.Row | None


class Write:
    """A write that waits to be committed."""

    __slots__ = ("op", "deadline", "future", "sent")

    def __init__(self, op: services_api.TableOp, deadline: float) -> None:
        self.op = op
        # No further attempt starts after this.
        self.deadline = deadline
        self.future: futures.Future[Outcome] = futures.Future()
        # Whether an earlier attempt may have taken effect.
        self.sent = False


class Batcher:
    """Commits writes in groups on a thread of its own."""

    __slots__ = ("_table", "_clock", "_queue", "_thread")

    def __init__(self, table: services_api.Table, clock_: clock.Clock) -> None:
        self._table = table
        self._clock = clock_
        self._queue: queue.SimpleQueue[Write | None] = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run, name="table-batch", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Commit the queued writes and stop the thread."""
        self._queue.put(None)
        self._thread.join()

    def submit(
        self, op: services_api.TableOp, deadline: float
    ) -> futures.Future[Outcome]:
        """Queue a write.

        :returns: a future of the outcome; it raises ``services_api.AnswerLost`` if the
            write may still take effect, ``services_api.PlatformError`` if it cannot.
        """
        write = Write(op, deadline)
        self._queue.put(write)
        return write.future

    def _run(self) -> None:
        while True:
            write = self._queue.get()
            if write is None:
                return
            group = [write]
            while len(group) < MAX_BATCH and not self._queue.empty():
                more = self._queue.get()
                if more is None:
                    self._queue.put(None)
                    break
                group.append(more)
            self._commit(group)

    def _commit(self, group: list[Write]) -> None:
        """Commit a group; writes to the same row are committed one after another."""
        while group:
            first: dict[str, Write] = {}
            later: list[Write] = []
            for write in group:
                if write.op.key in first:
                    later.append(write)
                else:
                    first[write.op.key] = write
            self._commit_distinct(list(first.values()))
            group = later

    def _commit_distinct(self, group: list[Write]) -> None:
        while group:
            try:
                result = self._table.transact([write.op for write in group])
            except services_api.AnswerLost as exc:
                for write in group:
                    write.sent = True
                group = self._settle_by_reading(group, exc)
                continue
            except services_api.PlatformError as exc:
                group = self._pause(group, exc)
                continue
            if result.ok:
                for write in group:
                    write.future.set_result(None)
                return
            group = self._settle_failed(group, result.failed)

    def _settle_failed(
        self, group: list[Write], rows: list[services_api.Row]
    ) -> list[Write]:
        """Settle the writes whose condition failed and return the others."""
        failed = {row.key: row for row in rows}
        rest = []
        for write in group:
            row = failed.get(write.op.key)
            if row is None:
                rest.append(write)
            else:
                write.future.set_result(None if _is_ours(write, row) else row)
        return rest

    def _settle_by_reading(
        self, group: list[Write], exc: services_api.AnswerLost
    ) -> list[Write]:
        """After a lost answer, settle the writes by their rows; return the others."""
        try:
            rows = self._table.read([write.op.key for write in group])
        except services_api.PlatformError:
            return self._pause(group, exc)
        rest = []
        for write, row in zip(group, rows):
            if _is_ours(write, row):
                write.future.set_result(None)
            elif row.version != write.op.expect:
                write.future.set_result(row)
            else:
                rest.append(write)
        # The lost attempt may still arrive.  Sending again is safe: only one of the two
        # can meet the condition.
        return self._pause(rest, exc)

    def _pause(
        self, group: list[Write], exc: services_api.PlatformError
    ) -> list[Write]:
        """Fail the writes whose deadline is near; return the others after a pause."""
        now = self._clock.now()
        resume_at = min(max(exc.retry_at, now + 0.01), now + MAX_PAUSE_S)
        rest = []
        for write in group:
            if write.deadline > resume_at:
                rest.append(write)
            elif write.sent:
                write.future.set_exception(services_api.AnswerLost(str(exc)))
            else:
                write.future.set_exception(exc)
        if rest:
            clock.sleep_until(resume_at, self._clock)
        return rest


def _is_ours(write: Write, row: services_api.Row) -> bool:
    """Whether a row was written by this write."""
    if row.value is None or write.op.value is None:
        return False
    txid = write.op.value.get("txid")
    return txid is not None and row.value.get("txid") == txid
