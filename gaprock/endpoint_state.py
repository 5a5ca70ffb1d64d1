"""State of one endpoint as a gateway knows it: row, load, health and prefix cache.

The directory (``directory``) owns this state and guards it by its lock.
"""

import typing

from gaprock import (
    backlog,
    clock,
    endpoint_held,
    endpoint_pace,
    gateway_api,
    prefix_cache,
)

# First ejection of an endpoint that refused a connection.
FIRST_EJECTION_S: typing.Final = 0.5
# An endpoint that sends nothing for this long while it has requests of this gateway is
# checked with a new connection.
SILENT_S: typing.Final = 0.5
# Least interval between connection checks of an endpoint.
CHECK_INTERVAL_S: typing.Final = 0.5


class Load(typing.NamedTuple):
    """Load of a gateway at an endpoint.

    :param running: number of requests.
    :param reading: prefill backlog, in tokens of the largest model.
    """

    running: int
    reading: float


class Prompt(typing.NamedTuple):
    """Prefill work that a send causes at an endpoint.

    :param prefill_tokens: uncached part, in tokens of the largest model.
    :param hashes: prefix hashes of the whole prompt.
    :param tokens: uncached part, in tokens of its own model.
    :param cached: share of the prompt that is cached there.
    """

    prefill_tokens: float
    hashes: list[prefix_cache.PrefixHash]
    tokens: int = 0
    cached: float = 0.0


def incarnation_id(name: str, born: int) -> str:
    """Return the name of an endpoint's incarnation, as gateways use it in gossip.

    An endpoint that restarts under its id has lost all earlier state, and earlier
    reports no longer hold for it.

    :param born: its start time; 0 if unknown.
    """
    return f"{name}@{born}" if born else name


class Endpoint:
    """One incarnation of an endpoint; guarded by the directory's lock."""

    __slots__ = (
        "name",
        "incarnation",
        "row",
        "has_ended",
        "successor_born",
        "leave_at",
        "row_leave_at",
        "answer_leave_at",
        "row_gone",
        "row_gone_at",
        "lapsed",
        "running",
        "backlog",
        "others",
        "cache",
        "last_seen_at",
        "sent_at",
        "checked_at",
        "is_unreachable",
        "suspected_by",
        "suspected_at",
        "ejected_until",
        "pause_s",
        "probe_in_flight",
        "answers",
        "failure_rate",
        "warm_at",
        "next_send_at",
        "pace",
        "held",
    )

    def __init__(self, name: str, row: gateway_api.EndpointRow) -> None:
        self.name = name
        self.incarnation = incarnation_id(name, row.born)
        self.row = row
        # Whether the endpoint has restarted since, and the start time in its new row.
        self.has_ended = False
        self.successor_born = 0
        # When to stop using it, by its row and by its answers, and the earlier of both;
        # ``NEVER`` while it is not leaving.
        self.leave_at = clock.NEVER
        self.row_leave_at = clock.NEVER
        self.answer_leave_at = clock.NEVER
        # Whether its row is missing from the store, and since when.
        self.row_gone = False
        self.row_gone_at = 0.0
        # Whether its row probably expired while the store was unavailable.
        self.lapsed = False
        # Requests of this gateway, and load of peers by gateway name.
        self.running = 0
        self.others: dict[str, Load] = {}
        # Prefill backlog from all gateways.
        self.backlog = backlog.Backlog()
        # Estimated contents of its prefix cache.
        self.cache = prefix_cache.PrefixCache()
        # When bytes last arrived from it, and when it last got a request while idle.
        self.last_seen_at = 0.0
        self.sent_at = 0.0
        # When its connection was last checked, and whether it refused.
        self.checked_at = 0.0
        self.is_unreachable = False
        # Peers that report it as unreachable, and when the first report came.
        self.suspected_by: set[str] = set()
        self.suspected_at = 0.0
        # End of the ejection, length of the next one, and whether a probe is out.
        self.ejected_until = 0.0
        self.pause_s = FIRST_EJECTION_S
        self.probe_in_flight = False
        self.answers = 0
        self.failure_rate = 0.0
        # When it has warmed up, and until then the earliest time for this gateway's
        # next send (``warm_up``).
        self.warm_at = 0.0
        self.next_send_at = 0.0
        # The load and the pace that it reports.
        self.pace = endpoint_pace.EndpointPace()
        # Bytes of large requests that it was given and has not answered.
        self.held = endpoint_held.EndpointHeld()

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port."""
        return self.row.host, self.row.port

    def leave_by_row(self, at: float) -> None:
        """Set by its row when to stop using it; ``NEVER`` if it stays."""
        self.row_leave_at = at
        self.leave_at = min(at, self.answer_leave_at)

    def leave_by_answer(self, at: float) -> None:
        """Set by its answers when to stop using it; ``NEVER`` if it stays."""
        self.answer_leave_at = at
        self.leave_at = min(at, self.row_leave_at)

    @property
    def stays(self) -> bool:
        """Whether it is not known to leave; an expired row alone does not count."""
        is_back_soon = self.lapsed and self.answer_leave_at == clock.NEVER
        return self.leave_at == clock.NEVER or is_back_soon

    @property
    def announced_end(self) -> bool:
        """Whether it said, in its row or in an answer, that it leaves."""
        return self.row.draining or self.answer_leave_at != clock.NEVER

    @property
    def load(self) -> int:
        """Requests of all gateways together."""
        return self.running + sum(load.running for load in self.others.values())

    @property
    def is_suspected(self) -> bool:
        """Whether peers report it as unreachable and it has sent nothing since."""
        return bool(self.suspected_by) and self.last_seen_at < self.suspected_at

    def refused_lately(self, now: float) -> bool:
        """Whether it refused a connection too recently to be tried again."""
        return self.is_unreachable and now < self.checked_at + CHECK_INTERVAL_S

    def silent(self, now: float) -> bool:
        """Whether it has requests of this gateway and sends nothing."""
        return (
            self.running > 0 and now - max(self.last_seen_at, self.sent_at) > SILENT_S
        )

    def prompt(
        self, hashes: list[prefix_cache.PrefixHash], tokens: int, weight: float
    ) -> Prompt:
        """Return the prefill work that a request would cause.

        :param tokens: length of the whole prompt.
        :param weight: cost of the model's token; that of the largest model is 1.
        """
        to_read = max(0, tokens - self.cache.cached(hashes))
        cached = 1.0 - to_read / tokens if tokens else 0.0
        return Prompt(weight * to_read, hashes, to_read, cached)
