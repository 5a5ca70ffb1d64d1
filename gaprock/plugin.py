"""Base class of plug-ins, and their registry by kind and name.

A plug-in module registers its classes when it is imported::

    @plugin.register(RoutingPolicy, "two-choices")
    class TwoChoices(RoutingPolicy): ...

``load_all`` imports the modules that come with gaprock.  A hook that does not
apply returns ``None``, and the caller falls back to its default.
"""

import importlib
import typing

# Modules whose import registers plug-ins.
BUILTIN_MODULES: typing.Final = (
    "gaprock.policy_admission",
    "gaprock.policy_cascade",
    "gaprock.policy_guard",
    "gaprock.policy_models",
    "gaprock.policy_placement",
    "gaprock.policy_routing",
    "gaprock.services_http",
)
# Modules that a gateway needs; it imports no others, as it may run on small VMs.
GATEWAY_MODULES: typing.Final = (
    "gaprock.policy_guard",
    "gaprock.policy_models",
    "gaprock.policy_routing",
    "gaprock.platform.store",
    "gaprock.platform.wire",
)


class Plugin:
    """Base class of all plug-ins; each direct subclass is a kind."""

    __slots__ = ()


P = typing.TypeVar("P", bound=Plugin)

_classes: dict[tuple[type[Plugin], str], type[Plugin]] = {}


def register(kind: type[Plugin], name: str) -> typing.Callable[[type[P]], type[P]]:
    """Return a decorator that registers a class as the plug-in ``name`` of ``kind``."""

    def add(cls: type[P]) -> type[P]:
        _classes[(kind, name)] = cls
        return cls

    return add


def find(kind: type[P], name: str) -> type[P]:
    """Return a registered class.

    :raises KeyError: if no plug-in of this kind has the name.
    """
    return typing.cast("type[P]", _classes[(kind, name)])


def names(kind: type[Plugin]) -> list[str]:
    """Return the registered names of a kind, sorted."""
    return sorted(name for owner, name in _classes if owner is kind)


def load_all(modules: tuple[str, ...] = BUILTIN_MODULES) -> None:
    """Import plug-in modules; by default the built-in ones."""
    for module in modules:
        importlib.import_module(module)
