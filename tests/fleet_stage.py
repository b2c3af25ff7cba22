"""A simulated fleet that founds itself, for the tests of what operators and stores meet."""

from proving.sim.fleet import SimFleet
from quillring.kernel.bounds import Bounds
from quillring.kernel.effects import Sleep
from quillring.quorum.founding.bootstrap import found_at_first_start

SIZES = {"sizes": {"edge": 2, "core": 4, "store": 4}}


class SelfFounded:
    """A fleet whose cores found it at the first start, unless told otherwise."""

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
        """Start a node as the platform's program does."""
        node = self.sim.start(name)
        if node.me.role == "core":
            if self.has_witnesses:
                node.find("elector").witness = name.replace("core", "store")
            node.spawn(found_at_first_start(node, is_first, self.parts, self.size))
        return node

    def run(self, seconds):
        """Let time pass."""
        self.env.run(until=self.env.now + seconds)

    def ask(self, name, coroutine, seconds=10):
        """Run a coroutine on a node; return (its value, its error), (None, None) if it hangs."""
        node = self.sim.nodes[name]
        task = self.env.process(self.sim.run_coroutine(node, coroutine))
        self.env.run(until=task | self.env.timeout(seconds))
        return task.value if task.triggered else (None, None)

    def submit(self, name, command, part="config", seconds=0.8):
        """Commit a command at a core."""
        return self.ask(name, self.sim.nodes[name].find("ownership").submit(part, command, seconds))

    def read(self, name, query, part="config", seconds=0.8):
        """Read under the fence at a node."""
        return self.ask(name, self.sim.nodes[name].find("ownership").read(part, query, seconds))

    def owner(self, part="config"):
        """Return the core that owns a part by its own sight and that of its stores, or None."""
        owners = [
            node.find("ownership").leaders[part]
            for node in self.sim.up_nodes("core")
            if part in node.find("ownership").leaders
            and node.find("ownership").leaders[part].is_leader
        ]
        return max(owners, key=lambda owner: owner.ballot).node.me.name if owners else None

    def stores(self):
        """Return the acceptors of the running stores."""
        return {n.me.name: n.find("acceptors") for n in self.sim.up_nodes("store")}

    def fleets(self):
        """Return the fleets that stores were founded into."""
        return {a.founding["fleet"] for a in self.stores().values() if a.founding}

    def wait_for(self, is_so, seconds, step=0.05):
        """Let time pass until something is so; return how long it took, or None."""
        start_time = self.env.now
        while not is_so():
            if self.env.now - start_time > seconds:
                return None
            self.run(step)
        return round(self.env.now - start_time, 2)


def nothing():
    """Coroutine that does nothing."""
    yield Sleep(0)
