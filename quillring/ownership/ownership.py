"""The leaders of all parts as known to one node and, on a core, its own terms as leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Fenced, NotFounded, NotLeader
from quillring.kernel.records import NamedTuple
from quillring.ownership.candidates import order_candidates
from quillring.ownership.elections import Elections
from quillring.ownership.leadership_backoff import LeadershipBackoff
from quillring.ownership.leadership_transfer import LeadershipTransfer
from quillring.ownership.messages import (
    GROUP_STATUS,
    LEADERSHIP_OFFER,
    LEADERSHIP_STATUS,
    READ,
    SUBMIT,
    GroupStatusRequest,
    LeaderRecord,
    LeadershipOffer,
    LeadershipStatus,
    ReadRequest,
    SubmitRequest,
)
from quillring.ownership.part_client import PartClient
from quillring.quorum.commands import QUERIES
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.leader.retirement_check import group_status
from quillring.quorum.parts import GROUP_SIZE
from quillring.quorum.values import group_from_wire

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from quillring.kernel.errors import QuillringError
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.values import Group, WireGroup

    LeaderListener = Callable[[PartLeader, list[WireMap]], None]
    SubmitCheck = Callable[[PartLeader, WireMap], None]


class DecodedGroup(NamedTuple):
    """A group in wire form and decoded; cached, as every call to a part needs it."""

    wire_group: WireGroup
    group: Group


class Ownership:
    """The directory of the parts, the client that calls their leaders, and this core's own terms.

    `leaders` has, by part, this core's newest term as leader or candidate. `leader_listeners` are
    called with a leader and the commands of each entry that it applies, and with an empty list when
    a term begins or ends. `submit_checks` are called before a command is queued and may raise an
    error to reject it.
    """

    __slots__ = (
        "node",
        "client",
        "leaders",
        "leader_listeners",
        "submit_checks",
        "backoff",
        "elections",
        "leadership_transfer",
        "decoded_groups",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.client = PartClient(node, self)
        self.leaders: dict[str, PartLeader] = {}
        self.leader_listeners: list[LeaderListener] = []
        self.submit_checks: list[SubmitCheck] = []
        self.backoff = LeadershipBackoff(node)
        self.elections = Elections(node, self)
        self.leadership_transfer = LeadershipTransfer(node, self)
        self.decoded_groups: dict[str, DecodedGroup] = {}
        if node.me.role == "core":
            node.handle(SUBMIT, self.on_submit)
            node.handle(READ, self.on_read)
            node.handle(GROUP_STATUS, self.on_group_status)
            node.handle(LEADERSHIP_OFFER, self.on_leadership_offer)
            node.handle(LEADERSHIP_STATUS, self.on_status)
            self.leadership_transfer.register_services()
            self.elections.subscribe_to_changes()

    def submit(self, part: str, command: WireMap, seconds: float | None = None) -> Coroutine:
        """Commit a command in a part, on whichever core leads it; see `PartClient.submit`."""
        return self.client.submit(part, command, seconds)

    def read(self, part: str, query: WireMap, seconds: float | None = None) -> Coroutine:
        """Read a part's state; see `PartClient.read`."""
        return self.client.read(part, query, seconds)

    def call_leader(
        self, part: str, service: str, body: WireMap, seconds: float | None
    ) -> Coroutine:
        """Call a service of the core that leads a part; see `PartClient.call_leader`."""
        return self.client.call_leader(part, service, body, seconds)

    def why_unavailable(self, part: str) -> QuillringError | None:
        """Return why no reachable core can lead the part, or None; see `PartClient`."""
        return self.client.why_unavailable(part)

    def known_leader(self, part: str) -> str | None:
        """Return the core that leads a part by the newest gossip received, or None."""
        return self.client.known_leader(part)

    def founding(self) -> WireMap:
        """Return the founding record, or raise NotFounded."""
        record: WireMap | None = self.node.find("gossip").get("founding")
        if record is None:
            raise NotFounded()
        return record

    def parts(self) -> list[str]:
        """Return the names of all parts."""
        return sorted(self.founding()["groups"])

    def group(self, part: str) -> Group:
        """Return the stores of a part from the newest gossip or, without any, the founding record.

        Raises NotFounded if neither is known.
        """
        gossiped_group = self.node.find("gossip").get(f"group/{part}")
        wire_group = gossiped_group or self.founding()["groups"][part]
        decoded = self.decoded_groups.get(part)
        if decoded is None or decoded.wire_group is not wire_group:
            decoded = DecodedGroup(wire_group, group_from_wire(wire_group))
            self.decoded_groups[part] = decoded
        return decoded.group

    def stores_per_part(self) -> int:
        """Return the number of stores in the complete group of a part."""
        size: int = self.founding().get("size", GROUP_SIZE)
        return size

    def cores(self) -> list[str]:
        """Return the names of all core nodes of the roster."""
        members = self.node.find("nifty").roster.members.values()
        return sorted(member.name for member in members if member.role == "core")

    def candidates(self, part: str) -> list[str]:
        """Return the reachable cores, ranked by preference as leader of the part."""
        cores = self.cores()
        leaving_names = {name for name in cores if self.is_leaving(name)}
        backing_off_names = {name for name in cores if self.backoff.is_backing_off(name)}
        graph = self.node.find("nifty").graph
        return order_candidates(part, cores, graph, leaving_names, backing_off_names)

    def is_leaving(self, name: str) -> bool:
        """Return whether a member or its zone is draining, so that the member gets no new work."""
        member = self.node.find("nifty").roster.members.get(name)
        if member is None:
            return False
        if self.node.find("gossip").get(f"draining/{name}") == member.incarnation:
            return True
        return bool(self.node.find("layout").is_zone_draining(member.zone))

    def declines_leadership(self, name: str) -> bool:
        """Return whether a core is leaving or backs off; other cores should then lead its parts."""
        return self.is_leaving(name) or self.backoff.is_backing_off(name)

    def announce_drain(self) -> None:
        """Announce by gossip that the current incarnation of this node is draining."""
        me = self.node.me
        self.node.find("gossip").publish(f"draining/{me.name}", [me.incarnation], me.incarnation)

    def run(self) -> Coroutine:
        """Run the elections of this core; for cores only. Never returns."""
        return self.elections.run()

    def new_leader(self, part: str) -> PartLeader:
        """Create a new term of this core in a part, with the previous one's state and ballot."""
        previous = self.leaders.get(part)
        leader = self.leaders[part] = PartLeader(self.node, part, self.group(part), previous)
        leader.listeners.extend([*self.leader_listeners, self._publish_leader])
        return leader

    def _publish_leader(self, leader: PartLeader, batch: list[WireMap]) -> None:
        """Publish by gossip which core leads the part and which stores replicate it."""
        if not leader.is_leader or leader.state is None:
            return
        gossip, part = self.node.find("gossip"), leader.part
        record = LeaderRecord(self.node.me.name, list(leader.ballot))
        gossip.publish(f"owner/{part}", leader.ballot, record.to_wire())
        if gossip.get(f"group/{part}") != leader.state["group"]:
            gossip.publish(f"group/{part}", [leader.index], leader.state["group"])

    def on_submit(self, body: WireMap, origin: str) -> Coroutine:
        """Commit a command in a part that this core leads.

        Raises NotLeader, or the error of a submit check.
        """
        request = SubmitRequest.from_wire(body)
        leader = self._leader(request.part)
        for check in self.submit_checks:
            check(leader, request.command)
        return leader.submit(request.command)

    def on_read(self, body: WireMap, origin: str) -> Coroutine:
        """Answer a query from a part that this core leads, after a majority confirmed its ballot.

        Raises NotLeader, Fenced, NoMajority, or the query's own error.
        """
        request = ReadRequest.from_wire(body)
        state = yield from self._leader(request.part).linearizable_state()
        answer_query = QUERIES.find(request.query["ask"])
        return answer_query(state, request.query)

    def on_group_status(self, body: WireMap, origin: str) -> Coroutine:
        """Return the GroupStatus of a part that this core leads; raises NotLeader."""
        leader = self._leader(GroupStatusRequest.from_wire(body).part)
        status = yield from group_status(leader)
        return status.to_wire()

    def on_status(self, body: Any, origin: str) -> WireMap:
        """Return the LeadershipStatus of each part in which this core had a term."""
        return {
            part: LeadershipStatus.of_leader(leader).to_wire()
            for part, leader in self.leaders.items()
        }

    def on_leadership_offer(self, body: str, origin: str) -> Coroutine:
        """Review the parts at once, as the leader of one stepped down in favour of this core.

        If this core regards itself as the leader already, its ballot is confirmed first, and the
        term ends if the ballot is fenced.
        """
        leader = self.leaders.get(LeadershipOffer.from_wire(body).part)
        if leader is not None and leader.is_leader:
            try:
                yield from leader.linearizable_state()
            except Fenced as error:
                leader.step_down(error)
        self.elections.wake()

    def _leader(self, part: str) -> PartLeader:
        """Return this core's term that leads a part, or raise NotLeader."""
        leader = self.leaders.get(part)
        if leader is None or not leader.is_leader:
            raise NotLeader(part=part)
        return leader
