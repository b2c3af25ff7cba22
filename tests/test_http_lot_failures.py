from collections import Counter

import pytest

from quillring.kernel.errors import Fenced, NotSent, OutcomeUnknown, Refused
from quillring.lots.http_requests import api
from quillring.lots.http_requests.lot_table import QuotaExceeded, lot_records
from tests.http_lot_stage import (
    FORWARD,
    HOST,
    SERVICE,
    HttpLotStage,
    check_complete_results,
    submit_accepted,
)


@pytest.mark.parametrize("seed", range(4))
def test_a_lot_survives_the_death_of_its_owner_right_after_acceptance(seed):
    with HttpLotStage(10 + seed) as stage:
        submit_accepted(stage, "a", 12)
        stage.sim.kill(stage.owner().me.name)
        stage.run(0.9)
        for node in stage.sim.up_nodes("edge"):
            answer, error = stage.read("a", node=node)
            assert isinstance(error, Refused) or (error is None and answer["items"] == 12)
        check_complete_results(stage, stage.read_all("a"), "a", 12)


@pytest.mark.parametrize("seed", range(4))
def test_result_positions_are_stable_and_other_runs_continue_when_the_owner_dies(seed):
    with HttpLotStage(20 + seed, slots=16) as stage:
        stage.counts = {f"a-{n}": 60 if n > 4 else 6 for n in range(40)}
        submit_accepted(stage, "a", 40)
        stage.run(0.5 + seed * 0.4)
        owner = stage.owner()
        own_items = {f"a-{run.number}" for run in owner.find("raw_worker").runs.values()}
        stage.sim.kill(owner.me.name)
        listed = []
        for _ in range(120):
            answer, error = stage.read("a")
            assert error is None or isinstance(error, Refused)
            if error is None:
                rows = answer["results"]
                common = min(len(rows), len(listed))
                assert rows[:common] == listed[:common]
                listed = max(listed, rows, key=len)
            if len(listed) == 40:
                break
            stage.run(0.1)
        check_complete_results(stage, listed, "a", 40)
        runs = Counter(item_id for _, item_id, _, _, _ in stage.arrivals)
        assert {item_id for item_id, count in runs.items() if count > 1} <= own_items
        assert stage.counter_total("raw_runs_taken_over") > 0


@pytest.mark.parametrize("seed", range(3))
def test_no_result_is_listed_twice_if_the_owner_dies_between_commit_and_answer(seed):
    with HttpLotStage(30 + seed) as stage:
        submit_accepted(stage, "a", 16)
        owner = stage.owner()
        part = stage.part()
        while not any(
            lot["results"]
            for lot in lot_records(owner.find("ownership").leaders[part].state).values()
        ):
            stage.env.step()
        stage.sim.kill(owner.me.name)
        check_complete_results(stage, stage.read_all("a"), "a", 16)


@pytest.mark.parametrize("seed", range(3))
def test_items_of_a_killed_worker_are_rerun_on_another(seed):
    with HttpLotStage(40 + seed) as stage:
        submit_accepted(stage, "a", 20)
        stage.run(0.15)
        owner = stage.owner()
        worker = next(
            node
            for node in stage.sim.up_nodes("core")
            if node is not owner and node.find("raw_worker").runs
        )
        stage.sim.kill(worker.me.name)
        start_time = stage.env.now
        check_complete_results(stage, stage.read_all("a"), "a", 20)
        assert stage.env.now - start_time < 5


@pytest.mark.parametrize("seed", range(3))
def test_a_lot_ended_while_its_owner_is_frozen_sends_nothing_after_three_seconds(seed):
    with HttpLotStage(60 + seed, slots=2) as stage:
        stage.counts = {f"a-{n}": 20 for n in range(40)}
        submit_accepted(stage, "a", 40)
        stage.run(0.5)
        stage.sim.freeze(stage.owner().me.name, 9)
        end_time = None
        for _ in range(30):
            _, error = stage.run_on_node(
                stage.pick_running("edge"), lambda node: api.end_lot(node, HOST, "a")
            )
            if error is None:
                end_time = stage.env.now
                break
            stage.run(0.2)
        stage.run(14)
        assert end_time is not None
        assert all(arrival[0] < end_time + 3 for arrival in stage.arrivals)


def test_a_worker_refuses_runs_of_previous_owners_and_runs_that_contradict_the_configuration():
    with HttpLotStage(62) as stage:
        for replica in stage.replicas.values():
            replica.is_silent = True
        submit_accepted(stage, "a", 1)
        stage.run(0.3)
        owner, part = stage.owner(), stage.part()
        worker = next(node for node in stage.sim.up_nodes("core") if node is not owner)
        body = {
            "part": part,
            "ballot": [9, "x"],
            "lot": "b",
            "n": 0,
            "run": "r",
            "replica": "i-0",
            "service": SERVICE,
            "forward": FORWARD,
            "host": HOST,
            "urgency": 7,
            "last": None,
            "item": ["b-0", "/bulk/0", [], b""],
            "text": b"",
        }

        def ask(**changes):
            call = worker.me.name, "raw.run", {**body, **changes}
            return stage.run_on_node(owner, lambda node: node.call(*call))

        assert isinstance(ask(service="words")[1], Refused)
        assert isinstance(ask(forward="none")[1], Refused)
        assert isinstance(ask(replica="i-9")[1], NotSent)
        assert isinstance(ask(ballot=[8, "x"])[1], Fenced)
        assert ask() == ({"run": "r"}, None)
        assert ask(run="another") == ({"run": "r"}, None)


def test_concurrent_submissions_through_all_edges_use_the_quota_exactly():
    with HttpLotStage(56, most_tokens=1000) as stage:
        for replica in stage.replicas.values():
            replica.is_silent = True
        processes = [
            stage.start_on_node(
                stage.pick_running("edge"),
                lambda node, name=f"l{n}": api.submit_lot(
                    node, FORWARD, name, stage.items(name, 5, 30)
                ),
            )
            for n in range(20)
        ]
        stage.run(2)
        outcomes = [process.value[1] for process in processes]
        assert outcomes.count(None) == 6
        assert all(isinstance(o, QuotaExceeded) for o in outcomes if o is not None)
        assert QuotaExceeded().status == 429


def test_pending_items_are_listed_as_errored_when_retention_ends_or_the_forward_is_removed():
    with HttpLotStage(57, retain_ms=4000) as stage:
        for replica in stage.replicas.values():
            replica.is_silent = True
        submit_accepted(stage, "a", 3)
        start_time = stage.env.now
        rows = stage.read_all("a")
        assert {row[1] for row in rows} == {"errored"} and stage.env.now - start_time > 4
        submit_accepted(stage, "b", 3)
        stage.configure(is_removed=True)
        start_time = stage.env.now
        rows = stage.read_all("b")
        assert {row[1] for row in rows} == {"errored"} and stage.env.now - start_time < 4


def test_no_item_is_sent_to_a_service_removed_from_the_split():
    with HttpLotStage(58, slots=2) as stage:
        submit_accepted(stage, "a", 30)
        stage.run(0.4)
        stage.configure(split=[["words", 1]])
        changed_at = stage.env.now
        stage.run(4)
        assert all(arrival[0] < changed_at + 2 for arrival in stage.arrivals)
        assert len(stage.arrivals) < 30


@pytest.mark.parametrize("seed", range(2))
def test_a_submission_without_a_live_owner_has_an_unknown_outcome_and_succeeds_later(seed):
    with HttpLotStage(70 + seed) as stage:
        stage.sim.freeze(stage.owner().me.name, 20)
        start_time = stage.env.now
        _, error = stage.submit("a", 4)
        assert stage.env.now - start_time < 1.9
        assert isinstance(error, OutcomeUnknown) and error.status == 502
        stage.run(1.5)
        submit_accepted(stage, "a", 4)
        check_complete_results(stage, stage.read_all("a"), "a", 4)


def test_an_item_that_failed_on_all_live_replicas_does_not_wait_for_a_dead_one():
    with HttpLotStage(81) as stage:
        stage.replicas["i-0"].is_dead = True
        stage.run(4)
        failed = set()

        def failure(replica, item_id, last):
            is_first = (replica.name, item_id) not in failed
            failed.add((replica.name, item_id))
            return 500 if is_first else None

        for replica in stage.replicas.values():
            replica.failure = failure
        submit_accepted(stage, "a", 10)
        check_complete_results(stage, stage.read_all("a", 12), "a", 10)
