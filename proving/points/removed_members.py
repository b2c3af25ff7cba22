"""Scenarios about removed members that do not know it, and about seeds that start apart."""

from unittest import mock

from proving.points.configuration import adopt, names_but
from proving.points.membership import members, owner_of, quick_stage, wait_for
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
    """Two members leave one by one; an edge that missed their leaving is cut off with both."""
    stage = quick_stage(seed, sizes=SIX_STORES)
    sim, edge, real_publish = stage.sim, stage.node("edge-1"), Gossip.publish

    def publish(self, key, version, value):
        is_lost = self.node is edge and key == "group/config"
        return False if is_lost else real_publish(self, key, version, value)

    with mock.patch.object(Gossip, "publish", publish):
        left = members(stage, CONFIG_PART)[1:]
        for store in left:
            adopt(stage, "core-1", {"stores": {store: {"retired": True}}})
            wait_for(stage, lambda s=store: members(stage, CONFIG_PART) and s not in owned(stage))
        stage.run(1)
        was_fresh = edge.find("freshness").is_fresh()
        sim.cut(["edge-1", *left], names_but(stage, "edge-1", *left))
        stage.run(4)
        asker = owner_of(stage, CONFIG_PART).node.me.name
        answer, error = adopt(stage, asker, {"domains": {"north": {"emptied": True}}})
        stage.run(1)
        is_fresh = edge.find("freshness").is_fresh()
    if is_fresh or not was_fresh or error:
        sim.history.violate(f"fresh before {was_fresh}, in the cut {is_fresh}: {error}")
    return sim.history.violations, {"left": left, "version": answer and answer["version"]}


def owned(stage):
    """Return the members of the config part."""
    return members(stage, CONFIG_PART)


def is_fresh_by_heard_group(self):
    """Stand-in for the guard: the group counts that was heard of, whatever the layout's is."""
    snapshot, edge_time = (
        self.node.find("layout"),
        self.node.now() - self.node.bounds.configuration_freshness,
    )
    try:
        group = self.node.find("ownership").group(CONFIG_PART)
    except NotFounded:
        return False
    good = [
        report.committed_index
        for report in self._reports(group)
        if report.confirmed_at is not None and report.confirmed_at > edge_time
    ]
    return sum(index <= snapshot.index for index in good) >= majority(group)


def stamp_of_any(self):
    """Stand-in for the guard: a store that was removed goes on giving its stamp."""
    record = self.parts.get(CONFIG_PART)
    if record is None or record.state is None:
        return None
    return [list(record.promised), record.committed, self.identity]


def first_start_apart(seed):
    """The seeds start on two sides that do not see each other, each with stores; then it heals."""
    sim = SimFleet("ferrowa", seed, {"sizes": {"edge": 2, "core": 4, "store": 6}})
    for name in sim.rows:
        node = sim.start(name)
        if node.me.role == "core":
            node.spawn(found_at_first_start(node, True, 2))
    side = ["core-1", "core-4", "edge-1", "store-1", "store-2", "store-3"]
    sim.cut(side, [name for name in sim.nodes if name not in side])
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
    is_kept = all(core.find("layout").is_emptied("north") for core in sim.up_nodes("core"))
    if len(fleets) != 1 or not task.value[0] or not is_kept:
        sim.history.violate(f"fleets {fleets}, acknowledged {task.value}, kept {is_kept}")
    return sim.history.violations, {"fleets": len(fleets)}


def choose_alone(node, founding):
    """Stand-in for the guard: a founder asks no seed."""
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
