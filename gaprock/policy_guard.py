"""Guards: whether the evidence shows that a version must be halted.

``Sequential`` may be evaluated after every answer without exceeding its error bound. It
compares the answers seen with those expected at the stable version's error rate, using
two tests:

1. A test from the start of the rollout averages the likelihood ratio over a grid of
   worse rates. By Ville's inequality, a version that is no worse than the bound is
   halted with probability at most ``ERROR_CHANCE``, however often it is evaluated.
2. A CUSUM test, for much later, sums the log likelihood ratio of each worse rate from
   the answer at which the sum was lowest. A long good record thus does not hide a
   version that turns bad.
"""

import math
import typing

from gaprock import plugin, policy_api

ERROR_CHANCE: typing.Final = 0.005
# Log of the mean number of good answers between two false alarms of the CUSUM.
CUSUM_LIMIT: typing.Final = math.log(1e7)
# A version's error rate may exceed that of the stable version by this much.
TOLERANCE: typing.Final = 0.03
# The stable version's rate is assumed this many standard deviations above its estimate.
STABLE_SIGMAS: typing.Final = 2.0
# Prior for the stable version, used while there is no evidence: 1 bad answer in 20.
PRIOR_ANSWERS: typing.Final = 20
PRIOR_BAD: typing.Final = 1
# Number of rates above the bound that are tested.
GRID_SIZE: typing.Final = 16
# Window length in answers, and threshold, of the ``fixed-window`` baseline.
WINDOW: typing.Final = 200
WINDOW_RATE: typing.Final = 0.1


def stable_bound(stable: policy_api.Counts) -> float:
    """Return the highest rate of bad answers that counts as normal."""
    answers = stable.answers + PRIOR_ANSWERS
    rate = (stable.bad + PRIOR_BAD) / answers
    spread = math.sqrt(rate * (1 - rate) / answers)
    return min(0.9, rate + STABLE_SIGMAS * spread + TOLERANCE)


def log_ratios(seen: policy_api.Counts, bound: float) -> list[float]:
    """Return the log likelihood ratio of each worse rate against the bound."""
    good = seen.answers - seen.bad
    logs = []
    for step in range(1, GRID_SIZE + 1):
        rate = bound + (1 - bound) * step / (GRID_SIZE + 1)
        gain = seen.bad * math.log(rate / bound)
        loss = good * math.log((1 - rate) / (1 - bound))
        logs.append(gain + loss)
    return logs


def log_mean(logs: typing.Sequence[float]) -> float:
    """Return the log of the mean of numbers that are given as logs."""
    top = max(logs)
    return top + math.log(sum(math.exp(x - top) for x in logs) / len(logs))


class Cusum:
    """The CUSUM test of one version, with one sum per rate."""

    __slots__ = ("seen", "sums")

    def __init__(self) -> None:
        self.seen = policy_api.Counts(0, 0)
        self.sums = [0.0] * GRID_SIZE

    def add(self, seen: policy_api.Counts, bound: float) -> float:
        """Add the answers since the last call and return the highest sum.

        :param seen: the counts up to now.
        """
        answers = max(0, seen.answers - self.seen.answers)
        bad = min(answers, max(0, seen.bad - self.seen.bad))
        self.seen = seen
        grown = log_ratios(policy_api.Counts(answers, bad), bound)
        self.sums = [max(0.0, s + g) for s, g in zip(self.sums, grown)]
        return max(self.sums)


@plugin.register(policy_api.Guard, "sequential")
class Sequential(policy_api.Guard):
    """An always-valid sequential test with a CUSUM; see the module's description."""

    __slots__ = ("_cusums",)

    def __init__(self) -> None:
        self._cusums: dict[str, Cusum] = {}

    def is_bad(
        self, version: str, seen: policy_api.Counts, stable: policy_api.Counts
    ) -> bool:
        bound = stable_bound(stable)
        highest = self._cusums.setdefault(version, Cusum()).add(seen, bound)
        if not seen.bad:
            return False
        from_start = log_mean(log_ratios(seen, bound))
        return from_start > -math.log(ERROR_CHANCE) or highest > CUSUM_LIMIT


@plugin.register(policy_api.Guard, "fixed-window")
class FixedWindow(policy_api.Guard):
    """Baseline: the error rate over a fixed number of answers, judged at their end."""

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        self._starts: dict[str, policy_api.Counts] = {}

    def is_bad(
        self, version: str, seen: policy_api.Counts, stable: policy_api.Counts
    ) -> bool:
        start = self._starts.setdefault(version, policy_api.Counts(0, 0))
        answers = seen.answers - start.answers
        if answers < WINDOW:
            return False
        self._starts[version] = seen
        return (seen.bad - start.bad) / answers > WINDOW_RATE
