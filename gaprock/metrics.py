"""Counters and timers, sent through ``statsd`` if a collector is configured.

``docs/OPERATORS.md`` lists the names and their meanings.
"""

import typing

import statsd


class Metrics:
    """Wrapper of the statsd client that does nothing without a collector."""

    __slots__ = ("_client",)

    def __init__(self, host: str = "", port: int = 8125, prefix: str = "") -> None:
        self._client: typing.Any = None
        if host:
            self._client = statsd.StatsClient(host, port, prefix=prefix)

    def incr(self, name: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""
        if self._client is not None:
            self._client.incr(name, count)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, milliseconds)
