"""Wall clocks that step by a minute either way cause no loss or expiry of orders and lots."""

import pathlib
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillring.lots.http_requests.item_table import OpenLot, age_by_wall_clock
from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import FULL_CONFIGURATION, call, replace_configuration

SOURCE_FOLDERS = ("quillring", "platform")
WALL_CLOCK_READ = re.compile(
    r"wall_time\(\)|def wall_time|(?<!date)time\.time\(|datetime\.now|\btime_ns"
)
MAY_READ_WALL_CLOCK = {
    "quillring/edge/stream_handlers.py": "the age of a stream's token",
    "quillring/kernel/gevent_runtime.py": "provides the wall clock to the other modules",
    "quillring/kernel/runtime.py": "declares the interface of runtimes; reads no clock itself",
    "quillring/lots/http_requests/api.py": "the submission time of a lot, for its queue position",
    "quillring/lots/http_requests/item_table.py": "a lot's queue position after an owner change",
    "quillring/verbs/fleet_verbs.py": "the operator's calendar, on the operator's machine",
    "quillring/verbs/process.py": "the incarnation of a process; one that is too low is raised",
}
STEP = 60


def test_only_the_listed_modules_read_the_wall_clock():
    """Leases, orders, plans and configurations must not depend on wall clocks."""
    paths = [path for top in SOURCE_FOLDERS for path in pathlib.Path(top).rglob("*.py")]
    reading_paths = {str(path) for path in paths if WALL_CLOCK_READ.search(path.read_text())}
    assert reading_paths == set(MAY_READ_WALL_CLOCK)


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
def test_orders_are_accepted_and_stay_in_force_while_the_wall_clocks_step(seed):
    stage, number = SelfFoundingFleet(seed), 0
    rng = stage.sim.chance
    for turn in range(12):
        for node in stage.sim.nodes.values():
            step = rng.choice((-STEP, 0, STEP))
            node.runtime.wall_time = lambda at=stage.env.now + 1_800_000_000 + step: at
        core = f"core-{turn % 4 + 1}"
        assert (
            replace_configuration(stage, core, {**FULL_CONFIGURATION, "ver": number + 7}, number)[0]
            == 200
        )
        number += 7
        verb = "Begin" if turn % 2 == 0 else "Finish"
        assert call(stage, core, "POST", f"/Evacuate.{verb}/north")[0] == 200
        stage.run(0.5)
        emptied = {n.find("layout").is_drained("north") for n in stage.sim.nodes.values()}
        assert emptied == {turn % 2 == 0}
        assert call(stage, "core-1", "GET", "/Config.Fetch")[1]["ver"] == number
