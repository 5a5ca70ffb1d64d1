"""The adaptive concurrency limit of an endpoint."""

import typing

INITIAL_LIMIT: typing.Final = 8.0
MIN_LIMIT: typing.Final = 1.0
# The limit shrinks when the time to the first part is this many times the baseline.
SLOW_FACTOR: typing.Final = 2.0
# Smaller differences in the time to the first part are noise.
NOISE_S: typing.Final = 0.01
# Factor by which the limit shrinks.
SHRINK_FACTOR: typing.Final = 0.8
# Weight of one sample in the moving average of the time to the first part.
RECENT_WEIGHT: typing.Final = 0.2
# Samples to wait after the limit changed, as a multiple of the limit: the effect shows
# only after the runs that began before the change are over.
SETTLING_FACTOR: typing.Final = 2
# Whether shrinking helps is judged only after this many shrinks in a row.
MIN_JUDGED_SHRINKS: typing.Final = 2
# Shrinking helps if it lowers the recent time to below this share of the time before.
HELPED_SHARE: typing.Final = 0.9
# The limit may exceed the slots that an endpoint reports by this factor.
HINT_FACTOR: typing.Final = 1.25


class Limit:
    """A concurrency limit that adapts to the time to the first part.

    If the first part takes much longer than the baseline, the endpoint is queueing
    requests and the limit shrinks. If that does not help, the endpoint has become slow
    rather than full: the limit is restored, and the longer time is the new baseline.
    """

    __slots__ = (
        "_configured_max",
        "_max",
        "_value",
        "_grows_fast",
        "_baseline_s",
        "recent_s",
        "_samples",
        "_recent_at_shrink_s",
        "_shrinks",
    )

    def __init__(self, max_running: int) -> None:
        self._configured_max = self._max = float(max_running)
        self._value = min(INITIAL_LIMIT, self._max)
        # Until the first sign of overload, the limit grows by one per run.
        self._grows_fast = True
        self._baseline_s = 0.0
        # Moving average of the time to the first part.
        self.recent_s = 0.0
        # Samples since the limit last shrank, and the moving average at that time.
        self._samples = 0
        self._recent_at_shrink_s = 0.0
        # How many times in a row the limit shrank.
        self._shrinks = 0

    @property
    def value(self) -> int:
        """The limit, rounded down."""
        return int(self._value)

    def hint(self, slots: int) -> None:
        """Cap the limit at a little more than the slots that the endpoint reports."""
        if slots <= 0:
            return
        self._max = max(MIN_LIMIT, min(self._configured_max, slots * HINT_FACTOR))
        if not self._samples:
            # Nothing was measured yet. Start at the reported value, since all callers
            # may arrive within the first minute.
            self._value = min(float(slots), self._max)
        self._value = min(self._value, self._max)

    def grow(self) -> None:
        """Raise the limit after a run during which it was reached."""
        step = 1.0 if self._grows_fast else 1.0 / self._value
        self._value = min(self._value + step, self._max)

    def shrink(self) -> None:
        """Lower the limit and wait for the effect."""
        self._grows_fast = False
        self._recent_at_shrink_s = self.recent_s
        self._samples = 1
        self._shrinks += 1
        self._value = max(MIN_LIMIT, self._value * SHRINK_FACTOR)

    def sample(self, first_s: float, saturated: bool) -> None:
        """Record a time to the first part, and adapt the limit.

        :param saturated: whether the limit was reached during the run.
        """
        self.recent_s += RECENT_WEIGHT * (first_s - self.recent_s)
        self._samples += 1
        if not self._baseline_s:
            self._baseline_s = self.recent_s = first_s
        self._baseline_s = min(first_s, self._baseline_s)
        if self.recent_s <= SLOW_FACTOR * self._baseline_s + NOISE_S:
            # The overload is over; the next one is judged afresh.
            self._shrinks = 0
            if saturated:
                self.grow()
        elif self._samples >= SETTLING_FACTOR * self._value:
            self._shrink_or_restore()

    def _shrink_or_restore(self) -> None:
        """Shrink the limit, or restore it if shrinking does not help.

        The first shrink is not judged, since the load was still changing when its
        effect was measured.
        """
        is_useless = self.recent_s > HELPED_SHARE * self._recent_at_shrink_s
        if self._shrinks < MIN_JUDGED_SHRINKS or not is_useless:
            self.shrink()
            return
        self._baseline_s = self.recent_s
        self._value = min(self._value / SHRINK_FACTOR**self._shrinks, self._max)
        self._shrinks = 0
