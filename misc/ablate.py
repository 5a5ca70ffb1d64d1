"""Plays days with each mechanism switched off, against all on.

    python -m misc.ablate PAIRED BENCH SITE --folder DIR [--seeds N] [NAME...]

``PAIRED`` is the users' tool that plays the same days and seeds on several checkouts.
A checkout for each mechanism is made in ``DIR``, which differs in its deploy file
alone; the table comes from the tool.
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
LEFT_OUT: typing.Final = shutil.ignore_patterns(
    ".git", ".venv*", "journal", "target", "__pycache__", ".*_cache", ".hypothesis"
)


def make_checkout(folder: pathlib.Path, without: str) -> pathlib.Path:
    """Make a checkout; an empty text leaves everything on."""
    place = folder / (f"without-{without}" if without else "all-on")
    shutil.rmtree(place, ignore_errors=True)
    shutil.copytree(ROOT, place, ignore=LEFT_OUT)
    (place / "journal").mkdir()
    if without:
        deploy = place / DEPLOY
        text = deploy.read_text()
        deploy.write_text(text.replace(PROGRAM, f"{PROGRAM} --without {without}"))
    return place


def main() -> int:
    """Make the checkouts and play."""
    parser = argparse.ArgumentParser(description="What each mechanism is worth.")
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
    places = [make_checkout(args.folder, name) for name in ["", *names]]
    command = [args.paired, "--bench", args.bench, "--site", args.site]
    command += ["--seeds", str(args.seeds), "--jobs", str(args.jobs)]
    command += ["--first-seed", str(args.first_seed), "--why", "ablation"]
    return subprocess.run([*command, *map(str, places)], check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
