"""The decision log, the traffic counters, and the status routes that show both."""

import contextlib
import json
import re
from pathlib import Path

import pytest

import quillring
from proving.sim.scripted_runtime import SILENT
from quillring.forward.decision_log import (
    CACHED_PREFIX,
    EXPECTED_WAIT,
    IN_TIME,
    LONG_PROMPT,
    MAX_RECORDS,
    NOT_PLACED,
    OTHER_ZONE,
    OWN_ZONE,
    QUEUED_HERE,
    RETRIED,
    UNEXPECTED_WAIT,
    DecisionLog,
    DecisionRecord,
)
from quillring.kernel.errors import OutcomeUnknown, Refused
from quillring.kernel.ringlog import ring_log
from quillring.kernel.settings import check_settings
from quillring.kernel.traffic import (
    HEARTBEAT,
    REPLICA_REQUEST,
    REPLICA_RESPONSE,
    REPLY,
    TrafficCounters,
)
from quillring.verbs.process import LOG_LEVELS, make_log_writer
from quillring.verbs.status_routes import show_decisions, show_traffic
from tests.forward_stage import HEAD, deliver_heartbeat, event, make_stage, request, run
from tests.test_nifty import heartbeat_datagram, member
from tests.test_nifty import node as nifty_node

COMPLETE = [HEAD, (0.01, event(1)), (0.01, event(2)), (0.01, None)]
RECORD = DecisionRecord(
    "f", OWN_ZONE, "r0", "north", 900, 900, 1, 0.0, 0.01, 0.0, 0.02, 0.5, 0.25, 1
)


def run_and_record(answers, sent=None, **fields):
    """Forward a request and record its decision; return (record, log lines, node)."""
    runtime, node = make_stage(answers, **fields)
    node.find("decisions").ratio = 1.0
    lines = []
    node.log = lambda level, text, *words: lines.append((level, text % words))
    with contextlib.suppress(Refused, OutcomeUnknown):
        run(runtime, node, sent)
    (record,) = node.find("decisions").records
    return record, lines, node


def test_record_has_the_placement_the_times_and_the_estimates_of_a_request():
    sent = request(**{"X-Prompt-Chain": "ab:300,cd:200", "X-Token-Count": "500,80"})
    record, lines, node = run_and_record({0: [COMPLETE]}, sent, replicas=1)
    assert (record.route, record.replica, record.reason) == ("f", "r0", OWN_ZONE)
    assert (record.prompt_tokens, record.uncached_tokens, record.attempts) == (500, 500, 1)
    assert record.first_token_seconds == pytest.approx(0.02)
    assert record.total_seconds == pytest.approx(0.04)
    assert record.cause() == IN_TIME
    ((level, line),) = lines
    assert level == "info" and json.loads(line.partition(" ")[2])["cause"] == IN_TIME
    assert node.find("decisions").count_by_cause() == [
        {"route": "f", "cause": IN_TIME, "reason": OWN_ZONE, "requests": 1}
    ]


def test_record_is_written_to_the_log_of_a_process(tmp_path):
    path = tmp_path / "ring.log"
    node_logger, ring = ring_log("edge-1", str(path))
    _, node = make_stage({})
    node.log = make_log_writer(node_logger)
    DecisionLog(node, 1.0).add(RECORD)
    ring.dump()
    (line,) = path.read_text().splitlines()
    assert "INFO" in line and json.loads(line.partition("decision ")[2])["replica"] == "r0"


def test_every_log_level_in_use_is_known_to_the_log_writer():
    levels = set()
    for source in Path(quillring.__file__).parent.rglob("*.py"):
        levels |= set(re.findall(r'\.log\(\s*"(\w+)"', source.read_text()))
    assert {"debug", "info", "warning", "error"} <= levels <= set(LOG_LEVELS)


def test_a_retry_and_a_refusal_are_recorded():
    silent = [(0, SILENT)]
    record, _, _ = run_and_record({0: [silent, COMPLETE], 1: [silent, COMPLETE]})
    assert record.attempts == 2 and record.cause() == RETRIED
    record, _, _ = run_and_record({}, replicas=0)
    assert record.reason == NOT_PLACED and record.replica is None
    assert record.first_token_seconds is None and record.cause() == UNEXPECTED_WAIT


@pytest.mark.parametrize(
    ("changes", "cause"),
    [
        ({}, IN_TIME),
        ({"first_token_seconds": 0.3}, UNEXPECTED_WAIT),
        ({"first_token_seconds": None}, UNEXPECTED_WAIT),
        ({"first_token_seconds": 0.3, "queued_seconds": 0.2}, QUEUED_HERE),
        ({"first_token_seconds": 0.3, "expected_wait_seconds": 0.2}, EXPECTED_WAIT),
        ({"first_token_seconds": 0.3, "expected_first_token_seconds": 0.2}, LONG_PROMPT),
        ({"first_token_seconds": 0.3, "queued_seconds": 0.2, "attempts": 2}, RETRIED),
    ],
)
def test_cause_of_a_late_first_token(changes, cause):
    assert RECORD._replace(**changes).cause() == cause


def test_recording_is_off_by_default_and_bounded():
    runtime, node = make_stage({0: [COMPLETE]}, replicas=1)
    run(runtime, node)
    assert not node.find("decisions").records
    log = DecisionLog(node, 1.0)
    for _ in range(MAX_RECORDS + 10):
        log.add(RECORD)
    assert len(log.records) == MAX_RECORDS


@pytest.mark.parametrize("ratio", [0, 0.1, 1])
def test_decision_log_ratio_is_a_validated_setting(ratio):
    fields = {
        "name": "edge-1",
        "role": "edge",
        "domain": "north",
        "address": "10.0.0.1:7000",
        "http_address": "10.0.0.1:7001",
        "seeds": ["10.0.0.2:7000"],
    }
    assert check_settings(fields).decision_log_ratio == 0
    assert check_settings({**fields, "decision_log_ratio": ratio}).decision_log_ratio == ratio
    for invalid_ratio in (-0.1, 1.5, "all"):
        with pytest.raises(ExceptionGroup):
            check_settings({**fields, "decision_log_ratio": invalid_ratio})


def test_status_routes_show_decisions_and_traffic():
    sent = request(**{"X-Prompt-Chain": "ab:3000,cd:200", "X-Token-Count": "3200,80"})
    _, _, node = run_and_record({0: [COMPLETE]}, sent, replicas=1)
    shown = show_decisions(node, None)
    assert shown["decisions"][0]["replica"] == "r0" and shown["sums"][0]["requests"] == 1
    shown_bytes = show_traffic(node, None)["traffic"]
    rows = {row["kind"]: row for row in shown_bytes}
    assert rows[REPLICA_REQUEST]["messages"] == 1 and rows[REPLICA_REQUEST]["zone"] == "north"
    sizes = sum(len(event(number)) for number in (1, 2))
    assert rows[REPLICA_RESPONSE]["payload_bytes"] == sizes


def test_reason_is_a_cached_prefix_or_another_zone():
    sent = request(**{"X-Prompt-Chain": "ab:30000,cd:200", "X-Token-Count": "30200,80"})
    runtime, node = make_stage({0: [COMPLETE, COMPLETE]}, replicas=0)
    deliver_heartbeat(node, 0, domain="south")
    node.find("decisions").ratio = 1.0
    run(runtime, node, sent)
    run(runtime, node, sent)
    assert [r.reason for r in node.find("decisions").records] == [OTHER_ZONE, CACHED_PREFIX]


def test_messages_and_heartbeats_are_counted_by_kind_and_zone():
    local_node, nifty, runtime = nifty_node("a")
    nifty.on_datagram(heartbeat_datagram(member("b"), 1, {"a"}, [1, 1, 3], "ab", 3))
    runtime.datagrams.clear()
    nifty.send_heartbeats()
    nifty.on_datagram(heartbeat_datagram(member("b"), 2, {"a"}, [1, 1, 3], "ab", 3))
    nifty.refresh()
    nifty.send("b", {"s": "x", "b": 1})
    nifty.send("b", {"r": 1, "b": 1})
    rows = {row.kind: row for row in local_node.traffic.rows()}
    assert rows[HEARTBEAT].payload_bytes == sum(len(data) for _, data in runtime.datagrams)
    sizes = [len(data) for _, data in runtime.frames]
    assert [rows["x"].payload_bytes, rows[REPLY].payload_bytes] == sizes
    assert {row.zone for row in rows.values()} == {"north"}


def test_traffic_counters_are_summed_by_kind_and_zone():
    counters = TrafficCounters()
    for number in range(10):
        counters.record("k", f"z{number % 2}", number)
    counters.record("other", "z0", 100, 5)
    assert [tuple(row) for row in counters.rows()] == [
        ("other", "z0", 5, 100),
        ("k", "z1", 5, 25),
        ("k", "z0", 5, 20),
    ]
