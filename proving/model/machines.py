"""Base of modelled processes: production state machines of a store or core, driven by inputs."""

import hashlib
from typing import NamedTuple

import cbor2

from proving.model.coroutines import CoroutineRuntime
from proving.model.events import Applied
from proving.model.freeze import Canonicalizer, digest_of
from quillring.kernel.node import Node
from quillring.nifty import Member


class Input(NamedTuple):
    """One input to a process: a verb, its subject and, for a message, the encoded bytes."""

    verb: str
    subject: object = None
    data: bytes = b""


class Reaction(NamedTuple):
    """Effects of one step of a process: messages sent as (target, bytes), and events."""

    sent: tuple
    events: tuple


class PeerTable:
    """Substitute for the peer layer: every node is a reachable member; messages are collected."""

    def __init__(self, runtime, members, seeds=()):
        self.runtime = runtime
        self.seeds = tuple((name, 0) for name in seeds)
        self.roster = Roster(members, {seed: seed[:1] for seed in self.seeds})
        self.level = 1 << 10

    def send(self, target, message):
        """Pass a message to the model's network."""
        return self.runtime.send(target, message)

    def reaches(self, name):
        """Return True for every node: the model loses messages by never delivering them."""
        return True


class Roster(NamedTuple):
    """The part of the roster that its users read."""

    members: dict
    addresses: dict


def make_member(name, incarnation, identity=""):
    """Return the member record of a modelled process; each process has its own zone."""
    role = name.partition("-")[0]
    return Member(name, incarnation, role, f"zone-{name}", "127.0.0.1", 1, 2, identity)


def digest_state(state):
    """Return a short digest of a part's state."""
    return hashlib.sha256(cbor2.dumps(state)).hexdigest()[:12]


def applied_event(index, state):
    """Return the event for a committed state."""
    return Applied(index, digest_state(state), tuple(tuple(store) for store in state["group"]))


class Machine:
    """Base class of modelled processes; subclasses start services and add inputs."""

    def __init__(self, name, context):
        self.name = name
        self.context = context
        self.start_count = 0
        self.runtime = None
        self.node = None
        self.events = []

    def start(self, identity=""):
        """Start a new incarnation with empty memory."""
        self.start_count += 1
        self.runtime = CoroutineRuntime(f"{self.name}#{self.start_count}")
        self.node = Node(make_member(self.name, self.start_count, identity), self.runtime)
        members = {name: make_member(name, 1) for name in self.context.names}
        self.node.offer("nifty", PeerTable(self.runtime, members, self.context.seeds))

    def react(self, step_input):
        """Process one input, run until all coroutines wait, and return the reaction."""
        getattr(self, f"on_{step_input.verb}")(step_input)
        self.runtime.run()
        self.collect_events()
        reaction = Reaction(tuple(self.runtime.sent), tuple(self.events))
        self.runtime.sent, self.events = [], []
        return reaction

    def on_message(self, step_input):
        """Handle a message; `subject` is its sender."""
        self.node.on_message(step_input.subject, cbor2.loads(step_input.data))

    def on_timer(self, step_input):
        """Fire a timer; `subject` is the label of its coroutine."""
        self.runtime.fire(step_input.subject)

    def collect_events(self):
        """Append the events that the step caused."""

    def opaque_form(self, value):
        """Return the canonical form of an object that isn't described by its fields, or None."""
        if isinstance(value, (PeerTable, CoroutineRuntime)):
            return (type(value).__name__,)
        return None

    def state_digest(self, *extra_state):
        """Return the digest of all state that determines the future steps of this process."""
        freezer = Canonicalizer(self.opaque_form)
        tasks = [
            (task.label, getattr(task.effect, "signal", None), task.coroutine)
            for task in self.runtime.tasks
        ]
        memory = (self.node.pending_calls, self.node.last_call_id, tasks, *extra_state)
        return digest_of((self.runtime.secret_count, freezer.freeze(memory)))
