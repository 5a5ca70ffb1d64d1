"""Holds requests that arrive before the gateway has read its tables.

``startup_wait`` decides for how long.  Held requests are counted, so that they leave
threads for other callers, and woken together when the start has ended.
"""

import threading
import typing

from gaprock import (
    clock,
    eventlog,
    gateway_api,
    gateway_call,
    gateway_metrics,
    http_exchange,
    mechanisms,
    startup_wait,
)

# Interval at which the end of the start is checked.
POLL_S: typing.Final = 0.02
# Interval at which a held request checks whether its caller has left.
CALLER_CHECK_S: typing.Final = 0.25


class StartHold:
    """Requests that are held at the start; thread-safe.

    :param is_ready: returns whether the start has ended.
    :param expected_s: returns how long the start is expected to take, seconds.
    :param max_held: the number of requests that may be held at a time.
    """

    __slots__ = (
        "_clock",
        "_dialect",
        "_metrics",
        "_is_ready",
        "_expected_s",
        "_max_held",
        "_begun_at",
        "_held",
        "_changed",
        "_stopped",
    )

    def __init__(
        self,
        clock_: clock.Clock,
        dialect: gateway_api.Dialect,
        metrics: gateway_metrics.GatewayMetrics,
        is_ready: typing.Callable[[], bool],
        expected_s: typing.Callable[[], float],
        max_held: int,
    ) -> None:
        self._clock = clock_
        self._dialect = dialect
        self._metrics = metrics
        self._is_ready = is_ready
        self._expected_s = expected_s
        self._max_held = max_held
        self._begun_at = clock_.now()
        self._held = 0
        # Notified when the start has ended.
        self._changed = threading.Condition()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Date the start, and wake the held requests when it has ended."""
        self._begun_at = self._clock.now()
        threading.Thread(target=self._watch, name="start", daemon=True).start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()

    @property
    def held(self) -> int:
        """Number of requests that are held now."""
        return self._held

    def hold(
        self, inbound: gateway_call.Inbound, reply: gateway_call.Reply, usual_s: float
    ) -> None:
        """Hold a request until the start has ended, for as long as that is useful.

        :param usual_s: for how long it is held if the start takes the usual time.
        :raises http_exchange.CallerGone: when the caller left meanwhile.
        """
        if self._is_ready():
            return
        reason = "late"
        try:
            if not self._takes_long:
                self._wait(None, self._clock.now() + usual_s)
            elif not self._enter():
                reason = "too-many"
            else:
                try:
                    self._wait(reply, self._hold_until(inbound))
                finally:
                    self._leave()
        except http_exchange.CallerGone:
            reason = "caller-gone"
            raise
        finally:
            self._record(inbound, reason)

    def _record(self, inbound: gateway_call.Inbound, reason: str) -> None:
        result = "served" if self._is_ready() else "refused"
        self._metrics.start_held.labels(result).inc()
        eventlog.info(
            "start-held",
            result=result,
            reason="ready" if self._is_ready() else reason,
            held_s=self._clock.now() - inbound.arrived_at,
            expected_s=self._expected_s(),
            held=self._held,
        )

    def left_s(self) -> float:
        """Return how long the start is still expected to take, seconds."""
        if not self._takes_long:
            return 0.0
        now = self._clock.now()
        return startup_wait.start_left_s(now, self._begun_at, self._expected_s())

    @property
    def _takes_long(self) -> bool:
        """Whether the start is expected to take longer than usual."""
        return mechanisms.START_WAIT.on and not startup_wait.is_usual(
            self._expected_s()
        )

    def _hold_until(self, inbound: gateway_call.Inbound) -> float:
        try:
            caller_s = self._dialect.read_request(inbound.headers).wait_s
        except gateway_api.InvalidDocument:
            # The checks after the start name the fault.
            caller_s = None
        return startup_wait.hold_until(
            inbound.arrived_at, caller_s, self._begun_at, self._expected_s()
        )

    def _enter(self) -> bool:
        with self._changed:
            if self._held >= self._max_held:
                return False
            self._held += 1
            return True

    def _leave(self) -> None:
        with self._changed:
            self._held -= 1

    def _wait(self, reply: gateway_call.Reply | None, until: float) -> None:
        """Wait until the start has ended, a time has passed or the caller has left."""
        while not self._is_ready() and self._clock.now() < until:
            slice_end = min(until, self._clock.now() + CALLER_CHECK_S)
            with self._changed:
                clock.wait_for(self._changed, self._is_ready, slice_end, self._clock)
            if reply is not None:
                reply.caller.check()

    def _watch(self) -> None:
        """Wake all held requests at the end of the start.

        One thread checks for it: on a third of a core, a check every 20 ms by each of
        70 held requests would slow the start down.
        """
        while not self._is_ready():
            if self._stopped.wait(POLL_S):
                return
        with self._changed:
            self._changed.notify_all()
        eventlog.info(
            "start-ended",
            took_s=self._clock.now() - self._begun_at,
            expected_s=self._expected_s(),
            held=self._held,
        )
