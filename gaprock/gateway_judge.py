"""Judges endpoints and versions by the answers to sends, or by missing answers.

A send counts as evidence for or against its version as early as possible: at the first
part of its answer, at a failure, or once it has waited far longer than the stable
version takes, whether or not an answer still arrives. Otherwise a slow version would
often go unjudged, as callers disconnect or reach their deadline before it answers.
"""

import typing

from gaprock import (
    clock,
    directory,
    eventlog,
    gateway_attempt,
    gateway_call,
    rollout_evidence,
    rollout_latency,
    rollouts,
)

# Number of events from which a stream shows the time between events.
MIN_PACE_EVENTS: typing.Final = 5


class AnswerJudge:
    """Turns the results of sends into evidence; thread-safe."""

    __slots__ = ("_clock", "_directory", "_rollouts")

    def __init__(
        self,
        clock_: clock.Clock,
        directory_: directory.Directory,
        rollouts_: rollouts.Rollouts,
    ) -> None:
        self._clock = clock_
        self._directory = directory_
        self._rollouts = rollouts_

    def record_answer(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        failed: bool,
    ) -> None:
        """Judge a send by the first part of its answer.

        :param failed: whether the answer is a failure of the endpoint.
        """
        self._directory.record_answer(attempt.endpoint, failed)
        if attempt.is_judged:
            return
        attempt.is_judged = True
        version = attempt.endpoint.row.version
        if failed and version in call.failed_versions:
            # A request that fails wherever it is sent counts once per version. With
            # each of its sends counted, 7 such requests made up 14 of 22 answers, and
            # a good version was halted although the stable version had 8 of 40.
            return
        if failed:
            call.failed_versions.add(version)
        took_s = (
            None if call.info.resume_after is not None else self._elapsed_s(attempt)
        )
        sample = rollout_latency.VersionSample(
            failed,
            took_s,
            self._expected_s(call, attempt),
            pace=1.0 if took_s is None else self._pace(attempt, took_s),
            endpoint=attempt.endpoint.name,
            age_s=self._elapsed_s(attempt),
        )
        self._judge(call, attempt, call.route.name, sample)

    def record_sent(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Count a send for the exposure of its version."""
        self._rollouts.record_send(call.service, attempt.endpoint.row.version)

    def judge_pending(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Judge a send that has no answer yet, or ends without one."""
        if attempt.is_judged or not attempt.sent_at:
            return
        if not self._rollouts.is_judged(call.service):
            return
        if call.info.resume_after is not None:
            return
        elapsed_s = self._elapsed_s(attempt)
        sample = rollout_latency.VersionSample(
            False,
            elapsed_s,
            self._expected_s(call, attempt),
            is_open=True,
            pace=self._pace(attempt, elapsed_s),
            endpoint=attempt.endpoint.name,
            age_s=elapsed_s,
        )
        if self._judge(call, attempt, call.route.name, sample):
            attempt.is_judged = True

    def judges_breaks(self, call: gateway_call.Call) -> bool:
        """Whether an interrupted answer counts as evidence about its version."""
        return self._rollouts.is_judged(call.service)

    def record_broken_answer(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        is_reachable: bool,
    ) -> None:
        """Judge a send whose answer was interrupted.

        :param is_reachable: whether the endpoint accepts connections. If not, it has
            crashed. This is not counted against its version, and would interrupt many
            answers at once.
        """
        self._directory.record_answer(attempt.endpoint, failed=True)
        if not is_reachable or not self.judges_breaks(call):
            return
        attempt.is_judged = True
        sample = rollout_latency.VersionSample(
            True,
            None,
            endpoint=attempt.endpoint.name,
            age_s=self._elapsed_s(attempt),
        )
        self._judge(call, attempt, call.route.name, sample)

    def judge_event_gaps(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Judge a stream once by the time between its first events.

        A slow stream ends too late to be judged at its end, or its caller leaves.
        """
        if call.events < MIN_PACE_EVENTS or attempt.is_pace_judged:
            return
        attempt.is_pace_judged = True
        stream_s = call.last_write_at - call.first_write_at
        gap_s = stream_s / (call.events - 1)
        sample = rollout_latency.VersionSample(
            False,
            gap_s,
            pace=self._pace(attempt, stream_s),
            floor_s=rollout_latency.SLOW_GAP_FLOOR_S,
            endpoint=attempt.endpoint.name,
            age_s=self._elapsed_s(attempt),
        )
        self._judge(call, attempt, call.route.name + rollout_evidence.GAPS, sample)

    def _elapsed_s(self, attempt: gateway_attempt.Attempt) -> float:
        return self._clock.now() - attempt.sent_at

    def _pace(self, attempt: gateway_attempt.Attempt, elapsed_s: float) -> float:
        """Return the endpoint's pace during a time that was observed."""
        return self._directory.pace_held(
            attempt.endpoint, attempt.reported_pace, elapsed_s
        )

    def _expected_s(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> float | None:
        """Return the expected time to the first part at pace 1.0, if known.

        It depends on the tokens ahead, since the endpoints of a canary have longer
        queues than others.
        """
        if not attempt.prefill_tokens:
            return None
        return self._directory.pace.expect(call.service, attempt.prefill_tokens)

    def _judge(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        route: str,
        sample: rollout_latency.VersionSample,
    ) -> str:
        """Record evidence; return what it holds against the version, if anything."""
        version = attempt.endpoint.row.version
        against = self._rollouts.judge_answer(
            call.service, version, route, attempt.model, sample
        )
        if against and self._rollouts.is_canary(call.service, version):
            eventlog.info(
                "version-bad-answer",
                request=call.info.request,
                service=call.service,
                version=version,
                endpoint=attempt.endpoint.name,
                route=route,
                reason=against,
                open=sample.is_open,
                took_s=sample.took_s or 0.0,
                expected_s=(sample.expected_s or 0.0) * sample.pace,
                pace=sample.pace,
            )
        return against
