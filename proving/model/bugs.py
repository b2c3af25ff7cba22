"""Seeded bugs: each removes one safeguard of the product to test that the checker detects it.

Each bug is a function that returns a context manager, which patches the product while it is active.
"""

from typing import NamedTuple
from unittest import mock

import quillring.quorum.acceptor.state as acceptor_state
from proving.model.errors import UnknownName
from proving.model.patches import apply_patches, patch_handler, run_without_sync
from proving.model.phase_bugs import skip_promise_again, stay_in_phase_two
from proving.model.store_machine import as_coroutine
from proving.model.vote_bugs import accept_below_vote, tell_no_record, vote_in_memory
from quillring.quorum import commands
from quillring.quorum.acceptor.state import AcceptorState
from quillring.quorum.commands import COMMANDS
from quillring.quorum.leader import follower_read, quorum_call, state_machine
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.leader.state_fetch import StateFetcher
from quillring.quorum.values import Ballot


class Bug(NamedTuple):
    """A seeded bug: the patch, the world in which it is found, and the bounds of the search."""

    patch: object
    world: str
    bounds: dict

    @property
    def about(self):
        """One sentence on what the patched product does wrong."""
        return self.patch.__doc__


def accept_below_promise():
    """An acceptor accepts an entry under a ballot below the one it promised."""

    def replacement(real, self, body, origin):
        record = self.parts.get(body["part"])
        if record is not None:
            record.promised = min(record.promised, Ballot.from_wire(body["ballot"]))
        return real(self, body, origin)

    return apply_patches([patch_handler("on_accept", replacement)])


def confirm_anyone():
    """An acceptor confirms any ballot as the newest it promised."""
    return apply_patches([patch_handler("on_confirm", lambda real, self, body, origin: True)])


def answer_for_former_self():
    """An acceptor doesn't check that the identity in a request is its own."""

    def replacement(real, self, body, origin):
        return real(self, {**body, "identity": self.identity}, origin)

    names = ("on_prepare", "on_accept", "on_commit", "on_install", "on_catch_up", "on_confirm")
    return apply_patches([patch_handler(name, replacement) for name in names])


def promise_in_memory():
    """An acceptor answers a prepare request before its promise is durable."""
    return apply_patches([patch_handler("on_prepare", run_without_sync)])


def accept_in_memory():
    """An acceptor answers an accept request before the entry is durable."""
    return apply_patches([patch_handler("on_accept", run_without_sync)])


def forget_tail():
    """A new owner doesn't propose again the uncommitted entries that may have been chosen."""

    def replacement(real, self, body, origin):
        fields = yield from as_coroutine(real(self, body, origin))
        fields[3] = []
        return fields

    return apply_patches([patch_handler("on_prepare", replacement)])


def reuse_ballot():
    """A core that becomes the owner of a part again starts over with its first ballot."""
    real = PartLeader.__init__

    def init(self, node, part, group, former=None):
        real(self, node, part, group)

    return apply_patches([mock.patch.object(PartLeader, "__init__", init)])


def learn_any_ballot():
    """A store applies its entry at a committed index whatever the entry's ballot is."""
    real = AcceptorState.apply_committed

    def apply_committed(self, ballot, committed):
        self.entries = {i: entry._replace(ballot=ballot) for i, entry in self.entries.items()}
        real(self, ballot, committed)

    return apply_patches([mock.patch.object(AcceptorState, "apply_committed", apply_committed)])


def change_group_at_will():
    """A group may change to any other group in one step."""

    def change_group(state, command):
        return {**state, "group": command["group"]}, {"group": command["group"]}

    return apply_patches(
        [
            mock.patch.dict(COMMANDS.entries, {"group.change": change_group}),
            mock.patch.object(commands, "is_one_swap", lambda group, next_group: True),
        ]
    )


def change_group_twice():
    """One log entry may replace more than one member of the group."""
    real = state_machine.apply_batch

    def apply_batch(state, batch):
        answers = []
        for command in batch:
            state, answer = real(state, [command])
            answers.extend(answer)
        return state, answers

    modules = (state_machine, acceptor_state)
    return apply_patches(
        [mock.patch.object(module, "apply_batch", apply_batch) for module in modules]
    )


def adopt_oldest():
    """A new owner starts from the oldest state reported in the promises."""
    real = StateFetcher.adopt_newest

    def adopt_newest(self, promises):
        oldest = min(promises, key=lambda store: promises[store].applied)
        return real(self, {oldest: promises[oldest]})

    return apply_patches([mock.patch.object(StateFetcher, "adopt_newest", adopt_newest)])


def ignore_base_version():
    """A configuration is adopted without comparing its base version with the present one."""
    real = COMMANDS.find("layout.adopt")

    def adopt_configuration(state, command):
        return real(state, {**command, "base_version": state["version"]})

    return apply_patches([mock.patch.dict(COMMANDS.entries, {"layout.adopt": adopt_configuration})])


def peek_applied_only():
    """A read from a majority of the stores ignores entries that are not applied yet."""
    real = follower_read.find_answer

    def find_answer(replies, group, query):
        applied_only = [r._replace(uncommitted_lots=(), uncommitted=None) for r in replies]
        return real(applied_only, group, query)

    return apply_patches([mock.patch.object(follower_read, "find_answer", find_answer)])


def decide_alone():
    """An owner treats a single store as a majority."""
    return apply_patches([mock.patch.object(quorum_call, "majority", lambda group: 1)])


def read_without_fence():
    """An owner answers a read without confirming that its ballot is still the newest."""

    def linearizable_state(self):
        return self.state
        yield

    return apply_patches([mock.patch.object(PartLeader, "linearizable_state", linearizable_state)])


def take_second_founding():
    """A store that already has a founding record confirms a different one."""

    def replacement(real, self, body, origin):
        if self.founding is not None:
            return body["founding"]["fleet"]
        return real(self, body, origin)

    return apply_patches([patch_handler("on_found", replacement)])


ONE_READ = {"takes": 1, "peeks": 0, "late_answers": 0, "switches": 1, "delays": 0}
TWO_LOSSES = {"takes": 1, "holds": 0, "delays": 0, "switches": 1}
ONE_RETURN = {"takes": 1, "submits": 1, "duplicates": 0, "switches": 1, "delays": 2}
ONE_PEEK = {"takes": 0, "submits": 1, "late_answers": 0, "delays": 0}
ONE_ENTRY = {"takes": 0, "peeks": 0, "switches": 0}
TWO_FOUNDERS = {"foundings": 2, "crashes": 0, "holds": 0, "timers": 0, "late_answers": 0}
ONE_SWAP = {"switches": 1}
TWO_VOTES = {"foundings": 2, "crashes": 0, "timers": 0, "late_answers": 0, "switches": 3}
ONE_RESTART = {**TWO_VOTES, "crashes": 1, "delays": 1, "switches": 1}

BUGS = {
    "accept-below-promise": Bug(accept_below_promise, "takeover", {}),
    "confirm-anyone": Bug(confirm_anyone, "reads", ONE_READ),
    "answer-for-former-self": Bug(answer_for_former_self, "emptied", {}),
    "promise-in-memory": Bug(promise_in_memory, "power", {}),
    "accept-in-memory": Bug(accept_in_memory, "power", TWO_LOSSES),
    "forget-tail": Bug(forget_tail, "takeover", {}),
    "reuse-ballot": Bug(reuse_ballot, "terms", ONE_RETURN),
    "learn-any-ballot": Bug(learn_any_ballot, "takeover", {}),
    "change-group-at-will": Bug(change_group_at_will, "leap", {}),
    "change-group-twice": Bug(change_group_twice, "moves", ONE_ENTRY),
    "adopt-oldest": Bug(adopt_oldest, "takeover", {}),
    "ignore-base-version": Bug(ignore_base_version, "takeover", {}),
    "peek-applied-only": Bug(peek_applied_only, "peeks", ONE_PEEK),
    "decide-alone": Bug(decide_alone, "takeover", {}),
    "read-without-fence": Bug(read_without_fence, "reads", ONE_READ),
    "take-second-founding": Bug(take_second_founding, "founding", TWO_FOUNDERS),
    "skip-promise-again": Bug(skip_promise_again, "swap", ONE_SWAP),
    "stay-in-phase-two": Bug(stay_in_phase_two, "swap", ONE_SWAP),
    "vote-in-memory": Bug(vote_in_memory, "electing", ONE_RESTART),
    "accept-below-vote": Bug(accept_below_vote, "electing", {**TWO_VOTES, "delays": 0}),
    "tell-no-record": Bug(tell_no_record, "electing", {**TWO_VOTES, "delays": 0}),
}


def find_bug(name):
    """Return the bug of this name; raise UnknownName, which lists the known names."""
    if name not in BUGS:
        raise UnknownName(bug=name, known=sorted(BUGS))
    return BUGS[name]
