"""Queue from any thread to one thread that waits in a poller.

The owning thread polls the mailbox's file descriptor along with its sockets.  Only
the first put after a drain writes to the descriptor, so a burst costs one wake-up.
"""

import collections
import os
import threading
import typing

T = typing.TypeVar("T")


class Mailbox(typing.Generic[T]):
    """An unbounded queue with a file descriptor; its users must limit what they put."""

    __slots__ = ("_items", "_lock", "_read_fd", "_write_fd", "_signalled", "_closed")

    def __init__(self) -> None:
        self._items: collections.deque[T] = collections.deque()
        self._lock = threading.Lock()
        self._read_fd, self._write_fd = os.pipe()
        os.set_blocking(self._read_fd, False)
        self._signalled = False
        self._closed = False

    def fileno(self) -> int:
        """Return the descriptor that is readable while items are queued."""
        return self._read_fd

    def put(self, item: T) -> None:
        """Add an item and wake the owning thread; after ``close``, drop the item."""
        with self._lock:
            if self._closed:
                return
            self._items.append(item)
            if not self._signalled:
                self._signalled = True
                os.write(self._write_fd, b"\0")

    def drain(self) -> list[T]:
        """Remove and return all items; only the owning thread calls this."""
        with self._lock:
            if self._signalled:
                os.read(self._read_fd, 1)
                self._signalled = False
            items = list(self._items)
            self._items.clear()
        return items

    def close(self) -> None:
        """Close the descriptors, once the owning thread has ended."""
        with self._lock:
            self._closed = True
            os.close(self._read_fd)
            os.close(self._write_fd)
