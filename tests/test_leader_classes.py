"""Unit tests of the classes that make up a part's leader."""

from types import SimpleNamespace

import pytest

from quillring.kernel.bounds import Bounds
from quillring.kernel.errors import Fenced, NoMajority, NotLeader, TimedOut
from quillring.quorum.commands import initial_state
from quillring.quorum.leader.command_queue import CommandQueue
from quillring.quorum.leader.quorum_call import QuorumCaller
from quillring.quorum.leader.state_machine import StateMachine
from quillring.quorum.messages import AcceptRequest, ConfirmRequest
from quillring.quorum.values import Ballot, group_from_wire

GROUP = [["store-1", "a", "north"], ["store-2", "b", "east"], ["store-3", "c", "south"]]
CHANGED_GROUP = [*GROUP[:2], ["store-4", "d", "south"]]
JOIN_COMMAND = {"do": "group.change", "group": [*GROUP, CHANGED_GROUP[2]]}


def finish(coroutine):
    """Run a coroutine to its end, resuming every wait at once; return its result."""
    try:
        while True:
            next(coroutine)
    except StopIteration as stop:
        return stop.value


def caller_with_replies(replies):
    """Return a caller whose members give these replies: {store name: reply or error}.

    A member without a reply times out.
    """

    def gather(calls, needed, seconds, repeats):
        return {name: replies.get(name, TimedOut(target=name)) for name, _, _ in calls}
        yield

    node = SimpleNamespace(bounds=Bounds(), gather=gather)
    return QuorumCaller(node, "part-1", GROUP, Ballot(4, "core-1#1"))


def test_call_to_each_member_contains_the_ballot_and_the_identity_of_the_member():
    calls = caller_with_replies({}).calls(AcceptRequest, log_index=7, batch=[], committed=6)
    assert calls == [
        (
            name,
            "quorum.accept",
            {
                "part": "part-1",
                "ballot": [4, "core-1#1"],
                "identity": identity,
                "index": 7,
                "batch": [],
                "committed": 6,
            },
        )
        for name, identity, _ in GROUP
    ]
    assert [list(body) for _, _, body in calls] == [
        ["part", "ballot", "identity", "index", "batch", "committed"]
    ] * 3


def test_successful_replies_of_a_majority_are_returned():
    caller = caller_with_replies({"store-1": True, "store-3": True})
    assert finish(caller.call_majority(ConfirmRequest)) == {"store-1": True, "store-3": True}


def test_one_successful_reply_of_three_raises_no_majority():
    with pytest.raises(NoMajority) as caught:
        finish(caller_with_replies({"store-2": True}).call_majority(ConfirmRequest))
    assert caught.value.detail["heard"] == ["store-2"]


def test_higher_ballot_fences_the_leader_despite_a_majority_and_the_next_ballot_exceeds_it():
    fenced = Fenced(part="part-1", ballot=[9, "core-2#1"])
    caller = caller_with_replies({"store-1": True, "store-2": True, "store-3": fenced})
    with pytest.raises(Fenced) as caught:
        finish(caller.call_majority(ConfirmRequest))
    assert caught.value.detail["ballot"] == [9, "core-2#1"]
    caller.advance_ballot("core-1#1")
    assert caller.ballot == Ballot(10, "core-1#1")


def test_group_is_adopted_only_if_it_differs():
    caller = caller_with_replies({})
    assert not caller.adopt_group(GROUP)
    assert caller.adopt_group(CHANGED_GROUP) and caller.group == group_from_wire(CHANGED_GROUP)


def test_prepended_commands_precede_pending_ones_in_their_given_order():
    queue = CommandQueue("part-1")
    queue.append({"n": 1})
    queue.prepend([{"n": 2}, {"n": 3}])
    assert [pending.command["n"] for pending in queue.take_batch()] == [2, 3, 1]
    assert queue.pending == []


def test_pending_commands_fail_with_not_leader_when_the_term_ends():
    queue = CommandQueue("part-1")
    pending = queue.append({"n": 1})
    queue.reject_all("fenced")
    with pytest.raises(NotLeader):
        finish(queue.answers_of([pending], 1))
    assert queue.pending == [] and queue.arrival_signal.is_set


def test_copied_state_machine_changes_independently_of_the_original():
    machine = StateMachine(0, initial_state(GROUP))
    machine.apply(1, [])
    other = machine.copy()
    other.apply(2, [JOIN_COMMAND])
    assert (machine.last_applied, other.last_applied) == (1, 2)
    assert machine.group() == GROUP and other.group() == JOIN_COMMAND["group"]
    assert machine.log_cache.entries_after(1) == []
    assert [index for index, _ in other.log_cache.entries_after(0)] == [1, 2]
