"""Reads complete events from the response stream of one send."""

import typing

from gaprock import (
    body_memory,
    clock,
    directory,
    event_stream,
    gateway_attempt,
    http_exchange,
)

# Incomplete events below this size are not counted.
COUNTED_BYTES: typing.Final = 64 * 1024


class Broken(Exception):
    """A stream ended before it was complete."""


class EventSource:
    """Reads the events of one send.

    :param is_resumed: whether the send continues a stream that broke off elsewhere.
    """

    __slots__ = ("attempt", "is_resumed", "_splitter", "_clock", "_directory", "_share")

    def __init__(
        self,
        attempt: gateway_attempt.Attempt,
        clock_: clock.Clock,
        directory_: directory.Directory,
        share: body_memory.Share | None = None,
        is_resumed: bool = False,
    ) -> None:
        self.is_resumed = is_resumed
        self._share = share
        self.attempt = attempt
        self._clock = clock_
        self._directory = directory_
        self._splitter = event_stream.EventSplitter()

    def next_events(self, deadline: float) -> list[event_stream.Event]:
        """Wait for events and return them; an empty list is the end of the stream.

        :raises Broken: when the stream broke off.
        :raises http_exchange.TimedOut: when the deadline passed.
        """
        while True:
            # It may be given up while it is silent.
            self._check_memory()
            try:
                data = self.attempt.exchange.read_data(deadline)
            except http_exchange.Broken as exc:
                raise Broken(str(exc)) from exc
            if data is None:
                if self._splitter.is_incomplete:
                    raise Broken("ended in the middle of an event")
                return []
            self._directory.record_seen(self.attempt.endpoint)
            self.attempt.record_data()
            try:
                events = self._splitter.feed(data)
            except event_stream.EventTooLarge as exc:
                raise Broken(str(exc)) from exc
            if events:
                return events

    def _check_memory(self) -> None:
        """Count a large event that is incomplete.

        :raises Broken: when there is no memory for it.
        """
        share, size = self._share, self._splitter.buffered
        if share is None or max(size, share.read_bytes) < COUNTED_BYTES:
            return
        if not share.memory.set_answer(share, size):
            share.memory.end_answer(share, is_kept=False)
            raise Broken(f"no memory for an event after {size} bytes")
