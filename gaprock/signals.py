"""The signals that a program takes, one after the other, in its main thread."""

import queue
import signal
import types
import typing

# Handlers run in the main thread alone, but a signal that met a process while it stood
# still may be taken by any thread, which does not wake the main one.  So it looks so
# often by itself, seconds.
SIGNAL_LOOK_S: typing.Final = 0.25


class Signals:
    """The signals that a program takes, in the order in which they came."""

    __slots__ = ("_came",)

    def __init__(self, *numbers: signal.Signals) -> None:
        # Unlike other queues it may be filled by a handler at any moment.
        self._came: queue.SimpleQueue[int] = queue.SimpleQueue()
        for number in numbers:
            signal.signal(number, self._take)

    def wait(self) -> int:
        """Wait for the next one; called by the main thread."""
        while True:
            try:
                return self._came.get(timeout=SIGNAL_LOOK_S)
            except queue.Empty:
                continue

    def _take(self, number: int, frame: types.FrameType | None) -> None:
        self._came.put(number)
