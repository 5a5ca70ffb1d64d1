"""Writes the outcomes of rollouts to the shared store.

Any gateway may write.  A write succeeds only if the outcome row is unchanged since it
was read, so concurrent writes do no harm.  To save calls, live gateways are ranked by a
hash (``mesh.Mesh.duty_rank``): the first one writes at once, each further one a little
later.
"""

import typing

import msgspec

from gaprock import (
    clock,
    eventlog,
    freshness,
    gateway_api,
    mesh,
    rollout_growth,
    rollout_orders,
    rollout_state,
    rollouts,
    store_epochs,
    version_roles,
)

# Additional delay per rank before a gateway writes.
RANK_DELAY_S: typing.Final = 0.3
# Pause after each write, so that its row can be read, or the write repeated if its
# result is not known.
WRITE_PAUSE_S: typing.Final = 0.5
START_PREFIX: typing.Final = "rollout/"
ROLES_PREFIX: typing.Final = "versions/"


class StartRow(msgspec.Struct):
    """Start of a rollout by the store's clock, for gateways that start later."""

    revision: typing.Annotated[int, msgspec.Meta(ge=0)]
    started: typing.Annotated[float, msgspec.Meta(ge=0)]
    # Whether a gateway may have given the new version all requests.
    moved: bool = False
    # The versions of the service that are withdrawn, for gateways of the release that
    # stores no roles.
    withdrawn: list[str] = []


class RoleRow(msgspec.Struct):
    """The role of one version, and the order that gave it."""

    version: str
    role: version_roles.Role
    epoch: int
    revision: int


class RolesRow(msgspec.Struct):
    """The roles of a service's versions, for gateways that start later."""

    roles: typing.Annotated[
        list[RoleRow], msgspec.Meta(max_length=version_roles.MAX_VERSIONS)
    ]


class RolloutWriter:
    """Writes the outcomes that are due; for use by one thread."""

    def __init__(
        self,
        clock_: clock.Clock,
        store_clock: freshness.StoreClock,
        store: gateway_api.SharedStore,
        dialect: gateway_api.Dialect,
        rollouts_: rollouts.Rollouts,
        mesh_: mesh.Mesh,
        epochs: store_epochs.EpochTracker | None = None,
    ) -> None:
        self._clock = clock_
        self._store_clock = store_clock
        self._store = store
        self._dialect = dialect
        self._rollouts = rollouts_
        self._mesh = mesh_
        self._epochs = epochs or store_epochs.EpochTracker(clock_)
        # Versions of the outcome rows, by service, and the store's epoch of them all.
        self.row_versions: dict[str, int] = {}
        self.epoch = 0
        # Time at which a state was first due, by the rollout's label and the state.
        self._due: dict[tuple[str, rollout_state.State], float] = {}
        # Time at which all requests were first due to move, by the rollout's label.
        self._move_due: dict[str, float] = {}
        # Why a rollout was not completed when last judged, by its label.
        self._reasons: dict[str, str] = {}
        self._paused_until = 0.0
        # Whether the stored roles were read, so that none is lost by a write.
        self.knows_stored_roles = False
        # The store's epoch in which the roles were written; negative at first.
        self._roles_epoch = -1

    def step(self) -> None:
        """Write each outcome that is due, once it is this gateway's turn."""
        now = self._clock.now()
        if now >= self._paused_until:
            self._rewrite_roles(now)
        for rollout in self._rollouts.all():
            self._move_if_due(rollout, now)
            state = self._due_state(rollout, now)
            if state is None or state is rollout.written:
                continue
            if self._epochs.newest > self.epoch or rollout.epoch != self.epoch:
                # The store may reuse row versions in another epoch, so that a
                # condition would hold for a different row.
                continue
            due_at = self._due.setdefault((rollout.label, state), now)
            turn_at = due_at + RANK_DELAY_S * self._mesh.duty_rank(rollout.label)
            if now >= turn_at and now >= self._paused_until:
                self._write(rollout, state)

    def _move_if_due(self, rollout: rollout_state.Rollout, now: float) -> None:
        """Record in the store that all requests move, and let them move."""
        if not rollout.growth.is_due or self._rollouts.share(rollout) >= 1.0:
            return
        if rollout.halted or rollout.written is not rollout_state.State.RUNNING:
            return
        due_at = self._move_due.setdefault(rollout.label, now)
        turn_at = due_at + RANK_DELAY_S * self._mesh.duty_rank(rollout.label)
        # If little time is left, none waits for another.
        turn_at = min(turn_at, rollout.ends_at - rollout_growth.MIN_FULL_S)
        if now < turn_at or now < self._paused_until:
            return
        start = self._start_write(rollout, moved=True)
        try:
            self._store.commit([start])
        except gateway_api.StoreError as exc:
            pause_s = max(WRITE_PAUSE_S, exc.retry_after_s)
            self._paused_until = now + pause_s
            eventlog.warning("rollout-move", service=rollout.order.service, error=exc)
            return
        rollout.growth.move(self._clock.now())
        eventlog.info(
            "rollout-move",
            service=rollout.order.service,
            version=rollout.order.to_version,
            left_s=rollout.ends_at - self._clock.now(),
        )

    def _start_write(
        self, rollout: rollout_state.Rollout, moved: bool
    ) -> gateway_api.Write:
        """Return the write of a rollout's start."""
        started = self._store_clock.latest_store_time(rollout.started_at)
        service = rollout.order.service
        withdrawn = list(self._rollouts.roles.withdrawn(service))
        row = StartRow(rollout.revision, started, moved, withdrawn)
        own = self._dialect.tables.own
        return gateway_api.Write(own, START_PREFIX + service, msgspec.json.encode(row))

    def _role_after(
        self, rollout: rollout_state.Rollout, state: rollout_state.State
    ) -> version_roles.VersionRole | None:
        """Return the role that a rollout's version has once a state is written."""
        if state is rollout_state.State.RUNNING:
            return None
        role, _ = rollout_orders.OUTCOME_ROLES[state]
        if role is version_roles.Role.WITHDRAWN and self._rollouts.is_return(rollout):
            return None
        version = rollout.order.to_version
        return version_roles.VersionRole(version, role, rollout.order_version)

    def _rewrite_roles(self, now: float) -> None:
        """Write the roles again once the store was restored, which may lack them."""
        newest = self._epochs.newest
        if newest <= self._roles_epoch or not self.knows_stored_roles:
            return
        is_restored, self._roles_epoch = self._roles_epoch >= 0, newest
        services = self._rollouts.roles.services() if is_restored else []
        own = [one for one in services if not self._mesh.duty_rank(one)]
        if not own:
            return
        eventlog.info("rows-written-again", rows="versions", epoch=newest)
        try:
            self._store.commit([self._roles_write(one) for one in own])
        except gateway_api.StoreError as exc:
            self._roles_epoch = newest - 1
            self._paused_until = now + max(WRITE_PAUSE_S, exc.retry_after_s)
            eventlog.warning("versions-write", error=exc)

    def _roles_write(
        self, service: str, newer: version_roles.VersionRole | None = None
    ) -> gateway_api.Write:
        """Return the write of the roles of a service's versions.

        :param newer: a role that is valid once it is written.
        """
        roles = dict(self._rollouts.roles.of(service).by_version)
        if newer is not None:
            roles[newer.version] = newer
        rows = [RoleRow(r.version, r.role, *r.since) for r in roles.values()]
        value = msgspec.json.encode(RolesRow(rows[-version_roles.MAX_VERSIONS :]))
        own = self._dialect.tables.own
        return gateway_api.Write(own, ROLES_PREFIX + service, value)

    def _due_state(
        self, rollout: rollout_state.Rollout, now: float
    ) -> rollout_state.State | None:
        """Return the state to write; ``None`` if there is none."""
        if rollout.written in (
            rollout_state.State.COMPLETED,
            rollout_state.State.ROLLED_BACK,
        ):
            return None
        if rollout.state is not rollout_state.State.RUNNING:
            return rollout.state
        is_return = self._rollouts.is_return(rollout)
        if is_return or not rollout.halted:
            reason = self._rollouts.reason_against(rollout)
            if not reason and self._is_settled(rollout, now):
                return rollout_state.State.COMPLETED
            self._log_reason(rollout, reason)
            is_last = now >= rollout.ends_at - rollout_growth.LAST_WRITE_S
            is_running = rollout.written is rollout_state.State.RUNNING
            if reason and is_last and is_running:
                self._rollouts.halt(
                    rollout.order.service,
                    rollout.revision,
                    f"not completed in time: {reason}",
                    rollout.epoch,
                )
        if rollout.halted and not is_return:
            return rollout_state.State.ROLLED_BACK
        if rollout.written is None and self._store_clock.is_known:
            return rollout_state.State.RUNNING
        # The start time is written along with this state.  By a clock other than the
        # store's, it would make the rollout too old by the difference of the clocks for
        # every gateway that starts later.
        return None

    def _is_settled(self, rollout: rollout_state.Rollout, now: float) -> bool:
        """Whether all requests have gone to the new version for long enough.

        Close to the end of the rollout's time, requests on the old version are ignored.
        """
        settled_s = now - rollout.growth.moved_at
        if now >= rollout.ends_at - rollout_state.WRITE_BEFORE_S:
            return settled_s >= rollout_growth.MIN_SETTLE_S
        if settled_s < rollout_state.SETTLE_S:
            return False
        return not self._mesh.count_on_old_version(rollout.order.service)

    def _log_reason(self, rollout: rollout_state.Rollout, reason: str) -> None:
        """Log why a rollout is not completed near its end, once for each reason."""
        if self._clock.now() < rollout.ends_at - rollout_state.WRITE_BEFORE_S:
            return
        if self._reasons.get(rollout.label) != reason:
            self._reasons[rollout.label] = reason
            eventlog.info(
                "rollout-waits",
                service=rollout.order.service,
                version=rollout.order.to_version,
                reason=reason or "not settled",
                left_s=rollout.ends_at - self._clock.now(),
            )

    def _write(
        self, rollout: rollout_state.Rollout, state: rollout_state.State
    ) -> None:
        service = rollout.order.service
        table = self._dialect.tables.outcomes
        expect = self.row_versions.get(service, 0)
        value = self._dialect.outcome_value(rollout.order.to_version, state.value)
        key = self._dialect.outcome_key(service)
        writes = [gateway_api.Write(table, key, value, expect)]
        if state is rollout_state.State.RUNNING:
            writes.append(self._start_write(rollout, moved=False))
        if self.knows_stored_roles:
            writes.append(self._roles_write(service, self._role_after(rollout, state)))
        try:
            done = self._store.commit(writes)
        except gateway_api.StoreError as exc:
            pause_s = max(WRITE_PAUSE_S, exc.retry_after_s)
            self._paused_until = self._clock.now() + pause_s
            eventlog.warning("rollout-write", service=service, error=exc)
            return
        # If the condition failed, another gateway wrote; its row will be read soon.
        self._paused_until = self._clock.now() + WRITE_PAUSE_S
        eventlog.info(
            "rollout-write",
            service=service,
            version=rollout.order.to_version,
            state=state.value,
            expect=expect,
            row_version=done,
        )
        if done and self._epochs.newest <= self.epoch:
            self.row_versions[service] = done
            outcome = rollout_state.Outcome(
                rollout.order.to_version, state, done, self.epoch
            )
            self._rollouts.apply_outcome(service, outcome)
