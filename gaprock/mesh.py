"""Gossip between gateways: heartbeats, and copies of the store's rows (anti-entropy).

Each gateway receives messages on one socket and has one more socket for each peer that
it sends to.  Heartbeats carry loads, evidence and halts, so these spread in a fraction
of a second without a call to the store.  They go to the peers of the own hall; the
hall's relays also exchange them with the relays of other halls, and forward what they
receive (``mesh_plan``, ``mesh_halls``).  ``mesh_members`` keeps the membership,
``mesh_beats`` builds the heartbeats.  Heartbeats also show how recent a gateway's rows
are: a gateway that gets no answer from the store asks a peer that is ahead for a copy.

Peers are discovered once, through rows in the shared store.  A gateway that starts
later sends heartbeats to the peers that it finds there, and they answer with their own.

In names, *near* stands for the own hall and *far* for the other halls.  All of this
keeps the traffic from growing with the square of the number of gateways.
"""

import collections
import threading
import typing

import msgspec
import zmq

from gaprock import (
    clock,
    directory,
    directory_paces,
    eventlog,
    evidence,
    mesh_beats,
    mesh_members,
    mesh_messages,
    mesh_peers,
    mesh_plan,
    quarantine,
    rollouts,
)

# An address in the own hall from which nothing was ever heard is dropped after
# ``FORGET_S``.  A peer that was heard, or is in another hall, is kept for
# ``FORGET_HEARD_S``: after a partition of minutes, in which both had dropped each
# other, neither would reconnect.
FORGET_S: typing.Final = 30.0
FORGET_HEARD_S: typing.Final = 3600.0
# A socket to another hall that has not been used for this long is closed.
UNUSED_S: typing.Final = 5.0
# Messages queued for a peer.  Further ones are dropped, since the next heartbeat
# carries everything.
HIGH_WATER: typing.Final = 20
# The largest message that is received; a longer one ends its connection.
MAX_MESSAGE_BYTES: typing.Final = 16 * 1024 * 1024
# Messages of one connection that wait to be read, and the buffer for it, bytes;
# after that, its sender waits.
MAX_UNREAD: typing.Final = 8
RECEIVE_BUFFER: typing.Final = 64 * 1024
# Delays before a lost connection is reopened: the first one, and the maximum.
RECONNECT_MS: typing.Final = 200
RECONNECT_MAX_MS: typing.Final = 2000
# Interval of ZeroMQ's own heartbeats on a connection, and the time after which one that
# is not answered closes it; it is then reopened.  A connection that had gone silent for
# good accepted every message and delivered none.  ZeroMQ's heartbeat and the answer to
# it are about 20 bytes.
HEARTBEAT_MS: typing.Final = 1000
# Interval between two requests for rows, and the number of peers that are asked for the
# same table within it: copies of large tables from all peers at once would delay a
# start.
ASK_PAUSE_S: typing.Final = 0.5
MAX_PEERS_ASKED: typing.Final = 2
# Stands for the configuration among the numbers of requested tables.
CONFIG_TABLE: typing.Final = -1


class Mesh(mesh_beats.BeatWriter):
    """This gateway's part in the gossip; one thread, besides those of the readers."""

    def __init__(
        self,
        name: str,
        hall: str,
        address: str,
        clock_: clock.Clock,
        directory_: directory.Directory,
        rollouts_: rollouts.Rollouts,
        evidence_: evidence.EvidenceBook,
        quarantine_: quarantine.Quarantine,
    ) -> None:
        super().__init__(
            name, hall, address, clock_, directory_, rollouts_, evidence_, quarantine_
        )
        self._stopped = False
        self._thread: threading.Thread | None = None
        # Times of the latest requests to peers, by table.
        self._requested_at: dict[int, list[float]] = collections.defaultdict(list)
        # Our urgent state (see ``_urgent_news``) as of the last check.
        self._urgent: object = None
        self._handlers: dict[type, typing.Callable[[typing.Any], None]] = {
            mesh_messages.Beat: self._on_beat,
            mesh_messages.RowsWanted: self._on_rows_wanted,
            mesh_messages.Rows: self._on_rows,
            mesh_messages.ConfigWanted: self._on_config_wanted,
            mesh_messages.ConfigCopy: self._on_config,
        }

    # -- For other threads --

    def start(self) -> None:
        """Start receiving and sending heartbeats; without an address do nothing."""
        if not self.address:
            return
        self._thread = threading.Thread(target=self._run, name="mesh", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Announce that we leave, and end the thread."""
        self.leaving = True
        self._stopped = True
        if self._thread is not None:
            self._thread.join(timeout=1.0)

    # -- The thread --

    def _run(self) -> None:
        context = zmq.Context()
        inbox = context.socket(zmq.PULL)
        inbox.setsockopt(zmq.LINGER, 0)
        inbox.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        inbox.setsockopt(zmq.RCVHWM, MAX_UNREAD)
        inbox.setsockopt(zmq.RCVBUF, RECEIVE_BUFFER)
        inbox.bind(self.address)
        next_run_at = self._clock.now()
        while not self._stopped:
            self._connect_new(context)
            now = self._clock.now()
            if now >= next_run_at or self._urgent_news() != self._urgent:
                next_run_at = now + mesh_peers.BUSY_BEAT_S
                self._run_due_tasks(context, now)
            if inbox.poll(int(mesh_peers.BUSY_BEAT_S * 1000)):
                self._read_all(inbox)
        self._send_heartbeats(self._connected_peers(), self._clock.now(), [])
        for peer in self._peers.values():
            if peer.sock is not None:
                peer.sock.close(linger=100)
        inbox.close()
        context.term()

    def _run_due_tasks(self, context: typing.Any, now: float) -> None:
        """Run everything that is due now."""
        self._urgent = self._urgent_news()
        self._select_far_peers(context, now)
        self._send_due_heartbeats(now)
        self._forget_silent()
        self.halls.forget_silent(now)
        self._count_members(now)
        self._track_store_answers(now)

    def _connect_new(self, context: typing.Any) -> None:
        with self._lock:
            found, self._new_addresses = self._new_addresses, []
        for one in found:
            peer = self._peers.get(one.address)
            if peer is None:
                self._add(context, one.address, one.hall)

    def _add(self, context: typing.Any, address: str, hall: str = "") -> None:
        peer = mesh_peers.Peer("", address, None, self._clock.now(), hall)
        if not self._is_far(peer):
            peer.sock = self._connect(context, address)
        with self._lock:
            self._peers[address] = peer

    def _connect(self, context: typing.Any, address: str) -> typing.Any:
        sock = push_socket(context)
        try:
            sock.connect(address)
        except zmq.ZMQError as exc:
            # Another gateway wrote this address; a bad one must not end the gossip with
            # all others.
            eventlog.warning("peer-address", address=address, error=exc)
            sock.close(linger=0)
            return None
        return sock

    # -- Selection of the peers to send to --

    def _select_far_peers(self, context: typing.Any, now: float) -> None:
        """Connect to the gateways of other halls that we send to, as a relay or not."""
        relay_addresses = set()
        for hall, hall_relays in self.halls.hall_relays().items():
            for hall_relay in hall_relays:
                self._record_relay(hall_relay, hall, now)
                relay_addresses.add(hall_relay.address)
        self._set_relay_role(self.name in self._own_hall_relays(now))
        if self._is_relay:
            chosen = mesh_plan.targets(self._far(), relay_addresses, now)
        else:
            chosen = mesh_plan.misdirected_senders(self._far(), now)
        for peer in chosen:
            peer.last_selected_at = now
            if peer.sock is None:
                peer.sock = self._connect(context, peer.address)
        for peer in self._far():
            if peer.sock is not None and now > peer.last_selected_at + UNUSED_S:
                peer.sock.close(linger=0)
                peer.sock = None

    def _set_relay_role(self, is_relay: bool) -> None:
        if is_relay is self._is_relay:
            return
        self._is_relay = is_relay
        size = self.machine_size
        eventlog.info("carries", hall=self.hall, carries=is_relay, size=size)
        for peer in self._near():
            # Send all evidence again: the relay before us may not have forwarded it
            # all.
            peer.evidence_tick = 0

    def _record_relay(
        self, hall_relay: mesh_messages.HallRelay, hall: str, now: float
    ) -> None:
        """Record the address of a relay that its hall's summary names."""
        peer = self._peers.get(hall_relay.address)
        if peer is None:
            peer = mesh_peers.Peer(hall_relay.name, hall_relay.address, None, now, hall)
            with self._lock:
                self._peers[hall_relay.address] = peer
        peer.name, peer.last_seen_at = hall_relay.name, now

    def _connected_peers(self) -> list[mesh_peers.Peer]:
        return [peer for peer in self._peers.values() if peer.sock is not None]

    # -- Heartbeats --

    def _send_due_heartbeats(self, now: float) -> None:
        near_news, far_news = self._near_news(), self._far_news(now)
        forwarded = self.halls.summaries_to_forward(now) if self._is_relay else []
        connected = self._connected_peers()
        far_count = sum(self._is_far(peer) for peer in connected)
        near_s = mesh_peers.near_pause(len(connected) - far_count)
        idle_s = mesh_peers.NEAR_IDLE_S
        if not self._is_among_first():
            idle_s = max(idle_s, near_s)
        far_s = mesh_peers.far_pause(far_count)
        due = []
        for peer in connected:
            if not self._is_far(peer):
                is_due = bool(forwarded) or mesh_peers.is_due(
                    peer, now, near_news, near_s, idle_s
                )
            else:
                is_due = now <= peer.last_selected_at and mesh_peers.is_due(
                    peer, now, far_news, far_s, mesh_peers.IDLE_BEAT_S
                )
            if is_due:
                due.append(peer)
        for peer in self._send_heartbeats(due, now, forwarded):
            peer.last_sent = far_news if self._is_far(peer) else near_news

    def _send_heartbeats(
        self,
        peers: list[mesh_peers.Peer],
        now: float,
        forwarded: list[mesh_messages.HallNews],
    ) -> list[mesh_peers.Peer]:
        """Send heartbeats, and return the peers that were reached."""
        if not peers:
            return []
        round_ = _BeatRound(self._near_beat(forwarded))
        if any(self._is_far(peer) for peer in peers):
            round_.far = self._far_beat(now)
        all_are_relays = len(self._living_near()) < mesh_plan.RELAYS_PER_HALL
        may_send_prompts = not self._is_large_hall()
        reached = []
        for peer in peers:
            is_far = self._is_far(peer)
            include_held = now >= peer.held_sent_at + quarantine.HELD_RESEND_S
            # Where each gateway is a relay, all send everything to all.  Otherwise
            # prompts stay in the hall: few requests leave it, and prompts were a
            # quarter of the bytes.
            sends_prompts = may_send_prompts and (all_are_relays or not is_far)
            key = (
                is_far,
                peer.evidence_tick,
                peer.prompts_sent if sends_prompts else -1,
                include_held,
                peer.paces_sent,
                # A peer that is still to be told of all paces gets its own heartbeat.
                peer.address if peer.paces_due else "",
            )
            if key not in round_.encoded:
                round_.encoded[key] = self._encode_for(
                    round_, peer, sends_prompts, include_held
                )
            encoded = round_.encoded[key]
            if self._send_bytes(peer, encoded.data):
                peer.evidence_tick, peer.prompts_sent = (
                    encoded.evidence_tick,
                    encoded.prompt_count,
                )
                peer.paces_sent = encoded.pace_tick
                del peer.paces_due[: directory_paces.MAX_UPDATES]
                peer.last_sent_at = now
                if include_held:
                    peer.held_sent_at = now
                reached.append(peer)
        return reached

    def _encode_for(
        self,
        round_: "_BeatRound",
        peer: mesh_peers.Peer,
        sends_prompts: bool,
        include_held: bool,
    ) -> "_EncodedBeat":
        """Encode a peer's heartbeat, for all peers that were sent the same before."""
        evidence_tick, counters = self._evidence.since(peer.evidence_tick)
        prompt_count, prompts = self._directory.prompts_since(peer.prompts_sent)
        pace_tick, paces = self._paces_for(peer)
        beat = msgspec.structs.replace(
            round_.far if self._is_far(peer) and round_.far else round_.near,
            prompts=prompts if sends_prompts else [],
            evidence=self._evidence_for(peer, counters),
            suspects=self._suspects_for(peer, include_held),
            fleet=self._counted_peak.value,
            paces=paces,
        )
        return _EncodedBeat(
            mesh_messages.encode(beat), evidence_tick, prompt_count, pace_tick
        )

    def _send(self, peer: mesh_peers.Peer, message: mesh_messages.Message) -> bool:
        return self._send_bytes(peer, mesh_messages.encode(message))

    def _send_bytes(self, peer: mesh_peers.Peer, data: bytes) -> bool:
        try:
            peer.sock.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    # -- Received messages --

    def _read_all(self, inbox: typing.Any) -> None:
        while True:
            try:
                data = inbox.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle(data)

    def _handle(self, data: bytes) -> None:
        try:
            message = mesh_messages.decode(data)
        except msgspec.DecodeError as exc:
            eventlog.warning("mesh-undecodable", error=exc)
            return
        self._handlers[type(message)](message)

    def _on_beat(self, beat: mesh_messages.Beat) -> None:
        peer = self._peers.get(beat.address)
        if peer is None:
            with self._lock:
                self._new_addresses.append(
                    mesh_members.PeerAddress(beat.address, beat.hall)
                )
            return
        is_new = peer.beat is None or peer.beat.incarnation != beat.incarnation
        if is_new:
            # A new incarnation has nothing of what was sent to the one before.
            peer.evidence_tick, peer.last_sent = 0, mesh_peers.BeatContent((), ())
            peer.prompts_sent = 0
            peer.held_sent_at = -clock.NEVER
            eventlog.info("peer-heard", peer=beat.sender, address=beat.address)
        now = self._clock.now()
        peer.name, peer.hall = beat.sender, beat.hall
        peer.beat, peer.last_seen_at, peer.last_heartbeat_at = beat, now, now
        if is_new:
            self._start_telling_paces(peer)
        if not self._is_far(peer):
            self._directory.apply_peer_loads(beat.sender, beat.loads)
            self._directory.apply_peer_held(beat.sender, beat.held)
            self._directory.apply_peer_unreachable(
                beat.sender, beat.unreachable_endpoints
            )
            self._directory.pacer.record_news(beat.sender, 1, beat.limits)
            self._directory.apply_peer_departures(beat.sender, beat.departing)
            self._directory.apply_peer_paces(beat.sender, beat.paces)
            self.demand.record(beat.sender, beat.demand, now)
        self._directory.apply_peer_prompts(beat.prompts)
        self._quarantine.merge(beat.suspects, self._is_far(peer))
        self._reported_peak.record(beat.fleet, now)
        for hall in beat.halls:
            self.halls.record(hall, now, is_forwarded=not self._is_far(peer))
        for news in beat.rollouts:
            self._rollouts.merge_reported(news, now, beat.sender)
        if beat.evidence and self._evidence.merge(beat.evidence):
            self._rollouts.judge_all()
        self._exchange_tables(peer, now)

    def _exchange_tables(self, peer: mesh_peers.Peer, now: float) -> None:
        """Record which rows a peer has, and request the copies that would help us."""
        assert peer.beat is not None
        if self.source is None:
            return
        is_other = self._is_far(peer) or not self._is_in_group(peer)
        may_ask = now >= peer.asked_at + ASK_PAUSE_S and peer.sock is not None
        for table, news in enumerate(peer.beat.tables):
            age_s = peer.beat.epoch_age_s
            helps = self.source.record_news(table, news, is_other, age_s)
            if helps and may_ask and self._reserve_request(table, now):
                peer.asked_at = now
                epoch, since = self.source.delta_base(table)
                wanted = mesh_messages.RowsWanted(self.address, table, since, epoch)
                self._send(peer, wanted)
        tables = peer.beat.tables
        if not tables or not may_ask:
            return
        orders = tables[mesh_messages.ORDERS]
        if self.source.lacks_config(peer.beat.config, orders):
            if self._reserve_request(CONFIG_TABLE, now):
                self._send(peer, mesh_messages.ConfigWanted(self.address))

    def _reserve_request(self, table: int, now: float) -> bool:
        """Count a request for a table; return whether it may be sent now."""
        recent = [at for at in self._requested_at[table] if now < at + ASK_PAUSE_S]
        self._requested_at[table] = recent
        if len(recent) >= MAX_PEERS_ASKED:
            return False
        recent.append(now)
        return True

    def _on_rows_wanted(self, wanted: mesh_messages.RowsWanted) -> None:
        peer = self._peers.get(wanted.address)
        if peer is not None and peer.sock is not None and self.source is not None:
            rows = self.source.copy(wanted.table, wanted.since, wanted.epoch)
            self._send(peer, rows)

    def _on_rows(self, rows: mesh_messages.Rows) -> None:
        if self.source is not None:
            self.source.apply_copy(rows)

    def _on_config_wanted(self, wanted: mesh_messages.ConfigWanted) -> None:
        peer = self._peers.get(wanted.address)
        copy = self.source.config_copy() if self.source is not None else None
        if peer is not None and peer.sock is not None and copy is not None:
            self._send(peer, copy)

    def _on_config(self, copy: mesh_messages.ConfigCopy) -> None:
        if self.source is not None:
            self.source.apply_config(copy)

    def _forget_silent(self) -> None:
        now = self._clock.now()
        for peer in list(self._peers.values()):
            silent_s = now - peer.last_seen_at
            if silent_s > mesh_members.PEER_TIMEOUT_S and peer.beat is not None:
                eventlog.warning("peer-silent", peer=peer.name, silent_s=silent_s)
                self._directory.apply_peer_loads(peer.name, {})
                self._directory.apply_peer_held(peer.name, {})
                self._directory.apply_peer_unreachable(peer.name, ())
                self._directory.pacer.record_news(peer.name, 1, [])
                peer.beat = None
            # A peer in another hall has a socket only while it is sent to.
            is_kept = peer.name or self._is_far(peer)
            if silent_s > (FORGET_HEARD_S if is_kept else FORGET_S):
                if peer.sock is not None:
                    peer.sock.close(linger=0)
                with self._lock:
                    del self._peers[peer.address]


class _EncodedBeat(typing.NamedTuple):
    """An encoded heartbeat.

    :param evidence_tick: the tick of the evidence that its peer then has.
    :param prompt_count: how many of our prompts its peer then has.
    :param pace_tick: the tick of the reported paces that its peer then has.
    """

    data: bytes
    evidence_tick: int
    prompt_count: int
    pace_tick: int


class _BeatRound:
    """The heartbeats of one round, by what their peers were sent before."""

    __slots__ = ("near", "far", "encoded")

    def __init__(self, near: mesh_messages.Beat) -> None:
        self.near = near
        self.far: mesh_messages.Beat | None = None
        self.encoded: dict[tuple[bool, int, int, bool, int, str], _EncodedBeat] = {}


def push_socket(context: typing.Any) -> typing.Any:
    """Create the socket for messages to one peer."""
    sock = context.socket(zmq.PUSH)
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.SNDHWM, HIGH_WATER)
    # Queue nothing without a connection: a heartbeat that arrives late is out of date.
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_MS)
    return sock
