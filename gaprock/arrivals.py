"""The memory for requests that are still arriving, of all callers together.

Load condition: many callers that send large bodies, or parts of requests, and stop.
Each of them stays within the limits of a single request.

Bodies above a size have a part of the budget, which is reserved for their whole length
where that is known.  One that does not fit is refused, unless others make no headway:
these are given up for it.  One that makes headway is never given up for another one,
since then none would end.  Heads and small bodies have another part, so that large
bodies don't displace them; there the earliest one is given up.
"""

import threading
import typing

from gaprock import clock, eventlog

# Shares of the budget for large bodies, and for all other requests.
LARGE_SHARE: typing.Final = 0.5
SMALL_SHARE: typing.Final = 0.25
# A large body that gets less than ``SLOW_BYTES`` in ``SLOW_S`` makes no headway.
SLOW_S: typing.Final = 2.0
SLOW_BYTES: typing.Final = 64 * 1024


class Arrival:
    """A request that is arriving; guarded by the lock of its arrivals.

    :param give_up: ends its reading; may be called from any thread.
    """

    __slots__ = (
        "give_up",
        "began_at",
        "held",
        "reserved",
        "is_large",
        "is_given_up",
        "_judged_at",
        "_judged_size",
    )

    def __init__(self, give_up: typing.Callable[[], None], now: float) -> None:
        self.give_up = give_up
        self.began_at = now
        # Bytes that have arrived, and those that are expected in all.
        self.held = 0
        self.reserved = 0
        self.is_large = False
        self.is_given_up = False
        # When its headway was last judged, and its bytes then.
        self._judged_at = now
        self._judged_size = 0

    @property
    def count(self) -> int:
        """Bytes that it counts for."""
        return max(self.held, self.reserved)

    def record(self, size: int, now: float) -> None:
        """Record how many bytes have arrived."""
        self.held = size
        if size >= self._judged_size + SLOW_BYTES:
            self._judged_at, self._judged_size = now, size

    def is_slow(self, now: float) -> bool:
        """Whether it makes no headway."""
        return now >= self._judged_at + SLOW_S


class Arrivals:
    """All arriving requests of a gateway; thread-safe.

    :param budget: returns the bytes for all bodies of requests and answers.
    :param kept: returns how many of these whole requests and answers take.
    """

    def __init__(
        self,
        clock_: clock.Clock,
        budget: typing.Callable[[], int],
        kept: typing.Callable[[], int],
    ) -> None:
        self._clock = clock_
        self._budget = budget
        self._kept = kept
        self._lock = threading.Lock()
        self._arrivals: set[Arrival] = set()
        # Bytes of those that are not given up.
        self._used = 0
        # Requests given up, and bodies refused, since the start.
        self.given_up_count = 0
        self.refused_count = 0

    @property
    def used(self) -> int:
        """Bytes of all arriving requests now, but for those that are given up."""
        return self._used

    def open(self, give_up: typing.Callable[[], None]) -> Arrival:
        """Add a request of which a part has arrived."""
        arrival = Arrival(give_up, self._clock.now())
        with self._lock:
            self._arrivals.add(arrival)
        return arrival

    def close(self, arrival: Arrival) -> None:
        """Release a request that is whole, or of which no more is read."""
        with self._lock:
            self._arrivals.discard(arrival)
            if not arrival.is_given_up:
                self._used -= arrival.held
                arrival.held = 0

    def admit_body(self, arrival: Arrival, length: int) -> bool:
        """Reserve memory for a large body, or refuse it.

        :param length: its length; 0 if that is not known.
        """
        with self._lock:
            arrival.is_large = True
            arrival.reserved = length
            return self._fit_large(arrival)

    def record(self, arrival: Arrival, size: int) -> bool:
        """Record how many bytes of a request have arrived.

        :returns: whether to read on.
        """
        with self._lock:
            if arrival.is_given_up:
                return False
            self._used += size - arrival.held
            arrival.record(size, self._clock.now())
            if arrival.is_large:
                return self._fit_large(arrival)
            self._fit_small()
            return not arrival.is_given_up

    def make_room(self, count: int) -> int:
        """Give up requests that hold much, for answers that have run.

        :param count: the bytes that are needed.
        :returns: how many of these are being released.
        """
        with self._lock:
            now = self._clock.now()
            large = [one for one in self._remaining() if one.is_large and one.held]
            large.sort(key=lambda one: (not one.is_slow(now), -one.held))
            released = 0
            for one in large:
                if released >= count:
                    break
                released += one.held
                self._give_up(one, "answers")
            return released

    def _remaining(self) -> list[Arrival]:
        return [one for one in self._arrivals if not one.is_given_up]

    def _fit_large(self, arrival: Arrival) -> bool:
        others = [
            one for one in self._remaining() if one.is_large and one is not arrival
        ]
        room = self._budget() - self._kept()
        if others:
            room = min(room, int(LARGE_SHARE * self._budget()))
        missing = arrival.count + sum(one.count for one in others) - room
        if missing <= 0:
            return True
        now = self._clock.now()
        slow = [one for one in others if one.is_slow(now)]
        slow.sort(key=lambda one: one.count, reverse=True)
        if sum(one.count for one in slow) >= missing:
            for one in slow:
                if missing <= 0:
                    break
                missing -= one.count
                self._give_up(one, "large")
            return True
        self.refused_count += 1
        eventlog.info(
            "arrival-refused",
            bytes=arrival.count,
            large=len(others),
            kept=self._kept(),
            budget=self._budget(),
        )
        return False

    def _fit_small(self) -> None:
        small = [one for one in self._remaining() if not one.is_large]
        excess = sum(one.held for one in small) - SMALL_SHARE * self._budget()
        if excess <= 0:
            return
        small.sort(key=lambda one: one.began_at)
        for one in small:
            if excess <= 0:
                break
            excess -= one.held
            self._give_up(one, "small")

    def _give_up(self, arrival: Arrival, scarce: str) -> None:
        arrival.is_given_up = True
        self._used -= arrival.held
        self.given_up_count += 1
        eventlog.info(
            "arrival-given-up",
            bytes=arrival.held,
            age_s=self._clock.now() - arrival.began_at,
            scarce=scarce,
            budget=self._budget(),
        )
        arrival.give_up()
