import pathlib

from proving.points.scenario_fleet import Stage


def test_every_message_between_nodes_stands_in_the_page_on_retries():
    page = pathlib.Path("docs/retries.md").read_text()
    stage = Stage(1, ready_at=1)
    messages = {name for node in stage.sim.nodes.values() for name in node.handlers}
    assert len(messages) > 20
    assert [name for name in sorted(messages) if f"`{name}`" not in page] == []
