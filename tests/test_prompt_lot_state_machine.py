import pytest

from quillring.kernel.errors import Conflict, NotFound
from quillring.lots.prompts import state_machine
from quillring.lots.prompts.state_machine import TooManyLots
from quillring.quorum.commands import apply_batch, initial_state


def accept(name, items, client_name="ann"):
    """Return the command that accepts a lot of prompts."""
    return {"do": "lot.accept", "lot": name, "sender": client_name, "entry": "e", "items": items}


def result(name, number, text):
    """Return the command that stores the result of item `number`."""
    return {"do": "lot.result", "lot": name, "n": number, "result": {"text": text}}


def read(state, name, client_name="ann"):
    """Return the answer to a query for the results of a lot."""
    query = {"lot": name, "sender": client_name, "from": 0, "count": 10}
    return state_machine.lot_results(state, query)


def test_the_first_result_of_an_item_wins_and_the_lot_ends_with_the_last_one():
    state, answers = apply_batch(
        initial_state([]),
        [
            accept("x", ["a", "b"]),
            result("x", 1, "B"),
            result("x", 1, "other"),
            result("x", 0, "A"),
            result("x", 0, "late"),
            accept("x", ["a", "b"]),
        ],
    )
    assert [answer.get("written") for answer in answers[1:5]] == [True, False, True, False]
    seen = read(state, "x")
    assert (seen["phase"], seen["items"]) == ("ended", 2)
    assert seen["results"] == [{"n": 0, "text": "A"}, {"n": 1, "text": "B"}]
    assert answers[5]["repeated"]


def test_a_name_reused_with_other_items_is_a_conflict_and_other_clients_get_not_found():
    state, answers = apply_batch(initial_state([]), [accept("x", ["a"]), accept("x", ["b"])])
    assert isinstance(answers[1], Conflict)
    with pytest.raises(NotFound):
        read(state, "x", "bob")
    _, (answer,) = apply_batch(state, [{"do": "lot.cancel", "lot": "x", "sender": "bob"}])
    assert isinstance(answer, NotFound)


def test_a_cancelled_lot_accepts_no_more_results_and_starts_no_items():
    start = {"do": "lot.start", "lot": "x", "n": 1, "by": [1, "c"], "was_unsent": False}
    state, answers = apply_batch(
        initial_state([]),
        [
            accept("x", ["a", "b"]),
            result("x", 0, "A"),
            {"do": "lot.cancel", "lot": "x", "sender": "ann"},
            result("x", 1, "B"),
            start,
        ],
    )
    assert answers[3] == {"written": False} and answers[4] == {"may_run": False}
    assert [row["n"] for row in read(state, "x")["results"]] == [0]


def test_an_item_that_must_not_run_twice_starts_again_only_if_it_was_never_sent():
    start = {"do": "lot.start", "lot": "x", "n": 0, "by": [1, "c"], "was_unsent": False}
    _, answers = apply_batch(
        initial_state([]),
        [
            accept("x", ["a"]),
            start,
            start,
            {**start, "was_unsent": True},
            {**start, "was_unsent": True, "by": [2, "d"]},
        ],
    )
    assert [answer["may_run"] for answer in answers[1:]] == [True, False, True, False]


def test_lots_over_the_size_limit_of_open_lots_are_refused():
    large_items = ["x" * (1 << 20)] * 10
    state, answers = apply_batch(
        initial_state([]), [accept("x", large_items), accept("y", large_items)]
    )
    assert isinstance(answers[1], TooManyLots)
    assert list(state["lots"]) == ["x"]
