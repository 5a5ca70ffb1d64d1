"""``gaprock-gateway``: where the program starts; ``gateway_program`` is all of it.

SIGHUP says that the settings changed, and its default ends a process.  The imports of a
start take a second on a small machine, so it is ignored before them; the settings are
read later anyway.
"""

import signal
import sys


def main(argv: list[str] | None = None) -> int:
    """Run the program; give its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from gaprock import gateway_program

    return gateway_program.main(argv)


if __name__ == "__main__":
    sys.exit(main())
