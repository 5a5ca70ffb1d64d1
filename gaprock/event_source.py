"""Reads complete events from the response stream of one send."""

from gaprock import clock, directory, event_stream, gateway_attempt, http_exchange


class Broken(Exception):
    """A stream ended before it was complete."""


class EventSource:
    """Reads the events of one send."""

    __slots__ = ("attempt", "_splitter", "_clock", "_directory")

    def __init__(
        self,
        attempt: gateway_attempt.Attempt,
        clock_: clock.Clock,
        directory_: directory.Directory,
    ) -> None:
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
            try:
                data = self.attempt.exchange.read_data(deadline)
            except http_exchange.Broken as exc:
                raise Broken(str(exc)) from exc
            if data is None:
                if self._splitter.is_incomplete:
                    raise Broken("ended in the middle of an event")
                return []
            self._directory.record_seen(self.attempt.endpoint)
            try:
                events = self._splitter.feed(data)
            except event_stream.EventTooLarge as exc:
                raise Broken(str(exc)) from exc
            if events:
                return events
