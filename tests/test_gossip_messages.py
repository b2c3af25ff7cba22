"""Pins the wire forms of gossip messages, which nodes of all releases exchange."""

import cbor2

from quillring.gossip import messages
from quillring.gossip.messages import Update, VersionsMessage, updates_from_wire, updates_to_wire


def test_updates_have_the_wire_form_of_all_releases():
    updates = [
        Update("owner/config", (3, "core-1#9"), {"owner": "core-1"}),
        Update("k", (1,), None),
    ]
    wire_form = [["owner/config", [3, "core-1#9"], {"owner": "core-1"}], ["k", [1], None]]
    assert updates_to_wire(updates) == wire_form
    assert cbor2.dumps(updates_to_wire(updates)) == cbor2.dumps(wire_form)
    parsed = list(updates_from_wire(cbor2.loads(cbor2.dumps(wire_form))))
    assert [(u.key, tuple(u.version), u.value) for u in parsed] == updates


def test_versions_have_the_wire_form_of_all_releases():
    message = VersionsMessage({"founding": (1,), "replica/words-1": (7, 3)}, wants_reply=True)
    wire_form = [{"founding": [1], "replica/words-1": [7, 3]}, True]
    assert message.to_wire() == wire_form
    assert cbor2.dumps(message.to_wire()) == cbor2.dumps(wire_form)
    assert VersionsMessage.from_wire(cbor2.loads(cbor2.dumps(wire_form))) == message


def test_service_names_on_the_wire_are_unchanged():
    names = (messages.UPDATES, messages.DIGEST, messages.VERSIONS)
    assert names == ("gossip.news", "gossip.digest", "gossip.versions")
