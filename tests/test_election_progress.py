"""Progress of an election as operators see it: in the `parts` view and in the core's log."""

from quillring.kernel.errors import NotLeader
from quillring.quorum.leader.election_progress import ENDED, LEADING, STATE
from quillring.verbs.part_routes import show_parts
from tests.http_lot_stage import HttpLotStage
from tests.test_elections import (
    LINK_BYTES_PER_SECOND,
    restart_all_after_power_loss,
    stage_with_large_part,
)


def list_parts(stage, node):
    """Return the rows of the `parts` view of a node, by part."""
    answer, error = stage.run_on_node(node, lambda node: show_parts(node, None))
    assert error is None, error
    return {row["part"]: row for row in answer["parts"]}


def test_parts_view_shows_phase_and_source_during_an_election_and_its_size_afterwards():
    with stage_with_large_part(3) as stage:
        part = stage.part("lot-0")
        stage.sim.net.link_bytes_per_second = LINK_BYTES_PER_SECOND // 8
        restart_all_after_power_loss(stage)
        observed = []
        for _ in range(300):
            stage.run(0.1)
            for node in stage.sim.up_nodes("core"):
                owner = node.find("ownership").leaders.get(part)
                if owner is not None and owner.election_progress.phase == STATE:
                    observed.append((node, owner.election_progress.to_json()))
            if observed and observed[-1][1]["bytes_fetched"] > 0:
                break
        node, status = observed[-1]
        assert status["waits_for"][0].startswith("store") and status["bytes_fetched"] > 0
        row = list_parts(stage, node)[part]
        assert row["takeover"]["phase"] == STATE and row["takeover"]["core"] == node.me.name
        stage.sim.net.link_bytes_per_second = LINK_BYTES_PER_SECOND
        stage.run(10)
        row = list_parts(stage, stage.pick_running("edge"))[part]
        assert row["takeover"]["phase"] == LEADING and row["owner"] == row["takeover"]["core"]
        assert (
            row["takeover"]["bytes_fetched"] > LINK_BYTES_PER_SECOND
            and row["takeover"]["seconds"] > 1
        )


def test_core_logs_the_end_of_a_term_and_the_next_won_election():
    with HttpLotStage(4, replicas=0) as stage:
        node, lines = stage.owner("lot-0"), []
        node.log = lambda level, text, *fields: lines.append(text % fields)
        ownership = node.find("ownership")
        part = next(name for name, owner in ownership.leaders.items() if owner.is_leader)
        ownership.leaders[part].step_down(NotLeader(part=part))
        assert ownership.leaders[part].election_progress.phase == ENDED
        assert any(line.startswith(f"end of term for {part}, ballot") for line in lines)
        stage.run(3)
        assert any(line.startswith(f"won election for {part}: ballot") for line in lines)
