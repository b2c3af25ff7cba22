"""Commands and messages about the configuration keep the wire form shared by all releases."""

import cbor2
import pytest

from quillring.quorum.values import GroupMember
from quillring.rollout import messages
from quillring.rollout.messages import (
    AdoptConfiguration,
    AdoptVersion,
    Announcement,
    ChangeZone,
    ConfigurationRecord,
    CurrentConfiguration,
    CurrentVersion,
    StateImage,
    StoreOrder,
    StoreStamp,
    ZoneOrder,
)
from quillring.rollout.schema import Fault

DIGEST = "7b8207a851953b79fb4a763a"
FORWARDS = {"f": {"host": "one.example"}}
SERVICES = {"s": {"kind": "raw"}}
LAYOUT = {"classes": {}, "stores": {"store-1": {"retired": True}}}
GROUP = (GroupMember("store-1", "a1", "north"), GroupMember("store-2", "a2", "south"))
GROUP_FIELDS = [["store-1", "a1", "north"], ["store-2", "a2", "south"]]
RECORD = ConfigurationRecord(7, 5, LAYOUT, GROUP)
SAMPLES = [
    (
        AdoptConfiguration("op", 4, {"domains": {}}, False),
        {
            "do": "layout.adopt",
            "id": "op",
            "base_version": 4,
            "change": {"domains": {}},
            "whole": False,
        },
    ),
    (
        AdoptVersion(0, 5, True, FORWARDS, SERVICES, None, {"forwards": ["g"]}, {"k": 1}),
        {
            "do": "edition.adopt",
            "base_edition": 0,
            "edition": 5,
            "whole": True,
            "forwards": FORWARDS,
            "services": SERVICES,
            "limits": None,
            "removed": {"forwards": ["g"]},
            "extras": {"k": 1},
        },
    ),
    (
        AdoptVersion(5, 6, False, {}, {}, {"head_bytes": 1}, {}, {}, "op"),
        {
            "do": "edition.adopt",
            "base_edition": 5,
            "edition": 6,
            "whole": False,
            "forwards": {},
            "services": {},
            "limits": {"head_bytes": 1},
            "removed": {},
            "extras": {},
            "id": "op",
        },
    ),
    (
        ZoneOrder("north", True, includes_nodes=False),
        {"do": "domain.mark", "domain": "north", "emptied": True, "nodes": False},
    ),
    (
        ZoneOrder("north", False, True, 9),
        {
            "do": "domain.mark",
            "domain": "north",
            "emptied": False,
            "nodes": True,
            "seen_version": 9,
        },
    ),
    (
        StoreOrder("store-1", False),
        {"do": "store.mark", "store": "store-1", "retired": False},
    ),
    (
        StoreOrder("store-1", True, {"store-2": "south"}, 3, 9),
        {
            "do": "store.mark",
            "store": "store-1",
            "retired": True,
            "counted": {"store-2": "south"},
            "size": 3,
            "seen_version": 9,
        },
    ),
    (CurrentConfiguration(5, None), {"version": 5, "layout": None}),
    (CurrentVersion(6, LAYOUT), {"edition": 6, "layout": LAYOUT}),
    (RECORD, [7, 5, LAYOUT, GROUP_FIELDS]),
    (Announcement([7], RECORD), [[7], [7, 5, LAYOUT, GROUP_FIELDS]]),
]


@pytest.mark.parametrize("message, wire_form", SAMPLES, ids=lambda value: type(value).__name__)
def test_a_message_has_the_same_wire_form_in_all_releases(message, wire_form):
    packed = cbor2.dumps(wire_form)
    assert message.to_wire() == wire_form
    assert cbor2.dumps(message.to_wire()) == packed
    assert type(message).from_wire(cbor2.loads(packed)) == message


def test_a_change_of_one_zone_is_a_partial_configuration():
    wire_form = {
        "do": "layout.adopt",
        "id": "op",
        "base_version": 4,
        "whole": False,
        "change": {"domains": {"north": {"emptied": True}}},
    }
    command = ChangeZone("op", 4, "north", True).to_wire()
    assert cbor2.dumps(command) == cbor2.dumps(wire_form)
    assert AdoptConfiguration.from_wire(command).change == wire_form["change"]


def test_fields_missing_in_orders_of_earlier_releases_get_defaults():
    assert ZoneOrder.from_wire({"domain": "north", "emptied": 1}) == ("north", True, True, None)
    assert StoreOrder.from_wire({"store": "a", "retired": 0}) == ("a", False, None, None, None)
    command = {**SAMPLES[1][1], "removed": None}
    del command["extras"]
    adoption = AdoptVersion.from_wire(command)
    assert adoption.removed == {} and adoption.extras == {}


def test_a_zone_order_has_a_stable_form_in_the_stored_configuration():
    order = ZoneOrder("north", True, includes_nodes=False, seen_version=3)
    assert order.to_state() == {"emptied": True, "nodes": False}


def test_the_digest_of_a_change_equals_the_one_in_stored_states():
    assert AdoptConfiguration("op", 4, {"b": 1, "a": 2}, False).digest() == DIGEST
    assert AdoptConfiguration("other", 5, {"a": 2, "b": 1}, False).digest() == DIGEST


def test_stamps_and_state_images_of_stores_are_parsed():
    stamp = StoreStamp.from_wire([[3, "core-1#9"], 12, "a1"])
    assert (stamp.ballot, stamp.committed_index, stamp.identity) == ([3, "core-1#9"], 12, "a1")
    image = StateImage.from_wire([12, {"layout": None}])
    assert (image.log_index, image.state) == (12, {"layout": None})


def test_a_fault_keeps_its_field_names_on_the_wire():
    assert Fault("classes", "why").to_wire() == {"field": "classes", "fault": "why"}


def test_the_services_and_queries_keep_their_names():
    assert (messages.STAMP, messages.STATE_IMAGE, messages.ANNOUNCEMENT) == (
        "quorum.stamp",
        "quorum.image",
        "layout.news",
    )
    assert messages.READ_CONFIGURATION == {"ask": "layout"}
    assert messages.READ_CURRENT_VERSION == {"ask": "edition"}
    assert messages.READ_STATE_VERSION == {"ask": "version"}
