"""A reply completes only the call that requested it; duplicate messages are filtered."""

import random

import pytest

from quillring.kernel.bounds import Bounds
from quillring.kernel.effects import Wait
from quillring.kernel.errors import Refused, TimedOut
from quillring.kernel.node import Node
from quillring.nifty import Member
from quillring.nifty.duplicate_filter import WINDOW_SEQUENCES, DuplicateFilter


class RecordingPeerLayer:
    """Replaces the peer layer: records what is sent."""

    def __init__(self):
        self.messages = []

    def send(self, target, message):
        self.messages.append((target, message))
        return True


class RecordingRuntime:
    """A runtime whose clock always reads 0; it collects coroutines, which the test runs."""

    def __init__(self):
        self.random = random.Random(1)
        self.coroutines = []

    def now(self):
        return 0.0

    def spawn(self, coroutine):
        self.coroutines.append(coroutine)


def make_node(incarnation=1, name="a"):
    """Return (node, its peer layer)."""
    node = Node(Member(name, incarnation, "core", "z", "h", 1, 2, ""), RecordingRuntime(), Bounds())
    return node, node.offer("nifty", RecordingPeerLayer())


def begin_call(node, target="b"):
    """Begin a call; return its coroutine, which waits for the reply."""
    coroutine = node.call(target, "s", {})
    assert isinstance(next(coroutine), Wait)
    return coroutine


def call_id_of(peer_layer):
    """Return the call id of the last message that was sent."""
    return peer_layer.messages[-1][1]["c"]


def resume_call(coroutine):
    """Resume a call; return its value, or TimedOut if no reply completed it."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    except TimedOut:
        return TimedOut
    raise AssertionError("the call is still waiting")


def test_a_reply_from_the_called_node_completes_the_call():
    node, peer_layer = make_node()
    coroutine = begin_call(node)
    node.on_message("b", {"r": call_id_of(peer_layer), "b": "ours"})
    assert resume_call(coroutine) == "ours"


def test_a_reply_from_a_node_that_was_not_called_is_ignored():
    node, peer_layer = make_node()
    coroutine = begin_call(node)
    node.on_message("c", {"r": call_id_of(peer_layer), "b": "theirs"})
    assert resume_call(coroutine) is TimedOut


def test_a_reply_from_another_node_does_not_block_the_expected_reply():
    node, peer_layer = make_node()
    coroutine = begin_call(node)
    node.on_message("c", {"r": call_id_of(peer_layer), "b": "theirs"})
    node.on_message("b", {"r": call_id_of(peer_layer), "b": "ours"})
    assert resume_call(coroutine) == "ours"


@pytest.mark.parametrize("start_difference", [2, 1_000, 60_000_000, -60_000_000])
def test_a_reply_to_a_previous_incarnation_is_ignored(start_difference):
    first_start = 1_800_000_000_000_000
    previous_node, previous_peer_layer = make_node(first_start)
    late_replies = []
    for _ in range(100):
        begin_call(previous_node)
        late_replies.append({"r": call_id_of(previous_peer_layer), "b": "of the former life"})
    node, _ = make_node(first_start + start_difference)
    coroutines = [begin_call(node) for _ in range(100)]
    for reply in late_replies:
        node.on_message("b", reply)
    assert {resume_call(coroutine) for coroutine in coroutines} == {TimedOut}


def test_a_late_reply_does_not_complete_a_later_call():
    node, peer_layer = make_node()
    coroutine = begin_call(node)
    late_id = call_id_of(peer_layer)
    assert resume_call(coroutine) is TimedOut
    later_call = begin_call(node)
    node.on_message("b", {"r": late_id, "b": "late"})
    assert resume_call(later_call) is TimedOut


def test_a_reply_carries_the_call_id_unchanged_whatever_its_type():
    node, peer_layer = make_node()
    node.handle("s", lambda body, origin: body)
    for call_id in (7, (1 << 63) - 1, [1, 2], "text"):
        node.on_message("b", {"s": "s", "b": "x", "c": call_id})
        with pytest.raises(StopIteration):
            next(node.runtime.coroutines.pop())
        assert peer_layer.messages[-1] == ("b", {"r": call_id, "b": "x"})


def test_a_reply_with_an_invalid_call_id_is_ignored():
    node, _ = make_node()
    begin_call(node)
    for call_id in (None, [1], {}, "1", -1, 1.5):
        node.on_message("b", {"r": call_id, "b": "strange"})


def test_an_error_from_a_node_that_was_not_called_is_ignored():
    node, peer_layer = make_node()
    coroutine = begin_call(node)
    node.on_message("c", {"r": call_id_of(peer_layer), "t": Refused.kind, "b": {}})
    assert resume_call(coroutine) is TimedOut


def test_a_delayed_duplicate_is_rejected_however_many_messages_follow_the_original():
    """Duplicates never expire: sequence numbers older than the window count as received."""
    rng = random.Random(5)
    for later_messages in (
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
        for sequence in range(11, 11 + later_messages):
            assert window.is_first_copy(sequence)
        assert not window.is_first_copy(10)
    window, seen = DuplicateFilter(1), set()
    top = 0
    for _ in range(20_000):
        top += rng.randrange(3)
        sequence = max(1, top - rng.randrange(2 * WINDOW_SEQUENCES))
        if window.is_first_copy(sequence):
            assert sequence not in seen
            seen.add(sequence)
    assert len(window.received) <= 2 * WINDOW_SEQUENCES + 1
