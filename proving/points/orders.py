"""Scenarios about operators' orders: late copies, several at once, a machine that is cut off."""

from unittest import mock

from proving.points.base import Stage, no_check
from quillring.kernel.errors import Conflict
from quillring.rollout import marks, orders
from quillring.rollout.marks import retire_store
from quillring.rollout.orders import submit_order

HELD_SECONDS = 20
TRY_SECONDS = 0.8


def order_zone(stage, node_name, zone, is_emptied):
    """An operator orders a zone emptied or filled at a node; return (answer, error)."""
    command = {"do": "domain.mark", "domain": zone, "emptied": is_emptied, "nodes": False}
    node = stage.node(node_name)
    script = submit_order(node, command, TRY_SECONDS)
    return stage.finish(stage.start(stage.sim.run_script(node, script)))


def order_until_taken(stage, zone, is_emptied, names):
    """An operator sends an order to one node after another until it is acknowledged."""
    for number in range(12):
        answer, _ = order_zone(stage, names[number % len(names)], zone, is_emptied)
        if answer:
            return True
        stage.run(0.3)
    return False


def owner_of(stage, part="config"):
    """Return the name of the core that owns a part."""
    return stage.node("edge-1").find("gossip").get(f"owner/{part}")["owner"]


class HeldFrames:
    """A relay or socket that holds what one node sends to another, to be let go later."""

    def __init__(self, stage, home, target):
        self.net = stage.sim.net
        self.ends = (stage.node(home).me.address, stage.node(target).me.address)
        self.held = []
        self.real_carry = self.net.carry

    def carry(self, home, target, data, kind):
        """Hold a frame of the pair, carry everything else."""
        if (home, target) == self.ends and kind == "frame":
            self.held.append(data)
        else:
            self.real_carry(home, target, data, kind)

    def let_go(self):
        """Deliver all that was held."""
        for data in self.held:
            self.real_carry(*self.ends, data, "frame")


def late_order(seed):
    """A copy of an order to empty a zone is held for 20 s, and comes after the order's end."""
    stage = Stage(seed)
    owner, zone = owner_of(stage), stage.sim.chance.choice(("north", "east", "south"))
    asker = next(name for name in stage.sim.names("core") if name != owner)
    held = HeldFrames(stage, asker, owner)
    with mock.patch.object(stage.sim.net, "carry", held.carry):
        answer, _ = order_zone(stage, asker, zone, True)
        if answer:
            stage.sim.history.violate("an order was acknowledged that reached nobody")
        others = [name for name in stage.sim.names("core") if name != asker]
        taken = [order_until_taken(stage, zone, e, others) for e in (True, False)]
    if taken != [True, True]:
        stage.sim.history.violate(f"orders that were sent again were not taken: {taken}")
    stage.run(HELD_SECONDS)
    held.let_go()
    stage.run(2)
    emptied = [n.me.name for n in stage.sim.nodes.values() if n.find("layout").is_emptied(zone)]
    if emptied:
        stage.sim.history.violate(f"{zone} is empty at {emptied} after its end")
    if not order_until_taken(stage, zone, True, others):
        stage.sim.history.violate("a new order after the late one was not taken")
    return stage.sim.history.violations, {"held": len(held.held)}


def two_retirements(seed):
    """Two operators retire two of four stores at two cores in one moment, and ask again."""
    stage = Stage(seed)
    stores = stage.sim.chance.sample(stage.sim.names("store"), 2)
    outcomes = {}
    for _ in range(2):
        tasks = {}
        for core, store in zip(("core-1", "core-2"), stores, strict=True):
            node = stage.node(core)
            script = retire_store(node, store, TRY_SECONDS)
            tasks[store] = stage.start(stage.sim.run_script(node, script))
        for store, task in tasks.items():
            outcomes.setdefault(store, []).append(stage.finish(task)[1])
    taken = [store for store, errors in outcomes.items() if None in errors]
    kinds = {store: [e and e.kind for e in errors] for store, errors in outcomes.items()}
    if len(taken) != 1 or kinds[taken[0]] != [None, None]:
        stage.sim.history.violate(f"of two retirements {kinds}")
    if not all(isinstance(e, Conflict) for s, es in outcomes.items() for e in es if s not in taken):
        stage.sim.history.violate(f"the other one got {kinds}")
    return stage.sim.history.violations, {"taken": len(taken)}


def no_last_order(state, section, name):
    """Stand-in for the guard: no order is known to be the last."""
    return 0


POINTS = [
    (
        "an order held on its way for 20 s does nothing after its end",
        late_order,
        [(orders, "last_order", no_last_order)],
    ),
    (
        "two stores are not retired at once with too few left",
        two_retirements,
        [(marks, "check_remaining", no_check)],
    ),
]
