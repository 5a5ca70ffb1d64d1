"""Counters, gauges and histograms of a gateway, served as Prometheus text.

``docs/OPERATIONS.md`` lists the names and their meanings.
"""

import typing

import prometheus_client

from gaprock import held_bytes

# Upper bounds of the buckets of the latency histograms, seconds.
BUCKETS: typing.Final = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0)


class GatewayMetrics:
    """All metrics of a process, in their own registry."""

    __slots__ = (
        "registry",
        "requests",
        "sends",
        "waits_extended",
        "repeats",
        "repeats_refused",
        "budget_left",
        "budget_held",
        "budget_spent",
        "first_byte",
        "answer_end",
        "open_calls",
        "log_lines_dropped",
        "config_number",
        "store_connected",
        "store_proof_age",
        "store_epoch",
        "store_restores",
        "store_calls",
        "invalid_rows",
        "body_bytes",
        "body_memory_refused",
        "answers_given_up",
        "arrivals_given_up",
        "connections_closed",
        "requests_held",
        "segments_held",
        "families_held",
        "is_full",
        "closed_unread",
        "endpoints_limited",
        "sends_paced",
        "endpoints_leaving",
        "endpoints_backing_off",
        "backoffs",
        "sends_backed_off",
        "endpoints_reporting_pace",
        "endpoints_slowed",
        "pace_reports",
        "clock_gaps",
        "own_delays",
        "start_held",
        "role",
        "held_bytes",
        "slow_callers",
        "callers_cut",
        "bodies_refused",
        "capacity",
        "capacity_use",
        "capacity_waiting",
        "capacity_refused",
        "capacity_lent",
        "workspace_use",
        "version_sends",
        "rollout_exposure",
        "rollout_allowance",
        "rollout_answers",
    )

    def __init__(self) -> None:
        registry = prometheus_client.CollectorRegistry()
        self.registry = registry
        self.requests = prometheus_client.Counter(
            "gaprock_requests_total",
            "Requests, by route and result",
            ["route", "result"],
            registry=registry,
        )
        self.sends = prometheus_client.Counter(
            "gaprock_sends_total",
            "Sends to endpoints, by service and outcome",
            ["service", "outcome"],
            registry=registry,
        )
        self.waits_extended = prometheus_client.Counter(
            "gaprock_waits_extended_total",
            "Sends whose endpoint got more time because of its pace, by service",
            ["service"],
            registry=registry,
        )
        self.repeats = prometheus_client.Counter(
            "gaprock_repeats_total",
            "Sends beyond the first of a request, by service and reason",
            ["service", "reason"],
            registry=registry,
        )
        self.repeats_refused = prometheus_client.Counter(
            "gaprock_repeats_refused_total",
            "Requests that the retry budget refused a repeat, by service",
            ["service"],
            registry=registry,
        )
        self.budget_left = prometheus_client.Gauge(
            "gaprock_retry_budget_left",
            "Repeats that this gateway may send now, by service",
            ["service"],
            registry=registry,
        )
        self.budget_held = prometheus_client.Gauge(
            "gaprock_retry_budget_held",
            "The part of the fleet's allowance that this gateway holds, by service",
            ["service"],
            registry=registry,
        )
        self.budget_spent = prometheus_client.Gauge(
            "gaprock_retry_budget_spent",
            "Repeats sent in the last window, or charged for it, by service",
            ["service"],
            registry=registry,
        )
        self.first_byte = prometheus_client.Histogram(
            "gaprock_first_byte_seconds",
            "Time until the caller gets the first byte, by route",
            ["route"],
            buckets=BUCKETS,
            registry=registry,
        )
        self.answer_end = prometheus_client.Histogram(
            "gaprock_whole_seconds",
            "Time until the answer ends, by route",
            ["route"],
            buckets=BUCKETS,
            registry=registry,
        )
        self.rollout_exposure = prometheus_client.Gauge(
            "gaprock_rollout_exposure",
            "Sends of all gateways to a rollout's new version, by service",
            ["service"],
            registry=registry,
        )
        self.version_sends = prometheus_client.Gauge(
            "gaprock_version_sends",
            "Sends of this gateway, by service and what their version counted as",
            ["service", "role"],
            registry=registry,
        )
        self.rollout_allowance = prometheus_client.Gauge(
            "gaprock_rollout_allowance",
            "Sends to a rollout's new version that its service's sends allow",
            ["service"],
            registry=registry,
        )
        self.rollout_answers = prometheus_client.Gauge(
            "gaprock_rollout_answers",
            "Answers in a rollout by service, side (new, old), and time relative to the"
            " usual one, or 'failed' or 'untimed'",
            ["service", "side", "time"],
            registry=registry,
        )
        self.open_calls = prometheus_client.Gauge(
            "gaprock_open_calls", "Requests open now", registry=registry
        )
        self.log_lines_dropped = prometheus_client.Gauge(
            "gaprock_log_lines_dropped",
            "Log lines dropped because of a full pipe or the rate limit",
            registry=registry,
        )
        self.config_number = prometheus_client.Gauge(
            "gaprock_config_number",
            "Number of the configuration in force",
            registry=registry,
        )
        self.store_connected = prometheus_client.Gauge(
            "gaprock_store_connected",
            "Whether the shared store answers, by table",
            ["table"],
            registry=registry,
        )
        self.store_proof_age = prometheus_client.Gauge(
            "gaprock_store_proof_age_seconds",
            "Time since a table was last verified to match the store, by table",
            ["table"],
            registry=registry,
        )
        self.store_calls = prometheus_client.Counter(
            "gaprock_store_calls_total",
            "Calls to the shared store, by kind and table",
            ["kind", "table"],
            registry=registry,
        )
        self.store_epoch = prometheus_client.Gauge(
            "gaprock_store_epoch",
            "The shared store's epoch, -1 before it is known",
            registry=registry,
        )
        self.store_restores = prometheus_client.Gauge(
            "gaprock_store_restores",
            "Times that the shared store was restored from a backup since the start",
            registry=registry,
        )
        self.clock_gaps = prometheus_client.Counter(
            "gaprock_clock_gap_seconds",
            "Time in which this process did not run, by kind",
            ["kind"],
            registry=registry,
        )
        self.own_delays = prometheus_client.Counter(
            "gaprock_own_delays_total",
            "Delays of this process, by kind: a late task, or a connection's time-out",
            ["kind"],
            registry=registry,
        )
        self.body_bytes = prometheus_client.Gauge(
            "gaprock_body_bytes",
            "Bytes of whole bodies, of requests and of answers, in memory",
            registry=registry,
        )
        self.body_memory_refused = prometheus_client.Gauge(
            "gaprock_body_memory_refused",
            "Request bodies refused since the start, for lack of memory for bodies",
            registry=registry,
        )
        self.arrivals_given_up = prometheus_client.Gauge(
            "gaprock_arrivals_given_up",
            "Arriving requests given up since the start, for lack of memory for bodies",
            registry=registry,
        )
        self.connections_closed = prometheus_client.Gauge(
            "gaprock_connections_closed",
            "Callers' connections closed since the start, to make room for others",
            registry=registry,
        )
        self.answers_given_up = prometheus_client.Gauge(
            "gaprock_answers_given_up",
            "Answers given up since the start, for lack of memory for bodies",
            registry=registry,
        )
        self.requests_held = prometheus_client.Gauge(
            "gaprock_requests_held",
            "Requests in quarantine, since endpoints crashed as they began to run them",
            registry=registry,
        )
        self.segments_held = prometheus_client.Gauge(
            "gaprock_segments_held",
            "Prompt segments in quarantine, since endpoints crashed under them",
            registry=registry,
        )
        self.families_held = prometheus_client.Gauge(
            "gaprock_families_held",
            "Families of requests in quarantine, since endpoints crashed under them",
            registry=registry,
        )
        self.is_full = prometheus_client.Gauge(
            "gaprock_full",
            "Whether this gateway is too full for new connections",
            registry=registry,
        )
        self.closed_unread = prometheus_client.Gauge(
            "gaprock_connections_closed_unread",
            "New connections that were closed since no call of them could be served",
            registry=registry,
        )
        self.endpoints_limited = prometheus_client.Gauge(
            "gaprock_endpoints_limited",
            "Endpoints that announce a rate limit",
            registry=registry,
        )
        self.sends_paced = prometheus_client.Gauge(
            "gaprock_sends_paced",
            "Sends that were queued or went elsewhere because of a rate limit",
            registry=registry,
        )
        self.endpoints_leaving = prometheus_client.Gauge(
            "gaprock_endpoints_leaving",
            "Endpoints that announce in their answers that they are leaving",
            registry=registry,
        )
        self.endpoints_backing_off = prometheus_client.Gauge(
            "gaprock_endpoints_backing_off",
            "Endpoints that shed load, with a backoff in force for this gateway",
            registry=registry,
        )
        self.backoffs = prometheus_client.Gauge(
            "gaprock_backoffs",
            "Backoffs that endpoints asked of this gateway since the start",
            registry=registry,
        )
        self.sends_backed_off = prometheus_client.Gauge(
            "gaprock_sends_backed_off",
            "Sends that a backoff stopped at the last check before sending",
            registry=registry,
        )
        self.start_held = prometheus_client.Counter(
            "gaprock_start_held_total",
            "Requests that arrived before the start had ended, by result",
            ["result"],
            registry=registry,
        )
        self.role = prometheus_client.Gauge(
            "gaprock_role",
            "Whether this gateway has a role in its hall, by role",
            ["role"],
            registry=registry,
        )
        self.endpoints_reporting_pace = prometheus_client.Gauge(
            "gaprock_endpoints_reporting_pace",
            "Endpoints that report their pace",
            registry=registry,
        )
        self.endpoints_slowed = prometheus_client.Gauge(
            "gaprock_endpoints_slowed",
            "Endpoints that are now much slower than their lasting pace",
            registry=registry,
        )
        self.pace_reports = prometheus_client.Gauge(
            "gaprock_pace_reports",
            "Paces that endpoints reported to this gateway since the start",
            registry=registry,
        )
        self.held_bytes = prometheus_client.Gauge(
            "gaprock_held_bytes",
            "Bytes held for callers, by kind",
            ["kind"],
            registry=registry,
        )
        self.slow_callers = prometheus_client.Gauge(
            "gaprock_slow_callers",
            "Callers that read or send slowly now",
            registry=registry,
        )
        self.callers_cut = prometheus_client.Gauge(
            "gaprock_callers_cut",
            "Slow callers that were disconnected to make room since the start",
            registry=registry,
        )
        self.bodies_refused = prometheus_client.Gauge(
            "gaprock_bodies_refused",
            "Bodies that were refused for lack of memory since the start",
            registry=registry,
        )
        self.capacity = prometheus_client.Gauge(
            "gaprock_capacity",
            "Requests that a service's endpoints can hold with answers in time",
            ["service"],
            registry=registry,
        )
        self.capacity_use = prometheus_client.Gauge(
            "gaprock_capacity_use",
            "Requests of all gateways that run, by service",
            ["service"],
            registry=registry,
        )
        self.capacity_waiting = prometheus_client.Gauge(
            "gaprock_capacity_waiting",
            "Requests of this gateway that wait for admission, by service",
            ["service"],
            registry=registry,
        )
        self.capacity_refused = prometheus_client.Gauge(
            "gaprock_capacity_refused",
            "Requests refused for lack of capacity since the start, by service",
            ["service"],
            registry=registry,
        )
        self.capacity_lent = prometheus_client.Gauge(
            "gaprock_capacity_lent",
            "Requests of this gateway beyond their workspace's share, by service",
            ["service"],
            registry=registry,
        )
        self.workspace_use = prometheus_client.Gauge(
            "gaprock_workspace_use",
            "Requests that run, by service and workspace, of the 16 largest",
            ["service", "workspace"],
            registry=registry,
        )
        self.invalid_rows = prometheus_client.Gauge(
            "gaprock_odd_rows",
            "Rows that could not be used since the start, by table",
            ["table"],
            registry=registry,
        )

    def set_held(self, account: held_bytes.Account, now: float) -> None:
        """Set the gauges for bytes held for callers."""
        for kind, count in account.used.items():
            self.held_bytes.labels(kind.value).set(count)
        self.slow_callers.set(account.slow_count(now))
        self.callers_cut.set(account.cut_count)
        self.bodies_refused.set(account.refused_count)

    def render(self) -> bytes:
        """Return all metrics as Prometheus text."""
        return prometheus_client.generate_latest(self.registry)
