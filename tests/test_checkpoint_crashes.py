"""A store's files after a crash at each step of the disk: all that was acknowledged comes back."""

import pytest

from proving.sim.disk import CrashDisk, PowerLost
from tests.checkpoint_stage import RECORDS, Machine, check, live, lives


@pytest.mark.parametrize("is_eager", [False, True])
def test_after_a_loss_of_power_at_any_step_all_that_was_acknowledged_comes_back(is_eager):
    count = 0
    for last_step, disk, acknowledged in lives(is_eager):
        for number, left in enumerate(disk.after_power_loss()):
            story = f"step {last_step}, remains {number}"
            machine = check(left, acknowledged, story)
            rest = RECORDS[len(machine.holder.records) :]
            machine.commit(rest or [])
            check(CrashDisk(left.files), len(RECORDS), f"{story}, then committed the rest")
            count += 1
    assert count > 150


@pytest.mark.parametrize("is_eager", [False, True])
def test_what_a_killed_process_left_unsynced_is_durable_before_it_counts(is_eager):
    count = 0
    for last_step, disk, acknowledged in lives(is_eager):
        found = disk.after_kill()
        machine = check(found, acknowledged, f"killed at step {last_step}")
        shown = len(machine.holder.records)
        for number, left in enumerate(found.after_power_loss()):
            check(left, shown, f"killed at step {last_step}, power lost, remains {number}")
            count += 1
    assert count > 30


@pytest.mark.parametrize("is_eager", [False, True])
def test_a_second_crash_at_any_step_after_a_first_one_loses_nothing(is_eager):
    count = 0
    for first_step, disk, acknowledged in lives(is_eager):
        for loses_power in (False, True):
            for last_step in range(1, 12):
                found = next(disk.after_power_loss()) if loses_power else disk.after_kill()
                found.last_step = last_step
                known, is_whole = live(found, acknowledged, is_eager)
                for number, left in enumerate(found.after_power_loss()):
                    story = f"steps {first_step} and {last_step}, {loses_power}, remains {number}"
                    check(left, known, story)
                    count += 1
                if is_whole:
                    break
    assert count > 1000


@pytest.mark.parametrize("is_eager", [False, True])
@pytest.mark.parametrize("length", [1, 2, 5])
def test_a_disk_that_fails_at_any_step_and_has_room_again_loses_nothing(length, is_eager):
    count = 0
    first_step = Machine(CrashDisk()).disk.steps + 1
    for first_failure in range(first_step, first_step + 80):
        disk = CrashDisk()
        disk.failing_steps = range(first_failure, first_failure + length)
        acknowledged, _ = live(disk, is_eager=is_eager)
        for number, left in enumerate(disk.after_power_loss()):
            check(left, acknowledged, f"failed from step {first_failure}, remains {number}")
            count += 1
    assert count >= 80


def test_a_hole_torn_anywhere_into_an_unsynced_batch_is_a_torn_tail():
    disk = CrashDisk()
    machine = Machine(disk, log_limit=1 << 20)
    machine.commit(RECORDS[:1])
    before = dict(disk.files)
    disk.last_step = disk.steps + 2
    with pytest.raises(PowerLost):
        machine.commit(RECORDS[1:5])
    ((name, offset, data),) = disk.unsynced_changes
    for first in range(len(data)):
        for last in range(first + 1, len(data) + 1):
            torn = data[:first] + bytes(last - first) + data[last:]
            left = CrashDisk({**before, name: before[name][:offset] + torn})
            check(left, 1, f"zeros from {first} to {last}")


@pytest.mark.parametrize("log_limit", range(1, 200, 7))
def test_records_that_wait_while_a_slot_is_written_come_back_once(log_limit):
    disk = CrashDisk()
    machine = Machine(disk, log_limit)
    disk.pause = lambda: 0.01
    coroutines = []
    for record in RECORDS[:6]:
        machine.holder.replay(record)
        coroutines.append(machine.store.commit([record]))
        next(coroutines[-1])
        machine.effect = machine.writer.send(True)
    machine.pump()
    for coroutine in coroutines:
        with pytest.raises(StopIteration):
            coroutine.send(True)
    check(CrashDisk(disk.files), 6, "after the last commit")
