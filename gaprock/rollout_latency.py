"""Detection of answers of a new version that are much slower than the stable one's.

Times are compared at a pace of 1.0 (``endpoint_pace``). The endpoints of the two
versions may differ in speed by more than ``SLOW_FACTOR``: a moment at a pace of 3.0
takes 5.5 times as long as work at 0.55.
"""

import collections
import typing

from gaprock import relative_times

# An answer is slow if it takes longer than this multiple of the stable version's faster
# answers.  The canary's endpoints carry more load, so the factor has to be well above
# one.
SLOW_FACTOR: typing.Final = 5.0
# Quantile that stands for the faster answers: a quarter of the latest ones are below.
# A mean rises when some of the old endpoints are slow, and then hides a new version
# that is as slow as those.
FAST_QUANTILE: typing.Final = 0.25
MAX_SAMPLES: typing.Final = 64
# Answers of the stable version that are needed before slowness is judged.
MIN_SAMPLES: typing.Final = 8
# Answers that are needed before times are related to theirs: what few of them err in is
# the same for both versions.
MIN_USUAL_SAMPLES: typing.Final = 3
# An answer that takes longer by less than this is never slow.
SLOW_FLOOR_S: typing.Final = 0.15
# The same for the mean time between the events of a stream.
SLOW_GAP_FLOOR_S: typing.Final = 0.03
# This share of the floor is added to the times whose ratio is counted.
ADDED_SHARE: typing.Final = 1 / 3
# Up to this pace, an endpoint counts as usual or fast: its pace excuses nothing. Beside
# a stable version at 0.55, a good version takes at most twice as long there, which is
# well below ``SLOW_FACTOR``.
USUAL_PACE_END: typing.Final = 1.1


class StableLatency:
    """Latency of the stable version's faster answers on a route and model.

    Times are in seconds, or multiples of the expected time where that is known. They
    are kept both at pace 1.0 and as they were taken.
    """

    __slots__ = ("_at_usual_pace", "_as_taken")

    def __init__(self) -> None:
        self._at_usual_pace: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._as_taken: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)

    def add(self, relative_time: float, pace: float = 1.0) -> None:
        """Add the time of an answer of the stable version.

        :param relative_time: its time at pace 1.0.
        :param pace: the pace of its endpoint during that time.
        """
        self._at_usual_pace.append(relative_time)
        self._as_taken.append(relative_time * pace)

    @property
    def usual(self) -> float | None:
        """The time of the faster answers at pace 1.0.

        It is ``None`` until there are enough samples.
        """
        if len(self._at_usual_pace) < MIN_USUAL_SAMPLES:
            return None
        return _faster(self._at_usual_pace)

    def typical(self, pace: float) -> float | None:
        """Return the time of the faster answers at a pace.

        :returns: ``None`` until there are enough samples.
        """
        if len(self._at_usual_pace) < MIN_SAMPLES:
            return None
        scaled = pace * _faster(self._at_usual_pace)
        if pace > USUAL_PACE_END:
            return scaled
        return min(scaled, _faster(self._as_taken))


def _faster(samples: typing.Iterable[float]) -> float:
    """Return the time of the faster ones among some answers."""
    times = sorted(samples)
    return times[int(FAST_QUANTILE * len(times))]


class VersionSample(typing.NamedTuple):
    """One send as a sample for or against its version.

    :param took_s: seconds to the first part; ``None`` if they are not meaningful.
    :param expected_s: seconds that the stable version would have taken with the same
        queue at pace 1.0, if known.
    :param is_open: whether there is no answer yet, so that the sample counts only if
        it is late already.
    :param pace: the endpoint's pace during that time.
    :param floor_s: a time longer than usual by less than this is never slow.
    :param endpoint: the endpoint's name; empty if it is not known.
    :param age_s: seconds since it was sent.
    """

    failed: bool
    took_s: float | None
    expected_s: float | None = None
    is_open: bool = False
    pace: float = 1.0
    floor_s: float = SLOW_FLOOR_S
    endpoint: str = ""
    age_s: float = 0.0

    @property
    def relative_time(self) -> float | None:
        """The time at pace 1.0, relative to the expected one if that is known."""
        if self.took_s is None:
            return None
        usual_s = self.took_s / self.pace
        if self.expected_s is None:
            return usual_s
        return usual_s / max(1e-3, self.expected_s)

    def bin(self, latency: StableLatency) -> int:
        """Return the bin of the answer, as in ``relative_times``."""
        if self.failed:
            return relative_times.FAILED
        usual = latency.usual
        if self.took_s is None or usual is None:
            return relative_times.UNTIMED
        usual_s = usual if self.expected_s is None else usual * self.expected_s
        # Differences far below the floor count little, however short the times are.
        added_s = ADDED_SHARE * self.floor_s
        return relative_times.time_bin(
            (self.took_s / self.pace + added_s) / (usual_s + added_s)
        )

    def is_slow(self, latency: StableLatency) -> bool:
        """Whether the send took much longer than those of the stable version."""
        if self.took_s is None:
            return False
        typical = latency.typical(self.pace)
        if self.expected_s is not None:
            # Until there are enough answers, the expected time is the reference.
            typical_s = self.expected_s * (self.pace if typical is None else typical)
        elif typical is None:
            return False
        else:
            typical_s = typical
        return self.took_s > max(SLOW_FACTOR * typical_s, typical_s + self.floor_s)
