"""Who is there: the gateways that were heard, and what follows from that alone.

Who reads the store for a hall, who tries it while it is away, whose turn a duty is, and
how many the fleet has.  Every gateway answers by what it heard; nobody is asked.
"""

import threading
import typing
import zlib

from gaprock import clock, mechanisms, mesh_halls, mesh_peers, mesh_plan

# A peer that is silent for this long counts no more, seconds.
SILENT_S: typing.Final = 2.5
# A gateway reads the store for others of its hall if it was heard within this time,
# seconds, a little more than the idle beat; so many of them are enough.
READER_TIMEOUT_S: typing.Final = 1.3
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


# How many gateways there were is remembered for so long, seconds: a hall may be gone or
# cut off for minutes, and each of its gateways by itself would take itself for alone.
MOST_KEPT_S: typing.Final = 600.0


class PeerAddress(typing.NamedTuple):
    """An address where a gateway takes messages.

    :param hall: where it stands; empty if that is not known, as is its name.
    """

    address: str
    hall: str = ""
    name: str = ""


class RecentPeak:
    """The largest of the latest counts.

    :param keep_s: how long a count is remembered at least, twice that at most.
    """

    __slots__ = ("_keep_s", "_since", "_newer", "_older")

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._since = -clock.NEVER
        self._newer = self._older = 0

    def note(self, count: int, now: float) -> None:
        """Take a count."""
        if now >= self._since + self._keep_s:
            self._since, self._older, self._newer = now, self._newer, 0
        self._newer = max(self._newer, count)

    @property
    def value(self) -> int:
        """The largest; 0 before the first."""
        return max(self._newer, self._older)


class Members:
    """The gateways that this one knows; safe for all threads."""

    def __init__(
        self,
        name: str,
        hall: str,
        address: str,
        clock_: clock.Clock,
        halls: mesh_halls.HallBook,
    ) -> None:
        self.name = name
        self.hall = hall
        self.address = address
        self._clock = clock_
        # What is known of the other halls.
        self.halls = halls
        # The most gateways that the fleet had, as we counted and as others told.
        self._counted = RecentPeak(MOST_KEPT_S)
        self._told_most = RecentPeak(MOST_KEPT_S)
        self._lock = threading.Lock()
        self._peers: dict[str, mesh_peers.Peer] = {}
        # Addresses to say hello to, filled by other threads.
        self._new_addresses: list[PeerAddress] = []
        self.leaving = False
        # Our requests on the old version, by service; given by the server.
        self.own_on_old_version: typing.Callable[[str], int] = lambda service: 0
        # Until when readers may not have been heard yet; ``NEVER`` before any is known.
        self._listen_until = clock.NEVER
        # Until when a gateway before us by name may have read the tables for us.
        self._await_until = -clock.NEVER
        # Since when some other gateway has the store's answers; ``NEVER`` while none.
        self._answered_since = clock.NEVER
        # Whether we were among our hall's carriers at the last look.
        self._carried = False

    def found(self, found: list[PeerAddress]) -> None:
        """Take addresses of gateways from the store."""
        others = [one for one in found if one.address != self.address]
        self._counted.note(1 + len(others), self._clock.now())
        with self._lock:
            self._new_addresses += others
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
        return self._clock.now() < self._await_until and not self._is_crowded()

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

    def peak_gateways(self) -> int:
        """Give the most gateways that there were lately, whoever is missing now.

        A gateway that is cut off has to go by those that it cannot hear.

        :returns: 0 before the store's rows were read or anybody was heard.
        """
        if not self.address:
            return 1
        return max(self._counted.value, self._told_most.value)

    def _count_members(self, now: float) -> None:
        """Count who is there now, once anything tells that."""
        if self._counted.value or self._told_most.value:
            self._counted.note(self.members(), now)

    def duty_rank(self, label: str) -> int:
        """Give our place among the living gateways for a duty; a hash sorts them.

        Carriers go first, since all of them know each other.
        """
        near = self._living_near()
        own = mesh_plan.hall_relays(self.name, near, self._clock.now())
        far = {c.name for known in self.halls.hall_relays().values() for c in known}
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
        return sum(self._is_in_group(p) for p in self._readers_before()) >= READERS

    def _is_in_group(self, peer: mesh_peers.Peer) -> bool:
        """Whether a peer of our hall reads the store for the same gateways as we do."""
        gateways = 1 + len(self._living_near())
        own = mesh_plan.reader_group(self.name, gateways)
        return mesh_plan.reader_group(peer.name, gateways) == own

    def _is_crowded(self) -> bool:
        """Whether our hall is so large that its gateways tell each other less."""
        return len(self._living_near()) > mesh_peers.CROWD

    def peers_probe_store(self) -> bool:
        """Whether others of our hall try a store that does not answer us.

        They have its answers, or enough of them come before us by name.
        """
        since = self._clock.now() - READER_TIMEOUT_S
        heard = [peer for peer in self._living_near() if peer.heard_at >= since]
        if any(peer.beat is not None and peer.beat.has_store for peer in heard):
            return True
        return sum(peer.name < self.name for peer in heard) >= TRIERS

    def store_back_at(self) -> float:
        """Give when the store answered somebody again; now if nobody was heard to say.

        A gateway that leaves the store to others asks it up to 5 s after its return.
        """
        return min(self._clock.now(), self._answered_since)

    def _note_answered(self, now: float) -> None:
        """Note whether the store answers somebody else."""
        since = now - READER_TIMEOUT_S
        near = self._living_near()
        is_answered = self.halls.has_store() or any(
            p.heard_at >= since and p.beat and p.beat.has_store for p in near
        )
        if not is_answered:
            self._answered_since = clock.NEVER
        elif self._answered_since == clock.NEVER:
            self._answered_since = now

    def is_first_reader(self) -> bool:
        """Whether no reader of the store comes before us by name, in any hall."""
        return not self._readers_before() and not self.halls.has_reader_before()

    def _readers_before(self) -> list[mesh_peers.Peer]:
        """Give our hall's peers before us by name whom the store answers."""
        since = self._clock.now() - READER_TIMEOUT_S
        return [
            peer
            for peer in self._near()
            if peer.heard_at >= since
            and peer.beat is not None
            and peer.beat.has_store
            and not peer.beat.leaving
            and peer.name < self.name
        ]

    def count_on_old_version(self, service: str) -> int:
        """Give the requests on a service's old version, over all living gateways."""
        since = self._clock.now() - SILENT_S
        beats = [p.beat for p in self._near() if p.heard_at >= since]
        news = [n for beat in beats if beat for n in beat.rollouts]
        others = sum(n.on_old for n in news if n.service == service)
        return self.own_on_old_version(service) + others + self.halls.on_old(service)

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

    def _is_far(self, peer: mesh_peers.Peer) -> bool:
        return peer.hall not in ("", self.hall)

    def _far(self) -> list[mesh_peers.Peer]:
        return [peer for peer in self._peers.values() if self._is_far(peer)]

    def _carriers(self, now: float) -> set[str]:
        return mesh_plan.hall_relays(self.name, self._near(), now)


def _place(label: str) -> typing.Callable[[str], int]:
    """Make the key that sorts names for a duty."""
    return lambda name: zlib.crc32(f"{name}#{label}".encode())
