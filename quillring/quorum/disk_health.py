"""Gossip of disk failures, so that leaders replace the stores whose disk writes fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.store import CheckpointedLog


class DiskReport(NamedTuple):
    """A store's report about its own disk; it is valid only for the given incarnation."""

    incarnation: int
    is_failing: bool

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> DiskReport:
        """Read the report from its wire form."""
        incarnation, is_failing = fields
        return cls(incarnation, is_failing)

    def to_wire(self) -> list[Any]:
        """Return the report in its wire form."""
        return [self.incarnation, self.is_failing]


class DiskHealth:
    """Publishes a report when this store's disk begins to fail, and when it has recovered.

    Owns the gossip key `disk/<store>`.
    """

    __slots__ = ("node", "log", "is_failing", "sequence")

    def __init__(self, node: Node, log: CheckpointedLog) -> None:
        self.node = node
        self.log = log
        self.is_failing = False
        self.sequence = 0

    def run(self) -> Coroutine:
        """Check the disk twice per heartbeat interval and publish each change; never returns."""
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval / 2)
            is_failing = self.log.error is not None
            if is_failing != self.is_failing:
                self.is_failing = is_failing
                self._publish()

    def _publish(self) -> None:
        """Log the state of this store's disk and publish it by gossip."""
        self.sequence += 1
        me = self.node.me
        self.node.log(
            "warning", "disk of store %s: %s", me.name, self.log.error or "writes succeed again"
        )
        report = DiskReport(me.incarnation, self.is_failing)
        version = [me.incarnation, self.sequence]
        self.node.find("gossip").publish(f"disk/{me.name}", version, report.to_wire())


def is_disk_failing(node: Node, name: str) -> bool:
    """Return whether a store reported a failing disk under its current incarnation."""
    report_fields = node.find("gossip").get(f"disk/{name}")
    member = node.find("nifty").roster.members.get(name)
    if report_fields is None or member is None:
        return False
    report = DiskReport.from_wire(report_fields)
    return report.is_failing and report.incarnation == member.incarnation
