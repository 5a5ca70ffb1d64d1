"""Membership: the gateways that were heard, and what follows from that alone.

It decides which gateway reads the store for a hall, which ones probe it while it is
down, who is next for a duty, and how many gateways the fleet has.  Each gateway decides
by the heartbeats that it received, without asking others.
"""

import threading
import typing
import zlib

from gaprock import (
    clock,
    gateway_fullness,
    machine_size,
    mechanisms,
    mesh_halls,
    mesh_peers,
    mesh_plan,
)

# A peer that has been silent for this long is no longer a member.
PEER_TIMEOUT_S: typing.Final = 2.5
# A gateway counts as a reader of the store for its hall if it was heard within this
# time, a little more than the idle interval of heartbeats; and how many are enough.
READER_TIMEOUT_S: typing.Final = 1.3
READERS: typing.Final = 1
# Number of a hall's gateways that probe a store that answers none of them; the others
# wait for their reports.
STORE_PROBERS: typing.Final = 2
# After its start a gateway waits this long for heartbeats of readers before it polls
# the store: each poll that it could have left to them is a call that has to be paid.
READER_DISCOVERY_S: typing.Final = 1.0
# At the first start of a site the first gateway of a hall has this long to read the
# tables for the others.  All of them start within a third of a second, and the writes
# of their own rows are queued at the store for another third.
FIRST_READ_GRACE_S: typing.Final = 2.0


# The peak number of gateways is remembered for this long: a hall may be gone or cut off
# for minutes, and each of its gateways would otherwise take itself for the only one.
PEAK_WINDOW_S: typing.Final = 600.0


class PeerAddress(typing.NamedTuple):
    """An address at which a gateway receives messages.

    :param hall: the gateway's hall; empty while it is not known, like ``name``.
    """

    address: str
    hall: str = ""
    name: str = ""


class RecentPeak:
    """The maximum of the recent counts.

    :param keep_s: how long a count is kept at least; at most it is twice that.
    """

    __slots__ = ("_keep_s", "_since", "_newer", "_older")

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._since = -clock.NEVER
        self._newer = self._older = 0

    def record(self, count: int, now: float) -> None:
        """Record a count."""
        if now >= self._since + self._keep_s:
            self._since, self._older, self._newer = now, self._newer, 0
        self._newer = max(self._newer, count)

    @property
    def value(self) -> int:
        """The maximum; 0 before the first count."""
        return max(self._newer, self._older)


class Members:
    """The gateways that this one knows; thread-safe."""

    def __init__(
        self,
        name: str,
        hall: str,
        address: str,
        clock_: clock.Clock,
        halls: mesh_halls.HallSummaries,
    ) -> None:
        self.name = name
        self.hall = hall
        self.address = address
        self._clock = clock_
        # The summaries of the other halls.
        self.halls = halls
        # The peak number of gateways in the fleet, as we counted and as peers reported.
        self._counted_peak = RecentPeak(PEAK_WINDOW_S)
        self._reported_peak = RecentPeak(PEAK_WINDOW_S)
        self._lock = threading.Lock()
        self._peers: dict[str, mesh_peers.Peer] = {}
        # Addresses to connect to; other threads add them.
        self._new_addresses: list[PeerAddress] = []
        self.leaving = False
        # The class of our machine; heartbeats carry it.
        self.machine_size = machine_size.UNKNOWN
        # Counts our requests on a service's old version; set by the server.
        self.own_on_old_version: typing.Callable[[str], int] = lambda service: 0
        # Returns our open calls; set by the server.
        self.own_calls: typing.Callable[[], gateway_fullness.PeerCalls] = (
            lambda: gateway_fullness.PeerCalls(-1, False)
        )
        # Until when the first heartbeat of a reader may be outstanding; ``NEVER``
        # before any gateway is known that may be one.
        self._discovery_until = clock.NEVER
        # Until when a gateway before us by name may still be reading the tables for us.
        self._first_read_until = -clock.NEVER
        # Since when the store answers some other gateway; ``NEVER`` while it answers
        # none.
        self._store_answers_since = clock.NEVER
        # Whether we were among our hall's relays when that was last checked.
        self._is_relay = False

    def add_addresses(self, found: list[PeerAddress]) -> None:
        """Add addresses of gateways that were read from the store."""
        others = [one for one in found if one.address != self.address]
        self._counted_peak.record(1 + len(others), self._clock.now())
        with self._lock:
            self._new_addresses += others
        names = [one.name for one in others if one.hall == self.hall]
        now = self._clock.now()
        is_first_by_name = not any(name < self.name for name in names)
        if not is_first_by_name:
            self._first_read_until = now + FIRST_READ_GRACE_S
        # The rows do not tell the sizes of machines, so a small one waits for all.
        if not names or is_first_by_name and not self._may_be_outranked():
            return
        if self._discovery_until == clock.NEVER:
            self._discovery_until = now + READER_DISCOVERY_S

    def _may_be_outranked(self) -> bool:
        """Whether a gateway after us by name may take roles before us."""
        is_small = machine_size.UNKNOWN < self.machine_size < machine_size.LARGEST
        return mechanisms.MACHINE_SIZE.on and is_small

    def awaits_readers(self) -> bool:
        """Whether a gateway before us by name will likely read the store for us.

        Applies to the first start of a whole site, where all gateways start at once.
        """
        return self._clock.now() < self._first_read_until and not self._is_large_hall()

    def living(self) -> list[str]:
        """Return the names of the peers that were heard recently and do not leave."""
        since = self._clock.now() - PEER_TIMEOUT_S
        with self._lock:
            return [
                peer.name
                for peer in self._peers.values()
                if peer.last_seen_at >= since and peer.beat and not peer.beat.leaving
            ]

    def peer_calls(self) -> list[gateway_fullness.PeerCalls]:
        """Return the calls of the other gateways of our hall; of others if it has none.

        Of another hall only its relays report them.
        """
        since = self._clock.now() - PEER_TIMEOUT_S
        peers = self._living_near()
        if not peers:
            with self._lock:
                peers = [one for one in self._far() if one.last_seen_at >= since]
        return [
            gateway_fullness.PeerCalls(peer.beat.open_calls, peer.beat.is_full)
            for peer in peers
            if peer.beat and not peer.beat.leaving and peer.beat.open_calls >= 0
        ]

    def members(self) -> int:
        """Return the number of live gateways in the fleet, including this one."""
        return 1 + len(self._living_near()) + self.halls.members()

    def peak_gateways(self) -> int:
        """Return the recent peak number of gateways, including any missing now.

        A gateway that is cut off has to count those that it cannot hear.

        :returns: 0 before the store's rows were read or anybody was heard.
        """
        if not self.address:
            return 1
        return max(self._counted_peak.value, self._reported_peak.value)

    def _count_members(self, now: float) -> None:
        """Record the present number of members, once any number is known."""
        if self._counted_peak.value or self._reported_peak.value:
            self._counted_peak.record(self.members(), now)

    def duty_rank(self, label: str) -> int:
        """Return our rank among the live gateways for a duty; a hash orders them.

        Relays come first, since all of them know each other.
        """
        near = self._living_near()
        own = mesh_plan.hall_relays(
            self.name, near, self._clock.now(), self.machine_size
        )
        far = {c.name for known in self.halls.hall_relays().values() for c in known}
        first = sorted(own | far, key=_rank_key(label))
        if self.name in first:
            return first.index(self.name)
        rest = {self.name, *(peer.name for peer in near)} - own
        return len(first) + sorted(rest, key=_rank_key(label)).index(self.name)

    def has_readers(self) -> bool:
        """Whether enough gateways of our hall read the store, so that we need not.

        Only those before us by role count, so that the first one always reads.  One on
        standby counts as well, since it reads as soon as those before it do not.
        """
        if not mechanisms.READERS.on:
            return False
        if self._clock.now() < self._discovery_until < clock.NEVER:
            return True
        return sum(self._is_in_group(p) for p in self._readers_before()) >= READERS

    def _is_in_group(self, peer: mesh_peers.Peer) -> bool:
        """Whether a peer of our hall shares its reader of the store with us."""
        gateways = 1 + len(self._living_near())
        own = mesh_plan.reader_group(self.name, gateways)
        return mesh_plan.reader_group(peer.name, gateways) == own

    def _is_large_hall(self) -> bool:
        """Whether our hall is so large that its gateways send each other less."""
        return len(self._living_near()) > mesh_peers.LARGE_HALL_PEERS

    def peers_probe_store(self) -> bool:
        """Whether others of our hall probe a store that does not answer us.

        Either it answers them, or enough of them come before us by role.
        """
        since = self._clock.now() - READER_TIMEOUT_S
        heard = [peer for peer in self._living_near() if peer.last_seen_at >= since]
        if any(peer.beat is not None and peer.beat.has_store for peer in heard):
            return True
        return sum(self._is_before_us(peer) for peer in heard) >= STORE_PROBERS

    def store_back_at(self) -> float:
        """Return when the store answered any peer again; now if no peer reported it.

        A gateway that leaves the store to others asks it up to 5 s after its return.
        """
        return min(self._clock.now(), self._store_answers_since)

    def _track_store_answers(self, now: float) -> None:
        """Record whether the store answers any other gateway."""
        since = now - READER_TIMEOUT_S
        near = self._living_near()
        is_answered = self.halls.has_store() or any(
            p.last_seen_at >= since and p.beat and p.beat.has_store for p in near
        )
        if not is_answered:
            self._store_answers_since = clock.NEVER
        elif self._store_answers_since == clock.NEVER:
            self._store_answers_since = now

    def roles(self) -> dict[str, bool]:
        """Return which of the roles of a hall are ours."""
        return {"relay": self._is_relay, "reader": not self.has_readers()}

    def is_first_reader(self) -> bool:
        """Whether no reader of the store comes before us, in any hall."""
        return not self._readers_before() and not self.halls.has_reader_before()

    def _readers_before(self) -> list[mesh_peers.Peer]:
        """Return our hall's peers before us by role that the store answers."""
        since = self._clock.now() - READER_TIMEOUT_S
        return [
            peer
            for peer in self._near()
            if peer.last_seen_at >= since
            and peer.beat is not None
            and peer.beat.has_store
            and not peer.beat.leaving
            and self._is_before_us(peer)
        ]

    def count_on_old_version(self, service: str) -> int:
        """Return the requests on a service's old version, over all live gateways."""
        since = self._clock.now() - PEER_TIMEOUT_S
        beats = [p.beat for p in self._near() if p.last_seen_at >= since]
        news = [n for beat in beats if beat for n in beat.rollouts]
        others = sum(n.on_old for n in news if n.service == service)
        return self.own_on_old_version(service) + others + self.halls.on_old(service)

    def _near(self) -> list[mesh_peers.Peer]:
        """Return the peers of the own hall, and those whose hall is not known yet."""
        with self._lock:
            return [p for p in self._peers.values() if not self._is_far(p)]

    def _living_near(self) -> list[mesh_peers.Peer]:
        """Return the own hall's peers that count as members."""
        since = self._clock.now() - PEER_TIMEOUT_S
        return [
            peer
            for peer in self._near()
            if peer.last_seen_at >= since and peer.beat and not peer.beat.leaving
        ]

    def _is_far(self, peer: mesh_peers.Peer) -> bool:
        return peer.hall not in ("", self.hall)

    def _far(self) -> list[mesh_peers.Peer]:
        return [peer for peer in self._peers.values() if self._is_far(peer)]

    def _own_hall_relays(self, now: float) -> set[str]:
        near = self._near()
        return mesh_plan.hall_relays(self.name, near, now, self.machine_size)

    def _is_before_us(self, peer: mesh_peers.Peer) -> bool:
        """Whether a peer of our hall takes roles before us."""
        own = machine_size.role_key(self.machine_size, self.name)
        return mesh_plan.role_key(peer) < own


def _rank_key(label: str) -> typing.Callable[[str], int]:
    """Return the key function that ranks names for a duty."""
    return lambda name: zlib.crc32(f"{name}#{label}".encode())
