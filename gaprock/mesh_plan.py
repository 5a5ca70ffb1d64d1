"""Who speaks for a hall, and to whom: decided from who was heard, without a network.

Bytes between halls are priced, and a beat from every gateway to every other one grows
with the square of their number.  So gateways speak to their own hall only, and the
first living ones of a hall by name, its *carriers*, also speak to the carriers of the
other halls.  Nobody is elected and nothing is stored: each gateway sees by itself
whether it is among the first that it hears.  Two that disagree for a moment both carry,
which costs some beats and harms nothing.
"""

import typing
import zlib

from gaprock import mesh_peers

# Carriers of a hall.  With two, a halt passes while one of them is frozen or cut off
# and not yet noticed.
CARRIERS: typing.Final = 2
# A gateway of the own hall that was not heard for this long is passed by, seconds: two
# idle beats, so that a hall has a new carrier within a second of losing one.
HEARD_S: typing.Final = 0.8
# Addresses in a hall of which nothing is heard that are tried at a time, and the pause
# until the next ones are, seconds.
PROBES: typing.Final = 2
PROBE_S: typing.Final = 1.0
# Gateways that share a reader of the store: a reader hands each change to all of them,
# which is more than a small machine's link bears for a hall of a hundred.
READER_GROUP: typing.Final = 12


def living(near: typing.Iterable[mesh_peers.Peer], now: float) -> list[mesh_peers.Peer]:
    """Give the gateways of the own hall that were heard lately and stay."""
    return [
        peer
        for peer in near
        if peer.heard_at >= now - HEARD_S and peer.beat and not peer.beat.leaving
    ]


def hall_relays(
    name: str, near: typing.Iterable[mesh_peers.Peer], now: float
) -> set[str]:
    """Give the names of the own hall's carriers, as the gateway ``name`` sees them."""
    names = sorted({name, *(peer.name for peer in living(near, now))})
    return set(names[:CARRIERS])


def reader_group(name: str, gateways: int) -> int:
    """Give the group of a hall's gateways in which one reads the store for the others.

    Gateways that count the hall differently for a moment read once more, or ask one
    of another group.

    :param gateways: that the hall has; a smaller one than two groups has but one.
    """
    groups = max(1, gateways // READER_GROUP)
    return zlib.crc32(name.encode()) % (1 << (groups.bit_length() - 1))


def targets(
    far: typing.Iterable[mesh_peers.Peer], carrying: set[str], now: float
) -> list[mesh_peers.Peer]:
    """Give the gateways of other halls that a carrier speaks to.

    :param far: all that are known there.
    :param carrying: addresses of those that are known to carry.
    """
    halls: dict[str, list[mesh_peers.Peer]] = {}
    for peer in far:
        halls.setdefault(peer.hall, []).append(peer)
    found = []
    for peers in halls.values():
        known = [peer for peer in peers if peer.address in carrying]
        found += known or _probed(peers, now)
    return found


def to_correct(
    far: typing.Iterable[mesh_peers.Peer], now: float
) -> list[mesh_peers.Peer]:
    """Give the gateways of other halls that speak to us though we do not carry.

    They get beats that name our carriers until they speak to those.
    """
    return [peer for peer in far if peer.beat and peer.spoke_at >= now - PROBE_S]


def _probed(peers: list[mesh_peers.Peer], now: float) -> list[mesh_peers.Peer]:
    """Give the gateways of a silent hall that are tried now, each for a moment."""
    trying = [peer for peer in peers if now < peer.probed_at + PROBE_S]
    waiting = [peer for peer in peers if peer not in trying]
    waiting.sort(key=lambda peer: (peer.probed_at, peer.name, peer.address))
    for peer in waiting[: max(0, PROBES - len(trying))]:
        peer.probed_at = now
        trying.append(peer)
    return trying
