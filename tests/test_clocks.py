"""Wall clocks that differ by a minute between machines, and step by a minute at any moment."""

import pathlib
import random
import re

import pytest

from quillring.edge.resume_token import TOKEN_LIFETIME_SECONDS, BadToken, make_token, read_token
from quillring.lots.http_requests.lot_placement import lot_key
from quillring.quorum.parts import CONFIG_PART
from tests.fleet_stage import SelfFoundingFleet
from tests.http_lot_stage import HOST, HttpLotStage, check_complete_results, submit_accepted

MINUTE = 60
READERS = {
    "quillring/edge/stream_handlers.py",
    "quillring/kernel/gevent_runtime.py",
    "quillring/lots/http_requests/api.py",
    "quillring/lots/http_requests/item_table.py",
    "quillring/verbs/fleet_verbs.py",
    "quillring/verbs/process.py",
}


def step_clocks(stage, chance, share=1.0):
    """Set a share of the wall clocks to up to a minute before or after the true time."""
    for node in stage.sim.nodes.values():
        if chance.random() < share:
            node.runtime.wall_offset = chance.uniform(-MINUTE, MINUTE)


def open_lot(stage, name):
    """Return what the owner of the lots' part keeps of a lot."""
    item_table = stage.owner(name).find("raw").item_tables[stage.part(name)]
    return item_table.lots[lot_key(HOST, name)]


def test_the_wall_clock_is_read_only_where_these_tests_look():
    found = set()
    for path in pathlib.Path("quillring").rglob("*.py"):
        text = path.read_text()
        if re.search(r"\.wall_time\(\)|\btime\.time(_ns)?\(|datetime\.now", text):
            found.add(str(path))
    assert found == READERS


@pytest.mark.parametrize("edge_offset", [-MINUTE, 0, MINUTE])
@pytest.mark.parametrize("core_offset", [-MINUTE, 0, MINUTE])
def test_a_lot_is_due_by_its_owners_own_clock_whatever_the_walls_tell(edge_offset, core_offset):
    with HttpLotStage(61) as stage:
        stage.counts = {f"a-{n}": 200 for n in range(4)}
        for node in stage.sim.nodes.values():
            is_edge = node.me.role == "edge"
            node.runtime.wall_offset = edge_offset if is_edge else core_offset
        submit_accepted(stage, "a", 4)
        stage.run(0.5)
        left = open_lot(stage, "a").due_at - stage.owner().now()
        assert 7.0 < left <= 8.0


@pytest.mark.parametrize("seed", range(4))
def test_lots_come_whole_while_clocks_differ_and_step_and_owners_change(seed):
    chance = random.Random(seed)
    with HttpLotStage(70 + seed) as stage:
        step_clocks(stage, chance)
        submit_accepted(stage, "a", 8)
        stage.run(chance.uniform(0, 0.4))
        step_clocks(stage, chance, 0.5)
        stage.sim.kill(stage.owner().me.name)
        stage.run(5)
        submit_accepted(stage, "b", 8)
        step_clocks(stage, chance, 0.5)
        check_complete_results(stage, stage.read_all("a"), "a", 8)
        check_complete_results(stage, stage.read_all("b"), "b", 8)


@pytest.mark.parametrize("seed", range(4))
def test_no_item_is_given_up_before_its_time_or_long_after_it(seed):
    chance = random.Random(seed)
    with HttpLotStage(80 + seed, replicas=0, retain_ms=6000) as stage:
        step_clocks(stage, chance)
        submit_accepted(stage, "a", 3)
        accepted_at = stage.env.now
        for _ in range(10):
            stage.run(0.5)
            step_clocks(stage, chance, 0.3)
        answer, error = stage.read("a")
        assert error is None and answer["results"] == []
        rows = stage.read_all("a", 8)
        assert [row[1] for row in rows] == ["errored"] * 3
        assert 6 <= stage.env.now - accepted_at < 6 + 3


@pytest.mark.parametrize("issuer", [-MINUTE, 0, MINUTE])
@pytest.mark.parametrize("reader", [-MINUTE, 0, MINUTE])
def test_a_streams_token_is_taken_for_nine_minutes_and_ends_before_thirteen(issuer, reader):
    class Stream:
        name, term, client_name = "s", (1, "edge-1"), "ann"

    token = make_token(b"secret", Stream, 1000 + issuer)
    for age in (0, 60, TOKEN_LIFETIME_SECONDS - 2 * MINUTE - 1):
        assert read_token(b"secret", token, "ann", 1000 + age + reader).stream_name == "s"
    with pytest.raises(BadToken):
        read_token(b"secret", token, "ann", 1000 + TOKEN_LIFETIME_SECONDS + 2 * MINUTE + 1 + reader)


@pytest.mark.parametrize("step", [-MINUTE, MINUTE])
@pytest.mark.parametrize("role", ["core", "store", "edge"])
def test_a_node_restarted_with_a_stepped_clock_is_back_soon(role, step):
    fleet = SelfFoundingFleet(91)
    name = fleet.owner() if role == "core" else f"{role}-1"
    fleet.sim.clocks[name] = 100 + step
    fleet.sim.kill(name)
    fleet.run(0.3)
    fleet.start(name)

    def is_back():
        others = [n for n in fleet.sim.nodes.values() if n.me.name != name]
        return all(node.find("nifty").graph.hops(name) == 1 for node in others)

    def takes_orders():
        order = {"do": "domain.mark", "domain": "north", "emptied": True, "nodes": False}
        submit = fleet.sim.nodes[name].find("ownership").submit(CONFIG_PART, order, 0.5)
        return fleet.ask(name, submit)[1] is None

    assert fleet.wait_for(is_back, 4) is not None
    assert fleet.wait_for(takes_orders, 4) is not None
