"""The routing configuration of a gateway.

A ``RouteTable`` is one accepted configuration, complete and immutable after decoding.
``match`` finds the route of a request, ``workspace_of`` the owner of a key.
"""

import enum
import typing


class RouteKind(enum.Enum):
    """Whether the requests of a route may be repeated."""

    # May run more than once.
    SAFE = "safe"
    # Runs at most once.
    UNSAFE = "unsafe"
    # A stream of numbered events; may be repeated only if the route is resumable.
    STREAM = "stream"


class Pool(typing.NamedTuple):
    """A service that a route sends requests to, with its weight among the pools."""

    service: str
    weight: int


class ModelCost(typing.NamedTuple):
    """A model of an engine.

    :param cost: price of 1,000 output tokens; an input token costs a quarter of one.
    """

    name: str
    cost: float


class WarmUp(typing.NamedTuple):
    """The warm-up of a service's endpoints.

    :param lasts_s: how long an endpoint warms up after its start.
    :param per_s: requests per second that it can handle meanwhile.
    """

    lasts_s: float
    per_s: float


class Service:
    """A group of interchangeable endpoints.

    :param models: the models of an engine; empty for a plain service.
    :param memory: tokens that fit into the memory of an engine; 0 for a plain service.
    :param warm_up: warm-up of the endpoints; ``None`` if they take full load at once.
    :param health_path: path at which an endpoint tells whether it is healthy; empty if
        there is none.
    """

    __slots__ = ("name", "models", "memory", "warm_up", "health_path")

    def __init__(
        self,
        name: str,
        models: list[ModelCost],
        memory: int = 0,
        warm_up: WarmUp | None = None,
        health_path: bytes = b"",
    ) -> None:
        self.name = name
        self.health_path = health_path
        self.models = models
        self.memory = memory
        self.warm_up = warm_up

    def cost_of(self, model: str) -> float:
        """Return the price of a model; 0 if the service does not list it."""
        for known in self.models:
            if known.name == model:
                return known.cost
        return 0.0


class Workspace(typing.NamedTuple):
    """The customer that requests belong to.

    :param priority: 0 is the most urgent; ``None`` uses the priority of the route.
    :param regions: regions where its requests may run; empty for all.
    """

    name: str
    priority: int | None
    regions: frozenset[str] = frozenset()


class Route:
    """How requests of one host and path prefix are served.

    :param timeout_s: the longest time that a request may take.
    :param goal_s: an answer within this time has its full value.
    :param gap_s: the longest pause between events for a stream to count as in time.
    :param models: models to choose from, the smallest first; empty if the caller names
        the model.
    :param attempts: maximum number of endpoints that one request is sent to.
    :param public: whether requests are served without a key.
    :param resumable: whether a stream may be resumed at another endpoint.
    :param regions: regions where requests may run; empty for all.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "pools",
        "timeout_s",
        "goal_s",
        "gap_s",
        "priority",
        "models",
        "attempts",
        "public",
        "resumable",
        "regions",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        kind: RouteKind,
        pools: list[Pool],
        timeout_s: float,
        goal_s: float,
        gap_s: float,
        priority: int,
        models: list[str],
        attempts: int,
        public: bool,
        resumable: bool,
        regions: frozenset[str] = frozenset(),
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.pools = pools
        self.timeout_s = timeout_s
        self.goal_s = goal_s
        self.gap_s = gap_s
        self.priority = priority
        self.models = models
        self.attempts = attempts
        self.public = public
        self.resumable = resumable
        self.regions = regions

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


class CallerLimits(typing.NamedTuple):
    """Limits on the size of a caller's requests, and on its idle time."""

    body_bytes: int
    idle_s: float


class RouteTable:
    """One configuration.

    :param number: a higher number is newer.
    """

    __slots__ = ("number", "services", "limits", "requires_key", "_by_host", "_keys")

    def __init__(
        self,
        number: int,
        routes: list[Route],
        services: list[Service],
        keys: dict[str, Workspace] | None,
        limits: CallerLimits,
    ) -> None:
        self.number = number
        self.services = {service.name: service for service in services}
        self.limits = limits
        # Whether requests need a key, except on public routes.
        self.requires_key = keys is not None
        self._keys = keys or {}
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to."""
        return self._keys.get(key)
