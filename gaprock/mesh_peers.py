"""The other gateways as the mesh knows them, and when each is due a beat."""

import typing

from gaprock import clock, mesh_messages

# Pause between beats while something changes, and otherwise, seconds.
BUSY_BEAT_S: typing.Final = 0.2
IDLE_BEAT_S: typing.Final = 1.0
# Pause between beats in the own hall while nothing changes, seconds; who speaks for the
# hall follows from who is heard there, so a silent gateway has to show soon.
NEAR_IDLE_S: typing.Final = 0.4
# What each peer in another hall adds to the pause between beats to such peers, seconds:
# about 3 KB a second of beats, whatever their number, up to the idle pause.
FAR_PEER_S: typing.Final = 0.07
# What each peer of the own hall adds to the pause between beats there, seconds: 16 have
# the pause of few, and from 80 on a beat goes to each of them a second.
NEAR_PEER_S: typing.Final = 0.0125
# In a hall with more peers than this, loads and prompts are not told: a beat to all of
# them a second tells of requests that are over by then, and each gateway has so few
# that what it tells is little of what an endpoint has.
CROWD: typing.Final = 40
# The first gateways of a hall by name, who may speak or read for it, are heard as often
# in a large hall as in a small one.
FIRST_FEW: typing.Final = 4


class News(typing.NamedTuple):
    """What a beat would tell, to see whether it is worth sending.

    :param urgent: what every peer must know at once.
    :param usual: loads and evidence.
    """

    urgent: object
    usual: object


class Peer:
    """Another gateway."""

    __slots__ = (
        "name",
        "hall",
        "address",
        "sock",
        "heard_at",
        "tick",
        "prompts",
        "beat",
        "asked_at",
        "beat_at",
        "told",
        "probed_at",
        "used_at",
        "spoke_at",
        "held_told_at",
    )

    def __init__(
        self, name: str, address: str, sock: typing.Any, now: float, hall: str = ""
    ) -> None:
        self.name = name
        # Unknown until its first beat, or from its row.
        self.hall = hall
        self.address = address
        # ``None`` while it is not spoken to.
        self.sock = sock
        self.heard_at = now
        # When it was last sent a beat, and what that told.
        self.beat_at = -IDLE_BEAT_S
        self.told = News((), ())
        # The evidence that it has been sent.
        self.tick = 0
        # How many of our prompts it was told.
        self.prompts = 0
        self.beat: mesh_messages.Beat | None = None
        self.asked_at = 0.0
        # When it was last tried because nobody of its hall was heard.
        self.probed_at = -clock.NEVER
        # When it was last chosen to be spoken to, in another hall.
        self.used_at = -clock.NEVER
        # When its last beat came here; others may have told of it later.
        self.spoke_at = -clock.NEVER
        # When it was last told all requests that are held.
        self.held_told_at = -clock.NEVER


def near_pause(peers: int) -> float:
    """Give the seconds between two beats in a hall while something changes.

    :param peers: how many peers it has.
    """
    return min(IDLE_BEAT_S, max(BUSY_BEAT_S, NEAR_PEER_S * peers))


def far_pause(peers: int) -> float:
    """Give the seconds between two beats to other halls while something changes.

    :param peers: how many peers are spoken to there.
    """
    return min(IDLE_BEAT_S, max(BUSY_BEAT_S, FAR_PEER_S * peers))


def is_due(
    peer: Peer,
    now: float,
    news: News,
    pause_s: float,
    idle_s: float = IDLE_BEAT_S,
) -> bool:
    """Whether a peer is to be sent a beat now."""
    if news.urgent != peer.told.urgent:
        return True
    rested_s = now - peer.beat_at
    if news.usual != peer.told.usual:
        return rested_s >= pause_s
    return rested_s >= idle_s
