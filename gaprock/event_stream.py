"""Splits a server-sent event stream into whole events.

Only whole events are passed on, so that a stream which breaks off in the middle of an
event can go on at another endpoint without a torn one in between.
"""

import typing

# An event ends with an empty line; both line ends are in use.
ENDS: typing.Final = (b"\n\n", b"\r\n\r\n")
ID_FIELD: typing.Final = b"id:"


class Event(typing.NamedTuple):
    """One event as its endpoint wrote it.

    :param number: its id, or ``None`` for an event without a numeric one.
    """

    raw: bytes
    number: int | None


class EventSplitter:
    """Collects bytes and gives the events that are whole."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def is_incomplete(self) -> bool:
        """Whether a part of an event is left over."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and give the events that they complete."""
        self._rest += data
        found = []
        while (end := self._end()) >= 0:
            raw, self._rest = self._rest[:end], self._rest[end:]
            found.append(Event(raw, event_number(raw)))
        return found

    def _end(self) -> int:
        ends = [
            self._rest.find(mark) + len(mark) for mark in ENDS if mark in self._rest
        ]
        return min(ends) if ends else -1


def event_number(raw: bytes) -> int | None:
    """Read the id of an event."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
