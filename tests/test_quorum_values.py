"""Ballots and group members: their wire form, and the order of ballots."""

import cbor2

from quillring.quorum.values import (
    NO_BALLOT,
    Ballot,
    GroupMember,
    group_from_wire,
    group_to_wire,
)

WIRE_GROUP = [["store-1", "id-1", "north"], ["store-2", "id-2", "south"]]


def test_a_group_round_trips_through_its_wire_form():
    group = group_from_wire(WIRE_GROUP)
    assert group == (
        GroupMember(name="store-1", identity="id-1", zone="north"),
        GroupMember(name="store-2", identity="id-2", zone="south"),
    )
    assert group_to_wire(group) == WIRE_GROUP
    assert cbor2.dumps(group_to_wire(group)) == cbor2.dumps(WIRE_GROUP)


def test_a_ballot_round_trips_through_its_wire_form():
    ballot = Ballot.from_wire([7, "core-1#3"])
    assert (ballot.number, ballot.leader) == (7, "core-1#3")
    assert ballot.to_wire() == [7, "core-1#3"]


def test_ballots_are_ordered_by_number_then_by_leader():
    assert NO_BALLOT < Ballot(1, "core-9") < Ballot(2, "core-1") < Ballot(2, "core-2")
