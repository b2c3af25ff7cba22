"""Rendezvous rank of the live cores for a key; bridges come first while the graph is cut."""

from quillring.nifty.graph import score


def order_candidates(key, cores, graph, leaving_names=(), resting_names=()):
    """Return the reachable core names, the one that should own the key first.

    Those that rest come behind those that do not, and those that leave come last. Links with a
    resting core come and go at other times for each observer, so no cut is told by them.
    """
    reached_cores = [name for name in cores if name in graph.reachable()]
    bridge_names = graph.bridges_without(frozenset(resting_names))
    return sorted(
        reached_cores,
        reverse=True,
        key=lambda name: (
            name not in leaving_names,
            name not in resting_names,
            name in bridge_names,
            score(key, name),
        ),
    )
