"""NIFTY: heartbeats with connectivity bitmaps to all members, and the graph built from them.

Source: Alfatafta, Alkhatib, Alquraan and Al-Kiswany, "Toward a Generic Fault Tolerance Technique
for Partial Network Partitioning", OSDI 2020 (NIFTY), section 5 and listing 5.1 where noted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import BadWire
from quillring.kernel.traffic import HEARTBEAT
from quillring.nifty.bits import BitPermutations
from quillring.nifty.graph import Graph
from quillring.nifty.heartbeat_round import HeartbeatRound
from quillring.nifty.incarnations import is_name_clash, renew_incarnation
from quillring.nifty.peer_state import PeerState
from quillring.nifty.relay import Relay
from quillring.nifty.wire import SUPPORTED_VERSIONS, Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quillring.kernel.member import Member
    from quillring.kernel.node import Node
    from quillring.kernel.types import Address, Coroutine
    from quillring.nifty.wire import Stamp

    HeartbeatContent = tuple[object, bytes, bytes]

SLICES_PER_INTERVAL = 4
STARTUP_INTERVALS = 4
ANTI_ENTROPY_STARTS_PER_SLICE = 3
SENT_AT_RETENTION_PROPAGATIONS = 3
SENT_AT_RETENTION_LINK_TIMEOUTS = 2


class Nifty(Relay):
    """The peer layer of one node.

    A heartbeat interval is divided into SLICES_PER_INTERVAL slices. During the first
    STARTUP_INTERVALS intervals, members without a link are sent a heartbeat in every slice.

    Attributes
    ----------
    seeds : addresses that are sent heartbeats before their members are known
    heartbeat_sequence : number of the last round of heartbeats
    content, content_sequence : content of the last full heartbeats, and the first round with it
    sent_at_by_sequence : when each recent round was sent, in seconds on this node's clock
    graph_inputs, refreshed_at : inputs of the last graph, and when it was computed
    anti_entropy_count : number of calls of `on_unknown_roster` in this slice
    listeners : called with each graph whose links differ from the previous one
    stamp_source : returns the freshness stamp to send in heartbeats, or None
    on_unknown_roster : called with the name of a member whose roster differs from this node's
    started_at : when this object was created, in seconds on this node's clock
    linked_names : the names with a link both ways at the last slice
    """

    __slots__ = (
        "seeds",
        "heartbeat_sequence",
        "content",
        "content_sequence",
        "sent_at_by_sequence",
        "graph_inputs",
        "refreshed_at",
        "anti_entropy_count",
        "listeners",
        "stamp_source",
        "on_unknown_roster",
        "started_at",
        "linked_names",
    )

    def __init__(
        self, node: Node, seeds: Iterable[Address], versions: tuple[int, ...] = SUPPORTED_VERSIONS
    ) -> None:
        super().__init__(node, versions)
        self.seeds = tuple(seeds)
        self.heartbeat_sequence = 0
        self.content: HeartbeatContent | None = None
        self.content_sequence = 0
        self.sent_at_by_sequence: dict[int, float] = {}
        self.graph_inputs: tuple[frozenset[str], frozenset[str]] | None = None
        self.refreshed_at: float | None = None
        self.anti_entropy_count = 0
        self.listeners: list[Callable[[Graph], object]] = []
        self.stamp_source: Callable[[], Stamp | None] = lambda: None
        self.on_unknown_roster: Callable[[str], object] = lambda name: None
        self.started_at = node.now()
        self.linked_names: frozenset[str] = frozenset()
        node.handle("member.former", lambda body, origin: renew_incarnation(self, body))

    def run(self) -> Coroutine:
        """Send a heartbeat to every member in every interval, including unreachable ones."""
        while True:
            self.send_heartbeats()
            for slice_number in range(SLICES_PER_INTERVAL):
                self._send_to_unlinked_members(slice_number)
                self.refresh()
                yield Sleep(self.timing.interval / SLICES_PER_INTERVAL)

    def _send_to_unlinked_members(self, slice_number: int) -> None:
        """During startup, send extra heartbeats to members not linked throughout two slices."""
        previous_names, self.linked_names = self.linked_names, self.reached_names()
        is_starting = self.node.now() - self.started_at < self.timing.interval * STARTUP_INTERVALS
        if slice_number and is_starting:
            self.send_heartbeats(previous_names & self.linked_names)

    def send_heartbeats(self, excluded_names: frozenset[str] = frozenset()) -> None:
        """Send a heartbeat to each member not excluded and to each seed not yet known."""
        heartbeat_round, own_address = self._begin_round(), self.node.me.address
        addresses, find_state = self.roster.addresses, self.peer_states.get
        send_datagram = self.node.runtime.datagram
        sent_count = sent_bytes = 0
        members = self.roster.members
        sizes_by_zone: dict[str, list[int]] = {}
        for address, names in addresses.items():
            if address != own_address and not excluded_names.issuperset(names):
                state = find_state(names[0]) if len(names) == 1 else self._latest_state(names)
                data = heartbeat_round.encode_for(state)
                send_datagram(address, data)
                sent_count += 1
                sent_bytes += len(data)
                sizes_by_zone.setdefault(members[names[0]].zone, []).append(len(data))
        self._count_sent(sent_count, sent_bytes)
        for zone, sizes in sizes_by_zone.items():
            self.node.traffic.record(HEARTBEAT, zone, sum(sizes), len(sizes))
        for address in dict.fromkeys(self.seeds):
            if address != own_address and address not in addresses:
                self._send_heartbeat(address, heartbeat_round, None)

    def _latest_state(self, names: list[str]) -> PeerState | None:
        """Return the state with the latest heartbeat among the names that share an address."""
        return max(
            [self.peer_states[name] for name in names if name in self.peer_states],
            key=lambda state: state.heard_at,
            default=None,
        )

    def _begin_round(self) -> HeartbeatRound:
        """Start a round: assign its number, and drop send times too old to be echoed."""
        me, roster, now = self.node.me, self.roster, self.node.now()
        self.heartbeat_sequence += 1
        oldest_time = now - max(
            self.node.bounds.propagation * SENT_AT_RETENTION_PROPAGATIONS,
            self.timing.link_timeout * SENT_AT_RETENTION_LINK_TIMEOUTS,
        )
        self.sent_at_by_sequence = {
            sequence: sent_at
            for sequence, sent_at in self.sent_at_by_sequence.items()
            if sent_at > oldest_time
        }
        self.sent_at_by_sequence[self.heartbeat_sequence] = now
        bitmap = roster.to_bitmap(self.reached_names())
        content = (me, roster.digest, bitmap)
        if self.content != content:
            self.content, self.content_sequence = content, self.heartbeat_sequence
        return HeartbeatRound(
            me,
            self.heartbeat_sequence,
            self.content_sequence,
            roster.digest,
            bitmap,
            self.stamp_source(),
            self.versions,
            now - self.timing.link_timeout,
        )

    def _send_heartbeat(
        self, address: Address, heartbeat_round: HeartbeatRound, state: PeerState | None
    ) -> None:
        """Send the round's heartbeat to an address, for the member with this state if any."""
        data = heartbeat_round.encode_for(state)
        self._count_sent(1, len(data))
        self.node.runtime.datagram(address, data)

    def _count_sent(self, heartbeat_count: int, byte_count: int) -> None:
        """Add to the counters of sent heartbeats and of their bytes."""
        self.node.count("beats_sent", heartbeat_count)
        self.node.count("beat_bytes", byte_count)

    def on_datagram(self, data: bytes) -> None:
        """Process a received heartbeat; count and drop a malformed datagram."""
        try:
            heartbeat = Heartbeat(data, self.versions, self.known_roster.members)
        except BadWire as error:
            self.node.count("bad_datagrams")
            self.node.count("other_versions", error.detail["reason"] == "version")
            return
        if heartbeat.name == self.node.me.name:
            return
        state = previous_state = self.peer_states.get(heartbeat.name)
        is_known = state is not None and state.incarnation == heartbeat.incarnation
        if state is None or not is_known or heartbeat.sequence <= state.sequence:
            if not self._is_newer_incarnation(heartbeat, state):
                return
            state = self.peer_states[heartbeat.name] = PeerState(heartbeat)
        self._apply_heartbeat(state, heartbeat)
        if (
            not is_known
            and heartbeat.member is not None
            and (
                previous_state is not None
                or self.timing.interval > self.node.bounds.heartbeat_interval
            )
        ):
            self._send_heartbeat(heartbeat.member.address, self._begin_round(), state)

    def _is_newer_incarnation(self, heartbeat: Heartbeat, state: PeerState | None) -> bool:
        """Return whether a heartbeat that doesn't follow the last one is of a newer incarnation.

        Notifies a process whose name clashes with a member's, and one whose clock was set back.
        """
        member = heartbeat.member
        if member is None:
            self.node.count("unread_beats")
            return False
        if is_name_clash(self, member, state):
            self.node.count("identity_clashes")
            self.send_direct(member, heartbeat.version, "member.clash", None)
            return False
        if state is None or heartbeat.incarnation > state.incarnation:
            return True
        if heartbeat.version > 1 and not self.has_recent_heartbeat(state):
            self.send_direct(member, heartbeat.version, "member.former", state.incarnation)
        return False

    def _apply_heartbeat(self, state: PeerState, heartbeat: Heartbeat) -> None:
        """Update a peer's state from its heartbeat; a new link is in the graph within a slice."""
        now = self.node.now()
        state.heard_at, state.sequence, state.stamp = now, heartbeat.sequence, heartbeat.stamp
        state.is_refused = False
        state.version = max(state.version, heartbeat.version)
        state.reads_terse = heartbeat.reads_terse
        echoed_sequence = heartbeat.echoed_sequence
        if echoed_sequence is not None and heartbeat.echoed_incarnation == self.node.me.incarnation:
            state.acknowledged_sequence = echoed_sequence
            state.echoed_at = self.sent_at_by_sequence.get(echoed_sequence, state.echoed_at)
        else:
            state.acknowledged_sequence = 0
        if heartbeat.member is not None:
            self._apply_full_content(state, heartbeat, heartbeat.member)
        if state.digest != self.known_roster.digest:
            self._start_anti_entropy(heartbeat.name)
        if (
            state.echoed_at is not None
            and self.graph.hops(heartbeat.name) != 1
            and state.echoed_at > now - self.timing.link_timeout - self.timing.interval
        ):
            self._include_new_link(now)

    def _apply_full_content(self, state: PeerState, heartbeat: Heartbeat, member: Member) -> None:
        """Update the member and its row from the record and bitmap of a full heartbeat."""
        if member is not self.known_roster.members.get(member.name):
            self.learn(member)
        if (
            heartbeat.bitmap is not None
            and heartbeat.digest is not None
            and self.store_bitmap(state, heartbeat.digest, heartbeat.bitmap)
        ):
            self.is_graph_stale = True

    def _start_anti_entropy(self, name: str) -> None:
        """Call `on_unknown_roster`, at most ANTI_ENTROPY_STARTS_PER_SLICE times per slice."""
        if self.anti_entropy_count < ANTI_ENTROPY_STARTS_PER_SLICE:
            self.anti_entropy_count += 1
            self.on_unknown_roster(name)

    def _include_new_link(self, now: float) -> None:
        """Recompute the graph for a new link, at most once per slice."""
        self.is_graph_stale = True
        slice_seconds = self.timing.interval / SLICES_PER_INTERVAL
        if self.refreshed_at is None or now - self.refreshed_at >= slice_seconds:
            self.refresh()

    def on_refused(self, address: Address) -> None:
        """Drop the links to the members at an address that refused a connection.

        No process listens there any more. The members count as unreachable, as after missed
        heartbeats, until their next heartbeat. The other members are notified at once, unless the
        heartbeat interval is lengthened for the size of the fleet.
        """
        if not self.mark_refused(address):
            return
        self.node.count("refused_links")
        self.refresh()
        if self.timing.interval <= self.node.bounds.heartbeat_interval:
            self.send_heartbeats()

    def refresh(self) -> None:
        """Recompute the graph if its inputs changed; notify the listeners if its links changed."""
        roster, me = self.roster, self.node.me.name
        self.anti_entropy_count = 0
        reached_names = self.reached_names()
        reporter_names = self._names_with_fresh_rows(roster.positions)
        graph_inputs = (reached_names, reporter_names)
        if not self.is_graph_stale and graph_inputs == self.graph_inputs:
            return
        self.graph_inputs, self.is_graph_stale = graph_inputs, False
        self.refreshed_at = self.node.now()
        permutations = BitPermutations(roster.positions)
        rows = {name: self.peer_states[name].reordered_row(permutations) for name in reporter_names}
        rows[me] = roster.from_bitmap(roster.to_bitmap(reached_names))
        self.node.count("graph_makings")
        self._replace_graph(Graph.of_bits(me, roster.names, roster.positions, rows))

    def _names_with_fresh_rows(self, positions: dict[str, int]) -> frozenset[str]:
        """Return the names in the roster with a row and a heartbeat within the link timeout."""
        heard_cutoff = self.node.now() - self.timing.link_timeout
        return frozenset(
            [
                name
                for name, state in self.peer_states.items()
                if state.roster is not None
                and state.heard_at > heard_cutoff
                and not state.is_refused
                and name in positions
            ]
        )

    def _replace_graph(self, new_graph: Graph) -> None:
        """Adopt a graph with other links: reset connections to lost neighbours, call listeners."""
        previous_graph = self.graph
        if new_graph.has_same_links(previous_graph):
            return
        lost_names = previous_graph.neighbours() - new_graph.neighbours()
        for member in map(self.known_roster.members.get, sorted(lost_names)):
            if member is not None:
                self.node.runtime.reset(member.address)
        self.graph = new_graph
        self.node.count("graph_changes")
        for listener in self.listeners:
            listener(new_graph)

    def bridge_nodes(self) -> tuple[str, ...]:
        """Return the live nodes with a direct link to every other live node (listing 5.1)."""
        return self.graph.bridge_nodes()

    def sides(self) -> tuple[tuple[str, ...], ...]:
        """Return the groups of live nodes on each side of the current partial partition."""
        return self.graph.sides()
