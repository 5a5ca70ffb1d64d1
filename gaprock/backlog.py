"""Estimates the outstanding prefill work of an engine, over all gateways.

Each gateway knows its own prompts that await prefill, and the other gateways report
theirs. A prompt counts as outstanding until its first event. But an engine reads it
gradually, so the estimate falls with the time since a prompt was last finished.
Otherwise a queue would look full long after it was read, and requests would go to other
halls because of it. The unit is tokens of the largest model.
"""

import typing

# Share of its prefill rate at which an engine is assumed to read, since it decodes at
# the same time.
READING_SHARE: typing.Final = 0.6
# Share of the outstanding tokens that always counts as unread, since the estimate may
# be wrong.
LEFT_SHARE: typing.Final = 0.2


class Backlog:
    """The outstanding prefill work of one engine; not thread-safe."""

    __slots__ = ("own", "_peers", "_last_read_at")

    def __init__(self) -> None:
        # Tokens of this gateway's prompts, and of other gateways' by gateway name.
        self.own = 0.0
        self._peers: dict[str, float] = {}
        # When a prompt was last read, or when the first one was added.
        self._last_read_at = 0.0

    @property
    def outstanding(self) -> float:
        """All outstanding tokens, without an estimate of what was read since."""
        return self.own + sum(self._peers.values())

    def add(self, tokens: float, now: float) -> None:
        """Add a prompt of this gateway."""
        if not self.outstanding:
            self._last_read_at = now
        self.own += tokens

    def remove(self, tokens: float, now: float) -> None:
        """Remove a prompt of this gateway that was read or will not be read."""
        self.own = max(0.0, self.own - tokens)
        self._last_read_at = now

    def record_peer(self, gateway: str, tokens: float, now: float) -> None:
        """Record the outstanding tokens that another gateway reports."""
        before = self._peers.pop(gateway, 0.0)
        if tokens < before or not self.outstanding:
            self._last_read_at = now
        if tokens:
            self._peers[gateway] = tokens

    def left(self, now: float, tokens_per_s: float) -> float:
        """Estimate the tokens that are still unread.

        :param tokens_per_s: the engine's prefill rate.
        """
        told = self.outstanding
        read = READING_SHARE * tokens_per_s * max(0.0, now - self._last_read_at)
        return max(LEFT_SHARE * told, told - read)
