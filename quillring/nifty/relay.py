"""Messages between nodes: sent along a shortest route, relayed, delivered at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import BadWire
from quillring.kernel.traffic import RELAYED, REPLY
from quillring.nifty.duplicate_filter import DuplicateFilter
from quillring.nifty.graph import Graph
from quillring.nifty.peers import Peers
from quillring.nifty.wire import Envelope

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.member import Member
    from quillring.kernel.node import Node
    from quillring.kernel.types import WireMap

HOP_LIMIT = 6


class Relay(Peers):
    """Messaging of the peer layer: at-most-once delivery over one or more hops.

    Attributes
    ----------
    graph : the direct links between members, and the routes from this node
    sequence : sequence number of the last message sent
    duplicate_filters : filters of the messages received, by their origin
    versions : wire versions that this node supports, oldest first
    """

    __slots__ = ("graph", "sequence", "duplicate_filters", "versions")

    def __init__(self, node: Node, versions: tuple[int, ...]) -> None:
        super().__init__(node)
        self.graph = Graph(node.me.name, {})
        self.sequence = 0
        self.duplicate_filters: dict[str, DuplicateFilter] = {}
        self.versions = versions

    def reaches(self, name: str) -> bool:
        """Return whether the name is this node's own, or has a direct or relayed route."""
        return name == self.node.me.name or name in self.graph.routes

    def lowest_common_version(self) -> int:
        """Return the newest wire version that every reachable member is known to support."""
        lowest = self.versions[-1]
        for name in self.roster.names:
            if name in self.graph.routes:
                state = self.peer_states.get(name)
                lowest = min(lowest, self.versions[0] if state is None else state.version)
        return lowest

    def send(self, target: str, message: WireMap) -> bool:
        """Send a message along a shortest route; return False if no route is known."""
        self.sequence += 1
        me = self.node.me
        return self._forward(
            Envelope(me.name, me.incarnation, self.sequence, target, HOP_LIMIT, message)
        )

    def send_direct(self, member: Member, version: int, service: str, body: Any) -> None:
        """Send a message to a member's address, bypassing the roster and the routes.

        For processes whose incarnation is not the one in the roster.
        """
        self.sequence += 1
        me = self.node.me
        message = {"s": service, "b": body}
        envelope = Envelope(me.name, me.incarnation, self.sequence, member.name, 1, message)
        self.node.runtime.frame(member.address, envelope.to_wire(version))

    def _forward(self, envelope: Envelope) -> bool:
        """Send an envelope to its next hop; count it and return False if there is none."""
        hop = self.graph.next_hop(envelope.target, envelope.origin)
        hop_member = None if hop is None else self.roster.members.get(hop)
        if hop is None or hop_member is None or envelope.hops_left <= 0:
            self.node.count("unrouted")
            return False
        state = self.peer_states.get(hop)
        version = self.versions[0] if state is None else state.version
        is_other_zone = hop_member.zone != self.node.me.zone
        data = envelope.to_wire(version, may_compress=is_other_zone)
        self.node.traffic.record(self._traffic_kind(envelope), hop_member.zone, len(data))
        self.node.runtime.frame(hop_member.address, data)
        return True

    def _traffic_kind(self, envelope: Envelope) -> str:
        """Return the traffic kind of an envelope: RELAYED, its service, or REPLY."""
        if envelope.origin != self.node.me.name:
            return RELAYED
        service = envelope.message.get("s")
        return service if isinstance(service, str) else REPLY

    def on_frame(self, data: bytes) -> None:
        """Deliver or relay a received frame; count and drop malformed frames and duplicates."""
        try:
            envelope = Envelope.from_wire(data, self.versions)
        except BadWire:
            self.node.count("bad_frames")
            return
        if envelope.target != self.node.me.name:
            self.node.count("relayed")
            self.node.count("relayed_bytes", len(data))
            self._forward(envelope.after_hop())
        elif self._is_first_copy(envelope):
            self.node.on_message(envelope.origin, envelope.message)
        else:
            self.node.count("duplicates")

    def _is_first_copy(self, envelope: Envelope) -> bool:
        """Return whether a message is a first copy, and not of an older incarnation of its origin.

        The filter records the incarnation that messages were received from. Without a filter, as
        just after a start, the roster decides: it may have a newer incarnation of the origin.
        """
        origin, incarnation = envelope.origin, envelope.incarnation
        duplicate_filter = self.duplicate_filters.get(origin)
        if duplicate_filter is None:
            known = self.find_member(origin)
            if known is not None and incarnation < known.incarnation:
                return False
        if duplicate_filter is None or incarnation > duplicate_filter.incarnation:
            duplicate_filter = DuplicateFilter(incarnation)
            self.duplicate_filters[origin] = duplicate_filter
        return incarnation == duplicate_filter.incarnation and duplicate_filter.is_first_copy(
            envelope.sequence
        )
