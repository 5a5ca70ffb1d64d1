"""What each version of a service counts as, whatever is ordered now.

* The *stable* version is the one that was completed last, or that ran before any order.
  It gets what the ordered version does not get.
* A *withdrawn* version was rolled back, or its order was replaced before its outcome.
  It gets no requests until it is ordered again.

An order for the stable version is a *return*: it needs no canary.  A version that was
stable before the present one does: its name may stand for another one by now.  If the
present one turns out to fail more, it is withdrawn, and the one before is stable again.

Each role carries the order that gave it, by the store's epoch and row version, and the
newest one is valid.  So roles may be merged in any sequence: from this gateway's own
orders and outcomes, from rows of a store that was restored, and from the rows that
gateways store for processes that start later (``rollout_writer``).
"""

import enum
import threading
import typing

from gaprock import eventlog

# Maximum number of versions of a service that are remembered; those whose roles are
# oldest are forgotten first, but not the stable one.
MAX_VERSIONS: typing.Final = 16
# The epoch and row version of an order; the greater one is newer.
OrderVersion = tuple[int, int]
# Stands for the time before any order.
BEFORE_ORDERS: typing.Final[OrderVersion] = (-1, 0)


class Role(enum.Enum):
    """What a version counts as; the values are those in stored rows."""

    STABLE = "stable"
    WITHDRAWN = "withdrawn"


class VersionRole(typing.NamedTuple):
    """The role of a version, and the order that gave it."""

    version: str
    role: Role
    since: OrderVersion


def _by_age(role: VersionRole) -> OrderVersion:
    return role.since


class ServiceRoles:
    """The roles of one service's versions; not changed once it is made.

    :param roles: in any sequence; only so many of the newest are kept.
    """

    __slots__ = ("by_version", "stable_since", "stable", "withdrawn")

    def __init__(self, roles: typing.Iterable[VersionRole] = ()) -> None:
        known = sorted(roles, key=_by_age)
        newest = known[-MAX_VERSIONS:]
        stable = [one for one in known if one.role is Role.STABLE][-1:]
        if stable and stable[0] not in newest:
            newest[0] = stable[0]
        # The oldest one first.
        self.by_version = {one.version: one for one in newest}
        # The stable version, empty if it is not known, and the order that made it so.
        self.stable = stable[0].version if stable else ""
        self.stable_since = stable[0].since if stable else BEFORE_ORDERS
        # The earliest one first.
        self.withdrawn = tuple(
            one.version for one in newest if one.role is Role.WITHDRAWN
        )


NO_ROLES: typing.Final = ServiceRoles()


class VersionRoles:
    """The roles of all versions by service; thread-safe."""

    __slots__ = ("_lock", "_by_service")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_service: dict[str, ServiceRoles] = {}

    def of(self, service: str) -> ServiceRoles:
        """Return the roles of a service's versions."""
        return self._by_service.get(service, NO_ROLES)

    def services(self) -> list[str]:
        """Return the services of which any role is known."""
        return list(self._by_service)

    def stable(self, service: str) -> str:
        """Return the stable version of a service; empty if it is not known."""
        return self.of(service).stable

    def withdrawn(self, service: str) -> tuple[str, ...]:
        """Return the withdrawn versions of a service, the earliest first."""
        return self.of(service).withdrawn

    def is_former_stable(self, service: str, version: str) -> bool:
        """Whether a version was stable before the present one, and not withdrawn."""
        roles = self.of(service)
        known = roles.by_version.get(version)
        is_stable = known is not None and known.role is Role.STABLE
        return is_stable and version != roles.stable

    def was_stable(self, service: str, version: str, order: OrderVersion) -> bool:
        """Whether a version is the stable one, and was so before an order."""
        roles = self.of(service)
        return version == roles.stable and roles.stable_since < order

    def record(
        self,
        service: str,
        version: str,
        role: Role,
        since: OrderVersion,
        reason: str,
        is_replaced: bool = False,
    ) -> None:
        """Record the role of a version, unless a newer one is known.

        The stable version stays stable, unless the one before is to replace it.

        :param reason: for the log.
        :param is_replaced: whether a version that was stable before replaces it.
        """
        with self._lock:
            roles = self.of(service)
            known = roles.by_version.get(version)
            if known is not None and known.since >= since:
                return
            is_withdrawn = role is Role.WITHDRAWN and not is_replaced
            if is_withdrawn and version == roles.stable:
                return
            changed = {version: VersionRole(version, role, since)}
            merged = roles.by_version | changed
            self._by_service[service] = ServiceRoles(merged.values())
        if known is None or known.role is not role:
            log = eventlog.info if role is Role.STABLE else eventlog.warning
            log(
                "version-role",
                service=service,
                version=version,
                role=role.value,
                was="none" if known is None else known.role.value,
                epoch=since[0],
                revision=since[1],
                reason=reason,
            )

    def record_outcome(
        self, service: str, version: str, role: Role, since: OrderVersion, reason: str
    ) -> None:
        """Record a role by an outcome whose order is not known here.

        Row versions of different epochs cannot be compared, and a restored store has
        outcomes from before, so what is known already is newer.

        :param since: the epoch and version of the outcome's row.
        """
        known = self.of(service).by_version.get(version)
        if known is None or known.since[0] in (since[0], BEFORE_ORDERS[0]):
            self.record(service, version, role, since, reason)
