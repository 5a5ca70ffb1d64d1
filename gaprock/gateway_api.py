"""Interfaces to the platform that a gateway runs on, as plug-in kinds.

``Dialect`` translates headers and documents; ``SharedStore`` holds persistent rows.
Both only translate: every decision is the gateway's.
"""

import typing

from gaprock import plugin, routes

Headers = list[tuple[bytes, bytes]]


class Row(typing.NamedTuple):
    """A row of the shared store.

    :param version: raised by each change; 0 if there is no row.
    :param value: ``None`` for a row that was removed.
    """

    key: str
    value: bytes | None
    version: int


class Page(typing.NamedTuple):
    """Rows of a table, and the state of the store that they show.

    :param version: the store's version that the rows show.
    :param store_now: the store's own monotonic clock, in seconds.
    :param epoch: the store's epoch (``store_epochs``) in which the versions are valid.
    """

    rows: list[Row]
    version: int
    store_now: float
    epoch: int = 0


class Write(typing.NamedTuple):
    """A row to write, on condition that it still has the expected version.

    :param expect: the version that the row must have; ``None`` for any, 0 for no row.
    :param value: ``None`` removes the row.
    """

    table: str
    key: str
    value: bytes | None
    expect: int | None = None


class StoreError(Exception):
    """The store did not answer, or refused; the outcome of a write may be unknown.

    :param retry_after_s: time after which to ask again; 0 if the store did not say.
    """

    def __init__(self, detail: str, retry_after_s: float = 0.0) -> None:
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class HistoryGone(Exception):
    """The store no longer has the changes since a version: read the whole table."""


class LongPoll:
    """A call that the store holds until there are changes."""

    __slots__ = ()

    def wait(self, wait_s: float) -> bool:
        """Wait for the answer to begin; return whether it did."""
        raise NotImplementedError

    def page(self) -> Page:
        """Read the answer.

        :raises HistoryGone: when the store no longer has the changes.
        :raises StoreError: when there is no valid answer.
        """
        raise NotImplementedError

    def close(self) -> None:
        """End the call; if it was not answered, its connection is closed."""
        raise NotImplementedError


class SharedStore(plugin.Plugin):
    """The store of rows that is shared by all processes."""

    __slots__ = ()

    def watch_epoch(self, listener: typing.Callable[[int], None]) -> None:
        """Register a listener that gets the epoch in each of the store's answers."""

    def read(self, table: str) -> Page:
        """Read a whole table.

        :raises StoreError: when it did not answer.
        """
        raise NotImplementedError

    def changes(self, table: str, since: int) -> Page:
        """Return the changes of a table after a version, without waiting for any.

        :raises HistoryGone: when the store no longer has the changes.
        :raises StoreError: when it did not answer.
        """
        raise NotImplementedError

    def poll(self, table: str, since: int, wait_s: float) -> LongPoll:
        """Start a long poll for changes of a table after a version.

        :param wait_s: how long the store may hold the call.
        :raises StoreError: when the store cannot be reached.
        """
        raise NotImplementedError

    def commit(self, writes: list[Write]) -> int:
        """Write rows, all or none.

        :returns: the version of the rows written; 0 if one had another version than
            expected.
        :raises StoreError: when the outcome is unknown.
        """
        raise NotImplementedError


class Tables(typing.NamedTuple):
    """Names of the tables that a gateway follows."""

    # Routing configuration and rollout orders.
    orders: str
    # Endpoints, as reported by themselves.
    endpoints: str
    # Outcomes of rollouts.
    outcomes: str
    # The gateway's own rows.
    own: str
    # The parts of the retry budgets' allowances that gateways hold.
    allowances: str


class EndpointRow(typing.NamedTuple):
    """An endpoint's report about itself.

    :param version: version of its software, which rollouts change.
    :param born: its start, in Unix milliseconds; 0 if it does not report one.
    :param warming_s: remaining time of its warm-up.
    """

    service: str
    host: str
    port: int
    hall: str
    version: str
    slots: int
    draining: bool
    born: int = 0
    warming_s: float = 0.0


class RolloutOrder(typing.NamedTuple):
    """An operator's order to move a service to a version within a time."""

    service: str
    to_version: str
    finish_s: float


class RequestInfo(typing.NamedTuple):
    """Contents of a request's headers.

    :param wait_s: how long the caller waits; ``None`` if it does not say.
    :param any_model: whether the gateway may choose the model.
    :param tokens_in: length of the prompt; 0 if there is none.
    :param parts: the prompt's parts, as (id, tokens).
    :param session: requests with the same value belong together; may be empty.
    :param resume_after: number of the last event that the caller has.
    :param model: the model that the caller names; empty if it names none.
    """

    request: str
    host: str
    key: str
    wait_s: float | None
    any_model: bool
    tokens_in: int
    tokens_out: int
    parts: list[tuple[str, int]]
    session: str
    resume_after: int | None
    model: str = ""


class SendInfo(typing.NamedTuple):
    """What the gateway adds to a request for the endpoint.

    :param left_s: time left until the deadline.
    :param model: the chosen model; empty to keep the caller's choice.
    :param resume_after: number of the last event that need not be sent again.
    """

    endpoint: str
    workspace: str
    left_s: float
    urgency: int
    model: str
    resume_after: int | None


class LimitNotice(typing.NamedTuple):
    """What an answer says about its endpoint's rate limit.

    :param per_s: requests per second that the endpoint accepts from all gateways
        together; ``None`` if it names no limit.
    :param invalid: the header's value if it is not such a number; empty otherwise.
    """

    per_s: float | None = None
    invalid: str = ""


NO_LIMIT: typing.Final = LimitNotice()


class LoadReport(typing.NamedTuple):
    """What an answer says about its endpoint's load.

    :param running: requests that it runs.
    :param waiting: requests that are queued there.
    :param slots: requests that it runs at once at most.
    :param pace: factor on the usual time of its work at this moment; ``None`` if it
        does not report one.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class EndpointNotice(typing.NamedTuple):
    """What an answer says about the endpoint that sent it.

    :param limit: its rate limit.
    :param is_leaving: whether it is leaving.
    :param backoff_s: how long it wants no requests from this gateway; 0 if it asks for
        no backoff.
    :param invalid: headers whose values cannot be used, as ``name: value``.
    :param load: its load; ``None`` if it reports none.
    """

    limit: LimitNotice = NO_LIMIT
    is_leaving: bool = False
    backoff_s: float = 0.0
    invalid: tuple[str, ...] = ()
    load: LoadReport | None = None


NO_NOTICE: typing.Final = EndpointNotice()


class AnswerHead(typing.NamedTuple):
    """The head of an endpoint's answer.

    :param headers: those that the caller gets.
    :param signed: whether the endpoint's signature is present.
    :param not_run: whether the endpoint says that it did not run the request.
    :param wrong_endpoint: whether another endpoint has the address now.
    :param echo: id of the request that it answers.
    :param confidence: the model's confidence in its answer, from 0 to 100.
    :param encoded: whether the body is encoded, and so not the endpoint's plain one.
    :param instance: the endpoint that answered; empty if it does not say.
    :param notice: what it says about the endpoint.
    """

    status: int
    headers: Headers
    signed: bool
    not_run: bool
    wrong_endpoint: bool
    echo: str
    confidence: float | None
    encoded: bool
    instance: str = ""
    notice: EndpointNotice = NO_NOTICE


class InvalidDocument(Exception):
    """A row or header cannot be used; the message names the field."""


class Dialect(plugin.Plugin):
    """Translates between the platform's wire format and the gateway's types."""

    __slots__ = ()

    tables: Tables
    ready_path: str

    def read_request(self, headers: Headers) -> RequestInfo:
        """Decode the headers of a request.

        :raises InvalidDocument: when one of them is malformed.
        """
        raise NotImplementedError

    def send_headers(self, headers: Headers, info: SendInfo) -> Headers:
        """Build the headers for an endpoint.

        They are the caller's, without those that a caller may not set.
        """
        raise NotImplementedError

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the head of an answer."""
        raise NotImplementedError

    def refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Build the headers of a refusal, with the time to retry."""
        raise NotImplementedError

    def route_table(self, key: str, value: bytes) -> routes.RouteTable | None:
        """Decode a routing configuration; ``None`` for another kind of row.

        :raises InvalidDocument: when it is not valid.
        """
        raise NotImplementedError

    def order(self, key: str, value: bytes) -> RolloutOrder | None:
        """Decode a rollout order; ``None`` for another kind of row.

        :raises InvalidDocument: when it is not valid.
        """
        raise NotImplementedError

    def cordoned_hall(self, key: str) -> str | None:
        """Decode an order to cordon a hall; ``None`` for another kind of row.

        The order is in force as long as its row exists, whatever the row's value.
        """
        raise NotImplementedError

    def endpoint(self, key: str, value: bytes) -> EndpointRow:
        """Decode an endpoint's row.

        :raises InvalidDocument: when it is not valid.
        """
        raise NotImplementedError

    def outcome_key(self, service: str) -> str:
        """Return the key of the row that holds a rollout's outcome."""
        raise NotImplementedError

    def outcome(self, key: str, value: bytes) -> tuple[str, str, str] | None:
        """Decode an outcome: service, version, name of a ``rollout_state.State``.

        :raises InvalidDocument: when it is not valid.
        """
        raise NotImplementedError

    def outcome_value(self, to_version: str, state: str) -> bytes:
        """Encode an outcome."""
        raise NotImplementedError
