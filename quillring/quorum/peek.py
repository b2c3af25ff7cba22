"""Reading a part while it has no owner: from a majority of its stores."""

from quillring.kernel.troubles import Trouble, rebuild
from quillring.quorum.parts import majority


def peek(node, part, group, query):
    """Script: return a function that gives the answer or raises it, or None when it is not sure.

    Whatever was chosen lies at one of the majority: applied there, or accepted beyond. What was
    accepted may or may not be chosen; where it concerns the lot that is asked for, or no lot, only
    an owner can tell. So it is when the stores tell of another group than the one asked.
    """
    calls = [
        (store, "quorum.peek", {"part": part, "identity": identity, "query": query})
        for store, identity, _ in group
    ]
    replies = yield from node.gather(calls, majority(group), node.bounds.reading / 4)
    known = [reply for reply in replies.values() if not isinstance(reply, Trouble)]
    if len(known) < majority(group):
        return None
    applied, knownGroup, _, kind, answer = max(known, key=lambda reply: reply[0])
    if sorted(map(list, knownGroup)) != sorted(map(list, group)):
        return None
    unsure = {lot for reply in known for index, lot in reply[2] if index > applied}
    if None in unsure or query.get("lot") in unsure or (unsure and "lot" not in query):
        return None

    def give():
        if kind is not None:
            raise rebuild(kind, answer)
        return answer

    return give
