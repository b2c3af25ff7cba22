from types import SimpleNamespace
from unittest import mock

from quillring.forward import slow_start as module
from quillring.forward.slow_start import SlowStart

EDGES = [f"edge-{place}" for place in range(71)] + [f"core-{place}" for place in range(14)]
REPLICA = SimpleNamespace(name="words-1", service="words", slots=12)


def slow_starts(rate):
    """Return {name: slow_start} of nodes that all see the same graph, roster and layout."""
    members = {n: SimpleNamespace(name=n, role=n.partition("-")[0]) for n in EDGES}
    configuration = SimpleNamespace(configuration={"services": {"words": {"warm_rate": rate}}})
    nifty = SimpleNamespace(
        graph=SimpleNamespace(routes=dict.fromkeys(EDGES)), roster=SimpleNamespace(members=members)
    )
    services = {"layout": configuration, "nifty": nifty}
    nodes = [SimpleNamespace(me=SimpleNamespace(name=n), find=services.get) for n in EDGES]
    return {node.me.name: SlowStart(node) for node in nodes}, services


def test_the_rate_shares_of_all_senders_add_up_to_what_a_cold_replica_bears():
    made, services = slow_starts(16)
    parts = [slow_start.rate_share(REPLICA) for slow_start in made.values()]
    assert sum(parts) == 16 and sorted(parts)[-4:] == [4, 4, 4, 4]
    now = sum(
        slow_start.try_acquire(REPLICA, time / 100)
        for slow_start in made.values()
        for time in range(100)
    )
    assert now <= 16 * 1.5 + 5


def test_a_rate_share_is_computed_once_for_a_graph_a_roster_and_a_configuration():
    made, services = slow_starts(16)
    slow_start = made["edge-1"]
    with mock.patch.object(module, "score", wraps=module.score) as scored:
        for time in range(50):
            slow_start.try_acquire(REPLICA, time / 100)
        assert scored.call_count == len(EDGES)
        services["layout"].configuration = {"services": {"words": {"warm_rate": 85 * 4}}}
        assert slow_start.rate_share(REPLICA) == 4 and scored.call_count == 2 * len(EDGES)
        services["nifty"].graph = SimpleNamespace(routes=dict.fromkeys(EDGES[:10]))
        assert slow_start.rate_share(REPLICA) == 34
