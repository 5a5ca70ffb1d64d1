"""A randomized soak: real gateways, faults from outside, promises checked.

``python -m gaprock.test.soak --seeds 50`` plays fifty seeds and says what each broke.
One seed goes like this:

1. Gateways, store and endpoints start; callers begin to call.
2. Faults come in series and overlap, chosen by the seed; planned work comes among them.
3. All faults end; every gateway must serve every kind of request again, and take a new
   key in time.
4. The record is held against the promises (``soak_ledger``).

A seed names a series of faults; the timing is the machine's.
"""

import argparse
import pathlib
import random
import sys
import tempfile

# Importing the steps registers them.
from gaprock.test import soak_run, soak_steps  # noqa: F401


def play(seed: int, seconds: float, gateways: int, logs: pathlib.Path) -> list[str]:
    """Play one seed, say how much was tried, and give what it broke."""
    soak = soak_run.Soak(seed, seconds, gateways, logs)
    broken = soak.run()
    print(f"seed {seed}: {soak.ledger.summary()}", flush=True)
    return broken


def main(argv: list[str] | None = None) -> int:
    """Play seeds one after the other; the exit code says whether all kept."""
    parser = argparse.ArgumentParser("soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, help="the first seed; default: a fresh one")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=12.0, help="faults in each")
    parser.add_argument("--gateways", type=int, default=3)
    args = parser.parse_args(argv)
    first = random.SystemRandom().randrange(1 << 30) if args.seed is None else args.seed
    failed = 0
    for seed in range(first, first + args.seeds):
        logs = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        broken = play(seed, args.seconds, args.gateways, logs)
        failed += bool(broken)
        print(
            f"seed {seed}: {len(broken)} broken"
            + (f", logs in {logs}" if broken else "")
        )
        for line in broken[:10]:
            print(f"  {line}", flush=True)
    print(f"{args.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
