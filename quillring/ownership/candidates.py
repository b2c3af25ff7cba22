"""Candidates for the leadership of a part: the reachable cores in order of preference.

The order is by rendezvous hashing (Thaler and Ravishankar, 1998). In a partial network partition,
bridges come first: cores that are linked with all live nodes, on both sides.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.nifty.graph import score

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from quillring.nifty.graph import Graph


def order_candidates(
    key: str,
    cores: Iterable[str],
    graph: Graph,
    leaving_names: Collection[str] = (),
    backing_off_names: Collection[str] = (),
) -> list[str]:
    """Return the names of the reachable cores, the one that should lead the key first.

    Cores that back off come after those that do not, and cores that are leaving come last. Each
    observer sees the links of a core that backs off go up and down at other times, so the bridges
    of a partition are computed without these cores.
    """
    reached_cores = [name for name in cores if name in graph.reachable()]
    bridge_names = graph.bridges_without(frozenset(backing_off_names))

    def claim(name: str) -> tuple[bool, bool, bool, bytes]:
        return (
            name not in leaving_names,
            name not in backing_off_names,
            name in bridge_names,
            score(key, name),
        )

    return sorted(reached_cores, key=claim, reverse=True)
