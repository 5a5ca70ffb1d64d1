"""The gateway's estimates and judgements, with endpoints of set paces."""

import typing

from gaprock import (
    clock,
    directory,
    endpoint_pace,
    endpoint_state,
    gateway_api,
    gateway_attempt,
    gateway_call,
    gateway_judge,
    gateway_metrics,
    gateway_models,
    gateway_quarantine,
    gateway_sender,
    http_exchange,
    policy_models,
    retry_budget,
    rollouts,
    routes,
)
from gaprock.test import callcase, rolloutcase
from gaprock.test.fakes import paces

SERVICE: typing.Final = "llm"
FOREVER: typing.Final = 1e9
MODELS: typing.Final = ["small", "large"]
COSTS: typing.Final = [routes.ModelCost("small", 0.01), routes.ModelCost("large", 0.2)]


class OpenGate:
    """A quarantine that holds nothing."""

    def should_withdraw(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> bool:
        """Return whether a send is taken back."""
        return False

    def weight(
        self, call: gateway_call.Call, attempt: gateway_attempt.Attempt
    ) -> float:
        """Return how much a broken send speaks against its request."""
        return 0.0


class EstimateCase:
    """The parts of a gateway that estimate times, without network and threads."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(100.0)
        self.directory = directory.Directory(self.time, 2.0)
        self.rollouts: rollouts.Rollouts = rolloutcase.make_rollouts(self.time)
        self.judge = gateway_judge.AnswerJudge(self.time, self.directory, self.rollouts)
        service = routes.Service(SERVICE, COSTS)
        self.budget = retry_budget.RetryBudget(1.0, 10.0, self.time)
        self.budget.hold(SERVICE, [retry_budget.HeldPart(50, 0.0, FOREVER)])
        self.models = gateway_models.ModelPicker(
            self.time,
            self.directory,
            self.rollouts,
            policy_models.Confidence(),
            self.budget,
            lambda: {SERVICE: service},
            "h1",
        )
        self.metrics = gateway_metrics.GatewayMetrics()
        self.sender = gateway_sender.Sender(
            self.time,
            typing.cast(gateway_api.Dialect, None),
            self.directory,
            self.metrics,
            self.judge,
            typing.cast(gateway_quarantine.Gate, OpenGate()),
            self.budget,
        )

    def add(
        self,
        name: str,
        pace: endpoint_pace.EndpointPace | float | None = None,
        version: str = "v1",
    ) -> endpoint_state.Endpoint:
        """Add an endpoint.

        :param pace: its pace, or its lasting pace; ``None`` if it reports none.
        """
        row = gateway_api.EndpointRow(SERVICE, "127.0.0.1", 1, "h1", version, 8, False)
        self.directory.update(name, row)
        found = next(e for e in self.directory.usable(SERVICE, set()) if e.name == name)
        if isinstance(pace, endpoint_pace.EndpointPace):
            found.pace = pace
        elif pace is not None:
            found.pace = paces.FixedPace(pace)
        return found

    def call(
        self, kind: routes.RouteKind = routes.RouteKind.STREAM
    ) -> gateway_call.Call:
        """Build a call that arrives now and leaves the model to the gateway."""
        call = callcase.call(1, SERVICE, kind)
        call.inbound.arrived_at = self.time.now()
        call.deadline = self.time.now() + call.route.timeout_s
        call.route.models = MODELS
        return call

    def send(
        self, endpoint: endpoint_state.Endpoint, tokens: float = 0.0, model: str = ""
    ) -> gateway_attempt.Attempt:
        """Begin a send whose prompt has a number of tokens to prefill."""
        prompt = endpoint_state.Prompt(tokens, [], int(tokens))
        exchange = http_exchange.Exchange(
            endpoint.address, http_exchange.Caller(None), self.time
        )
        attempt = gateway_attempt.Attempt(endpoint, model, exchange, prompt)
        attempt.sent_at = self.time.now()
        return attempt

    def answer(
        self,
        attempt: gateway_attempt.Attempt,
        took_s: float,
        reported: float | None = None,
        instance: str = "",
    ) -> gateway_attempt.Attempt:
        """Have the head of a send's answer arrive.

        :param reported: the pace that it reports.
        :param instance: the endpoint that it names as its sender.
        """
        self.time.advance(took_s)
        attempt.head_at = self.time.now()
        load = None if reported is None else gateway_api.LoadReport(1, 0, 8, reported)
        notice = gateway_api.EndpointNotice(load=load)
        attempt.head = callcase.head(notice=notice)._replace(instance=instance)
        return attempt

    def record_first(
        self,
        endpoint: endpoint_state.Endpoint,
        tokens: float,
        took_s: float,
        reported: float | None = None,
        model: str = "",
    ) -> None:
        """Record the first event of a send."""
        attempt = self.answer(self.send(endpoint, tokens, model), took_s, reported)
        self.models.record_first(self.call(), attempt)

    def judge_first(
        self,
        endpoint: endpoint_state.Endpoint,
        took_s: float,
        reported: float | None = None,
        tokens: float = 0.0,
    ) -> None:
        """Judge the first part of an answer."""
        attempt = self.answer(self.send(endpoint, tokens), took_s, reported)
        self.judge.record_answer(self.call(), attempt, failed=False)

    def judge_stream(
        self,
        endpoint: endpoint_state.Endpoint,
        gap_s: float,
        events: int = 21,
        reported: float | None = None,
    ) -> None:
        """Judge a stream by the time between its events."""
        call = self.call()
        attempt = self.answer(self.send(endpoint), 0.0, reported)
        call.events, call.first_write_at = events, self.time.now()
        self.time.advance(gap_s * (events - 1))
        call.last_write_at = self.time.now()
        self.judge.judge_event_gaps(call, attempt)

    def order(self) -> None:
        """Order a rollout to version ``v2``."""
        self.rollouts.add_order(rolloutcase.order(600.0), 7, self.time.now())

    @property
    def is_halted(self) -> bool:
        """Whether the rollout is halted."""
        return self.rollouts.all()[0].halted

    def answers_until_halted(
        self, judge_one: typing.Callable[[], None], most: int = 60
    ) -> int:
        """Return the answers until the new version is halted; ``most`` for never."""
        for number in range(most):
            if self.is_halted:
                return number
            judge_one()
        return most
