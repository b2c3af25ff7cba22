"""Scenarios about retention: unread results, keys of several senders, journal space."""

from unittest import mock

from proving.points.scenario_fleet import ScenarioFleet, no_check
from quillring.edge import journal, stream_takeover
from quillring.lots.prompts import api, retention
from quillring.lots.prompts.api import release_lot, show_results, submit_lot
from quillring.lots.prompts.retention import Retention


def submit(fleet, key, client_name, items):
    """Submit a lot; return (answer, error)."""
    body = {"entry": "gate-notices", "key": key, "items": items}
    return fleet.finish(
        fleet.start(fleet.callers.ask(submit_lot, "POST", body=body, client_name=client_name))
    )


def unread_results(seed):
    """Lots whose results are not read fill the part, then some are released.

    Results stay readable, further lots are refused at the limit, and released space is usable.
    """
    fleet, accepted, refused, max_lot_bytes = ScenarioFleet(seed), {}, 0, 0
    limit_bytes = 30_000
    with mock.patch.object(retention, "HELD_LIMIT_BYTES", limit_bytes):
        for number in range(60):
            items = [f"unread {number} {n}" for n in range(3)]
            answer, error = submit(fleet, f"k{number}", "ann", items)
            if answer:
                accepted[answer["lot"]] = items
            elif error.kind == "too_many_lots":
                refused += 1
            else:
                fleet.sim.history.violate(f"unexpected refusal {error}")
            fleet.run(0.7)
            max_lot_bytes = max(
                max_lot_bytes, *(_max_lot_bytes(n) for n in fleet.sim.up_nodes("core"))
            )
        fleet.run(10)
        _check_results_readable(fleet, accepted)
        if not refused or max_lot_bytes > limit_bytes:
            fleet.sim.history.violate(
                f"{refused} refused, up to {max_lot_bytes} of {limit_bytes} bytes used"
            )
        for lot in list(accepted)[:6]:
            answer, error = fleet.finish(
                fleet.start(fleet.callers.ask(release_lot, "POST", {"lot": lot}, client_name="eve"))
            )
            if answer or error.kind != "not_found":
                fleet.sim.history.violate(f"another sender released a lot: {answer} {error}")
            fleet.finish(
                fleet.start(fleet.callers.ask(release_lot, "POST", {"lot": lot}, client_name="ann"))
            )
            del accepted[lot]
        answer, error = submit(fleet, "later", "ann", ["one more"])
        if not answer:
            fleet.sim.history.violate(f"a lot was refused after others were released: {error}")
        _check_results_readable(fleet, accepted)
    return fleet.sim.history.violations, {
        "accepted": len(accepted) + 6,
        "refused": refused,
        "most_held": max_lot_bytes,
    }


def _max_lot_bytes(node):
    """Return the bytes of all lots in the largest of the parts that the node owns."""
    owners = node.find("ownership").leaders.values()
    return max(
        (
            sum(
                node.find("keeping").weight(owner.part, name, lot)
                for name, lot in owner.state["lots"].items()
            )
            for owner in owners
            if owner.is_leader
        ),
        default=0,
    )


def _check_results_readable(fleet, accepted):
    """Check that every result of the accepted lots, {lot: items}, can be read."""
    for lot, items in accepted.items():
        answer, error = fleet.finish(
            fleet.start(fleet.callers.ask(show_results, words={"lot": lot}, client_name="ann"))
        )
        if not answer or len(answer["results"]) != len(items):
            fleet.sim.history.violate(f"results of {lot} vanished: {answer} {error}")


def same_keys(seed):
    """Several senders use the same idempotency key, each for a different lot."""
    fleet = ScenarioFleet(seed)
    client_names = ["ann", "bob", "", "\u00fc", "ann "]
    lots = {}
    for client_name in client_names:
        answer, error = submit(fleet, "monday", client_name, [f"item of {client_name}"])
        lots[client_name] = answer["lot"] if answer else error.kind
    again, _ = submit(fleet, "monday", "ann", ["item of ann"])
    other, error = submit(fleet, "monday", "ann", ["another item"])
    if lots.pop("") != "bad_inquiry" or len(set(lots.values())) != 4:
        fleet.sim.history.violate(f"the key of one sender affected another: {lots}")
    if not again or not again.get("repeated") or other or error.kind != "conflict":
        fleet.sim.history.violate(f"a repeated key was not handled: {again} {other} {error}")
    return fleet.sim.history.violations, {"lots": len(lots)}


def full_journal(seed):
    """Streams fill small journals while many others start and end; none in flight is dropped."""
    fleet = ScenarioFleet(seed)
    callers = fleet.callers
    with mock.patch.object(journal, "MAX_BYTES", 9_000):
        for _ in range(8):
            fleet.start(callers.stream("tagging", "long", 400, drop_after=60))
        for _ in range(60):
            fleet.start(callers.stream("wayfinding", "short", 30, drop_after=1 << 30))
            fleet.run(0.25)
        fleet.run(40)
    outcomes = fleet.outcomes()
    if outcomes.get("long/complete", 0) + outcomes.get("long/refused", 0) != 8:
        fleet.sim.history.violate(f"streams in flight were dropped: {outcomes}")
    if outcomes.get("short/complete", 0) < 20:
        fleet.sim.history.violate(f"ended streams freed no space for others: {outcomes}")
    journal_bytes = [n.find("journal").size for n in fleet.sim.nodes.values() if n.find("journal")]
    if max(journal_bytes) > 50_000:
        fleet.sim.history.violate(f"journals are too large: {journal_bytes} bytes")
    dropped = sum(n.counts.get("streams_dropped", 0) for n in fleet.sim.nodes.values())
    return fleet.sim.history.violations, {**outcomes, "ended_ones_dropped": dropped}


def refused_crowd(seed):
    """300 requests are refused for lack of replicas; none of them may stay in a journal."""
    fleet = ScenarioFleet(seed)
    for replica in fleet.sim.replicas.values():
        if replica.row["service"] == "words":
            replica.leave()
    fleet.run(1)
    for _ in range(300):
        fleet.start(fleet.callers.stream("wayfinding", "crowd", 8))
    fleet.run(5)
    journaled_count = sum(
        len(n.find("journal").streams) for n in fleet.sim.nodes.values() if n.find("journal")
    )
    if journaled_count:
        fleet.sim.history.violate(f"{journaled_count} refused requests are still in journals")
    return fleet.sim.history.violations, {**fleet.outcomes(), "held": journaled_count}


def frozen_holders(seed):
    """All possible journal backups of edge-1 freeze, senders resume there, and edge-1 dies.

    Every stream must still complete, resumed from a backup.
    """
    fleet = ScenarioFleet(seed)
    sim = fleet.sim
    fleet.route_to_edge("edge-1")
    for _ in range(16):
        fleet.start(fleet.callers.stream("wayfinding", "short", 200, drop_after=1 << 30))
    fleet.run(sim.chance.uniform(0.5, 1))
    for node in sim.up_nodes("edge") + sim.up_nodes("core"):
        if node.me.zone != sim.rows["edge-1"]["domain"]:
            sim.freeze(node.me.name, 3)
    fleet.run(sim.chance.uniform(2.5, 2.9))
    sim.kill("edge-1")
    fleet.route_to_any_edge()
    fleet.run(60)
    outcomes = fleet.outcomes()
    if outcomes != {"short/complete": 16}:
        sim.history.violate(f"not every stream completed: {outcomes}")
    return sim.history.violations, {**outcomes, "resumes": sim.history.counts.get("resumes", 0)}


def drop_oldest(self):
    """Replaces the guard: the oldest streams are dropped to free space, even those in flight."""
    while self._is_full() and self.streams:
        self.forget(min(self.streams.values(), key=lambda s: (s.has_ended, s.last_used_at)))


POINTS = [
    ("a result nobody read does not vanish", unread_results, [(Retention, "check", no_check)]),
    ("senders' keys do not meet", same_keys, [(api, "client_space", lambda client_name: "all")]),
    (
        "a stream under way is not dropped for want of room",
        full_journal,
        [(journal.Journal, "_make_room", drop_oldest)],
    ),
    (
        "a piece is held twice before a resumed sender sees it",
        frozen_holders,
        [(stream_takeover, "ensure_backup", lambda journal, stream: iter(()))],
    ),
    (
        "what was refused leaves nothing behind",
        refused_crowd,
        [(journal.Journal, "forget", no_check)],
    ),
]
