"""The agent's connection to the entries: one socket, served by one thread.

The thread passes arriving messages to the gate and sends the messages that runs
have posted.  All queued messages are sent together, and the parts for one entry
are joined into one message.
"""

import functools
import math
import threading
import typing

import zmq

from gaprock import (
    agent_gate,
    agent_orders,
    agent_run,
    bills,
    clock,
    config,
    errorcodes,
    errors,
    eventlog,
    evidence,
    mailbox,
    messages,
    options,
    quarantine,
    suspicion,
    wire,
)

READ_BURST: typing.Final = 200
# Interval at which the deadlines of queued requests are checked.
EXPIRE_INTERVAL_S: typing.Final = 0.02
# Attempt numbers kept per entry, to recognize a request that never arrived.
MAX_SEEN_ATTEMPTS: typing.Final = 20_000
# An entry without open requests is forgotten after this long a silence.
FORGET_S: typing.Final = 60.0
# A report lists the entries when one joined, left or changed its revision, otherwise
# only once in this many reports: the list is most of a report's bytes.
REPORTS_PER_ENTRY_LIST: typing.Final = 10

Outgoing = messages.Message | messages.Part


class Peer:
    """One entry process, as this agent sees it."""

    __slots__ = (
        "identity",
        "beat",
        "last_seen_at",
        "runs",
        "seen",
        "is_silent",
        "needs_full_report",
    )

    def __init__(self, identity: bytes) -> None:
        self.identity = identity
        self.beat: messages.Beat | None = None
        self.last_seen_at = 0.0
        # Requests whose end the entry has not acknowledged, by attempt number.
        self.runs: dict[int, agent_run.Run] = {}
        # The attempt numbers that arrived last, in order of arrival.
        self.seen: dict[int, None] = {}
        # Whether its requests were cancelled after a long silence.
        self.is_silent = False
        # Whether its next report must hold all evidence rather than the changes.
        self.needs_full_report = True

    @property
    def name(self) -> str:
        """The entry's identity as text."""
        return self.identity.decode("utf-8", "replace")

    def record_attempt(self, attempt: int) -> bool:
        """Record an attempt number; return whether it is new."""
        if attempt in self.seen:
            return False
        self.seen[attempt] = None
        if len(self.seen) > MAX_SEEN_ATTEMPTS:
            del self.seen[next(iter(self.seen))]
        return True


class Hub:
    """Exchanges messages with the entries."""

    def __init__(
        self,
        cfg: options.Options,
        clock_: clock.Clock,
        config_: config.Config,
        evidence_: evidence.EvidenceBook,
        bills_: bills.BillBuffer,
        incarnation: str,
        quarantine_: quarantine.Quarantine,
    ) -> None:
        self._cfg = cfg
        self._clock = clock_
        self._config = config_
        self._evidence = evidence_
        self._bills = bills_
        self._incarnation = incarnation
        self._quarantine = quarantine_
        # When a report last listed every held request.
        self._held_sent_at = -clock.NEVER
        self.context: zmq.Context[typing.Any] = zmq.Context()
        self._mailbox: mailbox.Mailbox[tuple[bytes, Outgoing]] = mailbox.Mailbox()
        self._peers: dict[bytes, Peer] = {}
        self.gate: agent_gate.Gate
        self.orders: agent_orders.Orders
        self.port = cfg.agent_port
        self._report_at = 0.0
        self._evidence_tick = 0
        # The entries' revisions in the last report that listed them, and the number of
        # reports since.
        self._reported_revisions: dict[str, int] = {}
        self._reports_since = 0
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="hub", daemon=True)
        self._sock = wire.open_router(self.context, cfg)

    # -- For other threads --

    def start(self) -> None:
        """Bind the port and start the thread."""
        if self._cfg.agent_port:
            self._sock.bind(f"tcp://{self._cfg.host}:{self._cfg.agent_port}")
        else:
            self.port = self._sock.bind_to_random_port(f"tcp://{self._cfg.host}")
        self._thread.start()

    def stop(self) -> None:
        """Send all queued messages and close the port."""
        self._stopped = True
        self.post(b"", messages.ConfigWanted(0))
        self._thread.join()
        self._mailbox.close()
        self.context.term()

    def post(self, identity: bytes, msg: Outgoing) -> None:
        """Queue a message to an entry; an empty identity only wakes the thread."""
        self._mailbox.put((identity, msg))

    def report_now(self) -> None:
        """Send a report to all entries at once."""
        self._report_at = 0.0
        self.post(b"", messages.ConfigWanted(0))

    def bills_written(self, owner: str, keys: list[str]) -> None:
        """Tell the other holder of bills that they are in the table."""
        self.post(owner.encode(), messages.BillsReleased(keys))

    def hand_over(self, held: list[messages.Bill]) -> bool:
        """Hand bills over to the entries that were heard from most recently.

        :returns: whether there is such an entry.
        """
        peers = sorted(self._live_peers(), key=lambda p: p.last_seen_at, reverse=True)
        for peer in peers[: bills.HANDOVER_COPIES]:
            self.post(peer.identity, messages.BillsHandover(held))
        return bool(peers)

    @property
    def open_runs(self) -> int:
        """The number of requests whose end a live entry has not acknowledged."""
        return sum(len(peer.runs) for peer in self._live_peers())

    # -- The hub's own thread --

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._sock, zmq.POLLIN)
        poller.register(self._mailbox.fileno(), zmq.POLLIN)
        while not self._stopped:
            poller.poll(math.ceil(self._poll_timeout_s() * 1000))
            self._read_waiting()
            self._send_waiting()
            if self.gate.queued:
                self.gate.expire()
            if self._clock.now() >= self._report_at:
                self._send_reports()
        self._send_waiting()
        self._sock.close(linger=500)

    def _poll_timeout_s(self) -> float:
        left = clock.remaining(self._report_at, self._clock)
        return min(left, EXPIRE_INTERVAL_S) if self.gate.queued else left

    def _send_waiting(self) -> None:
        """Send all queued messages, joining the parts for each entry."""
        parts: dict[bytes, list[messages.Part]] = {}
        for identity, msg in self._mailbox.drain():
            if isinstance(msg, messages.Part):
                parts.setdefault(identity, []).append(msg)
                continue
            # The end of an answer must not be sent before its parts.
            if identity in parts:
                self._send(identity, messages.Parts(parts.pop(identity)))
            if identity:
                self._send(identity, msg)
        for identity, some in parts.items():
            self._send(identity, messages.Parts(some))

    def _send(self, identity: bytes, msg: messages.Message) -> None:
        self._send_bytes(identity, messages.encode(msg))

    def _send_bytes(self, identity: bytes, data: bytes) -> None:
        try:
            self._sock.send_multipart([identity, data], zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            # The entry is not connected; it sends ``Resume`` when it reconnects.
            eventlog.debug("send-failed", peer=identity, error=exc)

    def _read_waiting(self) -> None:
        for _ in range(READ_BURST):
            try:
                frames = self._sock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle_frames(frames)

    def _handle_frames(self, frames: list[bytes]) -> None:
        try:
            if len(frames) != 2:
                raise errors.GaprockError(errorcodes.UNDECODABLE, "frames")
            msg = messages.decode(frames[1])
        except errors.GaprockError as exc:
            eventlog.warning("undecodable", peer=frames[0], error=exc)
            return
        peer = self._peers.get(frames[0])
        if peer is None:
            peer = self._peers[frames[0]] = Peer(frames[0])
            self._report_at = 0.0
        peer.last_seen_at = self._clock.now()
        peer.is_silent = False
        try:
            self.handle(msg, peer)
        except Exception as exc:
            # A fault in handling one message must not stop the service for all entries.
            kind = type(msg).__name__
            eventlog.warning("handler-failed", kind=kind, error=repr(exc))

    # -- Reports --

    def _send_reports(self) -> None:
        now = self._clock.now()
        self._report_at = now + self._cfg.beat_s
        self._check_peers(now)
        tick, changed = self._evidence.since(self._evidence_tick)
        self._evidence_tick = tick
        known = self._known_entries()
        data = messages.encode(self._report(changed, known))
        for peer in self._live_peers():
            if peer.needs_full_report:
                peer.needs_full_report = False
                full = self._report(self._evidence.since(0)[1], known)
                self._send(peer.identity, full)
            else:
                self._send_bytes(peer.identity, data)

    def _report(
        self, changed: list[messages.Evidence], known: list[messages.Known]
    ) -> messages.Report:
        return messages.Report(
            self._cfg.vm,
            self._incarnation,
            self._cfg.hall,
            self._config.revision if self._config.ready else -1,
            self.orders.epoch,
            self._config.urgent,
            self.gate.leaving,
            self.gate.loads(),
            changed,
            known,
            self._suspects(),
        )

    def _suspects(self) -> list[suspicion.SuspectUpdate]:
        """Return the suspects that this agent found or an entry reported."""
        now = self._clock.now()
        include_held = now >= self._held_sent_at + quarantine.HELD_RESEND_S
        if include_held:
            self._held_sent_at = now
        origins = (suspicion.Origin.OWN, suspicion.Origin.NEAR)
        return self._quarantine.updates(origins, include_held)

    def _known_entries(self) -> list[messages.Known]:
        """Return the entries' revisions if this report is to list them."""
        known = [
            messages.Known(peer.name, peer.beat.revision, peer.last_seen_at)
            for peer in self._live_peers()
            if peer.beat is not None
        ]
        revisions = {entry.process: entry.revision for entry in known}
        self._reports_since += 1
        due = self._reports_since >= REPORTS_PER_ENTRY_LIST
        if revisions == self._reported_revisions and not due:
            return []
        self._reported_revisions = revisions
        self._reports_since = 0
        return known

    def _live_peers(self) -> list[Peer]:
        since = self._clock.now() - self._cfg.silent_s
        return [
            peer for peer in list(self._peers.values()) if peer.last_seen_at >= since
        ]

    def _check_peers(self, now: float) -> None:
        """Cancel the requests of silent entries and let their bills be written.

        Entries that stay silent for longer are forgotten.
        """
        for peer in list(self._peers.values()):
            silent_s = now - peer.last_seen_at
            self._resend_ends(peer, now)
            if silent_s > self._cfg.stream_silent_s and not peer.is_silent:
                peer.is_silent = True
                self._cancel_runs(peer)
            if silent_s > self._cfg.bill_patience_s:
                self._bills.schedule_bills_of(peer.name, now)
            if silent_s > FORGET_S and not peer.runs:
                del self._peers[peer.identity]

    def _resend_ends(self, peer: Peer, now: float) -> None:
        """Post ends that were not acknowledged again: a message may have been lost."""
        for run in list(peer.runs.values()):
            run.resend_end(now - self._cfg.silent_s)

    def _cancel_runs(self, peer: Peer) -> None:
        eventlog.warning("entry-silent", entry=peer.name, runs=len(peer.runs))
        for run in peer.runs.values():
            self.gate.cancel(run)
        peer.runs.clear()
        peer.needs_full_report = True

    # -- Arriving messages --

    @functools.singledispatchmethod
    def handle(self, msg: messages.Message, peer: Peer) -> None:
        """Handle one message from an entry."""
        eventlog.warning("unexpected", peer=peer.name, kind=type(msg).__name__)

    @handle.register
    def _(self, msg: messages.Beat, peer: Peer) -> None:
        peer.beat = msg
        self.orders.record_epoch(msg.epoch)
        self._evidence.merge(msg.evidence)
        self._quarantine.merge(msg.suspects, is_far=False)
        if self._config.add_urgent(msg.urgent):
            eventlog.warning("urgent-from-entry", keys=",".join(msg.urgent))
            self._report_at = 0.0
        self._compare_config(msg.revision, peer)

    @handle.register
    def _(self, msg: messages.Start, peer: Peer) -> None:
        if not peer.record_attempt(msg.attempt):
            return
        run = agent_run.Run(peer.identity, msg, self.post, self._clock)
        peer.runs[msg.attempt] = run
        if msg.revision > self._config.revision:
            self.post(peer.identity, messages.ConfigWanted(self._config.revision))
        self.gate.submit(run)

    @handle.register
    def _(self, msg: messages.Ack, peer: Peer) -> None:
        run = peer.runs.get(msg.attempt)
        if run is None:
            return
        run.ack(msg.next_seq)
        if run.ended and msg.next_seq >= run.count:
            del peer.runs[msg.attempt]

    @handle.register
    def _(self, msg: messages.Cancel, peer: Peer) -> None:
        run = peer.runs.pop(msg.attempt, None)
        if run is not None:
            self.gate.cancel(run, msg.is_superseded)

    @handle.register
    def _(self, msg: messages.Resume, peer: Peer) -> None:
        run = peer.runs.get(msg.attempt)
        if run is not None:
            run.resend(msg.next_seq)
            return
        self._answer_unknown(msg, peer)

    @handle.register
    def _(self, msg: messages.ConfigDelta, peer: Peer) -> None:
        if self._config.apply(msg):
            eventlog.info("config-in-force", revision=msg.revision)
            self._report_at = 0.0

    @handle.register
    def _(self, msg: messages.ConfigWanted, peer: Peer) -> None:
        self._send(peer.identity, self._config.delta_since(max(0, msg.revision)))

    @handle.register
    def _(self, msg: messages.BillsReleased, peer: Peer) -> None:
        self._bills.forget(msg.keys)

    @handle.register
    def _(self, msg: messages.BillsHandover, peer: Peer) -> None:
        for bill in msg.bills:
            self._bills.hold(bill, [], self._clock.now())
        keys = [bill.key for bill in msg.bills]
        self._send(peer.identity, messages.BillsReleased(keys))

    @handle.register
    def _(self, msg: messages.Goodbye, peer: Peer) -> None:
        del self._peers[peer.identity]
        for run in peer.runs.values():
            self.gate.cancel(run)
        self._bills.schedule_bills_of(peer.name, self._clock.now())

    @handle.register
    def _(self, msg: messages.Order, peer: Peer) -> None:
        identity = peer.identity
        threading.Thread(
            target=lambda: self.post(identity, self.orders.carry_out(msg)),
            name=f"order-{msg.order}",
            daemon=True,
        ).start()

    def _answer_unknown(self, msg: messages.Resume, peer: Peer) -> None:
        """Answer a ``Resume`` for an attempt that has no run here.

        Messages of one connection stay in order.  So if the request was sent to this
        same process and did not arrive before its ``Resume``, it was lost on the way.
        Recording the number ensures that it is not run if it arrives after all.
        """
        never_came = peer.record_attempt(msg.attempt)
        if never_came and msg.incarnation == self._incarnation:
            code = errorcodes.ENDPOINT_UNREACHABLE.number
            refused = messages.Refused(msg.attempt, code, "lost on the way", 0.0)
            self._send(peer.identity, refused)
            return
        code = errorcodes.OUTCOME_UNKNOWN.number
        detail = "its agent no longer knows it"
        end = messages.End(msg.attempt, 0, code, detail, 0, "", -1.0, None)
        self._send(peer.identity, end)

    def _compare_config(self, revision: int, peer: Peer) -> None:
        mine = self._config
        my_revision = mine.revision if mine.ready else -1
        if revision > my_revision:
            self._send(peer.identity, messages.ConfigWanted(my_revision))
        elif revision < my_revision:
            self._send(peer.identity, mine.delta_since(max(0, revision)))
