"""Whether an answer of a new version took far longer than the stable one's do."""

import typing

# An answer is slow beyond this multiple of what the stable version takes.  The new
# one's endpoints are more loaded while it is unproved, so it must be well above that.
SLOW_TIMES: typing.Final = 4.0
# Answers of the stable version before slowness is judged, and the weight of each.
MIN_TIMES: typing.Final = 8
TIME_WEIGHT: typing.Final = 0.1
# Differences below this are never slowness, seconds.
SLOW_FLOOR_S: typing.Final = 0.15


class Pace:
    """Running mean of how long the stable version takes on a route and model."""

    __slots__ = ("mean_s", "count")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.count = 0

    def add(self, took_s: float) -> None:
        """Take an answer of the stable version."""
        self.count += 1
        weight = max(TIME_WEIGHT, 1 / self.count)
        self.mean_s += weight * (took_s - self.mean_s)

    def is_slow(self, took_s: float) -> bool:
        """Whether a time is far above the mean; never before there are some."""
        if self.count < MIN_TIMES:
            return False
        return is_slow(took_s, self.mean_s)


class Judged(typing.NamedTuple):
    """What an answer says of its version.

    :param took_s: seconds to its first part; ``None`` where that tells nothing.
    :param expected_s: what the stable version would have taken, where that is known;
        otherwise it is compared with the mean of its kind.
    """

    failed: bool
    took_s: float | None
    expected_s: float | None = None

    def slow(self, usual: Pace) -> bool:
        """Whether it took far longer than the stable version takes."""
        if self.took_s is None:
            return False
        if self.expected_s is None:
            return usual.is_slow(self.took_s)
        return is_slow(self.took_s, self.expected_s)


def is_slow(took_s: float, usual_s: float) -> bool:
    """Whether a time is far above what is usual."""
    return took_s > max(SLOW_TIMES * usual_s, usual_s + SLOW_FLOOR_S)
