"""Counts events within time spans."""

import typing


def most_within(times: typing.Iterable[float], span_s: float) -> int:
    """Return the largest number of events within any span.

    :param times: the times of the events.
    """
    ordered = sorted(times)
    most = first = 0
    for last, time in enumerate(ordered):
        while ordered[first] <= time - span_s:
            first += 1
        most = max(most, last - first + 1)
    return most
