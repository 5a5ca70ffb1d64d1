"""``gaprock-entry``: the HTTP front end for callers and operators, on an entry VM.

The process starts in this order: settings, the configuration from the table or from
agents, links, background tasks, and last the HTTP port.  In a planned stop, the
health check fails first; then new requests are refused, open requests end, and
unwritten bills are written or handed over to agents.
"""

import sys
import typing

from gaprock import (
    bills,
    claims,
    clock,
    config,
    config_store,
    daemon,
    decisions,
    entry_bodies,
    entry_call,
    entry_dispatch,
    entry_duties,
    entry_guard,
    entry_http,
    entry_judge,
    entry_link,
    entry_links,
    entry_operator,
    entry_publish,
    entry_serve,
    entry_sessions,
    eventlog,
    evidence,
    ids,
    lease,
    messages,
    metrics,
    options,
    options_flags,
    periodic,
    plugin,
    policy_api,
    services_api,
    sessions,
    table_batch,
)

DESCRIPTION: typing.Final = (
    "Serves callers and operators over HTTP and chooses the model, version and "
    "endpoint of each request. Every setting is a flag or a variable."
)
CLAIMS_INTERVAL_S: typing.Final = 0.5
GUARD_INTERVAL_S: typing.Final = 0.25
QUARANTINE_INTERVAL_S: typing.Final = 1.0
# How long a planned stop waits for the final answers of calls that outlast it, and how
# often it ends those that were sent again, seconds.
END_WAIT_S: typing.Final = 1.0
END_POLL_S: typing.Final = 0.1


class Entry:
    """One entry process: its components and background tasks."""

    def __init__(
        self,
        cfg: options.Options,
        platform: services_api.Platform,
        clock_: clock.Clock | None = None,
    ) -> None:
        self.cfg = cfg
        self.clock = clock_ or clock.Clock()
        self.platform = platform
        identity = f"{cfg.vm}/{ids.new_token()}"
        self.config = config.Config()
        self.evidence = evidence.EvidenceBook(identity)
        self.bills = bills.BillBuffer(
            platform.table, bills.ENTRY, cfg.max_bills, self.clock
        )
        self.bills.written = self._release_bills
        shared = entry_link.SharedState(
            cfg, self.clock, self.config, self.evidence, self.bills, identity
        )
        self.links = entry_links.Links(shared)
        shared.on_change = self.links.broadcast
        store = config_store.ConfigStore(platform.table)
        self.publisher = entry_publish.Publisher(self.config, store, self.links)
        self.lease = lease.Lease(platform.table, identity, self.clock, cfg.lease_s)
        self.batcher = table_batch.Batcher(platform.table, self.clock)
        self.claims = claims.Claims(
            platform.table, platform.objects, self.batcher, self.clock, identity
        )
        self.metrics = metrics.Metrics(cfg.statsd_host, cfg.statsd_port, "gaprock")
        self.decisions = decisions.Decisions()
        cascade = plugin.find(policy_api.Cascade, cfg.cascade)()
        self.judge = entry_judge.Judge(
            cfg, platform.rater, cascade, self.config, self.evidence
        )
        signer = sessions.Signer(cfg.session_keys)
        self.parser = entry_call.Parser(cfg, self.clock, self.config, signer)
        self.dispatcher = entry_dispatch.Dispatcher(
            cfg,
            self.clock,
            self.config,
            self.links,
            self.judge,
            plugin.find(policy_api.Routing, cfg.routing)(),
            self.decisions,
            self.metrics,
            shared.quarantine,
        )
        self.quarantine = shared.quarantine
        self.server = entry_serve.Server(
            cfg,
            self.clock,
            self.config,
            self.links,
            self.claims,
            self.bills,
            self.judge,
            cascade,
            self.dispatcher,
            signer,
            self.decisions,
            self.metrics,
        )
        self.sessions = entry_sessions.SessionApi(
            self.clock, self.parser, self.server, signer, self.batcher
        )
        self.operator = entry_operator.OperatorApi(
            cfg,
            self.clock,
            self.config,
            platform.table,
            self.publisher,
            self.links,
            self.server,
            self.dispatcher.budget,
            self.decisions,
            self.evidence,
            self.lease,
            self.bills.__len__,
        )
        self.duties = entry_duties.Duties(
            self.clock,
            self.config,
            platform.table,
            store,
            self.lease,
            self.publisher,
            self.links,
            self.evidence,
            plugin.find(policy_api.Placement, cfg.placement)(),
        )
        self.guard = entry_guard.GuardTask(
            self.config,
            self.evidence,
            plugin.find(policy_api.Guard, cfg.guard)(),
            self.publisher,
        )
        self.health = entry_http.Health(lambda: self.config.ready)
        self._tasks = self._make_tasks()

    def start(self) -> None:
        """Start everything except the HTTP port."""
        self.batcher.start()
        self.links.start()
        for task in self._tasks:
            task.start()

    def root(self) -> entry_http.Root:
        """Build the WSGI application of the HTTP port."""
        return entry_http.Root(
            self.cfg,
            self.config,
            self.parser,
            self.server,
            self.sessions,
            self.operator,
            self.health,
            self.metrics,
            entry_bodies.BodyBudget(self.clock, self.cfg.max_bodies),
        )

    def stop(self) -> None:
        """Carry out a planned stop; no open request is cut within ``drain_s``."""
        self.health.leaving = True
        eventlog.info("leaving", open=self.server.open_requests)
        clock.sleep_until(self.clock.now() + self.cfg.linger_s, self.clock)
        self.server.leaving = True
        drained = self.server.drain(self.clock.now() + self.cfg.drain_s)
        left = self.server.open_requests
        self._end_calls()
        eventlog.info(
            "drained", whole=drained, ended=left, open=self.server.open_requests
        )
        for task in self._tasks:
            task.stop()
        self.duties.stop()
        self.judge.stop()
        self._flush_bills()
        self._write_claim_outcomes()
        self.batcher.stop()
        self.links.stop()

    def _end_calls(self) -> None:
        """Give the calls in progress their final answer, though endpoints work.

        One that may be repeated is sent again meanwhile, and ended again.
        """
        until = self.clock.now() + END_WAIT_S
        while self.server.open_requests and self.clock.now() < until:
            self.links.end_attempts("the entry stops")
            self.server.drain(self.clock.now() + END_POLL_S)

    def _make_tasks(self) -> list[periodic.Periodic]:
        cfg = self.cfg
        return [
            periodic.Periodic("config", cfg.config_poll_s, self.publisher.refresh),
            periodic.Periodic("vm-list", cfg.vm_poll_s, self._apply_vm_list),
            periodic.Periodic("bills", cfg.bill_write_s, self._write_bills),
            periodic.Periodic(
                "claims", CLAIMS_INTERVAL_S, self.claims.write_open_outcomes
            ),
            periodic.Periodic(
                "urgent", cfg.config_poll_s, self.publisher.write_pending_urgent
            ),
            periodic.Periodic("guard", GUARD_INTERVAL_S, self.guard.check),
            periodic.Periodic(
                "quarantine", QUARANTINE_INTERVAL_S, self.quarantine.forget_old
            ),
            periodic.Periodic("duties", cfg.lease_s / 4, self.duties.step),
        ]

    def _apply_vm_list(self) -> None:
        self.links.apply_vm_list(self.platform.vm_list.vms())

    def _write_bills(self) -> None:
        while self.bills.write_due():
            continue

    def _release_bills(self, owner: str, keys: list[str]) -> None:
        link = self.links.get(owner)
        if link is not None:
            link.send(messages.BillsReleased(keys))

    def _flush_bills(self) -> None:
        """Write the remaining bills; if the table is down, hand them to agents."""
        try:
            self._write_bills()
        except services_api.PlatformError as exc:
            eventlog.warning("platform-down", task="last-bills", error=exc)
        held = self.bills.copy_all()
        usable = [link for link in self.links.all() if link.usable]
        usable.sort(key=lambda link: link.last_seen_at, reverse=True)
        for link in usable[: bills.HANDOVER_COPIES]:
            link.send(messages.BillsHandover(held))
        if held and usable:
            self.bills.wait_empty(self.clock.now() + bills.HANDOVER_S)
        eventlog.info("bills-left", handed_over=len(held), lost=len(self.bills))

    def _write_claim_outcomes(self) -> None:
        if self.claims.write_open_outcomes():
            eventlog.warning("claims-left-open")


class EntryProgram:
    """The daemon: an entry with its HTTP port."""

    __slots__ = ("_entry",)

    def __init__(self, cfg: options.Options) -> None:
        self._entry = Entry(cfg, services_api.connect(cfg))

    def start(self) -> None:
        """Start serving; the port opens last."""
        self._entry.start()
        entry_http.serve(self._entry.cfg, self._entry.root())

    def stop(self) -> None:
        """Carry out a planned stop; the port closes last."""
        self._entry.stop()
        entry_http.stop()


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    return daemon.main(options_flags.ENTRY, DESCRIPTION, EntryProgram, argv)


if __name__ == "__main__":
    sys.exit(main())
