"""Regression tests for faults of the product that recorded histories revealed."""

from quillring.kernel.errors import Conflict
from quillring.lots.http_requests import api
from quillring.lots.http_requests.lot_placement import placement_of_lot
from quillring.quorum.leader.follower_read import read_from_majority, unwrap_answer
from quillring.quorum.parts import CONFIG_PART
from tests.http_lot_stage import FORWARD, HOST, HttpLotStage

MAX_TOKENS = 400
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
    """Submit a lot under a name; lots with different counts have different content."""
    items = stage.items("x", count)
    return stage.run_on_node(
        stage.pick_running("edge"), lambda node: api.submit_lot(node, FORWARD, name, items)
    )


def test_a_resubmitted_lot_is_acknowledged_after_another_lot_of_its_name_was_refused():
    """Seed 1015: the reservation of the refused lot blocked the repeat of the accepted lot."""
    with HttpLotStage(7, most_tokens=MAX_TOKENS) as stage:
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


def test_a_lot_conflicts_only_with_a_lot_that_was_accepted():
    """Seed 1018: a reservation whose lot never arrived caused a conflict for another lot.

    The edge that submits the first lot is killed at different times after the submission.
    """
    with HttpLotStage(8, most_tokens=MAX_TOKENS) as stage:
        for delay_steps in range(1, 13):
            items = stage.items("x", 3)
            edge, other = stage.sim.up_nodes("edge")[:2]
            stage.start_on_node(
                edge,
                lambda node, items=items, delay_steps=delay_steps: api.submit_lot(
                    node, FORWARD, f"a{delay_steps}", items
                ),
            )
            stage.run(0.003 * delay_steps)
            stage.sim.kill(edge.me.name)
            _, error = stage.run_on_node(
                other,
                lambda node, delay_steps=delay_steps: api.submit_lot(
                    node, FORWARD, f"a{delay_steps}", stage.items("x", 4)
                ),
            )
            stage.run(1)
            if isinstance(error, Conflict):
                reply, reading_error = stage.read(f"a{delay_steps}", node=other)
                assert reading_error is None and reply["items"] == 3, delay_steps
            stage.sim.start(edge.me.name)
            stage.run(3)


def cut_answers_to(stage, owner):
    """Drop all messages from stores to an owner; messages from the owner to stores arrive."""
    stage.sim.cut(stage.sim.names("store"), [owner.me.name], both_ways=False)


def read_from_stores(stage, part, query):
    """Read a part from a majority of its stores, as an edge does if the owner does not answer."""
    group = stage.pick_running("edge").find("ownership").group(part)
    reply, error = stage.run_on_node(
        stage.pick_running("edge"), lambda node: read_from_majority(node, part, group, query)
    )
    assert error is None and reply is not None
    return unwrap_answer(reply)


def test_a_read_at_the_owner_is_not_older_than_an_earlier_read_of_the_configuration_at_stores():
    """An entry that a majority of stores accepted is chosen before its owner has their answers."""
    with HttpLotStage(9) as stage:
        owner = stage.sim.nodes[
            stage.pick_running("edge").find("gossip").get("owner/config")["owner"]
        ]
        previous = read_from_stores(stage, CONFIG_PART, {"ask": "edition"})["edition"]
        cut_answers_to(stage, owner)
        command = {**EMPTY_CHANGE, "edition": previous + 1, "base_edition": previous}
        stage.start_on_node(
            owner, lambda node: node.find("ownership").submit(CONFIG_PART, command, 2)
        )
        stage.run(0.05)
        assert read_from_stores(stage, CONFIG_PART, {"ask": "edition"})["edition"] == previous + 1
        stage.sim.net.heal()
        reply, error = stage.run_on_node(
            owner, lambda node: node.find("ownership").read(CONFIG_PART, {"ask": "edition"}, 2)
        )
        assert error is None and reply["edition"] == previous + 1


def test_a_read_at_the_owner_shows_every_result_of_an_earlier_read_at_stores():
    """Seeds 39, 53, 56: a read at the stores showed a result that the next at the owner missed."""
    with HttpLotStage(10) as stage:
        for replica in stage.replicas.values():
            replica.is_silent = True
        assert stage.submit("a", 2)[1] is None
        stage.run(0.3)
        edge = stage.pick_running("edge")
        lot_placement = placement_of_lot(edge, HOST, "a")
        owner = stage.sim.nodes[edge.find("gossip").get(f"owner/{lot_placement.own}")["owner"]]
        query = {"ask": "raw.results", "lot": lot_placement.key, "from": 0, "limit": 1000}
        cut_answers_to(stage, owner)
        command = {"do": "raw.result", "lot": lot_placement.key, "n": 0, "state": "finished"}
        command.update(text=b"x", run="r")
        stage.start_on_node(
            owner, lambda node: node.find("ownership").submit(lot_placement.own, command, 2)
        )
        stage.run(0.05)
        assert len(read_from_stores(stage, lot_placement.own, query)["results"]) == 1
        stage.sim.net.heal()
        reply, error = stage.read("a", node=owner)
        assert error is None and len(reply["results"]) == 1
