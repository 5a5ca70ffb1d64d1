"""Interfaces of the decision plug-ins.

The kinds are admission, routing, model choice, cascade, guard and placement. Each kind
has simple baselines beside the implementation in use; a setting selects one.
"""

import random
import typing

from gaprock import documents, messages, plugin, routes


class Ticket:
    """A request to an agent, as admission control sees it."""

    __slots__ = ("attempt", "workspace", "share", "priority", "deadline", "offered_at")

    def __init__(
        self,
        attempt: object,
        workspace: str,
        share: float,
        priority: int,
        deadline: float,
        offered_at: float,
    ) -> None:
        self.attempt = attempt
        self.workspace = workspace
        # The workspace's weight in the fair queue.
        self.share = share
        # Lower values run first; 0 is the highest priority.
        self.priority = priority
        # The time by which the first part of the answer is due.
        self.deadline = deadline
        self.offered_at = offered_at


class Verdict:
    """The admission decision on a ticket.

    :param start: whether to run the ticket now.
    :param queued: whether the ticket was queued; ``finished`` or ``expired`` returns it
        later.
    :param retry_at: for a refusal, when the caller should retry.
    """

    __slots__ = ("start", "queued", "retry_at", "reason")

    def __init__(
        self,
        start: bool = False,
        queued: bool = False,
        retry_at: float = 0.0,
        reason: str = "",
    ) -> None:
        self.start = start
        self.queued = queued
        self.retry_at = retry_at
        self.reason = reason


class RunResult(typing.NamedTuple):
    """What a finished run shows about its endpoint's load."""

    # Time from the call to the first part of a stream; negative if not measured.
    first_s: float
    # Whether the endpoint refused the call because it was overloaded.
    refused: bool = False


class Admission(plugin.Plugin):
    """Decides at an agent which requests run, queue, or are refused.

    There is one instance per endpoint. The caller must hold a lock around each call.
    """

    __slots__ = ()

    def __init__(self, max_running: int, max_queued: int) -> None:
        raise NotImplementedError

    def offer(self, ticket: Ticket, now: float) -> Verdict:
        """Decide on a new ticket."""
        raise NotImplementedError

    def finished(self, ticket: Ticket, result: RunResult, now: float) -> list[Ticket]:
        """Record the end of a run and return the tickets to start next."""
        raise NotImplementedError

    def hint(self, slots: int) -> None:
        """Apply the number of concurrent requests that the endpoint reports."""

    def expired(self, now: float) -> list[Ticket]:
        """Remove and return the queued tickets that can no longer meet their deadline.

        Tickets that were evicted from a full queue are returned as well.
        """
        raise NotImplementedError

    def drop(self, ticket: Ticket) -> bool:
        """Remove a queued ticket whose caller disconnected.

        :returns: whether the ticket was queued.
        """
        raise NotImplementedError

    def retry_at(self, now: float) -> float:
        """Return the time at which a refused caller should retry."""
        raise NotImplementedError

    @property
    def running(self) -> int:
        """The number of running tickets."""
        raise NotImplementedError

    @property
    def queued(self) -> int:
        """The number of queued tickets."""
        raise NotImplementedError

    @property
    def limit(self) -> int:
        """The number of tickets that may run concurrently."""
        raise NotImplementedError

    @property
    def service_s(self) -> float:
        """The mean duration of a run."""
        raise NotImplementedError


class Candidate:
    """An endpoint that a request could be sent to, as the sender sees it."""

    __slots__ = (
        "agent",
        "load",
        "sent_since",
        "same_hall",
        "holds_prefix",
        "unread",
        "cached",
        "pace",
        "first_pace",
        "own_load",
    )

    def __init__(
        self,
        agent: str,
        load: messages.EndpointLoad,
        sent_since: int,
        same_hall: bool,
        holds_prefix: bool,
        unread: float = 0.0,
        cached: float = 0.0,
        pace: float = 1.0,
        first_pace: float = 1.0,
        own_load: float = 1.0,
    ) -> None:
        self.agent = agent
        self.load = load
        # Requests that this process sent there since the load was reported.
        self.sent_since = sent_since
        self.same_hall = same_hall
        # Whether the endpoint likely has the prompt's prefix in its cache.
        self.holds_prefix = holds_prefix
        # Prefill work that is outstanding there, in prompts of mean length.
        self.unread = unread
        # Share of the prompt that is likely in the endpoint's prefix cache.
        self.cached = cached
        # Factors on the usual time of work there: for the request as a whole, and up to
        # its first event.
        self.pace = pace
        self.first_pace = first_pace
        # The request itself, in requests; 0 if the other gateways' loads are not known.
        # With few requests of its own, each gateway would then choose the endpoints of
        # the best paces, whatever the others send there.
        self.own_load = own_load

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.load.endpoint


class Routing(plugin.Plugin):
    """Chooses the endpoint for a request."""

    __slots__ = ()

    def choose(
        self, candidates: list[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Choose a candidate; ``None`` if this policy doesn't choose one."""
        raise NotImplementedError


class ModelQuery(typing.NamedTuple):
    """What is known when the model for a request is chosen.

    :param models: the models that may answer, the smallest first.
    :param tokens_in: the length of the prompt.
    :param tokens_out: the maximum length of the answer.
    :param left_s: the time left until the request's latency goal.
    :param escalations_left: how many more sends the request and the retry budget allow.
    :param first_s: the expected time to the first event of each model now.
    """

    models: list[routes.ModelCost]
    tokens_in: int
    tokens_out: int
    left_s: float
    escalations_left: int
    first_s: list[float]


class ModelChoice(plugin.Plugin):
    """Chooses the model for a request, and whether to escalate to a larger one.

    A model reports its confidence in its answer. When ``escalate`` is called, no part
    of the answer has been sent to the caller yet.
    """

    __slots__ = ()

    def first(self, query: ModelQuery) -> str | None:
        """Choose the model to ask; ``None`` if this policy doesn't choose one."""
        raise NotImplementedError

    def escalate(
        self, query: ModelQuery, model: str, confidence: float | None
    ) -> str | None:
        """Choose a model to escalate to; ``None`` keeps the answer.

        :param confidence: the model's confidence in its answer, 0 to 100; ``None`` if
            it reported none.
        """
        raise NotImplementedError

    def learn(
        self, model: str, confidence: float, larger: str, larger_confidence: float
    ) -> None:
        """Learn from two models' confidence in their answers to the same request."""


class Choice(typing.NamedTuple):
    """The versions to try for a request, in order, with the reason.

    A later version is tried only if the answer of the one before it is not accepted.
    """

    versions: list[str]
    reason: str


class Cascade(plugin.Plugin):
    """Chooses the versions to try for a request, and learns from ratings."""

    __slots__ = ()

    def choose(
        self, template: documents.Template, allowed: list[str], can_escalate: bool
    ) -> Choice | None:
        """Return the versions to try, in order.

        :param allowed: versions that may run, from the cheapest to the safest.
        :param can_escalate: whether a further version may be tried; false for streams,
            where only the first choice counts.
        """
        raise NotImplementedError

    def accept(
        self, template: documents.Template, version: str, rating: float | None
    ) -> bool:
        """Whether an answer is good enough to be sent to the caller.

        :param rating: the rating of the answer; ``None`` if the rating service returned
            none.
        """
        raise NotImplementedError

    def learn(self, template: documents.Template, version: str, rating: float) -> None:
        """Learn from the rating of an answer."""
        raise NotImplementedError


class Counts(typing.NamedTuple):
    """The number of judged answers of a version, and how many of them were bad."""

    answers: int
    bad: int


class Guard(plugin.Plugin):
    """Judges from evidence whether a version is worse than the stable version."""

    __slots__ = ()

    def is_bad(self, version: str, seen: Counts, stable: Counts) -> bool:
        """Whether the evidence shows that the version must be halted.

        Called again whenever the counts have grown.

        :param version: identifies the version and the attempt to roll it out.
        :param seen: the version's counts since its rollout began.
        :param stable: the counts of the version that it replaces.
        """
        raise NotImplementedError


class Move(typing.NamedTuple):
    """A load or unload of a version at an endpoint, as placement plans it."""

    endpoint: str
    action: str
    version: str


class EndpointState(typing.NamedTuple):
    """The state of an endpoint, as placement sees it."""

    endpoint: str
    versions: frozenset[str]
    # The number of further versions that fit in its memory.
    free: int
    # The number of requests that it can run concurrently.
    slots: int


class Demand(typing.NamedTuple):
    """The request rate that a version is expected to get.

    :param rate: requests per second.
    """

    version: str
    rate: float


class Placement(plugin.Plugin):
    """Decides which versions are loaded on which endpoints."""

    __slots__ = ()

    def plan(self, endpoints: list[EndpointState], demands: list[Demand]) -> list[Move]:
        """Return the moves towards a better placement, the most urgent first."""
        raise NotImplementedError
