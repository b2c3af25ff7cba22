from unittest import mock

from quillring.lots.http_requests import api
from quillring.lots.http_requests.lot_table import QuotaExceeded
from tests.http_lot_stage import HttpLotStage, check_complete_results, submit_accepted


def test_after_a_power_loss_of_all_nodes_results_remain_and_pending_items_finish():
    with HttpLotStage(80, slots=2) as stage:
        submit_accepted(stage, "a", 30)
        stage.run(1.2)
        before, _ = stage.read("a")
        assert 0 < before["next"] < 30
        names = list(stage.sim.nodes)
        for name in names:
            stage.sim.kill(name, loses_power=True)
        stage.run(1)
        for name in names:
            stage.sim.start(name)
        stage.run(6)
        rows = stage.read_all("a")
        assert rows[: before["next"]] == before["results"]
        check_complete_results(stage, rows, "a", 30)


def test_a_delayed_accept_of_a_refused_submission_stays_refused():
    command = {"try": "t"}
    with HttpLotStage(90, most_tokens=50) as stage:
        submit_accepted(stage, "a", 5)
        submissions = []
        real_submit = api.submit_with_retries

        def record_and_submit(node, part, command, seconds):
            submissions.append((part, command))
            return real_submit(node, part, command, seconds)

        with mock.patch.object(api, "submit_with_retries", record_and_submit):
            _, error = stage.submit("b", 5)
        assert isinstance(error, QuotaExceeded) and command
        stage.read_all("a")
        part, command = submissions[0]
        answer, _ = stage.run_on_node(
            stage.pick_running("edge"), lambda node: node.find("ownership").submit(part, command)
        )
        assert answer == {"refused": "quota"}
        assert not any(arrival[1].startswith("b-") for arrival in stage.arrivals)
