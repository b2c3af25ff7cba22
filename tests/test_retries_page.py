import pathlib

from proving.points.scenario_fleet import ScenarioFleet


def test_the_retries_page_lists_every_message_between_nodes():
    page = pathlib.Path("docs/retries.md").read_text()
    fleet = ScenarioFleet(1, ready_at=1)
    messages = {name for node in fleet.sim.nodes.values() for name in node.handlers}
    assert len(messages) > 20
    assert [name for name in sorted(messages) if f"`{name}`" not in page] == []
