"""A part's leader that freezes between choosing an item's run and sending the order to its worker.

When it resumes, another core may lead the part and the lot may have ended, so the item must not be
sent to a replica. The test also runs with a worker that has not seen the new leader's ballot, which
leaves only the leader's own lease check.
"""

from unittest import mock

import pytest

from quillring.lots.http_requests import api, scheduler
from quillring.lots.http_requests.item_executor import ItemExecutor
from quillring.lots.http_requests.scheduler import LotScheduler
from tests.http_lot_stage import HOST, HttpLotStage, submit_accepted

REAL_DISPATCH = LotScheduler._dispatch


def choose_worker_on_other_core(item_table, workers, replica):
    """Choose a worker other than the leader's own core."""
    return next(w.name for w in workers if w.name != item_table.leader.node.me.name)


def accept_any_ballot(self, part, ballot):
    """Accept an order under any ballot, as a worker does that has not seen the new leader's."""


@pytest.mark.parametrize("check_ballot", [ItemExecutor._check_ballot, accept_any_ballot])
@pytest.mark.parametrize("choose", [scheduler.choose_worker, choose_worker_on_other_core])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("seconds", [2, 20, 60])
def test_run_dispatched_before_leader_freeze_is_not_started_after_lot_ended(
    seconds, seed, choose, check_ballot
):
    worker_patch = mock.patch.object(scheduler, "choose_worker", choose)
    ballot_patch = mock.patch.object(ItemExecutor, "_check_ballot", check_ballot)
    with worker_patch, ballot_patch, HttpLotStage(131 + seed, slots=1, replicas=1) as stage:
        frozen_names = []

        def freezing_dispatch(self, item_table, item, *rest):
            REAL_DISPATCH(self, item_table, item, *rest)
            if len(frozen_names) < 1 and item.number >= 2:
                frozen_names.append(self.node.me.name)
                stage.sim.freeze(self.node.me.name, seconds)

        with mock.patch.object(LotScheduler, "_dispatch", freezing_dispatch):
            submit_accepted(stage, "a", 8)
            while not frozen_names:
                stage.run(0.01)
            frozen_at = stage.env.now
            is_ended = False
            while not is_ended and stage.env.now < frozen_at + 15:
                node = next(n for n in stage.sim.up_nodes("edge"))
                coroutine = api.end_lot(node, HOST, "a")
                _, error = stage.run_on_node(node, lambda node, coroutine=coroutine: coroutine)
                is_ended = error is None
            assert is_ended
            ended_at = stage.env.now
            stage.run(max(0, frozen_at + seconds - stage.env.now) + 6)
        late_arrivals = [
            row for row in stage.arrivals if row[0] > ended_at + stage.sim.bounds.shutdown
        ]
        assert late_arrivals == []
        resumed_at = frozen_at + seconds
        assert [row for row in stage.arrivals if row[0] >= max(resumed_at, ended_at)] == []
