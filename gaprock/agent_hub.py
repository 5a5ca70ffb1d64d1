"""An agent's port for entries: one socket, one thread.

The thread hands arriving messages to the gate, and sends what runs have posted:
all that waits goes out together, the parts for one entry in one message.
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
    wire,
)

READ_BURST: typing.Final = 200
# While requests wait, their deadlines are looked at this often, seconds.
EXPIRE_S: typing.Final = 0.02
# Attempt numbers remembered per entry, to know a request that never came.
MAX_SEEN: typing.Final = 20_000
# An entry that was silent for this long is forgotten, seconds.
FORGET_S: typing.Final = 60.0
# Reports name the entries when one has a new revision, else only each so many times:
# their names are most of a report's bytes.
NAME_ENTRIES_EVERY: typing.Final = 10

Outgoing = messages.Message | messages.Part


class Peer:
    """One entry process."""

    __slots__ = ("identity", "beat", "heard_at", "runs", "seen", "gone", "new")

    def __init__(self, identity: bytes) -> None:
        self.identity = identity
        self.beat: messages.Beat | None = None
        self.heard_at = 0.0
        # Requests that the entry has not done with.
        self.runs: dict[int, agent_run.Run] = {}
        # Every attempt number that came, in order.
        self.seen: dict[int, None] = {}
        # Whether it was silent for so long that its requests were cancelled.
        self.gone = False
        # Whether it needs all evidence rather than what changed.
        self.new = True

    @property
    def name(self) -> str:
        """The entry's identity as text."""
        return self.identity.decode("utf-8", "replace")

    def note(self, attempt: int) -> bool:
        """Remember an attempt's number; false when it came before."""
        if attempt in self.seen:
            return False
        self.seen[attempt] = None
        if len(self.seen) > MAX_SEEN:
            del self.seen[next(iter(self.seen))]
        return True


class Hub:
    """The port for entries."""

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
        # When all requests that are held were last told.
        self._held_told_at = -clock.NEVER
        self.context: zmq.Context[typing.Any] = zmq.Context()
        self._mailbox: mailbox.Mailbox[tuple[bytes, Outgoing]] = mailbox.Mailbox()
        self._peers: dict[bytes, Peer] = {}
        self.gate: agent_gate.Gate
        self.orders: agent_orders.Orders
        self.port = cfg.agent_port
        self._report_at = 0.0
        self._evidence_tick = 0
        # The entries' revisions as they were reported last, and reports since.
        self._reported: dict[str, int] = {}
        self._reports_since = 0
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="hub", daemon=True)
        self._sock = wire.open_router(self.context, cfg)

    # -- For other threads --

    def start(self) -> None:
        """Bind the port and serve in the background."""
        if self._cfg.agent_port:
            self._sock.bind(f"tcp://{self._cfg.host}:{self._cfg.agent_port}")
        else:
            self.port = self._sock.bind_to_random_port(f"tcp://{self._cfg.host}")
        self._thread.start()

    def stop(self) -> None:
        """Send what waits and close the port."""
        self._stopped = True
        self.post(b"", messages.ConfigWanted(0))
        self._thread.join()
        self._mailbox.close()
        self.context.term()

    def post(self, identity: bytes, msg: Outgoing) -> None:
        """Send a message to an entry."""
        self._mailbox.put((identity, msg))

    def report_now(self) -> None:
        """Send a heartbeat without waiting for its time."""
        self._report_at = 0.0
        self.post(b"", messages.ConfigWanted(0))

    def bills_written(self, owner: str, keys: list[str]) -> None:
        """Tell the other holder that bills are in the table."""
        self.post(owner.encode(), messages.BillsReleased(keys))

    def hand_over(self, held: list[messages.Bill]) -> bool:
        """Hand bills to the entries that were heard last.

        :returns: false when there is none.
        """
        peers = sorted(self._live_peers(), key=lambda p: p.heard_at, reverse=True)
        for peer in peers[: bills.HANDOVER_COPIES]:
            self.post(peer.identity, messages.BillsHandover(held))
        return bool(peers)

    @property
    def open_runs(self) -> int:
        """Requests whose answer an entry has not taken whole yet."""
        return sum(len(peer.runs) for peer in self._live_peers())

    # -- The hub's own thread --

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._sock, zmq.POLLIN)
        poller.register(self._mailbox.fileno(), zmq.POLLIN)
        while not self._stopped:
            poller.poll(math.ceil(self._pause_s() * 1000))
            self._read_waiting()
            self._send_waiting()
            if self.gate.queued:
                self.gate.expire()
            if self._clock.now() >= self._report_at:
                self._tick()
        self._send_waiting()
        self._sock.close(linger=500)

    def _pause_s(self) -> float:
        left = clock.remaining(self._report_at, self._clock)
        return min(left, EXPIRE_S) if self.gate.queued else left

    def _send_waiting(self) -> None:
        """Send all that waits, joining the parts for each entry."""
        parts: dict[bytes, list[messages.Part]] = {}
        for identity, msg in self._mailbox.drain():
            if isinstance(msg, messages.Part):
                parts.setdefault(identity, []).append(msg)
                continue
            # An end must not overtake its parts.
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
            # The entry is not connected; it asks again when it is back.
            eventlog.debug("send-failed", peer=identity, error=exc)

    def _read_waiting(self) -> None:
        for _ in range(READ_BURST):
            try:
                frames = self._sock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._take(frames)

    def _take(self, frames: list[bytes]) -> None:
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
        peer.heard_at = self._clock.now()
        peer.gone = False
        try:
            self.handle(msg, peer)
        except Exception as exc:
            # One message must not close the port for all entries.
            kind = type(msg).__name__
            eventlog.warning("handler-failed", kind=kind, error=repr(exc))

    # -- Heartbeats --

    def _tick(self) -> None:
        now = self._clock.now()
        self._report_at = now + self._cfg.beat_s
        self._look_after_peers(now)
        tick, changed = self._evidence.since(self._evidence_tick)
        self._evidence_tick = tick
        known = self._known_entries()
        data = messages.encode(self._report(changed, known))
        for peer in self._live_peers():
            if peer.new:
                peer.new = False
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

    def _suspects(self) -> list[quarantine.SuspectUpdate]:
        """Give the suspected requests that one entry told, for the others."""
        now = self._clock.now()
        include_held = now >= self._held_told_at + quarantine.HELD_RESEND_S
        if include_held:
            self._held_told_at = now
        return self._quarantine.news((quarantine.Origin.NEAR,), include_held)

    def _known_entries(self) -> list[messages.Known]:
        """Give the entries' revisions if they are due in this report."""
        known = [
            messages.Known(peer.name, peer.beat.revision, peer.heard_at)
            for peer in self._live_peers()
            if peer.beat is not None
        ]
        revisions = {entry.process: entry.revision for entry in known}
        self._reports_since += 1
        due = self._reports_since >= NAME_ENTRIES_EVERY
        if revisions == self._reported and not due:
            return []
        self._reported = revisions
        self._reports_since = 0
        return known

    def _live_peers(self) -> list[Peer]:
        since = self._clock.now() - self._cfg.silent_s
        return [peer for peer in list(self._peers.values()) if peer.heard_at >= since]

    def _look_after_peers(self, now: float) -> None:
        """Cancel what silent entries had asked for, and write their bills."""
        for peer in list(self._peers.values()):
            silent_s = now - peer.heard_at
            self._resend_ends(peer, now)
            if silent_s > self._cfg.stream_silent_s and not peer.gone:
                peer.gone = True
                self._peer_gone(peer)
            if silent_s > self._cfg.bill_patience_s:
                self._bills.release_owner(peer.name, now)
            if silent_s > FORGET_S and not peer.runs:
                del self._peers[peer.identity]

    def _resend_ends(self, peer: Peer, now: float) -> None:
        """Post ends again that were not acknowledged: the word may be lost."""
        for run in list(peer.runs.values()):
            run.remind(now - self._cfg.silent_s)

    def _peer_gone(self, peer: Peer) -> None:
        eventlog.warning("entry-silent", entry=peer.name, runs=len(peer.runs))
        for run in peer.runs.values():
            self.gate.cancel(run)
        peer.runs.clear()
        peer.new = True

    # -- Arriving messages, with their sender --

    @functools.singledispatchmethod
    def handle(self, msg: messages.Message, peer: Peer) -> None:
        """Take one message from an entry."""
        eventlog.warning("unexpected", peer=peer.name, kind=type(msg).__name__)

    @handle.register
    def _(self, msg: messages.Beat, peer: Peer) -> None:
        peer.beat = msg
        self.orders.note_epoch(msg.epoch)
        self._evidence.merge(msg.evidence)
        self._quarantine.take(msg.suspects, is_far=False)
        if self._config.add_urgent(msg.urgent):
            eventlog.warning("urgent-from-entry", keys=",".join(msg.urgent))
            self._report_at = 0.0
        self._compare_config(msg.revision, peer)

    @handle.register
    def _(self, msg: messages.Start, peer: Peer) -> None:
        if not peer.note(msg.attempt):
            return
        run = agent_run.Run(peer.identity, msg, self.post, self._clock)
        peer.runs[msg.attempt] = run
        if msg.revision > self._config.revision:
            self.post(peer.identity, messages.ConfigWanted(self._config.revision))
        self.gate.take(run)

    @handle.register
    def _(self, msg: messages.Ack, peer: Peer) -> None:
        run = peer.runs.get(msg.attempt)
        if run is None:
            return
        run.ack(msg.upto)
        if run.ended and msg.upto >= run.count:
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
            run.resend(msg.upto)
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
        self._bills.release_owner(peer.name, self._clock.now())

    @handle.register
    def _(self, msg: messages.Order, peer: Peer) -> None:
        identity = peer.identity
        threading.Thread(
            target=lambda: self.post(identity, self.orders.carry_out(msg)),
            name=f"order-{msg.order}",
            daemon=True,
        ).start()

    def _answer_unknown(self, msg: messages.Resume, peer: Peer) -> None:
        """Answer for an attempt that is not here.

        Messages of one connection stay in order, so if this same process has not
        seen the request before its ``Resume``, the request was lost on the way.
        Noting the number makes sure that a straggler is not run after all.
        """
        never_came = peer.note(msg.attempt)
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
