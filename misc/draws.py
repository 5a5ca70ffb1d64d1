"""Runs a property test's state machine with other draws than its own.

The machines are derandomized, so that CI repeats; their steps are drawn from their
source text.  A promise that holds only for that draw is found by others:

    python -m misc.draws gaprock.test.testfollowing Following --seeds 80
"""

import argparse
import concurrent.futures
import importlib
import sys
import traceback

import hypothesis
from hypothesis import stateful


def run(module: str, machine: str, seed: int) -> str:
    """Run the machine with one seed.

    :returns: the failure; empty if there was none.
    """
    found = getattr(importlib.import_module(module), machine)
    settings = hypothesis.settings(
        found.TestCase.settings,
        derandomize=False,
        database=None,
        print_blob=False,
        verbosity=hypothesis.Verbosity.quiet,
    )
    try:
        stateful.run_state_machine_as_test(
            hypothesis.seed(seed)(found), settings=settings
        )
    except Exception:
        return traceback.format_exc()
    return ""


def main() -> int:
    """Run all seeds, and print those that failed.

    :returns: the exit code, 1 if any seed failed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("module", help="module of the machine")
    parser.add_argument("machine", help="name of its class")
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds")
    parser.add_argument("--jobs", type=int, default=3, help="seeds run in parallel")
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.seeds)
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        found = {
            seed: pool.submit(run, args.module, args.machine, seed) for seed in seeds
        }
        for seed, fut in found.items():
            if fut.result():
                failed += 1
                print(f"seed {seed} failed:\n{fut.result()}", flush=True)
    print(f"{failed} of {len(seeds)} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
