"""The hints that a spare store stores and delivers for an unreachable store are bounded."""

import pytest

from proving.sim.many_changes import ManyChanges
from quillring.kernel.errors import Refused
from quillring.quorum.acceptor import hint_store
from quillring.quorum.parts import CONFIG_PART
from quillring.quorum.snapshot_chunks import CHUNK_BYTES


def are_hints_delivered(fleet):
    """Return whether no running store has undelivered hints."""
    return not any(n.find("acceptors").hints for n in fleet.sim.up_nodes("store"))


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("loses_disk", [False, True])
def test_hints_that_a_store_no_longer_needs_are_not_sent(loses_disk, seed):
    fleet = ManyChanges(seed, 2, 20)
    fleet.change(1)
    store = fleet.group()[0]
    fleet.sim.kill(store, loses_power=True)
    fleet.run(2)
    assert fleet.change(100) == 100
    assert sum(len(n.find("acceptors").hints) for n in fleet.sim.up_nodes("store")) == 1
    if loses_disk:
        fleet.sim.disks[store].lose_all()
    delivered_indexes = []
    node = fleet.start(store)
    real_accept = node.handlers["quorum.accept"]

    def accept(body, origin):
        delivered_indexes.append(body["index"])
        return real_accept(body, origin)

    node.handlers["quorum.accept"] = accept
    _, sent_bytes = fleet.measure_until(store, lambda: are_hints_delivered(fleet))
    assert are_hints_delivered(fleet)
    assert len(delivered_indexes) < 10 and sent_bytes < CHUNK_BYTES // 2
    fleet.run(1)
    assert fleet.change(1) == 1
    fleet.run(1)
    assert all(fleet.is_caught_up(name) for name in fleet.group())


def test_spare_store_refuses_hints_beyond_the_size_limit(monkeypatch):
    monkeypatch.setattr(hint_store, "MAX_HINT_BYTES", 100_000)
    fleet = ManyChanges(1, 2, 20)
    fleet.change(1)
    store = fleet.group()[0]
    fleet.sim.kill(store)
    fleet.run(2)
    assert fleet.change(60) == 60
    spare = next(n for n in fleet.sim.up_nodes("store") if n.find("acceptors").hints)
    hint_count = sum(len(records) for records in spare.find("acceptors").hints.values())
    assert 10 < hint_count < 40
    body = {"for": store, "record": {"part": CONFIG_PART}}
    with pytest.raises(Refused):
        next(spare.find("hints").on_hint(body, "core-1"))
    fleet.start(store)
    seconds, _ = fleet.measure_until(store, lambda: fleet.is_caught_up(store))
    assert seconds is not None
