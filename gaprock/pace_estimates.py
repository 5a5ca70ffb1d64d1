"""The pace of endpoints as estimates use it; without network and threads.

Load condition: endpoints whose work takes a different and changing time. An observation
is divided by the pace that held while it was made. An expectation of a call is the time
that its work takes from now on, in which a transient slowdown ends.

Every pace is clamped here, so that an endpoint with a false report is excused, or
expected to answer early, by a bounded factor.
"""

from gaprock import endpoint_pace, mechanisms


def is_known(known: endpoint_pace.EndpointPace) -> bool:
    """Whether estimates use the pace of an endpoint."""
    return mechanisms.PACE.on and known.is_reported


def current(known: endpoint_pace.EndpointPace, now: float) -> float:
    """Return the momentary pace; 1.0 if none is reported."""
    if not is_known(known):
        return endpoint_pace.USUAL_PACE
    return endpoint_pace.bounded(known.current(now))


def held(
    known: endpoint_pace.EndpointPace,
    reported: float | None,
    elapsed_s: float,
    now: float,
) -> float:
    """Return the mean pace over an interval that has just ended or still lasts.

    :param reported: the pace in the answer that was observed; ``None`` if there is no
        answer yet, or none in it.
    :param elapsed_s: length of the interval in seconds.  The report holds for a
        transient slowdown of it, and the lasting pace for the rest: otherwise a
        momentary report would excuse a wait of any length.
    """
    if not is_known(known):
        return endpoint_pace.USUAL_PACE
    momentary = endpoint_pace.bounded(
        known.current(now) if reported is None else reported
    )
    rest_s = elapsed_s - endpoint_pace.TRANSIENT_S
    if rest_s <= 0:
        return momentary
    lasting = endpoint_pace.bounded(known.lasting)
    work_s = endpoint_pace.TRANSIENT_S / momentary + rest_s / lasting
    return elapsed_s / work_s


def duration_s(known: endpoint_pace.EndpointPace, work_s: float, now: float) -> float:
    """Return how long work is expected to take that takes ``work_s`` at pace 1.0."""
    if not is_known(known):
        return work_s
    expected_s = known.duration_s(work_s, now)
    shortest_s = endpoint_pace.MIN_PACE * work_s
    longest_s = endpoint_pace.MAX_PACE * work_s
    return min(longest_s, max(shortest_s, expected_s))


def allowance_s(known: endpoint_pace.EndpointPace, limit_s: float, now: float) -> float:
    """Return how long to wait for an endpoint that may usually take ``limit_s``.

    A fast endpoint gets the usual time: the limit also covers the network, and its
    report is some hundred milliseconds old.
    """
    return max(limit_s, duration_s(known, limit_s, now))
