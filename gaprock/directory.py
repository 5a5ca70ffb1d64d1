"""The directory of endpoints that a gateway knows: their load and health.

Membership is in ``directory_rows``, state reported by peers in ``directory_peers``.
Load is the sum of this gateway's own requests and those that peers report.  Health is
learned from this gateway's own requests (outlier ejection): an endpoint that refuses
connections, falls silent or fails more often than the others of its service is ejected
for a while, then probed with one request that may be repeated.  An endpoint that a peer
reported as unreachable is avoided until this gateway hears from it.
"""

import random
import typing

from gaprock import (
    clock,
    directory_peers,
    endpoint_notices,
    endpoint_state,
    eventlog,
    mechanisms,
    pace_estimates,
    prefill_pace,
    warm_up,
)

# Longest ejection of an endpoint that refused a connection.
MAX_EJECTION_S: typing.Final = 4.0
# Weight of a new sample in exponentially weighted means.
MEAN_WEIGHT: typing.Final = 0.15
# An endpoint is ejected when its failure rate exceeds the mean of the others by this.
FAILURE_EXCESS: typing.Final = 0.25
# Answers that are needed before the failure rate is used.
MIN_ANSWERS: typing.Final = 4


class Directory(directory_peers.GossipDirectory):
    """All endpoints with their load and health; thread-safe."""

    def __init__(
        self,
        clock_: clock.Clock,
        drain_s: float,
        slow_starts: warm_up.SlowStarts | None = None,
        notices: endpoint_notices.EndpointNotices | None = None,
    ) -> None:
        super().__init__(clock_, drain_s, slow_starts, notices)
        self._rng = random.Random()
        # Measured prefill speed of the engines.
        self.pace = prefill_pace.PrefillPace()

    # -- Health --

    def is_ejected(self, endpoint: endpoint_state.Endpoint, now: float) -> bool:
        """Whether an endpoint is ejected, or its probe has not been answered yet."""
        if not mechanisms.SET_ASIDE.on:
            return False
        if now < endpoint.ejected_until or endpoint.probe_in_flight:
            return True
        return self.fails_often(endpoint)

    def fails_often(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Whether an endpoint clearly fails more often than others of its service."""
        if endpoint.answers < MIN_ANSWERS or endpoint.failure_rate < FAILURE_EXCESS:
            return False
        with self._lock:
            others = [
                e.failure_rate
                for e in self._index.of_service(endpoint.row.service)
                if e is not endpoint
            ]
        usual = sum(others) / len(others) if others else endpoint.failure_rate
        return endpoint.failure_rate - usual > FAILURE_EXCESS

    # -- Own requests --

    def begin(
        self, endpoint: endpoint_state.Endpoint, prompt: endpoint_state.Prompt
    ) -> None:
        """Count a request that is about to be sent."""
        now = self._clock.now()
        with self._lock:
            if not endpoint.running:
                endpoint.sent_at = now
            endpoint.running += 1
            if not endpoint.has_ended:
                self._busy[endpoint.incarnation] = endpoint
            endpoint.backlog.add(prompt.prefill_tokens, now)
            if endpoint.ejected_until and now >= endpoint.ejected_until:
                endpoint.probe_in_flight = True
                self._set_unreachable(endpoint, False)

    def record_prefilled(
        self, endpoint: endpoint_state.Endpoint, prompt: endpoint_state.Prompt
    ) -> None:
        """Record that prefill of a prompt is done, since its answer has begun.

        The prompt counts as cached only from now on: another prompt with the same
        prefix that arrives during the prefill is read in full as well.
        """
        with self._lock:
            endpoint.backlog.remove(prompt.prefill_tokens, self._clock.now())
            if prompt.hashes:
                self._use(endpoint, prompt.hashes)
                self._prompts.append((endpoint.incarnation, prompt.hashes))
                self._prompt_count += 1

    def discard_prompt(
        self, endpoint: endpoint_state.Endpoint, prompt: endpoint_state.Prompt
    ) -> None:
        """Remove a prompt from the backlog: its send ended before prefill was done."""
        with self._lock:
            endpoint.backlog.remove(prompt.prefill_tokens, self._clock.now())

    def unread(self, endpoint: endpoint_state.Endpoint) -> float:
        """Return the estimated prefill backlog, in tokens of the largest model."""
        return self.unread_tokens([endpoint])[0]

    def unread_tokens(self, endpoints: list[endpoint_state.Endpoint]) -> list[float]:
        """Return the estimated prefill backlogs of endpoints of one service."""
        if not endpoints:
            return []
        now = self._clock.now()
        tokens_per_s = self.pace.tokens_per_s(endpoints[0].row.service)
        with self._lock:
            if not mechanisms.BACKLOG_FALLS.on:
                return [e.backlog.outstanding for e in endpoints]
            return [
                e.backlog.left(now, tokens_per_s / pace_estimates.current(e.pace, now))
                for e in endpoints
            ]

    # -- Pace in estimates --

    def pace_held(
        self,
        endpoint: endpoint_state.Endpoint,
        reported: float | None,
        elapsed_s: float,
    ) -> float:
        """Return an endpoint's mean pace over the last ``elapsed_s`` seconds.

        :param reported: the pace in the answer that was observed, if there is one.
        """
        with self._lock:
            return pace_estimates.held(
                endpoint.pace, reported, elapsed_s, self._clock.now()
            )

    def durations_s(
        self, endpoints: list[endpoint_state.Endpoint], works_s: list[float]
    ) -> list[float]:
        """Return how long work takes at each endpoint, given its time at pace 1.0."""
        now = self._clock.now()
        with self._lock:
            return [
                pace_estimates.duration_s(e.pace, work_s, now)
                for e, work_s in zip(endpoints, works_s)
            ]

    def allowance_s(self, endpoint: endpoint_state.Endpoint, limit_s: float) -> float:
        """Return how long to wait for an endpoint that may usually take a time."""
        with self._lock:
            return pace_estimates.allowance_s(endpoint.pace, limit_s, self._clock.now())

    def end(self, endpoint: endpoint_state.Endpoint) -> None:
        """Record the end of a request."""
        with self._lock:
            endpoint.running -= 1
            if not endpoint.running:
                self._busy.pop(endpoint.incarnation, None)
                # A probe may end without showing whether the endpoint works.
                endpoint.probe_in_flight = False

    def record_seen(self, endpoint: endpoint_state.Endpoint) -> None:
        """Record that bytes arrived from an endpoint."""
        endpoint.last_seen_at = self._clock.now()
        if endpoint.is_unreachable:
            with self._lock:
                self._set_unreachable(endpoint, False)

    def _set_unreachable(
        self, endpoint: endpoint_state.Endpoint, is_unreachable: bool
    ) -> None:
        endpoint.is_unreachable = is_unreachable
        if is_unreachable and not endpoint.has_ended:
            self._unreachable[endpoint.incarnation] = endpoint
        else:
            self._unreachable.pop(endpoint.incarnation, None)

    def claim_silence_check(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Whether this caller is to check the connection to a silent endpoint now.

        At most one caller gets this task in each check interval.
        """
        if not mechanisms.LOOKS.on:
            return False
        now = self._clock.now()
        with self._lock:
            if (
                not endpoint.silent(now)
                or now < endpoint.checked_at + endpoint_state.CHECK_INTERVAL_S
            ):
                return False
            endpoint.checked_at = now
            return True

    def claim_connection_check(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Whether to check the connection now after an endpoint broke off an answer."""
        now = self._clock.now()
        with self._lock:
            if now < endpoint.checked_at + endpoint_state.CHECK_INTERVAL_S:
                return False
            endpoint.checked_at = now
            return True

    def record_answer(self, endpoint: endpoint_state.Endpoint, failed: bool) -> None:
        """Record an answer, or a failure that the endpoint is responsible for."""
        with self._lock:
            endpoint.answers += 1
            change = MEAN_WEIGHT * (failed - endpoint.failure_rate)
            endpoint.failure_rate += change
            if not failed:
                self._resume(endpoint)

    def eject_replaced(self, endpoint: endpoint_state.Endpoint) -> None:
        """Eject an endpoint for the longest time: another answers at its address."""
        endpoint.pause_s = MAX_EJECTION_S
        self.eject(endpoint, "another endpoint answers")

    def eject(
        self, endpoint: endpoint_state.Endpoint, reason: str, has_ended: bool = False
    ) -> None:
        """Eject an endpoint as unreachable, for a longer time after each failure.

        :param has_ended: whether its process has ended, as a refused connection shows.
        """
        with self._lock:
            now = self._clock.now()
            endpoint.probe_in_flight = False
            endpoint.checked_at = now
            self._set_unreachable(endpoint, True)
            if has_ended:
                self._record_crash(endpoint, now)
            self._slow_starts.assume_cold(endpoint, "refused connection")
            if now < endpoint.ejected_until:
                return
            pause_s = endpoint.pause_s * self._rng.uniform(0.8, 1.2)
            endpoint.ejected_until = now + pause_s
            endpoint.pause_s = min(MAX_EJECTION_S, endpoint.pause_s * 2)
        eventlog.info(
            "endpoint-paused", endpoint=endpoint.name, reason=reason, pause_s=pause_s
        )

    def take_back_ejections(self, names: typing.Collection[str]) -> int:
        """Use endpoints again that were ejected because of a delay of this process.

        :returns: how many of them were ejected.
        """
        with self._lock:
            found = [
                self._endpoints[name]
                for name in names
                if name in self._endpoints and self._endpoints[name].is_unreachable
            ]
            for endpoint in found:
                self._set_unreachable(endpoint, False)
                endpoint.ejected_until = 0.0
                endpoint.pause_s = endpoint_state.FIRST_EJECTION_S
        return len(found)

    def _resume(self, endpoint: endpoint_state.Endpoint) -> None:
        endpoint.probe_in_flight = False
        if endpoint.ejected_until:
            endpoint.ejected_until = 0.0
            endpoint.pause_s = endpoint_state.FIRST_EJECTION_S
            self._slow_starts.assume_cold(endpoint, "answers again")
            eventlog.info("endpoint-resumed", endpoint=endpoint.name)

    def running_on_other_versions(self, service: str, version: str) -> int:
        """Count own requests at the endpoints of a service that run other versions."""
        with self._lock:
            return sum(
                e.running
                for e in self._busy.values()
                if e.row.service == service and e.row.version != version
            )
