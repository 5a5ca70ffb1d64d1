"""Recent crashes of endpoints, and what is held that explains each of them.

Segments and families explain crashes: what different requests share.
"""

import collections
import typing

from gaprock import clock, suspicion

# Where endpoints crash for other reasons too, a request can be open at several crashes
# by chance.  For every ``UNRELATED_CRASHES`` crashes without the suspect in the last
# ``UNRELATED_CRASHES_S``, holding it takes one more crash at which it had just started.
# This protects bystanders when endpoints crash one after the other.
UNRELATED_CRASHES: typing.Final = 4
UNRELATED_CRASHES_S: typing.Final = 10.0
# Maximum number of crashes of which the cause is remembered.
MAX_EXPLAINED: typing.Final = 1000


class CrashCauses:
    """Crashes by the incarnation of the endpoint; not thread-safe."""

    __slots__ = ("_recent", "_causes")

    def __init__(self) -> None:
        # When each recent crash was learned.
        self._recent: collections.OrderedDict[str, float] = collections.OrderedDict()
        # The held segments and families that explain crashes.
        self._causes: collections.OrderedDict[str, int] = collections.OrderedDict()

    def record(self, incarnations: typing.Iterable[str], now: float) -> None:
        """Record that endpoints crashed."""
        for incarnation in incarnations:
            self._recent.setdefault(incarnation, now)
        while (
            self._recent
            and next(iter(self._recent.values())) < now - UNRELATED_CRASHES_S
        ):
            self._recent.popitem(last=False)

    def withdraw(self, incarnation: str) -> None:
        """Forget a crash that did not happen."""
        self._recent.pop(incarnation, None)
        self._causes.pop(incarnation, None)

    def required_weight(self, suspect: suspicion.Suspect) -> int:
        """Return the weight at which a suspect is held."""
        extra = len(self.unrelated(suspect)) // UNRELATED_CRASHES
        return suspicion.HELD_WEIGHT + suspicion.BEGUN_WEIGHT * extra

    def unrelated(
        self, suspect: suspicion.Suspect, since: float = -clock.NEVER
    ) -> set[str]:
        """Return the recent crashes without a suspect that nothing shared explains.

        :param since: only those that were learned after this time.
        """
        return {
            incarnation
            for incarnation, learned_at in self._recent.items()
            if learned_at > since
            and incarnation not in suspect.incarnations
            and incarnation not in self._causes
        }

    def cause(self, incarnation: str) -> int:
        """Return the segment or family that explains a crash; -1 for none."""
        return self._causes.get(incarnation, -1)

    def explain(self, incarnation: str, cause: int) -> None:
        """Record that a segment or family explains a crash."""
        self._causes[incarnation] = cause
        if len(self._causes) > MAX_EXPLAINED:
            self._causes.popitem(last=False)

    def forget(self, cause: int) -> int:
        """Forget what a cause explained; return the number of those crashes."""
        explained = [one for one, known in self._causes.items() if known == cause]
        for incarnation in explained:
            del self._causes[incarnation]
        return len(explained)
