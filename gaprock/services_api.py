"""Interfaces of the platform services that gaprock uses.

``services_http`` implements them over HTTP; a deployment with other protocols
registers a connector of its own.
"""

import typing

import msgspec

from gaprock import options, plugin


class Row(msgspec.Struct, frozen=True):
    """A row of the table.

    :param version: increased by each write; 0 when the row does not exist.
    """

    key: str
    version: int
    value: dict[str, typing.Any] | None = None


class TableOp(msgspec.Struct, frozen=True):
    """One operation of a transaction.

    :param expect: the version that the row must have, or ``ANY_VERSION``.
    :param value: the value to write.
    :param check_only: only check the version, write nothing.
    :param delete: delete the row instead of writing it.
    """

    key: str
    expect: int
    value: dict[str, typing.Any] | None = None
    check_only: bool = False
    delete: bool = False


ANY_VERSION: typing.Final = -1
ABSENT: typing.Final = 0


class TxResult(msgspec.Struct, frozen=True):
    """The result of a transaction.

    :param ok: whether all operations were carried out; otherwise none was.
    :param failed: the rows whose version was not the expected one.
    """

    ok: bool
    failed: list[Row] = []


class PlatformError(Exception):
    """The service refused or could not be reached; nothing was changed.

    :param retry_at: when the service may be called again, seconds since the Unix
        epoch; 0 when it named no time.
    """

    def __init__(self, detail: str, retry_at: float = 0.0) -> None:
        super().__init__(detail)
        self.retry_at = retry_at


class RateLimited(PlatformError):
    """The service is up but refuses more calls for now."""


class AnswerLost(PlatformError):
    """No answer arrived; the change may have been made."""


class Table:
    """The platform's transactional table."""

    __slots__ = ()

    def transact(self, ops: list[TableOp]) -> TxResult:
        """Carry out all operations or none.

        :raises AnswerLost: when the outcome is unknown.
        :raises PlatformError: when nothing was changed.
        """
        raise NotImplementedError

    def read(self, keys: list[str]) -> list[Row]:
        """Read rows as of one point in time, in the order of ``keys``.

        :raises PlatformError: when the read failed.
        """
        raise NotImplementedError

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Read up to ``limit`` rows with a key prefix, in order, after key ``after``.

        :raises PlatformError: when the read failed.
        """
        raise NotImplementedError


class Objects:
    """The platform's object store."""

    __slots__ = ()

    def put(self, name: str, data: bytes) -> None:
        """Store an object.

        :raises PlatformError: when it is possibly not stored.
        """
        raise NotImplementedError

    def get(self, name: str) -> bytes | None:
        """Read an object; ``None`` when it does not exist.

        :raises PlatformError: when the read failed.
        """
        raise NotImplementedError


class Rater:
    """The platform's rating service."""

    __slots__ = ()

    def rate(self, workspace: str, body: bytes, answer: bytes) -> float | None:
        """Rate an answer from 0 to 1; ``None`` when no rating is available."""
        raise NotImplementedError


class Vm(msgspec.Struct, frozen=True):
    """An entry of the VM list."""

    vm: str
    hall: str
    role: str
    address: str
    state: str


class VmList:
    """The platform's list of VMs, which lags behind their state."""

    __slots__ = ()

    def vms(self) -> list[Vm]:
        """List the VMs.

        :raises PlatformError: when the read failed.
        """
        raise NotImplementedError


class Platform:
    """The clients of all platform services that one process uses."""

    __slots__ = ("table", "objects", "rater", "vm_list")

    def __init__(
        self, table: Table, objects: Objects, rater: Rater, vm_list: VmList
    ) -> None:
        self.table = table
        self.objects = objects
        self.rater = rater
        self.vm_list = vm_list


class Connector(plugin.Plugin):
    """Creates the clients of the platform services."""

    __slots__ = ()

    def connect(self, cfg: options.Options) -> Platform:
        """Create the clients without calling the services."""
        raise NotImplementedError


def connect(cfg: options.Options) -> Platform:
    """Create the clients by the connector that the settings name."""
    return plugin.find(Connector, cfg.connector)().connect(cfg)
