from tests.fleet_stage import SelfFounded

SIZES = {"sizes": {"edge": 40, "core": 4, "store": 4}}


def test_news_stops_going_round_once_the_others_tell_it_too():
    stage = SelfFounded(5, sizes=SIZES, ready_at=12)
    nodes, took = stage.sim.nodes, []
    for name, made in nodes.items():
        take = made.handlers["gossip.news"]
        made.handle(
            "gossip.news",
            lambda items, origin, name=name, take=take: (
                took.extend([name for key, *_ in items if key == "some/thing"]),
                take(items, origin),
            )[1],
        )
    nodes["core-1"].find("gossip").publish("some/thing", [1], "new")
    stage.run(3)
    assert all(made.find("gossip").get("some/thing") == "new" for made in nodes.values())
    assert len(took) <= len(nodes) * 12
