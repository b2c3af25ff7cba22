import pytest

from proving.tools.local_fleet import LocalFleet

NODE_NAMES = [
    "core-1",
    "core-2",
    "store-1",
    "store-2",
    "store-3",
    "edge-1",
    "edge-2",
    "words-1",
    "words-2",
    "map-1",
]


@pytest.fixture(scope="session")
def fleet(tmp_path_factory):
    """Start the example fleet as local processes, once per test session; stop it at the end."""
    running_fleet = LocalFleet(
        "examples/ferrowa", tmp_path_factory.mktemp("fleet"), True, set(NODE_NAMES)
    )
    try:
        running_fleet.start_all()
        running_fleet.found()
        yield running_fleet
    finally:
        running_fleet.stop_all()
