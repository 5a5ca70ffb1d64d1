"""Decodes the platform's documents into the gateway's types.

The structs use the platform's field names; unknown fields are ignored, and those of
the configuration are logged (``unknown_fields``).
"""

import re
import socket
import time
import typing

import msgspec

from gaprock import digits, gateway_api, invalid_rows, routes
from gaprock.platform import unknown_fields

CONFIG_KEY: typing.Final = "config"
ROLLOUT_PREFIX: typing.Final = "rollout/"
# Key prefix of the orders that cordon a hall for as long as their row exists.
EVACUATION_PREFIX: typing.Final = "evacuate/"
KINDS: typing.Final = {
    "safe": routes.RouteKind.SAFE,
    "unsafe": routes.RouteKind.UNSAFE,
    "streaming": routes.RouteKind.STREAM,
}
DRAINING: typing.Final = "draining"
# No endpoint has more slots than this, or a start that is further in the future than
# these milliseconds: our time of day and theirs differ by seconds.
MAX_SLOTS: typing.Final = 1_000_000
MAX_BORN_AHEAD_MS: typing.Final = 24 * 3600 * 1000
MAX_PORT: typing.Final = 65_535
HEALTH_PATH: typing.Final = re.compile(r"/[!-~]{0,200}")
DOTS_IN_IPV4: typing.Final = 3
# Longest time that an operator may set for a rollout, seconds.
MAX_FINISH_S: typing.Final = 7 * 24 * 3600
# No endpoint warms up for longer than this, milliseconds.
MAX_COLD_MS: typing.Final = 3600 * 1000
_unknown: typing.Final = unknown_fields.UnknownFields()
NonEmptyText = typing.Annotated[str, msgspec.Meta(min_length=1)]


class BackendDoc(msgspec.Struct, frozen=True):
    """A service that gets a weighted share of a route's requests."""

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
    # Names of the models to choose from, the smallest first; not their sizes.
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
    # How long an endpoint warms up after its start, seconds, and how many requests a
    # second it can take meanwhile.
    WarmupS: float = 0.0
    ColdPerS: float = 0.0
    HealthPath: str = ""


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
    """An endpoint; ``Version`` is the version of its software.

    Every endpoint writes all fields except ``born`` and ``ColdMs``, which only some
    endpoints have.  A row that lacks another field, or has a field of another type, was
    not written by an endpoint.
    """

    Service: NonEmptyText
    Addr: str
    Zone: str
    Version: str
    Slots: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    State: typing.Literal["ready", "draining"]
    born: typing.Annotated[int, msgspec.Meta(ge=1)] = 0
    # Remaining time of the warm-up, milliseconds.
    ColdMs: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)] = 0.0


class RolloutDoc(msgspec.Struct, frozen=True):
    """An operator's rollout order; ``FinishByS`` counts from the time of the order."""

    Service: NonEmptyText
    ToVersion: NonEmptyText
    FinishByS: typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_FINISH_S)]


class OutcomeDoc(msgspec.Struct, frozen=True):
    ToVersion: str
    State: str


def route_table(value: bytes) -> routes.RouteTable:
    """Decode a routing configuration."""
    doc = invalid_rows.decode(ConfigDoc, value)
    _unknown.record(ConfigDoc, value)
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
    if doc.born and doc.born > time.time() * 1000 + MAX_BORN_AHEAD_MS:
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
    """Parse ``IP:PORT`` with an IPv4 address in four parts."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_aton(host)
    except (OSError, ValueError) as exc:
        raise gateway_api.InvalidDocument(f"Addr is not IP:PORT: {text!r}") from exc
    number = digits.parse(port) or 0
    # ``inet_aton`` also accepts fewer parts.
    if host.count(".") != DOTS_IN_IPV4 or not 0 < number <= MAX_PORT:
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
    health_path = b""
    if HEALTH_PATH.fullmatch(doc.HealthPath):
        health_path = doc.HealthPath.encode()
    return routes.Service(doc.Name, costs, memory, warm_up, health_path)


def _keys(tenants: list[TenantDoc]) -> dict[str, routes.Workspace]:
    return {
        key: routes.Workspace(
            tenant.Name, tenant.Priority, frozenset(tenant.AllowedRegions)
        )
        for tenant in tenants
        for key in tenant.ApiKeys
    }
