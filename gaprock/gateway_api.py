"""What a gateway needs of the platform it runs on, as plug-in kinds.

``Dialect`` translates headers and documents; ``SharedStore`` keeps rows that last.
Both translate only: every decision is the gateway's.
"""

import typing

from gaprock import plugin, routes

Headers = list[tuple[bytes, bytes]]


class Row(typing.NamedTuple):
    """A row of the shared store.

    :param version: raised by each change; 0 means that there is no row.
    :param value: ``None`` for a row that was removed.
    """

    key: str
    value: bytes | None
    version: int


class Page(typing.NamedTuple):
    """Rows of a table, and what they are up to date with.

    :param version: the store's version that the rows show.
    :param store_now: the store's own steady clock, seconds.
    :param epoch: the store's epoch (``store_epochs``), in which the versions hold.
    """

    rows: list[Row]
    version: int
    store_now: float
    epoch: int = 0


class Write(typing.NamedTuple):
    """A row to write, on condition of its version.

    :param expect: the version that the row must have; ``None`` for any, 0 for no row.
    :param value: ``None`` removes the row.
    """

    table: str
    key: str
    value: bytes | None
    expect: int | None = None


class StoreError(Exception):
    """The store did not answer, or refused; for a write the outcome may be open.

    :param retry_after_s: seconds after which to ask again, if the store said so.
    """

    def __init__(self, detail: str, retry_after_s: float = 0.0) -> None:
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class HistoryGone(Exception):
    """The store no longer knows the changes since a version: read anew."""


class LongPoll:
    """A call that the store holds until there are changes."""

    __slots__ = ()

    def wait(self, wait_s: float) -> bool:
        """Wait for the answer to begin; give whether it did."""
        raise NotImplementedError

    def page(self) -> Page:
        """Read the answer.

        :raises HistoryGone: when the changes are no longer known.
        :raises StoreError: when it is none.
        """
        raise NotImplementedError

    def close(self) -> None:
        """Leave the call; one that was not answered loses its connection."""
        raise NotImplementedError


class SharedStore(plugin.Plugin):
    """The store of rows that all processes share."""

    __slots__ = ()

    def watch_epoch(self, listener: typing.Callable[[int], None]) -> None:
        """Have a listener told the epoch in each of the store's answers."""

    def read(self, table: str) -> Page:
        """Read a whole table.

        :raises StoreError: when it did not answer.
        """
        raise NotImplementedError

    def changes(self, table: str, since: int) -> Page:
        """Give the changes of a table after a version that there are now.

        :raises HistoryGone: when the changes are no longer known.
        :raises StoreError: when it did not answer.
        """
        raise NotImplementedError

    def poll(self, table: str, since: int, wait_s: float) -> LongPoll:
        """Begin to wait for changes of a table after a version.

        :param wait_s: how long the store may hold the call, seconds.
        :raises StoreError: when the store cannot be reached.
        """
        raise NotImplementedError

    def commit(self, writes: list[Write]) -> int:
        """Write rows, all or none.

        :returns: the version of the rows written; 0 when a condition did not hold.
        :raises StoreError: when the outcome is not known.
        """
        raise NotImplementedError


class Tables(typing.NamedTuple):
    """The names of the tables that a gateway follows."""

    # Routing configuration and rollout orders.
    orders: str
    # Endpoints, as they report themselves.
    endpoints: str
    # What became of rollouts.
    outcomes: str
    # The gateway's own rows.
    own: str


class EndpointRow(typing.NamedTuple):
    """An endpoint as it reports itself.

    :param version: of its software; what rollouts change.
    :param born: its start, Unix milliseconds; 0 if it does not say.
    :param warming_s: how much longer it is not warm, seconds.
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
    """What the headers of a request say.

    :param wait_s: how long the caller waits, seconds; ``None`` if it does not say.
    :param any_model: whether the choice of the model is left to us.
    :param tokens_in: length of the prompt; 0 where there is none.
    :param parts: the prompt's parts, as (id, tokens).
    :param session: requests with the same text belong together; may be empty.
    :param resume_after: number of the last event that the caller has.
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


class SendInfo(typing.NamedTuple):
    """What the gateway says to an endpoint with a request.

    :param left_s: time left, seconds.
    :param model: the chosen model; empty leaves the caller's choice.
    :param resume_after: number of the last event that need not come again.
    """

    endpoint: str
    workspace: str
    left_s: float
    urgency: int
    model: str
    resume_after: int | None


class LimitNotice(typing.NamedTuple):
    """What an answer says of its endpoint's rate limit.

    :param per_s: the requests a second that it takes from all gateways together;
        ``None`` where it names no limit.
    :param invalid: what stands in its place and is no such number; empty otherwise.
    """

    per_s: float | None = None
    invalid: str = ""


NO_LIMIT: typing.Final = LimitNotice()


class EndpointNotice(typing.NamedTuple):
    """What an answer says of the endpoint that gave it.

    :param limit: its rate limit.
    :param is_leaving: whether it leaves.
    :param backoff_s: how long it wants no requests from this gateway, seconds; 0 where
        it asks for no backoff.
    :param invalid: headers whose values cannot be used, as ``name: value``.
    """

    limit: LimitNotice = NO_LIMIT
    is_leaving: bool = False
    backoff_s: float = 0.0
    invalid: tuple[str, ...] = ()


NO_NOTICE: typing.Final = EndpointNotice()


class AnswerHead(typing.NamedTuple):
    """The head of an endpoint's answer.

    :param headers: those that the caller gets.
    :param signed: whether the endpoint's signature is there.
    :param not_run: whether the endpoint says that it did not run the request.
    :param wrong_endpoint: whether another endpoint has the address now.
    :param echo: the request id that it answers.
    :param confidence: the model's own opinion of its answer, 0 to 100.
    :param encoded: whether the body is not the endpoint's plain one.
    :param instance: the endpoint that answered; empty if it does not say.
    :param notice: what it says of the endpoint.
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
    """A row cannot be used; the text names the field."""


class Dialect(plugin.Plugin):
    """Translates between the wire's names and ours."""

    __slots__ = ()

    tables: Tables
    ready_path: str

    def read_request(self, headers: Headers) -> RequestInfo:
        """Decode the headers of a request.

        :raises InvalidDocument: when one of them is not well formed.
        """
        raise NotImplementedError

    def send_headers(self, headers: Headers, info: SendInfo) -> Headers:
        """Give the headers for an endpoint: the caller's, less what it may not set."""
        raise NotImplementedError

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the head of an answer."""
        raise NotImplementedError

    def refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Give the headers of a refusal with the time to come back."""
        raise NotImplementedError

    def route_table(self, key: str, value: bytes) -> routes.RouteTable | None:
        """Decode a routing configuration; ``None`` for a row that is none.

        :raises InvalidDocument: when it is not valid.
        """
        raise NotImplementedError

    def order(self, key: str, value: bytes) -> RolloutOrder | None:
        """Decode a rollout order; ``None`` for a row that is none.

        :raises InvalidDocument: when it is not valid.
        """
        raise NotImplementedError

    def cordoned_hall(self, key: str) -> str | None:
        """Decode an order to empty a hall; ``None`` for a row that is none.

        The row has the order while it stands, whatever it holds.
        """
        raise NotImplementedError

    def endpoint(self, key: str, value: bytes) -> EndpointRow:
        """Decode an endpoint's row.

        :raises InvalidDocument: when it is not valid.
        """
        raise NotImplementedError

    def outcome_key(self, service: str) -> str:
        """Give the key of the row that tells a rollout's outcome."""
        raise NotImplementedError

    def outcome(self, key: str, value: bytes) -> tuple[str, str, str] | None:
        """Decode an outcome: service, version, state name of ``rollout_state.State``.

        :raises InvalidDocument: when it is not valid.
        """
        raise NotImplementedError

    def outcome_value(self, to_version: str, state: str) -> bytes:
        """Encode an outcome."""
        raise NotImplementedError
