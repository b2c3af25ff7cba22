"""A seed's vote on the founding record: its durability, and the agreement of the seeds."""

import random
from types import SimpleNamespace

import pytest

from proving.sim.disk import SimDisk
from quillring.kernel.errors import Conflict, Fenced, NoMajority, QuillringError, Refused, TimedOut
from quillring.quorum.founding.founding_vote import (
    VOTE_FILES,
    FoundingVoter,
    Witness,
    agree_on_founding,
)
from quillring.quorum.founding.messages import Vote
from quillring.quorum.values import NO_BALLOT


class LoopbackNode:
    """A node that handles its own calls."""

    def __init__(self):
        self.handlers = {}

    def handle(self, name, handler):
        self.handlers[name] = handler

    def call(self, target, service, body):
        return self.handlers[service](body, target)
        yield


def run_to_completion(coroutine):
    """Run a coroutine whose effects need no results; return its value."""
    try:
        while True:
            next(coroutine)
    except StopIteration as stop:
        return stop.value


def make_voter(disk=None, is_first_start=True):
    """Return a voter of a new process; a disk makes its node the witness of the vote."""
    node = LoopbackNode()
    voter = FoundingVoter(node)
    voter.is_first_start = is_first_start
    if disk is not None:
        Witness(node, disk)
        voter.witness = "store-1"
    return voter


def prepare(voter, number):
    return run_to_completion(voter.on_prepare({"ballot": [number, "core-1#1"]}, "core-1"))


def accept(voter, number, founding):
    return run_to_completion(
        voter.on_accept({"ballot": [number, "core-1#1"], "founding": founding}, "core-1")
    )


@pytest.mark.parametrize("is_first_start", [True, False])
def test_a_vote_stored_at_a_witness_survives_a_restart_of_the_seed(is_first_start):
    disk = SimDisk(random.Random(1))
    assert prepare(make_voter(disk), 2) == [list(NO_BALLOT), None]
    assert accept(make_voter(disk, is_first_start), 2, {"fleet": "f"})
    with pytest.raises(Fenced):
        prepare(make_voter(disk, is_first_start), 1)
    assert prepare(make_voter(disk, is_first_start), 3) == [[2, "core-1#1"], {"fleet": "f"}]
    with pytest.raises(Fenced):
        accept(make_voter(disk, is_first_start), 2, {"fleet": "g"})


@pytest.mark.parametrize("disk", [None, SimDisk(random.Random(1))])
def test_a_restarted_seed_without_a_stored_vote_does_not_vote(disk):
    with pytest.raises(Refused):
        prepare(make_voter(disk, is_first_start=False), 1)


def test_after_a_torn_write_the_previous_vote_is_read():
    disk = SimDisk(random.Random(1))
    prepare(make_voter(disk), 1)
    prepare(make_voter(disk), 2)
    disk.durable[VOTE_FILES[0]] = disk.durable[VOTE_FILES[0]][:-1]
    assert Vote.from_wire(Witness(LoopbackNode(), disk).on_recall(None, "")).promised.number == 1


def test_a_witness_rejects_a_vote_whose_number_does_not_follow_the_stored_one():
    witness = Witness(LoopbackNode(), SimDisk(random.Random(1)))
    witness.on_keep([1, [1, "a"], [0, ""], None], "")
    for number in (1, 3):
        with pytest.raises(Conflict):
            witness.on_keep([number, [9, "b"], [0, ""], None], "")


class Founder(LoopbackNode):
    """A founder that reaches a different subset of the seeds for each service."""

    bounds = SimpleNamespace(propagation=2.0)

    def __init__(self, name, voters):
        super().__init__()
        self.me = SimpleNamespace(name=name, incarnation=1)
        self.voters, self.reached = voters, {}
        addresses = {(seed, 1): (seed,) for seed in voters}
        nifty = SimpleNamespace(seeds=tuple(addresses), roster=SimpleNamespace(addresses=addresses))
        self.services = {"elector": FoundingVoter(self), "nifty": nifty}

    def find(self, name):
        return self.services[name]

    def gather(self, calls, needed, seconds):
        replies = {target: TimedOut(target=target) for target, _, _ in calls}
        for target, service, body in calls:
            if target in self.reached[service]:
                replies[target] = self.answer(target, service, body)
        return replies
        yield

    def answer(self, target, service, body):
        try:
            return run_to_completion(self.voters[target].node.handlers[service](body, self.me.name))
        except QuillringError as error:
            return error

    def agree(self, fleet, prepare_seeds, accept_seeds):
        """Propose a record to the seeds within reach; return the chosen fleet, or None."""
        self.reached = {"founding.prepare": prepare_seeds, "founding.accept": accept_seeds}
        try:
            return run_to_completion(agree_on_founding(self, {"fleet": fleet}))["fleet"]
        except (Fenced, NoMajority):
            return None


@pytest.mark.parametrize("accepted", ["b", "ab", "abc"])
def test_a_founder_adopts_a_record_that_a_seed_of_its_majority_accepted(accepted):
    voters = {name: make_voter() for name in "abc"}
    first, second, third = (Founder(f"core-{n}", voters) for n in (1, 2, 3))
    chosen = first.agree("f", "abc", accepted)
    assert chosen == ("f" if len(accepted) > 1 else None)
    assert second.agree("g", "bc", "bc") == "f"
    assert third.agree("h", "ac", "ac") == "f"


def test_a_record_is_chosen_only_if_a_majority_promised_and_accepted():
    voters = {name: make_voter() for name in "abc"}
    first, second = (Founder(f"core-{n}", voters) for n in (1, 2))
    assert first.agree("f", "a", "abc") is None
    assert first.agree("f", "abc", "a") is None
    assert second.agree("g", "bc", "bc") is None, "its ballot is too low"
    assert second.agree("g", "bc", "bc") == "g"
    assert first.agree("f", "abc", "abc") is None, "its ballot is too low"
    assert first.agree("f", "abc", "abc") == "g"
