"""Orders of rollouts and their outcomes, as rows and peers report them.

Rows of orders and outcomes may be read in any sequence, be written again under another
version after a restore of the store, and come later than what peers report on them.
"""

import threading
import typing

from gaprock import (
    clock,
    eventlog,
    gateway_api,
    mesh_messages,
    rollout_state,
    version_fallback,
    version_roles,
)

# What a version counts as after an outcome of its order, and why, for the log.
OUTCOME_ROLES: typing.Final = {
    rollout_state.State.COMPLETED: (version_roles.Role.STABLE, "completed"),
    rollout_state.State.ROLLED_BACK: (version_roles.Role.WITHDRAWN, "rolled back"),
}
REPLACED: typing.Final = version_roles.Role.WITHDRAWN, "replaced before its outcome"
# Number of replaced orders that are remembered for each service.
MAX_REPLACED: typing.Final = 8
# Corrections of a start by less than this are not logged: heartbeats take as long.
MIN_LOGGED_CORRECTION_S: typing.Final = 0.05


class _EarlyReport:
    """Reports by peers on an order that has not been read here yet.

    :param order_version: the epoch and version of the order's row.
    """

    __slots__ = ("order_version", "started_at", "halt_reason")

    def __init__(self, order_version: tuple[int, int]) -> None:
        self.order_version = order_version
        self.started_at = clock.NEVER
        # Empty unless a peer reported a halt.
        self.halt_reason = ""


class OrderBook:
    """The rollouts by service, from their orders to their outcomes; thread-safe.

    :param idle_s: the longest pause between requests of one session.
    :param versions_of: returns the versions that a service's endpoints run; ``None`` if
        that cannot be known.
    """

    def __init__(
        self,
        clock_: clock.Clock,
        idle_s: float,
        versions_of: typing.Callable[[str], set[str]] | None = None,
    ) -> None:
        self._clock = clock_
        self._idle_s = idle_s
        self._created_at = clock_.now()
        self._lock = threading.Lock()
        self._by_service: dict[str, rollout_state.Rollout] = {}
        # The latest outcomes read, by service; they may be read before their orders.
        self._outcomes: dict[str, rollout_state.Outcome] = {}
        # A gateway without access to the store learns of an order from heartbeats
        # before it has a copy of it.  Without these reports, it would send moved
        # sessions back, and requests to a halted version, until the next heartbeat.
        self._early_reports: dict[str, _EarlyReport] = {}
        self._versions_of = versions_of
        self.roles = version_roles.VersionRoles()
        self.fallback = version_fallback.Fallback(clock_, self.roles)
        # The latest replaced orders with their versions, by service.
        self._replaced: dict[str, list[tuple[int, gateway_api.RolloutOrder]]] = {}

    def _on_ordered(self, rollout: rollout_state.Rollout) -> None:
        """Called with the lock held when an order is added."""

    def _on_renamed(self, label: str, new_label: str) -> None:
        """Called when a rollout has got another label."""

    def add_order(
        self,
        order: gateway_api.RolloutOrder,
        revision: int,
        started_at: float,
        epoch: int = 0,
        is_new: bool = True,
    ) -> rollout_state.Rollout:
        """Add an operator's order; adding it again changes nothing.

        After a restore of the store, an order is read again, or is written again with
        another version; both refer to the rollout that exists already.

        :param revision: the store's version of the order's row.
        :param started_at: time of the order, by the clock of this process.
        :param epoch: the store's epoch in which the revision is valid.
        :param is_new: whether it was not there when the rows were read before, so that
            no process can have sent anything to the new version before it was read.
        """
        with self._lock:
            old = self._by_service.get(order.service)
            if old is not None and old.order_version >= (epoch, revision):
                return old
            if old is not None and epoch > old.epoch:
                if (revision, order) in self._replaced.get(order.service, ()):
                    return old
                if order == old.order:
                    self._rename(old, epoch, revision)
                    return old
            rollout = rollout_state.Rollout(
                order,
                revision,
                started_at,
                self._idle_s,
                epoch,
                is_new,
                self._created_at,
            )
            if old is not None:
                replaced = self._replaced.setdefault(order.service, [])
                replaced.append((old.revision, old.order))
                del replaced[:-MAX_REPLACED]
                self._record_replaced(old)
            elif is_new:
                versions = self._versions(order.service)
                self._infer_stable(order.service, order.to_version, versions)
            self._on_ordered(rollout)
            self._by_service[order.service] = rollout
            outcome = self._outcomes.get(order.service)
            report = self._early_reports.get(order.service)
        eventlog.info(
            "rollout-ordered",
            service=order.service,
            version=order.to_version,
            revision=revision,
            epoch=epoch,
            finish_s=order.finish_s,
            age_s=self._clock.now() - started_at,
            is_new=is_new,
        )
        if report is not None:
            self._apply_report(rollout, report)
        if outcome is not None:
            self._apply_outcome(rollout, outcome)
        return rollout

    def _record_replaced(self, rollout: rollout_state.Rollout) -> None:
        """Record what a rollout that is replaced showed of its version."""
        state = rollout.state
        if rollout.halted and state is rollout_state.State.RUNNING:
            state = rollout_state.State.ROLLED_BACK
        self._record_role(rollout, *OUTCOME_ROLES.get(state, REPLACED))

    def _record_role(
        self, rollout: rollout_state.Rollout, role: version_roles.Role, reason: str
    ) -> None:
        order = rollout.order
        self.roles.record(
            order.service, order.to_version, role, rollout.order_version, reason
        )

    def observe_versions(self, service: str) -> None:
        """Record the versions that a service's endpoints run."""
        versions = self._versions(service)
        with self._lock:
            rollout = self._by_service.get(service)
            ordered = rollout.order.to_version if rollout else ""
            self._infer_stable(service, ordered, versions)
        self.fallback.observe(service, ordered, versions)

    def _infer_stable(self, service: str, ordered: str, versions: set[str]) -> None:
        """Take the only version for stable that is neither ordered nor withdrawn."""
        if self.roles.stable(service):
            return
        others = versions.difference(self.roles.withdrawn(service), {ordered})
        if len(others) == 1:
            self.roles.record(
                service,
                others.pop(),
                version_roles.Role.STABLE,
                version_roles.BEFORE_ORDERS,
                "the only other version",
            )

    def _versions(self, service: str) -> set[str]:
        return set() if self._versions_of is None else self._versions_of(service)

    def _has_endpoint(self, rollout: rollout_state.Rollout) -> bool:
        """Whether the ordered version has an endpoint, as far as that can be known."""
        order = rollout.order
        if self._versions_of is None:
            return True
        return order.to_version in self._versions_of(order.service)

    def is_return(self, rollout: rollout_state.Rollout) -> bool:
        """Whether a rollout orders the version that was stable before it."""
        order = rollout.order
        return self.roles.was_stable(
            order.service, order.to_version, rollout.order_version
        )

    def _rename(
        self, rollout: rollout_state.Rollout, epoch: int, revision: int
    ) -> None:
        """Rename a rollout after its order's row in the restored store."""
        service, old, label = (
            rollout.order.service,
            rollout.order_version,
            rollout.label,
        )
        rollout.rename(epoch, revision)
        if rollout.label != label:
            self._on_renamed(label, rollout.label)
        eventlog.info(
            "rollout-renamed",
            service=service,
            version=rollout.order.to_version,
            revision=revision,
            epoch=epoch,
            old_revision=old[1],
            old_epoch=old[0],
        )
        if service in self._early_reports:
            self._apply_report(rollout, self._early_reports[service])
        if service in self._outcomes:
            self._apply_outcome(rollout, self._outcomes[service])

    def _apply_report(
        self, rollout: rollout_state.Rollout, report: _EarlyReport
    ) -> None:
        """Apply what peers reported on an order before it was read."""
        if not rollout.has_order_version(*report.order_version):
            return
        epoch, revision = report.order_version
        service = rollout.order.service
        self.backdate(service, revision, report.started_at, "reported before", epoch)
        if report.halt_reason:
            self.halt(service, revision, report.halt_reason, epoch)

    def apply_outcome(self, service: str, outcome: rollout_state.Outcome) -> None:
        """Apply the outcome row of a service."""
        with self._lock:
            self._outcomes[service] = outcome
            rollout = self._by_service.get(service)
        if rollout is not None:
            self._apply_outcome(rollout, outcome)

    def forget_outcome(self, service: str) -> None:
        """Record that a restored store has lost the outcome of a rollout."""
        with self._lock:
            self._outcomes.pop(service, None)
            rollout = self._by_service.get(service)
        if rollout is not None and rollout.written is not None:
            rollout.written = None
            eventlog.info("rollout-outcome-lost", service=service)

    def halt(self, service: str, revision: int, reason: str, epoch: int = 0) -> None:
        """Halt the new version; halting it again changes nothing."""
        rollout = self._by_service.get(service)
        if rollout is None or not rollout.has_order_version(epoch, revision):
            self._record_report(service, (epoch, revision), halt_reason=reason)
            return
        if rollout.halted:
            return
        if rollout.state is rollout_state.State.COMPLETED or self.is_return(rollout):
            return
        rollout.halted = True
        eventlog.warning(
            "rollout-halted",
            service=service,
            version=rollout.order.to_version,
            revision=revision,
            reason=reason,
        )

    def record_stored_withdrawn(
        self, service: str, versions: typing.Iterable[str]
    ) -> None:
        """Record the versions that a gateway without support for roles stored."""
        for version in versions:
            self.roles.record(
                service,
                version,
                version_roles.Role.WITHDRAWN,
                version_roles.BEFORE_ORDERS,
                "store",
            )

    def record_stored_roles(
        self, service: str, roles: typing.Iterable[version_roles.VersionRole]
    ) -> None:
        """Record the roles of a service's versions that the store has."""
        for one in roles:
            self.roles.record(service, one.version, one.role, one.since, "store")

    def record_stored_start(
        self, service: str, revision: int, start: rollout_state.StoredStart
    ) -> None:
        """Record what the store has of a rollout under way."""
        self.backdate(service, revision, start.started_at, "store")
        rollout = self._by_service.get(service)
        if rollout is not None and rollout.revision == revision:
            rollout.record_stored_start(start)

    def backdate(
        self, service: str, revision: int, started_at: float, by: str, epoch: int = 0
    ) -> None:
        """Correct the start of a rollout that another process saw earlier.

        :param by: source of the start time, for the log.
        """
        rollout = self._by_service.get(service)
        if rollout is None or not rollout.has_order_version(epoch, revision):
            self._record_report(service, (epoch, revision), started_at)
            return
        if rollout.started_at <= started_at:
            return
        earlier_s = rollout.started_at - started_at
        rollout.started_at = started_at
        if earlier_s > MIN_LOGGED_CORRECTION_S:
            eventlog.info(
                "rollout-dated",
                service=service,
                revision=revision,
                age_s=self._clock.now() - started_at,
                earlier_s=earlier_s,
                by=by,
            )

    def merge_reported(
        self, news: mesh_messages.RolloutUpdate, now: float, by: str
    ) -> None:
        """Merge what a peer reports on a rollout.

        :param now: time of the report.
        :param by: name of the peer, for the log.
        """
        epoch, revision = news.epoch, news.revision
        self.backdate(news.service, revision, now - news.age_s, by, epoch)
        if news.halted:
            self.halt(news.service, revision, f"reported by {by}", epoch)
        rollout = self._by_service.get(news.service)
        if rollout is not None and rollout.has_order_version(epoch, revision):
            rollout.pinned.merge_reported(news.pinned, now)
            rollout.growth.record_peer(news.share)

    def role(self, service: str, version: str) -> str:
        """Return what a version of a service counts as."""
        rollout = self._by_service.get(service)
        if version == self.roles.stable(service):
            return "stable"
        if rollout is not None and version == rollout.order.to_version:
            return "ordered"
        return "withdrawn" if version in self.roles.withdrawn(service) else "other"

    def _record_report(
        self,
        service: str,
        order_version: tuple[int, int],
        started_at: float = clock.NEVER,
        halt_reason: str = "",
    ) -> None:
        """Record a report on an order not read yet, for the newest such order only."""
        with self._lock:
            rollout = self._by_service.get(service)
            if rollout is not None and rollout.order_version >= order_version:
                return
            report = self._early_reports.get(service)
            if report is None or report.order_version < order_version:
                report = self._early_reports[service] = _EarlyReport(order_version)
            if report.order_version == order_version:
                report.started_at = min(report.started_at, started_at)
                report.halt_reason = report.halt_reason or halt_reason

    def all(self) -> list[rollout_state.Rollout]:
        """Return all rollouts."""
        with self._lock:
            return list(self._by_service.values())

    def _apply_outcome(
        self, rollout: rollout_state.Rollout, outcome: rollout_state.Outcome
    ) -> None:
        if outcome.version != rollout.order.to_version:
            self._apply_earlier_outcome(rollout.order.service, outcome)
            return
        if (outcome.epoch, outcome.row_version) < rollout.order_version:
            # The outcome belongs to an earlier order for the same version.
            return
        if outcome.epoch > rollout.epoch:
            # It can be compared only once the order has been read in the same epoch.
            return
        rollout.written = outcome.state
        if outcome.state is rollout_state.State.RUNNING:
            # A final state stays, even if the restored store has lost it.
            return
        if outcome.state is not rollout.state:
            rollout.state = outcome.state
            eventlog.info(
                "rollout-state",
                service=rollout.order.service,
                version=outcome.version,
                state=outcome.state.value,
            )
        self._record_role(rollout, *OUTCOME_ROLES[outcome.state])

    def _apply_earlier_outcome(
        self, service: str, outcome: rollout_state.Outcome
    ) -> None:
        """Apply the outcome of an order that is not the present one."""
        since = (outcome.epoch, outcome.row_version)
        if outcome.state is rollout_state.State.RUNNING:
            # Replaced before its outcome, or its order has not been read yet.
            role, reason = version_roles.Role.WITHDRAWN, "not ordered any more"
            since = version_roles.BEFORE_ORDERS
        else:
            role, reason = OUTCOME_ROLES[outcome.state]
        self.roles.record_outcome(service, outcome.version, role, since, reason)
