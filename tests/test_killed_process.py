"""A killed process is detected by refused connections, before its heartbeats time out."""

import pytest

from quillring.kernel.errors import QuillringError
from quillring.lots.http_requests import api
from quillring.quorum.leader.membership_repair import MembershipRepair
from tests.http_lot_stage import FORWARD, HttpLotStage, check_complete_results, submit_accepted

TARGET_SECONDS = 0.4


def submit_every_100_ms(stage, count, seconds):
    """Submit a lot every 100 ms; return rows of [name, whether it met the target, error]."""
    rows = []
    for number in range(count):
        name, started_at = f"k{number}", stage.env.now
        row = [name, None, None]
        process = stage.start_on_node(
            stage.pick_running("edge"),
            lambda node, name=name: api.submit_lot(node, FORWARD, name, stage.items(name, 3)),
        )

        def on_end(event, row=row, started_at=started_at):
            row[1], row[2] = stage.env.now - started_at <= TARGET_SECONDS, event.value[1]

        process.callbacks.append(on_end)
        rows.append(row)
        stage.run(0.1)
    stage.run(seconds)
    return rows


@pytest.mark.parametrize("seed", range(4))
def test_lots_are_accepted_within_the_target_after_the_owner_process_is_killed(seed):
    with HttpLotStage(500 + seed, most_tokens=100_000, slots=32) as stage:
        stage.sim.kill(stage.owner_of(stage.parts[seed % 2]).me.name)
        rows = submit_every_100_ms(stage, 20, 3)
        assert [row for row in rows if row[2] is not None] == []
        assert sum(not row[1] for row in rows) <= 2
        for name, _, _ in rows:
            check_complete_results(stage, stage.read_all(name), name, 3)


@pytest.mark.parametrize("seed", range(2))
def test_owner_that_lost_power_is_detected_by_missed_heartbeats(seed):
    with HttpLotStage(510 + seed, most_tokens=100_000) as stage:
        victim = stage.owner_of(stage.parts[seed % 2]).me.name
        stage.sim.kill(victim, loses_power=True)
        stage.run(1)
        assert stage.pick_running("edge").find("nifty").reaches(victim)
        stage.run(2)
        assert stage.owner_of(stage.parts[seed % 2]).me.name != victim
        assert stage.counter_total("refused_links") == 0
        submit_accepted(stage, "a", 4)


@pytest.mark.parametrize("seed", range(3))
def test_false_refusals_of_a_live_owner_lose_no_items_and_exceed_no_quota(seed):
    with HttpLotStage(520 + seed, most_tokens=300) as stage:
        name = next(f"n{n}" for n in range(50) if stage.part(f"n{n}") != stage.home_part())
        submit_accepted(stage, name, 20)
        owner = stage.owner(name)
        for node in stage.sim.nodes.values():
            node.find("nifty").on_refused(owner.me.address)
        max_waiting_tokens, errors = 0, []
        for number in range(12):
            errors.append(stage.submit(f"x{number}", 7)[1])
            max_waiting_tokens = max(max_waiting_tokens, stage.token_totals()[0])
        assert max_waiting_tokens <= 300
        assert all(error is None or isinstance(error, QuillringError) for error in errors)
        stage.run(2)
        assert all(node.find("nifty").reaches(owner.me.name) for node in stage.sim.nodes.values())
        check_complete_results(stage, stage.read_all(name), name, 20)
        for number, error in enumerate(errors):
            if error is None:
                check_complete_results(stage, stage.read_all(f"x{number}"), f"x{number}", 7)


def test_restarted_process_is_reachable_after_its_first_heartbeats():
    with HttpLotStage(530) as stage:
        victim = stage.owner_of(stage.parts[0]).me.name
        stage.sim.kill(victim)
        stage.run(0.3)
        assert not any(core.find("nifty").reaches(victim) for core in stage.sim.up_nodes("core"))
        stage.sim.start(victim)
        stage.run(1.2)
        assert stage.pick_running("edge").find("nifty").reaches(victim)


def test_repair_counts_a_killed_store_as_lost_only_after_missed_heartbeats():
    with HttpLotStage(531) as stage:
        core, victim = stage.pick_running("core"), stage.pick_running("store").me.name
        repair = MembershipRepair(core)
        stage.sim.kill(victim)
        stage.run(0.5)
        repair._update_lost_since()
        assert not core.find("nifty").reaches(victim) and victim not in repair.lost_since
        stage.run(2)
        repair._update_lost_since()
        assert victim in repair.lost_since


def test_partitioned_node_gets_no_refused_connections():
    with HttpLotStage(532) as stage:
        victim, edge = stage.owner_of(stage.parts[0]).me.name, stage.pick_running("edge")
        stage.sim.cut([victim], [edge.me.name])
        stage.sim.kill(victim)
        stage.run(0.1)
        assert edge.counts.get("refused_links", 0) == 0
