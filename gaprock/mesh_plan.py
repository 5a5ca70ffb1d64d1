"""Selection of a hall's relays, and of the peers that they send to.

Everything is decided from which peers were heard; no network is used here.

Bytes between halls cost money, and heartbeats from every gateway to every other one
grow with the square of their number.  So gateways send to their own hall only, and the
first live ones of a hall, its *relays*, also send to the relays of the other halls.
Gateways are ordered by the size of their machines and by name (``machine_size``).
There is no election and nothing is stored: each gateway decides by itself whether it is
among the first that it hears.  If two disagree for a moment, both act as relays, which
costs some heartbeats and does no harm.
"""

import typing
import zlib

from gaprock import machine_size, mesh_peers

# Relays of a hall.  With two, a halt still gets through while one of them is frozen or
# cut off and that is not noticed yet.
RELAYS_PER_HALL: typing.Final = 2
# A gateway of the own hall that was not heard for this long is no relay: two idle
# intervals, so that a hall has a new relay within a second of losing one.
RELAY_TIMEOUT_S: typing.Final = 0.8
# Number of addresses that are probed at a time in a hall from which nothing is heard,
# and the time until the next ones are.
PROBES: typing.Final = 2
PROBE_S: typing.Final = 1.0
# Gateways that share a reader of the store.  A reader sends each change to all of them;
# for a hall of a hundred that is more than the network link of a small vm can carry.
READER_GROUP: typing.Final = 12


def living(near: typing.Iterable[mesh_peers.Peer], now: float) -> list[mesh_peers.Peer]:
    """Return the gateways of the own hall that were heard recently and do not leave."""
    return [
        peer
        for peer in near
        if peer.last_seen_at >= now - RELAY_TIMEOUT_S
        and peer.beat
        and not peer.beat.leaving
    ]


def hall_relays(
    name: str, near: typing.Iterable[mesh_peers.Peer], now: float, size: int = 0
) -> set[str]:
    """Return the names of the own hall's relays, as the gateway ``name`` sees them.

    :param size: the class of that gateway's machine.
    """
    keys = {role_key(peer) for peer in living(near, now)}
    ordered = sorted({machine_size.role_key(size, name), *keys})
    return {key[1] for key in ordered[:RELAYS_PER_HALL]}


def role_key(peer: mesh_peers.Peer) -> tuple[int, str]:
    """Return the key by which a peer is ordered for roles."""
    size = peer.beat.machine_size if peer.beat else machine_size.UNKNOWN
    return machine_size.role_key(size, peer.name)


def reader_group(name: str, gateways: int) -> int:
    """Return the group of a hall's gateways that share one reader of the store.

    If gateways count the hall differently for a moment, the store is read once more, or
    a gateway of another group is asked.

    :param gateways: the number in the hall; too few for two groups form a single one.
    """
    groups = max(1, gateways // READER_GROUP)
    return zlib.crc32(name.encode()) % (1 << (groups.bit_length() - 1))


def targets(
    far: typing.Iterable[mesh_peers.Peer], relay_addresses: set[str], now: float
) -> list[mesh_peers.Peer]:
    """Return the gateways of other halls that a relay sends to.

    :param far: all known gateways of other halls.
    :param relay_addresses: the addresses of the known relays among them.
    """
    halls: dict[str, list[mesh_peers.Peer]] = {}
    for peer in far:
        halls.setdefault(peer.hall, []).append(peer)
    found = []
    for peers in halls.values():
        known = [peer for peer in peers if peer.address in relay_addresses]
        found += known or _probed(peers, now)
    return found


def misdirected_senders(
    far: typing.Iterable[mesh_peers.Peer], now: float
) -> list[mesh_peers.Peer]:
    """Return the gateways of other halls that send to us though we are no relay.

    They get heartbeats that name our relays, until they send to those.
    """
    return [
        peer for peer in far if peer.beat and peer.last_heartbeat_at >= now - PROBE_S
    ]


def _probed(peers: list[mesh_peers.Peer], now: float) -> list[mesh_peers.Peer]:
    """Return the gateways of a silent hall that are probed now, each for a while."""
    trying = [peer for peer in peers if now < peer.probed_at + PROBE_S]
    waiting = [peer for peer in peers if peer not in trying]
    waiting.sort(key=lambda peer: (peer.probed_at, peer.name, peer.address))
    for peer in waiting[: max(0, PROBES - len(trying))]:
        peer.probed_at = now
        trying.append(peer)
    return trying
