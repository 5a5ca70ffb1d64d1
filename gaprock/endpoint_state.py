"""One endpoint as a gateway knows it: its row, load, health, and what it keeps.

The numbers are the directory's (``directory``), which guards and changes them.
"""

import typing

from gaprock import backlog, clock, gateway_api, prefix_cache

# First pause of an endpoint that took no connection, seconds.
FIRST_PAUSE_S: typing.Final = 0.5
# An endpoint that says nothing for this long while it has requests of ours is looked
# at with a new connection, seconds.
SILENT_S: typing.Final = 0.5
# An endpoint is looked at with a new connection at most so often, seconds.
LOOK_EVERY_S: typing.Final = 0.5


class Load(typing.NamedTuple):
    """What a gateway has at an endpoint.

    :param running: requests.
    :param reading: prompts that are not read yet, in tokens of the largest model.
    """

    running: int
    reading: float


class Prompt(typing.NamedTuple):
    """What a send makes an endpoint read.

    :param reading: what is not kept there, in tokens of the largest model.
    :param hashes: all of its parts.
    :param tokens: what is not kept there, in tokens of its own model.
    :param cached: share of it that is kept there.
    """

    reading: float
    hashes: list[prefix_cache.PrefixHash]
    tokens: int = 0
    cached: float = 0.0


def incarnation_id(name: str, born: int) -> str:
    """Give the name of an endpoint's life among gateways.

    One that starts again under its id knows nothing of before, and nothing that is told
    of before is true of it.

    :param born: its start; 0 if it is not known.
    """
    return f"{name}@{born}" if born else name


class Endpoint:
    """One life of an endpoint; its numbers are guarded by the directory's lock."""

    __slots__ = (
        "name",
        "incarnation",
        "row",
        "is_over",
        "leave_at",
        "row_leave_at",
        "told_leave_at",
        "row_gone",
        "lapsed",
        "running",
        "backlog",
        "others",
        "cache",
        "last_seen_at",
        "sent_at",
        "looked_at",
        "is_unreachable",
        "doubters",
        "doubted_at",
        "ejected_until",
        "pause_s",
        "probe_in_flight",
        "answers",
        "failure_rate",
        "warm_at",
        "next_send_at",
    )

    def __init__(self, name: str, row: gateway_api.EndpointRow) -> None:
        self.name = name
        self.incarnation = incarnation_id(name, row.born)
        self.row = row
        # Whether it has started again since.
        self.is_over = False
        # When it stops being used, ``NEVER`` while it is not leaving: the earlier of
        # what its row and its answers say.
        self.leave_at = clock.NEVER
        self.row_leave_at = clock.NEVER
        self.told_leave_at = clock.NEVER
        # Whether its row is missing from the store.
        self.row_gone = False
        # Whether its row likely lapsed while the store was away.
        self.lapsed = False
        # Requests of ours, and of other gateways by their names.
        self.running = 0
        self.others: dict[str, Load] = {}
        # The prompts of all gateways that it has not read yet.
        self.backlog = backlog.Backlog()
        # The parts of prompts that it likely keeps.
        self.cache = prefix_cache.PrefixCache()
        # When bytes last came from it, and when the oldest unanswered send was.
        self.last_seen_at = 0.0
        self.sent_at = 0.0
        # When a silent endpoint was last looked at, and whether it took no connection.
        self.looked_at = 0.0
        self.is_unreachable = False
        # The gateways that find it dark, and since when the first of them does.
        self.doubters: set[str] = set()
        self.doubted_at = 0.0
        # Set aside until then; the next pause, and whether a trial request is out.
        self.ejected_until = 0.0
        self.pause_s = FIRST_PAUSE_S
        self.probe_in_flight = False
        self.answers = 0
        self.failure_rate = 0.0
        # From when on it bears its whole load, and before that the earliest moment for
        # our next send (``warm_up``).
        self.warm_at = 0.0
        self.next_send_at = 0.0

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port."""
        return self.row.host, self.row.port

    def leave_by_row(self, at: float) -> None:
        """Take from its row when to stop using it; ``NEVER`` if it stays."""
        self.row_leave_at = at
        self.leave_at = min(at, self.told_leave_at)

    def leave_by_answer(self, at: float) -> None:
        """Take from its answers when to stop using it; ``NEVER`` if it stays."""
        self.told_leave_at = at
        self.leave_at = min(at, self.row_leave_at)

    @property
    def stays(self) -> bool:
        """Whether it is not leaving, so far as is known; a row may have lapsed."""
        is_back_soon = self.lapsed and self.told_leave_at == clock.NEVER
        return self.leave_at == clock.NEVER or is_back_soon

    @property
    def load(self) -> int:
        """Requests that all gateways together have there."""
        return self.running + sum(load.running for load in self.others.values())

    @property
    def is_suspected(self) -> bool:
        """Whether others find it dark and it has told us nothing since."""
        return bool(self.doubters) and self.last_seen_at < self.doubted_at

    def is_known_dark(self, now: float) -> bool:
        """Whether it took no connection a moment ago, so that it is not tried again."""
        return self.is_unreachable and now < self.looked_at + LOOK_EVERY_S

    def silent(self, now: float) -> bool:
        """Whether it has requests of ours and says nothing."""
        return (
            self.running > 0 and now - max(self.last_seen_at, self.sent_at) > SILENT_S
        )

    def prompt(
        self, hashes: list[prefix_cache.PrefixHash], tokens: int, weight: float
    ) -> Prompt:
        """Give what a request would make it read.

        :param tokens: of the whole prompt.
        :param weight: the work of the model's token, that of the largest being 1.
        """
        to_read = max(0, tokens - self.cache.cached(hashes))
        cached = 1.0 - to_read / tokens if tokens else 0.0
        return Prompt(weight * to_read, hashes, to_read, cached)
