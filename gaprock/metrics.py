"""Counters and timers, sent by ``statsd`` when a collector is set.

``docs/OPERATORS.md`` lists the names and what each one means.
"""

import typing

import statsd


class Metrics:
    """A thin face over the statsd client; without a collector it does nothing."""

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
        """Record a time, in milliseconds."""
        if self._client is not None:
            self._client.timing(name, milliseconds)
