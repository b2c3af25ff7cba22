"""Placement of the lots of one host on all parts, shared slots, lots of the previous version."""

from collections import Counter

import pytest

from quillring.kernel.errors import NotFound
from quillring.lots.http_requests import api, lot_placement
from quillring.lots.http_requests.lot_placement import SPREAD_WIRE_VERSION, LotPlacement, lot_key
from quillring.lots.http_requests.lot_table import HeldTooMuch, QuotaExceeded, lot_records
from quillring.quorum.parts import part_for_key
from tests.http_lot_stage import (
    FORWARD,
    HOST,
    HttpLotStage,
    check_complete_results,
    submit_accepted,
)


def submit_as_previous_version(stage, name, count, tokens=10):
    """Commit a lot in its host's part, with the command of the previous version."""
    with stage.submitting_as_previous_version():
        answer, error = stage.submit(name, count, tokens=tokens)
    assert error is None, error
    assert lot_key(HOST, name) in lot_records(stage.state_of(stage.home_part()))
    return answer


def name_outside_home(stage, prefix="old"):
    """Return the name of a lot that is not stored in its host's part."""
    names = (f"{prefix}{number}" for number in range(50))
    return next(name for name in names if stage.part(name) != stage.home_part())


def test_lots_of_one_host_hash_evenly_onto_any_number_of_parts():
    for parts in (4, 8, 64):
        counts = Counter(part_for_key(lot_key(HOST, f"lot{n}"), parts) for n in range(100 * parts))
        assert len(counts) == parts
        assert max(counts.values()) < 150 and min(counts.values()) > 60


def test_lots_of_one_host_use_every_part_and_each_lot_is_stored_once():
    with HttpLotStage(101, slots=32) as stage:
        names = [f"l{number}" for number in range(16)]
        for name in names:
            submit_accepted(stage, name, 2)
        for name in names:
            check_complete_results(stage, stage.read_all(name), name, 2)
        parts = [p for p in stage.pick_running("edge").find("ownership").parts() if p != "config"]
        keys_by_part = [set(lot_records(stage.state_of(part))) for part in parts]
        assert sorted(key for keys in keys_by_part for key in keys) == sorted(
            lot_key(HOST, name) for name in names
        )
        assert all(len(keys) >= 4 for keys in keys_by_part)


def test_owners_of_different_parts_share_the_slots_available_to_lots():
    with HttpLotStage(102, slots=8) as stage:
        home_part, lot_elsewhere = stage.home_part(), name_outside_home(stage)
        lot_in_home = next(f"m{n}" for n in range(50) if stage.part(f"m{n}") == home_part)
        submit_accepted(stage, lot_elsewhere, 60)
        submit_accepted(stage, lot_in_home, 60)
        stage.run(2.5)
        assert {replica.max_active for replica in stage.replicas.values()} == {6}
        for name in (lot_elsewhere, lot_in_home):
            check_complete_results(stage, stage.read_all(name), name, 60)


@pytest.mark.parametrize("most_tokens", [0, 500])
def test_a_lot_submitted_by_the_previous_version_is_readable_and_runs_once(most_tokens):
    with HttpLotStage(103, slots=2, most_tokens=most_tokens) as stage:
        name = name_outside_home(stage)
        submit_as_previous_version(stage, name, 12)
        answer, error = stage.run_on_node(
            stage.pick_running("edge"),
            lambda node: api.read_item_body(node, HOST, name, f"{name}-11"),
        )
        assert (answer, error) == (b"body", None)
        assert submit_accepted(stage, name, 12)["repeated"]
        rows = stage.read_all(name)
        check_complete_results(stage, rows, name, 12)
        assert submit_accepted(stage, name, 12)["repeated"]
        assert Counter(stage.completed_runs).most_common(1)[0][1] == 1
        assert lot_key(HOST, name) not in lot_records(stage.state_of(stage.part(name)))


def test_a_lot_submitted_by_the_previous_version_can_be_ended():
    with HttpLotStage(104, slots=1) as stage:
        name = name_outside_home(stage)
        submit_as_previous_version(stage, name, 30)
        end_lot = lambda node: api.end_lot(node, HOST, name)  # noqa: E731
        assert stage.run_on_node(stage.pick_running("edge"), end_lot)[1] is None
        ended_at = stage.env.now
        stage.run(3)
        assert all(arrival[0] < ended_at + 0.1 for arrival in stage.arrivals)
        end_lot = lambda node: api.end_lot(node, HOST, "none")  # noqa: E731
        assert isinstance(stage.run_on_node(stage.pick_running("edge"), end_lot)[1], NotFound)


def test_lots_submitted_by_the_previous_version_use_the_quota_until_they_finish():
    with HttpLotStage(105, slots=2, most_tokens=300) as stage:
        for replica in stage.replicas.values():
            replica.is_silent = True
        name = name_outside_home(stage)
        submit_as_previous_version(stage, name, 20)
        assert isinstance(stage.submit("b", 11)[1], QuotaExceeded)
        submit_accepted(stage, "c", 10)
        for replica in stage.replicas.values():
            replica.is_silent = False
        stage.read_all(name)
        stage.run(1)
        submit_accepted(stage, "d", 20)


def test_a_submission_in_the_previous_form_respects_an_existing_reservation_table():
    with HttpLotStage(106, slots=2, most_tokens=300) as stage:
        for replica in stage.replicas.values():
            replica.is_silent = True
        submit_accepted(stage, "a", 20)
        with stage.submitting_as_previous_version():
            assert isinstance(stage.submit("b", 20)[1], QuotaExceeded)
            submit_accepted(stage, "c", 10)
        assert lot_key(HOST, "c") in lot_records(stage.state_of(stage.part("c")))


def test_placement_ignores_the_case_and_port_of_the_host():
    with HttpLotStage(107) as stage:
        node = stage.pick_running("edge")
        assert lot_placement.placement_of_lot(node, "LOTS.example:80", "a") == (
            lot_placement.placement_of_lot(node, HOST, "a")
        )
        assert isinstance(lot_placement.placement_of_lot(node, HOST, "a"), LotPlacement)
        assert node.find("forwards").find_by_name(FORWARD).host == "lots.example"


def keys_in_home_part(stage, names):
    """Return the keys of those lots that are stored in their host's part."""
    return {lot_key(HOST, name) for name in names} & set(
        lot_records(stage.state_of(stage.home_part()))
    )


def test_lots_are_stored_in_the_hosts_part_until_the_last_member_is_upgraded():
    previous_versions = (SPREAD_WIRE_VERSION - 2, SPREAD_WIRE_VERSION - 1)
    with HttpLotStage(108, slots=32, most_tokens=1000, versions=previous_versions) as stage:
        *others, last = list(stage.sim.nodes)
        names = [f"l{number}" for number in range(8)]
        for name in names[:4]:
            submit_accepted(stage, name, 2)
        for node_name in others:
            stage.upgrade(node_name)
        for name in names[4:]:
            submit_accepted(stage, name, 2)
        assert len(keys_in_home_part(stage, names)) == 8
        stage.upgrade(last)
        later = [f"m{number}" for number in range(8)]
        for name in later:
            submit_accepted(stage, name, 2)
        expected_keys = {
            lot_key(HOST, name) for name in later if stage.part(name) == stage.home_part()
        }
        assert keys_in_home_part(stage, later) == expected_keys and 0 < len(expected_keys) < 8
        for name in names + later:
            check_complete_results(stage, stage.read_all(name), name, 2)
        stage.run(1)
        assert stage.token_totals() == (0, 0)


def test_the_size_limit_applies_to_all_parts_together(monkeypatch):
    monkeypatch.setattr(lot_placement, "HELD_LIMIT_BYTES", 20_000)
    with HttpLotStage(109, slots=8) as stage:
        for replica in stage.replicas.values():
            replica.is_silent = True
        errors = [stage.submit(f"l{number}", 4)[1] for number in range(24)]
        held_bytes = [stage.state_of(part)["raw_held"] for part in stage.parts]
        assert all(8_000 < size <= 10_000 for size in held_bytes)
        assert {type(error) for error in errors} == {type(None), HeldTooMuch}
        assert HeldTooMuch().status == 503
