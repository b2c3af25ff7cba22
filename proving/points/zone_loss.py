"""Scenarios about complete zones: emptied by an operator, or lost without warning."""

from contextlib import contextmanager
from unittest import mock

from proving.points.configuration import adopt
from proving.points.scenario_fleet import ScenarioFleet, no_check
from proving.sim import backends
from quillring.edge import Journal, short_requests, stream_handlers
from quillring.edge.admission import check_admission
from quillring.kernel.errors import QuillringError
from quillring.lots.prompts import api
from quillring.lots.prompts.scheduler import PromptLotScheduler
from quillring.ownership import Ownership


def emptied_nodes(seed):
    """A zone with an edge, a core and journal backups is emptied under traffic.

    From 5 s later its nodes may admit no request, own no part, back up no new stream and start no
    item. Every accepted lot must still end.
    """
    fleet = ScenarioFleet(seed)
    callers, rng = fleet.callers, fleet.sim.chance
    zone = rng.choice(("north", "east", "south"))
    fleet.start(callers.generate(6, callers.stream, "wayfinding", "short", 30))
    fleet.start(callers.generate(1, callers.stream, "tagging", "long", 200))
    fleet.start(callers.generate(1.5, callers.lot, "gate-notices", 6, 0.0))
    fleet.run(3)
    answer, _ = adopt(fleet, "core-1", {"domains": {zone: {"emptied": True}}})
    if not answer:
        fleet.sim.history.violate("the change that empties the zone was not accepted")
    accepted_at = fleet.env.now
    zone_nodes = [n for n in fleet.sim.nodes.values() if n.me.zone == zone]
    fleet.run(5)
    new_work = []
    with mock.patch.object(backends, "PIECE_SECONDS", 0.1), _record_new_work(zone, new_work):
        for _ in range(50):
            fleet.run(0.1)
            _check_emptied(fleet, zone_nodes, accepted_at)
    callers.stop_at = fleet.env.now
    fleet.run(25)
    outcomes = fleet.outcomes()
    if outcomes.get("lot/ended", 0) != fleet.sim.history.counts.get("accepted_lots"):
        fleet.sim.history.violate(f"not every accepted lot ended: {outcomes}")
    return sorted({*fleet.sim.history.violations, *new_work}), {
        **outcomes,
        "nodes": sorted(n.me.name for n in zone_nodes),
    }


@contextmanager
def _record_new_work(zone, new_work):
    """Within the context, append to `new_work` each stream backed up and item started in a zone."""
    real_hold, real_run = Journal.hold, PromptLotScheduler._run_item

    def hold(self, request):
        if self.node.me.zone == zone and request.stream_name not in self.streams:
            new_work.append(f"{self.node.me.name} became the backup of a stream")
        return real_hold(self, request)

    def run_item(self, *args):
        if self.node.me.zone == zone:
            new_work.append(f"{self.node.me.name} started an item")
        return real_run(self, *args)

    with (
        mock.patch.object(Journal, "hold", hold),
        mock.patch.object(PromptLotScheduler, "_run_item", run_item),
    ):
        yield


def _check_emptied(fleet, zone_nodes, accepted_at):
    """Check that the nodes of an emptied zone admit no requests and own no parts."""
    for node in zone_nodes:
        if node.me.role == "edge":
            try:
                check_admission(node)
                fleet.sim.history.violate(
                    f"{node.me.name} admits requests, zone emptied at {accepted_at} s"
                )
            except QuillringError:
                pass
        owned = [p for p, owner in node.find("ownership").leaders.items() if owner.is_leader]
        if owned:
            fleet.sim.history.violate(
                f"{node.me.name} owns {owned}, zone emptied at {accepted_at} s"
            )


def lost_zone(seed):
    """All nodes and replicas of a zone lose power during streams and lots.

    Every stream must end for its sender, and every accepted lot must end.
    """
    fleet = ScenarioFleet(seed)
    callers, rng = fleet.callers, fleet.sim.chance
    zone = rng.choice(("north", "east", "south"))
    for _ in range(12):
        fleet.start(callers.stream("wayfinding", "short", 150))
        fleet.start(callers.lot("gate-notices", 5, 0.0))
    fleet.run(rng.uniform(0.4, 1.5))
    for node in list(fleet.sim.nodes.values()):
        if node.me.zone == zone:
            fleet.sim.kill(node.me.name, loses_power=True)
    for replica in fleet.sim.replicas.values():
        if replica.row["domain"] == zone:
            replica.kill()
    fleet.run(60)
    outcomes, accepted = fleet.outcomes(), fleet.sim.history.counts.get("accepted_lots", 0)
    if outcomes.get("short/complete", 0) + outcomes.get("short/no_answer", 0) != 12:
        fleet.sim.history.violate(f"not every stream ended: {outcomes}")
    if outcomes.get("lot/ended", 0) != accepted:
        fleet.sim.history.violate(f"{accepted} lots were accepted: {outcomes}")
    return fleet.sim.history.violations, {
        **outcomes,
        "accepted": accepted,
        "resumes": fleet.sim.history.counts.get("resumes", 0),
    }


def one_zone(self, name, excluded_names=()):
    """Replaces the guard: backup candidates may be in the same zone, and those come first."""
    members = self.node.find("nifty").roster.members.values()
    return sorted(
        (
            m.name
            for m in members
            if m.role in ("edge", "core")
            and m.name not in excluded_names
            and m.name != self.node.me.name
        ),
        key=lambda n: self.node.find("nifty").roster.members[n].zone != self.node.me.zone,
    )


def never_leaving(self, name):
    """Replaces the guard: no node counts as leaving, so none is avoided."""
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
