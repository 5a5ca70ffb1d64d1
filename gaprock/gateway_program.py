"""Command line, settings and signals of a gateway.

A gateway is an entry that sends to endpoints itself.  ``gateway_node`` has its parts
and its planned stop.
"""

import argparse
import gc
import os
import signal
import sys
import threading
import typing

from gaprock import (
    clock,
    errorcodes,
    errors,
    eventlog,
    gateway_admission,
    gateway_api,
    gateway_node,
    mechanisms,
    native_memory,
    options,
    plugin,
    signals,
)

DESCRIPTION: typing.Final = (
    "Serves callers on a platform that writes a settings file, and sends their "
    "requests to endpoints directly."
)
EXIT_DONE: typing.Final = 0
EXIT_SETTINGS: typing.Final = 2
SETTINGS_VARIABLE: typing.Final = "GAPROCK_SETTINGS"
# Stack size of each thread, bytes; the deepest call chain needs a fraction of it.
STACK_BYTES: typing.Final = 256 * 1024


def load_options(path: str) -> options.Options:
    """Read a settings file.

    :raises errors.GaprockError: when the file is not valid.
    """
    # This module alone knows the file's format; an adapter to another platform would
    # bring its own.
    from gaprock.platform import settings

    cfg = options.Options()
    cfg.settings = path
    settings.load(path, cfg)
    return cfg


def check_capacity_control(mode: str) -> None:
    """Check the value of ``--capacity-control``.

    :raises errors.GaprockError: ``SETTINGS`` for an unknown mode.
    """
    if mode not in gateway_admission.MODES:
        known = ", ".join(gateway_admission.MODES)
        detail = f"--capacity-control: no mode {mode!r}; there are {known}"
        raise errors.GaprockError(errorcodes.SETTINGS, detail)


def run(cfg: options.Options, received: signals.Signals) -> None:
    """Run a gateway until SIGTERM or SIGINT; SIGHUP reloads the settings."""
    eventlog.start(cfg.vm, cfg.verbose, bounded=True)
    native_memory.limit_kept()
    threading.stack_size(STACK_BYTES)
    plugin.load_all(plugin.GATEWAY_MODULES)
    store = plugin.find(gateway_api.SharedStore, cfg.shared_store)
    gateway = gateway_node.Gateway(
        cfg,
        clock.SteadyClock(),
        store(cfg.store_address),  # type: ignore[call-arg]
        plugin.find(gateway_api.Dialect, cfg.dialect)(),
    )
    if not clock.COUNTS_SUSPENSION:
        eventlog.warning("clock-stands-while-suspended")
    gateway.start()
    # Objects made at the start live as long as the process, so the collector need not
    # examine them.
    gc.freeze()
    eventlog.info("started", hall=cfg.hall, listen=cfg.listen)
    while received.wait() == signal.SIGHUP:
        _reload(gateway, cfg.settings)
    gateway.stop()
    eventlog.info("stopped")


def _reload(gateway: gateway_node.Gateway, path: str) -> None:
    try:
        gateway.reload(load_options(path))
    except errors.GaprockError as exc:
        # The settings in force stay in force.
        eventlog.warning("reload-refused", error=exc)


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = argparse.ArgumentParser("gaprock-gateway", description=DESCRIPTION)
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        help=f"path of the settings file; default ${SETTINGS_VARIABLE}",
    )
    parser.add_argument(
        "--without",
        default="",
        metavar="NAME,...",
        help="mechanisms to switch off, to measure what they are worth",
    )
    parser.add_argument(
        "--capacity-control",
        default=options.Options().capacity_control,
        metavar="MODE",
        help="services whose scarce capacity is divided among workspaces: off, "
        "reported (those whose endpoints report their pace) or all; "
        "default %(default)s",
    )
    args = parser.parse_args(argv)
    # Signals are handled before the settings are read, so that no change is missed.
    received = signals.Signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    try:
        check_capacity_control(args.capacity_control)
        cfg = load_options(args.settings)
        mechanisms.switch_off(filter(None, args.without.split(",")))
        cfg.capacity_control = args.capacity_control
    except errors.GaprockError as exc:
        print(f"gaprock-gateway: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    run(cfg, received)
    # Exit without waiting for threads whose callers are cut off.
    sys.stdout.flush()
    os._exit(EXIT_DONE)
