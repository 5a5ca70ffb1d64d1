"""What gateways tell each other, directly: beats, and copies of the store's rows.

Every gateway takes messages on one socket and has one more for each peer.  Beats carry
loads, evidence and halts, so that these spread in a fraction of a second without a call
to the store.  Bytes between halls are priced, so the more peers stand in other halls,
the fewer beats they get; a halt or a newer row goes to everybody at once.  Beats also
tell how new a gateway's rows are: one that the store does not
answer asks a peer that is ahead for a copy.

Peers are found once, through rows in the shared store; a gateway that starts later
tells the ones that it finds there, and they answer with beats of their own.
"""

import threading
import typing

import msgspec
import zmq

from gaprock import (
    clock,
    directory,
    eventlog,
    evidence,
    ids,
    mechanisms,
    mesh_messages,
    mesh_peers,
    rollouts,
)

# A peer that is silent for this long counts no more, seconds.
SILENT_S: typing.Final = 2.5
# An address at which nobody was heard is forgotten after this time, seconds; one at
# which a peer was heard much later, since after a cut of minutes, in which both forgot
# each other, neither would look for the other again.
FORGET_S: typing.Final = 30.0
FORGET_HEARD_S: typing.Final = 3600.0
# Messages that may wait for a peer; more are dropped, since the next beat has it all.
HIGH_WATER: typing.Final = 20
# Pauses before a lost connection is opened again, milliseconds.
RECONNECT_MS: typing.Final = 200
RECONNECT_MAX_MS: typing.Final = 2000
# A connection on which a peer's socket answers nothing for this long, after a pause as
# long, is opened anew, milliseconds.  One that had gone silent for good took every beat
# and gave none to the peer; a ping and its answer are about 20 bytes.
HEARTBEAT_MS: typing.Final = 1000
# A gateway reads the store for others of its hall if it was heard within this time,
# seconds, a little more than the idle beat; so many of them are enough.
READER_HEARD_S: typing.Final = 1.3
READERS: typing.Final = 2
# Pause before rows are asked for again, seconds.
ASK_PAUSE_S: typing.Final = 0.5


class RowSource(typing.Protocol):
    """The followers' side: rows to copy, and where copies go."""

    def news(self) -> list[mesh_messages.TableNews]:
        """Give what is known of each table."""

    def own_proofs(self) -> list[float]:
        """Give the newest proofs of our own calls, by table."""

    def reads(self) -> bool:
        """Whether we read the store ourselves, and it answers."""

    def take_news(
        self, table: int, news: mesh_messages.TableNews, is_far: bool
    ) -> bool:
        """Take what a peer knows; give whether its copy would help."""

    def copy(self, table: int) -> mesh_messages.Rows:
        """Give a table."""

    def take_copy(self, rows: mesh_messages.Rows) -> None:
        """Take a table from a peer."""


class Mesh:
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
    ) -> None:
        self.name = name
        self.hall = hall
        self.address = address
        self._clock = clock_
        self._directory = directory_
        self._rollouts = rollouts_
        self._evidence = evidence_
        self._incarnation = ids.new_token()
        self._lock = threading.Lock()
        self._peers: dict[str, mesh_peers.Peer] = {}
        # Addresses to say hello to, filled by other threads.
        self._found: list[str] = []
        self._stopped = False
        self.leaving = False
        self.source: RowSource | None = None
        # Our requests on the old version, by service; given by the server.
        self.on_old_here: typing.Callable[[str], int] = lambda service: 0
        self._thread: threading.Thread | None = None
        self._handlers: dict[type, typing.Callable[[typing.Any], None]] = {
            mesh_messages.Beat: self._on_beat,
            mesh_messages.RowsWanted: self._on_wanted,
            mesh_messages.Rows: self._on_rows,
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

    def found(self, addresses: list[str]) -> None:
        """Take addresses of gateways from the store."""
        with self._lock:
            self._found += [a for a in addresses if a != self.address]

    def living(self) -> list[str]:
        """Give the names of the peers that were heard lately and stay."""
        since = self._clock.now() - SILENT_S
        with self._lock:
            return [
                peer.name
                for peer in self._peers.values()
                if peer.heard_at >= since and peer.beat and not peer.beat.leaving
            ]

    def has_readers(self) -> bool:
        """Whether enough gateways of our hall read the store, so that we need not.

        Only those before us by name count, so that the first ones always read.
        """
        if not mechanisms.READERS.on:
            return False
        halls = [peer.hall for peer in self._readers_before()]
        return halls.count(self.hall) >= READERS

    def leads(self) -> bool:
        """Whether no reader of the store comes before us by name, in any hall."""
        return not self._readers_before()

    def _readers_before(self) -> list[mesh_peers.Peer]:
        """Give the peers before us by name that read the store, as heard lately."""
        since = self._clock.now() - READER_HEARD_S
        with self._lock:
            return [
                peer
                for peer in self._peers.values()
                if peer.heard_at >= since
                and peer.beat is not None
                and peer.beat.reads_store
                and not peer.beat.leaving
                and peer.name < self.name
            ]

    def on_old_version(self, service: str) -> int:
        """Give the requests on a service's old version, over all living gateways."""
        since = self._clock.now() - SILENT_S
        with self._lock:
            beats = [p.beat for p in self._peers.values() if p.heard_at >= since]
        news = [n for beat in beats if beat for n in beat.rollouts]
        others = sum(n.on_old for n in news if n.service == service)
        return self.on_old_here(service) + others

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
            if now >= look_at:
                look_at = now + mesh_peers.BUSY_BEAT_S
                self._beat_where_due(now)
                self._forget_silent()
            if inbox.poll(int(mesh_peers.BUSY_BEAT_S * 1000)):
                self._read_all(inbox)
        self._beat(list(self._peers.values()), self._clock.now())
        for peer in self._peers.values():
            peer.sock.close(linger=100)
        inbox.close()
        context.term()

    def _connect_found(self, context: typing.Any) -> None:
        with self._lock:
            found, self._found = self._found, []
        for address in found:
            if address not in self._peers:
                self._add(context, address)

    def _add(self, context: typing.Any, address: str) -> None:
        sock = push_socket(context)
        sock.connect(address)
        peer = mesh_peers.Peer("", address, sock, self._clock.now())
        with self._lock:
            self._peers[address] = peer

    def _beat_where_due(self, now: float) -> None:
        news = self._news()
        peers = list(self._peers.values())
        far = sum(peer.beat is not None and self._is_far(peer) for peer in peers)
        due = [
            peer
            for peer in peers
            if mesh_peers.is_due(
                peer, now, news, mesh_peers.beat_pause(self._is_far(peer), far)
            )
        ]
        for peer in self._beat(due, now):
            peer.told = news

    def _is_far(self, peer: mesh_peers.Peer) -> bool:
        return peer.hall not in ("", self.hall)

    def _news(self) -> mesh_peers.News:
        """Give what is worth a beat before the idle one is due."""
        rolls = self._rollout_news()
        halts = [(n.service, n.revision, n.halted) for n in rolls]
        on_old = [n.on_old for n in rolls]
        tick, _ = self._evidence.since(1 << 60)
        versions = [table.changed for table in self._tables()]
        proofs = self.source.own_proofs() if self.source else []
        return mesh_peers.News(
            (halts, versions, self._reads(), self.leaving, self._directory.dark()),
            (self._directory.own_loads(), on_old, tick, proofs),
        )

    def _tables(self) -> list[mesh_messages.TableNews]:
        return self.source.news() if self.source else []

    def _reads(self) -> bool:
        """Whether we read the store ourselves, and it answers."""
        return self.source is not None and self.source.reads()

    def _rollout_news(self) -> list[mesh_messages.RolloutNews]:
        now = self._clock.now()
        return [
            mesh_messages.RolloutNews(
                r.order.service,
                r.revision,
                now - r.started_at,
                r.halted,
                self.on_old_here(r.order.service),
            )
            for r in self._rollouts.all()
        ]

    def _beat(self, peers: list[mesh_peers.Peer], now: float) -> list[mesh_peers.Peer]:
        """Send beats, and give the peers that were reached."""
        reached = []
        tables, reads_store = self._tables(), self._reads()
        loads, dark = self._directory.own_loads(), self._directory.dark()
        rolls = self._rollout_news()
        for peer in peers:
            prompt_count, prompts = self._directory.prompts_since(peer.prompts)
            tick, counters = self._evidence.since(peer.tick)
            own = [c for c in counters if c.source == self._evidence.source]
            beat = mesh_messages.Beat(
                self.name,
                self.hall,
                self.address,
                self._incarnation,
                tables,
                reads_store,
                loads,
                prompts,
                dark,
                rolls,
                own,
                self.leaving,
            )
            if self._send(peer, beat):
                peer.tick, peer.beat_at = tick, now
                peer.prompts = prompt_count
                reached.append(peer)
        return reached

    def _send(self, peer: mesh_peers.Peer, message: mesh_messages.Message) -> bool:
        try:
            peer.sock.send(mesh_messages.encode(message), zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def _read_all(self, inbox: typing.Any) -> None:
        while True:
            try:
                data = inbox.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                message = mesh_messages.decode(data)
            except msgspec.DecodeError as exc:
                eventlog.warning("mesh-undecodable", error=exc)
                continue
            self._handlers[type(message)](message)

    def _on_beat(self, beat: mesh_messages.Beat) -> None:
        peer = self._peers.get(beat.address)
        if peer is None:
            with self._lock:
                self._found.append(beat.address)
            return
        if peer.beat is None or peer.beat.incarnation != beat.incarnation:
            # A new process knows nothing of what the old one was told.
            peer.tick, peer.told = 0, mesh_peers.News((), ())
            peer.prompts = 0
            eventlog.info("peer-heard", peer=beat.sender, address=beat.address)
        now = self._clock.now()
        peer.name, peer.hall = beat.sender, beat.hall
        peer.beat, peer.heard_at = beat, now
        self._directory.take_loads(beat.sender, beat.loads)
        self._directory.take_dark(beat.sender, beat.dark)
        self._directory.take_prompts(beat.prompts)
        for news in beat.rollouts:
            self._rollouts.backdate(news.service, news.revision, now - news.age_s)
            if news.halted:
                reason = f"told by {beat.sender}"
                self._rollouts.halt(news.service, news.revision, reason)
        if beat.evidence and self._evidence.merge(beat.evidence):
            self._rollouts.note_routes(beat.evidence)
            self._rollouts.look()
        self._take_tables(peer, now)

    def _take_tables(self, peer: mesh_peers.Peer, now: float) -> None:
        """Take what a peer knows of the tables, and ask for those that help."""
        assert peer.beat is not None
        if self.source is None:
            return
        may_ask = now >= peer.asked_at + ASK_PAUSE_S
        for table, news in enumerate(peer.beat.tables):
            if self.source.take_news(table, news, self._is_far(peer)) and may_ask:
                peer.asked_at = now
                self._send(peer, mesh_messages.RowsWanted(self.address, table))

    def _on_wanted(self, wanted: mesh_messages.RowsWanted) -> None:
        peer = self._peers.get(wanted.address)
        if peer is not None and self.source is not None:
            self._send(peer, self.source.copy(wanted.table))

    def _on_rows(self, rows: mesh_messages.Rows) -> None:
        if self.source is not None:
            self.source.take_copy(rows)

    def _forget_silent(self) -> None:
        now = self._clock.now()
        for peer in list(self._peers.values()):
            silent_s = now - peer.heard_at
            if silent_s > SILENT_S and peer.beat is not None:
                eventlog.warning("peer-silent", peer=peer.name, silent_s=silent_s)
                self._directory.take_loads(peer.name, {})
                self._directory.take_dark(peer.name, ())
                peer.beat = None
            if silent_s > (FORGET_HEARD_S if peer.name else FORGET_S):
                peer.sock.close(linger=0)
                with self._lock:
                    del self._peers[peer.address]


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
