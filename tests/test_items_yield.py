"""Items of lots give up slots to client requests."""

import pytest

from quillring.forward.load_messages import LoadReport
from quillring.lots.http_requests.concurrency_limits import (
    DEFAULT_SHARE,
    DUE_SOON_SHARE,
    OCCUPANCY_MARGIN,
    ConcurrencyLimits,
    slots_for,
)
from tests.forward_stage import make_stage, request

SLOTS = 8


def free_slots(clients, items=0, share=DEFAULT_SHARE):
    """Return the slots that lots may use on a replica with requests of other nodes in flight."""
    _, node = make_stage({}, replicas=1)
    in_flight = {"r0": clients + items} if clients + items else {}
    report = LoadReport("north", 1, 1, in_flight, {"r0": items} if items else {}, [], [], [])
    node.find("placement").exchange.on_zone_load_report(report.to_wire(), "core-1")
    return ConcurrencyLimits(node)._free_slots(node.find("replicas").table["r0"], share)


@pytest.mark.parametrize("share", [DEFAULT_SHARE, DUE_SOON_SHARE])
def test_items_get_their_share_with_few_client_requests_and_yield_to_many(share):
    _, node = make_stage({}, replicas=1)
    max_slots = slots_for(node.find("replicas").table["r0"], share)
    counts = [free_slots(clients, share=share) for clients in range(SLOTS * 3)]
    assert counts[0] == max_slots and counts[-1] == 1
    assert counts == sorted(counts, reverse=True)
    for clients, count in enumerate(counts):
        assert count == 1 or count + clients <= SLOTS * (share + OCCUPANCY_MARGIN) + 1


@pytest.mark.parametrize("items", [0, 3, 8])
def test_items_of_other_leaders_are_not_counted_as_client_requests(items):
    assert free_slots(2, items) == free_slots(2)


def test_own_items_are_not_counted_as_client_requests():
    _, node = make_stage({}, replicas=1)
    placement, replica = node.find("placement"), node.find("replicas").table["r0"]
    batch_requests = [placement.start_request(replica, request(), is_batch=True) for _ in range(5)]
    client_request = placement.start_request(replica, request())
    assert placement.in_flight(replica) == 6 and placement.client_in_flight(replica) == 1
    for batch_request in (*batch_requests, client_request):
        batch_request.finish()
    assert placement.in_flight(replica) == placement.client_in_flight(replica) == 0
