"""Records of suspects, and the updates about them that gateways exchange.

A suspect is something that may have crashed endpoints: a request, or what requests
share, which is a segment of their prompts or a family (``request_fingerprint``).
"""

import enum
import typing

import msgspec

from gaprock import clock

# A request counts as just started for this long after its answer began.  In a log of
# ten crashes, poison requests crashed their endpoints 0.035 to 0.12 s after that; a
# gateway that runs at half the speed measures the same.  Of 126 bystanders in that log,
# about 15 had started as recently at one crash, and none at two.
JUST_STARTED_S: typing.Final = 0.3
# A crash does not count against what a request shares with others if its answer began
# at least this long before.
SUSPICION_WINDOW_S: typing.Final = 1.0
# A request that was open at this many crashes may not use the last healthy endpoint of
# a service.
RESERVE_CRASHES: typing.Final = 2
# Weight that a crash adds against a suspect that had just started at the endpoint, and
# against any other one that may have caused it.  A suspect is held once its sum reaches
# ``HELD_WEIGHT``: three crashes at which it had just started, or six at which it was
# open.
BEGUN_WEIGHT: typing.Final = 2
OPEN_WEIGHT: typing.Final = 1
HELD_WEIGHT: typing.Final = 6
# A request or a family is held at this many crashes whatever their weight, unless
# endpoints crash without it as well: each such crash takes one more.
HELD_CRASHES: typing.Final = 3
# What requests share is held only if this many different ones with it were open at
# crashes.  One request alone may be the cause by something else that it contains.
MIN_REQUESTS: typing.Final = 2
# Maximum number of incarnations recorded against one suspect; more change nothing.
MAX_INCARNATIONS: typing.Final = 8
# Requests are told apart by this part of their fingerprints.
REQUEST_MASK: typing.Final = 0xFFFF_FFFF


class SuspectUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What a gateway reports about a suspect.

    :param incarnations: the weight against it, by endpoint incarnation.
    :param held_s: how much longer it is held; 0 if it is not held.  Sent as whole
        seconds, which take fewer bytes.
    :param is_cleared: whether it was answered completely.
    :param requests: of what requests share, some different requests that had it at
        crashes; ``None`` for a request.
    :param is_family: whether it is a family, and not a segment.
    """

    fingerprint: int
    incarnations: dict[str, int]
    held_s: float = 0.0
    is_cleared: bool = False
    requests: list[int] | None = None
    is_family: bool = False

    @property
    def is_shared(self) -> bool:
        """Whether it is about a segment or a family, and not about a request."""
        return self.requests is not None


class Origin(enum.Enum):
    """Where a change came from."""

    OWN = 0
    # A gateway of the same hall, and one of another hall.
    NEAR = 1
    FAR = 2


class Suspect:
    """The record of one fingerprint."""

    __slots__ = (
        "fingerprint",
        "is_shared",
        "is_family",
        "incarnations",
        "requests",
        "updated_at",
        "held_until",
        "is_doubtful",
        "expired_holds",
        "has_own_evidence",
        "cleared_at",
        "cleared_until",
        "changed_at",
        "origin",
    )

    def __init__(
        self, fingerprint: int, is_shared: bool, is_family: bool, now: float
    ) -> None:
        self.fingerprint = fingerprint
        # Whether it is a segment or a family; whether it is a family.
        self.is_shared = is_shared
        self.is_family = is_family
        self.incarnations: dict[str, int] = {}
        # Different requests that had it at crashes; at most ``MIN_REQUESTS``.
        self.requests: set[int] = set()
        self.updated_at = now
        self.held_until = -clock.NEVER
        # Whether it is held for the number of its crashes alone.
        self.is_doubtful = False
        # Number of its holds that expired here.
        self.expired_holds = 0
        # Whether any of the crashes were seen here.
        self.has_own_evidence = False
        # When it was cleared last, and until when peers may not know of that.
        self.cleared_at = -clock.NEVER
        self.cleared_until = -clock.NEVER
        # Time and origin of the last change.
        self.changed_at = now
        self.origin = Origin.OWN

    @property
    def kind(self) -> str:
        """What it is, as the log names it."""
        if self.is_family:
            return "family"
        return "segment" if self.is_shared else "request"

    @property
    def is_segment(self) -> bool:
        """Whether it is a segment of prompts."""
        return self.is_shared and not self.is_family

    @property
    def has_enough_requests(self) -> bool:
        """Whether different requests that share it were open at crashes."""
        return not self.is_shared or len(self.requests) >= MIN_REQUESTS

    def merge(self, update: SuspectUpdate) -> bool:
        """Merge weights and requests; return whether any was new or higher."""
        fresh = {
            incarnation: min(weight, HELD_WEIGHT - 1)
            for incarnation, weight in update.incarnations.items()
            if weight > self.incarnations.get(incarnation, 0)
            and (
                incarnation in self.incarnations
                or len(self.incarnations) < MAX_INCARNATIONS
            )
        }
        self.incarnations.update(fresh)
        lacking = MIN_REQUESTS - len(self.requests)
        others = set(update.requests or ()) - self.requests
        added = sorted(others)[:lacking]
        self.requests.update(added)
        return bool(fresh or added)

    def reset(self) -> None:
        """Drop the weight against it."""
        self.has_own_evidence = False
        self.incarnations.clear()
        self.requests.clear()

    def to_update(self, now: float) -> SuspectUpdate:
        """Return the update that peers get."""
        return SuspectUpdate(
            self.fingerprint,
            dict(self.incarnations),
            int(max(0.0, self.held_until - now)),
            now < self.cleared_until and not self.incarnations,
            sorted(self.requests) if self.is_shared else None,
            self.is_family,
        )


def reserves_last_endpoint(crash_count: int, living: int, all_of: int) -> bool:
    """Whether a request may not use the last healthy endpoint of several.

    If the request crashed the others, it would take the service down for all callers,
    and a bystander that was open beside it at the others would be held with it.

    :param crash_count: number of crashes at which the request was open.
    :param living: number of healthy endpoints.
    :param all_of: number of endpoints in all.
    """
    return crash_count >= RESERVE_CRASHES and living <= 1 < all_of


def suspicion_weight(begun_s: float, may_wait: bool) -> int:
    """Return the weight that a crash adds against a request.

    :param begun_s: seconds since the answer began; -1 before that.
    :param may_wait: whether a request whose answer has not begun is probably queued at
        the endpoint.
    """
    if begun_s < 0:
        return OPEN_WEIGHT if may_wait else BEGUN_WEIGHT
    return BEGUN_WEIGHT if begun_s <= JUST_STARTED_S else OPEN_WEIGHT
