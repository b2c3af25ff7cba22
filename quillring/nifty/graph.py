"""The connectivity graph and its routes.

Source: Alfatafta, Alkhatib, Alquraan and Al-Kiswany, "Toward a Generic Fault Tolerance Technique
for Partial Network Partitioning", OSDI 2020 (NIFTY), section 5.2. Routes are those of Bellman-Ford
with hop counts as weights; messages over equal routes are spread by rendezvous hashing.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from quillring.nifty.bits import bit_positions, to_bits, transpose, union

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable, Sequence
    from typing import Any, TypeVar

    T = TypeVar("T")
    Route = tuple[int, tuple[str, ...]]
    """Hop count, and the neighbours that begin an equally short route."""

CACHED_RESULTS = 4096


def score(*words: str) -> bytes:
    """Return the rendezvous score of the words."""
    return hashlib.blake2b("\0".join(words).encode(), digest_size=8).digest()


class Graph:
    """An immutable graph of direct links between members, with the shortest routes from `home`.

    A row of links is an integer, one bit for each name; sets of names are made on demand.
    """

    __slots__ = ("home", "names", "places", "rows", "live_bits", "routes", "cache")

    def __init__(self, home: str, rows: dict[str, Iterable[str]]) -> None:
        """Make the graph from {name: names it reaches}."""
        names = tuple(sorted({home, *rows, *(n for reached in rows.values() for n in reached)}))
        places = {name: place for place, name in enumerate(names)}
        self._make(
            home,
            names,
            places,
            {name: to_bits([places[other] for other in reached]) for name, reached in rows.items()},
        )

    @classmethod
    def of_bits(
        cls, home: str, names: Sequence[str], places: dict[str, int], rows: dict[str, int]
    ) -> Graph:
        """Make the graph from {name: bits of the names it reaches}, in the order of `places`."""
        graph = cls.__new__(cls)
        graph._make(home, names, places, rows)
        return graph

    def _make(
        self, home: str, names: Sequence[str], places: dict[str, int], rows: dict[str, int]
    ) -> None:
        """Compute the links and routes.

        The home's own links are those it observes; a link between two others must be reported by
        both ends, or by the other end alone if one of them sent no row.
        """
        self.home, self.names, self.places = home, names, places
        self.cache: dict[Hashable, Any] = {}
        home_bit, own_row = 1 << places[home], rows.get(home, 0)
        told, silent_bits = [0] * len(names), (1 << len(names)) - 1
        for name, bits in rows.items():
            place = places[name]
            silent_bits &= ~(1 << place)
            told[place] = bits | home_bit if own_row >> place & 1 else bits & ~home_bit
        tellers = transpose(told, len(names))
        self.rows = [
            (tellers[place] if silent_bits >> place & 1 else bits & (silent_bits | tellers[place]))
            & ~(1 << place)
            for place, bits in enumerate(told)
        ]
        self.live_bits = home_bit | to_bits([p for p, bits in enumerate(self.rows) if bits])
        self.routes = self._bellman_ford()

    def same_links(self, other: Graph) -> bool:
        """Return True if another graph has the same links between the same names."""
        return self.names == other.names and self.rows == other.rows

    def _bellman_ford(self) -> dict[str, Route]:
        """Return {name: (hop count, first hops of all shortest routes)}.

        With hop counts as weights Bellman-Ford is a breadth-first search from the home: a ring is
        the set of names at one distance.
        """
        names, rows = self.names, self.rows
        names_of: dict[int, tuple[str, ...]] = {}
        ring = rows[self.places[self.home]]
        routes: dict[str, Route] = {
            names[place]: (1, (names[place],)) for place in bit_positions(ring)
        }
        first_hops = {place: 1 << place for place in bit_positions(ring)}
        visited_bits, distance = ring | 1 << self.places[self.home], 1
        while ring:
            next_ring, distance = self._reached_from(ring) & ~visited_bits, distance + 1
            for place in bit_positions(next_ring):
                hop_bits = rows[place] & ring
                if distance > 2:
                    hop_bits = union([first_hops[former] for former in bit_positions(hop_bits)])
                if hop_bits not in names_of:
                    names_of[hop_bits] = self._names(hop_bits)
                first_hops[place] = hop_bits
                routes[names[place]] = distance, names_of[hop_bits]
            visited_bits |= next_ring
            ring = next_ring
        return routes

    def _reached_from(self, ring: int) -> int:
        """Return the bits of the names linked with a ring; stop early once all are found."""
        reached_bits = 0
        for place in bit_positions(ring):
            reached_bits |= self.rows[place]
            if reached_bits | ring == self.live_bits:
                break
        return reached_bits

    def _names(self, bits: int) -> tuple[str, ...]:
        return tuple([self.names[place] for place in bit_positions(bits)])

    def _cached(self, key: Hashable, make: Callable[[], T]) -> T:
        if key in self.cache:
            cached: T = self.cache[key]
            return cached
        value = make()
        if len(self.cache) < CACHED_RESULTS:
            self.cache[key] = value
        return value

    @property
    def links(self) -> dict[str, frozenset[str]]:
        """Return {name: names it has a link with}."""
        return self._cached(
            "links",
            lambda: {
                name: frozenset(self._names(bits)) for name, bits in zip(self.names, self.rows)
            },
        )

    @property
    def live(self) -> frozenset[str]:
        """Return the names with any link, home included."""
        return self._cached("live", lambda: frozenset(self._names(self.live_bits)))

    def neighbours(self) -> frozenset[str]:
        """Return the names that the home has a link with."""
        return self._cached(
            "neighbours", lambda: frozenset(self._names(self.rows[self.places[self.home]]))
        )

    def next_hop(self, target: str, origin: str) -> str | None:
        """Return the neighbour to forward a message to, or None without a route.

        Of equal routes, rendezvous hashing picks one for each pair of origin and target.
        """
        known_route = self.routes.get(target)
        if known_route is None:
            return None
        hops = known_route[1]
        if len(hops) == 1:
            return hops[0]
        return self._cached(
            (target, origin), lambda: max(hops, key=lambda hop: score(origin, target, hop))
        )

    def hops(self, target: str) -> int | None:
        """Return the hop count to the target, or None."""
        if target == self.home:
            return 0
        known_route = self.routes.get(target)
        return known_route[0] if known_route else None

    def reachable(self) -> frozenset[str]:
        """Return the names that a message can reach, home included."""
        return self._cached("reachable", lambda: frozenset(self.routes) | {self.home})

    @property
    def is_cut(self) -> bool:
        """True while some pair of live nodes has no direct link."""
        return len(self.bridge_nodes()) < self.live_bits.bit_count()

    def bridge_nodes(self) -> tuple[str, ...]:
        """Return the live nodes that reach every live node directly."""
        return self._cached(
            "bridges",
            lambda: tuple(
                self.names[place]
                for place in bit_positions(self.live_bits)
                if self.rows[place].bit_count() == self.live_bits.bit_count() - 1
            ),
        )

    def bridges_without(self, left_out: frozenset[str]) -> frozenset[str]:
        """Return the live nodes linked with all others but `left_out`; empty if all of them are."""
        return self._cached(("bridges", left_out), lambda: self._find_bridges(left_out))

    def _find_bridges(self, left_out: frozenset[str]) -> frozenset[str]:
        left_out_bits = to_bits([self.places[name] for name in left_out if name in self.places])
        asked_bits = self.live_bits & ~left_out_bits
        bridge_bits = to_bits(
            [p for p in bit_positions(asked_bits) if not asked_bits & ~(self.rows[p] | 1 << p)]
        )
        return frozenset() if bridge_bits == asked_bits else frozenset(self._names(bridge_bits))

    def sides(self) -> tuple[tuple[str, ...], ...]:
        """Return the groups of live nodes on each side of the cut, bridges left out."""
        return self._cached("sides", self._find_sides)

    def _find_sides(self) -> tuple[tuple[str, ...], ...]:
        left_bits = self.live_bits
        if self.is_cut:
            left_bits &= ~to_bits([self.places[name] for name in self.bridge_nodes()])
        found_sides = []
        while left_bits:
            side, edge_bits = 0, left_bits & -left_bits
            while edge_bits:
                side |= edge_bits
                edge_bits = (
                    union([self.rows[p] for p in bit_positions(edge_bits)]) & left_bits & ~side
                )
            left_bits &= ~side
            found_sides.append(self._names(side))
        return tuple(sorted(found_sides))

    def to_json(self) -> dict[str, Any]:
        """Return the graph as the HTTP interface shows it."""
        return {
            "is_cut": self.is_cut,
            "bridge_nodes": list(self.bridge_nodes()),
            "sides": [list(side) for side in self.sides()],
            "links": {name: sorted(ends) for name, ends in sorted(self.links.items())},
            "routes": {n: {"hops": d, "by": list(h)} for n, (d, h) in sorted(self.routes.items())},
        }
