"""What the mesh keeps of each peer, and when a peer is due a heartbeat."""

import typing

from gaprock import clock, mesh_messages

# Intervals between heartbeats: while something changes, and otherwise.
BUSY_BEAT_S: typing.Final = 0.2
IDLE_BEAT_S: typing.Final = 1.0
# Interval between heartbeats in the own hall while nothing changes.  Which gateways are
# the hall's relays depends on which are heard, so a silent one has to be noticed soon.
NEAR_IDLE_S: typing.Final = 0.4
# Added to the interval between heartbeats to other halls for each peer there:
# heartbeats take about 3 KB a second, whatever the number of peers, up to the idle
# interval.
FAR_PEER_S: typing.Final = 0.07
# Added to the interval between heartbeats in the own hall for each peer there: up to 16
# peers have the minimum interval, and from 80 on each peer gets a heartbeat a second.
NEAR_PEER_S: typing.Final = 0.0125
# In a hall with more peers than this, loads and prompts are not sent: with one
# heartbeat a second they report requests that are over by then, and each gateway has so
# few requests that its report is a small part of an endpoint's load.
LARGE_HALL_PEERS: typing.Final = 40
# The first gateways of a hall by role, which may be its relays or readers, send
# heartbeats as often in a large hall as in a small one.
FREQUENT_SENDERS: typing.Final = 4


class BeatContent(typing.NamedTuple):
    """What a heartbeat would carry, to decide whether it is worth sending.

    :param urgent: what every peer must learn at once.
    :param routine: what can wait for the interval, such as loads and evidence.
    """

    urgent: object
    routine: object


class Peer:
    """Another gateway."""

    __slots__ = (
        "name",
        "hall",
        "address",
        "sock",
        "last_seen_at",
        "evidence_tick",
        "prompts_sent",
        "paces_sent",
        "paces_due",
        "beat",
        "asked_at",
        "last_sent_at",
        "last_sent",
        "probed_at",
        "last_selected_at",
        "last_heartbeat_at",
        "held_sent_at",
    )

    def __init__(
        self, name: str, address: str, sock: typing.Any, now: float, hall: str = ""
    ) -> None:
        self.name = name
        # Known from its row, or else from its first heartbeat.
        self.hall = hall
        self.address = address
        # ``None`` while nothing is sent to it.
        self.sock = sock
        self.last_seen_at = now
        # When it was last sent a heartbeat, and what that carried.
        self.last_sent_at = -IDLE_BEAT_S
        self.last_sent = BeatContent((), ())
        # The tick of the evidence that it has been sent.
        self.evidence_tick = 0
        # How many of our prompts it has been sent.
        self.prompts_sent = 0
        # The tick of the reported paces that it has been sent, and the incarnations
        # whose paces it is still to be sent since it is new.
        self.paces_sent = 0
        self.paces_due: list[str] = []
        self.beat: mesh_messages.Beat | None = None
        self.asked_at = 0.0
        # When it was last probed because nothing was heard from its hall.
        self.probed_at = -clock.NEVER
        # When it was last selected to be sent to, if it is in another hall.
        self.last_selected_at = -clock.NEVER
        # When its own last heartbeat arrived; a summary may have named it later.
        self.last_heartbeat_at = -clock.NEVER
        # When it was last sent all requests in quarantine.
        self.held_sent_at = -clock.NEVER


def near_pause(peers: int) -> float:
    """Return the seconds between two heartbeats in a hall while something changes.

    :param peers: the number of peers in the hall.
    """
    return min(IDLE_BEAT_S, max(BUSY_BEAT_S, NEAR_PEER_S * peers))


def far_pause(peers: int) -> float:
    """Return the seconds between two heartbeats to other halls while something changes.

    :param peers: the number of peers that are sent to there.
    """
    return min(IDLE_BEAT_S, max(BUSY_BEAT_S, FAR_PEER_S * peers))


def is_due(
    peer: Peer,
    now: float,
    news: BeatContent,
    pause_s: float,
    idle_s: float = IDLE_BEAT_S,
) -> bool:
    """Whether a peer is due a heartbeat now."""
    if news.urgent != peer.last_sent.urgent:
        return True
    rested_s = now - peer.last_sent_at
    if news.routine != peer.last_sent.routine:
        return rested_s >= pause_s
    return rested_s >= idle_s
