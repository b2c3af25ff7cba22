import errno
import socket

import pytest

from proving.callers import ask
from proving.localfleet import LocalFleet
from quillring.kernel.settings import split_address


@pytest.fixture
def edge(tmp_path):
    made = LocalFleet("examples/ferrowa", tmp_path, True, {"edge-2"})
    yield made
    made.stop_all()


@pytest.mark.parametrize("field", ["address", "http_address"])
def test_a_port_of_a_fleet_goes_to_nobody_else_before_its_process_starts(edge, field):
    address = split_address(edge.settings["edge-2"][field])
    with socket.socket() as other, pytest.raises(OSError) as refused:
        other.bind(address)
    assert refused.value.errno == errno.EADDRINUSE


def test_a_process_listens_at_its_held_ports_at_every_start(edge):
    for _ in range(2):
        edge.start("edge-2")
        edge.wait_for("alive", lambda: ask(edge.http("edge-2"), "GET", "/v1/alive")[0] == 200)
        with socket.create_connection(split_address(edge.settings["edge-2"]["address"])) as link:
            assert link.getpeername() == split_address(edge.settings["edge-2"]["address"])
        edge.kill("edge-2")
