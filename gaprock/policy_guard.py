"""Guards: whether evidence shows that a version must stop.

``Sequential`` may be asked after every answer without losing its error bound.  It
compares the answers seen with what the stable version's rate explains, and

1. from the start of the rollout, averages the likelihood ratio over worse rates;
   by Ville's inequality a version no worse than the bound is stopped with a
   chance of at most ``ERROR_CHANCE``, however often it is asked;
2. long after, also sums the log ratio of each worse rate from the answer on at
   which it was lowest (a CUSUM), so that a long good record does not hide a
   version that turns bad.
"""

import math
import typing

from gaprock import plugin, policy_api

ERROR_CHANCE: typing.Final = 0.005
# Log of the mean number of good answers between two false stops of the CUSUM.
CUSUM_LIMIT: typing.Final = math.log(1e7)
# The same for a doubt, which lasts until good answers have outweighed the bad ones.  A
# version is not made the only one meanwhile, since nothing could stop it then.
DOUBT_LIMIT: typing.Final = math.log(100)
# A version may be worse than the stable one by this much.
TOLERANCE: typing.Final = 0.03
# The stable version's rate is taken at this many standard deviations above.
STABLE_SIGMAS: typing.Final = 2.0
# What is assumed of a stable version without evidence: 1 bad answer in 20.
PRIOR_ANSWERS: typing.Final = 20
PRIOR_BAD: typing.Final = 1
# Rates above the bound that are weighed.
GRID: typing.Final = 16
# The fixed window of the baseline, answers, and its threshold.
WINDOW: typing.Final = 200
WINDOW_RATE: typing.Final = 0.1


def stable_bound(stable: policy_api.Counts) -> float:
    """Give the highest rate of bad answers that counts as normal."""
    answers = stable.answers + PRIOR_ANSWERS
    rate = (stable.bad + PRIOR_BAD) / answers
    spread = math.sqrt(rate * (1 - rate) / answers)
    return min(0.9, rate + STABLE_SIGMAS * spread + TOLERANCE)


def log_ratios(seen: policy_api.Counts, bound: float) -> list[float]:
    """Give the log likelihood ratio of each worse rate against the bound."""
    good = seen.answers - seen.bad
    logs = []
    for step in range(1, GRID + 1):
        rate = bound + (1 - bound) * step / (GRID + 1)
        gain = seen.bad * math.log(rate / bound)
        loss = good * math.log((1 - rate) / (1 - bound))
        logs.append(gain + loss)
    return logs


def log_mean(logs: list[float]) -> float:
    """Give the log of the mean of numbers given by their logs."""
    top = max(logs)
    return top + math.log(sum(math.exp(x - top) for x in logs) / len(logs))


class Record:
    """The CUSUM of one version."""

    __slots__ = ("seen", "sums")

    def __init__(self) -> None:
        self.seen = policy_api.Counts(0, 0)
        self.sums = [0.0] * GRID

    def add(self, seen: policy_api.Counts, bound: float) -> float:
        """Take the counts so far and give the highest sum."""
        answers = max(0, seen.answers - self.seen.answers)
        bad = min(answers, max(0, seen.bad - self.seen.bad))
        self.seen = seen
        grown = log_ratios(policy_api.Counts(answers, bad), bound)
        self.sums = [max(0.0, s + g) for s, g in zip(self.sums, grown)]
        return max(self.sums)


@plugin.register(policy_api.Guard, "sequential")
class Sequential(policy_api.Guard):
    """An always-valid test with a change detector; see the module."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}

    def is_bad(
        self, version: str, seen: policy_api.Counts, stable: policy_api.Counts
    ) -> bool:
        bound = stable_bound(stable)
        highest = self._records.setdefault(version, Record()).add(seen, bound)
        if not seen.bad:
            return False
        from_start = log_mean(log_ratios(seen, bound))
        return from_start > -math.log(ERROR_CHANCE) or highest > CUSUM_LIMIT

    def is_suspected(self, version: str) -> bool:
        record = self._records.get(version)
        return record is not None and max(record.sums) > DOUBT_LIMIT


@plugin.register(policy_api.Guard, "fixed-window")
class FixedWindow(policy_api.Guard):
    """Baseline: the rate over a fixed number of answers, judged at its end."""

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
