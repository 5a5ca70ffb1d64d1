"""Splits a server-sent event stream into complete events.

Only complete events are passed on, so that a stream which breaks off within an event
can be resumed at another endpoint without an incomplete event in between.
"""

import typing

# An event ends with an empty line; both kinds of line endings are in use.
EVENT_ENDS: typing.Final = (b"\n\n", b"\r\n\r\n")
ID_FIELD: typing.Final = b"id:"


class Event(typing.NamedTuple):
    """One event as sent by its endpoint.

    :param number: its id; ``None`` for an event without a numeric id.
    """

    raw: bytes
    number: int | None


class EventSplitter:
    """Collects bytes and returns the events that are complete."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def is_incomplete(self) -> bool:
        """Whether a part of an event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        self._buffer += data
        found = []
        while (end := self._event_end()) >= 0:
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            found.append(Event(raw, event_number(raw)))
        return found

    def _event_end(self) -> int:
        ends = [
            self._buffer.find(mark) + len(mark)
            for mark in EVENT_ENDS
            if mark in self._buffer
        ]
        return min(ends) if ends else -1


def event_number(raw: bytes) -> int | None:
    """Return the id of an event; ``None`` if it has no numeric id."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
