"""What an engine has yet to read for all gateways, as one of them believes.

Each gateway knows its own prompts that wait, and is told those of the others.  A prompt
counts as waiting until its first event, but an engine reads it bit by bit, so what is
left falls with the time since something was last read.  Tokens are those of the largest
model.
"""

import typing

# Share of its pace at which an engine is taken to read: it makes tokens meanwhile.  And
# the share of what waits that is never taken as read, since the belief may be wrong.
# Guards against queues that look full long after they were read, and requests that go
# to other halls for it.
READING_SHARE: typing.Final = 0.6
LEFT_SHARE: typing.Final = 0.2


class Backlog:
    """The prompts that wait at one engine; not safe for threads by itself."""

    __slots__ = ("own", "_others", "_read_at")

    def __init__(self) -> None:
        # Our prompts, and those of other gateways by their names.
        self.own = 0.0
        self._others: dict[str, float] = {}
        # When something was last read, or when the first prompt came.
        self._read_at = 0.0

    @property
    def told(self) -> float:
        """All that waits, whatever was read of it since."""
        return self.own + sum(self._others.values())

    def add(self, tokens: float, now: float) -> None:
        """Take a prompt of ours."""
        if not self.told:
            self._read_at = now
        self.own += tokens

    def remove(self, tokens: float, now: float) -> None:
        """Take a prompt of ours out, since it was read or will not be."""
        self.own = max(0.0, self.own - tokens)
        self._read_at = now

    def take(self, gateway: str, tokens: float, now: float) -> None:
        """Take what another gateway has waiting."""
        before = self._others.pop(gateway, 0.0)
        if tokens < before or not self.told:
            self._read_at = now
        if tokens:
            self._others[gateway] = tokens

    def left(self, now: float, tokens_per_s: float) -> float:
        """Give what is likely left.

        :param tokens_per_s: how fast the engine reads.
        """
        told = self.told
        read = READING_SHARE * tokens_per_s * max(0.0, now - self._read_at)
        return max(LEFT_SHARE * told, told - read)
