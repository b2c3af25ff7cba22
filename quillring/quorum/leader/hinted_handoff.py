"""Hinted handoff, the sending side: a spare store keeps what a missing member should have had."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.nifty.graph import score
from quillring.quorum.retirement_orders import is_retirement_ordered

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.quorum.parts import Call


def send_hints(node: Node, part: str, calls: list[Call]) -> None:
    """Send the accept calls of unreachable members to the part's spare store, as hints.

    `calls` go to all members of the group, so that none of them is chosen as the spare.
    """
    nifty = node.find("nifty")
    missing = [call for call in calls if not nifty.reaches(call[0])]
    if not missing:
        return
    member_names = {name for name, _, _ in calls}
    spares: list[str] = [
        m.name
        for m in nifty.roster.members.values()
        if m.role == "store"
        and m.name not in member_names
        and nifty.reaches(m.name)
        and not is_retirement_ordered(node, m.name)
    ]
    if not spares:
        return
    spare_name = max(spares, key=lambda name: score(part, name))
    for target, _, body in missing:
        node.count("hints_sent")
        node.send_oneway(spare_name, "quorum.hint", {"for": target, "record": body})
