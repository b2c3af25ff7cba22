"""The classes that a part's leader is made of, each on its own."""

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
OTHER = [*GROUP[:2], ["store-4", "d", "south"]]
JOIN = {"do": "group.change", "group": [*GROUP, OTHER[2]]}


def finish(coroutine):
    """Run a coroutine that waits for nothing to its end; return its result."""
    try:
        while True:
            next(coroutine)
    except StopIteration as ended:
        return ended.value


def caller_with(replies):
    """Return a caller whose group answers so: {store name: reply or error}."""

    def gather(calls, need, seconds, repeats):
        return {name: replies.get(name, TimedOut(target=name)) for name, _, _ in calls}
        yield

    node = SimpleNamespace(bounds=Bounds(), gather=gather)
    return QuorumCaller(node, "part-1", GROUP, Ballot(4, "core-1#1"))


def test_each_member_is_called_under_the_ballot_and_its_own_identity():
    calls = caller_with({}).calls(AcceptRequest, log_index=7, batch=[], committed=6)
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


def test_the_good_replies_of_a_majority_are_returned():
    caller = caller_with({"store-1": True, "store-3": True})
    assert finish(caller.call_majority(ConfirmRequest)) == {"store-1": True, "store-3": True}


def test_one_good_reply_of_three_is_no_majority():
    with pytest.raises(NoMajority) as caught:
        finish(caller_with({"store-2": True}).call_majority(ConfirmRequest))
    assert caught.value.detail["heard"] == ["store-2"]


def test_a_higher_ballot_fences_the_leader_whatever_the_others_answer_and_is_outbid_next():
    fenced = Fenced(part="part-1", ballot=[9, "core-2#1"])
    caller = caller_with({"store-1": True, "store-2": True, "store-3": fenced})
    with pytest.raises(Fenced) as caught:
        finish(caller.call_majority(ConfirmRequest))
    assert caught.value.detail["ballot"] == [9, "core-2#1"]
    caller.raise_ballot("core-1#1")
    assert caller.ballot == Ballot(10, "core-1#1")


def test_a_group_is_adopted_only_where_it_differs():
    caller = caller_with({})
    assert not caller.adopt_group(GROUP)
    assert caller.adopt_group(OTHER) and caller.group == group_from_wire(OTHER)


def test_commands_put_first_stand_before_all_that_wait_in_their_own_order():
    queue = CommandQueue("part-1")
    queue.append({"n": 1})
    queue.put_first([{"n": 2}, {"n": 3}])
    assert [pending.command["n"] for pending in queue.take_batch()] == [2, 3, 1]
    assert queue.pending == []


def test_what_waits_when_a_term_ends_is_told_that_there_is_no_leader_here():
    queue = CommandQueue("part-1")
    pending = queue.append({"n": 1})
    queue.reject_all("fenced")
    with pytest.raises(NotLeader):
        finish(queue.answers_of([pending], 1))
    assert queue.pending == [] and queue.arrival_signal.is_set


def test_a_copied_state_machine_goes_its_own_way():
    machine = StateMachine(0, initial_state(GROUP))
    machine.apply(1, [])
    other = machine.copy()
    other.apply(2, [JOIN])
    assert (machine.last_applied, other.last_applied) == (1, 2)
    assert machine.group() == GROUP and other.group() == JOIN["group"]
    assert machine.log_cache.entries_after(1) == []
    assert [index for index, _ in other.log_cache.entries_after(0)] == [1, 2]
