"""Counts moments within spans of time."""

import typing


def most_within(moments: typing.Iterable[float], span_s: float) -> int:
    """Give the most moments within any span."""
    ordered = sorted(moments)
    most = first = 0
    for last, moment in enumerate(ordered):
        while ordered[first] <= moment - span_s:
            first += 1
        most = max(most, last - first + 1)
    return most
