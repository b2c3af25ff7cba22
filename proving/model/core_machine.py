"""Model of a core: the production leader of one part, operator commands, reads and foundings."""

from typing import NamedTuple

from proving.model.events import Acknowledged, Established, Founded, ReadEnded, ReadStarted
from proving.model.machines import Machine, applied_event, digest_state
from proving.model.watched_leader import WatchedLeader
from quillring.kernel.errors import NotLeader, QuillringError
from quillring.quorum.founding.founding import found_fleet
from quillring.quorum.founding.founding_vote import FoundingVoter, agree_on_founding
from quillring.quorum.leader.follower_read import read_from_majority, unwrap_answer
from quillring.quorum.values import GroupMember, group_from_wire

CONFIGURATION = {"ask": "layout"}


class CoreStatus(NamedTuple):
    """The facts about a core that determine which choices it has."""

    is_leader: bool
    in_progress: frozenset
    timers: tuple
    calls: frozenset


class LocalGossip:
    """Substitute for gossip: a node sees only the values that it published itself."""

    def __init__(self):
        self.known = {}

    def get(self, key):
        """Return the last value published under a key, or None."""
        return self.known.get(key)

    def publish(self, key, version, value):
        """Store a value under its key."""
        self.known[key] = value

    def subscribe(self, prefix, listener):
        """Do nothing, since no values arrive from other nodes."""


class CoreMachine(Machine):
    """A core, which has no disk: after a crash only its name is left."""

    def __init__(self, name, context):
        super().__init__(name, context)
        self.owner = None
        self.in_progress = set()
        self.last_reported = None
        self.on_crash()

    def on_crash(self, step_input=None):
        """Restart with empty memory."""
        self.start()
        self.node.offer("gossip", LocalGossip())
        self.node.offer("elector", FoundingVoter(self.node))
        self.owner, self.in_progress, self.last_reported = None, set(), None

    def on_take(self, step_input):
        """Run an election for the part, as ownership does when the part ranks this core first."""
        previous = self.owner
        group = [list(s) for s in self.context.group] if previous is None else previous.group
        self.owner = WatchedLeader(self.node, self.context.part, group, previous)
        self.in_progress.add("take")
        self.runtime.spawn(self.owner.run_election(), "take", self._end_take)

    def _end_take(self, outcome):
        self.in_progress.discard("take")
        if not isinstance(outcome, QuillringError):
            self.events.append(Established(tuple(self.owner.ballot), self.owner.index))
            self.runtime.spawn(self.owner.run(), "run")

    def on_resign(self, step_input):
        """Step down as owner, as ownership does when the part ranks another core first."""
        self.owner.step_down(NotLeader(part=self.context.part))

    def on_submit(self, step_input):
        """Submit an operator's command to the owner; `subject` is (operator, position).

        A tuple of commands goes into one entry ahead of the queue, as membership repair submits
        the swap of a member.
        """
        operator, position = step_input.subject
        command, owner = self.context.operators[operator][position], self.owner
        if isinstance(command, tuple):
            self._submit_swap(operator, command)
            return

        def on_end(outcome):
            if isinstance(outcome, dict):
                base, version = command.get("base_version"), outcome.get("version")
                ballot = tuple(owner.ballot)
                event = Acknowledged(ballot, owner.index, operator, base, version)
                self.events.append(event)

        self.runtime.spawn(owner.submit(command), f"submit {operator}", on_end)

    def _submit_swap(self, operator, commands):
        owner = self.owner

        def on_end(outcome):
            if not isinstance(outcome, QuillringError):
                event = Acknowledged(tuple(owner.ballot), owner.index, operator, None, None)
                self.events.append(event)

        self.runtime.spawn(owner.submit_first(list(commands)), f"submit {operator}", on_end)

    def on_read(self, step_input):
        """Do a linearizable read: the owner confirms its ballot before it answers."""
        reader = self._begin_read("read")

        def on_end(outcome):
            digest = None if isinstance(outcome, QuillringError) else digest_state(outcome)
            self._end_read("read", ReadEnded(reader, digest, None))

        self.runtime.spawn(self.owner.linearizable_state(), "read", on_end)

    def on_peek(self, step_input):
        """Read the configuration from a majority of the stores.

        `subject` is the group that the reader assumes to be the current one.
        """
        reader = self._begin_read("peek")
        group = group_from_wire(step_input.subject)

        def on_end(outcome):
            version = outcome["version"] if isinstance(outcome, dict) else None
            self._end_read("peek", ReadEnded(reader, None, version))

        self.runtime.spawn(self._peek(group), "peek", on_end)

    def _peek(self, group):
        known = yield from read_from_majority(self.node, self.context.part, group, CONFIGURATION)
        return None if known is None else unwrap_answer(known)

    def _begin_read(self, kind):
        self.in_progress.add(kind)
        reader = f"{kind} at {self.name}"
        self.events.append(ReadStarted(reader))
        return reader

    def _end_read(self, kind, event):
        self.in_progress.discard(kind)
        self.events.append(event)

    def on_found_fleet(self, step_input):
        """Found the fleet on all stores, as a core does at its first start."""
        self.in_progress.add("found")

        def on_end(outcome):
            self.in_progress.discard("found")
            if isinstance(outcome, dict):
                self.events.append(Founded(outcome["fleet"]))

        stores = [GroupMember.from_wire(store) for store in self.context.group]
        choose = self._choose if self.context.seeds else None
        self.runtime.spawn(found_fleet(self.node, 1, 3, stores, choose), "found", on_end)

    def _choose(self, node, founding):
        """Coroutine: have the seeds agree on a founding record; the chosen record is final."""
        chosen = yield from agree_on_founding(node, founding)
        self.events.append(Founded(chosen["fleet"]))
        return chosen

    def collect_events(self):
        """Emit the committed state of this core's owner, once per ballot and index."""
        owner = self.owner
        if owner is None or owner.state is None:
            return
        self.events.extend(owner.skipped_prepares)
        owner.skipped_prepares.clear()
        key = (tuple(owner.ballot), owner.index)
        if key != self.last_reported:
            self.last_reported = key
            self.events.insert(0, applied_event(owner.index, owner.state))

    def status(self):
        """Return the facts that determine the choices at this core."""
        is_leader = self.owner is not None and self.owner.is_leader
        calls = frozenset(self.node.pending_calls)
        return CoreStatus(is_leader, frozenset(self.in_progress), self.runtime.timers(), calls)

    def state_digest(self):
        """Return the digest of the owner, its coroutines and its pending calls."""
        known = self.node.find("gossip").known
        ballot_number = self.node.find("elector").ballot_number
        return super().state_digest(
            self.start_count, self.owner, self.in_progress, known, self.last_reported, ballot_number
        )
