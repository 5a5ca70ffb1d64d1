"""Whether an answer of a new version took far longer than the stable one's do."""

import collections
import typing

# An answer is slow beyond this multiple of what the stable version's faster answers
# take.  The new one's endpoints are more loaded while it is unproved, so it must be
# well above one.
SLOW_TIMES: typing.Final = 5.0
# The faster answers: a quarter of the latest ones are below.  A mean rises with
# whatever slows a part of the old endpoints, and hides a version as slow as those.
FAST_SHARE: typing.Final = 0.25
LATEST: typing.Final = 64
# Answers of the stable version before slowness is judged.
MIN_TIMES: typing.Final = 8
# Differences below this are never slowness, seconds.
SLOW_FLOOR_S: typing.Final = 0.15


class Pace:
    """How long the stable version's faster answers take on a route and model.

    Times are seconds, or multiples of what was expected where that is known.
    """

    __slots__ = ("_latest",)

    def __init__(self) -> None:
        self._latest: collections.deque[float] = collections.deque(maxlen=LATEST)

    def add(self, took: float) -> None:
        """Take an answer of the stable version."""
        self._latest.append(took)

    @property
    def usual(self) -> float | None:
        """The time of the faster answers; ``None`` before there are some."""
        times = sorted(self._latest)
        if len(times) < MIN_TIMES:
            return None
        return times[int(FAST_SHARE * len(times))]


class VersionSample(typing.NamedTuple):
    """What a send says of its version.

    :param took_s: seconds to its first part; ``None`` where that tells nothing.
    :param expected_s: what the stable version would have taken by its queue, where
        that is known.
    :param is_open: whether there is no answer yet, so that it speaks only if it is late
        already.
    """

    failed: bool
    took_s: float | None
    expected_s: float | None = None
    is_open: bool = False

    @property
    def took(self) -> float | None:
        """The time by which paces are kept."""
        if self.took_s is None or self.expected_s is None:
            return self.took_s
        return self.took_s / max(1e-3, self.expected_s)

    def slow(self, pace: Pace) -> bool:
        """Whether it took far longer than the stable version takes."""
        if self.took_s is None:
            return False
        usual = pace.usual
        if self.expected_s is not None:
            # Before there are answers to compare with, what was expected stands.
            usual_s = self.expected_s * (1.0 if usual is None else usual)
        elif usual is None:
            return False
        else:
            usual_s = usual
        return self.took_s > max(SLOW_TIMES * usual_s, usual_s + SLOW_FLOOR_S)
