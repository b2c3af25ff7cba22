"""When a core may run an election, so that few cores compete for the same part."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.records import NamedTuple
from quillring.quorum.parts import majority

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.nifty.graph import Graph
    from quillring.quorum.values import Group

STARTUP_HEARTBEATS = 8
STABLE_HEARTBEATS = 2
PARTITIONED_STABLE_HEARTBEATS = 3


class FirstCandidate(NamedTuple):
    """The first candidate for a part, and the node's time (in seconds) since which it is that."""

    name: str | None
    since: float


class ElectionTiming:
    """The first candidate for each part, and how long it has been that, as one node sees it.

    While nodes start, or detect the failure of one at different times, their orders of the
    candidates differ: several cores may each take themselves for the first. Owns the times from
    which `Elections` decides whether the order is stable.
    """

    __slots__ = ("node", "first_candidates", "reachable_names", "reachable_since", "started_at")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.first_candidates: dict[str, FirstCandidate] = {}
        self.reachable_names: frozenset[str] = frozenset()
        self.reachable_since = node.now()
        self.started_at = node.now()

    def on_graph(self, graph: Graph) -> None:
        """Record the set of reachable stores and cores, and the time of its last change."""
        members = self.node.find("nifty").roster.members
        reachable_names = frozenset(
            name
            for name in graph.reachable()
            if name in members and members[name].role in ("core", "store")
        )
        if reachable_names != self.reachable_names:
            self.reachable_names = reachable_names
            self.reachable_since = self.node.now()

    def forget_observations(self) -> None:
        """Reset all times, after a pause so long that the other nodes declared this one dead."""
        self.first_candidates = {}
        self.started_at = self.reachable_since = self.node.now()

    def observe_first_candidate(self, part: str, name: str | None) -> float:
        """Record the first candidate for a part; return for how many seconds it has been that."""
        now = self.node.now()
        known = self.first_candidates.get(part)
        if known is None or known.name != name:
            known = self.first_candidates[part] = FirstCandidate(name, now)
        return now - known.since

    def is_stable(self, seconds: float) -> bool:
        """Return whether a core that has been first candidate for `seconds` should stay the first.

        That takes STABLE_HEARTBEATS, or PARTITIONED_STABLE_HEARTBEATS while the graph is
        partitioned: when a node comes back, each core receives its heartbeats before it learns that
        the others do too, and takes itself for the only bridge for up to three heartbeats.
        """
        is_cut = self.node.find("nifty").graph.is_cut
        heartbeats = PARTITIONED_STABLE_HEARTBEATS if is_cut else STABLE_HEARTBEATS
        return seconds >= self.node.bounds.heartbeat_interval * heartbeats

    def is_starting(self) -> bool:
        """Return whether this node started recently and the set of reachable nodes still changes.

        True within STARTUP_HEARTBEATS of the start, if the set changed in the last heartbeat.
        """
        now, interval = self.node.now(), self.node.bounds.heartbeat_interval
        started_lately = now - self.started_at < interval * STARTUP_HEARTBEATS
        return started_lately and now - self.reachable_since < interval

    def reaches_majority(self, group: Group) -> bool:
        """Return whether a majority of a group's stores is reachable."""
        return sum(store.name in self.reachable_names for store in group) >= majority(group)

    def is_contended(self, ballot: list[Any]) -> bool:
        """Return whether the higher ballot is that of another reachable core's live incarnation.

        False for this core's own ballot, and for a core that is leaving or backs off.
        """
        name, _, incarnation = str(ballot[1]).rpartition("#")
        member = self.node.find("nifty").roster.members.get(name)
        return (
            name != self.node.me.name
            and member is not None
            and str(member.incarnation) == incarnation
            and name in self.reachable_names
            and not self.node.find("ownership").declines_leadership(name)
        )
