"""Wire format of the quota messages, which nodes of all versions exchange unchanged."""

import cbor2

from quillring.classes.messages import REQUEST_QUOTA, Quota, QuotaRequest


def test_quota_request_has_the_wire_format_of_all_versions():
    request = QuotaRequest("words", {"hint": 3}, {"words-1": 2})
    wire_form = {"service": "words", "demands": {"hint": 3}, "cold": {"words-1": 2}}
    encoded = cbor2.dumps(wire_form)
    assert cbor2.dumps(request.to_wire()) == encoded
    assert QuotaRequest.from_wire(cbor2.loads(encoded)) == request
    assert REQUEST_QUOTA == "grants.ask"


def test_quota_reply_has_the_wire_format_of_all_versions():
    quota = Quota({"hint": 3}, {"words-1": 2}, 2.0)
    wire_form = {"limits": {"hint": 3}, "cold": {"words-1": 2}, "lease": 2.0}
    encoded = cbor2.dumps(wire_form)
    assert cbor2.dumps(quota.to_wire()) == encoded
    assert Quota.from_wire(cbor2.loads(encoded)) == quota
