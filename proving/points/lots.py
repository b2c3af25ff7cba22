"""Scenarios about lots, part owners and stores."""

from unittest import mock

from proving.points.configuration import CommandsWith
from proving.points.orders import unfenced_state
from proving.points.scenario_fleet import ScenarioFleet, no_check
from proving.sim import backends
from quillring.lots.prompts.scheduler import PromptLotScheduler
from quillring.ownership.election_timing import ElectionTiming
from quillring.ownership.leadership_backoff import LeadershipBackoff
from quillring.quorum import acceptor, commands
from quillring.quorum.identity import WrongIdentity
from quillring.quorum.leader import part_leader, quorum_call
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout.freshness import Freshness
from quillring.store import checkpointed_log


def power_after_accept(seed):
    """All stores and cores lose power at the moment a lot is accepted; the lot must not be lost."""
    fleet = ScenarioFleet(seed)
    fleet.start(fleet.callers.lot("gate-notices", 8, 0.0))
    while not fleet.sim.history.counts.get("accepted_lots"):
        fleet.env.step()
    names = [*fleet.sim.names("store"), *fleet.sim.names("core")]
    for name in names:
        fleet.sim.kill(name, loses_power=True)
    fleet.run(2)
    for name in names:
        fleet.sim.start(name)
    fleet.run(30)
    outcomes = fleet.outcomes()
    if outcomes.get("lot/ended") != 1:
        fleet.sim.history.violate(f"the accepted lot is lost: {outcomes}")
    return fleet.sim.history.violations, outcomes


def zone_lost_after_accept(seed):
    """The zone and the disk of one store are lost permanently right after lots were accepted.

    The part's two other stores are frozen while the lots are submitted, and lose the packets that
    arrived meanwhile. No accepted lot may be lost.
    """
    fleet = ScenarioFleet(seed)
    group = fleet.node("core-1").find("ownership").group("part-1")
    lost_store, *slow_stores = [store[0] for store in group]
    zone = fleet.node(lost_store).me.zone
    fleet.callers.edge = lambda: next(n for n in fleet.sim.up_nodes("edge") if n.me.zone != zone)
    for name in slow_stores:
        fleet.sim.freeze(name, 1.2)
    for _ in range(4):
        fleet.start(fleet.callers.lot("gate-notices", 4, 0.0))
    while not fleet.sim.history.counts.get("accepted_lots"):
        fleet.env.step()
    for node in list(fleet.sim.nodes.values()):
        if node.me.zone == zone:
            fleet.sim.kill(node.me.name, loses_power=True)
    fleet.sim.disks[lost_store].lose_all()
    for node in fleet.sim.nodes.values():
        if node.me.name in slow_stores:
            node.runtime.packets_while_frozen.clear()
    fleet.run(40)
    outcomes = fleet.outcomes()
    if outcomes.get("lot/ended") != 4:
        fleet.sim.history.violate(f"accepted lots are lost: {outcomes}")
    return fleet.sim.history.violations, outcomes


def two_owners(seed):
    """A part's owner and edge-1 freeze for 6 s, another core takes the part over, both resume.

    Lots are submitted through edge-1 at once: the previous owner must accept none of them.
    """
    fleet = ScenarioFleet(seed)
    owner_name = fleet.node("core-1").find("gossip").get("owner/part-1")["owner"]
    fleet.start(fleet.callers.lot("gate-notices", 6, 0.0))
    fleet.run(0.3)
    for name in (owner_name, "edge-1"):
        fleet.sim.freeze(name, 6)
    fleet.route_to_edge("edge-2")
    fleet.start(fleet.callers.lot("gate-notices", 6, 0.0))
    fleet.run(6.01)
    fleet.route_to_edge("edge-1")
    for _ in range(30):
        fleet.start(fleet.callers.lot("gate-notices", 2, 0.0))
        fleet.run(0.02)
    fleet.route_to_any_edge()
    fleet.run(30)
    takeovers = sum(n.counts.get("takeovers", 0) for n in fleet.sim.nodes.values())
    outcomes = fleet.outcomes()
    if (
        outcomes.get("lot/lost")
        or fleet.node("core-1").find("gossip").get("owner/part-1")["owner"] is None
    ):
        fleet.sim.history.violate(f"lots are lost: {outcomes}")
    return fleet.sim.history.violations, {**outcomes, "takeovers": takeovers}


def noisy_results(seed):
    """A second, different result of an item arrives after a caller read the first one."""
    fleet = ScenarioFleet(seed)
    for replica in fleet.sim.replicas.values():
        replica.is_noisy = replica.row["service"] == "words"
    real_violate, first_results = fleet.sim.history.violate, {}
    fleet.sim.history.violate = lambda text: "wrong result" in text or real_violate(text)
    for _ in range(4):
        fleet.start(fleet.callers.lot("gate-notices", 4, 0.0))
    for _ in range(40):
        fleet.run(0.2)
        for name, known in fleet.callers.lots.items():
            for number, text in known["seen"].items():
                if first_results.setdefault((name, number), text) != text:
                    real_violate(f"result {number} of {name} changed")
            core = fleet.node("core-1")
            command = {"do": "lot.result", "lot": name, "n": 0, "result": {"text": "late"}}
            coroutine = core.find("ownership").submit(name.partition(".")[0], command)
            if known["seen"]:
                fleet.start(fleet.sim.run_coroutine(core, coroutine))
                known["phase"] = "open"
    return fleet.sim.history.violations, {"results": len(first_results)}


def cancelled_lot(seed):
    """Lots are cancelled while their slow items run on replicas."""
    fleet = ScenarioFleet(seed)
    with mock.patch.object(backends, "PIECE_SECONDS", 0.5):
        for _ in range(6):
            fleet.start(fleet.callers.lot("gate-notices", 40, 1.0))
        fleet.run(30)
    return fleet.sim.history.violations, fleet.outcomes()


def frozen_owner(seed):
    """Lots are cancelled while the core that schedules their items is frozen."""
    fleet = ScenarioFleet(seed)
    callers = fleet.callers
    with mock.patch.object(backends, "PIECE_SECONDS", 0.5):
        for _ in range(4):
            fleet.start(callers.lot("gate-notices", 6, 0.0))
        fleet.run(fleet.sim.chance.uniform(1, 2))
        fleet.sim.freeze(fleet.node("edge-1").find("gossip").get("owner/part-1")["owner"], 14)
        fleet.run(0.2)
        cancels = [
            fleet.start(callers._cancel(lot, known["sender"], known["items"]))
            for lot, known in callers.lots.items()
        ]
        for task in cancels:
            fleet.finish(task, 20)
        fleet.run(30)
    ended = len(fleet.sim.history.ended_at)
    if not ended:
        fleet.sim.history.violate("no lot was cancelled")
    return fleet.sim.history.violations, {**fleet.outcomes(), "items_ended": ended}


def tell_nobody(self, lot_name, route_name):
    """Replaces the guard: replicas are not asked to stop the lot's items."""
    return
    yield


def accept_at_once(self, records):
    """Replaces the guard: a commit returns before its records are synced to disk."""
    self.pending.append(checkpointed_log.PendingCommit(records, checkpointed_log.Signal()))
    return
    yield


def unfenced(self, request):
    """Replaces the guard: any ballot and any store identity are accepted."""
    return self.parts.get(request.part) or acceptor.AcceptorState()


def overwrite_result(state, command):
    """Replaces the guard: a later result overwrites the first one."""
    lot = state["lots"][command["lot"]]
    results = {**lot["results"], command["n"]: command["result"]}
    phase = "ended" if len(results) == lot["count"] else "open"
    changed = {**lot, "results": results, "phase": phase}
    return {**state, "lots": {**state["lots"], command["lot"]: changed}}, {"written": True}


def emptied_store(seed):
    """A store loses its disk and restarts as a new member, which must not vote as the old one.

    Every part must replace the old identity in its group.
    """
    fleet = ScenarioFleet(seed)
    fleet.run(1)
    identity = fleet.node("store-1").find("acceptors").identity
    fleet.sim.lose_disk("store-1")
    fleet.run(0.5)
    node = fleet.sim.start("store-1")
    fleet.run(0.5)
    body = {"part": CONFIG_PART, "ballot": [99, "core-9"], "identity": identity}
    call = fleet.node("core-1").call("store-1", "quorum.prepare", body)
    _, error = fleet.finish(fleet.start(fleet.sim.run_coroutine(fleet.node("core-1"), call)))
    if not isinstance(error, WrongIdentity):
        fleet.sim.history.violate(f"the emptied store voted under its old identity: {error}")
    fleet.run(20)
    ownership = fleet.node("core-1").find("ownership")
    groups = {part: ownership.group(part) for part in ownership.parts()}
    for part, group in groups.items():
        if len(group) != 3 or identity in [s[1] for s in group]:
            fleet.sim.history.violate(f"{part} was not repaired: {group}")
    installed = sum(r.state is not None for r in node.find("acceptors").parts.values())
    return fleet.sim.history.violations, {"parts_at_the_new_member": installed}


POINTS = [
    (
        "power lost right after acceptance loses no lot",
        power_after_accept,
        [(checkpointed_log.CheckpointedLog, "commit", accept_at_once)],
    ),
    (
        "a domain and its disk lost loses no lot",
        zone_lost_after_accept,
        [(quorum_call, "majority", lambda group: 1)],
    ),
    (
        "an owner that wakes without its fence accepts nothing",
        two_owners,
        [
            (acceptor.Acceptors, "check_ballot", unfenced),
            (acceptor.Acceptors, "on_confirm", lambda self, body, origin: True),
            (part_leader.PartLeader, "has_lease", lambda self: self.is_leader),
            (part_leader.PartLeader, "linearizable_state", unfenced_state),
            (LeadershipBackoff, "note_lost_term", no_check),
            (ElectionTiming, "forget_observations", no_check),
            (Freshness, "check", no_check),
        ],
    ),
    (
        "a result keeps its value",
        noisy_results,
        [(commands, "COMMANDS", CommandsWith("lot.result", overwrite_result))],
    ),
    (
        "an ended lot stops within 3 s",
        cancelled_lot,
        [
            (PromptLotScheduler, "_stop_ended", no_check),
            (PromptLotScheduler, "_is_wanted", lambda s, o, k: True),
            (PromptLotScheduler, "_tell_replicas", tell_nobody),
        ],
    ),
    (
        "an ended lot stops though its runner is frozen",
        frozen_owner,
        [(PromptLotScheduler, "_tell_replicas", tell_nobody)],
    ),
    (
        "an emptied store never votes for the old one",
        emptied_store,
        [(acceptor.Acceptors, "check_ballot", unfenced)],
    ),
]
