"""Shows that each proof fails with its mechanism off.

    python -m misc.prove [--row N] [--jobs N]

Each proof runs in a scratch copy of the tree.  Exit code 0: every test failed
there.  The tests themselves pass with the mechanisms on: run ``make test``.
"""

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing
from concurrent import futures

from misc import proofs, proofs_gateway

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
TEST_WAIT_S: typing.Final = 60
# pytest's exit code for "some tests failed".
TESTS_FAILED: typing.Final = 1


def apply(edit: proofs.Edit, tree: pathlib.Path) -> None:
    """Make one replacement.

    :raises ValueError: when the text is not there: the proof is out of date.
    """
    path = tree / "gaprock" / edit.file
    text = path.read_text()
    if edit.old not in text:
        raise ValueError(f"{edit.file} has no {edit.old!r}")
    path.write_text(text.replace(edit.old, edit.new))


def run_mutated(proof: proofs.Proof) -> str:
    """Run a proof's test with its mechanism off; give the verdict."""
    with tempfile.TemporaryDirectory(prefix="gaprock-prove-") as folder:
        tree = pathlib.Path(folder)
        # Some tests play what the benches play.
        for part in ("gaprock", "bench"):
            shutil.copytree(ROOT / part, tree / part)
        shutil.copy(ROOT / "pyproject.toml", tree)
        for edit in proof.edits:
            apply(edit, tree)
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", f"--timeout={TEST_WAIT_S}"]
            + ["-p", "no:cacheprovider", f"gaprock/test/{proof.test}"],
            cwd=tree,
            capture_output=True,
            text=True,
            check=False,
        )
    if done.returncode == TESTS_FAILED:
        return "fails"
    if done.returncode == 0:
        return "PASSES"
    return f"ERROR {done.returncode}: {done.stdout[-300:]}"


def main() -> int:
    """Run the proofs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--row", type=int, help="only this row's proofs")
    parser.add_argument("--jobs", type=int, default=3, help="proofs at a time")
    args = parser.parse_args()
    chosen = [p for p in proofs_gateway.ALL if args.row in (None, p.row)]
    with futures.ThreadPoolExecutor(args.jobs) as executor:
        verdicts = list(executor.map(run_mutated, chosen))
    for proof, verdict in zip(chosen, verdicts):
        print(f"row {proof.row:2}  without it: {verdict:6}  {proof.mechanism}")
    good = sum(verdict == "fails" for verdict in verdicts)
    print(f"{good} of {len(chosen)} tests fail with their mechanism off")
    return 0 if good == len(chosen) else 1


if __name__ == "__main__":
    sys.exit(main())
