"""Server-sent events are relayed byte for byte, whatever their lines and however they are split."""

import pytest

from proving.sim.scripted_runtime import BREAK, END
from quillring.forward import EventReader
from tests.forward_stage import (
    HEAD,
    STREAM,
    address,
    make_stage,
    run,
    same_for_both_replicas,
    stream_bytes,
)
from tests.http_lot_stage import HttpLotStage, submit_accepted

EVENT_WITH_NEW_VERSION = b"weight-versions:7\nid: 1\ndata: p1\n\n"
STREAMS = {
    "plain": b"id: 0\ndata: p0\n\nid: 1\ndata: p1\n\n",
    "a new version of the weights": b"id: 0\ndata: p0\n\n"
    + EVENT_WITH_NEW_VERSION
    + b"id: 2\ndata: p2\n\n",
    "comments": b": hello\n\nid: 0\ndata: p0\ndata:  more \n\n: bye\n\n",
    "lines that end with a return": b"id: 0\r\ndata: p0\r\n\r\nid: 1\r\ndata: p1\r\n\r\n",
    "both kinds of ends": b"id: 0\ndata: p0\r\n\nid: 1\r\ndata: p1\n\r\n",
    "empty lines": b"\n\nid: 0\ndata: p0\n\n\nid: 1\ndata: p1\n\n\n",
}


@pytest.mark.parametrize("kind", STREAMS)
def test_stream_is_relayed_byte_for_byte_wherever_it_is_split(kind):
    body = STREAMS[kind]
    for cut in range(len(body) + 1):
        steps = [HEAD, *((0.01, part) for part in (body[:cut], body[cut:]) if part), (0, END)]
        runtime, node = make_stage(same_for_both_replicas(steps))
        run(runtime, node)
        assert stream_bytes(runtime) == body, cut
        reader = EventReader()
        ids = [e.id for e in [*reader.feed(body[:cut]), *reader.feed(body[cut:])] if e.data]
        assert ids == list(range(len(ids))) and reader.last_event_id == ids[-1]


@pytest.mark.parametrize("cut", range(len(EVENT_WITH_NEW_VERSION)))
def test_stream_resumes_after_the_last_complete_event_wherever_a_replica_disconnects(cut):
    interrupted_response = [
        HEAD,
        (0.01, b"id: 0\ndata: p0\n\n" + EVENT_WITH_NEW_VERSION[:cut]),
        (0.01, BREAK),
    ]
    resumed_response = [
        (0.01, (200, {**STREAM, "weight-versions": "7"})),
        (0.01, EVENT_WITH_NEW_VERSION),
        (0, END),
    ]
    runtime, node = make_stage({}, replicas=2)
    runtime.answers = {address(0): [interrupted_response], address(1): [interrupted_response]}
    original_send = runtime._send

    def send(effect):
        if runtime.sent:
            runtime.answers[tuple(effect.address)] = [resumed_response]
        return original_send(effect)

    runtime._send = send
    run(runtime, node)
    assert stream_bytes(runtime) == b"id: 0\ndata: p0\n\n" + EVENT_WITH_NEW_VERSION
    assert [b"last-event-id: 0\r\n" in sent[1] for sent in runtime.sent] == [False, True]


def test_items_of_a_lot_are_sent_with_the_model_of_their_prompt():
    with HttpLotStage(330) as stage:
        submit_accepted(stage, "a", 2)
        stage.read_all("a")
        assert all(row[4]["model"] == "m" for row in stage.arrivals)
