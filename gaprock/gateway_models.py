"""Chooses the model of a call, and whether to escalate to a larger one.

The decision is made by a plug-in (``policy_models``). This module collects its input.
"""

import typing

from gaprock import (
    clock,
    directory,
    directory_rows,
    endpoint_state,
    eventlog,
    gateway_attempt,
    gateway_call,
    mechanisms,
    paced_queue,
    policy_api,
    prefix_cache,
    retry_budget,
    rollouts,
    routes,
)

# Repeats of a service's retry budget that escalations leave for failures: this many, or
# a share of those that it allows at one moment if that is less.
ESCALATION_RESERVE: typing.Final = 4.0
ESCALATION_RESERVE_SHARE: typing.Final = 0.25


class _FirstEvent(typing.NamedTuple):
    """The expected first event of a model.

    :param first_s: seconds until it.
    :param pace: the pace of the endpoint where it is expected.
    """

    first_s: float
    pace: float = 1.0


_UNKNOWN: typing.Final = _FirstEvent(0.0)


class ModelPicker:
    """Asks the plug-in for the model of a call; thread-safe.

    :param services: returns the services of the configuration in force, by name.
    :param hall: the hall of this gateway.
    :param queue: the queues for rate-limited endpoints.
    :param allows_larger: returns whether a larger model may be asked for a call after
        an answer with this confidence.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_rollouts",
        "_choice",
        "_budget",
        "_services",
        "_hall",
        "_queue",
        "_allows_larger",
    )

    def __init__(
        self,
        clock_: clock.Clock,
        directory_: directory.Directory,
        rollouts_: rollouts.Rollouts,
        choice: policy_api.ModelChoice,
        budget: retry_budget.RetryBudget,
        services: typing.Callable[[], dict[str, routes.Service]],
        hall: str = "",
        queue: paced_queue.PacedQueue | None = None,
        allows_larger: typing.Callable[[gateway_call.Call, float | None], bool] = (
            lambda call, confidence: True
        ),
    ) -> None:
        self._clock = clock_
        self._directory = directory_
        self._rollouts = rollouts_
        self._choice = choice
        self._budget = budget
        self._services = services
        self._hall = hall
        self._queue = queue or paced_queue.PacedQueue()
        self._allows_larger = allows_larger

    def first(self, call: gateway_call.Call) -> str:
        """Choose the model to ask first; empty if the caller named it."""
        if not call.info.any_model or not call.route.models:
            return ""
        if not self._allows_larger(call, None):
            return call.route.models[0]
        # This includes streams that a caller resumes: the models' confidence applies to
        # the whole request, whichever model made its first part, and many streams are
        # resumed at once after a gateway was killed.
        query, _ = self._query(call)
        return self._choice.first(query) or call.route.models[-1]

    def larger(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
    ) -> str:
        """Return the model to escalate to; empty to keep the answer."""
        head = attempt.head
        if not attempt.model:
            return ""
        if head.status >= gateway_attempt.SUCCESS_END or not call.route.repeatable:
            return ""
        query, paces = self._query(call)
        self._learn(call, attempt)
        larger = self._choice.escalate(query, attempt.model, head.confidence)
        is_scarce = bool(larger) and not self._allows_larger(call, head.confidence)
        larger = None if is_scarce else larger
        call.last_answer = (attempt.model, head.confidence)
        eventlog.info(
            "model",
            request=call.info.request,
            model=attempt.model,
            confidence="none" if head.confidence is None else head.confidence,
            left_s=query.left_s,
            first_s="/".join(f"{s:.2f}" for s in query.first_s),
            paces="/".join(f"{p:.2f}" for p in paces),
            climbs_left=query.escalations_left,
            choice=larger or "keep",
            scarce=is_scarce,
        )
        return larger or ""

    def _learn(self, call: gateway_call.Call, attempt: gateway_attempt.Attempt) -> None:
        """Learn from a smaller and a larger model's confidence in their answers."""
        model, before = call.last_answer
        after = attempt.head.confidence
        if model != attempt.model and before is not None and after is not None:
            self._choice.learn(model, before, attempt.model, after)

    def record_first(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Record the time to the first event of a send, and learn from it."""
        took_s = self._clock.now() - attempt.sent_at
        if self._rollouts.is_canary(call.service, attempt.endpoint.row.version):
            return
        held = self._directory.pace_held(
            attempt.endpoint, attempt.reported_pace, took_s
        )
        pace = self._directory.pace
        pace.observe(call.service, attempt.prefill_tokens, took_s, held)
        service = self._services().get(call.service)
        if service is not None and attempt.model and attempt.prompt.prefill_tokens:
            ahead_share = attempt.unread_before / attempt.prompt.prefill_tokens
            tokens = attempt.prompt.tokens
            pace.observe_model(
                service, attempt.model, tokens, ahead_share, took_s, held
            )

    def _query(
        self, call: gateway_call.Call
    ) -> tuple[policy_api.ModelQuery, list[float]]:
        """Collect what the plug-in needs to know.

        :returns: the query, and the paces at which the models' first events are
            expected.
        """
        service = self._services().get(call.service)
        known = {m.name: m for m in service.models} if service else {}
        models = [
            known.get(name, routes.ModelCost(name, 0.0)) for name in call.route.models
        ]
        now = self._clock.now()
        budget_left = int(self._escalations_left(call))
        if not call.sends:
            # One that is due later is paid by the requests until then.
            budget_left = max(budget_left, 1)
        # Before the first send, that send itself is not an escalation.
        sends_left = call.sends_left if call.sends else call.sends_left - 1
        around = directory_rows.CandidateScope(self._hall, call.place, lambda e: True)
        usable = self._directory.usable(call.service, call.excluded, around)
        if not self._queue.is_empty(call.service) or call.sends and not usable:
            # An escalation would use up the send that a queued request waits for, or
            # drop an answer for one that no endpoint can produce now.
            sends_left = 0
        expected = [
            self._expect_first(call, service, m.name, usable) if service else _UNKNOWN
            for m in models
        ]
        query = policy_api.ModelQuery(
            models,
            call.info.tokens_in,
            call.info.tokens_out,
            call.goal_at - now,
            max(0, min(sends_left, budget_left)),
            [e.first_s for e in expected],
        )
        return query, [e.pace for e in expected]

    def _escalations_left(self, call: gateway_call.Call) -> float:
        """Return how many escalations the retry budget allows now."""
        service = call.service
        # Before the first send there is time until an escalation may be due.
        left = (
            self._budget.await_left(service, call.deadline)
            if call.sends
            else self._budget.left(service)
        )
        if not mechanisms.ESCALATION_RESERVE.on:
            return left
        depth = self._budget.state(service).depth
        return left - min(ESCALATION_RESERVE, ESCALATION_RESERVE_SHARE * depth)

    def _expect_first(
        self,
        call: gateway_call.Call,
        service: routes.Service,
        model: str,
        usable: list[endpoint_state.Endpoint],
    ) -> "_FirstEvent":
        """Return the least expected time to a model's first event.

        A prompt that is longer to prefill may begin earlier at a faster endpoint, so
        each endpoint's time is expected at its own pace.
        """
        weight = self._directory.pace.weight(service, model)
        hashes = prefix_cache.prefix_hashes(model, call.info.parts)
        tokens_in = call.info.tokens_in
        pace = self._directory.pace
        if not usable:
            return _FirstEvent(pace.expect(call.service, weight * tokens_in))
        # Endpoints that have as much to prefill share one estimate.
        tokens = [
            unread + e.prompt(hashes, tokens_in, weight).prefill_tokens
            for e, unread in zip(usable, self._directory.unread_tokens(usable))
        ]
        by_tokens = {n: pace.expect(call.service, n) for n in set(tokens)}
        works_s = [by_tokens[n] for n in tokens]
        firsts_s = self._directory.durations_s(usable, works_s)
        first_s, work_s = min(zip(firsts_s, works_s))
        return _FirstEvent(first_s, first_s / work_s if work_s else 1.0)
