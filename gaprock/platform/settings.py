"""Reads the settings file that the platform writes, into ``Options``.

Unknown fields are ignored; the error names a missing or invalid one.
"""

import tomllib
import typing

import msgspec

from gaprock import digits, errorcodes, errors, options

# The contract of sites where callers and endpoints may read slowly.
SLOW_READERS: typing.Final = "pressure"


class ListenDoc(msgspec.Struct, frozen=True):
    Front: str = ""
    Ready: str = ""


class LimitsDoc(msgspec.Struct, frozen=True):
    MemoryMb: float = 256
    MaxFds: int = 1024
    # A share of a core that runs ``Cores`` times as fast; 0 if unknown.
    CpuShare: float = 0.0
    Cores: float = 1
    LinkMbps: float = 0.0


class BoundsDoc(msgspec.Struct, frozen=True):
    """What the site promises; times are in ms, or in seconds if the name ends in S."""

    ConfigMs: float = 2000
    DrainMs: float = 2000
    RollbackMs: float = 5000
    GraceS: float = 8
    BudgetRatio: float = 0.5
    BudgetWindowS: float = 10
    # Repeated sends that are allowed in a window on top of the ratio.
    RetrySlack: float = 10
    CanaryShare: float = 0.1
    # Requests that a canary may get on top of its share.
    CanarySlack: float = 10
    # Within a second, all gateways together may send a cold endpoint ``ColdExcess``
    # times the requests that it can take in a second, plus ``ColdSlack``.
    ColdExcess: float = 1.5
    ColdSlack: float = 5
    EvacMs: float = 5000
    SessionS: float = 5


class ProviderDoc(msgspec.Struct, frozen=True):
    """The platform's store."""

    Addr: str


class SettingsDoc(msgspec.Struct, frozen=True):
    Node: str
    Ip: str
    Zone: str
    Listen: ListenDoc
    Provider: ProviderDoc
    # Whether this is the first start of the whole system.
    Bootstrap: bool = False
    # First and last port for the traffic between our processes.
    PortRange: list[int] = []
    # The region of each hall.
    Zones: dict[str, str] = {}
    # Names of the rules in force.
    Contracts: list[str] = []
    Limits: LimitsDoc = LimitsDoc()
    TimingBounds: BoundsDoc = BoundsDoc()


def load(path: str, cfg: options.Options) -> None:
    """Fill the options from a settings file.

    :raises errors.GaprockError: ``SETTINGS``, naming the file and the field.
    """
    try:
        with open(path, "rb") as file:
            doc = msgspec.convert(tomllib.load(file), SettingsDoc)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise errors.GaprockError(errorcodes.SETTINGS, f"{path}: {exc}") from exc
    for name in ("Front", "Ready"):
        _check_address(path, f"Listen.{name}", getattr(doc.Listen, name))
    _check_address(path, "Provider.Addr", doc.Provider.Addr)
    cfg.vm, cfg.hall, cfg.host = doc.Node, doc.Zone, doc.Ip
    cfg.listen, cfg.ready_listen = doc.Listen.Front, doc.Listen.Ready
    cfg.store_address = doc.Provider.Addr
    cfg.first_start = doc.Bootstrap
    cfg.mesh_port = doc.PortRange[0] if doc.PortRange else 0
    cfg.memory_mb, cfg.max_fds = int(doc.Limits.MemoryMb), doc.Limits.MaxFds
    cfg.cpu_cores = doc.Limits.CpuShare * doc.Limits.Cores
    cfg.link_mbps = doc.Limits.LinkMbps
    cfg.bounds_held_bytes = SLOW_READERS in doc.Contracts
    cfg.regions = dict(doc.Zones)
    _fill_bounds(cfg.bounds, doc.TimingBounds)


def _fill_bounds(bounds: options.SiteBounds, doc: BoundsDoc) -> None:
    bounds.config_s = doc.ConfigMs / 1000
    bounds.drain_s = doc.DrainMs / 1000
    bounds.rollback_s = doc.RollbackMs / 1000
    bounds.grace_s = doc.GraceS
    bounds.budget_ratio = doc.BudgetRatio
    bounds.budget_window_s = doc.BudgetWindowS
    bounds.budget_allowance = doc.RetrySlack
    bounds.canary_share = doc.CanaryShare
    bounds.canary_slack = doc.CanarySlack
    bounds.warm_excess = doc.ColdExcess
    bounds.warm_slack = doc.ColdSlack
    bounds.cordon_s = doc.EvacMs / 1000
    bounds.session_s = doc.SessionS


def _check_address(path: str, field: str, text: str) -> None:
    host, _, port = text.rpartition(":")
    if not host or digits.parse(port) is None:
        detail = f"{path}: {field} takes IP:PORT, not {text!r}"
        raise errors.GaprockError(errorcodes.SETTINGS, detail)
