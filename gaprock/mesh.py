"""What gateways tell each other, directly: beats, and copies of the store's rows.

Every gateway takes messages on one socket and has one more for each peer that it speaks
to.  Beats carry loads, evidence and halts, so that these spread in a fraction of a
second without a call to the store.  They go to the own hall; the hall's carriers also
tell those of other halls, and pass on what they hear from there (``mesh_plan``,
``mesh_halls``).  Beats also tell how new a gateway's rows are: one that the store does
not answer asks a peer that is ahead for a copy.

Peers are found once, through rows in the shared store; a gateway that starts later
tells the ones that it finds there, and they answer with beats of their own.

Guards against traffic that grows with the square of the gateways: with beats to every
gateway of the fleet 68 of them in five halls sent 3,672 messages a second between halls
when nothing changed, with carriers 80 (``testhalls``).
"""

import threading
import typing
import zlib

import msgspec
import zmq

from gaprock import (
    clock,
    directory,
    eventlog,
    evidence,
    ids,
    mechanisms,
    mesh_halls,
    mesh_messages,
    mesh_peers,
    mesh_plan,
    messages,
    rollouts,
)

# A peer that is silent for this long counts no more, seconds.
SILENT_S: typing.Final = 2.5
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
# A gateway reads the store for others of its hall if it was heard within this time,
# seconds, a little more than the idle beat; so many of them are enough.
READER_HEARD_S: typing.Final = 1.3
READERS: typing.Final = 1
# So many gateways of a hall try a store that answers none of them; the others wait for
# their word.
TRIERS: typing.Final = 2
# After its start a gateway listens for readers for this long before it polls, seconds;
# each poll that it would leave to them is a priced call.
LISTEN_S: typing.Final = 1.0
# At the first start of a site the first gateway of a hall is given so long to read the
# tables for the others, seconds; all of them start within a third of a second, and
# their own rows' writings queue at the store for another.
FIRST_READ_S: typing.Final = 2.0
# Pause before rows are asked for again, seconds.
ASK_PAUSE_S: typing.Final = 0.5


class Found(typing.NamedTuple):
    """An address where a gateway takes messages.

    :param hall: where it stands; empty if that is not known, as is its name.
    """

    address: str
    hall: str = ""
    name: str = ""


class RowSource(typing.Protocol):
    """The followers' side: rows to copy, and where copies go."""

    def news(self) -> list[mesh_messages.TableNews]:
        """Give what is known of each table."""

    def own_proofs(self) -> list[float]:
        """Give the newest proofs of our own calls, by table."""

    def has_store(self) -> bool:
        """Whether the store answers us; one that rests reads when it has to."""

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
        self.halls = mesh_halls.HallBook(hall, directory_, rollouts_)
        self._incarnation = ids.new_token()
        self._lock = threading.Lock()
        self._peers: dict[str, mesh_peers.Peer] = {}
        # Addresses to say hello to, filled by other threads.
        self._found: list[Found] = []
        self._stopped = False
        self.leaving = False
        self.source: RowSource | None = None
        # Our requests on the old version, by service; given by the server.
        self.on_old_here: typing.Callable[[str], int] = lambda service: 0
        self._thread: threading.Thread | None = None
        # Until when readers may not have been heard yet; ``NEVER`` before any is known.
        self._listen_until = clock.NEVER
        # Until when a gateway before us by name may have read the tables for us.
        self._await_until = -clock.NEVER
        # What everybody must know at once, as it was at the last look.
        self._urgent: object = None
        # Whether we were among our hall's carriers at the last look.
        self._carried = False
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

    def found(self, found: list[Found]) -> None:
        """Take addresses of gateways from the store."""
        others = [one for one in found if one.address != self.address]
        with self._lock:
            self._found += others
        names = [one.name for one in others if one.hall == self.hall]
        if not any(name < self.name for name in names):
            return
        now = self._clock.now()
        self._await_until = now + FIRST_READ_S
        if self._listen_until == clock.NEVER:
            self._listen_until = now + LISTEN_S

    def awaits_readers(self) -> bool:
        """Whether a gateway before us by name will likely read the store for us.

        For the first start of a whole site, where all begin at once.
        """
        return self._clock.now() < self._await_until

    def living(self) -> list[str]:
        """Give the names of the peers that were heard lately and stay."""
        since = self._clock.now() - SILENT_S
        with self._lock:
            return [
                peer.name
                for peer in self._peers.values()
                if peer.heard_at >= since and peer.beat and not peer.beat.leaving
            ]

    def members(self) -> int:
        """Give the living gateways of the fleet, us among them."""
        return 1 + len(self._living_near()) + self.halls.members()

    def turn(self, label: str) -> int:
        """Give our place among the living gateways for a duty; a hash sorts them.

        Carriers go first, since all of them know each other.
        """
        near = self._living_near()
        own = mesh_plan.carriers(self.name, near, self._clock.now())
        far = {c.name for known in self.halls.carriers().values() for c in known}
        first = sorted(own | far, key=_place(label))
        if self.name in first:
            return first.index(self.name)
        rest = {self.name, *(peer.name for peer in near)} - own
        return len(first) + sorted(rest, key=_place(label)).index(self.name)

    def has_readers(self) -> bool:
        """Whether enough gateways of our hall read the store, so that we need not.

        Only those before us by name count, so that the first one always reads; one that
        rests counts as well, since it reads as soon as those before it do not.
        """
        if not mechanisms.READERS.on:
            return False
        if self._clock.now() < self._listen_until < clock.NEVER:
            return True
        return len(self._readers_before()) >= READERS

    def tries_for_us(self) -> bool:
        """Whether others of our hall try a store that does not answer us.

        They have its answers, or enough of them come before us by name.
        """
        since = self._clock.now() - READER_HEARD_S
        heard = [peer for peer in self._living_near() if peer.heard_at >= since]
        if any(peer.beat is not None and peer.beat.has_store for peer in heard):
            return True
        return sum(peer.name < self.name for peer in heard) >= TRIERS

    def leads(self) -> bool:
        """Whether no reader of the store comes before us by name, in any hall."""
        return not self._readers_before() and not self.halls.has_reader_before()

    def _readers_before(self) -> list[mesh_peers.Peer]:
        """Give our hall's peers before us by name whom the store answers."""
        since = self._clock.now() - READER_HEARD_S
        return [
            peer
            for peer in self._near()
            if peer.heard_at >= since
            and peer.beat is not None
            and peer.beat.has_store
            and not peer.beat.leaving
            and peer.name < self.name
        ]

    def on_old_version(self, service: str) -> int:
        """Give the requests on a service's old version, over all living gateways."""
        since = self._clock.now() - SILENT_S
        beats = [p.beat for p in self._near() if p.heard_at >= since]
        news = [n for beat in beats if beat for n in beat.rollouts]
        others = sum(n.on_old for n in news if n.service == service)
        return self.on_old_here(service) + others + self.halls.on_old(service)

    def _near(self) -> list[mesh_peers.Peer]:
        """Give the peers of the own hall, and those whose hall is not known yet."""
        with self._lock:
            return [p for p in self._peers.values() if not self._is_far(p)]

    def _living_near(self) -> list[mesh_peers.Peer]:
        """Give the own hall's peers that count as members."""
        since = self._clock.now() - SILENT_S
        return [
            peer
            for peer in self._near()
            if peer.heard_at >= since and peer.beat and not peer.beat.leaving
        ]

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

    def _connect_found(self, context: typing.Any) -> None:
        with self._lock:
            found, self._found = self._found, []
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
        sock.connect(address)
        return sock

    # -- Whom we speak to --

    def _is_far(self, peer: mesh_peers.Peer) -> bool:
        return peer.hall not in ("", self.hall)

    def _far(self) -> list[mesh_peers.Peer]:
        return [peer for peer in self._peers.values() if self._is_far(peer)]

    def _carriers(self, now: float) -> set[str]:
        return mesh_plan.carriers(self.name, self._near(), now)

    def _choose_far(self, context: typing.Any, now: float) -> None:
        """Connect to the gateways of other halls that we speak to, if we carry."""
        carrying = set()
        for hall, carriers in self.halls.carriers().items():
            for carrier in carriers:
                self._note_carrier(carrier, hall, now)
                carrying.add(carrier.address)
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
        self, carrier: mesh_messages.Carrier, hall: str, now: float
    ) -> None:
        """Keep the address of a carrier that its hall's summary names."""
        peer = self._peers.get(carrier.address)
        if peer is None:
            peer = mesh_peers.Peer(carrier.name, carrier.address, None, now, hall)
            with self._lock:
                self._peers[carrier.address] = peer
        peer.name, peer.heard_at = carrier.name, now

    def _spoken_to(self) -> list[mesh_peers.Peer]:
        return [peer for peer in self._peers.values() if peer.sock is not None]

    # -- Beats --

    def _beat_where_due(self, now: float) -> None:
        near_news, far_news = self._near_news(), self._far_news(now)
        passing = self.halls.to_pass_on(now) if self._carried else []
        far_count = sum(self._is_far(peer) for peer in self._spoken_to())
        due = []
        for peer in self._spoken_to():
            if not self._is_far(peer):
                news, idle_s = near_news, mesh_peers.NEAR_IDLE_S
            elif now <= peer.used_at:
                news, idle_s = far_news, mesh_peers.IDLE_BEAT_S
            else:
                continue
            pause_s = mesh_peers.beat_pause(self._is_far(peer), far_count)
            is_passed_on = bool(passing) and not self._is_far(peer)
            if is_passed_on or mesh_peers.is_due(peer, now, news, pause_s, idle_s):
                due.append(peer)
        for peer in self._beat(due, now, passing):
            peer.told = far_news if self._is_far(peer) else near_news

    def _urgent_news(self) -> object:
        """Give what everybody must know at once."""
        halts = mesh_messages.halts(self._rollout_news())
        dark = self._directory.dark(), self._directory.doubted()
        return halts, self._has_store(), self.leaving, dark

    def _near_news(self) -> mesh_peers.News:
        """Give what is worth a beat to the own hall before the idle one is due."""
        rolls = self._rollout_news()
        on_old = [n.on_old for n in rolls]
        tick, _ = self._evidence.since(1 << 60)
        versions = [table.changed for table in self._tables()]
        halts = mesh_messages.halts(rolls)
        proofs = self._proofs()
        return mesh_peers.News(
            (halts, versions, self._has_store(), self.leaving, self._directory.dark()),
            (self._directory.own_loads(), on_old, tick, proofs),
        )

    def _far_news(self, now: float) -> mesh_peers.News:
        """Give what is worth a beat to other halls before the idle one is due.

        Changes of the endpoints' rows can wait for it: each hall reads them itself.
        """
        if not self._carried:
            return mesh_peers.News((), ())
        hall = self._hall_news(now)
        tables = self._tables()
        orders = tables[0].changed if tables else 0
        on_old = [roll.on_old for roll in hall.rollouts]
        tick, _ = self._evidence.since(1 << 60)
        proofs = self._proofs()
        return mesh_peers.News(
            (hall.urgent, orders, self.leaving), (hall.loads, on_old, tick, proofs)
        )

    def _hall_news(self, now: float) -> mesh_messages.HallNews:
        """Sum our hall up."""
        near = self._living_near()
        beats = [peer.beat for peer in near if peer.beat is not None]
        names = self._carriers(now)
        carriers = [
            mesh_messages.Carrier(peer.name, peer.address)
            for peer in near
            if peer.name in names
        ]
        if self.name in names and not self.leaving:
            carriers.append(mesh_messages.Carrier(self.name, self.address))
        carriers.sort(key=lambda carrier: carrier.name)
        loads = [self._directory.own_loads(), *(beat.loads for beat in beats)]
        rolls = [self._rollout_news(), *(beat.rollouts for beat in beats)]
        return mesh_messages.HallNews(
            self.hall,
            0.0,
            carriers,
            len(near) + (not self.leaving),
            self._has_store() or any(beat.has_store for beat in beats),
            mesh_halls.sum_loads(loads),
            self._directory.found_dark([peer.name for peer in near]),
            mesh_halls.sum_rollouts(rolls),
        )

    def _proofs(self) -> list[float]:
        """Give the proofs of our own calls; a carrier's are also those it was told."""
        if self.source is None:
            return []
        if self._carried:
            return [table.proved for table in self._tables()]
        return self.source.own_proofs()

    def _tables(self) -> list[mesh_messages.TableNews]:
        return self.source.news() if self.source else []

    def _has_store(self) -> bool:
        return self.source is not None and self.source.has_store()

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

    def _beat(
        self,
        peers: list[mesh_peers.Peer],
        now: float,
        passing: list[mesh_messages.HallNews],
    ) -> list[mesh_peers.Peer]:
        """Send beats, and give the peers that were reached."""
        if not peers:
            return []
        near_beat, far_beat = self._near_beat(passing), self._far_beat(now)
        is_direct = len(self._living_near()) < mesh_plan.CARRIERS
        reached = []
        for peer in peers:
            is_far = self._is_far(peer)
            tick, counters = self._evidence.since(peer.tick)
            prompt_count, prompts = self._directory.prompts_since(peer.prompts)
            beat = msgspec.structs.replace(
                far_beat if is_far else near_beat,
                # Where each gateway carries, all tell all; else prompts stay in the
                # hall: few requests leave it, and they were a quarter of the bytes.
                prompts=prompts if is_direct or not is_far else [],
                evidence=self._evidence_for(peer, counters),
            )
            if self._send(peer, beat):
                peer.tick, peer.beat_at = tick, now
                peer.prompts = prompt_count
                reached.append(peer)
        return reached

    def _near_beat(self, passing: list[mesh_messages.HallNews]) -> mesh_messages.Beat:
        return mesh_messages.Beat(
            self.name,
            self.hall,
            self.address,
            self._incarnation,
            self._tables(),
            self._has_store(),
            self._directory.own_loads(),
            [],
            self._directory.dark(),
            self._rollout_news(),
            [],
            self.leaving,
            passing,
        )

    def _far_beat(self, now: float) -> mesh_messages.Beat:
        return mesh_messages.Beat(
            self.name,
            self.hall,
            self.address,
            self._incarnation,
            self._tables(),
            self._has_store(),
            {},
            [],
            [],
            [],
            [],
            self.leaving,
            [self._hall_news(now)],
        )

    def _evidence_for(
        self, peer: mesh_peers.Peer, counters: list[messages.Evidence]
    ) -> list[messages.Evidence]:
        """Give the counters that a peer does not hear from others.

        Another hall hears the sums of our hall from its carriers, since a rollout has
        some 14 counters a gateway; the own hall hears each gateway's from itself and,
        if we carry, other halls' sums from us.
        """
        near = {self.name, *(one.name for one in self._near())}

        def is_near(source: str) -> bool:
            return source.partition("/")[0] in near

        if self._is_far(peer):
            name = mesh_halls.source_name(self.hall)
            return self._evidence.sums_since(peer.tick, name, is_near)
        return [
            c
            for c in counters
            if c.source == self._evidence.source
            or (self._carried and not is_near(c.source))
        ]

    def _send(self, peer: mesh_peers.Peer, message: mesh_messages.Message) -> bool:
        try:
            peer.sock.send(mesh_messages.encode(message), zmq.NOBLOCK)
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
                self._found.append(Found(beat.address, beat.hall))
            return
        if peer.beat is None or peer.beat.incarnation != beat.incarnation:
            # A new process knows nothing of what the old one was told.
            peer.tick, peer.told = 0, mesh_peers.News((), ())
            peer.prompts = 0
            eventlog.info("peer-heard", peer=beat.sender, address=beat.address)
        now = self._clock.now()
        peer.name, peer.hall = beat.sender, beat.hall
        peer.beat, peer.heard_at, peer.spoke_at = beat, now, now
        if not self._is_far(peer):
            self._directory.take_loads(beat.sender, beat.loads)
            self._directory.take_dark(beat.sender, beat.dark)
        self._directory.take_prompts(beat.prompts)
        for hall in beat.halls:
            self.halls.take(hall, now, is_passed_on=not self._is_far(peer))
        for news in beat.rollouts:
            self._rollouts.take_told(
                news.service,
                news.revision,
                now - news.age_s,
                news.halted,
                beat.sender,
            )
        if beat.evidence and self._evidence.merge(beat.evidence):
            self._rollouts.note_routes(beat.evidence)
            self._rollouts.look()
        self._take_tables(peer, now)

    def _take_tables(self, peer: mesh_peers.Peer, now: float) -> None:
        """Take what a peer knows of the tables, and ask for those that help."""
        assert peer.beat is not None
        if self.source is None:
            return
        may_ask = now >= peer.asked_at + ASK_PAUSE_S and peer.sock is not None
        for table, news in enumerate(peer.beat.tables):
            if self.source.take_news(table, news, self._is_far(peer)) and may_ask:
                peer.asked_at = now
                self._send(peer, mesh_messages.RowsWanted(self.address, table))

    def _on_wanted(self, wanted: mesh_messages.RowsWanted) -> None:
        peer = self._peers.get(wanted.address)
        if peer is not None and peer.sock is not None and self.source is not None:
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
            # One in another hall has no socket unless it is tried.
            is_kept = peer.name or self._is_far(peer)
            if silent_s > (FORGET_HEARD_S if is_kept else FORGET_S):
                if peer.sock is not None:
                    peer.sock.close(linger=0)
                with self._lock:
                    del self._peers[peer.address]


def _place(label: str) -> typing.Callable[[str], int]:
    """Make the key that sorts names for a duty."""
    return lambda name: zlib.crc32(f"{name}#{label}".encode())


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
