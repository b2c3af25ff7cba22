"""Retry limits: items that fail on every run are given up, also if their part changes owners."""

from collections import Counter

import pytest

from quillring.kernel.errors import OutcomeUnknown, Refused
from quillring.lots.http_requests import api
from tests.http_lot_stage import HOST, HttpLotStage, check_complete_results, submit_accepted

ATTEMPTS, MAX_RUNS_AFTER_422, ITEMS = 3, 3, 6
HOLD_SECONDS, MARGIN_SECONDS = 0.5, 0.5


@pytest.mark.parametrize("failure", [500, 422])
@pytest.mark.parametrize("seed", range(3))
def test_an_item_that_always_fails_is_errored_and_not_resent_after_owner_changes(seed, failure):
    with HttpLotStage(300 + seed) as stage:
        for replica in stage.replicas.values():
            replica.failure = lambda replica, item_id, last: failure
        submit_accepted(stage, "a", ITEMS)
        for _ in range(3):
            stage.run(stage.sim.chance.uniform(0.02, 0.3))
            name = stage.owner().me.name
            stage.sim.kill(name)
            stage.run(2.5)
            stage.sim.start(name)
            stage.run(1)
        rows = stage.read_all("a")
        assert sorted(row[0] for row in rows) == sorted(f"a-{n}" for n in range(ITEMS))
        assert {tuple(row[1:]) for row in rows} == {("errored", b"")}
        count = len(stage.arrivals)
        stage.run(10)
        assert len(stage.arrivals) == count
        max_runs = ATTEMPTS * 3 if failure == 500 else MAX_RUNS_AFTER_422
        assert max(Counter(row[1] for row in stage.arrivals).values()) <= max_runs


@pytest.mark.parametrize("is_reserved", [True, False])
def test_a_submission_is_answered_within_the_hold_time_of_its_route(is_reserved):
    tokens = 1000 if is_reserved else 0
    with HttpLotStage(310, hold_ms=HOLD_SECONDS * 1000, most_tokens=tokens) as stage:
        stage.sim.freeze(stage.owner().me.name, 20)
        start_time = stage.env.now
        _, error = stage.submit("a", 4)
        assert isinstance(error, (OutcomeUnknown, Refused))
        assert stage.env.now - start_time < HOLD_SECONDS + MARGIN_SECONDS


def test_items_refused_until_retention_ends_are_listed_as_errored():
    with HttpLotStage(311, retain_ms=5000) as stage:
        for replica in stage.replicas.values():
            replica.failure = lambda replica, item_id, last: "full"
        submit_accepted(stage, "a", 4)
        rows = stage.read_all("a", 15)
        assert {tuple(row[1:]) for row in rows} == {("errored", b"")}


def test_repeated_submissions_and_ends_through_other_edges_change_nothing():
    with HttpLotStage(312, most_tokens=100) as stage:
        submit_accepted(stage, "a", 6)
        for node in stage.sim.up_nodes("edge"):
            assert submit_accepted(stage, "a", 6, node=node)["repeated"]
        for node in stage.sim.up_nodes("edge"):
            answer, error = stage.run_on_node(node, lambda node: api.end_lot(node, HOST, "a"))
            assert error is None and answer["ended"]
            assert submit_accepted(stage, "a", 6, node=node)["repeated"]
        rows, error = stage.read("a", start=50)
        assert error is None and rows["results"] == []
        stage.run(3)
        count = len(stage.arrivals)
        submit_accepted(stage, "a", 6)
        stage.run(3)
        assert len(stage.arrivals) == count


def test_items_answered_without_body_framing_run_once():
    with HttpLotStage(320) as stage:
        for replica in stage.replicas.values():
            replica.failure = lambda replica, item_id, last: "unframed"
        submit_accepted(stage, "a", 12)
        check_complete_results(stage, stage.read_all("a"), "a", 12)
        assert len(stage.arrivals) == 12


def test_a_replica_that_announces_its_exit_finishes_its_items_and_gets_no_new_ones():
    with HttpLotStage(321, replicas=2) as stage:
        stage.counts = {f"a-{n}": 30 for n in range(6)}
        submit_accepted(stage, "a", 6)
        stage.run(0.4)
        leaver = stage.replicas["i-0"]
        started_items = {row[1] for row in stage.arrivals if row[2] == leaver.name}
        leaver.state = "gone"
        leaver.beat()
        left_at = stage.env.now
        check_complete_results(stage, stage.read_all("a"), "a", 6)
        later = [row for row in stage.arrivals if row[0] > left_at]
        assert started_items and not [
            row for row in later if row[1] in started_items or row[2] == leaver.name
        ]


def test_a_run_stopped_before_its_response_head_is_abandoned():
    with HttpLotStage(322, replicas=1) as stage:
        for replica in stage.replicas.values():
            replica.failure = lambda replica, item_id, last: "late head"
        stage.counts = {f"a-{n}": 200 for n in range(4)}
        submit_accepted(stage, "a", 4)
        stage.run(0.3)
        assert stage.arrivals
        _, error = stage.run_on_node(
            stage.pick_running("edge"), lambda node: api.end_lot(node, HOST, "a")
        )
        assert error is None
        stage.run(1.2)
        assert all(replica.active == 0 for replica in stage.replicas.values())
