"""What goes back to a caller, and the one form of an error."""

import math
import typing

import msgspec

from gaprock import errors

JSON_TYPE: typing.Final = "application/json"


class StreamBody:
    """The parts of a stream; ``closed`` runs once, even if none was ever taken.

    A generator would not do: its ``finally`` is not run when it never began,
    as happens when the caller goes away before the first part is written.
    """

    __slots__ = ("_parts", "_closed")

    def __init__(
        self,
        parts: typing.Generator[bytes, None, None],
        closed: typing.Callable[[], None],
    ) -> None:
        self._parts = parts
        self._closed: typing.Callable[[], None] | None = closed

    def __iter__(self) -> "StreamBody":
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._parts)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Give up what was not taken."""
        closed, self._closed = self._closed, None
        if closed is not None:
            self._parts.close()
            closed()


class Answer:
    """An answer; ``parts`` is set for a stream."""

    __slots__ = ("status", "content_type", "body", "parts", "headers")

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body
        self.parts: StreamBody | None = None
        self.headers: dict[str, str] = {}


class ErrorInfo(msgspec.Struct):
    """The inside of an error's JSON; the first three fields are customary."""

    message: str
    type: str
    code: str
    number: int
    # "not run", "outcome unknown" or "ran".
    ran: str
    # When to come back, seconds since the epoch; null when that is of no use.
    retry_at: float | None


class ErrorBody(msgspec.Struct):
    """An error's JSON."""

    error: ErrorInfo


def json_answer(value: object, status: int = 200) -> Answer:
    """Answer with JSON."""
    return Answer(status, JSON_TYPE, msgspec.json.encode(value))


def error_body(exc: errors.GaprockError) -> bytes:
    """Give the JSON of an error."""
    code = exc.code
    info = ErrorInfo(
        message=str(exc),
        type="gaprock_error",
        code=code.name,
        number=code.number,
        ran=code.category.value,
        retry_at=exc.retry_at or None,
    )
    return msgspec.json.encode(ErrorBody(info))


def error_answer(exc: errors.GaprockError, now: float) -> Answer:
    """Give the answer for an error, with the time to come back in its headers."""
    answer = Answer(exc.code.http_status, JSON_TYPE, error_body(exc))
    answer.headers["X-Gaprock-Code"] = str(exc.code.number)
    if exc.retry_at:
        left = max(0.0, exc.retry_at - now)
        answer.headers["Retry-After"] = str(max(1, math.ceil(left)))
        answer.headers["Retry-After-Ms"] = str(math.ceil(left * 1000))
    return answer


def error_event(exc: errors.GaprockError) -> bytes:
    """Give the event that ends a stream which is not whole."""
    return b"event: error\ndata: " + error_body(exc) + b"\n\n"
