import errno
import signal
import socket

import pytest

from proving.tools.callers import ask
from proving.tools.local_fleet import LocalFleet, ProcessExited
from quillring.kernel.settings import split_address


@pytest.fixture
def edge_fleet(tmp_path):
    fleet = LocalFleet("examples/ferrowa", tmp_path, True, {"edge-2"})
    yield fleet
    fleet.stop_all()


@pytest.mark.parametrize("field", ["address", "http_address"])
def test_no_other_socket_can_bind_a_reserved_port_before_the_process_starts(edge_fleet, field):
    address = split_address(edge_fleet.settings["edge-2"][field])
    with socket.socket() as other_socket, pytest.raises(OSError) as refused:
        other_socket.bind(address)
    assert refused.value.errno == errno.EADDRINUSE


def test_a_process_listens_on_its_reserved_ports_after_every_start(edge_fleet):
    for _ in range(2):
        edge_fleet.start("edge-2")
        edge_fleet.wait_for(
            "alive", lambda: ask(edge_fleet.http("edge-2"), "GET", "/v1/alive")[0] == 200
        )
        with socket.create_connection(
            split_address(edge_fleet.settings["edge-2"]["address"])
        ) as connection:
            assert connection.getpeername() == split_address(
                edge_fleet.settings["edge-2"]["address"]
            )
        edge_fleet.kill("edge-2")


def test_a_process_that_exits_is_reported_with_its_exit_code_and_output(edge_fleet):
    with socket.socket() as other_socket:
        other_socket.bind(("127.0.41.10", 0))
        other_socket.listen()
        row = edge_fleet.settings["edge-2"]
        row["http_address"] = "{}:{}".format(*other_socket.getsockname())
        edge_fleet.start("edge-2")
        with pytest.raises(ProcessExited) as raised:
            edge_fleet.wait_for("never", lambda: False)
    assert raised.value.name == "edge-2" and raised.value.code == 3
    assert "Address already in use" in str(raised.value)


def test_a_process_that_exits_is_reported_while_waiting_for_other_nodes(edge_fleet):
    edge_fleet.start("edge-2")
    edge_fleet.signal("edge-2", signal.SIGKILL)
    with pytest.raises(ProcessExited, match="edge-2 exited unexpectedly with code -9"):
        edge_fleet.wait_ready()


def test_a_timed_out_wait_reports_the_last_response_of_each_node(edge_fleet):
    edge_fleet.start("edge-2")
    edge_fleet.wait_for("alive", lambda: edge_fleet.ask("edge-2", "GET", "/v1/alive")[0] == 200)
    with pytest.raises(TimeoutError) as raised:
        edge_fleet.wait_for(
            "ready", lambda: edge_fleet.ask("edge-2", "GET", "/v1/ready")[0] == 200, 0
        )
    text = str(raised.value)
    assert "ready" in text and "edge-2 GET /v1/ready: 503" in text and "no fresh word" in text
    assert "/v1/alive" not in text
