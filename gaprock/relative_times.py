"""Bins for the outcome of an answer: a failure, or its time.

Times are relative to those of the stable version's faster answers.

The bins of times have equal widths on a logarithmic scale. Counts by bin add up over
gateways, so that the distributions of both versions are known to all of them.
"""

import math
import typing

# Ratio of the times of neighbouring bins.
STEP: typing.Final = 1.25
# The ends of the scale, in steps; times beyond them are counted in the outermost bins.
LOWEST: typing.Final = -8
HIGHEST: typing.Final = 14
FAILED: typing.Final = 0
# An answer whose time is not comparable.
UNTIMED: typing.Final = 1
# The bin of ``LOWEST``.
FIRST_TIME: typing.Final = 2
# Number of bins.
COUNT: typing.Final = FIRST_TIME + HIGHEST - LOWEST + 1

Counts = tuple[int, ...]
EMPTY: typing.Final[Counts] = (0,) * COUNT


def time_bin(relative: float) -> int:
    """Return the bin of a time.

    :param relative: multiple of the stable version's usual time.
    """
    step = round(math.log(max(1e-9, relative)) / math.log(STEP))
    return FIRST_TIME - LOWEST + min(HIGHEST, max(LOWEST, step))


def bin_time(number: int) -> float:
    """Return the relative time in the middle of a bin of times."""
    return STEP ** (number - FIRST_TIME + LOWEST)


def add(one: Counts, other: Counts) -> Counts:
    """Add counts by bin; those of a gateway without bins are empty."""
    if not one or not other:
        return one or other
    return tuple(map(sum, zip(one, other)))


def bin_name(number: int) -> str:
    """Return the name of a bin for people."""
    if number < FIRST_TIME:
        return "failed" if number == FAILED else "untimed"
    return format(bin_time(number), ".2g")


def text(counts: Counts) -> str:
    """Return counts for the log, as pairs of bin and count."""
    return ",".join(f"{bin_name(n)}:{count}" for n, count in enumerate(counts) if count)
