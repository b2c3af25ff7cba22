"""Reads from a majority of stores when the leader of a part does not answer."""

from unittest import mock

import pytest

from proving.points.scenario_fleet import ScenarioFleet
from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import NotFound
from quillring.quorum.acceptor import Acceptors
from quillring.quorum.acceptor.state import AcceptedEntry, AcceptorState
from quillring.quorum.commands import initial_state
from quillring.quorum.leader.follower_read import find_answer, unwrap_answer
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.messages import FollowerReadReply, QueryAnswer
from quillring.quorum.values import Ballot, group_from_wire

GROUP = [["store-1", "a", "north"], ["store-2", "b", "east"], ["store-3", "c", "south"]]
OTHER_GROUP = [["store-4", "d", "west"], *GROUP[1:]]
QUERY = {"ask": "lot.results", "lot": "l", "sender": "s", "from": 0, "count": 9}


def accept(lot):
    """Return a batch that accepts a lot."""
    return [{"do": "lot.accept", "lot": lot, "sender": "s", "entry": "e", "items": ["x"]}]


def reply(applied=0, group=GROUP, **entries):
    """Return the wire reply of a store that has accepted these entries: i3=(ballot, batch).

    Each answer in the reply is the index of the last entry applied before it.
    """
    by_index = {int(name[1:]): entry for name, entry in entries.items()}
    accepted = {index: AcceptedEntry(*entry) for index, entry in by_index.items()}
    acceptor = AcceptorState(Ballot(9, "z"), applied, initial_state(group), accepted)
    uncommitted_lots = [
        [i, command.get("lot")] for i, (_, batch) in by_index.items() for command in batch
    ]
    return [
        applied,
        group,
        uncommitted_lots,
        None,
        applied,
        [
            [answer.log_index, answer.ballot.to_wire(), None, answer.log_index]
            for answer in acceptor.uncommitted_answers(QUERY)
        ],
    ]


BALLOT_1, BALLOT_2 = Ballot(1, "core-1#1"), Ballot(2, "core-2#1")
CHANGE_GROUP = [{"do": "group.change", "group": GROUP[1:]}]


@pytest.mark.parametrize(
    "replies, answer",
    [
        ([reply(4), reply(3)], 4),
        ([reply(4)], None),
        ([reply(4, i5=(BALLOT_1, accept("l"))), reply(4)], None),
        ([reply(4, i5=(BALLOT_1, accept("l"))), reply(4, i5=(BALLOT_1, accept("l")))], 5),
        ([reply(4, i5=(BALLOT_1, accept("l"))), reply(4, i5=(BALLOT_2, accept("l")))], None),
        (
            [
                reply(4, i5=(BALLOT_1, accept("l"))),
                reply(4, i5=(BALLOT_2, accept("l"))),
                reply(4, i5=(BALLOT_2, accept("l"))),
            ],
            5,
        ),
        ([reply(4, i5=(BALLOT_1, accept("m"))), reply(4)], 4),
        ([reply(4, i5=(BALLOT_1, [])), reply(4, i6=(BALLOT_1, accept("l")))], None),
        (
            [
                reply(4, i5=(BALLOT_1, accept("m")), i6=(BALLOT_1, accept("l"))),
                reply(4, i5=(BALLOT_2, accept("m")), i6=(BALLOT_1, accept("l"))),
            ],
            None,
        ),
        (
            [
                reply(4, i5=(BALLOT_1, accept("m")), i6=(BALLOT_1, accept("l"))),
                reply(4, i5=(BALLOT_1, accept("m")), i6=(BALLOT_1, accept("l"))),
            ],
            6,
        ),
        (
            [
                reply(4),
                reply(3, i4=(BALLOT_1, accept("m")), i5=(BALLOT_2, accept("l"))),
                reply(3, i4=(BALLOT_1, accept("m")), i5=(BALLOT_2, accept("l"))),
            ],
            None,
        ),
        ([reply(4, i5=(BALLOT_1, CHANGE_GROUP)), reply(4, i5=(BALLOT_1, CHANGE_GROUP))], None),
        ([reply(4, OTHER_GROUP), reply(4, OTHER_GROUP)], None),
        (
            [reply(4, i5=(BALLOT_1, accept("l")))[:5], reply(4, i5=(BALLOT_1, accept("l")))[:5]],
            None,
        ),
    ],
)
def test_entry_counts_as_chosen_when_a_majority_accepted_it_under_one_ballot(replies, answer):
    expected = None if answer is None else QueryAnswer(None, answer)
    group = group_from_wire(GROUP)
    parsed_replies = [FollowerReadReply.from_wire(fields) for fields in replies]
    assert find_answer(parsed_replies, group, QUERY) == expected
    assert find_answer(parsed_replies[::-1], group, QUERY) == expected


def test_answer_that_is_an_error_is_raised():
    with pytest.raises(NotFound):
        unwrap_answer(QueryAnswer("not_found", {"field": "lot"}))


def test_reply_with_an_unsynced_entry_is_sent_only_after_the_sync():
    acceptors, sync_signal = Acceptors(), Signal()

    class SlowLog:
        error, is_idle = None, False

        def commit(self, records):
            yield Wait(sync_signal, 1)

    acceptors.identity, acceptors.log = "a", SlowLog()
    acceptors.parts["part-1"] = AcceptorState(
        BALLOT_1, 4, initial_state(GROUP), {5: AcceptedEntry(BALLOT_1, accept("l"))}
    )
    body = {"part": "part-1", "identity": "a", "query": QUERY, "beyond": True}
    coroutine = acceptors.on_peek(body, "edge-1")
    assert isinstance(next(coroutine), Wait)
    with pytest.raises(StopIteration) as stop:
        coroutine.send(True)
    assert stop.value.value[:3] == [4, GROUP, [[5, "l"]]]
    assert [row[:2] for row in stop.value.value[5]] == [[5, list(BALLOT_1)]]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lot_accepted_by_a_majority_is_readable_although_its_leader_died_before_the_commit(seed):
    stage = ScenarioFleet(seed)
    name = stage.node("edge-1").find("gossip").get("owner/part-1")["owner"]
    node = stage.node(name)
    leader = node.find("ownership").leaders["part-1"]
    acceptor_states = [
        stage.node(store[0]).find("acceptors").parts["part-1"] for store in leader.group
    ]
    with mock.patch.object(PartLeader, "_send_commit", lambda self: None):
        stage.start(stage.sim.run_coroutine(node, leader.submit(accept("part-1.new")[0])))
        while not all(acceptor.entries for acceptor in acceptor_states):
            stage.env.step()
        stage.sim.kill(name)
    assert all(acceptor.entries for acceptor in acceptor_states)
    start_time, reader = stage.env.now, stage.node("edge-1")
    coroutine = reader.find("ownership").read("part-1", {**QUERY, "lot": "part-1.new"})
    answer, error = stage.finish(stage.start(stage.sim.run_coroutine(reader, coroutine)))
    assert error is None and answer["results"] == []
    assert stage.env.now - start_time < stage.sim.bounds.read_timeout
    assert reader.counts["peeks"] == 1
