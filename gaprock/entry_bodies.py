"""The bodies that an entry holds for its callers, within a budget for all of them.

Load condition: many callers that each send a body within the limit of one request, or
most of one.  Small bodies do not count, so that large ones do not displace them.
"""

import contextlib
import threading
import typing

from gaprock import clock, errorcodes, errors, eventlog

SMALL_BODY: typing.Final = 16 * 1024
# Retry time of a refused request, seconds.
RETRY_S: typing.Final = 1.0


class BodyBudget:
    """The bytes of all bodies of an entry; thread-safe.

    :param budget: the most that they may take, bytes.
    """

    __slots__ = ("_clock", "_budget", "_lock", "_used")

    def __init__(self, clock_: clock.Clock, budget: int) -> None:
        self._clock = clock_
        self._budget = budget
        self._lock = threading.Lock()
        self._used = 0

    @contextlib.contextmanager
    def hold(self, length: int) -> typing.Iterator[None]:
        """Count a body of a length as held, from before it is read.

        :raises errors.GaprockError: ``OVERLOADED`` when it does not fit.
        """
        count = length if length > SMALL_BODY else 0
        with self._lock:
            fits = self._used + count <= self._budget
            self._used += count if fits else 0
        if not fits:
            eventlog.info("body-refused", bytes=count, used=self._used)
            retry_at = self._clock.now() + RETRY_S
            raise errors.GaprockError(
                errorcodes.OVERLOADED, "no memory for the body", retry_at
            )
        try:
            yield
        finally:
            with self._lock:
                self._used -= count
