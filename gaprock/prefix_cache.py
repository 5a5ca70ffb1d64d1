"""Which parts of prompts an endpoint likely still keeps, so that it need not read them.

An engine keeps the parts that it has read, for each model apart, until newer ones need
the room; a part is of use only behind all the parts before it.  What was sent there
tells what it keeps: own sends at once, those of other gateways with their beats.
"""

import collections
import typing
import zlib

from gaprock import mechanisms

# Parts that one process remembers of an endpoint, whatever their tokens.
MAX_MARKS: typing.Final = 4096


class PrefixHash(typing.NamedTuple):
    """A part of a prompt behind all the parts before it, for one model.

    :param key: a hash of the model and of the parts up to this one.
    :param tokens: the part's own length.
    """

    key: int
    tokens: int


def prefix_hashes(model: str, parts: list[tuple[str, int]]) -> list[PrefixHash]:
    """Give the hashes of a prompt's parts, in order."""
    if not mechanisms.KEPT_PROMPTS.on:
        return []
    found = []
    key = zlib.crc32(model.encode())
    for name, tokens in parts:
        key = zlib.crc32(b"/" + name.encode(), key)
        found.append(PrefixHash(key, tokens))
    return found


class PrefixCache:
    """What one endpoint likely keeps; not safe for threads by itself."""

    __slots__ = ("_tokens", "_sum")

    def __init__(self) -> None:
        # Tokens by key, the least lately used first.
        self._tokens: collections.OrderedDict[int, int] = collections.OrderedDict()
        self._sum = 0

    def cached(self, hashes: list[PrefixHash]) -> int:
        """Give the tokens of a prompt that need not be read."""
        cached = 0
        for mark in hashes:
            if mark.key not in self._tokens:
                break
            cached += mark.tokens
        return cached

    def use(self, hashes: list[PrefixHash], room: int) -> None:
        """Note a prompt that is read there.

        :param room: tokens that the endpoint can keep; older parts give way.
        """
        # A part is never kept without those before it, so the first one is the newest.
        for mark in reversed(hashes):
            self._sum += mark.tokens - self._tokens.get(mark.key, 0)
            self._tokens[mark.key] = mark.tokens
            self._tokens.move_to_end(mark.key)
        while self._tokens and (self._sum > room or len(self._tokens) > MAX_MARKS):
            _, tokens = self._tokens.popitem(last=False)
            self._sum -= tokens
