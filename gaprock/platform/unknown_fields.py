"""Fields of the platform's configuration that this release does not know.

An unknown field may ask for something that is not done, such as a limit.  Each name is
logged once, so that an operator sees a request that is not served.  Fields that the
platform is known to send and that are not used are left out.
"""

import functools
import threading
import typing

import msgspec

from gaprock import eventlog, invalid_rows

# Fields that the platform sends and that are not used: anywhere but in an engine, and
# in an engine.
ENGINE_PATH: typing.Final = "Services.Engine"
UNUSED: typing.Final = frozenset(
    ("MaxConns", "Protocol", "Tls", "Sticky", "HeaderBytes", "HeaderMs")
    + ("ColdPerS", "WarmupS")
)
UNUSED_IN_ENGINE: typing.Final = frozenset(
    ("Slots", "TokenKvBytes", "LinkMbps", "Moves", "Backups", "Stride", "most")
    + ("PinMs", "HoldMs", "HandleS")
)
# Most names that are logged, and the longest part of a name that is shown.
MAX_NAMES: typing.Final = 50
MAX_NAME_CHARS: typing.Final = 60


def find(struct: type, docs: list[typing.Any], path: str = "") -> set[str]:
    """Return the paths of the fields of documents that their type does not have.

    All documents of a list are checked together: checking 2,000 routes one by one took
    as long as reading and applying them.
    """
    known = _inner_structs(struct)
    unused = UNUSED_IN_ENGINE if path.startswith(ENGINE_PATH) else UNUSED
    found = set()
    for name in set().union(*docs):
        inner_path = f"{path}.{name}" if path else name
        if name not in known:
            if name not in unused:
                found.add(inner_path)
            continue
        inner = known[name]
        if inner is not None:
            values = [doc[name] for doc in docs if name in doc]
            lists = [one if isinstance(one, list) else [one] for one in values]
            inner_docs = [one for ones in lists for one in ones if one is not None]
            found |= find(inner, inner_docs, inner_path)
    return found


@functools.cache
def _inner_structs(struct: type) -> dict[str, type | None]:
    """Return the struct that each field of a struct holds, or a list of it."""
    hints = typing.get_type_hints(struct)
    return {name: _struct_in(kind) for name, kind in hints.items()}


def _struct_in(kind: typing.Any) -> type | None:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind
    parts = map(_struct_in, typing.get_args(kind))
    return next((part for part in parts if part is not None), None)


class UnknownFields:
    """Logs the unknown fields of documents, each name once; thread-safe."""

    __slots__ = ("_logged", "_lock")

    def __init__(self) -> None:
        self._logged: set[str] = set()
        self._lock = threading.Lock()

    def record(self, kind: type, value: bytes) -> None:
        """Log the unknown fields of a document that was decoded as a type."""
        try:
            doc = msgspec.json.decode(value)
        except invalid_rows.DECODE_ERRORS:
            # An ignored field is invalid, so the document is valid without it.
            return
        found = find(kind, [doc])
        for name in sorted(found):
            with self._lock:
                if name in self._logged or len(self._logged) >= MAX_NAMES:
                    continue
                self._logged.add(name)
            eventlog.warning("unknown-field", field=name[:MAX_NAME_CHARS])
