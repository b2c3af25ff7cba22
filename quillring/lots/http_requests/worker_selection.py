"""Choose the core that sends an item of a lot to a replica."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.forward.types import Replica
    from quillring.lots.http_requests.item_table import ItemTable

SAME_ZONE_LOAD_FACTOR, SAME_ZONE_LOAD_MARGIN = 2, 8
"""A core in the replica's zone is preferred while it has fewer runs than the least loaded core's
number of runs times this factor plus this margin."""


class Worker(NamedTuple):
    """A core that executes items."""

    name: str
    zone: str


def choose_worker(item_table: ItemTable, workers: Sequence[Worker], replica: Replica) -> str | None:
    """Return the name of the core that sends an item to a replica, None if there are no workers.

    It is the first worker in the replica's zone, or the least loaded worker if there is none in
    the zone or it is overloaded.
    """
    loads = item_table.runs_by_worker
    min_load = min((loads.get(worker.name, 0) for worker in workers), default=0)
    same_zone = next((worker.name for worker in workers if worker.zone == replica.zone), None)
    if (
        same_zone is not None
        and loads.get(same_zone, 0) < min_load * SAME_ZONE_LOAD_FACTOR + SAME_ZONE_LOAD_MARGIN
    ):
        return same_zone
    names = (worker.name for worker in workers)
    return min(names, key=lambda name: loads.get(name, 0), default=None)
