"""What operators see of parts that change hands."""

from quillring.kernel.errors import QuillringError


def status_of(owner):
    """Return how far a core is with a part: its takeover, index, and the store it mends."""
    target = owner.mending.target
    fields = {"index": owner.index, "mends": [] if target is None else [target]}
    return {**owner.takeover.to_json(), **fields}


def newest_takeovers(node):
    """Script: ask the cores in reach; return {part: the takeover under the highest ballot}."""
    nifty = node.find("nifty")
    names = [name for name in node.find("ownership").cores() if nifty.reaches(name)]
    calls = [(name, "part.takeovers", None) for name in names]
    replies = yield from node.gather(calls, len(calls), node.bounds.round)
    newest = {}
    for reply in replies.values():
        for part, status in () if isinstance(reply, QuillringError) else reply.items():
            known = newest.get(part)
            if known is None or known["ballot"] < status["ballot"]:
                newest[part] = status
    return newest
