"""Running confirmed plans: the core that owns the config part does one step after another."""

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import QuillringError
from quillring.kernel.registry import Registry
from quillring.plans.commands import RUNNING
from quillring.quorum.parts import CONFIG

CONDITIONS = Registry("condition")


@CONDITIONS.entry("domain_idle")
def is_zone_idle(node, zone):
    """Coroutine: tell whether no replica and no node of the domain has anything under way.

    A node out of reach counts once it was silent for as long as service may be away.
    """
    beats = node.find("gossip").values_with_prefix("replica/").values()
    if any(
        beat["domain"] == zone
        and beat.get("busy")
        and beat["state"] != "gone"
        and node.find("replicas").is_alive(beat["name"])
        for beat in beats
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


def count_busy(node):
    """Return how much is under way at a node: inquiries run or waiting, parts owned."""
    dispatch, owners = node.find("dispatch"), node.find("ownership").leaders.values()
    requests = len(dispatch.leases) + len(dispatch.queue) if dispatch is not None else 0
    return requests + sum(owner.is_leader for owner in owners)


@CONDITIONS.entry("store_unused")
def is_store_unused(node, store):
    """Coroutine: tell whether no part has the store as a member."""
    ownership = node.find("ownership")
    return not any(store in [s[0] for s in ownership.group(part)] for part in ownership.parts())
    yield


class PlanRunner:
    """Looks after running plans while this core owns the config part under its fence."""

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node

    def run(self):
        """Coroutine: do the next step of every running plan."""
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval)
            owner = self.node.find("ownership").leaders.get(CONFIG)
            if owner is None or not owner.has_lease():
                continue
            for name, plan in list(owner.state.get("plans", {}).items()):
                if plan["phase"] == RUNNING:
                    yield from self._step(owner, name, plan)

    def _step(self, owner, name, plan):
        step = plan["steps"][plan["done"]]
        if step["do"] == "wait" and not (
            yield from CONDITIONS.find(step["until"])(self.node, step["target"])
        ):
            return
        try:
            yield from owner.submit({"do": "plan.step", "plan": name, "step": plan["done"]})
        except QuillringError as error:
            self.node.log("warning", "plan %s: %s", name, error)
