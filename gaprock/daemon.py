"""What both daemons do around their work: settings, signals, start and stop."""

import signal
import sys
import typing

from gaprock import errors, eventlog, options, options_flags, signals

EXIT_DONE: typing.Final = 0
EXIT_SETTINGS: typing.Final = 2


class Daemon(typing.Protocol):
    """A program that runs until it is told to stop."""

    def start(self) -> None:
        """Begin to serve."""

    def stop(self) -> None:
        """Carry out a planned stop."""


def run(cfg: options.Options, make: typing.Callable[[], Daemon]) -> None:
    """Run a daemon until SIGTERM or SIGINT; further signals change nothing."""
    eventlog.start(cfg.vm, cfg.verbose)
    stops = signals.Signals(signal.SIGTERM, signal.SIGINT)
    daemon = make()
    daemon.start()
    eventlog.info("started", hall=cfg.hall)
    stops.wait()
    daemon.stop()
    eventlog.info("stopped")


def main(
    program: str,
    description: str,
    make: typing.Callable[[options.Options], Daemon],
    argv: list[str] | None,
) -> int:
    """Run a daemon's program.

    :returns: the exit code: 0, or 2 when the settings are wrong.
    """
    try:
        cfg = options_flags.parse(program, description, argv)
    except errors.GaprockError as exc:
        print(f"gaprock-{program}: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    run(cfg, lambda: make(cfg))
    return EXIT_DONE
