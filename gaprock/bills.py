"""Bills, which the entry and the agent both hold until they are in the table.

A bill is a row that is inserted only if it is absent, so writing it twice is
harmless.  The entry writes it; an agent does so only once the entry that sent the
request is gone.  When both write, one row remains: an entry's bill replaces an
agent's, and of two agents' bills the one with more lines remains.
"""

import threading
import typing

import msgspec

from gaprock import clock, eventlog, messages, services_api

KEY: typing.Final = "bill/"
BATCH: typing.Final = 100
# A process that stops hands its bills over to this many others: any of them may have
# died unnoticed, and writing a bill twice is harmless.
HANDOVER_COPIES: typing.Final = 3
# Time limit for the acknowledgement of a handover by one of the receivers.
HANDOVER_S: typing.Final = 1.0
ENTRY: typing.Final = "entry"
AGENT: typing.Final = "agent"


def key_of(workspace: str, request: str, digest: str) -> str:
    """Return the key of a bill.

    It has the digest of the body, so that a request with a reused id and another
    body is billed too.
    """
    return f"{workspace}/{request}/{digest}"


class HeldBill:
    """A bill that may not be in the table yet."""

    __slots__ = ("bill", "owners", "write_at")

    def __init__(
        self, bill: messages.Bill, owners: typing.Sequence[str], write_at: float
    ) -> None:
        self.bill = bill
        # The processes that hold a copy of the bill.
        self.owners = owners
        # When to write it, if no other holder has written it by then.
        self.write_at = write_at


class BillBuffer:
    """The bills of one process that are not written yet; thread-safe.

    :param by: ``ENTRY`` or ``AGENT``; decides whose bill remains in the table.
    :param capacity: number of bills from which ``is_full`` is true.
    """

    __slots__ = (
        "_table",
        "_by",
        "_capacity",
        "_clock",
        "_lock",
        "_forgotten",
        "_held",
        "written",
    )

    def __init__(
        self,
        table: services_api.Table,
        by: str,
        capacity: int,
        clock_: clock.Clock,
    ) -> None:
        self._table = table
        self._by = by
        self._capacity = capacity
        self._clock = clock_
        self._lock = threading.Lock()
        self._forgotten = threading.Condition(self._lock)
        self._held: dict[str, HeldBill] = {}
        # Called with (owner, keys) once bills are in the table.
        self.written: typing.Callable[[str, list[str]], None] | None = None

    @property
    def is_full(self) -> bool:
        """Whether new requests must be refused rather than served unbilled."""
        return len(self._held) >= self._capacity

    def __len__(self) -> int:
        return len(self._held)

    def hold(
        self, bill: messages.Bill, owners: typing.Sequence[str], write_at: float
    ) -> None:
        """Hold a bill until it is written.

        It replaces a held bill of the same key, unless that one has more lines.

        :param owners: the processes that hold a copy.
        :param write_at: when this process is to write it.
        """
        with self._lock:
            old = self._held.get(bill.key)
            if old is None or len(old.bill.lines) <= len(bill.lines):
                self._held[bill.key] = HeldBill(bill, owners, write_at)

    def owners(self) -> set[str]:
        """Return the processes that hold copies of these bills."""
        with self._lock:
            return {owner for held in self._held.values() for owner in held.owners}

    def schedule_bills_of(self, owner: str, write_at: float) -> None:
        """Bring the writing of the bills that a process also holds forward.

        Called when that process is gone, so that it will not write them itself, and
        when this process stops.

        :param write_at: when to write them at the latest.
        """
        with self._lock:
            for held in self._held.values():
                if owner in held.owners:
                    held.write_at = min(held.write_at, write_at)

    def forget(self, keys: list[str]) -> None:
        """Forget bills that another process has written."""
        with self._lock:
            for key in keys:
                self._held.pop(key, None)
            self._forgotten.notify_all()

    def copy_all(self) -> list[messages.Bill]:
        """Return all bills, which stay held, for a handover at a stop."""
        with self._lock:
            return [held.bill for held in self._held.values()]

    def wait_empty(self, deadline: float) -> None:
        """Wait until no bill is held, or until the deadline."""
        with self._forgotten:
            clock.wait_for(
                self._forgotten, lambda: not self._held, deadline, self._clock
            )

    def write_due(self) -> int:
        """Write one batch of due bills.

        :returns: the number of bills that are now in the table.
        :raises services_api.PlatformError: when the table did not answer; the
            bills stay held, and writing them again is safe.
        """
        now = self._clock.now()
        with self._lock:
            due = [h for h in self._held.values() if h.write_at <= now][:BATCH]
        if not due:
            return 0
        self._write(due)
        self._release_written(due)
        return len(due)

    def _write(self, due: list[HeldBill]) -> None:
        """Insert the bills that are absent and replace those that ours outrank."""
        wanted = {KEY + held.bill.key: held.bill for held in due}
        versions = dict.fromkeys(wanted, services_api.ABSENT)
        while wanted:
            result = self._table.transact(
                [
                    services_api.TableOp(key, versions[key], self._value(bill))
                    for key, bill in wanted.items()
                ]
            )
            if result.ok:
                return
            for row in result.failed:
                if self._outranks(wanted[row.key], row):
                    versions[row.key] = row.version
                else:
                    del wanted[row.key]

    def _value(self, bill: messages.Bill) -> dict[str, typing.Any]:
        lines = [
            {name: getattr(line, name) for name in line.__struct_fields__}
            for line in bill.lines
        ]
        return {
            "by": self._by,
            "request": bill.request,
            "workspace": bill.workspace,
            "template": bill.template,
            "code": bill.code,
            "cost": sum(line.cost for line in bill.lines),
            "lines": lines,
        }

    def _outranks(self, bill: messages.Bill, row: services_api.Row) -> bool:
        """Check whether a bill of ours replaces the one in the table."""
        if row.value is None or row.value["by"] != AGENT:
            return False
        attempts = [line["attempt"] for line in row.value["lines"]]
        same = attempts == [line.attempt for line in bill.lines]
        if same:
            return False
        return self._by == ENTRY or len(bill.lines) > len(attempts)

    def _release_written(self, due: list[HeldBill]) -> None:
        with self._lock:
            for held in due:
                # A later bill of the same request may have replaced it.
                if self._held.get(held.bill.key) is held:
                    del self._held[held.bill.key]
        keys_of: dict[str, list[str]] = {}
        for held in due:
            for owner in held.owners:
                keys_of.setdefault(owner, []).append(held.bill.key)
        for owner, keys in keys_of.items():
            if self.written is not None:
                self.written(owner, keys)
        eventlog.debug("bills-written", count=len(due))


class Usage(msgspec.Struct, frozen=True):
    """The token counts of an engine's answer that a bill needs."""

    completion_tokens: int = 1


class Billable(msgspec.Struct):
    """The fields of an engine's answer that a bill needs."""

    usage: Usage = Usage()


def parts_of(answer: bytes) -> int:
    """Return the number of parts to bill for an unstreamed answer.

    An answer without a readable token count is billed as one part.
    """
    try:
        return max(
            1, msgspec.json.decode(answer, type=Billable).usage.completion_tokens
        )
    except msgspec.DecodeError:
        return 1
