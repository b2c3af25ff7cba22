"""A simulated fleet in which some nodes run the landed version and others the present one.

Both versions exchange bytes over one simulated network. A node that restarts under another version
keeps its disk.
"""

import operator
import random

from proving.sim import callers as present
from proving.sim.callers import Connection, SimCallers
from proving.sim.disk import SimDisk
from proving.sim.fleet import SimFleet
from proving.sim.seeded_run import SMALL_SIZES
from quillring.kernel.errors import error_from_wire
from quillring.kernel.routes import Request
from quillring.kernel.settings import split_address
from quillring.quorum.founding import found_fleet
from tests.landed_code import landed

READY_AT = 8.0

LandedError = landed("quillring.kernel.errors", "QuillringError")
LandedRequest = landed("quillring.kernel.wsgi", "Request")
LandedNode = landed("quillring.kernel.node", "Node")

# Attributes that the simulator reads by their present name, and their name in the landed version.
for landed_class, name, landed_name in (
    (LandedNode, "runtime", "world"),
    (landed("quillring.edge", "Replicas"), "on_heartbeat", "on_beat"),
):
    setattr(landed_class, name, property(operator.attrgetter(landed_name)))

LANDED_EQUIVALENTS = {
    present.serve_model: landed("quillring.edge.streams", "serve_model"),
    present.resume_stream: landed("quillring.edge.streams", "resume_stream"),
    present.serve_idempotent_read: landed("quillring.edge.short", "serve_tile"),
    present.submit_lot: landed("quillring.lots.front", "submit_lot"),
    present.show_results: landed("quillring.lots.front", "show_results"),
    present.cancel_lot: landed("quillring.lots.front", "cancel_lot"),
    found_fleet: landed("quillring.quorum.founding", "found_fleet"),
}


def is_landed(node):
    """Return whether a node runs the landed version."""
    return isinstance(node, LandedNode)


def call_own_version(node, function, *arguments):
    """Call the equivalent of `function` in the node's version; return the coroutine."""
    if not is_landed(node):
        return function(node, *arguments)
    return LANDED_EQUIVALENTS[function](node, *map(to_landed, arguments))


def to_landed(value):
    """Convert a request to the landed version's class; return other values unchanged."""
    if not isinstance(value, Request):
        return value
    return LandedRequest(*(getattr(value, slot) for slot in Request.__slots__))


class MixedFleet(SimFleet):
    """A small fleet; the nodes named in `landed_names` start under the landed version."""

    def __init__(self, seed, landed_names, sizes=SMALL_SIZES):
        super().__init__("ferrowa", seed, sizes)
        self.landed_names = set(landed_names)
        self.landed_backends = landed("proving.sim.backends", "Backends")(self)
        self.landed_backends.replicas = self.backends.replicas

    def start(self, name):
        """Start a node under its version, with the present content of its disk."""
        if name not in self.landed_names:
            return super().start(name)
        row, address = self.rows[name], split_address(self.rows[name]["address"])
        self.starts += 1
        landed_runtime = landed("proving.sim.world", "SimWorld")(
            self.env,
            self.net,
            self.landed_backends,
            address,
            f"{self.seed} {name} {self.starts}",
            self.faults,
        )
        acceptors = None
        if row["role"] == "store":
            acceptors = landed("quillring.fleet", "open_store")(
                self.landed_disk(name), name, lambda: f"{self.starts:04d}"
            )
        identity = acceptors.identity if acceptors else ""
        me = landed("quillring.nifty", "Member")(
            name, 100 + self.starts, row["role"], row["domain"], *address, 8400, identity
        )
        seeds = [split_address(seed) for seed in row["seeds"]]
        bounds = landed("quillring.kernel.bounds", "Bounds")()
        node = landed("quillring.fleet", "make_node")(
            me, landed_runtime, seeds, bounds, self._logger(name)
        )
        landed("quillring.fleet", "start_node")(node, acceptors)
        landed_runtime.on_refused = node.find("nifty").on_refused
        landed_runtime.listen(node.find("nifty").on_datagram, node.find("nifty").on_frame)
        self.nodes[name] = node
        return node

    def landed_disk(self, name):
        """Return the disk of a store as the landed version's class; the content is shared."""
        disk = self.disks.setdefault(name, SimDisk(random.Random(f"{self.seed} {name}")))
        landed_view = landed("proving.sim.disk", "SimDisk")(disk.chance)
        landed_view.durable, landed_view.pending = disk.durable, disk.pending
        return landed_view

    def run_coroutine(self, node, coroutine, sink=None):
        """Process: run a coroutine on a node; convert an error of the landed version."""
        try:
            return (yield from super().run_coroutine(node, coroutine, sink))
        except LandedError as error:
            return None, error_from_wire(error.kind, error.detail)

    def found(self):
        """Process: found the fleet from core-1 and adopt the configuration of the example."""
        core, error = self.nodes["core-1"], True
        while error:
            yield self.env.timeout(0.5)
            _, error = yield from self.run_coroutine(core, call_own_version(core, found_fleet, 2))
        command = {
            "do": "layout.adopt",
            "id": "first",
            "base_version": 0,
            "change": self.configuration,
            "whole": True,
        }
        error = True
        while error:
            yield self.env.timeout(0.3)
            submitting = core.find("ownership").submit("config", command)
            _, error = yield from self.run_coroutine(core, submitting)

    def start_serving(self):
        """Start all nodes and replicas and run until READY_AT; return the callers."""
        self.start_all()
        self.env.process(self.found())
        self.env.run(until=READY_AT)
        return MixedCallers(self)

    def restart(self, name, is_landed):
        """Kill a node and start it under the landed or the present version."""
        (self.landed_names.add if is_landed else self.landed_names.discard)(name)
        self.kill(name)
        self.env.run(until=self.env.now + 0.3)
        self.start(name)


class MixedCallers(SimCallers):
    """Callers that reach edges of both versions."""

    def ask(self, make, *arguments, **options):
        """Process: make one request with a single answer; return (answer, error)."""
        return super().ask(
            lambda node, request: call_own_version(node, make, request), *arguments, **options
        )

    def _open(self, node, answer, client_name, route):
        if answer.token is None:
            body = {"entry": route, "prompt": answer.prompt, "max_pieces": answer.max_pieces}
            request, function = Request("POST", {}, {}, body, client_name), present.serve_model
        else:
            query = {"after": [str(len(answer.pieces))]}
            request = Request("GET", {"token": answer.token}, query, None, client_name)
            function = present.resume_stream
        return Connection(self.sim, node, call_own_version(node, function, request))
