"""Candidates for the leadership of a part: the reachable cores in order of preference.

The cores are ranked by rendezvous hashing (Thaler and Ravishankar, 1998). In a partial network
partition, bridges rank first: these are the cores that have links to all live nodes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.nifty.graph import rendezvous_score

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
    """Return the names of the reachable cores, ranked by preference as the leader for `key`.

    Cores that back off rank after those that do not, and cores that are leaving rank last. Nodes
    observe the unstable links of a core that backs off at different times, so the bridges of a
    partition are computed without such cores.
    """
    reachable_cores = [name for name in cores if name in graph.reachable()]
    bridge_names = graph.bridges_without(frozenset(backing_off_names))

    def preference(name: str) -> tuple[bool, bool, bool, bytes]:
        return (
            name not in leaving_names,
            name not in backing_off_names,
            name in bridge_names,
            rendezvous_score(key, name),
        )

    return sorted(reachable_cores, key=preference, reverse=True)
