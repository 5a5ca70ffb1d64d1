"""The retry budget: retries are limited to a share of first tries."""

import threading
import typing

# Retries that may be saved up while few are needed.
MAX_SAVED_RETRIES: typing.Final = 20.0


class RetryBudget:
    """A token bucket that first tries fill and retries empty; thread-safe.

    :param share: retries allowed for each first try.
    """

    __slots__ = ("_share", "_saved_retries", "_lock", "first_tries", "retries")

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved_retries = 1.0 if share else 0.0
        self._lock = threading.Lock()
        self.first_tries = 0
        self.retries = 0

    def record_first(self) -> None:
        """Count a first try, which adds its share to the budget."""
        with self._lock:
            self.first_tries += 1
            self._saved_retries = min(
                MAX_SAVED_RETRIES, self._saved_retries + self._share
            )

    def spend_retry(self) -> bool:
        """Spend a retry if the budget allows one.

        :returns: false when the budget is used up.
        """
        with self._lock:
            if self._saved_retries < 1.0:
                return False
            self._saved_retries -= 1.0
            self.retries += 1
            return True
