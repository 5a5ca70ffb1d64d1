"""Answers to callers, and the common format of errors."""

import math
import typing

import msgspec

from gaprock import errors

JSON_TYPE: typing.Final = "application/json"


class StreamBody:
    """The parts of a stream; ``on_close`` runs once, even if no part was ever read.

    A generator alone is not enough: its ``finally`` does not run if the generator was
    never started, as happens when the caller leaves before the first part is written.
    """

    __slots__ = ("_parts", "_on_close")

    def __init__(
        self,
        parts: typing.Generator[bytes, None, None],
        on_close: typing.Callable[[], None],
    ) -> None:
        self._parts = parts
        self._on_close: typing.Callable[[], None] | None = on_close

    def __iter__(self) -> "StreamBody":
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._parts)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Discard the parts that were not read."""
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            self._parts.close()
            on_close()


class Answer:
    """An answer; ``parts`` is set if it is a stream."""

    __slots__ = ("status", "content_type", "body", "parts", "headers")

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body
        self.parts: StreamBody | None = None
        self.headers: dict[str, str] = {}


class ErrorInfo(msgspec.Struct):
    """Content of an error's JSON; the first three fields follow common usage."""

    message: str
    type: str
    code: str
    number: int
    # "not run", "outcome unknown" or "ran".
    ran: str
    # When to retry, in seconds since the Unix epoch; null if a retry is of no use.
    retry_at: float | None


class ErrorBody(msgspec.Struct):
    """JSON body of an error answer."""

    error: ErrorInfo


def json_answer(value: object, status: int = 200) -> Answer:
    """Build an answer with a JSON body."""
    return Answer(status, JSON_TYPE, msgspec.json.encode(value))


def error_body(exc: errors.GaprockError) -> bytes:
    """Return the JSON body for an error."""
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
    """Build the answer for an error, with the time to retry in its headers."""
    answer = Answer(exc.code.http_status, JSON_TYPE, error_body(exc))
    answer.headers["X-Gaprock-Code"] = str(exc.code.number)
    if exc.retry_at:
        left = max(0.0, exc.retry_at - now)
        answer.headers["Retry-After"] = str(max(1, math.ceil(left)))
        answer.headers["Retry-After-Ms"] = str(math.ceil(left * 1000))
    return answer


def error_event(exc: errors.GaprockError) -> bytes:
    """Build the event that ends an incomplete stream."""
    return b"event: error\ndata: " + error_body(exc) + b"\n\n"
