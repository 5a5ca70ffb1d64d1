"""What answers tell of their endpoints and versions, and what their absence does.

A send speaks for or against the version that it went to as soon as that is known: with
the first part of its answer, with a failure, or when it has waited far longer than the
stable version takes, whether an answer still comes or not.  Callers of a slow version
leave, or their time is over, before its answers are there.
"""

import typing

from gaprock import (
    clock,
    directory,
    eventlog,
    gateway_attempt,
    gateway_call,
    rollout_latency,
    rollouts,
)

# Events of a stream that show its pace.
MIN_PACE_EVENTS: typing.Final = 5


class AnswerJudge:
    """Takes sends as evidence; safe for all threads."""

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

    def answered(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        failed: bool,
    ) -> None:
        """Take the first part of an answer."""
        self._directory.answered(attempt.endpoint, failed)
        if attempt.is_judged:
            return
        attempt.is_judged = True
        version = attempt.endpoint.row.version
        if failed and version in call.failed_versions:
            # A request that fails wherever it is sent speaks once: with each of its
            # sends counted, 7 such requests were 14 of 22 answers and halted a good
            # version beside 8 of 40.
            return
        if failed:
            call.failed_versions.add(version)
        took_s = None if call.info.resume_after is not None else self._took(attempt)
        judged = rollout_latency.VersionSample(
            failed, took_s, self._expected(call, attempt)
        )
        self._judge(call, attempt, call.route.name, judged)

    def judge_pending(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Take that a send has no answer yet, or ends without one."""
        if attempt.is_judged or not attempt.sent_at:
            return
        if not self._rollouts.is_judged(call.service):
            return
        if call.info.resume_after is not None:
            return
        judged = rollout_latency.VersionSample(
            False, self._took(attempt), self._expected(call, attempt), is_open=True
        )
        if self._judge(call, attempt, call.route.name, judged):
            attempt.is_judged = True

    def judges_breaks(self, call: gateway_call.Call) -> bool:
        """Whether an answer that breaks off says something of its version."""
        return self._rollouts.is_judged(call.service)

    def record_broken_answer(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt, lives: bool
    ) -> None:
        """Take that an answer broke off.

        :param lives: whether the endpoint takes connections.  One that crashed is no
            fault of its version, and has many answers break off at once.
        """
        self._directory.answered(attempt.endpoint, failed=True)
        if not lives or not self.judges_breaks(call):
            return
        attempt.is_judged = True
        judged = rollout_latency.VersionSample(True, None)
        self._judge(call, attempt, call.route.name, judged)

    def judge_event_gaps(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Take the time between a whole stream's events."""
        if call.events < MIN_PACE_EVENTS:
            return
        pace_s = (call.last_write_at - call.first_write_at) / (call.events - 1)
        judged = rollout_latency.VersionSample(False, pace_s)
        self._judge(call, attempt, f"{call.route.name}~pace", judged)

    def _took(self, attempt: gateway_attempt.Attempt) -> float:
        return self._clock.now() - attempt.sent_at

    def _expected(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> float | None:
        """Give the seconds to the first part that were expected, if known.

        The endpoints of an unproved version have fuller queues than others.
        """
        if not attempt.prefill_tokens:
            return None
        return self._directory.pace.expect(call.service, attempt.prefill_tokens)

    def _judge(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
        route: str,
        judged: rollout_latency.VersionSample,
    ) -> str:
        """Hand evidence on; give what it holds against the version."""
        version = attempt.endpoint.row.version
        against = self._rollouts.judge_answer(
            call.service, version, route, attempt.model, judged
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
                open=judged.is_open,
                took_s=judged.took_s or 0.0,
                expected_s=judged.expected_s or 0.0,
            )
        return against
