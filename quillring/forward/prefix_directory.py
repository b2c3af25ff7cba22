"""Directory of the long prompt prefixes that each replica is believed to have in its KV cache.

It is built from the requests that this node and its peers sent. Replicas evict the least recently
used parts; the directory does the same for each replica, within the share of the cache that long
prefixes are expected to fill.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from quillring.forward.request import PromptPart

DEFAULT_CAPACITY_TOKENS = 200_000
MAX_PARTS_PER_REPLICA = 4096


class ReplicaCache:
    """The prefixes believed to be cached at one replica, least recently used first."""

    __slots__ = ("tokens_by_part", "total_tokens")

    def __init__(self) -> None:
        self.tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self.total_tokens = 0

    def record_use(self, part: PromptPart, capacity_tokens: float) -> None:
        """Mark a part as most recently used; evict the least recently used beyond the capacity."""
        self.total_tokens += part.token_count - self.tokens_by_part.pop(part.name, 0)
        self.tokens_by_part[part.name] = part.token_count
        while self.tokens_by_part and (
            self.total_tokens > capacity_tokens or len(self.tokens_by_part) > MAX_PARTS_PER_REPLICA
        ):
            _, token_count = self.tokens_by_part.popitem(last=False)
            self.total_tokens -= token_count


class PrefixDirectory:
    """The believed KV cache content of each replica."""

    __slots__ = ("cache_by_replica",)

    def __init__(self) -> None:
        self.cache_by_replica: dict[str, ReplicaCache] = {}

    def record(
        self, replica: str, parts: Iterable[PromptPart], capacity_tokens: float | None
    ) -> None:
        """Record that a replica received a request with these shared parts."""
        cache = self.cache_by_replica.get(replica)
        if cache is None:
            cache = self.cache_by_replica[replica] = ReplicaCache()
        for part in parts:
            cache.record_use(part, capacity_tokens or DEFAULT_CAPACITY_TOKENS)

    def cached_tokens(self, replica: str, parts: Iterable[PromptPart]) -> int:
        """Return the number of leading prompt tokens believed to be cached at a replica.

        A cached part is usable only if all parts before it are cached as well.
        """
        cache = self.cache_by_replica.get(replica)
        if cache is None:
            return 0
        token_count = 0
        for part in parts:
            if part.name not in cache.tokens_by_part:
                break
            token_count += part.token_count
        return token_count

    def retain_only(self, replicas: Container[str]) -> None:
        """Remove all replicas except the given ones."""
        self.cache_by_replica = {
            name: cache for name, cache in self.cache_by_replica.items() if name in replicas
        }
