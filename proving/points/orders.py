"""Scenarios about operators' orders: delayed copies, concurrent orders, an isolated core."""

from unittest import mock

from proving.points.configuration import adopt
from proving.points.scenario_fleet import ScenarioFleet, no_check
from quillring.kernel.errors import Conflict, NotLeader
from quillring.ownership import Ownership
from quillring.ownership.part_client import PartClient
from quillring.quorum.leader.part_leader import PartLeader
from quillring.rollout import operator_orders, orders
from quillring.rollout.messages import ZoneOrder
from quillring.rollout.operator_orders import retire_store
from quillring.rollout.orders import submit_order

FAULT_SECONDS = 20
ATTEMPT_TIMEOUT_SECONDS = 0.8


def order_zone(fleet, node_name, zone, is_drained):
    """Order a zone emptied or filled again, through one node; return (answer, error)."""
    node, order = fleet.node(node_name), ZoneOrder(zone, is_drained, includes_nodes=False)
    coroutine = submit_order(node, order, ATTEMPT_TIMEOUT_SECONDS)
    return fleet.finish(fleet.start(fleet.sim.run_coroutine(node, coroutine)))


def order_until_acknowledged(fleet, zone, is_drained, names):
    """Send an order through one node after another; return whether one was acknowledged."""
    for number in range(12):
        answer, _ = order_zone(fleet, names[number % len(names)], zone, is_drained)
        if answer:
            return True
        fleet.run(0.3)
    return False


def owner_name_of(fleet, part="config"):
    """Return the name of the core that owns a part."""
    return fleet.node("edge-1").find("gossip").get(f"owner/{part}")["owner"]


class DelayedFrames:
    """Delays the frames that one node sends to another, as a slow relay would."""

    def __init__(self, fleet, sender_name, receiver_name):
        self.net = fleet.sim.net
        self.address_pair = (
            fleet.node(sender_name).me.address,
            fleet.node(receiver_name).me.address,
        )
        self.delayed = []
        self.real_carry = self.net.carry

    def carry(self, home, target, data, kind):
        """Store a frame of the pair until `release`, and deliver everything else at once."""
        if (home, target) == self.address_pair and kind == "frame":
            self.delayed.append(data)
        else:
            self.real_carry(home, target, data, kind)

    def release(self):
        """Deliver the delayed frames."""
        for data in self.delayed:
            self.real_carry(*self.address_pair, data, "frame")


def late_order(seed):
    """A copy of an order to empty a zone is delivered 20 s late, after the zone was filled again.

    The late copy must have no effect, and later orders must be accepted.
    """
    fleet = ScenarioFleet(seed)
    owner, zone = owner_name_of(fleet), fleet.sim.chance.choice(("north", "east", "south"))
    requester = next(name for name in fleet.sim.names("core") if name != owner)
    delayed = DelayedFrames(fleet, requester, owner)
    with mock.patch.object(fleet.sim.net, "carry", delayed.carry):
        answer, _ = order_zone(fleet, requester, zone, True)
        if answer:
            fleet.sim.history.violate("an order was acknowledged that reached no owner")
        others = [name for name in fleet.sim.names("core") if name != requester]
        acknowledged = [
            order_until_acknowledged(fleet, zone, is_drained, others)
            for is_drained in (True, False)
        ]
    if acknowledged != [True, True]:
        fleet.sim.history.violate(f"repeated orders were not acknowledged: {acknowledged}")
    fleet.run(FAULT_SECONDS)
    delayed.release()
    fleet.run(2)
    emptied = [n.me.name for n in fleet.sim.nodes.values() if n.find("layout").is_drained(zone)]
    if emptied:
        fleet.sim.history.violate(f"{zone} is emptied at {emptied} by the late order")
    if not order_until_acknowledged(fleet, zone, True, others):
        fleet.sim.history.violate("a new order after the late one was not acknowledged")
    return fleet.sim.history.violations, {"held": len(delayed.delayed)}


def two_retirements(seed):
    """Two operators retire two of four stores through two cores at once, and repeat the order.

    Exactly one may succeed, both times; the other must get a conflict.
    """
    fleet = ScenarioFleet(seed)
    stores = fleet.sim.chance.sample(fleet.sim.names("store"), 2)
    outcomes = {}
    for _ in range(2):
        tasks = {}
        for core, store in zip(("core-1", "core-2"), stores, strict=True):
            node = fleet.node(core)
            coroutine = retire_store(node, store, ATTEMPT_TIMEOUT_SECONDS)
            tasks[store] = fleet.start(fleet.sim.run_coroutine(node, coroutine))
        for store, task in tasks.items():
            outcomes.setdefault(store, []).append(fleet.finish(task)[1])
    acknowledged = [store for store, errors in outcomes.items() if None in errors]
    kinds = {store: [e and e.kind for e in errors] for store, errors in outcomes.items()}
    if len(acknowledged) != 1 or kinds[acknowledged[0]] != [None, None]:
        fleet.sim.history.violate(f"not exactly one retirement succeeded: {kinds}")
    if not all(
        isinstance(e, Conflict) for s, es in outcomes.items() for e in es if s not in acknowledged
    ):
        fleet.sim.history.violate(f"the other retirement got no conflict: {kinds}")
    return fleet.sim.history.violations, {"taken": len(acknowledged)}


def cut_off_core(seed):
    """The owner of the configuration is isolated for 20 s and frozen for the first 12 s of it.

    Operators still reach it, and change the configuration through the other cores meanwhile. The
    isolated core must answer no read and acknowledge no order.
    """
    fleet = ScenarioFleet(seed)
    core = owner_name_of(fleet)
    others = [name for name in fleet.sim.names("core") if name != core]
    direction = fleet.sim.chance.choice(("both", "in", "out"))
    far_names = [name for name in fleet.sim.nodes if name != core]
    homes, targets = (far_names, [core]) if direction == "in" else ([core], far_names)
    fleet.sim.cut(homes, targets, both_ways=direction == "both")
    acknowledged, answers = 0, []
    fleet.sim.freeze(core, FAULT_SECONDS * 0.6)
    end_time, thaw_time = fleet.env.now + FAULT_SECONDS, fleet.env.now + FAULT_SECONDS * 0.6
    while fleet.env.now < end_time:
        if fleet.env.now < thaw_time:
            adopted, _ = adopt(fleet, others[acknowledged % 2], {"domains": {"west": {}}})
            acknowledged += adopted is not None
            fleet.env.run(until=min(thaw_time, fleet.env.now + 0.5))
            continue
        answers.append(probe_node(fleet, core))
        fleet.run(0.1)
    fleet.sim.heal()
    fleet.run(4)
    slowest_seconds = max((seconds for _, _, seconds in answers), default=0)
    newest = fleet.node(others[0]).find("layout").version
    for read, ordered, _ in answers:
        if read is not None or ordered is not None:
            fleet.sim.history.violate(f"{core} answered {read}, {ordered}; newest is {newest}")
    if acknowledged < 4 or slowest_seconds > 1 or fleet.node(core).find("layout").version != newest:
        fleet.sim.history.violate(
            f"{acknowledged} changes acknowledged, slowest answer {slowest_seconds} s"
        )
    return fleet.sim.history.violations, {
        "taken": acknowledged,
        "asked": len(answers),
        "cut": direction,
    }


def probe_node(fleet, name):
    """Read the version and send an order at a node; return (version, answer, slowest seconds)."""
    node, start_time = fleet.node(name), fleet.env.now
    coroutine = node.find("ownership").read("config", {"ask": "version"}, ATTEMPT_TIMEOUT_SECONDS)
    read, _ = fleet.finish(fleet.start(fleet.sim.run_coroutine(node, coroutine)))
    read_seconds, start_time = fleet.env.now - start_time, fleet.env.now
    ordered, _ = order_zone(fleet, name, "north", True)
    seconds = max(read_seconds, fleet.env.now - start_time)
    return read and read["version"], ordered, round(seconds, 2)


def unfenced_state(self):
    """Replaces the guard: an owner answers without a majority's confirmation of its ballot."""
    return self.state
    yield


def former_owner(self, part):
    """Replaces the guard: any core that ever owned the part answers for it."""
    if part not in self.leaders:
        raise NotLeader(part=part)
    return self.leaders[part]


def never_hopeless(self, part):
    """Replaces the guard: a call is tried even if no majority is reachable."""


def no_last_order(state, section, name):
    """Replaces the guard: no last order is known, so a late copy of an earlier one is applied."""
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
