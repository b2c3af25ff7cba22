"""What operators see of parts that change hands."""

from quillring.kernel.errors import QuillringError


def status_of(owner):
    """Return how far a core is with a part: its takeover, index, and the store it mends."""
    target = owner.anti_entropy.target
    fields = {"index": owner.index, "mends": [] if target is None else [target]}
    return {**owner.election_progress.to_json(), **fields}


def newest_takeovers(node):
    """Coroutine: ask the cores in reach; return {part: the takeover under the highest ballot}."""
    nifty = node.find("nifty")
    names = [name for name in node.find("ownership").cores() if nifty.reaches(name)]
    calls = [(name, "part.takeovers", None) for name in names]
    replies = yield from node.gather(calls, len(calls), node.bounds.call_timeout)
    newest = {}
    for reply in replies.values():
        for part, status in () if isinstance(reply, QuillringError) else reply.items():
            known = newest.get(part)
            if known is None or known["ballot"] < status["ballot"]:
                newest[part] = status
    return newest


def list_parts(node):
    """Return the parts with group, owner and ballot as heard, and the newest takeover."""
    ownership, gossip = node.find("ownership"), node.find("gossip")
    ownership.founding()
    takeovers = yield from newest_takeovers(node)
    return [
        {
            "part": part,
            "group": [store[0] for store in ownership.group(part)],
            **(gossip.get(f"owner/{part}") or {"owner": None, "ballot": None}),
            "takeover": takeovers.get(part),
        }
        for part in ownership.parts()
    ]
