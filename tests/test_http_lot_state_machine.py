import pytest

from quillring.kernel.errors import Conflict, NotFound
from quillring.lots.http_requests import state_machine
from quillring.lots.http_requests.lot_table import HELD, QUOTA, pending_tokens
from quillring.quorum.commands import apply_batch, initial_state


def accept(name, count=3, tokens=10, quota=0, attempt="t", forward="f", digest=b"d", body=b"body"):
    """Return the command that accepts a lot with `count` items."""
    items = [[f"{name}-{n}", f"/p/{n}", [["Model", "m"]], body, tokens] for n in range(count)]
    return {
        "do": "raw.accept",
        "lot": name,
        "forward": forward,
        "host": "h",
        "items": items,
        "digest": digest,
        "try": attempt,
        "most_tokens": quota,
        "at": 1000,
        "due_ms": 8000,
        "retain_ms": 40_000,
        "rounds": 2,
    }


def result(name, number, text=b"text", state="finished", run="r"):
    """Return the command that stores the result of an item."""
    return {"do": "raw.result", "lot": name, "n": number, "state": state, "text": text, "run": run}


def failed(name, number, run):
    """Return the command that records a failed run of an item."""
    return {"do": "raw.failed", "lot": name, "n": number, "run": run}


def read(state, name, start=0, limit=1000):
    """Return the answer to a query for results, limited to `limit` bytes."""
    return state_machine.query_results(state, {"lot": name, "from": start, "limit": limit})


def apply(*batch, state=None):
    """Apply a batch of commands; return (state, answers)."""
    return apply_batch(initial_state([]) if state is None else state, batch)


def test_each_item_is_listed_once_at_the_next_position():
    state, answers = apply(
        accept("x"), result("x", 2, b"two"), result("x", 2, b"other"), result("x", 0, b"zero")
    )
    assert [answer["listed"] for answer in answers[1:]] == [True, False, True]
    seen = read(state, "x")
    assert seen["results"] == [["x-2", "finished", b"two"], ["x-0", "finished", b"zero"]]
    assert (seen["items"], seen["next"], seen["is_over"]) == (3, 2, False)
    assert read(state, "x", 1)["results"] == [["x-0", "finished", b"zero"]]
    assert read(state, "x", 7)["results"] == []


def test_a_command_leaves_the_previous_state_unchanged_and_shares_its_texts():
    previous, _ = apply(accept("x"), result("x", 1, b"one"))
    state, _ = apply(result("x", 2, b"two"), state=previous)
    assert read(previous, "x")["next"] == 1 and read(state, "x")["next"] == 2
    assert state["raw"]["x"]["results"][0] is previous["raw"]["x"]["results"][0]
    assert state["raw"]["x"]["items"][0] is previous["raw"]["x"]["items"][0]


def test_a_repeated_lot_is_accepted_once_and_another_lot_of_its_name_is_a_conflict():
    state, answers = apply(
        accept("x"), accept("x", attempt="u"), accept("x", attempt="v", digest=b"other")
    )
    assert answers[1] == {"items": 3, "repeated": True}
    assert isinstance(answers[2], Conflict)
    assert len(state["raw"]["x"]["items"]) == 3


def test_the_quota_counts_only_pending_items_of_the_same_forward():
    state, answers = apply(
        accept("a", tokens=10, quota=60),
        accept("b", tokens=10, quota=60),
        accept("c", tokens=1, quota=60, attempt="c"),
        accept("d", forward="other", quota=60, attempt="d"),
    )
    assert answers[2] == {"refused": QUOTA} and answers[3] == {"items": 3}
    assert pending_tokens(state, "f") == 60
    state, answers = apply(
        result("a", 0),
        result("a", 0),
        failed("a", 1, "r1"),
        accept("e", count=1, tokens=11, quota=60, attempt="e"),
        accept("g", count=1, tokens=10, quota=60, attempt="g"),
        state=state,
    )
    assert answers[3:] == [{"refused": QUOTA}, {"items": 1}]
    state, _ = apply({"do": "raw.end", "lot": "b"}, state=state)
    assert pending_tokens(state, "f") == 30


def test_a_refused_attempt_stays_refused_and_a_new_attempt_may_be_accepted():
    state, answers = apply(accept("a", quota=30), accept("b", quota=30, attempt="b1"))
    assert answers[1] == {"refused": QUOTA}
    state, answers = apply(
        {"do": "raw.end", "lot": "a"},
        accept("b", quota=30, attempt="b1"),
        accept("b", quota=30, attempt="b2"),
        state=state,
    )
    assert answers[1:] == [{"refused": QUOTA}, {"items": 3}]


def test_lots_over_the_size_limit_of_a_part_are_refused(monkeypatch):
    monkeypatch.setattr(state_machine, "HELD_LIMIT_BYTES", 3000)
    state, answers = apply(
        accept("a", body=b"x" * 500), accept("b", attempt="b"), accept("c", attempt="c")
    )
    assert answers[1:] == [{"refused": HELD}, {"refused": HELD}]
    state, answers = apply({"do": "raw.end", "lot": "a"}, accept("b", attempt="b2"), state=state)
    assert answers[1] == {"items": 3}


def test_an_item_is_errored_once_its_distinct_failed_runs_reach_the_attempt_limit():
    state, answers = apply(
        accept("x"),
        failed("x", 0, "r1"),
        failed("x", 0, "r1"),
        failed("x", 1, "r3"),
        failed("x", 0, "r2"),
        failed("x", 0, "r4"),
    )
    assert [answer["listed"] for answer in answers[1:]] == [False, False, False, True, False]
    assert read(state, "x")["results"] == [["x-0", "errored", b""]]


def test_an_ended_lot_keeps_its_listed_results_and_discards_pending_items():
    state, answers = apply(
        accept("x"),
        result("x", 1),
        {"do": "raw.end", "lot": "x"},
        {"do": "raw.end", "lot": "x"},
        result("x", 0),
        failed("x", 0, "r"),
    )
    assert answers[3]["repeated"] and not answers[4]["listed"] and not answers[5]["listed"]
    assert read(state, "x")["next"] == 1 and read(state, "x")["is_over"]
    with pytest.raises(NotFound):
        state_machine.query_item_body(state, {"lot": "x", "item": "x-0"})
    lot = state["raw"]["x"]
    assert lot["weight"] == len(b"text") + state_machine.ITEM_OVERHEAD_BYTES and lot["tokens"] == 0


def test_an_expired_lot_lists_a_result_for_every_item():
    state, answers = apply(
        accept("x"),
        result("x", 1),
        {"do": "raw.expire", "lot": "x"},
        {"do": "raw.expire", "lot": "x"},
    )
    assert [answer["listed"] for answer in answers[2:]] == [2, 0]
    assert sorted(row[0] for row in read(state, "x")["results"]) == ["x-0", "x-1", "x-2"]


def test_reads_are_limited_in_bytes_but_return_at_least_one_result():
    state, _ = apply(accept("x"), *(result("x", n, b"t" * 2000) for n in range(3)))
    assert read(state, "x", limit=10)["next"] == 1
    assert read(state, "x", limit=4300)["next"] == 2
    assert read(state, "x", 2, limit=10)["next"] == 3


def test_bodies_are_readable_until_listed_and_unknown_items_and_lots_are_not_found():
    state, _ = apply(accept("x"), result("x", 1))
    assert state_machine.query_item_body(state, {"lot": "x", "item": "x-0"}) == {"body": b"body"}
    for item in ("x-1", "other"):
        with pytest.raises(NotFound):
            state_machine.query_item_body(state, {"lot": "x", "item": item})
    with pytest.raises(NotFound):
        read(state, "y")


def test_only_a_lot_without_pending_items_can_be_dropped():
    state, answers = apply(
        accept("x"),
        {"do": "raw.drop", "lot": "x"},
        {"do": "raw.end", "lot": "x"},
        {"do": "raw.drop", "lot": "x"},
    )
    assert [answers[1]["dropped"], answers[3]["dropped"]] == [False, True]
    assert state["raw"] == {}
