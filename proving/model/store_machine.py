"""A modelled store: the production acceptors over the production log, on a disk in memory."""

import cbor2

from proving.model.events import WrongVote
from proving.model.machines import Machine, applied_event
from proving.sim.disk import SimDisk
from quillring.fleet import open_store
from quillring.quorum import Acceptors
from quillring.quorum.founding.founding_vote import VOTE_FILES, FoundingVoter, Witness
from quillring.store import CheckpointedLog

SYNC_SECONDS = 1.0
OWN_IDENTITY = ("prepare", "accept", "commit", "install", "confirm", "catch_up", "peek", "found")


class HeldDisk(SimDisk):
    """A disk whose syncs end at once, or, while it is held, only by the model's choice."""

    def __init__(self):
        super().__init__(None)
        self.is_held = False

    def sync_delay_seconds(self):
        """Return how long the sync takes: any length that is not 0 waits for the model."""
        return SYNC_SECONDS if self.is_held else 0


class StoreMachine(Machine):
    """A store; `crash` loses memory and what was not synced, `wipe` the disk as well."""

    def __init__(self, name, model):
        super().__init__(name, model)
        self.disk = HeldDisk()
        self.disks = 1
        self.acceptors = None
        self.applied = {}
        self.elector = None
        self._open()

    def _open(self):
        self.acceptors = open_store(self.disk, self.name, lambda: str(self.disks))
        self.start(self.acceptors.identity)
        self.acceptors.attach(self.node)
        self._join_seeds()
        for service in OWN_IDENTITY:
            name = f"quorum.{service}"
            if name in self.node.handlers:
                self.node.handle(name, self._watched(service, self.node.handlers[name]))
        self.node.spawn(self.acceptors.log.run(SYNC_SECONDS))
        self.runtime.run()
        self.applied = {}

    def _join_seeds(self):
        """Vote on the founding if this store is a seed; its own disk is the witness."""
        self.elector = FoundingVoter(self.node)
        if self.name not in self.model.seeds:
            return
        self.node.offer("witness", Witness(self.node, self.disk))
        self.elector.witness = self.name
        self.elector.is_first_start = self.starts == 1
        self.node.spawn(self.elector.register_first_start())

    def _watched(self, service, handler):
        """Return the handler with an event for an answer under another's identity."""

        def on_call(body, origin):
            answer = yield from as_script(handler(body, origin))
            if body["identity"] != self.acceptors.identity and not self._is_founded_by(body):
                self.events.append(WrongVote(self.name, service))
            return answer

        return on_call

    def _is_founded_by(self, body):
        return "founding" in body

    def on_found(self, step_input):
        """Take the founding that the model begins with."""
        founding = self.model.founding
        body = {"identity": self.acceptors.identity, "founding": founding}
        self.node.spawn(as_script(self.acceptors.on_found(body, self.name)))

    def on_hold(self, step_input):
        """Deliver a message while the disk takes its time over a sync."""
        self.disk.is_held = True
        self.on_message(step_input)

    def on_sync(self, step_input):
        """Let the sync that takes its time end."""
        self.disk.is_held = False
        for label in self.runtime.timers():
            self.runtime.fire(label)

    def on_crash(self, step_input):
        """Lose the memory and all that was not synced; start again."""
        self.disk.lose_power()
        self.disk.is_held = False
        self._open()

    def on_wipe(self, step_input):
        """Lose the disk; start as a new member."""
        self.disk.lose_all()
        self.disks += 1
        self.disk.is_held = False
        self._open()

    def observe(self):
        """Tell the states that became known as committed here."""
        for part, record in self.acceptors.parts.items():
            if record.state is not None and self.applied.get(part) != record.applied:
                self.applied[part] = record.applied
                if part == self.model.part:
                    self.events.append(applied_event(record.applied, record.state))

    def facts(self):
        """Return what the model may choose here: whether a sync is held."""
        return self.disk.is_held

    def opaque(self, value):
        """Tell acceptors and slots by their contents on disk and in memory."""
        if isinstance(value, Acceptors):
            return ("acceptors",)
        if isinstance(value, CheckpointedLog):
            records = [commit.records for commit in value.pending]
            return ("slots", cbor2.dumps(records), value.is_writing, value.error is None)
        return super().opaque(value)

    def form(self):
        """Return the digest of memory, durable contents and coroutines under way."""
        memory = cbor2.dumps(self.acceptors.rows())
        log_caches = [record.log_cache for record in self.acceptors.parts.values()]
        elector = self.elector
        kept = [self.disk.durable.get(name) for name in VOTE_FILES]
        votes = (elector.vote.to_wire(), elector.is_first_start, kept)
        durable = self._durable_form()
        return super().form(memory, log_caches, durable, self.disk.is_held, self.disks, votes)

    def _durable_form(self):
        """Return what a start from this disk would find; folded logs of equal meaning are equal."""
        key = tuple(sorted(self.disk.durable.items()))
        known = self.model.durable_forms.get(key)
        if known is None:
            copied_disk = HeldDisk()
            copied_disk.durable = dict(self.disk.durable)
            found = open_store(copied_disk, self.name, lambda: "none")
            known = self.model.durable_forms[key] = cbor2.dumps(found.rows())
        return known


def as_script(answer):
    """Return a handler's answer, which may be a value or a coroutine, as a coroutine."""
    if hasattr(answer, "send"):
        return (yield from answer)
    return answer
