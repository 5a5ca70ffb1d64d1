"""The retry budget: second tries are a bounded share of first tries."""

import threading
import typing

# Tries that may be saved up in quiet times.
MAX_SAVED: typing.Final = 20.0


class RetryBudget:
    """Counts first tries in and second tries out; safe for all threads.

    :param share: second tries allowed for each first try.
    """

    __slots__ = ("_share", "_saved", "_lock", "first", "second")

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = 1.0 if share else 0.0
        self._lock = threading.Lock()
        self.first = 0
        self.second = 0

    def record_first(self) -> None:
        """Count a first try."""
        with self._lock:
            self.first += 1
            self._saved = min(MAX_SAVED, self._saved + self._share)

    def spend_retry(self) -> bool:
        """Ask for a second try.

        :returns: false when the budget is used up.
        """
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            self.second += 1
            return True
