"""A part with a large state gets a new owner: messages stay small and its lots stay readable."""

from quillring.kernel.errors import Refused
from quillring.lots.http_requests import api
from quillring.quorum.leader.command_queue import MAX_ENTRY_BYTES, PendingCommand, split_batch
from tests.http_lot_stage import FORWARD, HttpLotStage

LINK_BYTES_PER_SECOND = 8 << 20
LOTS, ITEMS, BODY = 24, 100, b"b" * 5000
MAX_FRAME_BYTES = 1 << 20


def stage_with_large_part(seed):
    """Return a stage with a part whose state takes a link more than a second to transfer."""
    stage = HttpLotStage(seed, replicas=0)
    for number in range(LOTS):
        answer, error = submit_large_lot(stage, lot_names(stage)[number], ITEMS)
        assert error is None, error
    stage.sim.net.link_bytes_per_second = LINK_BYTES_PER_SECOND
    return stage


def lot_names(stage):
    """Return the names of lots that all belong to the same part."""
    names = [f"lot-{number}" for number in range(LOTS * 4)]
    return [name for name in names if stage.part(name) == stage.part("lot-0")][:LOTS]


def submit_large_lot(stage, name, count):
    """Submit a lot of large items; return (answer, error)."""
    items = stage.items(name, count, body=BODY)
    return stage.run_on_node(
        stage.pick_running("edge"), lambda node: api.submit_lot(node, FORWARD, name, items)
    )


def restart_all_after_power_loss(stage):
    """Cut the power of all nodes for one second."""
    for name in list(stage.sim.nodes):
        stage.sim.kill(name, loses_power=True)
    stage.run(1)
    for name in stage.sim.rows:
        stage.sim.start(name)


def wait_until_readable(stage, seconds):
    """Wait until every lot can be read; return the seconds it took, or None on timeout."""
    start_time, unread = stage.env.now, set(range(LOTS))
    while unread and stage.env.now - start_time < seconds:
        for number in sorted(unread):
            answer, _ = stage.read(lot_names(stage)[number])
            if answer is None:
                break
            assert answer["items"] == ITEMS
            unread.discard(number)
        stage.run(0.1)
    return None if unread else stage.env.now - start_time


def test_large_part_accepts_lots_within_the_recovery_bound_after_total_power_loss():
    with stage_with_large_part(1) as stage:
        restart_all_after_power_loss(stage)
        stage.run(stage.sim.bounds.recovery)
        answer, error = stage.submit("afterwards", 2)
        assert error is None, error
        assert wait_until_readable(stage, 4) is not None


def test_message_size_is_bounded_when_a_large_part_fails_over_and_refills_a_store():
    with stage_with_large_part(2) as stage:
        part = stage.part("lot-0")
        stage.sim.net.largest_frame = 0
        previous_owner = stage.owner("lot-0")
        stage.sim.kill(previous_owner.me.name)
        stage.run(6)
        owner = stage.owner("lot-0").find("ownership").leaders[part]
        assert owner.is_leader and owner.node is not previous_owner
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
        assert stage.sim.net.largest_frame < MAX_FRAME_BYTES


def test_queued_commands_are_split_into_entries_of_bounded_size():
    queue = [PendingCommand({"do": "raw.accept", "body": bytes(100_000)}, None) for _ in range(9)]
    sizes = []
    while queue:
        batch, queue = split_batch(queue)
        sizes.append(len(batch))
    assert sizes == [2, 2, 2, 2, 1]
    oversized = PendingCommand({"do": "raw.accept", "body": bytes(MAX_ENTRY_BYTES * 2)}, None)
    assert [len(part) for part in split_batch([oversized, oversized])] == [1, 1]


def test_promises_contain_no_batches_and_the_next_owner_commits_an_unapplied_entry():
    with HttpLotStage(3, replicas=0) as stage:
        owner = stage.owner("late").find("ownership").leaders[stage.part("late")]
        for node in stage.sim.up_nodes("store"):
            node.handlers["quorum.commit"] = refuse_commit
        answer, error = submit_large_lot(stage, "late", 40)
        assert error is None, error
        stage.run(0.1)
        stage.sim.kill(owner.node.me.name)
        for store in [store[0] for store in owner.group]:
            stage.sim.kill(store, loses_power=True)
            stage.sim.start(store)
        promises = []
        for node in stage.sim.up_nodes("store"):
            record_promises(node, promises)
        stage.run(6)
        assert any(row[0] > 1 for fields in promises for row in fields[3])
        assert all(row[2] is None for fields in promises for row in fields[3])
        answer, error = stage.read("late")
        assert error is None and answer["items"] == 40


def refuse_commit(body, origin):
    """Handler: refuse the request."""
    raise Refused(reason="this store rejects commits in this test")


def record_promises(node, promises):
    """Append the wire form of each promise of a store to a list."""
    real_handler = node.handlers["quorum.prepare"]

    def recording_handler(body, origin):
        fields = yield from real_handler(body, origin)
        promises.append(fields)
        return fields

    node.handlers["quorum.prepare"] = recording_handler
