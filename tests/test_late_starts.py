"""An owner of lots that stops between deciding on a run and starting it, and wakes much later."""

from unittest import mock

import pytest

from quillring.lots.http_requests import api, scheduler
from quillring.lots.http_requests.item_executor import ItemExecutor
from quillring.lots.http_requests.scheduler import LotScheduler
from tests.http_lot_stage import HOST, HttpLotStage, submit_accepted

REAL_DISPATCH = LotScheduler._dispatch


def other_worker(item_table, workers, replica):
    """Choose a core that is not the owner itself."""
    return next(w.name for w in workers if w.name != item_table.leader.node.me.name)


def any_ballot(self, part, ballot):
    """Check of a worker that has not heard of the newer owner."""


@pytest.mark.parametrize("check_ballot", [ItemExecutor._check_ballot, any_ballot])
@pytest.mark.parametrize("choose", [scheduler.choose_worker, other_worker])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("seconds", [2, 20, 60])
def test_a_run_decided_on_before_a_freeze_is_not_started_after_it(
    seconds, seed, choose, check_ballot
):
    choice = mock.patch.object(scheduler, "choose_worker", choose)
    check = mock.patch.object(ItemExecutor, "_check_ballot", check_ballot)
    with choice, check, HttpLotStage(131 + seed, slots=1, replicas=1) as stage:
        frozen = []

        def freezing_dispatch(self, item_table, item, *rest):
            REAL_DISPATCH(self, item_table, item, *rest)
            if len(frozen) < 1 and item.number >= 2:
                frozen.append(self.node.me.name)
                stage.sim.freeze(self.node.me.name, seconds)

        with mock.patch.object(LotScheduler, "_dispatch", freezing_dispatch):
            submit_accepted(stage, "a", 8)
            while not frozen:
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
        late = [row for row in stage.arrivals if row[0] > ended_at + stage.sim.bounds.shutdown]
        assert late == []
        woken = frozen_at + seconds
        assert [row for row in stage.arrivals if row[0] >= max(woken, ended_at)] == []
