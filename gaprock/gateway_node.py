"""A gateway process: how its parts are connected, its start and its planned stop.

The start requests the rows of the shared store and opens the ports.  A gateway
is ready when it knows the configuration, the endpoints and the outcomes of rollouts.

When a planned stop begins, the readiness check fails at once.  New requests are served
as long as they can end in time; later ones are refused with a short retry time, so that
another gateway serves them.  The stop ends when no request is open, or just before the
process would be killed.
"""

import threading
import typing

from gaprock import (
    body_memory,
    clock,
    directory,
    endpoint_notices,
    eventlog,
    evidence,
    followers,
    freshness,
    gateway_admission,
    gateway_api,
    gateway_call,
    gateway_choose,
    gateway_find,
    gateway_fullness,
    gateway_gauges,
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
    gateway_startup,
    gateway_store,
    held_bytes,
    held_rows,
    ids,
    machine_size,
    mechanisms,
    mesh,
    options,
    own_delays,
    paced_queue,
    periodic,
    plugin,
    policy_api,
    quarantine,
    rate_pacing,
    retry_allowance,
    retry_budget,
    rollout_writer,
    rollouts,
    routes,
    row_exchange,
    startup_wait,
    store_epochs,
    warm_up,
)

METRICS_PATH: typing.Final = "/metrics"
# Each open call occupies a thread; the spare ones answer requests that are refused.
SPARE_THREADS: typing.Final = 24
# Open calls per megabyte of memory: a call was measured to take about 0.25 MB, and half
# of the memory is left for everything else.
CALLS_PER_MB: typing.Final = 1.1
MAX_CALLS: typing.Final = 320
# File descriptors: a call uses its caller's connection and one to an endpoint.  Files,
# the store, peers and the ports get a fixed number.  The rest is for callers' idle
# connections, of which a minimum is allowed even if too few descriptors are left.
DESCRIPTORS_PER_CALL: typing.Final = 2
OTHER_DESCRIPTORS: typing.Final = 400
MIN_IDLE_CONNECTIONS: typing.Final = 100
# Callers' connections per megabyte of memory.
CONNECTIONS_PER_MB: typing.Final = 8.0
# Periods of the background tasks, seconds.
ROLLOUT_STEP_S: typing.Final = 0.2
# Interval between log lines on the exposure of a rollout, seconds.
EXPOSURE_LOG_S: typing.Final = 2.0
HOUSEKEEPING_S: typing.Final = 1.0
# Interval at which endpoints with sends on record are checked for their end.
END_CHECK_S: typing.Final = 0.25
CLOCK_CHECK_S: typing.Final = 0.5
FULLNESS_CHECK_S: typing.Final = 0.25
# Longest time between two clock checks on a busy machine, seconds; a longer one counts
# as a gap.
MAX_CLOCK_CHECK_S: typing.Final = 1.0
# Each read of changes is a billed call to the store, so changes are gathered: orders
# for this many seconds, endpoints for this share of the time in which a leaving
# endpoint may still get requests.
GATHER_ORDERS_S: typing.Final = 0.1
GATHER_ENDPOINTS_SHARE: typing.Final = 0.25
# In a planned stop every request is accepted for this many seconds or for this share of
# the grace period, whichever is shorter.  After that only requests are accepted whose
# route's time-out ends before the stop's deadline, which is a share of the grace period
# too.  A limit learned from the routes' answers (twice the longest recent one) cut off
# streams on loaded engines.
ACCEPT_ALL_S: typing.Final = 2.8
ACCEPT_ALL_SHARE: typing.Final = 0.4
STOP_DEADLINE_SHARE: typing.Final = 0.92
# Time in which the balancer may still send new callers after the readiness check fails,
# seconds.
BALANCER_DELAY_S: typing.Final = 3.5
# Time between the last accepted request and the end of the stop, seconds.
CLOSE_WAIT_S: typing.Final = 0.15
# Longest time in which the calls that are still in progress then get a final answer;
# each looks for the end of the stop at an interval of half of it.
END_WAIT_S: typing.Final = 2 * gateway_sender.CHECK_INTERVAL_S


class Gateway:
    """The parts and the background tasks of one gateway process."""

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
            evidence_,
            bounds.session_s,
            bounds.canary_slack,
            lambda: self.mesh.peak_gateways(),
            self.directory.versions,
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
        self._set_machine_size()
        self.mesh.own_on_old_version = self._count_on_old_version
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
            held_rows.HeldRows(
                clock_, self.store_clock, store, dialect.tables.own, self.quarantine
            ),
        )
        self.allowance = retry_allowance.AllowanceTask(
            cfg.vm,
            clock_,
            store,
            dialect.tables.allowances,
            self.epochs,
            bounds.budget_allowance,
            bounds.budget_window_s,
            lambda: self.mesh.peak_gateways(),
            lambda service, parts: self.budget.hold(service, parts),
        )
        self.budget = retry_budget.RetryBudget(
            bounds.budget_ratio, bounds.budget_window_s, clock_, self.allowance
        )
        self.delays = own_delays.OwnDelays(
            clock_.now(),
            own_delays.is_small_machine(cfg.cpu_cores, cfg.link_mbps),
            cfg.link_mbps,
        )
        self.admission = gateway_admission.Admission(
            clock_, self.directory, self.mesh, cfg.capacity_control
        )
        self.mesh.own_demand = self.admission.own_demand
        self.server = self._make_server()
        # The account of bytes held for callers; ``None`` where they are not bounded.
        self.account: held_bytes.Account | None = None
        if cfg.bounds_held_bytes and mechanisms.HELD_BYTES.on:
            self.account = held_bytes.Account(cfg.memory_mb, self._max_calls())
        self.body_memory = body_memory.BodyMemory(clock_, cfg.memory_mb)
        self.leaving = False
        self.fullness = gateway_fullness.Fullness(clock_, self._max_calls())
        self.mesh.own_calls = lambda: gateway_fullness.PeerCalls(
            self.server.open_calls, self.fullness.is_full
        )
        threads = self._max_calls() + SPARE_THREADS
        self.port = gateway_http.CallPort(
            gateway_http.parse_address(cfg.listen),
            threads,
            self._serve,
            clock_,
            lambda: self.leaving,
            self._max_idle_connections(),
            self.account,
            self.server.refuse,
            self.body_memory,
            self._max_connections(),
        )
        self.port.is_overfull = self._is_overfull
        self.ready_port = gateway_http.TextPort(
            gateway_http.parse_address(cfg.ready_listen),
            {dialect.ready_path: self._answer_ready},
            clock_,
        )
        self.metrics_port = None
        if cfg.metrics_port:
            self.metrics_port = gateway_http.TextPort(
                (cfg.host, cfg.metrics_port),
                {METRICS_PATH: self._answer_metrics},
                clock_,
            )
        self._tasks = [
            periodic.Periodic("rollouts", ROLLOUT_STEP_S, self._step_rollouts),
            periodic.Periodic("exposure", EXPOSURE_LOG_S, self.rollouts.log_exposure),
            periodic.Periodic("housekeeping", HOUSEKEEPING_S, self._run_housekeeping),
            periodic.Periodic("ends", END_CHECK_S, self._check_ends),
            periodic.Periodic("clocks", CLOCK_CHECK_S, self._check_clocks),
            periodic.Periodic("fullness", FULLNESS_CHECK_S, self._check_fullness),
        ]
        if self.delays.is_on:
            period_s = own_delays.CHECK_INTERVAL_S / (1 + periodic.JITTER)
            self._tasks.append(
                periodic.Periodic("delays", period_s, self._check_delays)
            )
        self._gap_detector = clock.GapDetector(clock_, MAX_CLOCK_CHECK_S)
        # Number of the configuration whose limits are applied.
        self._limits_number = -1

    # -- Start and stop --

    def start(self) -> None:
        """Start to follow the store, and open the ports.

        The store is asked first: the threads of the port take 0.2 s to start on a third
        of a core, and the largest table is on its way in the meantime.
        """
        self.server.start_hold.start()
        threading.Thread(target=self.own_rows.run, name="own-rows", daemon=True).start()
        self.port.start()
        self.ready_port.start()
        if self.metrics_port is not None:
            self.metrics_port.start()
        self.mesh.start()
        self.allowance.start()
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Carry out a planned stop; no open request is cut before the deadline."""
        now = self.clock.now()
        grace_s = self.cfg.bounds.grace_s
        self.leaving = True
        self.mesh.leaving = True
        self.server.accept_all_until = now + min(
            ACCEPT_ALL_S, ACCEPT_ALL_SHARE * grace_s
        )
        self.server.stop_deadline = now + STOP_DEADLINE_SHARE * grace_s
        eventlog.info("leaving", open=self.server.open_calls, grace_s=grace_s)
        # New callers come until the balancer sees the failed readiness check; those on
        # keep-alive connections come for longer.
        clock.sleep_until(now + min(BALANCER_DELAY_S, 0.5 * grace_s), self.clock)
        drained = self.server.wait_idle(self.server.stop_deadline)
        # From here on every request is refused with a retry time, so that none is open
        # when the process ends.  The answers also tell callers on keep-alive
        # connections that their connection closes.
        self.server.stop_deadline = self.server.accept_all_until = self.clock.now()
        threading.Event().wait(CLOSE_WAIT_S)
        left = self.server.open_calls
        self.server.end_calls()
        self.server.wait_idle(self.clock.now() + END_WAIT_S)
        eventlog.info("drained", whole=drained, ended=left, open=self.server.open_calls)
        self.mesh.stop()

    def close(self) -> None:
        """Close the ports and end the background tasks."""
        for task in self._tasks:
            task.stop()
        self.server.start_hold.stop()
        self.own_rows.stop()
        self.allowance.stop()
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
        """Apply those settings that can change without a restart."""
        bounds = cfg.bounds
        self.cfg.bounds = bounds
        self.cfg.regions = cfg.regions
        self.cfg.cpu_cores, self.cfg.link_mbps = cfg.cpu_cores, cfg.link_mbps
        self.cfg.memory_mb = cfg.memory_mb
        self._set_machine_size()
        if self.account is not None:
            self.account.set_memory(cfg.memory_mb, self.clock.now())
        self.body_memory.set_memory(cfg.memory_mb)
        self.budget.set_bounds(bounds.budget_ratio, bounds.budget_window_s)
        self.allowance.set_bounds(bounds.budget_allowance, bounds.budget_window_s)
        eventlog.info("reloaded", grace_s=bounds.grace_s)

    def _set_machine_size(self) -> None:
        cfg = self.cfg
        size = machine_size.machine_size(cfg.cpu_cores, cfg.link_mbps, cfg.memory_mb)
        self.mesh.machine_size = size
        eventlog.info(
            "machine-size",
            size=size,
            cores=cfg.cpu_cores,
            link_mbps=cfg.link_mbps,
            memory_mb=cfg.memory_mb,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the configuration, endpoints and rollout outcomes have been read."""
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
        self.invalid_rows = [
            self.orders.invalid,
            endpoint_rows.invalid,
            outcome_rows.invalid,
        ]
        gather_s = GATHER_ENDPOINTS_SHARE * self.cfg.bounds.drain_s
        cfg = self.cfg
        return [
            self._make_follower(
                tables.orders, self.orders, GATHER_ORDERS_S, lambda: cfg.bounds.config_s
            ),
            self._make_follower(
                tables.endpoints, endpoint_rows, gather_s, lambda: cfg.bounds.drain_s
            ),
            self._make_follower(
                tables.outcomes, outcome_rows, 0.0, lambda: cfg.bounds.rollback_s
            ),
        ]

    def _make_follower(
        self,
        table: str,
        sink: followers.Sink,
        gather_s: float,
        bound_s: typing.Callable[[], float],
    ) -> followers.Follower:
        """Build the follower of a table.

        :param gather_s: time for which changes are gathered, seconds.
        :param bound_s: time within which a change has to be in force, seconds.
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
            lambda: self.own_rows.await_first_read(),
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
            self.clock,
            self.dialect,
            self.directory,
            self.metrics,
            judge,
            gate,
            self.budget,
            self.delays,
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
            self.admission.allows_larger,
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
            gateway_startup.StartHold(
                self.clock,
                self.dialect,
                self.metrics,
                lambda: self.is_ready,
                lambda: startup_wait.expected_start_s(cfg.cpu_cores, cfg.link_mbps),
                startup_wait.max_held(self._max_calls()),
            ),
            self.admission,
        )

    def _services(self) -> dict[str, routes.Service]:
        """Return the services of the configuration in force by name."""
        return self.orders.table.services if self.orders.table else {}

    def _max_calls(self) -> int:
        if self.cfg.max_calls:
            return self.cfg.max_calls
        return min(MAX_CALLS, int(CALLS_PER_MB * self.cfg.memory_mb))

    def _max_idle_connections(self) -> int:
        """Return how many idle caller connections descriptors and memory allow."""
        calls = DESCRIPTORS_PER_CALL * self._max_calls()
        rest = min(
            self.cfg.max_fds - calls - OTHER_DESCRIPTORS,
            int(CONNECTIONS_PER_MB * self.cfg.memory_mb) - self._max_calls(),
        )
        return max(MIN_IDLE_CONNECTIONS, rest)

    def _max_connections(self) -> int:
        """Return how many caller connections may be open."""
        return self._max_idle_connections() + self._max_calls()

    def _count_on_old_version(self, service: str) -> int:
        """Return the number of our requests that run on a service's old version."""
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
        for service in self._services():
            self.rollouts.observe_versions(service)
        self.rollouts.judge_all()
        if not self.leaving:
            self.writer.step()

    def _check_clocks(self) -> None:
        """Report how long this process did not run.

        Nothing else has to be done: all ages and deadlines use a clock that went on
        meanwhile, so expired data counts as expired at the first check afterwards.
        """
        for gap in self._gap_detector.find_gaps():
            self.metrics.clock_gaps.labels(gap.kind).inc(gap.length_s)
            eventlog.warning("clock-gap", kind=gap.kind, length_s=gap.length_s)

    def _serve(self, inbound: gateway_call.Inbound, reply: gateway_call.Reply) -> None:
        self.delays.record_received(len(inbound.body), self.clock.now())
        self.server.serve(inbound, reply)

    def _check_ends(self) -> None:
        """Look for endpoints that have ended, for the quarantine."""
        services = self._services()

        def health_path(service: str) -> bytes:
            found = services.get(service)
            return found.health_path if found is not None else b""

        self._sender.check_ends(health_path)

    def _check_delays(self) -> None:
        """Record how late this task runs; others are late by as much."""
        late_s = self.delays.record_check(self.clock.now())
        if late_s:
            self.metrics.own_delays.labels("task").inc()
            eventlog.info("late", late_s=late_s, open=self.server.open_calls)

    def _check_fullness(self) -> None:
        """Judge whether to ask the balancer for no new connections."""
        open_calls, peers = self.server.open_calls, self.mesh.peer_calls()
        if self.fullness.update(open_calls, peers):
            eventlog.warning(
                "full" if self.fullness.is_full else "has-room",
                open=open_calls,
                max=self._max_calls(),
                peers=len(peers),
                peers_open=sum(peer.open_calls for peer in peers),
                peers_full=sum(peer.is_full for peer in peers),
                closed_unread=self.port.closed_unread,
            )

    def _is_overfull(self) -> bool:
        """Whether a new call would be refused here and likely served elsewhere."""
        has_none = self.server.open_calls >= self._max_calls()
        return has_none and self.fullness.others_have_room

    def _run_housekeeping(self) -> None:
        if not self.port.is_accepting:
            eventlog.warning("not-accepting", open=self.server.open_calls)
        self.directory.forget_gone()
        self.orders.end_restore_grace()
        self._sender.resolve_breaks()
        self.quarantine.forget_old()
        table = self.orders.table
        if table is not None and table.number != self._limits_number:
            self._limits_number = table.number
            self.port.set_limits(table.limits.body_bytes, table.limits.idle_s)
            services = table.services.values()
            self.directory.set_memory({s.name: s.memory for s in services})

    def _answer_ready(self) -> tuple[int, bytes]:
        is_ready = self.is_ready and self.port.is_accepting and not self.leaving
        is_ready = is_ready and not self.fullness.is_full
        return (200 if is_ready else 503), b""

    def _answer_metrics(self) -> tuple[int, bytes]:
        gateway_gauges.set_all(self)
        return 200, self.metrics.render()
