"""Group commit: single-row writes of many threads in one transaction.

The table is rate-limited, and everyone arrives in the same minute.  A write is
conditional and carries a transaction id in its row, so that one whose answer
was lost is settled by reading the id back.
"""

import queue
import threading
import typing
from concurrent import futures

from gaprock import clock, services_api

BATCH: typing.Final = 100
# Pause before another try when the table asks for one, at most, seconds.
MAX_PAUSE_S: typing.Final = 0.25

# ``None`` when the write took effect, else the row that stood in its way.
Outcome = services_api.Row | None


class Write:
    """One write that waits for its group."""

    __slots__ = ("op", "deadline", "fut", "sent")

    def __init__(self, op: services_api.TableOp, deadline: float) -> None:
        self.op = op
        # No further try is begun after this.
        self.deadline = deadline
        self.fut: futures.Future[Outcome] = futures.Future()
        # Whether a try of it may have taken effect.
        self.sent = False


class Batcher:
    """Commits writes in groups, with one thread."""

    __slots__ = ("_table", "_clock", "_queue", "_thread")

    def __init__(self, table: services_api.Table, clock_: clock.Clock) -> None:
        self._table = table
        self._clock = clock_
        self._queue: queue.SimpleQueue[Write | None] = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run, name="table-batch", daemon=True
        )

    def start(self) -> None:
        """Begin to commit."""
        self._thread.start()

    def stop(self) -> None:
        """Commit what waits and end."""
        self._queue.put(None)
        self._thread.join()

    def submit(
        self, op: services_api.TableOp, deadline: float
    ) -> futures.Future[Outcome]:
        """Ask for a write.

        :returns: a future of the outcome; it raises ``services_api.AnswerLost``
            when it may take effect yet, ``services_api.PlatformError`` when not.
        """
        write = Write(op, deadline)
        self._queue.put(write)
        return write.fut

    def _run(self) -> None:
        while True:
            write = self._queue.get()
            if write is None:
                return
            group = [write]
            while len(group) < BATCH and not self._queue.empty():
                more = self._queue.get()
                if more is None:
                    self._queue.put(None)
                    break
                group.append(more)
            self._commit(group)

    def _commit(self, group: list[Write]) -> None:
        """Commit a group; two writes to one row go one after the other."""
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
                group = self._read_back(group, exc)
                continue
            except services_api.PlatformError as exc:
                group = self._pause(group, exc)
                continue
            if result.ok:
                for write in group:
                    write.fut.set_result(None)
                return
            group = self._take_out(group, result.failed)

    def _take_out(
        self, group: list[Write], rows: list[services_api.Row]
    ) -> list[Write]:
        """Settle the writes whose condition failed and give the others."""
        failed = {row.key: row for row in rows}
        rest = []
        for write in group:
            row = failed.get(write.op.key)
            if row is None:
                rest.append(write)
            else:
                write.fut.set_result(None if _is_ours(write, row) else row)
        return rest

    def _read_back(
        self, group: list[Write], exc: services_api.AnswerLost
    ) -> list[Write]:
        """After a lost answer, see which writes took effect; give the others."""
        try:
            rows = self._table.read([write.op.key for write in group])
        except services_api.PlatformError:
            return self._pause(group, exc)
        rest = []
        for write, row in zip(group, rows):
            if _is_ours(write, row):
                write.fut.set_result(None)
            elif row.version != write.op.expect:
                write.fut.set_result(row)
            else:
                rest.append(write)
        # The lost try may still arrive.  Sending again is safe: only one of the
        # two can meet the condition.
        return self._pause(rest, exc)

    def _pause(
        self, group: list[Write], exc: services_api.PlatformError
    ) -> list[Write]:
        """Fail the writes that are out of time; give the others after a pause."""
        now = self._clock.now()
        resume_at = min(max(exc.retry_at, now + 0.01), now + MAX_PAUSE_S)
        rest = []
        for write in group:
            if write.deadline > resume_at:
                rest.append(write)
            elif write.sent:
                write.fut.set_exception(services_api.AnswerLost(str(exc)))
            else:
                write.fut.set_exception(exc)
        if rest:
            clock.sleep_until(resume_at, self._clock)
        return rest


def _is_ours(write: Write, row: services_api.Row) -> bool:
    """Whether a row holds what the write wrote."""
    if row.value is None or write.op.value is None:
        return False
    txid = write.op.value.get("txid")
    return txid is not None and row.value.get("txid") == txid
