"""The wire form of a promise, also used in checkpoints, is the same byte for byte as before."""

import cbor2
import pytest

from quillring.quorum.acceptor.state import AcceptorState
from quillring.quorum.messages import AcceptedProposal, Promise
from quillring.quorum.values import Ballot

# CBOR of [[3, "core-1#7"], 12, {"group": [], "version": 4},
#          [[13, [2, "core-2#1"], [{"do": "x"}]]], 11], as written by the previous version.
PREVIOUS_BYTES = bytes.fromhex(
    "85820368636f72652d3123370ca26567726f7570806776657273696f6e0481830d820268636f72652d32233181a162646f61780b"
)
PROPOSAL = AcceptedProposal(13, Ballot(2, "core-2#1"), [{"do": "x"}])
PROMISE = Promise(Ballot(3, "core-1#7"), 12, {"group": [], "version": 4}, (PROPOSAL,), 11)


def test_promise_of_the_previous_version_is_read_and_written_byte_for_byte():
    assert Promise.from_wire(cbor2.loads(PREVIOUS_BYTES)) == PROMISE
    assert cbor2.dumps(PROMISE.to_wire()) == PREVIOUS_BYTES


def test_checkpointed_state_of_the_previous_version_is_read_and_written_byte_for_byte():
    acceptor = AcceptorState.from_disk(cbor2.loads(PREVIOUS_BYTES))
    assert (acceptor.applied, acceptor.committed, list(acceptor.entries)) == (12, 11, [13])
    assert cbor2.dumps(acceptor.to_promise().to_wire()) == PREVIOUS_BYTES


@pytest.mark.parametrize(("has_batches", "batch"), [(True, [{"do": "x"}]), (False, None)])
def test_brief_promise_reports_only_whether_there_is_a_state(has_batches, batch):
    brief = PROMISE.brief(has_batches)
    assert brief.state is True and brief.accepted == (PROPOSAL._replace(batch=batch),)
    assert PROMISE._replace(state=None).brief(has_batches).state is None
