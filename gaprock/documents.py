"""The documents that operators publish, and their validation.

``gaprock template validate`` and a publication run the same checks.
``template.schema.json`` is generated from ``Template`` by ``misc/write_pages.py``.
"""

import functools
import typing

import msgspec

from gaprock import errorcodes, errors

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=64)
]
VersionName = typing.Annotated[
    str,
    msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*@[a-z0-9._-]+$", max_length=64),
]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
KeyHash = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]

# Kinds of templates, by how a request is sent to an endpoint.
CHAT: typing.Final = "chat"
CALL: typing.Final = "call"

# States of a rollout.
RUNNING: typing.Final = "running"
PAUSED: typing.Final = "paused"
ABORTED: typing.Final = "aborted"
DONE: typing.Final = "done"


class Document(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base class of all documents."""


class Workspace(Document, frozen=True):
    """A workspace, its callers' keys and its share of a contended endpoint."""

    name: Name
    # SHA-256 of each accepted key, in hex; the keys themselves are not stored.
    key_hashes: typing.Annotated[list[KeyHash], msgspec.Meta(min_length=1)]
    share: typing.Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0


class VersionChoice(Document, frozen=True):
    """A version that a template allows, with the cost of one answer part."""

    version: VersionName
    cost: typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 1.0


class Template(Document, frozen=True):
    """An event template: what a workspace's requests may run on, and how."""

    workspace: Name
    name: Name
    # Allowed versions, from the cheapest to the safest.
    versions: typing.Annotated[
        list[VersionChoice], msgspec.Meta(min_length=1, max_length=64)
    ]
    kind: typing.Literal["chat", "call"] = "chat"
    # Rating, 0 to 1, that an answer should reach.
    quality: Fraction = 0.8
    # Share of answers that may miss that rating.
    under_target: Fraction = 0.05
    # From 0 to 9; requests with a lower number are served first.
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    # Longest duration of a request; a caller may ask for a shorter one.
    time_limit_s: typing.Annotated[float, msgspec.Meta(gt=0, le=3600)] = 60.0
    # Time within which the first part of the answer should arrive.
    first_part_s: typing.Annotated[float, msgspec.Meta(gt=0, le=3600)] = 1.5
    # When a surge of callers is expected, seconds since the epoch; 0 for none.
    planned_start: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # Requests per second expected in the first minute after the planned start.
    expected_rate: typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0
    # Whether a request may run more than once.
    repeatable: bool = True
    # Path of the service, for kind "call".
    path: typing.Annotated[str, msgspec.Meta(pattern="^/", max_length=256)] = "/"


class Rollout(Document, frozen=True):
    """A gradual move of new work from a stable version to a new one."""

    version: VersionName
    stable: VersionName
    # Share of new work at each step; the last one is usually 1.
    steps: typing.Annotated[
        list[Fraction], msgspec.Meta(min_length=1, max_length=32)
    ] = msgspec.field(default_factory=lambda: [0.01, 0.05, 0.25, 1.0])
    step: typing.Annotated[int, msgspec.Meta(ge=0)] = 0
    state: typing.Literal["running", "paused", "aborted", "done"] = "running"
    # Answers that must be judged at a step before the next one begins.
    answers_per_step: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 50
    # Answers counted as evidence when the step began; the step counts from there.
    judged_before: int = 0
    # Incremented each time the rollout is restarted after a stop.
    attempt: typing.Annotated[int, msgspec.Meta(ge=1)] = 1


class Withdrawal(Document, frozen=True):
    """A version that permanently receives no new work."""

    version: VersionName
    reason: str = ""


class Halt(Document, frozen=True):
    """A version that receives no new session until its rollout is restarted."""

    version: VersionName
    attempt: int
    reason: str = ""


class Drain(Document, frozen=True):
    """An endpoint that an operator has taken out of service."""

    endpoint: Name


D = typing.TypeVar("D", bound=Document)


def parse(kind: type[D], data: bytes) -> D:
    """Decode and validate a document from JSON.

    :raises errors.GaprockError: ``INVALID_CHANGE``, naming the field.
    """
    try:
        return _validated(msgspec.json.decode(data, type=kind))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        raise errors.GaprockError(errorcodes.INVALID_CHANGE, str(exc)) from exc


def convert(kind: type[D], value: object) -> D:
    """Validate a document that is already decoded.

    :raises errors.GaprockError: ``INVALID_CHANGE``, naming the field.
    """
    try:
        return _validated(msgspec.convert(value, type=kind))
    except msgspec.ValidationError as exc:
        raise errors.GaprockError(errorcodes.INVALID_CHANGE, str(exc)) from exc


def to_value(document: Document) -> dict[str, typing.Any]:
    """Return a document as the plain value that the configuration stores."""
    return typing.cast("dict[str, typing.Any]", msgspec.to_builtins(document))


def _validated(document: D) -> D:
    check(document)
    return document


@functools.singledispatch
def check(document: Document) -> None:
    """Check what the field types of a document cannot express.

    :raises errors.GaprockError: ``INVALID_CHANGE``, naming the field.
    """


@check.register
def _(document: Template) -> None:
    names = [choice.version for choice in document.versions]
    if len(set(names)) != len(names):
        raise _invalid("versions", "takes each version once")
    if document.first_part_s > document.time_limit_s:
        raise _invalid("first_part_s", "takes at most `$.time_limit_s`")
    if document.kind == CHAT and not document.repeatable:
        raise _invalid("repeatable", "takes false only for kind `call`")


@check.register
def _(document: Rollout) -> None:
    if document.version == document.stable:
        raise _invalid("stable", "takes another version than `$.version`")
    if document.step >= len(document.steps):
        raise _invalid("step", "takes a number below the length of `$.steps`")
    if sorted(document.steps) != list(document.steps):
        raise _invalid("steps", "takes growing shares")


def _invalid(field: str, expected: str) -> errors.GaprockError:
    return errors.GaprockError(
        errorcodes.INVALID_CHANGE, f"{expected} - at `$.{field}`"
    )
