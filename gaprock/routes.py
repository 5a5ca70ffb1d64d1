"""Which requests go where: the routing configuration of a gateway.

A ``RouteTable`` is one accepted configuration, whole and never changed after it was
decoded.  ``match`` finds the route of a request, ``workspace_of`` the owner of a key.
"""

import enum
import typing


class RouteKind(enum.Enum):
    """What may be repeated."""

    # May run more than once.
    SAFE = "safe"
    # Runs at most once.
    UNSAFE = "unsafe"
    # A series of numbered events; repeatable only where the route says so.
    STREAM = "stream"


class Pool(typing.NamedTuple):
    """A service that a route sends to, with its weight among the route's pools."""

    service: str
    weight: int


class ModelCost(typing.NamedTuple):
    """A model of an engine.

    :param cost: price of 1,000 tokens made; tokens read count a quarter.
    """

    name: str
    cost: float


class WarmUp(typing.NamedTuple):
    """How a service's endpoints start.

    :param lasts_s: how long an endpoint is not warm after its start, seconds.
    :param per_s: requests a second that it bears meanwhile.
    """

    lasts_s: float
    per_s: float


class Service:
    """A group of endpoints that do the same.

    :param models: the models of an engine, empty for a plain service.
    :param memory: tokens that an engine has room for; 0 for a plain service.
    :param warm_up: how its endpoints start; ``None`` if they bear all at once.
    """

    __slots__ = ("name", "models", "memory", "warm_up")

    def __init__(
        self,
        name: str,
        models: list[ModelCost],
        memory: int = 0,
        warm_up: WarmUp | None = None,
    ) -> None:
        self.name = name
        self.models = models
        self.memory = memory
        self.warm_up = warm_up

    def cost_of(self, model: str) -> float:
        """Give the price of a model; 0 for one that the service does not list."""
        for known in self.models:
            if known.name == model:
                return known.cost
        return 0.0


class Workspace(typing.NamedTuple):
    """Whose requests they are.

    :param priority: 0 is the most urgent; ``None`` leaves it to the route.
    :param regions: where its requests may run; empty for everywhere.
    """

    name: str
    priority: int | None
    regions: frozenset[str] = frozenset()


class Route:
    """How requests of one host and path prefix are served.

    :param timeout_s: the longest a request is held, seconds.
    :param goal_s: an answer within this time has its full value, seconds.
    :param gap_s: the longest pause between events of a stream in time, seconds.
    :param models: models to choose from, the smallest first; empty where the
        caller names its model.
    :param attempts: endpoints that one request may be sent to.
    :param public: whether it is served without a key.
    :param resumable: whether a stream may go on at another endpoint.
    :param regions: where its requests may run; empty for everywhere.
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
        """Whether a request may run a second time."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


class CallerLimits(typing.NamedTuple):
    """What a caller may send, and how long it may rest."""

    body_bytes: int
    idle_s: float


class RouteTable:
    """One configuration.

    :param number: its number; a higher one is newer.
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
        # Whether requests need a key at all.
        self.requires_key = keys is not None
        self._keys = keys or {}
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> Workspace | None:
        """Find the workspace that a key belongs to."""
        return self._keys.get(key)
