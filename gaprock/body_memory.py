"""The memory that a gateway uses for whole bodies: requests and answers.

Load condition: answers without end, and many large bodies at once, on machines with
little memory.  A process above its limit is killed, with all calls that it serves.

All bodies together stay within a share of the memory, with those that are still
arriving (``arrivals``).  An answer that does not fit has run already, so requests that
are arriving make room for it.  After these, the largest answer that is still being read
is given up: an answer without end is the largest before long, and others go on.  A
single answer may take a part of that share.

After large bodies, freed memory is returned to the system (``native_memory``).
"""

import threading
import typing

from gaprock import arrivals, clock, eventlog, held_bytes, native_memory

# The largest answer, on a machine with any memory.
MAX_ANSWER_BYTES: typing.Final = 64 * 1024 * 1024
# The share of the budget that a single answer may take.
ANSWER_SHARE: typing.Final = 0.5
# Freed memory is returned to the system after this much was freed, and at most once in
# ``RETURN_S``, since that takes milliseconds.
RETURN_BYTES: typing.Final = 4 * 1024 * 1024
RETURN_S: typing.Final = 0.2


class Share:
    """The bytes of one call's bodies; guarded by the lock of their memory."""

    __slots__ = ("memory", "kept_bytes", "read_bytes", "is_given_up")

    def __init__(self, memory: "BodyMemory") -> None:
        self.memory = memory
        # Of its request, and of answers that were read to their ends.
        self.kept_bytes = 0
        # Of the answer that is being read from an endpoint.
        self.read_bytes = 0
        # Whether that answer is to be given up, to make room.
        self.is_given_up = False


class BodyMemory:
    """The shares of all calls of a gateway, against their budget; thread-safe."""

    def __init__(self, clock_: clock.Clock, memory_mb: float) -> None:
        self._clock = clock_
        self._lock = threading.Lock()
        self._shares: set[Share] = set()
        self._used = 0
        self._freed = 0
        self._return_at = -clock.NEVER
        self.budget = 0
        # Bodies refused and answers given up since the start.
        self.refused_count = 0
        self.given_up_count = 0
        self.arrivals = arrivals.Arrivals(
            clock_, lambda: self.budget, lambda: self._used
        )
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: float) -> None:
        """Apply a memory limit; it holds for what is read from now on."""
        self.budget = int(held_bytes.BUDGET_SHARE * memory_mb * held_bytes.MB)

    @property
    def used(self) -> int:
        """Bytes of all bodies now."""
        return self._used

    @property
    def max_answer(self) -> int:
        """The largest answer that is read."""
        return min(MAX_ANSWER_BYTES, int(ANSWER_SHARE * self.budget))

    def open(self) -> Share:
        """Add the share of a call."""
        share = Share(self)
        with self._lock:
            self._shares.add(share)
        return share

    def close(self, share: Share) -> None:
        """Release a call's bytes; its bodies must not be referenced any more."""
        with self._lock:
            self._shares.discard(share)
            self._release(share.kept_bytes + share.read_bytes)
            share.kept_bytes = share.read_bytes = 0
            now = self._clock.now()
            is_due = self._freed >= RETURN_BYTES and now >= self._return_at
            if is_due:
                self._freed, self._return_at = 0, now + RETURN_S
        if is_due:
            native_memory.give_back()

    def admit_request(self, share: Share, count: int) -> bool:
        """Count a request's body that is whole, or refuse it."""
        with self._lock:
            is_admitted = self._used + count <= self.budget
            if is_admitted:
                self._used += count
                share.kept_bytes += count
        if not is_admitted:
            self._record_refused(share.kept_bytes + count)
        return is_admitted

    def _record_refused(self, count: int) -> None:
        self.refused_count += 1
        eventlog.info(
            "request-body-refused", bytes=count, used=self._used, budget=self.budget
        )

    def set_answer(self, share: Share, count: int) -> bool:
        """Set the bytes that are held of an answer, which is being read.

        :returns: whether to read on; otherwise the answer is given up to make room.
        """
        with self._lock:
            self._used += count - share.read_bytes
            share.read_bytes = count
            self._make_room()
            return not share.is_given_up

    def end_answer(self, share: Share, is_kept: bool) -> None:
        """End the reading of an answer.

        :param is_kept: whether its bytes are kept, to be sent to the caller.
        """
        with self._lock:
            if is_kept:
                share.kept_bytes += share.read_bytes
            else:
                self._release(share.read_bytes)
            share.read_bytes = 0
            share.is_given_up = False

    def _make_room(self) -> None:
        """Give up arriving requests, then the largest answers, until the rest fits."""
        excess = self._used + self.arrivals.used - self.budget
        if excess <= 0 or self.arrivals.make_room(excess) >= excess:
            return
        reading = [one for one in self._shares if one.read_bytes]
        leaving = sum(one.read_bytes for one in reading if one.is_given_up)
        reading = [one for one in reading if not one.is_given_up]
        while self._used - leaving > self.budget and reading:
            largest = max(reading, key=lambda one: one.read_bytes)
            largest.is_given_up = True
            leaving += largest.read_bytes
            reading.remove(largest)
            self.given_up_count += 1
            eventlog.warning(
                "answer-given-up",
                bytes=largest.read_bytes,
                used=self._used,
                budget=self.budget,
                reading=len(reading),
            )

    def _release(self, count: int) -> None:
        self._used -= count
        self._freed += count
