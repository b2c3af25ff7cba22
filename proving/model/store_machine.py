"""Model of a store: the production acceptors and log on a simulated disk."""

import cbor2

from proving.model.events import AnsweredAsFormerIdentity
from proving.model.machines import Machine, applied_event
from proving.sim.disk import SimDisk
from quillring.fleet import open_store
from quillring.quorum import Acceptors
from quillring.quorum.founding.founding_vote import VOTE_FILES, FoundingVoter, Witness
from quillring.store import CheckpointedLog

SYNC_SECONDS = 1.0
IDENTITY_CHECKED_SERVICES = (
    "prepare",
    "accept",
    "commit",
    "install",
    "confirm",
    "catch_up",
    "peek",
    "found",
)


class HeldDisk(SimDisk):
    """A disk whose syncs complete at once or, while `is_held`, when the model fires a timer."""

    def __init__(self):
        super().__init__(None)
        self.is_held = False

    def sync_delay_seconds(self):
        """Return the duration of a sync: any other than 0 is a timer that the model fires."""
        return SYNC_SECONDS if self.is_held else 0


class StoreMachine(Machine):
    """A store; a crash loses memory and unsynced writes, a wipe loses the disk as well."""

    def __init__(self, name, context):
        super().__init__(name, context)
        self.disk = HeldDisk()
        self.disk_number = 1
        self.acceptors = None
        self.reported_indexes = {}
        self.voter = None
        self._open()

    def _open(self):
        """Start the store from its present disk, and wrap the handlers that check the identity."""
        self.acceptors = open_store(self.disk, self.name, lambda: str(self.disk_number))
        self.start(self.acceptors.identity)
        self.acceptors.attach(self.node)
        self._join_seeds()
        for service in IDENTITY_CHECKED_SERVICES:
            name = f"quorum.{service}"
            if name in self.node.handlers:
                self.node.handle(name, self._with_identity_check(service, self.node.handlers[name]))
        self.node.spawn(self.acceptors.log.run(SYNC_SECONDS))
        self.runtime.run()
        self.reported_indexes = {}

    def _join_seeds(self):
        """Set up the vote on the founding if this store is a seed; its own disk is the witness."""
        self.voter = FoundingVoter(self.node)
        if self.name not in self.context.seeds:
            return
        self.node.offer("witness", Witness(self.node, self.disk))
        self.voter.witness = self.name
        self.voter.is_first_start = self.start_count == 1
        self.node.spawn(self.voter.register_first_start())

    def _with_identity_check(self, service, handler):
        """Wrap a handler to report answers to requests that are addressed to another identity."""

        def on_call(body, origin):
            answer = yield from as_coroutine(handler(body, origin))
            if body["identity"] != self.acceptors.identity and not self._is_founding_call(body):
                self.events.append(AnsweredAsFormerIdentity(self.name, service))
            return answer

        return on_call

    def _is_founding_call(self, body):
        """Return whether a request carries the founding record."""
        return "founding" in body

    def on_found(self, step_input):
        """Store the founding record that the world starts with."""
        founding = self.context.founding
        body = {"identity": self.acceptors.identity, "founding": founding}
        self.node.spawn(as_coroutine(self.acceptors.on_found(body, self.name)))

    def on_hold(self, step_input):
        """Handle a message; its disk sync stays pending until `on_sync`."""
        self.disk.is_held = True
        self.on_message(step_input)

    def on_sync(self, step_input):
        """Complete the pending sync."""
        self.disk.is_held = False
        for label in self.runtime.timers():
            self.runtime.fire(label)

    def on_crash(self, step_input):
        """Restart after a power loss, without memory and unsynced writes."""
        self.disk.lose_power()
        self.disk.is_held = False
        self._open()

    def on_wipe(self, step_input):
        """Restart with an empty disk, as a new member."""
        self.disk.lose_all()
        self.disk_number += 1
        self.disk.is_held = False
        self._open()

    def collect_events(self):
        """Emit the states that this store has newly applied as committed."""
        for part, record in self.acceptors.parts.items():
            if record.state is not None and self.reported_indexes.get(part) != record.applied:
                self.reported_indexes[part] = record.applied
                if part == self.context.part:
                    self.events.append(applied_event(record.applied, record.state))

    def status(self):
        """Return whether a sync is pending, which determines the choices at this store."""
        return self.disk.is_held

    def opaque_form(self, value):
        """Replace the acceptors by a constant, and describe the log by its pending commits.

        `state_digest` adds the contents of the acceptors and of the disk.
        """
        if isinstance(value, Acceptors):
            return ("acceptors",)
        if isinstance(value, CheckpointedLog):
            records = [commit.records for commit in value.pending]
            return ("slots", cbor2.dumps(records), value.is_writing, value.error is None)
        return super().opaque_form(value)

    def state_digest(self):
        """Return the digest of memory, durable contents and suspended coroutines."""
        memory = cbor2.dumps(self.acceptors.rows())
        log_caches = [record.log_cache for record in self.acceptors.parts.values()]
        voter = self.voter
        vote_files = [self.disk.durable.get(name) for name in VOTE_FILES]
        votes = (voter.vote.to_wire(), voter.is_first_start, vote_files)
        durable = self._durable_form()
        return super().state_digest(
            memory, log_caches, durable, self.disk.is_held, self.disk_number, votes
        )

    def _durable_form(self):
        """Return the contents that a restart would read from this disk.

        Logs that differ only by their checkpoints and contain the same state are equal.
        """
        key = tuple(sorted(self.disk.durable.items()))
        rows = self.context.durable_forms.get(key)
        if rows is None:
            copied_disk = HeldDisk()
            copied_disk.durable = dict(self.disk.durable)
            acceptors = open_store(copied_disk, self.name, lambda: "none")
            rows = self.context.durable_forms[key] = cbor2.dumps(acceptors.rows())
        return rows


def as_coroutine(answer):
    """Coroutine: return a handler's answer, which may be a value or a coroutine."""
    if hasattr(answer, "send"):
        return (yield from answer)
    return answer
