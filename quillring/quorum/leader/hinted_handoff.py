"""Hinted handoff, leader side: requests for unreachable members are sent to a spare store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.nifty.graph import rendezvous_score
from quillring.quorum.messages import HintRequest
from quillring.quorum.retirement_orders import is_retirement_ordered

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.quorum.leader.quorum_call import QuorumCaller, RequestType


def send_hints(caller: QuorumCaller, request_type: RequestType, **fields: Any) -> None:
    """Send the request for each unreachable member to the part's spare store, without a reply.

    Does nothing if every member is reachable, or if there is no spare store.
    """
    node, reaches = caller.node, caller.node.find("nifty").reaches
    unreachable = [member for member in caller.group if not reaches(member.name)]
    if not unreachable:
        return
    spare_name = pick_spare(node, caller.part, {member.name for member in caller.group})
    if spare_name is None:
        return
    for member in unreachable:
        target, _, body = caller.call_to(member, request_type, **fields)
        node.count("hints_sent")
        node.send_oneway(spare_name, "quorum.hint", HintRequest(target, body).to_wire())


def pick_spare(node: Node, part: str, member_names: set[str]) -> str | None:
    """Return the name of the reachable non-member store that stores a part's hints, or None.

    It is picked by rendezvous hashing among the stores that are not ordered to retire.
    """
    nifty = node.find("nifty")
    spares: list[str] = [
        m.name
        for m in nifty.roster.members.values()
        if m.role == "store"
        and m.name not in member_names
        and nifty.reaches(m.name)
        and not is_retirement_ordered(node, m.name)
    ]
    return max(spares, default=None, key=lambda name: rendezvous_score(part, name))
