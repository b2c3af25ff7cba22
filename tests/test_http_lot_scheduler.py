from collections import Counter

import pytest

from quillring.kernel.errors import NotFound, Refused
from quillring.lots.http_requests import api
from tests.http_lot_stage import HOST, HttpLotStage, check_complete_results, submit_accepted


def test_every_item_runs_once_and_all_edges_return_results_in_the_same_order():
    with HttpLotStage(1) as stage:
        start_time = stage.env.now
        submit_accepted(stage, "a", 20)
        assert stage.env.now - start_time < 0.4
        rows = stage.read_all("a")
        check_complete_results(stage, rows, "a", 20)
        for node in stage.sim.up_nodes("edge"):
            answer, error = stage.read("a", node=node)
            assert error is None and answer["results"] == rows
        assert Counter(stage.completed_runs).most_common(1)[0][1] == 1
        request = stage.arrivals[0][4]
        assert request["host"] == HOST and request["x-inquiry"] == stage.arrivals[0][1]
        assert request[""] == (f"POST /bulk/{stage.arrivals[0][1][2:]}?q=1 HTTP/1.1", b"body")
        assert request["model"] == "m" and 6 <= int(request["x-urgency"]) <= 7


def test_a_lot_resubmitted_through_other_edges_is_accepted_once():
    with HttpLotStage(2) as stage:
        answers = [submit_accepted(stage, "a", 6, node=node) for node in stage.sim.up_nodes("edge")]
        assert [answer.get("repeated", False) for answer in answers] == [False, True, True, True]
        check_complete_results(stage, stage.read_all("a"), "a", 6)
        assert submit_accepted(stage, "a", 6)["repeated"]
        assert len(stage.completed_runs) == 6


def test_a_long_poll_returns_with_the_next_result_and_an_unknown_lot_fails_immediately():
    with HttpLotStage(3) as stage:
        submit_accepted(stage, "a", 1)
        start_time = stage.env.now
        answer, _ = stage.read("a", hold=0.8)
        assert answer["next"] == 1 and 0.2 < stage.env.now - start_time < 0.5
        start_time = stage.env.now
        _, error = stage.read("nothing", hold=0.8)
        assert isinstance(error, NotFound) and stage.env.now - start_time < 0.1
        _, error = stage.run_on_node(
            stage.pick_running("edge"), lambda node: api.read_results(node, "other.example", "a", 0)
        )
        assert isinstance(error, (NotFound, Refused))


def test_the_body_of_an_item_is_readable_until_its_result_is_listed():
    with HttpLotStage(4) as stage:
        for replica in stage.replicas.values():
            replica.is_silent = True
        submit_accepted(stage, "a", 2)
        read_body = lambda node: api.read_item_body(node, HOST, "a", "a-1")  # noqa: E731
        assert stage.run_on_node(stage.pick_running("edge"), read_body) == (b"body", None)
        for replica in stage.replicas.values():
            replica.is_silent = False
        stage.read_all("a")
        assert isinstance(stage.run_on_node(stage.pick_running("edge"), read_body)[1], NotFound)


def test_an_interrupted_run_resumes_on_another_replica_at_its_last_event():
    with HttpLotStage(50) as stage:
        interrupted = set()

        def failure(replica, item_id, last):
            if item_id in interrupted:
                return None
            interrupted.add(item_id)
            return "break"

        for replica in stage.replicas.values():
            replica.failure = failure
        submit_accepted(stage, "a", 10)
        check_complete_results(stage, stage.read_all("a"), "a", 10)
        last_event_counts = Counter(last for _, _, _, last, _ in stage.arrivals)
        assert last_event_counts == {None: 10, 2: 10}


@pytest.mark.parametrize("failure_mode", ["restart", "skip"])
def test_a_run_that_resumes_at_the_wrong_event_is_discarded(failure_mode):
    with HttpLotStage(51) as stage:
        interrupted, wrongly_resumed = set(), set()

        def failure(replica, item_id, last):
            if item_id not in interrupted:
                interrupted.add(item_id)
                return "break"
            if item_id not in wrongly_resumed:
                wrongly_resumed.add(item_id)
                return failure_mode
            return None

        for replica in stage.replicas.values():
            replica.failure = failure
        submit_accepted(stage, "a", 8)
        check_complete_results(stage, stage.read_all("a"), "a", 8)
        assert len(wrongly_resumed) == 8


def test_an_item_is_errored_after_all_attempts_with_500_and_immediately_after_422():
    with HttpLotStage(52) as stage:
        failure_by_item = {"a-0": 422, "a-1": 500}
        for replica in stage.replicas.values():
            replica.failure = lambda replica, item_id, last: failure_by_item.get(item_id)
        submit_accepted(stage, "a", 4)
        rows = {row[0]: (row[1], row[2]) for row in stage.read_all("a")}
        assert rows["a-0"] == rows["a-1"] == ("errored", b"")
        assert rows["a-2"][0] == rows["a-3"][0] == "finished"
        runs = Counter(item_id for _, item_id, _, _, _ in stage.arrivals)
        assert (runs["a-0"], runs["a-1"]) == (1, 3)


def test_a_full_replica_uses_no_attempt_and_items_go_to_another():
    with HttpLotStage(53) as stage:
        stage.replicas["i-0"].failure = stage.replicas["i-1"].failure = lambda *arguments: "full"
        submit_accepted(stage, "a", 12)
        check_complete_results(stage, stage.read_all("a"), "a", 12)
        assert {name for _, _, name, _, _ in stage.arrivals} == {"i-2"}


def test_lots_use_three_quarters_of_the_slots_and_more_near_their_due_time():
    with HttpLotStage(59, slots=8) as stage:
        submit_accepted(stage, "a", 40)
        stage.run(0.9)
        assert {replica.max_active for replica in stage.replicas.values()} == {6}
        check_complete_results(stage, stage.read_all("a"), "a", 40)
        assert stage.counter_total("raw_runs_lost") == 0
    with HttpLotStage(59, slots=8, due_ms=1500) as stage:
        submit_accepted(stage, "a", 40)
        stage.run(0.9)
        assert {replica.max_active for replica in stage.replicas.values()} == {7}


def test_a_cold_replica_gets_requests_at_most_at_its_warm_up_rate():
    with HttpLotStage(60, slots=8) as stage:
        for replica in stage.replicas.values():
            replica.cold_until = stage.env.now + 6
        stage.run(1)
        submit_accepted(stage, "a", 60)
        stage.run(4)
        for replica in stage.replicas:
            times = [at for at, _, name, _, _ in stage.arrivals if name == replica]
            assert all(sum(at <= t < at + 1 for t in times) <= 10 for at in times)
        check_complete_results(stage, stage.read_all("a"), "a", 60)


def test_finished_runs_get_no_stop_message():
    with HttpLotStage(61, slots=32) as stage:
        stop_messages = []
        for node in stage.sim.up_nodes("core"):
            worker = node.find("raw_worker")
            node.handlers["raw.stop"] = lambda body, origin, worker=worker: (
                stop_messages.append(body),
                worker.on_stop(body, origin),
            )[1]
        submit_accepted(stage, "a", 60)
        check_complete_results(stage, stage.read_all("a"), "a", 60)
        assert stop_messages == []


def test_items_move_away_from_a_silent_and_from_a_departed_replica():
    with HttpLotStage(54) as stage:
        stage.replicas["i-0"].is_silent = True
        submit_accepted(stage, "a", 12)
        stage.run(0.2)
        stage.replicas["i-1"].leave()
        start_time = stage.env.now
        check_complete_results(stage, stage.read_all("a"), "a", 12)
        assert stage.env.now - start_time < 8


def test_ending_a_lot_stops_its_runs_immediately_and_sends_nothing_later():
    with HttpLotStage(55, slots=2) as stage:
        stage.counts = {f"a-{n}": 60 for n in range(30)}
        submit_accepted(stage, "a", 30)
        stage.run(0.5)
        _, error = stage.run_on_node(
            stage.pick_running("edge"), lambda node: api.end_lot(node, HOST, "a")
        )
        assert error is None
        end_time = stage.env.now
        stage.run(0.3)
        assert all(replica.active == 0 for replica in stage.replicas.values())
        stage.run(6)
        assert all(arrival[0] < end_time + 0.1 for arrival in stage.arrivals)
        answer, _ = stage.read("a")
        assert answer["items"] == 30
        assert (
            stage.run_on_node(
                stage.pick_running("edge"), lambda node: api.end_lot(node, HOST, "a")
            )[1]
            is None
        )
        _, error = stage.run_on_node(
            stage.pick_running("edge"), lambda node: api.end_lot(node, HOST, "b")
        )
        assert isinstance(error, NotFound)
