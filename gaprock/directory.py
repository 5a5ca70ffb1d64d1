"""The endpoints that a gateway knows, and how they fare.

Who is there is in ``directory_rows``, what others tell in ``directory_told``.  Load is
counted by ourselves and told by other gateways.  Health is learned from our own
requests: an endpoint that takes no connection, falls silent or fails more than its
peers is set aside for a while, then tried with one request that may be repeated.  An
endpoint that another gateway found dark is avoided until we hear from it ourselves.
"""

import random
import typing

from gaprock import (
    clock,
    directory_told,
    endpoint_notices,
    endpoint_state,
    eventlog,
    mechanisms,
    reading_pace,
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


class Directory(directory_told.ToldBook):
    """All endpoints; safe for all threads."""

    def __init__(
        self,
        clock_: clock.Clock,
        drain_s: float,
        slow_starts: warm_up.SlowStarts | None = None,
        notices: endpoint_notices.NoticeBook | None = None,
    ) -> None:
        super().__init__(clock_, drain_s, slow_starts, notices)
        self._rng = random.Random()
        # How fast the engines read.
        self.pace = reading_pace.ReadingPace()

    # -- Health --

    def is_set_aside(self, endpoint: endpoint_state.Endpoint, now: float) -> bool:
        """Whether an endpoint is paused, or its trial request is not back yet."""
        if not mechanisms.SET_ASIDE.on:
            return False
        if now < endpoint.paused_until or endpoint.on_trial:
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
                self._busy[endpoint.life] = endpoint
            endpoint.backlog.add(prompt.reading, now)
            if endpoint.paused_until and now >= endpoint.paused_until:
                endpoint.on_trial = True
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
            if prompt.marks:
                self._use(endpoint, prompt.marks)
                self._prompts.append((endpoint.life, prompt.marks))
                self._prompt_count += 1

    def drop(
        self, endpoint: endpoint_state.Endpoint, prompt: endpoint_state.Prompt
    ) -> None:
        """Note that a prompt will not be read, since its send is over."""
        with self._lock:
            endpoint.backlog.remove(prompt.reading, self._clock.now())

    def unread(self, endpoint: endpoint_state.Endpoint) -> float:
        """Give what an endpoint likely has to read, in tokens of the largest model."""
        return self.unread_at([endpoint])[0]

    def unread_at(self, endpoints: list[endpoint_state.Endpoint]) -> list[float]:
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
                self._busy.pop(endpoint.life, None)
                # A trial request that ended without a word on the endpoint.
                endpoint.on_trial = False

    def heard(self, endpoint: endpoint_state.Endpoint) -> None:
        """Note bytes from an endpoint."""
        endpoint.heard_at = self._clock.now()
        if endpoint.is_dark:
            with self._lock:
                self._note_dark(endpoint, False)

    def _note_dark(self, endpoint: endpoint_state.Endpoint, is_dark: bool) -> None:
        endpoint.is_dark = is_dark
        if is_dark and not endpoint.is_over:
            self._dark[endpoint.life] = endpoint
        else:
            self._dark.pop(endpoint.life, None)

    def claim_look(self, endpoint: endpoint_state.Endpoint) -> bool:
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

    def claim_check(self, endpoint: endpoint_state.Endpoint) -> bool:
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

    def replaced(self, endpoint: endpoint_state.Endpoint) -> None:
        """Set an endpoint aside for long: another one answers at its address."""
        endpoint.pause_s = LONGEST_PAUSE_S
        self.unreachable(endpoint, "another endpoint answers")

    def unreachable(self, endpoint: endpoint_state.Endpoint, reason: str) -> None:
        """Set an endpoint aside, longer each time."""
        with self._lock:
            now = self._clock.now()
            endpoint.on_trial = False
            endpoint.looked_at = now
            self._note_dark(endpoint, True)
            self._slow_starts.note_return(endpoint, "took no connection")
            if now < endpoint.paused_until:
                return
            pause_s = endpoint.pause_s * self._rng.uniform(0.8, 1.2)
            endpoint.paused_until = now + pause_s
            endpoint.pause_s = min(LONGEST_PAUSE_S, endpoint.pause_s * 2)
        eventlog.info(
            "endpoint-paused", endpoint=endpoint.name, reason=reason, pause_s=pause_s
        )

    def _resume(self, endpoint: endpoint_state.Endpoint) -> None:
        endpoint.on_trial = False
        if endpoint.paused_until:
            endpoint.paused_until = 0.0
            endpoint.pause_s = endpoint_state.FIRST_PAUSE_S
            self._slow_starts.note_return(endpoint, "answers again")
            eventlog.info("endpoint-resumed", endpoint=endpoint.name)

    def running_besides(self, service: str, version: str) -> int:
        """Give our requests at a service's endpoints of other versions."""
        with self._lock:
            return sum(
                e.running
                for e in self._busy.values()
                if e.row.service == service and e.row.version != version
            )
