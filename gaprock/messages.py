"""The messages between entry and agent, and their codec.

Each message is one MessagePack array whose first element names its type.  An
entry opens one connection to each agent; messages of one connection stay in order.

A request's way, as messages:

1. entry to agent: ``Start``; the agent answers ``Refused`` (not run) or goes on.
2. agent to entry: ``Parts``, each part numbered, for many requests in one message.
3. entry to agent: ``Ack`` as the caller takes the parts; it opens the window again.
4. agent to entry: ``End`` with the number of parts, the result code and the bill.
5. entry to agent: ``BillsReleased`` once the bill is in the platform's table.

After a reconnect the entry sends ``Resume`` with the next number it needs.
"""

import typing

import msgspec

from gaprock import errorcodes, errors, quarantine

# Larger messages are refused before they are decoded.
MAX_MESSAGE_BYTES: typing.Final = 32 * 1024 * 1024


class ConfigEntry(msgspec.Struct, array_like=True, frozen=True):
    """One key of the configuration, at the revision that last changed it."""

    key: str
    revision: int
    # The JSON document, or ``None`` when the key was deleted.
    value: dict[str, typing.Any] | None


class BillLine(msgspec.Struct, array_like=True, frozen=True):
    """What one attempt used."""

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
    # Requests running and queued at the agent, and its current limit.
    running: int
    queued: int
    limit: int
    # The load that the endpoint itself reported last.
    reported: int
    # Mean seconds of one run, for the estimate of waiting time.
    service_s: float
    memory_free: float = 0.0


class Evidence(msgspec.Struct, array_like=True, frozen=True):
    """Counts of one version's answers, as one process has seen them.

    The counts of one ``source`` only grow, so the newest one replaces the
    older ones and the sum over the sources is the fleet's evidence.
    """

    source: str
    version: str
    # Answers that were judged in any way, and those that were bad.
    answers: int
    bad: int
    # Answers that the rating service judged.
    rated: int


class Known(msgspec.Struct, array_like=True, frozen=True):
    """The revision that an entry has in force, with the time it was heard."""

    process: str
    revision: int
    heard_at: float


class Message(msgspec.Struct, array_like=True, tag=True):
    """The base of every message."""


class Beat(Message):
    """Entry to agent, every interval: I live, and this is what I know."""

    entry: str
    hall: str
    revision: int
    epoch: int
    urgent: list[str]
    evidence: list[Evidence]
    suspects: list[quarantine.SuspectUpdate] = []


class Report(Message):
    """Agent to entry, every interval and on each change of state."""

    agent: str
    incarnation: str
    hall: str
    revision: int
    epoch: int
    urgent: list[str]
    leaving: bool
    endpoints: list[EndpointLoad]
    evidence: list[Evidence]
    # Empty when nothing changed since they were named last.
    entries: list[Known]
    # What other entries told this agent.
    suspects: list[quarantine.SuspectUpdate] = []


class ConfigDelta(Message):
    """All keys that changed after ``base``, up to ``revision``."""

    base: int
    revision: int
    entries: list[ConfigEntry]
    urgent: list[str]


class ConfigWanted(Message):
    """Asks the other side for what changed after ``revision``."""

    revision: int


class Start(Message):
    """Entry to agent: run this request."""

    attempt: int
    request: str
    workspace: str
    template: str
    version: str
    endpoint: str
    # The sender's revision; an agent that is behind it does not run the request.
    revision: int
    # A session goes on with its version although new sessions are halted.
    in_session: bool
    deadline: float
    # The first part must be there by this time, or queueing is in vain.
    first_part_by: float
    priority: int
    stream: bool
    # Whether another run would do no harm.
    repeatable: bool
    bill_key: str
    cost: float
    # Earlier versions of the same cascade; the bill names them too.
    earlier_lines: list[BillLine]
    # Parts that may be under way unacknowledged.
    window: int
    path: str
    body: bytes
    # The same for each try of the request (``request_fingerprint``).
    mark: int = 0


class Ack(Message):
    """Entry to agent: the caller has taken all parts below ``upto``."""

    attempt: int
    upto: int


class Resume(Message):
    """Entry to agent: send again from part ``upto``, which also acknowledges.

    ``incarnation`` is the agent process that the request was sent to: only that
    one can say that it never came.
    """

    attempt: int
    upto: int
    incarnation: str


class Cancel(Message):
    """Entry to agent: nobody waits for this attempt any more.

    ``is_superseded`` says that another attempt takes its place, so it is not billed.
    """

    attempt: int
    is_superseded: bool = False


class Refused(Message):
    """Agent to entry: not run."""

    attempt: int
    code: int
    detail: str
    retry_at: float


class Part(msgspec.Struct, array_like=True, frozen=True):
    """``count`` consecutive parts of one answer, joined, from number ``seq``."""

    attempt: int
    seq: int
    count: int
    data: bytes


class Parts(Message):
    """Agent to entry: parts of many answers."""

    parts: list[Part]


class End(Message):
    """Agent to entry: the attempt is over after ``count`` parts."""

    attempt: int
    count: int
    code: int
    detail: str
    status: int
    content_type: str
    # Seconds from the call of the endpoint to its first part; below 0 if none.
    first_s: float
    bill: Bill | None
    # The life of the endpoint that ended under the attempt, if it did, and what that
    # says against the request.
    ended_incarnation: str = ""
    weight: int = 0


class BillsReleased(Message):
    """These bills are in the table or in other hands; the receiver forgets them."""

    keys: list[str]


class BillsHandover(Message):
    """The sender stops; the receiver holds these bills, and says so at once."""

    bills: list[Bill]


class Goodbye(Message):
    """Entry to agent: I end now; nothing of mine is open here any more."""


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

    :raises errors.GaprockError: ``UNDECODABLE``; nothing has been changed.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.GaprockError(errorcodes.UNDECODABLE, f"{len(data)} bytes")
    try:
        msg: AnyMessage = _decoder.decode(data)
        return msg
    except (msgspec.DecodeError, RecursionError) as exc:
        raise errors.GaprockError(errorcodes.UNDECODABLE, str(exc)) from exc
