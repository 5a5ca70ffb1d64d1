"""Messages between entry and agent, and their codec.

Each message is one MessagePack array whose first element names its type.  An
entry opens one connection to each agent; messages of one connection stay in order.

The messages of one request:

1. entry to agent: ``Start``; the agent answers ``Refused`` (not run) or continues.
2. agent to entry: ``Parts``; parts are numbered, and one message can carry parts of
   many requests.
3. entry to agent: ``Ack`` as the caller reads the parts, which reopens the window.
4. agent to entry: ``End`` with the number of parts, the result code and the bill.
5. entry to agent: ``BillsReleased`` once the bill is in the platform's table.

After a reconnect the entry sends ``Resume`` with the number of the next part it needs.
"""

import typing

import msgspec

from gaprock import errorcodes, errors, suspicion

# Larger messages are rejected before they are decoded.
MAX_MESSAGE_BYTES: typing.Final = 32 * 1024 * 1024


class ConfigEntry(msgspec.Struct, array_like=True, frozen=True):
    """One key of the configuration, with the revision that last changed it."""

    key: str
    revision: int
    # The JSON document, or ``None`` if the key was deleted.
    value: dict[str, typing.Any] | None


class BillLine(msgspec.Struct, array_like=True, frozen=True):
    """What one attempt of a request used."""

    attempt: str
    endpoint: str
    version: str
    parts: int
    cost: float


class Bill(msgspec.Struct, array_like=True, frozen=True):
    """The bill of one request; ``key`` makes it unique in the table."""

    key: str
    request: str
    workspace: str
    template: str
    code: int
    lines: list[BillLine]


class EndpointLoad(msgspec.Struct, array_like=True, frozen=True):
    """The state of one endpoint as its agent sees it."""

    endpoint: str
    kind: str
    versions: list[str]
    # Requests running and queued at the agent, and its current limit of running ones.
    running: int
    queued: int
    limit: int
    # Load in the last report of the endpoint itself.
    reported: int
    # Mean duration of one run, for estimates of the waiting time.
    service_s: float
    memory_free: float = 0.0


class Evidence(msgspec.Struct, array_like=True, frozen=True):
    """Counts of one version's answers, as seen by one process.

    The counts of one ``source`` only grow, so newer counts replace older ones, and
    the sum over all sources is the evidence of the fleet.
    """

    source: str
    version: str
    # Answers that were judged in any way, and the bad ones among them.
    answers: int
    bad: int
    # Answers that the rating service judged.
    rated: int
    # The answers by ``relative_times``; empty if they are not counted by these.
    bins: tuple[int, ...] = ()


class Known(msgspec.Struct, array_like=True, frozen=True):
    """The revision that an entry has in force, and when it was last reported."""

    process: str
    revision: int
    last_seen_at: float


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base class of all messages."""


class Beat(Message):
    """Entry to agent, every interval: heartbeat with the entry's state."""

    entry: str
    hall: str
    revision: int
    epoch: int
    urgent: list[str]
    evidence: list[Evidence]
    suspects: list[suspicion.SuspectUpdate] = []


class Report(Message):
    """Agent to entry, every interval and on each change of the agent's state."""

    agent: str
    incarnation: str
    hall: str
    revision: int
    epoch: int
    urgent: list[str]
    leaving: bool
    endpoints: list[EndpointLoad]
    evidence: list[Evidence]
    # Revisions of the entries; empty if unchanged since they were last sent.
    entries: list[Known]
    # Suspicions that other entries reported to this agent.
    suspects: list[suspicion.SuspectUpdate] = []


class ConfigDelta(Message):
    """All keys that changed after ``base``, up to ``revision``."""

    base: int
    revision: int
    entries: list[ConfigEntry]
    urgent: list[str]


class ConfigWanted(Message):
    """Either direction: requests all changes after ``revision``."""

    revision: int


class Start(Message):
    """Entry to agent: run this request."""

    attempt: int
    request: str
    workspace: str
    template: str
    version: str
    endpoint: str
    # The entry's revision; an agent with an older one does not run the request.
    revision: int
    # Whether the request belongs to an open session, which a halt does not end.
    in_session: bool
    deadline: float
    # Latest useful arrival of the first part; queueing beyond it is pointless.
    first_part_by: float
    priority: int
    stream: bool
    # Whether the request may safely run again.
    repeatable: bool
    bill_key: str
    cost: float
    # Bill lines of earlier versions in the same cascade; the bill includes them.
    earlier_lines: list[BillLine]
    # Limit of unacknowledged parts in flight.
    window: int
    path: str
    body: bytes
    # Fingerprint, the same for each attempt of a request (``request_fingerprint``).
    fingerprint: int = 0


class Ack(Message):
    """Entry to agent: the caller has read all parts below ``next_seq``."""

    attempt: int
    next_seq: int


class Resume(Message):
    """Entry to agent: send again from ``next_seq``; acknowledges all parts below it.

    ``incarnation`` is that of the agent process to which the request was sent: only
    that process can know that the request never arrived.
    """

    attempt: int
    next_seq: int
    incarnation: str


class Cancel(Message):
    """Entry to agent: the answer of this attempt is no longer needed.

    ``is_superseded`` means that another attempt replaces it, so it is not billed.
    """

    attempt: int
    is_superseded: bool = False


class Refused(Message):
    """Agent to entry: the attempt was not run."""

    attempt: int
    code: int
    detail: str
    retry_at: float


class Part(msgspec.Struct, array_like=True, frozen=True):
    """``count`` consecutive parts of one answer, joined, from number ``seq`` on."""

    attempt: int
    seq: int
    count: int
    data: bytes


class Parts(Message):
    """Agent to entry: parts of one or more answers."""

    parts: list[Part]


class End(Message):
    """Agent to entry: the attempt ended after ``count`` parts."""

    attempt: int
    count: int
    code: int
    detail: str
    status: int
    content_type: str
    # Time from the call of the endpoint to its first part; below 0 if none.
    first_s: float
    bill: Bill | None
    # Incarnation of the endpoint that ended during the attempt, if any, and the weight
    # of the suspicion against the request that follows from it.
    ended_incarnation: str = ""
    suspicion_weight: int = 0


class BillsReleased(Message):
    """The bills were written or handed over; the receiver removes them."""

    keys: list[str]


class BillsHandover(Message):
    """The sender stops; the receiver keeps these bills and acknowledges at once."""

    bills: list[Bill]


class Goodbye(Message):
    """Entry to agent: the entry ends and has no open requests at this agent."""


class Order(Message):
    """Entry to agent: a fenced order for an endpoint."""

    order: str
    epoch: int
    endpoint: str
    action: str
    version: str


class OrderDone(Message):
    """Agent to entry: the order's result code; 0 when it was carried out."""

    order: str
    code: int
    detail: str


AnyMessage = typing.Union[
    Beat,
    Report,
    ConfigDelta,
    ConfigWanted,
    Start,
    Ack,
    Resume,
    Cancel,
    Refused,
    Parts,
    End,
    BillsReleased,
    BillsHandover,
    Goodbye,
    Order,
    OrderDone,
]

_encoder: typing.Final = msgspec.msgpack.Encoder()
_decoder: typing.Final = msgspec.msgpack.Decoder(AnyMessage)


def encode(msg: Message) -> bytes:
    """Encode a message."""
    return _encoder.encode(msg)


def decode(data: bytes) -> AnyMessage:
    """Decode a message.

    :raises errors.GaprockError: ``UNDECODABLE``; no state was changed.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.GaprockError(errorcodes.UNDECODABLE, f"{len(data)} bytes")
    try:
        msg: AnyMessage = _decoder.decode(data)
        return msg
    except (msgspec.DecodeError, RecursionError) as exc:
        raise errors.GaprockError(errorcodes.UNDECODABLE, str(exc)) from exc
