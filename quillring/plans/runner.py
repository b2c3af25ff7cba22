"""Runs confirmed plans: the leader of the config part executes their steps in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import QuillringError
from quillring.kernel.registry import Registry
from quillring.plans.messages import RUNNING, CompleteStep, StoredPlan, WaitStep
from quillring.quorum.parts import CONFIG_PART

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.leader.part_leader import PartLeader

CONDITIONS = Registry("condition")


@CONDITIONS.entry("domain_idle")
def is_zone_idle(node: Node, zone: str) -> Coroutine:
    """Return whether the zone is idle.

    Its replicas have no request in flight, and its nodes neither run nor queue requests nor lead
    parts. Stores do not count.

    An unreachable node counts as busy until it has been silent for `bounds.recovery` seconds.
    """
    heartbeats = node.find("gossip").values_with_prefix("replica/").values()
    if any(
        heartbeat["domain"] == zone
        and heartbeat.get("busy")
        and heartbeat["state"] != "gone"
        and node.find("replicas").is_alive(heartbeat["name"])
        for heartbeat in heartbeats
    ):
        return False
    nifty = node.find("nifty")
    names = [
        m.name
        for m in nifty.roster.members.values()
        if m.zone == zone
        and m.role != "store"
        and (nifty.reaches(m.name) or not nifty.is_silent(m.name, node.bounds.recovery))
    ]
    replies = yield from node.gather([(name, "node.busy", None) for name in names], len(names))
    return not any(isinstance(reply, QuillringError) or reply for reply in replies.values())


def count_busy(node: Node) -> int:
    """Return the number of requests running or queued at a node, plus the parts that it leads."""
    dispatch, leaders = node.find("dispatch"), node.find("ownership").leaders.values()
    requests = len(dispatch.leases) + len(dispatch.queue) if dispatch is not None else 0
    led_parts = sum(1 for leader in leaders if leader.is_leader)
    return requests + led_parts


@CONDITIONS.entry("store_unused")
def is_store_unused(node: Node, store: str) -> Coroutine:
    """Return whether the store is a member of no part."""
    ownership = node.find("ownership")
    members = [member for part in ownership.parts() for member in ownership.group(part)]
    return not any(member.name == store for member in members)
    yield  # Unreachable; makes this function a generator, like every condition.


class PlanRunner:
    """Executes confirmed plans while this core leads the config part with a valid lease."""

    __slots__ = ("node",)

    def __init__(self, node: Node) -> None:
        self.node = node

    def run(self) -> Coroutine:
        """Attempt the next step of every running plan once per heartbeat interval, without end."""
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval)
            leader = self.node.find("ownership").leaders.get(CONFIG_PART)
            if leader is None or not leader.has_lease():
                continue
            for name, plan in list(leader.state.get("plans", {}).items()):
                if plan["phase"] == RUNNING:
                    yield from self._run_step(leader, name, plan)

    def _run_step(self, leader: PartLeader, name: str, fields: WireMap) -> Coroutine:
        """Complete a plan's next step unless it waits for a condition that is false; log errors."""
        plan = StoredPlan.from_state(fields)
        step = plan.step(plan.done_steps)
        if isinstance(step, WaitStep):
            is_met = yield from CONDITIONS.find(step.condition)(self.node, step.target)
            if not is_met:
                return
        try:
            yield from leader.submit(CompleteStep(name, plan.done_steps).to_wire())
        except QuillringError as error:
            self.node.log("warning", "plan %s: step %s: %s", name, plan.done_steps, error)
