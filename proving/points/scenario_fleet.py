"""A small simulated fleet with callers and a monitor, and replacements for guards taken out."""

from contextlib import ExitStack
from unittest import mock

from proving.sim.callers import SimCallers
from proving.sim.fleet import SimFleet
from proving.sim.monitor import Monitor
from proving.sim.seeded_run import AT_MOST_ONCE_CLASS
from quillring.kernel.routes import Request

SMALL = {
    "sizes": {"edge": 4, "core": 3, "store": 4},
    "replicas": [("words", 4, 4), ("map", 2, 4)],
}


class Stage:
    """A small bootstrapped fleet with callers and a monitor, run until `ready_at` seconds."""

    def __init__(self, seed, deployment="ferrowa", sizes=SMALL, ready_at=8, versions=None):
        self.sim = SimFleet(deployment, seed, sizes)
        configuration = self.sim.configuration
        self.sim.configuration = {
            **configuration,
            "classes": {**configuration["classes"], "once": AT_MOST_ONCE_CLASS},
            "entries": {**configuration["entries"], "once": {"service": "words", "class": "once"}},
        }
        if versions is not None:
            self.sim.versions = dict.fromkeys(self.sim.rows, versions)
        self.sim.start_all()
        self.env = self.sim.env
        self.env.process(self.sim.found())
        self.monitor = Monitor(self.sim)
        self.callers = SimCallers(self.sim)
        self.env.run(until=ready_at)

    def run(self, seconds):
        """Let time pass."""
        self.env.run(until=self.env.now + seconds)

    def start(self, process):
        """Start a caller or operator."""
        return self.env.process(process)

    def finish(self, process, seconds=60):
        """Let time pass until a process has ended; return its value."""
        limit = self.env.timeout(seconds)
        self.env.run(until=process | limit)
        return process.value if process.triggered else None

    def node(self, name):
        """Return a node."""
        return self.sim.nodes[name]

    def only_edge(self, name):
        """Have the load balancer give new connections to this edge only."""
        self.callers.edge = lambda: self.node(name)

    def any_edge(self):
        """Have the load balancer use every live edge again."""
        del self.callers.edge

    def request(self, method, words, query, body, client_name):
        """Return an inquiry as the HTTP side hands it on."""
        return Request(method, words, query, body, client_name)

    def outcomes(self):
        """Return {kind/outcome: count} of the callers."""
        return {f"{k}/{o}": n for (k, o), n in sorted(self.callers.record.outcomes.items())}


def no_check(*words):
    """Replacement for a check that is taken out: it does nothing."""


def always_hopeful(self, waiter):
    """Stand-in for the guard: whoever waits keeps waiting."""


def without(guards, run):
    """Run a scenario with its guards taken out; `guards` are (object, name, replacement)."""
    with ExitStack() as stack:
        for target, name, replacement in guards:
            stack.enter_context(mock.patch.object(target, name, replacement))
        return run()
