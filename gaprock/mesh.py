"""What gateways tell each other, directly: beats, and copies of the store's rows.

Every gateway takes messages on one socket and has one more for each peer that it speaks
to.  Beats carry loads, evidence and halts, so that these spread in a fraction of a
second without a call to the store.  They go to the own hall; the hall's carriers also
tell those of other halls, and pass on what they hear from there (``mesh_plan``,
``mesh_halls``).  ``mesh_members`` says who is there, ``mesh_beats`` what a beat says.
Beats also tell how new a gateway's rows are: one that the store does
not answer asks a peer that is ahead for a copy.

Peers are found once, through rows in the shared store; a gateway that starts later
tells the ones that it finds there, and they answer with beats of their own.

Guards against traffic that grows with the square of the gateways.
"""

import collections
import threading
import typing

import msgspec
import zmq

from gaprock import (
    clock,
    directory,
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

# An address at which nobody was heard is forgotten after this time, seconds; one at
# which a peer was heard much later, since after a cut of minutes, in which both forgot
# each other, neither would look for the other again.
FORGET_S: typing.Final = 30.0
FORGET_HEARD_S: typing.Final = 3600.0
# A socket to another hall that was not used for this long is closed, seconds.
UNUSED_S: typing.Final = 5.0
# Messages that may wait for a peer; more are dropped, since the next beat has it all.
HIGH_WATER: typing.Final = 20
# Pauses before a lost connection is opened again, milliseconds.
RECONNECT_MS: typing.Final = 200
RECONNECT_MAX_MS: typing.Final = 2000
# A connection on which a peer's socket answers nothing for this long, after a pause as
# long, is opened anew, milliseconds.  One that had gone silent for good took every beat
# and gave none to the peer; a ping and its answer are about 20 bytes.
HEARTBEAT_MS: typing.Final = 1000
# Pause before rows are asked for again, seconds, and the peers that are asked for the
# same table within it: all peers' copies of large tables at once would hold up a start.
ASK_PAUSE_S: typing.Final = 0.5
ASKED_AT_ONCE: typing.Final = 2
# Stands for the configuration among the numbers of tables that are asked for.
CONFIG: typing.Final = -1


class Mesh(mesh_beats.BeatWriter):
    """Our side of the talk between gateways; one thread, besides the readers."""

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
        # When peers were asked for each table, the latest ones.
        self._asks: dict[int, list[float]] = collections.defaultdict(list)
        # What everybody must know at once, as it was at the last look.
        self._urgent: object = None
        self._handlers: dict[type, typing.Callable[[typing.Any], None]] = {
            mesh_messages.Beat: self._on_beat,
            mesh_messages.RowsWanted: self._on_wanted,
            mesh_messages.Rows: self._on_rows,
            mesh_messages.ConfigWanted: self._on_config_wanted,
            mesh_messages.ConfigCopy: self._on_config,
        }

    # -- For other threads --

    def start(self) -> None:
        """Begin to listen and to beat; without an address there is no mesh."""
        if not self.address:
            return
        self._thread = threading.Thread(target=self._run, name="mesh", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Say that we leave, and end."""
        self.leaving = True
        self._stopped = True
        if self._thread is not None:
            self._thread.join(timeout=1.0)

    # -- The thread --

    def _run(self) -> None:
        context = zmq.Context()
        inbox = context.socket(zmq.PULL)
        inbox.setsockopt(zmq.LINGER, 0)
        inbox.bind(self.address)
        look_at = self._clock.now()
        while not self._stopped:
            self._connect_found(context)
            now = self._clock.now()
            if now >= look_at or self._urgent_news() != self._urgent:
                look_at = now + mesh_peers.BUSY_BEAT_S
                self._look(context, now)
            if inbox.poll(int(mesh_peers.BUSY_BEAT_S * 1000)):
                self._read_all(inbox)
        self._beat(self._spoken_to(), self._clock.now(), [])
        for peer in self._peers.values():
            if peer.sock is not None:
                peer.sock.close(linger=100)
        inbox.close()
        context.term()

    def _look(self, context: typing.Any, now: float) -> None:
        """Do what is due now."""
        self._urgent = self._urgent_news()
        self._choose_far(context, now)
        self._beat_where_due(now)
        self._forget_silent()
        self.halls.forget_silent(now)
        self._count_members(now)
        self._note_answered(now)

    def _connect_found(self, context: typing.Any) -> None:
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
            # An address that somebody else wrote; the talk with all others goes on.
            eventlog.warning("peer-address", address=address, error=exc)
            sock.close(linger=0)
            return None
        return sock

    # -- Whom we speak to --

    def _choose_far(self, context: typing.Any, now: float) -> None:
        """Connect to the gateways of other halls that we speak to, if we carry."""
        carrying = set()
        for hall, hall_relays in self.halls.hall_relays().items():
            for hall_relay in hall_relays:
                self._note_carrier(hall_relay, hall, now)
                carrying.add(hall_relay.address)
        self._note_carrying(self.name in self._carriers(now))
        if self._carried:
            chosen = mesh_plan.targets(self._far(), carrying, now)
        else:
            chosen = mesh_plan.to_correct(self._far(), now)
        for peer in chosen:
            peer.used_at = now
            if peer.sock is None:
                peer.sock = self._connect(context, peer.address)
        for peer in self._far():
            if peer.sock is not None and now > peer.used_at + UNUSED_S:
                peer.sock.close(linger=0)
                peer.sock = None

    def _note_carrying(self, carries: bool) -> None:
        if carries is self._carried:
            return
        self._carried = carries
        eventlog.info("carries", hall=self.hall, carries=carries)
        for peer in self._near():
            # What the carrier before us had not passed on yet goes now.
            peer.tick = 0

    def _note_carrier(
        self, hall_relay: mesh_messages.Carrier, hall: str, now: float
    ) -> None:
        """Keep the address of a carrier that its hall's summary names."""
        peer = self._peers.get(hall_relay.address)
        if peer is None:
            peer = mesh_peers.Peer(hall_relay.name, hall_relay.address, None, now, hall)
            with self._lock:
                self._peers[hall_relay.address] = peer
        peer.name, peer.heard_at = hall_relay.name, now

    def _spoken_to(self) -> list[mesh_peers.Peer]:
        return [peer for peer in self._peers.values() if peer.sock is not None]

    # -- Beats --

    def _beat_where_due(self, now: float) -> None:
        near_news, far_news = self._near_news(), self._far_news(now)
        passing = self.halls.summaries_to_forward(now) if self._carried else []
        spoken_to = self._spoken_to()
        far_count = sum(self._is_far(peer) for peer in spoken_to)
        near_s = mesh_peers.near_pause(len(spoken_to) - far_count)
        idle_s = mesh_peers.NEAR_IDLE_S
        if not self._is_among_first():
            idle_s = max(idle_s, near_s)
        far_s = mesh_peers.far_pause(far_count)
        due = []
        for peer in spoken_to:
            if not self._is_far(peer):
                is_due = bool(passing) or mesh_peers.is_due(
                    peer, now, near_news, near_s, idle_s
                )
            else:
                is_due = now <= peer.used_at and mesh_peers.is_due(
                    peer, now, far_news, far_s, mesh_peers.IDLE_BEAT_S
                )
            if is_due:
                due.append(peer)
        for peer in self._beat(due, now, passing):
            peer.told = far_news if self._is_far(peer) else near_news

    def _beat(
        self,
        peers: list[mesh_peers.Peer],
        now: float,
        passing: list[mesh_messages.HallNews],
    ) -> list[mesh_peers.Peer]:
        """Send beats, and give the peers that were reached."""
        if not peers:
            return []
        round_ = _BeatRound(self._near_beat(passing))
        if any(self._is_far(peer) for peer in peers):
            round_.far = self._far_beat(now)
        is_direct = len(self._living_near()) < mesh_plan.CARRIERS
        tells_prompts = not self._is_crowded()
        reached = []
        for peer in peers:
            is_far = self._is_far(peer)
            include_held = now >= peer.held_told_at + quarantine.HELD_RESEND_S
            # Where each gateway carries, all tell all; else prompts stay in the hall:
            # few requests leave it, and they were a quarter of the bytes.
            is_told = tells_prompts and (is_direct or not is_far)
            key = (is_far, peer.tick, peer.prompts if is_told else -1, include_held)
            if key not in round_.encoded:
                round_.encoded[key] = self._encode_for(
                    round_, peer, is_told, include_held
                )
            encoded = round_.encoded[key]
            if self._send_bytes(peer, encoded.data):
                peer.tick, peer.prompts = encoded.tick, encoded.prompts
                peer.beat_at = now
                if include_held:
                    peer.held_told_at = now
                reached.append(peer)
        return reached

    def _encode_for(
        self,
        round_: "_BeatRound",
        peer: mesh_peers.Peer,
        is_told: bool,
        include_held: bool,
    ) -> "_EncodedBeat":
        """Write the beat of a peer, which is that of all who were told the same."""
        tick, counters = self._evidence.since(peer.tick)
        prompt_count, prompts = self._directory.prompts_since(peer.prompts)
        beat = msgspec.structs.replace(
            round_.far if self._is_far(peer) and round_.far else round_.near,
            prompts=prompts if is_told else [],
            evidence=self._evidence_for(peer, counters),
            suspects=self._suspects_for(peer, include_held),
            fleet=self._counted.value,
        )
        return _EncodedBeat(mesh_messages.encode(beat), tick, prompt_count)

    def _send(self, peer: mesh_peers.Peer, message: mesh_messages.Message) -> bool:
        return self._send_bytes(peer, mesh_messages.encode(message))

    def _send_bytes(self, peer: mesh_peers.Peer, data: bytes) -> bool:
        try:
            peer.sock.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    # -- What comes --

    def _read_all(self, inbox: typing.Any) -> None:
        while True:
            try:
                data = inbox.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._take(data)

    def _take(self, data: bytes) -> None:
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
        if peer.beat is None or peer.beat.incarnation != beat.incarnation:
            # A new process knows nothing of what the old one was told.
            peer.tick, peer.told = 0, mesh_peers.News((), ())
            peer.prompts = 0
            peer.held_told_at = -clock.NEVER
            eventlog.info("peer-heard", peer=beat.sender, address=beat.address)
        now = self._clock.now()
        peer.name, peer.hall = beat.sender, beat.hall
        peer.beat, peer.heard_at, peer.spoke_at = beat, now, now
        if not self._is_far(peer):
            self._directory.apply_peer_loads(beat.sender, beat.loads)
            self._directory.apply_peer_unreachable(
                beat.sender, beat.unreachable_endpoints
            )
            self._directory.pacer.record_news(beat.sender, 1, beat.limits)
            self._directory.apply_peer_departures(beat.sender, beat.departing)
        self._directory.apply_peer_prompts(beat.prompts)
        self._quarantine.take(beat.suspects, self._is_far(peer))
        self._told_most.note(beat.fleet, now)
        for hall in beat.halls:
            self.halls.take(hall, now, is_passed_on=not self._is_far(peer))
        for news in beat.rollouts:
            self._rollouts.merge_reported(news, now, beat.sender)
        if beat.evidence and self._evidence.merge(beat.evidence):
            self._rollouts.learn_routes(beat.evidence)
            self._rollouts.look()
        self._take_tables(peer, now)

    def _take_tables(self, peer: mesh_peers.Peer, now: float) -> None:
        """Take what a peer knows of the tables, and ask for those that help."""
        assert peer.beat is not None
        if self.source is None:
            return
        is_other = self._is_far(peer) or not self._is_in_group(peer)
        may_ask = now >= peer.asked_at + ASK_PAUSE_S and peer.sock is not None
        for table, news in enumerate(peer.beat.tables):
            age_s = peer.beat.epoch_age_s
            helps = self.source.record_news(table, news, is_other, age_s)
            if helps and may_ask and self._claim_ask(table, now):
                peer.asked_at = now
                epoch, since = self.source.delta_base(table)
                wanted = mesh_messages.RowsWanted(self.address, table, since, epoch)
                self._send(peer, wanted)
        tables = peer.beat.tables
        if not tables or not may_ask:
            return
        orders = tables[mesh_messages.ORDERS]
        if self.source.lacks_config(peer.beat.config, orders):
            if self._claim_ask(CONFIG, now):
                self._send(peer, mesh_messages.ConfigWanted(self.address))

    def _claim_ask(self, table: int, now: float) -> bool:
        """Whether one more peer may be asked for a table now."""
        lately = [at for at in self._asks[table] if now < at + ASK_PAUSE_S]
        self._asks[table] = lately
        if len(lately) >= ASKED_AT_ONCE:
            return False
        lately.append(now)
        return True

    def _on_wanted(self, wanted: mesh_messages.RowsWanted) -> None:
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
            silent_s = now - peer.heard_at
            if silent_s > mesh_members.SILENT_S and peer.beat is not None:
                eventlog.warning("peer-silent", peer=peer.name, silent_s=silent_s)
                self._directory.apply_peer_loads(peer.name, {})
                self._directory.apply_peer_unreachable(peer.name, ())
                self._directory.pacer.record_news(peer.name, 1, [])
                peer.beat = None
            # One in another hall has no socket unless it is tried.
            is_kept = peer.name or self._is_far(peer)
            if silent_s > (FORGET_HEARD_S if is_kept else FORGET_S):
                if peer.sock is not None:
                    peer.sock.close(linger=0)
                with self._lock:
                    del self._peers[peer.address]


class _EncodedBeat(typing.NamedTuple):
    """A beat as it goes out.

    :param tick: the evidence that it brings its peer up to.
    :param prompts: the count of prompts that it brings its peer up to.
    """

    data: bytes
    tick: int
    prompts: int


class _BeatRound:
    """The beats of one round, by what their peers were told before."""

    __slots__ = ("near", "far", "encoded")

    def __init__(self, near: mesh_messages.Beat) -> None:
        self.near = near
        self.far: mesh_messages.Beat | None = None
        self.encoded: dict[tuple[bool, int, int, bool], _EncodedBeat] = {}


def push_socket(context: typing.Any) -> typing.Any:
    """Make the socket for what one peer is told."""
    sock = context.socket(zmq.PUSH)
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.SNDHWM, HIGH_WATER)
    # Without a connection nothing is kept: a beat is old when it comes late.
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_MS)
    return sock
