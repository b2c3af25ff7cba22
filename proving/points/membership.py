"""Scenarios about members that are lost and replaced, and members that are retired."""

from proving.points.configuration import adopt
from proving.points.partitions import run_traffic
from proving.points.scenario_fleet import ScenarioFleet
from quillring.kernel.errors import TimedOut
from quillring.quorum.leader.membership_change import GroupChange
from quillring.quorum.leader.membership_repair import MembershipRepair
from quillring.quorum.leader.retirement_check import GroupStatus
from quillring.quorum.values import group_to_wire
from quillring.rollout.operator_orders import is_retired

RESYNC_SECONDS = 5.0
PART = "part-1"


def fleet_with_fast_repair(seed, **options):
    """Return a fleet that replaces a lost store within RESYNC_SECONDS."""
    fleet = ScenarioFleet(seed, **options)
    fleet.sim.bounds.resync = RESYNC_SECONDS
    return fleet


def leader_of(fleet, part):
    """Return the part's leader with the highest ballot among running cores, or None."""
    tables = [node.find("ownership").leaders for node in fleet.sim.up_nodes("core")]
    owners = [table[part] for table in tables if part in table and table[part].is_leader]
    return max(owners, key=lambda owner: owner.ballot, default=None)


def members(fleet, part):
    """Return the names of a part's stores as its leader knows them, or an empty list."""
    owner = leader_of(fleet, part)
    return [store[0] for store in owner.group] if owner is not None else []


def wait_for(fleet, condition, seconds=15, step=0.005):
    """Advance time until `condition` holds or `seconds` pass; return whether it holds."""
    end_time = fleet.env.now + seconds
    while not condition() and fleet.env.now < end_time:
        fleet.run(step)
    return bool(condition())


def second_loss(seed):
    """A store dies; as soon as a spare has replaced it, another member permanently loses its disk.

    The group must still have a majority with the data: every accepted lot ends.
    """
    fleet = fleet_with_fast_repair(seed)
    first, second, _ = members(fleet, PART)
    (spare,) = set(fleet.sim.names("store")) - set(members(fleet, PART))
    fleet.sim.kill(first)
    is_replaced = wait_for(fleet, lambda: spare in members(fleet, PART))
    fleet.sim.lose_disk(second)
    fleet.run(6)
    outcomes = run_traffic(fleet, 4)
    accepted = fleet.sim.history.counts.get("accepted_lots", 0)
    if not is_replaced or not accepted or fleet.outcomes().get("lot/ended", 0) != accepted:
        fleet.sim.history.violate(f"replaced {is_replaced}, accepted {accepted}: {outcomes}")
    return fleet.sim.history.violations, outcomes


def add_only(self, former_group):
    """Replaces the guard: the replacement joins first, and the lost member is removed later."""
    group = [*former_group, self.joining] if self.joining is not None else self.group
    return [{"do": "group.change", "group": group_to_wire(group)}]


def leaving_member(seed):
    """A store is retired while another member is down and the spare can't yet take the state.

    As soon as the operator is told that the store is retired, it and another member lose their
    disks, and the leader dies. No lot may be lost.
    """
    fleet = fleet_with_fast_repair(seed)
    sim, node = fleet.sim, fleet.node("edge-1")
    retired_store, remaining_store, stopped_store = members(fleet, PART)
    (spare,) = set(sim.names("store")) - {retired_store, remaining_store, stopped_store}
    delay_state_transfer(fleet.node(spare), fleet.env.now + 6)
    sim.kill(stopped_store)
    fleet.run(0.2)
    for _ in range(4):
        fleet.start(fleet.callers.lot("gate-notices", 4, 0.0))
    fleet.run(2)
    adopt(fleet, "core-1", {"stores": {retired_store: {"retired": True}}})
    retired_answers = []

    def ask():
        while not retired_answers:
            answer, _ = yield from sim.run_coroutine(node, is_retired(node, retired_store, 2))
            retired_answers.extend([True] if answer else [])
            yield fleet.env.timeout(0.005)

    fleet.start(ask())
    wait_for(fleet, lambda: retired_answers, 4)
    sim.start(stopped_store)
    is_finished, lots = (
        wait_for(fleet, lambda: retired_answers),
        set(leader_of(fleet, PART).state["lots"]),
    )
    sim.kill(leader_of(fleet, PART).node.me.name)
    sim.lose_disk(retired_store)
    sim.lose_disk(remaining_store)
    fleet.run(1)
    sim.start(remaining_store)
    fleet.run(25)
    owner = leader_of(fleet, PART)
    lost = lots - set(owner.state["lots"] if owner is not None else ())
    if not is_finished or not lots or lost:
        sim.history.violate(
            f"retirement finished {is_finished}, lots lost {sorted(lost)} of {sorted(lots)}"
        )
    return sim.history.violations, {**fleet.outcomes(), "lots": len(lots)}


def delay_state_transfer(node, ready_at):
    """Make state transfers to a store time out until `ready_at`, as over a very slow link."""
    for service in ("quorum.install", "quorum.catch_up"):
        handler = node.handlers[service]

        def take(body, origin, handler=handler):
            if node.runtime.env.now < ready_at:
                raise TimedOut(target=node.me.name)
            return handler(body, origin)

        node.handle(service, take)


def without_catching_up(self, leader, store):
    """Replaces the guard: a store joins a group before it has the state."""
    return True
    yield


def is_only_apart(self, store, size):
    """Replaces the guard: a store counts as retired as soon as the group doesn't name it."""
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
