"""Plug-ins: the base class and the registry that finds them by kind and name.

A plug-in module registers its classes while it is imported::

    @plugin.register(RoutingPolicy, "two-choices")
    class TwoChoices(RoutingPolicy): ...

``load_all`` imports the modules that come with gaprock.  A hook that does not
apply returns ``None``, which means "not mine": the caller goes on to its default.
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
# What a gateway needs of them; it starts on small machines.
GATEWAY_MODULES: typing.Final = (
    "gaprock.policy_guard",
    "gaprock.policy_models",
    "gaprock.policy_routing",
    "gaprock.platform.store",
    "gaprock.platform.wire",
)


class Plugin:
    """The base of every plug-in; a kind is a direct subclass of it."""

    __slots__ = ()


P = typing.TypeVar("P", bound=Plugin)

_classes: dict[tuple[type[Plugin], str], type[Plugin]] = {}


def register(kind: type[Plugin], name: str) -> typing.Callable[[type[P]], type[P]]:
    """Make a decorator that registers a class as the plug-in ``name`` of ``kind``."""

    def add(cls: type[P]) -> type[P]:
        _classes[(kind, name)] = cls
        return cls

    return add


def find(kind: type[P], name: str) -> type[P]:
    """Find a registered class.

    :raises KeyError: when no plug-in of this kind has the name.
    """
    return typing.cast("type[P]", _classes[(kind, name)])


def names(kind: type[Plugin]) -> list[str]:
    """List the registered names of a kind."""
    return sorted(name for owner, name in _classes if owner is kind)


def load_all(modules: tuple[str, ...] = BUILTIN_MODULES) -> None:
    """Import plug-in modules, the built-in ones unless told otherwise."""
    for module in modules:
        importlib.import_module(module)
