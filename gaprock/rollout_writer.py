"""Writes what became of rollouts into the shared store.

Any gateway may write: each write is on condition that the outcome's row is as it was
read, so two that write at once do no harm.  To save calls the living gateways take
turns (``mesh.Mesh.duty_rank``): the one that a hash puts first writes at once, the next
one a little later.
"""

import typing

import msgspec

from gaprock import (
    clock,
    eventlog,
    freshness,
    gateway_api,
    mesh,
    rollout_state,
    rollouts,
    store_epochs,
)

# Each further gateway waits this much longer before it writes, seconds.
TURN_S: typing.Final = 0.6
# Pause after a write whose outcome is not known, seconds.
AFTER_ERROR_S: typing.Final = 0.5
START_PREFIX: typing.Final = "rollout/"


class StartRow(msgspec.Struct):
    """When a rollout began, by the store's clock, for gateways that start later."""

    revision: typing.Annotated[int, msgspec.Meta(ge=0)]
    started: typing.Annotated[float, msgspec.Meta(ge=0)]


class RolloutWriter:
    """The duty of one gateway; called from one thread."""

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
        # When a state was first due, by the attempt's label and the state.
        self._due: dict[tuple[str, rollout_state.State], float] = {}
        # When all traffic had moved, by the attempt's label.
        self._moved: dict[str, float] = {}
        self._quiet_until = 0.0

    def step(self) -> None:
        """Write what is due and ours to write."""
        now = self._clock.now()
        for rollout in self._rollouts.all():
            state = self._wanted(rollout, now)
            if state is None or state is rollout.written:
                continue
            if self._epochs.newest > self.epoch or rollout.epoch != self.epoch:
                # A condition of another epoch may hold by a version given out again.
                continue
            due_at = self._due.setdefault((rollout.label, state), now)
            turn_at = due_at + TURN_S * self._mesh.duty_rank(rollout.label)
            if now >= turn_at and now >= self._quiet_until:
                self._write(rollout, state)

    def _wanted(
        self, rollout: rollout_state.Rollout, now: float
    ) -> rollout_state.State | None:
        """Give the state that the row should show."""
        if rollout.written in (
            rollout_state.State.COMPLETED,
            rollout_state.State.ROLLED_BACK,
        ):
            return None
        if rollout.state is not rollout_state.State.RUNNING:
            return rollout.state
        if self._has_moved(rollout, now):
            if not self._rollouts.is_suspected(rollout):
                return rollout_state.State.COMPLETED
            if now >= self._latest(rollout):
                self._rollouts.halt(
                    rollout.order.service, rollout.revision, "in doubt at the end"
                )
        if rollout.halted:
            return rollout_state.State.ROLLED_BACK
        if rollout.written is None and self._store_clock.is_known:
            return rollout_state.State.RUNNING
        # Its start is written with it, and a start by a clock that is not the store's
        # makes the rollout as old as the clocks differ for every gateway to come.
        return None

    def _has_moved(self, rollout: rollout_state.Rollout, now: float) -> bool:
        """Whether all traffic has moved and nothing runs on the old version."""
        if self._rollouts.share(rollout) < 1.0:
            self._moved.pop(rollout.label, None)
            return False
        moved_at = self._moved.setdefault(rollout.label, now)
        if now < moved_at + rollout_state.SETTLE_S:
            return False
        service = rollout.order.service
        return now >= self._latest(rollout) or not self._mesh.count_on_old_version(
            service
        )

    def _latest(self, rollout: rollout_state.Rollout) -> float:
        """Give when the outcome is due at the latest."""
        due_at = rollout.started_at + rollout.order.finish_s
        return due_at - rollout_state.WRITE_BEFORE_S

    def _write(
        self, rollout: rollout_state.Rollout, state: rollout_state.State
    ) -> None:
        service = rollout.order.service
        table, own = self._dialect.tables.outcomes, self._dialect.tables.own
        expect = self.row_versions.get(service, 0)
        value = self._dialect.outcome_value(rollout.order.to_version, state.value)
        key = self._dialect.outcome_key(service)
        writes = [gateway_api.Write(table, key, value, expect)]
        if state is rollout_state.State.RUNNING:
            started = self._store_clock.latest_store_time(rollout.started_at)
            start = msgspec.json.encode(StartRow(rollout.revision, started))
            writes.append(gateway_api.Write(own, START_PREFIX + service, start))
        try:
            done = self._store.commit(writes)
        except gateway_api.StoreError as exc:
            pause_s = max(AFTER_ERROR_S, exc.retry_after_s)
            self._quiet_until = self._clock.now() + pause_s
            eventlog.warning("rollout-write", service=service, error=exc)
            return
        # A condition that failed means that another wrote; its row is on its way.
        self._quiet_until = self._clock.now() + AFTER_ERROR_S
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
