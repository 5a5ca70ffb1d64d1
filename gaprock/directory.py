"""The endpoints that a gateway knows, and how they fare.

Who is there is in ``directory_rows``, what others tell in ``directory_peers``.  Load is
counted by ourselves and told by other gateways.  Health is learned from our own
requests: an endpoint that takes no connection, falls silent or fails more than its
peers is set aside for a while, then tried with one request that may be repeated.  An
endpoint that another gateway found dark is avoided until we hear from it ourselves.
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
    prefill_pace,
    warm_up,
)

# Longest pause of an endpoint that took no connection, seconds.
LONGEST_PAUSE_S: typing.Final = 4.0
# Weight of a new observation in the running means.
MEAN_WEIGHT: typing.Final = 0.15
# An endpoint whose share of failures is this far above the others' is set aside.
FAILURE_EXCESS: typing.Final = 0.25
# Answers before the share of failures counts.
MIN_ANSWERS: typing.Final = 4


class Directory(directory_peers.ToldBook):
    """All endpoints; safe for all threads."""

    def __init__(
        self,
        clock_: clock.Clock,
        drain_s: float,
        slow_starts: warm_up.SlowStarts | None = None,
        notices: endpoint_notices.EndpointNotices | None = None,
    ) -> None:
        super().__init__(clock_, drain_s, slow_starts, notices)
        self._rng = random.Random()
        # How fast the engines read.
        self.pace = prefill_pace.PrefillPace()

    # -- Health --

    def is_ejected(self, endpoint: endpoint_state.Endpoint, now: float) -> bool:
        """Whether an endpoint is paused, or its trial request is not back yet."""
        if not mechanisms.SET_ASIDE.on:
            return False
        if now < endpoint.ejected_until or endpoint.probe_in_flight:
            return True
        return self.fails_often(endpoint)

    def fails_often(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Whether it fails clearly more often than the others of its service."""
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

    # -- What our requests tell --

    def begin(
        self, endpoint: endpoint_state.Endpoint, prompt: endpoint_state.Prompt
    ) -> None:
        """Count a request that is about to be sent."""
        now = self._clock.now()
        with self._lock:
            if not endpoint.running:
                endpoint.sent_at = now
            endpoint.running += 1
            if not endpoint.is_over:
                self._busy[endpoint.incarnation] = endpoint
            endpoint.backlog.add(prompt.reading, now)
            if endpoint.ejected_until and now >= endpoint.ejected_until:
                endpoint.probe_in_flight = True
                self._note_dark(endpoint, False)

    def read(
        self, endpoint: endpoint_state.Endpoint, prompt: endpoint_state.Prompt
    ) -> None:
        """Note that a prompt was read, since its answer has begun.

        Only now is it kept: a prompt that comes while another of the same subject is
        being read is read as well.
        """
        with self._lock:
            endpoint.backlog.remove(prompt.reading, self._clock.now())
            if prompt.hashes:
                self._use(endpoint, prompt.hashes)
                self._prompts.append((endpoint.incarnation, prompt.hashes))
                self._prompt_count += 1

    def drop(
        self, endpoint: endpoint_state.Endpoint, prompt: endpoint_state.Prompt
    ) -> None:
        """Note that a prompt will not be read, since its send is over."""
        with self._lock:
            endpoint.backlog.remove(prompt.reading, self._clock.now())

    def unread(self, endpoint: endpoint_state.Endpoint) -> float:
        """Give what an endpoint likely has to read, in tokens of the largest model."""
        return self.unread_tokens([endpoint])[0]

    def unread_tokens(self, endpoints: list[endpoint_state.Endpoint]) -> list[float]:
        """Give the same for some endpoints of one service."""
        if not endpoints:
            return []
        now = self._clock.now()
        tokens_per_s = self.pace.tokens_per_s(endpoints[0].row.service)
        with self._lock:
            if not mechanisms.BACKLOG_FALLS.on:
                return [e.backlog.told for e in endpoints]
            return [e.backlog.left(now, tokens_per_s) for e in endpoints]

    def end(self, endpoint: endpoint_state.Endpoint) -> None:
        """Count a request that is done with."""
        with self._lock:
            endpoint.running -= 1
            if not endpoint.running:
                self._busy.pop(endpoint.incarnation, None)
                # A trial request that ended without a word on the endpoint.
                endpoint.probe_in_flight = False

    def heard(self, endpoint: endpoint_state.Endpoint) -> None:
        """Note bytes from an endpoint."""
        endpoint.last_seen_at = self._clock.now()
        if endpoint.is_unreachable:
            with self._lock:
                self._note_dark(endpoint, False)

    def _note_dark(
        self, endpoint: endpoint_state.Endpoint, is_unreachable: bool
    ) -> None:
        endpoint.is_unreachable = is_unreachable
        if is_unreachable and not endpoint.is_over:
            self._dark[endpoint.incarnation] = endpoint
        else:
            self._dark.pop(endpoint.incarnation, None)

    def claim_silence_check(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Whether a silent endpoint is to be looked at now, by this caller."""
        if not mechanisms.LOOKS.on:
            return False
        now = self._clock.now()
        with self._lock:
            if (
                not endpoint.silent(now)
                or now < endpoint.looked_at + endpoint_state.LOOK_EVERY_S
            ):
                return False
            endpoint.looked_at = now
            return True

    def claim_connection_check(self, endpoint: endpoint_state.Endpoint) -> bool:
        """Whether an endpoint that broke an answer off is to be looked at now."""
        now = self._clock.now()
        with self._lock:
            if now < endpoint.looked_at + endpoint_state.LOOK_EVERY_S:
                return False
            endpoint.looked_at = now
            return True

    def answered(self, endpoint: endpoint_state.Endpoint, failed: bool) -> None:
        """Note an answer, or the lack of one that the endpoint is to blame for."""
        with self._lock:
            endpoint.answers += 1
            change = MEAN_WEIGHT * (failed - endpoint.failure_rate)
            endpoint.failure_rate += change
            if not failed:
                self._resume(endpoint)

    def eject_replaced(self, endpoint: endpoint_state.Endpoint) -> None:
        """Set an endpoint aside for long: another one answers at its address."""
        endpoint.pause_s = LONGEST_PAUSE_S
        self.eject(endpoint, "another endpoint answers")

    def eject(self, endpoint: endpoint_state.Endpoint, reason: str) -> None:
        """Set an endpoint aside, longer each time."""
        with self._lock:
            now = self._clock.now()
            endpoint.probe_in_flight = False
            endpoint.looked_at = now
            self._note_dark(endpoint, True)
            self._slow_starts.note_return(endpoint, "took no connection")
            if now < endpoint.ejected_until:
                return
            pause_s = endpoint.pause_s * self._rng.uniform(0.8, 1.2)
            endpoint.ejected_until = now + pause_s
            endpoint.pause_s = min(LONGEST_PAUSE_S, endpoint.pause_s * 2)
        eventlog.info(
            "endpoint-paused", endpoint=endpoint.name, reason=reason, pause_s=pause_s
        )

    def _resume(self, endpoint: endpoint_state.Endpoint) -> None:
        endpoint.probe_in_flight = False
        if endpoint.ejected_until:
            endpoint.ejected_until = 0.0
            endpoint.pause_s = endpoint_state.FIRST_PAUSE_S
            self._slow_starts.note_return(endpoint, "answers again")
            eventlog.info("endpoint-resumed", endpoint=endpoint.name)

    def running_on_other_versions(self, service: str, version: str) -> int:
        """Give our requests at a service's endpoints of other versions."""
        with self._lock:
            return sum(
                e.running
                for e in self._busy.values()
                if e.row.service == service and e.row.version != version
            )
