"""The decisions, as plug-in kinds: admission, routing, cascade, guard, placement.

Each kind has plain baselines beside the one in use; a setting chooses.
"""

import random
import typing

from gaprock import documents, messages, plugin, routes


class Ticket:
    """A request that asks an agent to run, as admission sees it."""

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
        # The workspace's weight among those that wait.
        self.share = share
        # 0 goes first.
        self.priority = priority
        # The first part must be there by this time.
        self.deadline = deadline
        self.offered_at = offered_at


class Verdict:
    """What admission says of a ticket.

    :param start: run it now.
    :param queued: keep it; it will come out of ``finished`` or ``expired``.
    :param retry_at: for a refusal, when to come back.
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
    """What a run tells of its endpoint's load."""

    # Seconds from the call to a stream's first part; below 0 for no such time.
    first_s: float
    # The endpoint refused the call for its own load.
    refused: bool = False


class Admission(plugin.Plugin):
    """Decides at an agent what runs, waits, or is refused; one per endpoint.

    Its caller holds a lock around each call.
    """

    __slots__ = ()

    def __init__(self, max_running: int, max_queued: int) -> None:
        raise NotImplementedError

    def offer(self, ticket: Ticket, now: float) -> Verdict:
        """Decide on a new ticket."""
        raise NotImplementedError

    def finished(self, ticket: Ticket, result: RunResult, now: float) -> list[Ticket]:
        """Note the end of a run and give the tickets to start next."""
        raise NotImplementedError

    def hint(self, slots: int) -> None:
        """Take what the endpoint says of how many requests it runs at once."""

    def expired(self, now: float) -> list[Ticket]:
        """Take out the queued tickets that can no longer be in time."""
        raise NotImplementedError

    def drop(self, ticket: Ticket) -> bool:
        """Take out a queued ticket whose caller went away."""
        raise NotImplementedError

    def retry_at(self, now: float) -> float:
        """Say when a refused caller should come back."""
        raise NotImplementedError

    @property
    def running(self) -> int:
        """Tickets that run."""
        raise NotImplementedError

    @property
    def queued(self) -> int:
        """Tickets that wait."""
        raise NotImplementedError

    @property
    def limit(self) -> int:
        """Tickets that may run at once."""
        raise NotImplementedError

    @property
    def service_s(self) -> float:
        """Mean seconds of one run."""
        raise NotImplementedError


class Candidate:
    """An endpoint that a request could go to, as an entry sees it."""

    __slots__ = (
        "agent",
        "load",
        "sent_since",
        "same_hall",
        "holds_prefix",
        "unread",
        "cached",
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
    ) -> None:
        self.agent = agent
        self.load = load
        # Own requests sent there since the load was reported.
        self.sent_since = sent_since
        self.same_hall = same_hall
        # Whether the endpoint likely holds the prompt's prefix.
        self.holds_prefix = holds_prefix
        # Prompts ahead that are not read yet, in mean prompts.
        self.unread = unread
        # Share of the prompt that the endpoint likely keeps.
        self.cached = cached

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.load.endpoint


class Routing(plugin.Plugin):
    """Chooses the endpoint of a request."""

    __slots__ = ()

    def choose(
        self, candidates: list[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Choose one; ``None`` means "not mine"."""
        raise NotImplementedError


class ModelAsk(typing.NamedTuple):
    """What is known when the model of a request is chosen.

    :param models: the models that may answer, the smallest first.
    :param tokens_in: length of the prompt.
    :param tokens_out: the most that is made.
    :param left_s: seconds left to the goal.
    :param climbs_left: further sends that the request and the budget allow.
    :param first_s: seconds that each model's first event would take now.
    """

    models: list[routes.ModelCost]
    tokens_in: int
    tokens_out: int
    left_s: float
    climbs_left: int
    first_s: list[float]


class ModelChoice(plugin.Plugin):
    """Chooses the model of a request, and whether to ask another one after it.

    A model answers with its own opinion of the answer; the caller has nothing of the
    answer yet when ``escalate`` is asked.
    """

    __slots__ = ()

    def first(self, ask: ModelAsk) -> str | None:
        """Choose the model to ask; ``None`` means "not mine"."""
        raise NotImplementedError

    def escalate(
        self, ask: ModelAsk, model: str, confidence: float | None
    ) -> str | None:
        """Choose a model to ask instead; ``None`` keeps the answer.

        :param confidence: the model's opinion of its answer, 0 to 100.
        """
        raise NotImplementedError

    def learn(
        self, model: str, confidence: float, larger: str, larger_confidence: float
    ) -> None:
        """Take what two models said of their answers to the same request."""


class Choice(typing.NamedTuple):
    """The versions to try for a request, in order, with the reason.

    A later one is tried only when an earlier answer's rating misses the target.
    """

    versions: list[str]
    reason: str


class Cascade(plugin.Plugin):
    """Chooses the versions of a request and learns from ratings."""

    __slots__ = ()

    def choose(
        self, template: documents.Template, allowed: list[str], can_escalate: bool
    ) -> Choice | None:
        """Order the versions to try.

        :param allowed: versions that may run, from the cheapest to the safest.
        :param can_escalate: false for streams, which choose once.
        """
        raise NotImplementedError

    def accept(
        self, template: documents.Template, version: str, rating: float | None
    ) -> bool:
        """Whether an answer is good enough to be given.

        :param rating: ``None`` when the rating service gave none.
        """
        raise NotImplementedError

    def learn(self, template: documents.Template, version: str, rating: float) -> None:
        """Take the rating of an answer."""
        raise NotImplementedError


class Counts(typing.NamedTuple):
    """Answers of a version that were judged, and those that were bad."""

    answers: int
    bad: int


class Guard(plugin.Plugin):
    """Judges from evidence whether a version is worse than its stable one."""

    __slots__ = ()

    def is_bad(self, version: str, seen: Counts, stable: Counts) -> bool:
        """Whether the evidence shows that the version must stop.

        The caller asks again whenever the counts have grown.

        :param version: names the version and its attempt.
        :param seen: the version's counts since its rollout began.
        :param stable: the counts of the version it replaces.
        """
        raise NotImplementedError

    def is_suspected(self, version: str) -> bool:
        """Whether the evidence speaks against a version, but not enough to stop it.

        As of the last ``is_bad``.
        """
        return False


class Move(typing.NamedTuple):
    """An order that placement asks for."""

    endpoint: str
    action: str
    version: str


class EndpointState(typing.NamedTuple):
    """An endpoint as placement sees it."""

    endpoint: str
    versions: frozenset[str]
    # Versions that still fit.
    free: int
    # Requests it can run at once.
    slots: int


class Demand(typing.NamedTuple):
    """Requests a second that a version is expected to get, by a time."""

    version: str
    rate: float


class Placement(plugin.Plugin):
    """Decides which versions stand on which endpoint."""

    __slots__ = ()

    def plan(self, endpoints: list[EndpointState], demands: list[Demand]) -> list[Move]:
        """Give the orders that lead to a better placement, most urgent first."""
        raise NotImplementedError
