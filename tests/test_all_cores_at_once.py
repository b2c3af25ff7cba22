"""All cores die at one moment and are back within a second; the configuration is read all along."""

import random

import pytest

from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import WHOLE, call, replace

CONTACT_SECONDS = 4.0
"""The platform reads a configuration at the end of a day for at least so long."""
READ_INTERVAL_SECONDS = 0.25


def read_until(stage, seconds, newest):
    """Read at every core until the time is over; each answer is the newest or a 503."""
    answered = 0
    end = stage.env.now + seconds
    while stage.env.now < end:
        for name in stage.sim.names("core"):
            status, body, _ = call(stage, name, "GET", "/Config.Fetch")
            assert status in (200, 503), (status, body)
            assert status == 503 or body == newest
            answered += status == 200
        stage.run(READ_INTERVAL_SECONDS)
    return answered


@pytest.mark.parametrize("loses_power", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_after_all_cores_died_the_newest_configuration_is_read_or_503(seed, loses_power):
    chance = random.Random(seed)
    stage = SelfFoundingFleet(seed, has_witnesses=True)
    newest = {**WHOLE, "ver": 9}
    assert replace(stage, "core-1", WHOLE, 0)[0] == 200
    assert replace(stage, chance.choice(stage.sim.names("core")), newest, 7)[0] == 200
    for name in stage.sim.names("core"):
        stage.sim.kill(name, loses_power)
    stage.run(chance.uniform(0.2, 0.9))
    for name in stage.sim.names("core"):
        stage.start(name)
    assert read_until(stage, CONTACT_SECONDS, newest) > 0
    assert read_until(stage, CONTACT_SECONDS, newest) >= len(stage.sim.names("core"))
    following = {**WHOLE, "ver": 12}
    taken_after = stage.wait_for(lambda: replace(stage, "core-2", following, 9)[0] == 200, 4)
    assert taken_after is not None
    assert read_until(stage, 1.0, following) > 0
