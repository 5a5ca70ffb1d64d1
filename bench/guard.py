"""Measures how many answers of a bad version are served before it is stopped.

    python -m bench.guard [--runs N]

Drives the guard plug-ins with seeded streams of answers as entries' evidence reports
them: judged in groups, some of which are late.  Printed for each case: how many answers
of the bad version were served before the stop (mean and 95th percentile of 100 runs),
and how many rollouts of a good version were stopped by mistake.  The guard
``fixed-window``, which compares a fixed share in a fixed window, is the baseline.

Not modelled: processes and heartbeats (the half second between entries adds to each
figure the answers of that time), wrong ratings.
"""

import argparse
import random
import statistics
import typing

from bench import clients
from gaprock import plugin, policy_api

GUARDS: typing.Final = ("sequential", "fixed-window")
STABLE_RATE: typing.Final = 0.03
STABLE_ANSWERS: typing.Final = 2000
# Answers between two checks of the guard, and how many groups of them are late.
GROUP_SIZE: typing.Final = 5
LATE_GROUPS: typing.Final = 2
ANSWERS_BEFORE_BAD: typing.Final = 5_000
GOOD_ANSWERS: typing.Final = 4_000
MAX_SERVED: typing.Final = 5_000


class Case(typing.NamedTuple):
    """A version's rate of bad answers, and the answers before it turned bad."""

    name: str
    rate: float
    good_before: int


CASES: typing.Final = (
    Case("bad from the first step, every answer", 1.0, 0),
    Case("bad from the first step, half of them", 0.5, 0),
    Case("bad from the first step, one in five", 0.2, 0),
    Case("turns bad long after, half of them", 0.5, ANSWERS_BEFORE_BAD),
    Case("turns bad long after, one in five", 0.2, ANSWERS_BEFORE_BAD),
)


def served_until_stop(
    name: str, case: Case, rng: random.Random, max_served: int = MAX_SERVED
) -> int | None:
    """Return the answers served before the stop; ``None`` if it was not stopped."""
    guard = plugin.find(policy_api.Guard, name)()
    stable_bad = round(STABLE_ANSWERS * STABLE_RATE)
    stable = policy_api.Counts(STABLE_ANSWERS, stable_bad)
    answers = bad = 0
    for _ in range(case.good_before // GROUP_SIZE):
        answers += GROUP_SIZE
        bad += sum(rng.random() < STABLE_RATE for _ in range(GROUP_SIZE))
        guard.is_bad("v/1", policy_api.Counts(answers, bad), stable)
    unjudged: list[int] = []
    served = 0
    while served < max_served:
        served += GROUP_SIZE
        unjudged.append(sum(rng.random() < case.rate for _ in range(GROUP_SIZE)))
        if len(unjudged) <= LATE_GROUPS:
            continue
        answers += GROUP_SIZE
        bad += unjudged.pop(0)
        if guard.is_bad("v/1", policy_api.Counts(answers, bad), stable):
            return served
    return None


def main() -> None:
    """Run all cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--good-runs", type=int, default=300)
    args = parser.parse_args()
    plugin.load_all()
    print(
        f"{'answers served before the stop':42}" + "".join(f"{g:>22}" for g in GUARDS)
    )
    for case in CASES:
        row = f"{case.name:42}"
        for name in GUARDS:
            rng = random.Random(7)
            served = [
                served_until_stop(name, case, rng) or MAX_SERVED
                for _ in range(args.runs)
            ]
            p95 = clients.percentile([float(s) for s in served], 0.95)
            row += f"{statistics.mean(served):10.1f}  p95 {p95:6.0f}"
        print(row)
    row = f"{'false stops in good roll-outs':42}"
    good = Case("good", STABLE_RATE, 0)
    for name in GUARDS:
        rng = random.Random(11)
        stops = sum(
            served_until_stop(name, good, rng, GOOD_ANSWERS) is not None
            for _ in range(args.good_runs)
        )
        row += f"{stops:12} of {args.good_runs}   "
    print(row)


if __name__ == "__main__":
    main()
