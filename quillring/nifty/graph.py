"""The connectivity graph and its routes (paper, section 5.2)."""

import hashlib


def score(*words):
    """Return the rendezvous score of the words."""
    return hashlib.blake2b("\0".join(words).encode(), digest_size=8).digest()


class Graph:
    """An immutable image of who reaches whom directly, with routes by hop count."""

    __slots__ = ("links", "live", "routes", "home")

    def __init__(self, home, rows):
        """Make the graph from {name: names it reaches}.

        The home's own links are what it sees itself; other pairs must both tell of their link,
        and of a node that is not heard the others tell.
        """
        self.home = home
        ownRow = rows.get(home, frozenset())
        rows = {
            name: reached | {home} if name in ownRow else reached - {home}
            for name, reached in rows.items()
        }
        told = {}
        for name, reached in rows.items():
            for other in reached:
                if other not in rows:
                    told.setdefault(other, set()).add(name)
        self.links = {
            name: frozenset(
                other for other in reached
                if other != name and (other not in rows or name in rows[other])
            )
            for name, reached in rows.items()
        }
        self.links.update((name, frozenset(ends)) for name, ends in told.items())
        self.live = frozenset(name for name, ends in self.links.items() if ends) | {home}
        self.routes = self._bellman_ford()

    def _bellman_ford(self):
        """Relax distance vectors by hop count until none changes; direct links win."""
        distances = {self.home: 0}
        firstHops = {self.home: frozenset()}
        changed = True
        while changed:
            changed = False
            for name in sorted(distances):
                for other in self.links.get(name, ()):
                    offeredDistance = distances[name] + 1
                    offeredHops = firstHops[name] if name != self.home else frozenset((other,))
                    knownDistance = distances.get(other)
                    if knownDistance is None or offeredDistance < knownDistance:
                        distances[other], firstHops[other] = offeredDistance, offeredHops
                        changed = True
                    elif offeredDistance == knownDistance and other != self.home:
                        mergedHops = firstHops[other] | offeredHops
                        if mergedHops != firstHops[other]:
                            firstHops[other] = mergedHops
                            changed = True
        return {
            name: (distances[name], tuple(sorted(firstHops[name])))
            for name in distances
            if name != self.home
        }

    def next_hop(self, target, origin):
        """Return the neighbour to pass a message to, spread over equal routes, or None."""
        knownRoute = self.routes.get(target)
        if knownRoute is None:
            return None
        return max(knownRoute[1], key=lambda hop: score(origin, target, hop))

    def hops(self, target):
        """Return the hop count to the target, or None."""
        if target == self.home:
            return 0
        knownRoute = self.routes.get(target)
        return knownRoute[0] if knownRoute else None

    def reachable(self):
        """Return the names that a message can get to, home included."""
        return frozenset(self.routes) | {self.home}

    @property
    def is_cut(self):
        """True while some pair of live nodes has no direct link."""
        return any(len(self.links.get(name, ())) < len(self.live) - 1 for name in self.live)

    def bridge_nodes(self):
        """Return the live nodes that reach every live node directly."""
        return tuple(
            sorted(n for n in self.live if len(self.links.get(n, ())) == len(self.live) - 1)
        )

    def sides(self):
        """Return the groups of live nodes on each side of the cut, bridges left out."""
        leftNames = set(self.live)
        if self.is_cut:
            leftNames -= set(self.bridge_nodes())
        foundSides = []
        while leftNames:
            side, edgeNames = set(), [min(leftNames)]
            while edgeNames:
                name = edgeNames.pop()
                if name in leftNames:
                    leftNames.discard(name)
                    side.add(name)
                    edgeNames.extend(self.links.get(name, ()))
            foundSides.append(tuple(sorted(side)))
        return tuple(sorted(foundSides))

    def to_json(self):
        """Return the graph as operators see it."""
        return {
            "is_cut": self.is_cut,
            "bridge_nodes": list(self.bridge_nodes()),
            "sides": [list(side) for side in self.sides()],
            "links": {name: sorted(ends) for name, ends in sorted(self.links.items())},
            "routes": {n: {"hops": d, "by": list(h)} for n, (d, h) in sorted(self.routes.items())},
        }
