"""Scenarios about members that are lost and replaced, and members that leave."""

from proving.points.configuration import adopt
from proving.points.partitions import traffic
from proving.points.scenario_fleet import Stage
from quillring.kernel.errors import TimedOut
from quillring.quorum.leader.membership_change import GroupChange
from quillring.quorum.leader.membership_repair import MembershipRepair
from quillring.quorum.leader.retirement_check import GroupStatus
from quillring.quorum.values import group_to_wire
from quillring.rollout.operator_orders import is_retired

SYNC_SECONDS = 5.0
PART = "part-1"


def quick_stage(seed, **options):
    """Return a stage whose lost stores are replaced within the sync bound."""
    stage = Stage(seed, **options)
    stage.sim.bounds.resync = SYNC_SECONDS
    return stage


def owner_of(stage, part):
    """Return the newest owner of a part on a running core, or None."""
    tables = [node.find("ownership").leaders for node in stage.sim.up_nodes("core")]
    owners = [table[part] for table in tables if part in table and table[part].is_leader]
    return max(owners, key=lambda owner: owner.ballot, default=None)


def members(stage, part):
    """Return the names of a part's stores as its owner knows them."""
    owner = owner_of(stage, part)
    return [store[0] for store in owner.group] if owner is not None else []


def wait_for(stage, is_so, seconds=15, step=0.005):
    """Let time pass until something is so; tell whether it came."""
    end_time = stage.env.now + seconds
    while not is_so() and stage.env.now < end_time:
        stage.run(step)
    return bool(is_so())


def second_loss(seed):
    """A store dies; as soon as its successor is a member another one loses its disk for good."""
    stage = quick_stage(seed)
    first, second, _ = members(stage, PART)
    (spare,) = set(stage.sim.names("store")) - set(members(stage, PART))
    stage.sim.kill(first)
    is_replaced = wait_for(stage, lambda: spare in members(stage, PART))
    stage.sim.lose_disk(second)
    stage.run(6)
    outcomes = traffic(stage, 4)
    accepted = stage.sim.history.counts.get("accepted_lots", 0)
    if not is_replaced or not accepted or stage.outcomes().get("lot/ended", 0) != accepted:
        stage.sim.history.violate(f"replaced {is_replaced}, accepted {accepted}: {outcomes}")
    return stage.sim.history.violations, outcomes


def add_only(self, former_group):
    """Stand-in for the guard: the successor joins first, the lost member leaves later."""
    group = [*former_group, self.joining] if self.joining is not None else self.group
    return [{"do": "group.change", "group": group_to_wire(group)}]


def leaving_member(seed):
    """A store retires, one is down, one is slow to take the state; more is lost right after."""
    stage = quick_stage(seed)
    sim, node = stage.sim, stage.node("edge-1")
    leaving, staying, late = members(stage, PART)
    (spare,) = set(sim.names("store")) - {leaving, staying, late}
    take_state_late(stage.node(spare), stage.env.now + 6)
    sim.kill(late)
    stage.run(0.2)
    for _ in range(4):
        stage.start(stage.callers.lot("gate-notices", 4, 0.0))
    stage.run(2)
    adopt(stage, "core-1", {"stores": {leaving: {"retired": True}}})
    told = []

    def ask():
        while not told:
            answer, _ = yield from sim.run_coroutine(node, is_retired(node, leaving, 2))
            told.extend([True] if answer else [])
            yield stage.env.timeout(0.005)

    stage.start(ask())
    wait_for(stage, lambda: told, 4)
    sim.start(late)
    is_finished, lots = wait_for(stage, lambda: told), set(owner_of(stage, PART).state["lots"])
    sim.kill(owner_of(stage, PART).node.me.name)
    sim.lose_disk(leaving)
    sim.lose_disk(staying)
    stage.run(1)
    sim.start(staying)
    stage.run(25)
    owner = owner_of(stage, PART)
    lost = lots - set(owner.state["lots"] if owner is not None else ())
    if not is_finished or not lots or lost:
        sim.history.violate(f"finished {is_finished}, lost {sorted(lost)} of {sorted(lots)}")
    return sim.history.violations, {**stage.outcomes(), "lots": len(lots)}


def take_state_late(node, ready_at):
    """Have a store fail to take any state until a time, as over a link that is too slow."""
    for service in ("quorum.install", "quorum.catch_up"):
        handler = node.handlers[service]

        def take(body, origin, handler=handler):
            if node.runtime.env.now < ready_at:
                raise TimedOut(target=node.me.name)
            return handler(body, origin)

        node.handle(service, take)


def without_catching_up(self, leader, store):
    """Stand-in for the guard: a store joins with nothing."""
    return True
    yield


def is_only_apart(self, store, size):
    """Stand-in for the guard: a store is free as soon as no group names it."""
    return store not in self.group


POINTS = [
    (
        "a second loss right after a repair leaves a majority",
        second_loss,
        [(GroupChange, "commands", add_only)],
    ),
    (
        "a member that leaves never holds the only copy",
        leaving_member,
        [
            (MembershipRepair, "_invite", without_catching_up),
            (GroupStatus, "is_whole_without", is_only_apart),
        ],
    ),
]
