"""Checks that the test of each proof fails when its mechanism is switched off.

    python -m misc.prove [--row N] [--jobs N]

Each proof runs in a temporary copy of the tree.  The exit code is 0 if every test
failed there.  That the tests pass with the mechanisms on is checked by ``make test``.
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
    """Apply one replacement.

    :raises ValueError: if the file lacks the text, so that the proof is out of date.
    """
    path = tree / "gaprock" / edit.file
    text = path.read_text()
    if edit.old not in text:
        raise ValueError(f"{edit.file} has no {edit.old!r}")
    path.write_text(text.replace(edit.old, edit.new))


def run_mutated(proof: proofs.Proof) -> str:
    """Run a proof's test with its mechanism switched off and return the verdict."""
    with tempfile.TemporaryDirectory(prefix="gaprock-prove-") as folder:
        tree = pathlib.Path(folder)
        # Some tests run simulations of the benches.
        for part in ("gaprock", "bench"):
            shutil.copytree(ROOT / part, tree / part)
        shutil.copy(ROOT / "pyproject.toml", tree)
        for edit in proof.edits:
            apply(edit, tree)
        completed = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", f"--timeout={TEST_WAIT_S}"]
            + ["-p", "no:cacheprovider", f"gaprock/test/{proof.test}"],
            cwd=tree,
            capture_output=True,
            text=True,
            check=False,
        )
    if completed.returncode == TESTS_FAILED:
        return "fails"
    if completed.returncode == 0:
        return "PASSES"
    return f"ERROR {completed.returncode}: {completed.stdout[-300:]}"


def main() -> int:
    """Run the proofs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--row", type=int, help="run only the proofs of this row")
    parser.add_argument("--jobs", type=int, default=3, help="proofs to run in parallel")
    args = parser.parse_args()
    selected = [p for p in proofs_gateway.ALL if args.row in (None, p.row)]
    with futures.ThreadPoolExecutor(args.jobs) as executor:
        verdicts = list(executor.map(run_mutated, selected))
    for proof, verdict in zip(selected, verdicts):
        print(f"row {proof.row:2}  without it: {verdict:6}  {proof.mechanism}")
    good = sum(verdict == "fails" for verdict in verdicts)
    print(f"{good} of {len(selected)} tests fail with their mechanism off")
    return 0 if good == len(selected) else 1


if __name__ == "__main__":
    sys.exit(main())
