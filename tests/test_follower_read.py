from unittest import mock

import pytest

from proving.points.scenario_fleet import Stage
from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import NotFound
from quillring.quorum.acceptor import Acceptors
from quillring.quorum.acceptor.state import AcceptedEntry, AcceptorState
from quillring.quorum.commands import initial_state
from quillring.quorum.leader.follower_read import find_answer, value_of
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.messages import FollowerReadReply, QueryAnswer
from quillring.quorum.values import Ballot, group_from_wire

GROUP = [["store-1", "a", "north"], ["store-2", "b", "east"], ["store-3", "c", "south"]]
OTHER = [["store-4", "d", "west"], *GROUP[1:]]
ASKED = {"ask": "lot.results", "lot": "l", "sender": "s", "from": 0, "count": 9}


def accept(lot):
    return [{"do": "lot.accept", "lot": lot, "sender": "s", "entry": "e", "items": ["x"]}]


def reply(applied=0, group=GROUP, **entries):
    """What a store answers that holds these entries: i3=(ballot, batch)."""
    held = {int(name[1:]): entry for name, entry in entries.items()}
    accepted = {index: AcceptedEntry(*entry) for index, entry in held.items()}
    record = AcceptorState(Ballot(9, "z"), applied, initial_state(group), accepted)
    later = [[i, c.get("lot")] for i, (_, batch) in held.items() for c in batch]
    return [
        applied,
        group,
        later,
        None,
        applied,
        [
            [later.log_index, later.ballot.to_wire(), None, later.log_index]
            for later in record.uncommitted_answers(ASKED)
        ],
    ]


ONE, TWO = Ballot(1, "core-1#1"), Ballot(2, "core-2#1")
CHANGE = [{"do": "group.change", "group": GROUP[1:]}]


@pytest.mark.parametrize(
    "replies, answer",
    [
        ([reply(4), reply(3)], 4),
        ([reply(4)], None),
        ([reply(4, i5=(ONE, accept("l"))), reply(4)], None),
        ([reply(4, i5=(ONE, accept("l"))), reply(4, i5=(ONE, accept("l")))], 5),
        ([reply(4, i5=(ONE, accept("l"))), reply(4, i5=(TWO, accept("l")))], None),
        (
            [
                reply(4, i5=(ONE, accept("l"))),
                reply(4, i5=(TWO, accept("l"))),
                reply(4, i5=(TWO, accept("l"))),
            ],
            5,
        ),
        ([reply(4, i5=(ONE, accept("m"))), reply(4)], 4),
        ([reply(4, i5=(ONE, [])), reply(4, i6=(ONE, accept("l")))], None),
        (
            [
                reply(4, i5=(ONE, accept("m")), i6=(ONE, accept("l"))),
                reply(4, i5=(TWO, accept("m")), i6=(ONE, accept("l"))),
            ],
            None,
        ),
        (
            [
                reply(4, i5=(ONE, accept("m")), i6=(ONE, accept("l"))),
                reply(4, i5=(ONE, accept("m")), i6=(ONE, accept("l"))),
            ],
            6,
        ),
        (
            [
                reply(4),
                reply(3, i4=(ONE, accept("m")), i5=(TWO, accept("l"))),
                reply(3, i4=(ONE, accept("m")), i5=(TWO, accept("l"))),
            ],
            None,
        ),
        ([reply(4, i5=(ONE, CHANGE)), reply(4, i5=(ONE, CHANGE))], None),
        ([reply(4, OTHER), reply(4, OTHER)], None),
        ([reply(4, i5=(ONE, accept("l")))[:5], reply(4, i5=(ONE, accept("l")))[:5]], None),
    ],
)
def test_an_entry_is_chosen_when_a_majority_holds_it_under_one_ballot(replies, answer):
    expected = None if answer is None else QueryAnswer(None, answer)
    group = group_from_wire(GROUP)
    read = [FollowerReadReply.from_wire(fields) for fields in replies]
    assert find_answer(read, group, ASKED) == expected
    assert find_answer(read[::-1], group, ASKED) == expected


def test_a_error_that_is_the_answer_is_raised():
    with pytest.raises(NotFound):
        value_of(QueryAnswer("not_found", {"field": "lot"}))


def test_an_entry_that_a_store_has_not_synced_is_told_of_only_afterwards():
    acceptors, synced = Acceptors(), Signal()

    class SlowLog:
        error, is_idle = None, False

        def commit(self, records):
            yield Wait(synced, 1)

    acceptors.identity, acceptors.log = "a", SlowLog()
    acceptors.parts["part-1"] = AcceptorState(
        ONE, 4, initial_state(GROUP), {5: AcceptedEntry(ONE, accept("l"))}
    )
    body = {"part": "part-1", "identity": "a", "query": ASKED, "beyond": True}
    coroutine = acceptors.on_peek(body, "edge-1")
    assert isinstance(next(coroutine), Wait)
    with pytest.raises(StopIteration) as ended:
        coroutine.send(True)
    assert ended.value.value[:3] == [4, GROUP, [[5, "l"]]]
    assert [row[:2] for row in ended.value.value[5]] == [[5, list(ONE)]]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_lot_accepted_by_a_majority_is_read_though_its_owner_died_before_telling(seed):
    stage = Stage(seed)
    name = stage.node("edge-1").find("gossip").get("owner/part-1")["owner"]
    node = stage.node(name)
    owner = node.find("ownership").leaders["part-1"]
    stores = [stage.node(store[0]).find("acceptors").parts["part-1"] for store in owner.group]
    with mock.patch.object(PartLeader, "_send_commit", lambda self: None):
        stage.start(stage.sim.run_script(node, owner.submit(accept("part-1.new")[0])))
        while not all(record.entries for record in stores):
            stage.env.step()
        stage.sim.kill(name)
    assert all(record.entries for record in stores)
    start_time, reader = stage.env.now, stage.node("edge-1")
    coroutine = reader.find("ownership").read("part-1", {**ASKED, "lot": "part-1.new"})
    answer, error = stage.finish(stage.start(stage.sim.run_script(reader, coroutine)))
    assert error is None and answer["results"] == []
    assert stage.env.now - start_time < stage.sim.bounds.read_timeout
    assert reader.counts["peeks"] == 1
