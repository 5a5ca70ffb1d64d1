"""Estimates which prompt prefixes are in an endpoint's prefix cache.

An engine caches the prompt parts that it has read, separately for each model, until
newer parts need the space. It need not read cached parts again. A cached part is usable
only together with all the parts before it. The content of a cache is inferred from the
requests sent to the endpoint: this gateway's own are known at once, those of other
gateways from their heartbeats.
"""

import collections
import typing
import zlib

from gaprock import mechanisms

# Maximum number of parts that a gateway tracks per endpoint, whatever their tokens.
MAX_HASHES: typing.Final = 4096


class PrefixHash(typing.NamedTuple):
    """The hash of a prompt prefix for one model.

    :param key: a hash of the model and of all parts of the prefix.
    :param tokens: the length of the prefix's last part.
    """

    key: int
    tokens: int


def prefix_hashes(model: str, parts: list[tuple[str, int]]) -> list[PrefixHash]:
    """Return the hashes of a prompt's prefixes, the shortest prefix first."""
    if not mechanisms.KEPT_PROMPTS.on:
        return []
    found = []
    key = zlib.crc32(model.encode())
    for name, tokens in parts:
        key = zlib.crc32(b"/" + name.encode(), key)
        found.append(PrefixHash(key, tokens))
    return found


class PrefixCache:
    """The estimated prefix cache of one endpoint; not thread-safe."""

    __slots__ = ("_tokens", "_total_tokens")

    def __init__(self) -> None:
        # Tokens by key, the least recently used first.
        self._tokens: collections.OrderedDict[int, int] = collections.OrderedDict()
        self._total_tokens = 0

    def cached(self, hashes: list[PrefixHash]) -> int:
        """Return the number of tokens of a prompt that are in the cache."""
        cached = 0
        for hash_ in hashes:
            if hash_.key not in self._tokens:
                break
            cached += hash_.tokens
        return cached

    def use(self, hashes: list[PrefixHash], room: int) -> None:
        """Record that the endpoint has read a prompt.

        :param room: the capacity of the cache in tokens; the least recently used parts
            are evicted when it is exceeded.
        """
        # In reverse, so that the first part is the most recently used one: a part is
        # then never kept longer than the parts before it.
        for hash_ in reversed(hashes):
            self._total_tokens += hash_.tokens - self._tokens.get(hash_.key, 0)
            self._tokens[hash_.key] = hash_.tokens
            self._tokens.move_to_end(hash_.key)
        while self._tokens and (
            self._total_tokens > room or len(self._tokens) > MAX_HASHES
        ):
            _, tokens = self._tokens.popitem(last=False)
            self._total_tokens -= tokens
