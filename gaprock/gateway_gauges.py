"""Sets the gauges of a gateway's state, each time its metrics are read."""

import typing

from gaprock import endpoint_notices, eventlog, gateway_metrics, relative_times

if typing.TYPE_CHECKING:
    from gaprock import gateway_node


def set_all(gateway: "gateway_node.Gateway") -> None:
    """Set all gauges to the present state."""
    metrics = gateway.metrics
    table = gateway.orders.table
    metrics.config_number.set(table.number if table else 0)
    metrics.log_lines_dropped.set(eventlog.dropped_lines())
    for invalid in gateway.invalid_rows:
        metrics.invalid_rows.labels(invalid.table).set(invalid.count)
    metrics.store_epoch.set(gateway.epochs.newest)
    metrics.store_restores.set(gateway.epochs.restores)
    for role, is_ours in gateway.mesh.roles().items():
        metrics.role.labels(role).set(is_ours)
    if gateway.account is not None:
        metrics.set_held(gateway.account, gateway.clock.now())
    memory = gateway.body_memory
    metrics.body_bytes.set(memory.used)
    refused = memory.refused_count + memory.arrivals.refused_count
    metrics.body_memory_refused.set(refused)
    metrics.arrivals_given_up.set(memory.arrivals.given_up_count)
    metrics.connections_closed.set(gateway.port.closed_count)
    metrics.answers_given_up.set(memory.given_up_count)
    metrics.requests_held.set(gateway.quarantine.held_count)
    metrics.segments_held.set(gateway.quarantine.held_segments)
    metrics.families_held.set(gateway.quarantine.held_families)
    metrics.is_full.set(gateway.fullness.is_full)
    metrics.closed_unread.set(gateway.port.closed_unread)
    _set_notices(metrics, gateway.directory.notices)
    reporting, slowed = gateway.directory.count_reporting()
    metrics.endpoints_reporting_pace.set(reporting)
    metrics.endpoints_slowed.set(slowed)
    metrics.pace_reports.set(gateway.directory.pace_tick)
    gateway.admission.set_metrics(metrics)
    for service in gateway.budget.services():
        state = gateway.budget.state(service)
        metrics.budget_left.labels(service).set(state.left)
        metrics.budget_held.labels(service).set(state.held)
        metrics.budget_spent.labels(service).set(state.spent)
    for (service, role), count in gateway.rollouts.version_sends.totals().items():
        metrics.version_sends.labels(service, role).set(count)
    for rollout in gateway.rollouts.all():
        service = rollout.order.service
        exposed = gateway.rollouts.exposure(rollout).exposed
        metrics.rollout_exposure.labels(service).set(exposed)
        allowed = gateway.rollouts.allowed_exposure(rollout)
        metrics.rollout_allowance.labels(service).set(allowed)
        for side, counts in gateway.rollouts.answers(rollout).items():
            for number, count in enumerate(counts):
                time = relative_times.bin_name(number)
                metrics.rollout_answers.labels(service, side, time).set(count)
    for follower in gateway.followers:
        gauge = metrics.store_connected.labels(follower.table)
        gauge.set(follower.connected)
        age = metrics.store_proof_age.labels(follower.table)
        age.set(gateway.clock.now() - follower.fresh.verified_at)


def _set_notices(
    metrics: gateway_metrics.GatewayMetrics,
    notices: endpoint_notices.EndpointNotices,
) -> None:
    """Set the gauges for what endpoints announce in their answers."""
    metrics.endpoints_limited.set(len(notices.pacer.limits.incarnations()))
    metrics.sends_paced.set(notices.pacer.paced)
    metrics.endpoints_leaving.set(len(notices.departures.incarnations()))
    metrics.endpoints_backing_off.set(notices.backoffs.count())
    metrics.backoffs.set(notices.backoffs.asked)
    metrics.sends_backed_off.set(notices.backoffs.stopped_sends)
