"""Candidates for the leadership of a part: the live cores, in the order of their claim.

The order is by rendezvous hashing; bridges come first while the network is cut.
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

    Those that back off come behind those that do not, and those that leave come last. Links with a
    core that backs off come and go at other times for each observer, so no cut is told by them.
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
