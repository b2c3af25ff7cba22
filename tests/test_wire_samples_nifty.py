"""Pins the bytes of frames and heartbeats: nodes of different releases exchange them."""

from quillring.nifty import Member
from quillring.nifty.wire import pack
from tests.test_nifty import heartbeat_datagram, member, node


def sent_to_b(runtime):
    """Return the datagrams that were sent to member b, in hex."""
    return [data.hex() for address, data in runtime.datagrams if address == member("b").address]


def test_first_heartbeat_to_a_peer_from_which_none_was_received():
    _, nifty, runtime = node("a")
    nifty.send_heartbeats()
    assert sent_to_b(runtime) == [
        (
            "51520286886161016465646765656e6f727468693132372e302e302e31191bb9191f40600148b0db"
            "23ee733ab03f4100f6f6"
        ),
    ]


def test_heartbeats_to_a_known_peer_are_full_then_terse():
    _, nifty, runtime = node("a")
    nifty.send_heartbeats()
    nifty.on_datagram(heartbeat_datagram(member("b"), 1, ["a"], [1, 1, 3, 5], "ab", 3))
    nifty.send_heartbeats()
    nifty.on_datagram(heartbeat_datagram(member("b"), 2, ["a"], [1, 2, 3, 5], "ab", 3))
    nifty.stamp_source = lambda: [[3, "core-1"], 41, "s1"]
    nifty.send_heartbeats()
    nifty.send_heartbeats()
    assert sent_to_b(runtime) == [
        (
            "51520286886161016465646765656e6f727468693132372e302e302e31191bb9191f40600148b0db"
            "23ee733ab03f4100f6f6"
        ),
        (
            "51520386886161016465646765656e6f727468693132372e302e302e31191bb9191f406002481d3f"
            "ef9b749ab29b4102f68401010405"
        ),
        "515203856161010383820366636f72652d3118296273318401020405",
        "515203856161010483820366636f72652d3118296273318401020405",
    ]


def test_frames_of_a_oneway_message_a_call_a_reply_and_an_error_reply():
    local_node, nifty, runtime = node("a")
    nifty.on_datagram(heartbeat_datagram(member("b"), 1, ["a"], [1, 1, 3, 5], "ab", 3))
    nifty.send_heartbeats()
    nifty.on_datagram(heartbeat_datagram(member("b"), 2, ["a"], [1, 1, 3, 5], "ab", 3))
    nifty.refresh()
    local_node.send_oneway("b", "gossip.news", {"k": 1})
    next(local_node.call("b", "quorum.read", [1, "two"]))
    local_node.handle("echo", lambda body, origin: body)
    for number, service in enumerate(("echo", "none"), 1):
        message = {"s": service, "b": [7], "c": 99}
        nifty.on_frame(pack(["b", 1, number, "a", 6, message]))
    for coroutine in runtime.spawned:
        next(coroutine, None)
    assert [data.hex() for _, data in runtime.frames] == [
        "5152038661610101616206a261736b676f737369702e6e6577736162a1616b01",
        (
            "5152038661610102616206a361736b71756f72756d2e72656164616282016374776f61631b5679a5"
            "2c00000001"
        ),
        "5152038661610103616206a26172186361628107",
        (
            "5152038661610104616206a36172186361746f756e6b6e6f776e5f736572766963656162a1677365"
            "7276696365646e6f6e65"
        ),
    ]


def test_relayed_frame_has_the_same_message_and_one_hop_less():
    _, nifty, runtime = node("a")
    nifty.send_heartbeats()
    nifty.on_datagram(heartbeat_datagram(member("b"), 1, ["a"], [1, 1, 3, 5], "ab", 3))
    nifty.on_frame(pack(["c", 1, 2, "b", 2, {"s": "x", "b": None, "c": 5}]))
    assert [data.hex() for _, data in runtime.frames] == [
        "5152038661630102616201a3617361786162f6616305",
    ]


def test_frames_sent_to_a_node_with_a_clashing_name_and_to_one_whose_clock_was_set_back():
    _, nifty, runtime = node("a")
    moved = Member("b", 2, "edge", "north", "127.0.0.9", 7999, 8000, "")
    nifty.on_datagram(heartbeat_datagram(member("b", 50), 1, ["a"], None, "ab", 3))
    nifty.on_datagram(heartbeat_datagram(moved, 1, ["a"], None, "ab", 3))
    runtime.time = 2.0
    nifty.on_datagram(heartbeat_datagram(member("b", 7), 2, ["a"], None, "ab", 3))
    assert [data.hex() for _, data in runtime.frames] == [
        "5152038661610101616201a261736c6d656d6265722e636c6173686162f6",
        "5152038661610102616201a261736d6d656d6265722e666f726d657261621832",
    ]
