"""What gaprock needs of the platform.

``services_http`` speaks to services over HTTP; a site with other protocols
registers a connector of its own.
"""

import typing

import msgspec

from gaprock import options, plugin


class Row(msgspec.Struct, frozen=True):
    """A row of the table.

    :param version: raised by each write; 0 means that there is no row.
    """

    key: str
    version: int
    value: dict[str, typing.Any] | None = None


class TableOp(msgspec.Struct, frozen=True):
    """One step of a transaction.

    :param expect: the row's version that must hold; ``ANY_VERSION`` for any.
    :param value: what to write.
    :param check_only: when true, only the condition counts.
    """

    key: str
    expect: int
    value: dict[str, typing.Any] | None = None
    check_only: bool = False
    delete: bool = False


ANY_VERSION: typing.Final = -1
ABSENT: typing.Final = 0


class TxResult(msgspec.Struct, frozen=True):
    """A transaction's answer: done whole, or the rows whose condition failed."""

    ok: bool
    failed: list[Row] = []


class PlatformError(Exception):
    """The service refused or could not be reached; nothing was changed.

    :param retry_at: when it asked us to come back, seconds since the epoch.
    """

    def __init__(self, detail: str, retry_at: float = 0.0) -> None:
        super().__init__(detail)
        self.retry_at = retry_at


class RateLimited(PlatformError):
    """The service is up but takes no more calls now."""


class AnswerLost(PlatformError):
    """The service may have taken the change: its answer did not come."""


class Table:
    """The platform's transactional table."""

    __slots__ = ()

    def transact(self, ops: list[TableOp]) -> TxResult:
        """Carry out all steps or none.

        :raises AnswerLost: when the outcome is not known.
        :raises PlatformError: when nothing was changed.
        """
        raise NotImplementedError

    def read(self, keys: list[str]) -> list[Row]:
        """Read rows at one point in time, in the order of ``keys``.

        :raises PlatformError: when it did not answer.
        """
        raise NotImplementedError

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Read up to ``limit`` rows of a prefix with keys above ``after``.

        :raises PlatformError: when it did not answer.
        """
        raise NotImplementedError


class Objects:
    """The platform's object store."""

    __slots__ = ()

    def put(self, name: str, data: bytes) -> None:
        """Store an object.

        :raises PlatformError: when it may not be stored.
        """
        raise NotImplementedError

    def get(self, name: str) -> bytes | None:
        """Read an object; ``None`` when there is none.

        :raises PlatformError: when it did not answer.
        """
        raise NotImplementedError


class Rater:
    """The platform's rating service."""

    __slots__ = ()

    def rate(self, workspace: str, body: bytes, answer: bytes) -> float | None:
        """Rate an answer, 0 to 1; ``None`` when it gives no rating now."""
        raise NotImplementedError


class Vm(msgspec.Struct, frozen=True):
    """A line of the VM list."""

    vm: str
    hall: str
    role: str
    address: str
    state: str


class VmList:
    """The platform's lagging list of VMs."""

    __slots__ = ()

    def vms(self) -> list[Vm]:
        """List the VMs.

        :raises PlatformError: when it did not answer.
        """
        raise NotImplementedError


class Platform:
    """All of the platform's services, as one process uses them."""

    __slots__ = ("table", "objects", "rater", "vm_list")

    def __init__(
        self, table: Table, objects: Objects, rater: Rater, vm_list: VmList
    ) -> None:
        self.table = table
        self.objects = objects
        self.rater = rater
        self.vm_list = vm_list


class Connector(plugin.Plugin):
    """Makes a process's clients of the platform."""

    __slots__ = ()

    def connect(self, cfg: options.Options) -> Platform:
        """Make the clients; no call is made yet."""
        raise NotImplementedError


def connect(cfg: options.Options) -> Platform:
    """Connect by the connector that the settings name."""
    return plugin.find(Connector, cfg.connector)().connect(cfg)
