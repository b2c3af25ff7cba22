"""Lots whose items are complete HTTP requests, forwarded to replicas unchanged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.lots.http_requests.item_executor import ItemExecutor
from quillring.lots.http_requests.quota_reconciler import QuotaReconciler
from quillring.lots.http_requests.result_reads import ResultReader
from quillring.lots.http_requests.scheduler import LotScheduler

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

__all__ = [
    "ItemExecutor",
    "LotScheduler",
    "QuotaReconciler",
    "ResultReader",
    "start_http_request_lots",
]


def start_http_request_lots(node: Node) -> Coroutine:
    """Register and start the services that run these lots on a core.

    Returns the scheduler's coroutine, which the caller spawns. The node must already offer the
    forward routes, the load balancer and the header names.
    """
    node.offer("raw_worker", ItemExecutor(node))
    reader: ResultReader = node.offer("raw_reads", ResultReader(node))
    scheduler: LotScheduler = node.offer("raw", LotScheduler(node))
    node.find("ownership").leader_listeners.extend([scheduler.on_batch, reader.on_batch])
    reconciler: QuotaReconciler = node.offer("raw_quota", QuotaReconciler(node))
    node.spawn(reconciler.run())
    node.spawn(scheduler.backlog.run())
    return scheduler.run()
