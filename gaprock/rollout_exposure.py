"""Exposure: how many of a service's sends went to the new version of its rollout.

A rollout may expose a share of all sends between its order and its end, and some more
(the *slack*).  Sends are counted like evidence: each gateway has counters that only
grow, and the sum is over all gateways, including those that have ended.

Each gateway may expose that share of its own sends, and an equal part of the slack.  So
the sum over all gateways is within the allowance whatever they hear of each other.  Two
kinds of sends are bounded by a forecast alone: those of sessions that are on the new
version already, and all those after the outcome *completed*.

A part of the slack that an earlier process may have used is not used again
(``rollout_state.Rollout.planned_slack``).
"""

import typing

from gaprock import evidence

# Under this route the evidence has the sends: all of them as answers, those to the new
# version as bad ones.
SENDS: typing.Final = "sends"


class Sends(typing.NamedTuple):
    """Sends of a rollout's service.

    :param total: all of them.
    :param exposed: those to the new version.
    """

    total: int
    exposed: int


class Allowance(typing.NamedTuple):
    """How many sends a new version may get until the end of its rollout.

    :param share: the share of all sends.
    :param slack: sends that are allowed on top of it.
    """

    share: float
    slack: float

    def limit(self, total: float) -> float:
        """Return the exposure that is allowed by so many sends."""
        return self.share * total + self.slack

    def admits(self, sends: Sends, reserve: float = 0.0) -> bool:
        """Whether one more send may go to the new version.

        :param reserve: exposure to leave for later.
        """
        return sends.exposed + 1 + reserve <= self.limit(sends.total + 1)

    def with_slack(self, used_share: float) -> "Allowance":
        """Return the allowance with a share of its slack."""
        return self._replace(slack=used_share * self.slack)


class SendCounter:
    """The sends of all rollouts, by their labels; thread-safe."""

    __slots__ = ("_book",)

    def __init__(self, book: evidence.EvidenceBook) -> None:
        self._book = book

    def record(self, label: str, is_exposed: bool) -> None:
        """Count a send of this gateway."""
        self._book.count(f"{label}/{SENDS}", is_exposed, False)

    def own(self, label: str) -> Sends:
        """Return the sends of this process."""
        return _sends(self._book.own_totals(f"{label}/{SENDS}"))

    def fleet(self, label: str) -> Sends:
        """Return the sends of all gateways, as far as they were reported."""
        return _sends(self._book.totals(f"{label}/{SENDS}"))


def _sends(totals: evidence.Totals) -> Sends:
    return Sends(totals.answers, totals.bad)
