"""Signals that a program handles one after the other in its main thread."""

import queue
import signal
import types
import typing

# Python runs signal handlers only in the main thread.  A signal that arrives while the
# process is stopped may be delivered to any thread, which does not wake the main one,
# so the main thread wakes up at this interval to run pending handlers.
SIGNAL_POLL_S: typing.Final = 0.25


class Signals:
    """Queue of the received signals, in the order of their arrival."""

    __slots__ = ("_received",)

    def __init__(self, *numbers: signal.Signals) -> None:
        # ``SimpleQueue.put`` is reentrant, so a handler may call it at any moment.
        self._received: queue.SimpleQueue[int] = queue.SimpleQueue()
        for number in numbers:
            signal.signal(number, self._enqueue)

    def wait(self) -> int:
        """Wait for the next signal and return its number; only for the main thread."""
        while True:
            try:
                return self._received.get(timeout=SIGNAL_POLL_S)
            except queue.Empty:
                continue

    def _enqueue(self, number: int, frame: types.FrameType | None) -> None:
        self._received.put(number)
