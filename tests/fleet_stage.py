"""A simulated fleet that founds itself, for tests of orders, takeovers and stores."""

from proving.sim.fleet import SimFleet
from quillring.kernel.bounds import Bounds
from quillring.kernel.effects import Sleep
from quillring.quorum.founding.bootstrap import found_at_first_start

SIZES = {"sizes": {"edge": 2, "core": 4, "store": 4}}


class SelfFoundingFleet:
    """A simulated fleet that its cores found at their first start.

    `is_first` is called with a node name and returns whether it is that core's first start.
    """

    def __init__(
        self,
        seed,
        sizes=SIZES,
        ready_at=8,
        is_first=lambda name: True,
        size=3,
        parts=2,
        has_witnesses=False,
    ):
        self.sim = SimFleet("ferrowa", seed, sizes)
        self.sim.bounds = Bounds(resync=5.0)
        self.size = size
        self.parts = parts
        self.has_witnesses = has_witnesses
        for name in self.sim.rows:
            self.start(name, is_first(name))
        self.env = self.sim.env
        self.env.run(until=ready_at)

    def start(self, name, is_first=False):
        """Start a node as the installed program does."""
        node = self.sim.start(name)
        if node.me.role == "core":
            if self.has_witnesses:
                node.find("elector").witness = name.replace("core", "store")
            node.spawn(found_at_first_start(node, is_first, self.parts, self.size))
        return node

    def run(self, seconds):
        """Advance the simulated time."""
        self.env.run(until=self.env.now + seconds)

    def ask(self, name, coroutine, seconds=10):
        """Run a coroutine on a node; return (value, error), or (None, None) if it times out."""
        node = self.sim.nodes[name]
        task = self.env.process(self.sim.run_coroutine(node, coroutine))
        self.env.run(until=task | self.env.timeout(seconds))
        return task.value if task.triggered else (None, None)

    def submit(self, name, command, part="config", seconds=0.8):
        """Submit a command at a core; return (answer, error)."""
        return self.ask(name, self.sim.nodes[name].find("ownership").submit(part, command, seconds))

    def read(self, name, query, part="config", seconds=0.8):
        """Make a fenced read of a part at a node; return (answer, error)."""
        return self.ask(name, self.sim.nodes[name].find("ownership").read(part, query, seconds))

    def owner(self, part="config"):
        """Return the name of the core that leads a part under the highest ballot, or None."""
        owners = [
            node.find("ownership").leaders[part]
            for node in self.sim.up_nodes("core")
            if part in node.find("ownership").leaders
            and node.find("ownership").leaders[part].is_leader
        ]
        return max(owners, key=lambda owner: owner.ballot).node.me.name if owners else None

    def stores(self):
        """Return the acceptors of the running stores by name."""
        return {n.me.name: n.find("acceptors") for n in self.sim.up_nodes("store")}

    def fleet_ids(self):
        """Return the ids of the fleets that the running stores belong to."""
        return {a.founding["fleet"] for a in self.stores().values() if a.founding}

    def wait_for(self, condition, seconds, step=0.05):
        """Run until `condition` holds; return the seconds it took, or None after `seconds`."""
        start_time = self.env.now
        while not condition():
            if self.env.now - start_time > seconds:
                return None
            self.run(step)
        return round(self.env.now - start_time, 2)


def do_nothing():
    """Coroutine: yield one Sleep(0) and return."""
    yield Sleep(0)
