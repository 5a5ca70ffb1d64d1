"""Bills: held by the entry and by the agent until they are in the table.

A bill is a row that is inserted if it is absent, so writing it twice is
harmless.  The entry writes; an agent writes only once the entry that sent it
the request is gone.  Where both have written, one row stays: the entry's goes
before an agent's, and of two agents' bills the one with more lines stays.
"""

import threading
import typing

import msgspec

from gaprock import clock, eventlog, messages, services_api

KEY: typing.Final = "bill/"
BATCH: typing.Final = 100
# A process that stops hands its bills to so many others: any of them may be gone
# without a word, and writing a bill twice is harmless.
HANDOVER_COPIES: typing.Final = 3
# ... and waits this long for one of them to say that it has them, seconds.
HANDOVER_S: typing.Final = 1.0
ENTRY: typing.Final = "entry"
AGENT: typing.Final = "agent"


def key_of(workspace: str, request: str, digest: str) -> str:
    """Give a bill's key: the body's digest keeps a reused id from being free."""
    return f"{workspace}/{request}/{digest}"


class Held:
    """A bill that is not known to be in the table."""

    __slots__ = ("bill", "owners", "write_at")

    def __init__(
        self, bill: messages.Bill, owners: typing.Sequence[str], write_at: float
    ) -> None:
        self.bill = bill
        # The processes that hold the other copies.
        self.owners = owners
        # When to write it, unless the other side has.
        self.write_at = write_at


class BillBuffer:
    """The unwritten bills of one process; safe for all threads.

    :param by: ``ENTRY`` or ``AGENT``; the writer's rank.
    :param capacity: bills beyond which ``is_full`` is true.
    """

    __slots__ = (
        "_table",
        "_by",
        "_capacity",
        "_clock",
        "_lock",
        "_dropped",
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
        self._dropped = threading.Condition(self._lock)
        self._held: dict[str, Held] = {}
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
        """Keep a bill until it is written; it is to be written at ``write_at``."""
        with self._lock:
            old = self._held.get(bill.key)
            if old is None or len(old.bill.lines) <= len(bill.lines):
                self._held[bill.key] = Held(bill, owners, write_at)

    def owners(self) -> set[str]:
        """Give the other holders of the bills held here."""
        with self._lock:
            return {owner for held in self._held.values() for owner in held.owners}

    def release_owner(self, owner: str, write_at: float) -> None:
        """The other holder is gone: write its bills from ``write_at`` on."""
        with self._lock:
            for held in self._held.values():
                if owner in held.owners:
                    held.write_at = min(held.write_at, write_at)

    def forget(self, keys: list[str]) -> None:
        """Forget bills that another process has written."""
        with self._lock:
            for key in keys:
                self._held.pop(key, None)
            self._dropped.notify_all()

    def copy_all(self) -> list[messages.Bill]:
        """Give all bills, to hand them over at a stop."""
        with self._lock:
            return [held.bill for held in self._held.values()]

    def wait_empty(self, deadline: float) -> None:
        """Wait until no bill is held here, or until the deadline."""
        with self._dropped:
            clock.wait_for(self._dropped, lambda: not self._held, deadline, self._clock)

    def write_due(self) -> int:
        """Write one batch of due bills.

        :returns: the number of bills settled.
        :raises services_api.PlatformError: when the table did not answer; the
            bills stay held, and writing them again is safe.
        """
        now = self._clock.now()
        with self._lock:
            due = [h for h in self._held.values() if h.write_at <= now][:BATCH]
        if not due:
            return 0
        self._write(due)
        self._settle(due)
        return len(due)

    def _write(self, due: list[Held]) -> None:
        """Insert the bills that are absent, and replace those that rank lower."""
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
        """Whether our bill replaces the one in the table."""
        if row.value is None or row.value["by"] != AGENT:
            return False
        attempts = [line["attempt"] for line in row.value["lines"]]
        same = attempts == [line.attempt for line in bill.lines]
        if same:
            return False
        return self._by == ENTRY or len(bill.lines) > len(attempts)

    def _settle(self, due: list[Held]) -> None:
        with self._lock:
            for held in due:
                # A later bill of the same request may have taken its place.
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
    """The part of an engine's answer that the bill needs."""

    completion_tokens: int = 1


class Billable(msgspec.Struct):
    """An engine's answer, as far as the bill needs it."""

    usage: Usage = Usage()


def parts_of(answer: bytes) -> int:
    """Give the number of parts to bill for a whole answer."""
    try:
        return max(
            1, msgspec.json.decode(answer, type=Billable).usage.completion_tokens
        )
    except msgspec.DecodeError:
        return 1
