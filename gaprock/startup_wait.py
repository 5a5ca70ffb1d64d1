"""How long a request is held while its gateway starts; no network and no threads.

Load condition addressed: gateways that start under load, all at once at worst.  A
request that arrives between the opening of the port and the end of the start can be
served a moment later, and its caller retries only once.

A request is held for as long as both bounds allow: a part of the time for which its
caller waits, and the time that the start is expected to take, which follows from the
machine's cores and its link.  A start that takes longer than expected gives no reason
to hold requests longer, since nothing tells when the store will answer.
"""

import typing

# Time for which a request is held where the machine is large or its size is not known,
# and where the caller names no time.
USUAL_S: typing.Final = 0.3
# Longest expected start.  Callers of streams expect a first event within 1.5 to 4 s,
# so a request that was held for longer would be late even if served.
MAX_START_S: typing.Final = 2.0
# Part of the caller's time for which its request is held.  The rest is left for the
# request itself, or for one retry at another gateway.
CALLER_SHARE: typing.Final = 0.25
# From these cores and this link on, a start takes the usual time, and a machine does
# not run out of them in a rush.
LARGE_CORES: typing.Final = 1.0
LARGE_LINK_MBPS: typing.Final = 100.0
# Megabits that a start reads: 0.62 MB were measured with 2,000 routes, most of them the
# configuration in base 64.
START_MBIT: typing.Final = 5.0
# Part of the open calls that may be held.  The other threads stay available for
# refusals, and for the requests that arrive once the start has ended.
HELD_SHARE: typing.Final = 0.5


def expected_start_s(cores: float, link_mbps: float) -> float:
    """Return how long a start is expected to take, from the opening of the port on.

    :param cores: the machine's cores; 0 if unknown.
    :param link_mbps: its link, megabits per second; 0 if unknown.
    :returns: seconds, from ``USUAL_S`` to ``MAX_START_S``.
    """
    start_s = USUAL_S
    if 0.0 < cores < LARGE_CORES:
        start_s *= LARGE_CORES / cores
    if 0.0 < link_mbps < LARGE_LINK_MBPS:
        start_s += START_MBIT / link_mbps - START_MBIT / LARGE_LINK_MBPS
    return min(MAX_START_S, start_s)


def is_usual(expected_s: float) -> bool:
    """Whether requests are held as on a large machine, whatever their callers' time."""
    return expected_s <= USUAL_S


def hold_until(
    arrived_at: float, caller_s: float | None, begun_at: float, expected_s: float
) -> float:
    """Return until when a request is held on a machine with a slow start.

    :param arrived_at: when the request arrived.
    :param caller_s: for how long its caller waits; ``None`` if it does not say so.
    :param begun_at: when the start began.
    :param expected_s: how long the start is expected to take.
    """
    bearable_s = USUAL_S if caller_s is None else CALLER_SHARE * caller_s
    # An overdue start may end at any moment, so a request is held for the usual time.
    expected_at = max(begun_at + expected_s, arrived_at + USUAL_S)
    return min(arrived_at + bearable_s, expected_at)


def start_left_s(now: float, begun_at: float, expected_s: float) -> float:
    """Return how long the start is still expected to take; 0 if it is overdue."""
    return max(0.0, begun_at + expected_s - now)


def max_held(max_calls: int) -> int:
    """Return how many requests may be held at a time, at least one."""
    return max(1, int(HELD_SHARE * max_calls))
