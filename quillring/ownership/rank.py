"""Rendezvous rank of the live cores for a key; bridges come first while the graph is cut."""

from quillring.nifty.graph import score


def ranked_cores(key, cores, graph, leaving_names=()):
    """Return the reachable core names, the one that should own the key first; leaving ones last."""
    reached_cores = [name for name in cores if name in graph.reachable()]
    bridge_names = set(graph.bridge_nodes()) if graph.is_cut else set()
    return sorted(
        reached_cores,
        reverse=True,
        key=lambda name: (name not in leaving_names, name in bridge_names, score(key, name)),
    )
