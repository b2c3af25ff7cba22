"""The peers of a node: the roster, and the state of each member as last received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.nifty.heartbeat_timing import HeartbeatTiming
from quillring.nifty.roster import Roster

if TYPE_CHECKING:
    from collections.abc import Callable

    from quillring.kernel.member import Member
    from quillring.kernel.node import Node
    from quillring.kernel.types import Address
    from quillring.nifty.peer_state import PeerState

MAX_RECENT_ROSTERS = 8


class Peers:
    """The membership as known to one node; owns the roster and the peer states.

    Attributes
    ----------
    known_roster : the current roster, without the members in `pending_members`
    pending_members : members learned since the roster was last read, by name
    recent_rosters : the last rosters by their digest, including the current one
    timing : heartbeat interval and link timeout for the current number of members
    peer_states : the state last received from each member, by name
    is_graph_stale : whether the inputs of the graph have changed since it was computed
    on_member : called with each member that is new or has a newer incarnation
    """

    __slots__ = (
        "node",
        "known_roster",
        "pending_members",
        "recent_rosters",
        "timing",
        "peer_states",
        "is_graph_stale",
        "on_member",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.known_roster = Roster([node.me])
        self.pending_members: dict[str, Member] = {}
        self.recent_rosters = {self.known_roster.digest: self.known_roster}
        self.timing = HeartbeatTiming(node.bounds, 1)
        self.peer_states: dict[str, PeerState] = {}
        self.is_graph_stale = True
        self.on_member: Callable[[Member], object] = lambda member: None

    @property
    def roster(self) -> Roster:
        """The current roster; reading it merges the members learned since the last read."""
        if self.pending_members:
            self.replace_roster(self._merge_pending_members())
        return self.known_roster

    def _merge_pending_members(self) -> Roster:
        """Return the roster with the pending members added, and clear these."""
        new_members, self.pending_members = self.pending_members, {}
        return self.known_roster.with_members(new_members.values())

    def find_member(self, name: str) -> Member | None:
        """Return the member of this name, or None if it is unknown."""
        return self.pending_members.get(name) or self.known_roster.members.get(name)

    def member_count(self) -> int:
        """Return an upper bound of the number of known members."""
        return len(self.known_roster.names) + len(self.pending_members)

    def learn(self, member: Member) -> None:
        """Add a member, or replace its record if the new incarnation is higher."""
        known = self.find_member(member.name)
        if known is not None and known.incarnation >= member.incarnation:
            return
        if member.name == self.node.me.name:
            return
        self.pending_members[member.name] = member
        self.on_member(member)

    def forget(self, name: str) -> None:
        """Remove a retired member and its peer state."""
        if name in self.roster.members and name != self.node.me.name:
            self.replace_roster(self.roster.without(name))
            self.peer_states.pop(name, None)

    def replace_roster(self, new_roster: Roster) -> None:
        """Replace the roster, and store the pending bitmaps that refer to the new one."""
        recent_rosters = [*self.recent_rosters.values(), new_roster][-MAX_RECENT_ROSTERS:]
        if new_roster.digest != self.known_roster.digest:
            self.is_graph_stale = True
        self.known_roster = new_roster
        self.recent_rosters = {roster.digest: roster for roster in recent_rosters}
        self.timing = HeartbeatTiming(self.node.bounds, len(new_roster.names))
        for state in self.peer_states.values():
            if state.pending_bitmap is not None and new_roster.digest == state.digest:
                state.store_bitmap(state.digest, state.pending_bitmap, new_roster)

    def store_bitmap(self, state: PeerState, digest: bytes, bitmap: bytes) -> bool:
        """Store a bitmap sent by a member; return whether its row changed."""
        if self.pending_members and digest not in self.recent_rosters:
            self.replace_roster(self._merge_pending_members())
        return state.store_bitmap(digest, bitmap, self.recent_rosters.get(digest))

    def has_recent_heartbeat(self, state: PeerState) -> bool:
        """Return whether a heartbeat of the peer was received within the link timeout."""
        return state.heard_at > self.node.now() - self.timing.link_timeout

    def mark_refused(self, address: Address) -> bool:
        """Mark the live members at an address as refused; return whether any is newly marked."""
        has_marked = False
        for name in self.roster.addresses.get(address, ()):
            state = self.peer_states.get(name)
            if state is not None and not state.is_refused and self.has_recent_heartbeat(state):
                state.is_refused = has_marked = True
        return has_marked

    def is_lost_by_refusal_only(self, name: str) -> bool:
        """Return whether a member is lost by a refused connection, but not yet by the timeout."""
        state = self.peer_states.get(name)
        return state is not None and state.is_refused and self.has_recent_heartbeat(state)

    def is_silent(self, name: str, seconds: float) -> bool:
        """Return whether no heartbeat of a member was received in the last `seconds`."""
        state = self.peer_states.get(name)
        return state is None or state.heard_at < self.node.now() - seconds

    def reached_names(self) -> frozenset[str]:
        """Return the names linked both ways: their last heartbeat is recent, and so is its echo.

        A received heartbeat is recent for the link timeout; the heartbeat of this node that was
        echoed is recent for one heartbeat interval longer.
        """
        heard_cutoff = self.node.now() - self.timing.link_timeout
        echo_cutoff = heard_cutoff - self.timing.interval
        return frozenset(
            [
                name
                for name, state in self.peer_states.items()
                if state.heard_at > heard_cutoff
                and state.echoed_at is not None
                and state.echoed_at > echo_cutoff
                and not state.is_refused
            ]
        )
