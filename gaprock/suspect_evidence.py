"""The evidence against suspects: which crashes count, and whether they are enough.

A crash that a held segment or family explains counts against nothing less likely, and
one that a held request explains against no family.
"""

import collections
import typing

from gaprock import clock, crash_causes, segment_health, suspicion

# A crash does not count against a segment or family if a request with it ran well that
# began at most this long before.
HEALTHY_S: typing.Final = 2.0


class Evidence:
    """The suspects on record, and what crashes say of them; not thread-safe."""

    __slots__ = ("suspects", "held", "causes", "health")

    def __init__(self) -> None:
        # By fingerprint, the least recently changed one first.
        self.suspects: collections.OrderedDict[int, suspicion.Suspect] = (
            collections.OrderedDict()
        )
        # The fingerprints of those that are held.
        self.held: set[int] = set()
        self.causes = crash_causes.CrashCauses()
        self.health = segment_health.SegmentHealth()

    def ran_well(self, shared: int, now: float) -> bool:
        """Whether a request with a segment or family ran well that began just now."""
        return now < self.health.last(shared) + HEALTHY_S

    def counts(self, suspect: suspicion.Suspect, incarnation: str) -> bool:
        """Whether a crash counts against a suspect.

        It does not if a held segment or family that is the more likely cause explains
        it.
        """
        cause = self.suspects.get(self.causes.cause(incarnation))
        if cause is None or cause is suspect:
            return True
        if not suspect.is_shared:
            return False
        return self._rank(suspect) < self._rank(cause)

    def _rank(self, suspect: suspicion.Suspect) -> tuple[float, int]:
        """Return the sort key of shared causes; the most likely one comes first.

        It ran well longest ago or never, and was open at most crashes.
        """
        last = self.health.last(suspect.fingerprint)
        return last, -len(suspect.incarnations)

    def is_explained(self, suspect: suspicion.Suspect) -> bool:
        """Whether others are the more likely cause of a suspect's crashes.

        A request, or a family, that is held for the number of its crashes alone is not
        the cause if a more likely one was open at all of them, or if endpoints go on
        crashing without it.
        """
        if not suspect.incarnations:
            return False
        if suspect.is_shared and not self.weight(suspect):
            return True
        if suspect.is_family and self._is_covered(suspect, self._held_requests()):
            return True
        if not suspect.is_doubtful or self.is_heavy(suspect):
            return False
        since = suspect.updated_at
        if len(self._unrelated(suspect, since)) >= suspicion.HELD_CRASHES:
            return True
        likelier = [one for one in self._held_requests() if not one.is_doubtful]
        return self._is_covered(suspect, likelier)

    def _held_requests(self) -> list[suspicion.Suspect]:
        held = map(self.suspects.__getitem__, self.held)
        return [one for one in held if not one.is_shared]

    def _is_covered(
        self,
        suspect: suspicion.Suspect,
        others: typing.Iterable[suspicion.Suspect],
    ) -> bool:
        """Whether another suspect was open at all crashes of a suspect."""
        crashes = suspect.incarnations.keys()
        return any(
            crashes <= one.incarnations.keys() for one in others if one is not suspect
        )

    def _unrelated(
        self, suspect: suspicion.Suspect, since: float = -clock.NEVER
    ) -> set[str]:
        """Return the recent crashes without a suspect that nothing held explains."""
        found = self.causes.unrelated(suspect, since)
        for one in self._held_requests():
            found -= one.incarnations.keys()
        return found

    def weight(self, suspect: suspicion.Suspect) -> int:
        """Return the weight of the crashes that count against a suspect."""
        return sum(
            weight
            for incarnation, weight in suspect.incarnations.items()
            if self.counts(suspect, incarnation)
        )

    def crash_count(self, suspect: suspicion.Suspect) -> int:
        """Return the number of crashes that count against a suspect."""
        return sum(self.counts(suspect, one) for one in suspect.incarnations)

    def is_heavy(self, suspect: suspicion.Suspect) -> bool:
        """Whether the weight against a suspect suffices to hold it."""
        return self.weight(suspect) >= self.causes.required_weight(suspect)

    def has_enough(self, suspect: suspicion.Suspect) -> bool:
        """Whether the evidence against a suspect suffices to hold it."""
        if not suspect.has_enough_requests:
            return False
        if self.is_heavy(suspect):
            return True
        least = suspicion.HELD_CRASHES + len(self._unrelated(suspect))
        return not suspect.is_segment and self.crash_count(suspect) >= least
