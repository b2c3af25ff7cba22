"""The connectivity graph and its routes (paper, section 5.2)."""

import hashlib

from quillring.nifty.bits import merged, places_of, to_bits, transposed

KEPT_ANSWERS = 4096


def score(*words):
    """Return the rendezvous score of the words."""
    return hashlib.blake2b("\0".join(words).encode(), digest_size=8).digest()


class Graph:
    """An immutable image of who reaches whom directly, with routes by hop count.

    A row of links is one whole number, a bit a name: what is read of it is made when asked for.
    """

    __slots__ = ("home", "names", "places", "rows", "liveBits", "routes", "known")

    def __init__(self, home, rows):
        """Make the graph from {name: names it reaches}."""
        names = tuple(sorted({home, *rows, *(n for reached in rows.values() for n in reached)}))
        places = {name: place for place, name in enumerate(names)}
        self._make(home, names, places, {
            name: to_bits([places[other] for other in reached]) for name, reached in rows.items()})

    @classmethod
    def of_bits(cls, home, names, places, rows):
        """Make the graph from {name: bits of the names it reaches}, in the order of `places`."""
        graph = cls.__new__(cls)
        graph._make(home, names, places, rows)
        return graph

    def _make(self, home, names, places, rows):
        """Find the links and routes.

        The home's own links are what it sees itself; other pairs must both tell of their link,
        and of a node that is not heard the others tell.
        """
        self.home, self.names, self.places, self.known = home, names, places, {}
        homeBit, ownRow = 1 << places[home], rows.get(home, 0)
        told, silentBits = [0] * len(names), (1 << len(names)) - 1
        for name, bits in rows.items():
            place = places[name]
            silentBits &= ~(1 << place)
            told[place] = bits | homeBit if ownRow >> place & 1 else bits & ~homeBit
        tellers = transposed(told, len(names))
        self.rows = [
            (tellers[place] if silentBits >> place & 1 else bits & (silentBits | tellers[place]))
            & ~(1 << place)
            for place, bits in enumerate(told)]
        self.liveBits = homeBit | to_bits([p for p, bits in enumerate(self.rows) if bits])
        self.routes = self._bellman_ford()

    def same_links(self, other):
        """Tell whether another graph has the very same links between the same names."""
        return self.names == other.names and self.rows == other.rows

    def _bellman_ford(self):
        """Return {name: (hop count, first hops)}; direct links win, equal routes are all kept.

        With hop counts as weights the distance vectors settle ring by ring, from the home outwards.
        """
        names, rows, namesOf = self.names, self.rows, {}
        ring = rows[self.places[self.home]]
        routes = {names[place]: (1, (names[place],)) for place in places_of(ring)}
        firstHops = {place: 1 << place for place in places_of(ring)}
        seenBits, distance = ring | 1 << self.places[self.home], 1
        while ring:
            nextRing, distance = self._reached_from(ring) & ~seenBits, distance + 1
            for place in places_of(nextRing):
                hopBits = rows[place] & ring
                if distance > 2:
                    hopBits = merged([firstHops[former] for former in places_of(hopBits)])
                if hopBits not in namesOf:
                    namesOf[hopBits] = self._names(hopBits)
                firstHops[place] = hopBits
                routes[names[place]] = distance, namesOf[hopBits]
            seenBits |= nextRing
            ring = nextRing
        return routes

    def _reached_from(self, ring):
        """Return what the names of a ring reach, as soon as that is everyone."""
        reachedBits = 0
        for place in places_of(ring):
            reachedBits |= self.rows[place]
            if reachedBits | ring == self.liveBits:
                break
        return reachedBits

    def _names(self, bits):
        return tuple([self.names[place] for place in places_of(bits)])

    def _once(self, key, make):
        if key in self.known:
            return self.known[key]
        value = make()
        if len(self.known) < KEPT_ANSWERS:
            self.known[key] = value
        return value

    @property
    def links(self):
        """Return {name: names it has a link with}."""
        return self._once("links", lambda: {
            name: frozenset(self._names(bits)) for name, bits in zip(self.names, self.rows)})

    @property
    def live(self):
        """Return the names with any link, home included."""
        return self._once("live", lambda: frozenset(self._names(self.liveBits)))

    def neighbours(self):
        """Return the names that the home has a link with."""
        return self._once("neighbours", lambda: frozenset(
            self._names(self.rows[self.places[self.home]])))

    def next_hop(self, target, origin):
        """Return the neighbour to pass a message to, spread over equal routes, or None."""
        knownRoute = self.routes.get(target)
        if knownRoute is None:
            return None
        hops = knownRoute[1]
        if len(hops) == 1:
            return hops[0]
        return self._once(
            (target, origin), lambda: max(hops, key=lambda hop: score(origin, target, hop)))

    def hops(self, target):
        """Return the hop count to the target, or None."""
        if target == self.home:
            return 0
        knownRoute = self.routes.get(target)
        return knownRoute[0] if knownRoute else None

    def reachable(self):
        """Return the names that a message can get to, home included."""
        return self._once("reachable", lambda: frozenset(self.routes) | {self.home})

    @property
    def is_cut(self):
        """True while some pair of live nodes has no direct link."""
        return len(self.bridge_nodes()) < self.liveBits.bit_count()

    def bridge_nodes(self):
        """Return the live nodes that reach every live node directly."""
        return self._once("bridges", lambda: tuple(
            self.names[place] for place in places_of(self.liveBits)
            if self.rows[place].bit_count() == self.liveBits.bit_count() - 1))

    def sides(self):
        """Return the groups of live nodes on each side of the cut, bridges left out."""
        return self._once("sides", self._find_sides)

    def _find_sides(self):
        leftBits = self.liveBits
        if self.is_cut:
            leftBits &= ~to_bits([self.places[name] for name in self.bridge_nodes()])
        foundSides = []
        while leftBits:
            side, edgeBits = 0, leftBits & -leftBits
            while edgeBits:
                side |= edgeBits
                edgeBits = merged([self.rows[p] for p in places_of(edgeBits)]) & leftBits & ~side
            leftBits &= ~side
            foundSides.append(self._names(side))
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
