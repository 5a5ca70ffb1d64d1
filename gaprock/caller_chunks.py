"""Reads a request's body that comes in chunks, piece by piece.

A chunk is never held as a whole: its sender chooses its size.
"""

import typing

from gaprock import clock

# Longest line with the size of a chunk, extensions included, and of a trailer; and the
# maximum number of trailer lines.
MAX_LINE_BYTES: typing.Final = 4096
MAX_TRAILER_LINES: typing.Final = 64
# A body that is not whole after this long is given up.
BODY_TIMEOUT_S: typing.Final = 60.0
# As many digits as the size of any body has.
MAX_SIZE_DIGITS: typing.Final = 12
HEX_DIGITS: typing.Final = frozenset(b"0123456789abcdefABCDEF")
LINE_END: typing.Final = b"\r\n"


class TooLarge(Exception):
    """The body is larger than any that is read."""


class TooSlow(Exception):
    """The body was not whole in time."""


class Source(typing.Protocol):
    """The reader of a caller's connection."""

    def read1(self, size: int, /) -> bytes:
        """Read what is there, or wait for some of it."""

    def read(self, size: int, /) -> bytes:
        """Read a number of bytes."""

    def readline(self, size: int, /) -> bytes:
        """Read a line, or a part of a longer one."""


class ChunkedBody:
    """A body in chunks.

    :param limit: the largest body that is read; 0 for any.
    """

    __slots__ = ("_source", "_clock", "_limit", "_deadline", "_size", "_left", "_ended")

    def __init__(self, source: Source, limit: int, clock_: clock.Clock) -> None:
        self._source = source
        self._clock = clock_
        self._limit = limit
        self._deadline = clock_.now() + BODY_TIMEOUT_S
        # Bytes of the body so far, and those left of the present chunk.
        self._size = 0
        self._left = 0
        self._ended = False

    def read(self, size: int) -> bytes:
        """Read some bytes, at most ``size``; none at the end of the body.

        :raises ValueError: when the chunks are malformed, or end too early.
        :raises TooLarge: when the body exceeds the limit.
        :raises TooSlow: when its time is over.
        """
        if not self._left and not self._ended:
            self._begin_chunk()
        if self._ended:
            return b""
        if self._clock.now() >= self._deadline:
            raise TooSlow
        data = self._source.read1(min(size, self._left))
        if not data:
            raise ValueError("the body ends in a chunk")
        self._left -= len(data)
        if not self._left and self._source.read(len(LINE_END)) != LINE_END:
            raise ValueError("a chunk has no end")
        return data

    def _begin_chunk(self) -> None:
        digits = self._line().partition(b";")[0].strip()
        if not digits or not HEX_DIGITS.issuperset(digits):
            raise ValueError("a chunk has no size")
        if len(digits.lstrip(b"0")) > MAX_SIZE_DIGITS:
            raise TooLarge
        self._left = int(digits, 16)
        self._size += self._left
        if self._limit and self._size > self._limit:
            raise TooLarge
        if not self._left:
            # Lines after the last chunk must not be parsed as a request.
            self._skip_trailer()
            self._ended = True

    def _skip_trailer(self) -> None:
        for _ in range(MAX_TRAILER_LINES):
            if self._line() == b"":
                return
        raise ValueError("too many lines after the last chunk")

    def _line(self) -> bytes:
        line = self._source.readline(MAX_LINE_BYTES)
        if not line.endswith(LINE_END):
            raise ValueError("a line of a chunk has no end")
        return line[: -len(LINE_END)]
