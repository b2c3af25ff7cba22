"""Which replicas are believed to have which long prompt prefixes in their KV cache.

Learnt from the requests that this node and its peers sent. Replicas evict the least recently used
parts; the directory does the same for each replica, within the share of its cache that long
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
    """The prefixes believed cached at one replica, the least recently used first."""

    __slots__ = ("tokens_by_part", "total_tokens")

    def __init__(self) -> None:
        self.tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self.total_tokens = 0

    def touch(self, part: PromptPart, capacity_tokens: float) -> None:
        """Record that a part was used; evict the least recently used parts beyond the capacity."""
        self.total_tokens += part.token_count - self.tokens_by_part.pop(part.name, 0)
        self.tokens_by_part[part.name] = part.token_count
        while self.tokens_by_part and (
            self.total_tokens > capacity_tokens or len(self.tokens_by_part) > MAX_PARTS_PER_REPLICA
        ):
            _, token_count = self.tokens_by_part.popitem(last=False)
            self.total_tokens -= token_count


class PrefixDirectory:
    """The believed contents of the KV cache of each replica."""

    __slots__ = ("caches",)

    def __init__(self) -> None:
        self.caches: dict[str, ReplicaCache] = {}

    def record(
        self, replica: str, parts: Iterable[PromptPart], capacity_tokens: float | None
    ) -> None:
        """Record that a replica got a request with these shared parts."""
        cache = self.caches.get(replica)
        if cache is None:
            cache = self.caches[replica] = ReplicaCache()
        for part in parts:
            cache.touch(part, capacity_tokens or DEFAULT_CAPACITY_TOKENS)

    def cached_tokens(self, replica: str, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the leading parts that a replica is believed to have cached.

        A part is of use only if all parts before it are cached as well.
        """
        cache = self.caches.get(replica)
        if cache is None:
            return 0
        token_count = 0
        for part in parts:
            if part.name not in cache.tokens_by_part:
                break
            token_count += part.token_count
        return token_count

    def forget_all_but(self, replicas: Container[str]) -> None:
        """Forget the replicas that are no longer known."""
        self.caches = {name: cache for name, cache in self.caches.items() if name in replicas}
