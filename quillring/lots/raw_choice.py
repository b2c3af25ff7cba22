"""Which core sends an item of a raw lot, and which lots are over."""

from quillring.lots.raw_state import raw_lots


def choose_worker(ledger, cores, replica):
    """Return the core that sends to a replica: one of its domain unless others have far less."""
    loads = ledger.runs_by_worker
    fewest = min((loads.get(name, 0) for name, _ in cores), default=0)
    near = [n for n, domain in cores if domain == replica.domain]
    if near and loads.get(near[0], 0) < fewest * 2 + 8:
        return near[0]
    return min((n for n, _ in cores), key=lambda n: loads.get(n, 0), default=None)


def raw_lots_ended(node, lot_name):
    """Tell whether a lot of an owned part was ended."""
    return any(
        raw_lots(owner.state).get(lot_name, {}).get("ended", False)
        for owner in node.find("ownership").owners.values()
        if owner.state
    )
