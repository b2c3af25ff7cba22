"""Scenarios about lots, owners and stores; each returns its violations and figures."""

from unittest import mock

from proving.points.configuration import CommandsWith
from proving.points.orders import unfenced_state
from proving.points.scenario_fleet import Stage, no_check
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
    """All stores and cores lose their power the moment a lot was accepted."""
    stage = Stage(seed)
    stage.start(stage.callers.lot("gate-notices", 8, 0.0))
    while not stage.sim.history.counts.get("accepted_lots"):
        stage.env.step()
    names = [*stage.sim.names("store"), *stage.sim.names("core")]
    for name in names:
        stage.sim.kill(name, loses_power=True)
    stage.run(2)
    for name in names:
        stage.sim.start(name)
    stage.run(30)
    outcomes = stage.outcomes()
    if outcomes.get("lot/ended") != 1:
        stage.sim.history.violate(f"the accepted lot is lost: {outcomes}")
    return stage.sim.history.violations, outcomes


def zone_lost_after_accept(seed):
    """Two stores are slow; a lot is accepted; the third one's domain and disk are lost for good."""
    stage = Stage(seed)
    group = stage.node("core-1").find("ownership").group("part-1")
    lost_store, *slow_stores = [store[0] for store in group]
    zone = stage.node(lost_store).me.zone
    stage.callers.edge = lambda: next(n for n in stage.sim.up_nodes("edge") if n.me.zone != zone)
    for name in slow_stores:
        stage.sim.freeze(name, 1.2)
    for _ in range(4):
        stage.start(stage.callers.lot("gate-notices", 4, 0.0))
    while not stage.sim.history.counts.get("accepted_lots"):
        stage.env.step()
    for node in list(stage.sim.nodes.values()):
        if node.me.zone == zone:
            stage.sim.kill(node.me.name, loses_power=True)
    stage.sim.disks[lost_store].lose_all()
    for node in stage.sim.nodes.values():
        if node.me.name in slow_stores:
            node.runtime.packets_while_frozen.clear()
    stage.run(40)
    outcomes = stage.outcomes()
    if outcomes.get("lot/ended") != 4:
        stage.sim.history.violate(f"accepted lots are lost: {outcomes}")
    return stage.sim.history.violations, outcomes


def two_owners(seed):
    """A part's owner and an edge freeze; another owner takes over; both wake, lots come in."""
    stage = Stage(seed)
    owner_name = stage.node("core-1").find("gossip").get("owner/part-1")["owner"]
    stage.start(stage.callers.lot("gate-notices", 6, 0.0))
    stage.run(0.3)
    for name in (owner_name, "edge-1"):
        stage.sim.freeze(name, 6)
    stage.only_edge("edge-2")
    stage.start(stage.callers.lot("gate-notices", 6, 0.0))
    stage.run(6.01)
    stage.only_edge("edge-1")
    for _ in range(30):
        stage.start(stage.callers.lot("gate-notices", 2, 0.0))
        stage.run(0.02)
    stage.any_edge()
    stage.run(30)
    takeovers = sum(n.counts.get("takeovers", 0) for n in stage.sim.nodes.values())
    outcomes = stage.outcomes()
    if (
        outcomes.get("lot/lost")
        or stage.node("core-1").find("gossip").get("owner/part-1")["owner"] is None
    ):
        stage.sim.history.violate(f"lots are lost: {outcomes}")
    return stage.sim.history.violations, {**outcomes, "takeovers": takeovers}


def noisy_results(seed):
    """Two runs of an item differ; the second result comes in after the first was read."""
    stage = Stage(seed)
    for replica in stage.sim.replicas.values():
        replica.is_noisy = replica.row["service"] == "words"
    real_violate, first = stage.sim.history.violate, {}
    stage.sim.history.violate = lambda text: "wrong result" in text or real_violate(text)
    for _ in range(4):
        stage.start(stage.callers.lot("gate-notices", 4, 0.0))
    for _ in range(40):
        stage.run(0.2)
        for name, known in stage.callers.lots.items():
            for number, text in known["seen"].items():
                if first.setdefault((name, number), text) != text:
                    real_violate(f"result {number} of {name} changed")
            core = stage.node("core-1")
            command = {"do": "lot.result", "lot": name, "n": 0, "result": {"text": "late"}}
            coroutine = core.find("ownership").submit(name.partition(".")[0], command)
            if known["seen"]:
                stage.start(stage.sim.run_coroutine(core, coroutine))
                known["phase"] = "open"
    return stage.sim.history.violations, {"results": len(first)}


def cancelled_lot(seed):
    """Lots are cancelled while their items run slowly."""
    stage = Stage(seed)
    with mock.patch.object(backends, "PIECE_SECONDS", 0.5):
        for _ in range(6):
            stage.start(stage.callers.lot("gate-notices", 40, 1.0))
        stage.run(30)
    return stage.sim.history.violations, stage.outcomes()


def frozen_owner(seed):
    """Lots are cancelled while the core that runs their items is frozen."""
    stage = Stage(seed)
    callers = stage.callers
    with mock.patch.object(backends, "PIECE_SECONDS", 0.5):
        for _ in range(4):
            stage.start(callers.lot("gate-notices", 6, 0.0))
        stage.run(stage.sim.chance.uniform(1, 2))
        stage.sim.freeze(stage.node("edge-1").find("gossip").get("owner/part-1")["owner"], 14)
        stage.run(0.2)
        cancels = [
            stage.start(callers._cancel(lot, known["sender"], known["items"]))
            for lot, known in callers.lots.items()
        ]
        for task in cancels:
            stage.finish(task, 20)
        stage.run(30)
    ended = len(stage.sim.history.ended_at)
    if not ended:
        stage.sim.history.violate("no lot was cancelled")
    return stage.sim.history.violations, {**stage.outcomes(), "items_ended": ended}


def tell_nobody(self, lot_name, route_name):
    """Stand-in for the guard: no replica is told to stop."""
    return
    yield


def accept_at_once(self, records):
    """Stand-in for the guard: answered before anything is synced."""
    self.pending.append(checkpointed_log.PendingCommit(records, checkpointed_log.Signal()))
    return
    yield


def unfenced(self, request):
    """Stand-in for the guard: any ballot and any identity will do."""
    return self.parts.get(request.part) or acceptor.AcceptorState()


def overwrite_result(state, command):
    """Stand-in for the guard: a later result takes the place of the first."""
    lot = state["lots"][command["lot"]]
    results = {**lot["results"], command["n"]: command["result"]}
    phase = "ended" if len(results) == lot["count"] else "open"
    changed = {**lot, "results": results, "phase": phase}
    return {**state, "lots": {**state["lots"], command["lot"]: changed}}, {"written": True}


def emptied_store(seed):
    """A store's disk is emptied; the new member may not vote for the old one."""
    stage = Stage(seed)
    stage.run(1)
    identity = stage.node("store-1").find("acceptors").identity
    stage.sim.lose_disk("store-1")
    stage.run(0.5)
    node = stage.sim.start("store-1")
    stage.run(0.5)
    body = {"part": CONFIG_PART, "ballot": [99, "core-9"], "identity": identity}
    call = stage.node("core-1").call("store-1", "quorum.prepare", body)
    _, error = stage.finish(stage.start(stage.sim.run_coroutine(stage.node("core-1"), call)))
    if not isinstance(error, WrongIdentity):
        stage.sim.history.violate(f"the emptied store voted for the old one: {error}")
    stage.run(20)
    table = stage.node("core-1").find("ownership")
    groups = {part: table.group(part) for part in table.parts()}
    for part, group in groups.items():
        if len(group) != 3 or identity in [s[1] for s in group]:
            stage.sim.history.violate(f"{part} was not mended: {group}")
    installed = sum(r.state is not None for r in node.find("acceptors").parts.values())
    return stage.sim.history.violations, {"parts_at_the_new_member": installed}


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
