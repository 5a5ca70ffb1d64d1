"""Control duties: done by the one entry that holds the lease.

1. Keep the lease.
2. Advance each running rollout when the answers of its step were judged.
3. Place versions before planned starts, by fenced orders to engines.
4. Trim the configuration's log and collect claims past their retention.

Every write carries the lease's condition and every order its epoch, so a holder
that was paused and wakes up does no harm.
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

# A planned start is prepared this long before, seconds.
PREPARE_S: typing.Final = 600.0
# ... and counts as planned for this long after it, seconds.
START_LASTS_S: typing.Final = 300.0
# An order that was not answered by then is taken as lost, seconds.
ORDER_WAIT_S: typing.Final = 60.0
# Rows looked at in one step of collecting claims.
COLLECT_PAGE: typing.Final = 200
# Seconds between two steps of upkeep.
UPKEEP_S: typing.Final = 10.0


class Duties:
    """The duties, one step at a time; used by one thread."""

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
        self._orders_until = 0.0
        self._upkeep_at = 0.0
        self._collect_after = ""

    def step(self) -> None:
        """Do one round.

        :raises services_api.PlatformError: when the table did not answer.
        """
        had_epoch = self._lease.epoch if self._lease.held else 0
        held = self._lease.refresh()
        shared = self._links.shared
        shared.epoch = max(shared.epoch, self._lease.epoch)
        if not held:
            return
        if had_epoch != self._lease.epoch:
            eventlog.info("lease-taken", epoch=self._lease.epoch)
        self._advance_rollouts()
        self._place()
        if self._clock.now() >= self._upkeep_at:
            self._upkeep_at = self._clock.now() + UPKEEP_S
            self._keep_up()

    def stop(self) -> None:
        """Give up the lease."""
        self._lease.release()

    # -- Rollouts --

    def _advance_rollouts(self) -> None:
        for rollout in self._config.rollouts():
            if rollout.state == documents.RUNNING:
                self._advance(rollout)

    def _advance(self, rollout: documents.Rollout) -> None:
        """Take a rollout's next step if the evidence of this one is in.

        Only rated answers count: without ratings a rollout stands still.
        """
        if self._config.halted(rollout.version):
            return
        rated = self._evidence.totals(
            self._config.evidence_label(rollout.version)
        ).rated
        # A sum may be lower than before when the processes that counted are gone.
        before = rollout.judged_before if rated >= rollout.judged_before else 0
        if rated - before < rollout.answers_per_step:
            return
        last = rollout.step + 1 >= len(rollout.steps)
        following = msgspec.structs.replace(
            rollout,
            step=rollout.step if last else rollout.step + 1,
            state=documents.DONE if last else documents.RUNNING,
            judged_before=rated,
        )
        try:
            self._publisher.publish(
                following, self._config.revision, [self._lease.condition()]
            )
        except errors.GaprockError as exc:
            # An operator's change came first, or the lease is another's by now.
            eventlog.info("rollout-not-advanced", version=rollout.version, error=exc)
            return
        eventlog.info(
            "rollout-advanced",
            version=rollout.version,
            step=following.step,
            state=following.state,
            rated=rated,
        )

    # -- Placement --

    def _place(self) -> None:
        """Ask for the next moves once the last ones are answered."""
        now = self._clock.now()
        if any(not fut.done() for fut in self._orders) and now < self._orders_until:
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
        self._orders_until = now + ORDER_WAIT_S

    def _order(self, move: policy_api.Move) -> None:
        link = self._links.with_endpoint(move.endpoint)
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

    def _keep_up(self) -> None:
        self._store.trim_log(self._config.revision)
        rows = self._table.scan(claims.KEY, self._collect_after, COLLECT_PAGE)
        self._collect_after = rows[-1].key if len(rows) == COLLECT_PAGE else ""
        horizon = self._clock.now() - 2 * ids.RETENTION_S
        old = [
            services_api.TableOp(row.key, row.version, delete=True)
            for row in rows
            if row.value is not None and float(row.value["deadline"]) < horizon
        ]
        if old:
            self._table.transact(old)
            eventlog.info("claims-collected", count=len(old))


def expected_demands(config_: config.Config, now: float) -> list[policy_api.Demand]:
    """Give the work that each version is expected to get soon.

    Every version that a template allows counts, so that it stands somewhere; a
    planned start adds its rate, spread over what its rollouts leave of the list.
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
        soon = now + PREPARE_S >= template.planned_start > now - START_LASTS_S
        rate = template.expected_rate if soon else 0.0
        for version in versions:
            share = _share(config_, version, versions)
            rates[version] = rates.get(version, 0.0) + rate * share / len(versions)
    return [policy_api.Demand(version, rate) for version, rate in rates.items()]


def _share(config_: config.Config, version: str, versions: list[str]) -> float:
    """Give the part of a version's place in the list that rollouts leave it."""
    for rollout in config_.rollouts():
        if rollout.version not in versions or rollout.stable not in versions:
            continue
        if rollout.version == version:
            return entry_versions.share_of(rollout)
        if rollout.stable == version:
            return 1.0 - entry_versions.share_of(rollout)
    return 1.0
