"""Entry point of ``gaprock-gateway``; ``gateway_program`` has the program itself.

SIGHUP means that the settings have changed, but its default action ends the process.
The imports take about a second on a small machine, so SIGHUP is ignored before they
start, and also before the few that this module needs.  No change is lost: the settings
are read after the imports.  What remains is the start of the interpreter.

On such a machine the callers' port is opened before the imports as well.
"""

import signal

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os  # noqa: E402
import sys  # noqa: E402
import typing  # noqa: E402

from gaprock import early_listen  # noqa: E402
from gaprock.platform import listen  # noqa: E402

SETTINGS_VARIABLE: typing.Final = "GAPROCK_SETTINGS"


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    args = sys.argv[1:] if argv is None else argv
    path = early_listen.settings_path(args, os.environ.get(SETTINGS_VARIABLE, ""))
    found = listen.read(path)
    if found is not None:
        early_listen.open_port(found.address, found.cpu_cores)
    from gaprock import gateway_program

    return gateway_program.main(argv)


if __name__ == "__main__":
    sys.exit(main())
