"""Common main program of the daemons: settings, signals, start and stop."""

import signal
import sys
import typing

from gaprock import errors, eventlog, native_memory, options, options_flags, signals

EXIT_DONE: typing.Final = 0
EXIT_SETTINGS: typing.Final = 2


class Daemon(typing.Protocol):
    """A program that serves until it is stopped."""

    def start(self) -> None:
        """Start serving."""

    def stop(self) -> None:
        """Stop in an orderly way."""


def run(cfg: options.Options, make: typing.Callable[[], Daemon]) -> None:
    """Run a daemon until SIGTERM or SIGINT; further signals are ignored."""
    eventlog.start(cfg.vm, cfg.verbose)
    native_memory.limit_kept()
    stop_signals = signals.Signals(signal.SIGTERM, signal.SIGINT)
    daemon = make()
    daemon.start()
    eventlog.info("started", hall=cfg.hall)
    stop_signals.wait()
    daemon.stop()
    eventlog.info("stopped")


def main(
    program: str,
    description: str,
    make: typing.Callable[[options.Options], Daemon],
    argv: list[str] | None,
) -> int:
    """Parse the settings and run a daemon.

    :returns: the exit code: 0, or 2 if the settings are invalid.
    """
    try:
        cfg = options_flags.parse(program, description, argv)
    except errors.GaprockError as exc:
        print(f"gaprock-{program}: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    run(cfg, lambda: make(cfg))
    return EXIT_DONE
