"""A reply settles the call that asked for it, and nothing else."""

import random

import pytest

from quillring.kernel.bounds import Bounds
from quillring.kernel.effects import Wait
from quillring.kernel.errors import Refused, TimedOut
from quillring.kernel.node import Node
from quillring.nifty import Member
from quillring.nifty.duplicate_filter import WINDOW_SEQUENCES, DuplicateFilter


class Sent:
    """Stands in for the peer layer: notes what is sent."""

    def __init__(self):
        self.messages = []

    def send(self, target, message):
        self.messages.append((target, message))
        return True


class RecordingRuntime:
    """A runtime without time: coroutines are kept for the test to drive."""

    def __init__(self):
        self.random = random.Random(1)
        self.coroutines = []

    def now(self):
        return 0.0

    def spawn(self, coroutine):
        self.coroutines.append(coroutine)


def make_node(incarnation=1, name="a"):
    node = Node(Member(name, incarnation, "core", "z", "h", 1, 2, ""), RecordingRuntime(), Bounds())
    return node, node.offer("nifty", Sent())


def begin_call(node, target="b"):
    """Begin a call; return its coroutine, waiting for the reply."""
    coroutine = node.call(target, "s", {})
    assert isinstance(next(coroutine), Wait)
    return coroutine


def call_id_of(sent):
    return sent.messages[-1][1]["c"]


def outcome(coroutine):
    """Let the call go on; return its value, or TimedOut where nothing settled it."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    except TimedOut:
        return TimedOut
    raise AssertionError("the call still waits")


def test_a_reply_of_the_node_that_was_asked_settles_its_call():
    node, sent = make_node()
    coroutine = begin_call(node)
    node.on_message("b", {"r": call_id_of(sent), "b": "ours"})
    assert outcome(coroutine) == "ours"


def test_a_reply_of_another_node_than_was_asked_settles_nothing():
    node, sent = make_node()
    coroutine = begin_call(node)
    node.on_message("c", {"r": call_id_of(sent), "b": "theirs"})
    assert outcome(coroutine) is TimedOut


def test_a_reply_of_another_node_does_not_take_the_place_of_the_due_one():
    node, sent = make_node()
    coroutine = begin_call(node)
    node.on_message("c", {"r": call_id_of(sent), "b": "theirs"})
    node.on_message("b", {"r": call_id_of(sent), "b": "ours"})
    assert outcome(coroutine) == "ours"


@pytest.mark.parametrize("later", [2, 1_000, 60_000_000, -60_000_000])
def test_a_reply_meant_for_a_former_life_settles_nothing(later):
    first_start = 1_800_000_000_000_000
    former, former_sent = make_node(first_start)
    late_replies = []
    for _ in range(100):
        begin_call(former)
        late_replies.append({"r": call_id_of(former_sent), "b": "of the former life"})
    node, _ = make_node(first_start + later)
    coroutines = [begin_call(node) for _ in range(100)]
    for reply in late_replies:
        node.on_message("b", reply)
    assert {outcome(coroutine) for coroutine in coroutines} == {TimedOut}


def test_a_late_reply_settles_no_later_call():
    node, sent = make_node()
    coroutine = begin_call(node)
    late_id = call_id_of(sent)
    assert outcome(coroutine) is TimedOut
    later = begin_call(node)
    node.on_message("b", {"r": late_id, "b": "late"})
    assert outcome(later) is TimedOut


def test_an_answer_comes_back_under_the_id_of_any_version():
    node, sent = make_node()
    node.handle("s", lambda body, origin: body)
    for call_id in (7, (1 << 63) - 1, [1, 2], "text"):
        node.on_message("b", {"s": "s", "b": "x", "c": call_id})
        with pytest.raises(StopIteration):
            next(node.runtime.coroutines.pop())
        assert sent.messages[-1] == ("b", {"r": call_id, "b": "x"})


def test_a_reply_with_an_id_that_is_none_changes_nothing():
    node, _ = make_node()
    begin_call(node)
    for call_id in (None, [1], {}, "1", -1, 1.5):
        node.on_message("b", {"r": call_id, "b": "strange"})


def test_an_error_of_another_node_fails_no_call():
    node, sent = make_node()
    coroutine = begin_call(node)
    node.on_message("c", {"r": call_id_of(sent), "t": Refused.kind, "b": {}})
    assert outcome(coroutine) is TimedOut


def test_a_held_copy_is_never_new_however_many_messages_went_past_it():
    """The window has no end in time: what is older than it counts as seen."""
    chance = random.Random(5)
    for passed in (
        0,
        1,
        WINDOW_SEQUENCES - 1,
        WINDOW_SEQUENCES,
        WINDOW_SEQUENCES + 1,
        3 * WINDOW_SEQUENCES,
        50 * WINDOW_SEQUENCES,
    ):
        window = DuplicateFilter(1)
        assert window.is_first_copy(10)
        for sequence in range(11, 11 + passed):
            assert window.is_first_copy(sequence)
        assert not window.is_first_copy(10)
    window, seen = DuplicateFilter(1), set()
    top = 0
    for _ in range(20_000):
        top += chance.randrange(3)
        sequence = max(1, top - chance.randrange(2 * WINDOW_SEQUENCES))
        if window.is_first_copy(sequence):
            assert sequence not in seen
            seen.add(sequence)
    assert len(window.received) <= 2 * WINDOW_SEQUENCES + 1
