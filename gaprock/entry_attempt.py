"""One attempt of a request at one agent, as the entry sees it.

The link's thread delivers parts and the end; the HTTP thread takes them.  Parts
are taken strictly by number, so a late, doubled or crossed one changes nothing,
and the end counts only when all parts before it are there.
"""

import collections
import threading

from gaprock import clock, errorcodes, errors, messages


class Attempt:
    """The answer under way.

    :param number: the attempt's number on its link.
    :param start: the message that opened it.
    :param incarnation: the agent process that it was sent to.
    """

    __slots__ = (
        "number",
        "start",
        "incarnation",
        "sent_at",
        "asked_at",
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
        # When the link last heard of this attempt, or asked for news of it.
        self.asked_at = sent_at
        self._cond = threading.Condition()
        self._parts: collections.deque[bytes] = collections.deque()
        self._next = 0
        self._taken = 0
        self._end: messages.End | None = None
        self._failure: errors.GaprockError | None = None
        self.closed = False

    @property
    def next_part(self) -> int:
        """The number of the first part that is not here yet."""
        return self._next

    @property
    def taken(self) -> int:
        """Parts that the caller's side has taken."""
        return self._taken

    @property
    def started(self) -> bool:
        """Whether any part has come."""
        return self._next > 0

    def deliver(self, part: messages.Part) -> bool:
        """Take parts from the link.

        :returns: false when parts before them are missing.
        """
        with self._cond:
            if self.closed or self._end_complete() or part.seq < self._next:
                return True
            if part.seq > self._next:
                return False
            self._parts.append(part.data)
            self._next += part.count
            self._cond.notify_all()
            return True

    def finish(self, end: messages.End) -> bool:
        """Take the end from the link.

        :returns: false when parts before it are missing.
        """
        with self._cond:
            if self._end is None:
                self._end = end
            self._cond.notify_all()
            return self._next >= end.count

    def fail(self, exc: errors.GaprockError) -> None:
        """End the attempt without an end from the agent."""
        with self._cond:
            if self._failure is None and not self._end_complete():
                self._failure = exc
            self._cond.notify_all()

    def wait_first(self, deadline: float, clock_: clock.Clock) -> None:
        """Wait until the first part or the end is there.

        :raises errors.GaprockError: the refusal, the failure, or the deadline.
        """
        with self._cond:
            self._wait(deadline, clock_)
            if self._parts:
                return
            self._raise_failure()

    def take(self, deadline: float, clock_: clock.Clock) -> bytes:
        """Take all parts that are there, waiting for one at least.

        :returns: the parts, joined; empty at the whole answer's end.
        :raises errors.GaprockError: when the answer will not be whole.
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
        """The end, once ``take`` gave the empty answer."""
        assert self._end is not None
        return self._end

    @property
    def outcome(self) -> messages.End | None:
        """The end if it is there."""
        return self._end

    def _end_complete(self) -> bool:
        return self._end is not None and self._next >= self._end.count

    def _wait(self, deadline: float, clock_: clock.Clock) -> None:
        def is_news() -> bool:
            return bool(self._parts or self._end_complete() or self._failure)

        if not clock.wait_for(self._cond, is_news, deadline, clock_):
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
