"""A task that runs again and again on a thread of its own."""

import random
import threading
import typing

from gaprock import eventlog, services_api

# Periods vary by this share, so that many processes do not act in step.
JITTER: typing.Final = 0.2


class Periodic:
    """Calls a function every period until it is stopped.

    A failing platform is an ordinary event and is logged; any other exception is
    logged with its type, and the task goes on.
    """

    __slots__ = (
        "_name",
        "_period_s",
        "_call",
        "_stopped",
        "_thread",
        "_was_down",
        "_rng",
    )

    def __init__(
        self, name: str, period_s: float, call: typing.Callable[[], object]
    ) -> None:
        self._name = name
        self._period_s = period_s
        self._call = call
        self._stopped = threading.Event()
        self._was_down = False
        self._rng = random.Random()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Begin, with a first call at once."""
        self._thread.start()

    def stop(self) -> None:
        """End after the call under way."""
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
            if not self._was_down:
                eventlog.warning("platform-down", task=self._name, error=exc)
            self._was_down = True
            return
        except Exception as exc:
            # A task must outlive its own faults; the log names them.
            eventlog.warning("task-failed", task=self._name, error=repr(exc))
            return
        if self._was_down:
            self._was_down = False
            eventlog.info("platform-back", task=self._name)
