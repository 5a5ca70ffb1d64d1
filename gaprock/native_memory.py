"""The C library's memory: limits on what it keeps of blocks that were freed.

Its threshold above which a block is given back at once when it is freed rises to the
largest block that was freed.  From then on, bodies of megabytes come from the arenas of
the threads, and each arena keeps its size.
"""

import ctypes
import typing

from gaprock import eventlog

# Parameters of ``mallopt``.
TRIM_THRESHOLD: typing.Final = -1
MMAP_THRESHOLD: typing.Final = -3
ARENA_MAX: typing.Final = -8
# Blocks above this size are given back when they are freed, as is the free end of the
# heap.  Threads take turns in Python, so they hardly wait for each other's arena.
GIVEN_BACK_BYTES: typing.Final = 128 * 1024
ARENAS: typing.Final = 2


def limit_kept() -> None:
    """Fix the thresholds, if the C library has them; before threads are started."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as exc:
        eventlog.info("memory-not-limited", error=repr(exc))
        return
    for parameter, value in (
        (MMAP_THRESHOLD, GIVEN_BACK_BYTES),
        (TRIM_THRESHOLD, GIVEN_BACK_BYTES),
        (ARENA_MAX, ARENAS),
    ):
        if not mallopt(parameter, value):
            eventlog.info("memory-not-limited", parameter=parameter, value=value)


def give_back() -> None:
    """Have the C library return freed memory to the system, if it can."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (AttributeError, OSError) as exc:
        eventlog.warning("memory-not-returned", error=repr(exc))
