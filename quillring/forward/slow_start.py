"""What a cold replica bears, summed over the fleet without asking anybody.

A few nodes, chosen by rendezvous, may send to a cold replica; each has an equal part of what it
bears a second. Nodes whose rosters differ for a moment differ in few of the chosen.
"""

from quillring.nifty.graph import score

PART = 4.0
SENDING_ROLES = ("edge", "core")


class Ramp:
    """The node's own part of each cold replica's bearable requests a second."""

    __slots__ = ("node", "spent", "parts", "basis")

    def __init__(self, node):
        self.node = node
        self.spent = {}
        self.parts = {}
        self.basis = None

    def take(self, replica, now):
        """Take one request's worth at a cold replica; False when there is none left now."""
        part = self.part(replica)
        if part <= 0:
            return False
        next_at = self.spent.get(replica.name, 0)
        if now < next_at:
            return False
        self.spent = {name: at for name, at in self.spent.items() if at > now - 1}
        self.spent[replica.name] = max(next_at, now - 1 / part) + 1 / part
        return True

    def part(self, replica):
        """Return how many requests a second this node may send to a cold replica."""
        nifty, configuration = self.node.find("nifty"), self.node.find("layout").configuration
        basis = (nifty.graph, nifty.roster, configuration)
        if self.basis is None or any(old is not new for old, new in zip(self.basis, basis)):
            self.basis, self.parts = basis, {}
        key = (replica.name, replica.slots)
        if key not in self.parts:
            self.parts[key] = self._find_part(replica, *basis)
        return self.parts[key]

    def _find_part(self, replica, graph, roster, configuration):
        services = (configuration or {}).get("services", {})
        rate = services.get(replica.service, {}).get("warm_rate") or replica.slots
        names = [
            m.name
            for m in roster.members.values()
            if m.role in SENDING_ROLES and (m.name in graph.routes or m.name == self.node.me.name)
        ]
        sender_count = max(1, min(len(names), int(rate / PART)))
        ranked = sorted(names, key=lambda name: score(replica.name, name), reverse=True)
        return rate / sender_count if self.node.me.name in ranked[:sender_count] else 0
