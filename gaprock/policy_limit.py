"""How many requests may run at an endpoint at once."""

import typing

INITIAL_LIMIT: typing.Final = 8.0
MIN_LIMIT: typing.Final = 1.0
# The limit shrinks when the first part takes this many times the usual.
SLOW_FACTOR: typing.Final = 2.0
# Differences below this are noise, seconds.
NOISE_S: typing.Final = 0.01
SHRINK: typing.Final = 0.8
# Weight of one sample in the recent time to the first part.
RECENT_WEIGHT: typing.Final = 0.2
# The limit's effect shows once the runs that began before it are over.
SETTLING_RUNS: typing.Final = 2
# Shrinking is judged from so many times in a row on.
JUDGED_SHRINKS: typing.Final = 2
# Shrinking has helped when the recent time fell below this share of the old one.
HELPED: typing.Final = 0.9
# The limit goes this far beyond what an endpoint says it runs at once.
HINT_FACTOR: typing.Final = 1.25


class Limit:
    """The number of requests that may run, moved by the time to the first part.

    A first part that takes much longer than usual means that the endpoint queues:
    the limit shrinks.  If that does not help, the endpoint has become slow rather
    than full: the limit comes back, and the longer time is the usual one from then on.
    """

    __slots__ = (
        "_cap",
        "_most",
        "_value",
        "_grows_fast",
        "_usual_s",
        "recent_s",
        "_samples",
        "_before_s",
        "_shrinks",
    )

    def __init__(self, most: int) -> None:
        self._cap = self._most = float(most)
        self._value = min(INITIAL_LIMIT, self._most)
        # Until the first sign of overload the limit grows by one a run.
        self._grows_fast = True
        self._usual_s = 0.0
        # Smoothed seconds to the first part.
        self.recent_s = 0.0
        # Samples since the limit shrank last, and the recent time at that moment.
        self._samples = 0
        self._before_s = 0.0
        # Times in a row that the limit shrank.
        self._shrinks = 0

    @property
    def value(self) -> int:
        """The limit."""
        return int(self._value)

    def hint(self, slots: int) -> None:
        """Do not go far beyond what the endpoint says that it runs at once."""
        if slots <= 0:
            return
        self._most = max(MIN_LIMIT, min(self._cap, slots * HINT_FACTOR))
        if not self._samples:
            # Nothing was measured yet: everyone may arrive in the first minute.
            self._value = min(float(slots), self._most)
        self._value = min(self._value, self._most)

    def grow(self) -> None:
        """Allow more after a run that used the limit up."""
        step = 1.0 if self._grows_fast else 1.0 / self._value
        self._value = min(self._value + step, self._most)

    def shrink(self) -> None:
        """Allow fewer."""
        self._grows_fast = False
        self._before_s = self.recent_s
        self._samples = 1
        self._shrinks += 1
        self._value = max(MIN_LIMIT, self._value * SHRINK)

    def sample(self, first_s: float, saturated: bool) -> None:
        """Take one time to the first part."""
        self.recent_s += RECENT_WEIGHT * (first_s - self.recent_s)
        self._samples += 1
        if not self._usual_s:
            self._usual_s = self.recent_s = first_s
        self._usual_s = min(first_s, self._usual_s)
        if self.recent_s <= SLOW_FACTOR * self._usual_s + NOISE_S:
            # Whatever comes next is a new overload.
            self._shrinks = 0
            if saturated:
                self.grow()
        elif self._samples >= SETTLING_RUNS * self._value:
            self._take_as_slow_or_full()

    def _take_as_slow_or_full(self) -> None:
        """Shrink, or see that shrinking is in vain.

        The first time is not judged: it was taken while the load still changed.
        """
        in_vain = self.recent_s > HELPED * self._before_s
        if self._shrinks < JUDGED_SHRINKS or not in_vain:
            self.shrink()
            return
        self._usual_s = self.recent_s
        self._value = min(self._value / SHRINK**self._shrinks, self._most)
        self._shrinks = 0
