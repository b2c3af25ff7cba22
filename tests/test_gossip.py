"""Gossip sends an update to each member only a few times."""

from tests.fleet_stage import SelfFoundingFleet

SIZES = {"sizes": {"edge": 40, "core": 4, "store": 4}}


def test_an_update_stops_being_pushed_once_copies_arrive_from_other_members():
    stage = SelfFoundingFleet(5, sizes=SIZES, ready_at=12)
    nodes, receiver_names = stage.sim.nodes, []
    for name, node in nodes.items():
        on_updates = node.handlers["gossip.news"]
        node.handle(
            "gossip.news",
            lambda items, origin, name=name, on_updates=on_updates: (
                receiver_names.extend([name for key, *_ in items if key == "some/thing"]),
                on_updates(items, origin),
            )[1],
        )
    nodes["core-1"].find("gossip").publish("some/thing", [1], "new")
    stage.run(3)
    assert all(node.find("gossip").get("some/thing") == "new" for node in nodes.values())
    assert len(receiver_names) <= len(nodes) * 12
