"""How a gateway detects poison requests and segments, and holds requests back.

Once an incarnation of an endpoint is known to have ended, that adds weight against each
request that had begun to run there shortly before, and against its families and the
shared segments of its prompt, whatever has become of the send (``begun_sends``).
"""

import functools
import threading
import typing
from concurrent import futures

from gaprock import (
    begun_sends,
    clock,
    directory,
    endpoint_state,
    eventlog,
    gateway_attempt,
    gateway_call,
    quarantine,
    suspicion,
)

# An endpoint whose row went has ended if nothing came from it for this long, and it
# does not answer then.
GONE_QUIET_S: typing.Final = 0.7
# Maximum number of endpoints that are asked in one check, as each may take a while.
MAX_PROBES: typing.Final = 8
# A start time is believed if an endpoint wrote it at most this long before its row was
# read: the clocks of two machines may differ.
MAX_BORN_AGE_S: typing.Final = 5.0


class Gate:
    """Holds poison requests back; thread-safe."""

    __slots__ = (
        "_clock",
        "_wall_clock",
        "_directory",
        "_quarantine",
        "_lock",
        "_sends",
        "_open_calls",
    )

    def __init__(
        self,
        clock_: clock.Clock,
        directory_: directory.Directory,
        quarantine_: quarantine.Quarantine,
    ) -> None:
        self._clock = clock_
        self._wall_clock = clock.Clock()
        self._directory = directory_
        self._quarantine = quarantine_
        self._lock = threading.Lock()
        self._sends = begun_sends.BegunSends(clock_)
        # The open calls, in order of arrival.
        self._open_calls: dict[gateway_call.Call, None] = {}

    # -- Calls --

    def enter(self, call: gateway_call.Call) -> None:
        """Record the start of a call."""
        with self._lock:
            self._open_calls[call] = None

    def leave(self, call: gateway_call.Call) -> None:
        """Record the end of a call."""
        with self._lock:
            self._open_calls.pop(call, None)

    def held_s(self, call: gateway_call.Call) -> float:
        """Return how many more seconds a call is held back; 0 if it is not."""
        if self._quarantine.is_empty:
            return 0.0
        held_s = self._quarantine.held_for_s
        by_shared_s = max(map(held_s, call.shared))
        return by_shared_s or held_s(call.fingerprint)

    def held_mark(self, call: gateway_call.Call) -> str:
        """Return what of a call is held, as the log names it."""
        held_s = self._quarantine.held_for_s
        segment = next(filter(held_s, call.segments), None)
        if segment is not None:
            return f"segment {segment:016x}"
        family = next(filter(held_s, call.families), None)
        if family is not None:
            return f"family {family:016x}"
        return f"mark {call.fingerprint:016x}"

    def should_withdraw(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> bool:
        """Whether to cancel a send whose request is held and may not have started.

        A send in an endpoint's queue would otherwise still run there.
        """
        if not self.held_s(call):
            return False
        return attempt.answer_age_s(self._clock.now()) < suspicion.JUST_STARTED_S

    def must_wait(self, call: gateway_call.Call) -> bool:
        """Whether a suspected request has to wait for an earlier one.

        That is an earlier try of it, or a request with the same suspected segment or
        family that has not run well yet.  Of those that run concurrently, each would
        crash an endpoint before the first crash is known.
        """
        if self._quarantine.is_empty:
            return False
        is_suspected = self._quarantine.is_suspected(call.fingerprint)
        shared = set(filter(self._quarantine.must_run_in_turn, call.shared))
        if not is_suspected and not shared:
            return False
        with self._lock:
            open_calls = list(self._open_calls)
        for other in open_calls:
            if other is call:
                return False
            if is_suspected and other.is_same_request(call):
                return True
            if not other.runs_well and not shared.isdisjoint(other.shared):
                return True
        return False

    def must_reserve_last(
        self,
        call: gateway_call.Call,
        living: typing.Callable[[gateway_call.Call], tuple[int, int]],
    ) -> bool:
        """Whether a request has to wait because only one healthy endpoint is left.

        :param living: returns the number of healthy endpoints and of all endpoints
            that may run a call.
        """
        crash_count = self._sends.count_broken(call.fingerprint)
        if self._quarantine.is_empty and not crash_count:
            return False
        crash_count += self._quarantine.crash_count(call.fingerprint)
        if any(map(self._quarantine.must_run_in_turn, call.shared)):
            crash_count = max(crash_count, suspicion.RESERVE_CRASHES)
        return bool(crash_count) and suspicion.reserves_last_endpoint(
            crash_count, *living(call)
        )

    def record_success(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Record that a call was answered completely."""
        self._sends.forget(attempt)
        if not self._quarantine.is_empty:
            if self._quarantine.is_suspected(call.fingerprint):
                eventlog.info(
                    "suspect-answered",
                    request=call.info.request,
                    mark=f"{call.fingerprint:016x}",
                    endpoint=attempt.endpoint.name,
                    begun_s=attempt.answer_age_s(self._clock.now()),
                )
            self._quarantine.clear(call.fingerprint)
        self._record_ran_well(call, attempt)

    def record_data(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        waited_since: float,
    ) -> None:
        """Record that data of an answer came, which may show that its call runs well.

        :param waited_since: when the wait for the data began.  Data that came before,
            while this process did not run, does not show that the endpoint is alive.
        """
        self._sends.record_alive(attempt.endpoint)
        if call.runs_well or waited_since < attempt.head_at + suspicion.JUST_STARTED_S:
            return
        if attempt.answer_age_s(self._clock.now()) >= suspicion.SUSPICION_WINDOW_S:
            self._record_ran_well(call, attempt)

    def _record_ran_well(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        call.runs_well = True
        families = () if self._quarantine.is_empty else call.families
        if call.segments or families:
            self._quarantine.record_ran_well(call.segments, attempt.head_at, families)

    # -- Sends --

    def record_sent(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Record a send that leaves now; its end is recorded once it is finished."""
        self._sends.begin(call, attempt)
        attempt.on_finish = functools.partial(self._sends.end, attempt)

    def record_not_run(self, attempt: gateway_attempt.Attempt) -> None:
        """Record that an endpoint did not run a call."""
        self._sends.forget(attempt)

    def record_broken(self, attempt: gateway_attempt.Attempt) -> None:
        """Record that an endpoint broke an answer off, or fell silent."""
        self._sends.set_broken(attempt)

    def record_silent(self, attempt: gateway_attempt.Attempt, is_silent: bool) -> None:
        """Record whether a stream that is still open counts as broken off."""
        self._sends.set_silent(attempt, is_silent)

    def record_alive(self, endpoint: endpoint_state.Endpoint) -> None:
        """Record that bytes of an answer came from an endpoint."""
        self._sends.record_alive(endpoint)

    # -- Ends of endpoints --

    def check_ends(
        self, answers: typing.Callable[[endpoint_state.Endpoint], bool | None]
    ) -> None:
        """Look for endpoints that have ended, by their rows.

        :param answers: returns whether an endpoint answers a health check now; ``None``
            if it cannot be asked.
        """
        now = self._clock.now()
        for incarnation in self._directory.take_rows_back():
            if not self._quarantine.is_empty:
                self._quarantine.withdraw_crash(incarnation)
        gone: list[endpoint_state.Endpoint] = []
        for endpoint in self._sends.endpoints():
            if endpoint.has_ended:
                born_at = self._born_at(endpoint, now)
                self.record_end(endpoint, "started again", born_at)
            elif endpoint.row_gone and not endpoint.lapsed:
                if now >= endpoint.row_gone_at + GONE_QUIET_S:
                    gone.append(endpoint)
        if gone:
            self._judge_gone(gone[:MAX_PROBES], answers, now)
        for send in self._sends.expire():
            self._log_send("send-not-suspected", send, reason="no end known")

    def _judge_gone(
        self,
        endpoints: list[endpoint_state.Endpoint],
        answers: typing.Callable[[endpoint_state.Endpoint], bool | None],
        now: float,
    ) -> None:
        """Judge endpoints whose rows went; they are asked at the same time."""

        def lives(endpoint: endpoint_state.Endpoint) -> bool | None:
            is_quiet = endpoint.last_seen_at < endpoint.row_gone_at
            return answers(endpoint) if is_quiet else True

        with futures.ThreadPoolExecutor(MAX_PROBES) as pool:
            for endpoint, is_alive in zip(endpoints, pool.map(lives, endpoints)):
                if is_alive:
                    self._dismiss(endpoint, "leaves")
                else:
                    # An endpoint that cannot be asked may serve on.
                    needs_break = is_alive is None
                    self.record_end(endpoint, "row gone", now, needs_break)

    def _dismiss(self, endpoint: endpoint_state.Endpoint, reason: str) -> None:
        for send in self._sends.take(endpoint):
            self._log_send("send-not-suspected", send, reason=reason)

    def _born_at(self, endpoint: endpoint_state.Endpoint, now: float) -> float:
        """Return when the next incarnation of an endpoint began, or now if unsure."""
        age_s = self._wall_clock.now() - endpoint.successor_born / 1000
        return now - age_s if 0.0 <= age_s <= MAX_BORN_AGE_S else now

    def resolve_broken(
        self, connects: typing.Callable[[endpoint_state.Endpoint], object]
    ) -> None:
        """Check the endpoints of broken-off sends, whose ports may refuse by now.

        :param connects: tries to connect to an endpoint, and records its end.
        """
        for endpoint in self._sends.broken_endpoints():
            if self._directory.claim_connection_check(endpoint):
                connects(endpoint)

    def record_end(
        self,
        endpoint: endpoint_state.Endpoint,
        sign: str,
        ended_at: float,
        needs_break: bool = False,
    ) -> None:
        """Add weight against the requests that ran at an endpoint as it ended.

        :param sign: what shows that it has ended.
        :param ended_at: the latest time at which it may have ended.
        :param needs_break: whether only sends count that it broke off or left without
            an answer.
        """
        for send in self._sends.take(endpoint):
            is_unsure = needs_break and not (send.is_broken or send.is_open)
            was_running = send.was_running_at(ended_at) and not is_unsure
            if endpoint.announced_end or not was_running:
                reason = f"not running then: {sign}"
                self._log_send("send-not-suspected", send, reason=reason)
                continue
            self._log_send("request-suspected", send, sign=sign, weight=send.weight)
            marks = send.marks
            self._quarantine.record_crash(
                marks.fingerprint,
                endpoint.incarnation,
                send.weight,
                marks.segments if send.counts_shared else (),
                marks.families if send.counts_shared else (),
                min(send.ended_at, ended_at),
            )

    def _log_send(
        self, event: str, send: begun_sends.BegunSend, **more: object
    ) -> None:
        now, marks = self._clock.now(), send.marks
        ended_s = -1.0 if send.is_open else now - send.ended_at
        eventlog.info(
            event,
            request=marks.request,
            mark=f"{marks.fingerprint:016x}",
            segments=_hex(marks.segments),
            families=_hex(marks.families),
            endpoint=send.endpoint.name,
            incarnation=send.endpoint.incarnation,
            sent_s=now - send.sent_at,
            ended_s=ended_s,
            broken=send.is_broken,
            **more,
        )


def _hex(fingerprints: typing.Iterable[int]) -> str:
    """Return fingerprints as they are logged; ``none`` if there are none."""
    return ",".join(f"{fingerprint:016x}" for fingerprint in fingerprints) or "none"
