"""Wall clocks that are up to a minute off on each machine and may step at any time."""

import pathlib
import random
import re

import pytest

from quillring.edge.resume_token import TOKEN_LIFETIME_SECONDS, BadToken, make_token, read_token
from quillring.lots.http_requests.lot_placement import lot_key
from quillring.quorum.parts import CONFIG_PART
from tests.fleet_stage import SelfFoundingFleet
from tests.http_lot_stage import HOST, HttpLotStage, check_complete_results, submit_accepted

SKEW_SECONDS = 60
FILES_READING_WALL_CLOCK = {
    "quillring/edge/stream_handlers.py",
    "quillring/kernel/gevent_runtime.py",
    "quillring/lots/http_requests/api.py",
    "quillring/lots/http_requests/item_table.py",
    "quillring/verbs/fleet_verbs.py",
    "quillring/verbs/process.py",
}


def step_clocks(stage, rng, share=1.0):
    """Set a random share of the wall clocks to within a minute of the true time."""
    for node in stage.sim.nodes.values():
        if rng.random() < share:
            node.runtime.wall_offset = rng.uniform(-SKEW_SECONDS, SKEW_SECONDS)


def lot_record(stage, name):
    """Return the lot's record in the item table of its part's owner."""
    item_table = stage.owner(name).find("raw").item_tables[stage.part(name)]
    return item_table.lots[lot_key(HOST, name)]


def test_wall_clock_is_read_only_in_the_files_covered_here():
    files = set()
    for path in pathlib.Path("quillring").rglob("*.py"):
        text = path.read_text()
        if re.search(r"\.wall_time\(\)|\btime\.time(_ns)?\(|datetime\.now", text):
            files.add(str(path))
    assert files == FILES_READING_WALL_CLOCK


@pytest.mark.parametrize("edge_offset", [-SKEW_SECONDS, 0, SKEW_SECONDS])
@pytest.mark.parametrize("core_offset", [-SKEW_SECONDS, 0, SKEW_SECONDS])
def test_lot_deadline_follows_the_owners_monotonic_clock_whatever_the_wall_clocks_show(
    edge_offset, core_offset
):
    with HttpLotStage(61) as stage:
        stage.counts = {f"a-{n}": 200 for n in range(4)}
        for node in stage.sim.nodes.values():
            is_edge = node.me.role == "edge"
            node.runtime.wall_offset = edge_offset if is_edge else core_offset
        submit_accepted(stage, "a", 4)
        stage.run(0.5)
        remaining_seconds = lot_record(stage, "a").due_at - stage.owner().now()
        assert 7.0 < remaining_seconds <= 8.0


@pytest.mark.parametrize("seed", range(4))
def test_lots_are_complete_while_clocks_differ_and_step_and_owners_change(seed):
    rng = random.Random(seed)
    with HttpLotStage(70 + seed) as stage:
        step_clocks(stage, rng)
        submit_accepted(stage, "a", 8)
        stage.run(rng.uniform(0, 0.4))
        step_clocks(stage, rng, 0.5)
        stage.sim.kill(stage.owner().me.name)
        stage.run(5)
        submit_accepted(stage, "b", 8)
        step_clocks(stage, rng, 0.5)
        check_complete_results(stage, stage.read_all("a"), "a", 8)
        check_complete_results(stage, stage.read_all("b"), "b", 8)


@pytest.mark.parametrize("seed", range(4))
def test_items_expire_at_the_end_of_their_retention_although_clocks_step(seed):
    rng = random.Random(seed)
    with HttpLotStage(80 + seed, replicas=0, retain_ms=6000) as stage:
        step_clocks(stage, rng)
        submit_accepted(stage, "a", 3)
        accepted_at = stage.env.now
        for _ in range(10):
            stage.run(0.5)
            step_clocks(stage, rng, 0.3)
        answer, error = stage.read("a")
        assert error is None and answer["results"] == []
        rows = stage.read_all("a", 8)
        assert [row[1] for row in rows] == ["errored"] * 3
        assert 6 <= stage.env.now - accepted_at < 6 + 3


@pytest.mark.parametrize("issuer", [-SKEW_SECONDS, 0, SKEW_SECONDS])
@pytest.mark.parametrize("reader", [-SKEW_SECONDS, 0, SKEW_SECONDS])
def test_resume_token_is_valid_for_nine_minutes_and_expires_before_thirteen_despite_skew(
    issuer, reader
):
    class Stream:
        name, term, client_name = "s", (1, "edge-1"), "ann"

    token = make_token(b"secret", Stream, 1000 + issuer)
    for age in (0, 60, TOKEN_LIFETIME_SECONDS - 2 * SKEW_SECONDS - 1):
        assert read_token(b"secret", token, "ann", 1000 + age + reader).stream_name == "s"
    with pytest.raises(BadToken):
        read_token(
            b"secret", token, "ann", 1000 + TOKEN_LIFETIME_SECONDS + 2 * SKEW_SECONDS + 1 + reader
        )


@pytest.mark.parametrize("step", [-SKEW_SECONDS, SKEW_SECONDS])
@pytest.mark.parametrize("role", ["core", "store", "edge"])
def test_node_restarted_with_a_stepped_clock_rejoins_and_accepts_commands(role, step):
    fleet = SelfFoundingFleet(91)
    name = fleet.owner() if role == "core" else f"{role}-1"
    fleet.sim.incarnation_bases[name] = 100 + step
    fleet.sim.kill(name)
    fleet.run(0.3)
    fleet.start(name)

    def is_reachable():
        others = [n for n in fleet.sim.nodes.values() if n.me.name != name]
        return all(node.find("nifty").graph.hops(name) == 1 for node in others)

    def accepts_commands():
        command = {"do": "domain.mark", "domain": "north", "emptied": True, "nodes": False}
        submit = fleet.sim.nodes[name].find("ownership").submit(CONFIG_PART, command, 0.5)
        return fleet.ask(name, submit)[1] is None

    assert fleet.wait_for(is_reachable, 4) is not None
    assert fleet.wait_for(accepts_commands, 4) is not None
