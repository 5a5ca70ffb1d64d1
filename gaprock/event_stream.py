"""Splits a server-sent event stream into complete events.

Only complete events are passed on, so that a stream which breaks off within an event
can be resumed at another endpoint without an incomplete event in between.
"""

import typing

from gaprock import digits

# An event ends with an empty line; both kinds of line endings are in use.
EVENT_ENDS: typing.Final = (b"\n\n", b"\r\n\r\n")
ID_FIELD: typing.Final = b"id:"
# The largest event that is passed on.
MAX_EVENT_BYTES: typing.Final = 1024 * 1024


class Event(typing.NamedTuple):
    """One event as sent by its endpoint.

    :param number: its id; ``None`` for an event without a numeric id.
    """

    raw: bytes
    number: int | None


class EventTooLarge(Exception):
    """An event is larger than any that is passed on."""


class EventSplitter:
    """Collects bytes and returns the events that are complete."""

    __slots__ = ("_buffer", "_searched")

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Up to here the buffer has no end of an event.
        self._searched = 0

    @property
    def is_incomplete(self) -> bool:
        """Whether a part of an event is buffered."""
        return bool(self._buffer.strip())

    @property
    def buffered(self) -> int:
        """Bytes of the event that is incomplete."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        :raises EventTooLarge: when the event that they begin or continue is too large.
        """
        self._buffer += data
        found = []
        first = 0
        while (end := self._event_end(max(first, self._searched))) >= 0:
            raw = bytes(self._buffer[first:end])
            found.append(Event(raw, event_number(raw)))
            first = end
        del self._buffer[:first]
        # An end may lie across the border to the bytes that come next.
        self._searched = max(0, len(self._buffer) - len(EVENT_ENDS[-1]) + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return found

    def _event_end(self, start: int) -> int:
        """Return the end of the first event that ends after a position, or -1."""
        ends = [
            at + len(mark)
            for mark in EVENT_ENDS
            if (at := self._buffer.find(mark, start)) >= 0
        ]
        return min(ends) if ends else -1


def event_number(raw: bytes) -> int | None:
    """Return the id of an event; ``None`` if it has no numeric id."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            return digits.parse(line[len(ID_FIELD) :].strip())
    return None
