"""The status of the parts, their leaders and elections, for display to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.errors import QuillringError
from quillring.kernel.records import NamedTuple
from quillring.ownership.messages import (
    LEADERSHIP_STATUS,
    LeaderRecord,
    ReportedStatus,
    statuses_from_wire,
)

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap


class PartStatus(NamedTuple):
    """A part with its stores, its leader by the newest gossip, and its newest election."""

    part: str
    stores: list[str]
    leader: LeaderRecord | None
    newest_election: ReportedStatus | None

    def to_json(self) -> WireMap:
        """Return the status in the form shown to operators."""
        leader, election = self.leader, self.newest_election
        return {
            "part": self.part,
            "group": self.stores,
            "owner": None if leader is None else leader.leader,
            "ballot": None if leader is None else leader.ballot,
            "takeover": None if election is None else election.fields,
        }


def newest_elections(node: Node) -> Coroutine:
    """Ask the reachable cores; return for each part the status with the highest ballot."""
    nifty = node.find("nifty")
    names = [name for name in node.find("ownership").cores() if nifty.reaches(name)]
    calls: list[tuple[str, str, Any]] = [(name, LEADERSHIP_STATUS, None) for name in names]
    replies = yield from node.gather(calls, len(calls), node.bounds.call_timeout)
    newest: dict[str, ReportedStatus] = {}
    for reply in replies.values():
        if isinstance(reply, QuillringError):
            continue
        for part, status in statuses_from_wire(reply).items():
            known = newest.get(part)
            if known is None or known.ballot < status.ballot:
                newest[part] = status
    return newest


def list_parts(node: Node) -> Coroutine:
    """Return the PartStatus of every part; raises NotFounded if no founding record is known."""
    ownership, gossip = node.find("ownership"), node.find("gossip")
    ownership.founding()
    elections = yield from newest_elections(node)
    rows = []
    for part in ownership.parts():
        stores = [store.name for store in ownership.group(part)]
        record = gossip.get(f"owner/{part}")
        leader = LeaderRecord.from_wire(record) if record else None
        rows.append(PartStatus(part, stores, leader, elections.get(part)))
    return rows
