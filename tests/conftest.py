import pytest

from proving.tools.local_fleet import LocalFleet

NAMES = [
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
    made = LocalFleet("examples/ferrowa", tmp_path_factory.mktemp("fleet"), True, set(NAMES))
    try:
        made.start_all()
        made.found()
        yield made
    finally:
        made.stop_all()
