"""Compares the system with and without each mechanism, on the same days.

    python -m misc.ablate PAIRED BENCH SITE --folder DIR [--seeds N] [NAME...]

``PAIRED`` is the users' tool that plays the same days and seeds on several checkouts.
For each mechanism, a checkout is made in ``DIR`` in which the mechanism is switched
off; the checkouts differ only in their deploy file.  The tool prints the table.
"""

import argparse
import pathlib
import shutil
import subprocess
import sys
import typing

from gaprock import mechanisms

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
DEPLOY: typing.Final = "deploy/system.toml"
PROGRAM: typing.Final = "gaprock.gateway_main"
IGNORED: typing.Final = shutil.ignore_patterns(
    ".git", ".venv*", "journal", "target", "__pycache__", ".*_cache", ".hypothesis"
)


def make_checkout(folder: pathlib.Path, without: str) -> pathlib.Path:
    """Make a checkout and return its path.

    :param without: the mechanism to switch off; empty for none.
    """
    checkout = folder / (f"without-{without}" if without else "all-on")
    shutil.rmtree(checkout, ignore_errors=True)
    shutil.copytree(ROOT, checkout, ignore=IGNORED)
    (checkout / "journal").mkdir()
    if without:
        deploy = checkout / DEPLOY
        text = deploy.read_text()
        deploy.write_text(text.replace(PROGRAM, f"{PROGRAM} --without {without}"))
    return checkout


def main() -> int:
    """Make the checkouts and run the tool."""
    parser = argparse.ArgumentParser(
        description="Measures the effect of each mechanism."
    )
    parser.add_argument("paired")
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("names", nargs="*", help="mechanisms; all by default")
    parser.add_argument("--folder", type=pathlib.Path, required=True)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--first-seed", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=5)
    args = parser.parse_args()
    names = args.names or list(mechanisms.by_name)
    checkouts = [make_checkout(args.folder, name) for name in ["", *names]]
    command = [args.paired, "--bench", args.bench, "--site", args.site]
    command += ["--seeds", str(args.seeds), "--jobs", str(args.jobs)]
    command += ["--first-seed", str(args.first_seed), "--why", "ablation"]
    return subprocess.run([*command, *map(str, checkouts)], check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
