"""All cores crash at once and restart within a second while the configuration is being read."""

import random

import pytest

from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import FULL_CONFIGURATION, call, replace_configuration

MIN_READ_SECONDS = 4.0
"""The platform reads the configuration at the end of a day for at least this long."""
READ_INTERVAL_SECONDS = 0.25


def read_until(stage, seconds, newest):
    """Read at every core for `seconds`; return the number of successful reads.

    Each answer must be the newest configuration or a 503.
    """
    successful_reads = 0
    end_time = stage.env.now + seconds
    while stage.env.now < end_time:
        for name in stage.sim.names("core"):
            status, body, _ = call(stage, name, "GET", "/Config.Fetch")
            assert status in (200, 503), (status, body)
            assert status == 503 or body == newest
            successful_reads += status == 200
        stage.run(READ_INTERVAL_SECONDS)
    return successful_reads


@pytest.mark.parametrize("loses_power", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_after_all_cores_restart_a_read_returns_the_newest_configuration_or_503(seed, loses_power):
    rng = random.Random(seed)
    stage = SelfFoundingFleet(seed, has_witnesses=True)
    newest = {**FULL_CONFIGURATION, "ver": 9}
    assert replace_configuration(stage, "core-1", FULL_CONFIGURATION, 0)[0] == 200
    assert replace_configuration(stage, rng.choice(stage.sim.names("core")), newest, 7)[0] == 200
    for name in stage.sim.names("core"):
        stage.sim.kill(name, loses_power)
    stage.run(rng.uniform(0.2, 0.9))
    for name in stage.sim.names("core"):
        stage.start(name)
    assert read_until(stage, MIN_READ_SECONDS, newest) > 0
    assert read_until(stage, MIN_READ_SECONDS, newest) >= len(stage.sim.names("core"))
    next_configuration = {**FULL_CONFIGURATION, "ver": 12}
    accepted_after_seconds = stage.wait_for(
        lambda: replace_configuration(stage, "core-2", next_configuration, 9)[0] == 200, 4
    )
    assert accepted_after_seconds is not None
    assert read_until(stage, 1.0, next_configuration) > 0
