"""One attempt to run a request through an agent, on the entry's side.

The link's thread delivers the answer's parts and its end; the HTTP thread reads
them.  Parts are accepted strictly in the order of their numbers, so one that is late,
duplicated or out of order changes nothing.  The end takes effect only when all parts
before it have arrived.
"""

import collections
import threading

from gaprock import clock, errorcodes, errors, messages


class Attempt:
    """An attempt and the parts of its answer; used by the two threads.

    :param number: the attempt's number on its link.
    :param start: the message that started it.
    :param incarnation: the agent's incarnation that it was sent to.
    """

    __slots__ = (
        "number",
        "start",
        "incarnation",
        "sent_at",
        "checked_at",
        "_cond",
        "_parts",
        "_next",
        "_taken",
        "_end",
        "_failure",
        "closed",
    )

    def __init__(
        self, number: int, start: messages.Start, incarnation: str, sent_at: float
    ) -> None:
        self.number = number
        self.start = start
        self.incarnation = incarnation
        self.sent_at = sent_at
        # When the link last received a message on this attempt or asked for one.
        self.checked_at = sent_at
        self._cond = threading.Condition()
        self._parts: collections.deque[bytes] = collections.deque()
        self._next = 0
        self._taken = 0
        self._end: messages.End | None = None
        self._failure: errors.GaprockError | None = None
        self.closed = False

    @property
    def next_part(self) -> int:
        """The number of the first part that has not arrived."""
        return self._next

    @property
    def taken(self) -> int:
        """The number of parts that the HTTP thread has read."""
        return self._taken

    @property
    def started(self) -> bool:
        """Whether any part has arrived."""
        return self._next > 0

    def deliver(self, part: messages.Part) -> bool:
        """Accept parts from the link.

        :returns: false when parts before these are missing.
        """
        with self._cond:
            if self.closed or self._is_complete() or part.seq < self._next:
                return True
            if part.seq > self._next:
                return False
            self._parts.append(part.data)
            self._next += part.count
            self._cond.notify_all()
            return True

    def finish(self, end: messages.End) -> bool:
        """Accept the end from the link.

        :returns: false when parts before the end are missing.
        """
        with self._cond:
            if self._end is None:
                self._end = end
            self._cond.notify_all()
            return self._next >= end.count

    def fail(self, exc: errors.GaprockError) -> None:
        """End the attempt with an error, without an end from the agent."""
        with self._cond:
            if self._failure is None and not self._is_complete():
                self._failure = exc
            self._cond.notify_all()

    def wait_first(self, deadline: float, clock_: clock.Clock) -> None:
        """Wait until the first part or the end has arrived.

        :raises errors.GaprockError: when the attempt was refused or failed, or the
            deadline passed.
        """
        with self._cond:
            self._wait(deadline, clock_)
            if self._parts:
                return
            self._raise_failure()

    def read(self, deadline: float, clock_: clock.Clock) -> bytes:
        """Read all parts that have arrived; wait for at least one.

        :returns: the parts, joined; empty at the end of a complete answer.
        :raises errors.GaprockError: when the answer will stay incomplete.
        """
        with self._cond:
            self._wait(deadline, clock_)
            if not self._parts:
                self._raise_failure()
                return b""
            data = b"".join(self._parts)
            self._parts.clear()
            self._taken = self._next
            return data

    @property
    def end(self) -> messages.End:
        """The end; available once ``read`` has returned no data."""
        assert self._end is not None
        return self._end

    @property
    def outcome(self) -> messages.End | None:
        """The end, if it has arrived."""
        return self._end

    def _is_complete(self) -> bool:
        return self._end is not None and self._next >= self._end.count

    def _wait(self, deadline: float, clock_: clock.Clock) -> None:
        def has_update() -> bool:
            return bool(self._parts or self._is_complete() or self._failure)

        if not clock.wait_for(self._cond, has_update, deadline, clock_):
            raise self._deadline_passed()

    def _deadline_passed(self) -> errors.GaprockError:
        if self._next:
            return errors.GaprockError(errorcodes.DEADLINE_RUNNING)
        return errors.GaprockError(
            errorcodes.OUTCOME_UNKNOWN, "the deadline passed before an answer came"
        )

    def _raise_failure(self) -> None:
        if self._failure is not None:
            raise self._failure
        if self._end is not None and self._end.code != errorcodes.OK:
            raise errors.GaprockError(errorcodes.get(self._end.code), self._end.detail)
