"""One request at an agent, and the relay of its answer to the entry.

1. Call the endpoint; any failure before the call is *not run*.
2. Number the parts and post them, as far as the entry's window allows.
3. Keep each part until the entry has acknowledged it, in case of a ``Resume``.
4. Resume a broken stream at the next part, up to ``max_resumes`` times.
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

# Queues a message for the entry with the given identity.
Post = typing.Callable[[bytes, messages.Message | messages.Part], None]

# A message joins at most ``window // MESSAGES_PER_WINDOW`` parts, and at least one.
MESSAGES_PER_WINDOW: typing.Final = 4
ERROR_STATUS: typing.Final = 500


class Cancelled(Exception):
    """The entry no longer wants the answer."""


class Run:
    """The state of a request and of its answer; thread-safe."""

    __slots__ = (
        "peer",
        "start",
        "_post",
        "_clock",
        "_cond",
        "_unacked",
        "_acked",
        "_next",
        "_end",
        "end_posted_at",
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
        # Parts that were posted but not acknowledged.
        self._unacked: collections.deque[messages.Part] = collections.deque()
        self._acked = 0
        self._next = 0
        self._end: messages.End | messages.Refused | None = None
        # When the end was last posted; 0 before that.
        self.end_posted_at = 0.0
        self.cancelled = False
        # Whether another attempt took the place of this one, which is then not billed.
        self.is_superseded = False
        # When the endpoint was called; 0 before that.
        self.called_at = 0.0
        # Seconds from ``called_at`` to the first part; negative before it.
        self.first_s = -1.0
        self.ticket: policy_api.Ticket | None = None

    @property
    def peer_name(self) -> str:
        """The entry's identity as text."""
        return self.peer.decode("utf-8", "replace")

    @property
    def count(self) -> int:
        """The number of parts posted so far."""
        return self._next

    @property
    def ended(self) -> bool:
        """Whether the end has been posted."""
        return self._end is not None

    def post_parts(self, data: bytes, count: int) -> None:
        """Post parts; block while the entry's window is full.

        :param data: the parts, joined.
        :param count: the number of parts in ``data``.
        :raises Cancelled: when the answer is no longer wanted.
        :raises errors.GaprockError: ``DEADLINE_RUNNING`` when the window stays full
            until the deadline.
        """
        with self._cond:
            deadline = self.start.deadline
            if not clock.wait_for(self._cond, self._may_post, deadline, self._clock):
                raise errors.GaprockError(errorcodes.DEADLINE_RUNNING)
            if self.cancelled:
                raise Cancelled
            part = messages.Part(self.start.attempt, self._next, count, data)
            self._unacked.append(part)
            self._next += count
            self._post(self.peer, part)

    def finish(self, end: messages.End | messages.Refused) -> None:
        """Post the end, unless one was posted already."""
        with self._cond:
            if self._end is None:
                self._end = end
                self.end_posted_at = self._clock.now()
                self._post(self.peer, end)

    def ack(self, upto: int) -> None:
        """Drop the acknowledged parts, those below ``upto``, and move the window."""
        with self._cond:
            while (
                self._unacked and self._unacked[0].seq + self._unacked[0].count <= upto
            ):
                self._unacked.popleft()
            self._acked = max(self._acked, upto)
            self._cond.notify_all()

    def resend(self, upto: int) -> None:
        """Post the kept parts from ``upto`` on, and the end, again.

        This does not acknowledge the parts below ``upto``: the caller may not have
        read them yet.
        """
        with self._cond:
            for part in self._unacked:
                if part.seq >= upto:
                    self._post(self.peer, part)
            if self._end is not None:
                self._post(self.peer, self._end)

    def resend_end(self, before: float) -> None:
        """Post the end again if it was last posted before the given time."""
        with self._cond:
            if self._end is not None and self.end_posted_at < before:
                self.end_posted_at = self._clock.now()
                self._post(self.peer, self._end)

    def cancel(self) -> None:
        """Stop the run: its answer is no longer wanted."""
        with self._cond:
            self.cancelled = True
            self._cond.notify_all()

    def _may_post(self) -> bool:
        return self.cancelled or self._next - self._acked < self.start.window


class Relay:
    """Calls the endpoint for one request and relays the answer."""

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
        """Run the request and return its end, without posting it."""
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
        self._record_first_part()
        if answer.status >= ERROR_STATUS:
            code = errorcodes.ENDPOINT_ERROR
            if self._endpoint.option.kind == "service":
                code = errorcodes.OUTCOME_UNKNOWN
            return self._end(code, f"status {answer.status}")
        self._run.post_parts(answer.body, 1)
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
            stream = self._resume_stream(resumes)
        return self._end(None, "", 200, "text/event-stream")

    def _relay_until_break(self, stream: agent_endpoint.EndpointStream) -> bool:
        """Relay parts until the stream ends; return whether it is complete."""
        max_parts = max(1, self._run.start.window // MESSAGES_PER_WINDOW)
        try:
            while events := self._read(stream):
                self._record_first_part()
                for i in range(0, len(events), max_parts):
                    batch = events[i : i + max_parts]
                    self._run.post_parts(b"".join(batch), len(batch))
        finally:
            stream.close()
        return stream.is_complete

    def _read(self, stream: agent_endpoint.EndpointStream) -> list[bytes]:
        if self._run.cancelled:
            raise Cancelled
        if self._run.start.deadline <= self._clock.now():
            raise errors.GaprockError(errorcodes.DEADLINE_RUNNING)
        try:
            return stream.read_parts()
        except (urllib3.exceptions.HTTPError, OSError):
            return []

    def _resume_stream(self, resumes: int) -> agent_endpoint.EndpointStream:
        """Resume a broken stream at the next part.

        :param resumes: the number of this resumption, from 1.
        :raises errors.GaprockError: ``STREAM_CUT`` when it cannot be resumed.
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

    def _record_first_part(self) -> None:
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
        """Create the bill; ``None`` when no attempt has parts to bill."""
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
