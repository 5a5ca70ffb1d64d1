"""What gateways tell each other, as MessagePack."""

import typing

import msgspec

from gaprock import (
    departures,
    endpoint_state,
    messages,
    prefix_cache,
    quarantine,
    rate_limits,
)

# Row tables that a beat gives versions of, in this order.
TABLES: typing.Final = ("orders", "endpoints", "outcomes")
ORDERS: typing.Final = 0


class RolloutNews(msgspec.Struct, array_like=True, frozen=True):
    """A rollout as the sender sees it.

    :param age_s: seconds since the order, by the sender's clock.
    :param on_old: the sender's requests that run on the old version.
    :param kept: marks of the sessions that the sender saw on the old version and that
        go on (``rollout_sessions``).
    :param epoch: the store's epoch in which the revision holds.
    """

    service: str
    revision: int
    age_s: float
    halted: bool
    on_old: int
    kept: list[int] = []
    epoch: int = 0

    @property
    def point(self) -> tuple[int, int]:
        """The epoch and version of the order's row; a greater one is later."""
        return self.epoch, self.revision


class TableNews(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of a table.

    :param changed: the version of the newest change.
    :param digest: of all rows; a table that was read whole shows nothing of a row that
        was removed before, so the newest change alone does not tell two tables apart.
    :param verified_store_time: the store's time at which it had just these
        rows; 0 for never.
    :param epoch: the store's epoch, in which the version holds.
    """

    changed: int
    digest: int
    verified_store_time: float
    epoch: int = 0

    @property
    def point(self) -> tuple[int, int]:
        """The epoch and the newest change; a greater one is later."""
        return self.epoch, self.changed


class Carrier(msgspec.Struct, array_like=True, frozen=True):
    """A gateway that speaks for its hall, and where it takes messages."""

    name: str
    address: str


class HallNews(msgspec.Struct, array_like=True, frozen=True):
    """A hall as one of its carriers sees it.

    :param age_s: seconds since it was put together.
    :param members: living gateways.
    :param has_store: whether the store answers one of them.
    :param loads: what all of them have at each endpoint, together.
    :param unreachable_endpoints: endpoints that take no connection from one of them.
    :param limits: rate limits that endpoints name, and what all of them want to send.
    :param departing: endpoints that say that they leave.
    """

    hall: str
    age_s: float
    hall_relays: list[Carrier]
    members: int
    has_store: bool
    loads: dict[str, endpoint_state.Load]
    unreachable_endpoints: list[str]
    rollouts: list[RolloutNews]
    limits: list[rate_limits.LimitNews] = []
    departing: list[departures.DepartureNews] = []

    @property
    def urgent(self) -> object:
        """What everybody must know at once."""
        limits = sorted(one.urgent for one in self.limits)
        leaving = sorted(one.urgent for one in self.departing)
        return (
            self.hall_relays,
            self.unreachable_endpoints,
            halts(self.rollouts),
            limits,
            leaving,
        )

    def aged(self, age_s: float) -> "HallNews":
        """Give it with its age now."""
        return msgspec.structs.replace(self, age_s=age_s)


class Beat(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """Sent every beat to the peers of the own hall and to other halls' carriers.

    To another hall it tells no loads, dark endpoints and rollouts of the sender alone,
    but those of its hall, in ``halls``.

    :param hall: where the sender stands.
    :param address: where the sender takes messages.
    :param tables: what it knows of its tables, in the order of ``TABLES``.
    :param has_store: whether the store answers it, so that it can read for others.
    :param loads: what it has at each endpoint.
    :param prompts: what endpoints read for it since the last beat to this peer, as
        (endpoint, hashes).
    :param unreachable_endpoints: endpoints that take no connection from it.
    :param evidence: counters that changed since the last beat to this peer.
    :param halls: summaries: the sender's hall's to another one, others' in its own.
    :param suspects: requests that something speaks against, or no more.
    :param fleet: the most gateways that the sender counted lately; 0 for none.
    :param limits: rate limits that endpoints name, and what the sender wants to send.
    :param departing: endpoints that say that they leave.
    :param epoch_age_s: whole seconds since the sender heard of the store's epoch.
    :param config: the number of the configuration in force there.
    """

    sender: str
    hall: str
    address: str
    incarnation: str
    tables: list[TableNews]
    has_store: bool
    loads: dict[str, endpoint_state.Load]
    prompts: list[tuple[str, list[prefix_cache.PrefixHash]]]
    unreachable_endpoints: list[str]
    rollouts: list[RolloutNews]
    evidence: list[messages.Evidence]
    leaving: bool
    halls: list[HallNews] = []
    suspects: list[quarantine.SuspectUpdate] = []
    fleet: int = 0
    limits: list[rate_limits.LimitNews] = []
    departing: list[departures.DepartureNews] = []
    epoch_age_s: int = 0
    config: int = 0


def halts(news: list[RolloutNews]) -> list[tuple[str, int, bool]]:
    """Give which rollouts are halted."""
    return [(roll.service, roll.revision, roll.halted) for roll in news]


class RowsWanted(msgspec.Struct, tag="w", array_like=True, frozen=True):
    """Asks for a table, because the store does not answer or others read it for us.

    :param since: the version after which changes are wanted; -1 for the whole table.
    :param epoch: of that version.
    """

    address: str
    table: int
    since: int = -1
    epoch: int = 0


class RowCopy(msgspec.Struct, array_like=True, frozen=True):
    """A row as the store gave it; ``value`` is ``None`` for one that was removed."""

    key: str
    value: bytes | None
    version: int


class Rows(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """A table as of a version of the store.

    :param since: the version after which these rows changed; -1 for the whole table.
    :param epoch: of all versions here.
    """

    table: int
    version: int
    rows: list[RowCopy]
    since: int = -1
    epoch: int = 0


class ConfigWanted(msgspec.Struct, tag="cw", array_like=True, frozen=True):
    """Asks for the configuration in force, because the store's is an older one."""

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

    :raises msgspec.DecodeError: when it is none.
    """
    message: Message = _decoder.decode(data)
    return message
