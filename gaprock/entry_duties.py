"""Control duties of the one entry that holds the control lease.

1. Renew the lease.
2. Advance each running rollout once enough answers of its step are rated.
3. Place versions before planned starts, by fenced orders to engines.
4. Trim the configuration's log and delete claims past their retention time.

Each write is conditional on the lease and each order carries its epoch, so a holder
that resumes after a suspension, when another holds the lease, does no harm.
"""

import typing
from concurrent import futures

import msgspec

from gaprock import (
    claims,
    clock,
    config,
    config_store,
    documents,
    entry_links,
    entry_publish,
    entry_versions,
    errors,
    eventlog,
    evidence,
    ids,
    lease,
    messages,
    policy_api,
    services_api,
)

# A planned start is prepared for this long before it.
PLANNED_START_LEAD_S: typing.Final = 600.0
# A planned start adds to the expected demand until this long after it.
PLANNED_START_DURATION_S: typing.Final = 300.0
# An order without an answer after this time is taken as lost.
ORDER_TIMEOUT_S: typing.Final = 60.0
# Rows read in one step of deleting old claims.
CLAIMS_PAGE_ROWS: typing.Final = 200
# The time between two runs of the upkeep.
UPKEEP_INTERVAL_S: typing.Final = 10.0


class Duties:
    """The control duties, a step at a time; used by one thread."""

    def __init__(
        self,
        clock_: clock.Clock,
        config_: config.Config,
        table: services_api.Table,
        store: config_store.ConfigStore,
        lease_: lease.Lease,
        publisher: entry_publish.Publisher,
        links: entry_links.Links,
        evidence_: evidence.EvidenceBook,
        placement: policy_api.Placement,
    ) -> None:
        self._clock = clock_
        self._config = config_
        self._table = table
        self._store = store
        self._lease = lease_
        self._publisher = publisher
        self._links = links
        self._evidence = evidence_
        self._placement = placement
        self._orders: list[futures.Future[messages.OrderDone]] = []
        self._orders_deadline = 0.0
        self._next_upkeep_at = 0.0
        self._collect_after = ""

    def step(self) -> None:
        """Refresh the lease and, while it is held, carry out each duty once.

        :raises services_api.PlatformError: when the table did not answer.
        """
        previous_epoch = self._lease.epoch if self._lease.held else 0
        held = self._lease.refresh()
        shared = self._links.shared
        shared.epoch = max(shared.epoch, self._lease.epoch)
        if not held:
            return
        if previous_epoch != self._lease.epoch:
            eventlog.info("lease-taken", epoch=self._lease.epoch)
        self._advance_rollouts()
        self._place()
        if self._clock.now() >= self._next_upkeep_at:
            self._next_upkeep_at = self._clock.now() + UPKEEP_INTERVAL_S
            self._run_upkeep()

    def stop(self) -> None:
        """Release the lease."""
        self._lease.release()

    # -- Rollouts --

    def _advance_rollouts(self) -> None:
        for rollout in self._config.rollouts():
            if rollout.state == documents.RUNNING:
                self._advance(rollout)

    def _advance(self, rollout: documents.Rollout) -> None:
        """Advance a rollout if enough answers of its current step are rated.

        Only rated answers count, so without ratings a rollout does not advance.
        """
        if self._config.halted(rollout.version):
            return
        rated = self._evidence.totals(
            self._config.evidence_label(rollout.version)
        ).rated
        # The sum decreases when processes whose counts it included are gone.
        before = rollout.judged_before if rated >= rollout.judged_before else 0
        if rated - before < rollout.answers_per_step:
            return
        last = rollout.step + 1 >= len(rollout.steps)
        next_state = msgspec.structs.replace(
            rollout,
            step=rollout.step if last else rollout.step + 1,
            state=documents.DONE if last else documents.RUNNING,
            judged_before=rated,
        )
        try:
            self._publisher.publish(
                next_state, self._config.revision, [self._lease.condition()]
            )
        except errors.GaprockError as exc:
            # An operator's change came first, or another entry holds the lease.
            eventlog.info("rollout-not-advanced", version=rollout.version, error=exc)
            return
        eventlog.info(
            "rollout-advanced",
            version=rollout.version,
            step=next_state.step,
            state=next_state.state,
            rated=rated,
        )

    # -- Placement --

    def _place(self) -> None:
        """Order the next moves once the previous orders are answered or lost."""
        now = self._clock.now()
        if any(not fut.done() for fut in self._orders) and now < self._orders_deadline:
            return
        self._orders = []
        states = [
            policy_api.EndpointState(
                load.endpoint,
                frozenset(load.versions),
                int(load.memory_free),
                load.limit,
            )
            for load in self._links.endpoints()
            if load.kind == "engine"
        ]
        demands = expected_demands(self._config, now)
        for move in self._placement.plan(states, demands):
            self._order(move)
        self._orders_deadline = now + ORDER_TIMEOUT_S

    def _order(self, move: policy_api.Move) -> None:
        link = self._links.find_by_endpoint(move.endpoint)
        if link is None:
            return
        order = messages.Order(
            ids.new_token(),
            self._lease.epoch,
            move.endpoint,
            move.action,
            move.version,
        )
        self._orders.append(link.order(order))
        eventlog.info(
            "placement",
            order=order.order,
            endpoint=move.endpoint,
            action=move.action,
            version=move.version,
            epoch=order.epoch,
        )

    # -- Upkeep --

    def _run_upkeep(self) -> None:
        self._store.trim_log(self._config.revision)
        rows = self._table.scan(claims.KEY, self._collect_after, CLAIMS_PAGE_ROWS)
        # Rows may be left out of a page, so only an empty one is the last.
        self._collect_after = rows[-1].key if rows else ""
        horizon = self._clock.now() - 2 * ids.RETENTION_S
        old = [
            services_api.TableOp(row.key, row.version, delete=True)
            for row in rows
            if claims.deadline_of(row) < horizon
        ]
        if old:
            self._table.transact(old)
            eventlog.info("claims-collected", count=len(old))


def expected_demands(config_: config.Config, now: float) -> list[policy_api.Demand]:
    """Return the request rate that is expected soon for each version.

    Each version that a template allows is included, if only with a rate of 0, so that
    it is placed on some endpoint.  A planned start adds the template's expected rate,
    split evenly over the versions; a rollout scales the parts of its two versions by
    their shares.
    """
    rates: dict[str, float] = {}
    for template in config_.templates():
        if template.kind != documents.CHAT:
            continue
        versions = [
            c.version
            for c in template.versions
            if not config_.withdrawn(c.version) and not config_.halted(c.version)
        ]
        is_near_start = (
            now + PLANNED_START_LEAD_S
            >= template.planned_start
            > now - PLANNED_START_DURATION_S
        )
        rate = template.expected_rate if is_near_start else 0.0
        for version in versions:
            share = _rollout_factor(config_, version, versions)
            rates[version] = rates.get(version, 0.0) + rate * share / len(versions)
    return [policy_api.Demand(version, rate) for version, rate in rates.items()]


def _rollout_factor(config_: config.Config, version: str, versions: list[str]) -> float:
    """Return the factor by which a rollout scales a version's even part."""
    for rollout in config_.rollouts():
        if rollout.version not in versions or rollout.stable not in versions:
            continue
        if rollout.version == version:
            return entry_versions.rollout_share(rollout)
        if rollout.stable == version:
            return 1.0 - entry_versions.rollout_share(rollout)
    return 1.0
