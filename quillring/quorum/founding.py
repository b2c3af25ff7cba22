"""Founding: one explicit, idempotent command that names the stores of every part."""

from quillring.kernel.troubles import Conflict, NoMajority, Refused, Trouble
from quillring.quorum.parts import choose_group, part_names


def found_fleet(node, partCount):
    """Script: found the fleet on the stores of the roster, or finish a founding begun before.

    The first store by name is asked first and alone: of two racing operators the one whose
    record it keeps has won, and the other carries on with the winner's record.
    """
    gossip, nifty = node.find("gossip"), node.find("nifty")
    knownFounding = gossip.get("founding")
    if knownFounding is not None:
        return {"fleet": knownFounding["fleet"], "was_founded": True}
    storeMembers = [m for m in nifty.roster.members.values() if m.role == "store"]
    stores = [[m.name, m.identity, m.domain] for m in storeMembers]
    groups = {part: choose_group(part, stores) for part in part_names(partCount)}
    if not all(groups.values()):
        domains = sorted({store[2] for store in stores})
        raise Refused(reason="stores in three domains are needed", domains=domains)
    secretBytes = node.world.secret(32)
    founding = {"fleet": secretBytes[:6].hex(), "groups": groups, "secret": secretBytes[6:]}
    arbiter, *otherStores = stores
    founding = yield from _found_at(node, arbiter, founding)
    calls = [
        (store[0], "quorum.found", {"identity": store[1], "founding": founding})
        for store in otherStores
    ]
    replies = yield from node.gather(calls, len(calls), node.bounds.news)
    troubles = {name: r.kind for name, r in replies.items() if isinstance(r, Trouble)}
    if troubles:
        raise NoMajority(reason="run the command again", stores=troubles)
    gossip.put("founding", [1], founding)
    return {"fleet": founding["fleet"], "was_founded": False}


def _found_at(node, store, founding):
    try:
        body = {"identity": store[1], "founding": founding}
        yield from node.call(store[0], "quorum.found", body, node.bounds.news)
    except Conflict as conflict:
        return conflict.detail["founding"]
    return founding
