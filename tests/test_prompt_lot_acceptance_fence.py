"""A late copy of a lot's acceptance takes no lot again that was dropped or released since."""

import pytest

from quillring.kernel.errors import Conflict
from quillring.lots.prompts.acceptance_fence import MAX_TRACKED_DROPS, StaleLot, lot_fence
from quillring.lots.prompts.api import submit_lot
from quillring.lots.prompts.state_machine import accept_lot
from quillring.quorum.commands import apply_batch, first_state
from tests.fleet_stage import SelfFounded


def accept(name, seen_drops=0, items=("a",)):
    """Return the acceptance of a lot by a node that had seen so many drops."""
    fields = {"lot": name, "sender": "ann", "entry": "e", "items": list(items)}
    return {"do": "lot.accept", **fields, "seen_drops": seen_drops}


def ends(name):
    """Return the commands that end a lot of one item."""
    return [{"do": "lot.result", "lot": name, "n": 0, "result": {"text": "A"}}]


def forgets(verb, name):
    """Return the commands that end a lot and forget it."""
    return [*ends(name), {"do": f"lot.{verb}", "lot": name, "sender": "ann"}]


@pytest.mark.parametrize("verb", ["drop", "release"])
def test_a_late_copy_of_a_forgotten_lot_is_refused(verb):
    first = accept("x", lot_fence(first_state([]), {})["drops"])
    state, _ = apply_batch(first_state([]), [first, *forgets(verb, "x")])
    after, (answer,) = apply_batch(state, [first])
    assert isinstance(answer, StaleLot) and answer.may_retry_later
    assert after == state


@pytest.mark.parametrize("verb", ["drop", "release"])
def test_a_lot_that_is_handed_in_after_the_former_was_forgotten_is_a_new_one(verb):
    state, _ = apply_batch(first_state([]), [accept("x"), *forgets(verb, "x")])
    again = accept("x", lot_fence(state, {})["drops"])
    state, (answer, repeated) = apply_batch(state, [again, again])
    assert answer == {"lot": "x", "items": 1} and repeated["repeated"]
    state, _ = apply_batch(state, forgets(verb, "x"))
    _, (late,) = apply_batch(state, [again])
    assert isinstance(late, StaleLot)


def test_a_repeat_of_a_lot_that_is_there_is_told_as_taken_however_late():
    state, _ = apply_batch(
        first_state([]), [accept("x"), accept("y"), *forgets("drop", "y"), *ends("x")]
    )
    _, (repeat, other) = apply_batch(state, [accept("x"), accept("x", items=("b",))])
    assert repeat["repeated"] and isinstance(other, Conflict)


def test_the_memory_is_bounded_and_what_went_out_of_it_is_still_fenced():
    state = first_state([])
    first = accept("lot-0")
    for number in range(MAX_TRACKED_DROPS * 3):
        name = f"lot-{number}"
        state, _ = apply_batch(state, [accept(name, number), *forgets("drop", name)])
    assert len(state["lot_drops"]["kept"]) == MAX_TRACKED_DROPS
    _, (late, never_seen, fresh) = apply_batch(
        state, [first, accept("new", 1), accept("new", lot_fence(state, {})["drops"])]
    )
    assert isinstance(late, StaleLot) and isinstance(never_seen, StaleLot)
    assert fresh == {"lot": "new", "items": 1}


def test_a_drop_that_forgets_nothing_counts_nothing():
    state, _ = apply_batch(first_state([]), [accept("x")])
    after, _ = apply_batch(state, [{"do": "lot.drop", "lot": name} for name in ("x", "y")])
    assert after == state


def test_an_acceptance_of_the_version_before_carries_no_fence():
    state, _ = apply_batch(first_state([]), [accept("x"), *forgets("drop", "x")])
    command = {key: value for key, value in accept("x").items() if key != "seen_drops"}
    assert accept_lot(state, command)[1] == {"lot": "x", "items": 1}


class LotRequest:
    """What the route of the own interface reads of a request."""

    client_name = "ann"

    def __init__(self, key):
        self.body = {"entry": "gate-notices", "items": ["one"], "key": key}


def held_copies(fleet):
    """Return the list that every acceptance given to any core is copied into."""
    copies = []
    for node in fleet.sim.up_nodes("core"):
        node.find("ownership").submit_checks.append(
            lambda owner, command: copies.append((owner.part, command))
        )
    return copies


@pytest.mark.parametrize("seed", [1, 2])
def test_a_copy_that_a_relay_held_takes_no_lot_after_its_release(seed):
    fleet = SelfFounded(seed)
    configuration = {"do": "layout.adopt", "id": "first", "base_version": 0, "whole": True}
    assert fleet.submit("core-1", {**configuration, "change": fleet.sim.configuration})[1] is None
    fleet.run(2)
    copies = held_copies(fleet)
    answer, error = fleet.ask("edge-1", submit_lot(fleet.sim.nodes["edge-1"], LotRequest("k")))
    assert error is None, error
    part, copy = next(row for row in copies if row[1]["do"] == "lot.accept")
    for command in ({"do": "lot.cancel"}, {"do": "lot.release"}):
        order = {**command, "lot": answer["lot"], "sender": "ann"}
        assert fleet.submit("core-2", order, part)[1] is None
    _, late = fleet.submit("core-1", copy, part)
    assert isinstance(late, StaleLot)
    again, error = fleet.ask("edge-1", submit_lot(fleet.sim.nodes["edge-1"], LotRequest("k")))
    assert error is None and again == answer
