"""Periodic tasks on threads of their own."""

import random
import threading
import typing

from gaprock import eventlog, services_api

# Periods vary by this share, so that many processes do not act at the same time.
JITTER: typing.Final = 0.2


class Periodic:
    """Calls a function periodically until it is stopped.

    A failure of the platform is expected and logged once until the platform is back;
    any other exception is logged with its type.  The task continues in both cases.
    """

    __slots__ = (
        "_name",
        "_period_s",
        "_call",
        "_stopped",
        "_thread",
        "_platform_is_down",
        "_rng",
    )

    def __init__(
        self, name: str, period_s: float, call: typing.Callable[[], object]
    ) -> None:
        self._name = name
        self._period_s = period_s
        self._call = call
        self._stopped = threading.Event()
        self._platform_is_down = False
        self._rng = random.Random()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread; it makes the first call immediately."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait until a call in progress has returned."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while True:
            self._call_once()
            pause_s = self._period_s * self._rng.uniform(1 - JITTER, 1 + JITTER)
            if self._stopped.wait(pause_s):
                return

    def _call_once(self) -> None:
        try:
            self._call()
        except services_api.PlatformError as exc:
            if not self._platform_is_down:
                eventlog.warning("platform-down", task=self._name, error=exc)
            self._platform_is_down = True
            return
        except Exception as exc:
            # A fault in one call must not end the task.
            eventlog.warning("task-failed", task=self._name, error=repr(exc))
            return
        if self._platform_is_down:
            self._platform_is_down = False
            eventlog.info("platform-back", task=self._name)
