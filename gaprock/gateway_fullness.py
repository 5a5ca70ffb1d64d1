"""Decides when a gateway is too full for new connections.

A balancer may hand nearly all new connections of a hall, or of a region, to one
gateway.  That gateway then has far more open calls than the others, and would refuse
what they could serve.  It counts as full before it has to refuse anything, and tells
the balancer by its readiness check.

A gateway does not count as full if the others are as busy, since their callers would
only come back to it.  No more than a third of the gateways count as full at a time.

A call beyond what this gateway can serve is better left to another one unread than
refused, as long as the others have room: its caller tries there at once.
"""

import typing

from gaprock import clock

# A gateway is full from this share of its calls on, and has room again below the other.
FULL_SHARE: typing.Final = 0.6
ROOM_SHARE: typing.Final = 0.35
# It has to have this many times as many open calls as the others have on average.
SKEW: typing.Final = 2.5
# At most this share of the gateways is full at a time.
MAX_FULL_SHARE: typing.Final = 1 / 3
# That has to last for longer than the others' reports may be old, or all would count as
# full at the begin of a rush.
PERSIST_S: typing.Final = 0.6
# It stays full for at least this long, so that a balancer that checks each second, and
# acts on the second failure, notices.
MIN_FULL_S: typing.Final = 3.0


class PeerCalls(typing.NamedTuple):
    """What another gateway reported.

    :param open_calls: number of its open calls.
    """

    open_calls: int
    is_full: bool


class Fullness:
    """Whether this gateway is too full for new connections."""

    __slots__ = (
        "_clock",
        "_max_calls",
        "is_full",
        "others_have_room",
        "_changed_at",
        "_skewed_since",
    )

    def __init__(self, clock_: clock.Clock, max_calls: int) -> None:
        self._clock = clock_
        self._max_calls = max_calls
        self.is_full = False
        # Whether the other gateways could take calls that this one has to refuse.
        self.others_have_room = False
        self._changed_at = -clock.NEVER
        self._skewed_since = clock.NEVER

    def update(self, open_calls: int, peers: typing.Sequence[PeerCalls]) -> bool:
        """Judge the number of open calls; return whether the judgement changed.

        :param peers: the other gateways that could take this one's callers.
        """
        now = self._clock.now()
        able = [peer.open_calls for peer in peers if not peer.is_full]
        mean = sum(able) / len(able) if able else self._max_calls
        self.others_have_room = mean < FULL_SHARE * self._max_calls
        is_skewed = bool(able) and open_calls >= SKEW * mean
        is_high = open_calls >= FULL_SHARE * self._max_calls
        if not is_skewed or not is_high:
            self._skewed_since = clock.NEVER
        elif self._skewed_since == clock.NEVER:
            self._skewed_since = now
        if self.is_full:
            has_room = open_calls <= ROOM_SHARE * self._max_calls
            is_over = has_room or not is_skewed
            is_full = not is_over or now < self._changed_at + MIN_FULL_S
        else:
            lasts = now >= self._skewed_since + PERSIST_S
            is_full = lasts and self._may_be_full(peers)
        is_new = is_full != self.is_full
        if is_new:
            self.is_full, self._changed_at = is_full, now
        return is_new

    def _may_be_full(self, peers: typing.Sequence[PeerCalls]) -> bool:
        full = 1 + sum(peer.is_full for peer in peers)
        return full <= max(1.0, MAX_FULL_SHARE * (1 + len(peers)))
