"""One send of a call to one endpoint, up to the head of its answer.

What can go wrong is sorted into two exceptions, by what it means for another send:
``NotRun`` leaves the call as if it had not been sent, ``Failed`` does not.
"""

import typing

from gaprock import clock, directory, endpoint_state, gateway_api, http_exchange

DEADLINE: typing.Final = "deadline"
RESTARTED: typing.Final = "endpoint started again"
UNREACHABLE: typing.Final = "endpoint unreachable"
HELD: typing.Final = "request is held back"
# Reasons for which nothing more comes, whether the call may be sent again or not.
FINAL_REASONS: typing.Final = (DEADLINE, RESTARTED, HELD)
# Statuses from here on are no success, and from there on the endpoint's own failures.
SUCCESS_END: typing.Final = 300
SERVER_ERROR: typing.Final = 500


class NotRun(Exception):
    """The endpoint did not run the call, and never will."""


class Failed(Exception):
    """The endpoint may have run the call, and there is no whole answer."""


class Attempt:
    """A send whose answer's head is there."""

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
        "_is_waiting",
        "_done",
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
        # Unread tokens at the endpoint when it was sent.
        self.unread_before = 0.0
        self.prompt = prompt
        # Whether it was taken as evidence on its version.
        self.is_judged = False
        # Whether the prompt still counts as unread.
        self._is_waiting = True
        self.head: gateway_api.AnswerHead
        self.sent_at = 0.0
        # When the head came; ``NEVER`` before.
        self.head_at = clock.NEVER
        self._done = False

    def answer_age_s(self, now: float) -> float:
        """Give the seconds since its answer began; -1 before that."""
        return -1.0 if self.head_at == clock.NEVER else now - self.head_at

    def record_prefilled(self, directory_: directory.Directory) -> None:
        """Note that the endpoint has read the prompt; again does nothing."""
        if self._is_waiting:
            self._is_waiting = False
            directory_.read(self.endpoint, self.prompt)

    @property
    def prefill_tokens(self) -> float:
        """Unread tokens when it was sent, its own prompt included."""
        return self.unread_before + self.prompt.reading

    def finish(self, directory_: directory.Directory) -> None:
        """Close the connection and count the request out; again does nothing."""
        if self._done:
            return
        self._done = True
        if self._is_waiting:
            self._is_waiting = False
            directory_.drop(self.endpoint, self.prompt)
        self.exchange.close()
        directory_.end(self.endpoint)
