"""Which core sends an item of a lot of HTTP requests, and which lots are over."""

from quillring.lots.http_requests.lot_table import lot_records


def choose_worker(ledger, cores, replica):
    """Return the core that sends to a replica: one of its domain unless others have far less."""
    loads = ledger.runs_by_worker
    fewest = min((loads.get(name, 0) for name, _ in cores), default=0)
    near = [n for n, zone in cores if zone == replica.zone]
    if near and loads.get(near[0], 0) < fewest * 2 + 8:
        return near[0]
    return min((n for n, _ in cores), key=lambda n: loads.get(n, 0), default=None)


def is_lot_ended(node, lot_name):
    """Tell whether a lot of an owned part was ended."""
    return any(
        lot_records(owner.state).get(lot_name, {}).get("ended", False)
        for owner in node.find("ownership").leaders.values()
        if owner.state
    )


class LotExpiry:
    """Which lots are over whatever their items do: past their time, or their forward is gone."""

    __slots__ = ("node", "forward_seen_at")

    def __init__(self, node):
        self.node = node
        self.forward_seen_at = {}

    def lots_over(self, ledger):
        """Return the names of lots past the time they are kept, or whose forward surely is gone."""
        now, forwards = self.node.now(), self.node.find("forwards")
        names = {lot.forward for lot in ledger.lots.values()}
        is_fresh = self.node.find("freshness").is_fresh()
        for name in names:
            if (
                not is_fresh
                or forwards.find_by_name(name) is not None
                or name not in self.forward_seen_at
            ):
                self.forward_seen_at[name] = now
        patience = self.node.bounds.read_timeout
        return [
            lot.name
            for lot in ledger.lots.values()
            if now - lot.known_at > lot.retain_seconds + patience
            or now - self.forward_seen_at[lot.forward] > self.node.bounds.propagation
        ]
