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


class Firsts:
    """Since when which core has ranked first for each part, as one node sees it."""

    __slots__ = ("known",)

    def __init__(self):
        self.known = {}

    def note(self, part, name, now):
        """Take who ranks first now; return for how many seconds it has."""
        if self.known.get(part, (None,))[0] != name:
            self.known[part] = (name, now)
        return now - self.known[part][1]
