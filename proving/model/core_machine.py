"""A modelled core: production owners of one part, operators' commands, reads and foundings."""

from typing import NamedTuple

from proving.model.events import Acknowledged, Established, Founded, ReadBegan, ReadEnded
from proving.model.machines import Machine, applied_event, digest_state
from proving.model.watched_leader import WatchedLeader
from quillring.kernel.errors import NotLeader, QuillringError
from quillring.quorum.founding.founding import found_fleet
from quillring.quorum.founding.founding_vote import FoundingVoter, agree_on_founding
from quillring.quorum.leader.follower_read import read_from_majority, unwrap_answer
from quillring.quorum.values import GroupMember, group_from_wire

CONFIGURATION = {"ask": "layout"}


class CoreFacts(NamedTuple):
    """What decides over the choices at a core."""

    is_leader: bool
    busy: frozenset
    timers: tuple
    calls: frozenset


class News:
    """Stands for gossip at one node: what it put there itself."""

    def __init__(self):
        self.known = {}

    def get(self, key):
        """Return the newest value under a key, or None."""
        return self.known.get(key)

    def publish(self, key, version, value):
        """Keep a value."""
        self.known[key] = value

    def subscribe(self, prefix, listener):
        """Nothing is heard from others."""


class CoreMachine(Machine):
    """A core without a disk; a crash leaves nothing but its name."""

    def __init__(self, name, model):
        super().__init__(name, model)
        self.owner = None
        self.busy = set()
        self.told = None
        self.on_crash()

    def on_crash(self, step_input=None):
        """Start again with nothing."""
        self.start()
        self.node.offer("gossip", News())
        self.node.offer("elector", FoundingVoter(self.node))
        self.owner, self.busy, self.told = None, set(), None

    def on_take(self, step_input):
        """Begin a new term, as ownership does for a part that ranks this core first."""
        former = self.owner
        group = [list(store) for store in self.model.group] if former is None else former.group
        self.owner = WatchedLeader(self.node, self.model.part, group, former)
        self.busy.add("take")
        self.runtime.spawn(self.owner.run_election(), "take", self._end_take)

    def _end_take(self, outcome):
        self.busy.discard("take")
        if not isinstance(outcome, QuillringError):
            self.events.append(Established(tuple(self.owner.ballot), self.owner.index))
            self.runtime.spawn(self.owner.run(), "run")

    def on_resign(self, step_input):
        """Hand the part over, as ownership does when another core ranks first."""
        self.owner.step_down(NotLeader(part=self.model.part))

    def on_submit(self, step_input):
        """Commit an operator's command in the part owned here; `subject` is (operator, place).

        Several commands of one entry are put before all else, as repair does with a swap.
        """
        operator, place = step_input.subject
        command, owner = self.model.operators[operator][place], self.owner
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
        """Read the state under the owner's fence."""
        reader = self._begin_read("read")

        def on_end(outcome):
            digest = None if isinstance(outcome, QuillringError) else digest_state(outcome)
            self._end_read("read", ReadEnded(reader, digest, None))

        self.runtime.spawn(self.owner.linearizable_state(), "read", on_end)

    def on_peek(self, step_input):
        """Read the configuration from the stores; `subject` is the group that the node knows."""
        reader = self._begin_read("peek")
        group = group_from_wire(step_input.subject)

        def on_end(outcome):
            version = outcome["version"] if isinstance(outcome, dict) else None
            self._end_read("peek", ReadEnded(reader, None, version))

        self.runtime.spawn(self._peek(group), "peek", on_end)

    def _peek(self, group):
        known = yield from read_from_majority(self.node, self.model.part, group, CONFIGURATION)
        return None if known is None else unwrap_answer(known)

    def _begin_read(self, kind):
        self.busy.add(kind)
        reader = f"{kind} at {self.name}"
        self.events.append(ReadBegan(reader))
        return reader

    def _end_read(self, kind, event):
        self.busy.discard(kind)
        self.events.append(event)

    def on_found_fleet(self, step_input):
        """Found the fleet on all stores, as the first start of a core does."""
        self.busy.add("found")

        def on_end(outcome):
            self.busy.discard("found")
            if isinstance(outcome, dict):
                self.events.append(Founded(outcome["fleet"]))

        stores = [GroupMember.from_wire(store) for store in self.model.group]
        choose = self._choose if self.model.seeds else None
        self.runtime.spawn(found_fleet(self.node, 1, 3, stores, choose), "found", on_end)

    def _choose(self, node, founding):
        """Coroutine: have the seeds agree on a record; what they chose is founded for good."""
        chosen = yield from agree_on_founding(node, founding)
        self.events.append(Founded(chosen["fleet"]))
        return chosen

    def observe(self):
        """Tell the state that this core's owner holds, once for each index."""
        owner = self.owner
        if owner is None or owner.state is None:
            return
        self.events.extend(owner.unasked)
        owner.unasked.clear()
        key = (tuple(owner.ballot), owner.index)
        if key != self.told:
            self.told = key
            self.events.insert(0, applied_event(owner.index, owner.state))

    def facts(self):
        """Return what may be chosen here."""
        is_leader = self.owner is not None and self.owner.is_leader
        calls = frozenset(self.node.pending_calls)
        return CoreFacts(is_leader, frozenset(self.busy), self.runtime.timers(), calls)

    def form(self):
        """Return the digest of the owner, its coroutines and calls under way."""
        known = self.node.find("gossip").known
        ballot_number = self.node.find("elector").ballot_number
        return super().form(self.starts, self.owner, self.busy, known, self.told, ballot_number)
