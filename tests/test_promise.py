"""A promise keeps its form on the wire and in slots, byte for byte."""

import cbor2
import pytest

from quillring.quorum.acceptor.state import AcceptorState
from quillring.quorum.messages import AcceptedProposal, Promise
from quillring.quorum.values import Ballot

# cbor of [[3, "core-1#7"], 12, {"group": [], "version": 4},
#          [[13, [2, "core-2#1"], [{"do": "x"}]]], 11], as the version before wrote it.
FORMER = bytes.fromhex(
    "85820368636f72652d3123370ca26567726f7570806776657273696f6e0481830d820268636f72652d32233181a162646f61780b"
)
ROW = AcceptedProposal(13, Ballot(2, "core-2#1"), [{"do": "x"}])
PROMISE = Promise(Ballot(3, "core-1#7"), 12, {"group": [], "version": 4}, (ROW,), 11)


def test_a_promise_of_the_version_before_is_read_and_written_byte_for_byte():
    assert Promise.from_wire(cbor2.loads(FORMER)) == PROMISE
    assert cbor2.dumps(PROMISE.to_wire()) == FORMER


def test_a_record_of_a_slot_of_the_version_before_is_read_and_written_byte_for_byte():
    record = AcceptorState.from_disk(cbor2.loads(FORMER))
    assert (record.applied, record.committed, list(record.entries)) == (12, 11, [13])
    assert cbor2.dumps(record.to_promise().to_wire()) == FORMER


@pytest.mark.parametrize(("has_batches", "batch"), [(True, [{"do": "x"}]), (False, None)])
def test_a_brief_promise_tells_that_there_is_a_state_and_leaves_it_out(has_batches, batch):
    brief = PROMISE.brief(has_batches)
    assert brief.state is True and brief.accepted == (ROW._replace(batch=batch),)
    assert PROMISE._replace(state=None).brief(has_batches).state is None
