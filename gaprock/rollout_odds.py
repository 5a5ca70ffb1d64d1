"""How much likelier the answers of a new version are if it is bad than if it is good.

The answers of the stable version in the same rollout give the distribution of outcomes
that is usual: failures, and times relative to the usual one (``relative_times``). A bad
version differs in one of several ways: a share of its answers takes some times longer,
or a larger share fails. The odds are the mean over these ways of the likelihood ratio
of all answers. By Ville's inequality, a mean that starts at 1 and is looked at however
often exceeds a limit L with a good version with probability at most 1 / L.

Answers of one endpoint are not independent: the endpoint may be slow or fail by itself,
whatever its version. A good version is therefore a mixture: each endpoint is either
usual, or, with probability ``FAULTY_SHARE``, anything else. So one endpoint alone never
counts for more than ``1 / FAULTY_SHARE``.
"""

import collections
import math
import typing

from gaprock import policy_api, policy_guard, relative_times

# How many times longer the slow answers of a bad version take, in steps of
# ``relative_times``, and which shares of its answers may be slow.
SLOWER: typing.Final = {
    2: (0.6, 1.0),
    3: (0.6, 1.0),
    4: (0.3, 0.6, 1.0),
    6: (0.3, 0.6, 1.0),
    8: (0.3, 0.6, 1.0),
    10: (0.3, 0.6, 1.0),
}
# Failures of a bad version beyond the usual ones, as a share of the other answers.
FAILED_SHARES: typing.Final = (0.1, 0.2, 0.35, 0.6, 0.9)
# A good version may take longer by this, also at single endpoints.
TOLERATED_STEPS: typing.Final = 1
# The probability that an endpoint of a good version is slow or fails by itself.
FAULTY_SHARE: typing.Final = 0.03
# Answers that the prior distribution of times counts as, and those that the times of
# the whole rollout count as within one period.
PRIOR_TIMES: typing.Final = 10.0
WHOLE_TIMES: typing.Final = 20.0
# Spread of the logarithm of times in the prior, and its part that is spread evenly.
PRIOR_SPREAD: typing.Final = 0.7
# Its middle, in steps: times are relative to those of the faster answers.
PRIOR_MIDDLE: typing.Final = 1
PRIOR_EVEN: typing.Final = 0.1
# Neighbouring bins are smoothed by these weights.
KERNEL: typing.Final = (0.25, 0.5, 0.25)

TIMES: typing.Final = relative_times.COUNT - relative_times.FIRST_TIME
# No time has a smaller likelihood.
LEAST: typing.Final = PRIOR_EVEN / TIMES / 10
Shares = list[float]


# Answers of the new version by endpoint (``None`` if it is not known) and period.
Cells = typing.Mapping[tuple[int | None, int], relative_times.Counts]


class Odds(typing.NamedTuple):
    """Logarithms of the odds that a version is bad.

    :param from_start: by all answers.
    :param strongest: by all answers, that it is slow or that it fails, whichever speaks
        more against it.
    :param recent: by the latest ones, for a version that turns bad.
    :param endpoints: the number of endpoints that answered.
    :param answers: the number of answers.
    """

    from_start: float
    strongest: float
    recent: float
    endpoints: int
    answers: int


NO_ODDS: typing.Final = Odds(0.0, 0.0, 0.0, 0, 0)


def _prior() -> Shares:
    """Return the distribution of times that is assumed without answers."""
    width = math.log(relative_times.STEP) / PRIOR_SPREAD
    bell = [
        math.exp(-0.5 * (width * (n + relative_times.LOWEST - PRIOR_MIDDLE)) ** 2)
        for n in range(TIMES)
    ]
    total = sum(bell)
    return [(1 - PRIOR_EVEN) * b / total + PRIOR_EVEN / TIMES for b in bell]


PRIOR: typing.Final = _prior()


def _smoothed(times: typing.Sequence[float]) -> list[float]:
    """Spread the counts of each bin over its neighbours."""
    low, middle, high = KERNEL
    last = len(times) - 1
    return [
        low * times[max(0, n - 1)] + middle * times[n] + high * times[min(last, n + 1)]
        for n in range(len(times))
    ]


def _distribution(counts: relative_times.Counts, base: Shares, weight: float) -> Shares:
    """Return the distribution of times, drawn to another one by its weight."""
    times = _smoothed(counts[relative_times.FIRST_TIME :])
    total = sum(times) + weight
    return [(t + weight * b) / total for t, b in zip(times, base)]


def _slower(shares: Shares, steps: int) -> Shares:
    """Return a distribution of times that are longer by some steps."""
    moved = [0.0] * TIMES
    for n, share in enumerate(shares):
        moved[min(TIMES - 1, n + steps)] += share
    return moved


def _slow_times(usual: Shares, steps: int) -> Shares:
    """Return the distribution of a bad version's slow answers.

    Half of them are taken from the faster half of the usual ones: answers of slow
    endpoints of the stable version would otherwise hide a version that is as slow.
    """
    faster, left = [], 0.5
    for share in usual:
        faster.append(min(share, left))
        left -= faster[-1]
    return _slower([0.5 * u + f for u, f in zip(usual, faster)], steps)


def _time_logs(usual: Shares, bins: typing.Iterable[int]) -> dict[int, list[float]]:
    """Return the log likelihoods of the times that occur, by bin.

    :returns: those of a usual version, of one that is slower by what is tolerated, and
        of a bad version in each of the ways to be slow.
    """
    tolerated = _slower(usual, TOLERATED_STEPS)
    slower = [
        (_slow_times(usual, steps), share)
        for steps, shares in SLOWER.items()
        for share in shares
    ]
    logs = {}
    for n in bins:
        row = [usual[n], tolerated[n]]
        row += [(1 - s) * usual[n] + s * moved[n] for moved, s in slower]
        # The scale ends at its last bin, but no time is impossible.
        logs[n] = [math.log(max(LEAST, share)) for share in row]
    return logs


def _failure_logs(bound: float) -> list[tuple[float, float]]:
    """Return what a failure and another answer add to the log of the ratio."""
    rates = [bound + (1 - bound) * share for share in FAILED_SHARES]
    return [
        (math.log(rate / bound), math.log((1 - rate) / (1 - bound))) for rate in rates
    ]


SLOW_WAYS: typing.Final = sum(map(len, SLOWER.values()))
FAILED_WAYS: typing.Final = len(FAILED_SHARES)
GOOD_WAYS: typing.Final = 2


class _Ratios:
    """The log likelihoods of an endpoint's answers, period after period."""

    __slots__ = ("good", "slow", "failed")

    def __init__(self) -> None:
        self.good = [0.0] * GOOD_WAYS
        self.slow = [0.0] * SLOW_WAYS
        self.failed = [0.0] * FAILED_WAYS

    def add(
        self,
        counts: relative_times.Counts,
        times: typing.Mapping[int, list[float]],
        failures: list[tuple[float, float]],
    ) -> None:
        """Add the answers of a period."""
        failed = counts[relative_times.FAILED]
        rest = sum(counts) - failed
        for way, (one, other) in enumerate(failures):
            self.failed[way] += failed * one + rest * other
        for n, count in enumerate(counts[relative_times.FIRST_TIME :]):
            if count:
                row = times[n]
                for way in range(GOOD_WAYS):
                    self.good[way] += count * row[way]
                for way in range(SLOW_WAYS):
                    self.slow[way] += count * row[GOOD_WAYS + way]

    def logs(self, limit: float) -> list[float]:
        """Return the log of the ratio for each way to be bad, up to a limit."""
        good = max(self.good)
        slow = [min(limit, one - good) for one in self.slow]
        return slow + [min(limit, one) for one in self.failed]


def _score(
    endpoints: typing.Mapping[int | None, _Ratios], limit: float
) -> tuple[float, float]:
    """Return the logs of the mean ratios over the ways to be slow, and to fail."""
    sums = [0.0] * (SLOW_WAYS + FAILED_WAYS)
    for endpoint, ratios in endpoints.items():
        logs = ratios.logs(math.inf if endpoint is None else limit)
        sums = [one + other for one, other in zip(sums, logs)]
    return policy_guard.log_mean(sums[:SLOW_WAYS]), policy_guard.log_mean(
        sums[SLOW_WAYS:]
    )


def measure(
    new: Cells,
    stable: typing.Mapping[int, relative_times.Counts],
    is_alone: bool = False,
) -> tuple[float, float]:
    """Return the logs of the odds that the new version is slow, and that it fails.

    :param stable: the answers of the stable version by period.
    :param is_alone: whether the version has one endpoint, whose answers are its own.
    """
    whole = relative_times.EMPTY
    for counts in stable.values():
        whole = relative_times.add(whole, counts)
    usual = _distribution(whole, PRIOR, PRIOR_TIMES)
    failed = policy_api.Counts(sum(whole), whole[relative_times.FAILED])
    failures = _failure_logs(policy_guard.stable_bound(failed))
    by_period = collections.defaultdict(list)
    for (endpoint, period), counts in new.items():
        by_period[period].append((endpoint, counts))
    ratios: dict[int | None, _Ratios] = collections.defaultdict(_Ratios)
    for period, cells in by_period.items():
        of_period = stable.get(period, relative_times.EMPTY)
        bins = {
            n
            for _, counts in cells
            for n, count in enumerate(counts[relative_times.FIRST_TIME :])
            if count
        }
        times = _time_logs(_distribution(of_period, usual, WHOLE_TIMES), bins)
        for endpoint, counts in cells:
            ratios[endpoint].add(counts, times, failures)
    return _score(ratios, math.inf if is_alone else -math.log(FAULTY_SHARE))


class Monitor:
    """Follows the odds of one version, also of one that turns bad after a long time.

    The latest answers are weighed for themselves, from the first one on that is against
    the version (a CUSUM test): a long good record does not hide them.
    """

    __slots__ = ("_seen", "_recent", "odds")

    def __init__(self) -> None:
        self._seen: Cells = {}
        self._recent: dict[tuple[int | None, int], relative_times.Counts] = {}
        self.odds = NO_ODDS

    def update(
        self,
        new: Cells,
        stable: typing.Mapping[int, relative_times.Counts],
        is_alone: bool,
    ) -> Odds:
        """Weigh all answers known now.

        :param new: counts, which never shrink.
        :param is_alone: as for ``measure``.
        """
        answers = sum(map(sum, new.values()))
        if answers == self.odds.answers:
            return self.odds
        for key, counts in new.items():
            before = self._seen.get(key, relative_times.EMPTY)
            if counts != before:
                more = tuple(max(0, n - b) for n, b in zip(counts, before))
                self._recent[key] = relative_times.add(self._recent.get(key, ()), more)
        self._seen = dict(new)
        recent = policy_guard.log_mean(measure(self._recent, stable, is_alone))
        if recent <= 0.0:
            self._recent.clear()
        endpoints = len({endpoint for endpoint, _ in new})
        both = measure(new, stable, is_alone)
        self.odds = Odds(
            policy_guard.log_mean(both), max(both), recent, endpoints, answers
        )
        return self.odds
