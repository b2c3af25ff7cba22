"""The commands of the table of token reservations, applied without a fleet."""

import pytest

from quillring.kernel.errors import Conflict
from quillring.lots.http_requests.lot_table import FENCED, HELD, MOVED, QUOTA, lot_records
from quillring.lots.http_requests.token_reservations import (
    reserved_lots,
    reserved_tokens,
    tokens_left,
)
from quillring.quorum.commands import apply_batch, initial_state
from tests.test_http_lot_state_machine import accept, result

HOME, QUOTA_TOKENS = "part-0", 60


def reserve(
    name, tokens=30, attempt="t", fenced=None, digest=b"d", quota=QUOTA_TOKENS, part="part-1"
):
    """Return the command that reserves tokens for a lot."""
    return {
        "do": "raw.reserve",
        "lot": name,
        "forward": "f",
        "part": part,
        "home": HOME,
        "tokens": tokens,
        "digest": digest,
        "try": attempt,
        "most_tokens": quota,
        "fenced": fenced,
    }


def accept_with_ticket(ticket, name, count=3, **options):
    """Return the command that accepts a lot under a reservation's ticket."""
    return {**accept(name, count, quota=QUOTA_TOKENS, **options), "ledger": HOME, "ticket": ticket}


def release(*rows):
    """Return the command that releases reservations."""
    return {"do": "raw.release", "lot": "", "rows": [list(row) for row in rows]}


def fence(ticket, *names):
    """Return the command that fences a ticket for the named lots."""
    return {"do": "raw.fence", "lot": "", "ledger": HOME, "ticket": ticket, "lots": list(names)}


def apply(*batch, state=None):
    """Apply a batch of commands; return (state, answers)."""
    return apply_batch(initial_state([]) if state is None else state, batch)


def test_tokens_are_reserved_up_to_the_limit_and_once_per_lot():
    state, answers = apply(
        reserve("a"),
        reserve("b", attempt="b"),
        reserve("c", 1, attempt="c"),
        reserve("a", attempt="again"),
        reserve("a", attempt="other", digest=b"other"),
    )
    assert answers[:4] == [{"ticket": 1}, {"ticket": 2}, {"refused": QUOTA}, {"ticket": 1}]
    assert isinstance(answers[4], Conflict)
    assert reserved_tokens(state, "f") == 60 and reserved_tokens(state, "g") == 0


def test_a_refused_reservation_stays_refused_when_repeated_later():
    state, _ = apply(reserve("a", 60), reserve("b", attempt="b"), release(("a", 1, 0)))
    assert apply(reserve("b", attempt="b"), state=state)[1] == [{"refused": QUOTA}]
    assert apply(reserve("b", attempt="b2"), state=state)[1] == [{"ticket": 2}]


def test_releases_may_be_repeated_late_and_out_of_order():
    state, answers = apply(
        reserve("a"),
        release(("a", 1, 10)),
        release(("a", 1, 20)),
        release(("a", 9, 0)),
        release(("x", 1, 0)),
    )
    assert [answer["released"] for answer in answers[1:]] == [20, 0, 0, 0]
    assert reserved_tokens(state, "f") == 10
    state, answers = apply(release(("a", 1, 0)), release(("a", 1, 0)), state=state)
    assert [answer["released"] for answer in answers] == [10, 0]
    assert reserved_lots(state) == {} and state["raw_ledger"]["forwards"] == {}
    assert apply(reserve("a"), release(("a", 1, 0)), state=state)[1][1] == {"released": 0}


def test_a_fenced_ticket_accepts_no_lot_and_an_accepted_lot_keeps_its_tokens():
    state, answers = apply(
        accept_with_ticket(3, "a"),
        fence(4, "a", "b"),
        accept_with_ticket(4, "b", attempt="b"),
        accept_with_ticket(3, "a", attempt="again"),
        accept_with_ticket(5, "b", attempt="b2"),
        fence(2, "b"),
        accept_with_ticket(4, "c", attempt="c"),
    )
    assert answers[1] == {"left": {"a": 30}}
    assert answers[2] == {"refused": FENCED}
    assert answers[3] == {"items": 3, "repeated": True}
    assert answers[4] == {"items": 3} and answers[6] == {"refused": FENCED}
    assert tokens_left(state, ["a", "b", "c"]) == {"a": 30, "b": 30}


def test_a_fenced_reservation_is_replaced_by_one_new_ticket():
    state, answers = apply(
        reserve("a"), reserve("a", fenced=1), reserve("a", fenced=1), release(("a", 1, 0))
    )
    assert answers[:3] == [{"ticket": 1}, {"ticket": 2}, {"ticket": 2}]
    assert answers[3] == {"released": 0} and reserved_tokens(state, "f") == 30


def test_a_dropped_lot_is_not_accepted_again_under_its_ticket():
    state, answers = apply(
        accept_with_ticket(3, "a", 1),
        result("a", 0),
        {"do": "raw.drop", "lot": "a"},
        accept_with_ticket(3, "a", 1, attempt="late"),
    )
    assert answers[2] == {"dropped": True} and answers[3] == {"refused": FENCED}


def test_a_refusal_for_size_is_final_for_the_attempt_under_the_same_ticket():
    oversized_accept = {**accept_with_ticket(1, "a"), "most_weight": 900}
    state, answers = apply(oversized_accept, {**oversized_accept, "most_weight": 9000})
    assert answers == [{"refused": HELD}, {"refused": HELD}]
    assert lot_records(state) == {}


def test_the_first_reservation_adds_the_lots_of_the_previous_version_to_the_table():
    state, _ = apply(accept("old", 2, quota=60), accept("free", 2))
    state, _ = apply({"do": "raw.end", "lot": "free"}, state=state)
    state, answers = apply(reserve("a", 50), reserve("b", 40, "b"), reserve("old"), state=state)
    assert answers == [{"refused": QUOTA}, {"ticket": 1}, {"items": 2, "repeated": True}]
    assert reserved_lots(state)["old"]["part"] == HOME and reserved_tokens(state, "f") == 60
    state, answers = apply(
        result("old", 0),
        release(("old", 0, 10)),
        accept("x", 1, quota=60, attempt="x"),
        state=state,
    )
    assert answers[1] == {"released": 10} and answers[2] == {"refused": MOVED}


def test_the_size_counter_of_a_part_matches_its_lots_after_every_command():
    with_size_limit = {**accept_with_ticket(1, "b"), "most_weight": 1 << 20}
    state, _ = apply(
        accept("a"), with_size_limit, result("a", 0, b"x" * 500), result("b", 1, b"y" * 70)
    )
    state, _ = apply({"do": "raw.end", "lot": "a"}, {"do": "raw.expire", "lot": "b"}, state=state)
    for batch in ([], [{"do": "raw.drop", "lot": "a"}], [{"do": "raw.drop", "lot": "b"}]):
        state, _ = apply(*batch, state=state)
        assert state["raw_held"] == sum(lot["weight"] for lot in lot_records(state).values())


@pytest.mark.parametrize("command", [reserve("a"), fence(1), release(("a", 1))])
def test_a_malformed_command_changes_nothing(command):
    state, _ = apply(reserve("z"))
    broken = {name: value for name, value in command.items() if name not in ("ticket", "digest")}
    after, answers = apply(broken, state=state)
    assert after is state and answers[0].kind == "bad_command"
