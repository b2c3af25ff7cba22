"""Who the peers are: the roster, and what was last heard of each member."""

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
    """The members as one node knows them.

    Attributes
    ----------
    known_roster : the present roster, without the members of `pending_members`
    pending_members : members learned since the roster was last read
    recent_rosters : the last rosters by their digest, the present one included
    timing : heartbeat interval and link time-out for the present number of members
    peer_states : what was last heard of each member
    is_graph_stale : whether what the graph is made of has changed
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
        """The present roster; members learned since it was last read come in by one swap."""
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
        """Return how many members are known, at most."""
        return len(self.known_roster.names) + len(self.pending_members)

    def learn(self, member: Member) -> None:
        """Take a member record; a newer incarnation renews the address."""
        known = self.find_member(member.name)
        if known is not None and known.incarnation >= member.incarnation:
            return
        if member.name == self.node.me.name:
            return
        self.pending_members[member.name] = member
        self.on_member(member)

    def forget(self, name: str) -> None:
        """Drop a retired member for good."""
        if name in self.roster.members and name != self.node.me.name:
            self.replace_roster(self.roster.without(name))
            self.peer_states.pop(name, None)

    def replace_roster(self, new_roster: Roster) -> None:
        """Put another roster in the place of the present one; bitmaps made for it can be read."""
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
        """Take the bitmap that a member sent; return whether its row changed."""
        if self.pending_members and digest not in self.recent_rosters:
            self.replace_roster(self._take_pending_members())
        return state.take_bitmap(digest, bitmap, self.recent_rosters.get(digest))

    def is_heard(self, state: PeerState) -> bool:
        """Return whether too few heartbeats were missed to break a link."""
        return state.heard_at > self.node.now() - self.timing.link_timeout

    def refuse(self, address: Address) -> bool:
        """Take that the members at an address listen no more; return whether that is new."""
        is_new = False
        for name in self.roster.addresses.get(address, ()):
            state = self.peer_states.get(name)
            if state is not None and not state.is_refused and self.is_heard(state):
                state.is_refused = is_new = True
        return is_new

    def is_just_refused(self, name: str) -> bool:
        """Return whether a member is lost only because it listens no more, not by its silence."""
        state = self.peer_states.get(name)
        return state is not None and state.is_refused and self.is_heard(state)

    def is_silent(self, name: str, seconds: float) -> bool:
        """Return whether nothing was heard of a member for so many seconds."""
        state = self.peer_states.get(name)
        return state is None or state.heard_at < self.node.now() - seconds

    def reached_names(self) -> frozenset[str]:
        """Return the names heard lately that lately heard this node too, by their echo."""
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
