"""Bytes that are collected as they arrive, without one buffer that grows.

A buffer that grows is copied to a larger block again and again, and the freed blocks
stay with the process.
"""

import typing

# Smaller pieces are joined, as each object has a size of its own beside its bytes.
MIN_PIECE_BYTES: typing.Final = 8 * 1024


class BytePieces:
    """Pieces of a body."""

    __slots__ = ("size", "_pieces")

    def __init__(self) -> None:
        # Bytes of all pieces.
        self.size = 0
        self._pieces: list[bytes | bytearray] = []

    def add(self, data: bytes) -> None:
        """Add bytes at the end."""
        self.size += len(data)
        if len(data) >= MIN_PIECE_BYTES:
            self._pieces.append(data)
            return
        last = self._pieces[-1] if self._pieces else None
        if isinstance(last, bytearray) and len(last) < MIN_PIECE_BYTES:
            last += data
        else:
            self._pieces.append(bytearray(data))

    def join(self) -> bytes:
        """Return all bytes."""
        return b"".join(self._pieces)

    def clear(self) -> None:
        """Remove all bytes."""
        self.size = 0
        self._pieces.clear()
