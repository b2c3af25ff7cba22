"""Scenarios about what is kept: unread results, keys of several senders, journals, long streams."""

from unittest import mock

from proving.points_base import Stage, no_check
from quillring.lots import front, keeping
from quillring.lots.front import release_lot, show_results, submit_lot
from quillring.lots.keeping import Keeping


def submit(stage, key, sender, items):
    """Hand in a lot; return (answer, trouble)."""
    body = {"entry": "gate-notices", "key": key, "items": items}
    return stage.finish(stage.start(
        stage.callers.ask(submit_lot, "POST", body=body, sender=sender)))


def unread_results(seed):
    """Lots come in that nobody reads, until the part is full; then some are released."""
    stage, accepted, refused, heaviest = Stage(seed), {}, 0, 0
    bound = 30_000
    with mock.patch.object(keeping, "HELD_WEIGHT", bound):
        for number in range(60):
            items = [f"unread {number} {n}" for n in range(3)]
            answer, trouble = submit(stage, f"k{number}", "ann", items)
            if answer:
                accepted[answer["lot"]] = items
            elif trouble.kind == "too_many_lots":
                refused += 1
            else:
                stage.sim.history.violate(f"strange refusal {trouble}")
            stage.run(0.7)
            heaviest = max(heaviest, *(_held(n) for n in stage.sim.up_nodes("core")))
        stage.run(10)
        _check_all_there(stage, accepted)
        if not refused or heaviest > bound:
            stage.sim.history.violate(f"{refused} refused, up to {heaviest} held of {bound}")
        for lot in list(accepted)[:6]:
            answer, trouble = stage.finish(stage.start(
                stage.callers.ask(release_lot, "POST", {"lot": lot}, sender="eve")))
            if answer or trouble.kind != "not_found":
                stage.sim.history.violate(f"another sender released a lot: {answer} {trouble}")
            stage.finish(stage.start(
                stage.callers.ask(release_lot, "POST", {"lot": lot}, sender="ann")))
            del accepted[lot]
        answer, trouble = submit(stage, "later", "ann", ["one more"])
        if not answer:
            stage.sim.history.violate(f"released room was not given: {trouble}")
        _check_all_there(stage, accepted)
    return stage.sim.history.violations, {
        "accepted": len(accepted) + 6, "refused": refused, "most_held": heaviest}


def _held(node):
    owners = node.find("duty").owners.values()
    return max((
        sum(node.find("keeping").weight(o.part, n, lot) for n, lot in o.state["lots"].items())
        for o in owners if o.is_owner), default=0)


def _check_all_there(stage, accepted):
    for lot, items in accepted.items():
        answer, trouble = stage.finish(stage.start(
            stage.callers.ask(show_results, words={"lot": lot}, sender="ann")))
        if not answer or len(answer["results"]) != len(items):
            stage.sim.history.violate(f"results of {lot} vanished: {answer} {trouble}")


def same_keys(seed):
    """Several senders use one key at once, each for a lot of its own."""
    stage = Stage(seed)
    senders = ["ann", "bob", "", "\u00fc", "ann "]
    lots = {}
    for sender in senders:
        answer, trouble = submit(stage, "monday", sender, [f"item of {sender}"])
        lots[sender] = answer["lot"] if answer else trouble.kind
    again, _ = submit(stage, "monday", "ann", ["item of ann"])
    other, trouble = submit(stage, "monday", "ann", ["another item"])
    if lots.pop("") != "bad_inquiry" or len(set(lots.values())) != 4:
        stage.sim.history.violate(f"keys of several senders met: {lots}")
    if not again or not again.get("repeated") or other or trouble.kind != "conflict":
        stage.sim.history.violate(f"the own key: {again} {other} {trouble}")
    return stage.sim.history.violations, {"lots": len(lots)}


POINTS = [
    ("a result nobody read does not vanish", unread_results, [(Keeping, "check", no_check)]),
    ("senders' keys do not meet", same_keys, [(front, "sender_space", lambda sender: "all")]),
]
