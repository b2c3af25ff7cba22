"""News of stores whose disks take nothing: owners replace them as they replace lost ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.store import SlotStore


class DiskHealth:
    """Tells all nodes when this store's disk begins to fail, and when it is well again."""

    __slots__ = ("node", "slots", "is_failing", "sequence")

    def __init__(self, node: Node, slots: SlotStore) -> None:
        self.node = node
        self.slots = slots
        self.is_failing = False
        self.sequence = 0

    def run(self) -> Coroutine:
        """Coroutine: look at the disk twice in a heartbeat period, and tell a change."""
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval / 2)
            is_failing = self.slots.error is not None
            if is_failing != self.is_failing:
                self.is_failing = is_failing
                self._tell()

    def _tell(self):
        self.sequence += 1
        me = self.node.me
        self.node.log("warning", "disk of %s: %s", me.name, self.slots.error or "takes data again")
        version, news = [me.incarnation, self.sequence], [me.incarnation, self.is_failing]
        self.node.find("gossip").publish(f"disk/{me.name}", version, news)


def is_disk_failing(node: Node, name: str) -> bool:
    """Tell whether a store's disk takes nothing, by its own word since its last start."""
    news = node.find("gossip").get(f"disk/{name}")
    member = node.find("nifty").roster.members.get(name)
    return news is not None and member is not None and news == [member.incarnation, True]
