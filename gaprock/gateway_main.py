"""Entry point of ``gaprock-gateway``; ``gateway_program`` has the program itself.

SIGHUP means that the settings have changed, but its default action ends the process.
The imports take about a second on a small machine, so SIGHUP is ignored before they
start.  No change is lost: the settings are read after the imports.
"""

import signal
import sys


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from gaprock import gateway_program

    return gateway_program.main(argv)


if __name__ == "__main__":
    sys.exit(main())
