"""Hinted handoff, the sending side: a spare store keeps what a missing member should have had."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.nifty.graph import score
from quillring.quorum.retirement_orders import is_retirement_ordered

if TYPE_CHECKING:
    from quillring.quorum.leader.part_leader import PartLeader
    from quillring.quorum.parts import Call


def send_hints(owner: PartLeader, calls: list[Call]) -> None:
    """Send the accept calls of unreachable acceptors to the part's spare store."""
    nifty = owner.node.find("nifty")
    missing = [call for call in calls if not nifty.reaches(call[0])]
    if not missing:
        return
    group_names = {store[0] for store in owner.group}
    spares = [
        m.name
        for m in nifty.roster.members.values()
        if m.role == "store"
        and m.name not in group_names
        and nifty.reaches(m.name)
        and not is_retirement_ordered(owner.node, m.name)
    ]
    if not spares:
        return
    spare_name = max(spares, key=lambda name: score(owner.part, name))
    for target, _, body in missing:
        owner.node.count("hints_sent")
        owner.node.send_oneway(spare_name, "quorum.hint", {"for": target, "record": body})
