"""A store that missed entries is sent these entries instead of the state."""

import pytest

from tests.fleet_stage import SelfFoundingFleet
from tests.test_membership_repair import all_parts_replicated, members, owners, zone_order_command


def total_count(stage, name):
    """Return the sum of a counter over all nodes."""
    return sum(node.counts.get(name, 0) for node in stage.sim.nodes.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_store_that_missed_a_few_entries_is_sent_these_and_not_the_state(seed):
    stage = SelfFoundingFleet(seed)
    store = members(stage)[0]
    stage.sim.kill(store)
    for number in range(5):
        answer, error = stage.submit("core-1", zone_order_command(f"zone-{number}"))
        assert error is None, answer
    installs = total_count(stage, "installs")
    stage.start(store)
    assert stage.wait_for(lambda: all_parts_replicated(stage), 3) is not None
    assert total_count(stage, "catch_ups") >= 1 and total_count(stage, "installs") == installs


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_promises_contain_no_state_and_the_new_leader_has_it_complete(seed):
    stage = SelfFoundingFleet(seed)
    stage.submit("core-1", zone_order_command("halls"))
    promised_states = []
    for acceptors in stage.stores().values():
        on_prepare = acceptors.node.handlers["quorum.prepare"]

        def recording_handler(body, origin, on_prepare=on_prepare):
            fields = yield from on_prepare(body, origin)
            promised_states.append(fields[2])
            return fields

        acceptors.node.handlers["quorum.prepare"] = recording_handler
    previous_owner = stage.owner("config")
    index = owners(stage)["config"].index
    stage.sim.kill(previous_owner)
    assert (
        stage.wait_for(lambda: stage.owner("config") not in (None, previous_owner), 4) is not None
    )
    leader = owners(stage)["config"]
    assert leader.index >= index and "halls" in leader.state["layout"]["domains"]
    assert promised_states and not any(isinstance(state, dict) for state in promised_states)
