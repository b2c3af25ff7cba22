"""Scenarios about retention: unread results, keys of several senders, journals, long streams."""

from unittest import mock

from proving.points.scenario_fleet import Stage, no_check
from quillring.edge import journal, stream_takeover
from quillring.lots.prompts import api, retention
from quillring.lots.prompts.api import release_lot, show_results, submit_lot
from quillring.lots.prompts.retention import Retention


def submit(stage, key, client_name, items):
    """Hand in a lot; return (answer, error)."""
    body = {"entry": "gate-notices", "key": key, "items": items}
    return stage.finish(
        stage.start(stage.callers.ask(submit_lot, "POST", body=body, client_name=client_name))
    )


def unread_results(seed):
    """Lots come in that nobody reads, until the part is full; then some are released."""
    stage, accepted, refused, heaviest = Stage(seed), {}, 0, 0
    bound = 30_000
    with mock.patch.object(retention, "HELD_LIMIT_BYTES", bound):
        for number in range(60):
            items = [f"unread {number} {n}" for n in range(3)]
            answer, error = submit(stage, f"k{number}", "ann", items)
            if answer:
                accepted[answer["lot"]] = items
            elif error.kind == "too_many_lots":
                refused += 1
            else:
                stage.sim.history.violate(f"strange refusal {error}")
            stage.run(0.7)
            heaviest = max(heaviest, *(_held(n) for n in stage.sim.up_nodes("core")))
        stage.run(10)
        _check_all_there(stage, accepted)
        if not refused or heaviest > bound:
            stage.sim.history.violate(f"{refused} refused, up to {heaviest} held of {bound}")
        for lot in list(accepted)[:6]:
            answer, error = stage.finish(
                stage.start(stage.callers.ask(release_lot, "POST", {"lot": lot}, client_name="eve"))
            )
            if answer or error.kind != "not_found":
                stage.sim.history.violate(f"another sender released a lot: {answer} {error}")
            stage.finish(
                stage.start(stage.callers.ask(release_lot, "POST", {"lot": lot}, client_name="ann"))
            )
            del accepted[lot]
        answer, error = submit(stage, "later", "ann", ["one more"])
        if not answer:
            stage.sim.history.violate(f"released room was not given: {error}")
        _check_all_there(stage, accepted)
    return stage.sim.history.violations, {
        "accepted": len(accepted) + 6,
        "refused": refused,
        "most_held": heaviest,
    }


def _held(node):
    owners = node.find("ownership").leaders.values()
    return max(
        (
            sum(node.find("keeping").weight(o.part, n, lot) for n, lot in o.state["lots"].items())
            for o in owners
            if o.is_leader
        ),
        default=0,
    )


def _check_all_there(stage, accepted):
    for lot, items in accepted.items():
        answer, error = stage.finish(
            stage.start(stage.callers.ask(show_results, words={"lot": lot}, client_name="ann"))
        )
        if not answer or len(answer["results"]) != len(items):
            stage.sim.history.violate(f"results of {lot} vanished: {answer} {error}")


def same_keys(seed):
    """Several senders use one key at once, each for a lot of its own."""
    stage = Stage(seed)
    client_names = ["ann", "bob", "", "\u00fc", "ann "]
    lots = {}
    for client_name in client_names:
        answer, error = submit(stage, "monday", client_name, [f"item of {client_name}"])
        lots[client_name] = answer["lot"] if answer else error.kind
    again, _ = submit(stage, "monday", "ann", ["item of ann"])
    other, error = submit(stage, "monday", "ann", ["another item"])
    if lots.pop("") != "bad_inquiry" or len(set(lots.values())) != 4:
        stage.sim.history.violate(f"keys of several senders met: {lots}")
    if not again or not again.get("repeated") or other or error.kind != "conflict":
        stage.sim.history.violate(f"the own key: {again} {other} {error}")
    return stage.sim.history.violations, {"lots": len(lots)}


def full_journal(seed):
    """Journals are small; streams under way fill them while many others come and end."""
    stage = Stage(seed)
    callers = stage.callers
    with mock.patch.object(journal, "MAX_BYTES", 9_000):
        for _ in range(8):
            stage.start(callers.stream("tagging", "long", 400, drop_after=60))
        for _ in range(60):
            stage.start(callers.stream("wayfinding", "short", 30, drop_after=1 << 30))
            stage.run(0.25)
        stage.run(40)
    outcomes = stage.outcomes()
    if outcomes.get("long/complete", 0) + outcomes.get("long/refused", 0) != 8:
        stage.sim.history.violate(f"streams under way were dropped: {outcomes}")
    if outcomes.get("short/complete", 0) < 20:
        stage.sim.history.violate(f"no room was made for others: {outcomes}")
    weights = [n.find("journal").size for n in stage.sim.nodes.values() if n.find("journal")]
    if max(weights) > 50_000:
        stage.sim.history.violate(f"journals weigh {weights}")
    dropped = sum(n.counts.get("streams_dropped", 0) for n in stage.sim.nodes.values())
    return stage.sim.history.violations, {**outcomes, "ended_ones_dropped": dropped}


def refused_crowd(seed):
    """A crowd is refused; nothing of it stays in the journals."""
    stage = Stage(seed)
    for replica in stage.sim.replicas.values():
        if replica.row["service"] == "words":
            replica.leave()
    stage.run(1)
    for _ in range(300):
        stage.start(stage.callers.stream("wayfinding", "crowd", 8))
    stage.run(5)
    held = sum(
        len(n.find("journal").streams) for n in stage.sim.nodes.values() if n.find("journal")
    )
    if held:
        stage.sim.history.violate(f"{held} refused inquiries are still in journals")
    return stage.sim.history.violations, {**stage.outcomes(), "held": held}


def frozen_holders(seed):
    """All that could hold a piece freeze; the sender asks its edge again; then that edge dies."""
    stage = Stage(seed)
    sim = stage.sim
    stage.only_edge("edge-1")
    for _ in range(16):
        stage.start(stage.callers.stream("wayfinding", "short", 200, drop_after=1 << 30))
    stage.run(sim.chance.uniform(0.5, 1))
    for node in sim.up_nodes("edge") + sim.up_nodes("core"):
        if node.me.zone != sim.rows["edge-1"]["domain"]:
            sim.freeze(node.me.name, 3)
    stage.run(sim.chance.uniform(2.5, 2.9))
    sim.kill("edge-1")
    stage.any_edge()
    stage.run(60)
    outcomes = stage.outcomes()
    if outcomes != {"short/complete": 16}:
        sim.history.violate(f"conversations were dropped: {outcomes}")
    return sim.history.violations, {**outcomes, "resumes": sim.history.counts.get("resumes", 0)}


def drop_oldest(self):
    """Stand-in for the guard: room is made by dropping the oldest, under way or not."""
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
