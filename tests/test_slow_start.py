"""Slow start: the senders share the request rate of a cold replica."""

from types import SimpleNamespace
from unittest import mock

from quillring.forward import slow_start as module
from quillring.forward.slow_start import SlowStart

SENDERS = [f"edge-{number}" for number in range(71)] + [f"core-{number}" for number in range(14)]
REPLICA = SimpleNamespace(name="words-1", service="words", slots=12)


def slow_starts(rate):
    """Return SlowStart objects by node name, and the graph, roster and layout that they share."""
    members = {n: SimpleNamespace(name=n, role=n.partition("-")[0]) for n in SENDERS}
    configuration = SimpleNamespace(configuration={"services": {"words": {"warm_rate": rate}}})
    nifty = SimpleNamespace(
        graph=SimpleNamespace(routes=dict.fromkeys(SENDERS)),
        roster=SimpleNamespace(members=members),
    )
    services = {"layout": configuration, "nifty": nifty}
    nodes = [SimpleNamespace(me=SimpleNamespace(name=n), find=services.get) for n in SENDERS]
    return {node.me.name: SlowStart(node) for node in nodes}, services


def test_rate_shares_of_all_senders_sum_to_the_rate_of_a_cold_replica():
    slow_start_by_name, services = slow_starts(16)
    rate_shares = [slow_start.rate_share(REPLICA) for slow_start in slow_start_by_name.values()]
    assert sum(rate_shares) == 16 and sorted(rate_shares)[-4:] == [4, 4, 4, 4]
    acquired_count = sum(
        slow_start.try_acquire(REPLICA, time / 100)
        for slow_start in slow_start_by_name.values()
        for time in range(100)
    )
    assert acquired_count <= 16 * 1.5 + 5


def test_rate_share_is_cached_until_the_graph_or_configuration_changes():
    slow_start_by_name, services = slow_starts(16)
    slow_start = slow_start_by_name["edge-1"]
    with mock.patch.object(module, "rendezvous_score", wraps=module.rendezvous_score) as scored:
        for time in range(50):
            slow_start.try_acquire(REPLICA, time / 100)
        assert scored.call_count == len(SENDERS)
        services["layout"].configuration = {"services": {"words": {"warm_rate": 85 * 4}}}
        assert slow_start.rate_share(REPLICA) == 4 and scored.call_count == 2 * len(SENDERS)
        services["nifty"].graph = SimpleNamespace(routes=dict.fromkeys(SENDERS[:10]))
        assert slow_start.rate_share(REPLICA) == 34
