"""Scenarios about members unaware of their removal, and seeds that start in a partition."""

from unittest import mock

from proving.points.configuration import adopt, names_except
from proving.points.membership import fleet_with_fast_repair, leader_of, members, wait_for
from proving.sim.fleet import SimFleet
from quillring.gossip import Gossip
from quillring.kernel.errors import NotFounded
from quillring.quorum.acceptor import Acceptors
from quillring.quorum.founding import bootstrap
from quillring.quorum.founding.bootstrap import found_at_first_start
from quillring.quorum.parts import CONFIG_PART, majority
from quillring.rollout import Freshness

SIX_STORES = {
    "sizes": {"edge": 2, "core": 4, "store": 6},
    "replicas": [("words", 4, 4), ("map", 2, 4)],
}


def removed_members(seed):
    """Two members are removed one by one; an edge that does not know it is cut off with both.

    The edge still uses the previous group, of which the two are a majority. They must not confirm
    to it that its outdated layout is fresh.
    """
    fleet = fleet_with_fast_repair(seed, sizes=SIX_STORES)
    sim, edge, real_publish = fleet.sim, fleet.node("edge-1"), Gossip.publish

    def publish(self, key, version, value):
        is_lost = self.node is edge and key == "group/config"
        return False if is_lost else real_publish(self, key, version, value)

    with mock.patch.object(Gossip, "publish", publish):
        removed_names = members(fleet, CONFIG_PART)[1:]
        for store in removed_names:
            adopt(fleet, "core-1", {"stores": {store: {"retired": True}}})
            wait_for(
                fleet,
                lambda s=store: members(fleet, CONFIG_PART) and s not in config_members(fleet),
            )
        fleet.run(1)
        was_fresh = edge.find("freshness").is_fresh()
        sim.cut(["edge-1", *removed_names], names_except(fleet, "edge-1", *removed_names))
        fleet.run(4)
        asker = leader_of(fleet, CONFIG_PART).node.me.name
        answer, error = adopt(fleet, asker, {"domains": {"north": {"emptied": True}}})
        fleet.run(1)
        is_fresh = edge.find("freshness").is_fresh()
    if is_fresh or not was_fresh or error:
        sim.history.violate(
            f"fresh before the cut {was_fresh}, during it {is_fresh}, change: {error}"
        )
    return sim.history.violations, {"left": removed_names, "version": answer and answer["version"]}


def config_members(fleet):
    """Return the names of the members of the config part."""
    return members(fleet, CONFIG_PART)


def is_fresh_by_heard_group(self):
    """Replaces the guard: freshness uses the group known from gossip, not that of the layout."""
    snapshot, oldest_confirmation = (
        self.node.find("layout"),
        self.node.now() - self.node.bounds.configuration_freshness,
    )
    try:
        group = self.node.find("ownership").group(CONFIG_PART)
    except NotFounded:
        return False
    confirmed_indexes = [
        report.committed_index
        for report in self._reports(group)
        if report.confirmed_at is not None and report.confirmed_at > oldest_confirmation
    ]
    return sum(index <= snapshot.index for index in confirmed_indexes) >= majority(group)


def stamp_of_any(self):
    """Replaces the guard: a removed store still returns its stamp."""
    record = self.parts.get(CONFIG_PART)
    if record is None or record.state is None:
        return None
    return [list(record.promised), record.committed, self.identity]


def first_start_apart(seed):
    """The seeds first start in a partition with stores on both sides, which heals later.

    Only one fleet may be founded, and an order acknowledged during the partition must persist.
    """
    sim = SimFleet("ferrowa", seed, {"sizes": {"edge": 2, "core": 4, "store": 6}})
    for name in sim.rows:
        node = sim.start(name)
        if node.me.role == "core":
            node.spawn(found_at_first_start(node, True, 2))
    first_side = ["core-1", "core-4", "edge-1", "store-1", "store-2", "store-3"]
    sim.cut(first_side, [name for name in sim.nodes if name not in first_side])
    sim.env.run(until=20)
    node = sim.nodes["core-2"]
    command = {"do": "domain.mark", "domain": "north", "emptied": True}
    coroutine = node.find("ownership").submit(CONFIG_PART, command, 3)
    task = sim.env.process(sim.run_coroutine(node, coroutine))
    sim.env.run(until=24)
    sim.heal()
    sim.env.run(until=32)
    fleets = {
        store.find("acceptors").founding and store.find("acceptors").founding["fleet"]
        for store in sim.up_nodes("store")
    }
    is_order_kept = all(core.find("layout").is_drained("north") for core in sim.up_nodes("core"))
    if len(fleets) != 1 or not task.value[0] or not is_order_kept:
        sim.history.violate(f"fleets {fleets}, acknowledged {task.value}, kept {is_order_kept}")
    return sim.history.violations, {"fleets": len(fleets)}


def choose_alone(node, founding):
    """Replaces the guard: a founder proceeds without the agreement of the other seeds."""
    return founding
    yield


POINTS = [
    (
        "removed members make up a majority for nobody",
        removed_members,
        [
            (Freshness, "is_fresh", is_fresh_by_heard_group),
            (Acceptors, "stamp", stamp_of_any),
        ],
    ),
    (
        "a first start in a cut founds one fleet",
        first_start_apart,
        [(bootstrap, "agree_on_founding", choose_alone)],
    ),
]
