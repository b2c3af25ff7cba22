"""The simulated fleet that scenarios run on, and helpers that disable guards."""

from contextlib import ExitStack
from unittest import mock

from proving.sim.callers import SimCallers
from proving.sim.fleet import SimFleet
from proving.sim.monitor import Monitor
from proving.sim.seeded_run import AT_MOST_ONCE_CLASS
from quillring.kernel.routes import Request

SMALL_FLEET = {
    "sizes": {"edge": 4, "core": 3, "store": 4},
    "replicas": [("words", 4, 4), ("map", 2, 4)],
}


class ScenarioFleet:
    """A small founded fleet with callers and a monitor, advanced to simulated second `ready_at`."""

    def __init__(self, seed, deployment="ferrowa", sizes=SMALL_FLEET, ready_at=8, versions=None):
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
        """Advance simulated time by `seconds`."""
        self.env.run(until=self.env.now + seconds)

    def start(self, process):
        """Start a simulation process, such as a caller or an operator, and return it."""
        return self.env.process(process)

    def finish(self, process, seconds=60):
        """Advance time until a process ends and return its value, or None after `seconds`."""
        timeout = self.env.timeout(seconds)
        self.env.run(until=process | timeout)
        return process.value if process.triggered else None

    def node(self, name):
        """Return the node of this name."""
        return self.sim.nodes[name]

    def route_to_edge(self, name):
        """Make the load balancer send new connections to this edge only."""
        self.callers.edge = lambda: self.node(name)

    def route_to_any_edge(self):
        """Make the load balancer use every live edge again."""
        del self.callers.edge

    def request(self, method, path_words, query, body, client_name):
        """Return a request in the form in which the HTTP server passes it to handlers."""
        return Request(method, path_words, query, body, client_name)

    def outcomes(self):
        """Return the callers' outcome counts, keyed by "kind/outcome"."""
        return {
            f"{kind}/{outcome}": n
            for (kind, outcome), n in sorted(self.callers.record.outcomes.items())
        }


def no_check(*args):
    """Replacement for a disabled check or step."""


def always_hopeful(self, waiter):
    """Replaces the guard: a queued request is never refused before its deadline."""


def run_without_guards(guards, run):
    """Call `run` with its guards disabled; `guards` are (object, attribute name, replacement)."""
    with ExitStack() as stack:
        for target, name, replacement in guards:
            stack.enter_context(mock.patch.object(target, name, replacement))
        return run()
