"""``gaprock-agent``: admission and relay for the endpoints of one VM.

It accepts requests from entries, admits or refuses them, relays the answers and
carries out fenced orders.  A planned stop reports *leaving* to every entry at once,
refuses new requests, waits until the running and queued ones have ended and their
ends are acknowledged, writes the remaining bills or hands them over, and exits.
"""

import sys
import threading
import typing

from gaprock import (
    agent_gate,
    agent_hub,
    agent_orders,
    bills,
    clock,
    config,
    config_store,
    daemon,
    eventlog,
    evidence,
    ids,
    metrics,
    options,
    options_flags,
    periodic,
    quarantine,
    services_api,
    wire,
)

DESCRIPTION: typing.Final = (
    "Stands before the endpoints of one VM: checks and admits requests from "
    "entries, relays answers, and carries out fenced orders."
)
# Agents read the table this many times less often than entries, as entries also send
# them the configuration.
POLL_FACTOR: typing.Final = 5
ACK_POLL_S: typing.Final = 0.05


class Agent:
    """One agent process: its components and its background tasks."""

    def __init__(
        self,
        cfg: options.Options,
        platform: services_api.Platform,
        clock_: clock.Clock | None = None,
    ) -> None:
        self.cfg = cfg
        self.clock = clock_ or clock.Clock()
        incarnation = ids.new_token()
        self.config = config.Config()
        self.evidence = evidence.EvidenceBook(f"{cfg.vm}/{incarnation}")
        self.bills = bills.BillBuffer(
            platform.table, bills.AGENT, cfg.max_bills, self.clock
        )
        self.store = config_store.ConfigStore(platform.table)
        self.quarantine = quarantine.Quarantine(self.clock)
        self.hub = agent_hub.Hub(
            cfg,
            self.clock,
            self.config,
            self.evidence,
            self.bills,
            incarnation,
            self.quarantine,
        )
        self.bills.written = self.hub.bills_written
        self.gate = agent_gate.Gate(
            cfg,
            self.clock,
            self.config,
            self.bills,
            metrics.Metrics(cfg.statsd_host, cfg.statsd_port, "gaprock"),
            self.hub.post,
            self.quarantine,
        )
        self.hub.gate = self.gate
        self.hub.orders = agent_orders.Orders(platform.table, self.gate)
        self._auth = wire.start_auth(self.hub.context, cfg)
        poll_s = cfg.config_poll_s * POLL_FACTOR
        self._tasks = [
            periodic.Periodic("config", poll_s, self._refresh_config),
            periodic.Periodic("bills", cfg.bill_write_s, self._write_bills),
            periodic.Periodic("loads", cfg.beat_s, self._refresh_loads),
            periodic.Periodic("ends", cfg.beat_s, self.gate.check_ends),
        ]

    def start(self) -> None:
        """Start serving."""
        self._refresh_loads()
        self.hub.start()
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Carry out a planned stop.

        No request in flight is cut that ends within ``drain_s``.
        """
        self.gate.leaving = True
        self.hub.report_now()
        eventlog.info("leaving", running=self.hub.open_runs)
        deadline = self.clock.now() + self.cfg.drain_s
        drained = self.gate.drain(deadline) and self._wait_acknowledged(deadline)
        eventlog.info("drained", whole=drained)
        for task in self._tasks:
            task.stop()
        self._flush_bills()
        # The authenticator holds a socket of the hub's context, which ends last.
        if self._auth is not None:
            self._auth.stop()
        self.hub.stop()

    def _refresh_config(self) -> None:
        delta = self.store.read_since(self.config.revision, self.config.ready)
        if delta is not None and self.config.apply(delta):
            eventlog.info("config-in-force", revision=self.config.revision)
            self.hub.report_now()

    def _write_bills(self) -> None:
        while self.bills.write_due():
            continue

    def _refresh_loads(self) -> None:
        for slot in self.gate.slots.values():
            slot.refresh()
        self.quarantine.forget_old()

    def _wait_acknowledged(self, deadline: float) -> bool:
        """Wait until live entries have acknowledged the ends of all answers.

        :returns: whether they did so before the deadline.
        """
        while self.hub.open_runs:
            if self.clock.now() >= deadline:
                return False
            threading.Event().wait(ACK_POLL_S)
        return True

    def _flush_bills(self) -> None:
        """Write the remaining bills; hand them to entries if the table is down."""
        for owner in self.bills.owners():
            self.bills.schedule_bills_of(owner, self.clock.now())
        try:
            self._write_bills()
        except services_api.PlatformError as exc:
            eventlog.warning("platform-down", task="last-bills", error=exc)
        held = self.bills.copy_all()
        if held and self.hub.hand_over(held):
            self.bills.wait_empty(self.clock.now() + bills.HANDOVER_S)
        eventlog.info("bills-left", handed_over=len(held), lost=len(self.bills))


def make(cfg: options.Options) -> Agent:
    """Create an agent with the platform's services."""
    return Agent(cfg, services_api.connect(cfg))


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    return daemon.main(options_flags.AGENT, DESCRIPTION, make, argv)


if __name__ == "__main__":
    sys.exit(main())
