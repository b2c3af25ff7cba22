"""The call for quotas in the very form in which nodes of all versions exchange it."""

import cbor2

from quillring.classes.messages import REQUEST_QUOTA, Quota, QuotaRequest


def test_a_request_has_the_form_that_all_versions_know():
    request = QuotaRequest("words", {"hint": 3}, {"words-1": 2})
    wire_form = {"service": "words", "demands": {"hint": 3}, "cold": {"words-1": 2}}
    packed = cbor2.dumps(wire_form)
    assert cbor2.dumps(request.to_wire()) == packed
    assert QuotaRequest.from_wire(cbor2.loads(packed)) == request
    assert REQUEST_QUOTA == "grants.ask"


def test_a_quota_has_the_form_that_all_versions_know():
    quota = Quota({"hint": 3}, {"words-1": 2}, 2.0)
    wire_form = {"limits": {"hint": 3}, "cold": {"words-1": 2}, "lease": 2.0}
    packed = cbor2.dumps(wire_form)
    assert cbor2.dumps(quota.to_wire()) == packed
    assert Quota.from_wire(cbor2.loads(packed)) == quota
