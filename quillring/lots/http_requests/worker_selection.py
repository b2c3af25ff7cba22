"""Choose the core that sends an item of a lot to a replica."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.forward.types import Replica
    from quillring.lots.http_requests.item_table import ItemTable

NEAR_LOAD_FACTOR, NEAR_LOAD_MARGIN = 2, 8
"""A core near the replica is taken while it has fewer runs than this of the least loaded one."""


class Worker(NamedTuple):
    """A core that executes items."""

    name: str
    zone: str


def choose_worker(item_table: ItemTable, workers: Sequence[Worker], replica: Replica) -> str | None:
    """Return the core that sends to a replica: one of its zone unless that is overloaded.

    Otherwise it is the least loaded core; None where there is none.
    """
    loads = item_table.runs_by_worker
    fewest = min((loads.get(worker.name, 0) for worker in workers), default=0)
    near = next((worker.name for worker in workers if worker.zone == replica.zone), None)
    if near is not None and loads.get(near, 0) < fewest * NEAR_LOAD_FACTOR + NEAR_LOAD_MARGIN:
        return near
    names = (worker.name for worker in workers)
    return min(names, key=lambda name: loads.get(name, 0), default=None)
