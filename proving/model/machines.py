"""One modelled process: the production state machines of a store or a core, driven by inputs."""

import hashlib
from typing import NamedTuple

import cbor2

from proving.model.coroutines import CoroutineRuntime
from proving.model.events import Applied
from proving.model.freeze import Freezer, digest_of
from quillring.kernel.node import Node
from quillring.nifty import Member


class Input(NamedTuple):
    """What happens to one process: a verb with its subject, and the bytes of a message."""

    verb: str
    subject: object = None
    data: bytes = b""


class Reaction(NamedTuple):
    """What a process did in one step: messages as (target, bytes), and events."""

    sent: tuple
    events: tuple


class PeerTable:
    """Stands for the peer layer: everybody is a member and in reach; messages are collected."""

    def __init__(self, runtime, members, seeds=()):
        self.runtime = runtime
        self.seeds = tuple((name, 0) for name in seeds)
        self.roster = Members(members, {seed: seed[:1] for seed in self.seeds})
        self.level = 1 << 10

    def send(self, target, message):
        """Hand a message to the model's network."""
        return self.runtime.send(target, message)

    def reaches(self, name):
        """Tell that every node is in reach: a lost message is one that never arrives."""
        return True


class Members(NamedTuple):
    """The roster as its users read it."""

    members: dict
    addresses: dict


def make_member(name, incarnation, identity=""):
    """Return the member record of a modelled process, each in a zone of its own."""
    role = name.partition("-")[0]
    return Member(name, incarnation, role, f"zone-{name}", "127.0.0.1", 1, 2, identity)


def digest_state(state):
    """Return a short digest of a part's state."""
    return hashlib.sha256(cbor2.dumps(state)).hexdigest()[:12]


def applied_event(index, state):
    """Return the event that tells a committed state."""
    return Applied(index, digest_state(state), tuple(tuple(store) for store in state["group"]))


class Machine:
    """Base of the modelled processes; a subclass starts services and takes its own inputs."""

    def __init__(self, name, model):
        self.name = name
        self.model = model
        self.starts = 0
        self.runtime = None
        self.node = None
        self.events = []

    def start(self, identity=""):
        """Begin a new incarnation with nothing in memory."""
        self.starts += 1
        self.runtime = CoroutineRuntime(f"{self.name}#{self.starts}")
        self.node = Node(make_member(self.name, self.starts, identity), self.runtime)
        members = {name: make_member(name, 1) for name in self.model.names}
        self.node.offer("nifty", PeerTable(self.runtime, members, self.model.seeds))

    def react(self, step_input):
        """Take one input; return what was sent and what happened."""
        getattr(self, f"on_{step_input.verb}")(step_input)
        self.runtime.run()
        self.observe()
        reaction = Reaction(tuple(self.runtime.sent), tuple(self.events))
        self.runtime.sent, self.events = [], []
        return reaction

    def on_message(self, step_input):
        """Deliver a message; `subject` is its origin."""
        self.node.on_message(step_input.subject, cbor2.loads(step_input.data))

    def on_timer(self, step_input):
        """Let a timer fire; `subject` is the label of its coroutine."""
        self.runtime.fire(step_input.subject)

    def observe(self):
        """Add the events that the step brought about."""

    def opaque(self, value):
        """Return the canonical form of an object that isn't told by its fields, or None."""
        if isinstance(value, (PeerTable, CoroutineRuntime)):
            return (type(value).__name__,)
        return None

    def form(self, *more):
        """Return the digest of all that decides how this process goes on."""
        freezer = Freezer(self.opaque)
        tasks = [
            (task.label, getattr(task.effect, "signal", None), task.coroutine)
            for task in self.runtime.tasks
        ]
        memory = (self.node.pending_calls, self.node.last_call_id, tasks, *more)
        return digest_of((self.runtime.secrets, freezer.freeze(memory)))
