import pytest

from tests.fleet_stage import SelfFounded
from tests.test_membership_repair import is_whole, members, owners, zone_order


def total(stage, name):
    return sum(node.counts.get(name, 0) for node in stage.sim.nodes.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_store_that_missed_some_entries_gets_these_and_not_the_state(seed):
    stage = SelfFounded(seed)
    store = members(stage)[0]
    stage.sim.kill(store)
    for number in range(5):
        answer, error = stage.submit("core-1", zone_order(f"zone-{number}"))
        assert error is None, answer
    installs = total(stage, "installs")
    stage.start(store)
    assert stage.wait_for(lambda: is_whole(stage), 3) is not None
    assert total(stage, "catch_ups") >= 1 and total(stage, "installs") == installs


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_promise_bears_no_state_and_a_new_owner_has_it_whole(seed):
    stage = SelfFounded(seed)
    stage.submit("core-1", zone_order("halls"))
    seen = []
    for acceptors in stage.stores().values():
        answer = acceptors.node.handlers["quorum.prepare"]

        def watched(body, origin, answer=answer):
            fields = yield from answer(body, origin)
            seen.append(fields[2])
            return fields

        acceptors.node.handlers["quorum.prepare"] = watched
    former = stage.owner("config")
    index = owners(stage)["config"].index
    stage.sim.kill(former)
    assert stage.wait_for(lambda: stage.owner("config") not in (None, former), 4) is not None
    owner = owners(stage)["config"]
    assert owner.index >= index and "halls" in owner.state["layout"]["domains"]
    assert seen and not any(isinstance(state, dict) for state in seen)
