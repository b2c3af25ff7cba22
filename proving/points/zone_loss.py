"""Scenarios about whole zones: emptied with all their nodes, lost with all their roles."""

from contextlib import contextmanager
from unittest import mock

from proving.points.configuration import adopt
from proving.points.scenario_fleet import Stage, no_check
from proving.sim import backends
from quillring.edge import Journal, short_requests, stream_handlers
from quillring.edge.admission import check_admission
from quillring.kernel.errors import QuillringError
from quillring.lots.prompts import api
from quillring.lots.prompts.scheduler import PromptLotScheduler
from quillring.ownership import Ownership


def emptied_nodes(seed):
    """A domain with an edge, a core and streams' holders is emptied under traffic."""
    stage = Stage(seed)
    callers, chance = stage.callers, stage.sim.chance
    zone = chance.choice(("north", "east", "south"))
    stage.start(callers.generate(6, callers.stream, "wayfinding", "short", 30))
    stage.start(callers.generate(1, callers.stream, "tagging", "long", 200))
    stage.start(callers.generate(1.5, callers.lot, "gate-notices", 6, 0.0))
    stage.run(3)
    answer, _ = adopt(stage, "core-1", {"domains": {zone: {"emptied": True}}})
    if not answer:
        stage.sim.history.violate("the emptying was not accepted")
    accepted_at = stage.env.now
    inside = [n for n in stage.sim.nodes.values() if n.me.zone == zone]
    stage.run(5)
    taken = []
    with mock.patch.object(backends, "PIECE_SECONDS", 0.1), _note_takings(zone, taken):
        for _ in range(50):
            stage.run(0.1)
            _check_emptied(stage, inside, accepted_at)
    callers.stop_at = stage.env.now
    stage.run(25)
    outcomes = stage.outcomes()
    if outcomes.get("lot/ended", 0) != stage.sim.history.counts.get("accepted_lots"):
        stage.sim.history.violate(f"lots did not end: {outcomes}")
    return sorted({*stage.sim.history.violations, *taken}), {
        **outcomes,
        "nodes": sorted(n.me.name for n in inside),
    }


@contextmanager
def _note_takings(zone, taken):
    """Note every new holding of a stream and every start of an item inside from now on."""
    real_hold, real_run = Journal.hold, PromptLotScheduler._run_item

    def hold(self, request):
        if self.node.me.zone == zone and request.stream_name not in self.streams:
            taken.append(f"{self.node.me.name} became a holder")
        return real_hold(self, request)

    def run_item(self, *words):
        if self.node.me.zone == zone:
            taken.append(f"{self.node.me.name} started an item")
        return real_run(self, *words)

    with (
        mock.patch.object(Journal, "hold", hold),
        mock.patch.object(PromptLotScheduler, "_run_item", run_item),
    ):
        yield


def _check_emptied(stage, inside, accepted_at):
    for node in inside:
        if node.me.role == "edge":
            try:
                check_admission(node)
                stage.sim.history.violate(f"{node.me.name} takes work, emptied at {accepted_at}")
            except QuillringError:
                pass
        owned = [p for p, owner in node.find("ownership").leaders.items() if owner.is_leader]
        if owned:
            stage.sim.history.violate(f"{node.me.name} owns {owned}, emptied at {accepted_at}")


def lost_zone(seed):
    """A domain is lost with edge, core, store and replicas, amid streams and lots; no warning."""
    stage = Stage(seed)
    callers, chance = stage.callers, stage.sim.chance
    zone = chance.choice(("north", "east", "south"))
    for _ in range(12):
        stage.start(callers.stream("wayfinding", "short", 150))
        stage.start(callers.lot("gate-notices", 5, 0.0))
    stage.run(chance.uniform(0.4, 1.5))
    for node in list(stage.sim.nodes.values()):
        if node.me.zone == zone:
            stage.sim.kill(node.me.name, loses_power=True)
    for replica in stage.sim.replicas.values():
        if replica.row["domain"] == zone:
            replica.kill()
    stage.run(60)
    outcomes, accepted = stage.outcomes(), stage.sim.history.counts.get("accepted_lots", 0)
    if outcomes.get("short/complete", 0) + outcomes.get("short/no_answer", 0) != 12:
        stage.sim.history.violate(f"conversations were dropped: {outcomes}")
    if outcomes.get("lot/ended", 0) != accepted:
        stage.sim.history.violate(f"{accepted} lots were accepted: {outcomes}")
    return stage.sim.history.violations, {
        **outcomes,
        "accepted": accepted,
        "resumes": stage.sim.history.counts.get("resumes", 0),
    }


def one_zone(self, name, avoided_names=()):
    """Stand-in for the guard: the second holder may stand in the same domain."""
    members = self.node.find("nifty").roster.members.values()
    return sorted(
        (
            m.name
            for m in members
            if m.role in ("edge", "core")
            and m.name not in avoided_names
            and m.name != self.node.me.name
        ),
        key=lambda n: self.node.find("nifty").roster.members[n].zone != self.node.me.zone,
    )


def never_leaving(self, name):
    """Stand-in for the guard: no node is left alone."""
    return False


POINTS = [
    (
        "an emptied domain's nodes take nothing after 5 s",
        emptied_nodes,
        [
            (Ownership, "is_leaving", never_leaving),
            (stream_handlers, "check_admission", no_check),
            (short_requests, "check_admission", no_check),
            (api, "check_admission", no_check),
        ],
    ),
    (
        "a domain lost with every role loses nothing",
        lost_zone,
        [(Journal, "backup_candidates", one_zone)],
    ),
]
