"""Timing of elections, which keeps cores from competing for the same part."""

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
    """The first candidate for a part, and since when, in seconds of the node's clock."""

    name: str | None
    since: float


class ElectionTiming:
    """Tracks the first candidate for each part and how long it has been first, for one node.

    While nodes start, or detect a failure at different times, their rankings of the candidates
    differ, and several cores may each consider themselves the first candidate. `Elections` uses the
    times recorded here to decide whether the ranking is stable.
    """

    __slots__ = ("node", "first_candidates", "reachable_names", "reachable_since", "started_at")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.first_candidates: dict[str, FirstCandidate] = {}
        self.reachable_names: frozenset[str] = frozenset()
        self.reachable_since = node.now()
        self.started_at = node.now()

    def on_graph(self, graph: Graph) -> None:
        """Record which stores and cores are reachable, and when that last changed."""
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
        """Reset all times, after a pause so long that other nodes have declared this one dead."""
        self.first_candidates = {}
        self.started_at = self.reachable_since = self.node.now()

    def observe_first_candidate(self, part: str, name: str | None) -> float:
        """Record the first candidate for a part; return for how many seconds it has been first."""
        now = self.node.now()
        known = self.first_candidates.get(part)
        if known is None or known.name != name:
            known = self.first_candidates[part] = FirstCandidate(name, now)
        return now - known.since

    def is_stable(self, seconds: float) -> bool:
        """Return whether the first candidate counts as stable after `seconds` in that position.

        It does after STABLE_HEARTBEATS heartbeat intervals, or PARTITIONED_STABLE_HEARTBEATS while
        the graph is partitioned. When a node returns, each core receives its heartbeats before it
        learns that the other cores do as well, and so considers itself the only bridge for up to
        three heartbeat intervals.
        """
        is_cut = self.node.find("nifty").graph.is_cut
        heartbeats = PARTITIONED_STABLE_HEARTBEATS if is_cut else STABLE_HEARTBEATS
        return seconds >= self.node.bounds.heartbeat_interval * heartbeats

    def is_starting(self) -> bool:
        """Return whether this node started recently and the set of reachable nodes still changes.

        True for STARTUP_HEARTBEATS heartbeat intervals after the start, if the set changed within
        the last interval.
        """
        now, interval = self.node.now(), self.node.bounds.heartbeat_interval
        has_started_recently = now - self.started_at < interval * STARTUP_HEARTBEATS
        return has_started_recently and now - self.reachable_since < interval

    def reaches_majority(self, group: Group) -> bool:
        """Return whether a majority of a group's stores is reachable."""
        return sum(store.name in self.reachable_names for store in group) >= majority(group)

    def is_contended(self, ballot: list[Any]) -> bool:
        """Return whether a ballot is from the current incarnation of another reachable core.

        False if that core is leaving or backs off.
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
