"""Test case: the rule of the retry budget, for the requests and repeats of a fleet.

The rule counts, for each window, the repeats of all processes together.  It allows a
share of the requests of that window, of the one before it or of the one half a window
before it, whichever holds most, and a fixed allowance.
"""

import bisect
import typing


class Rule(typing.NamedTuple):
    """A retry budget, as the users state it.

    :param ratio: repeats for each request.
    :param allowance: repeats beyond that in each window.
    """

    ratio: float
    allowance: float
    window_s: float

    def allowed(self, requests: list[float], start: float) -> float:
        """Return how many repeats the window that begins at a time may hold."""
        most = max(
            _count(requests, start - shift, start - shift + self.window_s)
            for shift in (0.0, self.window_s / 2, self.window_s)
        )
        return self.ratio * most + self.allowance

    def excess(self, requests: list[float], repeats: list[float]) -> float:
        """Return by how much the worst window exceeds what it may hold.

        :param requests: times of the requests, in any order.
        :param repeats: times at which repeats arrived, in any order.
        :returns: 0 or less if all windows keep to the rule.
        """
        requests, repeats = sorted(requests), sorted(repeats)
        starts = set(repeats)
        # The count of requests falls just after one of them leaves a window.
        for at in requests:
            starts |= {_after(at + i * self.window_s / 2) for i in range(3)}
            starts |= {_after(at - i * self.window_s / 2) for i in range(3)}
        worst = -self.allowance
        for start in starts:
            count = _count(repeats, start, start + self.window_s)
            worst = max(worst, count - self.allowed(requests, start))
        return worst


def _count(times: list[float], since: float, until: float) -> int:
    """Count the sorted times in a span, without its end."""
    return bisect.bisect_left(times, until) - bisect.bisect_left(times, since)


def _after(at: float) -> float:
    return at + 1e-9
