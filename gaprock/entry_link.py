"""An entry's connection to one agent, with a thread and a socket of its own.

The thread sends the messages that other threads put into its mailbox, delivers
received parts to their attempts, sends heartbeats, and asks the agent to resume
attempts without recent messages.
"""

import collections
import functools
import math
import threading
import typing
from concurrent import futures

import zmq

from gaprock import (
    bills,
    clock,
    config,
    entry_attempt,
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

# The agent is asked to resume an attempt without messages for this long.
RESUME_AFTER_S: typing.Final = 1.0
# Messages received before the mailbox is checked again.
READ_BURST: typing.Final = 200
# Superseded attempts that are remembered, so that their bills are dropped.
MAX_SUPERSEDED: typing.Final = 10_000
# The shortest time between two pushes of the same configuration revision.
PUSH_INTERVAL_S: typing.Final = 1.0


class SharedState:
    """The state shared by all links of an entry."""

    __slots__ = (
        "cfg",
        "clock",
        "config",
        "evidence",
        "quarantine",
        "bills",
        "context",
        "identity",
        "epoch",
        "on_change",
    )

    def __init__(
        self,
        cfg: options.Options,
        clock_: clock.Clock,
        config_: config.Config,
        evidence_: evidence.EvidenceBook,
        bills_: bills.BillBuffer,
        identity: str,
    ) -> None:
        self.cfg = cfg
        self.clock = clock_
        self.config = config_
        self.evidence = evidence_
        self.quarantine = quarantine.Quarantine(clock_)
        self.bills = bills_
        self.context: zmq.Context[typing.Any] = zmq.Context()
        # The entry's vm and incarnation.
        self.identity = identity
        # The highest epoch of the control lease that this entry has seen.
        self.epoch = 0
        # Called when newer configuration was received from an agent.
        self.on_change: typing.Callable[[], None] = _no_op


def _no_op() -> None:
    """Do nothing."""


class AgentLink:
    """The connection to one agent."""

    def __init__(self, shared: SharedState, address: str) -> None:
        self.shared = shared
        self.address = address
        self.report: messages.Report | None = None
        # The entries in the agent's last report that named any, with their revisions.
        self.known_entries: list[messages.Known] = []
        self.last_seen_at = 0.0
        # Whether the agent's VM is leaving according to the VM list.
        self.vm_leaving = False
        self._lock = threading.Lock()
        self._attempts: dict[int, entry_attempt.Attempt] = {}
        self._orders: dict[str, futures.Future[messages.OrderDone]] = {}
        # Attempts that another one has replaced; they are not billed.
        self._superseded: collections.deque[int] = collections.deque(
            maxlen=MAX_SUPERSEDED
        )
        self._last_number = 0
        # Attempts sent minus attempts closed since the last report, by endpoint.
        self._sent_since: dict[str, int] = {}
        self._mailbox: mailbox.Mailbox[messages.Message] = mailbox.Mailbox()
        self._stopped = False
        self._evidence_tick = 0
        # When all requests in quarantine were last sent to the agent.
        self._held_sent_at = -clock.NEVER
        self._pushed_revision = 0
        self._next_push_at = 0.0
        self._thread = threading.Thread(
            target=self._run, name=f"link-{address}", daemon=True
        )

    # -- For other threads --

    def start(self) -> None:
        """Connect in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Send what is left in the mailbox, then close the connection."""
        self._mailbox.put(messages.Goodbye())
        self._stopped = True
        self._thread.join()
        self._mailbox.close()

    def end_attempts(self, why: str) -> None:
        """Fail the attempts in progress, whose agent may go on with them."""
        for attempt in list(self._attempts.values()):
            self._fail_lost(attempt, why)

    @property
    def live(self) -> bool:
        """Whether a message from the agent arrived within ``silent_s``."""
        silent_since = self.last_seen_at + self.shared.cfg.silent_s
        return self.shared.clock.now() < silent_since

    @property
    def usable(self) -> bool:
        """Whether the agent may get new requests."""
        report = self.report
        if report is None or not self.live:
            return False
        return not (report.leaving or self.vm_leaving)

    def sent_since(self, endpoint: str) -> int:
        """Return how many requests the agent's last report may not include yet."""
        return max(0, self._sent_since.get(endpoint, 0))

    def open(self, start: messages.Start) -> entry_attempt.Attempt:
        """Send a request and set the attempt's number in it."""
        now = self.shared.clock.now()
        incarnation = self.report.incarnation if self.report else ""
        with self._lock:
            self._last_number += 1
            start.attempt = self._last_number
            attempt = entry_attempt.Attempt(start.attempt, start, incarnation, now)
            self._attempts[attempt.number] = attempt
            self._add_sent(start.endpoint, 1)
        self._mailbox.put(start)
        return attempt

    def ack(self, attempt: entry_attempt.Attempt) -> None:
        """Acknowledge the parts that were read, which opens the agent's window."""
        self._mailbox.put(messages.Ack(attempt.number, attempt.taken))

    def close(
        self, attempt: entry_attempt.Attempt, is_superseded: bool = False
    ) -> None:
        """Forget an attempt; messages that still arrive for it are ignored.

        :param is_superseded: whether another attempt replaces it; then it is not
            billed.
        """
        with self._lock:
            if self._attempts.pop(attempt.number, None) is None:
                return
            attempt.closed = True
            if is_superseded:
                self._superseded.append(attempt.number)
            self._add_sent(attempt.start.endpoint, -1)
        end = attempt.outcome
        if is_superseded and end is not None and end.bill is not None:
            self._mailbox.put(messages.BillsReleased([end.bill.key]))
        if end is not None and attempt.next_part >= end.count:
            self._mailbox.put(messages.Ack(attempt.number, end.count))
        else:
            self._mailbox.put(messages.Cancel(attempt.number, is_superseded))

    def send(self, msg: messages.Message) -> None:
        """Send a message of any other type."""
        self._mailbox.put(msg)

    def order(self, order: messages.Order) -> "futures.Future[messages.OrderDone]":
        """Send an order; the returned future receives its result."""
        fut: futures.Future[messages.OrderDone] = futures.Future()
        with self._lock:
            self._orders[order.order] = fut
        self._mailbox.put(order)
        return fut

    def push_config(self) -> None:
        """Send the part of the configuration that the agent lacks."""
        known = self.report.revision if self.report else 0
        self._mailbox.put(self.shared.config.delta_since(known))

    # -- The link's own thread --

    def _run(self) -> None:
        shared = self.shared
        sock = wire.open_dealer(shared.context, shared.cfg, shared.identity)
        try:
            sock.connect(self.address)
        except zmq.ZMQError as exc:
            eventlog.warning("link-address-invalid", address=self.address, error=exc)
            sock.close(linger=0)
            return
        poller = zmq.Poller()
        poller.register(sock, zmq.POLLIN)
        poller.register(self._mailbox.fileno(), zmq.POLLIN)
        next_beat_at = 0.0
        try:
            while not self._stopped:
                remaining_s = clock.remaining(next_beat_at, self.shared.clock)
                poller.poll(math.ceil(remaining_s * 1000))
                self._send_waiting(sock)
                self._read_waiting(sock)
                if self.shared.clock.now() >= next_beat_at:
                    self._tick(sock)
                    next_beat_at = self.shared.clock.now() + self.shared.cfg.beat_s
            self._send_waiting(sock)
        finally:
            sock.close(linger=200)

    def _send_waiting(self, sock: "zmq.Socket[bytes]") -> None:
        for msg in self._mailbox.drain():
            self._send(sock, msg)

    def _send(self, sock: "zmq.Socket[bytes]", msg: messages.Message) -> None:
        try:
            sock.send(messages.encode(msg), zmq.NOBLOCK)
        except zmq.Again:
            # There is no connection, so a request was certainly not sent.
            if isinstance(msg, messages.Start):
                self._fail_unsent(msg)

    def _fail_unsent(self, start: messages.Start) -> None:
        attempt = self._attempts.get(start.attempt)
        if attempt is not None:
            attempt.fail(
                errors.GaprockError(
                    errorcodes.ENDPOINT_UNREACHABLE, "its agent is not connected"
                )
            )

    def _read_waiting(self, sock: "zmq.Socket[bytes]") -> None:
        for _ in range(READ_BURST):
            try:
                data = sock.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        try:
            msg = messages.decode(data)
        except errors.GaprockError as exc:
            eventlog.warning("undecodable", peer=self.address, error=exc)
            return
        self.last_seen_at = self.shared.clock.now()
        try:
            self.handle(msg)
        except Exception as exc:
            # An error in handling one message must not close the link.
            kind = type(msg).__name__
            eventlog.warning("handler-failed", kind=kind, error=repr(exc))

    def _tick(self, sock: "zmq.Socket[bytes]") -> None:
        """Send a heartbeat; fail or resume attempts without recent messages."""
        self._send(sock, self._heartbeat())
        now = self.shared.clock.now()
        for attempt in list(self._attempts.values()):
            if now - max(attempt.sent_at, self.last_seen_at) > self._silence_limit(
                attempt
            ):
                self._fail_lost(attempt, "its agent fell silent")
            elif now - attempt.checked_at > RESUME_AFTER_S:
                attempt.checked_at = now
                self._send(sock, self._resume(attempt))

    def _silence_limit(self, attempt: entry_attempt.Attempt) -> float:
        """Return how long the agent may be silent before the attempt is lost.

        The limit is lower before the first part, when another agent may take over.
        """
        if attempt.started:
            return self.shared.cfg.stream_silent_s
        return self.shared.cfg.silent_s

    def _fail_lost(self, attempt: entry_attempt.Attempt, why: str) -> None:
        started = attempt.started
        code = errorcodes.STREAM_CUT if started else errorcodes.OUTCOME_UNKNOWN
        attempt.fail(errors.GaprockError(code, why))
        eventlog.warning(
            "attempt-lost", request=attempt.start.request, agent=self.address, why=why
        )

    def _fail_older_incarnations(self, incarnation: str) -> None:
        """Fail the attempts that an earlier incarnation of the agent ran."""
        for attempt in list(self._attempts.values()):
            if attempt.incarnation not in ("", incarnation):
                self._fail_lost(attempt, "its agent was replaced")

    def _resume(self, attempt: entry_attempt.Attempt) -> messages.Resume:
        return messages.Resume(attempt.number, attempt.next_part, attempt.incarnation)

    def _heartbeat(self) -> messages.Beat:
        shared = self.shared
        self._evidence_tick, changed = shared.evidence.since(self._evidence_tick)
        return messages.Beat(
            shared.identity,
            shared.cfg.hall,
            shared.config.revision if shared.config.ready else -1,
            shared.epoch,
            shared.config.urgent,
            changed,
            self._due_suspects(),
        )

    def _due_suspects(self) -> list[suspicion.SuspectUpdate]:
        """Return the suspected requests that are to be sent to the agent now."""
        now = self.shared.clock.now()
        include_held = now >= self._held_sent_at + quarantine.HELD_RESEND_S
        if include_held:
            self._held_sent_at = now
        origins = (suspicion.Origin.OWN, suspicion.Origin.NEAR)
        return self.shared.quarantine.updates(origins, include_held)

    def _add_sent(self, endpoint: str, change: int) -> None:
        self._sent_since[endpoint] = self._sent_since.get(endpoint, 0) + change

    # -- Received messages --

    @functools.singledispatchmethod
    def handle(self, msg: messages.Message) -> None:
        """Handle one message from the agent."""
        eventlog.warning("unexpected", peer=self.address, kind=type(msg).__name__)

    @handle.register
    def _(self, msg: messages.Parts) -> None:
        for part in msg.parts:
            attempt = self._attempts.get(part.attempt)
            if attempt is None:
                continue
            attempt.checked_at = self.last_seen_at
            if not attempt.deliver(part):
                self._mailbox.put(self._resume(attempt))

    @handle.register
    def _(self, msg: messages.End) -> None:
        attempt = self._attempts.get(msg.attempt)
        if msg.bill is not None:
            self._hold_bill(attempt, msg.bill, msg.attempt)
        if attempt is None:
            # The final acknowledgement or cancellation was lost or is on its way.
            self._mailbox.put(messages.Cancel(msg.attempt))
            return
        attempt.checked_at = self.last_seen_at
        # Recorded before the end, so that a thread waiting for the end sees it.
        if msg.ended_incarnation:
            mark = attempt.start.fingerprint
            self.shared.quarantine.record_crash(
                mark, msg.ended_incarnation, msg.suspicion_weight
            )
        elif msg.code == errorcodes.OK and not self.shared.quarantine.is_empty:
            self.shared.quarantine.clear(attempt.start.fingerprint)
        if not attempt.finish(msg):
            self._mailbox.put(self._resume(attempt))

    @handle.register
    def _(self, msg: messages.Refused) -> None:
        attempt = self._attempts.get(msg.attempt)
        if attempt is not None:
            attempt.fail(
                errors.GaprockError(errorcodes.get(msg.code), msg.detail, msg.retry_at)
            )

    @handle.register
    def _(self, msg: messages.Report) -> None:
        with self._lock:
            self.report = msg
            self._sent_since.clear()
            self.known_entries = msg.entries or self.known_entries
        self._fail_older_incarnations(msg.incarnation)
        self.shared.evidence.merge(msg.evidence)
        self.shared.quarantine.merge(msg.suspects, is_far=False)
        self.shared.epoch = max(self.shared.epoch, msg.epoch)
        self._compare_config(msg.revision, msg.urgent)

    @handle.register
    def _(self, msg: messages.ConfigDelta) -> None:
        if self.shared.config.apply(msg):
            eventlog.info("config-from-agent", revision=msg.revision, peer=self.address)
            self.shared.on_change()

    @handle.register
    def _(self, msg: messages.ConfigWanted) -> None:
        self._mailbox.put(self.shared.config.delta_since(max(0, msg.revision)))

    @handle.register
    def _(self, msg: messages.BillsReleased) -> None:
        self.shared.bills.forget(msg.keys)

    @handle.register
    def _(self, msg: messages.BillsHandover) -> None:
        for bill in msg.bills:
            self.shared.bills.hold(bill, [], self.shared.clock.now())
        self._mailbox.put(messages.BillsReleased([bill.key for bill in msg.bills]))

    @handle.register
    def _(self, msg: messages.OrderDone) -> None:
        with self._lock:
            fut = self._orders.pop(msg.order, None)
        if fut is not None:
            fut.set_result(msg)

    def _compare_config(self, revision: int, urgent: list[str]) -> None:
        """Request newer configuration from the agent, or push ours if it is behind."""
        own_config = self.shared.config
        if own_config.add_urgent(urgent):
            eventlog.warning("urgent-from-agent", keys=",".join(urgent))
            self.shared.on_change()
        my_revision = own_config.revision if own_config.ready else -1
        if revision > my_revision:
            self._mailbox.put(messages.ConfigWanted(my_revision))
        agent_behind = revision < my_revision or bool(
            set(own_config.urgent) - set(urgent)
        )
        now = self.shared.clock.now()
        push_due = self._pushed_revision < my_revision or now >= self._next_push_at
        if agent_behind and push_due:
            self._pushed_revision = my_revision
            self._next_push_at = now + PUSH_INTERVAL_S
            self._mailbox.put(own_config.delta_since(max(0, revision)))

    def _hold_bill(
        self, attempt: entry_attempt.Attempt | None, bill: messages.Bill, number: int
    ) -> None:
        """Buffer the bill of an attempt that is closed; drop that of a superseded one.

        The bill of an open attempt is buffered by its request, which may add lines.
        """
        if number in self._superseded:
            self._mailbox.put(messages.BillsReleased([bill.key]))
        elif attempt is None:
            self.shared.bills.hold(bill, [self.address], self.shared.clock.now())
