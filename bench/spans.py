"""Counts events within time spans."""

import typing


def most_within(moments: typing.Iterable[float], span_s: float) -> int:
    """Return the largest number of events within any span.

    :param moments: the times of the events.
    """
    ordered = sorted(moments)
    most = first = 0
    for last, moment in enumerate(ordered):
        while ordered[first] <= moment - span_s:
            first += 1
        most = max(most, last - first + 1)
    return most
