"""One send of a call to one endpoint, and the ways in which it fails.

There are two exceptions, because they differ in what they mean for another send: after
``NotRun`` the call is as if it had never been sent, after ``Failed`` it is not.
"""

import typing

from gaprock import (
    clock,
    directory,
    endpoint_state,
    gateway_api,
    http_exchange,
    peer_watch,
)

DEADLINE: typing.Final = "deadline"
RESTARTED: typing.Final = "endpoint started again"
UNREACHABLE: typing.Final = "endpoint unreachable"
ENDED: typing.Final = "ended with its endpoint"
HELD: typing.Final = "request is held back"
STOPPED: typing.Final = "gateway stops"
# Reasons after which no more data comes: they end the wait for an answer even if the
# call may not be sent again.
FINAL_REASONS: typing.Final = (DEADLINE, RESTARTED, HELD, STOPPED)
# Reasons that lie with this gateway and say nothing about the endpoint.
OWN_REASONS: typing.Final = (HELD, STOPPED)
# The lowest status that is no success, and the lowest that is the endpoint's failure.
SUCCESS_END: typing.Final = 300
SERVER_ERROR: typing.Final = 500


class NotRun(Exception):
    """The endpoint did not run the call and never will."""


class Failed(Exception):
    """The endpoint may have run the call, but there is no whole answer."""


class Attempt:
    """One send of a call; ``head`` is set once the head of its answer came."""

    __slots__ = (
        "endpoint",
        "model",
        "exchange",
        "head",
        "sent_at",
        "head_at",
        "unread_before",
        "prompt",
        "is_judged",
        "is_pace_judged",
        "is_given_time",
        "is_excused",
        "is_kept",
        "held",
        "on_finish",
        "watch",
        "_is_unread",
        "_is_finished",
    )

    def __init__(
        self,
        endpoint: endpoint_state.Endpoint,
        model: str,
        exchange: http_exchange.Exchange,
        prompt: endpoint_state.Prompt,
    ) -> None:
        self.endpoint = endpoint
        self.model = model
        self.exchange = exchange
        # Tokens that the endpoint had yet to prefill when the call was sent.
        self.unread_before = 0.0
        self.prompt = prompt
        # Size of a large body that the endpoint holds for it; 0 for a small one.
        self.held = 0
        # Watches the process that sends an answer without a length.
        self.watch: peer_watch.PeerWatch | None = None
        # Called when it is finished; ``None`` before it is sent.
        self.on_finish: typing.Callable[[], None] | None = None
        # Whether it was counted as evidence about its version.
        self.is_judged = False
        # The same by the time between the events of its stream.
        self.is_pace_judged = False
        # Whether its endpoint got more than the usual time because of its pace, and
        # whether the caller's time was over before that time was.
        self.is_given_time = False
        self.is_excused = False
        # Whether its stream was kept although its endpoint was silent for too long.
        self.is_kept = False
        # Whether the prompt still counts among the endpoint's unread tokens.
        self._is_unread = True
        self.head: gateway_api.AnswerHead
        self.sent_at = 0.0
        # When the head came; ``NEVER`` before.
        self.head_at = clock.NEVER
        self._is_finished = False

    def answer_age_s(self, now: float) -> float:
        """Return the seconds since the head of its answer came; -1 before that."""
        return -1.0 if self.head_at == clock.NEVER else now - self.head_at

    @property
    def reported_pace(self) -> float | None:
        """The pace that its answer reports; ``None`` if there is none."""
        if self.head_at == clock.NEVER:
            return None
        load = self.head.notice.load
        # What another endpoint reports says nothing about this one.
        is_own = self.head.instance in ("", self.endpoint.name)
        return load.pace if is_own and load is not None else None

    def record_data(self) -> None:
        """Record that data of its answer came."""
        if self.watch is not None:
            self.watch.record_data()

    def record_prefilled(self, directory_: directory.Directory) -> None:
        """Record that the endpoint prefilled the prompt; may be called repeatedly."""
        if self._is_unread:
            self._is_unread = False
            directory_.record_prefilled(self.endpoint, self.prompt)

    @property
    def prefill_tokens(self) -> float:
        """Tokens yet to prefill when the call was sent, its own prompt included."""
        return self.unread_before + self.prompt.prefill_tokens

    def finish(self, directory_: directory.Directory) -> None:
        """Close the connection and end the request's part in the endpoint's load.

        May be called repeatedly.
        """
        if self._is_finished:
            return
        self._is_finished = True
        on_finish, self.on_finish = self.on_finish, None
        if on_finish is not None:
            on_finish()
        if self._is_unread:
            self._is_unread = False
            directory_.discard_prompt(self.endpoint, self.prompt)
        self.exchange.close()
        if self.watch is not None:
            self.watch.close()
        if self.held:
            directory_.release(self.endpoint, self.held, id(self))
        directory_.end(self.endpoint)
