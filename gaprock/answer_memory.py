"""The memory that an agent uses for answers that are still being read.

Load condition: answers and events without end.  An answer that does not fit has run
already; it is given up, since an agent above its memory is killed with all its calls.
"""

import threading


class AnswerMemory:
    """The bytes held of all answers of an agent; thread-safe.

    :param max_bytes: the most that all answers may take together.
    """

    __slots__ = ("_max_bytes", "_used", "_lock")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._used = 0
        self._lock = threading.Lock()

    @property
    def used(self) -> int:
        """Bytes of all answers now."""
        return self._used

    def change(self, before: int, now: int) -> bool:
        """Set the bytes that are held of one answer.

        :returns: whether they fit; otherwise the bytes before are still counted.
        """
        with self._lock:
            if now > before and self._used + now - before > self._max_bytes:
                return False
            self._used += now - before
            return True
