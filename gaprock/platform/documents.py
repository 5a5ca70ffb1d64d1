"""Decodes the platform's documents into the gateway's types.

The structs name the fields as the platform spells them; unknown fields are ignored.
"""

import socket
import time
import typing

import msgspec

from gaprock import gateway_api, invalid_rows, routes

CONFIG_KEY: typing.Final = "config"
ROLLOUT_PREFIX: typing.Final = "rollout/"
# An order that a hall gets nothing more, until its row goes.
EVACUATION_PREFIX: typing.Final = "evacuate/"
KINDS: typing.Final = {
    "safe": routes.RouteKind.SAFE,
    "unsafe": routes.RouteKind.UNSAFE,
    "streaming": routes.RouteKind.STREAM,
}
DRAINING: typing.Final = "draining"
# More slots or a later start than these are nobody's, milliseconds for the start: our
# time of day and theirs differ by seconds.
MAX_SLOTS: typing.Final = 1_000_000
MAX_AHEAD_MS: typing.Final = 24 * 3600 * 1000
MAX_PORT: typing.Final = 65_535
DOTS: typing.Final = 3
# A rollout's time, seconds.
MAX_FINISH_S: typing.Final = 7 * 24 * 3600
# Nobody warms up for longer than this, milliseconds.
MAX_COLD_MS: typing.Final = 3600 * 1000
Text = typing.Annotated[str, msgspec.Meta(min_length=1)]


class BackendDoc(msgspec.Struct, frozen=True):
    """A service of a split route."""

    Service: str
    Weight: int


class RouteDoc(msgspec.Struct, frozen=True):
    """A route; ``Service`` and ``Backends`` exclude each other."""

    Name: str
    Host: str
    Prefix: str
    Kind: str
    TimeoutMs: float
    GoalMs: float = 1000.0
    Priority: int = 5
    Service: str = ""
    Backends: list[BackendDoc] = []
    Attempts: int = 1
    Public: bool = False
    # The models to choose from, the smallest first, despite the name.
    Sizes: list[str] = []
    CanResume: bool = False
    GapTargetMs: float = 1000.0
    AllowedRegions: list[str] = []


class ModelDoc(msgspec.Struct, frozen=True):
    Name: str
    Cost: float = 0.0


class EngineDoc(msgspec.Struct, frozen=True):
    Models: list[ModelDoc] = []
    KvCapacity: int = 0


class ServiceDoc(msgspec.Struct, frozen=True):
    Name: str
    Engine: EngineDoc | None = None
    # Seconds that an endpoint is not warm after its start, and what it bears then.
    WarmupS: float = 0.0
    ColdPerS: float = 0.0


class LimitsDoc(msgspec.Struct, frozen=True):
    BodyBytes: int = 4 * 1024 * 1024
    IdleMs: float = 15_000.0


class TenantDoc(msgspec.Struct, frozen=True):
    """A workspace, which the platform calls a tenant."""

    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None
    AllowedRegions: list[str] = []


class ConfigDoc(msgspec.Struct, frozen=True):
    Version: int
    Routes: list[RouteDoc]
    Services: list[ServiceDoc] = []
    Limits: LimitsDoc = LimitsDoc()
    Tenants: list[TenantDoc] | None = None


class ServerDoc(msgspec.Struct, frozen=True):
    """An endpoint; ``Version`` is that of its software.

    Endpoints write all of this, but for ``born`` and ``ColdMs``, which not all of them
    have.  Whatever lacks a field or has another type was written by somebody else.
    """

    Service: Text
    Addr: str
    Zone: str
    Version: str
    Slots: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    State: typing.Literal["ready", "draining"]
    born: typing.Annotated[int, msgspec.Meta(ge=1)] = 0
    # How much longer it is not warm.
    ColdMs: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)] = 0.0


class RolloutDoc(msgspec.Struct, frozen=True):
    """An operator's order; ``FinishByS`` counts from the order."""

    Service: Text
    ToVersion: Text
    FinishByS: typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_FINISH_S)]


class OutcomeDoc(msgspec.Struct, frozen=True):
    ToVersion: str
    State: str


def route_table(value: bytes) -> routes.RouteTable:
    """Decode a whole configuration."""
    doc = invalid_rows.decode(ConfigDoc, value)
    return routes.RouteTable(
        doc.Version,
        [_route(item) for item in doc.Routes],
        [_service(item) for item in doc.Services],
        None if doc.Tenants is None else _keys(doc.Tenants),
        routes.CallerLimits(doc.Limits.BodyBytes, doc.Limits.IdleMs / 1000),
    )


def endpoint(value: bytes) -> gateway_api.EndpointRow:
    """Decode an endpoint's row."""
    doc = invalid_rows.decode(ServerDoc, value)
    host, port = _address(doc.Addr)
    if doc.born and doc.born > time.time() * 1000 + MAX_AHEAD_MS:
        raise gateway_api.InvalidDocument(f"born is in the future: {doc.born}")
    return gateway_api.EndpointRow(
        doc.Service,
        host,
        port,
        doc.Zone,
        doc.Version,
        doc.Slots,
        doc.State == DRAINING,
        doc.born,
        doc.ColdMs / 1000,
    )


def _address(text: str) -> tuple[str, int]:
    """Read an IP number and a port."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_aton(host)
        number = int(port)
    except (OSError, ValueError) as exc:
        raise gateway_api.InvalidDocument(f"Addr is not IP:PORT: {text!r}") from exc
    # Both take shorter forms as well.
    if host.count(".") != DOTS or not port.isdigit() or not 0 < number <= MAX_PORT:
        raise gateway_api.InvalidDocument(f"Addr is not IP:PORT: {text!r}")
    return host, number


def _route(doc: RouteDoc) -> routes.Route:
    if doc.Kind not in KINDS:
        raise gateway_api.InvalidDocument(f"route {doc.Name}: Kind {doc.Kind!r}")
    pools = [routes.Pool(item.Service, item.Weight) for item in doc.Backends]
    return routes.Route(
        doc.Name,
        doc.Host,
        doc.Prefix,
        KINDS[doc.Kind],
        pools or [routes.Pool(doc.Service, 1)],
        doc.TimeoutMs / 1000,
        doc.GoalMs / 1000,
        doc.GapTargetMs / 1000,
        doc.Priority,
        doc.Sizes,
        max(1, doc.Attempts),
        doc.Public,
        doc.CanResume,
        frozenset(doc.AllowedRegions),
    )


def _service(doc: ServiceDoc) -> routes.Service:
    models = doc.Engine.Models if doc.Engine else []
    costs = [routes.ModelCost(item.Name, item.Cost) for item in models]
    memory = doc.Engine.KvCapacity if doc.Engine else 0
    warm_up = None
    if doc.WarmupS > 0 and doc.ColdPerS > 0:
        warm_up = routes.WarmUp(doc.WarmupS, doc.ColdPerS)
    return routes.Service(doc.Name, costs, memory, warm_up)


def _keys(tenants: list[TenantDoc]) -> dict[str, routes.Workspace]:
    return {
        key: routes.Workspace(
            tenant.Name, tenant.Priority, frozenset(tenant.AllowedRegions)
        )
        for tenant in tenants
        for key in tenant.ApiKeys
    }
