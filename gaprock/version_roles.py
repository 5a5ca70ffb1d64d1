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


class VersionRoles:
    """The roles of all versions by service; thread-safe."""

    __slots__ = ("_lock", "_by_service")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # By service; the roles by version are replaced, never changed.
        self._by_service: dict[str, dict[str, VersionRole]] = {}

    def of(self, service: str) -> list[VersionRole]:
        """Return the roles of a service's versions, the oldest first."""
        return sorted(self._by_service.get(service, {}).values(), key=_by_age)

    def services(self) -> list[str]:
        """Return the services of which any role is known."""
        return list(self._by_service)

    def stable(self, service: str) -> str:
        """Return the stable version of a service; empty if it is not known."""
        found = _stable(self._by_service.get(service, {}))
        return found.version if found else ""

    def is_former_stable(self, service: str, version: str) -> bool:
        """Whether a version was stable before the present one, and not withdrawn."""
        known = self._by_service.get(service, {}).get(version)
        if known is None or known.role is not Role.STABLE:
            return False
        return version != self.stable(service)

    def was_stable(self, service: str, version: str, order: OrderVersion) -> bool:
        """Whether a version is the stable one, and was so before an order."""
        found = _stable(self._by_service.get(service, {}))
        return found is not None and found.version == version and found.since < order

    def withdrawn(self, service: str) -> tuple[str, ...]:
        """Return the withdrawn versions of a service, the earliest first."""
        return tuple(r.version for r in self.of(service) if r.role is Role.WITHDRAWN)

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
            known = self._by_service.get(service, {})
            if version in known and known[version].since >= since:
                return
            is_withdrawn = role is Role.WITHDRAWN and not is_replaced
            if is_withdrawn and version == self.stable(service):
                return
            roles = known | {version: VersionRole(version, role, since)}
            self._by_service[service] = _without_oldest(roles)
        if version not in known or known[version].role is not role:
            log = eventlog.info if role is Role.STABLE else eventlog.warning
            log(
                "version-role",
                service=service,
                version=version,
                role=role.value,
                was=known[version].role.value if version in known else "none",
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
        known = self._by_service.get(service, {}).get(version)
        if known is None or known.since[0] in (since[0], BEFORE_ORDERS[0]):
            self.record(service, version, role, since, reason)


def _by_age(role: VersionRole) -> OrderVersion:
    return role.since


def _stable(roles: typing.Mapping[str, VersionRole]) -> VersionRole | None:
    stable = [one for one in roles.values() if one.role is Role.STABLE]
    return max(stable, key=_by_age, default=None)


def _without_oldest(roles: dict[str, VersionRole]) -> dict[str, VersionRole]:
    """Return so many of the newest roles as are remembered, with the stable one."""
    stable = _stable(roles)
    newest = sorted(roles.values(), key=_by_age)[-MAX_VERSIONS:]
    if stable is not None and stable not in newest:
        newest[0] = stable
    return {one.version: one for one in newest}
