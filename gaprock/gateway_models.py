"""The model of a call: which is asked first, and whether a larger one is asked instead.

The decision is the plug-in's (``policy_models``); here is what it needs to know.
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
    retry_window,
    rollouts,
    routes,
)

# Repeats that are left to failures before models are climbed, per service.
ESCALATION_RESERVE: typing.Final = 4.0


class ModelPicker:
    """Asks the plug-in; safe for all threads.

    :param services: the services of the configuration in force, by name.
    :param hall: the hall that this gateway stands in.
    :param queue: who waits for a first send.
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
    )

    def __init__(
        self,
        clock_: clock.Clock,
        directory_: directory.Directory,
        rollouts_: rollouts.Rollouts,
        choice: policy_api.ModelChoice,
        budget: retry_window.RetryWindow,
        services: typing.Callable[[], dict[str, routes.Service]],
        hall: str = "",
        queue: paced_queue.PacedQueue | None = None,
    ) -> None:
        self._clock = clock_
        self._directory = directory_
        self._rollouts = rollouts_
        self._choice = choice
        self._budget = budget
        self._services = services
        self._hall = hall
        self._queue = queue or paced_queue.PacedQueue()

    def first(self, call: gateway_call.Call) -> str:
        """Choose the model; empty where the caller named it."""
        if not call.info.any_model or not call.route.models:
            return ""
        # A stream that a caller resumes is no exception: the models' opinions are of
        # the whole request, whichever made its first part, and many such come at once
        # after a kill.
        return self._choice.first(self._ask(call)) or call.route.models[-1]

    def larger(
        self,
        call: gateway_call.Call,
        attempt: gateway_attempt.Attempt,
    ) -> str:
        """Give the model to ask instead, or an empty text to keep the answer."""
        head = attempt.head
        if not attempt.model:
            return ""
        if head.status >= gateway_attempt.SUCCESS_END or not call.route.repeatable:
            return ""
        ask = self._ask(call)
        self._learn(call, attempt)
        larger = self._choice.escalate(ask, attempt.model, head.confidence)
        call.last_answer = (attempt.model, head.confidence)
        eventlog.info(
            "model",
            request=call.info.request,
            model=attempt.model,
            confidence="none" if head.confidence is None else head.confidence,
            left_s=ask.left_s,
            first_s="/".join(f"{s:.2f}" for s in ask.first_s),
            climbs_left=ask.climbs_left,
            choice=larger or "keep",
        )
        return larger or ""

    def _learn(self, call: gateway_call.Call, attempt: gateway_attempt.Attempt) -> None:
        """Compare a larger model's opinion of its answer with the smaller one's."""
        model, before = call.last_answer
        after = attempt.head.confidence
        if model != attempt.model and before is not None and after is not None:
            self._choice.learn(model, before, attempt.model, after)

    def record_first(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> None:
        """Learn from the time to a first event."""
        took_s = self._clock.now() - attempt.sent_at
        if self._rollouts.is_canary(call.service, attempt.endpoint.row.version):
            return
        pace = self._directory.pace
        pace.observe(call.service, attempt.prefill_tokens, took_s)
        service = self._services().get(call.service)
        if service is not None and attempt.model and attempt.prompt.reading:
            ahead_share = attempt.unread_before / attempt.prompt.reading
            tokens = attempt.prompt.tokens
            pace.observe_model(service, attempt.model, tokens, ahead_share, took_s)

    def _ask(self, call: gateway_call.Call) -> policy_api.ModelAsk:
        service = self._services().get(call.service)
        known = {m.name: m for m in service.models} if service else {}
        models = [
            known.get(name, routes.ModelCost(name, 0.0)) for name in call.route.models
        ]
        now = self._clock.now()
        reserve = ESCALATION_RESERVE if mechanisms.ESCALATION_RESERVE.on else 0.0
        budget_left = int(self._budget.left(call.service, now) - reserve)
        # Before the first send, that send itself is not a climb.
        sends_left = call.sends_left if call.sends else call.sends_left - 1
        around = directory_rows.CandidateScope(self._hall, call.place, lambda e: True)
        usable = self._directory.usable(call.service, call.excluded, around)
        if not self._queue.is_empty(call.service) or call.sends and not usable:
            # A climb would take the send that another request waits for, or drop an
            # answer for one that nobody can make now.
            sends_left = 0
        return policy_api.ModelAsk(
            models,
            call.info.tokens_in,
            call.info.tokens_out,
            call.goal_at - now,
            max(0, min(sends_left, budget_left)),
            [
                self._first_s(call, service, m.name, usable) if service else 0.0
                for m in models
            ],
        )

    def _first_s(
        self,
        call: gateway_call.Call,
        service: routes.Service,
        model: str,
        usable: list[endpoint_state.Endpoint],
    ) -> float:
        """Give the seconds that a model's first event would take where it is least."""
        weight = self._directory.pace.weight(service, model)
        hashes = prefix_cache.prefix_hashes(model, call.info.parts)
        tokens_in = call.info.tokens_in
        tokens = min(
            (
                self._directory.unread(e) + e.prompt(hashes, tokens_in, weight).reading
                for e in usable
            ),
            default=weight * tokens_in,
        )
        return self._directory.pace.expect(call.service, tokens)
