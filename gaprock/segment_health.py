"""When requests with a prompt segment last ran well.

A request runs well if its answer is complete, or goes on for longer than a poison
request lets its endpoint live.  Its segments crash no endpoint then.
"""

import collections
import typing

from gaprock import clock

# Number of segments that are remembered, about 0.15 KB each; the ones that ran well
# longest ago are forgotten first.
MAX_SEGMENTS: typing.Final = 4000


class SegmentHealth:
    """Latest starts of requests that ran well, by segment."""

    __slots__ = ("_began_at",)

    def __init__(self) -> None:
        self._began_at: collections.OrderedDict[int, float] = collections.OrderedDict()

    def record(self, segment: int, began_at: float) -> None:
        """Record that a request ran well.

        :param began_at: when its answer began.
        """
        self._began_at[segment] = max(began_at, self.last(segment))
        self._began_at.move_to_end(segment)
        if len(self._began_at) > MAX_SEGMENTS:
            self._began_at.popitem(last=False)

    def last(self, segment: int) -> float:
        """Return when the latest request that ran well began; ``-NEVER`` for none."""
        return self._began_at.get(segment, -clock.NEVER)
