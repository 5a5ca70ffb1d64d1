"""Decodes the platform's documents into the gateway's types.

The structs name the fields as the platform spells them; unknown fields are ignored.
"""

import typing

import msgspec

from gaprock import gateway_api, routes

CONFIG_KEY: typing.Final = "config"
ROLLOUT_PREFIX: typing.Final = "rollout/"
KINDS: typing.Final = {
    "safe": routes.RouteKind.SAFE,
    "unsafe": routes.RouteKind.UNSAFE,
    "streaming": routes.RouteKind.STREAM,
}
DRAINING: typing.Final = "draining"
D = typing.TypeVar("D")


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


class ModelDoc(msgspec.Struct, frozen=True):
    Name: str
    Cost: float = 0.0


class EngineDoc(msgspec.Struct, frozen=True):
    Models: list[ModelDoc] = []
    KvCapacity: int = 0


class ServiceDoc(msgspec.Struct, frozen=True):
    Name: str
    Engine: EngineDoc | None = None


class LimitsDoc(msgspec.Struct, frozen=True):
    BodyBytes: int = 4 * 1024 * 1024
    IdleMs: float = 15_000.0


class TenantDoc(msgspec.Struct, frozen=True):
    """A workspace, which the platform calls a tenant."""

    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None


class ConfigDoc(msgspec.Struct, frozen=True):
    Version: int
    Routes: list[RouteDoc]
    Services: list[ServiceDoc] = []
    Limits: LimitsDoc = LimitsDoc()
    Tenants: list[TenantDoc] | None = None


class ServerDoc(msgspec.Struct, frozen=True):
    """An endpoint; ``Version`` is that of its software."""

    Service: str
    Addr: str
    Zone: str = ""
    Version: str = ""
    Slots: int = 1
    State: str = "ready"


class RolloutDoc(msgspec.Struct, frozen=True):
    """An operator's order; ``FinishByS`` counts from the order."""

    Service: str
    ToVersion: str
    FinishByS: float


class OutcomeDoc(msgspec.Struct, frozen=True):
    ToVersion: str
    State: str


def decode(kind: type[D], value: bytes) -> D:
    """Decode a document.

    :raises gateway_api.InvalidDocument: naming the field.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise gateway_api.InvalidDocument(str(exc)) from exc


def route_table(value: bytes) -> routes.RouteTable:
    """Decode a whole configuration."""
    doc = decode(ConfigDoc, value)
    return routes.RouteTable(
        doc.Version,
        [_route(item) for item in doc.Routes],
        [_service(item) for item in doc.Services],
        None if doc.Tenants is None else _keys(doc.Tenants),
        routes.CallerLimits(doc.Limits.BodyBytes, doc.Limits.IdleMs / 1000),
    )


def endpoint(value: bytes) -> gateway_api.EndpointRow:
    """Decode an endpoint's row."""
    doc = decode(ServerDoc, value)
    host, _, port = doc.Addr.rpartition(":")
    if not host or not port.isdigit():
        raise gateway_api.InvalidDocument(f"Addr is not IP:PORT: {doc.Addr!r}")
    return gateway_api.EndpointRow(
        doc.Service,
        host,
        int(port),
        doc.Zone,
        doc.Version,
        max(1, doc.Slots),
        doc.State == DRAINING,
    )


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
    )


def _service(doc: ServiceDoc) -> routes.Service:
    models = doc.Engine.Models if doc.Engine else []
    costs = [routes.ModelCost(item.Name, item.Cost) for item in models]
    memory = doc.Engine.KvCapacity if doc.Engine else 0
    return routes.Service(doc.Name, costs, memory)


def _keys(tenants: list[TenantDoc]) -> dict[str, routes.Workspace]:
    return {
        key: routes.Workspace(tenant.Name, tenant.Priority)
        for tenant in tenants
        for key in tenant.ApiKeys
    }
