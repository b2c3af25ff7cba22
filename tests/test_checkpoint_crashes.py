"""A crash at any disk step loses no acknowledged record of a store."""

import pytest

from proving.sim.disk import CrashDisk, PowerLost
from tests.checkpoint_stage import (
    RECORDS,
    StoreProcess,
    check_recovery,
    crash_at_each_step,
    run_until_power_loss,
)


@pytest.mark.parametrize("is_eager", [False, True])
def test_power_loss_at_any_step_loses_no_acknowledged_record(is_eager):
    case_count = 0
    for last_step, disk, acknowledged in crash_at_each_step(is_eager):
        for number, surviving_disk in enumerate(disk.after_power_loss()):
            context = f"power lost at step {last_step}, surviving files {number}"
            process = check_recovery(surviving_disk, acknowledged, context)
            missing_records = RECORDS[len(process.recorded_state.records) :]
            process.commit(missing_records or [])
            check_recovery(
                CrashDisk(surviving_disk.files),
                len(RECORDS),
                f"{context}, after committing the rest",
            )
            case_count += 1
    assert case_count > 150


@pytest.mark.parametrize("is_eager", [False, True])
def test_unsynced_data_of_a_killed_process_is_durable_before_recovery_returns_it(is_eager):
    case_count = 0
    for last_step, disk, acknowledged in crash_at_each_step(is_eager):
        disk_after_crash = disk.after_kill()
        process = check_recovery(disk_after_crash, acknowledged, f"killed at step {last_step}")
        recovered_count = len(process.recorded_state.records)
        for number, surviving_disk in enumerate(disk_after_crash.after_power_loss()):
            check_recovery(
                surviving_disk,
                recovered_count,
                f"killed at step {last_step}, then power lost, surviving files {number}",
            )
            case_count += 1
    assert case_count > 30


@pytest.mark.parametrize("is_eager", [False, True])
def test_second_crash_at_any_step_loses_no_acknowledged_record(is_eager):
    case_count = 0
    for first_step, disk, acknowledged in crash_at_each_step(is_eager):
        for loses_power in (False, True):
            for last_step in range(1, 12):
                disk_after_crash = (
                    next(disk.after_power_loss()) if loses_power else disk.after_kill()
                )
                disk_after_crash.last_step = last_step
                acknowledged_after, is_complete = run_until_power_loss(
                    disk_after_crash, acknowledged, is_eager
                )
                for number, surviving_disk in enumerate(disk_after_crash.after_power_loss()):
                    context = (
                        f"crashes at steps {first_step} and {last_step},"
                        f" first with power loss: {loses_power}, surviving files {number}"
                    )
                    check_recovery(surviving_disk, acknowledged_after, context)
                    case_count += 1
                if is_complete:
                    break
    assert case_count > 1000


@pytest.mark.parametrize("is_eager", [False, True])
@pytest.mark.parametrize("length", [1, 2, 5])
def test_temporary_disk_failure_at_any_step_loses_no_acknowledged_record(length, is_eager):
    case_count = 0
    first_step = StoreProcess(CrashDisk()).disk.steps + 1
    for first_failure in range(first_step, first_step + 80):
        disk = CrashDisk()
        disk.failing_steps = range(first_failure, first_failure + length)
        acknowledged, _ = run_until_power_loss(disk, is_eager=is_eager)
        for number, surviving_disk in enumerate(disk.after_power_loss()):
            check_recovery(
                surviving_disk,
                acknowledged,
                f"disk failed from step {first_failure}, surviving files {number}",
            )
            case_count += 1
    assert case_count >= 80


def test_zeroed_range_anywhere_in_an_unsynced_batch_is_cut_off_as_a_torn_tail():
    disk = CrashDisk()
    process = StoreProcess(disk, log_limit_bytes=1 << 20)
    process.commit(RECORDS[:1])
    files_before = dict(disk.files)
    disk.last_step = disk.steps + 2
    with pytest.raises(PowerLost):
        process.commit(RECORDS[1:5])
    ((name, offset, data),) = disk.unsynced_changes
    for first in range(len(data)):
        for last in range(first + 1, len(data) + 1):
            torn = data[:first] + bytes(last - first) + data[last:]
            surviving_disk = CrashDisk({**files_before, name: files_before[name][:offset] + torn})
            check_recovery(surviving_disk, 1, f"zeros from {first} to {last}")


@pytest.mark.parametrize("log_limit_bytes", range(1, 200, 7))
def test_records_queued_while_a_slot_is_written_are_recovered_exactly_once(log_limit_bytes):
    disk = CrashDisk()
    process = StoreProcess(disk, log_limit_bytes)
    disk.pause = lambda: 0.01
    coroutines = []
    for record in RECORDS[:6]:
        process.recorded_state.replay(record)
        coroutines.append(process.store.commit([record]))
        next(coroutines[-1])
        process.pending_effect = process.writer.send(True)
    process.run_writer()
    for coroutine in coroutines:
        with pytest.raises(StopIteration):
            coroutine.send(True)
    check_recovery(CrashDisk(disk.files), 6, "after the last commit")
