"""The peers of a node: the roster, and what was last received from each member."""

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

KEPT_ROSTERS = 8


class Peers:
    """The membership as one node knows it; owner of the roster and of the peer states.

    Attributes
    ----------
    known_roster : the present roster, without the members of `pending_members`
    pending_members : members learned since the roster was last read
    recent_rosters : the last rosters by their digest, the present one included
    timing : heartbeat interval and link timeout for the present number of members
    peer_states : what was last received from each member, by name
    is_graph_stale : whether the inputs of the graph have changed
    on_member : called with each member that is new or renewed
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
        """The present roster; members learned since it was last read are added on reading."""
        if self.pending_members:
            self.replace_roster(self._take_pending_members())
        return self.known_roster

    def _take_pending_members(self) -> Roster:
        new_members, self.pending_members = self.pending_members, {}
        return self.known_roster.with_members(new_members.values())

    def find_member(self, name: str) -> Member | None:
        """Return the member of this name, or None."""
        return self.pending_members.get(name) or self.known_roster.members.get(name)

    def member_count(self) -> int:
        """Return an upper bound of the number of known members."""
        return len(self.known_roster.names) + len(self.pending_members)

    def learn(self, member: Member) -> None:
        """Add a member, or replace its record by that of a newer incarnation."""
        known = self.find_member(member.name)
        if known is not None and known.incarnation >= member.incarnation:
            return
        if member.name == self.node.me.name:
            return
        self.pending_members[member.name] = member
        self.on_member(member)

    def forget(self, name: str) -> None:
        """Remove a retired member and its state."""
        if name in self.roster.members and name != self.node.me.name:
            self.replace_roster(self.roster.without(name))
            self.peer_states.pop(name, None)

    def replace_roster(self, new_roster: Roster) -> None:
        """Replace the roster, and read the pending bitmaps that were made for the new one."""
        kept_rosters = [*self.recent_rosters.values(), new_roster][-KEPT_ROSTERS:]
        if new_roster.digest != self.known_roster.digest:
            self.is_graph_stale = True
        self.known_roster = new_roster
        self.recent_rosters = {roster.digest: roster for roster in kept_rosters}
        self.timing = HeartbeatTiming(self.node.bounds, len(new_roster.names))
        for state in self.peer_states.values():
            if state.unread_bitmap is not None and new_roster.digest == state.digest:
                state.take_bitmap(state.digest, state.unread_bitmap, new_roster)

    def take_bitmap(self, state: PeerState, digest: bytes, bitmap: bytes) -> bool:
        """Store the bitmap that a member sent; return whether its row changed."""
        if self.pending_members and digest not in self.recent_rosters:
            self.replace_roster(self._take_pending_members())
        return state.take_bitmap(digest, bitmap, self.recent_rosters.get(digest))

    def is_heard(self, state: PeerState) -> bool:
        """Return whether a heartbeat was received within the link timeout."""
        return state.heard_at > self.node.now() - self.timing.link_timeout

    def refuse(self, address: Address) -> bool:
        """Mark the members at an address as refused; return whether any of them was not yet."""
        is_new = False
        for name in self.roster.addresses.get(address, ()):
            state = self.peer_states.get(name)
            if state is not None and not state.is_refused and self.is_heard(state):
                state.is_refused = is_new = True
        return is_new

    def is_just_refused(self, name: str) -> bool:
        """Return whether a member is lost by a refused connection only, not by the timeout."""
        state = self.peer_states.get(name)
        return state is not None and state.is_refused and self.is_heard(state)

    def is_silent(self, name: str, seconds: float) -> bool:
        """Return whether no heartbeat of a member was received in the last seconds."""
        state = self.peer_states.get(name)
        return state is None or state.heard_at < self.node.now() - seconds

    def reached_names(self) -> frozenset[str]:
        """Return the names linked both ways: a recent heartbeat that echoes a recent one of ours.

        A heartbeat is recent within the link timeout, an echoed one within an interval more.
        """
        heard_edge = self.node.now() - self.timing.link_timeout
        echo_edge = heard_edge - self.timing.interval
        return frozenset(
            [
                name
                for name, state in self.peer_states.items()
                if state.heard_at > heard_edge
                and state.echoed_at is not None
                and state.echoed_at > echo_edge
                and not state.is_refused
            ]
        )
