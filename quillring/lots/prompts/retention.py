"""Keeping the results of ended lots: bounded where lots are accepted, never by taking one away."""

from quillring.lots.prompts.state_machine import OPEN, TooManyLots

KEPT_SECONDS = 7 * 86_400
HELD_WEIGHT = 48 << 20
RESERVE = 1024


class Retention:
    """What the lots of the parts owned here weigh, and since when they have ended."""

    __slots__ = ("node", "weights", "ended_at", "looked_at")

    def __init__(self, node):
        self.node = node
        self.weights = {}
        self.ended_at = {}
        self.looked_at = {}

    def weight(self, part, name, lot):
        """Return what a lot weighs; an ended one is weighed once."""
        if lot["phase"] == OPEN:
            return lot["weight"] + RESERVE * lot["count"]
        known = self.weights.get((part, name))
        if known is None or known[0] is not lot["results"]:
            known = (lot["results"], sum(len(str(result)) for result in lot["results"].values()))
            self.weights[part, name] = known
        return known[1]

    def check(self, owner, command):
        """Refuse a lot when the part holds as much as it may, until some are released or old."""
        if command["do"] != "lot.accept" or command["lot"] in owner.state["lots"]:
            return
        held = sum(self.weight(owner.part, n, lot) for n, lot in owner.state["lots"].items())
        added = sum(map(len, command["items"])) + RESERVE * len(command["items"])
        if held + added > HELD_WEIGHT:
            raise TooManyLots(lot=command["lot"], held_weight=held)

    def drop_old(self, owner):
        """Forget lots that ended long ago by this owner's own clock; looked at now and then."""
        now, bounds = self.node.now(), self.node.bounds
        if now - self.looked_at.get(owner.part, -bounds.recovery) < bounds.recovery:
            return
        self.looked_at[owner.part] = now
        lots = owner.state["lots"]
        places = [(owner.part, name) for name, lot in lots.items() if lot["phase"] != OPEN]
        others = {key: at for key, at in self.ended_at.items() if key[0] != owner.part}
        self.ended_at = {**others, **{key: self.ended_at.get(key, now) for key in places}}
        self.weights = {
            key: known
            for key, known in self.weights.items()
            if key[0] != owner.part or key[1] in lots
        }
        for _, name in places:
            is_due = now - self.ended_at[owner.part, name] > KEPT_SECONDS
            if is_due and not owner.has_queued_commands():
                self.node.spawn(owner.submit({"do": "lot.drop", "lot": name}))
                return
