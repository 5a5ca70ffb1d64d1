"""One gateway: its parts, how they are joined, its start and its planned stop.

The start is in this order: ports, then the rows of the shared store.  A gateway is
ready when it knows the configuration, the endpoints and the outcomes of rollouts.

A planned stop: the readiness check fails at once; what still comes is served while it
can end in time, later requests are told to come back elsewhere, and the stop is over
when nothing is open, or just before the process would be killed.
"""

import threading
import typing

from gaprock import (
    clock,
    directory,
    endpoint_notices,
    eventlog,
    evidence,
    followers,
    freshness,
    gateway_api,
    gateway_choose,
    gateway_find,
    gateway_http,
    gateway_judge,
    gateway_metrics,
    gateway_models,
    gateway_own_rows,
    gateway_quarantine,
    gateway_relay,
    gateway_rows,
    gateway_sender,
    gateway_serve,
    gateway_store,
    ids,
    mesh,
    options,
    paced_queue,
    periodic,
    plugin,
    policy_api,
    quarantine,
    rate_pacing,
    retry_window,
    rollout_writer,
    rollouts,
    routes,
    row_exchange,
    store_epochs,
    warm_up,
)

METRICS_PATH: typing.Final = "/metrics"
# Each open call has a thread; some more answer those that are refused.
SPARE_THREADS: typing.Final = 24
# Calls that a megabyte of memory carries, from the measured growth of about 0.25 MB a
# call, with half of the memory left for everything else.
CALLS_PER_MB: typing.Final = 1.1
MAX_CALLS: typing.Final = 320
# A call has its caller's connection and one to an endpoint; files, the store, peers and
# the ports have the others; so many callers may rest whatever is left.
DESCRIPTORS_PER_CALL: typing.Final = 2
OTHER_DESCRIPTORS: typing.Final = 400
MIN_RESTING: typing.Final = 100
# Periods of the background tasks, seconds.
ROLLOUT_STEP_S: typing.Final = 0.2
HOUSEKEEPING_S: typing.Final = 1.0
CLOCKS_S: typing.Final = 0.5
# Two looks at the clocks are no further apart on a busy machine, seconds.
CLOCKS_MOST_S: typing.Final = 1.0
# Each reading of changes is a priced call, so changes are gathered: orders for a
# moment, endpoints for a share of the time that a leaving one may still be sent to.
GATHER_ORDERS_S: typing.Final = 0.1
GATHER_SHARE: typing.Final = 0.25
# A planned stop: every request is taken for this long, seconds, or this share of the
# time until the process is killed; later ones only if their time ends before that.  A
# bound learned from the routes' answers, twice the longest of late, cut streams on
# loaded engines.
TAKE_ALL_S: typing.Final = 2.8
TAKE_ALL_SHARE: typing.Final = 0.4
END_AT: typing.Final = 0.92
# Callers that the balancer still sends come within this time, seconds.
LINGER_S: typing.Final = 3.5
# Between the last request that is taken and the end, seconds.
CLOSING_S: typing.Final = 0.15


class Gateway:
    """One gateway process: its parts and its background tasks."""

    def __init__(
        self,
        cfg: options.Options,
        clock_: clock.Clock,
        store: gateway_api.SharedStore,
        dialect: gateway_api.Dialect,
    ) -> None:
        self.cfg = cfg
        self.clock = clock_
        self.dialect = dialect
        self.metrics = gateway_metrics.GatewayMetrics()
        self.store = store = gateway_store.CountedStore(store, self.metrics)
        self.epochs = store_epochs.EpochTracker(clock_)
        store.watch_epoch(lambda epoch: self.epochs.record(epoch, "store"))
        bounds = cfg.bounds
        evidence_ = evidence.EvidenceBook(f"{cfg.vm}/{ids.new_token()}")
        self.directory = directory.Directory(
            clock_,
            bounds.drain_s,
            warm_up.SlowStarts(
                clock_,
                cfg.vm,
                lambda: cfg.bounds,
                self._services,
                lambda: self.mesh.peak_gateways(),
            ),
            endpoint_notices.EndpointNotices(
                clock_, rate_pacing.Pacer(clock_, lambda: self.mesh.peak_gateways())
            ),
        )
        self.rollouts = rollouts.Rollouts(
            clock_,
            bounds.canary_share,
            plugin.find(policy_api.Guard, cfg.guard)(),
            evidence_,
            bounds.session_s,
        )
        address = f"tcp://{cfg.host}:{cfg.mesh_port}" if cfg.mesh_port else ""
        self.quarantine = quarantine.Quarantine(clock_)
        self.mesh = mesh.Mesh(
            cfg.vm,
            cfg.hall,
            address,
            clock_,
            self.directory,
            self.rollouts,
            evidence_,
            self.quarantine,
        )
        self.mesh.own_on_old_version = self._on_old
        self.store_clock = freshness.StoreClock()
        self.writer = rollout_writer.RolloutWriter(
            clock_,
            self.store_clock,
            store,
            dialect,
            self.rollouts,
            self.mesh,
            self.epochs,
        )
        self.orders = gateway_rows.OrderRows(
            clock_, dialect, self.rollouts, self.directory.set_cordoned
        )
        self.followers = self._make_followers()
        self.mesh.source = row_exchange.RowExchange(
            self.followers, clock_, self.epochs, self.orders
        )
        self.own_rows = gateway_own_rows.OwnRowsTask(
            cfg.vm,
            clock_,
            self.store_clock,
            store,
            dialect.tables.own,
            self.mesh,
            self.rollouts,
            self.orders,
            self.writer,
            self.followers,
            cfg.first_start,
            self.epochs,
        )
        self.budget = retry_window.RetryWindow(
            bounds.budget_ratio,
            bounds.budget_allowance,
            bounds.budget_window_s,
            lambda: self.mesh.peak_gateways(),
        )
        self.server = self._make_server()
        self.leaving = False
        threads = self._max_calls() + SPARE_THREADS
        self.port = gateway_http.CallPort(
            gateway_http.parse_address(cfg.listen),
            threads,
            self.server.serve,
            clock_,
            lambda: self.leaving,
            self._max_resting(),
        )
        self.ready_port = gateway_http.TextPort(
            gateway_http.parse_address(cfg.ready_listen),
            {dialect.ready_path: self._answer_ready},
        )
        self.metrics_port = None
        if cfg.metrics_port:
            self.metrics_port = gateway_http.TextPort(
                (cfg.host, cfg.metrics_port), {METRICS_PATH: self._answer_metrics}
            )
        self._tasks = [
            periodic.Periodic("rollouts", ROLLOUT_STEP_S, self._step_rollouts),
            periodic.Periodic("housekeeping", HOUSEKEEPING_S, self._keep_house),
            periodic.Periodic("clocks", CLOCKS_S, self._look_at_clocks),
        ]
        self._gaps = clock.GapDetector(clock_, CLOCKS_MOST_S)
        self._limits_of = -1

    # -- Start and stop --

    def start(self) -> None:
        """Open the ports and begin to follow the store."""
        self.port.start()
        self.ready_port.start()
        if self.metrics_port is not None:
            self.metrics_port.start()
        self.mesh.start()
        threading.Thread(target=self.own_rows.run, name="own-rows", daemon=True).start()
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Carry out a planned stop; no request in flight is cut before its time."""
        now = self.clock.now()
        grace_s = self.cfg.bounds.grace_s
        self.leaving = True
        self.mesh.leaving = True
        self.server.accept_all_until = now + min(TAKE_ALL_S, TAKE_ALL_SHARE * grace_s)
        self.server.stop_deadline = now + END_AT * grace_s
        eventlog.info("leaving", open=self.server.open_calls, grace_s=grace_s)
        # Callers come until the balancer has noticed, and longer on kept connections.
        clock.sleep_until(now + min(LINGER_S, 0.5 * grace_s), self.clock)
        drained = self.server.wait_idle(self.server.stop_deadline)
        # From here on every request is told to come back, so that none is under way
        # when the process ends; callers on kept connections hear that it closes.
        self.server.stop_deadline = self.server.accept_all_until = self.clock.now()
        threading.Event().wait(CLOSING_S)
        self.server.wait_idle(self.clock.now() + CLOSING_S)
        eventlog.info("drained", whole=drained, open=self.server.open_calls)
        self.mesh.stop()

    def close(self) -> None:
        """Close the ports and end the background tasks."""
        for task in self._tasks:
            task.stop()
        self.own_rows.stop()
        for follower in self.followers:
            follower.stop()
        self.mesh.stop()
        ports = [p for p in (self.port, self.ready_port, self.metrics_port) if p]
        stops = [threading.Thread(target=port.stop) for port in ports]
        for stop in stops:
            stop.start()
        for stop in stops:
            stop.join()

    def reload(self, cfg: options.Options) -> None:
        """Take what a changed settings file may change while we run."""
        bounds = cfg.bounds
        self.cfg.bounds = bounds
        self.cfg.regions = cfg.regions
        self.budget.set_bounds(
            bounds.budget_ratio, bounds.budget_allowance, bounds.budget_window_s
        )
        eventlog.info("reloaded", grace_s=bounds.grace_s)

    @property
    def is_ready(self) -> bool:
        """Whether all that a request needs is known."""
        known = all(follower.version >= 0 for follower in self.followers)
        return known and self.orders.table is not None

    # -- Parts --

    def _make_followers(self) -> list[followers.Follower]:
        tables = self.dialect.tables
        endpoint_rows = gateway_rows.EndpointRows(
            self.clock, self.dialect, self.directory, self.epochs
        )
        outcome_rows = gateway_rows.OutcomeRows(
            self.clock, self.dialect, self.rollouts, self.writer
        )
        self._odd = [self.orders.invalid, endpoint_rows.invalid, outcome_rows.invalid]
        gather_s = GATHER_SHARE * self.cfg.bounds.drain_s
        cfg = self.cfg
        return [
            self._follower(
                tables.orders, self.orders, GATHER_ORDERS_S, lambda: cfg.bounds.config_s
            ),
            self._follower(
                tables.endpoints, endpoint_rows, gather_s, lambda: cfg.bounds.drain_s
            ),
            self._follower(
                tables.outcomes, outcome_rows, 0.0, lambda: cfg.bounds.rollback_s
            ),
        ]

    def _follower(
        self,
        table: str,
        sink: followers.Sink,
        gather_s: float,
        bound_s: typing.Callable[[], float],
    ) -> followers.Follower:
        """Make one table's follower.

        :param bound_s: within which a change has to be in force, seconds.
        """
        fresh = freshness.Freshness(
            self.clock, self.store_clock, bound_s, self.mesh.is_first_reader
        )
        return followers.Follower(
            table,
            self.store,
            self.clock,
            sink,
            fresh,
            gather_s,
            self.mesh.has_readers,
            lambda: self.directory.store_returned(self.mesh.store_back_at()),
            lambda: self.cfg.first_start and self.mesh.awaits_readers(),
            self.mesh.peers_probe_store,
            self.epochs,
        )

    def _make_server(self) -> gateway_serve.Server:
        cfg = self.cfg
        chooser = gateway_choose.Chooser(
            cfg.hall,
            self.clock,
            self.directory,
            self.rollouts,
            plugin.find(policy_api.Routing, cfg.gateway_routing)(),
            self._services,
            lambda: cfg.regions,
        )
        judge = gateway_judge.AnswerJudge(self.clock, self.directory, self.rollouts)
        gate = gateway_quarantine.Gate(self.clock, self.directory, self.quarantine)
        queue = paced_queue.PacedQueue()
        self._sender = gateway_sender.Sender(
            self.clock, self.dialect, self.directory, self.metrics, judge, gate
        )
        models = gateway_models.ModelPicker(
            self.clock,
            self.directory,
            self.rollouts,
            plugin.find(policy_api.ModelChoice, cfg.model_choice)(),
            self.budget,
            self._services,
            cfg.hall,
            queue,
        )
        relay = gateway_relay.Relay(
            self.clock,
            self.directory,
            self._sender,
            judge,
            models,
            gate,
        )
        return gateway_serve.Server(
            self.clock,
            self.dialect,
            self.orders,
            chooser,
            self._sender,
            relay,
            judge,
            gate,
            self.budget,
            self.metrics,
            self._max_calls(),
            gateway_find.Finder(self.clock, chooser, gate, queue),
            self._is_stale,
            lambda: self.is_ready,
        )

    def _services(self) -> dict[str, routes.Service]:
        """Give the services of the configuration in force, by name."""
        return self.orders.table.services if self.orders.table else {}

    def _max_calls(self) -> int:
        if self.cfg.max_calls:
            return self.cfg.max_calls
        return min(MAX_CALLS, int(CALLS_PER_MB * self.cfg.memory_mb))

    def _max_resting(self) -> int:
        """Give the callers' connections that may rest: what descriptors are left."""
        calls = DESCRIPTORS_PER_CALL * self._max_calls()
        return max(MIN_RESTING, self.cfg.max_fds - calls - OTHER_DESCRIPTORS)

    def _on_old(self, service: str) -> int:
        """Give our requests on the old version of a service."""
        for rollout in self.rollouts.all():
            if rollout.order.service == service:
                return self.directory.running_on_other_versions(
                    service, rollout.order.to_version
                )
        return 0

    def _is_stale(self) -> bool:
        return self.followers[0].fresh.is_stale

    # -- Tasks --

    def _step_rollouts(self) -> None:
        self.rollouts.look()
        if not self.leaving:
            self.writer.step()

    def _look_at_clocks(self) -> None:
        """Tell how long this process did nothing.

        Nothing else has to be done: every age and deadline is by a clock that went on,
        so what is too old counts as such at the first look after it.
        """
        for gap in self._gaps.look():
            self.metrics.clock_gaps.labels(gap.kind).inc(gap.length_s)
            eventlog.warning("clock-gap", kind=gap.kind, length_s=gap.length_s)

    def _keep_house(self) -> None:
        if not self.port.is_accepting:
            eventlog.warning("not-accepting", open=self.server.open_calls)
        self.directory.forget_gone()
        self.orders.end_restore_grace()
        self._sender.resolve_breaks()
        self.quarantine.forget_old()
        table = self.orders.table
        if table is not None and table.number != self._limits_of:
            self._limits_of = table.number
            self.port.set_limits(table.limits.body_bytes, table.limits.idle_s)
            services = table.services.values()
            self.directory.set_memory({s.name: s.memory for s in services})

    def _answer_ready(self) -> tuple[int, bytes]:
        is_ready = self.is_ready and self.port.is_accepting and not self.leaving
        return (200 if is_ready else 503), b""

    def _answer_metrics(self) -> tuple[int, bytes]:
        table = self.orders.table
        self.metrics.config_number.set(table.number if table else 0)
        self.metrics.log_lines_dropped.set(eventlog.dropped_lines())
        for invalid in self._odd:
            self.metrics.invalid_rows.labels(invalid.table).set(invalid.count)
        self.metrics.store_epoch.set(self.epochs.newest)
        self.metrics.store_restores.set(self.epochs.restores)
        self.metrics.requests_held.set(self.quarantine.held_count)
        self._set_notice_metrics(self.directory.notices)
        for follower in self.followers:
            gauge = self.metrics.store_connected.labels(follower.table)
            gauge.set(follower.connected)
            age = self.metrics.store_proof_age.labels(follower.table)
            age.set(self.clock.now() - follower.fresh.verified_at)
        return 200, self.metrics.render()

    def _set_notice_metrics(self, notices: endpoint_notices.EndpointNotices) -> None:
        """Count what endpoints say of themselves."""
        self.metrics.endpoints_limited.set(len(notices.pacer.limits.lives()))
        self.metrics.sends_paced.set(notices.pacer.paced)
        self.metrics.endpoints_leaving.set(len(notices.departures.lives()))
        self.metrics.endpoints_backing_off.set(notices.backoffs.count())
        self.metrics.backoffs.set(notices.backoffs.asked)
        self.metrics.sends_backed_off.set(notices.backoffs.stopped_sends)
