"""Messages delayed in a relay or a socket: delivered once, and never from an older incarnation."""

from quillring.nifty.wire import pack
from tests.test_nifty import heartbeat_datagram, member, node


def frame(sequence, incarnation=1, target="a", hops_left=6, origin="b"):
    """Return the bytes of a frame whose body is its sequence number."""
    return pack([origin, incarnation, sequence, target, hops_left, {"s": "s", "b": sequence}])


def deliver(nifty, *frames):
    """Process the frames; return the bodies delivered to the node's service, in order."""
    local_node, delivered_bodies = nifty.node, []
    local_node.handle("s", lambda body, origin: delivered_bodies.append(body))
    for data in frames:
        nifty.on_frame(data)
    for coroutine in local_node.runtime.spawned:
        list(coroutine)
    local_node.runtime.spawned.clear()
    return delivered_bodies


def test_duplicates_are_dropped_however_late_and_in_any_order():
    _, nifty, _ = node("a")
    frames = [frame(sequence) for sequence in range(1, 40)]
    assert deliver(nifty, *frames, *reversed(frames), *frames) == list(range(1, 40))


def test_message_of_an_older_incarnation_is_dropped_after_one_of_a_newer():
    _, nifty, _ = node("a")
    assert deliver(nifty, frame(7, incarnation=2), frame(8, incarnation=1)) == [7]


def test_restarted_node_drops_messages_of_an_older_incarnation_than_in_its_roster():
    _, nifty, _ = node("a")
    nifty.on_datagram(heartbeat_datagram(member("b", 5), 1, {"a"}, None, "ab"))
    assert nifty.roster.members["b"].incarnation == 5
    assert deliver(nifty, frame(3, incarnation=4)) == []
    assert deliver(nifty, frame(1, incarnation=5)) == [1]


def test_hop_limit_ends_the_relaying_of_a_message_in_a_loop():
    _, nifty, runtime = node("a")
    nifty.on_datagram(heartbeat_datagram(member("b"), 1, {"a"}, [1, 0], "ab"))
    nifty.on_frame(frame(1, target="c", hops_left=0))
    assert not [data for _, data in runtime.frames if data != "reset"]
