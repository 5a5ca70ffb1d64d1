"""The documents that operators publish, and their checks.

The same code checks a document at ``gaprock template validate`` and at
publication.  ``template.schema.json`` is generated from ``Template`` by
``misc/write_schema.py``.
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

# How a template's kind reaches an endpoint.
CHAT: typing.Final = "chat"
CALL: typing.Final = "call"

# States of a rollout.
RUNNING: typing.Final = "running"
PAUSED: typing.Final = "paused"
ABORTED: typing.Final = "aborted"
DONE: typing.Final = "done"


class Document(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The base of every document."""


class Workspace(Document, frozen=True):
    """A workspace, its callers' keys and its share of a contended endpoint."""

    name: Name
    # SHA-256 of each accepted key, in hex; the keys themselves are not kept.
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
    # The allowed versions, from the cheapest to the safest.
    versions: typing.Annotated[
        list[VersionChoice], msgspec.Meta(min_length=1, max_length=64)
    ]
    kind: typing.Literal["chat", "call"] = "chat"
    # The rating, 0 to 1, that an answer should reach.
    quality: Fraction = 0.8
    # The share of answers that may miss that rating.
    under_target: Fraction = 0.05
    # 0 is served first.
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    # Seconds a request may take in all, unless the caller asks for less.
    time_limit_s: typing.Annotated[float, msgspec.Meta(gt=0, le=3600)] = 60.0
    # Seconds by which the first part should be there.
    first_part_s: typing.Annotated[float, msgspec.Meta(gt=0, le=3600)] = 1.5
    # When everyone arrives, seconds since the epoch; 0 for no planned start.
    planned_start: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # Requests a second expected in the first minute of a planned start.
    expected_rate: typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0
    # False for calls that may run at most once.
    repeatable: bool = True
    # The service's path, for kind "call".
    path: typing.Annotated[str, msgspec.Meta(pattern="^/", max_length=256)] = "/"


class Rollout(Document, frozen=True):
    """A step-by-step move of new work from a stable version to a new one."""

    version: VersionName
    stable: VersionName
    # The share of new work at each step; the last one is usually 1.
    steps: typing.Annotated[
        list[Fraction], msgspec.Meta(min_length=1, max_length=32)
    ] = msgspec.field(default_factory=lambda: [0.01, 0.05, 0.25, 1.0])
    step: typing.Annotated[int, msgspec.Meta(ge=0)] = 0
    state: typing.Literal["running", "paused", "aborted", "done"] = "running"
    # Answers that must be judged at a step before the next one.
    answers_per_step: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 50
    # Evidence seen when the step began; the step counts from there.
    judged_before: int = 0
    # Raised by one each time the rollout is started again after a stop.
    attempt: typing.Annotated[int, msgspec.Meta(ge=1)] = 1


class Withdrawal(Document, frozen=True):
    """A version that receives no new work, for good."""

    version: VersionName
    reason: str = ""


class Halt(Document, frozen=True):
    """A version that receives no new session until its rollout starts again."""

    version: VersionName
    attempt: int
    reason: str = ""


class Drain(Document, frozen=True):
    """An endpoint that an operator takes out of service."""

    endpoint: Name


D = typing.TypeVar("D", bound=Document)


def parse(kind: type[D], data: bytes) -> D:
    """Decode and check a document from JSON.

    :raises errors.GaprockError: ``INVALID_CHANGE``, naming the field.
    """
    try:
        return _checked(msgspec.json.decode(data, type=kind))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        raise errors.GaprockError(errorcodes.INVALID_CHANGE, str(exc)) from exc


def convert(kind: type[D], value: object) -> D:
    """Check a document that is already decoded.

    :raises errors.GaprockError: ``INVALID_CHANGE``, naming the field.
    """
    try:
        return _checked(msgspec.convert(value, type=kind))
    except msgspec.ValidationError as exc:
        raise errors.GaprockError(errorcodes.INVALID_CHANGE, str(exc)) from exc


def to_value(document: Document) -> dict[str, typing.Any]:
    """Give a document as the plain value that the configuration stores."""
    return typing.cast("dict[str, typing.Any]", msgspec.to_builtins(document))


def _checked(document: D) -> D:
    check(document)
    return document


@functools.singledispatch
def check(document: Document) -> None:
    """Check what the types of a document's fields cannot say.

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


def _invalid(field: str, takes: str) -> errors.GaprockError:
    return errors.GaprockError(errorcodes.INVALID_CHANGE, f"{takes} - at `$.{field}`")
