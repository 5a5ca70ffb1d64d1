"""Decodes a request's body that comes in chunks, as its bytes arrive.

A chunk is never held as a whole: its sender chooses its size.  All chunks of a buffer
are decoded in one pass, because a sender also chooses how many there are.
"""

import typing

# Longest line with the size of a chunk, extensions included, and of a trailer; and the
# maximum number of trailer lines.
MAX_LINE_BYTES: typing.Final = 4096
MAX_TRAILER_LINES: typing.Final = 64
# As many digits as the size of any body has.
MAX_SIZE_DIGITS: typing.Final = 12
HEX_DIGITS: typing.Final = frozenset(b"0123456789abcdefABCDEF")
LINE_END: typing.Final = b"\r\n"
# Bytes of sizes, extensions and line ends: a number, and as many for each byte of the
# body.  A chunk of one byte without extensions has five.
MAX_OVERHEAD_BYTES: typing.Final = 64 * 1024
MAX_OVERHEAD_RATIO: typing.Final = 16
# The lines of small chunks without extensions, and the sizes.
PLAIN_SIZES: typing.Final = {
    text % size: size for text in (b"%x", b"%X") for size in range(1, 256)
}


class TooLarge(Exception):
    """The body is larger than any that is read."""


class ChunkDecoder:
    """The decoder of one body.

    :param limit: the largest body that is read, bytes.
    """

    __slots__ = (
        "_limit",
        "_rest",
        "_left",
        "_awaits_end",
        "_trailer_lines",
        "size",
        "_overhead",
        "is_complete",
    )

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # The beginning of a line, or of a chunk's end.
        self._rest = b""
        # Bytes left of the present chunk, and whether the line end after it is due.
        self._left = 0
        self._awaits_end = False
        # Lines after the last chunk; -1 before it.
        self._trailer_lines = -1
        # Bytes of all chunks that have begun.
        self.size = 0
        self._overhead = 0
        self.is_complete = False

    def decode(self, data: bytes) -> tuple[list[bytes], bytes]:
        """Decode bytes as they arrived.

        :returns: pieces of the body, and the bytes after its end.
        :raises ValueError: when the chunks are malformed.
        :raises TooLarge: when the body exceeds the limit.
        """
        if self._rest:
            data, self._rest = self._rest + data, b""
        pieces: list[bytes] = []
        pos, end = 0, len(data)
        is_equal = True
        while pos < end:
            if self._left:
                stop = min(end, pos + self._left)
                pieces.append(data[pos:stop])
                self._left -= stop - pos
                pos = stop
                self._awaits_end = not self._left
            elif self._awaits_end:
                if end - pos < len(LINE_END):
                    break
                if data[pos : pos + 2] != LINE_END:
                    raise ValueError("a chunk has no end")
                self._awaits_end = False
                pos += len(LINE_END)
            else:
                if is_equal and self._trailer_lines < 0:
                    is_equal = False
                    pos = self._take_equal(data, pos, pieces)
                if self._trailer_lines < 0:
                    pos = self._take_small(data, pos, pieces)
                line_end = data.find(LINE_END, pos, pos + MAX_LINE_BYTES)
                if line_end < 0:
                    if end - pos >= MAX_LINE_BYTES:
                        raise ValueError("a line of a chunk has no end")
                    break
                line = data[pos:line_end]
                pos = line_end + len(LINE_END)
                self._take_line(line)
                if self.is_complete:
                    return pieces, data[pos:]
        self._rest = data[pos:]
        return pieces, b""

    def _take_small(self, data: bytes, pos: int, pieces: list[bytes]) -> int:
        """Take small chunks that are there as a whole; return where they end."""
        begin, size = pos, 0
        while True:
            line_end = data.find(LINE_END, pos, pos + 4)
            found = PLAIN_SIZES.get(data[pos:line_end]) if line_end > pos else None
            if found is None:
                break
            stop = line_end + 2 + found
            if data[stop : stop + 2] != LINE_END:
                break
            pieces.append(data[line_end + 2 : stop])
            size += found
            pos = stop + 2
        self._count(size, pos - begin - size)
        return pos

    def _take_equal(self, data: bytes, pos: int, pieces: list[bytes]) -> int:
        """Take small chunks of one size, if there is nothing else but part of one."""
        line_end = data.find(LINE_END, pos, pos + 4)
        size = PLAIN_SIZES.get(data[pos:line_end], 0) if line_end > pos else 0
        if not size:
            return pos
        line_size = line_end + 2 - pos
        width = line_size + size + 2
        count = (len(data) - pos) // width
        if count < 2:
            return pos
        stop = pos + count * width
        unit = data[pos : pos + width - 2] + LINE_END
        for place in (*range(line_size), width - 2, width - 1):
            if data[pos + place : stop : width] != unit[place : place + 1] * count:
                return pos
        body = bytearray(count * size)
        for place in range(size):
            body[place::size] = data[pos + line_size + place : stop : width]
        pieces.append(bytes(body))
        self._count(count * size, count * (width - size))
        return stop

    def _count(self, size: int, overhead: int) -> None:
        """Count bytes of the body, and others."""
        self.size += size
        if self.size > self._limit:
            raise TooLarge
        self._overhead += overhead
        if self._overhead > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * self.size:
            raise ValueError("too many bytes beside those of the chunks")

    def _take_line(self, line: bytes) -> None:
        if self._trailer_lines >= 0:
            # Lines after the last chunk must not be parsed as a request.
            self._trailer_lines += 1
            if not line:
                self.is_complete = True
            elif self._trailer_lines >= MAX_TRAILER_LINES:
                raise ValueError("too many lines after the last chunk")
            return
        digits = line.partition(b";")[0].strip()
        if not digits or not HEX_DIGITS.issuperset(digits):
            raise ValueError("a chunk has no size")
        if len(digits.lstrip(b"0")) > MAX_SIZE_DIGITS:
            raise TooLarge
        self._left = int(digits, 16)
        self._count(self._left, len(line) + 2 * len(LINE_END))
        if not self._left:
            self._trailer_lines = 0
