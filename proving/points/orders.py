"""Scenarios about operators' orders: late copies, several at once, a machine that is cut off."""

from unittest import mock

from proving.points.configuration import adopt
from proving.points.scenario_fleet import Stage, no_check
from quillring.kernel.errors import Conflict, NotLeader
from quillring.ownership import Ownership
from quillring.ownership.part_client import PartClient
from quillring.quorum.leader.part_leader import PartLeader
from quillring.rollout import operator_orders, orders
from quillring.rollout.messages import OrderZone
from quillring.rollout.operator_orders import retire_store
from quillring.rollout.orders import submit_order

HELD_SECONDS = 20
TRY_SECONDS = 0.8


def order_zone(stage, node_name, zone, is_emptied):
    """An operator orders a zone emptied or filled at a node; return (answer, error)."""
    node, order = stage.node(node_name), OrderZone(zone, is_emptied, includes_nodes=False)
    coroutine = submit_order(node, order, TRY_SECONDS)
    return stage.finish(stage.start(stage.sim.run_coroutine(node, coroutine)))


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
            coroutine = retire_store(node, store, TRY_SECONDS)
            tasks[store] = stage.start(stage.sim.run_coroutine(node, coroutine))
        for store, task in tasks.items():
            outcomes.setdefault(store, []).append(stage.finish(task)[1])
    taken = [store for store, errors in outcomes.items() if None in errors]
    kinds = {store: [e and e.kind for e in errors] for store, errors in outcomes.items()}
    if len(taken) != 1 or kinds[taken[0]] != [None, None]:
        stage.sim.history.violate(f"of two retirements {kinds}")
    if not all(isinstance(e, Conflict) for s, es in outcomes.items() for e in es if s not in taken):
        stage.sim.history.violate(f"the other one got {kinds}")
    return stage.sim.history.violations, {"taken": len(taken)}


def cut_off_core(seed):
    """The owner of the configuration is cut off for 20 s and frozen for a part of that.

    Operators reach it all the while, and change the configuration elsewhere.
    """
    stage = Stage(seed)
    core = owner_of(stage)
    others = [name for name in stage.sim.names("core") if name != core]
    direction = stage.sim.chance.choice(("both", "in", "out"))
    far_names = [name for name in stage.sim.nodes if name != core]
    homes, targets = (far_names, [core]) if direction == "in" else ([core], far_names)
    stage.sim.cut(homes, targets, both_ways=direction == "both")
    taken, answers = 0, []
    stage.sim.freeze(core, HELD_SECONDS * 0.6)
    end_time, thaw_time = stage.env.now + HELD_SECONDS, stage.env.now + HELD_SECONDS * 0.6
    while stage.env.now < end_time:
        if stage.env.now < thaw_time:
            adopted, _ = adopt(stage, others[taken % 2], {"domains": {"west": {}}})
            taken += adopted is not None
            stage.env.run(until=min(thaw_time, stage.env.now + 0.5))
            continue
        answers.append(ask_once(stage, core))
        stage.run(0.1)
    stage.sim.heal()
    stage.run(4)
    late = max((seconds for _, _, seconds in answers), default=0)
    newest = stage.node(others[0]).find("layout").version
    for read, ordered, _ in answers:
        if read is not None or ordered is not None:
            stage.sim.history.violate(f"{core} answered {read}, {ordered}; newest is {newest}")
    if taken < 4 or late > 1 or stage.node(core).find("layout").version != newest:
        stage.sim.history.violate(f"{taken} changes taken, slowest answer {late}")
    return stage.sim.history.violations, {"taken": taken, "asked": len(answers), "cut": direction}


def ask_once(stage, name):
    """An operator reads the version at a node and orders there; (version, answer, slowest s)."""
    node, start_time = stage.node(name), stage.env.now
    coroutine = node.find("ownership").read("config", {"ask": "version"}, TRY_SECONDS)
    read, _ = stage.finish(stage.start(stage.sim.run_coroutine(node, coroutine)))
    read_seconds, start_time = stage.env.now - start_time, stage.env.now
    ordered, _ = order_zone(stage, name, "north", True)
    seconds = max(read_seconds, stage.env.now - start_time)
    return read and read["version"], ordered, round(seconds, 2)


def unfenced_state(self):
    """Stand-in for the guard: an owner answers from its memory without asking its stores."""
    return self.state
    yield


def former_owner(self, part):
    """Stand-in for the guard: whoever owned the part once answers for it."""
    if part not in self.leaders:
        raise NotLeader(part=part)
    return self.leaders[part]


def never_hopeless(self, part):
    """Stand-in for the guard: a core that reaches nobody still tries."""


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
        [(operator_orders, "check_remaining", no_check)],
    ),
    (
        "a core cut off for 20 s hands out and confirms nothing",
        cut_off_core,
        [
            (PartLeader, "linearizable_state", unfenced_state),
            (Ownership, "_leader", former_owner),
            (PartClient, "why_unavailable", never_hopeless),
        ],
    ),
]
