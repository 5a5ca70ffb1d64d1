"""How many requests the endpoints of a service can hold with answers still in time.

Load condition: demand above what a service's endpoints can answer in time.  An engine
that runs as many requests as it has slots may answer each of them too late.  How far
its slots can be filled differs between services and changes with the requests, so it is
learned from answers.  This module makes decisions from its inputs alone.
"""

import typing

# Bounds of the fill limit, as shares of the slots.  Requests are never refused while
# fewer than half of the slots are taken.
MIN_FILL: typing.Final = 0.5
MAX_FILL: typing.Final = 1.0
# The fill limit before anything is learned, in the middle: with a first limit of 1.0, a
# burst filled all slots and made most answers late until the limit had fallen.
FIRST_FILL: typing.Final = 0.75
# The limit rises only if the fill was at least the limit less this: answers in time at
# a lower fill say nothing about a higher one.
RISE_MARGIN: typing.Final = 0.1
# The fill limit falls while more than this share of the recent answers is late.
MAX_LATE_SHARE: typing.Final = 0.1
# Weight of one answer in the share of late ones: one late answer alone does not exceed
# ``MAX_LATE_SHARE``, three in succession do.
ANSWER_WEIGHT: typing.Final = 0.05
# The limit changes at most once in this time, which is as long as a gateway needs to
# see some answers to requests that were admitted under the new limit.
STEP_S: typing.Final = 0.5
# Answers that are needed for a step.
STEP_ANSWERS: typing.Final = 4
# A step down is larger than a step up, so that a tenth of late answers is the bound
# rather than the mean.
STEP_DOWN: typing.Final = 0.05
STEP_UP: typing.Final = 0.02
# Bounds of the pace by which an endpoint's slots are divided: one that is faster than
# usual still has only its slots, and a false report must not take an endpoint out.
MIN_PACE: typing.Final = 1.0
MAX_PACE: typing.Final = 4.0


class EndpointSlots(typing.NamedTuple):
    """One endpoint of a service.

    :param running: requests of all gateways.
    :param pace: its lasting factor on the usual time of work.
    :param is_usable: whether it may get a request now.
    :param is_reachable: whether it accepts connections and is not leaving.
    """

    slots: int
    running: int
    pace: float
    is_usable: bool
    is_reachable: bool


class Capacity(typing.NamedTuple):
    """The capacity of a service, in requests.

    :param limit: requests that it may hold; 0 if it has no endpoint.
    :param floor: below this number no request is refused.
    :param slots: the slots of its reachable endpoints.
    """

    limit: float
    floor: float
    slots: int

    @property
    def bound(self) -> float:
        """The number of requests from which on the capacity is used up."""
        return max(self.limit, self.floor)


NO_CAPACITY: typing.Final = Capacity(0.0, 0.0, 0)


def sum_up(endpoints: typing.Iterable[EndpointSlots], fill_limit: float) -> Capacity:
    """Sum the capacity of a service's endpoints.

    An endpoint that may get no request now (leaving, warming up, backing off,
    rate-limited or ejected) adds what it runs: these requests are part of the use.
    """
    limit, held = 0.0, 0
    usable_slots = reachable_slots = 0
    for one in endpoints:
        if one.is_reachable:
            reachable_slots += one.slots
        if one.is_usable:
            usable_slots += one.slots
            limit += one.slots / min(MAX_PACE, max(MIN_PACE, one.pace))
        else:
            held += min(one.running, one.slots)
    limit = max(MIN_FILL * usable_slots, fill_limit * limit)
    return Capacity(limit + held, MIN_FILL * reachable_slots, reachable_slots)


class FillLimit:
    """The share of the slots that may be taken, learned from answers.

    Only answers to requests that were admitted with at least half of the slots taken
    count: below that, the fill of the endpoints is not what makes answers late.
    """

    __slots__ = ("value", "_late_share", "_answers", "_highest_fill", "_next_step_at")

    def __init__(self) -> None:
        self.value = FIRST_FILL
        self._late_share = 0.0
        # Answers since the last step, and the highest fill among them: bursts of short
        # requests pass through all lower ones.
        self._answers = 0
        self._highest_fill = 0.0
        self._next_step_at = 0.0

    def record(self, is_late: bool, fill: float, now: float) -> bool:
        """Record an answer.

        :param is_late: whether it missed its goal or its longest pause.
        :param fill: the share of the slots that was taken when it was admitted.
        :returns: whether the limit changed.
        """
        if fill < MIN_FILL:
            return False
        self._late_share += ANSWER_WEIGHT * (is_late - self._late_share)
        self._answers += 1
        self._highest_fill = max(self._highest_fill, fill)
        if now < self._next_step_at or self._answers < STEP_ANSWERS:
            return False
        before, fill = self.value, self._highest_fill
        self._next_step_at, self._answers, self._highest_fill = now + STEP_S, 0, 0.0
        step = STEP_UP if fill >= before - RISE_MARGIN else 0.0
        if self._late_share > MAX_LATE_SHARE:
            step = -STEP_DOWN
        self.value = min(MAX_FILL, max(MIN_FILL, before + step))
        return self.value != before
