"""Messages between gateways, encoded as MessagePack."""

import typing

import msgspec

from gaprock import (
    departures,
    endpoint_state,
    messages,
    prefix_cache,
    rate_limits,
    suspicion,
)

# The tables whose state a heartbeat carries, in this order.
TABLES: typing.Final = ("orders", "endpoints", "outcomes")
ORDERS: typing.Final = 0


class RolloutUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A rollout as the sender sees it.

    :param age_s: seconds since the order, by the sender's clock.
    :param on_old: the sender's requests that run on the old version.
    :param kept: hashes of the sessions that the sender saw on the old version and that
        continue there (``rollout_sessions``).
    :param epoch: the store's epoch to which the revision belongs.
    :param share: the largest share of sessions that the new version was given; 0 for
        unknown.
    """

    service: str
    revision: int
    age_s: float
    halted: bool
    on_old: int
    pinned: list[int] = []
    epoch: int = 0
    share: float = 0.0

    @property
    def store_position(self) -> tuple[int, int]:
        """The epoch and version of the order's row; a greater one is later."""
        return self.epoch, self.revision


class TableUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of a table.

    :param changed: the version of the newest change.
    :param digest: a hash of all rows.  A table that was read whole has no trace of a
        row removed before that, so the newest change alone does not distinguish tables.
    :param verified_store_time: the store's time at which it was last verified to have
        exactly these rows; 0 for never.
    :param epoch: the store's epoch to which the versions belong.
    :param version: the store's version at which it is known to have exactly these rows;
        -1 for a gateway of a release that does not send it.
    """

    changed: int
    digest: int
    verified_store_time: float
    epoch: int = 0
    version: int = -1

    @property
    def store_position(self) -> tuple[int, int]:
        """The epoch and the newest change; a greater one is later."""
        return self.epoch, self.changed


class PaceUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The pace that an endpoint reported, as the sender knows it.

    :param endpoint: its incarnation.
    :param lasting: percent of the usual time over the last seconds.
    :param current: the same at the moment of the newest report.
    :param age_ms: age of that report.
    """

    endpoint: str
    lasting: int
    current: int
    age_ms: int


class DemandUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Requests of a workspace for a service at the sender.

    :param workspace: empty for the sum of all that are not named.
    :param running: requests that were admitted and have not ended.
    :param waiting: requests that wait for admission.
    """

    service: str
    workspace: str
    running: int
    waiting: int


class HallRelay(msgspec.Struct, array_like=True, frozen=True):
    """A relay of a hall, and the address at which it receives messages."""

    name: str
    address: str


class HallNews(msgspec.Struct, array_like=True, frozen=True):
    """The summary of a hall, as one of its relays sees it.

    :param age_s: seconds since it was built.
    :param members: the number of live gateways.
    :param has_store: whether the store answers one of them.
    :param loads: the sum of their loads at each endpoint.
    :param unreachable_endpoints: endpoints that accept no connection from one of them.
    :param limits: rate limits that endpoints announced, and the rates that the
        gateways together want to send.
    :param departing: endpoints that announced that they leave.
    :param paces: lasting paces of endpoints that changed.
    :param demand: the sums of the gateways' requests by service and workspace.
    :param held: the sum of bytes that each endpoint was given and has not answered.
    """

    hall: str
    age_s: float
    hall_relays: list[HallRelay]
    members: int
    has_store: bool
    loads: dict[str, endpoint_state.Load]
    unreachable_endpoints: list[str]
    rollouts: list[RolloutUpdate]
    limits: list[rate_limits.LimitUpdate] = []
    departing: list[departures.DepartureUpdate] = []
    paces: list[PaceUpdate] = []
    demand: list[DemandUpdate] = []
    held: dict[str, int] = {}

    @property
    def urgent(self) -> object:
        """The part that every gateway must learn at once."""
        limits = sorted(one.urgent for one in self.limits)
        leaving = sorted(one.urgent for one in self.departing)
        return (
            self.hall_relays,
            self.unreachable_endpoints,
            urgent_states(self.rollouts),
            limits,
            leaving,
        )

    def with_age(self, age_s: float) -> "HallNews":
        """Return the summary with its present age."""
        return msgspec.structs.replace(self, age_s=age_s)


class Beat(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """The heartbeat, sent to the peers of the own hall and to other halls' relays.

    To another hall it carries no loads, unreachable endpoints and rollouts of the
    sender alone, but those of the sender's whole hall, in ``halls``.

    :param hall: the sender's hall.
    :param address: where the sender receives messages.
    :param tables: the state of the sender's tables, in the order of ``TABLES``.
    :param has_store: whether the store answers the sender, so that it can read for
        others.
    :param loads: the sender's load at each endpoint.
    :param prompts: what endpoints prefilled for the sender since the last heartbeat to
        this peer, as (endpoint, hashes).
    :param unreachable_endpoints: endpoints that accept no connection from the sender.
    :param evidence: counters that changed since the last heartbeat to this peer.
    :param halls: summaries: to another hall that of the sender's hall, to the own hall
        those of the other halls.
    :param suspects: requests that are suspected or in quarantine, or were cleared.
    :param fleet: the recent peak of gateways that the sender counted; 0 for none.
    :param limits: rate limits that endpoints announced, and the rates that the sender
        wants to send.
    :param departing: endpoints that announced that they leave.
    :param epoch_age_s: whole seconds since the sender learned of the store's epoch.
    :param config: the number of the configuration in force at the sender.
    :param paces: paces that endpoints reported to the sender since the last heartbeat
        to this peer.
    :param demand: the sender's requests by service and workspace.
    :param held: bytes that the sender gave each endpoint and that it has not answered.
    :param machine_size: class of the sender's machine; 0 if unknown.
    :param open_calls: number of its open calls; -1 if it does not report them.
    :param is_full: whether it is too full for new connections.
    """

    sender: str
    hall: str
    address: str
    incarnation: str
    tables: list[TableUpdate]
    has_store: bool
    loads: dict[str, endpoint_state.Load]
    prompts: list[tuple[str, list[prefix_cache.PrefixHash]]]
    unreachable_endpoints: list[str]
    rollouts: list[RolloutUpdate]
    evidence: list[messages.Evidence]
    leaving: bool
    halls: list[HallNews] = []
    suspects: list[suspicion.SuspectUpdate] = []
    fleet: int = 0
    limits: list[rate_limits.LimitUpdate] = []
    departing: list[departures.DepartureUpdate] = []
    epoch_age_s: int = 0
    config: int = 0
    paces: list[PaceUpdate] = []
    demand: list[DemandUpdate] = []
    held: dict[str, int] = {}
    machine_size: int = 0
    open_calls: int = -1
    is_full: bool = False


def urgent_states(news: list[RolloutUpdate]) -> list[tuple[str, int, bool, bool]]:
    """Return for each rollout whether it is halted, and whether all requests moved."""
    return [
        (roll.service, roll.revision, roll.halted, roll.share >= 1.0) for roll in news
    ]


class RowsWanted(msgspec.Struct, tag="w", array_like=True, frozen=True):
    """Requests a table, because the store does not answer or others read it for us.

    :param since: the version after which changes are wanted; -1 for the whole table.
    :param epoch: the epoch of that version.
    """

    address: str
    table: int
    since: int = -1
    epoch: int = 0


class RowCopy(msgspec.Struct, array_like=True, frozen=True):
    """A row as read from the store; ``value`` is ``None`` for a removed row."""

    key: str
    value: bytes | None
    version: int


class Rows(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """A table as of a version of the store.

    :param since: the version after which these rows changed; -1 for the whole table.
    :param epoch: the epoch of all versions here.
    """

    table: int
    version: int
    rows: list[RowCopy]
    since: int = -1
    epoch: int = 0


class ConfigWanted(msgspec.Struct, tag="cw", array_like=True, frozen=True):
    """Requests the configuration in force, because the store has an older one."""

    address: str


class ConfigCopy(msgspec.Struct, tag="c", array_like=True, frozen=True):
    """The row of the configuration in force, which a restored store may lack."""

    row: RowCopy


Message = Beat | RowsWanted | Rows | ConfigWanted | ConfigCopy
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message.

    :raises msgspec.DecodeError: for data that is no valid message.
    """
    message: Message = _decoder.decode(data)
    return message
