"""Signs of life of replicas: a beat that brings nothing new is told in a table of many, not spread.

Whoever takes such a beat tells two cores, chosen by rendezvous; these gather what they are told
and tell all nodes. Two, so that the loss of one makes no replica look silent.
"""

from quillring.kernel.effects import Sleep
from quillring.ownership.candidates import order_candidates

TELLERS = 2


class Liveness:
    """The signs of life that wait here to be told, and who tells them."""

    __slots__ = ("node", "waiting", "graph", "roster", "teller_names")

    def __init__(self, node):
        self.node = node
        self.waiting = {}
        self.graph = self.roster = None
        self.teller_names = ()
        node.handle("replica.signs", self.on_signs)
        node.handle("replica.alive", self.on_alive)

    def tellers(self):
        """Return the cores in reach that tell all nodes."""
        nifty = self.node.find("nifty")
        if nifty.graph is not self.graph or nifty.roster is not self.roster:
            self.graph, self.roster = nifty.graph, nifty.roster
            cores = [m.name for m in nifty.roster.members.values() if m.role == "core"]
            self.teller_names = tuple(order_candidates("replica", cores, nifty.graph)[:TELLERS])
        return self.teller_names

    def note(self, name, incarnation, sequence):
        """Pass a sign of life on; False when there is no core to tell it."""
        signs = [[name, incarnation, sequence]]
        for teller in self.tellers():
            if teller == self.node.me.name:
                self.on_signs(signs, teller)
            else:
                self.node.send_oneway(teller, "replica.signs", signs)
        return bool(self.tellers())

    def on_signs(self, signs, origin):
        """Keep signs of life until they are told, which is soon."""
        if signs and not self.waiting:
            self.node.spawn(self._tell_soon())
        for name, *version in signs:
            self.waiting[name] = max(version, self.waiting.get(name, version))

    def _tell_soon(self):
        yield Sleep(self.node.bounds.report_delay)
        signs, self.waiting = [[name, *version] for name, version in self.waiting.items()], {}
        self.on_alive(signs, self.node.me.name)
        for name in self.node.find("nifty").graph.routes:
            self.node.send_oneway(name, "replica.alive", signs)

    def on_alive(self, signs, origin):
        """Take signs of life that a core tells."""
        for name, incarnation, sequence in signs:
            self.node.find("replicas").renew(name, incarnation, sequence)
