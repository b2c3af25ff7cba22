"""Faults that recorded histories showed, each made small."""

from quillring.kernel.errors import Conflict
from quillring.lots.http_requests import api
from quillring.lots.http_requests.lot_placement import placement_of_lot
from quillring.quorum.leader.follower_read import read_from_majority, unwrap_answer
from quillring.quorum.parts import CONFIG_PART
from tests.http_lot_stage import FORWARD, HOST, HttpLotStage

MOST_TOKENS = 400
EMPTY_CHANGE = {
    "do": "edition.adopt",
    "id": "change",
    "whole": False,
    "services": {},
    "forwards": {},
    "limits": None,
    "removed": None,
    "extras": None,
}


def submit(stage, name, count):
    """Hand in a lot under one name; another count makes another lot."""
    items = stage.items("x", count)
    return stage.run_on_node(
        stage.pick_running("edge"), lambda node: api.submit_lot(node, FORWARD, name, items)
    )


def test_a_lot_that_is_handed_in_again_is_acknowledged_after_another_of_its_name_was_refused():
    """Seed 1015: the loser's reservation stood in the way of the accepted lot's repeat."""
    with HttpLotStage(7, most_tokens=MOST_TOKENS) as stage:
        first, error = submit(stage, "a", 3)
        assert error is None and first["items"] == 3
        stage.read_all("a")
        stage.run(2)
        _, error = submit(stage, "a", 4)
        assert isinstance(error, Conflict)
        again, error = submit(stage, "a", 3)
        assert error is None and again["items"] == 3
        _, error = submit(stage, "a", 4)
        assert isinstance(error, Conflict)


def test_a_lot_loses_only_against_one_that_was_accepted():
    """Seed 1018: a reservation whose lot never arrived told another lot of its name to lose."""
    with HttpLotStage(8, most_tokens=MOST_TOKENS) as stage:
        for turn in range(1, 13):
            items = stage.items("x", 3)
            edge, other = stage.sim.up_nodes("edge")[:2]
            stage.start_on_node(
                edge,
                lambda node, items=items, turn=turn: api.submit_lot(
                    node, FORWARD, f"a{turn}", items
                ),
            )
            stage.run(0.003 * turn)
            stage.sim.kill(edge.me.name)
            _, error = stage.run_on_node(
                other,
                lambda node, turn=turn: api.submit_lot(
                    node, FORWARD, f"a{turn}", stage.items("x", 4)
                ),
            )
            stage.run(1)
            if isinstance(error, Conflict):
                known, reading_error = stage.read(f"a{turn}", node=other)
                assert reading_error is None and known["items"] == 3, turn
            stage.sim.start(edge.me.name)
            stage.run(3)


def cut_answers_to(stage, owner):
    """Let nothing that stores send reach an owner; what it sends them arrives."""
    stage.sim.cut(stage.sim.names("store"), [owner.me.name], both_ways=False)


def peek_at_edge(stage, part, query):
    """Read a part from a majority of its stores, as an edge does without an owner."""
    group = stage.pick_running("edge").find("ownership").group(part)
    known, error = stage.run_on_node(
        stage.pick_running("edge"), lambda node: read_from_majority(node, part, group, query)
    )
    assert error is None and known is not None
    return unwrap_answer(known)


def test_an_owner_shows_no_older_configuration_than_its_stores_told():
    """An entry that the stores have accepted is chosen, though its owner has no answer yet."""
    with HttpLotStage(9) as stage:
        owner = stage.sim.nodes[
            stage.pick_running("edge").find("gossip").get("owner/config")["owner"]
        ]
        former = peek_at_edge(stage, CONFIG_PART, {"ask": "edition"})["edition"]
        cut_answers_to(stage, owner)
        command = {**EMPTY_CHANGE, "edition": former + 1, "base_edition": former}
        stage.start_on_node(
            owner, lambda node: node.find("ownership").submit(CONFIG_PART, command, 2)
        )
        stage.run(0.05)
        assert peek_at_edge(stage, CONFIG_PART, {"ask": "edition"})["edition"] == former + 1
        stage.sim.net.heal()
        known, error = stage.run_on_node(
            owner, lambda node: node.find("ownership").read(CONFIG_PART, {"ask": "edition"}, 2)
        )
        assert error is None and known["edition"] == former + 1


def test_an_owner_shows_no_fewer_results_than_its_stores_told():
    """Seeds 39, 53 and 56: a read at the stores showed a result, the next one at the owner not."""
    with HttpLotStage(10) as stage:
        for replica in stage.replicas.values():
            replica.is_silent = True
        assert stage.submit("a", 2)[1] is None
        stage.run(0.3)
        edge = stage.pick_running("edge")
        place = placement_of_lot(edge, HOST, "a")
        owner = stage.sim.nodes[edge.find("gossip").get(f"owner/{place.own}")["owner"]]
        query = {"ask": "raw.results", "lot": place.key, "from": 0, "limit": 1000}
        cut_answers_to(stage, owner)
        command = {"do": "raw.result", "lot": place.key, "n": 0, "state": "finished"}
        command.update(text=b"x", run="r")
        stage.start_on_node(
            owner, lambda node: node.find("ownership").submit(place.own, command, 2)
        )
        stage.run(0.05)
        assert len(peek_at_edge(stage, place.own, query)["results"]) == 1
        stage.sim.net.heal()
        known, error = stage.read("a", node=owner)
        assert error is None and len(known["results"]) == 1
