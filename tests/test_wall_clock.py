"""Wall clocks step by a minute either way: no order and no lot is lost or expires for it."""

import pathlib
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillring.lots.http_requests.item_table import OpenLot, age_by_wall_clock
from tests.fleet_stage import SelfFounded
from tests.system_calls import WHOLE, call, replace

TOPS = ("quillring", "platform")
ASKS = re.compile(r"wall_time\(\)|def wall_time|(?<!date)time\.time\(|datetime\.now|\btime_ns")
MAY_ASK = {
    "quillring/edge/stream_handlers.py": "the age of a stream's token",
    "quillring/kernel/gevent_runtime.py": "gives the clock to the others",
    "quillring/kernel/runtime.py": "declares what every runtime gives; asks nothing itself",
    "quillring/lots/http_requests/api.py": "when a lot was handed in, for its turn",
    "quillring/lots/http_requests/item_table.py": "a lot's turn after its owner changed",
    "quillring/verbs/fleet_verbs.py": "the operator's calendar, on the operator's machine",
    "quillring/verbs/process.py": "the number of a start; one that is too low is raised",
}
STEP = 60


def test_terms_orders_plans_and_configurations_ask_no_wall_clock():
    paths = [path for top in TOPS for path in pathlib.Path(top).rglob("*.py")]
    asking = {str(path) for path in paths if ASKS.search(path.read_text())}
    assert asking == set(MAY_ASK)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.floats(-STEP, STEP), st.integers(1, 20_000), st.integers(1, 60_000))
def test_a_lot_is_due_and_kept_by_its_owners_own_clock_whatever_the_wall_clocks_say(
    skew, due_ms, retain_ms
):
    lot = {"at": 1_800_000_000_000, "due_ms": due_ms, "retain_ms": retain_ms, "items": [0]}
    lot["forward"] = "f"
    known = OpenLot("lot", lot, 500.0, age_by_wall_clock(lot, 1_800_000_000 + skew))
    assert 500.0 - 1e-6 <= known.due_at <= 500.0 + due_ms / 1000 + 1e-6
    assert (known.first_seen_at, known.retain_seconds) == (500.0, retain_ms / 1000)


@pytest.mark.parametrize("seed", [1, 2])
def test_orders_are_taken_and_stay_while_every_wall_clock_steps(seed):
    stage, number = SelfFounded(seed), 0
    chance = stage.sim.chance
    for turn in range(12):
        for node in stage.sim.nodes.values():
            step = chance.choice((-STEP, 0, STEP))
            node.runtime.wall_time = lambda at=stage.env.now + 1_800_000_000 + step: at
        core = f"core-{turn % 4 + 1}"
        assert replace(stage, core, {**WHOLE, "ver": number + 7}, number)[0] == 200
        number += 7
        verb = "Begin" if turn % 2 == 0 else "Finish"
        assert call(stage, core, "POST", f"/Evacuate.{verb}/north")[0] == 200
        stage.run(0.5)
        emptied = {n.find("layout").is_drained("north") for n in stage.sim.nodes.values()}
        assert emptied == {turn % 2 == 0}
        assert call(stage, "core-1", "GET", "/Config.Fetch")[1]["ver"] == number
