import random

import pytest

from proving.scripted import BREAK, END, SILENT, ScriptedWorld
from proving.sim.disk import SimDisk
from quillring.edge.memory import ReplicaMemory
from quillring.fleet import make_node
from quillring.forward import Dialect, EventReader, Request
from quillring.forward.serve import check_known, serve
from quillring.kernel.bounds import Bounds
from quillring.kernel.troubles import BackendTrouble, OutcomeUnknown, Refused
from quillring.nifty import Member

STREAM = {"content-type": "text/event-stream", "x-seal": "s", "x-inquiry": "q1"}
PLAIN = {"x-seal": "s", "x-inquiry": "q1"}
HEAD, PLAIN_HEAD = (0.01, (200, STREAM)), (0.01, (200, PLAIN))


def event(number):
    return b"id: %d\ndata: p%d\n\n" % (number, number)


def address(number):
    return ("10.0.0.1", 9000 + number)


def make(answers, kind="stream", resumable=True, rounds=2, replicas=2, **fields):
    world = ScriptedWorld({address(n): lists for n, lists in answers.items()})
    me = Member("edge-1", 1, "edge", "north", "10.0.0.9", 7000, 7001, "")
    node = make_node(me, world, [], Bounds())
    layout = {
        "domains": {}, "services": {"s": {"kind": "raw", "warm_rate": 8}},
        "forwards": {"f": {
            "host": "h", "prefix": "/a/", "kind": kind, "split": [["s", 1]], "rounds": rounds,
            "hold_ms": 5000, "goal_ms": 250, "urgency": 0, "resumable": resumable,
            "pause_ms": 300, **fields,
        }},
    }
    node.find("gossip").put("layout", [1], [1, 1, layout, []])
    for number in range(replicas):
        beat(node, number)
    return world, node


def beat(node, number, sequence=1, **fields):
    node.find("replicas").on_beat({
        "name": f"r{number}", "service": "s", "domain": "north",
        "address": f"10.0.0.1:{9000 + number}", "slots": 8, "state": "ready",
        "incarnation": 0, "sequence": sequence, **fields,
    })


def request(dialect=None, **headers):
    pairs = [("Host", "h"), ("X-Inquiry", "q1"), ("X-Deadline-Ms", "4000"), *headers.items()]
    return Request(dialect or Dialect(), "POST", "/a/x?y=%20z", pairs, b"body")


def run(world, node, sent=None):
    sent = sent or request()
    forward = node.find("forwards").find("h", sent.target)
    return world.run(serve(node, forward, sent, node.now()))


def text(world):
    return b"".join(line if isinstance(line, bytes) else line[2] for line in world.emitted)


def both(*lists):
    """The same answers at either replica, whichever is chosen first."""
    return {0: [list(steps) for steps in lists], 1: [list(steps) for steps in lists]}


def test_a_request_goes_on_unchanged_and_names_its_replica():
    world, node = make(both([HEAD, (0.01, event(0)), (0, END)]))
    run(world, node)
    data = world.sent[0][1].decode()
    assert data.startswith("POST /a/x?y=%20z HTTP/1.1\r\nHost: h\r\nX-Inquiry: q1\r\n")
    assert "x-expect-replica: r" in data and "x-deadline-ms: 4000" in data
    assert data.endswith("Content-Length: 4\r\n\r\nbody")
    assert world.emitted[0][0] == 200 and text(world) == event(0)


def test_a_cut_stream_goes_on_at_another_replica_after_the_last_whole_event():
    first = [HEAD, (0.01, event(0) + event(1) + b"id: 2\nda"), (0.01, BREAK)]
    second = [HEAD, (0.01, event(2)), (0, END)]
    world, node = make(both(first, second))
    world.answers = {address(0): [first], address(1): [first]}
    sentTo = []
    original = world._send

    def send(effect):
        sentTo.append(effect.address)
        if len(sentTo) == 2:
            world.answers[tuple(effect.address)] = [second]
        return original(effect)

    world._send = send
    run(world, node)
    assert text(world) == event(0) + event(1) + event(2)
    assert len(set(sentTo)) == 2
    assert b"last-event-id: 1" in world.sent[1][1]


def test_a_stream_that_may_not_be_resumed_is_cut_and_never_sent_again():
    world, node = make(both([HEAD, (0.01, event(0)), (0.01, BREAK)]), resumable=False)
    with pytest.raises(OutcomeUnknown):
        run(world, node)
    assert len(world.sent) == 1 and not world.sent[0][2]


def test_what_may_not_repeat_is_not_sent_twice_after_silence():
    world, node = make(both([(9, SILENT)]), kind="once")
    with pytest.raises(OutcomeUnknown):
        run(world, node)
    assert len(world.sent) == 1


def test_a_refused_connection_reached_nothing_and_is_tried_elsewhere():
    world, node = make({1: [[PLAIN_HEAD, (0.01, b"ok"), (0, END)]]}, kind="once", rounds=1)
    status, _, body = run(world, node)
    assert (status, body) == (200, b"ok")


def test_a_silent_replica_is_left_in_time_for_the_next_event():
    world, node = make(both([(0, SILENT)], [HEAD, (0.01, event(0)), (0, END)]))
    world.answers[address(0)] = [[HEAD, (0.01, event(0)), (9, SILENT)]]
    world.answers[address(1)] = [[HEAD, (0.01, event(0)), (9, SILENT)]]
    startTime = world.now()
    with pytest.raises(OutcomeUnknown):
        run(world, node)
    assert len(world.sent) == 2
    assert world.handles[0].isClosed and world.now() - startTime < 5.1


def test_events_of_two_runs_are_never_joined():
    world, node = make(both([HEAD, (0.01, event(5)), (0, END)]), rounds=1)
    with pytest.raises(OutcomeUnknown):
        run(world, node, request(**{"Last-Event-Id": "2"}))
    assert text(world) == b""


def test_an_answer_without_its_seal_is_no_success():
    unsealed = (0.01, (200, {"content-type": "text/event-stream"}))
    world, node = make(both([unsealed, (0.01, event(0)), (0, END)]), rounds=1)
    with pytest.raises(OutcomeUnknown):
        run(world, node)
    assert not world.emitted


def test_a_replica_that_leaves_gets_nothing_and_refusals_come_at_once():
    world, node = make(both([HEAD, (0.01, event(0)), (0, END)]))
    beat(node, 0, 2, state="leaving")
    beat(node, 1, 2, state="gone")
    startTime = world.now()
    with pytest.raises(Refused) as refusal:
        run(world, node)
    assert not world.sent and world.now() - startTime <= 0.25 / 4
    assert refusal.value.detail["come_back_s"] > 0


def test_a_wrong_replica_at_the_address_is_not_asked_again():
    misplaced = [(0.01, (421, {"x-inquiry": "q1"}))]
    world, node = make(both(misplaced), rounds=3)
    with pytest.raises(Refused):
        run(world, node)
    assert {sent[0] for sent in world.sent} == {address(0), address(1)}
    assert not node.find("placement").replicas("s")


def test_a_word_of_not_run_lets_even_a_single_request_go_elsewhere_within_its_rounds():
    shed = [(0.01, (503, {"x-inquiry": "q1", "x-not-run": "1"}))]
    whole = [PLAIN_HEAD, (0.01, b"ok"), (0, END)]
    world, node = make(both(shed, whole), kind="once", rounds=2)
    world.answers = {address(0): [shed], address(1): [shed]}
    with pytest.raises(Refused):
        run(world, node)
    assert len(world.sent) == 2


def test_a_failure_of_the_replicas_own_is_passed_on_when_it_may_not_repeat():
    world, node = make(both([(0.01, (500, PLAIN)), (0, b"bad"), (0, END)]), kind="once")
    assert run(world, node)[::2] == (500, b"bad")


def test_a_cold_replica_bears_its_rate_over_the_whole_fleet():
    world, node = make({}, replicas=0)
    beat(node, 0, cold_ms=60_000)
    placement, count = node.find("placement"), 0
    for step in range(400):
        world.time = 2000 + step / 100
        node.find("replicas").table["r0"].coldUntil = world.time + 9
        count += placement.choose("s", request()) is not None
    assert 8 * 4 * 0.9 <= count <= 8 * 4 + 2


def test_long_shared_parts_keep_to_their_replica_until_it_reads_too_much():
    world, node = make({}, replicas=6)
    placement = node.find("placement")
    long = request(**{"X-Prompt-Chain": "ab:13000,cd:900", "X-Token-Count": "13900,80"})
    chosen = [placement.choose("s", long) for _ in range(20)]
    assert len({replica.name for replica in chosen}) == 1
    for _ in range(3):
        placement.begin(chosen[0], long)
    assert placement.choose("s", long).name != chosen[0].name


def test_the_longest_prefix_of_the_host_counts():
    world, node = make({})
    layout = node.find("layout").layout
    forwards = {
        "a": {**layout["forwards"]["f"], "prefix": "/"},
        "b": {**layout["forwards"]["f"], "prefix": "/a/b/"},
        "c": {**layout["forwards"]["f"], "prefix": "/a/"},
    }
    node.find("gossip").put("layout", [2], [2, 2, {**layout, "forwards": forwards}, []])
    table = node.find("forwards")
    found = {path: table.find("H", path) for path in ("/a/b/c?d=/x/", "/a/b", "/q", "/a/")}
    assert {path: f.name for path, f in found.items()} == {
        "/a/b/c?d=/x/": "b", "/a/b": "c", "/q": "a", "/a/": "c"}
    assert table.find("other", "/a/") is None


def test_events_are_split_wherever_the_bytes_were_cut():
    data = event(0) + event(1) + event(2)
    for cut in range(len(data)):
        reader = EventReader()
        events = reader.feed(data[:cut]) + reader.feed(data[cut:])
        assert b"".join(e.raw for e in events) == data and reader.is_clean
    with pytest.raises(BackendTrouble):
        EventReader(4).feed(event(6))


def test_a_node_without_a_layout_refuses_and_never_says_that_nothing_is_there():
    world = ScriptedWorld()
    me = Member("edge-1", 1, "edge", "north", "10.0.0.9", 7, 8, "")
    node = make_node(me, world, [], Bounds())
    with pytest.raises(Refused) as refusal:
        check_known(node)
    assert refusal.value.status == 503 and refusal.value.detail["come_back_s"] > 0
    check_known(make({})[1])


def test_a_store_knows_the_replicas_again_after_power_was_lost():
    disk = SimDisk(random.Random(1))
    world, node = make({}, replicas=3)
    memory = ReplicaMemory(node, disk)
    beat(node, 1, 2, state="leaving")
    memory._keep()
    beat(node, 3)
    memory._keep()
    disk.lose_power()
    disk.durable["replicas.0"] = disk.durable["replicas.0"][:-1]
    world, node = make({}, replicas=0)
    ReplicaMemory(node, disk).recall()
    known = node.find("replicas").table
    assert {name: replica.state for name, replica in known.items()} == {
        "r0": "ready", "r1": "leaving", "r2": "ready"}
    assert {r.name for r in node.find("placement").replicas("s")} == {"r0", "r2"}
    beat(node, 0, 5)
    assert node.find("placement").choose("s", request()).name == "r0"
