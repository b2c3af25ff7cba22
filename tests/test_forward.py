import pytest

from proving.sim.scripted_runtime import BREAK, END, SILENT
from quillring.forward import EventReader
from quillring.kernel.errors import BackendError, OutcomeUnknown, Refused
from tests.forward_stage import (
    HEAD,
    PLAIN,
    PLAIN_HEAD,
    address,
    beat,
    both,
    event,
    make,
    request,
    run,
    text,
)


def test_a_request_goes_on_unchanged_and_names_its_replica():
    runtime, node = make(both([HEAD, (0.01, event(0)), (0, END)]))
    run(runtime, node)
    data = runtime.sent[0][1].decode()
    assert data.startswith("POST /a/x?y=%20z HTTP/1.1\r\nHost: h\r\nX-Inquiry: q1\r\n")
    assert "x-replica-named: r" in data and "x-deadline-ms: 4000" in data
    assert data.endswith("Content-Length: 4\r\n\r\nbody")
    assert runtime.emitted[0][0] == 200 and text(runtime) == event(0)


def test_a_cut_stream_goes_on_at_another_replica_after_the_last_whole_event():
    first = [HEAD, (0.01, event(0) + event(1) + b"id: 2\nda"), (0.01, BREAK)]
    second = [HEAD, (0.01, event(2)), (0, END)]
    runtime, node = make(both(first, second))
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
    assert text(runtime) == event(0) + event(1) + event(2)
    assert len(set(sent_to)) == 2
    assert b"last-event-id: 1" in runtime.sent[1][1]


def test_a_stream_that_may_not_be_resumed_is_cut_and_never_sent_again():
    runtime, node = make(both([HEAD, (0.01, event(0)), (0.01, BREAK)]), resumable=False)
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 1 and not runtime.sent[0][2]


def test_what_may_not_repeat_is_not_sent_twice_after_silence():
    runtime, node = make(both([(9, SILENT)]), kind="once")
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 1


def test_a_refused_connection_reached_nothing_and_is_tried_elsewhere():
    runtime, node = make({1: [[PLAIN_HEAD, (0.01, b"ok"), (0, END)]]}, kind="once", attempts=1)
    status, _, body = run(runtime, node)
    assert (status, body) == (200, b"ok")


def test_a_silent_replica_is_left_in_time_for_the_next_event():
    runtime, node = make(both([(0, SILENT)], [HEAD, (0.01, event(0)), (0, END)]))
    runtime.answers[address(0)] = [[HEAD, (0.01, event(0)), (9, SILENT)]]
    runtime.answers[address(1)] = [[HEAD, (0.01, event(0)), (9, SILENT)]]
    start_time = runtime.now()
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert len(runtime.sent) == 2
    assert runtime.handles[0].is_closed and runtime.now() - start_time < 5.1


def test_events_of_two_runs_are_never_joined():
    runtime, node = make(both([HEAD, (0.01, event(5)), (0, END)]), attempts=1)
    with pytest.raises(OutcomeUnknown):
        run(runtime, node, request(**{"Last-Event-Id": "2"}))
    assert text(runtime) == b""


def test_an_answer_without_its_seal_is_no_success():
    unsealed = (0.01, (200, {"content-type": "text/event-stream"}))
    runtime, node = make(both([unsealed, (0.01, event(0)), (0, END)]), attempts=1)
    with pytest.raises(OutcomeUnknown):
        run(runtime, node)
    assert not runtime.emitted


def test_a_replica_that_leaves_gets_nothing_and_refusals_come_at_once():
    runtime, node = make(both([HEAD, (0.01, event(0)), (0, END)]))
    beat(node, 0, 2, state="leaving")
    beat(node, 1, 2, state="gone")
    start_time = runtime.now()
    with pytest.raises(Refused) as refusal:
        run(runtime, node)
    assert not runtime.sent and runtime.now() - start_time <= 0.25 / 4
    assert refusal.value.detail["come_back_s"] > 0


def test_a_wrong_replica_at_the_address_is_not_asked_again():
    misdirected = [(0.01, (421, {"x-inquiry": "q1"}))]
    runtime, node = make(both(misdirected), attempts=3)
    with pytest.raises(Refused):
        run(runtime, node)
    assert {sent[0] for sent in runtime.sent} == {address(0), address(1)}
    assert not node.find("placement").replicas("s")


def test_a_word_of_not_run_lets_even_a_single_request_go_elsewhere_within_its_attempts():
    shed = [(0.01, (503, {"x-inquiry": "q1", "x-not-run": "1"}))]
    whole = [PLAIN_HEAD, (0.01, b"ok"), (0, END)]
    runtime, node = make(both(shed, whole), kind="once", attempts=2)
    runtime.answers = {address(0): [shed], address(1): [shed]}
    with pytest.raises(Refused):
        run(runtime, node)
    assert len(runtime.sent) == 2


def test_a_failure_of_the_replicas_own_is_passed_on_when_it_may_not_repeat():
    runtime, node = make(both([(0.01, (500, PLAIN)), (0, b"bad"), (0, END)]), kind="once")
    assert run(runtime, node)[::2] == (500, b"bad")


def test_events_are_split_wherever_the_bytes_were_cut():
    data = event(0) + event(1) + event(2)
    for cut in range(len(data)):
        reader = EventReader()
        events = reader.feed(data[:cut]) + reader.feed(data[cut:])
        assert b"".join(e.raw for e in events) == data and reader.is_at_event_boundary
    with pytest.raises(BackendError):
        EventReader(4).feed(event(6))
