"""One request at an agent: the relay from the endpoint to the entry.

1. Call the endpoint; before that moment every failure is *not run*.
2. Number the parts and post them, as far as the entry's window allows.
3. Keep each part until the entry has acknowledged it, for a ``Resume``.
4. Take a stream that broke up again at the next part, a few times.
5. Post the end with the number of parts and the bill.
"""

import collections
import threading
import typing

import urllib3

from gaprock import (
    agent_endpoint,
    bills,
    clock,
    errorcodes,
    errors,
    eventlog,
    messages,
    policy_api,
)

# Posts a message to an entry's connection.
Post = typing.Callable[[bytes, messages.Message | messages.Part], None]

# Parts joined into one message, as a share of the window.
JOIN_SHARE: typing.Final = 4
ERROR_STATUS: typing.Final = 500


class Cancelled(Exception):
    """The entry no longer waits for the answer."""


class Run:
    """The request's state on the way back to its entry; safe for all threads."""

    __slots__ = (
        "peer",
        "start",
        "_post",
        "_clock",
        "_cond",
        "_kept",
        "_acked",
        "_next",
        "_end",
        "ended_at",
        "cancelled",
        "is_superseded",
        "called_at",
        "first_s",
        "ticket",
    )

    def __init__(
        self, peer: bytes, start: messages.Start, post: Post, clock_: clock.Clock
    ) -> None:
        self.peer = peer
        self.start = start
        self._post = post
        self._clock = clock_
        self._cond = threading.Condition()
        # Parts that were posted and not acknowledged.
        self._kept: collections.deque[messages.Part] = collections.deque()
        self._acked = 0
        self._next = 0
        self._end: messages.End | messages.Refused | None = None
        # When the end was posted last; 0 before.
        self.ended_at = 0.0
        self.cancelled = False
        # Another attempt took this one's place: it is not billed.
        self.is_superseded = False
        # When the endpoint was called; 0 before.
        self.called_at = 0.0
        # Seconds from then to the first part; below 0 before.
        self.first_s = -1.0
        self.ticket: policy_api.Ticket | None = None

    @property
    def peer_name(self) -> str:
        """The entry's identity as text."""
        return self.peer.decode("utf-8", "replace")

    @property
    def count(self) -> int:
        """Parts given so far."""
        return self._next

    @property
    def ended(self) -> bool:
        """Whether the end was posted."""
        return self._end is not None

    def give(self, data: bytes, count: int) -> None:
        """Post parts once the window allows.

        :raises Cancelled: when nobody waits for them any more.
        :raises errors.GaprockError: ``DEADLINE_RUNNING``.
        """
        with self._cond:
            deadline = self.start.deadline
            if not clock.wait_for(self._cond, self._may_give, deadline, self._clock):
                raise errors.GaprockError(errorcodes.DEADLINE_RUNNING)
            if self.cancelled:
                raise Cancelled
            part = messages.Part(self.start.attempt, self._next, count, data)
            self._kept.append(part)
            self._next += count
            self._post(self.peer, part)

    def finish(self, end: messages.End | messages.Refused) -> None:
        """Post the end."""
        with self._cond:
            if self._end is None:
                self._end = end
                self.ended_at = self._clock.now()
                self._post(self.peer, end)

    def ack(self, upto: int) -> None:
        """The entry has taken all parts below ``upto``."""
        with self._cond:
            while self._kept and self._kept[0].seq + self._kept[0].count <= upto:
                self._kept.popleft()
            self._acked = max(self._acked, upto)
            self._cond.notify_all()

    def resend(self, upto: int) -> None:
        """Post again what the entry lacks.

        This does not acknowledge: the caller may not have taken those parts.
        """
        with self._cond:
            for part in self._kept:
                if part.seq >= upto:
                    self._post(self.peer, part)
            if self._end is not None:
                self._post(self.peer, self._end)

    def remind(self, before: float) -> None:
        """Post the end again if that was last done before a time."""
        with self._cond:
            if self._end is not None and self.ended_at < before:
                self.ended_at = self._clock.now()
                self._post(self.peer, self._end)

    def cancel(self) -> None:
        """Nobody waits any more."""
        with self._cond:
            self.cancelled = True
            self._cond.notify_all()

    def _may_give(self) -> bool:
        return self.cancelled or self._next - self._acked < self.start.window


class Relay:
    """Runs one request at one endpoint, on a thread of its own."""

    __slots__ = ("_run", "_endpoint", "_clock", "_max_resumes", "_stream_id")

    def __init__(
        self,
        run: Run,
        endpoint: agent_endpoint.Endpoint,
        clock_: clock.Clock,
        max_resumes: int,
    ) -> None:
        self._run = run
        self._endpoint = endpoint
        self._clock = clock_
        self._max_resumes = max_resumes
        self._stream_id = ""

    def execute(self) -> messages.End | messages.Refused:
        """Run the request and give its end, which is not posted yet."""
        run, start = self._run, self._run.start
        if run.cancelled:
            return self._refused(errors.GaprockError(errorcodes.LEAVING))
        if start.deadline <= self._clock.now():
            return self._refused(errors.GaprockError(errorcodes.DEADLINE_PAST))
        run.called_at = self._clock.now()
        try:
            if start.stream:
                return self._relay_stream()
            return self._relay_whole()
        except Cancelled:
            self._cancel_stream()
            return self._end(errorcodes.CANCELLED, "")
        except errors.GaprockError as exc:
            if exc.not_run:
                return self._refused(exc)
            self._cancel_stream()
            return self._end(exc.code, exc.detail)

    def _relay_whole(self) -> messages.End:
        start = self._run.start
        answer = self._endpoint.call(
            start.path, start.body, start.request, start.deadline, start.repeatable
        )
        self._note_first()
        if answer.status >= ERROR_STATUS:
            code = errorcodes.ENDPOINT_ERROR
            if self._endpoint.option.kind == "service":
                code = errorcodes.OUTCOME_UNKNOWN
            return self._end(code, f"status {answer.status}")
        self._run.give(answer.body, 1)
        parts = bills.parts_of(answer.body)
        return self._end(
            None, "", answer.status, answer.content_type, billed_parts=parts
        )

    def _relay_stream(self) -> messages.End:
        start = self._run.start
        stream = self._endpoint.stream(
            start.path, start.body, start.request, start.deadline
        )
        self._stream_id = stream.stream_id
        resumes = 0
        while not self._relay_until_break(stream):
            resumes += 1
            stream = self._take_up(resumes)
        return self._end(None, "", 200, "text/event-stream")

    def _relay_until_break(self, stream: agent_endpoint.EndpointStream) -> bool:
        """Relay what comes; give whether the stream came to its end mark."""
        most = max(1, self._run.start.window // JOIN_SHARE)
        try:
            while events := self._read(stream):
                self._note_first()
                for i in range(0, len(events), most):
                    some = events[i : i + most]
                    self._run.give(b"".join(some), len(some))
        finally:
            stream.close()
        return stream.whole

    def _read(self, stream: agent_endpoint.EndpointStream) -> list[bytes]:
        if self._run.cancelled:
            raise Cancelled
        if self._run.start.deadline <= self._clock.now():
            raise errors.GaprockError(errorcodes.DEADLINE_RUNNING)
        try:
            return stream.read_parts()
        except (urllib3.exceptions.HTTPError, OSError):
            return []

    def _take_up(self, resumes: int) -> agent_endpoint.EndpointStream:
        """Take up a stream that broke at the next part.

        :raises errors.GaprockError: ``STREAM_CUT``.
        """
        start = self._run.start
        cut = errors.GaprockError(
            errorcodes.STREAM_CUT, f"after part {self._run.count}"
        )
        if resumes > self._max_resumes or not self._stream_id:
            raise cut
        eventlog.info("stream-resume", request=start.request, part=self._run.count)
        try:
            return self._endpoint.resume(
                self._stream_id, self._run.count, start.deadline
            )
        except errors.GaprockError as exc:
            raise cut from exc

    def _cancel_stream(self) -> None:
        if self._stream_id:
            self._endpoint.cancel(self._stream_id)

    def _note_first(self) -> None:
        if self._run.first_s < 0:
            self._run.first_s = self._clock.now() - self._run.called_at

    def _refused(self, exc: errors.GaprockError) -> messages.Refused:
        return messages.Refused(
            self._run.start.attempt, exc.code.number, exc.detail, exc.retry_at
        )

    def _end(
        self,
        code: errorcodes.ErrorCode | None,
        detail: str,
        status: int = 0,
        content_type: str = "",
        billed_parts: int = -1,
    ) -> messages.End:
        number = code.number if code else errorcodes.OK
        parts = billed_parts if billed_parts >= 0 else self._run.count
        return messages.End(
            self._run.start.attempt,
            self._run.count,
            number,
            detail,
            status,
            content_type,
            self._run.first_s,
            self._bill(number, parts),
        )

    def _bill(self, code: int, parts: int) -> messages.Bill | None:
        """Make the bill; an attempt that gave no part is not billed."""
        start = self._run.start
        if not parts and not start.earlier_lines:
            return None
        line = messages.BillLine(
            f"{self._run.peer_name}#{start.attempt}",
            start.endpoint,
            start.version,
            parts,
            parts * start.cost,
        )
        lines = [*start.earlier_lines, line]
        return messages.Bill(
            start.bill_key, start.request, start.workspace, start.template, code, lines
        )
