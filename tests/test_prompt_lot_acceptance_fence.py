"""Fencing: a delayed duplicate of an acceptance does not re-create a dropped or released lot."""

import pytest

from quillring.kernel.errors import Conflict
from quillring.lots.prompts.acceptance_fence import MAX_TRACKED_DROPS, StaleLot, lot_fence
from quillring.lots.prompts.api import submit_lot
from quillring.lots.prompts.state_machine import accept_lot
from quillring.quorum.commands import apply_batch, initial_state
from tests.fleet_stage import SelfFoundingFleet


def accept(name, seen_drops=0, items=("a",)):
    """Return the acceptance of a lot that carries `seen_drops` as its fencing token."""
    fields = {"lot": name, "sender": "ann", "entry": "e", "items": list(items)}
    return {"do": "lot.accept", **fields, "seen_drops": seen_drops}


def end(name):
    """Return the commands that end a lot of one item by writing its result."""
    return [{"do": "lot.result", "lot": name, "n": 0, "result": {"text": "A"}}]


def end_and_delete(verb, name):
    """Return the commands that end a lot and then delete it with `lot.drop` or `lot.release`."""
    return [*end(name), {"do": f"lot.{verb}", "lot": name, "sender": "ann"}]


@pytest.mark.parametrize("verb", ["drop", "release"])
def test_a_delayed_duplicate_of_a_deleted_lot_is_refused(verb):
    first = accept("x", lot_fence(initial_state([]), {})["drops"])
    state, _ = apply_batch(initial_state([]), [first, *end_and_delete(verb, "x")])
    after, (answer,) = apply_batch(state, [first])
    assert isinstance(answer, StaleLot) and answer.may_retry_later
    assert after == state


@pytest.mark.parametrize("verb", ["drop", "release"])
def test_a_lot_resubmitted_after_its_deletion_is_accepted_as_a_new_one(verb):
    state, _ = apply_batch(initial_state([]), [accept("x"), *end_and_delete(verb, "x")])
    again = accept("x", lot_fence(state, {})["drops"])
    state, (answer, repeated) = apply_batch(state, [again, again])
    assert answer == {"lot": "x", "items": 1} and repeated["repeated"]
    state, _ = apply_batch(state, end_and_delete(verb, "x"))
    _, (late_answer,) = apply_batch(state, [again])
    assert isinstance(late_answer, StaleLot)


def test_a_delayed_repetition_of_an_existing_lot_is_answered_as_accepted():
    state, _ = apply_batch(
        initial_state([]), [accept("x"), accept("y"), *end_and_delete("drop", "y"), *end("x")]
    )
    _, (repeat, other) = apply_batch(state, [accept("x"), accept("x", items=("b",))])
    assert repeat["repeated"] and isinstance(other, Conflict)


def test_the_drop_table_is_bounded_and_drops_evicted_from_it_are_still_fenced():
    state = initial_state([])
    first = accept("lot-0")
    for number in range(MAX_TRACKED_DROPS * 3):
        name = f"lot-{number}"
        state, _ = apply_batch(state, [accept(name, number), *end_and_delete("drop", name)])
    assert len(state["lot_drops"]["kept"]) == MAX_TRACKED_DROPS
    _, (late_answer, outdated_answer, current_answer) = apply_batch(
        state, [first, accept("new", 1), accept("new", lot_fence(state, {})["drops"])]
    )
    assert isinstance(late_answer, StaleLot) and isinstance(outdated_answer, StaleLot)
    assert current_answer == {"lot": "new", "items": 1}


def test_a_drop_that_deletes_no_lot_changes_nothing():
    state, _ = apply_batch(initial_state([]), [accept("x")])
    after, _ = apply_batch(state, [{"do": "lot.drop", "lot": name} for name in ("x", "y")])
    assert after == state


def test_an_acceptance_of_the_previous_version_is_not_fenced():
    state, _ = apply_batch(initial_state([]), [accept("x"), *end_and_delete("drop", "x")])
    command = {key: value for key, value in accept("x").items() if key != "seen_drops"}
    assert accept_lot(state, command)[1] == {"lot": "x", "items": 1}


class LotRequest:
    """A request as far as the handler `submit_lot` reads it."""

    client_name = "ann"

    def __init__(self, key):
        self.body = {"entry": "gate-notices", "items": ["one"], "key": key}


def record_submissions(fleet):
    """Return a list to which each command submitted to any core is appended, with its part."""
    submissions = []
    for node in fleet.sim.up_nodes("core"):
        node.find("ownership").submit_checks.append(
            lambda owner, command: submissions.append((owner.part, command))
        )
    return submissions


@pytest.mark.parametrize("seed", [1, 2])
def test_a_delayed_copy_of_an_acceptance_is_refused_after_the_release(seed):
    fleet = SelfFoundingFleet(seed)
    configuration = {"do": "layout.adopt", "id": "first", "base_version": 0, "whole": True}
    assert fleet.submit("core-1", {**configuration, "change": fleet.sim.configuration})[1] is None
    fleet.run(2)
    submissions = record_submissions(fleet)
    answer, error = fleet.ask("edge-1", submit_lot(fleet.sim.nodes["edge-1"], LotRequest("k")))
    assert error is None, error
    part, copy = next(row for row in submissions if row[1]["do"] == "lot.accept")
    for command in ({"do": "lot.cancel"}, {"do": "lot.release"}):
        full_command = {**command, "lot": answer["lot"], "sender": "ann"}
        assert fleet.submit("core-2", full_command, part)[1] is None
    _, late_answer = fleet.submit("core-1", copy, part)
    assert isinstance(late_answer, StaleLot)
    again, error = fleet.ask("edge-1", submit_lot(fleet.sim.nodes["edge-1"], LotRequest("k")))
    assert error is None and again == answer
