"""Structured log: one line of key=value pairs for each event.

Values with other than plain characters are quoted, so that no caller's text can
forge a field or a line.  The lines go through ``absl.logging`` to standard error.
"""

import io
import json
import logging as std_logging
import os
import re
import sys
import time
import typing

from absl import flags, logging

from gaprock import clock

# A value of only these characters is written bare; any other is quoted.
BARE_VALUE: typing.Final = re.compile(r"[A-Za-z0-9_.:/@,+-]+\Z")
MAX_VALUE_CHARS: typing.Final = 400
LINE_FORMAT: typing.Final = (
    "ts=%(asctime)s.%(msecs)03dZ level=%(levelname)s %(message)s"
)
TIME_FORMAT: typing.Final = "%Y-%m-%dT%H:%M:%S"

# Rate and burst of the lines that a bounded log accepts.
LINES_PER_S: typing.Final = 1500.0
BURST_LINES: typing.Final = 3000.0

_process_name = "gaprock"
_steady = clock.SteadyClock()


class BoundedStream(io.TextIOBase):
    """Standard output that never blocks its writer.

    A line that does not fit into the pipe or exceeds the rate limit is dropped and
    counted; the next line that is written carries the count.
    """

    def __init__(self, fileno: int) -> None:
        super().__init__()
        self._fileno = fileno
        self._tokens = BURST_LINES
        self._refilled_at = _steady.now()
        self._unreported = 0
        self.dropped = 0
        os.set_blocking(fileno, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it if it cannot be written without blocking."""
        now = _steady.now()
        refilled = self._tokens + (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, refilled)
        self._refilled_at = now
        if self._tokens < 1.0:
            self._drop()
            return len(text)
        self._tokens -= 1.0
        if self._unreported:
            text = f"{text.rstrip()} dropped_before={self._unreported}\n"
        try:
            os.write(self._fileno, text.encode())
            self._unreported = 0
        except OSError:
            # The pipe is full or has no reader; the line is counted as dropped.
            self._drop()
        return len(text)

    def flush(self) -> None:
        """Do nothing, as lines are not buffered."""

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported += 1


_bounded: BoundedStream | None = None


def dropped_lines() -> int:
    """Return the number of lines dropped so far."""
    return _bounded.dropped if _bounded is not None else 0


def start(process_name: str, verbose: bool = False, bounded: bool = False) -> None:
    """Configure the log of this process.

    :param process_name: name that each line carries.
    :param verbose: whether to write debug events.
    :param bounded: whether to write to standard output without ever blocking.
    """
    global _process_name, _bounded
    _process_name = process_name
    # The settings come from ``options``; absl's own flags keep their defaults.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    # The lines carry neither source location, thread nor process, so that the library
    # does not have to determine them (documented optimisation switches).
    std_logging.logThreads = False
    std_logging.logProcesses = False
    std_logging.logMultiprocessing = False
    setattr(std_logging, "_srcfile", None)
    if bounded:
        _bounded = BoundedStream(sys.stdout.fileno())
        logging.get_absl_handler().python_handler.stream = _bounded
    formatter = std_logging.Formatter(LINE_FORMAT, TIME_FORMAT)
    formatter.converter = time.gmtime
    logging.get_absl_handler().setFormatter(formatter)
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)


def quote(value: object) -> str:
    """Format a value so that it stays one field of one line."""
    if isinstance(value, float):
        return f"{value:.6g}" if abs(value) < 1e6 else f"{value:.3f}"
    text = str(value)[:MAX_VALUE_CHARS]
    return text if BARE_VALUE.match(text) else json.dumps(text)


def json_string(text: str) -> str:
    """Return a text as a JSON string."""
    return json.dumps(text)


def line(event: str, fields: dict[str, object]) -> str:
    """Build the line of an event, without time and level."""
    pairs = " ".join(f"{key}={quote(value)}" for key, value in fields.items())
    return f"proc={_process_name} event={event} {pairs}".rstrip()


def info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    logging.info("%s", line(event, fields))


def warning(event: str, **fields: object) -> None:
    """Log an event that may need an operator's attention."""
    logging.warning("%s", line(event, fields))


def debug(event: str, **fields: object) -> None:
    """Log an event that is written only with ``--verbose``."""
    if logging.level_debug():
        logging.debug("%s", line(event, fields))


def info_line(text: str) -> None:
    """Log a line that ``line`` built earlier."""
    logging.info("%s", text)
