"""When a core may run an election: few try after a common start, and nobody twice in a row."""

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
    """The first candidate for a part, and since when (in seconds) it has been."""

    name: str | None
    since: float


class ElectionTiming:
    """The first candidate for each part and for how long it has been, as one node sees it.

    While nodes start, or the loss of one is noticed at different times, the order of the
    candidates wavers: several cores each believe to be the first.
    """

    __slots__ = ("node", "first_candidates", "reachable_names", "reachable_since", "started_at")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.first_candidates: dict[str, FirstCandidate] = {}
        self.reachable_names: frozenset[str] = frozenset()
        self.reachable_since = node.now()
        self.started_at = node.now()

    def on_graph(self, graph: Graph) -> None:
        """Note since when this node has reached the stores and cores it does."""
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
        """Trust nothing known: this process was stopped so long that others took it for dead."""
        self.first_candidates = {}
        self.started_at = self.reachable_since = self.node.now()

    def observe_first_candidate(self, part: str, name: str | None) -> float:
        """Note the first candidate for a part; return for how many seconds it has been that."""
        now = self.node.now()
        known = self.first_candidates.get(part)
        if known is None or known.name != name:
            known = self.first_candidates[part] = FirstCandidate(name, now)
        return now - known.since

    def is_stable(self, seconds: float) -> bool:
        """Tell whether a first candidate of so many seconds will stay the first.

        While a node comes back, each core hears it sooner than it hears of the others doing so,
        and takes itself for the only bridge of a cut for up to three heartbeats.
        """
        is_cut = self.node.find("nifty").graph.is_cut
        heartbeats = PARTITIONED_STABLE_HEARTBEATS if is_cut else STABLE_HEARTBEATS
        return seconds >= self.node.bounds.heartbeat_interval * heartbeats

    def is_starting(self) -> bool:
        """Tell whether this node started lately and still hears of others for the first time."""
        now, interval = self.node.now(), self.node.bounds.heartbeat_interval
        started_lately = now - self.started_at < interval * STARTUP_HEARTBEATS
        return started_lately and now - self.reachable_since < interval

    def reaches_majority(self, group: Group) -> bool:
        """Tell whether enough stores of a group are in reach for a ballot."""
        return sum(store.name in self.reachable_names for store in group) >= majority(group)

    def is_contended(self, ballot: list[Any]) -> bool:
        """Tell whether the ballot that fenced this core is that of a live start of another."""
        name, _, incarnation = str(ballot[1]).rpartition("#")
        member = self.node.find("nifty").roster.members.get(name)
        return (
            name != self.node.me.name
            and member is not None
            and str(member.incarnation) == incarnation
            and name in self.reachable_names
            and not self.node.find("ownership").declines_leadership(name)
        )
