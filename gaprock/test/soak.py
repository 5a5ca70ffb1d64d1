"""A randomized soak test: injects faults into real gateways and checks guarantees.

``python -m gaprock.test.soak --seeds 50`` runs fifty seeds and prints the violations of
each.  A seed runs in these steps:

1. Gateways, store and endpoints start; callers begin to send requests.
2. The seed chooses a series of faults, which may overlap, and planned work.
3. All faults end; every gateway must serve every kind of request again, and accept a
   new key in time.
4. The recorded events are checked against the guarantees (``soak_ledger``).

A seed determines the series of faults but not their timing, which depends on the
machine.
"""

import argparse
import pathlib
import random
import sys
import tempfile

# Importing the steps registers them.
from gaprock.test import soak_crowd, soak_run, soak_slow, soak_steps  # noqa: F401


def run_seed(
    seed: int,
    seconds: float,
    gateways: int,
    logs: pathlib.Path,
    varies_ends: bool = False,
    has_crowd: bool = False,
) -> list[str]:
    """Run one seed, print a summary, and return the violations of guarantees.

    :param varies_ends: whether crashes on poison requests look different.
    :param has_crowd: whether there are clients that do not behave.
    """
    soak = soak_run.Soak(seed, seconds, gateways, logs)
    soak.fleet.varies_ends = varies_ends
    soak.fleet.crash_rng = random.Random(f"ends {seed}")
    if soak_slow.is_slow(seed):
        soak_slow.add_slow_readers(soak)
    if has_crowd:
        soak_crowd.add_crowd(soak, seed)
    violations = soak.run()
    print(f"seed {seed}: {soak.ledger.summary()}", flush=True)
    return violations


def main(argv: list[str] | None = None) -> int:
    """Run seeds one after the other; the exit code is 0 if none had a violation."""
    parser = argparse.ArgumentParser("soak", description=__doc__.splitlines()[0])
    parser.add_argument(
        "--seed", type=int, help="the first seed; default: a random one"
    )
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds",
        type=float,
        default=12.0,
        help="duration of the faults of each seed",
    )
    parser.add_argument("--gateways", type=int, default=3)
    args = parser.parse_args(argv)
    first = random.SystemRandom().randrange(1 << 30) if args.seed is None else args.seed
    failed = 0
    for seed in range(first, first + args.seeds):
        logs = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations = run_seed(seed, args.seconds, args.gateways, logs, True, True)
        failed += bool(violations)
        print(
            f"seed {seed}: {len(violations)} broken"
            + (f", logs in {logs}" if violations else "")
        )
        for line in violations[:10]:
            print(f"  {line}", flush=True)
    print(f"{args.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
