import pytest

from proving.sim.scripted_runtime import BREAK, END, SILENT
from quillring.forward import EventReader
from quillring.kernel.errors import BackendError, OutcomeUnknown, Refused
from tests.forward_stage import (
    HEAD,
    PLAIN_HEAD,
    PLAIN_HEADERS,
    address,
    deliver_heartbeat,
    event,
    make_stage,
    request,
    run,
    same_for_both_replicas,
    stream_bytes,
)


def test_request_is_forwarded_unchanged_with_replica_name_and_deadline_headers():
    runtime, node = make_stage(same_for_both_replicas([HEAD, (0.01, event(0)), (0, END)]))
    run(runtime, node)
    data = runtime.sent[0][1].decode()
    assert data.startswith("POST /a/x?y=%20z HTTP/1.1\r\nHost: h\r\nX-Inquiry: q1\r\n")
    assert "x-replica-named: r" in data and "x-deadline-ms: 4000" in data
    assert data.endswith("Content-Length: 4\r\n\r\nbody")
    assert runtime.emitted[0][0] == 200 and stream_bytes(runtime) == event(0)


def test_interrupted_stream_resumes_at_another_replica_after_last_complete_event():
    first = [HEAD, (0.01, event(0) + event(1) + b"id: 2\nda"), (0.01, BREAK)]
    second = [HEAD, (0.01, event(2)), (0, END)]
    runtime, node = make_stage(same_for_both_replicas(first, second))
    runtime.answers = {address(0): [first], address(1): [first]}
    sent_to = []
    original = runtime._send

    def send(effect):
        sent_to.append(effect.address)
        if len(sent_to) == 2:
            runtime.answers[tuple(effect.address)] = [second]
        return original(effect)

    runtime._send = send
    run(runtime, node)
    assert stream_bytes(runtime) == event(0) + event(1) + event(2)
    assert len(set(sent_to)) == 2
    assert b"last-event-id: 1" in runtime.sent[1][1]


def test_interrupted_stream_that_is_not_resumable_is_not_retried():
    runtime, node = make_stage(
        same_for_both_replicas([HEAD, (0.01, event(0)), (0.01, BREAK)]), resumable=False
    )
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 1 and not runtime.sent[0][2]


def test_request_that_may_run_only_once_is_not_retried_after_a_timeout():
    runtime, node = make_stage(same_for_both_replicas([(9, SILENT)]), kind="once")
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 1


def test_request_is_sent_to_another_replica_after_a_refused_connection():
    runtime, node = make_stage(
        {1: [[PLAIN_HEAD, (0.01, b"ok"), (0, END)]]}, kind="once", attempts=1
    )
    status, _, body = run(runtime, node)
    assert (status, body) == (200, b"ok")


def test_attempt_at_a_stalled_replica_is_abandoned_and_retried():
    runtime, node = make_stage(
        same_for_both_replicas([(0, SILENT)], [HEAD, (0.01, event(0)), (0, END)])
    )
    runtime.answers[address(0)] = [[HEAD, (0.01, event(0)), (9, SILENT)]]
    runtime.answers[address(1)] = [[HEAD, (0.01, event(0)), (9, SILENT)]]
    start_time = runtime.now()
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 2
    assert runtime.handles[0].is_closed and runtime.now() - start_time < 5.1


def test_stream_fails_if_its_events_do_not_follow_the_last_event_id():
    runtime, node = make_stage(
        same_for_both_replicas([HEAD, (0.01, event(5)), (0, END)]), attempts=1
    )
    with pytest.raises(OutcomeUnknown):
        run(runtime, node, request(**{"Last-Event-Id": "2"}))
    assert stream_bytes(runtime) == b""


def test_stream_without_seal_header_is_not_forwarded():
    unsealed = (0.01, (200, {"content-type": "text/event-stream"}))
    runtime, node = make_stage(
        same_for_both_replicas([unsealed, (0.01, event(0)), (0, END)]), attempts=1
    )
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert not runtime.emitted


def test_leaving_replicas_receive_no_request_and_refusal_is_immediate():
    runtime, node = make_stage(same_for_both_replicas([HEAD, (0.01, event(0)), (0, END)]))
    deliver_heartbeat(node, 0, 2, state="leaving")
    deliver_heartbeat(node, 1, 2, state="gone")
    start_time = runtime.now()
    with pytest.raises(Refused) as refusal:
        run(runtime, node)
    assert not runtime.sent and runtime.now() - start_time <= 0.25 / 4
    assert refusal.value.detail["come_back_s"] > 0


def test_replica_with_a_misdirected_response_receives_no_further_request():
    misdirected = [(0.01, (421, {"x-inquiry": "q1"}))]
    runtime, node = make_stage(same_for_both_replicas(misdirected), attempts=3)
    with pytest.raises(Refused):
        run(runtime, node)
    assert {sent[0] for sent in runtime.sent} == {address(0), address(1)}
    assert not node.find("placement").replicas("s")


def test_not_run_response_permits_retry_of_a_request_that_may_run_only_once():
    not_run = [(0.01, (503, {"x-inquiry": "q1", "x-not-run": "1"}))]
    complete = [PLAIN_HEAD, (0.01, b"ok"), (0, END)]
    runtime, node = make_stage(same_for_both_replicas(not_run, complete), kind="once", attempts=2)
    runtime.answers = {address(0): [not_run], address(1): [not_run]}
    with pytest.raises(Refused):
        run(runtime, node)
    assert len(runtime.sent) == 2


def test_server_error_is_forwarded_if_the_request_may_run_only_once():
    runtime, node = make_stage(
        same_for_both_replicas([(0.01, (500, PLAIN_HEADERS)), (0, b"bad"), (0, END)]), kind="once"
    )
    assert run(runtime, node)[::2] == (500, b"bad")


def test_events_are_parsed_at_any_chunk_boundary():
    data = event(0) + event(1) + event(2)
    for cut in range(len(data)):
        reader = EventReader()
        events = reader.feed(data[:cut]) + reader.feed(data[cut:])
        assert b"".join(e.raw for e in events) == data and reader.is_at_event_boundary
    with pytest.raises(BackendError):
        EventReader(4).feed(event(6))
