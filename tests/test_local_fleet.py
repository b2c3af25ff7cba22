import errno
import signal
import socket

import pytest

from proving.tools.callers import ask
from proving.tools.local_fleet import LocalFleet, ProcessExited
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


def test_a_process_that_ended_by_itself_is_told_with_its_code_and_last_words(edge):
    with socket.socket() as other:
        other.bind(("127.0.41.10", 0))
        other.listen()
        row = edge.settings["edge-2"]
        row["http_address"] = "{}:{}".format(*other.getsockname())
        edge.start("edge-2")
        with pytest.raises(ProcessExited) as told:
            edge.wait_for("never", lambda: False)
    assert told.value.name == "edge-2" and told.value.code == 3
    assert "Address already in use" in str(told.value)


def test_a_process_that_ended_is_told_even_if_others_are_waited_for(edge):
    edge.start("edge-2")
    edge.signal("edge-2", signal.SIGKILL)
    with pytest.raises(ProcessExited, match="edge-2 exited unexpectedly with code -9"):
        edge.wait_ready()


def test_a_wait_that_was_in_vain_tells_what_each_node_last_answered(edge):
    edge.start("edge-2")
    edge.wait_for("alive", lambda: edge.ask("edge-2", "GET", "/v1/alive")[0] == 200)
    with pytest.raises(TimeoutError) as told:
        edge.wait_for("ready", lambda: edge.ask("edge-2", "GET", "/v1/ready")[0] == 200, 0)
    text = str(told.value)
    assert "ready" in text and "edge-2 GET /v1/ready: 503" in text and "no fresh word" in text
    assert "/v1/alive" not in text
