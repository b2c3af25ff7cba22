"""Running confirmed plans: the core that owns the config part does one step after another."""

from quillring.kernel.effects import Sleep
from quillring.kernel.registry import Registry
from quillring.kernel.troubles import Trouble
from quillring.plans.commands import RUNNING
from quillring.quorum.parts import CONFIG

CONDITIONS = Registry("condition")


@CONDITIONS.entry("domain_idle")
def is_domain_idle(node, domain):
    """Tell whether no replica of the domain has anything under way."""
    beats = node.find("gossip").under("replica/").values()
    return not any(
        beat["domain"] == domain and beat.get("busy") and beat["state"] != "gone"
        and node.find("replicas").is_heard(beat["name"])
        for beat in beats
    )


@CONDITIONS.entry("store_unused")
def is_store_unused(node, store):
    """Tell whether no part has the store as a member."""
    duty = node.find("duty")
    return not any(store in [s[0] for s in duty.group(part)] for part in duty.parts())


class PlanRunner:
    """Looks after running plans while this core owns the config part under its fence."""

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node

    def run(self):
        """Script: do the next step of every running plan."""
        while True:
            yield Sleep(self.node.bounds.beat)
            owner = self.node.find("duty").owners.get(CONFIG)
            if owner is None or not owner.may_act():
                continue
            for name, plan in list(owner.state.get("plans", {}).items()):
                if plan["phase"] == RUNNING:
                    yield from self._step(owner, name, plan)

    def _step(self, owner, name, plan):
        step = plan["steps"][plan["done"]]
        mustWait = step["do"] == "wait" and not CONDITIONS.find(step["until"])(
            self.node, step["target"])
        if mustWait:
            return
        try:
            yield from owner.submit({"do": "plan.step", "plan": name, "step": plan["done"]})
        except Trouble as trouble:
            self.node.log("warning", "plan %s: %s", name, trouble)
