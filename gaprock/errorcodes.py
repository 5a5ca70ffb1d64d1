"""Registry of the result codes and their texts.

The range of a code's number shows whether the request ran:

* 1000 to 1999, *not run*: no endpoint was called; the request may be sent again.
* 2000 to 2999, *outcome unknown*: an endpoint may have run the request.
* 3000 to 3999, *ran*: an endpoint ran the request, at least in part.

``docs/RESULT-CODES.md`` is generated from this table; a test compares the two.
"""

import enum
import typing


class Category(enum.Enum):
    """Whether a request with this result was run."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    RAN = "ran"


# First number of each category's range; all ranges have the same length.
RANGE_START: typing.Final = {
    Category.NOT_RUN: 1000,
    Category.UNKNOWN: 2000,
    Category.RAN: 3000,
}
RANGE_LENGTH: typing.Final = 1000

OK: typing.Final = 0


class ErrorCode:
    """Result code.

    :param number: the code's number, whose range determines the category.
    :param name: the stable name for logs and clients.
    :param http_status: the status of an HTTP response with this code.
    :param description: the text at the start of each message with this code.
    """

    __slots__ = ("number", "name", "http_status", "description", "category")

    def __init__(
        self, number: int, name: str, http_status: int, description: str
    ) -> None:
        self.number = number
        self.name = name
        self.http_status = http_status
        self.description = description
        self.category = category_of(number)
        if number in by_number:
            raise ValueError(f"code {number} is registered twice")
        by_number[number] = self

    def __repr__(self) -> str:
        return f"ErrorCode({self.number}, {self.name})"


by_number: typing.Final[dict[int, ErrorCode]] = {}


def category_of(number: int) -> Category:
    """Return the category of a code's number.

    :raises ValueError: if the number is in no category's range.
    """
    for category, start in RANGE_START.items():
        if start <= number < start + RANGE_LENGTH:
            return category
    raise ValueError(f"code {number} is in no category's range")


def get(number: int) -> ErrorCode:
    """Return the code with this number; ``OUTCOME_UNKNOWN`` if it is not registered."""
    return by_number.get(number, OUTCOME_UNKNOWN)


BAD_REQUEST: typing.Final = ErrorCode(
    1001, "bad-request", 400, "The request is not well formed"
)
TOO_LARGE: typing.Final = ErrorCode(
    1002, "too-large", 413, "The request's body is larger than the limit"
)
UNAUTHORIZED: typing.Final = ErrorCode(
    1003, "unauthorized", 401, "The key belongs to no workspace"
)
FORBIDDEN: typing.Final = ErrorCode(
    1004, "forbidden", 403, "The key does not allow this"
)
UNKNOWN_TEMPLATE: typing.Final = ErrorCode(
    1005, "unknown-template", 404, "The workspace has no such template"
)
VERSION_NOT_ALLOWED: typing.Final = ErrorCode(
    1006, "version-not-allowed", 403, "The workspace does not allow this version"
)
VERSION_WITHDRAWN: typing.Final = ErrorCode(
    1007, "version-withdrawn", 409, "The version is withdrawn"
)
SESSION_ENDED: typing.Final = ErrorCode(
    1008, "session-ended", 409, "The session has ended; open a new one"
)
BAD_SESSION: typing.Final = ErrorCode(
    1009, "bad-session", 400, "The session token is not valid here"
)
DEADLINE_PAST: typing.Final = ErrorCode(
    1010, "deadline-past", 503, "The deadline passed before the request was run"
)
OVERLOADED: typing.Final = ErrorCode(
    1011, "overloaded", 503, "There is no capacity for the request in time"
)
NO_ENDPOINT: typing.Final = ErrorCode(
    1012, "no-endpoint", 503, "No live endpoint serves an allowed version"
)
TABLE_DOWN: typing.Final = ErrorCode(
    1013, "table-down", 503, "The platform's table does not answer"
)
LEAVING: typing.Final = ErrorCode(1014, "leaving", 503, "The process is being replaced")
BEHIND: typing.Final = ErrorCode(
    1015, "behind", 503, "The process lacks a newer configuration"
)
NOT_READY: typing.Final = ErrorCode(
    1016, "not-ready", 503, "The process has no configuration yet"
)
CONFLICT: typing.Final = ErrorCode(
    1017, "conflict", 409, "Another change was accepted first"
)
FENCED: typing.Final = ErrorCode(
    1018, "fenced", 409, "A newer holder of the control lease is known"
)
ID_REUSED: typing.Final = ErrorCode(
    1019, "id-reused", 422, "The request id was used with another body"
)
ID_TOO_OLD: typing.Final = ErrorCode(
    1020, "id-too-old", 400, "The request id is outside the accepted time range"
)
BILLS_FULL: typing.Final = ErrorCode(
    1021, "bills-full", 503, "Too many bills wait for the platform's table"
)
INVALID_CHANGE: typing.Final = ErrorCode(
    1022, "invalid-change", 400, "The change is not valid"
)
ENDPOINT_UNREACHABLE: typing.Final = ErrorCode(
    1023, "endpoint-unreachable", 503, "The endpoint accepted no connection"
)
ENDPOINT_REFUSED: typing.Final = ErrorCode(
    1024, "endpoint-refused", 503, "The endpoint refused the request before running it"
)
UNDECODABLE: typing.Final = ErrorCode(
    1025, "undecodable", 400, "The bytes are not a message of this protocol"
)
VERSION_HALTED: typing.Final = ErrorCode(
    1026, "version-halted", 409, "The version's rollout is stopped"
)
NOT_FOUND: typing.Final = ErrorCode(1027, "not-found", 404, "There is no such resource")
SETTINGS: typing.Final = ErrorCode(1028, "settings", 500, "The settings are not valid")
ENTRY_UNREACHABLE: typing.Final = ErrorCode(
    1029, "entry-unreachable", 503, "The entry accepted no connection"
)
HELD: typing.Final = ErrorCode(
    1030, "held", 503, "Endpoints ended as they began to run this request"
)

NO_HALL: typing.Final = ErrorCode(
    1031, "no-hall", 503, "All halls where the request may run are emptied"
)

PACED: typing.Final = ErrorCode(
    1032, "paced", 503, "The endpoints take fewer requests a second than come"
)

OUTCOME_UNKNOWN: typing.Final = ErrorCode(
    2001, "outcome-unknown", 502, "An endpoint may have run the request"
)
IN_PROGRESS: typing.Final = ErrorCode(
    2002, "in-progress", 409, "The request with this id is still running"
)
CHANGE_UNKNOWN: typing.Final = ErrorCode(
    2003, "change-unknown", 504, "The change may have been accepted"
)

ENDPOINT_ERROR: typing.Final = ErrorCode(
    3001, "endpoint-error", 502, "The endpoint answered with an error"
)
STREAM_CUT: typing.Final = ErrorCode(
    3002, "stream-cut", 502, "The answer broke off and is not whole"
)
CANCELLED: typing.Final = ErrorCode(3003, "cancelled", 499, "The caller went away")
DEADLINE_RUNNING: typing.Final = ErrorCode(
    3004, "deadline-running", 504, "The deadline passed while the request ran"
)
