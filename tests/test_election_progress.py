"""What operators see of parts that change hands: `parts`, and the log of the core."""

from quillring.kernel.errors import NotLeader
from quillring.quorum.leader.election_progress import ENDED, LEADING, STATE
from quillring.verbs.part_routes import show_parts
from tests.http_lot_stage import HttpLotStage
from tests.test_elections import LINK, filled, lose_all_power


def parts_seen(stage, node):
    answer, error = stage.run_on_node(node, lambda node: show_parts(node, None))
    assert error is None, error
    return {row["part"]: row for row in answer["parts"]}


def test_the_view_names_phase_and_source_of_a_takeover_under_way_and_its_size_after():
    with filled(3) as stage:
        part = stage.part("lot-0")
        stage.sim.net.link_bytes_per_second = LINK // 8
        lose_all_power(stage)
        seen = []
        for _ in range(300):
            stage.run(0.1)
            for node in stage.sim.up_nodes("core"):
                owner = node.find("ownership").leaders.get(part)
                if owner is not None and owner.election_progress.phase == STATE:
                    seen.append((node, owner.election_progress.to_json()))
            if seen and seen[-1][1]["bytes_fetched"] > 0:
                break
        node, status = seen[-1]
        assert status["waits_for"][0].startswith("store") and status["bytes_fetched"] > 0
        row = parts_seen(stage, node)[part]
        assert row["takeover"]["phase"] == STATE and row["takeover"]["core"] == node.me.name
        stage.sim.net.link_bytes_per_second = LINK
        stage.run(10)
        row = parts_seen(stage, stage.pick_running("edge"))[part]
        assert row["takeover"]["phase"] == LEADING and row["owner"] == row["takeover"]["core"]
        assert row["takeover"]["bytes_fetched"] > LINK and row["takeover"]["seconds"] > 1


def test_the_log_tells_of_a_takeover_and_of_its_end():
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
