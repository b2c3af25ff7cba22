"""A part with much state changes hands: every message stays small, and its lots are served."""

from quillring.kernel.errors import Refused
from quillring.lots.http_requests import api
from quillring.quorum.leader.command_queue import MAX_ENTRY_BYTES, PendingCommand, split_batch
from tests.http_lot_stage import FORWARD, HttpLotStage

LINK = 8 << 20
LOTS, ITEMS, BODY = 24, 100, b"b" * 5000
MOST_FRAME = 1 << 20


def filled(seed):
    """A stage whose part of lots holds more than a link carries in a second."""
    stage = HttpLotStage(seed, replicas=0)
    for number in range(LOTS):
        answer, error = submit(stage, lot_names(stage)[number], ITEMS)
        assert error is None, error
    stage.sim.net.link_bytes_per_second = LINK
    return stage


def lot_names(stage):
    """Return the names of lots that live in one part."""
    names = [f"lot-{number}" for number in range(LOTS * 4)]
    return [name for name in names if stage.part(name) == stage.part("lot-0")][:LOTS]


def submit(stage, name, count):
    """Hand in a lot of large bodies; return (answer, error)."""
    items = stage.items(name, count, body=BODY)
    return stage.run_on_node(
        stage.pick_running("edge"), lambda node: api.submit_lot(node, FORWARD, name, items)
    )


def lose_all_power(stage):
    for name in list(stage.sim.nodes):
        stage.sim.kill(name, loses_power=True)
    stage.run(1)
    for name in stage.sim.rows:
        stage.sim.start(name)


def readable(stage, seconds):
    """Wait until every lot can be read; return how long it took, or None."""
    start_time, left = stage.env.now, set(range(LOTS))
    while left and stage.env.now - start_time < seconds:
        for number in sorted(left):
            answer, _ = stage.read(lot_names(stage)[number])
            if answer is None:
                break
            assert answer["items"] == ITEMS
            left.discard(number)
        stage.run(0.1)
    return None if left else stage.env.now - start_time


def test_after_all_power_was_lost_a_large_part_has_an_owner_and_takes_lots_within_the_bound():
    with filled(1) as stage:
        lose_all_power(stage)
        stage.run(stage.sim.bounds.recovery)
        answer, error = stage.submit("afterwards", 2)
        assert error is None, error
        assert readable(stage, 4) is not None


def test_no_message_grows_with_a_part_that_changes_hands_and_fills_an_emptied_store():
    with filled(2) as stage:
        part = stage.part("lot-0")
        stage.sim.net.largest_frame = 0
        former = stage.owner("lot-0")
        stage.sim.kill(former.me.name)
        stage.run(6)
        owner = stage.owner("lot-0").find("ownership").leaders[part]
        assert owner.is_leader and owner.node is not former
        stage.sim.lose_disk(owner.group[0][0])
        stage.run(1)
        stage.sim.start(owner.group[0][0])
        stage.run(20)
        applied = [
            node.find("acceptors").parts[part].applied
            for node in stage.sim.up_nodes("store")
            if node.me.name in [store[0] for store in owner.group]
        ]
        assert len(applied) == 3 and min(applied) >= owner.index - 1
        assert stage.sim.net.largest_frame < MOST_FRAME


def test_commands_that_wait_go_into_entries_of_bounded_size():
    queue = [PendingCommand({"do": "raw.accept", "body": bytes(100_000)}, None) for _ in range(9)]
    sizes = []
    while queue:
        batch, queue = split_batch(queue)
        sizes.append(len(batch))
    assert sizes == [2, 2, 2, 2, 1]
    huge = PendingCommand({"do": "raw.accept", "body": bytes(MAX_ENTRY_BYTES * 2)}, None)
    assert [len(part) for part in split_batch([huge, huge])] == [1, 1]


def test_promises_bear_no_entries_and_an_unapplied_one_is_finished_by_the_next_owner():
    with HttpLotStage(3, replicas=0) as stage:
        owner = stage.owner("late").find("ownership").leaders[stage.part("late")]
        for node in stage.sim.up_nodes("store"):
            node.handlers["quorum.commit"] = refuse
        answer, error = submit(stage, "late", 40)
        assert error is None, error
        stage.run(0.1)
        stage.sim.kill(owner.node.me.name)
        for store in [store[0] for store in owner.group]:
            stage.sim.kill(store, loses_power=True)
            stage.sim.start(store)
        promises = []
        for node in stage.sim.up_nodes("store"):
            watch_promises(node, promises)
        stage.run(6)
        assert any(row[0] > 1 for fields in promises for row in fields[3])
        assert all(row[2] is None for fields in promises for row in fields[3])
        answer, error = stage.read("late")
        assert error is None and answer["items"] == 40


def refuse(body, origin):
    raise Refused(reason="this store hears of no commits")


def watch_promises(node, promises):
    answer = node.handlers["quorum.prepare"]

    def watched(body, origin):
        fields = yield from answer(body, origin)
        promises.append(fields)
        return fields

    node.handlers["quorum.prepare"] = watched
