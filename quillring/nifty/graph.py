"""The connectivity graph of the members, and the shortest routes in it.

Source: Alfatafta, Alkhatib, Alquraan and Al-Kiswany, "Toward a Generic Fault Tolerance Technique
for Partial Network Partitioning", OSDI 2020 (NIFTY), section 5.2. Routes are computed by
Bellman-Ford with hop counts as weights; rendezvous hashing spreads messages over equal routes.
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
    """Hop count, and the neighbours that are the first hop of a shortest route."""

MAX_CACHED_RESULTS = 4096


def rendezvous_score(*key_parts: str) -> bytes:
    """Return the rendezvous hash score of a key."""
    return hashlib.blake2b("\0".join(key_parts).encode(), digest_size=8).digest()


class Graph:
    """An immutable graph of direct links between members, with shortest routes from `home`.

    A row of links is a bitset over `names`; sets of names are computed on demand and cached.
    """

    __slots__ = ("home", "names", "positions", "rows", "live_bits", "routes", "cache")

    def __init__(self, home: str, rows: dict[str, Iterable[str]]) -> None:
        """Create the graph from {name: names that it reaches directly}."""
        names = tuple(sorted({home, *rows, *(n for reached in rows.values() for n in reached)}))
        positions = {name: position for position, name in enumerate(names)}
        self._initialize(
            home,
            names,
            positions,
            {
                name: to_bits([positions[other] for other in reached])
                for name, reached in rows.items()
            },
        )

    @classmethod
    def of_bits(
        cls, home: str, names: Sequence[str], positions: dict[str, int], rows: dict[str, int]
    ) -> Graph:
        """Create the graph from {name: bits of the names it reaches}, ordered by `positions`."""
        graph = cls.__new__(cls)
        graph._initialize(home, names, positions, rows)
        return graph

    def _initialize(
        self, home: str, names: Sequence[str], positions: dict[str, int], rows: dict[str, int]
    ) -> None:
        """Compute the links and routes.

        The links of `home` are those that it observes itself. A link between two other members
        must be reported by both ends, or by one end if the other sent no row.
        """
        self.home, self.names, self.positions = home, names, positions
        self.cache: dict[Hashable, Any] = {}
        home_bit, own_row = 1 << positions[home], rows.get(home, 0)
        reported_rows, rowless_bits = [0] * len(names), (1 << len(names)) - 1
        for name, bits in rows.items():
            position = positions[name]
            rowless_bits &= ~(1 << position)
            reported_rows[position] = (
                bits | home_bit if own_row >> position & 1 else bits & ~home_bit
            )
        reporters = transpose(reported_rows, len(names))
        self.rows = [
            (
                reporters[position]
                if rowless_bits >> position & 1
                else bits & (rowless_bits | reporters[position])
            )
            & ~(1 << position)
            for position, bits in enumerate(reported_rows)
        ]
        self.live_bits = home_bit | to_bits([p for p, bits in enumerate(self.rows) if bits])
        self.routes = self._bellman_ford()

    def has_same_links(self, other: Graph) -> bool:
        """Return whether another graph has the same names and the same links."""
        return self.names == other.names and self.rows == other.rows

    def _bellman_ford(self) -> dict[str, Route]:
        """Return {name: (hop count, first hops of all shortest routes)}.

        With hop counts as weights, Bellman-Ford is a breadth-first search from `home`; the
        frontier is the set of names at the current distance.
        """
        names, rows = self.names, self.rows
        names_by_bits: dict[int, tuple[str, ...]] = {}
        frontier = rows[self.positions[self.home]]
        routes: dict[str, Route] = {
            names[position]: (1, (names[position],)) for position in bit_positions(frontier)
        }
        first_hops = {position: 1 << position for position in bit_positions(frontier)}
        visited_bits, distance = frontier | 1 << self.positions[self.home], 1
        while frontier:
            next_frontier, distance = self._linked_bits(frontier) & ~visited_bits, distance + 1
            for position in bit_positions(next_frontier):
                hop_bits = rows[position] & frontier
                if distance > 2:
                    hop_bits = union([first_hops[previous] for previous in bit_positions(hop_bits)])
                if hop_bits not in names_by_bits:
                    names_by_bits[hop_bits] = self._names_of_bits(hop_bits)
                first_hops[position] = hop_bits
                routes[names[position]] = distance, names_by_bits[hop_bits]
            visited_bits |= next_frontier
            frontier = next_frontier
        return routes

    def _linked_bits(self, frontier: int) -> int:
        """Return the bits of the names linked with the frontier; stop once all are found."""
        reached_bits = 0
        for position in bit_positions(frontier):
            reached_bits |= self.rows[position]
            if reached_bits | frontier == self.live_bits:
                break
        return reached_bits

    def _names_of_bits(self, bits: int) -> tuple[str, ...]:
        """Return the names whose bits are set."""
        return tuple([self.names[position] for position in bit_positions(bits)])

    def _get_or_compute(self, key: Hashable, compute: Callable[[], T]) -> T:
        """Return the cached result for a key; compute it, and cache it if there is space."""
        if key in self.cache:
            cached: T = self.cache[key]
            return cached
        value = compute()
        if len(self.cache) < MAX_CACHED_RESULTS:
            self.cache[key] = value
        return value

    @property
    def links(self) -> dict[str, frozenset[str]]:
        """Return {name: names that it has a direct link with}."""
        return self._get_or_compute(
            "links",
            lambda: {
                name: frozenset(self._names_of_bits(bits))
                for name, bits in zip(self.names, self.rows)
            },
        )

    @property
    def live(self) -> frozenset[str]:
        """Return the names with at least one link, and `home`."""
        return self._get_or_compute("live", lambda: frozenset(self._names_of_bits(self.live_bits)))

    def neighbours(self) -> frozenset[str]:
        """Return the names that `home` has a direct link with."""
        return self._get_or_compute(
            "neighbours",
            lambda: frozenset(self._names_of_bits(self.rows[self.positions[self.home]])),
        )

    def next_hop(self, target: str, origin: str) -> str | None:
        """Return the neighbour to forward a message to, or None if there is no route.

        Among equally short routes, rendezvous hashing picks one for each pair of origin and target.
        """
        known_route = self.routes.get(target)
        if known_route is None:
            return None
        hops = known_route[1]
        if len(hops) == 1:
            return hops[0]
        return self._get_or_compute(
            (target, origin),
            lambda: max(hops, key=lambda hop: rendezvous_score(origin, target, hop)),
        )

    def hops(self, target: str) -> int | None:
        """Return the hop count to the target, or None if there is no route."""
        if target == self.home:
            return 0
        known_route = self.routes.get(target)
        return known_route[0] if known_route else None

    def reachable(self) -> frozenset[str]:
        """Return the names that a message can reach, directly or over relays, and `home`."""
        return self._get_or_compute("reachable", lambda: frozenset(self.routes) | {self.home})

    @property
    def is_cut(self) -> bool:
        """Whether some pair of live nodes has no direct link: a partial partition."""
        return len(self.bridge_nodes()) < self.live_bits.bit_count()

    def bridge_nodes(self) -> tuple[str, ...]:
        """Return the live nodes with a direct link to every other live node."""
        return self._get_or_compute(
            "bridges",
            lambda: tuple(
                self.names[position]
                for position in bit_positions(self.live_bits)
                if self.rows[position].bit_count() == self.live_bits.bit_count() - 1
            ),
        )

    def bridges_without(self, excluded: frozenset[str]) -> frozenset[str]:
        """Return the bridges among the live nodes not `excluded`; none if every pair is linked."""
        return self._get_or_compute(("bridges", excluded), lambda: self._find_bridges(excluded))

    def _find_bridges(self, excluded: frozenset[str]) -> frozenset[str]:
        """Compute the result of `bridges_without`."""
        excluded_bits = to_bits(
            [self.positions[name] for name in excluded if name in self.positions]
        )
        candidate_bits = self.live_bits & ~excluded_bits
        bridge_bits = to_bits(
            [
                p
                for p in bit_positions(candidate_bits)
                if not candidate_bits & ~(self.rows[p] | 1 << p)
            ]
        )
        return (
            frozenset()
            if bridge_bits == candidate_bits
            else frozenset(self._names_of_bits(bridge_bits))
        )

    def sides(self) -> tuple[tuple[str, ...], ...]:
        """Return the groups of live nodes on each side of a partial partition, without bridges."""
        return self._get_or_compute("sides", self._find_sides)

    def _find_sides(self) -> tuple[tuple[str, ...], ...]:
        """Compute the connected components of the live nodes, without bridges if there is a cut."""
        remaining_bits = self.live_bits
        if self.is_cut:
            remaining_bits &= ~to_bits([self.positions[name] for name in self.bridge_nodes()])
        components = []
        while remaining_bits:
            component, frontier_bits = 0, remaining_bits & -remaining_bits
            while frontier_bits:
                component |= frontier_bits
                frontier_bits = (
                    union([self.rows[p] for p in bit_positions(frontier_bits)])
                    & remaining_bits
                    & ~component
                )
            remaining_bits &= ~component
            components.append(self._names_of_bits(component))
        return tuple(sorted(components))

    def to_json(self) -> dict[str, Any]:
        """Return the graph as JSON for the HTTP interface."""
        return {
            "is_cut": self.is_cut,
            "bridge_nodes": list(self.bridge_nodes()),
            "sides": [list(side) for side in self.sides()],
            "links": {name: sorted(ends) for name, ends in sorted(self.links.items())},
            "routes": {
                target: {"hops": hop_count, "by": list(first_hops)}
                for target, (hop_count, first_hops) in sorted(self.routes.items())
            },
        }
